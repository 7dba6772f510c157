/* Overload protection for one target: admission control, the adaptive limit of
   requests in flight and the circuit breaker, combined.

   A gate belongs to the thread that sends to the target:

     - call gate_offer for each request;
     - after each call, and at gate_wake_ns, call gate_next until
       ADMIT_NOTHING;
     - for each ADMIT_START send the request, and call gate_done when it
       ends.  */

#ifndef LIMIT_GATE_H
#define LIMIT_GATE_H

#include "limit/admit.h"
#include "limit/concur.h"
#include "limit/health.h"

struct gate;

struct gate_config
{
  struct admit_config admit;
  struct concur_config concur;
  struct health_config health;
};

struct gate_stats
{
  struct admit_stats admit;
  uint32_t concur_limit; /* without the bound of the health state */
  enum health_state health;
};

/* The defaults for a target with SLOTS slots.  */
void gate_config_defaults (struct gate_config *config, uint32_t slots);

/* Create the gate of a cold target.  NULL when out of memory.  Free it with
   gate_free.  */
struct gate *gate_new (const struct gate_config *config, int64_t now_ns);
void gate_free (struct gate *g);

/* As admit_offer and admit_next.  */
struct admit_decision gate_offer (struct gate *g,
                                  const struct admit_request *request,
                                  int64_t now_ns);
struct admit_decision gate_next (struct gate *g, int64_t now_ns);

/* As admit_done; also updates the limit and the health state by OUTCOME.  */
bool gate_done (struct gate *g, admit_ticket ticket,
                enum admit_outcome outcome, int64_t latency_ns,
                int64_t now_ns);

/* As admit_cancel.  */
bool gate_cancel (struct gate *g, admit_ticket ticket);

/* The time at which gate_next may have a decision without a further event;
   INT64_MAX when there is none.  */
int64_t gate_wake_ns (const struct gate *g);

/* Refuse new requests from now on; queued ones still run.  */
void gate_drain (struct gate *g);

/* The target was restarted: ramp up again as for a cold target.  */
void gate_target_restarted (struct gate *g, int64_t now_ns);

/* As admit_set_trial_share.  */
void gate_set_trial_share (struct gate *g, uint32_t share_pct, bool lending);

/* The health state of the target at NOW_NS.  */
enum health_state gate_health (struct gate *g, int64_t now_ns);

void gate_read_stats (const struct gate *g, struct gate_stats *stats);

#endif
