/* The tree along which a document spreads through the members of a cell.

   Members are ranked by incarnation: the first two watch the store, and each
   member has up to TREE_FANOUT children.  A lost member leaves the cell's
   document, which changes the tree.  Pure functions of the view.  */

#ifndef ROUTE_TREE_H
#define ROUTE_TREE_H

#include "route/map.h"

enum
{
  TREE_FANOUT = 4,
  TREE_WATCHERS = 2
};

/* Whether this node watches the store, according to VIEW.  */
bool tree_is_watcher (const struct map_view *view);

/* The members that this node notifies, as indexes of VIEW's members, into
   CHILDREN; returns their number.  */
unsigned tree_children (const struct map_view *view,
                        uint32_t children[TREE_FANOUT]);

/* The member that this node fetches from: its parent, or the second member for
   the first one.  False when there is none.  */
bool tree_parent (const struct map_view *view, uint32_t *parent);

#endif
