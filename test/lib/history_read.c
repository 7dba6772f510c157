/* Parser of journal and log lines.  */

#include "lib/history_data.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum
{
  EVENT_BYTES = 64
};

static const char *
member_text (const json_t *in, const char *member)
{
  const char *value = json_string_value (json_object_get (in, member));
  return g_intern_string (value == NULL ? "" : value);
}

static int64_t
member_integer (const json_t *in, const char *member)
{
  return json_integer_value (json_object_get (in, member));
}

/* "SERVICE/KEY" from a path /v1/SERVICE/KEY[/REST][?QUERY].  */
static const char *
key_from_path (const char *path)
{
  static const char prefix[] = "/v1/";
  if (strncmp (path, prefix, sizeof prefix - 1) != 0)
    return g_intern_string (path);
  const char *service = path + sizeof prefix - 1;
  const char *key = service + strcspn (service, "/?");
  if (*key == '/')
    key++;
  size_t length = (size_t)(key - service) + strcspn (key, "/?");
  char *copy = g_strndup (service, length);
  const char *interned = g_intern_string (copy);
  g_free (copy);
  return interned;
}

static const char *
slot_name_of (const char *key, int64_t slot)
{
  int service = (int)strcspn (key, "/");
  char *name = g_strdup_printf ("%.*s slot %ld", service, key, (long)slot);
  const char *interned = g_intern_string (name);
  g_free (name);
  return interned;
}

/* The token in the query of PATH, or NULL.  */
static const char *
token_from_path (const char *path)
{
  static const char mark[] = "token=";
  const char *at = strchr (path, '?');
  at = at == NULL ? NULL : strstr (at, mark);
  if (at == NULL)
    return NULL;
  at += sizeof mark - 1;
  char *copy = g_strndup (at, strcspn (at, "&"));
  const char *interned = g_intern_string (copy);
  g_free (copy);
  return interned;
}

static const char *
run_name (const char *target, const char *id)
{
  char *name = g_strdup_printf ("%s %s", target, id);
  const char *interned = g_intern_string (name);
  g_free (name);
  return interned;
}

static void
update_last_ns (struct history *h, const char *target, int64_t ns)
{
  int64_t *last = g_hash_table_lookup (h->last_ns_by_target, target);
  if (last == NULL)
    {
      last = g_new0 (int64_t, 1);
      g_hash_table_insert (h->last_ns_by_target, (gpointer)target, last);
    }
  if (ns > *last)
    *last = ns;
}

static void
read_begin (struct history *h, struct history_location location,
            const json_t *in)
{
  const char *path = member_text (in, "path");
  const char *method = member_text (in, "method");
  struct history_run run = { .location = location };
  run.target = member_text (in, "target");
  run.id = member_text (in, "id");
  run.token = token_from_path (path);
  run.key = key_from_path (path);
  run.slot_name = slot_name_of (run.key, member_integer (in, "slot"));
  run.epoch = member_integer (in, "epoch");
  run.begin_ns = member_integer (in, "ns");
  run.end_ns = -1;
  run.safe_method
      = strcmp (method, "GET") == 0 || strcmp (method, "HEAD") == 0;
  g_array_append_val (h->runs, run);
  g_hash_table_insert (h->unended_runs,
                       (gpointer)run_name (run.target, run.id),
                       GUINT_TO_POINTER (h->runs->len));
}

static void
read_end (struct history *h, const json_t *in)
{
  const char *name
      = run_name (member_text (in, "target"), member_text (in, "id"));
  guint index = GPOINTER_TO_UINT (g_hash_table_lookup (h->unended_runs, name));
  if (index == 0)
    return;
  g_array_index (h->runs, struct history_run, index - 1).end_ns
      = member_integer (in, "ns");
  g_hash_table_remove (h->unended_runs, name);
}

static void
read_answer (struct history *h, struct history_location location,
             const json_t *in)
{
  struct history_answer a = { .location = location };
  a.token = member_text (in, "token");
  a.outcome = member_text (in, "outcome");
  a.target = member_text (in, "target");
  a.request_id = member_text (in, "request_id");
  a.echoed = json_is_true (json_object_get (in, "echoed"));
  a.idempotent = json_is_true (json_object_get (in, "idempotent"));
  g_array_append_val (h->answers, a);
  g_hash_table_insert (h->answers_by_token, (gpointer)a.token,
                       GUINT_TO_POINTER (h->answers->len));
}

static void
read_change (struct history *h, struct history_location location,
             const json_t *in, bool acknowledged)
{
  struct history_change change
      = { location, member_text (in, "what"), member_integer (in, "serial"),
          member_integer (in, "ns"), acknowledged };
  g_array_append_val (h->changes, change);
}

static void
read_json (struct history *h, struct history_location location,
           const char *line)
{
  json_t *in = json_loads (line, 0, NULL);
  const char *event = member_text (in, "event");
  const char *target = member_text (in, "target");
  int64_t ns = member_integer (in, "ns");
  if (ns > 0 && *target != '\0')
    update_last_ns (h, target, ns);
  if (strcmp (event, "begin") == 0)
    read_begin (h, location, in);
  else if (strcmp (event, "end") == 0)
    read_end (h, in);
  else if (strcmp (event, "answer") == 0)
    read_answer (h, location, in);
  else if (strcmp (event, "acknowledged") == 0)
    read_change (h, location, in, true);
  else if (strcmp (event, "observed") == 0)
    read_change (h, location, in, false);
  else if (strcmp (event, "refuse") != 0 && strcmp (event, "send") != 0)
    g_array_append_val (h->malformed, location);
  json_decref (in);
}

/* The number after " NAME=" in LINE, or -1.  */
static int64_t
field_number (const char *line, const char *name)
{
  char *mark = g_strdup_printf (" %s=", name);
  const char *at = strstr (line, mark);
  int64_t number = at == NULL ? -1 : strtoll (at + strlen (mark), NULL, 10);
  g_free (mark);
  return number;
}

static const char *
field_text (const char *line, const char *name)
{
  char *mark = g_strdup_printf (" %s=", name);
  const char *at = strstr (line, mark);
  const char *value = at == NULL ? "" : at + strlen (mark);
  char *copy = g_strndup (value, strcspn (value, " \n"));
  const char *interned = g_intern_string (copy);
  g_free (copy);
  g_free (mark);
  return interned;
}

static void
read_log (struct history *h, struct history_location location,
          const char *line)
{
  char event[EVENT_BYTES];
  char number[EVENT_BYTES];
  if (sscanf (line, "%*s %*s %63[0-9] %63[A-Z_]", number, event) != 2)
    return;
  unsigned process = GPOINTER_TO_UINT (
      g_hash_table_lookup (h->processes_by_log, location.file));
  if (strcmp (event, "STARTED") == 0)
    g_hash_table_insert (h->processes_by_log, (gpointer)location.file,
                         GUINT_TO_POINTER (++process));
  struct history_log_value mark = { location, g_intern_string (event),
                                    field_text (line, "member"), 0, process };
  mark.value = field_number (line, "revision");
  if (mark.value >= 0)
    g_array_append_val (h->revisions, mark);
  mark.value = field_number (line, "incarnation");
  if (strcmp (event, "JOINED") == 0 && mark.value >= 0)
    g_array_append_val (h->joins, mark);
}

void
history_read_line (struct history *h, struct history_location location,
                   const char *line)
{
  if (*line == '{')
    read_json (h, location, line);
  else
    read_log (h, location, line);
}
