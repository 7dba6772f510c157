/* The peers service: attempts at other nodes, and the attempts of other nodes
   at this one.  The documents that nodes exchange are in peers_docs.h.

   One thread owns all ZeroMQ sockets: a ROUTER socket that other nodes connect
   to, and a DEALER socket for each node in use.  A DEALER has ZMQ_IMMEDIATE
   set, so that nothing is queued for a node that is not connected.  A request
   carries its deadline on the receiver's clock, which the handshake reported,
   and the incarnation that it is meant for: a request that arrives after its
   deadline, or at another incarnation of the node, is not run.  */

#ifndef ROUTE_PEERS_H
#define ROUTE_PEERS_H

#include "base/kernel.h"
#include "route/map.h"
#include "route/request.h"
#include "settings/settings.h"

#define PEERS_SERVICE "peers"

struct service *peers_new (struct kernel *k, const struct settings *s,
                           struct map *m);

/* Send A to the node of its owner; A is returned to its reply_to.  STATUS_FULL
   when there is no room: the caller keeps A.  Any thread.  */
enum status peers_submit (struct service *peers, struct attempt *a);

/* Make the service process cancelled attempts now.  Any thread.  */
void peers_check_cancels (struct service *peers);

#endif
