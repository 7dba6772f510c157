/* Placement of guardians.  */

#include "own/place.h"

#include <string.h>

enum
{
  /* Two members guard each other; outweighs zone and rack.  */
  PAIR_COST = 8,
  ZONE_COST = 4,
  RACK_COST = 2,
  /* The ward is the second guardian of its guardian.  This costs less, since
     the guardian can drop its second guardian.  */
  SECOND_PAIR_COST = 1,
  PAIR_COST_MEMBERS_MIN = 3, /* a pair is unavoidable with fewer */
  SECOND_GUARDIAN_MEMBERS_MIN = 4,
  RING_MEMBERS_MAX = 8,
  WARDS_DIFFERENCE_MIN = 2 /* to change for a guardian with fewer wards */
};

/* A small cell has one best layout: a ring in which zones alternate.  Each
   member is guarded by the next one and, with five members or more, by the one
   after that.  */
struct ring
{
  uint32_t count;
  uint32_t incarnations[RING_MEMBERS_MAX];
};

static uint32_t
zone_index (const struct cell *cell, member_index index)
{
  uint32_t i = 0;
  while (strcmp (cell->members[i].zone, cell->members[index].zone) != 0)
    i++;
  return i;
}

static uint32_t
rank_in_zone (const struct cell *cell, member_index index)
{
  uint32_t rank = 0;
  for (uint32_t i = 0; i < index; i++)
    rank += cell->members[i].state == MEMBER_ACTIVE
            && strcmp (cell->members[i].zone, cell->members[index].zone) == 0;
  return rank;
}

static bool
comes_before (const struct cell *cell, member_index a, member_index b)
{
  uint32_t rank_a = rank_in_zone (cell, a);
  uint32_t rank_b = rank_in_zone (cell, b);
  if (rank_a != rank_b)
    return rank_a < rank_b;
  return zone_index (cell, a) < zone_index (cell, b);
}

/* Return false when the cell is too large for a ring.  */
static bool
build_ring (const struct cell *cell, struct ring *ring)
{
  ring->count = 0;
  if (cell_count_state (cell, MEMBER_ACTIVE) > RING_MEMBERS_MAX)
    return false;
  member_index order[RING_MEMBERS_MAX] = { 0 };
  for (uint32_t i = 0; i < cell->member_count; i++)
    {
      if (cell->members[i].state != MEMBER_ACTIVE)
        continue;
      uint32_t k = ring->count++;
      for (; k > 0 && comes_before (cell, i, order[k - 1]); k--)
        order[k] = order[k - 1];
      order[k] = i;
    }
  for (uint32_t k = 0; k < ring->count; k++)
    ring->incarnations[k] = cell->members[order[k]].incarnation;
  return true;
}

/* Return the member STEPS after WARD in the ring, or 0.  With four members
   only two can have a second guardian without two members guarding each
   other.  */
static uint32_t
ring_successor (const struct cell *cell, uint32_t ward, uint32_t steps)
{
  struct ring ring;
  if (ward == 0 || !build_ring (cell, &ring))
    return 0;
  for (uint32_t k = 0; k < ring.count; k++)
    if (ring.incarnations[k] == ward)
      {
        bool pairs = ring.count < SECOND_GUARDIAN_MEMBERS_MIN
                     || (ring.count == SECOND_GUARDIAN_MEMBERS_MIN && k >= 2);
        if (ring.count < 2 || (steps == 2 && pairs))
          return 0;
        return ring.incarnations[(k + steps) % ring.count];
      }
  return 0;
}

/* The number of wards of each member, in the order of the document.  */
struct ward_counts
{
  uint32_t first[CELL_MEMBERS_MAX];
  uint32_t second[CELL_MEMBERS_MAX];
};

/* Count the wards of all members.  EXCLUDED is not counted as a ward.  */
static void
count_wards (const struct cell *cell, uint32_t excluded,
             struct ward_counts *counts)
{
  memset (counts, 0, sizeof *counts);
  for (uint32_t i = 0; i < cell->member_count; i++)
    {
      const struct cell_member *m = &cell->members[i];
      member_index first = cell_member_index (cell, m->guardian);
      member_index second = cell_member_index (cell, m->second);
      if (m->incarnation == excluded)
        continue;
      if (first != MEMBER_NONE)
        counts->first[first]++;
      if (second != MEMBER_NONE)
        counts->second[second]++;
    }
}

/* Cost of GUARDIAN as a guardian of WARD by zone, rack and mutual guarding.  0
   is best.  */
static uint32_t
place_cost (const struct cell *cell, const struct cell_member *ward,
            const struct cell_member *guardian)
{
  bool known = ward->incarnation != 0;
  uint32_t cost = 0;
  if (known && guardian->second == ward->incarnation)
    cost += SECOND_PAIR_COST;
  if (known && guardian->guardian == ward->incarnation
      && cell->member_count >= PAIR_COST_MEMBERS_MIN)
    cost += PAIR_COST;
  if (strcmp (ward->zone, guardian->zone) != 0)
    return cost;
  cost += ZONE_COST;
  if (ward->rack[0] != '\0' && strcmp (ward->rack, guardian->rack) == 0)
    cost += RACK_COST;
  return cost;
}

static bool
is_guardian_of (const struct cell_member *guardian, uint32_t ward,
                const struct cell *cell)
{
  const struct cell_member *m = cell_member (cell, ward);
  return m != NULL
         && (m->guardian == guardian->incarnation
             || m->second == guardian->incarnation);
}

static bool
is_listed (uint32_t incarnation, const uint32_t *list, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (list[i] == incarnation)
      return true;
  return false;
}

/* The number of members before the member FROM in the document.  */
static uint32_t
count_before (const struct cell *cell, uint32_t from)
{
  uint32_t before = 0;
  while (before < cell->member_count
         && cell->members[before].incarnation < from)
    before++;
  return before;
}

/* Distance from the member after BEFORE others to TO in the cyclic order of
   the document.  Used as a tie-breaker, so that the members' choices
   differ.  */
static uint32_t
distance (const struct cell *cell, uint32_t before, member_index to)
{
  return (to + cell->member_count - before) % cell->member_count;
}

struct candidate
{
  uint32_t incarnation;
  uint32_t cost;
  uint32_t wards;
  uint32_t distance;
};

static bool
is_better (const struct candidate *a, const struct candidate *b)
{
  if (a->cost != b->cost)
    return a->cost < b->cost;
  if (a->wards != b->wards)
    return a->wards < b->wards;
  return a->distance < b->distance;
}

static struct candidate
best_guardian (const struct cell *cell, const struct cell_member *ward,
               const uint32_t *except, uint32_t except_count)
{
  struct candidate best = { 0, UINT32_MAX, UINT32_MAX, UINT32_MAX };
  struct ward_counts counts;
  uint32_t before = count_before (cell, ward->incarnation);
  count_wards (cell, ward->incarnation, &counts);
  for (uint32_t i = 0; i < cell->member_count; i++)
    {
      const struct cell_member *m = &cell->members[i];
      if (m->state != MEMBER_ACTIVE || m->incarnation == ward->incarnation
          || is_listed (m->incarnation, except, except_count))
        continue;
      struct candidate c = { m->incarnation, place_cost (cell, ward, m),
                             counts.first[i], distance (cell, before, i) };
      if (is_better (&c, &best))
        best = c;
    }
  return best;
}

uint32_t
place_guardian (const struct cell *cell, uint32_t ward,
                const struct cell_member *self, const uint32_t *except,
                uint32_t except_count)
{
  uint32_t next = ring_successor (cell, ward, 1);
  if (next != 0 && !is_listed (next, except, except_count))
    return next;
  struct cell_member member = *self;
  member.incarnation = ward;
  struct candidate best = best_guardian (cell, &member, except, except_count);
  if (best.incarnation == 0 && except_count > 0)
    best = best_guardian (cell, &member, NULL, 0);
  return best.incarnation;
}

uint32_t
place_second_guardian (const struct cell *cell, uint32_t ward)
{
  struct candidate best = { 0, UINT32_MAX, UINT32_MAX, UINT32_MAX };
  const struct cell_member *member = cell_member (cell, ward);
  if (member == NULL || member->guardian == 0)
    return 0;
  uint32_t next_but_one = ring_successor (cell, ward, 2);
  if (next_but_one != 0 && next_but_one != member->guardian
      && !is_guardian_of (member, next_but_one, cell))
    return next_but_one;
  struct ward_counts counts;
  uint32_t before = count_before (cell, ward);
  count_wards (cell, ward, &counts);
  for (uint32_t i = 0; i < cell->member_count; i++)
    {
      const struct cell_member *m = &cell->members[i];
      if (m->state != MEMBER_ACTIVE || m->incarnation == ward
          || m->incarnation == member->guardian
          || is_guardian_of (member, m->incarnation, cell))
        continue;
      struct candidate c = { m->incarnation, place_cost (cell, member, m),
                             counts.second[i], distance (cell, before, i) };
      if (is_better (&c, &best))
        best = c;
    }
  return best.incarnation;
}

bool
place_second_guardian_suboptimal (const struct cell *cell, uint32_t ward)
{
  const struct cell_member *member = cell_member (cell, ward);
  if (member == NULL || member->guardian == 0)
    return false;
  if (member->second == 0 || ring_successor (cell, ward, 2) != 0)
    return place_second_guardian (cell, ward) != member->second;
  if (is_guardian_of (member, member->second, cell))
    return true;
  const struct cell_member *best
      = cell_member (cell, place_second_guardian (cell, ward));
  return best != NULL
         && place_cost (cell, member, best) < place_cost (
                cell, member, cell_member (cell, member->second));
}

bool
place_guardian_suboptimal (const struct cell *cell, uint32_t ward,
                           const uint32_t *except, uint32_t except_count)
{
  const struct cell_member *m = cell_member (cell, ward);
  if (m == NULL || m->guardian == 0)
    return false;
  uint32_t next = ring_successor (cell, ward, 1);
  if (next != 0 && !is_listed (next, except, except_count))
    return next != m->guardian;
  const struct cell_member *guardian = cell_member (cell, m->guardian);
  struct candidate best = best_guardian (cell, m, except, except_count);
  uint32_t cost = place_cost (cell, m, guardian);
  if (best.incarnation == 0 || best.cost != cost)
    return best.incarnation != 0 && best.cost < cost;
  struct ward_counts counts;
  count_wards (cell, ward, &counts);
  return counts.first[cell_member_index (cell, m->guardian)]
         >= best.wards + WARDS_DIFFERENCE_MIN;
}
