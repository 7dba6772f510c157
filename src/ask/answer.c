#include "ask/answer.h"

#include "ask/lex.h"
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

enum
{
  COLUMN_GAP = 2 /* spaces between columns */
};

struct column
{
  char *name;
  enum ask_column_type type;
};

/* TEXT is what a table shows, or NULL in a cell without a value.  The other
   members are set according to the type of the column.  */
struct cell
{
  char *text;
  int64_t integer;
  double decimal;
  bool flag;
};

struct ask_answer
{
  GArray *columns; /* struct column */
  GArray *cells;   /* struct cell, in row-major order */
  GPtrArray *notes;
  struct findings *findings;
};

static void
clear_column (void *column)
{
  g_free (((struct column *)column)->name);
}

static void
clear_cell (void *cell)
{
  g_free (((struct cell *)cell)->text);
}

static const struct column *
column_at (const struct ask_answer *a, guint i)
{
  return &g_array_index (a->columns, struct column, i);
}

static const struct cell *
cell_at (const struct ask_answer *a, guint row, guint column)
{
  return &g_array_index (a->cells, struct cell,
                         row * a->columns->len + column);
}

static guint
row_count (const struct ask_answer *a)
{
  return a->columns->len == 0 ? 0 : a->cells->len / a->columns->len;
}

struct ask_answer *
ask_answer_new (void)
{
  struct ask_answer *a = g_new0 (struct ask_answer, 1);
  a->columns = g_array_new (FALSE, TRUE, sizeof (struct column));
  g_array_set_clear_func (a->columns, clear_column);
  a->cells = g_array_new (FALSE, TRUE, sizeof (struct cell));
  g_array_set_clear_func (a->cells, clear_cell);
  a->notes = g_ptr_array_new_with_free_func (g_free);
  a->findings = findings_new ("line");
  return a;
}

void
ask_answer_free (struct ask_answer *a)
{
  if (a == NULL)
    return;
  g_array_free (a->columns, TRUE);
  g_array_free (a->cells, TRUE);
  g_ptr_array_free (a->notes, TRUE);
  findings_free (a->findings);
  g_free (a);
}

void
ask_answer_column (struct ask_answer *a, const char *name,
                   enum ask_column_type type)
{
  struct column c = { g_strdup (name), type };
  g_array_append_val (a->columns, c);
}

void
ask_answer_text (struct ask_answer *a, const char *text)
{
  struct cell c = { .text = ask_escape (text) };
  g_array_append_val (a->cells, c);
}

void
ask_answer_integer (struct ask_answer *a, int64_t integer)
{
  struct cell c
      = { .text = g_strdup_printf ("%" PRId64, integer), .integer = integer };
  g_array_append_val (a->cells, c);
}

void
ask_answer_decimal (struct ask_answer *a, double decimal)
{
  struct cell c
      = { .text = g_strdup_printf ("%.3f", decimal), .decimal = decimal };
  g_array_append_val (a->cells, c);
}

void
ask_answer_flag (struct ask_answer *a, bool flag)
{
  struct cell c = { .text = g_strdup (flag ? "yes" : "no"), .flag = flag };
  g_array_append_val (a->cells, c);
}

void
ask_answer_null (struct ask_answer *a)
{
  struct cell c = { .text = NULL };
  g_array_append_val (a->cells, c);
}

void
ask_answer_note (struct ask_answer *a, const char *fmt, ...)
{
  va_list args;
  va_start (args, fmt);
  char *note = g_strdup_vprintf (fmt, args);
  va_end (args);
  g_ptr_array_add (a->notes, ask_escape (note));
  g_free (note);
}

struct findings *
ask_answer_findings (struct ask_answer *a)
{
  return a->findings;
}

static const char *
cell_display (const struct cell *c)
{
  return c->text == NULL ? "-" : c->text;
}

static size_t
column_width (const struct ask_answer *a, guint column)
{
  size_t width = (size_t)g_utf8_strlen (column_at (a, column)->name, -1);
  for (guint row = 0; row < row_count (a); row++)
    {
      size_t w = (size_t)g_utf8_strlen (
          cell_display (cell_at (a, row, column)), -1);
      if (w > width)
        width = w;
    }
  return width;
}

static void
append_spaces (GString *text, size_t count)
{
  while (count-- > 0)
    g_string_append_c (text, ' ');
}

/* Append VALUE padded to WIDTH characters.  The LAST cell of a row gets no
   trailing spaces.  */
static void
append_cell (GString *text, const char *value, size_t width, bool align_right,
             bool last)
{
  size_t padding = width - (size_t)g_utf8_strlen (value, -1);
  if (align_right)
    append_spaces (text, padding);
  g_string_append (text, value);
  if (!align_right && !last)
    append_spaces (text, padding);
  if (last)
    g_string_append_c (text, '\n');
  else
    append_spaces (text, COLUMN_GAP);
}

static void
append_table (GString *text, const struct ask_answer *a)
{
  guint count = a->columns->len;
  size_t *widths = g_new0 (size_t, count + 1);
  for (guint i = 0; i < count; i++)
    widths[i] = column_width (a, i);
  for (guint row = 0; row < row_count (a) + 1; row++)
    for (guint i = 0; i < count; i++)
      {
        const struct column *c = column_at (a, i);
        const char *value
            = row == 0 ? c->name : cell_display (cell_at (a, row - 1, i));
        bool align_right = c->type == ASK_INTEGER || c->type == ASK_DECIMAL;
        append_cell (text, value, widths[i], align_right, i + 1 == count);
      }
  if (count > 0 && row_count (a) == 0)
    g_string_append (text, "(none)\n");
  g_free (widths);
}

char *
ask_answer_to_text (struct ask_answer *a)
{
  GString *text = g_string_new (NULL);
  if (findings_count (a->findings) > 0)
    {
      char *lines = findings_format (a->findings);
      g_string_append (text, lines);
      free (lines);
    }
  else
    append_table (text, a);
  for (guint i = 0; i < a->notes->len; i++)
    g_string_append_printf (text, "%s\n",
                            (const char *)g_ptr_array_index (a->notes, i));
  char *copy = strdup (text->str);
  g_string_free (text, TRUE);
  return copy;
}

static json_t *
cell_to_json (const struct cell *c, enum ask_column_type type)
{
  if (c->text == NULL)
    return json_null ();
  switch (type)
    {
    case ASK_INTEGER:
      return json_integer (c->integer);
    case ASK_DECIMAL:
      return json_real (c->decimal);
    case ASK_FLAG:
      return json_boolean (c->flag);
    case ASK_TEXT:
      break;
    }
  return json_string (c->text);
}

static json_t *
rows_to_json (const struct ask_answer *a)
{
  json_t *rows = json_array ();
  for (guint row = 0; row < row_count (a); row++)
    {
      json_t *cells = json_array ();
      for (guint i = 0; i < a->columns->len; i++)
        json_array_append_new (
            cells, cell_to_json (cell_at (a, row, i), column_at (a, i)->type));
      json_array_append_new (rows, cells);
    }
  return rows;
}

static json_t *
columns_to_json (const struct ask_answer *a)
{
  json_t *columns = json_array ();
  for (guint i = 0; i < a->columns->len; i++)
    json_array_append_new (columns, json_string (column_at (a, i)->name));
  return columns;
}

static json_t *
findings_to_json (struct findings *f)
{
  json_t *list = json_array ();
  for (size_t i = 0; i < findings_count (f); i++)
    {
      const struct finding *item = findings_get (f, i);
      char *problem = g_utf8_make_valid (item->problem, -1);
      json_t *object = json_object ();
      json_object_set_new (object, "line", json_integer (item->line));
      json_object_set_new (object, "column", json_integer (item->column));
      json_object_set_new (object, "problem", json_string (problem));
      json_array_append_new (list, object);
      g_free (problem);
    }
  return list;
}

char *
ask_answer_to_json (struct ask_answer *a)
{
  json_t *root = json_object ();
  json_t *notes = json_array ();
  if (findings_count (a->findings) > 0)
    json_object_set_new (root, "findings", findings_to_json (a->findings));
  else
    {
      json_object_set_new (root, "columns", columns_to_json (a));
      json_object_set_new (root, "rows", rows_to_json (a));
    }
  for (guint i = 0; i < a->notes->len; i++)
    json_array_append_new (
        notes, json_string ((const char *)g_ptr_array_index (a->notes, i)));
  json_object_set_new (root, "notes", notes);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}
