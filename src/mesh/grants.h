/* Grants of keys to this node's target, and their releases.

   A grant never lasts longer than this node's lease, so that whoever takes
   keys over after the lease has lapsed finds them free.  */

#ifndef MESH_GRANTS_H
#define MESH_GRANTS_H

#include "http/client.h"
#include "mesh/dialect.h"
#include "mesh/frame.h"
#include "mesh/holdings.h"

struct grants;

struct grants_parts
{
  const struct dialect *dialect;
  const struct settings *settings;
  struct http_client *target;
  /* An answer of the target changed what it holds.  */
  void (*changed) (void *arg);
  void *arg;
};

struct grants *grants_new (const struct grants_parts *parts);

/* What the target holds; the caller tells it what this node owns.  */
struct holdings *grants_holdings (struct grants *g);

/* Grants are for the run ID of the target from now on.  */
void grants_set_target (struct grants *g, const char *id);

/* The target refuses connections: no grant before it has reported.  */
void grants_lose_target (struct grants *g);

/* Grant what is due, for no longer than LEASE_NS.  */
void grants_renew (struct grants *g, int64_t lease_ns, int64_t now_ns);

/* Something changed that may make a grant due at once.  */
void grants_look_again (struct grants *g);

/* Release the closed keys that the target may hold.  */
void grants_release_closed (struct grants *g, int64_t now_ns);

/* Keep what the last holder of keys handed over, for their next grant.  */
void grants_keep_handover (struct grants *g, const struct frame_handover *h);

/* Whether something was handed over for KEY.  */
bool grants_has_handover (const struct grants *g, uint32_t key);

/* Offer each handover that this node's target gave to PASS, which returns
   true when it passed it on.  */
typedef bool grants_pass (void *arg, const struct frame_handover *h);
void grants_pass_handovers (struct grants *g, grants_pass *pass, void *arg);

#endif
