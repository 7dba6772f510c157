#include "limit/cold.h"

#include "base/clock.h"
#include <math.h>
#include <string.h>

/* Time in which the limit of a warm target doubles.  */
#define DOUBLING_NS (500 * NS_PER_MS)
/* Doublings after which the limit ends in any case: 1,024 times the rate of a
   cold target is more than any target takes.  */
#define DOUBLINGS_MAX 10
/* The rule on a cold target's rate counts the requests of any one second.  */
#define WINDOW_NS (1 * NS_PER_S)

void
cold_init (struct cold *c)
{
  memset (c, 0, sizeof *c);
  pace_init (&c->pace);
  c->used_until_ns = INT64_MIN;
}

void
cold_assume_used (struct cold *c, int64_t now_ns)
{
  c->used_until_ns = now_ns + WINDOW_NS;
}

static void
end_limit (struct cold *c)
{
  c->phase = COLD_WARM;
  pace_clear_limit (&c->pace);
}

/* Apply the rate of a cold target.  */
static void
limit_starts (struct cold *c, int64_t now_ns)
{
  c->phase = COLD_COLD;
  pace_set_strict_limit (&c->pace, c->rate_max, now_ns);
  if (c->used_until_ns > now_ns)
    pace_hold (&c->pace, c->used_until_ns, now_ns);
}

void
cold_set_policy (struct cold *c, double rate_max, int64_t warmup_ns,
                 int64_t now_ns)
{
  bool changed = c->rate_max != rate_max;
  c->rate_max = rate_max;
  c->warmup_ns = warmup_ns;
  if (!changed)
    return;
  end_limit (c);
  if (rate_max > 0 && c->until_ns > now_ns)
    limit_starts (c, now_ns);
}

void
cold_reset (struct cold *c)
{
  c->until_ns = 0;
  end_limit (c);
}

/* Whether a statement of SOURCE that the target is warm ends the cold time.
   A report may have been sent before the target became cold again, so it only
   takes back what an earlier report said.  The response to a probe is at most
   as old as the probe.  */
static bool
ends_cold_time (const struct cold *c, enum cold_source source)
{
  return source == COLD_PROBED
         || (source == COLD_REPORTED && c->source == COLD_REPORTED);
}

void
cold_learn (struct cold *c, enum cold_source source, int64_t until_ns,
            int64_t now_ns)
{
  bool cold = c->until_ns > now_ns;
  if (until_ns <= now_ns)
    {
      if (!cold || !ends_cold_time (c, source))
        return;
      c->until_ns = now_ns;
      /* A limit that was only assumed was never needed.  */
      if (c->source == COLD_ASSUMED)
        end_limit (c);
      return;
    }
  if (cold && source != c->source && until_ns <= c->until_ns
      && source != COLD_PROBED)
    return;
  c->source = source;
  c->until_ns = until_ns;
  if (c->rate_max > 0 && c->phase != COLD_COLD)
    limit_starts (c, now_ns);
}

void
cold_advance (struct cold *c, double capacity, int64_t now_ns)
{
  if (c->phase == COLD_WARM || now_ns < c->until_ns)
    return;
  int64_t doublings = 1 + (now_ns - c->until_ns) / DOUBLING_NS;
  double rate = c->rate_max * exp2 ((double)doublings);
  if (doublings > DOUBLINGS_MAX || rate >= capacity)
    {
      end_limit (c);
      return;
    }
  c->phase = COLD_RISING;
  pace_set_strict_limit (&c->pace, rate, now_ns);
}

double
cold_rate (const struct cold *c)
{
  return pace_rate (&c->pace);
}

int64_t
cold_wait_ns (const struct cold *c, int64_t now_ns)
{
  return pace_wait_ns (&c->pace, now_ns);
}

void
cold_record_start (struct cold *c, int64_t now_ns)
{
  pace_record_start (&c->pace, now_ns);
}

const char *
cold_source_name (enum cold_source source)
{
  static const char *const names[] = { "report", "probe", "assumed" };
  return names[source];
}
