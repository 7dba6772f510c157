/* Sums of the request counters of several nodes.  */

#ifndef REPORT_MERGE_H
#define REPORT_MERGE_H

#include "base/status.h"
#include "report/burn.h"
#include <stddef.h>
#include <stdint.h>

struct merge;

/* The summed counters of one service and kind.  buckets[0] is the oldest; the
   last bucket covers the latest "now" of the nodes.  */
struct merge_series
{
  char service[BURN_NAME_BYTES];
  enum admit_kind kind;
  uint64_t buckets[BURN_BUCKETS][BURN_OUTCOME_COUNT];
};

/* Create an empty merge, which is freed with merge_free.  NULL when out of
   memory.  */
struct merge *merge_new (void);
void merge_free (struct merge *m);

/* Add TEXT, the JSON that burn_export_json wrote at one node.  SOURCE names
   its origin in messages.  If TEXT has another format, nothing is added and
   the result is STATUS_INVALID with a message.  */
enum status merge_add (struct merge *m, const char *text, const char *source);

/* Sum the added counters.  The result is sorted by service, paying before
   trial; the caller frees it with free.  NULL and a *COUNT of 0 when there are
   no series.  */
struct merge_series *merge_sum (const struct merge *m, size_t *count);

/* Return the latest "now" of the nodes, in seconds since 1970.  */
int64_t merge_now_s (const struct merge *m);

#endif
