/* The departed target processes of this node, kept in the store so that they
   outlast a restart of the node.

   The record is one key for each node, under a lease of DEPARTURE_TTL_S, the
   time for which a late report is still refused.  It is read once when the
   node starts (one call), and written when a target leaves (a lease, a read
   and a swap).  Failed calls are repeated until they succeed.  */

#ifndef MESH_DEPARTURE_RECORD_H
#define MESH_DEPARTURE_RECORD_H

#include "base/inbox.h"
#include "http/server.h"
#include "mesh/departed.h"
#include "settings/settings.h"
#include "store/worker.h"
#include <uv.h>

struct departure_record;

struct departure_record_deps
{
  uv_loop_t *loop;
  const struct settings *settings;
  struct store_worker *worker;
  struct inbox *inbox; /* receives the store's replies on the loop's thread */
  void *arg;
  /* The store's record was read: TEXT, for departed_merge.  Called once.  */
  void (*read) (void *arg, const char *text);
};

/* Read the record of this node.  */
struct departure_record *
departure_record_open (const struct departure_record_deps *deps);

/* Write the list D.  */
void departure_record_write (struct departure_record *r,
                             const struct departed *d);

/* Whether a list that was given to departure_record_write is not yet known to
   be in the store.  */
bool departure_record_is_pending (const struct departure_record *r);

/* Answer EXCHANGE, in which a target stated that it leaves, with BODY: once
   the record is in the store, or after DEPARTURE_ACK_WAIT_MS without it, so
   that the target gets its acknowledgement in time while the store is away. */
void departure_record_acknowledge (struct departure_record *r,
                                   struct http_server_exchange *exchange,
                                   const char *body);

/* The store has stated its era: if it came back from an older copy, the record
   is written again.  */
void departure_record_on_era (struct departure_record *r, uint32_t era);

/* Process the store's reply to JOB.  False if it is not one of this module. */
bool departure_record_on_store_reply (struct departure_record *r,
                                      struct store_job *job, int64_t now_ns);

#endif
