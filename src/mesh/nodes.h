/* The other nodes: connections, their state, requests to and from them.

   A node dials every other node that it knows and sends requests on its own
   connection; the accepting side answers there and tells its state.  A node
   that is dialled by one that it does not know dials back.  */

#ifndef MESH_NODES_H
#define MESH_NODES_H

#include "mesh/attempt.h"
#include "mesh/frame.h"
#include <uv.h>

struct nodes;
struct node_call;

/* Another node, as routing sees it.  Valid until control returns to the
   loop.  */
struct node_view
{
  const struct frame_node *node;
  const struct frame_state *state;
  uint32_t sent_since; /* requests sent to it since that state */
};

struct nodes_hooks
{
  void *arg;
  /* This node's state now.  */
  void (*fill_state) (void *arg, struct frame_state *state);
  /* Run REQUEST of another node here; the hook empties it.  Return what
     stop_request takes.  */
  void *(*run_request) (void *arg, struct attempt_request *request,
                        attempt_done *done, void *done_arg);
  void (*stop_request) (void *arg, void *handle);
  /* A packed document that another node may fetch; NULL: there is none.  */
  const char *(*document) (void *arg, enum frame_topic topic, size_t *length,
                           int64_t *revision);
  /* A document came from NODE.  */
  void (*take_document) (void *arg, const struct frame_node *node,
                         enum frame_topic topic, int64_t revision,
                         const char *text, size_t length);
  /* NODE told a state.  */
  void (*state_changed) (void *arg, const struct frame_node *node,
                         const struct frame_state *state);
  void (*handover) (void *arg, const struct frame_handover *handover);
};

/* Listen on SELF's address.  NULL with a message when that fails.  */
struct nodes *nodes_open (uv_loop_t *loop, const struct frame_node *self,
                          const struct nodes_hooks *hooks);

/* Know the node at ADDRESS from now on.  */
void nodes_learn (struct nodes *p, const struct settings_address *address);

/* Call EACH for every node that answers, until it returns false.  */
typedef bool nodes_each (void *arg, const struct node_view *view);
void nodes_visit (const struct nodes *p, nodes_each *each, void *arg);

/* Send REQUEST, which stays the caller's, to the node NAME.  DONE is called
   once, later, unless the call is dropped.  NULL when the node does not
   answer.  */
struct node_call *nodes_send (struct nodes *p, const char *name,
                              const struct attempt_request *request,
                              attempt_done *done, void *arg);

/* Nobody waits for CALL any more.  */
void nodes_drop (struct node_call *call);

/* Ask the node at ADDRESS for a document.  False when it does not answer.  */
bool nodes_fetch (struct nodes *p, const struct settings_address *address,
                  enum frame_topic topic);

/* Send H to the node NAME.  */
void nodes_hand_over (struct nodes *p, const char *name,
                      const struct frame_handover *h);

/* The node NAME and its state, or NULL when it does not answer.  */
const struct frame_node *nodes_find (const struct nodes *p, const char *name,
                                     const struct frame_state **state);

/* Tell all other nodes, or those of the own zone, this node's state now.  */
void nodes_tell (struct nodes *p);
void nodes_tell_zone (struct nodes *p);

#endif
