/* Exponential back-off with jitter after failed calls.  */

#ifndef STORE_BACKOFF_H
#define STORE_BACKOFF_H

#include <stdint.h>

/* The state of the back-off; all zero without failures.  */
struct backoff
{
  uint32_t failures;   /* consecutive */
  int64_t retry_at_ns; /* no call is made before this time */
};

/* Nanoseconds from NOW_NS until a call may be made; 0: at once.  */
int64_t backoff_remaining_ns (const struct backoff *b, int64_t now_ns);

/* Record that a call succeeded: end the back-off.  */
void backoff_record_success (struct backoff *b);

/* Record that a call failed at NOW_NS.  The maximum wait starts at
   BACKOFF_INITIAL_MS and doubles with each consecutive failure up to
   BACKOFF_MAX_MS.  The actual wait is between half the maximum and the
   maximum, chosen by RANDOM, a number from the uniform distribution over its
   range.  */
void backoff_record_failure (struct backoff *b, int64_t now_ns,
                             uint32_t random);

enum
{
  BACKOFF_INITIAL_MS = 20,
  BACKOFF_MAX_MS = 2560
};

#endif
