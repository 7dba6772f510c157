/* The clocks of a process.

   Leases and deadlines use CLOCK_BOOTTIME, which goes on while the machine is
   suspended: an instance that wakes up finds its leases lapsed.  Wall time is
   for log lines and audit records only.  */

#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

#define NS_PER_US INT64_C (1000)
#define NS_PER_MS INT64_C (1000000)
#define NS_PER_S INT64_C (1000000000)

/* Nanoseconds of CLOCK_BOOTTIME.  */
int64_t clock_now_ns (void);

/* Milliseconds of wall time since 1970.  */
int64_t clock_wall_ms (void);

/* Sleep for MS milliseconds, or NS nanoseconds; a signal may end it early.  */
void clock_sleep_ms (int64_t ms);
void clock_sleep_ns (int64_t ns);

#endif
