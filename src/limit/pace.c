#include "limit/pace.h"

#include "base/clock.h"
#include <math.h>
#include <string.h>

/* Starts that may follow each other at once, as a time at the full rate.  */
#define BURST_NS (250 * NS_PER_MS)
/* Lower limit of the rate: a target that takes nothing is asked this often
   whether it does again.  */
#define RATE_MIN 0.25
/* Starts in the SETTLE_NS before a limit was stated that leave no debt, as a
   multiple of the rate.  Without them a target would get nothing at all for
   seconds after it states a limit.  */
#define ALLOWANCE 2.0
#define SETTLE_NS (1 * NS_PER_S)
/* Length of the slices in which past starts are counted; all slices together
   are longer than SETTLE_NS and the longest wait for an answer.  */
#define SLICE_NS (50 * NS_PER_MS)

void
pace_init (struct pace *p)
{
  memset (p, 0, sizeof *p);
}

static double
burst_of (const struct pace *p)
{
  return 1 + p->rate_max * (double)BURST_NS / (double)NS_PER_S;
}

/* The tokens at NOW_NS.  */
static double
tokens_at (const struct pace *p, int64_t now_ns)
{
  double elapsed_s = (double)(now_ns - p->tokens_ns) / (double)NS_PER_S;
  return fmin (burst_of (p), p->tokens + fmax (0, elapsed_s) * p->rate_max);
}

/* Forget the slices between the last start and that of NOW_NS.  */
static void
advance (struct pace *p, int64_t now_ns)
{
  int64_t slice = now_ns / SLICE_NS;
  if (slice - p->last_slice >= PACE_SLICES)
    memset (p->starts, 0, sizeof p->starts);
  else
    for (int64_t i = p->last_slice + 1; i <= slice; i++)
      p->starts[i % PACE_SLICES] = 0;
  if (slice > p->last_slice)
    p->last_slice = slice;
}

/* The starts in the slices from FROM_NS on.  */
static uint32_t
starts_since (const struct pace *p, int64_t from_ns)
{
  int64_t first = from_ns / SLICE_NS;
  uint32_t sum = 0;
  if (first <= p->last_slice - PACE_SLICES)
    first = p->last_slice - PACE_SLICES + 1;
  for (int64_t i = first; i <= p->last_slice; i++)
    sum += p->starts[i % PACE_SLICES];
  return sum;
}

/* Set the rate to RATE if that does not lower it.  */
static bool
raise_rate (struct pace *p, double rate, int64_t now_ns)
{
  if (!p->limited || rate < p->rate_max)
    return false;
  p->tokens = tokens_at (p, now_ns);
  p->tokens_ns = now_ns;
  p->rate_max = rate;
  return true;
}

void
pace_set_limit (struct pace *p, double rate_max, int64_t since_ns,
                int64_t now_ns)
{
  double rate = fmax (rate_max, RATE_MIN);
  if (raise_rate (p, rate, now_ns))
    return;
  advance (p, now_ns);
  int64_t earliest_ns = now_ns - (PACE_SLICES * SLICE_NS - SETTLE_NS);
  if (since_ns < earliest_ns)
    since_ns = earliest_ns;
  double allowed
      = rate * (ALLOWANCE + (double)(now_ns - since_ns) / (double)NS_PER_S);
  double left = 1 + allowed - starts_since (p, since_ns - SETTLE_NS);
  double tokens = p->limited ? tokens_at (p, now_ns) : 1;
  p->limited = true;
  p->rate_max = rate;
  p->tokens = fmin (tokens, left);
  p->tokens_ns = now_ns;
}

/* The starts that may be made in SPAN_NS at the rate of P.  */
static double
starts_in (const struct pace *p, int64_t span_ns)
{
  return p->rate_max * (double)span_ns / (double)NS_PER_S;
}

void
pace_set_strict_limit (struct pace *p, double rate_max, int64_t now_ns)
{
  double rate = fmax (rate_max, RATE_MIN);
  if (raise_rate (p, rate, now_ns))
    return;
  advance (p, now_ns);
  p->limited = true;
  p->rate_max = rate;
  double tokens = burst_of (p);
  for (int64_t i = (now_ns - SETTLE_NS) / SLICE_NS; i <= p->last_slice; i++)
    {
      /* Starts count at the end of their slice, so that none is forgotten
         early.  */
      int64_t end_ns
          = (i + 1) * SLICE_NS < now_ns ? (i + 1) * SLICE_NS : now_ns;
      tokens
          = fmin (burst_of (p), tokens + starts_in (p, end_ns - i * SLICE_NS));
      tokens -= p->starts[i % PACE_SLICES];
    }
  /* After SETTLE_NS no span of that length contains an earlier start.  */
  p->tokens = fmax (tokens, 1 - starts_in (p, SETTLE_NS));
  p->tokens_ns = now_ns;
}

void
pace_hold (struct pace *p, int64_t until_ns, int64_t now_ns)
{
  if (!p->limited)
    return;
  p->tokens
      = fmin (tokens_at (p, now_ns), 1 - starts_in (p, until_ns - now_ns));
  p->tokens_ns = now_ns;
}

void
pace_clear_limit (struct pace *p)
{
  p->limited = false;
}

double
pace_rate (const struct pace *p)
{
  return p->limited ? p->rate_max : INFINITY;
}

int64_t
pace_wait_ns (const struct pace *p, int64_t now_ns)
{
  if (!p->limited)
    return 0;
  double missing = 1 - tokens_at (p, now_ns);
  if (missing <= 0)
    return 0;
  return (int64_t)ceil (missing / p->rate_max * (double)NS_PER_S);
}

void
pace_record_start (struct pace *p, int64_t now_ns)
{
  advance (p, now_ns);
  p->starts[p->last_slice % PACE_SLICES]++;
  if (!p->limited)
    return;
  p->tokens = tokens_at (p, now_ns) - 1;
  p->tokens_ns = now_ns;
}
