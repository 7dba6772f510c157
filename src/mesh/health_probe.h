/* Probes the health of this node's target: GET of the path that the service's
   policy states.  The response tells whether the target process is still the
   same one and how much longer it is cold.

   At most one probe is sent a second.  All functions are called on the event
   loop's thread.  */

#ifndef MESH_HEALTH_PROBE_H
#define MESH_HEALTH_PROBE_H

#include "http/client.h"
#include "mesh/dialect.h"
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

struct health_probe;

/* Why a probe is sent, the most important reason last.  */
enum health_cause
{
  HEALTH_SILENT,    /* the target has not responded under load */
  HEALTH_DOWN,      /* it refuses connections */
  HEALTH_RECOVERED, /* it accepts connections again after it refused them */
  HEALTH_REOPENING  /* an evacuation of its availability zone has ended */
};

struct health_result
{
  enum health_cause cause;
  bool responded; /* the target process itself, within the time-out */
  bool healthy;   /* it takes requests */
  uint32_t warmup_remaining_ms;
  const struct headers *headers; /* of the response; valid in the callback */
};

struct health_probe_deps
{
  uv_loop_t *loop;
  const struct dialect *dialect;
  struct http_client *client; /* of the target */
  void (*on_result) (void *arg, const struct health_result *result);
  void *arg;
};

struct health_probe *health_probe_new (const struct health_probe_deps *deps);

/* Probe PATH from now on.  NULL: send no probes.  */
void health_probe_set_path (struct health_probe *p, const char *path);

/* Only responses of the target process ID count.  */
void health_probe_set_target (struct health_probe *p, const char *id);

/* Whether there is a path to probe.  */
bool health_probe_is_enabled (const struct health_probe *p);

/* Whether the result of a probe is awaited.  */
bool health_probe_is_pending (const struct health_probe *p);

/* Send a probe for CAUSE now or, if one was sent within the last second, when
   that has passed.  A pending one is used if there is one.  on_result is
   called once, from the event loop, not later than 1 s after the last call.
   Nothing happens without a path.  */
void health_probe_start (struct health_probe *p, enum health_cause cause,
                         int64_t now_ns);

#endif
