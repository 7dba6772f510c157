#include "base/finding.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

struct entry
{
  struct finding finding;
  unsigned path_index; /* in struct findings */
  unsigned sequence;   /* order of insertion */
};

struct findings
{
  GArray *entries;
  GPtrArray *paths;
};

static void
clear_entry (void *entry)
{
  struct entry *e = (struct entry *)entry;
  g_free ((char *)e->finding.key);
  g_free ((char *)e->finding.problem);
}

static int
compare_unsigned (unsigned a, unsigned b)
{
  return (a > b) - (a < b);
}

static int
compare_entries (const void *left, const void *right)
{
  const struct entry *a = (const struct entry *)left;
  const struct entry *b = (const struct entry *)right;
  if (a->path_index != b->path_index)
    return compare_unsigned (a->path_index, b->path_index);
  if (a->finding.line != b->finding.line)
    return compare_unsigned (a->finding.line, b->finding.line);
  if (a->finding.column != b->finding.column)
    return compare_unsigned (a->finding.column, b->finding.column);
  return compare_unsigned (a->sequence, b->sequence);
}

static void
append_finding (GString *text, const struct finding *finding)
{
  g_string_append_printf (text, "%s:%u:%u: ", finding->path, finding->line,
                          finding->column);
  if (finding->key[0] != '\0')
    g_string_append_printf (text, "%s: ", finding->key);
  g_string_append_printf (text, "%s\n", finding->problem);
}

struct findings *
findings_new (const char *path)
{
  struct findings *f = g_new0 (struct findings, 1);
  f->entries = g_array_new (FALSE, TRUE, sizeof (struct entry));
  g_array_set_clear_func (f->entries, clear_entry);
  f->paths = g_ptr_array_new_with_free_func (g_free);
  findings_set_path (f, path);
  return f;
}

void
findings_free (struct findings *f)
{
  if (f == NULL)
    return;
  g_array_free (f->entries, TRUE);
  g_ptr_array_free (f->paths, TRUE);
  g_free (f);
}

void
findings_set_path (struct findings *f, const char *path)
{
  g_ptr_array_add (f->paths, g_strdup (path));
}

void
findings_add (struct findings *f, unsigned line, unsigned column,
              const char *key, const char *fmt, ...)
{
  struct entry e = { 0 };
  va_list args;
  va_start (args, fmt);
  e.finding.problem = g_strdup_vprintf (fmt, args);
  va_end (args);
  e.path_index = f->paths->len - 1;
  e.sequence = f->entries->len;
  e.finding.path = (const char *)g_ptr_array_index (f->paths, e.path_index);
  e.finding.line = line;
  e.finding.column = column;
  e.finding.key = g_strdup (key);
  g_array_append_val (f->entries, e);
}

size_t
findings_count (const struct findings *f)
{
  return f->entries->len;
}

const struct finding *
findings_get (struct findings *f, size_t i)
{
  g_array_sort (f->entries, compare_entries);
  return &g_array_index (f->entries, struct entry, i).finding;
}

char *
findings_format (struct findings *f)
{
  GString *text = g_string_new (NULL);
  size_t count = findings_count (f);
  for (size_t i = 0; i < count; i++)
    append_finding (text, findings_get (f, i));
  if (count > 0)
    g_string_append_printf (text, "%zu error%s\n", count,
                            count == 1 ? "" : "s");
  char *copy = strdup (text->str);
  g_string_free (text, TRUE);
  return copy;
}
