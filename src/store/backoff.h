/* Jittered exponential back-off after failed calls.  */

#ifndef STORE_BACKOFF_H
#define STORE_BACKOFF_H

#include <stdint.h>

/* Zero is the state without failures.  */
struct backoff
{
  uint32_t failures;   /* in a row */
  int64_t retry_at_ns; /* no call before */
};

/* Nanoseconds to wait before the next call; 0: it may be made at NOW_NS.  */
int64_t backoff_remaining_ns (const struct backoff *b, int64_t now_ns);

/* A call succeeded.  */
void backoff_record_success (struct backoff *b);

/* A call failed at NOW_NS; RANDOM is any number, uniform over its range.  The
   wait is between half the full one and all of it; the full one doubles from
   BACKOFF_INITIAL_MS with each failure in a row, up to BACKOFF_MAX_MS.  */
void backoff_record_failure (struct backoff *b, int64_t now_ns,
                             uint32_t random);

enum
{
  BACKOFF_INITIAL_MS = 20,
  BACKOFF_MAX_MS = 2560
};

#endif
