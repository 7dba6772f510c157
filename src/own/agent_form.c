/* Forming of a new cell.

   All members of a new cell start at about the same time.  If the first one
   took all slots, it would have to hand almost all of them over again, and
   would be asked for all keys meanwhile.  So the members only join at first.
   Once no further one has joined for a while, the first of them makes all
   active, gives each its guardians and slots, and chooses the number of
   slots.  No member serves anything before that change or holds a lease from
   before it, so any member may write it: if the first one is lost, the next
   one does.  */

#include "own/agent_state.h"

#define FORM_QUIET_NS (1 * NS_PER_S)
#define FORM_MAX_NS (4 * NS_PER_S)
/* Delay of each member after the one before it in the document.  */
#define FORM_NEXT_MEMBER_NS (1 * NS_PER_S)

void
agent_form_update (struct agent *a, int64_t now_ns)
{
  struct agent_forming *f = &a->forming;
  if (!cell_is_forming (a->cell))
    {
      f->began_ns = 0;
      return;
    }
  if (f->began_ns == 0)
    f->began_ns = now_ns;
  if (f->member_count != a->cell->member_count)
    f->changed_ns = now_ns;
  f->member_count = a->cell->member_count;
}

int64_t
agent_form_due_ns (const struct agent *a)
{
  const struct agent_forming *f = &a->forming;
  if (a->self == 0 || f->began_ns == 0)
    return AGENT_FOREVER_NS;
  int64_t due_ns = f->changed_ns + FORM_QUIET_NS;
  if (due_ns > f->began_ns + FORM_MAX_NS)
    due_ns = f->began_ns + FORM_MAX_NS;
  return due_ns + cell_member_index (a->cell, a->self) * FORM_NEXT_MEMBER_NS;
}

bool
agent_plan_form (struct agent *a, struct cell *next, int64_t now_ns)
{
  if (now_ns < agent_form_due_ns (a))
    return false;
  place_form (next, a->slots);
  return true;
}
