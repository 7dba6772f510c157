#include "own/agent.h"

#include "own/agent_state.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define REJOIN_DELAY_MAX_NS (50 * NS_PER_MS)
#define IMPROVE_GUARDIAN_DELAY_NS (2 * NS_PER_S)
#define REBALANCE_DELAY_PER_MEMBER_NS (25 * NS_PER_MS)
#define SECOND_GUARDIAN_DELAY_NS (500 * NS_PER_MS)
/* A tick that is later than this and than a fraction of the term means that
   the process was paused.  */
#define PAUSE_MIN_NS (200 * NS_PER_MS)
#define PAUSE_TERM_DIVISOR 8
#define TICK_INTERVAL_MIN_NS NS_PER_MS

enum
{
  DEFAULT_TERM_MS = 400,
  DEFAULT_RENEW_MS = 133,
  DEFAULT_MOVE_TIMEOUT_MS = 2000,
  DELAY_MEMBERS_STEP = 4 /* see random_delay_ns */
};

uint64_t
agent_random (struct agent *a, uint64_t bound)
{
  /* xorshift64*, sufficient for random delays.  */
  a->random ^= a->random >> 12;
  a->random ^= a->random << 25;
  a->random ^= a->random >> 27;
  return a->random * UINT64_C (2685821657736338717) % bound;
}

void
agent_log_event (struct agent *a, enum event ev, const char *fmt, ...)
{
  char detail[AGENT_DETAIL_BYTES];
  va_list args;
  va_start (args, fmt);
  vsnprintf (detail, sizeof detail, fmt, args);
  va_end (args);
  a->env->ops->notify (a->env, ev, detail);
}

const struct cell_member *
agent_own_member (const struct agent *a)
{
  return a->cell == NULL || a->self == 0 ? NULL
                                         : cell_member (a->cell, a->self);
}

bool
agent_has_lease (const struct agent *a, int64_t now_ns)
{
  return a->self != 0 && !a->store.removes_self && !a->leave_sent
         && now_ns < lease_ward_until (&a->ward_state);
}

/* The lease as reported to the data path.  */

int64_t
agent_lease_until (const struct agent *a)
{
  if (a->self == 0 || a->store.removes_self || a->leave_sent)
    return AGENT_NEVER_NS;
  return lease_ward_until (&a->ward_state);
}

static void
log_lease_change (struct agent *a, int64_t now_ns)
{
  bool serving = now_ns < a->reported_until_ns;
  if (serving == a->reported_serving)
    return;
  a->reported_serving = serving;
  agent_log_event (a, serving ? EV_LEASE_GAINED : EV_LEASE_LOST,
                   "incarnation=%u guardian=%u", a->self,
                   a->ward_state.guardian);
}

void
agent_report_lease (struct agent *a, int64_t now_ns)
{
  int64_t until_ns = agent_lease_until (a);
  if (until_ns != a->reported_until_ns)
    {
      a->reported_until_ns = until_ns;
      a->env->ops->set_lease (a->env, until_ns);
    }
  log_lease_change (a, now_ns);
}

/* Documents.  */

static void
start_membership (struct agent *a, uint32_t incarnation)
{
  a->self = incarnation;
  a->join_from = 0;
  a->store.joined_incarnation = 0;
  a->unresponsive_count = 0;
  const struct cell_member *member = agent_own_member (a);
  lease_ward_set_guardians (&a->ward_state, member->guardian, member->second,
                            member->guardian_epoch, true);
  agent_log_event (a, EV_JOINED, "incarnation=%u serial=%u", incarnation,
                   a->cell->serial);
}

static void
end_membership (struct agent *a, int64_t now_ns)
{
  bool has_left
      = a->leave_requested && (a->store.removes_self || a->leave_sent);
  agent_log_event (a, has_left ? EV_LEFT : EV_EVICTED, "incarnation=%u",
                   a->self);
  a->left = has_left;
  a->leave_sent = false;
  a->self = 0;
  a->next_join_ns
      = now_ns + (int64_t)agent_random (a, (uint64_t)REJOIN_DELAY_MAX_NS);
  lease_ward_revoke (&a->ward_state);
  a->pending_renewal_count = 0;
}

/* Return a random delay of up to SMALL_CELL_MAX_NS in a small cell and longer
   in a larger one.  After the loss of a zone most members choose new
   guardians, each in a swap of its own, and the store also serves other
   cells.  */
static int64_t
random_delay_ns (struct agent *a, int64_t small_cell_max_ns)
{
  uint32_t factor = 1 + a->cell->member_count / DELAY_MEMBERS_STEP;
  return (int64_t)agent_random (a, (uint64_t)small_cell_max_ns * factor);
}

static void
apply_own_guardians (struct agent *a, const struct cell_member *member,
                     int64_t now_ns)
{
  bool changed = member->guardian_epoch != a->ward_state.epoch;
  /* No guardian covers a lease from before the end of the forming.  */
  bool formed = a->forming.began_ns != 0 && !cell_is_forming (a->cell);
  lease_ward_set_guardians (&a->ward_state, member->guardian, member->second,
                            member->guardian_epoch, formed);
  if (!changed)
    return;
  a->next_renewal_ns = now_ns;
  a->next_second_change_ns = now_ns + SECOND_GUARDIAN_DELAY_NS
                             + random_delay_ns (a, SECOND_GUARDIAN_DELAY_NS);
  a->next_guardian_change_ns
      = now_ns + IMPROVE_GUARDIAN_DELAY_NS
        + random_delay_ns (a, IMPROVE_GUARDIAN_DELAY_NS);
  agent_log_event (a, EV_GUARDIAN_CHANGED, "guardian=%u second=%u epoch=%u",
                   member->guardian, member->second, member->guardian_epoch);
}

static void
apply_own_membership (struct agent *a, int64_t now_ns)
{
  if (a->self == 0 && a->store.joined_incarnation != 0
      && strcmp (a->cell->change, a->store.change) == 0)
    {
      start_membership (a, a->store.joined_incarnation);
      a->next_renewal_ns = now_ns;
      return;
    }
  const struct cell_member *member = agent_own_member (a);
  if (a->self == 0)
    {
      member = cell_find_place (a->cell, &a->own_member);
      if (a->join_from == 0 || member == NULL
          || member->incarnation < a->join_from)
        return;
      start_membership (a, member->incarnation);
      a->next_renewal_ns = now_ns;
    }
  else if (member == NULL)
    end_membership (a, now_ns);
  else
    apply_own_guardians (a, member, now_ns);
}

static uint32_t
count_owned (const struct agent *a)
{
  uint32_t count = cell_count_slots (a->cell, a->self);
  for (uint32_t i = 0; i < a->cell->pin_count; i++)
    count += a->cell->pins[i].owner == a->self;
  return count;
}

static bool
any_unowned (const struct cell *cell)
{
  for (uint32_t i = 0; i < cell->pin_count; i++)
    if (cell->pins[i].owner == 0)
      return true;
  return cell_count_slots (cell, 0) > 0;
}

static void
drop_done_evictions (struct agent *a)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < a->eviction_count; i++)
    if (cell_member_index (a->cell, a->evictions[i]) != MEMBER_NONE)
      a->evictions[kept++] = a->evictions[i];
  a->eviction_count = kept;
}

static void
log_if_declared_dead (struct agent *a, uint32_t ward)
{
  if (cell_member_index (a->cell, ward) != MEMBER_NONE
      || strcmp (a->cell->change, a->store.change) != 0)
    return;
  a->stats.declared_dead++;
  agent_log_event (a, EV_MEMBER_DECLARED_DEAD, "incarnation=%u serial=%u",
                   ward, a->cell->serial);
}

/* The member that wrote a removal logs it, for its own ward or for another
   guardian.  */
static void
log_declared_dead (struct agent *a)
{
  for (uint32_t i = 0; i < a->guardian_state.count; i++)
    if (a->guardian_state.wards[i].removal_submitted)
      log_if_declared_dead (a, a->guardian_state.wards[i].ward);
  for (uint32_t i = 0; i < a->removal_count; i++)
    log_if_declared_dead (a, a->removals[i].ward);
}

/* All owners hand slots to a new member.  A random delay keeps their swaps
   from conflicting.  */
static void
schedule_rebalancing (struct agent *a, int64_t now_ns)
{
  uint32_t active = cell_count_state (a->cell, MEMBER_ACTIVE);
  int64_t max_delay_ns = (active + 1) * REBALANCE_DELAY_PER_MEMBER_NS;
  int64_t next_ns = now_ns + (int64_t)agent_random (a, (uint64_t)max_delay_ns);
  /* An earlier time stays, or members that join one after the other would
     postpone it again and again.  */
  if (next_ns < a->next_rebalance_ns)
    a->next_rebalance_ns = next_ns;
}

void
agent_on_zones_changed (struct agent *a)
{
  if (a->cell == NULL || a->env->ops->is_zone_excluded == NULL)
    return;
  for (uint32_t i = 0; i < a->cell->member_count; i++)
    {
      struct cell_member *m = &a->cell->members[i];
      m->excluded = a->env->ops->is_zone_excluded (a->env, m->zone);
    }
}

void
agent_apply_document (struct agent *a, struct cell *cell, int64_t revision,
                      const char *json, size_t length, int64_t now_ns)
{
  struct agent_store *st = &a->store;
  free (a->cell);
  a->cell = cell;
  agent_on_zones_changed (a);
  a->revision = revision;
  st->document_absent = false;
  bool settled = st->unsettled && revision > st->unsettled_expected;
  log_declared_dead (a);
  apply_own_membership (a, now_ns);
  lease_guardian_update (&a->guardian_state, cell, a->self, now_ns);
  if (settled)
    {
      agent_settle_swaps (a);
      st->read_wanted = false;
    }
  a->owned_count = a->self == 0 ? 0 : count_owned (a);
  a->has_unowned = any_unowned (cell);
  a->guardian_suboptimal = place_guardian_suboptimal (
      cell, a->self, a->unresponsive, a->unresponsive_count);
  a->second_suboptimal = place_second_guardian_suboptimal (cell, a->self);
  if (a->active_count != cell_count_state (cell, MEMBER_ACTIVE))
    schedule_rebalancing (a, now_ns);
  a->active_count = cell_count_state (cell, MEMBER_ACTIVE);
  drop_done_evictions (a);
  agent_update_peers (a, now_ns);
  if (strcmp (cell->change, st->change) == 0)
    agent_announce_document (a, now_ns);
  agent_drop_settled_removals (a);
  agent_drop_served_requests (a, now_ns);
  agent_form_update (a, now_ns);
  /* Report the loss of the lease before publishing the view, and a gain
     after.  */
  if (agent_lease_until (a) < a->reported_until_ns)
    agent_report_lease (a, now_ns);
  struct agent_view view = { revision, cell, a->self };
  a->env->ops->publish (a->env, &view, json, length);
  agent_report_lease (a, now_ns);
  if (a->self == 0)
    agent_cancel_move (a);
  agent_answer_pending_renewals (a, now_ns);
}

static bool
is_newer_document (const struct agent *a, const struct cell *cell)
{
  if (strcmp (cell->service, a->service) != 0)
    return false;
  return a->cell == NULL
         || (cell->serial > a->cell->serial
             && cell->next_incarnation >= a->cell->next_incarnation);
}

static enum status
parse_newer_document (const struct agent *a, const char *json, size_t length,
                      struct cell **cell)
{
  enum status s = cell_parse (json, length, cell);
  if (s != STATUS_OK || is_newer_document (a, *cell))
    return s;
  free (*cell);
  *cell = NULL;
  status_set (STATUS_INVALID,
              "cell document: of another service, not newer, or with a lower "
              "next_incarnation");
  return STATUS_INVALID;
}

enum status
agent_on_document (struct agent *a, int64_t revision, const char *json,
                   size_t length, int64_t now_ns)
{
  if (!a->started || revision <= a->revision)
    return STATUS_STALE;
  struct cell *cell = NULL;
  enum status s = parse_newer_document (a, json, length, &cell);
  if (s != STATUS_OK)
    {
      agent_log_event (a, EV_DOCUMENT_REFUSED, "revision=%lld reason=\"%s\"",
                       (long long)revision, status_message ());
      return s;
    }
  agent_apply_document (a, cell, revision, json, length, now_ns);
  return STATUS_OK;
}

/* Lifecycle.  */

static uint32_t
or_default (uint32_t value, uint32_t default_value)
{
  return value != 0 ? value : default_value;
}

static void
set_text (char *out, size_t size, const char *text)
{
  snprintf (out, size, "%s", text == NULL ? "" : text);
}

static void
set_own_member (struct cell_member *m, const struct agent_config *config)
{
  set_text (m->name, sizeof m->name, config->name);
  set_text (m->zone, sizeof m->zone, config->zone);
  set_text (m->rack, sizeof m->rack, config->rack);
  set_text (m->place, sizeof m->place, config->place);
  m->callers = config->callers;
  m->peers = config->peers;
  m->weight = or_default (config->weight, 1);
}

struct agent *
agent_new (const struct agent_config *config, struct agent_env *env)
{
  struct agent *a = calloc (1, sizeof *a);
  if (a == NULL)
    return NULL;
  a->env = env;
  set_own_member (&a->own_member, config);
  set_text (a->service, sizeof a->service, config->service);
  a->service_hash = (uint32_t)XXH3_64bits (a->service, strlen (a->service));
  a->slots = or_default (config->slots, CELL_SLOTS_MAX);
  a->key_space = config->key_space;
  a->forms = config->forms;
  a->policy = config->policy;
  a->renew_interval_ns
      = or_default (config->renew_ms, DEFAULT_RENEW_MS) * NS_PER_MS;
  a->move_timeout_ns
      = or_default (config->move_timeout_ms, DEFAULT_MOVE_TIMEOUT_MS)
        * NS_PER_MS;
  a->random = config->seed | 1;
  a->change_tag = (uint32_t)agent_random (a, UINT32_MAX);
  a->reported_until_ns = AGENT_NEVER_NS;
  int64_t term_ns = or_default (config->term_ms, DEFAULT_TERM_MS) * NS_PER_MS;
  lease_ward_init (&a->ward_state, term_ns);
  lease_guardian_init (&a->guardian_state, term_ns);
  return a;
}

void
agent_free (struct agent *a)
{
  if (a == NULL)
    return;
  free (a->cell);
  free (a->store.proposal);
  free (a->store.json);
  sketch_free (a->sketch);
  free (a);
}

void
agent_start (struct agent *a, int64_t now_ns)
{
  a->started = true;
  a->store.read_wanted = true;
  a->last_tick_ns = now_ns;
  a->env->ops->set_lease (a->env, AGENT_NEVER_NS);
}

/* Detect a pause of this process.  Messages missed during it do not show that
   a ward or the guardian has failed, so restart their time limits.  */
static void
detect_pause (struct agent *a, int64_t now_ns)
{
  int64_t pause_ns = a->ward_state.term_ns / PAUSE_TERM_DIVISOR;
  if (pause_ns < PAUSE_MIN_NS)
    pause_ns = PAUSE_MIN_NS;
  if (now_ns - a->last_tick_ns > pause_ns)
    {
      agent_log_event (a, EV_PAUSED, "pause_ms=%lld wards=%u",
                       (long long)((now_ns - a->last_tick_ns) / NS_PER_MS),
                       a->guardian_state.count);
      lease_guardian_extend_all (&a->guardian_state, now_ns);
      a->ward_state.unanswered = 0;
      a->next_renewal_ns = now_ns;
    }
  a->last_tick_ns = now_ns;
}

static int64_t
earlier_ns (int64_t a_ns, int64_t b_ns)
{
  return a_ns < b_ns ? a_ns : b_ns;
}

static int64_t
next_tick (struct agent *a, int64_t now_ns)
{
  int64_t next_ns = now_ns + a->renew_interval_ns;
  next_ns = earlier_ns (next_ns, agent_msg_next (a, now_ns));
  next_ns = earlier_ns (next_ns, agent_plan_next (a, now_ns));
  next_ns = earlier_ns (next_ns, agent_store_next (a, now_ns));
  next_ns = earlier_ns (next_ns, agent_move_next (a, now_ns));
  if (a->reported_serving && a->reported_until_ns > now_ns)
    next_ns = earlier_ns (next_ns, a->reported_until_ns);
  /* Whatever is due now was done in this tick or waits for an input.  */
  return next_ns < now_ns + TICK_INTERVAL_MIN_NS
             ? now_ns + TICK_INTERVAL_MIN_NS
             : next_ns;
}

static void
begin_leave (struct agent *a, int64_t now_ns)
{
  if (!a->leave_requested)
    a->leave_requested_ns = now_ns;
  a->leave_requested = true;
  if (a->self != 0 || a->left || a->store.unsettled)
    return;
  a->left = true;
  agent_log_event (a, EV_LEFT, "incarnation=0");
}

/* The other members were told that this one left: go on as one that has not
   joined yet.  */
static void
end_leave (struct agent *a, int64_t now_ns)
{
  a->left = false;
  a->leave_requested = false;
  a->store.removes_self = false;
  a->store.read_wanted = true;
  a->next_join_ns = now_ns;
  a->last_tick_ns = now_ns;
}

int64_t
agent_tick (struct agent *a, int64_t now_ns)
{
  if (!a->started)
    return AGENT_FOREVER_NS;
  if (a->leave_requested)
    begin_leave (a, now_ns);
  if (a->left)
    {
      agent_msg_tick (a, now_ns);
      int64_t next_ns = agent_msg_next (a, now_ns);
      if (a->leave_final || next_ns != AGENT_FOREVER_NS)
        return next_ns;
      end_leave (a, now_ns);
    }
  detect_pause (a, now_ns);
  a->now_ns = now_ns;
  log_lease_change (a, now_ns);
  agent_msg_tick (a, now_ns);
  agent_move_tick (a, now_ns);
  agent_store_tick (a, now_ns);
  return next_tick (a, now_ns);
}

void
agent_leave (struct agent *a, int64_t now_ns)
{
  a->leave_final = true;
  begin_leave (a, now_ns);
}

void
agent_set_out (struct agent *a, bool out, int64_t now_ns)
{
  a->out = out;
  if (out && (a->self != 0 || a->store.unsettled))
    begin_leave (a, now_ns);
}

bool
agent_has_left (const struct agent *a)
{
  return a->left && a->leave_final;
}

enum status
agent_evict (struct agent *a, uint32_t incarnation, int64_t now_ns)
{
  (void)now_ns;
  if (a->cell == NULL
      || cell_member_index (a->cell, incarnation) == MEMBER_NONE)
    return status_set (STATUS_NOT_FOUND, "no member %u", incarnation);
  if (incarnation == a->self || a->self == 0)
    return status_set (STATUS_INVALID,
                       "this node is not a member or would evict itself");
  if (a->eviction_count == AGENT_EVICTIONS_MAX)
    return status_set (STATUS_FULL, "%d evictions are already pending",
                       AGENT_EVICTIONS_MAX);
  a->evictions[a->eviction_count++] = incarnation;
  return STATUS_OK;
}

void
agent_set_load (struct agent *a, uint16_t load)
{
  a->load = load < UINT8_MAX ? (uint8_t)load : UINT8_MAX;
}

void
agent_spare_full (struct agent *a, bool spare)
{
  a->spares_full = spare;
}

const struct cell *
agent_cell (const struct agent *a)
{
  return a->cell;
}

uint32_t
agent_self (const struct agent *a)
{
  return a->self;
}

void
agent_stats (const struct agent *a, struct agent_stats *stats)
{
  *stats = a->stats;
}

static void
describe_wards (const struct agent *a, int64_t now_ns, FILE *out)
{
  for (uint32_t i = 0; i < a->guardian_state.count; i++)
    {
      const struct lease_promise *p = &a->guardian_state.wards[i];
      fprintf (out, "ward %u epoch %u promise %lld ms%s\n", p->ward, p->epoch,
               (long long)((p->until_ns - now_ns) / NS_PER_MS),
               p->removal_submitted ? " declared" : "");
    }
}

void
agent_describe (const struct agent *a, int64_t now_ns, FILE *out)
{
  const struct cell_member *member = agent_own_member (a);
  fprintf (out, "incarnation %u state %s\n", a->self,
           member == NULL ? "none" : member_state_name (member->state));
  fprintf (out, "revision %lld serial %u\n", (long long)a->revision,
           a->cell == NULL ? 0 : a->cell->serial);
  fprintf (out, "guardian %u second %u epoch %u unanswered %u serving %s\n",
           a->ward_state.guardian, a->ward_state.second, a->ward_state.epoch,
           a->ward_state.unanswered,
           now_ns < agent_lease_until (a) ? "yes" : "no");
  fprintf (out, "owned %u\n", a->owned_count);
  if (a->store.in_doubt)
    fprintf (out, "pending change %s in doubt\n", a->store.change);
  else if (agent_has_pending_change (a))
    fprintf (out, "pending change waits for the store\n");
  if (a->move.state != MOVE_NONE)
    fprintf (out, "move %u slots %u %s\n", a->move.id, a->move.count,
             a->move.state == MOVE_CLOSING ? "closing" : "closed");
  describe_wards (a, now_ns, out);
}
