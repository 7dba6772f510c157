/* The burn report as text, JSON and an HTML page.  */

#ifndef REPORT_PRINT_H
#define REPORT_PRINT_H

#include "report/objective.h"
#include <stdio.h>

struct burn_report
{
  const struct objective_row *rows;
  size_t row_count;
  int64_t now_s; /* end of the windows, in seconds since 1970 */
  size_t source_count;
  size_t merged_count;  /* sources whose counters are in the report */
  const char *problems; /* of the other sources, one per line; may be empty */
};

void print_text (const struct burn_report *r, FILE *out);
void print_json (const struct burn_report *r, FILE *out);

/* Print a self-contained page.  */
void print_html (const struct burn_report *r, FILE *out);

/* Write SECONDS since 1970 as "2026-12-03 20:15:00 UTC" to TEXT of BYTES.  */
void print_time (int64_t seconds, char *text, size_t bytes);

#endif
