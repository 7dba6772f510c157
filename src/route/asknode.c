#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "route/asknode_parts.h"
#include "route/callstats.h"
#include "route/confd.h"
#include "route/ownd.h"
#include "route/peers.h"
#include "route/refused.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  TIMESTAMP_BYTES = 32
};

static uint32_t
count_slots (const struct map_view *view, uint64_t incarnation)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < view->slot_count; i++)
    if (view->slots[i].owner == incarnation)
      count++;
  return count;
}

static enum status
check_service (struct asknode *a, const struct ask_query *q,
               struct ask_answer *answer)
{
  if (q->service[0] == '\0' || strcmp (q->service, a->settings->service) == 0)
    return STATUS_OK;
  findings_add (ask_answer_findings (answer), 1,
                q->column[ASK_ARGUMENT_SERVICE], "",
                "this node is of service '%s'; ask a node of '%s'",
                a->settings->service, q->service);
  return STATUS_NOT_FOUND;
}

static void
format_timestamp (int64_t wall_ms, char timestamp[TIMESTAMP_BYTES])
{
  struct tm tm;
  time_t seconds = (time_t)(wall_ms / 1000);
  gmtime_r (&seconds, &tm);
  strftime (timestamp, TIMESTAMP_BYTES, "%Y-%m-%dT%H:%M:%SZ", &tm);
}

static void
add_owner_row (struct ask_answer *answer, const struct map_view *view,
               const char *key)
{
  char timestamp[TIMESTAMP_BYTES];
  uint32_t slot = request_slot (key, view->slot_count);
  const struct map_pin *pin = map_view_find_pin (view, key);
  const struct map_ownership *ownership
      = pin != NULL ? &pin->ownership : &view->slots[slot];
  const struct map_member *owner
      = map_view_find_member (view, ownership->owner);
  ask_answer_text (answer, key);
  ask_answer_integer (answer, slot);
  ask_answer_text (answer, owner != NULL ? owner->name : "nobody");
  ask_answer_text (answer, owner != NULL ? owner->zone : "");
  ask_answer_integer (answer, (int64_t)ownership->owner);
  ask_answer_integer (answer, (int64_t)ownership->epoch);
  ask_answer_text (answer, pin != NULL ? "pinned" : "slot");
  if (ownership->owner_since_ms == 0)
    ask_answer_null (answer);
  else
    {
      format_timestamp (ownership->owner_since_ms, timestamp);
      ask_answer_text (answer, timestamp);
    }
}

static enum status
answer_owner (struct ask_node *node, const struct ask_query *q,
              struct ask_answer *answer)
{
  struct asknode *a = (struct asknode *)node;
  enum status s = check_service (a, q, answer);
  struct map_view *view = s == STATUS_OK ? map_copy_view (a->map) : NULL;
  if (view == NULL || view->slot_count == 0)
    {
      free (view);
      if (s == STATUS_OK)
        ask_answer_note (answer,
                         "this node has not received the cell's document yet");
      return s == STATUS_OK ? STATUS_UNAVAILABLE : s;
    }
  ask_answer_column (answer, "key", ASK_TEXT);
  ask_answer_column (answer, "slot", ASK_INTEGER);
  ask_answer_column (answer, "owner", ASK_TEXT);
  ask_answer_column (answer, "zone", ASK_TEXT);
  ask_answer_column (answer, "incarnation", ASK_INTEGER);
  ask_answer_column (answer, "epoch", ASK_INTEGER);
  ask_answer_column (answer, "why", ASK_TEXT);
  ask_answer_column (answer, "since", ASK_TEXT);
  add_owner_row (answer, view, q->key);
  free (view);
  return STATUS_OK;
}

static void
add_member_row (struct ask_answer *answer, const struct map_view *view,
                const struct map_member *m)
{
  const struct map_member *guardian = map_view_find_member (view, m->guardian);
  ask_answer_text (answer, m->name);
  ask_answer_text (answer, m->state);
  ask_answer_text (answer, m->zone);
  ask_answer_text (answer, m->peer_address);
  ask_answer_integer (answer, (int64_t)m->incarnation);
  ask_answer_integer (answer, count_slots (view, m->incarnation));
  if (guardian != NULL)
    ask_answer_text (answer, guardian->name);
  else
    ask_answer_null (answer);
}

static enum status
answer_members (struct ask_node *node, const struct ask_query *q,
                struct ask_answer *answer)
{
  struct asknode *a = (struct asknode *)node;
  enum status s = check_service (a, q, answer);
  struct map_view *view = s == STATUS_OK ? map_copy_view (a->map) : NULL;
  if (view == NULL)
    return s;
  ask_answer_column (answer, "member", ASK_TEXT);
  ask_answer_column (answer, "state", ASK_TEXT);
  ask_answer_column (answer, "zone", ASK_TEXT);
  ask_answer_column (answer, "address", ASK_TEXT);
  ask_answer_column (answer, "incarnation", ASK_INTEGER);
  ask_answer_column (answer, "slots", ASK_INTEGER);
  ask_answer_column (answer, "guardian", ASK_TEXT);
  for (uint32_t i = 0; i < view->member_count; i++)
    add_member_row (answer, view, &view->members[i]);
  ask_answer_note (answer, "cell revision %" PRId64, view->revision);
  free (view);
  return STATUS_OK;
}

static void
add_optional_integer (struct ask_answer *answer, bool known, int64_t number)
{
  if (known)
    ask_answer_integer (answer, number);
  else
    ask_answer_null (answer);
}

static void
add_imbalance_notes (struct ask_answer *answer, const struct map_view *view,
                     const struct node_state *states)
{
  int64_t sum = 0;
  int64_t highest = 0;
  uint32_t known = 0;
  for (uint32_t i = 0; i < view->member_count; i++)
    {
      if (!states[i].known)
        continue;
      known++;
      sum += states[i].sends_per_s;
      if (states[i].sends_per_s > highest)
        highest = states[i].sends_per_s;
    }
  if (sum > 0)
    ask_answer_note (answer, "highest over mean %.2f",
                     (double)highest * known / (double)sum);
  if (known < view->member_count)
    ask_answer_note (answer, "%u of %u members did not answer",
                     view->member_count - known, view->member_count);
}

static enum status
answer_load (struct ask_node *node, const struct ask_query *q,
             struct ask_answer *answer)
{
  struct asknode *a = (struct asknode *)node;
  struct map_view *view;
  struct node_state *states;
  enum status s = check_service (a, q, answer);
  if (s != STATUS_OK)
    return s;
  if (!asknode_gather_states (a, &view, &states))
    return STATUS_NO_MEMORY;
  ask_answer_column (answer, "member", ASK_TEXT);
  ask_answer_column (answer, "slots", ASK_INTEGER);
  ask_answer_column (answer, "requests/s", ASK_INTEGER);
  ask_answer_column (answer, "in flight", ASK_INTEGER);
  ask_answer_column (answer, "not run", ASK_INTEGER);
  for (uint32_t i = 0; i < view->member_count; i++)
    {
      const struct node_state *n = &states[i];
      ask_answer_text (answer, view->members[i].name);
      ask_answer_integer (answer,
                          count_slots (view, view->members[i].incarnation));
      add_optional_integer (answer, n->known, n->sends_per_s);
      add_optional_integer (answer, n->known, n->in_flight);
      add_optional_integer (answer, n->known, n->not_run);
    }
  add_imbalance_notes (answer, view, states);
  free (view);
  free (states);
  return STATUS_OK;
}

static enum status
answer_refused (struct ask_node *node, const struct ask_query *q,
                struct ask_answer *answer)
{
  struct asknode *a = (struct asknode *)node;
  struct map_view *view = map_copy_view (a->map);
  if (view == NULL)
    return STATUS_NO_MEMORY;
  enum status s = refused_answer (
      a->gather, asknode_find_service (a, CALLSTATS_SERVICE), view, q, answer);
  free (view);
  return s;
}

static enum status
answer_config_in_force (struct ask_node *node, const struct ask_query *q,
                        struct ask_answer *answer)
{
  struct asknode *a = (struct asknode *)node;
  struct map_view *view;
  struct node_state *states;
  uint32_t behind = 0;
  int64_t newest = 0;
  (void)q;
  if (!asknode_gather_states (a, &view, &states))
    return STATUS_NO_MEMORY;
  ask_answer_column (answer, "member", ASK_TEXT);
  ask_answer_column (answer, "configuration", ASK_INTEGER);
  ask_answer_column (answer, "cell", ASK_INTEGER);
  for (uint32_t i = 0; i < view->member_count; i++)
    if (states[i].conf_revision > newest)
      newest = states[i].conf_revision;
  for (uint32_t i = 0; i < view->member_count; i++)
    {
      ask_answer_text (answer, view->members[i].name);
      add_optional_integer (answer, states[i].known, states[i].conf_revision);
      add_optional_integer (answer, states[i].known, states[i].cell_revision);
      if (!states[i].known || states[i].conf_revision < newest)
        behind++;
    }
  if (behind == 0)
    ask_answer_note (answer, "revision %" PRId64 " is in force everywhere",
                     newest);
  else
    ask_answer_note (answer,
                     "revision %" PRId64 " is not known to be in force at "
                     "%u of %u members",
                     newest, behind, view->member_count);
  free (view);
  free (states);
  return STATUS_OK;
}

/* Add the lines of the agent's description that begin with PREFIX (all when it
   is empty) as notes.  Returns their number.  */
static unsigned
add_description_notes (struct asknode *a, struct ask_answer *answer,
                       const char *prefix)
{
  unsigned count = 0;
  char *text = ownd_describe (asknode_find_service (a, OWND_SERVICE));
  char *rest = text;
  char *line;
  while (rest != NULL && (line = strsep (&rest, "\n")) != NULL)
    if (line[0] != '\0' && g_str_has_prefix (line, prefix))
      {
        ask_answer_note (answer, "%s", line);
        count++;
      }
  free (text);
  return count;
}

static enum status
answer_lease (struct ask_node *node, const struct ask_query *q,
              struct ask_answer *answer)
{
  (void)q;
  add_description_notes ((struct asknode *)node, answer, "");
  return STATUS_OK;
}

static enum status
answer_moves (struct ask_node *node, const struct ask_query *q,
              struct ask_answer *answer)
{
  (void)q;
  if (add_description_notes ((struct asknode *)node, answer, "move") == 0)
    ask_answer_note (answer, "no move is under way at this node");
  return STATUS_OK;
}

static enum status
answer_store (struct ask_node *node, const struct ask_query *q,
              struct ask_answer *answer)
{
  static const struct
  {
    const char *name;
    enum counter counter;
  } rows[] = {
    { "reads", COUNTER_store_reads_total },
    { "writes", COUNTER_store_writes_total },
    { "watches opened", COUNTER_store_watches_total },
    { "calls without an answer", COUNTER_store_errors_total },
    { "writes that lost a race", COUNTER_store_conflicts_total },
    { "writes resolved by reading back", COUNTER_store_in_doubt_total },
  };
  (void)q;
  ask_answer_column (answer, "since the start", ASK_TEXT);
  ask_answer_column (answer, "count", ASK_INTEGER);
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      ask_answer_text (answer, rows[i].name);
      ask_answer_integer (answer, (int64_t)counter_get (rows[i].counter));
    }
  if (add_description_notes ((struct asknode *)node, answer, "pending") == 0)
    ask_answer_note (answer, "no change of ownership waits for the store");
  return STATUS_OK;
}

static const struct ask_node_ops ops = {
  .owner = answer_owner,
  .load = answer_load,
  .members = answer_members,
  .moves = answer_moves,
  .refused = answer_refused,
  .config = asknode_config,
  .config_in_force = answer_config_in_force,
  .limits = asknode_limits,
  .organisations = asknode_organisations,
  .zones = asknode_zones,
  .history = asknode_history,
  .store = answer_store,
  .lease = answer_lease,
  .create_service = asknode_change_conf,
  .mark = asknode_change_conf,
  .set_limit = asknode_change_conf,
  .unset_limit = asknode_change_conf,
  .move_key = asknode_command_ownership,
  .move_slots = asknode_command_ownership,
  .pin = asknode_command_ownership,
  .unpin = asknode_command_ownership,
  .drain = asknode_command_ownership,
  .evict = asknode_command_ownership,
  .evacuate = asknode_change_conf,
  .restore = asknode_change_conf,
};

struct service *
asknode_find_service (struct asknode *a, const char *name)
{
  return kernel_find (a->kernel, name);
}

bool
asknode_gather_states (struct asknode *a, struct map_view **view,
                       struct node_state **states)
{
  struct node_state self;
  *view = map_copy_view (a->map);
  *states = calloc (MAP_MEMBERS_MAX, sizeof **states);
  if (*view == NULL || *states == NULL)
    {
      free (*view);
      free (*states);
      return false;
    }
  asknode_copy_state (a, &self);
  gather_fetch_states (a->gather, *view, &self, *states);
  return true;
}

void
asknode_log_command (const struct ask_query *q, enum status s)
{
  if (q->dry_run)
    return;
  log_event (s == STATUS_OK ? EV_COMMAND_ACCEPTED : EV_COMMAND_REFUSED,
             "by=%s status=\"%s\" command=\"%s\"", q->who, status_text (s),
             q->text);
}

struct asknode *
asknode_new (struct kernel *k, const struct settings *s, struct map *m)
{
  struct asknode *a = calloc (1, sizeof *a);
  if (a == NULL)
    return NULL;
  a->node.ops = &ops;
  a->kernel = k;
  a->settings = s;
  a->map = m;
  pthread_mutex_init (&a->lock, NULL);
  a->gather = gather_new (kernel_find (k, PEERS_SERVICE));
  if (a->gather != NULL)
    return a;
  asknode_free (a);
  return NULL;
}

void
asknode_free (struct asknode *a)
{
  if (a == NULL)
    return;
  gather_free (a->gather);
  pthread_mutex_destroy (&a->lock);
  free (a);
}

struct ask_node *
asknode_backend (struct asknode *a)
{
  return &a->node;
}

void
asknode_copy_state (struct asknode *a, struct node_state *state)
{
  pthread_mutex_lock (&a->lock);
  *state = a->state;
  pthread_mutex_unlock (&a->lock);
}

void
asknode_refresh (struct asknode *a, int64_t now_ns)
{
  uint64_t sends = counter_get (COUNTER_target_sends_total);
  int64_t elapsed_ns = now_ns - a->refreshed_ns;
  struct node_state state = { .known = true };
  state.conf_revision
      = (int64_t)confd_revision (asknode_find_service (a, CONFD_SERVICE));
  state.cell_revision = map_revision (a->map);
  state.in_flight = map_total_in_flight (a->map);
  state.not_run = (int64_t)counter_get (COUNTER_not_run_total);
  if (a->refreshed_ns != 0 && elapsed_ns > 0)
    state.sends_per_s = (int64_t)((sends - a->refreshed_sends)
                                  * (uint64_t)NS_PER_S / (uint64_t)elapsed_ns);
  a->refreshed_sends = sends;
  a->refreshed_ns = now_ns;
  pthread_mutex_lock (&a->lock);
  a->state = state;
  pthread_mutex_unlock (&a->lock);
}

static char *
run_refused_query (struct asknode *a, const struct ask_query *q)
{
  char *here = refused_local (asknode_find_service (a, CALLSTATS_SERVICE), q,
                              clock_now_ns ());
  char *result
      = here != NULL ? g_strdup_printf ("%u %s", STATUS_OK, here) : NULL;
  free (here);
  return result;
}

char *
asknode_run_command (struct asknode *a, const char *line)
{
  char text[ASKNODE_RESULT_BYTES] = "the order was not understood";
  struct ask_query q;
  struct findings *findings = findings_new ("order");
  enum status s = ask_parse (&q, line, strlen (line), 1, findings);
  findings_free (findings);
  if (s == STATUS_OK && q.kind == ASK_REFUSED)
    return run_refused_query (a, &q);
  if (s == STATUS_OK && q.kind == ASK_MOVE_KEY)
    {
      struct map_view *view = map_copy_view (a->map);
      if (view == NULL)
        return NULL;
      q.slot_first = request_slot (q.key, view->slot_count);
      q.slot_last = q.slot_first;
      free (view);
    }
  if (s == STATUS_OK)
    s = asknode_run_locally (a, &q, text, sizeof text);
  return g_strdup_printf ("%u %s", (unsigned)s, text);
}
