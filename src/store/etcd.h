/* A store behind etcd's v3 JSON gateway over HTTP.

   A call that reached no endpoint goes to the next one within its time limit;
   a write that may have reached one goes to no other.  Endpoints that failed
   are left alone for a jittered time that grows with each failure: a call that
   finds none ready waits for up to half its limit.  */

#ifndef STORE_ETCD_H
#define STORE_ETCD_H

#include "settings/settings.h"
#include "store/store.h"

/* A store that calls ENDPOINTS in turn, each call bounded by TIMEOUT_MS.
   NULL when memory is short.  */
struct store *etcd_new (const struct settings_address *endpoints,
                        uint32_t count, uint32_t timeout_ms);

/* End watches of ST that bring nothing, not even a progress notification,
   for SILENCE_MS.  The first value is ETCD_WATCH_IDLE_TIMEOUT_MS.  */
void etcd_set_watch_idle_timeout (struct store *st, uint32_t silence_ms);

enum
{
  ETCD_WATCH_IDLE_TIMEOUT_MS = 3000
};

#endif
