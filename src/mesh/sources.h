/* Where this node learns of the operators' configuration: from the store, and
   from nodes that watch it, its sources.  */

#ifndef MESH_SOURCES_H
#define MESH_SOURCES_H

#include "mesh/confirm.h"
#include "mesh/nodes.h"
#include "mesh/watcher.h"
#include "settings/settings.h"

struct sources;

struct sources *sources_new (const struct settings *settings,
                             struct nodes *nodes);

/* The watcher reported that the store has no further changes.  */
void sources_on_store (struct sources *s, const struct watch_update *w,
                       int64_t now_ns);

/* NODE reported its state.  */
void sources_on_state (struct sources *s, const struct frame_node *node,
                       const struct frame_state *state, int64_t now_ns);

/* VERSION is in force.  */
struct confirm_delay sources_on_applied (struct sources *s, uint64_t version,
                                         int64_t now_ns);

/* Called every BALANCE_DECAY_INTERVAL_MS.  */
void sources_tick (struct sources *s, int64_t now_ns);

void sources_fill_state (const struct sources *s, struct frame_state *state);

/* What is known of the configuration and the sources, in the Prometheus text
   format; WATCHES: this node watches the store.  Freed with g_free.  */
char *sources_metrics (const struct sources *s, bool watches);

#endif
