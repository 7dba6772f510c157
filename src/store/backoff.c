#include "store/backoff.h"

#include "base/clock.h"

static int64_t
full_wait_ns (uint32_t failures)
{
  int64_t wait_ms = BACKOFF_INITIAL_MS;
  for (uint32_t i = 1; i < failures && wait_ms < BACKOFF_MAX_MS; i++)
    wait_ms *= 2;
  return (wait_ms < BACKOFF_MAX_MS ? wait_ms : BACKOFF_MAX_MS) * NS_PER_MS;
}

int64_t
backoff_remaining_ns (const struct backoff *b, int64_t now_ns)
{
  return b->retry_at_ns > now_ns ? b->retry_at_ns - now_ns : 0;
}

void
backoff_record_success (struct backoff *b)
{
  b->failures = 0;
  b->retry_at_ns = 0;
}

void
backoff_record_failure (struct backoff *b, int64_t now_ns, uint32_t random)
{
  if (b->failures < UINT32_MAX)
    b->failures++;
  int64_t half_ns = full_wait_ns (b->failures) / 2;
  b->retry_at_ns = now_ns + half_ns + half_ns * random / UINT32_MAX;
}
