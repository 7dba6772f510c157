#include "lib/blocks.h"

#include <stdio.h>
#include <string.h>

struct block
{
  unsigned line; /* of the input in the file */
  const char *input;
  GString *expected;
};

/* Run one input and compare its output; returns 1 if it differs, else 0.  */
static unsigned
run_block (const char *path, const struct block *b, blocks_fn *fn, void *arg)
{
  GString *output = g_string_new (NULL);
  fn (arg, b->input, output);
  unsigned different = !g_string_equal (output, b->expected);
  if (different)
    printf ("%s:%u: > %s\nexpected:\n%sgot:\n%s", path, b->line, b->input,
            b->expected->str, output->str);
  g_string_free (output, TRUE);
  return different;
}

void
blocks_run (const char *path, blocks_fn *fn, void *arg, unsigned *differences,
            unsigned *inputs)
{
  char *text = NULL;
  struct block b = { 0, NULL, g_string_new (NULL) };
  *differences = 0;
  *inputs = 0;
  if (!g_file_get_contents (path, &text, NULL, NULL))
    {
      printf ("%s: cannot read file\n", path);
      *differences = 1;
      text = g_strdup ("");
    }
  g_strchomp (text);
  char **lines = g_strsplit (text, "\n", -1);
  for (unsigned i = 0; lines[i] != NULL; i++)
    {
      if (lines[i][0] == '#')
        continue;
      if (strncmp (lines[i], "> ", 2) != 0)
        {
          g_string_append_printf (b.expected, "%s\n", lines[i]);
          continue;
        }
      if (b.input != NULL)
        *differences += run_block (path, &b, fn, arg);
      b.line = i + 1;
      b.input = lines[i] + 2;
      g_string_truncate (b.expected, 0);
      ++*inputs;
    }
  if (b.input != NULL)
    *differences += run_block (path, &b, fn, arg);
  g_string_free (b.expected, TRUE);
  g_strfreev (lines);
  g_free (text);
}
