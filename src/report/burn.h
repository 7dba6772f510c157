/* Counters of request outcomes at a node, by service and kind of organisation,
   in buckets of ten seconds over the last six hours.  Not thread-safe.

   Buckets are numbered by wall-clock time, so that the buckets of several
   nodes can be summed.  */

#ifndef REPORT_BURN_H
#define REPORT_BURN_H

#include "limit/admit.h"
#include <stdint.h>

struct burn;

enum
{
  BURN_BUCKET_S = 10,
  BURN_BUCKETS = 6 * 3600 / BURN_BUCKET_S,
  BURN_NAME_BYTES = 64
};

enum burn_outcome
{
#define BURN(name, word) BURN_##name,
#include "report/burn.def"
#undef BURN
  BURN_OUTCOME_COUNT
};

/* Return the name of OUTCOME in JSON and reports.  Never NULL.  */
const char *burn_outcome_name (enum burn_outcome outcome);

/* Return "paying" or "trial".  */
const char *burn_kind_name (enum admit_kind kind);

/* Create counters for up to SERIES_MAX pairs of service and kind, which take
   about 43 KB each.  NULL when out of memory.  Free them with burn_free.  */
struct burn *burn_new (uint32_t series_max);
void burn_free (struct burn *b);

/* Count one completed request.  A request of a new pair is not counted when
   SERIES_MAX pairs exist already.  If the wall clock went backwards, the
   request is counted in the newest bucket.  */
void burn_add (struct burn *b, const char *service, enum admit_kind kind,
               enum burn_outcome outcome, int64_t wall_ms);

/* Export the buckets that are not empty as JSON:
     {"bucket_seconds": 10, "now": SECONDS, "series": [
       {"service": NAME, "kind": "paying" | "trial",
        "buckets": [[BUCKET, ANSWERED, LATE, REFUSED, UNKNOWN,
                     UNAVAILABLE], ...]}]}
   BUCKET is seconds since 1970 divided by bucket_seconds.  The caller frees
   the result with free; NULL when out of memory.  */
char *burn_export_json (const struct burn *b, int64_t wall_ms);

#endif
