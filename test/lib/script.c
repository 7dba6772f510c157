#include "lib/script.h"

#include <stdlib.h>
#include <string.h>

struct script
{
  const char *path;
  script_command *run;
  void *context;
  char *input; /* the current input line, or NULL */
  int input_line;
  char *expected;
  size_t expected_bytes;
  FILE *expected_out;
  int inputs;
  int failures;
};

static int
split_words (char *line, char **words)
{
  int count = 0;
  char *rest = NULL;
  char *word = strtok_r (line, " \t\n", &rest);
  while (word != NULL && count < SCRIPT_WORDS_MAX)
    {
      words[count++] = word;
      word = strtok_r (NULL, " \t\n", &rest);
    }
  return count;
}

static void
run_input (struct script *s)
{
  char *words[SCRIPT_WORDS_MAX];
  char *printed = NULL;
  size_t printed_bytes = 0;
  if (s->input == NULL)
    return;
  fclose (s->expected_out);
  FILE *out = open_memstream (&printed, &printed_bytes);
  int count = split_words (s->input + 1, words);
  if (count > 0)
    s->run (s->context, count, words, out);
  fclose (out);
  s->inputs++;
  if (strcmp (printed, s->expected) != 0)
    {
      s->failures++;
      fprintf (stderr, "%s:%d: expected\n%sprinted\n%s", s->path,
               s->input_line, s->expected, printed);
    }
  free (printed);
  free (s->expected);
  free (s->input);
  s->input = NULL;
}

static void
read_line (struct script *s, const char *line, int number)
{
  if (line[0] == '#' || line[0] == '\n')
    return;
  if (line[0] != '>')
    {
      if (s->input != NULL)
        fputs (line, s->expected_out);
      return;
    }
  run_input (s);
  s->input = strdup (line);
  s->input_line = number;
  s->expected_out = open_memstream (&s->expected, &s->expected_bytes);
}

int
script_run (const char *path, script_command *run, void *context)
{
  struct script s = { .path = path, .run = run, .context = context };
  char *line = NULL;
  size_t line_bytes = 0;
  FILE *in = fopen (path, "r");
  if (in == NULL)
    {
      perror (path);
      return -1;
    }
  for (int number = 1; getline (&line, &line_bytes, in) > 0; number++)
    read_line (&s, line, number);
  run_input (&s);
  free (line);
  fclose (in);
  return s.inputs > 0 ? s.failures : -1;
}

const char *
script_text (int count, char **words, const char *name, const char *fallback)
{
  size_t length = strlen (name);
  for (int i = 1; i < count; i++)
    if (strncmp (words[i], name, length) == 0 && words[i][length] == '=')
      return words[i] + length + 1;
  return fallback;
}

int
script_word_number (const char *word)
{
  return (int)strtol (word, NULL, 10);
}

long
script_number (int count, char **words, const char *name, long fallback)
{
  const char *text = script_text (count, words, name, NULL);
  return text != NULL ? strtol (text, NULL, 10) : fallback;
}
