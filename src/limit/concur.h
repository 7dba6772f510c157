/* Adaptive limit of the requests in flight toward one target.

   The health and load endpoints of a target lag or mislead, so the limit is
   derived from what the node observes: answers, their latency, shed requests
   and timeouts.  The limit stays between 1 and the slots of the target.  For a
   cold or returning target it starts at a fixed low number and ramps up: it
   grows by one after a number of answers and a minimum time.  */

#ifndef LIMIT_CONCUR_H
#define LIMIT_CONCUR_H

#include "limit/admit.h"
#include <stdint.h>

struct concur;

enum concur_policy
{
  CONCUR_FIXED,   /* always the slots of the target */
  CONCUR_AIMD,    /* additive increase, multiplicative decrease */
  CONCUR_GRADIENT /* follows the ratio of baseline to current latency */
};

struct concur_config
{
  enum concur_policy policy;
  uint32_t slots;              /* requests that the target runs concurrently */
  uint32_t ramp_initial_limit; /* for a cold target; 0: no ramp */
  uint32_t ramp_step_answers;  /* answers per increase by one */
  int64_t ramp_step_min_ns;    /* minimum time per increase by one */
};

/* The defaults for a target with SLOTS slots.  */
void concur_config_defaults (struct concur_config *config, uint32_t slots);

/* Create the limit of a cold target.  NULL when out of memory.  Free it with
   concur_free.  */
struct concur *concur_new (const struct concur_config *config, int64_t now_ns);
void concur_free (struct concur *c);

/* Record that a request ended with OUTCOME after LATENCY_NS.  IN_FLIGHT counts
   the requests in flight at that time, including this one.  */
void concur_done (struct concur *c, enum admit_outcome outcome,
                  int64_t latency_ns, uint32_t in_flight, int64_t now_ns);

/* Restart the ramp, for a target that came back after it was down.  */
void concur_restart (struct concur *c, int64_t now_ns);

/* The present limit of requests in flight, at least 1.  */
uint32_t concur_limit (const struct concur *c);

#endif
