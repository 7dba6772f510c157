#include "trace/trace.h"

#include "base/finding.h"
#include "trace/log_line.h"
#include "trace/story.h"
#include <errno.h>
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  EXIT_UNKNOWN = 1,
  EXIT_USAGE = 2,
  /* Some lines of another program are usual in a log that several share; more
     than these are counted only.  */
  FOREIGN_TOLD = 3,
  /* A member counts its guardian as lost, and a node its peer as silent, some
     seconds after it is.  */
  BEFORE_MS = 6000
};

static gint before_ms = BEFORE_MS;

static const GOptionEntry options[]
    = { { "before", 'b', 0, G_OPTION_ARG_INT, &before_ms,
          "Show what nodes came to believe so long before, in ms", "MS" },
        { NULL, 0, 0, 0, NULL, NULL, NULL } };

struct reading
{
  struct story *story;
  struct findings *findings;
  unsigned foreign;
};

static void
take_line (struct reading *r, char *text, size_t length, unsigned number,
           const char *fallback)
{
  struct log_line line;
  bool whole = length > 0 && text[length - 1] == '\n';
  if (whole)
    text[length - 1] = '\0';
  if (*text == '\0')
    return;
  if (!whole)
    {
      findings_add (r->findings, number, 1, "", "the last line is cut off");
      return;
    }
  if (log_line_read (text, &line) != STATUS_OK)
    {
      if (r->foreign++ < FOREIGN_TOLD)
        findings_add (r->findings, number, 1, "", "%s", status_message ());
      return;
    }
  story_add (r->story, &line, *line.node == '\0' ? fallback : line.node);
  log_line_clear (&line);
}

/* The node whose log PATH is, when lines do not name it: the file's name
   without its ending.  */
static char *
node_of (const char *path)
{
  char *name = g_path_get_basename (path);
  char *dot = strrchr (name, '.');
  if (dot != NULL && dot != name)
    *dot = '\0';
  return name;
}

static bool
read_log (struct reading *r, const char *path)
{
  char *text = NULL;
  size_t room = 0;
  ssize_t length;
  unsigned number = 0;
  FILE *in = fopen (path, "r");
  if (in == NULL)
    {
      fprintf (stderr, "crocusbend trace: %s: %s\n", path, strerror (errno));
      return false;
    }
  char *node = node_of (path);
  findings_set_path (r->findings, path);
  r->foreign = 0;
  while ((length = getline (&text, &room, in)) > 0)
    take_line (r, text, (size_t)length, ++number, node);
  bool good = ferror (in) == 0;
  if (!good)
    fprintf (stderr, "crocusbend trace: %s: %s\n", path, strerror (errno));
  if (r->foreign > FOREIGN_TOLD)
    findings_add (r->findings, number, 1, "", "%u lines are none of a log",
                  r->foreign);
  fclose (in);
  free (text);
  g_free (node);
  return good;
}

static int
trace (const char *id, char **paths, int count)
{
  struct reading r = { story_new (id, before_ms), findings_new (paths[0]), 0 };
  int code = EXIT_SUCCESS;
  for (int i = 0; i < count && code == EXIT_SUCCESS; i++)
    if (!read_log (&r, paths[i]))
      code = EXIT_USAGE;
  char *findings = findings_format (r.findings);
  fputs (findings, stderr);
  if (code == EXIT_SUCCESS && story_print (r.story, stdout) == 0)
    {
      fprintf (stderr,
               "crocusbend trace: no line of %d logs names request "
               "%s: it was a plain success, of another node, or its "
               "line was dropped\n",
               count, id);
      code = EXIT_UNKNOWN;
    }
  free (findings);
  findings_free (r.findings);
  story_free (r.story);
  return code;
}

int
trace_main (int argc, char **argv)
{
  GError *error = NULL;
  GOptionContext *context = g_option_context_new ("REQUEST LOG...");
  g_option_context_set_summary (
      context,
      "Print what logs of nodes tell of a request, in order of time.");
  g_option_context_add_main_entries (context, options, NULL);
  bool good = g_option_context_parse (context, &argc, &argv, &error);
  if (good && (argc < 3 || before_ms < 0))
    g_set_error (&error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
                 argc < 3 ? "a request's id and its logs are needed"
                          : "--before is negative");
  g_option_context_free (context);
  if (error != NULL)
    {
      fprintf (stderr, "crocusbend trace: %s\n", error->message);
      g_error_free (error);
      return EXIT_USAGE;
    }
  return trace (argv[1], argv + 2, argc - 2);
}
