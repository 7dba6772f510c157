/* Each caller's request from its arrival to its answer: which route, which
   target, whether it is sent again, and what the caller hears.  */

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

struct router_parts
{
  uv_loop_t *loop;
  const struct dialect *dialect;
  const struct settings *settings;
  struct egress *egress;
  struct nodes *nodes;
  struct owners *owners;
  /* The node NAME said that it does not own a key which, by the document of
     owners, it does.  */
  void (*not_owner) (void *arg, const char *name);
  void *arg;
};

struct router *router_open (const struct router_parts *parts);

/* Route by R from now on; the router holds it.  */
void router_set_routes (struct router *r, struct routes *routes);

/* The routes in force; NULL: none yet.  */
struct routes *router_routes (const struct router *r);

/* From now on refuse requests that arrive: the node stops.  */
void router_close (struct router *r);

/* Answer all requests that are left: the node ends.  */
void router_end (struct router *r);

/* Take a caller's request.  A http_handler.  */
void router_take (void *router, struct http_exchange *x);

/* Called each BALANCE_RELAX_MS; NODES answer, this one included.  */
void router_relax (struct router *r, uint32_t nodes);

/* Requests that have no answer yet.  */
unsigned router_busy (const struct router *r);

/* Latencies and outcomes as Prometheus text, to be freed.  */
char *router_metrics (const struct router *r);

#endif
