/* A link to one other node: its handshake, attempts and fetches.

   A link belongs to the peers service's thread.  Its handshake, a HELLO that
   the node answers with WELCOME, reports the node's incarnation and clock.
   Attempts wait for the handshake and end as not run when it times out.  */

#ifndef ROUTE_LINK_H
#define ROUTE_LINK_H

#include "route/peers_docs.h"
#include "route/request.h"
#include "wire/wire.h"

struct link;

/* A link to ADDRESS (host:port), connected in the background.  Message ids are
   taken from *NEXT_ID, which outlives the link.  Answers longer than
   BODY_BYTES are refused.  NULL when memory or sockets are short.  */
struct link *link_new (void *zmq_context, const char *address,
                       uint64_t *next_id, uint32_t body_bytes);

/* End all attempts and fetches under way and free L.  */
void link_free (struct link *l);

/* Send A to the node, after a handshake when one is needed.  Consumes A.  */
void link_add_attempt (struct link *l, struct attempt *a, int64_t now_ns);

/* Send the fetch F to the node.  Consumes F.  */
void link_add_fetch (struct link *l, struct peers_fetch *f, int64_t now_ns);

/* Notify the node that this one has REVISION of TOPIC, once it is
   connected.  */
void link_notify (struct link *l, enum wire_topic topic, int64_t revision,
                  int64_t now_ns);

/* Process the message M with BODY, received from the node.  */
void link_on_message (struct link *l, const struct wire_message *m,
                      const char *body, size_t length, int64_t now_ns);

/* Resend what could not be sent and end what has timed out.  */
void link_tick (struct link *l, int64_t now_ns);

/* End the cancelled attempts and tell the node to cancel them.  */
void link_cancel_attempts (struct link *l);

/* Whether a handshake, notice or fetch is pending; whether an attempt is;
   whether the link was unused for a minute.  */
bool link_has_pending_control (const struct link *l);
bool link_has_attempts (const struct link *l);
bool link_is_idle (const struct link *l, int64_t now_ns);

/* The ZeroMQ socket, to be polled.  */
void *link_socket (struct link *l);

#endif
