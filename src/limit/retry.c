#include "limit/retry.h"

#include "base/clock.h"

enum
{
  HUNDREDTHS_PER_RETRY = 100,
  DEFAULT_RATIO_PCT = 10,
  DEFAULT_STORED_MAX = 20,
  DEFAULT_ATTEMPTS_MAX = 3,
  DOUBLINGS_MAX = 16,
  FREE_REDIRECTS = 1 /* per request, not charged to the budget */
};

#define DEFAULT_BACKOFF_NS (20 * NS_PER_MS)
#define DEFAULT_BACKOFF_MAX_NS (1 * NS_PER_S)

void
retry_config_defaults (struct retry_config *config)
{
  *config = (struct retry_config){
    .ratio_pct = DEFAULT_RATIO_PCT,
    .stored_max = DEFAULT_STORED_MAX,
    .attempts_max = DEFAULT_ATTEMPTS_MAX,
    .backoff_ns = DEFAULT_BACKOFF_NS,
    .backoff_max_ns = DEFAULT_BACKOFF_MAX_NS,
  };
}

void
retry_init (struct retry_budget *b, const struct retry_config *config)
{
  *b = (struct retry_budget){ .config = *config };
}

static void
add_balance (struct retry_budget *b, uint64_t hundredths)
{
  uint64_t capacity = (uint64_t)b->config.stored_max * HUNDREDTHS_PER_RETRY;
  b->balance_hundredths += hundredths;
  if (b->balance_hundredths > capacity)
    b->balance_hundredths = capacity;
}

void
retry_set_stored_max (struct retry_budget *b, uint32_t stored_max)
{
  b->config.stored_max = stored_max;
  add_balance (b, 0);
}

uint32_t
retry_stored_share (uint32_t stored, uint32_t nodes)
{
  if (nodes <= RETRY_SHARE_NODES_MIN || stored == 0)
    return stored;
  uint32_t share
      = (uint32_t)((uint64_t)stored * RETRY_SHARE_NODES_MIN / nodes);
  return share > 0 ? share : 1;
}

void
retry_deposit (struct retry_budget *b)
{
  add_balance (b, b->config.ratio_pct);
}

void
retry_refund (struct retry_budget *b)
{
  add_balance (b, HUNDREDTHS_PER_RETRY);
}

uint32_t
retry_available (const struct retry_budget *b)
{
  return (uint32_t)(b->balance_hundredths / HUNDREDTHS_PER_RETRY);
}

static struct retry_decision
give_up (enum retry_reason reason)
{
  return (struct retry_decision){ .action = RETRY_GIVE_UP, .reason = reason };
}

static enum retry_reason
check_outcome (const struct retry_input *c)
{
  if (c->outcome == RETRY_ANSWERED)
    return RETRY_REASON_ANSWERED;
  if (c->outcome == RETRY_REFUSED)
    return RETRY_REASON_FINAL;
  if (c->outcome == RETRY_UNKNOWN && !c->idempotent)
    return RETRY_REASON_MAY_HAVE_RUN;
  return RETRY_REASON_ALLOWED;
}

/* Exponential back-off with full jitter: uniform up to a bound that doubles
   with each send, so that requests that failed together are not resent
   together.  */
static int64_t
backoff_ns (const struct retry_budget *b, const struct retry_input *c)
{
  uint32_t doublings = c->sends > 0 ? c->sends - 1 : 0;
  if (doublings > DOUBLINGS_MAX)
    doublings = DOUBLINGS_MAX;
  int64_t bound_ns = b->config.backoff_ns << doublings;
  if (bound_ns > b->config.backoff_max_ns)
    bound_ns = b->config.backoff_max_ns;
  double jitter = (double)c->random / (double)UINT32_MAX;
  return c->retry_after_ns + (int64_t)((double)bound_ns * jitter);
}

struct retry_decision
retry_decide (struct retry_budget *b, const struct retry_input *c,
              int64_t now_ns)
{
  enum retry_reason reason = check_outcome (c);
  if (reason != RETRY_REASON_ALLOWED)
    return give_up (reason);
  if (c->sends >= b->config.attempts_max)
    return give_up (RETRY_REASON_ATTEMPTS);
  bool free_redirect
      = c->outcome == RETRY_REDIRECTED && c->redirects <= FREE_REDIRECTS;
  int64_t at_ns = free_redirect ? now_ns : now_ns + backoff_ns (b, c);
  if (at_ns + c->service_ns >= c->deadline_ns)
    return give_up (RETRY_REASON_DEADLINE);
  if (free_redirect)
    return (struct retry_decision){ RETRY_NOW, now_ns, RETRY_REASON_ALLOWED };
  if (b->balance_hundredths < HUNDREDTHS_PER_RETRY)
    return give_up (RETRY_REASON_BUDGET);
  b->balance_hundredths -= HUNDREDTHS_PER_RETRY;
  return (struct retry_decision){ RETRY_AT, at_ns, RETRY_REASON_ALLOWED };
}

const char *
retry_reason_word (enum retry_reason r)
{
  static const char *const words[] = {
#define RETRY_REASON(name, word) word,
#include "limit/retry.def"
#undef RETRY_REASON
  };
  return (unsigned)r < RETRY_REASON_COUNT ? words[r] : "unknown-reason";
}
