#include "load/workload.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  KEY_NAME_BYTES = 16
};

struct workload
{
  const struct load_options *options;
  uint64_t rng_state;
  uint32_t key_count; /* without a hot key that is not among them */
  uint32_t hot_index; /* KEY_COUNT if the hot key is not among the keys */
  double *key_shares; /* cumulative distribution; NULL: uniform */
  double organisation_shares[LOAD_ORGANISATIONS_MAX]; /* cumulative */
  char (*names)[KEY_NAME_BYTES]; /* NULL: the names are in the options */
};

/* The SplitMix64 generator.  */
static uint64_t
next_random (struct workload *w)
{
  uint64_t z = (w->rng_state += UINT64_C (0x9e3779b97f4a7c15));
  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

/* Return a uniformly distributed number in [0, 1).  */
static double
next_uniform (struct workload *w)
{
  return (double)(next_random (w) >> 11) * 0x1p-53;
}

/* Return the first index of the ascending SHARES whose value exceeds X.  */
static uint32_t
find_share (const double *shares, uint32_t count, double x)
{
  uint32_t low = 0;
  uint32_t high = count - 1;
  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      if (shares[middle] > x)
        high = middle;
      else
        low = middle + 1;
    }
  return low;
}

static void
normalise (double *shares, uint32_t count)
{
  double total = shares[count - 1];
  for (uint32_t i = 0; i < count; i++)
    shares[i] /= total;
}

static bool
fill_zipf (struct workload *w)
{
  double sum = 0;
  if (w->options->zipf <= 0)
    return true;
  w->key_shares = calloc (w->key_count, sizeof *w->key_shares);
  if (w->key_shares == NULL)
    return false;
  for (uint32_t i = 0; i < w->key_count; i++)
    {
      sum += pow ((double)i + 1, -w->options->zipf);
      w->key_shares[i] = sum;
    }
  normalise (w->key_shares, w->key_count);
  return true;
}

static bool
fill_names (struct workload *w)
{
  if (w->options->key_names != NULL)
    return true;
  w->names = calloc (w->key_count, sizeof *w->names);
  if (w->names == NULL)
    return false;
  for (uint32_t i = 0; i < w->key_count; i++)
    snprintf (w->names[i], KEY_NAME_BYTES, "k%u", i);
  return true;
}

static void
find_hot_key (struct workload *w)
{
  const char *hot_key = w->options->hot_key;
  w->hot_index = w->key_count;
  for (uint32_t i = 0; hot_key != NULL && i < w->key_count; i++)
    if (strcmp (hot_key, workload_key_name (w, i)) == 0)
      w->hot_index = i;
}

static void
fill_organisations (struct workload *w)
{
  double sum = 0;
  for (uint32_t i = 0; i < w->options->organisation_count; i++)
    {
      sum += w->options->organisations[i].weight;
      w->organisation_shares[i] = sum;
    }
  normalise (w->organisation_shares, w->options->organisation_count);
}

struct workload *
workload_new (const struct load_options *o)
{
  struct workload *w = calloc (1, sizeof *w);
  if (w == NULL)
    return NULL;
  w->options = o;
  w->rng_state = (uint64_t)o->seed;
  w->key_count = (uint32_t)o->key_count;
  if (!fill_names (w) || !fill_zipf (w))
    {
      workload_free (w);
      return NULL;
    }
  find_hot_key (w);
  fill_organisations (w);
  return w;
}

void
workload_free (struct workload *w)
{
  if (w == NULL)
    return;
  free (w->names);
  free (w->key_shares);
  free (w);
}

uint32_t
workload_key_count (const struct workload *w)
{
  return w->key_count + (w->hot_index == w->key_count ? 1 : 0);
}

const char *
workload_key_name (const struct workload *w, uint32_t key)
{
  if (key >= w->key_count)
    return w->options->hot_key;
  return w->names == NULL ? w->options->key_names[key] : w->names[key];
}

static uint32_t
choose_key (struct workload *w)
{
  const struct load_options *o = w->options;
  if (o->hot_key != NULL && next_uniform (w) * 100 < o->hot_share_pct)
    return w->hot_index;
  if (w->key_shares != NULL)
    return find_share (w->key_shares, w->key_count, next_uniform (w));
  return (uint32_t)(next_uniform (w) * w->key_count);
}

void
workload_next (struct workload *w, struct workload_choice *choice)
{
  const struct load_options *o = w->options;
  choice->key = choose_key (w);
  choice->write = next_uniform (w) * 100 < o->write_share_pct;
  choice->organisation = 0;
  if (o->organisation_count > 1)
    choice->organisation = find_share (
        w->organisation_shares, o->organisation_count, next_uniform (w));
}
