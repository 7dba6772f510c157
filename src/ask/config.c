#include "ask/config.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  TIMESTAMP_BYTES = 32,
  MS_PER_S = 1000
};

static size_t
count_kind (const struct conf *c, enum conf_kind kind)
{
  const struct conf_organisation *o;
  size_t count = 0;
  for (size_t i = 0; (o = conf_organisation_at (c, i)) != NULL; i++)
    count += o->kind == kind;
  return count;
}

static size_t
count_services (const struct conf *c)
{
  size_t count = 0;
  while (conf_service_at (c, count) != NULL)
    count++;
  return count;
}

/* Format WALL_MS, in milliseconds since 1970, as UTC with a resolution of one
   second.  */
static void
format_timestamp (int64_t wall_ms, char timestamp[TIMESTAMP_BYTES])
{
  struct tm tm;
  time_t seconds = (time_t)(wall_ms / MS_PER_S);
  gmtime_r (&seconds, &tm);
  strftime (timestamp, TIMESTAMP_BYTES, "%Y-%m-%dT%H:%M:%SZ", &tm);
}

static void
add_limit_columns (struct ask_answer *a)
{
  ask_answer_column (a, "service", ASK_TEXT);
  ask_answer_column (a, "organisation", ASK_TEXT);
  for (int i = 0; i < CONF_LIMIT_COUNT; i++)
    ask_answer_column (a, conf_limits_schema[i].word, ASK_TEXT);
}

/* Add a cell for each limit, without a value where SET is false.  A SET of
   NULL means that all limits are set.  */
static void
add_limit_cells (struct ask_answer *a, const struct conf_limits *limits,
                 const bool *set)
{
  char text[TIMESTAMP_BYTES];
  for (int i = 0; i < CONF_LIMIT_COUNT; i++)
    {
      if (set != NULL && !set[i])
        {
          ask_answer_null (a);
          continue;
        }
      snprintf (text, sizeof text, "%" PRIu32 "%s", limits->value[i],
                conf_limits_schema[i].unit);
      ask_answer_text (a, text);
    }
}

static void
add_service_limits (struct ask_answer *a, const struct conf *c,
                    const struct conf_service *s)
{
  const struct conf_override *o;
  ask_answer_text (a, s->name);
  ask_answer_text (a, "(all trials)");
  add_limit_cells (a, &s->limits, NULL);
  for (size_t i = 0; (o = conf_override_at (c, i)) != NULL; i++)
    {
      if (strcmp (o->service, s->name) != 0)
        continue;
      ask_answer_text (a, s->name);
      ask_answer_text (a, o->organisation);
      add_limit_cells (a, &o->limits, o->is_set);
    }
}

enum status
ask_answer_config (struct ask_answer *a, const struct conf *c)
{
  ask_answer_column (a, "revision", ASK_INTEGER);
  ask_answer_column (a, "services", ASK_INTEGER);
  ask_answer_column (a, "paying", ASK_INTEGER);
  ask_answer_column (a, "trials", ASK_INTEGER);
  ask_answer_integer (a, (int64_t)conf_revision (c));
  ask_answer_integer (a, (int64_t)count_services (c));
  ask_answer_integer (a, (int64_t)count_kind (c, CONF_PAYING));
  ask_answer_integer (a, (int64_t)count_kind (c, CONF_TRIAL));
  ask_answer_note (a, "An organisation that is not listed is a trial.");
  return STATUS_OK;
}

enum status
ask_answer_limits (struct ask_answer *a, const struct conf *c,
                   const struct ask_query *q)
{
  const struct conf_service *s;
  if (q->service[0] != '\0' && conf_find_service (c, q->service) == NULL)
    {
      findings_add (ask_answer_findings (a), 1,
                    q->column[ASK_ARGUMENT_SERVICE], "",
                    "there is no service %s", q->service);
      return STATUS_NOT_FOUND;
    }
  add_limit_columns (a);
  for (size_t i = 0; (s = conf_service_at (c, i)) != NULL; i++)
    if (q->service[0] == '\0' || strcmp (s->name, q->service) == 0)
      add_service_limits (a, c, s);
  return STATUS_OK;
}

enum status
ask_answer_organisations (struct ask_answer *a, const struct conf *c)
{
  const struct conf_organisation *o;
  ask_answer_column (a, "organisation", ASK_TEXT);
  ask_answer_column (a, "kind", ASK_TEXT);
  for (size_t i = 0; (o = conf_organisation_at (c, i)) != NULL; i++)
    {
      ask_answer_text (a, o->name);
      ask_answer_text (a, conf_kind_name (o->kind));
    }
  ask_answer_note (a, "An organisation that is not listed is a trial.");
  return STATUS_OK;
}

/* The last entry of the audit that evacuated ZONE, or NULL.  */
static const struct conf_audit_entry *
find_evacuation (const struct conf *c, const char *zone)
{
  const struct conf_audit_entry *found = NULL;
  const struct conf_audit_entry *entry;
  for (size_t i = 0; (entry = conf_audit_at (c, i)) != NULL; i++)
    if (entry->action == CONF_EVACUATE_ZONE && strcmp (entry->zone, zone) == 0)
      found = entry;
  return found;
}

static void
add_zone_row (struct ask_answer *a, const struct conf *c, const char *zone)
{
  char timestamp[TIMESTAMP_BYTES];
  bool evacuated = conf_zone_is_evacuated (c, zone);
  const struct conf_audit_entry *entry
      = evacuated ? find_evacuation (c, zone) : NULL;
  ask_answer_text (a, zone);
  ask_answer_text (a, evacuated ? "evacuated" : "in service");
  if (entry == NULL)
    {
      ask_answer_null (a);
      ask_answer_null (a);
    }
  else
    {
      format_timestamp (entry->wall_ms, timestamp);
      ask_answer_text (a, timestamp);
      ask_answer_text (a, entry->who);
    }
  if (entry == NULL || entry->why[0] == '\0')
    ask_answer_null (a);
  else
    ask_answer_text (a, entry->why);
}

enum status
ask_answer_zones (struct ask_answer *a, const struct conf *c,
                  const char *const *zones)
{
  const struct conf_zone *z;
  ask_answer_column (a, "zone", ASK_TEXT);
  ask_answer_column (a, "state", ASK_TEXT);
  ask_answer_column (a, "since", ASK_TEXT);
  ask_answer_column (a, "who", ASK_TEXT);
  ask_answer_column (a, "why", ASK_TEXT);
  for (size_t i = 0; zones[i] != NULL; i++)
    if (!conf_zone_is_evacuated (c, zones[i]))
      add_zone_row (a, c, zones[i]);
  for (size_t i = 0; (z = conf_evacuated_zone_at (c, i)) != NULL; i++)
    add_zone_row (a, c, z->name);
  return STATUS_OK;
}

enum status
ask_answer_history (struct ask_answer *a, const struct conf *c)
{
  char timestamp[TIMESTAMP_BYTES];
  const struct conf_audit_entry *entry;
  ask_answer_column (a, "revision", ASK_INTEGER);
  ask_answer_column (a, "when", ASK_TEXT);
  ask_answer_column (a, "who", ASK_TEXT);
  ask_answer_column (a, "why", ASK_TEXT);
  ask_answer_column (a, "command", ASK_TEXT);
  for (size_t i = 0; (entry = conf_audit_at (c, i)) != NULL; i++)
    {
      format_timestamp (entry->wall_ms, timestamp);
      ask_answer_integer (a, (int64_t)entry->revision);
      ask_answer_text (a, timestamp);
      ask_answer_text (a, entry->who);
      if (entry->why[0] == '\0')
        ask_answer_null (a);
      else
        ask_answer_text (a, entry->why);
      ask_answer_text (a, entry->text);
    }
  return STATUS_OK;
}

enum status
ask_answer_change (struct ask_answer *a, const struct conf *before,
                   const struct conf *after, bool dry_run)
{
  char *diff = conf_diff (before, after);
  char **lines = g_strsplit (diff, "\n", -1);
  ask_answer_column (a, "change", ASK_TEXT);
  for (char **line = lines; *line != NULL; line++)
    if (**line != '\0')
      ask_answer_text (a, *line);
  if (diff[0] == '\0')
    ask_answer_note (a, "Nothing to change at revision %" PRIu64 ".",
                     conf_revision (before));
  else
    ask_answer_note (a, "%s revision %" PRIu64 ".",
                     dry_run ? "Would be" : "Accepted as",
                     conf_revision (after));
  g_strfreev (lines);
  free (diff);
  return STATUS_OK;
}
