/* The operators' routes: which service a request goes to, and under which
   bounds.  One version is a value that does not change and is counted by
   reference.  */

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
  ROUTE_PARTS_MAX = 8
};

struct service_policy
{
  char name[SETTINGS_NAME_BYTES];
  bool keyed;           /* its keys are owned by one target each */
  uint32_t connections; /* that one target accepts */
};

/* A part of a route's requests.  */
struct route_part
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
  uint32_t timeout_ms; /* longest wait of a caller */
  uint32_t target_latency_ms;
  uint32_t attempts_max; /* targets that one request may be sent to */
  uint32_t priority;     /* 0 first */
  uint32_t part_count;
  struct route_part parts[ROUTE_PARTS_MAX];
  /* Requests of each part beyond its weight's share, for route_pick.  */
  int64_t credit[ROUTE_PARTS_MAX];
};

struct routes
{
  uint64_t version;
  GArray *services; /* struct service_policy */
  GPtrArray *list;  /* struct route * */
  struct http_limits limits;
  GString *packed; /* as it was read, for other nodes; NULL: not known */
  unsigned references;
};

/* An empty version, held once.  */
struct routes *routes_new (void);

/* Hold R once more; give one hold back, and free it with the last.  */
struct routes *routes_hold (struct routes *r);
void routes_release (struct routes *r);

/* The index of the service NAME, or -1.  */
int routes_service (const struct routes *r, const char *name);

/* The route of HOST (with or without a port) and PATH: that with the longest
   prefix.  NULL when there is none.  */
struct route *routes_find (const struct routes *r, const char *host,
                           const char *path);

/* The service of the next request on ROUTE: each part gets its weight's share
   of any run of requests.  */
uint32_t route_pick (struct route *route);

#endif
