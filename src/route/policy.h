/* The retry policy for a request whose attempt was not answered.

   The functions do no I/O and read no clock; their only state is the retry
   budget of limit/retry.h, which all requests of the node share.  Attempts
   that failed before they reached a target, because the key had no owner that
   was reachable and could serve it, are repeated with back-off until the
   deadline.  Sends to a target are repeated within the budget.  */

#ifndef ROUTE_POLICY_H
#define ROUTE_POLICY_H

#include "limit/retry.h"
#include "route/outcome.h"
#include <stdbool.h>
#include <stdint.h>

enum policy_verdict
{
  POLICY_GIVE_UP,
  POLICY_FIND_OWNER,  /* look up the owner again after a back-off */
  POLICY_RESEND,      /* send again; the retry budget was charged */
  POLICY_BUDGET_SPENT /* give up: the retry budget is spent */
};

struct policy_input
{
  enum outcome outcome;
  enum reason reason;
  bool idempotent;
  unsigned owner_lookups;   /* owner look-ups so far */
  unsigned target_attempts; /* attempts so far that may have reached a target
                               or found it unreachable; at least 1 when the
                               last one did */
  int64_t deadline_ns;
  uint32_t random; /* uniformly distributed over all values */
};

struct policy_decision
{
  enum policy_verdict verdict;
  int64_t retry_at_ns; /* when to do so; 0 when the request is given up */
};

void policy_init (struct retry_budget *b);

/* Decide what to do with a request whose last attempt ended as C describes, at
   NOW_NS.  */
struct policy_decision policy_decide (struct retry_budget *b,
                                      const struct policy_input *c,
                                      int64_t now_ns);

/* The back-off before the next owner look-up, after OWNER_LOOKUPS of them.  */
int64_t policy_backoff_ns (unsigned owner_lookups);

#endif
