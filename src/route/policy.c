#include "route/policy.h"
#include "base/clock.h"

enum
{
  BACKOFF_DOUBLINGS_MAX = 3
};

#define FIRST_BACKOFF_NS (5 * NS_PER_MS)

static bool
is_owner_unavailable (enum reason reason)
{
  switch (reason)
    {
    case REASON_NO_OWNER:
    case REASON_NOT_OWNER:
    case REASON_LEASE_LAPSED:
    case REASON_MOVING:
    case REASON_OWNER_UNREACHABLE:
    case REASON_OWNER_LOST:
      return true;
    default:
      return false;
    }
}

static enum retry_outcome
to_retry_outcome (const struct policy_input *c)
{
  if (c->reason == REASON_DEADLINE || c->reason == REASON_CALLER_GONE
      || c->reason == REASON_ANSWER_TOO_LARGE)
    return RETRY_REFUSED;
  if (c->outcome == OUTCOME_UNKNOWN)
    return RETRY_UNKNOWN;
  if (c->reason == REASON_TARGET_UNREACHABLE)
    return RETRY_NOT_RUN;
  return RETRY_REFUSED;
}

void
policy_init (struct retry_budget *b)
{
  struct retry_config config;
  retry_config_defaults (&config);
  retry_init (b, &config);
}

static struct policy_decision
give_up (enum policy_verdict verdict)
{
  return (struct policy_decision){ verdict, 0 };
}

struct policy_decision
policy_decide (struct retry_budget *b, const struct policy_input *c,
               int64_t now_ns)
{
  if (now_ns >= c->deadline_ns)
    return give_up (POLICY_GIVE_UP);
  if (c->outcome == OUTCOME_NOT_RUN && is_owner_unavailable (c->reason))
    {
      int64_t at_ns = now_ns + policy_backoff_ns (c->owner_lookups);
      return (struct policy_decision){ POLICY_FIND_OWNER, at_ns };
    }
  struct retry_input retry = {
    .outcome = to_retry_outcome (c),
    .idempotent = c->idempotent,
    .sends = c->target_attempts,
    .deadline_ns = c->deadline_ns,
    .random = c->random,
  };
  struct retry_decision d = retry_decide (b, &retry, now_ns);
  if (d.action != RETRY_GIVE_UP)
    return (struct policy_decision){ POLICY_RESEND, d.at_ns };
  return give_up (d.reason == RETRY_REASON_BUDGET ? POLICY_BUDGET_SPENT
                                                  : POLICY_GIVE_UP);
}

int64_t
policy_backoff_ns (unsigned lookups)
{
  if (lookups > BACKOFF_DOUBLINGS_MAX)
    lookups = BACKOFF_DOUBLINGS_MAX;
  return FIRST_BACKOFF_NS << lookups;
}
