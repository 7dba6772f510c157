#include "own/place.h"

#include <string.h>

enum
{
  FULL_LOAD_PERCENT = 100,
  LOAD_SCALE = 1000,
  LOAD_GAP_PERCENT = 10, /* a smaller difference of loads is no imbalance */
  LOAD_IDLE_PERCENT = 5, /* the cell is idle below this mean load */
  IMBALANCE_DIVISOR = 4, /* a quarter of the even share */
  /* Balancing by load needs three quarters of the loads.  */
  KNOWN_LOADS_NUMERATOR = 3,
  KNOWN_LOADS_DENOMINATOR = 4,
  NEIGHBOUR_COUNT = 2,
  SLOTS_PER_MEMBER_MIN = 12
};

struct shares
{
  uint32_t owned[CELL_MEMBERS_MAX];
  uint64_t weight[CELL_MEMBERS_MAX]; /* 0: receives no slots */
  uint64_t total_weight;
};

/* The weight of M, corrected for its load: a member whose slots carry more
   load than those of the others counts as smaller, by a factor of two at
   most.  */
static uint64_t
effective_weight (const struct cell_member *m, uint16_t load, uint64_t mean)
{
  uint64_t weight = (uint64_t)m->weight * FULL_LOAD_PERCENT;
  if (load == 0 || mean == 0)
    return weight;
  uint64_t scaled = weight * mean / load;
  uint64_t lower = weight / 2;
  uint64_t upper = weight * 2;
  if (scaled < lower)
    return lower;
  return scaled > upper ? upper : scaled;
}

static uint64_t
mean_load (const struct cell *cell, const struct place_loads *loads)
{
  uint64_t sum = 0;
  uint64_t known = 0;
  for (uint32_t i = 0; i < cell->member_count; i++)
    {
      sum += loads->load[i];
      known += loads->load[i] != 0;
    }
  return known == 0 ? 0 : sum / known;
}

/* Whether every active member is excluded.  Slots then have owners as if none
   were.  */
static bool
are_all_excluded (const struct cell *cell)
{
  for (uint32_t i = 0; i < cell->member_count; i++)
    if (cell->members[i].state == MEMBER_ACTIVE && !cell->members[i].excluded)
      return false;
  return true;
}

static void
fill_shares (const struct cell *cell, const struct place_loads *loads,
             enum settings_policy policy, struct shares *shares)
{
  bool by_load = loads != NULL && policy == POLICY_IMBALANCE_FIRST;
  uint64_t mean = by_load ? mean_load (cell, loads) : 0;
  bool all_excluded = are_all_excluded (cell);
  memset (shares, 0, sizeof *shares);
  for (uint32_t i = 0; i < cell->member_count; i++)
    {
      const struct cell_member *m = &cell->members[i];
      if (m->state != MEMBER_ACTIVE || (m->excluded && !all_excluded))
        continue;
      shares->weight[i]
          = effective_weight (m, by_load ? loads->load[i] : 0, mean);
      shares->total_weight += shares->weight[i];
    }
  for (uint32_t s = 0; s < cell->slot_count; s++)
    {
      member_index index = cell_member_index (cell, cell->slots[s].owner);
      if (index != MEMBER_NONE)
        shares->owned[index]++;
    }
}

/* Whether member I is marked as one that gets no slots.  */
static bool
is_full (const struct place_loads *loads, uint32_t i)
{
  return loads != NULL && loads->spares_full
         && loads->load[i] == PLACE_LOAD_FULL;
}

/* Exclude the full members from SHARES, unless all are full.  */
static void
spare_full (const struct cell *cell, const struct place_loads *loads,
            struct shares *shares)
{
  bool others = false;
  for (uint32_t i = 0; i < cell->member_count; i++)
    others |= shares->weight[i] != 0 && !is_full (loads, i);
  for (uint32_t i = 0; others && i < cell->member_count; i++)
    if (is_full (loads, i))
      {
        shares->total_weight -= shares->weight[i];
        shares->weight[i] = 0;
      }
}

/* Whether A with one more slot would have more slots relative to its weight
   than B with one more.  */
static bool
is_fuller (const struct shares *s, member_index a, member_index b)
{
  return (s->owned[a] + 1) * s->weight[b] > (s->owned[b] + 1) * s->weight[a];
}

static member_index
least_filled (const struct cell *cell, const struct shares *shares)
{
  member_index best = MEMBER_NONE;
  for (uint32_t i = 0; i < cell->member_count; i++)
    if (shares->weight[i] != 0
        && (best == MEMBER_NONE || is_fuller (shares, best, i)))
      best = i;
  return best;
}

static uint32_t
assign_pins (struct cell *cell)
{
  uint32_t assigned = 0;
  for (uint32_t i = 0; i < cell->pin_count; i++)
    {
      struct cell_pin *p = &cell->pins[i];
      if (p->owner != 0)
        continue;
      p->owner = cell->slots[cell_slot_of (cell, p->key, p->length)].owner;
      p->epoch = cell->serial;
      assigned += p->owner != 0;
    }
  return assigned;
}

/* Set QUOTA to the number of COUNT slots that each member gets: each slot in
   turn goes to the member with the fewest relative to its weight.  Return
   false when no member may receive slots.  */
static bool
compute_quotas (const struct cell *cell, struct shares *shares, uint32_t count,
                uint32_t quota[CELL_MEMBERS_MAX])
{
  memset (quota, 0, CELL_MEMBERS_MAX * sizeof quota[0]);
  for (uint32_t i = 0; i < count; i++)
    {
      member_index index = least_filled (cell, shares);
      if (index == MEMBER_NONE)
        return false;
      shares->owned[index]++;
      quota[index]++;
    }
  return true;
}

/* Take the next slot from the quota of the same member as long as it lasts.
   Neighbouring slots then have one owner, which keeps the runs in the document
   long.  */
static member_index
take_contiguous (uint32_t quota[CELL_MEMBERS_MAX], member_index from)
{
  while (quota[from] == 0)
    from++;
  quota[from]--;
  return from;
}

/* Whether neighbouring slots are assigned to different members.  This is done
   for numeric keys, of which busy ones are close together.  Slots of hashed
   keys are all alike, and long runs keep the document short.  */
static bool
uses_scattering (const struct cell *cell)
{
  return cell->key_space != 0;
}

static uint32_t
reverse_bits (uint32_t value, uint32_t bits)
{
  uint32_t reversed = 0;
  for (uint32_t i = 0; i < bits; i++)
    reversed |= (value >> i & 1) << (bits - 1 - i);
  return reversed;
}

/* The order in which slots are moved.  For numeric keys any part of the order
   is spread evenly over the slots, so that moved and kept slots alternate.  */
static void
fill_order (const struct cell *cell, uint32_t order[CELL_SLOTS_MAX])
{
  uint32_t bits = 0;
  uint32_t count = 0;
  while (uses_scattering (cell) && 1U << bits < cell->slot_count)
    bits++;
  for (uint32_t i = 0; count < cell->slot_count; i++)
    {
      uint32_t slot = uses_scattering (cell) ? reverse_bits (i, bits) : i;
      if (slot < cell->slot_count)
        order[count++] = slot;
    }
}

static uint32_t
neighbour_owner (const struct cell *cell, const uint32_t *owners,
                 uint32_t slot, int side)
{
  if ((slot == 0 && side < 0) || (slot + 1 == cell->slot_count && side > 0))
    return 0;
  return owners[slot + (uint32_t)side];
}

/* Take SLOT from the quota of a member that owns neither neighbour in OWNERS,
   if possible; of several, from the largest quota.  */
static member_index
take_scattered (const struct cell *cell, const uint32_t *owners, uint32_t slot,
                uint32_t quota[CELL_MEMBERS_MAX])
{
  member_index best = 0;
  int best_shared = NEIGHBOUR_COUNT + 1;
  for (uint32_t i = 0; i < cell->member_count; i++)
    {
      uint32_t owner = cell->members[i].incarnation;
      int shared = (neighbour_owner (cell, owners, slot, -1) == owner)
                   + (neighbour_owner (cell, owners, slot, 1) == owner);
      if (quota[i] == 0)
        continue;
      if (shared < best_shared
          || (shared == best_shared && quota[i] > quota[best]))
        {
          best = i;
          best_shared = shared;
        }
    }
  quota[best]--;
  return best;
}

static void
copy_owners (const struct cell *cell, uint32_t owners[CELL_SLOTS_MAX])
{
  for (uint32_t i = 0; i < cell->slot_count; i++)
    owners[i] = cell->slots[i].owner;
}

/* Reassign the receivers of MOVES so that neighbouring slots go to different
   members.  Each member still receives as many slots.  */
static void
scatter (const struct cell *cell, struct place_move *moves, uint32_t count)
{
  uint32_t owners[CELL_SLOTS_MAX] = { 0 };
  uint32_t quota[CELL_MEMBERS_MAX] = { 0 };
  copy_owners (cell, owners);
  for (uint32_t i = 0; i < count; i++)
    {
      quota[cell_member_index (cell, moves[i].to)]++;
      owners[moves[i].slot] = 0;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      member_index index = take_scattered (cell, owners, moves[i].slot, quota);
      moves[i].to = cell->members[index].incarnation;
      owners[moves[i].slot] = moves[i].to;
    }
}

uint32_t
place_assign_unowned (struct cell *cell, const struct place_loads *loads,
                      enum settings_policy policy)
{
  struct shares shares;
  uint32_t quota[CELL_MEMBERS_MAX];
  uint32_t owners[CELL_SLOTS_MAX] = { 0 };
  uint32_t count = cell_count_slots (cell, 0);
  member_index index = 0;
  if (count == 0)
    return assign_pins (cell);
  uint32_t order[CELL_SLOTS_MAX] = { 0 };
  fill_order (cell, order);
  copy_owners (cell, owners);
  fill_shares (cell, loads, policy, &shares);
  spare_full (cell, loads, &shares);
  if (!compute_quotas (cell, &shares, count, quota))
    return 0;
  for (uint32_t i = 0; i < cell->slot_count; i++)
    {
      struct cell_slot *slot = &cell->slots[order[i]];
      if (slot->owner != 0)
        continue;
      index = uses_scattering (cell)
                  ? take_scattered (cell, owners, order[i], quota)
                  : take_contiguous (quota, index);
      owners[order[i]] = cell->members[index].incarnation;
      slot->owner = cell->members[index].incarnation;
      slot->epoch = cell->serial;
    }
  return count + assign_pins (cell);
}

/* The number of slots of a cell that is formed: enough for members to differ
   by less than a tenth, which differ by one slot.  */
static uint32_t
choose_slot_count (const struct cell *cell, uint32_t min_slots)
{
  uint32_t slots = min_slots;
  while (slots < cell->member_count * SLOTS_PER_MEMBER_MIN
         && slots * 2 <= CELL_SLOTS_MAX
         && (cell->key_space == 0 || slots * 2 <= cell->key_space))
    slots *= 2;
  return slots;
}

void
place_form (struct cell *cell, uint32_t min_slots)
{
  cell_set_slot_count (cell, choose_slot_count (cell, min_slots));
  for (uint32_t i = 0; i < cell->member_count; i++)
    if (cell->members[i].state == MEMBER_JOINING)
      cell_activate (cell, cell->members[i].incarnation);
  for (uint32_t i = 0; i < cell->member_count; i++)
    {
      struct cell_member *m = &cell->members[i];
      cell_set_guardian (cell, m->incarnation,
                         place_guardian (cell, m->incarnation, m, NULL, 0));
    }
  for (uint32_t i = 0; i < cell->member_count; i++)
    {
      uint32_t ward = cell->members[i].incarnation;
      uint32_t second = place_second_guardian (cell, ward);
      if (second != 0)
        cell_set_second_guardian (cell, ward, second);
    }
  place_assign_unowned (cell, NULL, POLICY_UNAVAILABLE_TIME_FIRST);
}

static uint64_t
even_share (const struct cell *cell, const struct shares *s,
            member_index index)
{
  return s->total_weight == 0
             ? 0
             : cell->slot_count * s->weight[index] / s->total_weight;
}

static bool
is_worth_moving (const struct cell *cell, const struct shares *s,
                 member_index from, member_index to,
                 enum settings_policy policy)
{
  /* The donor must not end up with fewer slots than the receiver, relative to
     their weights.  */
  if (s->owned[from] * s->weight[to] <= (s->owned[to] + 1) * s->weight[from])
    return false;
  uint64_t from_even = even_share (cell, s, from);
  uint64_t to_even = even_share (cell, s, to);
  if (policy == POLICY_IMBALANCE_FIRST)
    return s->owned[from] > from_even && s->owned[to] < to_even + 1;
  return s->owned[from] > from_even
         && (s->owned[from] > from_even + from_even / IMBALANCE_DIVISOR
             || s->owned[to] < to_even - to_even / IMBALANCE_DIVISOR);
}

/* Return the first index in ORDER, from FROM on, of a slot of OWNER.  */
static uint32_t
next_owned (const struct cell *cell, const uint32_t *order, uint32_t owner,
            uint32_t from)
{
  while (from < cell->slot_count && cell->slots[order[from]].owner != owner)
    from++;
  return from;
}

static uint32_t
rebalance_by_count (const struct cell *cell, member_index from,
                    const struct place_loads *loads,
                    enum settings_policy policy, struct place_move *moves,
                    uint32_t max)
{
  struct shares shares;
  uint32_t count = 0;
  uint32_t slot = 0;
  uint32_t owner = cell->members[from].incarnation;
  uint32_t order[CELL_SLOTS_MAX] = { 0 };
  fill_order (cell, order);
  fill_shares (cell, NULL, policy, &shares);
  spare_full (cell, loads, &shares);
  while (count < max)
    {
      member_index to = least_filled (cell, &shares);
      slot = next_owned (cell, order, owner, slot);
      if (slot == cell->slot_count || to == from
          || !is_worth_moving (cell, &shares, from, to, policy))
        break;
      moves[count++] = (struct place_move){ order[slot++],
                                            cell->members[to].incarnation };
      shares.owned[from]--;
      shares.owned[to]++;
    }
  return count;
}

bool
place_uses_load (const struct cell *cell, const struct place_loads *loads,
                 enum settings_policy policy)
{
  if (loads == NULL || policy != POLICY_IMBALANCE_FIRST)
    return false;
  uint32_t active = 0;
  uint32_t known = 0;
  for (uint32_t i = 0; i < cell->member_count; i++)
    if (cell->members[i].state == MEMBER_ACTIVE)
      {
        active++;
        known += loads->load[i] != 0;
      }
  /* The loads of an idle cell do not show how its load will be
     distributed.  */
  if (mean_load (cell, loads) < LOAD_IDLE_PERCENT)
    return false;
  return known * KNOWN_LOADS_DENOMINATOR >= active * KNOWN_LOADS_NUMERATOR;
}

/* Whether member I takes part in balancing by load: it is active, not excluded
   and its load is known.  */
static bool
participates (const struct cell *cell, const int64_t *load, member_index i)
{
  return cell->members[i].state == MEMBER_ACTIVE && !cell->members[i].excluded
         && load[i] > 0;
}

/* The member with the lowest load that has an allowance left.  */
static member_index
least_loaded (const struct cell *cell, const int64_t *load,
              const int64_t *allowance)
{
  member_index best = MEMBER_NONE;
  for (uint32_t i = 0; i < cell->member_count; i++)
    if (allowance[i] > 0 && (best == MEMBER_NONE || load[i] < load[best]))
      best = i;
  return best;
}

static int64_t
weighted_mean (const struct cell *cell, const int64_t *load)
{
  int64_t sum = 0;
  int64_t weight = 0;
  for (uint32_t i = 0; i < cell->member_count; i++)
    if (participates (cell, load, i))
      {
        sum += load[i] * cell->members[i].weight;
        weight += cell->members[i].weight;
      }
  return weight == 0 ? 0 : sum / weight;
}

/* Set ALLOWANCE to the load that FROM may move to each member.  All donors act
   concurrently and see the same loads.  Each one therefore fills only a part
   of the gap of each receiver: its part of the total excess load.  */
static void
compute_allowances (const struct cell *cell, member_index from,
                    const int64_t *load, int64_t allowance[CELL_MEMBERS_MAX])
{
  int64_t mean = weighted_mean (cell, load);
  double excess = 0;
  memset (allowance, 0, CELL_MEMBERS_MAX * sizeof allowance[0]);
  if (load[from] <= mean)
    return;
  for (uint32_t i = 0; i < cell->member_count; i++)
    if (participates (cell, load, i) && load[i] > mean)
      excess += (double)(load[i] - mean) * cell->members[i].weight;
  double part
      = (double)(load[from] - mean) * cell->members[from].weight / excess;
  for (uint32_t i = 0; i < cell->member_count; i++)
    if (participates (cell, load, i) && load[i] < mean)
      allowance[i] = (int64_t)((double)(mean - load[i]) * part);
}

/* Plan moves that even out the loads, assuming that all slots of FROM have the
   same load.  */
static uint32_t
rebalance_by_load (const struct cell *cell, member_index from,
                   const struct place_loads *loads, struct place_move *moves,
                   uint32_t max)
{
  int64_t load[CELL_MEMBERS_MAX] = { 0 };
  int64_t allowance[CELL_MEMBERS_MAX];
  const struct cell_member *donor = &cell->members[from];
  int64_t owned = cell_count_slots (cell, donor->incarnation);
  uint32_t count = 0;
  uint32_t slot = 0;
  uint32_t order[CELL_SLOTS_MAX] = { 0 };
  fill_order (cell, order);
  for (uint32_t i = 0; i < cell->member_count; i++)
    load[i] = is_full (loads, i) ? 0 : (int64_t)loads->load[i] * LOAD_SCALE;
  int64_t slot_load = owned == 0 ? 0 : load[from] / owned;
  compute_allowances (cell, from, load, allowance);
  while (count < max)
    {
      member_index to = least_loaded (cell, load, allowance);
      slot = next_owned (cell, order, donor->incarnation, slot);
      if (slot == cell->slot_count || to == from || to == MEMBER_NONE)
        break;
      int64_t gain = slot_load * donor->weight / cell->members[to].weight;
      int64_t gap = load[from] - load[to];
      if (gap <= (int64_t)LOAD_GAP_PERCENT * LOAD_SCALE
          || gap <= slot_load + gain)
        break;
      moves[count++] = (struct place_move){ order[slot++],
                                            cell->members[to].incarnation };
      load[from] -= slot_load;
      load[to] += gain;
      allowance[to] -= gain;
    }
  return count;
}

/* Reassign the receivers of MOVES so that neighbouring slots go to the same
   member, which keeps the runs in the document long.  Each member still
   receives as many slots.  */
static void
group_by_receiver (struct place_move *moves, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    for (uint32_t k = i + 1, at = i + 1; k < count; k++)
      if (moves[k].to == moves[i].to)
        {
          uint32_t to = moves[at].to;
          moves[at++].to = moves[k].to;
          moves[k].to = to;
        }
}

uint32_t
place_rebalance (const struct cell *cell, uint32_t owner,
                 const struct place_loads *loads, enum settings_policy policy,
                 struct place_move *moves, uint32_t max)
{
  uint32_t count;
  member_index from = cell_member_index (cell, owner);
  if (from == MEMBER_NONE || cell->members[from].state != MEMBER_ACTIVE)
    return 0;
  /* A full member keeps what it has: it is full for a short time only.  */
  if (is_full (loads, from))
    return 0;
  if (place_uses_load (cell, loads, policy))
    count = rebalance_by_load (cell, from, loads, moves, max);
  else
    count = rebalance_by_count (cell, from, loads, policy, moves, max);
  if (uses_scattering (cell))
    scatter (cell, moves, count);
  else
    group_by_receiver (moves, count);
  return count;
}

uint32_t
place_drain (const struct cell *cell, uint32_t owner,
             const struct place_loads *loads, struct place_move *moves,
             uint32_t max)
{
  struct shares shares;
  uint32_t quota[CELL_MEMBERS_MAX];
  uint32_t owned = cell_count_slots (cell, owner);
  uint32_t count = owned < max ? owned : max;
  uint32_t slot = 0;
  member_index index = 0;
  uint32_t order[CELL_SLOTS_MAX] = { 0 };
  fill_order (cell, order);
  fill_shares (cell, NULL, POLICY_UNAVAILABLE_TIME_FIRST, &shares);
  member_index from = cell_member_index (cell, owner);
  if (from != MEMBER_NONE)
    shares.weight[from] = 0;
  spare_full (cell, loads, &shares);
  if (!compute_quotas (cell, &shares, count, quota))
    return 0;
  for (uint32_t i = 0; i < count; i++)
    {
      slot = next_owned (cell, order, owner, slot);
      index = take_contiguous (quota, index);
      moves[i] = (struct place_move){ order[slot++],
                                      cell->members[index].incarnation };
    }
  if (uses_scattering (cell))
    scatter (cell, moves, count);
  return count;
}
