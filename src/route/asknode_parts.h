/* The state of struct asknode, shared by the files that implement it.  */

#ifndef ROUTE_ASKNODE_PARTS_H
#define ROUTE_ASKNODE_PARTS_H

#include "ask/run.h"
#include "route/asknode.h"

#include <pthread.h>

enum
{
  ASKNODE_RESULT_BYTES = 512 /* longest result of a command, as text */
};

struct asknode
{
  struct ask_node node; /* first, as ask_run is passed its address */
  struct kernel *kernel;
  const struct settings *settings;
  struct map *map;
  struct gather *gather;
  pthread_mutex_t lock; /* guards state */
  struct node_state state;
  uint64_t refreshed_sends; /* sends to the target at that time */
  int64_t refreshed_ns;     /* 0: never */
};

/* asknode.c */

/* The service named NAME.  */
struct service *asknode_find_service (struct asknode *a, const char *name);

/* The installed view and the states of its members; false when memory is
   short.  The caller frees both with free.  */
bool asknode_gather_states (struct asknode *a, struct map_view **view,
                            struct node_state **states);

/* Log who sent the command Q and whether it was accepted, except for a dry
   run.  */
void asknode_log_command (const struct ask_query *q, enum status s);

/* asknode_conf.c: entries of struct ask_node_ops that read and change the
   configuration.  */

enum status asknode_config (struct ask_node *node, const struct ask_query *q,
                            struct ask_answer *answer);
enum status asknode_organisations (struct ask_node *node,
                                   const struct ask_query *q,
                                   struct ask_answer *answer);
enum status asknode_history (struct ask_node *node, const struct ask_query *q,
                             struct ask_answer *answer);
enum status asknode_limits (struct ask_node *node, const struct ask_query *q,
                            struct ask_answer *answer);
enum status asknode_zones (struct ask_node *node, const struct ask_query *q,
                           struct ask_answer *answer);
enum status asknode_change_conf (struct ask_node *node,
                                 const struct ask_query *q,
                                 struct ask_answer *answer);

/* asknode_order.c: commands on ownership (move, pin, unpin, drain, evict).  */

/* The entry of struct ask_node_ops for all of them: runs the command at the
   members that it concerns, this node or others.  */
enum status asknode_command_ownership (struct ask_node *node,
                                       const struct ask_query *q,
                                       struct ask_answer *answer);

/* Run the part of Q that concerns this node.  The result is written to TEXT of
   ROOM bytes.  */
enum status asknode_run_locally (struct asknode *a, const struct ask_query *q,
                                 char *text, size_t room);

#endif
