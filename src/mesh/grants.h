/* Grants of keys to this node's target, and their releases.

   A grant never outlasts this node's lease, so that a node which takes keys
   over after the lease has expired finds them free.  */

#ifndef MESH_GRANTS_H
#define MESH_GRANTS_H

#include "http/client.h"
#include "mesh/dialect.h"
#include "mesh/frame.h"
#include "mesh/holdings.h"

struct grants;

struct grants_deps
{
  const struct dialect *dialect;
  const struct settings *settings;
  struct http_client *target_client;
  /* Called when a grant or release has ended, which may change what the target
     holds.  */
  void (*on_change) (void *arg);
  void *arg;
};

struct grants *grants_new (const struct grants_deps *deps);

/* The keys that the target holds; the caller records which this node owns. */
struct holdings *grants_holdings (struct grants *g);

/* Grants go to the target process ID from now on.  */
void grants_set_target (struct grants *g, const char *id);

/* The target refuses connections: send no grant before grants_set_target is
   called again.  */
void grants_suspend (struct grants *g);

/* Send the grants that are due, none longer than the lease, which ends at
   LEASE_NS.  */
void grants_renew (struct grants *g, int64_t lease_ns, int64_t now_ns);

/* Look for due grants at once, because something changed.  */
void grants_rescan (struct grants *g);

/* Release the closed keys that the target may hold.  */
void grants_release_closed (struct grants *g, int64_t now_ns);

/* Keep the last holder's handover for the next grant of its keys.  */
void grants_add_handover (struct grants *g, const struct frame_handover *h);

/* Whether a handover was received for KEY.  */
bool grants_has_handover (const struct grants *g, uint32_t key);

/* Call SEND for each handover that this node's target returned.  SEND returns
   true if it forwarded the handover.  */
typedef bool grants_handover_fn (void *arg, const struct frame_handover *h);
void grants_forward_handovers (struct grants *g, grants_handover_fn *send,
                               void *arg);

#endif
