/* The outcome of a request.  */

#ifndef ROUTE_OUTCOME_H
#define ROUTE_OUTCOME_H

#include "limit/reason.h"

enum outcome
{
#define OUTCOME(name, word) OUTCOME_##name,
#include "route/outcome.def"
#undef OUTCOME
  OUTCOME_COUNT
};

/* The name of O in answers and logs.  */
const char *outcome_word (enum outcome o);

/* The HTTP status of an answer with outcome O and reason R.  */
unsigned outcome_http_status (enum outcome o, enum reason r);

#endif
