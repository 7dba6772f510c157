/* The state of the peers service, shared by the files that implement it.  */

#ifndef ROUTE_PEERS_PARTS_H
#define ROUTE_PEERS_PARTS_H

#include "route/peers_docs.h"

#include <glib.h>
#include <pthread.h>

struct link;

enum
{
  PEERS_IDENTITY_BYTES = 64
};

/* The sender of a message: the identity by which the ROUTER socket addresses
   it and the message id that it chose.  */
struct origin
{
  char identity[PEERS_IDENTITY_BYTES];
  size_t identity_length;
  uint64_t message_id;
  struct attempt *attempt;
};

/* A document that other nodes may fetch.  Revision 0: none was set yet.  */
struct document
{
  int64_t revision;
  char *data;
  size_t length;
};

struct peers
{
  struct service service;
  struct kernel *kernel;
  const struct settings *settings;
  struct map *map;
  struct service *target;
  struct inbox *inbox;
  void *zmq_context;
  void *router_socket;   /* ROUTER socket, to which other nodes connect */
  GHashTable *links;     /* struct link by address */
  GHashTable *origins;   /* set of struct origin: requests of other nodes that
                            run here */
  GQueue arrived;        /* struct attempt of other nodes, not passed on yet */
  GArray *poll_items;    /* of zmq_pollitem_t */
  GPtrArray *poll_links; /* links of the items after the fixed ones */
  uint64_t next_message_id;
  pthread_mutex_t document_lock;
  struct document documents[TOPIC_COUNT];
  struct inbox *subscribers[TOPIC_COUNT];
  struct inbox *fetch_handlers[TOPIC_COUNT]; /* inboxes of the services that
                                                answer fetches */
  pthread_t thread;
  uint32_t cancel_pending; /* set by peers_check_cancels */
  uint32_t stopping;
};

/* peers.c: called on the thread of the service only.  */

/* Send M with BODY of LENGTH bytes to the node with IDENTITY.  The message is
   dropped when it cannot be sent at once.  */
void peers_send_to (struct peers *p, const char *identity,
                    size_t identity_length, const struct wire_message *m,
                    const char *body, size_t length);

/* The link to the node at ADDRESS, which is created when there is none; NULL
   when that fails.  */
struct link *peers_get_link (struct peers *p, const char *address);

/* peers_docs.c: messages of other nodes.  */

/* Answer FETCH with the document of this node.  */
void peers_send_document (struct peers *p, const struct origin *from,
                          const struct wire_message *fetch);

/* Hand the fetch to the service that answers it; it is returned through the
   inbox.  */
void peers_dispatch_query (struct peers *p, const struct origin *from,
                           const struct wire_message *fetch, const char *body,
                           size_t length);

/* Send the result of QUERY to the node that fetched it.  Consumes QUERY.  */
void peers_send_reply (struct peers *p, struct peers_query *query);

/* Hand the notice M to its subscriber, if any.  */
void peers_dispatch_notice (struct peers *p, const struct wire_message *m);

/* peers_docs.c: fetches and notices that services of this node submitted.
   They consume F and N.  */

void peers_start_fetch (struct peers *p, struct peers_fetch *f,
                        int64_t now_ns);
void peers_send_notice (struct peers *p, struct peers_notice *n,
                        int64_t now_ns);

#endif
