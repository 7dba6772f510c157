/* Paces the requests to a target that limits how many it takes a second.

   The limit counts for all nodes together.  It is kept by the one node that
   sends to the target, so there are no shares that have to add up.

   A token bucket: while a limit is in force, any span of T seconds has at most
   RATE * (T + 1/4) + 1 starts.  The starts of the second before it was stated
   count as well: those beyond twice the rate are a debt that is paid first, so
   that a span which begins in that second has at most RATE * (T + 1 1/4) + 1
   starts, unless more were made before the limit was known.

   Does no I/O and reads no clock.  */

#ifndef LIMIT_PACE_H
#define LIMIT_PACE_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  PACE_SLICES = 96
};

struct pace
{
  bool limited;
  double rate_max;   /* starts a second */
  double tokens;     /* starts that are allowed now; negative: a debt */
  int64_t tokens_ns; /* when TOKENS was updated */
  uint32_t starts[PACE_SLICES]; /* by slice of time, in a ring */
  int64_t last_slice;           /* number of the slice of the last start */
};

/* No limit, and no starts yet.  */
void pace_init (struct pace *p);

/* At most RATE_MAX starts a second from now on.  The limit was first stated
   after SINCE_NS, when the target still took any number.  */
void pace_set_limit (struct pace *p, double rate_max, int64_t since_ns,
                     int64_t now_ns);

/* The same for a limit that counts the starts of the last second as if it had
   been in force then: any span of T seconds that contains a later start has at
   most RATE * (T + 1/4) + 1 starts, if T is at most 1.  A higher rate than the
   one in force adds no starts by itself.  */
void pace_set_strict_limit (struct pace *p, double rate_max, int64_t now_ns);

/* Allow no start before UNTIL_NS, which is after NOW_NS.  */
void pace_hold (struct pace *p, int64_t until_ns, int64_t now_ns);

/* There is no limit any more.  */
void pace_clear_limit (struct pace *p);

/* The rate in force, in starts a second, or INFINITY.  Never 0: only an answer
   can end a limit.  */
double pace_rate (const struct pace *p);

/* How long the next start has to wait; 0: it may start.  */
int64_t pace_wait_ns (const struct pace *p, int64_t now_ns);

/* Record a start, allowed or not.  */
void pace_record_start (struct pace *p, int64_t now_ns);

#endif
