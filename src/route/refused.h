/* The operators' query "refused", answered from all members.  */

#ifndef ROUTE_REFUSED_H
#define ROUTE_REFUSED_H

#include "ask/answer.h"
#include "ask/query.h"
#include "base/kernel.h"
#include "route/gather.h"
#include "route/map.h"

/* The counts of this node for Q, as callstats_list_refusals returns them.  */
char *refused_local (struct service *callstats, const struct ask_query *q,
                     int64_t now_ns);

/* Sum the refusals of the members of VIEW by Q's group into ANSWER.  */
enum status refused_answer (struct gather *g, struct service *callstats,
                            const struct map_view *view,
                            const struct ask_query *q,
                            struct ask_answer *answer);

#endif
