/* Distribution of ownership documents to all nodes: who announces a new
   document to whom, and from which node it is fetched.

   The node that writes a document announces it to all nodes; in each zone the
   first member by name fetches it across zones and announces it to the
   others.  */

#ifndef MESH_SPREAD_H
#define MESH_SPREAD_H

#include "mesh/keys.h"
#include "mesh/nodes.h"
#include "mesh/owners.h"
#include "settings/settings.h"

struct spread;

struct spread *spread_new (const struct settings *settings,
                           struct nodes *nodes, struct owners *owners);

/* Set the keys of the own service; called before any function below.  */
void spread_set_keys (struct spread *s, struct keys *keys);

/* NODE announced that it has the document SERIAL of its service.  */
void spread_on_notice (struct spread *s, const struct frame_node *node,
                       uint32_t serial);

/* Repeat the requests for announced documents that have not arrived; called
   every BALANCE_DECAY_INTERVAL_MS.  */
void spread_retry (struct spread *s);

/* The node NAME does not own a key that it owns by the document known here.
   If it has a newer document, request that from it, even across zones.  */
void spread_on_not_owner (void *spread, const char *name);

/* A new document of the own service is in force here; OWN_CHANGE if this node
   wrote it.  */
void spread_on_published (void *spread, bool own_change);

/* Request the document SERIAL, which the node at FROM has, even across zones.
   False if no connected node has it.  */
bool spread_request_document (void *spread,
                              const struct settings_address *from,
                              uint32_t serial);

#endif
