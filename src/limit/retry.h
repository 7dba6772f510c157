/* Whether and when a request is sent again.

   All retries of a node share one budget: each first send earns a part of a
   retry, each retry spends one, so that sends stay below 1 + ratio of the
   requests.  Only what is proven not to have run, and idempotent requests
   whose outcome is unknown, may be sent again.  */

#ifndef LIMIT_RETRY_H
#define LIMIT_RETRY_H

#include <stdbool.h>
#include <stdint.h>

struct retry_config
{
  uint32_t ratio_pct;    /* retries earned by a hundred first sends */
  uint32_t stored_max;   /* retries that may be saved up */
  uint32_t attempts_max; /* sends of one request */
  int64_t backoff_ns;    /* longest pause before the second send */
  int64_t backoff_max_ns;
};

enum
{
  /* Nodes among which the stored part of a budget is divided at least, so that
     a node more or less changes nothing in a small site.  */
  RETRY_SHARERS = 16
};

struct retry_budget
{
  struct retry_config config;
  uint64_t hundredths; /* of a retry, saved up */
};

enum retry_outcome
{
  RETRY_ANSWERED,
  RETRY_MOVED,   /* not run: came to a node that is not the owner */
  RETRY_NOT_RUN, /* not run, and another send may do better */
  RETRY_REFUSED, /* not run, and another send would be refused as well */
  RETRY_UNKNOWN  /* sent, and no answer came */
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

struct retry_case
{
  enum retry_outcome outcome;
  bool idempotent;
  uint32_t sends; /* made so far, at least 1 */
  uint32_t moves; /* of them ended with RETRY_MOVED */
  int64_t deadline_ns;
  int64_t service_ns; /* usual time to an answer; 0 when unknown */
  int64_t pause_ns;   /* least pause that the refusal asked for */
  uint32_t random;    /* uniform over all values */
};

struct retry_decision
{
  enum retry_action action;
  int64_t at_ns; /* of RETRY_AT */
  enum retry_reason reason;
};

void retry_config_defaults (struct retry_config *config);

/* Start with nothing saved up.  */
void retry_init (struct retry_budget *b, const struct retry_config *config);

/* From now on save up no more than STORED_MAX whole retries.  */
void retry_set_stored (struct retry_budget *b, uint32_t stored_max);

/* The part of a budget that one of NODES may save up, when one of the first
   RETRY_SHARERS may save up STORED: the parts add up, but for a whole retry
   that each has at least.  */
uint32_t retry_stored_share (uint32_t stored, uint32_t nodes);

/* A request was sent for the first time.  */
void retry_earn (struct retry_budget *b);

/* Decide on a request whose last send ended.  RETRY_NOW and RETRY_AT have
   spent from the budget, but for the first move of a request: no target saw
   it.  */
struct retry_decision retry_decide (struct retry_budget *b,
                                    const struct retry_case *c,
                                    int64_t now_ns);

/* A retry that was decided on was not made: the caller went away.  */
void retry_return (struct retry_budget *b);

/* Whole retries saved up.  */
uint32_t retry_left (const struct retry_budget *b);

/* The word for R; never NULL.  */
const char *retry_reason_word (enum retry_reason r);

#endif
