/* The callers service: HTTP for callers, by libmicrohttpd.

   A request whose body was received completely is submitted to the router, and
   its connection is suspended until the router has ended it.  docs/CALLERS.md
   describes the interface.  */

#ifndef ROUTE_CALLERS_H
#define ROUTE_CALLERS_H

#include "base/kernel.h"
#include "route/map.h"
#include "settings/settings.h"

#define CALLERS_SERVICE "callers"

struct service *callers_new (struct kernel *k, const struct settings *s,
                             struct map *m);

#endif
