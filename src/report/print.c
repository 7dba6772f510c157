#include "report/print.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <time.h>

enum
{
  TIME_BYTES = 32
};

void
print_time (int64_t seconds, char *text, size_t bytes)
{
  time_t when = (time_t)seconds;
  struct tm utc;
  gmtime_r (&when, &utc);
  strftime (text, bytes, "%Y-%m-%d %H:%M:%S UTC", &utc);
}

static uint64_t
count_failed (const struct objective_row *row)
{
  return row->requests - row->outcomes[BURN_ANSWERED];
}

static void
print_failures (const struct objective_row *row, FILE *out)
{
  bool first = true;
  if (count_failed (row) == 0)
    fprintf (out, "nothing");
  for (int w = BURN_ANSWERED + 1; w < BURN_OUTCOME_COUNT; w++)
    {
      if (row->outcomes[w] == 0)
        continue;
      fprintf (out, "%s%s %" PRIu64 " (%.0f%%)", first ? "" : ", ",
               burn_outcome_name ((enum burn_outcome)w), row->outcomes[w],
               100.0 * (double)row->outcomes[w] / (double)count_failed (row));
      first = false;
    }
}

void
print_text (const struct burn_report *r, FILE *out)
{
  char when[TIME_BYTES];
  print_time (r->now_s, when, sizeof when);
  fprintf (out, "six hours to %s, %zu of %zu nodes\n\n", when, r->merged_count,
           r->source_count);
  fprintf (out, "%-16s %-7s %9s %9s %8s %8s %8s %9s  %s\n", "service", "kind",
           "objective", "requests", "burn 5m", "burn 1h", "burn 6h", "left",
           "burnt by");
  for (size_t i = 0; i < r->row_count; i++)
    {
      const struct objective_row *row = &r->rows[i];
      fprintf (out,
               "%-16s %-7s %8.2f%% %9" PRIu64 " %8.2f %8.2f %8.2f %8.1f%%  ",
               row->series->service, burn_kind_name (row->series->kind),
               row->objective_pct, row->requests, row->burn_rates[0],
               row->burn_rates[1], row->burn_rates[2], row->budget_left_pct);
      print_failures (row, out);
      fprintf (out, "\n");
    }
  if (r->row_count == 0)
    fprintf (out, "no requests\n");
  if (r->problems[0] != '\0')
    fprintf (out, "\n%s", r->problems);
}

static json_t *
row_json (const struct objective_row *row)
{
  json_t *burn = json_object ();
  json_t *failures = json_object ();
  for (int w = 0; w < OBJECTIVE_WINDOWS; w++)
    json_object_set_new (burn, objective_window_name (w),
                         json_real (row->burn_rates[w]));
  for (int w = BURN_ANSWERED + 1; w < BURN_OUTCOME_COUNT; w++)
    json_object_set_new (failures, burn_outcome_name ((enum burn_outcome)w),
                         json_integer ((json_int_t)row->outcomes[w]));
  return json_pack (
      "{s:s, s:s, s:f, s:I, s:o, s:f, s:o}", "service", row->series->service,
      "kind", burn_kind_name (row->series->kind), "objective_percent",
      row->objective_pct, "requests", (json_int_t)row->requests, "burn", burn,
      "budget_left_percent", row->budget_left_pct, "burnt_by", failures);
}

void
print_json (const struct burn_report *r, FILE *out)
{
  json_t *rows = json_array ();
  for (size_t i = 0; i < r->row_count; i++)
    json_array_append_new (rows, row_json (&r->rows[i]));
  json_t *root
      = json_pack ("{s:I, s:I, s:I, s:s, s:o}", "now", (json_int_t)r->now_s,
                   "nodes", (json_int_t)r->source_count, "nodes_answered",
                   (json_int_t)r->merged_count, "problems", r->problems,
                   "objectives", rows);
  char *text = json_dumps (root, JSON_INDENT (2) | JSON_PRESERVE_ORDER
                                     | JSON_REAL_PRECISION (6));
  if (text != NULL)
    fprintf (out, "%s\n", text);
  free (text);
  json_decref (root);
}
