#include "mesh/watch_rank.h"

#include <string.h>

#define FAST_WATCHERS 2
#define FAST_WATCH_MS 1000
/* Wait of the second node where the others are suspended: the bound on how
   late a node learns of a change if the first one is lost.  */
#define SECOND_WATCH_MS 2000
#define SLOW_WATCH_MS 8000
/* With more nodes than this the wait grows in proportion to their number, up
   to the longest wait that the store allows: one of so many nodes learns of a
   change at once.  */
#define SLOW_WATCH_NODES 24
#define SLOW_WATCH_MAX_MS 28000
/* With more than SLOW_WATCH_NODES nodes, so many watch, and with fewer than
   WATCHERS_MIN all others resume.  */
#define WATCHERS 4
#define WATCHERS_MIN 3

void
watch_rank_count (struct watch_rank *r, const char *own_name, const char *name,
                  bool healthy)
{
  bool earlier = strcmp (name, own_name) < 0;
  r->nodes++;
  r->watchers += healthy;
  r->earlier_watchers += healthy && earlier;
  r->earlier_others += !healthy && earlier;
}

bool
watch_rank_should_watch (const struct watch_rank *r, bool watches)
{
  if (!r->may_suspend || r->nodes <= SLOW_WATCH_NODES)
    return true;
  if (watches)
    return r->earlier_watchers < WATCHERS;
  /* A lost watcher is replaced by the next node by name only, unless too few
     are left.  */
  return r->watchers < WATCHERS_MIN
         || (r->watchers < WATCHERS
             && r->earlier_others < WATCHERS - r->watchers);
}

uint32_t
watch_rank_wait_ms (const struct watch_rank *r)
{
  uint32_t slow_ms = r->nodes <= SLOW_WATCH_NODES
                         ? SLOW_WATCH_MS
                         : SLOW_WATCH_MS * r->nodes / SLOW_WATCH_NODES;
  if (slow_ms > SLOW_WATCH_MAX_MS)
    slow_ms = SLOW_WATCH_MAX_MS;
  if (r->earlier_watchers >= FAST_WATCHERS)
    return slow_ms;
  return r->earlier_watchers > 0 && r->may_suspend
                 && r->nodes > SLOW_WATCH_NODES
             ? SECOND_WATCH_MS
             : FAST_WATCH_MS;
}
