/* Placement of guardians and slots.

   Pure functions of the document and of the loads of the members, so that all
   members reach the same result.  */

#ifndef OWN_PLACE_H
#define OWN_PLACE_H

#include "own/cell.h"
#include "settings/settings.h"

/* Loads of the members, in hundredths of their capacity, in the order of the
   document.  0: not known.  */
/* The load of a member that gets no slots while others may.  */
#define PLACE_LOAD_FULL 255

struct place_loads
{
  uint16_t load[CELL_MEMBERS_MAX];
  bool spares_full; /* PLACE_LOAD_FULL counts as above, not as a number */
};

struct place_move
{
  uint32_t slot;
  uint32_t to; /* incarnation */
};

/* Return the first guardian to use for WARD, or for a joining member described
   by SELF when WARD is 0.  Up to eight active members form a ring in which
   zones alternate, and the guardian is the next member in the ring.  In larger
   cells, and when that member is in EXCEPT, it is an active member in another
   zone, else in another rack, else any.  Two members that guard each other are
   avoided when the cell has three members or more.  Ties go to the member with
   the fewest wards.  Members in EXCEPT are chosen only if there are no others.
   Return 0 when there is no other active member.  */
uint32_t place_guardian (const struct cell *cell, uint32_t ward,
                         const struct cell_member *self,
                         const uint32_t *except, uint32_t except_count);

/* Return the second guardian to use for WARD, which has a first one: an active
   member that is not the first guardian and is not guarded by WARD.  In a ring
   it is the next member but one, if that qualifies; else it is chosen by zone
   and rack, then by the smallest number of members it is the second guardian
   of.  Return 0 when there is none.  */
uint32_t place_second_guardian (const struct cell *cell, uint32_t ward);

/* Whether another second guardian should be chosen for WARD: it has none and
   could have one, the ring gives another one, there is one in a better zone or
   rack, or the two guard each other.  In the last case neither could be
   declared dead if both were lost.  */
bool place_second_guardian_suboptimal (const struct cell *cell, uint32_t ward);

/* Whether an active member that is not in EXCEPT would be a better guardian
   for WARD: the ring gives it, its zone and rack are better, or it has at
   least two wards fewer than the present guardian.  */
bool place_guardian_suboptimal (const struct cell *cell, uint32_t ward,
                                const uint32_t *except, uint32_t except_count);

/* Form CELL: make all joining members active, give them guardians, choose the
   number of slots, MIN_SLOTS or more, by the number of members, and assign
   them.  */
void place_form (struct cell *cell, uint32_t min_slots);

/* Assign each slot without an owner to the active member with the fewest slots
   relative to its weight, and each pin without an owner to the owner of its
   slot.  Nothing else moves.  LOADS may be NULL.  Return the number of slots
   and pins assigned.  */
uint32_t place_assign_unowned (struct cell *cell,
                               const struct place_loads *loads,
                               enum settings_policy policy);

/* Fill MOVES with at most MAX moves of OWNER's slots to members that have too
   few.  Return the number of moves.

   With POLICY_UNAVAILABLE_TIME_FIRST a slot moves only while OWNER is more
   than a quarter above its even share or the receiver more than a quarter
   below.  With POLICY_IMBALANCE_FIRST slots move until all members are within
   one slot of their even share.  If place_uses_load, they move instead until
   the loads are within a tenth of the capacity of each other.  */
uint32_t place_rebalance (const struct cell *cell, uint32_t owner,
                          const struct place_loads *loads,
                          enum settings_policy policy,
                          struct place_move *moves, uint32_t max);

/* Whether place_rebalance balances by load: with POLICY_IMBALANCE_FIRST, when
   the loads of three quarters of the active members are known and their mean
   is 5 hundredths or more.  */
bool place_uses_load (const struct cell *cell, const struct place_loads *loads,
                      enum settings_policy policy);

/* Fill MOVES with at most MAX moves of slots of the leaving member OWNER.
   Return the number of moves.  */
uint32_t place_drain (const struct cell *cell, uint32_t owner,
                      const struct place_loads *loads,
                      struct place_move *moves, uint32_t max);

#endif
