#include "report/report.h"

#include "report/fetch.h"
#include "report/print.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  EXIT_PARTIAL = 1,
  EXIT_USAGE = 2,
  FETCH_TIMEOUT_MS = 5000
};

#define DEFAULT_OBJECTIVE_PCT 99.9

struct options
{
  gchar **nodes;
  gchar **inputs;
  gdouble objective_pct;
  gdouble trial_objective_pct;
  gboolean json;
  gchar *html;
};

struct collection
{
  struct merge *merge;
  GString *problems;
  size_t source_count;
  size_t merged_count;
};

static bool
read_options (struct options *o, int *argc, char ***argv)
{
  const GOptionEntry entries[] = {
    { "node", 'n', 0, G_OPTION_ARG_STRING_ARRAY, &o->nodes,
      "Operator address of a node; repeat for more nodes", "HOST:PORT" },
    { "input", 'i', 0, G_OPTION_ARG_FILENAME_ARRAY, &o->inputs,
      "Saved answer of a node to GET /burn; repeat for more nodes", "FILE" },
    { "objective", 'o', 0, G_OPTION_ARG_DOUBLE, &o->objective_pct,
      "Percentage of requests to be answered in time (default: 99.9)",
      "PERCENT" },
    { "trial-objective", 't', 0, G_OPTION_ARG_DOUBLE, &o->trial_objective_pct,
      "Objective for trials (default: that of --objective)", "PERCENT" },
    { "json", 'j', 0, G_OPTION_ARG_NONE, &o->json, "Print JSON", NULL },
    { "html", 'w', 0, G_OPTION_ARG_FILENAME, &o->html,
      "Also write an HTML page to FILE", "FILE" },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GError *error = NULL;
  GOptionContext *context = g_option_context_new ("");
  g_option_context_set_summary (
      context, "Report the burn rates of the error budgets of services.");
  g_option_context_add_main_entries (context, entries, NULL);
  bool parsed = g_option_context_parse (context, argc, argv, &error);
  if (!parsed)
    {
      fprintf (stderr, "crocusbend report: %s\n", error->message);
      g_error_free (error);
    }
  g_option_context_free (context);
  return parsed;
}

static bool
is_objective (double pct)
{
  return pct > 0 && pct < 100;
}

/* Report all errors, not only the first.  */
static bool
check_options (const struct options *o, int argc, char **argv)
{
  bool valid = true;
  for (int i = 1; i < argc; i++)
    {
      fprintf (stderr, "crocusbend report: unexpected argument '%s'\n",
               argv[i]);
      valid = false;
    }
  if (o->nodes == NULL && o->inputs == NULL)
    {
      fprintf (stderr, "crocusbend report: --node or --input is required\n");
      valid = false;
    }
  if (!is_objective (o->objective_pct)
      || !is_objective (o->trial_objective_pct))
    {
      fprintf (stderr,
               "crocusbend report: an objective must be more than 0 and "
               "less than 100\n");
      valid = false;
    }
  return valid;
}

static void
collect (struct collection *c, enum status fetched, char *body,
         const char *source)
{
  c->source_count++;
  if (fetched == STATUS_OK)
    fetched = merge_add (c->merge, body, source);
  if (fetched == STATUS_OK)
    c->merged_count++;
  else
    g_string_append_printf (c->problems, "%s\n", status_message ());
  free (body);
}

static void
collect_all (struct collection *c, const struct options *o)
{
  char *body;
  for (gchar **node = o->nodes; node != NULL && *node != NULL; node++)
    {
      gchar *url = g_strdup_printf ("http://%s/burn", *node);
      enum status fetched = fetch_url (url, FETCH_TIMEOUT_MS, &body);
      collect (c, fetched, body, url);
      g_free (url);
    }
  for (gchar **path = o->inputs; path != NULL && *path != NULL; path++)
    {
      enum status fetched = fetch_file (*path, &body);
      collect (c, fetched, body, *path);
    }
}

static bool
write_html (const struct burn_report *r, const char *path)
{
  FILE *out = fopen (path, "w");
  if (out == NULL)
    {
      fprintf (stderr, "crocusbend report: %s: cannot be written\n", path);
      return false;
    }
  print_html (r, out);
  return fclose (out) == 0;
}

static bool
print_report (const struct collection *c, const struct options *o)
{
  size_t count;
  struct merge_series *series = merge_sum (c->merge, &count);
  struct objective_row *rows = g_new0 (struct objective_row, count);
  bool written = true;
  for (size_t i = 0; i < count; i++)
    rows[i] = objective_compute (&series[i], series[i].kind == ADMIT_TRIAL
                                                 ? o->trial_objective_pct
                                                 : o->objective_pct);
  struct burn_report r = { .rows = rows,
                           .row_count = count,
                           .now_s = merge_now_s (c->merge),
                           .source_count = c->source_count,
                           .merged_count = c->merged_count,
                           .problems = c->problems->str };
  if (o->json)
    print_json (&r, stdout);
  else
    print_text (&r, stdout);
  if (o->html != NULL)
    written = write_html (&r, o->html);
  g_free (rows);
  free (series);
  return written;
}

static int
run (const struct options *o)
{
  struct collection c
      = { .merge = merge_new (), .problems = g_string_new ("") };
  int result = EXIT_USAGE;
  if (c.merge != NULL)
    {
      collect_all (&c, o);
      if (print_report (&c, o))
        result
            = c.merged_count == c.source_count ? EXIT_SUCCESS : EXIT_PARTIAL;
    }
  merge_free (c.merge);
  g_string_free (c.problems, TRUE);
  return result;
}

int
report_main (int argc, char **argv)
{
  struct options o = { .objective_pct = DEFAULT_OBJECTIVE_PCT };
  int result = EXIT_USAGE;
  if (read_options (&o, &argc, &argv))
    {
      if (o.trial_objective_pct == 0)
        o.trial_objective_pct = o.objective_pct;
      if (check_options (&o, argc, argv))
        result = run (&o);
    }
  g_strfreev (o.nodes);
  g_strfreev (o.inputs);
  g_free (o.html);
  return result;
}
