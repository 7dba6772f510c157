/* Process-wide counters, exported in the Prometheus text format.  */

#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include <stddef.h>
#include <stdint.h>

enum counter
{
#define COUNTER(name, help) COUNTER_##name,
#include "base/counters.def"
#undef COUNTER
  COUNTER_COUNT
};

/* Add N to counter C.  Callable from any thread.  */
void counter_add (enum counter c, uint64_t n);

uint64_t counter_get (enum counter c);

/* All counters in the Prometheus text format.  The caller frees the result
   with free; NULL if out of memory.  */
char *counter_export (void);

/* Write the increase of each counter that changed since the last call to TEXT,
   of SIZE bytes, as " name=increase ...".  Counters that do not fit are left
   for the next call.  Not thread-safe.  */
void counter_format_deltas (char *text, size_t size);

#endif
