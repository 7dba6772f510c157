/* The rate service: enforces the rates of trial organisations over the whole
   cell.

   It carries the reports and grants of limit/rate.h between the nodes, as
   fetches of TOPIC_RATE.  The holder of an organisation's rate is a member
   that every node computes from the organisation's name and the members.  */

#ifndef ROUTE_RATED_H
#define ROUTE_RATED_H

#include "base/kernel.h"
#include "limit/rate.h"
#include "route/map.h"
#include "settings/settings.h"

#define RATED_SERVICE "rates"

struct service *rated_new (struct kernel *k, const struct settings *s,
                           struct map *m);

/* Take one token for a request of ORGANISATION, which may send RATE requests
   per second in the cell.  STATUS_OK, or STATUS_LIMITED or STATUS_FULL as
   rate_take.  Does not wait for a message.  Any thread.  */
enum status rated_take (struct service *rated, const char *organisation,
                        uint32_t rate, int64_t now_ns);

/* A report or a grant as text, which is freed with free; NULL when memory is
   short.  */
char *rate_report_format (const struct rate_report *report);
char *rate_grant_format (const struct rate_grant *grant);

/* Parse TEXT.  False when it is malformed.  */
bool rate_report_parse (struct rate_report *report, const char *text);
bool rate_grant_parse (struct rate_grant *grant, const char *text);

#endif
