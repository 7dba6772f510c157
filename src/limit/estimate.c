#include "limit/estimate.h"

#include <math.h>

enum
{
  UPPER_DEVIATIONS = 3
};

void
estimate_add (struct estimate *e, int64_t sample_ns)
{
  if (sample_ns < 0)
    return;
  if (e->samples < ESTIMATE_SAMPLES_MAX)
    e->samples++;
  double error = (double)sample_ns - e->mean_ns;
  double weight = 1.0 / e->samples;
  e->mean_ns += error * weight;
  e->deviation_ns += (fabs (error) - e->deviation_ns) * weight;
  if (e->samples == 1)
    e->deviation_ns = e->mean_ns / 2;
}

int64_t
estimate_mean_ns (const struct estimate *e)
{
  return (int64_t)e->mean_ns;
}

int64_t
estimate_upper_1dev_ns (const struct estimate *e)
{
  return (int64_t)(e->mean_ns + e->deviation_ns);
}

int64_t
estimate_upper_3dev_ns (const struct estimate *e)
{
  return (int64_t)(e->mean_ns + UPPER_DEVIATIONS * e->deviation_ns);
}
