/* The operator service: HTTP for operators, by libmicrohttpd.

   GET /metrics returns the counters, GET /health whether this node serves, GET
   /burn the service-level burn and GET /ownership the state of the agent; POST
   /ask runs a line of the operator language.  */

#ifndef ROUTE_OPERATOR_H
#define ROUTE_OPERATOR_H

#include "base/kernel.h"
#include "route/map.h"
#include "settings/settings.h"

#define OPERATOR_SERVICE "operator"

struct service *operator_new (struct kernel *k, const struct settings *s,
                              struct map *m);

#endif
