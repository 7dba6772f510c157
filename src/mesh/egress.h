/* Sends requests to this node's target.  No other module does so.

   A request that this module refuses did not reach the target.  All functions
   are called on the event loop's thread.  */

#ifndef MESH_EGRESS_H
#define MESH_EGRESS_H

#include "mesh/attempt.h"
#include "mesh/dialect.h"
#include "mesh/evacuation_phase.h"
#include "mesh/target_state.h"
#include <uv.h>

struct crashes;
struct egress;
struct egress_job;

/* The load of the target, as reported to other nodes.  */
struct target_load
{
  bool accepting; /* the target takes requests */
  uint32_t slots; /* requests that it runs at once */
  uint32_t running;
  uint32_t waiting;
  uint32_t queue_wait_ms; /* expected wait at the end of the queue */
  uint32_t failure_pct; /* share of recent requests that failed or were shed */
  /* How much longer it stays slow after its start.  */
  uint32_t warmup_remaining_ms;
  /* Time between two requests that it takes; 0: no limit.  */
  uint32_t start_interval_ms;
  uint32_t link_kbps; /* rate of the node's network link; 0: not stated */
  /* Time until the bodies that the node admitted have arrived.  */
  uint32_t link_wait_ms;
  /* How long work takes at the target now, as the target states it; 100:
     usual, 0: not stated.  */
  uint32_t pace_pct;
};

struct egress_hooks
{
  void *arg;
  /* Whether the target holds KEY now: REASON_NONE, or the reason for a
     refusal.  */
  enum reason (*check_key) (void *arg, int32_t key, int64_t now_ns);
  /* A request for KEY was sent to the target, or has ended there.  */
  void (*key_request_started) (void *arg, int32_t key);
  void (*key_request_ended) (void *arg, int32_t key);
  /* The request ID was cancelled at the target, while it ran.  */
  void (*request_cut) (void *arg, const char *id);
  /* The target refused a request because it is another process, or does not
     hold KEY.  */
  void (*key_refused) (void *arg, int32_t key);
  /* The target refuses connections.  */
  void (*connection_refused) (void *arg);
  /* The target states that it leaves.  */
  void (*target_leaves) (void *arg);
  /* What may be sent to the target of this node's zone.  */
  enum evacuations_phase (*zone_phase) (void *arg, int64_t now_ns);
  /* The target, which refused connections, responds again; it is cold for
     WARMUP_MS.  */
  void (*target_responds) (void *arg, uint32_t warmup_ms);
  /* The target became cold, or warm.  */
  void (*cold_changed) (void *arg, bool cold);
  struct crashes *crashes; /* is told how requests end, and keeps some from the
                              target */
};

struct egress *egress_open (uv_loop_t *loop, const struct dialect *dialect,
                            const struct settings *settings,
                            const struct egress_hooks *hooks);

/* Take the target's id, slots and phase from VIEW.  Waiting requests are
   refused once the target no longer serves.  RESTARTED closes the connections
   to the earlier process.  */
void egress_update_target (struct egress *g, const struct target_view *view,
                           bool restarted);

/* Use POLICY of the target's service from now on.  */
void egress_set_policy (struct egress *g, const struct service_policy *policy,
                        int64_t now_ns);

/* The target takes requests again after the evacuation of its availability
   zone: send a health probe now.  DONE is called once, from the event loop and
   within a second: COLD if the target is cold, or if it did not respond and
   counts as cold.  Until then it counts as cold.  Without a health path or a
   rate of cold targets DONE is called with false.  A second call before that
   replaces the first one's DONE.  */
typedef void egress_reopened (void *arg, bool cold);
void egress_reopen (struct egress *g, egress_reopened *done, void *arg,
                    int64_t now_ns);

/* Call it a few times a second.  */
void egress_tick (struct egress *g, int64_t now_ns);

/* Use the terms of the target that another node was told, unless the target
   has stated some to this node.  */
void egress_adopt_terms (struct egress *g, const struct target_terms *terms,
                         int64_t now_ns);

/* Whether REQUEST, whose head and body have yet to arrive, will be sent to the
   target then.  False with the reason in *REFUSAL.  */
struct lineup_arrival;
bool egress_check (struct egress *g, const struct attempt_request *request,
                   const struct lineup_arrival *arrival, int64_t now_ns,
                   struct attempt_result *refusal);

/* Send REQUEST to the target; its head and body move into the job.  DONE is
   called once, after this function returns, unless the job is abandoned.  */
struct egress_job *egress_send (struct egress *g,
                                struct attempt_request *request,
                                attempt_done *done, void *arg, int64_t now_ns);

/* The result of JOB is no longer needed: the caller disconnected or was
   answered.  A waiting request is removed, a running idempotent one is
   cancelled, and any other goes on, its result discarded.  LEFT_NS: when the
   caller left; 0: it did not, or not known.  */
void egress_abandon (struct egress_job *job, int64_t left_ns);

/* The node stops at SHUTDOWN_NS.  The deadlines of requests that are sent from
   now on are limited to it, so that none starts that cannot end by then.  */
void egress_set_shutdown_time (struct egress *g, int64_t shutdown_ns);

/* Refuse all waiting requests, as the zone is closed.  Return their number. */
uint32_t egress_refuse_waiting (struct egress *g);

/* The number of requests that run at the target, and that wait for it.  */
uint32_t egress_running (const struct egress *g);
uint32_t egress_waiting (const struct egress *g);

struct target_load egress_load (const struct egress *g, int64_t now_ns);

/* The load of the target as a percentage of what it can do, for the placement
   of keys.  */
uint32_t egress_utilization_pct (const struct egress *g, int64_t now_ns);

/* The number of requests that run at the target or wait for it.  */
uint32_t egress_job_count (const struct egress *g);

/* The bound of the bodies of responses to requests, and the memory that all
   responses are counted in.  */
void egress_set_body_max (struct egress *g, uint32_t bytes);
void egress_set_memory (struct egress *g, const struct http_memory *memory);

/* The client for grants and releases of keys, whose responses bear no id: they
   share no connection with requests.  */
struct http_client *egress_control_client (struct egress *g);

#endif
