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

/* The current process leaves, as it stated at WALL_MS.  */
static enum target_change
leave (struct target_view *v, int64_t wall_ms)
{
  if (departed_add (&v->departed, v->id, v->started_ms, wall_ms))
    v->departed_changed = true;
  if (v->phase == TARGET_LEAVING)
    return TARGET_UNCHANGED;
  v->phase = TARGET_LEAVING;
  return TARGET_STARTED_DRAINING;
}

static enum target_change
accept_process (struct target_view *v, const struct target_report *r,
                struct target_time now)
{
  memcpy (v->id, r->id, sizeof v->id);
  v->started_ms = r->started_ms;
  v->sequence = r->sequence;
  v->slots = r->slots;
  v->warmup_until_ns = now.now_ns + r->warmup_remaining_ms * NS_PER_MS;
  v->phase = TARGET_SERVING;
  v->candidate_id[0] = '\0';
  if (r->state == TARGET_DRAINING)
    leave (v, now.wall_ms);
  return TARGET_RESTARTED;
}

/* Whether R is the first report of its process, or the second one in a row,
   and so no report of an earlier process that was delayed.  */
static bool
is_confirmed (struct target_view *v, const struct target_report *r)
{
  if (r->sequence <= FIRST_SEQUENCE)
    return true;
  bool repeated = strcmp (v->candidate_id, r->id) == 0
                  && r->sequence > v->candidate_sequence;
  memcpy (v->candidate_id, r->id, sizeof v->candidate_id);
  v->candidate_sequence = r->sequence;
  return repeated;
}

/* Whether the process that sent R started after the current one.  */
static bool
is_newer_process (struct target_view *v, const struct target_report *r)
{
  if (r->started_ms != 0 && v->started_ms != 0)
    return r->started_ms > v->started_ms;
  return is_confirmed (v, r);
}

/* Process the report R of another process than the current one.  */
static enum target_change
report_of_other (struct target_view *v, const struct target_report *r,
                 struct target_time now)
{
  if ((r->state == TARGET_READY || v->phase != TARGET_UNKNOWN)
      && departed_has (&v->departed, r->id, r->started_ms))
    return TARGET_IGNORED_STALE;
  if (v->phase != TARGET_UNKNOWN)
    return is_newer_process (v, r) ? accept_process (v, r, now)
                                   : TARGET_IGNORED_STALE;
  if (v->record_unread && r->state == TARGET_READY && !is_confirmed (v, r))
    return TARGET_UNCONFIRMED;
  return accept_process (v, r, now);
}

enum target_change
target_view_report (struct target_view *v, const struct target_report *r,
                    const char *service,
                    const struct settings_address *address,
                    struct target_time now)
{
  if (!is_own_target (r, service, address))
    return TARGET_IGNORED_FOREIGN;
  if (v->phase == TARGET_UNKNOWN || !is_same_process (v, r))
    return report_of_other (v, r, now);
  if (r->sequence <= v->sequence)
    return TARGET_IGNORED_STALE;
  v->candidate_id[0] = '\0';
  v->sequence = r->sequence;
  v->slots = r->slots;
  v->warmup_until_ns = now.now_ns + r->warmup_remaining_ms * NS_PER_MS;
  if (v->phase == TARGET_LEAVING)
    return TARGET_UNCHANGED;
  if (r->state == TARGET_DRAINING)
    return leave (v, now.wall_ms);
  if (v->phase == TARGET_DOWN)
    {
      v->phase = TARGET_SERVING;
      return TARGET_RECOVERED;
    }
  return TARGET_UNCHANGED;
}

enum target_change
target_view_withdraw (struct target_view *v, const char *id,
                      int64_t started_ms, int64_t wall_ms)
{
  if (v->phase == TARGET_UNKNOWN || strcmp (v->id, id) != 0
      || (started_ms != 0 && started_ms != v->started_ms))
    {
      if (departed_add (&v->departed, id, started_ms, wall_ms))
        v->departed_changed = true;
      return TARGET_IGNORED_STALE;
    }
  return leave (v, wall_ms);
}

enum target_change
target_view_record_read (struct target_view *v, const char *text)
{
  departed_merge (&v->departed, text);
  v->record_unread = false;
  if ((v->phase != TARGET_SERVING && v->phase != TARGET_DOWN)
      || !departed_has (&v->departed, v->id, v->started_ms))
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
  static const char *const names[] = { "foreign", "old",     "unconfirmed",
                                       "same",    "new-run", "back",
                                       "drains" };
  return names[change];
}
