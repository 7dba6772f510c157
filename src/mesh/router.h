/* Handles each caller's request from its arrival to its answer: chooses the
   route and the target, retries, and answers the caller.  */

#ifndef MESH_ROUTER_H
#define MESH_ROUTER_H

#include "http/server.h"
#include "mesh/dialect.h"
#include "mesh/egress.h"
#include "mesh/nodes.h"
#include "mesh/owners.h"
#include "mesh/routes.h"
#include <uv.h>

struct router;

struct crashes;

struct router_deps
{
  uv_loop_t *loop;
  const struct dialect *dialect;
  const struct settings *settings;
  struct egress *egress;
  struct nodes *nodes;
  struct owners *owners;
  /* The node NAME refused a key that it owns by the ownership document known
     here.  */
  void (*on_not_owner) (void *arg, const char *name);
  void *arg;
  const struct crashes *crashes;
};

struct router *router_open (const struct router_deps *deps);

/* Use ROUTES from now on; the router takes a reference.  */
void router_set_routes (struct router *r, struct routes *routes);

/* The routes in force; NULL: none yet.  */
struct routes *router_routes (const struct router *r);

/* The node stops, and ends at END_NS: requests that are expected to take
   longer are refused.  */
void router_stop (struct router *r, int64_t end_ns);

/* Refuse new requests from now on, but for the lookups of requests that run at
   this node's target.  */
void router_refuse_new (struct router *r);

/* Answer all pending requests, because the node exits.  */
void router_finish_all (struct router *r);

/* Handle a caller's request.  An http_handler_fn.  */
void router_handle_request (void *router,
                            struct http_server_exchange *exchange);

/* End the lookups that this node's target makes for the request ID, which was
   cancelled there: they have the ids ID.NUMBER.  */
void router_end_lookups (struct router *r, const char *id);

/* Called every BALANCE_DECAY_INTERVAL_MS.  NODES: the number of nodes that
   share the retry budgets, including this one and those that cannot be
   reached.  */
void router_tick (struct router *r, uint32_t nodes);

/* The number of requests that have no answer yet.  */
unsigned router_pending_count (const struct router *r);

/* Latencies and outcomes as Prometheus text; freed by the caller.  */
char *router_metrics (const struct router *r);

#endif
