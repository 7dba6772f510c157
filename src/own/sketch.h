/* A bounded sketch of the most requested keys: space-saving counters in small
   sets, with rates that decay.

   A key that is not counted yet takes the place of the least of its set and
   inherits its count as error, so a rate is never too low by more than its
   error.  One thread.  */

#ifndef OWN_SKETCH_H
#define OWN_SKETCH_H

#include "own/cell.h"
#include <stddef.h>
#include <stdint.h>

enum
{
  SKETCH_SETS = 128,
  SKETCH_WAYS = 8,
  SKETCH_KEYS = SKETCH_SETS * SKETCH_WAYS
};

struct sketch_key
{
  char key[CELL_KEY_BYTES];
  uint32_t length; /* 0: free */
  uint64_t count;  /* of the window that is going on */
  uint64_t error;  /* of count */
  double rate;     /* requests a window, decayed */
  double rate_error;
  uint32_t hot_windows;  /* in a row; for the owner of the sketch */
  uint32_t cool_windows; /* in a row */
};

struct sketch;

/* A new sketch, or NULL when memory is short.  */
struct sketch *sketch_new (void);
void sketch_free (struct sketch *s);

/* Count WEIGHT requests for KEY.  Keys of 0 or CELL_KEY_BYTES bytes and more
   are only counted in the total.  */
void sketch_add (struct sketch *s, const char *key, size_t length,
                 uint32_t weight);

/* End a window: rates take half of what they were and half of the window.  */
void sketch_end_window (struct sketch *s);

/* The number of windows that have ended.  */
uint32_t sketch_window_count (const struct sketch *s);

/* The decayed rate of all keys together.  */
double sketch_total_rate (const struct sketch *s);

/* The counted key I of 0 ... SKETCH_KEYS - 1, or NULL when the place is
   free.  */
struct sketch_key *sketch_key_at (struct sketch *s, uint32_t i);

/* KEY if it is counted, else NULL.  */
struct sketch_key *sketch_find (struct sketch *s, const char *key,
                                size_t length);

#endif
