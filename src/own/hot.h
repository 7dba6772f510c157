/* Which keys are hot, and where they should go.

   A member looks at the keys that it owns.  A key is hot when it alone carries
   HOT_LOAD_PERCENT hundredths of the member's capacity for HOT_WINDOWS_MIN
   windows in a row, and cool when it carried less than half of that for
   HOT_COOL_WINDOWS_MIN.  A key that was moved here stays for
   HOT_STAY_WINDOWS_MIN windows at least, so that loads that are seen late do
   not send it round.  */

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
  /* Hundredths that the taker stays below the giver's load: by the policy
     imbalance first, and unavailable time first.  */
  HOT_GAP_PERCENT = 10,
  HOT_GAP_UNAVAILABLE_FIRST_PERCENT = 25,
  HOT_EQUAL_LOAD_PERCENT = 5, /* loads that count as the same */
  /* A key that takes so much of a member's capacity alone gains by no
     move.  */
  HOT_SATURATING_PERCENT = 90,
  HOT_MOVES_PER_MINUTE = 64 /* of one member, and as many at once */
};

/* How many moves a member has left.  All zero: full.  */
struct hot_budget
{
  double spent;
  int64_t updated_ns;
};

struct hot_move
{
  char key[CELL_KEY_BYTES];
  uint32_t length;
  uint32_t to; /* incarnation */
};

/* End a window of SKETCH, which counted the requests of the member SELF.  */
void hot_end_window (struct sketch *sketch, const struct cell *cell,
                     uint32_t self, const struct place_loads *loads);

/* Fill MOVES with at most MAX moves of keys that SELF owns: hot ones to the
   members with the least load, and cool ones that are pinned here back to the
   owner of their slot.  The hottest come first.  Return their number.  */
uint32_t hot_choose_moves (struct sketch *sketch, const struct cell *cell,
                           uint32_t self, const struct place_loads *loads,
                           enum settings_policy policy, struct hot_move *moves,
                           uint32_t max);

/* The key that takes HOT_SATURATING_PERCENT hundredths of the capacity of SELF
   alone, for HOT_WINDOWS_MIN windows, or NULL.  Before hot_choose_moves, which
   begins to count the windows anew.  */
const struct sketch_key *hot_find_saturating (struct sketch *sketch,
                                              const struct cell *cell,
                                              uint32_t self,
                                              const struct place_loads *loads);

/* Take the slots of keys that carry HOT_LOAD_PERCENT or more out of the COUNT
   MOVES of SELF: they are no average slots, and would carry the heat
   elsewhere. Return how many are left.  */
uint32_t hot_exclude_slots (struct sketch *sketch, const struct cell *cell,
                            uint32_t self, const struct place_loads *loads,
                            struct place_move *moves, uint32_t count);

/* Take a move from BUDGET at NOW_NS; false when none is left.  */
bool hot_budget_take (struct hot_budget *budget, int64_t now_ns);

#endif
