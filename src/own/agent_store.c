/* Store calls of an agent: one at a time, with back-off, and the state of
   swaps whose effect is not known.

   A swap whose answer was lost may still reach the store after a read that
   does not show it.  Its effect is known only once the revision of the
   document has passed the expected one.  Until then a swap with the same
   expected revision is repeated, if necessary without any other change.  */

#include "own/agent_state.h"

#include <stdlib.h>
#include <string.h>

#define RETRY_DELAY_NS (25 * NS_PER_MS)
#define DELEGATION_DELAY_NS (40 * NS_PER_MS)
/* Delay after a swap conflict, per member: all members may be writing at the
   same time, and each write takes some milliseconds.  */
#define CONFLICT_DELAY_PER_MEMBER_NS (2 * NS_PER_MS)
#define CONFLICT_DELAY_MAX_NS (500 * NS_PER_MS)
#define REFRESH_INTERVAL_NS (1 * NS_PER_S)
#define NO_CHANGE_DELAY_NS (20 * NS_PER_MS)

enum
{
  RETRY_DOUBLINGS_MAX = 4,
  REFRESH_RENEWALS_MIN = 5,
  CONFLICT_DOUBLINGS_MAX = 5
};

static void
drop_proposal (struct agent *a)
{
  free (a->store.proposal);
  free (a->store.json);
  a->store.proposal = NULL;
  a->store.json = NULL;
}

void
agent_settle_swaps (struct agent *a)
{
  struct agent_store *st = &a->store;
  st->unsettled = false;
  st->in_doubt = false;
  st->removes_self = false;
  lease_guardian_clear_removals (&a->guardian_state);
  lease_ward_end_change (&a->ward_state);
}

static int64_t
backoff_ns (struct agent *a, int64_t first_delay_ns, uint32_t failures_before,
            uint32_t doublings_max)
{
  uint32_t doublings
      = failures_before < doublings_max ? failures_before : doublings_max;
  int64_t full_delay_ns = first_delay_ns << doublings;
  return full_delay_ns / 2
         + (int64_t)agent_random (a, (uint64_t)full_delay_ns);
}

static void
call_failed (struct agent *a, int64_t now_ns)
{
  struct agent_store *st = &a->store;
  st->next_call_ns
      = now_ns
        + backoff_ns (a, RETRY_DELAY_NS, st->failures++, RETRY_DOUBLINGS_MAX);
  if (st->failures == 2 && !st->outage_reported)
    {
      st->outage_reported = true;
      agent_log_event (a, EV_OWNERSHIP_WAITS, "revision=%lld in_doubt=%d",
                       (long long)a->revision, st->in_doubt);
    }
}

static void
call_answered (struct agent *a)
{
  struct agent_store *st = &a->store;
  st->failures = 0;
  if (!st->outage_reported)
    return;
  st->outage_reported = false;
  agent_log_event (a, EV_STORE_UP, "revision=%lld", (long long)a->revision);
}

/* Return the delay before the next call after a swap conflict.  A guardian
   that delegated its removals gives the other member the time to write
   them.  */
static int64_t
conflict_delay_ns (struct agent *a)
{
  if (agent_delegate_removals (a))
    return DELEGATION_DELAY_NS
           + (int64_t)agent_random (a, (uint64_t)DELEGATION_DELAY_NS);
  int64_t members = a->cell == NULL ? 1 : a->cell->member_count;
  int64_t delay_ns = backoff_ns (
      a, CONFLICT_DELAY_PER_MEMBER_NS * (members > 0 ? members : 1),
      a->store.conflicts - 1, CONFLICT_DOUBLINGS_MAX);
  return delay_ns < CONFLICT_DELAY_MAX_NS
             ? delay_ns
             : CONFLICT_DELAY_MAX_NS / 2
                   + (int64_t)agent_random (a, (uint64_t)CONFLICT_DELAY_MAX_NS
                                                   / 2);
}

/* Swaps.  */

static struct cell *
begin_proposal (struct agent *a)
{
  struct cell *next
      = a->cell == NULL || (a->self == 0 && a->store.document_absent)
            ? cell_new (a->service, a->slots)
            : cell_copy (a->cell);
  if (next == NULL)
    return NULL;
  if (next->serial == 0)
    next->key_space = a->key_space;
  snprintf (a->store.change, sizeof a->store.change, "%08x-%u", a->change_tag,
            ++a->change_count);
  cell_begin_change (next, a->store.change);
  return next;
}

static void
mark_unsettled (struct agent *a, const struct cell *next, int64_t now_ns)
{
  struct agent_store *st = &a->store;
  const struct cell_member *member = agent_own_member (a);
  st->unsettled = true;
  st->unsettled_expected = a->revision;
  if (member == NULL)
    return;
  const struct cell_member *proposed = cell_member (next, a->self);
  if (proposed == NULL)
    st->removes_self = true;
  else if (proposed->guardian_epoch != member->guardian_epoch)
    lease_ward_begin_change (&a->ward_state, proposed->guardian,
                             proposed->second, now_ns);
  agent_report_lease (a, now_ns);
}

static void
submit (struct agent *a, struct cell *next, int64_t now_ns)
{
  struct agent_store *st = &a->store;
  size_t length = 0;
  char *json = cell_format (next, &length);
  char *copy = json == NULL ? NULL : malloc (length + 1);
  if (copy == NULL)
    {
      free (json);
      free (next);
      if (!st->unsettled)
        lease_guardian_clear_removals (&a->guardian_state);
      st->next_call_ns = now_ns + NO_CHANGE_DELAY_NS;
      return;
    }
  memcpy (copy, json, length + 1);
  drop_proposal (a);
  st->proposal = next;
  st->json = copy;
  st->length = length;
  mark_unsettled (a, next, now_ns);
  st->call = AGENT_CALL_SWAP;
  a->stats.swaps++;
  a->env->ops->swap (a->env, a->revision, json, length);
}

static void
try_swap (struct agent *a, int64_t now_ns)
{
  struct cell *next = begin_proposal (a);
  if (next == NULL)
    return;
  if (agent_plan (a, next, now_ns) || a->store.in_doubt)
    submit (a, next, now_ns);
  else
    {
      free (next);
      a->unresponsive_count = 0;
      a->store.next_call_ns = now_ns + NO_CHANGE_DELAY_NS;
    }
}

static void
swap_done (struct agent *a, int64_t revision, int64_t now_ns)
{
  struct agent_store *st = &a->store;
  struct cell *cell = st->proposal;
  char *json = st->json;
  st->proposal = NULL;
  st->json = NULL;
  agent_log_event (a, EV_OWNERSHIP_WRITTEN,
                   "revision=%lld change=%s conflicts=%u waited_ms=%lld "
                   "members=%u owned=%u",
                   (long long)revision, st->change, st->conflicts,
                   (long long)((now_ns - st->change_due_ns) / NS_PER_MS),
                   cell->member_count, cell_count_slots (cell, a->self));
  st->conflicts = 0;
  st->change_due_ns = 0;
  if (revision > a->revision)
    agent_apply_document (a, cell, revision, json, st->length, now_ns);
  else
    free (cell);
  free (json);
}

void
agent_on_swap (struct agent *a, enum status status, int64_t revision,
               int64_t now_ns)
{
  struct agent_store *st = &a->store;
  if (st->call != AGENT_CALL_SWAP)
    return;
  st->call = AGENT_CALL_NONE;
  switch (status)
    {
    case STATUS_OK:
      call_answered (a);
      swap_done (a, revision, now_ns);
      break;
    case STATUS_CONFLICT:
      call_answered (a);
      a->stats.conflicts++;
      a->move.conflicts++;
      /* The store holds another document.  Until it is read, an earlier swap
         in doubt may be the one that wrote it, so the swap stays
         unsettled.  */
      st->read_wanted
          = !st->unsettled || a->revision <= st->unsettled_expected;
      st->conflicts++;
      st->next_call_ns = now_ns + conflict_delay_ns (a);
      break;
    case STATUS_UNAVAILABLE:
      if (!st->in_doubt && st->unsettled
          && a->revision <= st->unsettled_expected)
        agent_settle_swaps (a);
      call_failed (a, now_ns);
      break;
    default:
      a->stats.in_doubt++;
      if (st->unsettled)
        {
          st->in_doubt = true;
          st->read_wanted = true;
          agent_log_event (a, EV_SWAP_IN_DOUBT, "change=%s", st->change);
        }
      call_failed (a, now_ns);
      break;
    }
  agent_report_lease (a, now_ns);
}

/* Reads.  */

static void
begin_read (struct agent *a)
{
  a->store.call = AGENT_CALL_READ;
  a->store.next_refresh_ns
      = a->now_ns + REFRESH_INTERVAL_NS
        + (int64_t)agent_random (a, (uint64_t)REFRESH_INTERVAL_NS / 2);
  a->store.read_wanted = false;
  for (uint32_t i = 0; i < a->pending_renewal_count; i++)
    a->pending_renewals[i].read_started = true;
  a->stats.reads++;
  a->env->ops->read (a->env);
}

static void
clear_started_reads (struct agent *a)
{
  for (uint32_t i = 0; i < a->pending_renewal_count; i++)
    a->pending_renewals[i].read_started = false;
}

void
agent_on_serial (struct agent *a, uint32_t serial)
{
  if (serial > a->known_serial)
    a->known_serial = serial;
}

void
agent_on_read (struct agent *a, enum status status, int64_t revision,
               const char *json, size_t length, int64_t now_ns)
{
  struct agent_store *st = &a->store;
  if (st->call != AGENT_CALL_READ)
    return;
  st->call = AGENT_CALL_NONE;
  bool known = false;
  if (status == STATUS_OK)
    {
      enum status s = agent_on_document (a, revision, json, length, now_ns);
      known = s == STATUS_OK || s == STATUS_STALE;
    }
  else if (status == STATUS_NOT_FOUND && a->cell == NULL)
    st->document_absent = known = true;
  if (known)
    {
      call_answered (a);
      a->known_serial = 0;
      agent_answer_pending_renewals (a, now_ns);
      return;
    }
  clear_started_reads (a);
  st->read_wanted = true;
  call_failed (a, now_ns);
}

/* Whether to read the store because this member has no lease and its guardian
   does not answer: it may have missed a document that only that guardian could
   have announced.  */
static bool
refresh_due (const struct agent *a, int64_t now_ns)
{
  return a->ward_state.unanswered >= REFRESH_RENEWALS_MIN && a->self != 0
         && !agent_has_lease (a, now_ns) && now_ns >= a->store.next_refresh_ns;
}

static bool
read_due (const struct agent *a, int64_t now_ns)
{
  return a->store.read_wanted || agent_pending_renewals_need_read (a, now_ns)
         || refresh_due (a, now_ns);
}

/* Whether a newer document is known to exist, so that a swap would only
   conflict.  */
static bool
is_document_outdated (const struct agent *a)
{
  return a->cell != NULL && a->known_serial > a->cell->serial
         && !a->store.in_doubt;
}

static bool
swap_due (struct agent *a, int64_t now_ns)
{
  return a->store.in_doubt || agent_plan_due (a, now_ns);
}

void
agent_store_tick (struct agent *a, int64_t now_ns)
{
  struct agent_store *st = &a->store;
  if (st->call != AGENT_CALL_NONE || now_ns < st->next_call_ns)
    return;
  bool swap = swap_due (a, now_ns);
  if (!swap)
    st->change_due_ns = 0;
  else if (st->change_due_ns == 0)
    st->change_due_ns = now_ns;
  if (read_due (a, now_ns) || (swap && is_document_outdated (a)))
    begin_read (a);
  else if (swap)
    try_swap (a, now_ns);
}

int64_t
agent_store_next (struct agent *a, int64_t now_ns)
{
  struct agent_store *st = &a->store;
  if (st->call != AGENT_CALL_NONE)
    return AGENT_FOREVER_NS;
  if (!read_due (a, now_ns) && !swap_due (a, now_ns))
    return AGENT_FOREVER_NS;
  return st->next_call_ns > now_ns ? st->next_call_ns : now_ns;
}

bool
agent_has_pending_change (const struct agent *a)
{
  return a->store.in_doubt || a->store.outage_reported;
}
