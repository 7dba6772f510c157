/* Placement: which member guards which, and who gets which slots.

   Pure functions of the document and of the members' loads, so that all
   members come to the same answer.  */

#ifndef OWN_PLACE_H
#define OWN_PLACE_H

#include "own/cell.h"
#include "settings/settings.h"

/* The loads of the members, in hundredths of their capacity, in the order of
   the document.  0: not known.  */
struct place_loads
{
  uint16_t load[CELL_MEMBERS_MAX];
};

/* A planned move of a slot.  */
struct place_move
{
  uint32_t slot;
  uint32_t to; /* incarnation */
};

/* The guardian for WARD, a member or, with 0, a newcomer described by SELF.
   Up to eight active members form a ring in which zones alternate, and the
   next is the guardian.  Else, and when that one is in EXCEPT: an active
   member in another zone, else in another rack, else any; a pair that guards
   each other is avoided while there are three members; then the one with the
   fewest wards.  Members in EXCEPT are passed over while there are others.  0
   when there is no other active member.  */
uint32_t place_guardian (const struct cell *cell, uint32_t ward,
                         const struct cell_member *self,
                         const uint32_t *except, uint32_t except_count);

/* The second guardian for WARD, which has a first: an active member that does
   not guard it yet and that it does not guard, by place, then the one that is
   second for the fewest.  0 when there is none.  */
uint32_t place_second_guardian (const struct cell *cell, uint32_t ward);

/* Whether WARD should have another second guardian than it has: it has none
   and could, the ring names another, there is one in a better place, or the
   two guard each other, in which case none of them could be declared dead when
   both are lost.  */
bool place_second_guardian_suboptimal (const struct cell *cell, uint32_t ward);

/* Whether a guardian that is not in EXCEPT would be better for WARD than the
   present one by place, or has two wards less.  */
bool place_guardian_suboptimal (const struct cell *cell, uint32_t ward,
                                const uint32_t *except, uint32_t except_count);

/* Give each slot and pin without an owner to the active member with the
   fewest slots for its weight; nothing else moves.  LOADS may be NULL.
   Return the number given.  */
uint32_t place_assign_unowned (struct cell *cell,
                               const struct place_loads *loads,
                               enum settings_policy policy);

/* Fill MOVES with at most MAX moves of OWNER's slots to members that have
   too few.  With POLICY_UNAVAILABLE_TIME_FIRST a slot moves only while OWNER
   is a quarter above its even share or the other a quarter below; with
   POLICY_IMBALANCE_FIRST until all are within one slot of even or, when the
   loads of three quarters of the active members are known and are 5
   hundredths or more in the mean, until these are within a tenth of the
   capacity of each other.  Return the number of moves.  */
uint32_t place_rebalance (const struct cell *cell, uint32_t owner,
                          const struct place_loads *loads,
                          enum settings_policy policy,
                          struct place_move *moves, uint32_t max);

/* Whether place_rebalance goes by load.  */
bool place_uses_load (const struct cell *cell, const struct place_loads *loads,
                      enum settings_policy policy);

/* Fill MOVES with at most MAX moves of slots of the leaving member OWNER.  */
uint32_t place_drain (const struct cell *cell, uint32_t owner,
                      struct place_move *moves, uint32_t max);

#endif
