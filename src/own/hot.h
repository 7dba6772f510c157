/* Detection and placement of hot keys.

   A member examines the keys that it owns.  A key is hot when it alone
   accounts for HOT_LOAD_PERCENT or more of the member's capacity for
   HOT_WINDOWS_MIN consecutive windows, and cool when it accounted for less
   than half of that for HOT_COOL_WINDOWS_MIN.  A key that was moved here stays
   for at least HOT_STAY_WINDOWS_MIN windows, so that outdated load values do
   not move it repeatedly.  */

#ifndef OWN_HOT_H
#define OWN_HOT_H

#include "own/place.h"
#include "own/sketch.h"

enum
{
  HOT_LOAD_PERCENT = 5,
  HOT_WINDOWS_MIN = 2,
  HOT_STAY_WINDOWS_MIN = 5,
  HOT_COOL_WINDOWS_MIN = 10,
  /* How far, in hundredths of the capacity, the load of the receiver must stay
     below that of the donor: with the policy imbalance first, and with
     unavailable time first.  */
  HOT_GAP_PERCENT = 10,
  HOT_GAP_UNAVAILABLE_FIRST_PERCENT = 25,
  HOT_EQUAL_LOAD_PERCENT = 5, /* loads within this count as equal */
  /* A key that alone takes this much of a member's capacity gains nothing by a
     move.  */
  HOT_SATURATING_PERCENT = 90,
  HOT_MOVES_PER_MINUTE = 64 /* of one member; also the largest burst */
};

/* Token bucket that limits the moves of a member.  All zero: full.  */
struct hot_budget
{
  double spent; /* tokens taken and not yet refilled */
  int64_t updated_ns;
};

struct hot_move
{
  char key[CELL_KEY_BYTES];
  uint32_t length;
  uint32_t to; /* incarnation of the receiver */
};

/* End a window of SKETCH, which counted the requests of the member SELF, and
   update the consecutive hot and cool windows of its keys.  */
void hot_end_window (struct sketch *sketch, const struct cell *cell,
                     uint32_t self, const struct place_loads *loads);

/* Fill MOVES with at most MAX moves of keys that SELF owns: hot keys to the
   members with the lowest load, hottest first, then cool keys that are pinned
   here back to the owner of their slot.  Return the number of moves.  */
uint32_t hot_choose_moves (struct sketch *sketch, const struct cell *cell,
                           uint32_t self, const struct place_loads *loads,
                           enum settings_policy policy, struct hot_move *moves,
                           uint32_t max);

/* Return a key that alone has taken HOT_SATURATING_PERCENT of the capacity of
   SELF or more and is hot, or NULL.  Call it before hot_choose_moves, which
   resets the hot windows.  */
const struct sketch_key *hot_find_saturating (struct sketch *sketch,
                                              const struct cell *cell,
                                              uint32_t self,
                                              const struct place_loads *loads);

/* Remove from the COUNT MOVES of SELF the slots of keys that account for
   HOT_LOAD_PERCENT or more: their load is not that of an average slot, and
   moving them would only move the overload.  Return how many are left.  */
uint32_t hot_exclude_slots (struct sketch *sketch, const struct cell *cell,
                            uint32_t self, const struct place_loads *loads,
                            struct place_move *moves, uint32_t count);

/* Take a token from BUDGET at NOW_NS.  Return false when none is left.  */
bool hot_budget_take (struct hot_budget *budget, int64_t now_ns);

#endif
