/* How documents of owners reach all nodes: who tells whom of a new one, and
   who is asked for it.

   Who writes a document tells all nodes; in each zone the first member by name
   fetches it across zones and tells the others.  */

#ifndef MESH_SPREAD_H
#define MESH_SPREAD_H

#include "mesh/keys.h"
#include "mesh/nodes.h"
#include "mesh/owners.h"
#include "settings/settings.h"

struct spread;

struct spread *spread_new (const struct settings *settings,
                           struct nodes *nodes, struct owners *owners);

/* The own service's keys, before anything else is called.  */
void spread_set_keys (struct spread *s, struct keys *keys);

/* NODE told that it has the document SERIAL of its service.  */
void spread_hear (struct spread *s, const struct frame_node *node,
                  uint32_t serial);

/* Ask again for what is known to exist; called each BALANCE_RELAX_MS.  */
void spread_look_again (struct spread *s);

/* The node NAME does not own a key that it was believed to own: if it knows a
   newer document, learn it from there at once, whatever the zone.  */
void spread_not_owner (void *spread, const char *name);

/* Another document of the own service is in force here; OWN_CHANGE when this
   node wrote it.  */
void spread_published (void *spread, bool own_change);

/* This member needs the document SERIAL, which the node at FROM has, whatever
   the zone.  False when no node that has it answers.  */
bool spread_fetch (void *spread, const struct settings_address *from,
                   uint32_t serial);

#endif
