/* Burn rates and budgets of a service-level objective.

   The objective is the part of the requests that must be answered in time.
   The burn rate over a window is the part that was not over the part that may
   fail: 1 uses up the budget exactly, 10 ten times as fast.  */

#ifndef REPORT_OBJECTIVE_H
#define REPORT_OBJECTIVE_H

#include "report/merge.h"

enum
{
  OBJECTIVE_WINDOWS = 3 /* five minutes, an hour, six hours */
};

struct objective_row
{
  const struct merge_series *series;
  double objective_pct;
  uint64_t requests;                     /* in six hours */
  uint64_t outcomes[BURN_OUTCOME_COUNT]; /* in six hours */
  double burn_rates[OBJECTIVE_WINDOWS];  /* 0 where there were no requests */
  double budget_left_pct; /* of six hours; below 0 when overspent */
};

/* The name of window W: "5m", "1h", "6h".  */
const char *objective_window_name (int w);

/* Work out the row of SERIES, which the row refers to, for an objective of
   OBJECTIVE_PCT per cent, below 100.  */
struct objective_row objective_compute (const struct merge_series *series,
                                        double objective_pct);

/* Requests, and those of them that were not answered in time, in COUNT
   buckets from FROM on.  */
void objective_sum (const struct merge_series *series, uint32_t from,
                    uint32_t count, uint64_t sums[BURN_OUTCOME_COUNT]);

#endif
