/* Exponentially weighted moving averages of service times and of their
   absolute deviation.  */

#ifndef LIMIT_ESTIMATE_H
#define LIMIT_ESTIMATE_H

#include <stdint.h>

/* All zero before the first sample.  */
struct estimate
{
  double mean_ns;
  double deviation_ns; /* mean absolute deviation */
  uint32_t samples;    /* counts up to ESTIMATE_SAMPLES_MAX */
};

enum
{
  /* The weight of a sample is 1/samples, down to this last weight of 1/128:
     an arithmetic mean at first, then an exponentially weighted one.  */
  ESTIMATE_SAMPLES_MAX = 128
};

/* Add one service time; a negative one is ignored.  */
void estimate_add (struct estimate *e, int64_t sample_ns);

/* The mean; 0 before the first sample.  */
int64_t estimate_mean_ns (const struct estimate *e);

/* The mean plus one mean deviation, which most samples stay below.  */
int64_t estimate_upper_1dev_ns (const struct estimate *e);

/* The mean plus three mean deviations, which few samples exceed.  */
int64_t estimate_upper_3dev_ns (const struct estimate *e);

#endif
