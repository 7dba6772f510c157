#include "trace/log_line.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#define LINE_PATTERN                                                          \
  "(?:^|.* )([0-9]{4})-([0-9]{2})-([0-9]{2})T([0-9]{2}):([0-9]{2}):"          \
  "([0-9]{2})\\.([0-9]{3})Z (debug|info|warning|error) ([0-9]+) ([A-Z_]+) "   \
  "text=\"([^\"]*)\" ?(.*)$"

/* Groups of LINE_PATTERN.  */
enum
{
  YEAR = 1,
  MONTH,
  DAY,
  HOUR,
  MINUTE,
  SECOND,
  MILLISECOND,
  LEVEL,
  NUMBER,
  NAME,
  TEXT,
  VALUES,
  MS_PER_S = 1000
};

static const GRegex *
line_regex (void)
{
  static GRegex *regex;
  if (regex == NULL)
    regex = g_regex_new (LINE_PATTERN, G_REGEX_OPTIMIZE, 0, NULL);
  return regex;
}

static int
group_number (const GMatchInfo *match, int group)
{
  char *text = g_match_info_fetch (match, group);
  int value = (int)g_ascii_strtoll (text, NULL, 10);
  g_free (text);
  return value;
}

/* Return the timestamp of MATCH in milliseconds since 1970, or -1 if it is not
   a valid time.  */
static int64_t
parse_time (const GMatchInfo *match)
{
  GDateTime *t = g_date_time_new_utc (
      group_number (match, YEAR), group_number (match, MONTH),
      group_number (match, DAY), group_number (match, HOUR),
      group_number (match, MINUTE), (gdouble)group_number (match, SECOND));
  if (t == NULL)
    return -1;
  int64_t s = g_date_time_to_unix (t);
  g_date_time_unref (t);
  return s * MS_PER_S + group_number (match, MILLISECOND);
}

/* Return the last word of TEXT before position AT.  */
static char *
word_before (const char *text, int at)
{
  int end = at;
  while (end > 0 && text[end - 1] == ' ')
    end--;
  int begin = end;
  while (begin > 0 && text[begin - 1] != ' ')
    begin--;
  return g_strndup (text + begin, (gsize)(end - begin));
}

enum status
log_line_parse (const char *text, struct log_line *line)
{
  GMatchInfo *match;
  int time_start = 0;
  if (!g_utf8_validate (text, -1, NULL)
      || !g_regex_match (line_regex (), text, 0, &match))
    return status_set (STATUS_INVALID, "not a line of a node's log");
  g_match_info_fetch_pos (match, YEAR, &time_start, NULL);
  *line = (struct log_line){
    .node = word_before (text, time_start),
    .time_ms = parse_time (match),
    .event = group_number (match, NUMBER),
    .name = g_match_info_fetch (match, NAME),
    .level = g_match_info_fetch (match, LEVEL),
    .text = g_match_info_fetch (match, TEXT),
    .fields = g_match_info_fetch (match, VALUES),
  };
  g_match_info_free (match);
  if (line->time_ms >= 0)
    return STATUS_OK;
  log_line_clear (line);
  return status_set (STATUS_INVALID, "the timestamp is not a valid time");
}

char *
log_line_field (const struct log_line *line, const char *key)
{
  size_t length = strlen (key);
  const char *at = line->fields;
  while (*at != '\0')
    {
      bool found = strncmp (at, key, length) == 0 && at[length] == '=';
      const char *begin = strchr (at, '=');
      if (begin == NULL)
        return NULL;
      begin++;
      bool quoted = *begin == '"';
      begin += quoted;
      const char *end = begin + strcspn (begin, quoted ? "\"" : " ");
      if (found)
        return g_strndup (begin, (gsize)(end - begin));
      at = *end == '\0' ? end : end + 1;
      at += strspn (at, " ");
    }
  return NULL;
}

void
log_line_clear (struct log_line *line)
{
  g_free (line->node);
  g_free (line->name);
  g_free (line->level);
  g_free (line->text);
  g_free (line->fields);
  memset (line, 0, sizeof *line);
}
