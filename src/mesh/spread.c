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
is_near (const struct spread *s, const struct frame_node *node)
{
  return strcmp (node->zone, s->settings->zone) == 0;
}

static bool
is_colleague (const struct spread *s, const struct frame_node *node)
{
  return strcmp (node->service, s->settings->service) == 0;
}

/* Fetch the document of C from the node at ADDRESS if it is time.  */
static void
ask (struct spread *s, const struct fetch_announcement *c,
     const struct settings_address *address)
{
  if (fetches_should_request (s->fetches, c, clock_now_ns ()))
    nodes_request_document (s->nodes, address, FRAME_DOCUMENT_CELL);
}

struct zone_look
{
  const struct spread *spread;
  const char *service;
  bool has_member;  /* another node of the service is in the own zone */
  bool has_earlier; /* and one of them is before this node by name */
};

static bool
look_at_zone (void *arg, const struct node_view *view)
{
  struct zone_look *look = arg;
  const struct frame_node *n = view->node;
  if (!is_near (look->spread, n) || strcmp (n->service, look->service) != 0)
    return true;
  look->has_member = true;
  look->has_earlier |= strcmp (n->name, look->spread->settings->name) < 0;
  return true;
}

/* Whether this node is the one of its zone that fetches the documents of
   SERVICE from other zones.  */
static bool
is_first_of_zone (const struct spread *s, const char *service)
{
  struct zone_look look = { .spread = s, .service = service };
  nodes_visit (s->nodes, look_at_zone, &look);
  bool own = strcmp (service, s->settings->service) == 0;
  return !look.has_member || (own && !look.has_earlier);
}

void
spread_on_announcement (struct spread *s, const struct frame_node *node,
                        uint32_t serial)
{
  struct fetch_announcement c = {
    .service = node->service,
    .known_serial = owners_serial (s->owners, node->service),
    .announced_serial = serial,
    .same_zone = is_near (s, node),
  };
  if (serial <= c.known_serial)
    return;
  if (is_colleague (s, node))
    keys_on_announcement (s->keys, serial);
  c.is_zone_fetcher = !c.same_zone && is_first_of_zone (s, node->service);
  ask (s, &c, &node->address);
}

static bool
hear_again (void *arg, const struct node_view *view)
{
  spread_on_announcement (arg, view->node, view->state->cell_serial);
  return true;
}

void
spread_retry (struct spread *s)
{
  nodes_visit (s->nodes, hear_again, s);
}

void
spread_on_not_owner (void *arg, const char *name)
{
  struct spread *s = arg;
  const struct frame_state *state;
  const struct frame_node *node = nodes_find (s->nodes, name, &state);
  if (node == NULL)
    return;
  struct fetch_announcement c = {
    .service = node->service,
    .known_serial = owners_serial (s->owners, node->service),
    .announced_serial = state->cell_serial,
    .is_zone_fetcher = true,
  };
  ask (s, &c, &node->address);
}

void
spread_on_published (void *arg, bool own_change)
{
  struct spread *s = arg;
  if (own_change)
    nodes_broadcast_state (s->nodes);
  else if (is_first_of_zone (s, s->settings->service))
    nodes_broadcast_zone_state (s->nodes);
}

struct holder_look
{
  const struct spread *spread;
  const struct settings_address *from;
  uint32_t serial;
  struct settings_address best;
  bool found;
};

/* FROM if nobody near has the document.  */
static bool
look_for_holder (void *arg, const struct node_view *view)
{
  struct holder_look *look = arg;
  const struct frame_node *n = view->node;
  bool near = is_near (look->spread, n) && is_colleague (look->spread, n)
              && view->state->cell_serial >= look->serial;
  if (near || settings_address_equal (&n->address, look->from))
    {
      look->best = n->address;
      look->found = true;
    }
  return !near;
}

bool
spread_request_document (void *arg, const struct settings_address *from,
                         uint32_t serial)
{
  struct spread *s = arg;
  struct holder_look look = { .spread = s, .from = from, .serial = serial };
  struct fetch_announcement c = {
    .service = s->settings->service,
    .known_serial = keys_serial (s->keys),
    .announced_serial = serial,
    .is_zone_fetcher = true,
  };
  nodes_visit (s->nodes, look_for_holder, &look);
  if (!look.found)
    return false;
  ask (s, &c, &look.best);
  return true;
}
