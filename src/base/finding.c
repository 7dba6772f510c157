#include "base/finding.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* FILE and SEQUENCE number the paths and the findings as they came.  */
struct entry
{
  struct finding shown;
  unsigned file;
  unsigned sequence;
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
  g_free ((char *)e->shown.key);
  g_free ((char *)e->shown.problem);
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
  if (a->file != b->file)
    return compare_unsigned (a->file, b->file);
  if (a->shown.line != b->shown.line)
    return compare_unsigned (a->shown.line, b->shown.line);
  if (a->shown.column != b->shown.column)
    return compare_unsigned (a->shown.column, b->shown.column);
  return compare_unsigned (a->sequence, b->sequence);
}

static void
append_finding (GString *text, const struct finding *shown)
{
  g_string_append_printf (text, "%s:%u:%u: ", shown->path, shown->line,
                          shown->column);
  if (shown->key[0] != '\0')
    g_string_append_printf (text, "%s: ", shown->key);
  g_string_append_printf (text, "%s\n", shown->problem);
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
  e.shown.problem = g_strdup_vprintf (fmt, args);
  va_end (args);
  e.file = f->paths->len - 1;
  e.sequence = f->entries->len;
  e.shown.path = (const char *)g_ptr_array_index (f->paths, e.file);
  e.shown.line = line;
  e.shown.column = column;
  e.shown.key = g_strdup (key);
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
  return &g_array_index (f->entries, struct entry, i).shown;
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
