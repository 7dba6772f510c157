#include "base/clock.h"
#include "route/asknode_parts.h"
#include "route/ownd.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  MOVE_POLL_MS = 1
};

#define COMMAND_TIMEOUT_NS (30 * NS_PER_S)
#define HANDOVER_TIMEOUT_NS (3 * NS_PER_S)

/* Add the finding that WHAT NAME, argument ARGUMENT of Q, does not exist.  */
static enum status
add_not_found (struct ask_answer *answer, const struct ask_query *q,
               enum ask_argument argument, const char *what, const char *name)
{
  findings_add (ask_answer_findings (answer), 1, q->column[argument], "",
                "there is no %s '%s'", what, name);
  return STATUS_NOT_FOUND;
}

/* Move the slot or key of COMMAND and wait until the installed view shows the
   new owner.  */
static enum status
move_until_visible (struct asknode *a, const struct ownd_command *command,
                    const char *key)
{
  struct service *ownd = asknode_find_service (a, OWND_SERVICE);
  int64_t until_ns = clock_now_ns () + HANDOVER_TIMEOUT_NS;
  enum status s;
  while ((s = ownd_run_command (ownd, command)) == STATUS_FULL
         && clock_now_ns () < until_ns)
    clock_sleep_ms (MOVE_POLL_MS);
  if (s != STATUS_OK)
    return s;
  while (clock_now_ns () < until_ns)
    {
      struct map_view *view = map_copy_view (a->map);
      const struct map_pin *pin
          = key != NULL && view != NULL ? map_view_find_pin (view, key) : NULL;
      uint64_t owner = 0;
      if (view != NULL)
        owner = pin != NULL ? pin->ownership.owner
                            : view->slots[command->slot].owner;
      free (view);
      if (owner == command->incarnation)
        return STATUS_OK;
      clock_sleep_ms (MOVE_POLL_MS);
    }
  return status_set (STATUS_TIMEOUT,
                     "handover timed out; its owner still serves it");
}

/* Move the slots of Q's range that this node owns.  */
static enum status
move_own_slots (struct asknode *a, const struct ask_query *q,
                uint64_t incarnation, uint32_t *moved)
{
  struct map_view *view = map_copy_view (a->map);
  enum status s = view == NULL ? STATUS_NO_MEMORY : STATUS_OK;
  *moved = 0;
  for (uint32_t i = q->slot_first;
       s == STATUS_OK && i <= q->slot_last && i < view->slot_count; i++)
    {
      struct ownd_command command = { .action = OWND_MOVE_SLOT, .slot = i };
      command.incarnation = (uint32_t)incarnation;
      if (view->slots[i].owner != view->self_incarnation
          || view->slots[i].owner == incarnation)
        continue;
      s = move_until_visible (a, &command, NULL);
      if (s == STATUS_OK)
        *moved += 1;
    }
  free (view);
  return s;
}

static enum status
move_own_key (struct asknode *a, const char *key, uint32_t slot,
              uint64_t incarnation)
{
  struct ownd_command command = { .action = OWND_MOVE_KEY, .slot = slot };
  command.incarnation = (uint32_t)incarnation;
  snprintf (command.key, sizeof command.key, "%s", key);
  return move_until_visible (a, &command, key);
}

enum status
asknode_run_locally (struct asknode *a, const struct ask_query *q, char *text,
                     size_t room)
{
  struct map_view *view = map_copy_view (a->map);
  if (view == NULL)
    return STATUS_NO_MEMORY;
  const struct map_member *to = map_view_find_member_named (view, q->node);
  uint32_t slot = request_slot (q->key, view->slot_count);
  uint64_t incarnation = to != NULL ? to->incarnation : 0;
  uint32_t moved = 1;
  enum status s = STATUS_OK;
  if (q->kind == ASK_DRAIN)
    kill (getpid (), SIGTERM);
  else if (q->kind == ASK_UNPIN)
    s = move_own_key (a, q->key, slot, view->slots[slot].owner);
  else if (q->kind == ASK_PIN && incarnation != 0)
    s = move_own_key (a, q->key, slot, incarnation);
  else if (incarnation != 0)
    s = move_own_slots (a, q, incarnation, &moved);
  else
    s = status_set (STATUS_NOT_FOUND, "there is no member '%s'", q->node);
  snprintf (text, room, "%s",
            s == STATUS_OK
                ? q->kind == ASK_DRAIN ? "drains and stops" : "handed over"
                : status_message ());
  free (view);
  return s;
}

/* Run Q at MEMBER, which is this node when SELF.  */
static enum status
run_at_member (struct asknode *a, const struct ask_query *q,
               const struct map_member *member, bool self,
               struct ask_answer *answer)
{
  char text[ASKNODE_RESULT_BYTES] = "";
  enum status s;
  if (self)
    s = asknode_run_locally (a, q, text, sizeof text);
  else
    {
      char *result = gather_send_command (a->gather, member->peer_address,
                                          q->text, COMMAND_TIMEOUT_NS);
      char *end = NULL;
      s = result != NULL ? (enum status)strtoul (result, &end, 10)
                         : STATUS_UNAVAILABLE;
      snprintf (text, sizeof text, "%s",
                result != NULL && end != NULL && end[0] == ' '
                    ? end + 1
                    : "the node did not answer");
      free (result);
    }
  ask_answer_note (answer, "%s: %s", member->name, text);
  return s;
}

static bool
owns_any_slot (const struct map_view *view, const struct ask_query *q,
               uint64_t incarnation)
{
  for (uint32_t i = q->slot_first; i <= q->slot_last && i < view->slot_count;
       i++)
    if (view->slots[i].owner == incarnation)
      return true;
  return false;
}

/* Run Q at each member that owns slots of its range.  */
static enum status
run_at_slot_owners (struct asknode *a, const struct ask_query *q,
                    const struct map_view *view, struct ask_answer *answer)
{
  enum status result = STATUS_OK;
  bool owned = false;
  bool asked = false;
  for (uint32_t i = 0; i < view->member_count; i++)
    {
      const struct map_member *m = &view->members[i];
      if (!owns_any_slot (view, q, m->incarnation))
        continue;
      owned = true;
      if (strcmp (m->name, q->node) == 0)
        continue;
      asked = true;
      if (q->dry_run)
        {
          ask_answer_note (answer, "would be handed over by %s", m->name);
          continue;
        }
      enum status s = run_at_member (
          a, q, m, m->incarnation == view->self_incarnation, answer);
      if (s != STATUS_OK)
        result = s;
    }
  if (!owned)
    return status_set (STATUS_UNAVAILABLE, "no member owns the slots");
  if (!asked)
    ask_answer_note (answer, "%s owns them already", q->node);
  return result;
}

/* Run Q at the one member MEMBER.  */
static enum status
run_at_one_member (struct asknode *a, const struct ask_query *q,
                   const struct map_view *view,
                   const struct map_member *member, struct ask_answer *answer)
{
  if (member == NULL)
    {
      ask_answer_note (answer, "no member owns the key");
      return STATUS_UNAVAILABLE;
    }
  if (q->dry_run)
    {
      ask_answer_note (answer, "would be run by %s", member->name);
      return STATUS_OK;
    }
  return run_at_member (a, q, member,
                        member->incarnation == view->self_incarnation, answer);
}

static const struct map_member *
owner_of_key (const struct map_view *view, const char *key)
{
  const struct map_pin *pin = map_view_find_pin (view, key);
  uint32_t slot = request_slot (key, view->slot_count);
  return map_view_find_member (view, pin != NULL ? pin->ownership.owner
                                                 : view->slots[slot].owner);
}

/* Whether the member named NAME answers a fetch.  */
static bool
is_responding (struct asknode *a, const char *name)
{
  struct map_view *view;
  struct node_state *states;
  bool answering = false;
  if (!asknode_gather_states (a, &view, &states))
    return false;
  for (uint32_t i = 0; i < view->member_count; i++)
    if (strcmp (view->members[i].name, name) == 0)
      answering = states[i].known;
  free (view);
  free (states);
  return answering;
}

static enum status
evict (struct asknode *a, const struct ask_query *q,
       const struct map_member *m, struct ask_answer *answer)
{
  /* A running member would keep serving its slots beside their new owners
     until it learned of its eviction.  */
  if (is_responding (a, m->name))
    {
      findings_add (ask_answer_findings (answer), 1,
                    q->column[ASK_ARGUMENT_NODE], "",
                    "'%s' has not stopped, it answers: drain it", m->name);
      return STATUS_INVALID;
    }
  struct ownd_command command = { .action = OWND_EVICT };
  command.incarnation = (uint32_t)m->incarnation;
  if (q->dry_run)
    {
      ask_answer_note (answer, "%s, incarnation %" PRIu64 ", would be removed",
                       m->name, m->incarnation);
      return STATUS_OK;
    }
  enum status s
      = ownd_run_command (asknode_find_service (a, OWND_SERVICE), &command);
  ask_answer_note (answer, "%s: %s", m->name,
                   s == STATUS_OK ? "is being removed" : status_message ());
  return s;
}

static enum status
run_on_view (struct asknode *a, struct ask_query *q,
             const struct map_view *view, struct ask_answer *answer)
{
  const struct map_member *named = map_view_find_member_named (view, q->node);
  if (q->node[0] != '\0' && named == NULL)
    return add_not_found (answer, q, ASK_ARGUMENT_NODE, "member", q->node);
  switch (q->kind)
    {
    case ASK_MOVE_KEY:
      q->slot_first = request_slot (q->key, view->slot_count);
      q->slot_last = q->slot_first;
      return run_at_slot_owners (a, q, view, answer);
    case ASK_MOVE_SLOTS:
      return run_at_slot_owners (a, q, view, answer);
    case ASK_PIN:
    case ASK_UNPIN:
      return run_at_one_member (a, q, view, owner_of_key (view, q->key),
                                answer);
    case ASK_EVICT:
      return evict (a, q, named, answer);
    default:
      return run_at_one_member (a, q, view, named, answer);
    }
}

enum status
asknode_command_ownership (struct ask_node *node, const struct ask_query *q,
                           struct ask_answer *answer)
{
  struct asknode *a = (struct asknode *)node;
  struct ask_query query = *q;
  struct map_view *view = map_copy_view (a->map);
  if (view == NULL || view->slot_count == 0)
    {
      free (view);
      ask_answer_note (answer,
                       "this node has not received the cell's document yet");
      return STATUS_UNAVAILABLE;
    }
  enum status s = run_on_view (a, &query, view, answer);
  free (view);
  asknode_log_command (q, s);
  return s;
}
