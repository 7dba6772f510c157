#include "base/clock.h"

#include <time.h>

int64_t
clock_now_ns (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (int64_t)ts.tv_sec * NS_PER_S + ts.tv_nsec;
}

int64_t
clock_wall_ms (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_REALTIME, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / NS_PER_MS;
}

void
clock_sleep_ms (int64_t ms)
{
  clock_sleep_ns (ms * NS_PER_MS);
}

void
clock_sleep_ns (int64_t ns)
{
  struct timespec duration = { ns / NS_PER_S, ns % NS_PER_S };
  nanosleep (&duration, NULL);
}
