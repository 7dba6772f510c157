#include "own/sketch.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* A key whose rate falls below this is dropped.  */
#define RATE_MIN 0.5

struct sketch
{
  uint64_t count; /* requests in the present window */
  double rate;
  uint32_t windows;
  struct sketch_key keys[SKETCH_KEYS];
};

struct sketch *
sketch_new (void)
{
  return calloc (1, sizeof (struct sketch));
}

void
sketch_free (struct sketch *s)
{
  free (s);
}

static struct sketch_key *
set_for_key (struct sketch *s, const char *key, size_t length)
{
  /* The seed differs from that of the slots, so that the keys of one slot are
     spread over the sets.  */
  uint64_t hash = XXH3_64bits_withSeed (key, length, SKETCH_SETS);
  return &s->keys[hash % SKETCH_SETS * SKETCH_WAYS];
}

static bool
is_key (const struct sketch_key *k, const char *key, size_t length)
{
  return k->length == length && memcmp (k->key, key, length) == 0;
}

static double
priority (const struct sketch_key *k)
{
  return k->length == 0 ? -1 : (double)k->count + k->rate;
}

static struct sketch_key *
least_key (struct sketch_key *set)
{
  struct sketch_key *least = set;
  for (uint32_t i = 1; i < SKETCH_WAYS; i++)
    if (priority (&set[i]) < priority (least))
      least = &set[i];
  return least;
}

static void
replace_key (struct sketch_key *k, const char *key, size_t length)
{
  uint64_t count = k->length == 0 ? 0 : k->count;
  memset (k, 0, sizeof *k);
  memcpy (k->key, key, length);
  k->length = (uint32_t)length;
  k->count = count;
  k->error = count;
}

struct sketch_key *
sketch_find (struct sketch *s, const char *key, size_t length)
{
  struct sketch_key *set = set_for_key (s, key, length);
  for (uint32_t i = 0; i < SKETCH_WAYS; i++)
    if (is_key (&set[i], key, length))
      return &set[i];
  return NULL;
}

void
sketch_add (struct sketch *s, const char *key, size_t length, uint32_t weight)
{
  s->count += weight;
  if (length == 0 || length >= CELL_KEY_BYTES)
    return;
  struct sketch_key *k = sketch_find (s, key, length);
  if (k == NULL)
    {
      k = least_key (set_for_key (s, key, length));
      replace_key (k, key, length);
    }
  k->count += weight;
}

static void
end_key_window (struct sketch_key *k)
{
  k->rate = k->rate / 2 + (double)k->count / 2;
  k->rate_error = k->rate_error / 2 + (double)k->error / 2;
  k->count = 0;
  k->error = 0;
  if (k->rate < RATE_MIN)
    memset (k, 0, sizeof *k);
}

void
sketch_end_window (struct sketch *s)
{
  s->rate = s->rate / 2 + (double)s->count / 2;
  s->count = 0;
  s->windows++;
  for (uint32_t i = 0; i < SKETCH_KEYS; i++)
    if (s->keys[i].length != 0)
      end_key_window (&s->keys[i]);
}

uint32_t
sketch_window_count (const struct sketch *s)
{
  return s->windows;
}

double
sketch_total_rate (const struct sketch *s)
{
  return s->rate;
}

struct sketch_key *
sketch_key_at (struct sketch *s, uint32_t i)
{
  return s->keys[i].length == 0 ? NULL : &s->keys[i];
}
