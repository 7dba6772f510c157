/* Counters of the process, in the Prometheus text format.  */

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

/* Add N to counter C; safe from any thread.  */
void counter_add (enum counter c, uint64_t n);

/* The value of counter C.  */
uint64_t counter_get (enum counter c);

/* All counters as Prometheus text.  The caller frees the result with free;
   NULL when memory is short.  */
char *counter_export (void);

/* The counters that grew since the last call, as " name=growth ..." into TEXT
   of ROOM bytes; what has no room is told by the next call.  For one thread.
 */
void counter_format_deltas (char *text, size_t room);

#endif
