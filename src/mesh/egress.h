/* The way to this node's target: only this module sends to it.

   What it turns away did not reach the target.  It runs on the loop's
   thread.  */

#ifndef MESH_EGRESS_H
#define MESH_EGRESS_H

#include "mesh/attempt.h"
#include "mesh/dialect.h"
#include "mesh/target_state.h"
#include <uv.h>

struct egress;
struct egress_job;

/* What other nodes hear of the target.  */
struct target_load
{
  bool open; /* takes requests */
  uint32_t slots;
  uint32_t running;
  uint32_t waiting;
  uint32_t wait_ms;      /* expected wait of a request of middle priority */
  uint32_t failing_pct;  /* of the last sends that the target failed or shed */
  uint32_t cold_left_ms; /* it is slow that much longer */
};

struct egress_hooks
{
  void *arg;
  /* Whether the target holds KEY now: REASON_NONE, or why not.  */
  enum reason (*may_serve) (void *arg, int32_t key, int64_t now_ns);
  /* A request for KEY is sent to the target, and has ended there.  */
  void (*begin_key) (void *arg, int32_t key);
  void (*end_key) (void *arg, int32_t key);
  /* The target says that it is another one, or does not hold the key.  */
  void (*refused_key) (void *arg, int32_t key);
  /* The target refuses connections.  */
  void (*lost_target) (void *arg);
};

struct egress *egress_open (uv_loop_t *loop, const struct dialect *dialect,
                            const struct settings *settings,
                            const struct egress_hooks *hooks);

/* Follow VIEW: its id, slots and phase.  Requests that wait are turned away
   when the target leaves.  NEW_RUN drops the connections to an earlier run. */
void egress_follow (struct egress *g, const struct target_view *view,
                    bool new_run);

/* Hand REQUEST, which this empties, to the target.  DONE is called once,
   after this returns, unless the job is cancelled.  */
struct egress_job *egress_send (struct egress *g,
                                struct attempt_request *request,
                                attempt_done *done, void *arg, int64_t now_ns);

/* The caller of JOB went away.  What waits is dropped, an idempotent run is
   cut off, any other run goes on unheard.  */
void egress_abandon (struct egress_job *job);

/* The node ends at END_NS: what cannot end by then is not begun.  */
void egress_set_end (struct egress *g, int64_t end_ns);

struct target_load egress_read_load (const struct egress *g, int64_t now_ns);

/* Requests of this node's target that run or wait.  */
uint32_t egress_busy (const struct egress *g);

/* The client of the target, for other calls than requests.  */
struct http_client *egress_client (struct egress *g);

#endif
