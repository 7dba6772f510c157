#include "mesh/target_state.h"

#include "base/clock.h"
#include "settings/address.h"
#include <string.h>

enum
{
  FIRST_SEQUENCE = 1
};

static bool
is_own_target (const struct target_report *r, const char *service,
               const struct settings_address *address)
{
  return strcmp (r->service, service) == 0
         && settings_address_equal (&r->address, address);
}

static bool
is_same_process (const struct target_view *v, const struct target_report *r)
{
  return strcmp (v->id, r->id) == 0 && v->started_ms == r->started_ms;
}

static enum target_change
accept_process (struct target_view *v, const struct target_report *r,
                int64_t now_ns)
{
  memcpy (v->id, r->id, sizeof v->id);
  v->started_ms = r->started_ms;
  v->sequence = r->sequence;
  v->slots = r->slots;
  v->warmup_until_ns = now_ns + r->warmup_remaining_ms * NS_PER_MS;
  v->phase = r->state == TARGET_DRAINING ? TARGET_LEAVING : TARGET_SERVING;
  v->candidate_id[0] = '\0';
  return TARGET_RESTARTED;
}

/* Whether the process that sent R started after the current one.  */
static bool
is_newer_process (struct target_view *v, const struct target_report *r)
{
  if (r->started_ms != 0 && v->started_ms != 0)
    return r->started_ms > v->started_ms;
  if (r->sequence <= FIRST_SEQUENCE)
    return true;
  bool repeated = strcmp (v->candidate_id, r->id) == 0
                  && r->sequence > v->candidate_sequence;
  memcpy (v->candidate_id, r->id, sizeof v->candidate_id);
  v->candidate_sequence = r->sequence;
  return repeated;
}

enum target_change
target_view_report (struct target_view *v, const struct target_report *r,
                    const char *service,
                    const struct settings_address *address, int64_t now_ns)
{
  if (!is_own_target (r, service, address))
    return TARGET_IGNORED_FOREIGN;
  if (v->phase == TARGET_UNKNOWN)
    return accept_process (v, r, now_ns);
  if (!is_same_process (v, r))
    return is_newer_process (v, r) ? accept_process (v, r, now_ns)
                                   : TARGET_IGNORED_STALE;
  if (r->sequence <= v->sequence)
    return TARGET_IGNORED_STALE;
  v->candidate_id[0] = '\0';
  v->sequence = r->sequence;
  v->slots = r->slots;
  v->warmup_until_ns = now_ns + r->warmup_remaining_ms * NS_PER_MS;
  if (v->phase == TARGET_LEAVING)
    return TARGET_UNCHANGED;
  if (r->state == TARGET_DRAINING)
    {
      v->phase = TARGET_LEAVING;
      return TARGET_STARTED_DRAINING;
    }
  if (v->phase == TARGET_DOWN)
    {
      v->phase = TARGET_SERVING;
      return TARGET_RECOVERED;
    }
  return TARGET_UNCHANGED;
}

enum target_change
target_view_withdraw (struct target_view *v, const char *id,
                      int64_t started_ms)
{
  if (v->phase == TARGET_UNKNOWN || strcmp (v->id, id) != 0
      || (started_ms != 0 && started_ms != v->started_ms))
    return TARGET_IGNORED_STALE;
  if (v->phase == TARGET_LEAVING)
    return TARGET_UNCHANGED;
  v->phase = TARGET_LEAVING;
  return TARGET_STARTED_DRAINING;
}

bool
target_view_connection_refused (struct target_view *v)
{
  if (v->phase != TARGET_SERVING)
    return false;
  v->phase = TARGET_DOWN;
  return true;
}

enum target_change
target_view_responded (struct target_view *v, uint32_t warmup_ms,
                       int64_t now_ns)
{
  if (v->phase != TARGET_DOWN)
    return TARGET_UNCHANGED;
  v->phase = TARGET_SERVING;
  if (warmup_ms == 0)
    return TARGET_RECOVERED;
  v->warmup_until_ns = now_ns + warmup_ms * NS_PER_MS;
  /* The sequence of its reports begins anew.  */
  v->sequence = 0;
  return TARGET_RESTARTED;
}

const char *
target_change_name (enum target_change change)
{
  static const char *const names[]
      = { "foreign", "old", "same", "new-run", "back", "drains" };
  return names[change];
}
