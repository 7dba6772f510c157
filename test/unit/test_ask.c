/* Scripted tests of the operator language: test/ask/parse.txt for the parser,
   test/ask/render.txt for tables, and every example of docs/OPERATORS.md.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "ask/answer.h"
#include "ask/lex.h"
#include "ask/run.h"
#include "lib/blocks.h"

static void
append_text_argument (GString *out, const char *name, const char *text)
{
  if (text[0] == '\0')
    return;
  char *shown = ask_escape (text);
  g_string_append_printf (out, " %s=%s", name, shown);
  g_free (shown);
}

static void
append_numbers (GString *out, const struct ask_query *q)
{
  if (q->column[ASK_ARGUMENT_KIND] != 0)
    g_string_append_printf (out, " kind=%s",
                            conf_kind_name (q->organisation_kind));
  if (q->column[ASK_ARGUMENT_VALUE] != 0)
    g_string_append_printf (out, " %s=%u", conf_limits_schema[q->limit].word,
                            q->value);
  if (q->column[ASK_ARGUMENT_SLOTS] != 0)
    g_string_append_printf (out, " slots=%u-%u", q->slot_first, q->slot_last);
  if (q->kind == ASK_REFUSED)
    g_string_append_printf (out, " group=%s window=%u",
                            ask_group_name (q->group), q->window_s);
}

static void
append_query (GString *out, const struct ask_query *q)
{
  g_string_append_printf (out, "%s%s", ask_entries[q->kind].name,
                          q->dry_run ? " dry-run" : "");
  append_text_argument (out, "key", q->key);
  append_text_argument (out, "service", q->service);
  append_text_argument (out, "organisation", q->organisation);
  append_text_argument (out, "node", q->node);
  append_text_argument (out, "zone", q->zone);
  append_text_argument (out, "forced", q->forced ? "yes" : "");
  append_numbers (out, q);
  append_text_argument (out, "because", q->why);
  append_text_argument (out, "by", q->who);
  g_string_append_c (out, '\n');
}

static void
parse_block (void *arg, const char *input, GString *out)
{
  struct ask_query q;
  struct findings *f = findings_new ("line");
  (void)arg;
  enum status s = ask_parse (&q, input, strlen (input), 1, f);
  if (s == STATUS_OK)
    append_query (out, &q);
  else if (s == STATUS_EMPTY)
    g_string_append (out, "(empty)\n");
  for (size_t i = 0; i < findings_count (f); i++)
    g_string_append_printf (out, "%u: %s\n", findings_get (f, i)->column,
                            findings_get (f, i)->problem);
  findings_free (f);
}

static void
lines_are_parsed (void **state)
{
  unsigned differences;
  unsigned inputs;
  (void)state;
  blocks_run ("test/ask/parse.txt", parse_block, NULL, &differences, &inputs);
  assert_int_equal (differences, 0);
  assert_true (inputs > 0);
}

/* Add a cell with the value TEXT; "-" is a cell without a value.  */
static void
add_cell (struct ask_answer *a, enum ask_column_type type, const char *text)
{
  if (strcmp (text, "-") == 0)
    ask_answer_null (a);
  else if (type == ASK_INTEGER)
    ask_answer_integer (a, strtoll (text, NULL, 10));
  else if (type == ASK_DECIMAL)
    ask_answer_decimal (a, strtod (text, NULL));
  else if (type == ASK_FLAG)
    ask_answer_flag (a, strcmp (text, "yes") == 0);
  else
    {
      char *raw = g_strcompress (text);
      ask_answer_text (a, raw);
      g_free (raw);
    }
}

static enum ask_column_type
add_column (struct ask_answer *a, const char *text)
{
  static const char *const types[] = { "text", "integer", "decimal", "flag" };
  char **parts = g_strsplit (text, ":", 2);
  enum ask_column_type type = ASK_TEXT;
  for (int i = 0; i < 4; i++)
    if (strcmp (parts[1], types[i]) == 0)
      type = (enum ask_column_type)i;
  ask_answer_column (a, parts[0], type);
  g_strfreev (parts);
  return type;
}

/* INPUT is "NAME:TYPE ... | CELL ... | ... ! NOTE".  */
static void
render_block (void *arg, const char *input, GString *out)
{
  enum ask_column_type types[16] = { ASK_TEXT };
  struct ask_answer *a = ask_answer_new ();
  char **halves = g_strsplit (input, " ! ", 2);
  char **rows = g_strsplit (halves[0], " | ", -1);
  (void)arg;
  for (unsigned row = 0; rows[row] != NULL; row++)
    {
      char **cells = g_strsplit (rows[row], " ", -1);
      for (unsigned i = 0; cells[i] != NULL; i++)
        if (row == 0)
          types[i] = add_column (a, cells[i]);
        else
          add_cell (a, types[i], cells[i]);
      g_strfreev (cells);
    }
  if (halves[1] != NULL)
    ask_answer_note (a, "%s", halves[1]);
  char *text = ask_answer_to_text (a);
  char *json = ask_answer_to_json (a);
  g_string_append_printf (out, "%s%s\n", text, json);
  free (text);
  free (json);
  ask_answer_free (a);
  g_strfreev (rows);
  g_strfreev (halves);
}

static void
tables_are_rendered (void **state)
{
  unsigned differences;
  unsigned inputs;
  (void)state;
  blocks_run ("test/ask/render.txt", render_block, NULL, &differences,
              &inputs);
  assert_int_equal (differences, 0);
  assert_true (inputs > 0);
}

/* Methods of a node that fail with different statuses.  */
static enum status
fake_store (struct ask_node *node, const struct ask_query *q,
            struct ask_answer *answer)
{
  (void)node;
  (void)q;
  (void)answer;
  return status_set (STATUS_TIMEOUT, "the store does not answer");
}

static enum status
fake_drain (struct ask_node *node, const struct ask_query *q,
            struct ask_answer *answer)
{
  (void)node;
  findings_add (ask_answer_findings (answer), 1, q->column[ASK_ARGUMENT_NODE],
                "", "%s by %s", q->node, q->who);
  return STATUS_CONFLICT;
}

static const struct ask_node_ops fake_ops
    = { .store = fake_store, .drain = fake_drain };

static void
run_block (void *arg, const char *input, GString *out)
{
  struct ask_node node = { &fake_ops };
  bool json = strncmp (input, "json ", 5) == 0;
  const char *line = json ? input + 5 : input;
  struct ask_request request = { line, strlen (line), "ann", json };
  struct ask_reply reply;
  (void)arg;
  ask_run (&node, &request, &reply);
  g_string_append_printf (out, "%u %s\n%s%s", reply.status, reply.content_type,
                          reply.body, json ? "\n" : "");
  free (reply.body);
}

static void
lines_are_answered (void **state)
{
  unsigned differences;
  unsigned inputs;
  (void)state;
  blocks_run ("test/ask/run.txt", run_block, NULL, &differences, &inputs);
  assert_int_equal (differences, 0);
  assert_true (inputs > 0);
}

/* The examples are the indented lines of the page that begin with "> ".  */
static void
examples_are_understood (void **state)
{
  char *page = NULL;
  unsigned seen[ASK_KIND_COUNT] = { 0 };
  struct findings *f = findings_new ("docs/OPERATORS.md");
  (void)state;
  assert_true (g_file_get_contents ("docs/OPERATORS.md", &page, NULL, NULL));
  char **lines = g_strsplit (page, "\n", -1);
  for (unsigned i = 0; lines[i] != NULL; i++)
    {
      struct ask_query q;
      if (strncmp (lines[i], "    > ", 6) == 0
          && ask_parse (&q, lines[i] + 6, strlen (lines[i] + 6), i + 1, f)
                 == STATUS_OK)
        seen[q.kind]++;
    }
  char *problems = findings_format (f);
  assert_string_equal (problems, "");
  for (int kind = 0; kind < ASK_KIND_COUNT; kind++)
    if (seen[kind] == 0)
      fail_msg ("no example of %s", ask_entries[kind].pattern);
  free (problems);
  findings_free (f);
  g_strfreev (lines);
  g_free (page);
}

/* Whether the grammar in PAGE has an alternative that is exactly PATTERN.  */
static bool
has_pattern (const char *page, const char *pattern)
{
  char *alternative = g_strdup_printf ("| %s\n", pattern);
  char *first = g_strdup_printf ("= %s\n", pattern);
  bool found
      = strstr (page, alternative) != NULL || strstr (page, first) != NULL;
  g_free (alternative);
  g_free (first);
  return found;
}

static void
grammar_is_documented (void **state)
{
  char *page = NULL;
  (void)state;
  assert_true (g_file_get_contents ("docs/OPERATORS.md", &page, NULL, NULL));
  for (int kind = 0; kind < ASK_KIND_COUNT; kind++)
    if (!has_pattern (page, ask_entries[kind].pattern))
      fail_msg ("the grammar lacks %s", ask_entries[kind].pattern);
  for (int i = 0; i < CONF_LIMIT_COUNT; i++)
    {
      const struct conf_limit_definition *l = &conf_limits_schema[i];
      char *row = g_strdup_printf ("| %s | %u%s | %s |\n", l->word, l->initial,
                                   l->unit, l->help);
      if (strstr (page, row) == NULL)
        fail_msg ("the limits lack %s", row);
      g_free (row);
    }
  g_free (page);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (lines_are_parsed),
    cmocka_unit_test (tables_are_rendered),
    cmocka_unit_test (lines_are_answered),
    cmocka_unit_test (examples_are_understood),
    cmocka_unit_test (grammar_is_documented),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
