/* The keys of this node's target: the agent of its service's cell, and the
   grants that make the target hold what the agent owns.

   A grant never lasts longer than this node's lease, so that whoever takes
   keys over after the lease has lapsed finds them free.  */

#ifndef MESH_KEYS_H
#define MESH_KEYS_H

#include "base/inbox.h"
#include "http/client.h"
#include "limit/reason.h"
#include "mesh/dialect.h"
#include "mesh/nodes.h"
#include "mesh/owners.h"
#include "mesh/target_state.h"
#include "store/worker.h"
#include <uv.h>

struct keys;

struct keys_parts
{
  uv_loop_t *loop;
  const struct dialect *dialect;
  const struct settings *settings;
  struct store_worker *worker;
  struct inbox *inbox; /* of the loop's thread, for the store's answers */
  struct nodes *nodes;
  struct owners *owners;
  struct http_client *target;
  /* Get the document SERIAL of the own service; the node at FROM has it.
     False when no node that has it answers.  */
  bool (*fetch) (void *arg, const struct settings_address *from,
                 uint32_t serial);
  /* Another document is in force; OWN_CHANGE when this node wrote it.  */
  void (*published) (void *arg, bool own_change);
  void *arg;
};

/* NULL with a message when the address for leases cannot be bound.  */
struct keys *keys_open (const struct keys_parts *parts);

/* The run of TARGET serves from now on.  */
void keys_join (struct keys *k, const struct target_view *target, bool new_run,
                int64_t now_ns);

/* The target refuses connections: it may be another run when it is back, which
   must get no grant before it has told so.  */
void keys_lose_target (struct keys *k);

/* Hand all keys over and leave the cell.  */
void keys_leave (struct keys *k, int64_t now_ns);

/* Whether this node has nothing to hand over any more.  */
bool keys_has_left (const struct keys *k);

/* Whether the target holds KEY: REASON_NONE, or why not.  */
enum reason keys_may_serve (const struct keys *k, uint32_t key,
                            int64_t now_ns);

/* The target says that it does not hold KEY.  */
void keys_refused (struct keys *k, uint32_t key);

/* A request for KEY begins at the target, or has ended there.  */
void keys_begin (struct keys *k, uint32_t key);
void keys_end (struct keys *k, uint32_t key);

/* A request for KEY was taken; and the load of the target in hundredths of
   its slots.  */
void keys_count (struct keys *k, uint32_t key);
void keys_set_load (struct keys *k, uint32_t load_pct);

/* A store job of this module came back.  False when JOB is another's.  */
bool keys_on_store (struct keys *k, struct store_job *job, int64_t now_ns);

/* A document of the own service came from a peer.  */
void keys_on_document (struct keys *k, int64_t revision, const char *text,
                       size_t length, int64_t now_ns);

/* Another node told that the document SERIAL of the own service exists.  */
void keys_heard (struct keys *k, uint32_t serial);

void keys_on_handover (struct keys *k, const struct frame_handover *h);

/* The own service's document, packed, for other nodes; NULL: none.  */
const char *keys_document (struct keys *k, size_t *length, int64_t *revision);
uint32_t keys_serial (const struct keys *k);

#endif
