/* Recognises callers that come back after a refusal or a failure.

   A caller that retries sends the same request with another id, within the
   same overall deadline: its timeout is shorter by the time that has passed.
   So a request is a retry if a failed one of the same content had the same
   deadline.  The target latency counts from the first attempt.

   A table belongs to one thread and never reads the clock.  */

#ifndef LIMIT_RETURNS_H
#define LIMIT_RETURNS_H

#include <stdint.h>

struct returns;

/* Create a table that remembers at most CAPACITY failed requests, the latest
   ones.  */
struct returns *returns_new (uint32_t capacity);
void returns_free (struct returns *r);

/* Record that a request with FINGERPRINT, which identifies its content, failed
   at NOW_NS.  Its caller made the first attempt at FIRST_NS and waits until
   DEADLINE_NS.  */
void returns_record (struct returns *r, uint64_t fingerprint, int64_t first_ns,
                     int64_t deadline_ns, int64_t now_ns);

/* The time of the first attempt of the caller of a request that arrives at
   NOW_NS with FINGERPRINT and DEADLINE_NS; NOW_NS if it is not known to be a
   retry.  A failed request is found once.  */
int64_t returns_find (struct returns *r, uint64_t fingerprint,
                      int64_t deadline_ns, int64_t now_ns);

/* The number of failed requests that are remembered.  */
uint32_t returns_count (const struct returns *r);

#endif
