/* The rate of requests to a target that is cold: in its warm-up time after a
   start, or after it got no requests for a while.

   A cold target fails at rates well above the one that it can take.  While it
   is cold, starts are paced at that rate.  Once it is warm, the limit doubles
   every half second until the slots of the target are the lower limit, so that
   the requests that are queued for other targets do not all move to it at
   once.

   The limit counts for all nodes together, as only the node beside the target
   sends to it.  Starts of the last second before the target was known to be
   cold count against the rate.

   Does no I/O and reads no clock.  */

#ifndef LIMIT_COLD_H
#define LIMIT_COLD_H

#include "limit/pace.h"
#include <stdbool.h>
#include <stdint.h>

/* Where the cold time of a target is known from.  */
enum cold_source
{
  COLD_REPORTED, /* the target's report */
  COLD_PROBED,   /* the response to a health probe */
  COLD_ASSUMED   /* no information: it may have started again */
};

enum cold_phase
{
  COLD_WARM,
  COLD_COLD,
  COLD_RISING /* warm, and the limit rises */
};

struct cold
{
  double rate_max;   /* of a cold target, requests a second; 0: no limit */
  int64_t warmup_ns; /* how long it is cold after a start */
  enum cold_phase phase;
  enum cold_source source; /* of UNTIL_NS */
  int64_t until_ns;        /* the target is cold until then */
  int64_t used_until_ns;   /* starts of an earlier process of this node count
                              until then */
  struct pace pace;
};

/* A warm target without a limit.  */
void cold_init (struct cold *c);

/* This node starts at NOW_NS: an earlier process of it may have used all that
   is allowed until then.  */
void cold_assume_used (struct cold *c, int64_t now_ns);

/* A target that is cold takes RATE_MAX requests a second (0: any number), and
   is cold for WARMUP_NS after its start.  */
void cold_set_policy (struct cold *c, double rate_max, int64_t warmup_ns,
                      int64_t now_ns);

/* The target is another process, of which nothing is known yet.  The starts
   made so far count on, as they may have reached it.  */
void cold_reset (struct cold *c);

/* By SOURCE, the target is cold until UNTIL_NS; it is warm if that is not
   after NOW_NS.  */
void cold_learn (struct cold *c, enum cold_source source, int64_t until_ns,
                 int64_t now_ns);

/* Apply the passage of time until NOW_NS.  CAPACITY: the requests a second
   that the slots of the target allow.  */
void cold_advance (struct cold *c, double capacity, int64_t now_ns);

/* The rate in force, in starts a second, or INFINITY.  */
double cold_rate (const struct cold *c);

/* How long the next start has to wait; 0: it may start.  */
int64_t cold_wait_ns (const struct cold *c, int64_t now_ns);

/* Record a start, allowed or not.  */
void cold_record_start (struct cold *c, int64_t now_ns);

/* The name of SOURCE in log lines.  */
const char *cold_source_name (enum cold_source source);

#endif
