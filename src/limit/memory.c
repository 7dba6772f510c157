#include "limit/memory.h"

#include "base/clock.h"

/* Share of the node's memory: the process's peak must stay below half of it,
   and a tenth remains for everything else.  */
#define SHARE_NUMERATOR 2
#define SHARE_DENOMINATOR 5
#define MIB (UINT64_C (1) << 20)
#define WINDOW_NS NS_PER_S
/* Limits of a retry-after: a shorter one costs more than it gains, a longer
   one outlives the time-outs of callers.  */
#define RETRY_MIN_NS (100 * NS_PER_MS)
#define RETRY_MAX_NS (5 * NS_PER_S)

void
memory_init (struct memory *m, uint32_t memory_mb)
{
  *m = (struct memory){ .limit = memory_mb * MIB * SHARE_NUMERATOR
                                 / SHARE_DENOMINATOR };
}

bool
memory_reserve (struct memory *m, size_t bytes)
{
  if (m->limit != 0 && bytes > 0
      && (m->used > m->limit || bytes > m->limit - m->used))
    return false;
  m->used += bytes;
  return true;
}

void
memory_add (struct memory *m, size_t bytes)
{
  m->used += bytes;
}

void
memory_release (struct memory *m, size_t bytes, int64_t now_ns)
{
  m->used -= bytes < m->used ? bytes : m->used;
  if (now_ns - m->window_ns >= WINDOW_NS)
    {
      m->released_before
          = now_ns - m->window_ns < 2 * WINDOW_NS ? m->released : 0;
      m->released = 0;
      m->window_ns = now_ns;
    }
  m->released += bytes;
}

int64_t
memory_retry_after_ns (const struct memory *m, size_t bytes, int64_t now_ns)
{
  uint64_t wanted = m->used + bytes;
  uint64_t missing = wanted > m->limit ? wanted - m->limit : 0;
  uint64_t rate
      = m->released > m->released_before ? m->released : m->released_before;
  if (rate == 0 || now_ns - m->window_ns >= 2 * WINDOW_NS)
    return NS_PER_S;
  double wait_ns = (double)missing / (double)rate * (double)WINDOW_NS;
  if (wait_ns < (double)RETRY_MIN_NS)
    return RETRY_MIN_NS;
  return wait_ns > (double)RETRY_MAX_NS ? RETRY_MAX_NS : (int64_t)wait_ns;
}
