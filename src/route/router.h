/* The router service: routes each caller's request to the owner of its key and
   ends it by its deadline.

   One thread holds all calls.  It starts an attempt at the owner's node, local
   or remote, and decides from the attempt's result whether to answer or to try
   again.  Only requests that did not run, or that are idempotent, are tried
   again.  */

#ifndef ROUTE_ROUTER_H
#define ROUTE_ROUTER_H

#include "base/kernel.h"
#include "base/mail.h"
#include "route/map.h"
#include "route/request.h"
#include "settings/settings.h"

#define ROUTER_SERVICE "router"

/* A caller's request in the router.  The callers service allocates it; the
   router returns it by calling DONE on the router's thread, with ANSWER
   filled.  */
struct call
{
  struct inbox_header header;
  struct request *request; /* the call holds a reference */
  int fd; /* socket of the caller's connection; -1 when unknown */
  void (*done) (struct call *call);
  void *context; /* for the callers service */
  struct answer answer;
  /* Used by the router only.  */
  struct attempt *attempt; /* in flight, or NULL */
  int64_t retry_at_ns; /* start of the next attempt, when none is in flight */
  unsigned owner_lookups;   /* number of times that the owner was looked up */
  unsigned target_attempts; /* attempts that may have reached a target or
                               found it unreachable */
  bool may_have_run;        /* an attempt ended with OUTCOME_UNKNOWN */
  struct call *next;
  struct call *previous;
};

/* The router service of kernel K.  NULL when memory is short.  */
struct service *router_new (struct kernel *k, const struct settings *s,
                            struct map *m);

/* Route CALL.  On STATUS_OK the router owns CALL until it calls DONE;
   STATUS_FULL when the node holds too many requests.  Any thread.  */
enum status router_submit (struct service *router, struct call *call);

/* The number of calls in the router.  Any thread.  */
uint32_t router_call_count (struct service *router);

#endif
