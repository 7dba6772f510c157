#include "mesh/routes.h"

#include <string.h>
#include <strings.h>

static void
route_free (void *arg)
{
  struct route *r = arg;
  g_free (r->name);
  g_free (r->host);
  g_free (r->prefix);
  g_free (r);
}

struct routes *
routes_new (void)
{
  struct routes *r = g_new0 (struct routes, 1);
  r->services = g_array_new (FALSE, TRUE, sizeof (struct service_policy));
  r->entries = g_ptr_array_new_with_free_func (route_free);
  r->ref_count = 1;
  return r;
}

struct routes *
routes_ref (struct routes *r)
{
  r->ref_count++;
  return r;
}

void
routes_unref (struct routes *r)
{
  if (r == NULL || --r->ref_count > 0)
    return;
  g_array_free (r->services, TRUE);
  g_ptr_array_free (r->entries, TRUE);
  if (r->packed != NULL)
    g_string_free (r->packed, TRUE);
  g_free (r);
}

int
routes_find_service (const struct routes *r, const char *name)
{
  for (guint i = 0; i < r->services->len; i++)
    if (strcmp (g_array_index (r->services, struct service_policy, i).name,
                name)
        == 0)
      return (int)i;
  return -1;
}

const struct service_policy *
routes_service_policy (const struct routes *r, const char *name)
{
  int i = r == NULL ? -1 : routes_find_service (r, name);
  return i < 0 ? NULL : &g_array_index (r->services, struct service_policy, i);
}

static bool
host_matches (const char *pattern, const char *host)
{
  size_t length = strcspn (host, ":");
  return strlen (pattern) == length
         && strncasecmp (pattern, host, length) == 0;
}

struct route *
routes_find (const struct routes *r, const char *host, const char *path)
{
  struct route *best = NULL;
  size_t best_length = 0;
  for (guint i = 0; i < r->entries->len; i++)
    {
      struct route *route = g_ptr_array_index (r->entries, i);
      size_t length = strlen (route->prefix);
      if (length > best_length && strncmp (path, route->prefix, length) == 0
          && host_matches (route->host, host))
        {
          best = route;
          best_length = length;
        }
    }
  return best;
}

uint32_t
route_pick_service (struct route *route)
{
  int64_t total = 0;
  uint32_t best = 0;
  for (uint32_t i = 0; i < route->service_count; i++)
    {
      total += route->services[i].weight;
      route->credit[i] += route->services[i].weight;
      if (route->credit[i] > route->credit[best])
        best = i;
    }
  route->credit[best] -= total;
  return route->services[best].service;
}
