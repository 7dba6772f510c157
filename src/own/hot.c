#include "own/hot.h"
#include "base/clock.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define MINUTE_NS (60.0 * NS_PER_S)

/* The load that K causes at its owner, in hundredths of the capacity.  */
static double
key_load (const struct sketch *sketch, const struct sketch_key *k,
          double owner_load)
{
  double total = sketch_total_rate (sketch);
  double rate = k->rate - k->rate_error;
  return total <= 0 || rate <= 0 ? 0 : owner_load * rate / total;
}

static double
member_load (const struct cell *cell, uint32_t incarnation,
             const struct place_loads *loads)
{
  member_index index = cell_member_index (cell, incarnation);
  return index == MEMBER_NONE ? 0 : loads->load[index];
}

void
hot_end_window (struct sketch *sketch, const struct cell *cell, uint32_t self,
                const struct place_loads *loads)
{
  sketch_end_window (sketch);
  double own_load = member_load (cell, self, loads);
  for (uint32_t i = 0; i < SKETCH_KEYS; i++)
    {
      struct sketch_key *k = sketch_key_at (sketch, i);
      if (k == NULL)
        continue;
      double load = key_load (sketch, k, own_load);
      k->hot_windows = load >= HOT_LOAD_PERCENT ? k->hot_windows + 1 : 0;
      k->cool_windows
          = load < HOT_LOAD_PERCENT / 2.0 ? k->cool_windows + 1 : 0;
    }
}

/* The moves chosen so far, and the loads expected after them.  */
struct hot_plan
{
  const struct cell *cell;
  uint32_t self;
  double load[CELL_MEMBERS_MAX];
  double gap;
  struct hot_move *moves;
  uint32_t count;
  uint32_t max;
};

static void
add_move (struct hot_plan *p, const struct sketch_key *k, uint32_t to)
{
  struct hot_move *m = &p->moves[p->count++];
  memcpy (m->key, k->key, sizeof m->key);
  m->length = k->length;
  m->to = to;
}

/* Whether member I may receive keys: it is active and its load is known.  */
static bool
can_receive (const struct hot_plan *p, member_index i)
{
  return p->cell->members[i].state == MEMBER_ACTIVE
         && !p->cell->members[i].excluded && p->load[i] > 0;
}

/* Choose the receiver of the key K among the members within
   HOT_EQUAL_LOAD_PERCENT of the lowest load, by rendezvous hashing.  Donors
   that act concurrently see the same loads and should not all choose the same
   member.  */
static member_index
choose_receiver (const struct hot_plan *p, const struct sketch_key *k)
{
  double least = INFINITY;
  uint64_t highest = 0;
  member_index best = MEMBER_NONE;
  for (uint32_t i = 0; i < p->cell->member_count; i++)
    if (can_receive (p, i))
      least = fmin (least, p->load[i]);
  for (uint32_t i = 0; i < p->cell->member_count; i++)
    {
      uint32_t incarnation = p->cell->members[i].incarnation;
      uint64_t hash = XXH3_64bits_withSeed (k->key, k->length, incarnation);
      if (!can_receive (p, i) || p->load[i] > least + HOT_EQUAL_LOAD_PERCENT
          || (best != MEMBER_NONE && hash < highest))
        continue;
      highest = hash;
      best = i;
    }
  return best;
}

static bool
is_hot (const struct hot_plan *p, const struct sketch_key *k)
{
  if (k->hot_windows < HOT_WINDOWS_MIN
      || cell_owner_of (p->cell, k->key, k->length).incarnation != p->self)
    return false;
  const struct cell_pin *pin = cell_find_pin (p->cell, k->key, k->length);
  return pin == NULL || (pin->hot && k->hot_windows >= HOT_STAY_WINDOWS_MIN);
}

/* The hottest key that SELF owns and that has not been chosen yet.  */
static struct sketch_key *
hottest_key (struct sketch *sketch, const struct hot_plan *p)
{
  struct sketch_key *best = NULL;
  for (uint32_t i = 0; i < SKETCH_KEYS; i++)
    {
      struct sketch_key *k = sketch_key_at (sketch, i);
      if (k != NULL && is_hot (p, k) && (best == NULL || k->rate > best->rate))
        best = k;
    }
  return best;
}

static void
choose_hot (struct sketch *sketch, struct hot_plan *p, double own_load)
{
  member_index self = cell_member_index (p->cell, p->self);
  while (p->count < p->max)
    {
      struct sketch_key *k = hottest_key (sketch, p);
      if (k == NULL)
        return;
      member_index to = choose_receiver (p, k);
      if (to == MEMBER_NONE)
        return;
      double load = key_load (sketch, k, own_load);
      k->hot_windows = 0;
      /* Otherwise the move would only shift the overload.  */
      if (to == self || p->load[to] + load > p->load[self] - p->gap)
        continue;
      add_move (p, k, p->cell->members[to].incarnation);
      p->load[self] -= load;
      p->load[to] += load;
    }
}

/* A pinned key that is not in the sketch is cool, unless the sketch has not
   counted for long enough.  */
static bool
is_cool (struct sketch *sketch, const struct cell_pin *pin)
{
  const struct sketch_key *k = sketch_find (sketch, pin->key, pin->length);
  return k == NULL ? sketch_window_count (sketch) >= HOT_COOL_WINDOWS_MIN
                   : k->cool_windows >= HOT_COOL_WINDOWS_MIN;
}

static void
choose_cool (struct sketch *sketch, struct hot_plan *p)
{
  for (uint32_t i = 0; i < p->cell->pin_count && p->count < p->max; i++)
    {
      const struct cell_pin *pin = &p->cell->pins[i];
      uint32_t slot = cell_slot_of (p->cell, pin->key, pin->length);
      uint32_t slot_owner = p->cell->slots[slot].owner;
      if (pin->owner != p->self || !pin->hot || slot_owner == 0
          || slot_owner == p->self || !is_cool (sketch, pin))
        continue;
      struct hot_move *m = &p->moves[p->count++];
      memcpy (m->key, pin->key, sizeof m->key);
      m->length = pin->length;
      m->to = slot_owner;
    }
}

uint32_t
hot_choose_moves (struct sketch *sketch, const struct cell *cell,
                  uint32_t self, const struct place_loads *loads,
                  enum settings_policy policy, struct hot_move *moves,
                  uint32_t max)
{
  struct hot_plan p
      = { .cell = cell, .self = self, .moves = moves, .max = max };
  p.gap = policy == POLICY_IMBALANCE_FIRST ? HOT_GAP_PERCENT
                                           : HOT_GAP_UNAVAILABLE_FIRST_PERCENT;
  if (cell_member_index (cell, self) == MEMBER_NONE)
    return 0;
  for (uint32_t i = 0; i < cell->member_count; i++)
    p.load[i] = loads->load[i];
  choose_hot (sketch, &p, member_load (cell, self, loads));
  choose_cool (sketch, &p);
  return p.count;
}

const struct sketch_key *
hot_find_saturating (struct sketch *sketch, const struct cell *cell,
                     uint32_t self, const struct place_loads *loads)
{
  double own_load = member_load (cell, self, loads);
  for (uint32_t i = 0; i < SKETCH_KEYS; i++)
    {
      const struct sketch_key *k = sketch_key_at (sketch, i);
      if (k != NULL && k->hot_windows >= HOT_WINDOWS_MIN
          && key_load (sketch, k, own_load) >= HOT_SATURATING_PERCENT)
        return k;
    }
  return NULL;
}

static uint32_t
exclude_slot (struct place_move *moves, uint32_t count, uint32_t slot)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < count; i++)
    if (moves[i].slot != slot)
      moves[kept++] = moves[i];
  return kept;
}

uint32_t
hot_exclude_slots (struct sketch *sketch, const struct cell *cell,
                   uint32_t self, const struct place_loads *loads,
                   struct place_move *moves, uint32_t count)
{
  double own_load = member_load (cell, self, loads);
  for (uint32_t i = 0; i < SKETCH_KEYS; i++)
    {
      const struct sketch_key *k = sketch_key_at (sketch, i);
      if (k != NULL && key_load (sketch, k, own_load) >= HOT_LOAD_PERCENT)
        count = exclude_slot (moves, count,
                              cell_slot_of (cell, k->key, k->length));
    }
  return count;
}

bool
hot_budget_take (struct hot_budget *budget, int64_t now_ns)
{
  double refilled = (double)(now_ns - budget->updated_ns)
                    * HOT_MOVES_PER_MINUTE / MINUTE_NS;
  budget->spent = budget->spent > refilled ? budget->spent - refilled : 0;
  budget->updated_ns = now_ns;
  if (budget->spent > HOT_MOVES_PER_MINUTE - 1)
    return false;
  budget->spent++;
  return true;
}
