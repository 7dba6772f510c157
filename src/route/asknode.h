/* Execution of the operator language at a node.  */

#ifndef ROUTE_ASKNODE_H
#define ROUTE_ASKNODE_H

#include "ask/run.h"
#include "base/kernel.h"
#include "route/gather.h"
#include "route/map.h"
#include "settings/settings.h"

struct asknode;

/* Runs the lines of operators on the services of kernel K.  NULL when memory
   is short.  */
struct asknode *asknode_new (struct kernel *k, const struct settings *s,
                             struct map *m);
void asknode_free (struct asknode *a);

/* The struct ask_node to be passed to ask_run.  Any thread.  */
struct ask_node *asknode_backend (struct asknode *a);

/* The state of this node at the last call of asknode_refresh.  */
void asknode_copy_state (struct asknode *a, struct node_state *state);

/* Measure the state of this node; called once a second.  */
void asknode_refresh (struct asknode *a, int64_t now_ns);

/* Run the command or query LINE of another node here.  The result, freed with
   free: a status number, a space and a text.  */
char *asknode_run_command (struct asknode *a, const char *line);

#endif
