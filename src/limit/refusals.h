/* Counts of the refused requests of the last hour, by organisation, service,
   reason and minute.  The table is bounded: refusals that find no free row are
   counted under "(others)".  A table belongs to one thread.  */

#ifndef LIMIT_REFUSALS_H
#define LIMIT_REFUSALS_H

#include <stddef.h>
#include <stdint.h>

struct refusals;

enum
{
  REFUSALS_MINUTES = 60,
  REFUSALS_NAME_BYTES = 64,
  REFUSALS_REASON_BYTES = 32
};

struct refusals_row
{
  char organisation[REFUSALS_NAME_BYTES];
  char service[REFUSALS_NAME_BYTES];
  char reason[REFUSALS_REASON_BYTES];
  uint64_t total;                       /* in the minutes queried */
  uint32_t by_minute[REFUSALS_MINUTES]; /* 0: the current minute */
};

/* A query; NULL matches any text.  */
struct refusals_filter
{
  const char *organisation;
  const char *service;
  const char *reason;
  uint32_t minutes; /* the last ones, including the current; 0: all */
};

/* Create a table of ROWS_MAX rows.  NULL when out of memory.  Free it with
   refusals_free.  */
struct refusals *refusals_new (uint32_t rows_max);
void refusals_free (struct refusals *r);

/* Count one refusal.  The texts are copied, and truncated to the sizes
   above.  */
void refusals_add (struct refusals *r, const char *organisation,
                   const char *service, const char *reason, int64_t now_ns);

/* The rows that match FILTER with a total above zero, in descending order of
   the total, and their number in *COUNT.  The caller frees the result with
   free; NULL when there is none or when out of memory.  */
struct refusals_row *refusals_query (const struct refusals *r,
                                     const struct refusals_filter *filter,
                                     int64_t now_ns, size_t *count);

#endif
