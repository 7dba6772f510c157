#include "report/objective.h"

#include <string.h>

static const struct
{
  uint32_t buckets;
  const char *name;
} windows[OBJECTIVE_WINDOWS] = {
  { 300 / BURN_BUCKET_S, "5m" },
  { 3600 / BURN_BUCKET_S, "1h" },
  { BURN_BUCKETS, "6h" },
};

const char *
objective_window_name (int w)
{
  return windows[w].name;
}

void
objective_sum (const struct merge_series *series, uint32_t from,
               uint32_t count, uint64_t sums[BURN_OUTCOME_COUNT])
{
  memset (sums, 0, BURN_OUTCOME_COUNT * sizeof sums[0]);
  for (uint32_t i = from; i < from + count; i++)
    for (int w = 0; w < BURN_OUTCOME_COUNT; w++)
      sums[w] += series->buckets[i][w];
}

static uint64_t
sum_outcomes (const uint64_t sums[BURN_OUTCOME_COUNT])
{
  uint64_t total = 0;
  for (int w = 0; w < BURN_OUTCOME_COUNT; w++)
    total += sums[w];
  return total;
}

static double
burn_rate (const uint64_t sums[BURN_OUTCOME_COUNT], double objective_pct)
{
  uint64_t total = sum_outcomes (sums);
  if (total == 0)
    return 0;
  double failed = (double)(total - sums[BURN_ANSWERED]) / (double)total;
  return failed / (1 - objective_pct / 100);
}

struct objective_row
objective_compute (const struct merge_series *series, double objective_pct)
{
  struct objective_row row
      = { .series = series, .objective_pct = objective_pct };
  uint64_t sums[BURN_OUTCOME_COUNT];
  for (int w = 0; w < OBJECTIVE_WINDOWS; w++)
    {
      uint32_t count = windows[w].buckets;
      objective_sum (series, BURN_BUCKETS - count, count, sums);
      row.burn_rates[w] = burn_rate (sums, objective_pct);
    }
  memcpy (row.outcomes, sums, sizeof sums);
  row.requests = sum_outcomes (sums);
  row.budget_left_pct = 100 * (1 - row.burn_rates[OBJECTIVE_WINDOWS - 1]);
  return row;
}
