/* Changes that an agent makes to the document.  The plan is derived again from
   the document and the state of the member before each swap, so that a swap
   conflict needs no repair: the document is read and the change is planned
   again.  */

#include "own/agent_state.h"
#include "settings/address.h"

#include <string.h>

/* Time after which a renewal counts as unanswered.  */
#define ANSWER_TIMEOUT_NS (40 * NS_PER_MS)
/* A guardian that did not answer is not chosen again for this time.  */
#define UNRESPONSIVE_NS (30 * NS_PER_S)
/* Delay before a guardian without a lease declares a ward dead.  It may itself
   be the one that is disconnected, and its own guardian is to act first.  */
#define NO_LEASE_DELAY_NS (100 * NS_PER_MS)

enum
{
  /* Unanswered renewals after which a guardian counts as unresponsive, and
     after which it is changed although the second guardian grants.  */
  UNRESPONSIVE_RENEWALS_MIN = 2,
  UNRESPONSIVE_WITH_SECOND_MIN = 8,
  PAIR_MEMBERS = 2
};

static bool
has_other_active (const struct agent *a)
{
  const struct cell_member *member = agent_own_member (a);
  uint32_t active = cell_count_state (a->cell, MEMBER_ACTIVE);
  return active > (member != NULL && member->state == MEMBER_ACTIVE ? 1U : 0U);
}

/* Joining.  */

static uint32_t
join_guardian (const struct cell *cell, const struct cell_member *member)
{
  if (cell_is_forming (cell))
    return 0;
  uint32_t guardian = place_guardian (cell, 0, member, NULL, 0);
  if (guardian == 0 && cell->member_count > 0)
    guardian = cell->members[0].incarnation;
  return guardian;
}

enum status
agent_plan_joiner (struct cell *next, const struct cell_member *member,
                   uint32_t *incarnation)
{
  const struct cell_member *earlier = cell_find_place (next, member);
  if (earlier != NULL)
    return cell_replace (next, earlier->incarnation, member, incarnation);
  return cell_join (next, member, join_guardian (next, member), incarnation);
}

static bool
plan_join (struct agent *a, struct cell *next)
{
  uint32_t *incarnation = &a->store.joined_incarnation;
  enum status s = a->forms && next->next_incarnation == 1
                      ? cell_join_forming (next, &a->own_member, incarnation)
                      : agent_plan_joiner (next, &a->own_member, incarnation);
  if (s == STATUS_FULL && !a->full_reported)
    agent_log_event (a, EV_CELL_FULL, "members=%u", next->member_count);
  a->full_reported = s == STATUS_FULL;
  return s == STATUS_OK;
}

static bool
join_due (const struct agent *a, int64_t now_ns)
{
  return a->self == 0 && !a->leave_requested && !a->out
         && now_ns >= a->next_join_ns
         && !agent_request_pending (a, REQUEST_JOIN, now_ns)
         && (a->cell != NULL || a->store.document_absent);
}

/* Guardians.  */

static int64_t
last_sent_ns (const struct agent *a)
{
  return a->ward_state.sent_ns[a->ward_state.sequence % LEASE_SENT_MAX];
}

static bool
guardian_unresponsive (const struct agent *a, int64_t now_ns)
{
  return a->ward_state.guardian != 0
         && a->ward_state.unanswered >= UNRESPONSIVE_RENEWALS_MIN
         && now_ns >= last_sent_ns (a) + ANSWER_TIMEOUT_NS;
}

/* Whether the guardian must be changed because it does not answer.  While the
   second guardian grants, this can wait: the guardian that does not answer may
   be removed by its own guardian.  */
static bool
guardian_lost (const struct agent *a, int64_t now_ns)
{
  if (!guardian_unresponsive (a, now_ns))
    return false;
  return a->ward_state.second == 0
         || a->ward_state.unanswered >= UNRESPONSIVE_WITH_SECOND_MIN
         || lease_ward_until (&a->ward_state)
                < now_ns + a->ward_state.term_ns / 4;
}

static bool
guardian_leaving (const struct agent *a)
{
  const struct cell_member *g = cell_member (a->cell, a->ward_state.guardian);
  return g != NULL && g->state == MEMBER_LEAVING;
}

/* Whether this member is the first guardian of GUARDIAN, one of its own: if
   both were lost, nobody could declare them dead.  Unavoidable in a cell of
   two.  */
static bool
guards (const struct agent *a, uint32_t guardian)
{
  const struct cell_member *g = cell_member (a->cell, guardian);
  return g != NULL && g->guardian == a->self
         && a->cell->member_count > PAIR_MEMBERS;
}

static bool
guardian_due (const struct agent *a, int64_t now_ns)
{
  const struct cell_member *member = agent_own_member (a);
  if (!has_other_active (a))
    return false;
  if (member->guardian == 0 || guardian_leaving (a))
    return true;
  if (guardian_lost (a, now_ns))
    return place_guardian (a->cell, a->self, member, &member->guardian, 1)
           != member->guardian;
  return a->guardian_suboptimal
         && (now_ns >= a->next_guardian_change_ns
             || guards (a, a->ward_state.guardian))
         && agent_has_lease (a, now_ns);
}

static void
record_unresponsive (struct agent *a, int64_t now_ns)
{
  a->unresponsive_until_ns = now_ns + UNRESPONSIVE_NS;
  uint32_t guardian = a->ward_state.guardian;
  for (uint32_t i = 0; i < a->unresponsive_count; i++)
    if (a->unresponsive[i] == guardian)
      return;
  if (a->unresponsive_count == AGENT_UNRESPONSIVE_MAX)
    memmove (a->unresponsive, a->unresponsive + 1,
             sizeof a->unresponsive[0] * --a->unresponsive_count);
  a->unresponsive[a->unresponsive_count++] = guardian;
}

/* After a change from the first guardian FORMER, keep that one as the second,
   so that its grants count until the result of the change is known.  That
   takes long when the store is lost, and a second guardian grants only while
   its own first one does.  */
static void
keep_former_guardian (struct agent *a, struct cell *next, uint32_t former,
                      bool lost)
{
  const struct cell_member *m = cell_member (next, a->self);
  const struct cell_member *f = cell_member (next, former);
  if (m->guardian == 0 || f == NULL)
    return;
  if (m->second == 0
      || (!lost && f->state == MEMBER_ACTIVE && !guards (a, former)))
    cell_set_second_guardian (next, a->self, former);
}

static bool
plan_guardian (struct agent *a, struct cell *next, int64_t now_ns)
{
  if (now_ns >= a->unresponsive_until_ns)
    a->unresponsive_count = 0;
  const struct cell_member *member = cell_member (next, a->self);
  bool lost = guardian_lost (a, now_ns);
  if (lost)
    record_unresponsive (a, now_ns);
  uint32_t guardian = place_guardian (next, a->self, member, a->unresponsive,
                                      a->unresponsive_count);
  uint32_t former = member->guardian;
  if (guardian == former
      || cell_set_guardian (next, a->self, guardian) != STATUS_OK)
    return false;
  keep_former_guardian (a, next, former, lost);
  return true;
}

static bool
second_due (const struct agent *a, int64_t now_ns)
{
  const struct cell_member *member = agent_own_member (a);
  if (member->guardian == 0 || a->leave_requested
      || member->state != MEMBER_ACTIVE
      || (now_ns < a->next_second_change_ns && !guards (a, member->second))
      || a->ward_state.unanswered >= UNRESPONSIVE_RENEWALS_MIN
      || !agent_has_lease (a, now_ns))
    return false;
  return a->second_suboptimal;
}

static bool
plan_second (struct cell *next, uint32_t incarnation)
{
  const struct cell_member *member = cell_member (next, incarnation);
  uint32_t second = place_second_guardian (next, incarnation);
  return second != member->second
         && cell_set_second_guardian (next, incarnation, second) == STATUS_OK;
}

bool
agent_plan_activation (struct cell *next, uint32_t incarnation)
{
  if (cell_activate (next, incarnation) != STATUS_OK)
    return false;
  if (cell_member (next, incarnation)->second == 0)
    plan_second (next, incarnation);
  return true;
}

/* Wards.  */

static int64_t
removal_delay_ns (const struct agent *a, int64_t now_ns)
{
  bool presumed_connected
      = agent_has_lease (a, now_ns) || a->cell->member_count <= PAIR_MEMBERS;
  return presumed_connected ? 0 : NO_LEASE_DELAY_NS;
}

static bool
ward_lost (const struct agent *a, uint32_t i, int64_t now_ns)
{
  const struct lease_promise *p = &a->guardian_state.wards[i];
  return lease_promise_allows_removal (p,
                                       now_ns - removal_delay_ns (a, now_ns));
}

static bool
ward_removal_due (const struct agent *a, int64_t now_ns)
{
  for (uint32_t i = 0; i < a->guardian_state.count; i++)
    if (ward_lost (a, i, now_ns))
      return true;
  return false;
}

static bool
plan_ward_removals (struct agent *a, struct cell *next, int64_t now_ns)
{
  bool changed = false;
  for (uint32_t i = 0; i < a->guardian_state.count; i++)
    {
      struct lease_promise *p = &a->guardian_state.wards[i];
      if (!ward_lost (a, i, now_ns))
        continue;
      if (cell_remove (next, p->ward, a->self) != STATUS_OK)
        continue;
      p->removal_submitted = true;
      changed = true;
    }
  return changed;
}

static bool
plan_delegated_removals (struct agent *a, struct cell *next)
{
  bool changed = false;
  for (uint32_t i = 0; i < a->removal_count; i++)
    {
      const struct agent_removal *removal = &a->removals[i];
      if (removal->ward != a->self && agent_removal_is_valid (removal, next))
        changed |= cell_remove (next, removal->ward, removal->guardian)
                   == STATUS_OK;
    }
  return changed;
}

static bool
plan_evictions (struct agent *a, struct cell *next)
{
  bool changed = false;
  for (uint32_t i = 0; i < a->eviction_count; i++)
    changed |= cell_remove (next, a->evictions[i], a->self) == STATUS_OK;
  return changed;
}

/* What waits while the writer is asked to remove this member.  */

bool
agent_owns_pins (const struct agent *a)
{
  return a->owned_count > cell_count_slots (a->cell, a->self);
}

/* Whether to mark this member as leaving.  */
static bool
leaving_due (const struct agent *a, int64_t now_ns)
{
  return a->leave_requested && agent_own_member (a)->state != MEMBER_LEAVING
         && !agent_leave_is_delegated (a, now_ns);
}

static bool
move_due (const struct agent *a, int64_t now_ns)
{
  return a->move.state == MOVE_READY && !agent_leave_is_delegated (a, now_ns);
}

/* Slots.  */

static bool
is_first_active (const struct agent *a, const struct cell *cell)
{
  for (uint32_t i = 0; i < cell->member_count; i++)
    if (cell->members[i].state == MEMBER_ACTIVE)
      return cell->members[i].incarnation == a->self;
  return false;
}

static bool
plan_unowned (struct agent *a, struct cell *next)
{
  struct place_loads loads;
  agent_collect_loads (a, next, &loads);
  return place_assign_unowned (next, &loads, a->policy) > 0;
}

static bool
plan_key (struct agent *a, struct cell *next)
{
  const struct agent_current_move *move = &a->move;
  if (!agent_may_receive_slots (next, move->to[0])
      || cell_pin (next, move->key, move->key_length, a->self, move->to[0])
             != STATUS_OK)
    return false;
  if (move->hot)
    cell_mark_pin_hot (next, move->key, move->key_length);
  return true;
}

static bool
plan_move (struct agent *a, struct cell *next, int64_t now_ns)
{
  struct agent_current_move *move = &a->move;
  bool changed = false;
  if (!move_due (a, now_ns))
    return false;
  if (move->key_length > 0)
    return plan_key (a, next);
  for (uint32_t i = 0; i < move->count; i++)
    changed |= agent_may_receive_slots (next, move->to[i])
               && cell_move_slot (next, move->slots[i], a->self, move->to[i])
                      == STATUS_OK;
  return changed;
}

/* Leaving.  */

static bool
resign_due (const struct agent *a)
{
  return a->leave_requested && agent_own_member (a)->state == MEMBER_LEAVING
         && a->owned_count == 0 && a->move.state == MOVE_NONE;
}

/* Give SUCCESSOR another guardian if LEAVER is its only one.  It may itself be
   lost, and without a guardian no member could declare it dead.  */
static void
plan_successor_guardian (struct cell *next, uint32_t leaver,
                         uint32_t successor)
{
  const struct cell_member *m = cell_member (next, successor);
  if (m == NULL || m->guardian != leaver || m->second != 0)
    return;
  uint32_t other = place_guardian (next, successor, m, &leaver, 1);
  if (other != 0 && other != leaver)
    cell_set_guardian (next, successor, other);
}

bool
agent_plan_leaver (struct cell *next, uint32_t incarnation)
{
  uint32_t successor = cell_member (next, incarnation)->guardian;
  plan_successor_guardian (next, incarnation, successor);
  return cell_remove (next, incarnation, successor) == STATUS_OK;
}

static bool
activate_due (const struct agent *a, int64_t now_ns)
{
  return agent_own_member (a)->state == MEMBER_JOINING
         && agent_has_lease (a, now_ns) && !a->leave_requested
         && !agent_request_pending (a, REQUEST_ACTIVATE, now_ns);
}

/* Whether a change is due while the cell is being formed.  No member serves
   anything, and none needs a guardian.  */
static bool
forming_due (struct agent *a, int64_t now_ns)
{
  return now_ns >= agent_form_due_ns (a) || agent_asked_due (a, now_ns)
         || a->eviction_count > 0 || resign_due (a) || leaving_due (a, now_ns);
}

bool
agent_plan_due (struct agent *a, int64_t now_ns)
{
  if (a->self == 0 || a->cell == NULL)
    return join_due (a, now_ns);
  if (cell_is_forming (a->cell))
    return forming_due (a, now_ns);
  return agent_asked_due (a, now_ns) || activate_due (a, now_ns)
         || guardian_due (a, now_ns) || second_due (a, now_ns)
         || ward_removal_due (a, now_ns) || a->eviction_count > 0
         || a->removal_count > 0
         || (a->has_unowned && is_first_active (a, a->cell))
         || move_due (a, now_ns) || resign_due (a) || leaving_due (a, now_ns);
}

static bool
plan_self (struct agent *a, struct cell *next, int64_t now_ns)
{
  bool changed = false;
  if (activate_due (a, now_ns))
    changed |= agent_plan_activation (next, a->self);
  if (leaving_due (a, now_ns))
    changed |= cell_set_leaving (next, a->self) == STATUS_OK;
  /* A member that removes its own guardian may be left without one.  */
  bool lost_guardian = cell_member (next, a->self)->guardian == 0;
  bool new_guardian = false;
  if (guardian_due (a, now_ns)
      || (lost_guardian && agent_own_member (a)->guardian != 0))
    new_guardian = plan_guardian (a, next, now_ns);
  /* One guardian at a time: the grants of the other one count meanwhile.  */
  if (!new_guardian && second_due (a, now_ns))
    changed |= plan_second (next, a->self);
  return changed || new_guardian;
}

static bool
plan_forming (struct agent *a, struct cell *next, int64_t now_ns)
{
  bool changed = plan_evictions (a, next);
  if (leaving_due (a, now_ns))
    changed |= cell_set_leaving (next, a->self) == STATUS_OK;
  changed |= agent_plan_asked (a, next, now_ns);
  changed |= agent_plan_form (a, next, now_ns);
  return changed;
}

bool
agent_plan (struct agent *a, struct cell *next, int64_t now_ns)
{
  a->store.joined_incarnation = 0;
  if (a->self == 0)
    {
      if (!join_due (a, now_ns) || !plan_join (a, next))
        return false;
      agent_plan_asked (a, next, now_ns);
      return true;
    }
  if (resign_due (a))
    return agent_plan_leaver (next, a->self);
  if (cell_is_forming (next))
    return plan_forming (a, next, now_ns);
  bool changed = agent_plan_asked (a, next, now_ns);
  changed |= plan_ward_removals (a, next, now_ns);
  changed |= plan_delegated_removals (a, next);
  changed |= plan_evictions (a, next);
  changed |= plan_self (a, next, now_ns);
  changed |= plan_move (a, next, now_ns);
  if (changed || is_first_active (a, next))
    changed |= plan_unowned (a, next);
  return changed;
}

int64_t
agent_plan_next (const struct agent *a, int64_t now_ns)
{
  if (a->self == 0)
    return a->leave_requested || a->out || a->next_join_ns <= now_ns
               ? AGENT_FOREVER_NS
               : a->next_join_ns;
  int64_t next_ns = lease_guardian_next_lapse (&a->guardian_state, now_ns);
  if (agent_form_due_ns (a) < next_ns)
    next_ns = agent_form_due_ns (a);
  for (uint32_t i = 0; i < a->guardian_state.count; i++)
    {
      int64_t at_ns = a->guardian_state.wards[i].until_ns + NO_LEASE_DELAY_NS;
      if (at_ns > now_ns && at_ns < next_ns)
        next_ns = at_ns;
    }
  if (a->ward_state.unanswered >= UNRESPONSIVE_RENEWALS_MIN
      && last_sent_ns (a) + ANSWER_TIMEOUT_NS > now_ns
      && last_sent_ns (a) + ANSWER_TIMEOUT_NS < next_ns)
    next_ns = last_sent_ns (a) + ANSWER_TIMEOUT_NS;
  return next_ns;
}
