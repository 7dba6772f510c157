#include "ask/ask.h"

#include "ask/client.h"
#include "ask/query.h"
#include "settings/schema.h"
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  EXIT_REFUSED = 1,
  EXIT_USAGE = 2,
  EXIT_UNREACHABLE = 3,
  HTTP_OK = 200
};

#define PROMPT "crocusbend> "

struct options
{
  char *node;
  char *file;
  char *by;
  gboolean json;
  char **lines;
};

/* Lines from one input.  PATH names the input in error messages.  */
struct source
{
  const char *path;
  char **lines;
};

struct session
{
  struct ask_client *client;
  const char *node;
  bool json;
};

/* Print BODY, the findings of a node.  Its prefix "line:1:" is replaced with
   the position of the line in its source.  */
static void
print_refusal (const char *body, const char *path, unsigned line_number)
{
  static const char node_location[] = "line:1:";
  char **lines = g_strsplit (body, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    if (g_str_has_prefix (*line, node_location))
      fprintf (stderr, "%s:%u:%s\n", path, line_number,
               *line + sizeof node_location - 1);
    else if (**line != '\0')
      fprintf (stderr, "%s\n", *line);
  g_strfreev (lines);
}

static void
print_answer (const struct session *s, const char *body)
{
  fputs (body, stdout);
  if (s->json)
    fputc ('\n', stdout);
  fflush (stdout);
}

static int
report_failure (const struct session *s, const struct ask_query *q,
                enum status failure)
{
  fprintf (stderr, "crocusbend ask: node %s: %s\n", s->node,
           status_message ());
  if (failure == STATUS_IN_DOUBT && ask_entries[q->kind].is_command
      && !q->dry_run)
    fprintf (stderr, "The answer was lost: the command may have been "
                     "accepted.\n");
  return EXIT_UNREACHABLE;
}

/* Parse and send one line.  Return the exit code for this line.  */
static int
ask_line (const struct session *s, const char *path, unsigned line_number,
          const char *line)
{
  struct ask_query q;
  struct findings *findings = findings_new (path);
  long http_status = 0;
  char *body = NULL;
  enum status parsed
      = ask_parse (&q, line, strlen (line), line_number, findings);
  if (parsed == STATUS_INVALID)
    {
      char *text = findings_format (findings);
      fputs (text, stderr);
      free (text);
    }
  findings_free (findings);
  if (parsed != STATUS_OK)
    return parsed == STATUS_EMPTY ? EXIT_SUCCESS : EXIT_REFUSED;
  enum status sent
      = ask_client_send (s->client, line, strlen (line), &http_status, &body);
  if (sent != STATUS_OK)
    return report_failure (s, &q, sent);
  if (http_status == HTTP_OK || s->json)
    print_answer (s, body);
  else
    print_refusal (body, path, line_number);
  g_free (body);
  return http_status == HTTP_OK ? EXIT_SUCCESS : EXIT_REFUSED;
}

/* Report the errors of all lines of SOURCE before any line is sent.  */
static bool
check_lines (const struct source *source)
{
  struct ask_query q;
  struct findings *findings = findings_new (source->path);
  for (unsigned i = 0; source->lines[i] != NULL; i++)
    ask_parse (&q, source->lines[i], strlen (source->lines[i]), i + 1,
               findings);
  bool valid = findings_count (findings) == 0;
  char *text = findings_format (findings);
  fputs (text, stderr);
  free (text);
  findings_free (findings);
  return valid;
}

static int
ask_lines (const struct session *s, const struct source *source)
{
  int code = EXIT_SUCCESS;
  if (!check_lines (source))
    return EXIT_REFUSED;
  for (unsigned i = 0; code == EXIT_SUCCESS && source->lines[i] != NULL; i++)
    code = ask_line (s, source->path, i + 1, source->lines[i]);
  return code;
}

static char *
read_all (FILE *file)
{
  char buffer[BUFSIZ];
  size_t length;
  GString *text = g_string_new (NULL);
  while ((length = fread (buffer, 1, sizeof buffer, file)) > 0)
    g_string_append_len (text, buffer, (gssize)length);
  return g_string_free (text, FALSE);
}

static int
ask_stream (const struct session *s, const char *path, FILE *file)
{
  char *text = read_all (file);
  struct source source = { path, g_strsplit (text, "\n", -1) };
  int code = ask_lines (s, &source);
  g_strfreev (source.lines);
  g_free (text);
  return code;
}

static int
ask_file (const struct session *s, const char *path)
{
  FILE *file = fopen (path, "r");
  if (file == NULL)
    {
      perror (path);
      return EXIT_USAGE;
    }
  int code = ask_stream (s, path, file);
  fclose (file);
  return code;
}

static int
ask_prompt (const struct session *s)
{
  char *line = NULL;
  size_t capacity = 0;
  fputs (PROMPT, stdout);
  fflush (stdout);
  while (getline (&line, &capacity, stdin) >= 0)
    {
      g_strchomp (line);
      if (strcmp (line, "quit") == 0 || strcmp (line, "exit") == 0)
        break;
      ask_line (s, "line", 1, line);
      fputs (PROMPT, stdout);
      fflush (stdout);
    }
  free (line);
  return EXIT_SUCCESS;
}

static int
ask_source (const struct session *s, const struct options *o)
{
  struct source arguments = { "line", o->lines };
  if (o->file != NULL)
    return ask_file (s, o->file);
  if (o->lines != NULL)
    return ask_lines (s, &arguments);
  if (isatty (STDIN_FILENO))
    return ask_prompt (s);
  return ask_stream (s, "stdin", stdin);
}

static bool
parse_options (struct options *o, int argc, char **argv)
{
  GError *error = NULL;
  GOptionEntry entries[]
      = { { "node", 'n', 0, G_OPTION_ARG_STRING, &o->node,
            "Operator address of a node", "HOST:PORT" },
          { "file", 'f', 0, G_OPTION_ARG_FILENAME, &o->file,
            "Read the lines from FILE", "FILE" },
          { "json", 'j', 0, G_OPTION_ARG_NONE, &o->json,
            "Write each answer as one line of JSON", NULL },
          { "by", 'b', 0, G_OPTION_ARG_STRING, &o->by,
            "Operator recorded with commands (default: the user's name)",
            "WHO" },
          { G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &o->lines,
            NULL, "[LINE...]" },
          { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL } };
  GOptionContext *context
      = g_option_context_new ("- send queries and commands to a node");
  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_set_description (
      context,
      "Each LINE is one query or command, such as 'owner of key line-7'.  "
      "Without LINE,\nlines are read from standard input.  The line help "
      "lists all of them.\n\n"
      "Exit code: 0 answered, 1 refused or not understood, 2 wrong arguments, "
      "3 node not\nreached or its answer lost.");
  g_set_prgname ("crocusbend ask");
  bool parsed = g_option_context_parse (context, &argc, &argv, &error);
  if (!parsed)
    fprintf (stderr, "crocusbend ask: %s\n", error->message);
  g_clear_error (&error);
  g_option_context_free (context);
  return parsed;
}

/* Validate the options.  On success *ADDRESS is that of the node.  */
static bool
check_options (const struct options *o, struct settings_address *address)
{
  struct settings s = { 0 };
  char problem[SETTING_PROBLEM_BYTES] = "is missing";
  if (o->file != NULL && o->lines != NULL)
    {
      fprintf (stderr, "crocusbend ask: --file and LINE exclude each other\n");
      return false;
    }
  if (o->by != NULL && !conf_is_valid_name (o->by))
    {
      fprintf (stderr,
               "crocusbend ask: --by: a name consists of a-z 0-9 - _ .\n");
      return false;
    }
  if (o->node == NULL
      || !setting_parse (&s, &settings_schema[SETTING_listen_operator],
                         o->node, problem))
    {
      fprintf (stderr, "crocusbend ask: --node: %s\n", problem);
      return false;
    }
  *address = s.operator_address;
  return true;
}

static void
free_options (struct options *o)
{
  g_free (o->node);
  g_free (o->file);
  g_free (o->by);
  g_strfreev (o->lines);
}

int
ask_main (int argc, char **argv)
{
  struct options o = { 0 };
  struct settings_address address;
  int code = EXIT_USAGE;
  if (parse_options (&o, argc, argv) && check_options (&o, &address))
    {
      const char *who = o.by != NULL ? o.by : g_get_user_name ();
      struct session s = { NULL, o.node, o.json };
      s.client = ask_client_new (
          &address, conf_is_valid_name (who) ? who : "unknown", o.json);
      if (s.client != NULL)
        code = ask_source (&s, &o);
      ask_client_free (s.client);
    }
  free_options (&o);
  return code;
}
