/* Retry policy: whether and when a request is sent again.

   All retries of a node share one retry budget, a token bucket: each first
   send deposits a fraction of a retry and each retry withdraws one, so that
   sends stay below (1 + ratio) times the requests.  Only requests that are
   known not to have run, and idempotent requests with an unknown outcome, may
   be sent again.  */

#ifndef LIMIT_RETRY_H
#define LIMIT_RETRY_H

#include <stdbool.h>
#include <stdint.h>

struct retry_config
{
  uint32_t ratio_pct;     /* retries deposited by a hundred first sends */
  uint32_t stored_max;    /* capacity of the budget, in retries */
  uint32_t attempts_max;  /* sends of one request, including the first */
  int64_t backoff_ns;     /* bound of the back-off before the second send */
  int64_t backoff_max_ns; /* cap of the bound, which doubles per send */
};

enum
{
  /* The stored part of a budget is divided among at least this many nodes, so
     that a change in the number of nodes has no effect in a small site.  */
  RETRY_SHARE_NODES_MIN = 16
};

struct retry_budget
{
  struct retry_config config;
  uint64_t balance_hundredths; /* stored, in hundredths of a retry */
};

enum retry_outcome
{
  RETRY_ANSWERED,
  RETRY_REDIRECTED, /* not run: sent to a node that is not the owner */
  RETRY_NOT_RUN,    /* not run, and a retry may succeed */
  RETRY_REFUSED,    /* not run, and a retry would be refused as well */
  RETRY_UNKNOWN     /* sent, and no answer was received */
};

enum retry_action
{
  RETRY_NOW,
  RETRY_AT,
  RETRY_GIVE_UP
};

enum retry_reason
{
#define RETRY_REASON(name, word) RETRY_REASON_##name,
#include "limit/retry.def"
#undef RETRY_REASON
  RETRY_REASON_COUNT
};

struct retry_input
{
  enum retry_outcome outcome;
  bool idempotent;
  uint32_t sends;     /* so far, at least 1 */
  uint32_t redirects; /* of these, ended with RETRY_REDIRECTED */
  int64_t deadline_ns;
  int64_t service_ns;     /* expected time to an answer; 0: unknown */
  int64_t retry_after_ns; /* minimum delay that the refusal asked for */
  uint32_t random;        /* uniformly distributed, for the jitter */
};

struct retry_decision
{
  enum retry_action action;
  int64_t at_ns; /* for RETRY_AT */
  enum retry_reason reason;
};

void retry_config_defaults (struct retry_config *config);

/* Initialise an empty budget.  */
void retry_init (struct retry_budget *b, const struct retry_config *config);

/* Set the capacity of the budget to STORED_MAX retries.  */
void retry_set_stored_max (struct retry_budget *b, uint32_t stored_max);

/* The capacity of one node's budget in a site of NODES nodes, where STORED is
   the capacity in a site of up to RETRY_SHARE_NODES_MIN nodes.  In a larger
   site the sum over all nodes is RETRY_SHARE_NODES_MIN times STORED, except
   that each node has at least one retry unless STORED is 0.  */
uint32_t retry_stored_share (uint32_t stored, uint32_t nodes);

/* Add to the budget for a request that was sent for the first time.  */
void retry_deposit (struct retry_budget *b);

/* Decide whether to send a request again after its last send ended.  RETRY_AT
   withdraws a retry from the budget.  RETRY_NOW, after the first redirect of a
   request, does not: no target has seen the request.  */
struct retry_decision retry_decide (struct retry_budget *b,
                                    const struct retry_input *c,
                                    int64_t now_ns);

/* Give back a retry that was withdrawn and not made, because the caller
   disconnected.  */
void retry_refund (struct retry_budget *b);

/* Whole retries in the budget.  */
uint32_t retry_available (const struct retry_budget *b);

/* The identifier of R; never NULL.  */
const char *retry_reason_word (enum retry_reason r);

#endif
