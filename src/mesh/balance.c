#include "mesh/balance.h"

#include "base/clock.h"
#include <glib.h>
#include <math.h>

/* Estimate for a route without measurements.  */
#define INITIAL_SERVICE_TIME_NS (100 * NS_PER_MS)
/* Weights of a new measurement in the exponentially weighted moving averages
   of a route over all targets and of one target's slowness.  A target that
   becomes slow is detected after about five answers.  */
#define ROUTE_EWMA_WEIGHT (1.0 / 64)
#define TARGET_EWMA_WEIGHT (1.0 / 6)
#define SLOWNESS_MIN 0.2
#define SLOWNESS_MAX 8.0
/* Weight of one decay step: the distance to the mean halves in about 17 s.  A
   faster decay would hide that targets differ in speed.  */
#define DECAY_WEIGHT 0.01
/* A target in the own zone is chosen if its answer is expected within this
   share of the target latency: service times vary by a third around their
   mean.  */
#define SAME_ZONE_LATENCY_SHARE 0.6
/* Share of the service time that is added for a full target compared with an
   idle one: some targets slow down when they are nearly full, and room is kept
   for later requests.  */
#define FULL_LOAD_PENALTY 0.4
/* A target takes about twice as long while it warms up.  */
#define WARMUP_FACTOR 2.0
#define PERCENT 100.0
/* Lower limit of the success rate: a target that fails every request is still
   weighted at this fraction of a healthy one.  */
#define SUCCESS_RATE_MIN 0.05

struct service_times
{
  GHashTable *route_means;     /* mean service time, ns, by route hash */
  GHashTable *target_slowness; /* struct slowness, by target */
};

/* How slow a target is.  */
struct slowness
{
  double factor;     /* on the route mean, beyond the stated pace */
  uint32_t pace_pct; /* as last stated; 0: not stated, part of FACTOR */
};

static double
pace_factor (uint32_t pace_pct)
{
  return pace_pct == 0 ? 1 : pace_pct / PERCENT;
}

/* The whole slowness of a target that states PACE_PCT.  When a pace comes into
   use, or goes out of use, the slowness that was measured before holds until
   the next measurement.  */
static double
slowness_at (const struct slowness *s, uint32_t pace_pct)
{
  if (s == NULL)
    return pace_factor (pace_pct);
  bool same_use = (s->pace_pct == 0) == (pace_pct == 0);
  return s->factor * pace_factor (same_use ? pace_pct : s->pace_pct);
}

struct service_times *
service_times_new (void)
{
  struct service_times *p = g_new0 (struct service_times, 1);
  p->route_means = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  p->target_slowness
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return p;
}

void
service_times_free (struct service_times *p)
{
  if (p == NULL)
    return;
  g_hash_table_destroy (p->route_means);
  g_hash_table_destroy (p->target_slowness);
  g_free (p);
}

void
service_times_record (struct service_times *p, const char *target,
                      uint32_t route_hash, int64_t service_ns,
                      uint32_t pace_pct)
{
  gpointer key = GUINT_TO_POINTER (route_hash);
  double *mean = g_hash_table_lookup (p->route_means, key);
  struct slowness *slowness = g_hash_table_lookup (p->target_slowness, target);
  double took_ns = (double)service_ns / pace_factor (pace_pct);
  if (mean == NULL)
    {
      mean = g_new0 (double, 1);
      *mean = took_ns;
      g_hash_table_insert (p->route_means, key, mean);
    }
  if (slowness == NULL)
    {
      slowness = g_new0 (struct slowness, 1);
      slowness->factor = 1;
      slowness->pace_pct = pace_pct;
      g_hash_table_insert (p->target_slowness, g_strdup (target), slowness);
    }
  double ratio = fmin (SLOWNESS_MAX, fmax (SLOWNESS_MIN, took_ns / *mean));
  slowness->factor = slowness_at (slowness, pace_pct) / pace_factor (pace_pct);
  slowness->pace_pct = pace_pct;
  slowness->factor += (ratio - slowness->factor) * TARGET_EWMA_WEIGHT;
  *mean += (took_ns - *mean) * ROUTE_EWMA_WEIGHT;
}

void
service_times_decay (struct service_times *p)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, p->target_slowness);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct slowness *slowness = value;
      slowness->factor += (1 - slowness->factor) * DECAY_WEIGHT;
    }
}

void
service_times_forget (struct service_times *p, const char *target)
{
  g_hash_table_remove (p->target_slowness, target);
}

int64_t
service_times_estimate (const struct service_times *p, const char *target,
                        uint32_t route_hash, uint32_t pace_pct)
{
  const double *mean
      = g_hash_table_lookup (p->route_means, GUINT_TO_POINTER (route_hash));
  const struct slowness *slowness
      = g_hash_table_lookup (p->target_slowness, target);
  double expected_ns = mean == NULL ? (double)INITIAL_SERVICE_TIME_NS : *mean;
  return (int64_t)(expected_ns * slowness_at (slowness, pace_pct));
}

/* The expected time until the candidate C answers, queueing included.  */
static int64_t
estimate_answer_ns (const struct service_times *p, const struct candidate *c,
                    uint32_t route_hash)
{
  double service_ns = (double)service_times_estimate (p, c->name, route_hash,
                                                      c->load.pace_pct);
  uint32_t slots = c->load.slots > 0 ? c->load.slots : 1;
  uint32_t in_flight
      = c->load.running + c->load.waiting + c->sent_since_report;
  double wait_ns = (double)c->load.queue_wait_ms * NS_PER_MS;
  wait_ns += (double)c->transfer_ns;
  if (c->load.warmup_remaining_ms > 0)
    service_ns *= WARMUP_FACTOR;
  wait_ns += (double)c->sent_since_report
             * (double)(c->load.start_interval_ms * NS_PER_MS);
  if (in_flight >= slots)
    wait_ns += service_ns * (c->sent_since_report + 1) / slots;
  double utilization = fmin (1, (double)in_flight / slots);
  double success_rate
      = fmax (SUCCESS_RATE_MIN, 1 - c->load.failure_pct / PERCENT);
  return (
      int64_t)((wait_ns + service_ns * (1 + FULL_LOAD_PENALTY * utilization))
               / success_rate);
}

int
balance_pick (const struct service_times *p, const struct candidate *list,
              unsigned count, uint32_t route_hash, int64_t target_latency_ns)
{
  int best = -1;
  int local = -1;
  int64_t best_ns = INT64_MAX;
  int64_t local_ns = INT64_MAX;
  for (unsigned i = 0; i < count; i++)
    {
      const struct candidate *c = &list[i];
      if (!c->load.accepting || c->already_tried)
        continue;
      int64_t expected_ns = estimate_answer_ns (p, c, route_hash);
      if (expected_ns < best_ns)
        {
          best = (int)i;
          best_ns = expected_ns;
        }
      if (c->same_zone && expected_ns < local_ns)
        {
          local = (int)i;
          local_ns = expected_ns;
        }
    }
  if (local >= 0
      && (double)local_ns
             <= (double)target_latency_ns * SAME_ZONE_LATENCY_SHARE)
    return local;
  return best;
}
