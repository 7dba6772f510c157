/* Applies evacuations of availability zones to this node: takes the set from
   the store and from other nodes, and closes the way to this node's target
   while its zone is evacuated.

   Requests for other zones are not affected.  */

#ifndef MESH_ZONE_GATE_H
#define MESH_ZONE_GATE_H

#include "mesh/egress.h"
#include "mesh/evacuations.h"
#include "mesh/keys.h"
#include "mesh/nodes.h"
#include "mesh/watcher.h"
#include "settings/settings.h"
#include <uv.h>

struct zone_gate;

struct zone_gate_deps
{
  uv_loop_t *loop;
  const struct settings *settings;
  struct nodes *nodes;
  struct egress *egress;
  struct keys *keys;
  const char *key_prefix; /* of the zones in the store, for log lines */
  void *arg;
  /* The phase of the own zone, or what zone_gate_keys_plan returns, has
     changed.  */
  void (*changed) (void *arg);
  /* The own zone reopens.  Once the state of the target is known,
     zone_gate_end_reopening ends the phase early.  NULL: it ends by time.  */
  void (*reopening) (void *arg);
};

/* What to do about the keys of this node's target.  */
enum keys_plan
{
  KEYS_JOIN,  /* join the cell, or stay */
  KEYS_LEAVE, /* hand them over and leave */
  KEYS_STAY   /* as it is */
};

/* The set is not known yet; without settings for evacuations all zones are
   open.  */
struct zone_gate *zone_gate_open (const struct zone_gate_deps *deps);

enum evacuations_phase zone_gate_phase (const struct zone_gate *z,
                                        int64_t now_ns);

/* Keys leave an evacuated zone if a member outside can take them.  */
enum keys_plan zone_gate_keys_plan (const struct zone_gate *z);

bool zone_gate_is_evacuated (const struct zone_gate *z, const char *zone);

/* The watcher reported zones.  */
void zone_gate_on_store (struct zone_gate *z, const struct watch_update *w);

/* NODE reported its state.  */
void zone_gate_on_state (struct zone_gate *z, const struct frame_node *node,
                         const struct frame_state *state);

/* NODE sent its set of evacuated zones.  */
void zone_gate_on_document (struct zone_gate *z, const struct frame_node *node,
                            const char *text, size_t length);

/* The set for other nodes, compressed; NULL: not known.  Valid until the next
   call.  */
const char *zone_gate_document (struct zone_gate *z, size_t *length);

void zone_gate_fill_state (const struct zone_gate *z,
                           struct frame_state *state);

/* Check what changes without a message: whether this node is cut off, and
   whether its keys can leave.  HAS_OTHERS: other nodes are known, connected or
   not.  Called every BALANCE_DECAY_INTERVAL_MS.  */
void zone_gate_tick (struct zone_gate *z, bool has_others);

/* The state of the target is known: end the reopening of its zone.  */
void zone_gate_end_reopening (struct zone_gate *z);

/* Lines for the counters' page; freed by the caller.  */
char *zone_gate_metrics (const struct zone_gate *z);

#endif
