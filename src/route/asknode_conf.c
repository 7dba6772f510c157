#include "ask/config.h"
#include "base/clock.h"
#include "own/cell.h"
#include "route/asknode_parts.h"
#include "route/confd.h"
#include "store/etcd.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A target of a service, by its cell's document in the store.  */
struct placed_target
{
  char service[CONF_NAME_BYTES];
  char zone[CONF_NAME_BYTES];
};

/* Answer from the configuration in force.  */
static enum status
answer_from_conf (struct ask_node *node, struct ask_answer *answer,
                  enum status (*fill) (struct ask_answer *a,
                                       const struct conf *c))
{
  struct conf *c = confd_get (
      asknode_find_service ((struct asknode *)node, CONFD_SERVICE));
  enum status s = fill (answer, c);
  conf_unref (c);
  return s;
}

enum status
asknode_config (struct ask_node *node, const struct ask_query *q,
                struct ask_answer *answer)
{
  (void)q;
  return answer_from_conf (node, answer, ask_answer_config);
}

enum status
asknode_organisations (struct ask_node *node, const struct ask_query *q,
                       struct ask_answer *answer)
{
  (void)q;
  return answer_from_conf (node, answer, ask_answer_organisations);
}

enum status
asknode_history (struct ask_node *node, const struct ask_query *q,
                 struct ask_answer *answer)
{
  (void)q;
  return answer_from_conf (node, answer, ask_answer_history);
}

enum status
asknode_limits (struct ask_node *node, const struct ask_query *q,
                struct ask_answer *answer)
{
  struct conf *c = confd_get (
      asknode_find_service ((struct asknode *)node, CONFD_SERVICE));
  enum status s = ask_answer_limits (answer, c, q);
  conf_unref (c);
  return s;
}

static int
compare_texts (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

enum status
asknode_zones (struct ask_node *node, const struct ask_query *q,
               struct ask_answer *answer)
{
  struct asknode *a = (struct asknode *)node;
  const char *zones[MAP_MEMBERS_MAX + 1] = { NULL };
  struct map_view *view = map_copy_view (a->map);
  struct conf *c = confd_get (asknode_find_service (a, CONFD_SERVICE));
  size_t count = 0;
  (void)q;
  for (uint32_t i = 0; view != NULL && i < view->member_count; i++)
    zones[count++] = view->members[i].zone;
  qsort (zones, count, sizeof zones[0], compare_texts);
  size_t distinct = 0;
  for (size_t i = 0; i < count; i++)
    if (distinct == 0 || strcmp (zones[distinct - 1], zones[i]) != 0)
      zones[distinct++] = zones[i];
  zones[distinct] = NULL;
  enum status s = ask_answer_zones (answer, c, zones);
  conf_unref (c);
  free (view);
  return s;
}

/* Add the targets of the cell with the document VALUE to ARG.  */
static bool
add_targets (void *arg, const char *key, const struct store_value *value)
{
  GArray *targets = arg;
  struct cell *cell;
  (void)key;
  if (value == NULL
      || cell_parse (value->data, value->length, &cell) != STATUS_OK)
    return true;
  for (uint32_t i = 0; i < cell->member_count; i++)
    {
      struct placed_target t;
      g_strlcpy (t.service, cell->service, sizeof t.service);
      g_strlcpy (t.zone, cell->members[i].zone, sizeof t.zone);
      if (cell->members[i].state != MEMBER_LEAVING)
        g_array_append_val (targets, t);
    }
  free (cell);
  return true;
}

/* List the targets of all services.  */
static enum status
list_targets (const struct asknode *a, GArray *targets)
{
  char prefix[SETTINGS_NAME_BYTES + 16];
  const struct settings *s = a->settings;
  struct store *store
      = etcd_new (s->stores, s->store_count, s->store_timeout_ms);
  if (store == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for a command");
  snprintf (prefix, sizeof prefix, "%s/cell/", s->store_prefix);
  enum status status = store->ops->list (store, prefix, add_targets, targets);
  store->ops->free (store);
  return status;
}

static bool
has_target (const GArray *targets, const char *service,
            const struct conf *conf)
{
  for (guint i = 0; i < targets->len; i++)
    {
      const struct placed_target *t
          = &g_array_index (targets, struct placed_target, i);
      if (strcmp (t->service, service) == 0
          && !conf_zone_is_evacuated (conf, t->zone))
        return true;
    }
  return false;
}

/* Whether every service with a target in the zone that COMMAND evacuates has
   one in another zone that stays in service.  */
static bool
leaves_targets (void *arg, const struct conf *next,
                const struct conf_command *command, struct findings *findings)
{
  const GArray *targets = arg;
  for (guint i = 0; i < targets->len; i++)
    {
      const struct placed_target *t
          = &g_array_index (targets, struct placed_target, i);
      if (strcmp (t->zone, command->zone) != 0
          || has_target (targets, t->service, next))
        continue;
      findings_add (findings, 1, command->zone_column, "",
                    "service %s would have no target: no zone that stays in "
                    "service has one (evacuate 'even without targets' if "
                    "that is wanted)",
                    t->service);
      return false;
    }
  return true;
}

enum status
asknode_change_conf (struct ask_node *node, const struct ask_query *q,
                     struct ask_answer *answer)
{
  struct asknode *a = (struct asknode *)node;
  struct conf_command command;
  struct confd_change change;
  uint64_t id = (uint64_t)g_random_int () << 32 | g_random_int ();
  enum status s = STATUS_OK;
  if (!ask_to_command (q, id, clock_wall_ms (), &command))
    return STATUS_INVALID;
  GArray *targets = g_array_new (FALSE, TRUE, sizeof (struct placed_target));
  memset (&change, 0, sizeof change);
  if (q->kind == ASK_EVACUATE && !q->forced)
    {
      s = list_targets (a, targets);
      command.check = leaves_targets;
      command.check_arg = targets;
    }
  if (s == STATUS_OK)
    s = confd_apply (asknode_find_service (a, CONFD_SERVICE), &command,
                     q->dry_run, ask_answer_findings (answer), &change);
  g_array_free (targets, TRUE);
  asknode_log_command (q, s);
  if (s == STATUS_OK)
    s = ask_answer_change (answer, change.before, change.after, q->dry_run);
  else if (findings_count (ask_answer_findings (answer)) == 0)
    ask_answer_note (answer, "nothing was changed: %s", status_message ());
  confd_change_clear (&change);
  return s;
}
