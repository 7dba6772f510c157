/* The buckets of several nodes, summed.  */

#ifndef REPORT_MERGE_H
#define REPORT_MERGE_H

#include "base/status.h"
#include "report/burn.h"
#include <stddef.h>
#include <stdint.h>

struct merge;

/* Of one service and kind; buckets[0] is the oldest, the last one holds the
   newest "now" of the nodes.  */
struct merge_series
{
  char service[BURN_NAME_BYTES];
  enum admit_kind kind;
  uint64_t buckets[BURN_BUCKETS][BURN_OUTCOME_COUNT];
};

/* Nothing yet; NULL when memory is short.  Free it with merge_free.  */
struct merge *merge_new (void);
void merge_free (struct merge *m);

/* Add the JSON of one node that came from SOURCE.  STATUS_INVALID with a
   message when TEXT is not what burn_export_json writes: nothing of it is
   added.  */
enum status merge_add (struct merge *m, const char *text, const char *source);

/* Sum up what was added, by name of service, paying first.  The caller frees
   the result with free; *COUNT of 0 and NULL when there is nothing.  */
struct merge_series *merge_sum (const struct merge *m, size_t *count);

/* The newest "now" of the nodes in seconds since 1970.  */
int64_t merge_now_s (const struct merge *m);

#endif
