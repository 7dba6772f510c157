/* The keys of this node's target: the ownership agent of its service's cell,
   and the grants that make the target hold the keys that the agent owns.

   A grant never outlasts this node's lease, so that a node which takes keys
   over after the lease has expired finds them free.  */

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

struct keys_deps
{
  uv_loop_t *loop;
  const struct dialect *dialect;
  const struct settings *settings;
  struct store_worker *worker;
  struct inbox *inbox; /* receives the store's replies on the loop's thread */
  struct nodes *nodes;
  struct owners *owners;
  struct http_client *target_client;
  /* Request the own service's document SERIAL; the node at FROM has it.  False
     if no connected node has it.  */
  bool (*request_document) (void *arg, const struct settings_address *from,
                            uint32_t serial);
  /* A new document is in force; OWN_CHANGE if this node wrote it.  */
  void (*on_published) (void *arg, bool own_change);
  void *arg;
  /* Whether ZONE is evacuated: its members receive no keys.  */
  bool (*is_evacuated) (void *arg, const char *zone);
  void *zones_arg;
};

/* NULL with a message if the address for lease messages cannot be bound.  */
struct keys *keys_open (const struct keys_deps *deps);

/* Join the cell if this node is not a member, and grant keys to TARGET.
   RESTARTED: it is a new process.  */
void keys_join (struct keys *k, const struct target_view *target,
                bool restarted, int64_t now_ns);

/* The target refuses connections: it may be another process when it is back,
   which must get no grant before it has reported.  */
void keys_suspend_grants (struct keys *k);

/* Hand all keys over and leave the cell.  */
void keys_leave (struct keys *k, int64_t now_ns);

/* The answers of is_evacuated have changed.  */
void keys_zones_changed (struct keys *k);

/* Whether a member outside the evacuated zones can take keys.  */
bool keys_can_hand_over (const struct keys *k);

/* The cell as last seen, or NULL.  */
const struct cell *keys_cell (const struct keys *k);

/* The incarnation of this node there; 0: it is no member.  */
uint32_t keys_incarnation (const struct keys *k);

/* Remove the member NAME, whose process the operator knows to have ended.
   STATUS_NOT_FOUND; STATUS_INVALID if this node is not another member.  */
enum status keys_evict (struct keys *k, const char *name);

/* The number of keys that this node owns.  */
uint32_t keys_count_owned (const struct keys *k);

/* Whether this node has no keys left to hand over.  */
bool keys_has_left (const struct keys *k);

/* Whether the target holds KEY: REASON_NONE, or the reason for a refusal.  */
enum reason keys_check_serve (const struct keys *k, uint32_t key,
                              int64_t now_ns);

/* The target reports that it does not hold KEY.  */
void keys_on_target_denied (struct keys *k, uint32_t key);

/* A request for KEY was sent to the target, or has ended there.  */
void keys_request_started (struct keys *k, uint32_t key);
void keys_request_ended (struct keys *k, uint32_t key);

/* Count a request for KEY; record the target's load as a percentage of its
   slots.  */
void keys_count_request (struct keys *k, uint32_t key);
void keys_record_load (struct keys *k, uint32_t load_pct);

/* Whether cold targets of the service get no new keys while others are warm;
   and whether the own target is cold.  */
void keys_spare_cold (struct keys *k, bool spare);
void keys_set_cold (struct keys *k, bool cold);

/* Process the store's reply to JOB.  False if another module submitted
   JOB.  */
bool keys_on_store_reply (struct keys *k, struct store_job *job,
                          int64_t now_ns);

/* A peer sent a document of the own service.  */
void keys_on_document (struct keys *k, int64_t revision, const char *text,
                       size_t length, int64_t now_ns);

/* Another node announced that the document SERIAL of the own service
   exists.  */
void keys_on_notice (struct keys *k, uint32_t serial);

void keys_on_handover (struct keys *k, const struct frame_handover *h);

/* The own service's document, compressed, for other nodes; NULL: none.  */
const char *keys_document (struct keys *k, size_t *length, int64_t *revision);
uint32_t keys_serial (const struct keys *k);

#endif
