#include "conf/record.h"

#include "conf/strict.h"
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CHANGE_ID_TEXT_BYTES = 17, /* 16 hexadecimal digits and NUL */
  ENUM_NAME_BYTES = 32,
  HEX_BASE = 16
};

static const char *const entry_keys[]
    = { "revision", "change", "wall_ms", "who",          "why",
        "command",  "action", "service", "organisation", "kind",
        "limit",    "value",  NULL };

static const char *const zone_entry_keys[]
    = { "revision", "change",  "wall_ms",      "who",  "why",   "command",
        "action",   "service", "organisation", "kind", "limit", "value",
        "zone",     NULL };

static const char *const action_names[] = {
  [CONF_CREATE_SERVICE] = "create-service",
  [CONF_MARK_ORGANISATION] = "mark-organisation",
  [CONF_SET_LIMIT] = "set-limit",
  [CONF_UNSET_LIMIT] = "unset-limit",
  [CONF_EVACUATE_ZONE] = "evacuate-zone",
  [CONF_RESTORE_ZONE] = "restore-zone",
};

static bool
has_limit (enum conf_action action)
{
  return action == CONF_SET_LIMIT || action == CONF_UNSET_LIMIT;
}

static bool
has_zone (enum conf_action action)
{
  return action == CONF_EVACUATE_ZONE || action == CONF_RESTORE_ZONE;
}

struct conf_audit_entry
conf_audit_from_command (const struct conf_command *command, uint64_t revision)
{
  struct conf_audit_entry a = { 0 };
  a.revision = revision;
  a.change_id = command->change_id;
  a.wall_ms = command->wall_ms;
  g_strlcpy (a.who, command->who, sizeof a.who);
  g_strlcpy (a.why, command->why, sizeof a.why);
  g_strlcpy (a.text, command->text, sizeof a.text);
  a.action = command->action;
  g_strlcpy (a.service, command->service, sizeof a.service);
  g_strlcpy (a.organisation, command->organisation, sizeof a.organisation);
  a.kind = command->kind;
  a.limit = command->limit;
  a.value = command->value;
  g_strlcpy (a.zone, command->zone, sizeof a.zone);
  return a;
}

struct conf_command
conf_audit_to_command (const struct conf_audit_entry *a)
{
  struct conf_command command = { .action = a->action,
                                  .kind = a->kind,
                                  .limit = a->limit,
                                  .value = a->value,
                                  .change_id = a->change_id,
                                  .wall_ms = a->wall_ms };
  g_strlcpy (command.service, a->service, sizeof command.service);
  g_strlcpy (command.organisation, a->organisation,
             sizeof command.organisation);
  g_strlcpy (command.zone, a->zone, sizeof command.zone);
  g_strlcpy (command.who, a->who, sizeof command.who);
  g_strlcpy (command.why, a->why, sizeof command.why);
  g_strlcpy (command.text, a->text, sizeof command.text);
  return command;
}

bool
conf_audit_conflicts (const struct conf_audit_entry *a,
                      const struct conf_command *command)
{
  if (has_zone (a->action) || has_zone (command->action))
    return has_zone (a->action) && has_zone (command->action)
           && strcmp (a->zone, command->zone) == 0;
  if (has_limit (a->action) != has_limit (command->action))
    return false;
  if (!has_limit (a->action) && a->action != command->action)
    return false;
  if (has_limit (a->action) && a->limit != command->limit)
    return false;
  return strcmp (a->service, command->service) == 0
         && strcmp (a->organisation, command->organisation) == 0;
}

json_t *
conf_audit_to_json (const struct conf_audit_entry *a)
{
  char change_id[CHANGE_ID_TEXT_BYTES];
  json_t *entry = json_object ();
  bool takes_kind = a->action == CONF_MARK_ORGANISATION;
  bool takes_limit = has_limit (a->action);
  snprintf (change_id, sizeof change_id, "%016" PRIx64, a->change_id);
  json_object_set_new (entry, "revision",
                       json_integer ((json_int_t)a->revision));
  json_object_set_new (entry, "change", json_string (change_id));
  json_object_set_new (entry, "wall_ms", json_integer (a->wall_ms));
  json_object_set_new (entry, "who", json_string (a->who));
  json_object_set_new (entry, "why", json_string (a->why));
  json_object_set_new (entry, "command", json_string (a->text));
  json_object_set_new (entry, "action", json_string (action_names[a->action]));
  json_object_set_new (entry, "service", json_string (a->service));
  json_object_set_new (entry, "organisation", json_string (a->organisation));
  json_object_set_new (
      entry, "kind", json_string (takes_kind ? conf_kind_name (a->kind) : ""));
  json_object_set_new (
      entry, "limit",
      json_string (takes_limit ? conf_limits_schema[a->limit].word : ""));
  json_object_set_new (entry, "value", json_integer (a->value));
  if (has_zone (a->action))
    json_object_set_new (entry, "zone", json_string (a->zone));
  return entry;
}

static bool
read_change_id (struct findings *f, const char *name, const json_t *value,
                uint64_t *change_id)
{
  char text[CHANGE_ID_TEXT_BYTES];
  if (!strict_read_string (f, name, value, text, sizeof text))
    return false;
  if (strspn (text, "0123456789abcdef") != CHANGE_ID_TEXT_BYTES - 1)
    {
      strict_add_finding (f, name, "does not have 16 hexadecimal digits");
      return false;
    }
  *change_id = strtoull (text, NULL, HEX_BASE);
  return true;
}

/* The position of NAME in the COUNT entries of NAMES, or -1.  */
static int
find_name (const char *const *names, int count, const char *name)
{
  for (int i = 0; i < count; i++)
    if (strcmp (names[i], name) == 0)
      return i;
  return -1;
}

static int
find_limit (const char *name)
{
  for (int i = 0; i < CONF_LIMIT_COUNT; i++)
    if (strcmp (conf_limits_schema[i].word, name) == 0)
      return i;
  return -1;
}

static int
find_kind (const char *name)
{
  for (int i = 0; i < CONF_KIND_COUNT; i++)
    if (strcmp (conf_kind_name ((enum conf_kind)i), name) == 0)
      return i;
  return -1;
}

/* Parse the action of the command and the kind or the limit that it takes.  */
static bool
read_action (struct findings *f, const char *name, const json_t *object,
             struct conf_audit_entry *a)
{
  char action[ENUM_NAME_BYTES];
  char kind[ENUM_NAME_BYTES];
  char limit[ENUM_NAME_BYTES];
  if (!strict_read_string (f, name, json_object_get (object, "action"), action,
                           sizeof action)
      || !strict_read_string (f, name, json_object_get (object, "kind"), kind,
                              sizeof kind)
      || !strict_read_string (f, name, json_object_get (object, "limit"),
                              limit, sizeof limit))
    return false;
  int action_index = find_name (
      action_names, sizeof action_names / sizeof action_names[0], action);
  int kind_index = find_kind (kind);
  int limit_index = find_limit (limit);
  a->action = (enum conf_action)action_index;
  if (action_index < 0
      || (a->action == CONF_MARK_ORGANISATION) != (kind_index >= 0)
      || has_limit (a->action) != (limit_index >= 0)
      || has_zone (a->action) != (a->zone[0] != '\0'))
    {
      strict_add_finding (
          f, name,
          "has an unknown action or a kind or limit that does not fit it");
      return false;
    }
  a->kind = kind_index < 0 ? CONF_TRIAL : (enum conf_kind)kind_index;
  a->limit = limit_index < 0 ? CONF_TRIAL_SHARE : (enum conf_limit)limit_index;
  return true;
}

/* Parse a name, which may be empty.  */
static bool
read_name (struct findings *f, const char *name, const json_t *value,
           char text[CONF_NAME_BYTES])
{
  if (!strict_read_string (f, name, value, text, CONF_NAME_BYTES))
    return false;
  if (text[0] == '\0' || conf_is_valid_name (text))
    return true;
  strict_add_finding (f, name, "contains an invalid name");
  return false;
}

static bool
read_numbers (struct findings *f, const char *name, const json_t *object,
              struct conf_audit_entry *a)
{
  int64_t revision = 0;
  int64_t value = 0;
  if (!strict_read_integer (f, name, json_object_get (object, "revision"), 1,
                            INT64_MAX, &revision)
      || !strict_read_integer (f, name, json_object_get (object, "wall_ms"), 0,
                               INT64_MAX, &a->wall_ms)
      || !strict_read_integer (f, name, json_object_get (object, "value"), 0,
                               UINT32_MAX, &value)
      || !read_change_id (f, name, json_object_get (object, "change"),
                          &a->change_id))
    return false;
  a->revision = (uint64_t)revision;
  a->value = (uint32_t)value;
  return true;
}

static bool
read_strings (struct findings *f, const char *name, const json_t *object,
              struct conf_audit_entry *a)
{
  return strict_read_string (f, name, json_object_get (object, "who"), a->who,
                             sizeof a->who)
         && strict_read_string (f, name, json_object_get (object, "why"),
                                a->why, sizeof a->why)
         && strict_read_string (f, name, json_object_get (object, "command"),
                                a->text, sizeof a->text)
         && read_name (f, name, json_object_get (object, "service"),
                       a->service)
         && read_name (f, name, json_object_get (object, "organisation"),
                       a->organisation);
}

bool
conf_audit_from_json (const json_t *object, const char *name,
                      struct findings *findings, struct conf_audit_entry *a)
{
  memset (a, 0, sizeof *a);
  const json_t *zone = json_object_get (object, "zone");
  return strict_check_keys (findings, name, object,
                            zone == NULL ? entry_keys : zone_entry_keys)
         && (zone == NULL || read_name (findings, name, zone, a->zone))
         && read_numbers (findings, name, object, a)
         && read_strings (findings, name, object, a)
         && read_action (findings, name, object, a);
}
