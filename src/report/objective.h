/* Burn rates and budgets of a service-level objective.

   The objective is the share of requests that must be answered in time.  The
   burn rate over a window is the share of requests that failed divided by the
   share that the objective allows to fail.  A rate of 1 uses up the error
   budget exactly, a rate of 10 ten times as fast.  */

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
  double budget_left_pct; /* of six hours; negative when overspent */
};

/* Return the name of window W: "5m", "1h" or "6h".  */
const char *objective_window_name (int w);

/* Compute the row of SERIES for an objective of OBJECTIVE_PCT per cent, which
   must be below 100.  The row refers to SERIES.  */
struct objective_row objective_compute (const struct merge_series *series,
                                        double objective_pct);

/* Sum the outcomes of COUNT buckets of SERIES, starting at bucket FROM.  */
void objective_sum (const struct merge_series *series, uint32_t from,
                    uint32_t count, uint64_t sums[BURN_OUTCOME_COUNT]);

#endif
