/* Process-wide histograms of durations, exported in the Prometheus text
   format.  Callable from any thread.  */

#ifndef BASE_DURATION_H
#define BASE_DURATION_H

#include <stdint.h>

enum duration
{
#define DURATION(name, help) DURATION_##name,
#include "base/durations.def"
#undef DURATION
  DURATION_COUNT
};

/* Record VALUE_NS; negative values are recorded as 0.  */
void duration_add (enum duration d, int64_t value_ns);

uint64_t duration_count (enum duration d);

/* All durations in the Prometheus text format.  The caller frees the result
   with free; NULL if out of memory.  */
char *duration_export (void);

#endif
