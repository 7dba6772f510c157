#include "own/hot_meter.h"
#include "base/clock.h"
#include "own/sketch.h"

#include <math.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define PERCENT 100
#define LOAD_PERCENT_MAX 1000
/* Time constant of the moving average of the load.  */
#define AVERAGE_TIME_CONSTANT_NS (1.0 * NS_PER_S)

struct hot_meter
{
  pthread_mutex_t lock;
  struct sketch *sketch;
  uint64_t total; /* requests since the last report */
  uint32_t capacity;
  uint32_t busy;         /* requests that are running or queued */
  int64_t busy_since_ns; /* end of the time covered by busy_integral */
  /* Busy integrated over the time since the last report.  */
  double busy_integral;
  int64_t last_collect_ns;
  double average_busy; /* moving average of busy */
};

struct hot_meter *
hot_meter_new (uint32_t capacity)
{
  struct hot_meter *m = calloc (1, sizeof *m);
  if (m == NULL)
    return NULL;
  m->capacity = capacity > 0 ? capacity : 1;
  m->sketch = sketch_new ();
  pthread_mutex_init (&m->lock, NULL);
  if (m->sketch != NULL)
    return m;
  hot_meter_free (m);
  return NULL;
}

void
hot_meter_free (struct hot_meter *m)
{
  if (m == NULL)
    return;
  pthread_mutex_destroy (&m->lock);
  sketch_free (m->sketch);
  free (m);
}

void
hot_meter_count (struct hot_meter *m, const char *key)
{
  size_t length = strlen (key);
  pthread_mutex_lock (&m->lock);
  m->total++;
  sketch_add (m->sketch, key, length, 1);
  pthread_mutex_unlock (&m->lock);
}

static void
integrate_busy (struct hot_meter *m, int64_t now_ns)
{
  if (m->busy_since_ns != 0 && now_ns > m->busy_since_ns)
    m->busy_integral += (double)m->busy * (double)(now_ns - m->busy_since_ns);
  m->busy_since_ns = now_ns;
}

void
hot_meter_set_busy (struct hot_meter *m, uint32_t busy, int64_t now_ns)
{
  pthread_mutex_lock (&m->lock);
  integrate_busy (m, now_ns);
  m->busy = busy;
  pthread_mutex_unlock (&m->lock);
}

/* Pass the counts of the keys to REPORT.  The error of a key, which it took
   over from a key it replaced, counts towards the remainder.  */
static void
report_counts (struct hot_meter *m, hot_meter_count_fn *report, void *arg)
{
  uint64_t remainder = m->total;
  for (uint32_t i = 0; i < SKETCH_KEYS; i++)
    {
      const struct sketch_key *k = sketch_key_at (m->sketch, i);
      if (k == NULL || k->count <= k->error)
        continue;
      uint64_t own = k->count - k->error;
      report (arg, k->key, k->length, (uint32_t)own);
      remainder -= own < remainder ? own : remainder;
    }
  report (arg, "", 0, (uint32_t)remainder);
  sketch_end_window (m->sketch);
  m->total = 0;
}

static void
average_load (struct hot_meter *m, int64_t now_ns)
{
  double span_ns = (double)(now_ns - m->last_collect_ns);
  if (m->last_collect_ns != 0 && span_ns > 0)
    {
      double decay = exp (-span_ns / AVERAGE_TIME_CONSTANT_NS);
      m->average_busy
          = m->average_busy * decay + m->busy_integral / span_ns * (1 - decay);
    }
  m->busy_integral = 0;
  m->last_collect_ns = now_ns;
}

uint16_t
hot_meter_collect (struct hot_meter *m, int64_t now_ns,
                   hot_meter_count_fn *report, void *arg)
{
  pthread_mutex_lock (&m->lock);
  integrate_busy (m, now_ns);
  average_load (m, now_ns);
  report_counts (m, report, arg);
  double load = m->average_busy * PERCENT / m->capacity;
  pthread_mutex_unlock (&m->lock);
  if (load < 1)
    return 1;
  return load < LOAD_PERCENT_MAX ? (uint16_t)lround (load) : LOAD_PERCENT_MAX;
}
