/* The other nodes: connections, their state, requests to and from them.

   A node dials every other node that it knows and sends requests on its own
   connection; the accepting side answers there and reports its state.  A node
   that is dialled by an unknown node dials back.  */

#ifndef MESH_NODES_H
#define MESH_NODES_H

#include "http/memory.h"
#include "limit/lineup.h"
#include "mesh/attempt.h"
#include "mesh/frame.h"
#include <uv.h>

struct nodes;
struct node_call;

/* Another node, as routing sees it.  Valid until control returns to the event
   loop.  */
struct node_view
{
  const struct frame_node *node;
  const struct frame_state *state;
  int64_t clock_offset_ns;     /* lower bound of its clock minus this one's */
  uint32_t sent_since_report;  /* requests sent to it since that state */
  uint64_t bytes_since_report; /* of their bodies, of those over
                                  LINK_SMALL_BYTES */
};

struct nodes_hooks
{
  void *arg;
  /* Write the current state of this node to STATE.  */
  void (*fill_state) (void *arg, struct frame_state *state);
  /* Run REQUEST of another node here; its head and body move to the hook.
     Returns the handle for cancel_request.  */
  void *(*run_request) (void *arg, struct attempt_request *request,
                        attempt_done *done, void *done_arg);
  /* Its caller left at LEFT_NS; 0: it did not, or not known.  */
  void (*cancel_request) (void *arg, void *handle, int64_t left_ns);
  /* Whether to accept REQUEST, whose head and body have yet to arrive.  False
     with the reason in *REFUSAL.  */
  bool (*check_offer) (void *arg, const struct attempt_request *request,
                       const struct lineup_arrival *arrival,
                       struct attempt_result *refusal);
  /* A compressed document for another node; NULL: none.  NULL as the hook:
     this node has no documents.
     FRAME_DOCUMENT_CRASHES is sent to each node that connects.  */
  const char *(*get_document) (void *arg,
                               enum frame_document_type document_type,
                               size_t *length, int64_t *revision);
  /* NODE sent a document.  */
  void (*on_document) (void *arg, const struct frame_node *node,
                       enum frame_document_type document_type,
                       int64_t revision, const char *text, size_t length);
  /* NODE reported its state.  */
  void (*on_state) (void *arg, const struct frame_node *node,
                    const struct frame_state *state);
  void (*on_handover) (void *arg, const struct frame_handover *handover);
  /* The budget of memory for requests of other nodes; NULL: not limited.  */
  const struct http_memory *memory;
};

/* Listen on SELF's address.  LINK_KBPS: rate of this node's link; 0: not
   stated.  NULL with a message if that fails.  */
struct nodes *nodes_open (uv_loop_t *loop, const struct frame_node *self,
                          uint32_t link_kbps, const struct nodes_hooks *hooks);

/* Add the node at ADDRESS, and connect to it.  */
void nodes_add (struct nodes *p, const struct settings_address *address);

/* Call EACH for every connected node, until it returns false.  */
typedef bool nodes_visitor (void *arg, const struct node_view *view);
void nodes_visit (const struct nodes *p, nodes_visitor *each, void *arg);

/* BYTES were received from or sent to callers, over the same link.  */
void nodes_count_caller_bytes_in (struct nodes *p, size_t bytes);
void nodes_count_caller_bytes_out (struct nodes *p, size_t bytes);

/* The expected time until a request with a body of BODY_BYTES that is sent now
   has arrived at the node VIEW: the bodies that are on their way there and
   those that this node has yet to send, and the transfer over the slower of
   both links.  0 if either node states no rate.  */
int64_t nodes_transfer_ns (const struct nodes *p, const struct node_view *view,
                           size_t body_bytes);

/* The number of nodes that were announced or sent something since SINCE_NS,
   and this one.  Unlike the connected nodes it stays the same while this node
   is cut off from others that go on.  */
uint32_t nodes_count_known (const struct nodes *p, int64_t since_ns);

/* Send REQUEST, which stays the caller's and unchanged until the call has
   ended, to the node NAME.  A large body is offered first, and sent once the
   other node admits it.  DONE is called
   once, later, unless the call is cancelled.  NULL if the node is not
   connected.  */
struct node_call *nodes_send (struct nodes *p, const char *name,
                              const struct attempt_request *request,
                              attempt_done *done, void *arg);

/* Cancel CALL, whose result is no longer needed.  LEFT_NS: when its caller
   left; 0: it did not.  True if the other node has not received all of the
   request, so that it does not run.  */
bool nodes_cancel (struct node_call *call, int64_t left_ns);

/* Request a document from the node at ADDRESS.  False if it is not
   connected.  */
bool nodes_request_document (struct nodes *p,
                             const struct settings_address *address,
                             enum frame_document_type document_type);

/* Send the compressed document TEXT to all nodes that are connected.  */
void nodes_broadcast_document (struct nodes *p,
                               enum frame_document_type document_type,
                               const char *text, size_t length);

/* Send H to the node NAME.  */
void nodes_send_handover (struct nodes *p, const char *name,
                          const struct frame_handover *h);

/* The node NAME and its state, or NULL if it is not connected.  */
const struct frame_node *nodes_find (const struct nodes *p, const char *name,
                                     const struct frame_state **state);

/* When the node NAME sent what it marked with CLOCK_NS of its clock, on this
   node's clock; late by at most the shortest delay of its frames.  0 if it is
   not connected.  */
int64_t nodes_sent_ns (const struct nodes *p, const char *name,
                       int64_t clock_ns);

/* Send this node's state now to all other nodes, or to those of its own
   zone.  */
void nodes_broadcast_state (struct nodes *p);
void nodes_broadcast_zone_state (struct nodes *p);

/* The same, to the nodes of the own zone for which IS_MEMBER returns true.  */
typedef bool nodes_filter (void *arg, const char *name);
void nodes_broadcast_group_state (struct nodes *p, nodes_filter *is_member,
                                  void *arg);

/* Whether no request of another node is without its result, and all that was
   sent to other nodes has been delivered.  */
bool nodes_is_idle (const struct nodes *p);

#endif
