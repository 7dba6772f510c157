/* A store client for etcd's v3 JSON gateway over HTTP.

   A call that did not reach an endpoint fails over to the next one within its
   time limit; a write that may have reached an endpoint does not.  An endpoint
   that failed is not called during its back-off, which has jitter and grows
   with each failure.  If all endpoints are in back-off, a call waits for up to
   half its time limit.  */

#ifndef STORE_ETCD_H
#define STORE_ETCD_H

#include "settings/settings.h"
#include "store/store.h"

/* Create a store with COUNT ENDPOINTS and a time limit of TIMEOUT_MS for each
   call.  NULL when out of memory.  */
struct store *etcd_new (const struct settings_address *endpoints,
                        uint32_t count, uint32_t timeout_ms);

/* End watches of ST that receive nothing, not even a progress notification,
   for TIMEOUT_MS.  The default is ETCD_WATCH_IDLE_TIMEOUT_MS.  */
void etcd_set_watch_idle_timeout (struct store *st, uint32_t timeout_ms);

enum
{
  ETCD_WATCH_IDLE_TIMEOUT_MS = 3000
};

#endif
