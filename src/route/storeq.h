/* The store service: a service that holds the node's store worker, so that
   other services find it by name.  */

#ifndef ROUTE_STOREQ_H
#define ROUTE_STOREQ_H

#include "base/kernel.h"
#include "route/map.h"
#include "settings/settings.h"
#include "store/worker.h"

#define STOREQ_SERVICE "store"

struct service *storeq_new (struct kernel *k, const struct settings *s,
                            struct map *m);

/* Submit JOB as store_worker_submit does.  */
void storeq_submit (struct service *storeq, struct store_job *job);

#endif
