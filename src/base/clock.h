/* Monotonic and wall clocks.

   Leases and deadlines use CLOCK_BOOTTIME, which also counts the time that the
   machine is suspended, so that leases expire during suspension.  Wall time is
   used in log lines and audit records only.  */

#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

#define NS_PER_US INT64_C (1000)
#define NS_PER_MS INT64_C (1000000)
#define NS_PER_S INT64_C (1000000000)

/* The time of CLOCK_BOOTTIME.  */
int64_t clock_now_ns (void);

/* Wall time since the Unix epoch.  */
int64_t clock_wall_ms (void);

/* Sleep for the given time; a signal may interrupt the sleep.  */
void clock_sleep_ms (int64_t ms);
void clock_sleep_ns (int64_t ns);

#endif
