/* Scripted tests of the operators' configuration: test/conf/apply.txt for
   commands and races, test/conf/json.txt for the strict reading of JSON; and
   its bounds.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ask/config.h"
#include "ask/run.h"
#include "conf/conf.h"
#include "lib/blocks.h"

enum
{
  /* 2026-03-02T08:00:00Z; each command comes a minute after the last.  */
  FIRST_WALL_S = 1772438400,
  MS_PER_S = 1000,
  MS_PER_MINUTE = 60000
};

/* CURRENT is in force; KEPT is an earlier configuration, of a racing
   operator.  */
struct world
{
  struct conf *current;
  struct conf *kept;
  uint64_t change;
};

static void
append_findings (GString *out, struct findings *f)
{
  for (size_t i = 0; i < findings_count (f); i++)
    {
      const struct finding *one = findings_get (f, i);
      g_string_append_printf (out, "%u: %s%s%s\n", one->column, one->key,
                              one->key[0] == '\0' ? "" : ": ", one->problem);
    }
}

static bool
parse_command (struct world *w, const char *input,
               struct conf_command *command, struct findings *f)
{
  struct ask_query q;
  int64_t wall_ms
      = (int64_t)FIRST_WALL_S * MS_PER_S + (int64_t)w->change * MS_PER_MINUTE;
  if (ask_parse (&q, input, strlen (input), 1, f) != STATUS_OK)
    return false;
  return ask_to_command (&q, w->change, wall_ms, command);
}

static void
take_next (struct world *w, struct conf *next, GString *out)
{
  char *diff = conf_diff (w->current, next);
  g_string_append_printf (out, "revision %" PRIu64 "\n%s",
                          conf_revision (next), diff);
  free (diff);
  conf_unref (w->current);
  w->current = next;
}

/* Apply a line to the current configuration; or, if it RACES, first to the
   one that was kept.  */
static void
apply_line (struct world *w, const char *input, bool races, GString *out)
{
  struct findings *f = findings_new ("line");
  struct conf_command command;
  struct conf *next = NULL;
  enum status s = STATUS_INVALID;
  if (parse_command (w, input, &command, f))
    s = races ? conf_reapply (w->kept, w->current, &command, f, &next)
              : conf_apply (w->current, &command, f, &next);
  g_string_append_printf (out, "%s ", status_text (s));
  if (next != NULL)
    take_next (w, next, out);
  else
    g_string_append_c (out, '\n');
  append_findings (out, f);
  findings_free (f);
}

static void
show_limits (struct world *w, const char *service, const char *organisation,
             GString *out)
{
  struct conf_limits limits
      = conf_effective_limits (w->current, service, organisation);
  for (int i = 0; i < CONF_LIMIT_COUNT; i++)
    g_string_append_printf (out, "%s%u%s", i == 0 ? "" : " ", limits.value[i],
                            conf_limits_schema[i].unit);
  g_string_append_printf (
      out, " %s\n",
      conf_kind_name (conf_organisation_kind (w->current, organisation)));
}

/* Whether the JSON form reads back as the same JSON.  */
static bool
survives_json (const struct conf *c)
{
  struct findings *f = findings_new ("json");
  char *first = conf_to_json (c);
  struct conf *read = conf_from_json (first, strlen (first), f);
  bool same = false;
  if (read != NULL)
    {
      char *second = conf_to_json (read);
      same = strcmp (first, second) == 0
             && conf_revision (read) == conf_revision (c);
      free (second);
    }
  conf_unref (read);
  findings_free (f);
  free (first);
  return same;
}

static void
show_answer (struct world *w, const char *which, GString *out)
{
  struct ask_query q = { 0 };
  struct ask_answer *a = ask_answer_new ();
  if (strcmp (which, "config") == 0)
    ask_answer_config (a, w->current);
  else if (strcmp (which, "limits") == 0)
    ask_answer_limits (a, w->current, &q);
  else if (strcmp (which, "organisations") == 0)
    ask_answer_organisations (a, w->current);
  else if (strcmp (which, "change") == 0)
    ask_answer_change (a, w->kept, w->current, true);
  else
    ask_answer_history (a, w->current);
  char *text = ask_answer_to_text (a);
  g_string_append (out, text);
  free (text);
  ask_answer_free (a);
}

/* Follow the tail of the current configuration from the one that was kept;
   with SPOIL, after another command there.  */
static void
follow_tail (struct world *w, bool spoil, GString *out)
{
  struct findings *f = findings_new ("tail");
  struct conf_command command
      = { .action = CONF_CREATE_SERVICE, .service = "spoilt" };
  struct conf *from = conf_ref (w->kept);
  struct conf *next = NULL;
  if (spoil)
    {
      conf_unref (from);
      conf_apply (w->kept, &command, f, &from);
    }
  char *tail = conf_tail_to_json (w->current, conf_revision (w->kept));
  enum status s = STATUS_NOT_FOUND;
  if (tail != NULL)
    s = conf_apply_tail (from, tail, strlen (tail), f, &next);
  g_string_append_printf (out, "%s", status_text (s));
  if (next != NULL)
    {
      char *followed = conf_to_json (next);
      char *whole = conf_to_json (w->current);
      g_string_append_printf (out, ", revision %" PRIu64 "%s",
                              conf_revision (next),
                              strcmp (followed, whole) == 0 ? "" : " differs");
      free (followed);
      free (whole);
    }
  g_string_append_c (out, '\n');
  free (tail);
  conf_unref (from);
  conf_unref (next);
  findings_free (f);
}

/* Read INPUT as a tail of the current configuration.  */
static void
read_tail (struct world *w, const char *input, GString *out)
{
  struct findings *f = findings_new ("tail");
  struct conf *next = NULL;
  enum status s
      = conf_apply_tail (w->current, input, strlen (input), f, &next);
  g_string_append_printf (out, "%s\n", status_text (s));
  append_findings (out, f);
  conf_unref (next);
  findings_free (f);
}

/* Inputs that are no command: keep, race LINE, again LINE (with the change
   id of the last), offer, limits of S O, show WHAT, json, tail, spoilt tail,
   read TAIL.  */
static void
conf_block (void *arg, const char *input, GString *out)
{
  struct world *w = (struct world *)arg;
  char **words = g_strsplit (input, " ", -1);
  if (strcmp (input, "keep") == 0)
    {
      conf_unref (w->kept);
      w->kept = conf_ref (w->current);
    }
  else if (g_str_has_prefix (input, "race "))
    {
      w->change++;
      apply_line (w, input + strlen ("race "), true, out);
    }
  else if (g_str_has_prefix (input, "again "))
    apply_line (w, input + strlen ("again "), true, out);
  else if (strcmp (input, "offer") == 0)
    g_string_append_printf (
        out, "%s, revision %" PRIu64 "\n",
        status_text (conf_replace_if_newer (&w->current, conf_ref (w->kept))),
        conf_revision (w->current));
  else if (g_str_has_prefix (input, "limits of "))
    show_limits (w, words[2], words[3], out);
  else if (g_str_has_prefix (input, "show "))
    show_answer (w, words[1], out);
  else if (strcmp (input, "tail") == 0 || strcmp (input, "spoilt tail") == 0)
    follow_tail (w, input[0] == 's', out);
  else if (g_str_has_prefix (input, "read "))
    read_tail (w, input + strlen ("read "), out);
  else if (strcmp (input, "json") == 0)
    {
      char *json = conf_to_json (w->current);
      g_string_append_printf (out, "%s\n%s\n", json,
                              survives_json (w->current) ? "same" : "differs");
      free (json);
    }
  else
    {
      w->change++;
      apply_line (w, input, false, out);
    }
  g_strfreev (words);
}

static void
commands_change_the_configuration (void **state)
{
  struct world w = { conf_new (), conf_new (), 0 };
  unsigned differences;
  unsigned inputs;
  (void)state;
  blocks_run ("test/conf/apply.txt", conf_block, &w, &differences, &inputs);
  conf_unref (w.current);
  conf_unref (w.kept);
  assert_int_equal (differences, 0);
  assert_true (inputs > 0);
}

static void
json_block (void *arg, const char *input, GString *out)
{
  struct findings *f = findings_new ("json");
  (void)arg;
  struct conf *c = conf_from_json (input, strlen (input), f);
  if (c != NULL)
    g_string_append_printf (out, "revision %" PRIu64 "\n", conf_revision (c));
  append_findings (out, f);
  findings_free (f);
  conf_unref (c);
}

static void
json_is_read_strictly (void **state)
{
  unsigned differences;
  unsigned inputs;
  (void)state;
  blocks_run ("test/conf/json.txt", json_block, NULL, &differences, &inputs);
  assert_int_equal (differences, 0);
  assert_true (inputs > 0);
}

/* Apply COMMAND and return whether that was accepted.  */
static bool
apply (struct conf **c, const struct conf_command *command)
{
  struct findings *f = findings_new ("line");
  struct conf *next = NULL;
  enum status s = conf_apply (*c, command, f, &next);
  findings_free (f);
  if (s != STATUS_OK)
    return false;
  conf_unref (*c);
  *c = next;
  return true;
}

/* A name of the greatest length that ends in I.  */
static void
longest_name (char name[CONF_NAME_BYTES], unsigned i)
{
  snprintf (name, CONF_NAME_BYTES, "%.*s%05u", CONF_NAME_BYTES - 6,
            "nnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnn",
            i);
}

/* Fill the texts of the record with what is longest in JSON.  */
static void
fill_record (struct conf_command *command)
{
  longest_name (command->who, 0);
  memset (command->why, '"', sizeof command->why - 1);
  memset (command->text, '"', sizeof command->text - 1);
  command->wall_ms = INT64_MAX;
}

static void
full_configuration_fits_the_store (void **state)
{
  struct conf *c = conf_new ();
  struct conf_command command = { .action = CONF_CREATE_SERVICE };
  (void)state;
  fill_record (&command);
  for (unsigned i = 0; i < CONF_SERVICES_MAX; i++)
    {
      longest_name (command.service, i);
      assert_true (apply (&c, &command));
    }
  longest_name (command.service, CONF_SERVICES_MAX);
  assert_false (apply (&c, &command));
  command.action = CONF_MARK_ORGANISATION;
  command.kind = CONF_PAYING;
  for (unsigned i = 0; i < CONF_ORGANISATIONS_MAX; i++)
    {
      longest_name (command.organisation, i);
      assert_true (apply (&c, &command));
    }
  longest_name (command.organisation, CONF_ORGANISATIONS_MAX);
  assert_false (apply (&c, &command));
  command.action = CONF_SET_LIMIT;
  longest_name (command.service, 0);
  for (unsigned i = 0; i < CONF_OVERRIDES_MAX; i++)
    for (unsigned limit = 0; limit < CONF_LIMIT_COUNT; limit++)
      {
        longest_name (command.organisation, i);
        if (!conf_limits_schema[limit].is_per_organisation)
          continue;
        command.limit = (enum conf_limit)limit;
        command.value = conf_limits_schema[limit].high;
        assert_true (apply (&c, &command));
      }
  longest_name (command.organisation, CONF_OVERRIDES_MAX);
  assert_false (apply (&c, &command));
  char *json = conf_to_json (c);
  assert_true (strlen (json) <= CONF_JSON_BYTES_MAX);
  free (json);
  assert_true (survives_json (c));
  conf_unref (c);
}

/* Fifty operators read one revision and write in turn, each on the newest
   configuration: the revisions go up by one, and nothing is lost.  */
static void
racing_commands_all_hold (void **state)
{
  enum
  {
    OPERATORS = 50
  };
  struct conf *base = conf_new ();
  struct conf *current = conf_ref (base);
  struct conf_command command = { .action = CONF_MARK_ORGANISATION };
  struct findings *f = findings_new ("line");
  (void)state;
  command.kind = CONF_PAYING;
  for (unsigned i = 1; i <= OPERATORS; i++)
    {
      struct conf *next = NULL;
      command.change_id = i;
      longest_name (command.organisation, i);
      assert_int_equal (conf_reapply (base, current, &command, f, &next),
                        STATUS_OK);
      assert_int_equal (conf_revision (next), i);
      assert_int_equal (conf_replace_if_newer (&current, next), STATUS_OK);
    }
  for (unsigned i = 1; i <= OPERATORS; i++)
    {
      longest_name (command.organisation, i);
      assert_int_equal (conf_organisation_kind (current, command.organisation),
                        CONF_PAYING);
      assert_non_null (conf_find_change (current, i));
    }
  /* One more than the audit holds.  */
  command.change_id = OPERATORS + 1;
  longest_name (command.organisation, OPERATORS + 1);
  assert_true (apply (&current, &command));
  command.change_id = OPERATORS + 2;
  struct conf *next = NULL;
  assert_int_equal (conf_reapply (base, current, &command, f, &next),
                    STATUS_CONFLICT);
  assert_null (next);
  findings_free (f);
  conf_unref (base);
  conf_unref (current);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (commands_change_the_configuration),
    cmocka_unit_test (json_is_read_strictly),
    cmocka_unit_test (full_configuration_fits_the_store),
    cmocka_unit_test (racing_commands_all_hold),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
