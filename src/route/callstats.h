/* Statistics of callers' requests at this node: the refusals of the last hour
   and the service-level burn.

   The router counts each call that has ended; operators query the counts.  A
   service without a thread, guarded by a lock.  Requests that callers.c
   refuses by itself (malformed, too large, no room) are not counted here.  */

#ifndef ROUTE_CALLSTATS_H
#define ROUTE_CALLSTATS_H

#include "ask/query.h"
#include "base/kernel.h"
#include "report/burn.h"
#include "route/map.h"
#include "route/request.h"
#include "settings/settings.h"

#define CALLSTATS_SERVICE "callstats"

struct service *callstats_new (struct kernel *k, const struct settings *s,
                               struct map *m);

/* Count the call of REQUEST that ended with ANSWER at NOW_NS.  Any thread.  */
void callstats_add (struct service *callstats, const struct request *request,
                    const struct answer *answer, int64_t now_ns);

/* The refusals of the last MINUTES, 0 for all of the last hour, by GROUP: a
   line "COUNT NAME" for each of the most frequent names, "(others)" for the
   rest.  The caller frees the result with free; NULL when memory is short.  */
char *callstats_list_refusals (struct service *callstats, enum ask_group group,
                               uint32_t minutes, int64_t now_ns);

/* The burn report, as burn_export_json returns it.  Any thread.  */
char *callstats_burn_json (struct service *callstats);

/* Store in *CATEGORY how the burn report counts a request that ended with
   OUTCOME and REASON, after its deadline when LATE.  False when it is not
   counted: the caller caused the failure or disconnected.  */
bool callstats_classify_burn (enum outcome outcome, enum reason reason,
                              bool late, enum burn_outcome *category);

#endif
