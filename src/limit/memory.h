/* The budget of a node for the memory of bodies, frames and responses.  It
   allocates nothing: it counts what others hold.  */

#ifndef LIMIT_MEMORY_H
#define LIMIT_MEMORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct memory
{
  uint64_t limit; /* bytes; 0: not limited */
  uint64_t used;
  /* Bytes released since WINDOW_NS, and in the window before.  */
  uint64_t released;
  uint64_t released_before;
  int64_t window_ns;
};

/* Set M to two fifths of MEMORY_MB MiB, the memory of the node; 0: no
   limit.  */
void memory_init (struct memory *m, uint32_t memory_mb);

/* Reserve BYTES.  False if they do not fit.  */
bool memory_reserve (struct memory *m, size_t bytes);

/* Count BYTES that are held whether they fit or not.  */
void memory_add (struct memory *m, size_t bytes);

/* BYTES that were reserved or counted are no longer held.  */
void memory_release (struct memory *m, size_t bytes, int64_t now_ns);

/* The time until BYTES fit if as much is released as in the last second.  */
int64_t memory_retry_after_ns (const struct memory *m, size_t bytes,
                               int64_t now_ns);

#endif
