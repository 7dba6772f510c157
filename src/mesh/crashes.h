/* Ends of targets, and the requests that ran there: who is told, and which
   requests are kept from targets (limit/quarantine).

   The node beside a target sees it end: connections close without an answer,
   and then the target refuses connections, or reports itself as another
   process, without having stated that it leaves.  The node tells all connected
   nodes at once which requests ran there; one that connects later, after a
   restart or a cut, gets all that is known then.  */

#ifndef MESH_CRASHES_H
#define MESH_CRASHES_H

#include "http/server.h"
#include "limit/quarantine.h"
#include "mesh/attempt.h"
#include "mesh/dialect.h"
#include <uv.h>

struct crashes;
struct nodes;

struct crashes_deps
{
  uv_loop_t *loop;
  const struct dialect *dialect;
  const struct settings *settings;
  /* A connection to the target, tried after one was closed, was refused.  */
  void (*connection_refused) (void *arg);
  void *arg;
};

struct crashes *crashes_new (const struct crashes_deps *deps);

/* Set the nodes that are told; called before any function below.  */
void crashes_set_nodes (struct crashes *c, struct nodes *nodes);

/* REQUEST had no answer when its connection closed at NOW_NS.  */
void crashes_request_broken (struct crashes *c,
                             const struct attempt_request *request,
                             int64_t now_ns);

/* The target answered a request with CONTENT that was sent at SENT_NS.  */
void crashes_request_answered (struct crashes *c, uint64_t content,
                               int64_t sent_ns);

/* The target process ID has ended without having stated that it leaves.  */
void crashes_target_ended (struct crashes *c, const char *id, int64_t now_ns);

/* The target was replaced by another process after it had stated that it
   leaves.  */
void crashes_target_replaced (struct crashes *c);

/* Whether a request with CONTENT may be sent to a target now.  If it is
   refused, *RETRY_AFTER_NS says when that ends.  */
enum quarantine_verdict crashes_check (const struct crashes *c,
                                       uint64_t content, int64_t now_ns,
                                       int64_t *retry_after_ns);

/* Another node sent what it knows.  */
void crashes_on_document (struct crashes *c, const char *text, size_t length,
                          int64_t now_ns);

/* What a node that connects is told, compressed; NULL: nothing.  */
const char *crashes_document (struct crashes *c, size_t *length,
                              int64_t now_ns);

/* Answer an operator's call if it is about the quarantine: GET /quarantine
   lists the contents, one a line; POST /quarantine/lift?content=HEX lifts a
   refusal at all nodes.  */
bool crashes_operator_call (struct crashes *c,
                            struct http_server_exchange *exchange);

void crashes_tick (struct crashes *c, int64_t now_ns);

#endif
