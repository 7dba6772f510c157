#include "route/tree.h"

/* The rank of member INDEX in the order of incarnations.  */
static uint32_t
rank_of (const struct map_view *view, uint32_t index)
{
  uint32_t rank = 0;
  for (uint32_t i = 0; i < view->member_count; i++)
    if (view->members[i].incarnation < view->members[index].incarnation)
      rank++;
  return rank;
}

static bool
find_by_rank (const struct map_view *view, uint32_t rank, uint32_t *index)
{
  for (uint32_t i = 0; i < view->member_count; i++)
    if (rank_of (view, i) == rank)
      {
        *index = i;
        return true;
      }
  return false;
}

static bool
find_own_rank (const struct map_view *view, uint32_t *rank)
{
  for (uint32_t i = 0; i < view->member_count; i++)
    if (view->self_incarnation != 0
        && view->members[i].incarnation == view->self_incarnation)
      {
        *rank = rank_of (view, i);
        return true;
      }
  return false;
}

bool
tree_is_watcher (const struct map_view *view)
{
  uint32_t rank;
  return find_own_rank (view, &rank) && rank < TREE_WATCHERS;
}

unsigned
tree_children (const struct map_view *view, uint32_t children[TREE_FANOUT])
{
  uint32_t rank;
  unsigned count = 0;
  if (!find_own_rank (view, &rank))
    return 0;
  for (uint32_t i = 1; i <= TREE_FANOUT; i++)
    if (find_by_rank (view, rank * TREE_FANOUT + i, &children[count]))
      count++;
  return count;
}

bool
tree_parent (const struct map_view *view, uint32_t *parent)
{
  uint32_t rank;
  if (!find_own_rank (view, &rank))
    return false;
  return find_by_rank (view, rank == 0 ? 1 : (rank - 1) / TREE_FANOUT, parent);
}
