/* Where this node learns of the operators' configuration: from the store, and
   from nodes that watch it, its sources.  */

#ifndef MESH_SOURCES_H
#define MESH_SOURCES_H

#include "mesh/confirm.h"
#include "mesh/nodes.h"
#include "mesh/watcher.h"
#include "settings/settings.h"

struct sources;

struct sources_deps
{
  uv_loop_t *loop;
  const struct settings *settings;
  struct nodes *nodes;
  void *arg;
  /* Watch the store from now on, or suspend the watch.  KNOWN: what is known
     of the store; its revision is 0 if nothing is.  */
  void (*set_watch) (void *arg, bool watch, const struct confirmation *known);
};

/* The node begins with a watch.  */
struct sources *sources_new (const struct sources_deps *deps);

/* The longest wait of the watch.  */
uint32_t sources_wait_ms (const struct sources *s);

/* The watcher reported that the store has no further changes.  */
void sources_on_store (struct sources *s, const struct watch_update *w,
                       int64_t now_ns);

/* NODE reported its state.  A newer version is requested from it, or in a
   moment from a node of the own zone.  */
void sources_on_state (struct sources *s, const struct frame_node *node,
                       const struct frame_state *state, int64_t now_ns);

/* VERSION is in force.  */
struct confirm_delay sources_on_applied (struct sources *s, uint64_t version,
                                         int64_t now_ns);

/* Called every BALANCE_DECAY_INTERVAL_MS.  */
void sources_tick (struct sources *s, int64_t now_ns);

void sources_fill_state (const struct sources *s, struct frame_state *state);

/* What is known of the configuration and the sources, in the Prometheus text
   format; ANSWERED: the store answered the last call of the watch.  Freed with
   g_free.  */
char *sources_metrics (const struct sources *s, bool answered);

#endif
