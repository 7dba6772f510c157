#include "report/print.h"

#include <inttypes.h>
#include <math.h>

enum
{
  TIME_BYTES = 32,
  BARS = 72, /* of five minutes each */
  BAR_BUCKETS = BURN_BUCKETS / BARS,
  BAR_WIDTH = 9,
  PLOT_HEIGHT = 120,
  PLOT_WIDTH = BARS * BAR_WIDTH
};

static const char *const colours[BURN_OUTCOME_COUNT]
    = { "none", "#c28b00", "#3366aa", "#aa3333", "#555555" };

static const char style[]
    = "body{font-family:sans-serif;margin:2em;color:#222}"
      "table{border-collapse:collapse}"
      "td,th{border:1px solid #ccc;padding:.3em .6em;text-align:right}"
      "td.text,th.text{text-align:left}"
      "td.over{background:#f6d5d5}"
      "svg{background:#f7f7f7;margin:.3em 0}"
      "pre{background:#fff6dd;padding:.6em}";

/* Print TEXT with HTML escapes.  Service names come from nodes and must not be
   able to inject markup.  */
static void
put_escaped (const char *text, FILE *out)
{
  for (; *text != '\0'; text++)
    switch (*text)
      {
      case '<':
        fputs ("&lt;", out);
        break;
      case '>':
        fputs ("&gt;", out);
        break;
      case '&':
        fputs ("&amp;", out);
        break;
      case '"':
        fputs ("&quot;", out);
        break;
      default:
        fputc (*text, out);
      }
}

static void
put_name (const struct objective_row *row, FILE *out)
{
  put_escaped (row->series->service, out);
  fprintf (out, ", %s", burn_kind_name (row->series->kind));
}

static void
put_row (const struct objective_row *row, FILE *out)
{
  fprintf (out, "<tr><td class=\"text\">");
  put_name (row, out);
  fprintf (out, "</td><td>%.2f%%</td><td>%" PRIu64 "</td>", row->objective_pct,
           row->requests);
  for (int w = 0; w < OBJECTIVE_WINDOWS; w++)
    fprintf (out, "<td%s>%.2f</td>",
             row->burn_rates[w] > 1 ? " class=\"over\"" : "",
             row->burn_rates[w]);
  fprintf (out, "<td>%.1f%%</td>", row->budget_left_pct);
  for (int w = BURN_ANSWERED + 1; w < BURN_OUTCOME_COUNT; w++)
    fprintf (out, "<td>%" PRIu64 "</td>", row->outcomes[w]);
  fprintf (out, "</tr>\n");
}

static void
put_table (const struct burn_report *r, FILE *out)
{
  fprintf (out, "<table>\n<tr><th class=\"text\">service, kind</th>"
                "<th>objective</th><th>requests</th>");
  for (int w = 0; w < OBJECTIVE_WINDOWS; w++)
    fprintf (out, "<th>burn %s</th>", objective_window_name (w));
  fprintf (out, "<th>budget left</th>");
  for (int w = BURN_ANSWERED + 1; w < BURN_OUTCOME_COUNT; w++)
    fprintf (out, "<th style=\"color:%s\">%s</th>", colours[w],
             burn_outcome_name ((enum burn_outcome)w));
  fprintf (out, "</tr>\n");
  for (size_t i = 0; i < r->row_count; i++)
    put_row (&r->rows[i], out);
  fprintf (out, "</table>\n");
}

struct bar
{
  double requests;
  double
      fractions[BURN_OUTCOME_COUNT]; /* failed share of requests, by outcome */
  double failed_fraction;            /* share of requests */
};

static struct bar
compute_bar (const struct merge_series *s, uint32_t bar_index)
{
  struct bar b = { 0 };
  uint64_t sums[BURN_OUTCOME_COUNT];
  objective_sum (s, bar_index * BAR_BUCKETS, BAR_BUCKETS, sums);
  for (int w = 0; w < BURN_OUTCOME_COUNT; w++)
    b.requests += (double)sums[w];
  if (b.requests <= 0)
    return b;
  for (int w = BURN_ANSWERED + 1; w < BURN_OUTCOME_COUNT; w++)
    {
      b.fractions[w] = (double)sums[w] / b.requests;
      b.failed_fraction += b.fractions[w];
    }
  return b;
}

static void
put_bar (const struct bar *b, uint32_t bar_index, double y_max, FILE *out)
{
  double y = PLOT_HEIGHT;
  for (int w = BURN_ANSWERED + 1; w < BURN_OUTCOME_COUNT; w++)
    {
      double height = b->fractions[w] / y_max * PLOT_HEIGHT;
      if (height <= 0)
        continue;
      y -= height;
      fprintf (out,
               "<rect x=\"%u\" y=\"%.1f\" width=\"%d\" height=\"%.1f\" "
               "fill=\"%s\"/>\n",
               bar_index * BAR_WIDTH, y, BAR_WIDTH - 1, height, colours[w]);
    }
}

/* Draw the error budget of the six hours that remains after each bar.  */
static void
put_budget (const struct objective_row *row, FILE *out)
{
  double allowed = (1 - row->objective_pct / 100) * (double)row->requests;
  double spent = 0;
  fprintf (out, "<polyline fill=\"none\" stroke=\"#228833\" "
                "stroke-width=\"2\" points=\"0,0");
  for (uint32_t i = 0; i < BARS; i++)
    {
      struct bar b = compute_bar (row->series, i);
      spent += b.failed_fraction * b.requests;
      double left = allowed > 0 ? fmax (1 - spent / allowed, 0) : 1;
      fprintf (out, " %u,%.1f", (i + 1) * BAR_WIDTH, (1 - left) * PLOT_HEIGHT);
    }
  fprintf (out, "\"/>\n");
}

static void
put_plot (const struct objective_row *row, FILE *out)
{
  double allowed = 1 - row->objective_pct / 100;
  double y_max = 2 * allowed;
  for (uint32_t i = 0; i < BARS; i++)
    y_max = fmax (y_max, compute_bar (row->series, i).failed_fraction);
  fprintf (out, "<h2>");
  put_name (row, out);
  fprintf (
      out,
      "</h2>\n<p>Bars: share of requests that failed in five minutes; the "
      "top of the plot is %.3g%%. Dashed line: share that the objective "
      "allows to fail. Solid line: remaining error budget of the six "
      "hours, from 100%% at the top to 0%%.</p>\n"
      "<svg width=\"%d\" height=\"%d\" role=\"img\">\n",
      100 * y_max, PLOT_WIDTH, PLOT_HEIGHT);
  for (uint32_t i = 0; i < BARS; i++)
    {
      struct bar b = compute_bar (row->series, i);
      put_bar (&b, i, y_max, out);
    }
  double y = PLOT_HEIGHT * (1 - allowed / y_max);
  fprintf (out,
           "<line x1=\"0\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" stroke=\"#222\" "
           "stroke-dasharray=\"4\"/>\n",
           y, PLOT_WIDTH, y);
  put_budget (row, out);
  fprintf (out, "</svg>\n");
}

void
print_html (const struct burn_report *r, FILE *out)
{
  char when[TIME_BYTES];
  print_time (r->now_s, when, sizeof when);
  fprintf (out,
           "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
           "<title>crocusbend burn report</title><style>%s</style></head>"
           "<body>\n<h1>Service-level burn</h1>\n"
           "<p>Six hours to %s, %zu of %zu nodes.</p>\n",
           style, when, r->merged_count, r->source_count);
  put_table (r, out);
  for (size_t i = 0; i < r->row_count; i++)
    put_plot (&r->rows[i], out);
  if (r->problems[0] != '\0')
    {
      fprintf (out, "<pre>");
      put_escaped (r->problems, out);
      fprintf (out, "</pre>\n");
    }
  fprintf (out, "</body></html>\n");
}
