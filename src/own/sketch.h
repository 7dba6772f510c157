/* A sketch of bounded size of the most requested keys: a set-associative
   variant of the Space-Saving algorithm, with rates that decay.

   A key that is not counted yet replaces the key with the lowest count in its
   set and takes over that count, which is recorded as its error.  The count of
   a window is therefore too high by at most its error.  For use by one
   thread.  */

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
  uint32_t length; /* 0: entry is free */
  uint64_t count;  /* requests in the present window, including error */
  uint64_t error;  /* the part of count taken over from a replaced key */
  double rate;     /* requests per window, decayed */
  double rate_error;
  /* Consecutive hot and cool windows, maintained by own/hot.c.  */
  uint32_t hot_windows;
  uint32_t cool_windows;
};

struct sketch;

/* Return a new sketch, or NULL when memory is short.  */
struct sketch *sketch_new (void);
void sketch_free (struct sketch *s);

/* Count WEIGHT requests for KEY.  A key that is empty or has CELL_KEY_BYTES
   bytes or more counts only towards the total.  */
void sketch_add (struct sketch *s, const char *key, size_t length,
                 uint32_t weight);

/* End a window: each rate becomes the mean of its old value and the count of
   the window.  */
void sketch_end_window (struct sketch *s);

/* Return the number of windows that have ended.  */
uint32_t sketch_window_count (const struct sketch *s);

/* Return the decayed rate of all keys together.  */
double sketch_total_rate (const struct sketch *s);

/* Return the key in entry I, 0 ...  SKETCH_KEYS - 1, or NULL when the entry is
   free.  */
struct sketch_key *sketch_key_at (struct sketch *s, uint32_t i);

/* Return the entry of KEY if it is counted, else NULL.  */
struct sketch_key *sketch_find (struct sketch *s, const char *key,
                                size_t length);

#endif
