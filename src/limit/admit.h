/* Admission control for one target, at the node that owns the target's keys.

   Each request in flight holds one permit; the number of permits is the limit.
   A request that cannot start at once waits in a bounded queue, or is refused
   as not run with a reason.  There are four classes with strict priority in
   this order: lookups of paying organisations, paying requests, lookups of
   trial organisations, trial requests.  A lookup is a request made on behalf
   of a request that already holds a permit elsewhere.  Within a class the
   organisations are served by weighted round robin.

   Trial requests within their share leave a few permits free as a reserve.
   Beyond the share they leave as many as paying requests are expected to need,
   whatever the trial demand.  Requests from callers leave permits free for
   lookups.

   An admission belongs to one thread and never reads the clock: the caller
   passes the time.  */

#ifndef LIMIT_ADMIT_H
#define LIMIT_ADMIT_H

#include "limit/reason.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct admit;

/* Handle of a request that is queued or in flight.  */
typedef uint32_t admit_ticket;
#define ADMIT_TICKET_NONE UINT32_C (0)

enum admit_kind
{
  ADMIT_PAYING,
  ADMIT_TRIAL
};

enum admit_state
{
  ADMIT_OPEN,
  ADMIT_DRAINING, /* new requests are refused, queued ones still run */
  ADMIT_DOWN      /* new and queued requests are refused */
};

struct admit_config
{
  uint32_t slots;             /* requests that the target runs concurrently */
  uint32_t queue_max;         /* queued requests, at most 30000 */
  uint32_t organisations_max; /* organisations tracked at a time */
  uint32_t trial_share_pct;   /* of the permits, for all trial requests
                                 together, beside paying ones */
  bool trial_lending;         /* trials may borrow beyond their share */
  uint32_t reserve_min;       /* minimum of permits that trials leave free;
                                 without paying requests one trial request
                                 runs anyway */
  uint32_t reserve_pct;       /* margin of the reserve, in percent of the
                                 square root of the paying load; 0: the
                                 reserve is reserve_min */
  uint32_t lookup_reserve;    /* permits that only lookups may use */
};

/* The configured policy of the request's organisation.  */
struct admit_policy
{
  enum admit_kind kind;
  uint32_t weight;        /* starts per round-robin turn; 0 counts as 1 */
  uint32_t in_flight_max; /* at this target; 0: no limit */
};

struct admit_request
{
  const char *organisation;
  struct admit_policy policy;
  uint32_t depth;      /* 0: from a caller, 1: a lookup for such a request */
  int64_t deadline_ns; /* same clock as now_ns */
  uint64_t user_data;  /* copied into each decision on this request */
};

enum admit_verdict
{
  ADMIT_START,   /* send it now, and call admit_done when it ends */
  ADMIT_QUEUED,  /* admit_next decides later */
  ADMIT_REFUSED, /* not run; its ticket is no longer valid */
  ADMIT_NOTHING  /* admit_next only: no decision now */
};

struct admit_decision
{
  enum admit_verdict verdict;
  admit_ticket ticket; /* for ADMIT_START and ADMIT_QUEUED */
  uint64_t user_data;
  enum reason reason;      /* for ADMIT_REFUSED */
  uint32_t retry_after_ms; /* for ADMIT_REFUSED; 0: unknown */
  enum admit_kind kind;
};

enum admit_outcome
{
  ADMIT_ANSWERED, /* a complete answer was received */
  ADMIT_SHED,     /* the target reported that it did not run the request */
  ADMIT_TIMED_OUT,
  ADMIT_FAILED,   /* no connection, or closed before the complete answer */
  ADMIT_CANCELLED /* the caller disconnected */
};

struct admit_stats
{
  uint32_t limit;
  uint32_t in_flight[2]; /* by kind */
  uint32_t queued[2];    /* by kind */
  uint32_t reserve;   /* permits that trials beyond their share leave free */
  int64_t service_ns; /* moving average of service times */
  uint64_t started[2];
  uint64_t refused[2];
};

/* The defaults for a target with SLOTS slots.  */
void admit_config_defaults (struct admit_config *config, uint32_t slots);

/* Create an open admission with a limit of config->slots.  NULL when out of
   memory.  Free it with admit_free.  */
struct admit *admit_new (const struct admit_config *config);
void admit_free (struct admit *a);

/* Decide on a new request: ADMIT_START, ADMIT_QUEUED or ADMIT_REFUSED.  The
   name of the organisation is copied.  */
struct admit_decision admit_offer (struct admit *a,
                                   const struct admit_request *request,
                                   int64_t now_ns);

/* The next decision on a queued request: ADMIT_START, ADMIT_REFUSED or
   ADMIT_NOTHING.  Call it until ADMIT_NOTHING after each admit_offer,
   admit_done, admit_set_limit and admit_set_state, and at
   admit_wake_ns.  */
struct admit_decision admit_next (struct admit *a, int64_t now_ns);

/* The time at which admit_next refuses a queued request because of its
   deadline; INT64_MAX when none is queued.  */
int64_t admit_wake_ns (const struct admit *a);

/* Record the end of a started request after LATENCY_NS and release its permit.
   False when TICKET is not a request in flight.  */
bool admit_done (struct admit *a, admit_ticket ticket,
                 enum admit_outcome outcome, int64_t latency_ns,
                 int64_t now_ns);

/* Remove a queued request whose caller disconnected; it did not run.  False
   when TICKET is not a queued request; a started one ends with admit_done.  */
bool admit_cancel (struct admit *a, admit_ticket ticket);

/* Set the limit of requests in flight, at least 1.  Requests in flight beyond
   a lowered limit run to their end.  */
void admit_set_limit (struct admit *a, uint32_t limit);

void admit_set_state (struct admit *a, enum admit_state state);

/* Set the share of the permits for all trial requests together.  With LENDING
   they may borrow more, as far as paying requests are not expected to need
   it.  */
void admit_set_trial_share (struct admit *a, uint32_t share_pct, bool lending);

/* Paying and trial requests in flight.  */
uint32_t admit_in_flight (const struct admit *a);

void admit_read_stats (const struct admit *a, struct admit_stats *stats);

#endif
