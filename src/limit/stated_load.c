#include "limit/stated_load.h"

#include "base/clock.h"
#include <math.h>
#include <string.h>

#define PACE_PCT_MIN 10.0
#define PACE_PCT_MAX 1000.0
#define PERCENT 100.0
/* The pace is checked over this many responses.  It is not used if their
   service times differ from it by more than this factor on average.  */
#define CHECK_RESPONSES 10
#define CHECK_FACTOR 3.0
/* Stated slots are used for two intervals of the target's reports, which may
   say otherwise afterwards.  */
#define SLOTS_AGE_MAX_NS (2 * NS_PER_S)

void
stated_load_reset (struct stated_load *s)
{
  memset (s, 0, sizeof *s);
}

void
stated_load_learn (struct stated_load *s, const struct load_figures *figures,
                   double smoothing_ns, int64_t now_ns)
{
  double pace = figures->pace_pct / PERCENT;
  double elapsed_ns = (double)(now_ns - s->heard_ns);
  s->last = *figures;
  s->heard_ns = now_ns;
  if (!figures->has_pace)
    s->pace = 0;
  else if (figures->pace_pct < PACE_PCT_MIN
           || figures->pace_pct > PACE_PCT_MAX)
    {
      s->pace = 0;
      s->problem = STATED_LOAD_OUT_OF_RANGE;
    }
  else if (s->pace == 0)
    s->pace = pace;
  else
    s->pace += (pace - s->pace) * (1 - exp (-elapsed_ns / smoothing_ns));
}

void
stated_load_measure (struct stated_load *s, double ratio, double pace)
{
  if (pace <= 0 || ratio <= 0)
    return;
  s->log_ratios += log (ratio / pace);
  if (++s->responses < CHECK_RESPONSES)
    return;
  double mean = s->log_ratios / s->responses;
  s->contradicted = fabs (mean) > log (CHECK_FACTOR);
  if (s->contradicted)
    s->problem = STATED_LOAD_CONTRADICTED;
  s->log_ratios = 0;
  s->responses = 0;
}

double
stated_load_pace (const struct stated_load *s)
{
  return s->contradicted ? 0 : s->pace;
}

uint32_t
stated_load_slots (const struct stated_load *s, int64_t now_ns)
{
  return s->heard_ns != 0 && now_ns - s->heard_ns <= SLOTS_AGE_MAX_NS
             ? s->last.slots
             : 0;
}

enum stated_load_problem
stated_load_take_problem (struct stated_load *s)
{
  enum stated_load_problem problem = s->problem;
  s->problem = STATED_LOAD_FINE;
  if (s->taken[problem])
    return STATED_LOAD_FINE;
  s->taken[problem] = problem != STATED_LOAD_FINE;
  return problem;
}
