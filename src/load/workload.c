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
  uint64_t state;
  uint32_t keys;      /* without a hot key of its own name */
  uint32_t hot;       /* equal to KEYS when the hot key is none of k0.. */
  double *cumulative; /* share of the keys up to this one; NULL: uniform */
  double organisations[LOAD_ORGANISATIONS_MAX]; /* cumulative */
  char (*names)[KEY_NAME_BYTES];                /* NULL: the options' names */
};

/* SplitMix64.  */
static uint64_t
next_random (struct workload *w)
{
  uint64_t z = (w->state += UINT64_C (0x9e3779b97f4a7c15));
  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

/* Uniform in [0, 1).  */
static double
next_unit (struct workload *w)
{
  return (double)(next_random (w) >> 11) * 0x1p-53;
}

/* The first index of the ascending table SHARES whose value exceeds X.  */
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
scale (double *shares, uint32_t count)
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
  w->cumulative = calloc (w->keys, sizeof *w->cumulative);
  if (w->cumulative == NULL)
    return false;
  for (uint32_t i = 0; i < w->keys; i++)
    {
      sum += pow ((double)i + 1, -w->options->zipf);
      w->cumulative[i] = sum;
    }
  scale (w->cumulative, w->keys);
  return true;
}

static bool
fill_names (struct workload *w)
{
  if (w->options->key_names != NULL)
    return true;
  w->names = calloc (w->keys, sizeof *w->names);
  if (w->names == NULL)
    return false;
  for (uint32_t i = 0; i < w->keys; i++)
    snprintf (w->names[i], KEY_NAME_BYTES, "k%u", i);
  return true;
}

static void
find_hot (struct workload *w)
{
  const char *hot = w->options->hot_key;
  w->hot = w->keys;
  for (uint32_t i = 0; hot != NULL && i < w->keys; i++)
    if (strcmp (hot, workload_key_name (w, i)) == 0)
      w->hot = i;
}

static void
fill_organisations (struct workload *w)
{
  double sum = 0;
  for (uint32_t i = 0; i < w->options->organisation_count; i++)
    {
      sum += w->options->organisations[i].weight;
      w->organisations[i] = sum;
    }
  scale (w->organisations, w->options->organisation_count);
}

struct workload *
workload_new (const struct load_options *o)
{
  struct workload *w = calloc (1, sizeof *w);
  if (w == NULL)
    return NULL;
  w->options = o;
  w->state = (uint64_t)o->seed;
  w->keys = (uint32_t)o->key_count;
  if (!fill_names (w) || !fill_zipf (w))
    {
      workload_free (w);
      return NULL;
    }
  find_hot (w);
  fill_organisations (w);
  return w;
}

void
workload_free (struct workload *w)
{
  if (w == NULL)
    return;
  free (w->names);
  free (w->cumulative);
  free (w);
}

uint32_t
workload_key_count (const struct workload *w)
{
  return w->keys + (w->hot == w->keys ? 1 : 0);
}

const char *
workload_key_name (const struct workload *w, uint32_t key)
{
  if (key >= w->keys)
    return w->options->hot_key;
  return w->names == NULL ? w->options->key_names[key] : w->names[key];
}

static uint32_t
choose_key (struct workload *w)
{
  const struct load_options *o = w->options;
  if (o->hot_key != NULL && next_unit (w) * 100 < o->hot_share_pct)
    return w->hot;
  if (w->cumulative != NULL)
    return find_share (w->cumulative, w->keys, next_unit (w));
  return (uint32_t)(next_unit (w) * w->keys);
}

void
workload_next (struct workload *w, struct workload_choice *choice)
{
  const struct load_options *o = w->options;
  choice->key = choose_key (w);
  choice->write = next_unit (w) * 100 < o->write_share_pct;
  choice->organisation = 0;
  if (o->organisation_count > 1)
    choice->organisation
        = find_share (w->organisations, o->organisation_count, next_unit (w));
}
