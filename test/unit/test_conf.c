/* Tests of the operators' configuration: scripted tests of commands, conflicts
   and tails (test/conf/apply.txt) and of strict JSON parsing
   (test/conf/json.txt), and tests of the size limits.  */

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
  /* 2026-03-02T08:00:00Z; the time of each command is one minute later than
     that of the command before.  */
  FIRST_WALL_S = 1772438400,
  MS_PER_S = 1000,
  MS_PER_MINUTE = 60000
};

/* CURRENT is in force.  BASE is an earlier configuration, read by a concurrent
   operator.  */
struct fixture
{
  struct conf *current;
  struct conf *base;
  uint64_t change_id;
};

static void
append_findings (GString *out, struct findings *f)
{
  for (size_t i = 0; i < findings_count (f); i++)
    {
      const struct finding *finding = findings_get (f, i);
      g_string_append_printf (
          out, "%u: %s%s%s\n", finding->column, finding->key,
          finding->key[0] == '\0' ? "" : ": ", finding->problem);
    }
}

static bool
parse_command (struct fixture *fx, const char *input,
               struct conf_command *command, struct findings *f)
{
  struct ask_query q;
  int64_t wall_ms = (int64_t)FIRST_WALL_S * MS_PER_S
                    + (int64_t)fx->change_id * MS_PER_MINUTE;
  if (ask_parse (&q, input, strlen (input), 1, f) != STATUS_OK)
    return false;
  return ask_to_command (&q, fx->change_id, wall_ms, command);
}

static void
set_current (struct fixture *fx, struct conf *next, GString *out)
{
  char *diff = conf_diff (fx->current, next);
  g_string_append_printf (out, "revision %" PRIu64 "\n%s",
                          conf_revision (next), diff);
  free (diff);
  conf_unref (fx->current);
  fx->current = next;
}

/* Apply the command INPUT to the current configuration; if IS_CONCURRENT, as a
   command that was made for BASE.  */
static void
apply_line (struct fixture *fx, const char *input, bool is_concurrent,
            GString *out)
{
  struct findings *f = findings_new ("line");
  struct conf_command command;
  struct conf *next = NULL;
  enum status s = STATUS_INVALID;
  if (parse_command (fx, input, &command, f))
    s = is_concurrent
            ? conf_reapply (fx->base, fx->current, &command, f, &next)
            : conf_apply (fx->current, &command, f, &next);
  g_string_append_printf (out, "%s ", status_text (s));
  if (next != NULL)
    set_current (fx, next, out);
  else
    g_string_append_c (out, '\n');
  append_findings (out, f);
  findings_free (f);
}

static void
append_limits (struct fixture *fx, const char *service,
               const char *organisation, GString *out)
{
  struct conf_limits limits
      = conf_effective_limits (fx->current, service, organisation);
  for (int i = 0; i < CONF_LIMIT_COUNT; i++)
    g_string_append_printf (out, "%s%u%s", i == 0 ? "" : " ", limits.value[i],
                            conf_limits_schema[i].unit);
  g_string_append_printf (
      out, " %s\n",
      conf_kind_name (conf_organisation_kind (fx->current, organisation)));
}

/* Whether the JSON form of C parses to a configuration with the same JSON.  */
static bool
json_round_trips (const struct conf *c)
{
  struct findings *f = findings_new ("json");
  char *original = conf_to_json (c);
  struct conf *read = conf_from_json (original, strlen (original), f);
  bool same = false;
  if (read != NULL)
    {
      char *reparsed = conf_to_json (read);
      same = strcmp (original, reparsed) == 0
             && conf_revision (read) == conf_revision (c);
      free (reparsed);
    }
  conf_unref (read);
  findings_free (f);
  free (original);
  return same;
}

static void
append_answer (struct fixture *fx, const char *answer_name, GString *out)
{
  struct ask_query q = { 0 };
  struct ask_answer *a = ask_answer_new ();
  if (strcmp (answer_name, "config") == 0)
    ask_answer_config (a, fx->current);
  else if (strcmp (answer_name, "limits") == 0)
    ask_answer_limits (a, fx->current, &q);
  else if (strcmp (answer_name, "organisations") == 0)
    ask_answer_organisations (a, fx->current);
  else if (strcmp (answer_name, "zones") == 0)
    ask_answer_zones (a, fx->current,
                      (const char *const[]){ "east", "north", NULL });
  else if (strcmp (answer_name, "change") == 0)
    ask_answer_change (a, fx->base, fx->current, true);
  else
    ask_answer_history (a, fx->current);
  char *text = ask_answer_to_text (a);
  g_string_append (out, text);
  free (text);
  ask_answer_free (a);
}

/* Apply the tail of the current configuration to BASE.  If HAS_DIVERGED,
   another command is applied to BASE first.  */
static void
apply_tail (struct fixture *fx, bool has_diverged, GString *out)
{
  struct findings *f = findings_new ("tail");
  struct conf_command command
      = { .action = CONF_CREATE_SERVICE, .service = "spoilt" };
  struct conf *start = conf_ref (fx->base);
  struct conf *next = NULL;
  if (has_diverged)
    {
      conf_unref (start);
      conf_apply (fx->base, &command, f, &start);
    }
  char *tail = conf_tail_to_json (fx->current, conf_revision (fx->base));
  enum status s = STATUS_NOT_FOUND;
  if (tail != NULL)
    s = conf_apply_tail (start, tail, strlen (tail), f, &next);
  g_string_append_printf (out, "%s", status_text (s));
  if (next != NULL)
    {
      char *applied = conf_to_json (next);
      char *expected = conf_to_json (fx->current);
      g_string_append_printf (
          out, ", revision %" PRIu64 "%s", conf_revision (next),
          strcmp (applied, expected) == 0 ? "" : " differs");
      free (applied);
      free (expected);
    }
  g_string_append_c (out, '\n');
  free (tail);
  conf_unref (start);
  conf_unref (next);
  findings_free (f);
}

/* Apply INPUT as a tail to the current configuration.  */
static void
read_tail (struct fixture *fx, const char *input, GString *out)
{
  struct findings *f = findings_new ("tail");
  struct conf *next = NULL;
  enum status s
      = conf_apply_tail (fx->current, input, strlen (input), f, &next);
  g_string_append_printf (out, "%s\n", status_text (s));
  append_findings (out, f);
  conf_unref (next);
  findings_free (f);
}

/* Inputs other than commands:
   keep                keep the current configuration as BASE
   race COMMAND        apply a command that was made for BASE
   again COMMAND       apply a command with the change id of the last one
   offer               replace the current configuration by BASE if it is newer
   limits of S O       show the effective limits of organisation O in service S
   show ANSWER         show an operator's answer
   json                show the JSON form and parse it again
   tail, spoilt tail   apply the tail to BASE, or to BASE after another command
   read TAIL           apply TAIL to the current configuration  */
static void
conf_block (void *arg, const char *input, GString *out)
{
  struct fixture *fx = (struct fixture *)arg;
  char **words = g_strsplit (input, " ", -1);
  if (strcmp (input, "keep") == 0)
    {
      conf_unref (fx->base);
      fx->base = conf_ref (fx->current);
    }
  else if (g_str_has_prefix (input, "race "))
    {
      fx->change_id++;
      apply_line (fx, input + strlen ("race "), true, out);
    }
  else if (g_str_has_prefix (input, "again "))
    apply_line (fx, input + strlen ("again "), true, out);
  else if (strcmp (input, "offer") == 0)
    g_string_append_printf (out, "%s, revision %" PRIu64 "\n",
                            status_text (conf_replace_if_newer (
                                &fx->current, conf_ref (fx->base))),
                            conf_revision (fx->current));
  else if (g_str_has_prefix (input, "limits of "))
    append_limits (fx, words[2], words[3], out);
  else if (g_str_has_prefix (input, "show "))
    append_answer (fx, words[1], out);
  else if (strcmp (input, "tail") == 0 || strcmp (input, "spoilt tail") == 0)
    apply_tail (fx, input[0] == 's', out);
  else if (g_str_has_prefix (input, "read "))
    read_tail (fx, input + strlen ("read "), out);
  else if (strcmp (input, "json") == 0)
    {
      char *json = conf_to_json (fx->current);
      g_string_append_printf (out, "%s\n%s\n", json,
                              json_round_trips (fx->current) ? "same"
                                                             : "differs");
      free (json);
    }
  else
    {
      fx->change_id++;
      apply_line (fx, input, false, out);
    }
  g_strfreev (words);
}

static void
commands_change_the_configuration (void **state)
{
  struct fixture fx = { conf_new (), conf_new (), 0 };
  unsigned differences;
  unsigned inputs;
  (void)state;
  blocks_run ("test/conf/apply.txt", conf_block, &fx, &differences, &inputs);
  conf_unref (fx.current);
  conf_unref (fx.base);
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

/* Apply COMMAND to *C; false if it was rejected.  */
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

/* Make a name of the maximum length that ends with I.  */
static void
longest_name (char name[CONF_NAME_BYTES], unsigned i)
{
  snprintf (name, CONF_NAME_BYTES, "%.*s%05u", CONF_NAME_BYTES - 6,
            "nnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnn",
            i);
}

/* Fill the texts for the audit with values of the maximum length in JSON.  */
static void
fill_audit_texts (struct conf_command *command)
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
  fill_audit_texts (&command);
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
  command.action = CONF_EVACUATE_ZONE;
  for (unsigned i = 0; i < CONF_ZONES_MAX; i++)
    {
      longest_name (command.zone, i);
      assert_true (apply (&c, &command));
    }
  longest_name (command.zone, CONF_ZONES_MAX);
  assert_false (apply (&c, &command));
  char *json = conf_to_json (c);
  assert_true (strlen (json) <= CONF_JSON_BYTES_MAX);
  free (json);
  assert_true (json_round_trips (c));
  conf_unref (c);
}

/* Fifty operators read the same revision and write in turn, each to the newest
   configuration: each command makes the next revision, and none is lost.  */
static void
concurrent_commands_are_all_accepted (void **state)
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
  /* One command more than the audit holds.  */
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
    cmocka_unit_test (concurrent_commands_are_all_accepted),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
