#include "mesh/balance.h"

#include "base/clock.h"
#include <glib.h>
#include <math.h>

/* Expected service of a kind that was never seen.  */
#define FIRST_SERVICE_NS (100 * NS_PER_MS)
/* Weight of a new answer in a kind's mean over all targets, and in one
   target's pace.  A target that turns slow is seen after some five answers. */
#define KIND_WEIGHT (1.0 / 64)
#define PACE_WEIGHT (1.0 / 6)
#define PACE_LEAST 0.2
#define PACE_MOST 8.0
/* A step back to the mean: half of the way in about 17 s.  Faster would hide
   that targets differ in speed.  */
#define RELAX_WEIGHT 0.01
/* Part of the wanted time that an answer from the own zone may be expected to
   take: service times spread by a third around their mean.  */
#define NEAR_SHARE 0.6
/* Part of the service time that a full target costs over an empty one: some
   slow down when they are nearly full, and room is kept for what comes.  */
#define FULL_COST 0.4
/* A target that is cold runs about twice as long.  */
#define COLD_FACTOR 2.0
#define PERCENT 100.0
/* A target that fails all is still worth this part of a sound one.  */
#define SOUND_LEAST 0.05

struct service_times
{
  GHashTable *kinds;   /* mean service time, ns, by kind */
  GHashTable *targets; /* factor over the means, by name */
};

struct service_times *
service_times_new (void)
{
  struct service_times *p = g_new0 (struct service_times, 1);
  p->kinds = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  p->targets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return p;
}

void
service_times_free (struct service_times *p)
{
  if (p == NULL)
    return;
  g_hash_table_destroy (p->kinds);
  g_hash_table_destroy (p->targets);
  g_free (p);
}

void
service_times_record (struct service_times *p, const char *target,
                      uint32_t kind, int64_t service_ns)
{
  gpointer key = GUINT_TO_POINTER (kind);
  double *mean = g_hash_table_lookup (p->kinds, key);
  double *pace = g_hash_table_lookup (p->targets, target);
  double took_ns = (double)service_ns;
  if (mean == NULL)
    {
      mean = g_new0 (double, 1);
      *mean = took_ns;
      g_hash_table_insert (p->kinds, key, mean);
    }
  if (pace == NULL)
    {
      pace = g_new0 (double, 1);
      *pace = 1;
      g_hash_table_insert (p->targets, g_strdup (target), pace);
    }
  double ratio = fmin (PACE_MOST, fmax (PACE_LEAST, took_ns / *mean));
  *pace += (ratio - *pace) * PACE_WEIGHT;
  *mean += (took_ns - *mean) * KIND_WEIGHT;
}

void
service_times_decay (struct service_times *p)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, p->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      double *pace = value;
      *pace += (1 - *pace) * RELAX_WEIGHT;
    }
}

void
service_times_forget (struct service_times *p, const char *target)
{
  g_hash_table_remove (p->targets, target);
}

int64_t
service_times_estimate (const struct service_times *p, const char *target,
                        uint32_t kind)
{
  const double *mean = g_hash_table_lookup (p->kinds, GUINT_TO_POINTER (kind));
  const double *pace = g_hash_table_lookup (p->targets, target);
  double expected_ns = mean == NULL ? (double)FIRST_SERVICE_NS : *mean;
  return (int64_t)(expected_ns * (pace == NULL ? 1 : *pace));
}

/* The time that the candidate C is expected to need, waiting included.  */
static int64_t
expect (const struct service_times *p, const struct candidate *c,
        uint32_t kind)
{
  double service_ns = (double)service_times_estimate (p, c->name, kind);
  uint32_t slots = c->load.slots > 0 ? c->load.slots : 1;
  uint32_t busy = c->load.running + c->load.waiting + c->sent_since_report;
  double wait_ns = (double)c->load.queue_wait_ms * NS_PER_MS;
  if (c->load.warmup_left_ms > 0)
    service_ns *= COLD_FACTOR;
  if (busy >= slots)
    wait_ns += service_ns * (c->sent_since_report + 1) / slots;
  double fullness = fmin (1, (double)busy / slots);
  double sound = fmax (SOUND_LEAST, 1 - c->load.failure_pct / PERCENT);
  return (int64_t)((wait_ns + service_ns * (1 + FULL_COST * fullness))
                   / sound);
}

int
balance_pick (const struct service_times *p, const struct candidate *list,
              unsigned count, uint32_t kind, int64_t wanted_ns)
{
  int best = -1;
  int near = -1;
  int64_t best_ns = INT64_MAX;
  int64_t near_ns = INT64_MAX;
  for (unsigned i = 0; i < count; i++)
    {
      const struct candidate *c = &list[i];
      if (!c->load.accepting || c->already_tried)
        continue;
      int64_t expected_ns = expect (p, c, kind);
      if (expected_ns < best_ns)
        {
          best = (int)i;
          best_ns = expected_ns;
        }
      if (c->same_zone && expected_ns < near_ns)
        {
          near = (int)i;
          near_ns = expected_ns;
        }
    }
  if (near >= 0 && (double)near_ns <= (double)wanted_ns * NEAR_SHARE)
    return near;
  return best;
}
