/* A log-linear histogram of durations with a relative error below 1 %.  */

#ifndef BASE_HISTOGRAM_H
#define BASE_HISTOGRAM_H

#include <stdint.h>

struct histogram;

/* An empty histogram, or NULL if out of memory.  */
struct histogram *histogram_new (void);

/* H may be NULL.  */
void histogram_free (struct histogram *h);

/* Record VALUE; negative values are recorded as 0.  */
void histogram_add (struct histogram *h, int64_t value);

/* The number of recorded values.  */
uint64_t histogram_count (const struct histogram *h);

/* The mean of the values; 0 if there are none.  */
double histogram_mean (const struct histogram *h);

/* The exact maximum; 0 if there are no values.  */
int64_t histogram_max (const struct histogram *h);

/* The value at the percentile PERCENT, 0 to 100: at most 1 % above the exact
   one.  0 if there are no values.  */
int64_t histogram_percentile (const struct histogram *h, double percent);

#endif
