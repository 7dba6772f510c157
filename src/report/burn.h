/* What became of the requests of a node, by service and kind of organisation,
   in buckets of ten seconds over the last six hours.  One thread owns it.

   Buckets are numbered by wall time, so that those of several nodes can be
   summed.  */

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

/* The word for WHAT in JSON and reports; never NULL.  */
const char *burn_outcome_name (enum burn_outcome what);

/* "paying" or "trial".  */
const char *burn_kind_name (enum admit_kind kind);

/* Room for SERIES_MAX pairs of service and kind, about 43 KB each; NULL when
   memory is short.  Free it with burn_free.  */
struct burn *burn_new (uint32_t series_max);
void burn_free (struct burn *b);

/* Count one request that ended.  What finds no room is not counted.  A wall
   clock that went back counts in the newest bucket.  */
void burn_add (struct burn *b, const char *service, enum admit_kind kind,
               enum burn_outcome what, int64_t wall_ms);

/* The buckets that are not empty as JSON:
     {"bucket_seconds": 10, "now": SECONDS, "series": [
       {"service": NAME, "kind": "paying" | "trial",
        "buckets": [[BUCKET, ANSWERED, LATE, REFUSED, UNKNOWN,
                     UNAVAILABLE], ...]}]}
   BUCKET is seconds since 1970 divided by bucket_seconds.  The caller frees
   the result with free; NULL when memory is short.  */
char *burn_export_json (const struct burn *b, int64_t wall_ms);

#endif
