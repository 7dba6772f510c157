#include "own/place.h"

#include <string.h>

enum
{
  FULL_LOAD = 100,
  LOAD_SCALE = 1000,
  LOAD_GAP = 10, /* hundredths of the capacity that are no imbalance */
  LOAD_IDLE = 5,
  QUARTER = 4,
  /* Three quarters of the loads are enough to go by load.  */
  KNOWN_LEAST = 3,
  KNOWN_OF = 4,
  NEIGHBOURS = 2
};

struct shares
{
  uint32_t owned[CELL_MEMBERS_MAX];
  uint64_t weight[CELL_MEMBERS_MAX]; /* 0: gets nothing */
  uint64_t total_weight;
};

/* A member that runs hotter for each slot than the others counts as
   smaller.  */
static uint64_t
effective_weight (const struct cell_member *m, uint16_t load, uint64_t mean)
{
  uint64_t weight = (uint64_t)m->weight * FULL_LOAD;
  if (load == 0 || mean == 0)
    return weight;
  uint64_t scaled = weight * mean / load;
  uint64_t least = weight / 2;
  uint64_t most = weight * 2;
  if (scaled < least)
    return least;
  return scaled > most ? most : scaled;
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

static void
fill_shares (const struct cell *cell, const struct place_loads *loads,
             enum settings_policy policy, struct shares *shares)
{
  bool by_load = loads != NULL && policy == POLICY_IMBALANCE_FIRST;
  uint64_t mean = by_load ? mean_load (cell, loads) : 0;
  memset (shares, 0, sizeof *shares);
  for (uint32_t i = 0; i < cell->member_count; i++)
    {
      const struct cell_member *m = &cell->members[i];
      if (m->state != MEMBER_ACTIVE)
        continue;
      shares->weight[i]
          = effective_weight (m, by_load ? loads->load[i] : 0, mean);
      shares->total_weight += shares->weight[i];
    }
  for (uint32_t s = 0; s < cell->slot_count; s++)
    {
      member_index id = cell_member_index (cell, cell->slots[s].owner);
      if (id != MEMBER_NONE)
        shares->owned[id]++;
    }
}

/* Whether A with one slot more would be fuller than B with one more.  */
static bool
is_fuller (const struct shares *s, member_index a, member_index b)
{
  return (s->owned[a] + 1) * s->weight[b] > (s->owned[b] + 1) * s->weight[a];
}

static member_index
emptiest (const struct cell *cell, const struct shares *shares)
{
  member_index best = MEMBER_NONE;
  for (uint32_t i = 0; i < cell->member_count; i++)
    if (shares->weight[i] != 0
        && (best == MEMBER_NONE || is_fuller (shares, best, i)))
      best = i;
  return best;
}

static uint32_t
give_pins (struct cell *cell)
{
  uint32_t given = 0;
  for (uint32_t i = 0; i < cell->pin_count; i++)
    {
      struct cell_pin *p = &cell->pins[i];
      if (p->owner != 0)
        continue;
      p->owner = cell->slots[cell_slot_of (cell, p->key, p->length)].owner;
      p->epoch = cell->serial;
      given += p->owner != 0;
    }
  return given;
}

/* How many of COUNT slots each member gets: one after another goes to the
   emptiest.  False when nobody takes any.  */
static bool
share_out (const struct cell *cell, struct shares *shares, uint32_t count,
           uint32_t quota[CELL_MEMBERS_MAX])
{
  memset (quota, 0, CELL_MEMBERS_MAX * sizeof quota[0]);
  for (uint32_t i = 0; i < count; i++)
    {
      member_index id = emptiest (cell, shares);
      if (id == MEMBER_NONE)
        return false;
      shares->owned[id]++;
      quota[id]++;
    }
  return true;
}

/* The member whose quota the next slot is taken from: neighbours go to the
   same one, which keeps the document's runs long.  */
static member_index
take_quota (uint32_t quota[CELL_MEMBERS_MAX], member_index from)
{
  while (quota[from] == 0)
    from++;
  quota[from]--;
  return from;
}

/* Keys that are numbers: busy ones are close to each other, so that slots of
   neighbours go to different members.  Slots of hashed keys are all alike, and
   long runs keep the document short.  */
static bool
is_scattered (const struct cell *cell)
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

/* The order in which slots are given away: for numeric keys any run of it is
   spread evenly, so that what is given and what is kept alternate.  */
static void
fill_order (const struct cell *cell, uint32_t order[CELL_SLOTS_MAX])
{
  uint32_t bits = 0;
  uint32_t count = 0;
  while (is_scattered (cell) && 1U << bits < cell->slot_count)
    bits++;
  for (uint32_t i = 0; count < cell->slot_count; i++)
    {
      uint32_t slot = is_scattered (cell) ? reverse_bits (i, bits) : i;
      if (slot < cell->slot_count)
        order[count++] = slot;
    }
}

static uint32_t
owner_beside (const struct cell *cell, const uint32_t *owners, uint32_t slot,
              int side)
{
  if ((slot == 0 && side < 0) || (slot + 1 == cell->slot_count && side > 0))
    return 0;
  return owners[slot + (uint32_t)side];
}

/* The member whose quota SLOT is taken from, so that its neighbours have other
   OWNERS where that can be; then the one that gets most.  */
static member_index
take_apart (const struct cell *cell, const uint32_t *owners, uint32_t slot,
            uint32_t quota[CELL_MEMBERS_MAX])
{
  member_index best = 0;
  int best_near = NEIGHBOURS + 1;
  for (uint32_t i = 0; i < cell->member_count; i++)
    {
      uint32_t owner = cell->members[i].incarnation;
      int near = (owner_beside (cell, owners, slot, -1) == owner)
                 + (owner_beside (cell, owners, slot, 1) == owner);
      if (quota[i] == 0)
        continue;
      if (near < best_near || (near == best_near && quota[i] > quota[best]))
        {
          best = i;
          best_near = near;
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

/* Give neighbours to different members: how many slots each one gets
   stays.  */
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
      member_index id = take_apart (cell, owners, moves[i].slot, quota);
      moves[i].to = cell->members[id].incarnation;
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
  member_index id = 0;
  if (count == 0)
    return give_pins (cell);
  uint32_t order[CELL_SLOTS_MAX] = { 0 };
  fill_order (cell, order);
  copy_owners (cell, owners);
  fill_shares (cell, loads, policy, &shares);
  if (!share_out (cell, &shares, count, quota))
    return 0;
  for (uint32_t i = 0; i < cell->slot_count; i++)
    {
      struct cell_slot *slot = &cell->slots[order[i]];
      if (slot->owner != 0)
        continue;
      id = is_scattered (cell) ? take_apart (cell, owners, order[i], quota)
                               : take_quota (quota, id);
      owners[order[i]] = cell->members[id].incarnation;
      slot->owner = cell->members[id].incarnation;
      slot->epoch = cell->serial;
    }
  return count + give_pins (cell);
}

/* The even share of member ID, in slots.  */
static uint64_t
even_share (const struct cell *cell, const struct shares *s, member_index id)
{
  return s->total_weight == 0
             ? 0
             : cell->slot_count * s->weight[id] / s->total_weight;
}

static bool
is_worth_moving (const struct cell *cell, const struct shares *s,
                 member_index from, member_index to,
                 enum settings_policy policy)
{
  /* Moving must leave the giver no emptier than the taker becomes.  */
  if (s->owned[from] * s->weight[to] <= (s->owned[to] + 1) * s->weight[from])
    return false;
  uint64_t from_even = even_share (cell, s, from);
  uint64_t to_even = even_share (cell, s, to);
  if (policy == POLICY_IMBALANCE_FIRST)
    return s->owned[from] > from_even && s->owned[to] < to_even + 1;
  return s->owned[from] > from_even
         && (s->owned[from] > from_even + from_even / QUARTER
             || s->owned[to] < to_even - to_even / QUARTER);
}

/* The first index in ORDER from FROM on of a slot of OWNER.  */
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
  while (count < max)
    {
      member_index to = emptiest (cell, &shares);
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
  /* What an idle cell will have to carry is not to be seen in its loads.  */
  if (mean_load (cell, loads) < LOAD_IDLE)
    return false;
  return known * KNOWN_OF >= active * KNOWN_LEAST;
}

/* A member whose load is not known neither gets nor counts.  */
static bool
takes_part (const struct cell *cell, const int64_t *load, member_index i)
{
  return cell->members[i].state == MEMBER_ACTIVE && load[i] > 0;
}

/* The least loaded member that may still get something by ROOM.  */
static member_index
least_loaded (const struct cell *cell, const int64_t *load,
              const int64_t *room)
{
  member_index best = MEMBER_NONE;
  for (uint32_t i = 0; i < cell->member_count; i++)
    if (room[i] > 0 && (best == MEMBER_NONE || load[i] < load[best]))
      best = i;
  return best;
}

static int64_t
weighted_mean (const struct cell *cell, const int64_t *load)
{
  int64_t sum = 0;
  int64_t weight = 0;
  for (uint32_t i = 0; i < cell->member_count; i++)
    if (takes_part (cell, load, i))
      {
        sum += load[i] * cell->members[i].weight;
        weight += cell->members[i].weight;
      }
  return weight == 0 ? 0 : sum / weight;
}

/* How much load FROM may give to each member.  All givers act at once and see
   the same loads: each fills only the part of what a member lacks that is its
   part of all that is too much.  */
static void
share_room (const struct cell *cell, member_index from, const int64_t *load,
            int64_t room[CELL_MEMBERS_MAX])
{
  int64_t mean = weighted_mean (cell, load);
  double excess = 0;
  memset (room, 0, CELL_MEMBERS_MAX * sizeof room[0]);
  if (load[from] <= mean)
    return;
  for (uint32_t i = 0; i < cell->member_count; i++)
    if (takes_part (cell, load, i) && load[i] > mean)
      excess += (double)(load[i] - mean) * cell->members[i].weight;
  double part
      = (double)(load[from] - mean) * cell->members[from].weight / excess;
  for (uint32_t i = 0; i < cell->member_count; i++)
    if (takes_part (cell, load, i) && load[i] < mean)
      room[i] = (int64_t)((double)(mean - load[i]) * part);
}

/* The slots of FROM are taken to carry its load in equal parts.  */
static uint32_t
rebalance_by_load (const struct cell *cell, member_index from,
                   const struct place_loads *loads, struct place_move *moves,
                   uint32_t max)
{
  int64_t load[CELL_MEMBERS_MAX] = { 0 };
  int64_t room[CELL_MEMBERS_MAX];
  const struct cell_member *giver = &cell->members[from];
  int64_t owned = cell_count_slots (cell, giver->incarnation);
  uint32_t count = 0;
  uint32_t slot = 0;
  uint32_t order[CELL_SLOTS_MAX] = { 0 };
  fill_order (cell, order);
  for (uint32_t i = 0; i < cell->member_count; i++)
    load[i] = (int64_t)loads->load[i] * LOAD_SCALE;
  int64_t heat = owned == 0 ? 0 : load[from] / owned;
  share_room (cell, from, load, room);
  while (count < max)
    {
      member_index to = least_loaded (cell, load, room);
      slot = next_owned (cell, order, giver->incarnation, slot);
      if (slot == cell->slot_count || to == from || to == MEMBER_NONE)
        break;
      int64_t gain = heat * giver->weight / cell->members[to].weight;
      int64_t gap = load[from] - load[to];
      if (gap <= (int64_t)LOAD_GAP * LOAD_SCALE || gap <= heat + gain)
        break;
      moves[count++] = (struct place_move){ order[slot++],
                                            cell->members[to].incarnation };
      load[from] -= heat;
      load[to] += gain;
      room[to] -= gain;
    }
  return count;
}

/* Give neighbours to the same member: how many slots each one gets stays, and
   runs of slots stay long.  */
static void
gather (struct place_move *moves, uint32_t count)
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
  if (place_uses_load (cell, loads, policy))
    count = rebalance_by_load (cell, from, loads, moves, max);
  else
    count = rebalance_by_count (cell, from, policy, moves, max);
  if (is_scattered (cell))
    scatter (cell, moves, count);
  else
    gather (moves, count);
  return count;
}

uint32_t
place_drain (const struct cell *cell, uint32_t owner, struct place_move *moves,
             uint32_t max)
{
  struct shares shares;
  uint32_t quota[CELL_MEMBERS_MAX];
  uint32_t owned = cell_count_slots (cell, owner);
  uint32_t count = owned < max ? owned : max;
  uint32_t slot = 0;
  member_index id = 0;
  uint32_t order[CELL_SLOTS_MAX] = { 0 };
  fill_order (cell, order);
  fill_shares (cell, NULL, POLICY_UNAVAILABLE_TIME_FIRST, &shares);
  member_index from = cell_member_index (cell, owner);
  if (from != MEMBER_NONE)
    shares.weight[from] = 0;
  if (!share_out (cell, &shares, count, quota))
    return 0;
  for (uint32_t i = 0; i < count; i++)
    {
      slot = next_owned (cell, order, owner, slot);
      id = take_quota (quota, id);
      moves[i] = (struct place_move){ order[slot++],
                                      cell->members[id].incarnation };
    }
  if (is_scattered (cell))
    scatter (cell, moves, count);
  return count;
}
