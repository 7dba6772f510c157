/* Which nodes watch the store, and how long their waits are.

   The first nodes by name use short waits, because a watch of the store may
   miss a change until its wait ends.  The other nodes learn of a change from
   them, and watch in case they do not.  In a large mesh four watches are
   enough: the other nodes suspend theirs.

   Does no I/O and reads no clock.  */

#ifndef MESH_WATCH_RANK_H
#define MESH_WATCH_RANK_H

#include <stdbool.h>
#include <stdint.h>

/* What a node knows of the other, connected nodes.  */
struct watch_rank
{
  unsigned nodes;            /* including this one */
  unsigned watchers;         /* that have a healthy watch */
  unsigned earlier_watchers; /* of these, those before this node by name */
  unsigned earlier_others;   /* nodes before it that have none */
  /* Nodes may suspend their watch; of the first two, only the first waits
     shortly.  */
  bool may_suspend;
};

/* Count a node: NAME, which has a healthy watch or not.  */
void watch_rank_count (struct watch_rank *r, const char *own_name,
                       const char *name, bool healthy);

/* Whether this node is to watch; WATCHES: it does now.  */
bool watch_rank_should_watch (const struct watch_rank *r, bool watches);

/* The longest wait of its watch.  */
uint32_t watch_rank_wait_ms (const struct watch_rank *r);

#endif
