#include "mesh/departed.h"

#include <inttypes.h>
#include <string.h>

enum
{
  LINE_FIELDS = 3,
  DECIMAL = 10
};

/* Whether the process that started at STARTED_MS is P or ran before it.  */
static bool
is_no_newer (const struct departed_process *p, int64_t started_ms)
{
  if (started_ms == 0)
    return true;
  return started_ms <= (p->started_ms != 0 ? p->started_ms : p->left_ms);
}

bool
departed_has (const struct departed *d, const char *id, int64_t started_ms)
{
  for (unsigned i = 0; i < d->count; i++)
    if (strcmp (d->items[i].id, id) == 0
        && is_no_newer (&d->items[i], started_ms))
      return true;
  return false;
}

bool
departed_add (struct departed *d, const char *id, int64_t started_ms,
              int64_t left_ms)
{
  if (departed_has (d, id, started_ms))
    return false;
  if (d->count == DEPARTED_MAX)
    {
      memmove (&d->items[0], &d->items[1],
               (DEPARTED_MAX - 1) * sizeof d->items[0]);
      d->count--;
    }
  struct departed_process *p = &d->items[d->count++];
  g_strlcpy (p->id, id, sizeof p->id);
  p->started_ms = started_ms;
  p->left_ms = left_ms;
  return true;
}

GString *
departed_format (const struct departed *d)
{
  GString *out = g_string_new (NULL);
  for (unsigned i = 0; i < d->count; i++)
    g_string_append_printf (out, "%s %" PRId64 " %" PRId64 "\n",
                            d->items[i].id, d->items[i].started_ms,
                            d->items[i].left_ms);
  return out;
}

static void
add_line (struct departed *d, const char *line)
{
  char **fields = g_strsplit (line, " ", LINE_FIELDS + 1);
  gint64 started_ms;
  gint64 left_ms;
  if (g_strv_length (fields) == LINE_FIELDS
      && strlen (fields[0]) < TARGET_ID_BYTES
      && g_ascii_string_to_signed (fields[1], DECIMAL, 0, INT64_MAX,
                                   &started_ms, NULL)
      && g_ascii_string_to_signed (fields[2], DECIMAL, 0, INT64_MAX, &left_ms,
                                   NULL))
    departed_add (d, fields[0], started_ms, left_ms);
  g_strfreev (fields);
}

void
departed_merge (struct departed *d, const char *text)
{
  struct departed merged = { .count = 0 };
  char **lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    add_line (&merged, *line);
  g_strfreev (lines);
  for (unsigned i = 0; i < d->count; i++)
    departed_add (&merged, d->items[i].id, d->items[i].started_ms,
                  d->items[i].left_ms);
  *d = merged;
}
