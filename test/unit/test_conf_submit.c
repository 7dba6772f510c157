/* Scripted tests (test/conf/submit.txt) of the submission of commands to a
   store that loses responses, fails and has concurrent writers.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "ask/run.h"
#include "base/clock.h"
#include "conf/submit.h"
#include "lib/blocks.h"

enum
{
  MORE_THAN_AUDIT = CONF_AUDIT_MAX + 1,
  CALL_MS = 10,
  TIMEOUT_MS = 2000
};

/* A fake store with one key.  PLAN has a letter for each coming call:
   g  read
   G  read that times out
   B  read that finds the store empty
   M  read after more commands of other operators than the audit holds
   s  write
   A  write that takes effect; its response is lost
   D  write that is lost
   L  write that takes effect late, before the next write; its response is lost
   U  write that fails because the store is unavailable
   R  write after a command of another operator: the next of RIVALS, or a
      generated one if there is none
   Calls after the end of PLAN succeed.  CALLS records the letters.  */
struct fake
{
  struct store store;
  char *value;
  int64_t revision;
  char *late_value;
  int64_t late_expected;
  char *plan;
  size_t plan_position;
  GQueue rivals;
  unsigned rival_count;
  int64_t now_ns;
  uint64_t change_id;
  struct conf *in_force;
  GString *calls;
};

static char
next_plan_step (struct fake *fake, char normal)
{
  char step = '\0';
  if (fake->plan != NULL)
    step = fake->plan[fake->plan_position];
  fake->now_ns += CALL_MS * NS_PER_MS;
  if (step == '\0')
    step = normal;
  else
    fake->plan_position++;
  g_string_append_c (fake->calls, step);
  return step;
}

static void
write_value (struct fake *fake, const char *data, size_t length)
{
  g_free (fake->value);
  fake->value = g_strndup (data, length);
  fake->revision++;
}

static struct conf *
stored_conf (struct fake *fake)
{
  struct findings *problems = findings_new ("store");
  struct conf *c
      = fake->value == NULL
            ? conf_new ()
            : conf_from_json (fake->value, strlen (fake->value), problems);
  findings_free (problems);
  return c;
}

static void
parse_command (struct fake *fake, const char *line,
               struct conf_command *command)
{
  struct ask_query q;
  struct findings *problems = findings_new ("line");
  assert_int_equal (ask_parse (&q, line, strlen (line), 1, problems),
                    STATUS_OK);
  assert_true (ask_to_command (&q, ++fake->change_id, 0, command));
  findings_free (problems);
}

/* Write the next command of another operator.  */
static void
write_rival (struct fake *fake)
{
  char *line = (char *)g_queue_pop_head (&fake->rivals);
  if (line == NULL)
    line = g_strdup_printf ("mark organisation rival-%u paying",
                            ++fake->rival_count);
  struct findings *problems = findings_new ("line");
  struct conf_command command;
  struct conf *next = NULL;
  struct conf *c = stored_conf (fake);
  parse_command (fake, line, &command);
  assert_int_equal (conf_apply (c, &command, problems, &next), STATUS_OK);
  char *json = conf_to_json (next);
  write_value (fake, json, strlen (json));
  free (json);
  conf_unref (c);
  conf_unref (next);
  findings_free (problems);
  g_free (line);
}

static enum status
fake_get (struct store *st, const char *key, struct store_value *value)
{
  struct fake *fake = (struct fake *)st;
  (void)key;
  char step = next_plan_step (fake, 'g');
  if (step == 'G')
    return STATUS_TIMEOUT;
  for (int i = 0; step == 'M' && i < MORE_THAN_AUDIT; i++)
    write_rival (fake);
  if (fake->value == NULL || step == 'B')
    return STATUS_NOT_FOUND;
  value->data = strdup (fake->value);
  value->length = strlen (fake->value);
  value->revision = fake->revision;
  return STATUS_OK;
}

static void
write_late (struct fake *fake)
{
  if (fake->late_value != NULL && fake->late_expected == fake->revision)
    write_value (fake, fake->late_value, strlen (fake->late_value));
  g_free (fake->late_value);
  fake->late_value = NULL;
}

static enum status
fake_swap (struct store *st, const char *key, int64_t expected,
           const char *data, size_t length, int64_t lease, int64_t *revision)
{
  struct fake *fake = (struct fake *)st;
  (void)key;
  (void)lease;
  char step = next_plan_step (fake, 's');
  write_late (fake);
  if (step == 'R')
    write_rival (fake);
  if (step == 'L')
    {
      fake->late_value = g_strndup (data, length);
      fake->late_expected = expected;
    }
  if (step == 'D' || step == 'L')
    return STATUS_IN_DOUBT;
  if (step == 'U')
    return STATUS_UNAVAILABLE;
  if (expected != fake->revision)
    return STATUS_CONFLICT;
  write_value (fake, data, length);
  *revision = fake->revision;
  return step == 'A' ? STATUS_IN_DOUBT : STATUS_OK;
}

static int64_t
fake_now_ns (void *arg)
{
  return ((struct fake *)arg)->now_ns;
}

static void
fake_pause (void *arg, int64_t ns)
{
  ((struct fake *)arg)->now_ns += ns;
}

static const struct store_ops fake_ops
    = { .get = fake_get, .swap = fake_swap };

static void
append_findings (GString *out, struct findings *findings)
{
  for (size_t i = 0; i < findings_count (findings); i++)
    g_string_append_printf (out, "%u: %s\n",
                            findings_get (findings, i)->column,
                            findings_get (findings, i)->problem);
}

static void
submit_line (struct fake *fake, const char *line, GString *out)
{
  struct conf_submit_env env
      = { .store = &fake->store,
          .key = "/config",
          .in_force = fake->in_force,
          .deadline_ns = fake->now_ns + TIMEOUT_MS * NS_PER_MS,
          .now_ns = fake_now_ns,
          .pause = fake_pause,
          .arg = fake };
  struct findings *findings = findings_new ("line");
  struct conf_submit_result result;
  struct conf_command command;
  parse_command (fake, line, &command);
  g_string_truncate (fake->calls, 0);
  enum status s = conf_submit (&env, &command, findings, &result);
  g_string_append_printf (out, "%s after %s", status_text (s),
                          fake->calls->str);
  if (s == STATUS_OK)
    {
      char *diff = conf_diff (result.before, result.after);
      g_string_append_printf (out, ", revision %" PRIu64 " of %" PRIu64 "\n%s",
                              result.revision, conf_revision (result.newest),
                              diff);
      free (diff);
    }
  else
    g_string_append_c (out, '\n');
  append_findings (out, findings);
  conf_submit_result_clear (&result);
  findings_free (findings);
}

static void
submit_block (void *arg, const char *input, GString *out)
{
  struct fake *fake = (struct fake *)arg;
  if (g_str_has_prefix (input, "plan "))
    {
      g_free (fake->plan);
      fake->plan = g_strdup (input + strlen ("plan "));
      fake->plan_position = 0;
    }
  else if (g_str_has_prefix (input, "rival "))
    g_queue_push_tail (&fake->rivals, g_strdup (input + strlen ("rival ")));
  else if (strcmp (input, "in force") == 0)
    {
      conf_unref (fake->in_force);
      fake->in_force = stored_conf (fake);
    }
  else if (g_str_has_prefix (input, "store "))
    write_value (fake, input + strlen ("store "), strlen (input) - 6);
  else
    submit_line (fake, input, out);
}

static void
commands_reach_the_store (void **state)
{
  struct fake fake = { .store = { &fake_ops }, .calls = g_string_new (NULL) };
  unsigned differences;
  unsigned inputs;
  (void)state;
  g_queue_init (&fake.rivals);
  blocks_run ("test/conf/submit.txt", submit_block, &fake, &differences,
              &inputs);
  conf_unref (fake.in_force);
  g_string_free (fake.calls, TRUE);
  g_free (fake.value);
  g_free (fake.late_value);
  g_free (fake.plan);
  assert_true (g_queue_is_empty (&fake.rivals));
  assert_int_equal (differences, 0);
  assert_true (inputs > 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (commands_reach_the_store),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
