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
  EXIT_NOT_FOUND = 1,
  EXIT_USAGE = 2,
  /* Lines of other programs are usual in a shared log.  Only the first ones
     are reported one by one, then their number.  */
  FOREIGN_LINES_SHOWN_MAX = 3,
  /* A member declares its guardian lost, and a node its peer silent, some
     seconds after the failure.  */
  DEFAULT_LOOKBACK_MS = 6000
};

static gint lookback_ms = DEFAULT_LOOKBACK_MS;

static const GOptionEntry options[]
    = { { "before", 'b', 0, G_OPTION_ARG_INT, &lookback_ms,
          "Include state events of nodes up to MS ms before the request",
          "MS" },
        { NULL, 0, 0, 0, NULL, NULL, NULL } };

struct log_reader
{
  struct timeline *timeline;
  struct findings *findings;
  unsigned foreign_count;
};

static void
add_line (struct log_reader *r, char *text, size_t length, unsigned number,
          const char *default_node)
{
  struct log_line line;
  bool complete = length > 0 && text[length - 1] == '\n';
  if (complete)
    text[length - 1] = '\0';
  if (*text == '\0')
    return;
  if (!complete)
    {
      findings_add (r->findings, number, 1, "", "the last line is incomplete");
      return;
    }
  if (log_line_parse (text, &line) != STATUS_OK)
    {
      if (r->foreign_count++ < FOREIGN_LINES_SHOWN_MAX)
        findings_add (r->findings, number, 1, "", "%s", status_message ());
      return;
    }
  timeline_add (r->timeline, &line,
                *line.node == '\0' ? default_node : line.node);
  log_line_clear (&line);
}

/* Return the name of the node for lines that do not name it: the file name of
   PATH without its extension.  */
static char *
node_name_of (const char *path)
{
  char *name = g_path_get_basename (path);
  char *dot = strrchr (name, '.');
  if (dot != NULL && dot != name)
    *dot = '\0';
  return name;
}

static bool
read_log (struct log_reader *r, const char *path)
{
  char *text = NULL;
  size_t capacity = 0;
  ssize_t length;
  unsigned number = 0;
  FILE *in = fopen (path, "r");
  if (in == NULL)
    {
      fprintf (stderr, "crocusbend trace: %s: %s\n", path, strerror (errno));
      return false;
    }
  char *node = node_name_of (path);
  findings_set_path (r->findings, path);
  r->foreign_count = 0;
  while ((length = getline (&text, &capacity, in)) > 0)
    add_line (r, text, (size_t)length, ++number, node);
  bool valid = ferror (in) == 0;
  if (!valid)
    fprintf (stderr, "crocusbend trace: %s: %s\n", path, strerror (errno));
  if (r->foreign_count > FOREIGN_LINES_SHOWN_MAX)
    findings_add (r->findings, number, 1, "",
                  "%u lines are not lines of a node's log", r->foreign_count);
  fclose (in);
  free (text);
  g_free (node);
  return valid;
}

static int
trace_request (const char *id, char **paths, int count)
{
  struct log_reader r
      = { timeline_new (id, lookback_ms), findings_new (paths[0]), 0 };
  int code = EXIT_SUCCESS;
  for (int i = 0; i < count && code == EXIT_SUCCESS; i++)
    if (!read_log (&r, paths[i]))
      code = EXIT_USAGE;
  char *findings = findings_format (r.findings);
  fputs (findings, stderr);
  if (code == EXIT_SUCCESS && timeline_print (r.timeline, stdout) == 0)
    {
      fprintf (stderr,
               "crocusbend trace: no line of %d logs names request "
               "%s: it succeeded without an event to log, was handled by "
               "another node, or its line was dropped\n",
               count, id);
      code = EXIT_NOT_FOUND;
    }
  free (findings);
  findings_free (r.findings);
  timeline_free (r.timeline);
  return code;
}

int
trace_main (int argc, char **argv)
{
  GError *error = NULL;
  GOptionContext *context = g_option_context_new ("REQUEST LOG...");
  g_option_context_set_summary (
      context,
      "Print the timeline of a request from the logs of several nodes.");
  g_option_context_add_main_entries (context, options, NULL);
  bool valid = g_option_context_parse (context, &argc, &argv, &error);
  if (valid && (argc < 3 || lookback_ms < 0))
    g_set_error (&error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
                 argc < 3 ? "a request id and at least one log are required"
                          : "--before must not be negative");
  g_option_context_free (context);
  if (error != NULL)
    {
      fprintf (stderr, "crocusbend trace: %s\n", error->message);
      g_error_free (error);
      return EXIT_USAGE;
    }
  return trace_request (argv[1], argv + 2, argc - 2);
}
