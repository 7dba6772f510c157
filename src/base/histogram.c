#include "base/histogram.h"

#include <math.h>
#include <stddef.h>
#include <stdlib.h>

enum
{
  /* 128 sub-buckets per power of two bound the relative error to 1/128.  */
  SUB_BUCKET_BITS = 7,
  SUB_BUCKET_COUNT = 1 << SUB_BUCKET_BITS,
  BUCKET_COUNT = (64 - SUB_BUCKET_BITS) * SUB_BUCKET_COUNT
};

struct histogram
{
  uint64_t count;
  int64_t max;
  double sum;
  uint64_t buckets[BUCKET_COUNT];
};

/* Each value below 2 * SUB_BUCKET_COUNT has its own bucket; above, each power
   of two is divided into SUB_BUCKET_COUNT buckets.  */
static size_t
bucket_index (uint64_t value)
{
  if (value < SUB_BUCKET_COUNT)
    return (size_t)value;
  int shift = 63 - __builtin_clzll (value) - SUB_BUCKET_BITS;
  return ((size_t)shift << SUB_BUCKET_BITS) + (size_t)(value >> shift);
}

static uint64_t
bucket_upper_bound (size_t bucket)
{
  if (bucket < (size_t)2 * SUB_BUCKET_COUNT)
    return bucket;
  int shift = (int)(bucket >> SUB_BUCKET_BITS) - 1;
  uint64_t mantissa = (bucket & (SUB_BUCKET_COUNT - 1)) + SUB_BUCKET_COUNT;
  return ((mantissa + 1) << shift) - 1;
}

struct histogram *
histogram_new (void)
{
  return calloc (1, sizeof (struct histogram));
}

void
histogram_free (struct histogram *h)
{
  free (h);
}

void
histogram_add (struct histogram *h, int64_t value)
{
  if (value < 0)
    value = 0;
  h->buckets[bucket_index ((uint64_t)value)]++;
  h->count++;
  h->sum += (double)value;
  if (value > h->max)
    h->max = value;
}

uint64_t
histogram_count (const struct histogram *h)
{
  return h->count;
}

double
histogram_mean (const struct histogram *h)
{
  return h->count == 0 ? 0 : h->sum / (double)h->count;
}

int64_t
histogram_max (const struct histogram *h)
{
  return h->max;
}

int64_t
histogram_percentile (const struct histogram *h, double percent)
{
  uint64_t cumulative = 0;
  uint64_t rank = (uint64_t)ceil ((double)h->count * percent / 100);
  if (rank == 0)
    rank = 1;
  for (size_t b = 0; b < BUCKET_COUNT; b++)
    {
      cumulative += h->buckets[b];
      if (cumulative < rank)
        continue;
      int64_t value = (int64_t)bucket_upper_bound (b);
      return value < h->max ? value : h->max;
    }
  return h->max;
}
