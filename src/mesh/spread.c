#include "mesh/spread.h"

#include "base/clock.h"
#include "mesh/fetches.h"
#include "settings/address.h"
#include <glib.h>
#include <string.h>

struct spread
{
  const struct settings *settings;
  struct nodes *nodes;
  struct owners *owners;
  struct keys *keys;
  struct fetches *fetches;
};

struct spread *
spread_new (const struct settings *settings, struct nodes *nodes,
            struct owners *owners)
{
  struct spread *s = g_new0 (struct spread, 1);
  s->settings = settings;
  s->nodes = nodes;
  s->owners = owners;
  s->fetches = fetches_new ();
  return s;
}

void
spread_set_keys (struct spread *s, struct keys *keys)
{
  s->keys = keys;
}

static bool
is_same_zone (const struct spread *s, const struct frame_node *node)
{
  return strcmp (node->zone, s->settings->zone) == 0;
}

static bool
is_same_service (const struct spread *s, const struct frame_node *node)
{
  return strcmp (node->service, s->settings->service) == 0;
}

/* Request the announced document from the node at ADDRESS if that is due.  */
static void
request_if_due (struct spread *s, const struct fetch_notice *notice,
                const struct settings_address *address)
{
  if (fetches_should_request (s->fetches, notice, clock_now_ns ()))
    nodes_request_document (s->nodes, address, FRAME_DOCUMENT_CELL);
}

struct zone_scan
{
  const struct spread *spread;
  const char *service;
  bool has_member;         /* another node of the service is in the own zone */
  bool has_earlier_member; /* such a node precedes this node by name */
};

static bool
scan_zone (void *arg, const struct node_view *view)
{
  struct zone_scan *scan = arg;
  const struct frame_node *n = view->node;
  if (!is_same_zone (scan->spread, n)
      || strcmp (n->service, scan->service) != 0)
    return true;
  scan->has_member = true;
  scan->has_earlier_member
      |= strcmp (n->name, scan->spread->settings->name) < 0;
  return true;
}

/* Whether this node fetches the documents of SERVICE from other zones for its
   own zone.  */
static bool
is_zone_fetcher (const struct spread *s, const char *service)
{
  struct zone_scan scan = { .spread = s, .service = service };
  nodes_visit (s->nodes, scan_zone, &scan);
  bool own = strcmp (service, s->settings->service) == 0;
  return !scan.has_member || (own && !scan.has_earlier_member);
}

void
spread_on_notice (struct spread *s, const struct frame_node *node,
                  uint32_t serial)
{
  struct fetch_notice notice = {
    .service = node->service,
    .known_serial = owners_serial (s->owners, node->service),
    .announced_serial = serial,
    .same_zone = is_same_zone (s, node),
  };
  if (serial <= notice.known_serial)
    return;
  if (is_same_service (s, node))
    keys_on_notice (s->keys, serial);
  notice.is_zone_fetcher
      = !notice.same_zone && is_zone_fetcher (s, node->service);
  request_if_due (s, &notice, &node->address);
}

static bool
repeat_notice (void *arg, const struct node_view *view)
{
  spread_on_notice (arg, view->node, view->state->cell_serial);
  return true;
}

void
spread_retry (struct spread *s)
{
  nodes_visit (s->nodes, repeat_notice, s);
}

void
spread_on_not_owner (void *arg, const char *name)
{
  struct spread *s = arg;
  const struct frame_state *state;
  const struct frame_node *node = nodes_find (s->nodes, name, &state);
  if (node == NULL)
    return;
  struct fetch_notice notice = {
    .service = node->service,
    .known_serial = owners_serial (s->owners, node->service),
    .announced_serial = state->cell_serial,
    .is_zone_fetcher = true,
  };
  request_if_due (s, &notice, &node->address);
}

void
spread_on_published (void *arg, bool own_change)
{
  struct spread *s = arg;
  if (own_change)
    nodes_broadcast_state (s->nodes);
  else if (is_zone_fetcher (s, s->settings->service))
    nodes_broadcast_zone_state (s->nodes);
}

struct holder_scan
{
  const struct spread *spread;
  const struct settings_address *from;
  uint32_t serial;
  struct settings_address best;
  bool found;
};

/* Choose a node of the own service and zone that has the document, otherwise
   the node at FROM.  */
static bool
find_holder (void *arg, const struct node_view *view)
{
  struct holder_scan *scan = arg;
  const struct frame_node *n = view->node;
  bool same_zone = is_same_zone (scan->spread, n)
                   && is_same_service (scan->spread, n)
                   && view->state->cell_serial >= scan->serial;
  if (same_zone || settings_address_equal (&n->address, scan->from))
    {
      scan->best = n->address;
      scan->found = true;
    }
  return !same_zone;
}

bool
spread_request_document (void *arg, const struct settings_address *from,
                         uint32_t serial)
{
  struct spread *s = arg;
  struct holder_scan scan = { .spread = s, .from = from, .serial = serial };
  struct fetch_notice notice = {
    .service = s->settings->service,
    .known_serial = keys_serial (s->keys),
    .announced_serial = serial,
    .is_zone_fetcher = true,
  };
  nodes_visit (s->nodes, find_holder, &scan);
  if (!scan.found)
    return false;
  request_if_due (s, &notice, &scan.best);
  return true;
}
