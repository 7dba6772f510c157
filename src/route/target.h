/* The target service: sends attempts to the co-located target over HTTP.

   One thread drives libcurl.  An attempt is sent only while this node owns its
   key and holds its lease; both are checked again directly before the first
   byte is sent.  A non-idempotent request is sent at most once: libcurl would
   send it again by itself when a reused connection closes.  */

#ifndef ROUTE_TARGET_H
#define ROUTE_TARGET_H

#include "base/kernel.h"
#include "own/hot_meter.h"
#include "route/map.h"
#include "route/request.h"
#include "settings/settings.h"

#define TARGET_SERVICE "target"

struct service *target_new (struct kernel *k, const struct settings *s,
                            struct map *m);

/* Send A to the target; A is returned to its reply_to.  STATUS_FULL when there
   is no room: the caller keeps A.  Any thread.  */
enum status target_submit (struct service *target, struct attempt *a);

/* Make the service process cancelled attempts now.  Any thread.  */
void target_check_cancels (struct service *target);

/* The load meter that the target's thread updates; valid until the service is
   freed.  */
struct hot_meter *target_meter (struct service *target);

#endif
