/* The parser of the operator language.

   The parser tries every pattern of queries.def.  If none matches, it reports
   the furthest token that any pattern reached and everything that the patterns
   expected there.  */

#include "ask/lex.h"
#include "ask/query.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROLE_QUERY false
#define ROLE_COMMAND true

enum
{
  ITEM_BYTES = 32,
  EXPECTED_BYTES = 96,
  EXPECTED_MAX = 24,
  DIGITS_MAX = 9,
  DURATION_MAX_S = 86400,
  SECONDS_PER_MINUTE = 60,
  SECONDS_PER_HOUR = 3600
};

const struct ask_entry ask_entries[ASK_KIND_COUNT] = {
#define QUERY(name, method, role, pattern, help)                              \
  { #method, ROLE_##role, pattern, help },
#include "ask/queries.def"
#undef QUERY
};

static const char *const group_names[ASK_GROUP_COUNT]
    = { "reason", "service", "organisation" };

/* The furthest mismatch of all patterns: the index of its token and what the
   patterns expected there.  */
struct failure
{
  size_t furthest;
  size_t count;
  char expected[EXPECTED_MAX][EXPECTED_BYTES];
};

struct matcher
{
  const struct ask_token *tokens;
  size_t pos;
  struct ask_query q;
  struct failure *failure;
};

/* Parse TOKEN and store its value in Q.  Return false if it is not a valid
   argument of this type.  */
typedef bool reader_fn (struct ask_query *q, const struct ask_token *token);

static bool
copy_name (char name[CONF_NAME_BYTES], const struct ask_token *token)
{
  if (!conf_is_valid_name (token->text))
    return false;
  g_strlcpy (name, token->text, CONF_NAME_BYTES);
  return true;
}

static bool
read_key (struct ask_query *q, const struct ask_token *token)
{
  size_t length = strlen (token->text);
  if (length == 0 || length >= sizeof q->key)
    return false;
  memcpy (q->key, token->text, length + 1);
  return true;
}

static bool
read_service (struct ask_query *q, const struct ask_token *token)
{
  return copy_name (q->service, token);
}

static bool
read_organisation (struct ask_query *q, const struct ask_token *token)
{
  return copy_name (q->organisation, token);
}

static bool
read_node (struct ask_query *q, const struct ask_token *token)
{
  return copy_name (q->node, token);
}

static bool
read_zone (struct ask_query *q, const struct ask_token *token)
{
  return copy_name (q->zone, token);
}

static bool
read_kind (struct ask_query *q, const struct ask_token *token)
{
  for (int kind = 0; kind < CONF_KIND_COUNT; kind++)
    if (strcmp (token->text, conf_kind_name ((enum conf_kind)kind)) == 0)
      {
        q->organisation_kind = (enum conf_kind)kind;
        return true;
      }
  return false;
}

static bool
read_limit (struct ask_query *q, const struct ask_token *token)
{
  for (int limit = 0; limit < CONF_LIMIT_COUNT; limit++)
    if (strcmp (token->text, conf_limits_schema[limit].word) == 0)
      {
        q->limit = (enum conf_limit)limit;
        return true;
      }
  return false;
}

/* Parse a number of at most DIGITS_MAX digits.  Return the rest of TEXT, or
   NULL if TEXT does not start with such a number.  */
static const char *
read_number (const char *text, uint32_t *number)
{
  size_t digits = strspn (text, "0123456789");
  if (digits == 0 || digits > DIGITS_MAX)
    return NULL;
  *number = (uint32_t)strtoul (text, NULL, 10);
  return text + digits;
}

static bool
read_value (struct ask_query *q, const struct ask_token *token)
{
  const struct conf_limit_definition *limit = &conf_limits_schema[q->limit];
  const char *rest = read_number (token->text, &q->value);
  if (rest == NULL || strcmp (rest, limit->unit) != 0)
    return false;
  return q->value >= limit->low && q->value <= limit->high;
}

static bool
read_slots (struct ask_query *q, const struct ask_token *token)
{
  const char *rest = read_number (token->text, &q->slot_first);
  q->slot_last = q->slot_first;
  if (rest != NULL && *rest == '-')
    rest = read_number (rest + 1, &q->slot_last);
  return rest != NULL && *rest == '\0' && q->slot_first <= q->slot_last;
}

static bool
read_group (struct ask_query *q, const struct ask_token *token)
{
  for (int group = 0; group < ASK_GROUP_COUNT; group++)
    if (strcmp (token->text, group_names[group]) == 0)
      {
        q->group = (enum ask_group)group;
        return true;
      }
  return false;
}

static uint32_t
unit_seconds (const char *unit)
{
  if (strcmp (unit, "s") == 0)
    return 1;
  if (strcmp (unit, "m") == 0)
    return SECONDS_PER_MINUTE;
  return strcmp (unit, "h") == 0 ? SECONDS_PER_HOUR : 0;
}

static bool
read_duration (struct ask_query *q, const struct ask_token *token)
{
  uint32_t number = 0;
  const char *unit = read_number (token->text, &number);
  if (unit == NULL)
    return false;
  uint64_t seconds = (uint64_t)number * unit_seconds (unit);
  if (seconds == 0 || seconds > DURATION_MAX_S)
    return false;
  q->window_s = (uint32_t)seconds;
  return true;
}

static bool
read_text (struct ask_query *q, const struct ask_token *token)
{
  size_t length = strlen (token->text);
  /* Escapes can produce invalid UTF-8, which the JSON of an audit record
     cannot contain.  */
  if (!token->quoted || length == 0 || length >= sizeof q->why
      || !g_utf8_validate (token->text, -1, NULL))
    return false;
  memcpy (q->why, token->text, length + 1);
  return true;
}

static bool
read_who (struct ask_query *q, const struct ask_token *token)
{
  return copy_name (q->who, token);
}

struct argument
{
  const char *name;
  reader_fn *read;
  const char *text;
};

static const struct argument arguments[ASK_ARGUMENT_COUNT] = {
#define ARGUMENT(name, reader, text) { #name, reader, text },
#include "ask/arguments.def"
#undef ARGUMENT
};

static bool
is_word (const struct ask_token *token, const char *word)
{
  return token->text != NULL && !token->quoted
         && strcmp (token->text, word) == 0;
}

/* Record that EXPECTED would have matched at the current token.  Mismatches
   before the furthest token are ignored.  Always return false.  */
static bool
report_mismatch (struct matcher *m, const char *expected)
{
  struct failure *f = m->failure;
  if (m->pos < f->furthest)
    return false;
  if (m->pos > f->furthest)
    f->count = 0;
  f->furthest = m->pos;
  for (size_t i = 0; i < f->count; i++)
    if (strcmp (f->expected[i], expected) == 0)
      return false;
  if (f->count < EXPECTED_MAX)
    g_strlcpy (f->expected[f->count++], expected, EXPECTED_BYTES);
  return false;
}

static bool
match_word (struct matcher *m, const char *word)
{
  char expected[EXPECTED_BYTES];
  if (is_word (&m->tokens[m->pos], word))
    {
      m->pos++;
      /* No other group of a pattern begins with this word.  */
      m->q.forced |= strcmp (word, "even") == 0;
      return true;
    }
  snprintf (expected, sizeof expected, "'%s'", word);
  return report_mismatch (m, expected);
}

static void
describe_value (const struct ask_query *q, char text[EXPECTED_BYTES])
{
  const struct conf_limit_definition *limit = &conf_limits_schema[q->limit];
  snprintf (text, EXPECTED_BYTES, "a value from %u%s to %u%s", limit->low,
            limit->unit, limit->high, limit->unit);
}

static bool
match_argument (struct matcher *m, enum ask_argument i)
{
  const struct ask_token *token = &m->tokens[m->pos];
  char text[EXPECTED_BYTES];
  if (token->text != NULL && arguments[i].read (&m->q, token))
    {
      m->q.column[i] = token->column;
      m->pos++;
      return true;
    }
  if (arguments[i].text != NULL)
    return report_mismatch (m, arguments[i].text);
  describe_value (&m->q, text);
  return report_mismatch (m, text);
}

/* Match one item of a pattern: an argument in capitals or a keyword.  */
static bool
match_item (struct matcher *m, const char *item)
{
  for (int i = 0; i < ASK_ARGUMENT_COUNT; i++)
    if (strcmp (arguments[i].name, item) == 0)
      return match_argument (m, (enum ask_argument)i);
  return match_word (m, item);
}

/* Copy the next item of PATTERN without its brackets to ITEM.  Set *OPENS and
   *CLOSES to whether it begins or ends an optional group.  Return the rest of
   the pattern.  */
static const char *
next_item (const char *pattern, char item[ITEM_BYTES], bool *opens,
           bool *closes)
{
  *opens = *pattern == '[';
  pattern += *opens;
  size_t length = strcspn (pattern, " ]");
  memcpy (item, pattern, length);
  item[length] = '\0';
  pattern += length;
  *closes = *pattern == ']';
  pattern += *closes;
  return pattern + strspn (pattern, " ");
}

static const char *
skip_group (const char *pattern)
{
  pattern = strchr (pattern, ']') + 1;
  return pattern + strspn (pattern, " ");
}

static bool
match_pattern (struct matcher *m, const char *pattern)
{
  char item[ITEM_BYTES];
  bool opens = false;
  bool closes = false;
  while (*pattern != '\0')
    {
      const char *rest = next_item (pattern, item, &opens, &closes);
      if (match_item (m, item))
        pattern = rest;
      else if (opens)
        pattern = skip_group (pattern);
      else
        return false;
    }
  return true;
}

/* Match the clauses `because "TEXT"` and `by WHO`, each at most once, in any
   order.  */
static bool
match_audit_clauses (struct matcher *m)
{
  for (;;)
    {
      bool has_why = m->q.why[0] == '\0' && match_word (m, "because");
      if (has_why && !match_argument (m, ASK_ARGUMENT_TEXT))
        return false;
      bool has_who = !has_why && m->q.who[0] == '\0' && match_word (m, "by");
      if (has_who && !match_argument (m, ASK_ARGUMENT_WHO))
        return false;
      if (!has_why && !has_who)
        return true;
    }
}

static bool
match_line (struct matcher *m, enum ask_kind kind)
{
  const struct ask_entry *entry = &ask_entries[kind];
  m->q.kind = kind;
  if (!match_pattern (m, entry->pattern))
    return false;
  if (entry->is_command && !match_audit_clauses (m))
    return false;
  if (m->tokens[m->pos].text != NULL)
    return report_mismatch (m, "the end of the line");
  return true;
}

static void
report_failure (const struct failure *f, size_t first,
                const struct ask_token *tokens, unsigned line_number,
                struct findings *findings)
{
  const struct ask_token *found = &tokens[f->furthest];
  GString *text = g_string_new ("expected ");
  if (f->furthest == first)
    g_string_append (text, first > 0 ? "a command (see help)"
                                     : "a query or a command (see help)");
  else
    for (size_t i = 0; i < f->count; i++)
      {
        if (i > 0)
          g_string_append (text, i + 1 == f->count ? " or " : ", ");
        g_string_append (text, f->expected[i]);
      }
  if (found->text == NULL)
    g_string_append (text, ", found the end of the line");
  else
    {
      char *escaped = ask_escape (found->text);
      g_string_append_printf (text, ", found '%s'", escaped);
      g_free (escaped);
    }
  findings_add (findings, line_number, found->column, "", "%s", text->str);
  g_string_free (text, TRUE);
}

static bool
match_any (struct ask_query *q, const struct ask_token *tokens, size_t first,
           struct failure *failure)
{
  for (int kind = 0; kind < ASK_KIND_COUNT; kind++)
    {
      struct matcher m
          = { .tokens = tokens, .pos = first, .failure = failure };
      m.q.dry_run = first > 0;
      if (m.q.dry_run && !ask_entries[kind].is_command)
        continue;
      if (!match_line (&m, (enum ask_kind)kind))
        continue;
      *q = m.q;
      return true;
    }
  return false;
}

static enum status
parse_tokens (struct ask_query *q, const struct ask_token *tokens,
              unsigned line_number, struct findings *findings)
{
  struct failure failure = { 0 };
  if (tokens[0].text == NULL)
    return STATUS_EMPTY;
  size_t first = is_word (&tokens[0], "dry-run") ? 1 : 0;
  failure.furthest = first;
  if (match_any (q, tokens, first, &failure))
    return STATUS_OK;
  report_failure (&failure, first, tokens, line_number, findings);
  return status_set (STATUS_INVALID, "the line is not understood");
}

/* Copy the line of a command to Q for the audit record.  */
static enum status
store_command_text (struct ask_query *q, const char *line, size_t length,
                    unsigned line_number, struct findings *findings)
{
  if (!ask_entries[q->kind].is_command)
    return STATUS_OK;
  if (length >= sizeof q->text)
    {
      findings_add (findings, line_number, 1, "",
                    "a command has at most %zu bytes", sizeof q->text - 1);
      return status_set (STATUS_INVALID, "the command is too long");
    }
  memcpy (q->text, line, length);
  q->text[length] = '\0';
  return STATUS_OK;
}

enum status
ask_parse (struct ask_query *q, const char *line, size_t length,
           unsigned line_number, struct findings *findings)
{
  memset (q, 0, sizeof *q);
  while (length > 0 && g_ascii_isspace (line[length - 1]))
    length--;
  if (length > ASK_LINE_BYTES_MAX)
    {
      findings_add (findings, line_number, 1, "",
                    "a line has at most %d bytes", ASK_LINE_BYTES_MAX);
      return status_set (STATUS_INVALID, "the line is too long");
    }
  GArray *tokens = ask_lex (line, length, line_number, findings);
  if (tokens == NULL)
    return status_set (STATUS_INVALID, "the line is not understood");
  enum status result = parse_tokens (
      q, &g_array_index (tokens, struct ask_token, 0), line_number, findings);
  g_array_free (tokens, TRUE);
  if (result != STATUS_OK)
    return result;
  return store_command_text (q, line, length, line_number, findings);
}

const char *
ask_group_name (enum ask_group group)
{
  return group_names[group];
}
