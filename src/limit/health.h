/* Circuit breaker of one target, driven by the outcomes that its node
   observes.

   Eligible (closed): no bound on requests in flight.  Isolated (open): after
   several consecutive requests without an answer no request is sent, so that
   none ends with an unknown outcome; the time doubles with each failed trial.
   Trial (half-open): a bounded number of requests in flight; several answers
   make the target eligible, one failure isolates it again.  A trial of a
   target has nothing to do with trial organisations.

   An outcome counts only in the state in which its request was sent: a request
   sent before an isolation is no evidence of recovery.  */

#ifndef LIMIT_HEALTH_H
#define LIMIT_HEALTH_H

#include "limit/admit.h"
#include <stdbool.h>
#include <stdint.h>

enum health_state
{
  HEALTH_ELIGIBLE,
  HEALTH_ISOLATED,
  HEALTH_TRIAL
};

struct health_config
{
  uint32_t suspect_after;       /* consecutive failures; has no effect */
  uint32_t isolate_after;       /* consecutive failures; UINT32_MAX: never */
  uint32_t trial_in_flight_max; /* bound in the trial state */
  uint32_t trial_answers;       /* answers that make the target eligible */
  int64_t unresponsive_ns; /* timeouts isolate after so long without answer */
  int64_t isolation_first_ns; /* the first one, before any doubling */
  int64_t isolation_max_ns;   /* upper bound of the doubling */
};

struct health
{
  struct health_config config;
  enum health_state state;
  uint32_t generation; /* incremented with each change of state */
  uint32_t consecutive_failures;
  uint32_t trial_answers; /* in the present trial */
  int64_t next_isolation_ns;
  int64_t last_answer_ns; /* time of the last answer, or of health_init */
  int64_t isolated_until_ns;
};

void health_config_defaults (struct health_config *config);

/* Initialise H as eligible.  */
void health_init (struct health *h, const struct health_config *config,
                  int64_t now_ns);

/* The generation of the present state, to be kept with each request sent.  */
uint32_t health_generation (const struct health *h);

/* Record that a request sent in GENERATION ended with OUTCOME.  True when that
   made the target eligible after a trial: its limit has to ramp up.  */
bool health_done (struct health *h, uint32_t generation,
                  enum admit_outcome outcome, int64_t now_ns);

/* The state at NOW_NS; an isolation that has expired becomes a trial.  */
enum health_state health_state (struct health *h, int64_t now_ns);

/* The time at which an isolation ends; INT64_MAX in other states.  */
int64_t health_wake_ns (const struct health *h);

/* The bound on requests in flight in the present state; 0 while isolated,
   UINT32_MAX for no bound.  */
uint32_t health_in_flight_max (const struct health *h);

/* The name of STATE in lower case; never NULL.  */
const char *health_state_name (enum health_state state);

#endif
