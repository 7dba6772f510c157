/* The load that a target states in its responses: the requests that run and
   wait there, its slots, and its pace.

   The pace tells how long work takes at the target now compared with its usual
   time.  It changes from one response to the next and is smoothed over one
   mean service time.  A pace that is out of range, or that the measured
   service times contradict, is not used.

   Does no I/O and reads no clock.  */

#ifndef LIMIT_STATED_LOAD_H
#define LIMIT_STATED_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/* What one response states.  */
struct load_figures
{
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  bool has_pace;
  double pace_pct; /* 100: as usual */
};

enum stated_load_problem
{
  STATED_LOAD_FINE,
  STATED_LOAD_OUT_OF_RANGE, /* the pace is outside 10 to 1,000 */
  STATED_LOAD_CONTRADICTED  /* the measured service times differ from it */
};

struct stated_load
{
  struct load_figures last;
  int64_t heard_ns; /* when LAST was stated; 0: never */
  double pace;      /* smoothed, 1: as usual; 0: not stated */
  bool contradicted;
  double log_ratios; /* sum over the responses of this check */
  uint32_t responses;
  /* The problem found last, and whether it was taken for a report.  Each is
     reported once for a target process.  */
  enum stated_load_problem problem;
  bool taken[STATED_LOAD_CONTRADICTED + 1];
};

void stated_load_reset (struct stated_load *s);

/* A response of NOW_NS states FIGURES.  SMOOTHING_NS: the mean service
   time.  */
void stated_load_learn (struct stated_load *s,
                        const struct load_figures *figures,
                        double smoothing_ns, int64_t now_ns);

/* A request took RATIO times as long as usual at PACE, the stated pace while
   it ran.  */
void stated_load_measure (struct stated_load *s, double ratio, double pace);

/* The pace that estimates are multiplied with; 0: none is used.  */
double stated_load_pace (const struct stated_load *s);

/* The slots as stated not long before NOW_NS; 0: not stated.  */
uint32_t stated_load_slots (const struct stated_load *s, int64_t now_ns);

/* A problem that was not reported yet, once; STATED_LOAD_FINE: none.  */
enum stated_load_problem stated_load_take_problem (struct stated_load *s);

#endif
