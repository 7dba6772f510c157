/* Load balancing: which target of a service without keys gets a request.

   Targets differ in speed, become slow, and fill up; traffic between
   availability zones costs money.  A target in the caller's own zone is chosen
   while it is expected to answer well within the target latency, otherwise the
   one that is expected to answer first.

   Does no I/O and reads no clock.  */

#ifndef MESH_BALANCE_H
#define MESH_BALANCE_H

#include "mesh/egress.h"
#include <stdbool.h>
#include <stdint.h>

/* Service times by route and target, as this node measured them.  */
struct service_times;

enum
{
  BALANCE_DECAY_INTERVAL_MS = 250
};

struct service_times *service_times_new (void);
void service_times_free (struct service_times *p);

/* Record that a request of the route ROUTE_HASH took SERVICE_NS at TARGET,
   whose stated pace was PACE_PCT; 0: not stated.  */
void service_times_record (struct service_times *p, const char *target,
                           uint32_t route_hash, int64_t service_ns,
                           uint32_t pace_pct);

/* Move the slowness of every target a step towards the mean, so that a target
   that was slow and gets no requests is tried again after a while.  Called
   every BALANCE_DECAY_INTERVAL_MS.  */
void service_times_decay (struct service_times *p);

/* Discard the measurements of TARGET, which has restarted.  */
void service_times_forget (struct service_times *p, const char *target);

/* The expected service time at TARGET of a request of the route
   ROUTE_HASH while the target states PACE_PCT; 0: not stated.  */
int64_t service_times_estimate (const struct service_times *p,
                                const char *target, uint32_t route_hash,
                                uint32_t pace_pct);

struct candidate
{
  const char *name;
  bool same_zone;
  bool already_tried; /* an earlier attempt of this request went there */
  struct target_load load;
  uint32_t sent_since_report; /* requests sent there since LOAD was reported */
  int64_t transfer_ns; /* time until the request has arrived there; 0: at once
                          or not known */
};

/* The index of the candidate that gets a request of the route ROUTE_HASH whose
   answer is wanted within TARGET_LATENCY_NS; -1 if no candidate accepts
   it.  */
int balance_pick (const struct service_times *p, const struct candidate *list,
                  unsigned count, uint32_t route_hash,
                  int64_t target_latency_ns);

#endif
