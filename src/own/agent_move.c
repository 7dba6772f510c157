/* Moves of slots and keys: the slots are closed, their requests in flight end,
   then the document is swapped.  Only one move is in progress at a time.  */

#include "own/agent_state.h"

#include <string.h>

#define REBALANCE_INTERVAL_NS (500 * NS_PER_MS)
#define BALANCED_INTERVAL_NS (5 * NS_PER_S)
/* Each move writes a new document, which all nodes receive.  In a larger cell
   each member moves less often, so that the cell makes about three moves a
   second.  */
#define BALANCED_MEMBERS_STEP 16
#define HOT_WINDOW_NS (1 * NS_PER_S)
#define HOT_REPORT_INTERVAL_NS (60 * NS_PER_S)
#define LEAVE_GRACEFUL_NS (2 * NS_PER_S)

static void
begin_move (struct agent *a, int64_t now_ns)
{
  struct agent_current_move *m = &a->move;
  m->state = MOVE_CLOSING;
  m->conflicts = 0;
  m->id = ++a->move_count;
  m->deadline_ns = now_ns + a->move_timeout_ns;
  struct agent_move request = { .id = m->id };
  if (m->key_length > 0)
    {
      request.key = m->key;
      request.key_length = m->key_length;
    }
  else
    {
      request.slots = m->slots;
      request.slot_count = m->count;
    }
  a->env->ops->close (a->env, &request);
}

static void
end_move (struct agent *a)
{
  uint32_t id = a->move.id;
  a->move.state = MOVE_NONE;
  a->move.key_length = 0;
  a->move.count = 0;
  a->env->ops->reopen (a->env, id);
}

void
agent_cancel_move (struct agent *a)
{
  if (a->move.state != MOVE_NONE)
    end_move (a);
}

static void
abort_move (struct agent *a)
{
  agent_log_event (
      a, EV_MOVE_GIVEN_UP, "slots=%u key=%d state=%s conflicts=%u",
      a->move.count, a->move.key_length > 0,
      a->move.state == MOVE_CLOSING ? "closing" : "closed", a->move.conflicts);
  end_move (a);
}

/* Whether the document contains the result of the move.  */
static bool
is_move_written (const struct agent *a)
{
  const struct agent_current_move *m = &a->move;
  if (m->key_length > 0)
    return cell_owner_of (a->cell, m->key, m->key_length).incarnation
           != a->self;
  for (uint32_t i = 0; i < m->count; i++)
    if (a->cell->slots[m->slots[i]].owner != a->self)
      return true;
  return false;
}

bool
agent_may_receive_slots (const struct cell *cell, uint32_t incarnation)
{
  const struct cell_member *m = cell_member (cell, incarnation);
  return incarnation == 0
         || (m != NULL && m->state == MEMBER_ACTIVE && !m->excluded);
}

/* Whether some receiver of the move may still receive slots.  */
static bool
is_move_possible (const struct agent *a)
{
  const struct agent_current_move *m = &a->move;
  for (uint32_t i = 0; i < m->count; i++)
    if (agent_may_receive_slots (a->cell, m->to[i]))
      return true;
  return false;
}

/* Whether this member has been leaving for longer than LEAVE_GRACEFUL_NS.  It
   then accepts no new requests, whatever is in flight and whether or not the
   store answers.  */
static bool
is_leave_overdue (const struct agent *a, int64_t now_ns)
{
  return a->leave_requested
         && now_ns - a->leave_requested_ns >= LEAVE_GRACEFUL_NS;
}

static void
check_move_progress (struct agent *a, int64_t now_ns)
{
  if (a->store.unsettled)
    return;
  if (a->move.state == MOVE_READY && is_move_written (a))
    {
      agent_log_event (a, EV_SLOTS_MOVED, "slots=%u key=%d", a->move.count,
                       a->move.key_length > 0);
      end_move (a);
    }
  else if (!is_move_possible (a)
           || (now_ns >= a->move.deadline_ns && !is_leave_overdue (a, now_ns)))
    abort_move (a);
}

static void
begin_slot_move (struct agent *a, const struct place_move *moves,
                 uint32_t count, int64_t now_ns)
{
  struct agent_current_move *m = &a->move;
  m->key_length = 0;
  m->count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      m->slots[i] = (uint16_t)moves[i].slot;
      m->to[i] = moves[i].to;
    }
  begin_move (a, now_ns);
}

/* Leaving.  */

static uint32_t
plan_release_all (const struct agent *a, struct place_move *moves,
                  uint32_t max)
{
  uint32_t count = 0;
  for (uint32_t s = 0; s < a->cell->slot_count && count < max; s++)
    if (a->cell->slots[s].owner == a->self)
      moves[count++] = (struct place_move){ s, 0 };
  return count;
}

static bool
begin_key_move (struct agent *a, const char *key, size_t length, uint32_t to,
                bool hot, int64_t now_ns)
{
  struct agent_current_move *m = &a->move;
  m->count = 1;
  m->to[0] = to;
  memcpy (m->key, key, length);
  m->key[length] = '\0';
  m->key_length = length;
  m->hot = hot;
  begin_move (a, now_ns);
  return true;
}

static bool
drain_pin (struct agent *a, int64_t now_ns)
{
  for (uint32_t i = 0; i < a->cell->pin_count; i++)
    {
      const struct cell_pin *p = &a->cell->pins[i];
      uint32_t s = cell_slot_of (a->cell, p->key, p->length);
      uint32_t owner = a->cell->slots[s].owner;
      if (p->owner == a->self && owner != a->self)
        return begin_key_move (a, p->key, p->length, owner, p->hot, now_ns);
    }
  return false;
}

static void
drain_step (struct agent *a, int64_t now_ns)
{
  struct place_move moves[CELL_SLOTS_MAX];
  uint32_t max
      = is_leave_overdue (a, now_ns) ? CELL_SLOTS_MAX : AGENT_DRAIN_SLOTS_MAX;
  struct place_loads loads;
  agent_collect_loads (a, a->cell, &loads);
  uint32_t count = place_drain (a->cell, a->self, &loads, moves, max);
  if (count == 0 && cell_count_state (a->cell, MEMBER_ACTIVE) == 0
      && cell_count_state (a->cell, MEMBER_JOINING) == 0)
    count = plan_release_all (a, moves, max);
  if (count > 0)
    begin_slot_move (a, moves, count, now_ns);
  else if (cell_count_slots (a->cell, a->self) == 0)
    drain_pin (a, now_ns);
}

/* Balance.  */

/* Whether this member has more than twice the mean load and a full step of
   COUNT slots was planned.  It then need not wait for the effect of the step
   on the loads.  */
static bool
is_overloaded (const struct agent *a, const struct place_loads *loads,
               uint32_t count)
{
  uint64_t sum = 0;
  for (uint32_t i = 0; i < a->cell->member_count; i++)
    sum += loads->load[i];
  return count == AGENT_REBALANCE_SLOTS_MAX
         && (uint64_t)a->load * a->cell->member_count > 2 * sum;
}

/* Keep those of COUNT MOVES whose slots have no request in flight, and return
   how many are left.  A busy slot stays closed until its requests have ended,
   which is worse for callers than imbalance.  */
static uint32_t
keep_idle_slots (struct agent *a, struct place_move *moves, uint32_t count)
{
  uint32_t kept = 0;
  if (a->env->ops->is_idle == NULL)
    return count;
  for (uint32_t i = 0; i < count; i++)
    if (a->env->ops->is_idle (a->env, moves[i].slot))
      moves[kept++] = moves[i];
  return kept;
}

static int64_t
balanced_interval_ns (const struct agent *a)
{
  return BALANCED_INTERVAL_NS
         * (1 + a->cell->member_count / BALANCED_MEMBERS_STEP);
}

static void
rebalance_step (struct agent *a, int64_t now_ns)
{
  struct place_move moves[AGENT_REBALANCE_SLOTS_MAX];
  struct place_loads loads;
  agent_collect_loads (a, a->cell, &loads);
  uint32_t count = place_rebalance (a->cell, a->self, &loads, a->policy, moves,
                                    AGENT_REBALANCE_SLOTS_MAX);
  /* The effect of a move on the loads is visible only later.  */
  bool by_load = place_uses_load (a->cell, &loads, a->policy)
                 && !is_overloaded (a, &loads, count);
  if (by_load && a->sketch != NULL)
    count = hot_exclude_slots (a->sketch, a->cell, a->self, &loads, moves,
                               count);
  count = keep_idle_slots (a, moves, count);
  int64_t interval_ns = count > 0 && !by_load ? REBALANCE_INTERVAL_NS
                                              : balanced_interval_ns (a);
  a->next_rebalance_ns
      = now_ns + interval_ns
        + (int64_t)agent_random (a, (uint64_t)interval_ns / 4);
  if (count > 0)
    begin_slot_move (a, moves, count, now_ns);
}

/* Whether no newer document is known.  A move planned from an old document
   would only cause a swap conflict, so the newer one is fetched first.  */
static bool
is_up_to_date (struct agent *a, int64_t now_ns)
{
  if (a->deferred_serial <= a->cell->serial
      && a->fetch_serial <= a->cell->serial)
    return true;
  if (a->deferred_until_ns > now_ns)
    a->deferred_until_ns = now_ns;
  return false;
}

/* Hot keys.  */

/* Log a key that is too much for one target.  A key has one owner, so moving
   it does not help.  */
static void
report_saturating_key (struct agent *a, const struct place_loads *loads,
                       int64_t now_ns)
{
  const struct sketch_key *k
      = hot_find_saturating (a->sketch, a->cell, a->self, loads);
  if (k == NULL || now_ns < a->next_hot_report_ns)
    return;
  a->next_hot_report_ns = now_ns + HOT_REPORT_INTERVAL_NS;
  agent_log_event (a, EV_KEY_TOO_HOT, "key=%s load=%u", k->key, a->load);
}

static void
choose_hot_moves (struct agent *a, int64_t now_ns)
{
  struct place_loads loads;
  a->window_end_ns = now_ns + HOT_WINDOW_NS;
  agent_collect_loads (a, a->cell, &loads);
  hot_end_window (a->sketch, a->cell, a->self, &loads);
  report_saturating_key (a, &loads, now_ns);
  if (a->hot_move_index < a->hot_move_count)
    return;
  a->hot_move_index = 0;
  a->hot_move_count
      = hot_choose_moves (a->sketch, a->cell, a->self, &loads, a->policy,
                          a->hot_moves, AGENT_HOT_MOVES_MAX);
}

/* Begin the next chosen move of a hot key that is still possible.  */
static bool
begin_hot_move (struct agent *a, int64_t now_ns)
{
  while (a->hot_move_index < a->hot_move_count)
    {
      const struct hot_move *m = &a->hot_moves[a->hot_move_index++];
      struct cell_owner o = cell_owner_of (a->cell, m->key, m->length);
      if (o.incarnation != a->self || m->to == a->self
          || !agent_may_receive_slots (a->cell, m->to))
        continue;
      if (!hot_budget_take (&a->hot_budget, now_ns))
        return false;
      return begin_key_move (a, m->key, m->length, m->to, true, now_ns);
    }
  return false;
}

void
agent_count_key (struct agent *a, const char *key, size_t length,
                 uint32_t requests)
{
  if (a->sketch == NULL)
    a->sketch = sketch_new ();
  if (a->sketch != NULL)
    sketch_add (a->sketch, key, length, requests);
}

static bool
can_move (const struct agent *a, int64_t now_ns)
{
  bool store_up = !a->store.outage_reported || is_leave_overdue (a, now_ns);
  return (agent_has_lease (a, now_ns) || a->leave_sent) && !a->store.unsettled
         && store_up;
}

void
agent_move_tick (struct agent *a, int64_t now_ns)
{
  if (a->self == 0 || a->cell == NULL)
    return;
  if (a->move.state != MOVE_NONE)
    check_move_progress (a, now_ns);
  if (a->move.state != MOVE_NONE || !can_move (a, now_ns))
    return;
  if (a->sketch != NULL && now_ns >= a->window_end_ns)
    choose_hot_moves (a, now_ns);
  const struct cell_member *member = agent_own_member (a);
  if (member->state == MEMBER_ACTIVE && !a->leave_requested
      && begin_hot_move (a, now_ns))
    return;
  bool leaving
      = a->leave_requested && a->owned_count > 0
        && (member->state == MEMBER_LEAVING || is_leave_overdue (a, now_ns)
            || agent_leave_is_delegated (a, now_ns));
  bool balancing
      = member->state == MEMBER_ACTIVE && now_ns >= a->next_rebalance_ns;
  if (!leaving && !balancing)
    return;
  if (!is_leave_overdue (a, now_ns) && !is_up_to_date (a, now_ns))
    return;
  if (leaving)
    drain_step (a, now_ns);
  else
    rebalance_step (a, now_ns);
}

int64_t
agent_move_next (const struct agent *a, int64_t now_ns)
{
  if (a->self == 0 || a->cell == NULL)
    return AGENT_FOREVER_NS;
  if (a->move.state != MOVE_NONE)
    return a->store.unsettled ? AGENT_FOREVER_NS : a->move.deadline_ns;
  return a->next_rebalance_ns > now_ns ? a->next_rebalance_ns
                                       : now_ns + a->renew_interval_ns;
}

void
agent_on_idle (struct agent *a, uint32_t id, int64_t now_ns)
{
  (void)now_ns;
  if (a->move.state == MOVE_CLOSING && a->move.id == id)
    a->move.state = MOVE_READY;
}

void
agent_on_busy (struct agent *a, uint32_t id, int64_t now_ns)
{
  if (a->move.state != MOVE_CLOSING || a->move.id != id)
    return;
  if (is_leave_overdue (a, now_ns))
    begin_move (a, now_ns);
  else
    abort_move (a);
}

/* Commands.  */

static enum status
check_move (const struct agent *a, uint32_t incarnation)
{
  const struct cell_member *to
      = a->cell == NULL ? NULL : cell_member (a->cell, incarnation);
  if (a->self == 0)
    return status_set (STATUS_INVALID, "not a member");
  if (to == NULL || to->state != MEMBER_ACTIVE)
    return status_set (STATUS_NOT_FOUND, "no active member %u", incarnation);
  if (a->move.state != MOVE_NONE)
    return status_set (STATUS_FULL, "another move is in progress");
  return STATUS_OK;
}

enum status
agent_move_slot (struct agent *a, uint32_t slot, uint32_t incarnation,
                 int64_t now_ns)
{
  enum status s = check_move (a, incarnation);
  if (s != STATUS_OK)
    return s;
  if (slot >= a->cell->slot_count || a->cell->slots[slot].owner != a->self
      || incarnation == a->self)
    return status_set (STATUS_INVALID,
                       "slot %u has another owner or is there already", slot);
  struct place_move move = { slot, incarnation };
  begin_slot_move (a, &move, 1, now_ns);
  return STATUS_OK;
}

enum status
agent_move_key (struct agent *a, const char *key, size_t length,
                uint32_t incarnation, int64_t now_ns)
{
  enum status s = check_move (a, incarnation);
  if (s != STATUS_OK)
    return s;
  if (length == 0 || length >= CELL_KEY_BYTES || incarnation == a->self
      || cell_owner_of (a->cell, key, length).incarnation != a->self)
    return status_set (
        STATUS_INVALID,
        "the key is invalid, has another owner or is there already");
  begin_key_move (a, key, length, incarnation, false, now_ns);
  return STATUS_OK;
}
