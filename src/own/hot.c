#include "own/hot.h"
#include "base/clock.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define MINUTE_NS (60.0 * NS_PER_S)

/* The load that KEY brings to its owner, in hundredths of the capacity.  */
static double
load_of (const struct sketch *sketch, const struct sketch_key *k,
         double owner_load)
{
  double total = sketch_total_rate (sketch);
  double rate = k->rate - k->rate_error;
  return total <= 0 || rate <= 0 ? 0 : owner_load * rate / total;
}

static double
load_at (const struct cell *cell, uint32_t incarnation,
         const struct place_loads *loads)
{
  member_index id = cell_member_index (cell, incarnation);
  return id == MEMBER_NONE ? 0 : loads->load[id];
}

void
hot_end_window (struct sketch *sketch, const struct cell *cell, uint32_t self,
                const struct place_loads *loads)
{
  sketch_end_window (sketch);
  double own_load = load_at (cell, self, loads);
  for (uint32_t i = 0; i < SKETCH_KEYS; i++)
    {
      struct sketch_key *k = sketch_key_at (sketch, i);
      if (k == NULL)
        continue;
      double load = load_of (sketch, k, own_load);
      k->hot_windows = load >= HOT_LOAD_PERCENT ? k->hot_windows + 1 : 0;
      k->cool_windows
          = load < HOT_LOAD_PERCENT / 2.0 ? k->cool_windows + 1 : 0;
    }
}

/* Loads as they will be when the moves chosen so far are done.  */
struct plan
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
add_move (struct plan *p, const struct sketch_key *k, uint32_t to)
{
  struct hot_move *m = &p->moves[p->count++];
  memcpy (m->key, k->key, sizeof m->key);
  m->length = k->length;
  m->to = to;
}

/* Active, and its load is known.  */
static bool
may_take (const struct plan *p, member_index i)
{
  return p->cell->members[i].state == MEMBER_ACTIVE && p->load[i] > 0;
}

/* The member for the key K: one of those within HOT_EQUAL_LOAD_PERCENT of the
   least load, by a hash.  Givers that act at once see the same loads and
   should not all take the same member.  */
static member_index
coolest_member (const struct plan *p, const struct sketch_key *k)
{
  double least = INFINITY;
  uint64_t highest = 0;
  member_index best = MEMBER_NONE;
  for (uint32_t i = 0; i < p->cell->member_count; i++)
    if (may_take (p, i))
      least = fmin (least, p->load[i]);
  for (uint32_t i = 0; i < p->cell->member_count; i++)
    {
      uint32_t incarnation = p->cell->members[i].incarnation;
      uint64_t hash = XXH3_64bits_withSeed (k->key, k->length, incarnation);
      if (!may_take (p, i) || p->load[i] > least + HOT_EQUAL_LOAD_PERCENT
          || (best != MEMBER_NONE && hash < highest))
        continue;
      highest = hash;
      best = i;
    }
  return best;
}

static bool
is_hot (const struct plan *p, const struct sketch_key *k)
{
  if (k->hot_windows < HOT_WINDOWS_MIN
      || cell_owner_of (p->cell, k->key, k->length).incarnation != p->self)
    return false;
  const struct cell_pin *pin = cell_find_pin (p->cell, k->key, k->length);
  return pin == NULL || (pin->hot && k->hot_windows >= HOT_STAY_WINDOWS_MIN);
}

/* The hottest key that SELF owns and that is not chosen yet.  */
static struct sketch_key *
hottest (struct sketch *sketch, const struct plan *p)
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
choose_hot (struct sketch *sketch, struct plan *p, double own_load)
{
  member_index self = cell_member_index (p->cell, p->self);
  while (p->count < p->max)
    {
      struct sketch_key *k = hottest (sketch, p);
      if (k == NULL)
        return;
      member_index to = coolest_member (p, k);
      if (to == MEMBER_NONE)
        return;
      double load = load_of (sketch, k, own_load);
      k->hot_windows = 0;
      /* Else it would only carry the heat elsewhere.  */
      if (to == self || p->load[to] + load > p->load[self] - p->gap)
        continue;
      add_move (p, k, p->cell->members[to].incarnation);
      p->load[self] -= load;
      p->load[to] += load;
    }
}

/* A pinned key that is not in the sketch is cool, unless the sketch is too
   young to know.  */
static bool
is_cool (struct sketch *sketch, const struct cell_pin *pin)
{
  const struct sketch_key *k = sketch_find (sketch, pin->key, pin->length);
  return k == NULL ? sketch_window_count (sketch) >= HOT_COOL_WINDOWS_MIN
                   : k->cool_windows >= HOT_COOL_WINDOWS_MIN;
}

static void
choose_cool (struct sketch *sketch, struct plan *p)
{
  for (uint32_t i = 0; i < p->cell->pin_count && p->count < p->max; i++)
    {
      const struct cell_pin *pin = &p->cell->pins[i];
      uint32_t slot = cell_slot_of (p->cell, pin->key, pin->length);
      uint32_t home = p->cell->slots[slot].owner;
      if (pin->owner != p->self || !pin->hot || home == 0 || home == p->self
          || !is_cool (sketch, pin))
        continue;
      struct hot_move *m = &p->moves[p->count++];
      memcpy (m->key, pin->key, sizeof m->key);
      m->length = pin->length;
      m->to = home;
    }
}

uint32_t
hot_choose_moves (struct sketch *sketch, const struct cell *cell,
                  uint32_t self, const struct place_loads *loads,
                  enum settings_policy policy, struct hot_move *moves,
                  uint32_t max)
{
  struct plan p = { .cell = cell, .self = self, .moves = moves, .max = max };
  p.gap = policy == POLICY_IMBALANCE_FIRST ? HOT_GAP_PERCENT
                                           : HOT_GAP_UNAVAILABLE_FIRST_PERCENT;
  if (cell_member_index (cell, self) == MEMBER_NONE)
    return 0;
  for (uint32_t i = 0; i < cell->member_count; i++)
    p.load[i] = loads->load[i];
  choose_hot (sketch, &p, load_at (cell, self, loads));
  choose_cool (sketch, &p);
  return p.count;
}

const struct sketch_key *
hot_find_saturating (struct sketch *sketch, const struct cell *cell,
                     uint32_t self, const struct place_loads *loads)
{
  double own_load = load_at (cell, self, loads);
  for (uint32_t i = 0; i < SKETCH_KEYS; i++)
    {
      const struct sketch_key *k = sketch_key_at (sketch, i);
      if (k != NULL && k->hot_windows >= HOT_WINDOWS_MIN
          && load_of (sketch, k, own_load) >= HOT_SATURATING_PERCENT)
        return k;
    }
  return NULL;
}

static uint32_t
drop_slot (struct place_move *moves, uint32_t count, uint32_t slot)
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
  double own_load = load_at (cell, self, loads);
  for (uint32_t i = 0; i < SKETCH_KEYS; i++)
    {
      const struct sketch_key *k = sketch_key_at (sketch, i);
      if (k != NULL && load_of (sketch, k, own_load) >= HOT_LOAD_PERCENT)
        count
            = drop_slot (moves, count, cell_slot_of (cell, k->key, k->length));
    }
  return count;
}

bool
hot_budget_take (struct hot_budget *budget, int64_t now_ns)
{
  double back = (double)(now_ns - budget->updated_ns) * HOT_MOVES_PER_MINUTE
                / MINUTE_NS;
  budget->spent = budget->spent > back ? budget->spent - back : 0;
  budget->updated_ns = now_ns;
  if (budget->spent > HOT_MOVES_PER_MINUTE - 1)
    return false;
  budget->spent++;
  return true;
}
