/* The operators' routes: which service a request goes to, and with which
   limits.  A version never changes (except for the credit of its routes) and
   is reference-counted.  */

#ifndef MESH_ROUTES_H
#define MESH_ROUTES_H

#include "http/server.h"
#include "settings/settings.h"
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  ROUTE_SERVICES_MAX = 8,
  SERVICE_PATH_BYTES = 128
};

struct service_policy
{
  char name[SETTINGS_NAME_BYTES];
  bool keyed;               /* each of its keys is owned by one target */
  uint32_t connections_max; /* that one target accepts */
  /* Requests a second that a target takes while it is cold; 0: any number.  */
  double warmup_rate_max;
  uint32_t warmup_ms; /* how long a target is cold after its start */
  char health_path[SERVICE_PATH_BYTES]; /* of its health check */
};

/* A service of a route and its weight.  */
struct weighted_service
{
  uint32_t service; /* index into the services */
  uint32_t weight;
};

struct route
{
  char *name;
  char *host;
  char *prefix; /* begins and ends with a slash */
  bool idempotent;
  uint32_t timeout_ms;        /* limit on a caller's wait */
  uint32_t target_latency_ms; /* time within which an answer is wanted */
  uint32_t attempts_max;      /* targets that one request may be sent to */
  uint32_t priority;          /* 0 is the most urgent */
  uint32_t service_count;
  struct weighted_service services[ROUTE_SERVICES_MAX];
  /* Credit of each service in the smooth weighted round robin of
     route_pick_service.  */
  int64_t credit[ROUTE_SERVICES_MAX];
};

struct routes
{
  uint64_t version;
  GArray *services;   /* struct service_policy */
  GPtrArray *entries; /* struct route * */
  struct http_limits limits;
  GString *packed; /* the compressed text, for other nodes; NULL: not set */
  unsigned ref_count;
};

/* An empty version with one reference.  */
struct routes *routes_new (void);

/* Add a reference to R; release one, and free R with the last.  */
struct routes *routes_ref (struct routes *r);
void routes_unref (struct routes *r);

/* The index of the service NAME, or -1.  */
int routes_find_service (const struct routes *r, const char *name);

/* The policy of the service NAME, or NULL.  */
const struct service_policy *routes_service_policy (const struct routes *r,
                                                    const char *name);

/* The route of HOST (with or without a port) and PATH with the longest
   matching prefix.  NULL if there is none.  */
struct route *routes_find (const struct routes *r, const char *host,
                           const char *path);

/* The service of the next request on ROUTE, by smooth weighted round robin:
   each service gets the share of its weight in any series of requests.  */
uint32_t route_pick_service (struct route *route);

#endif
