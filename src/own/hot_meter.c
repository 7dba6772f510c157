#include "own/hot_meter.h"
#include "base/clock.h"
#include "own/sketch.h"

#include <math.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define HUNDREDTHS 100
#define LOAD_MAX 1000
/* The time over which the load is averaged.  */
#define AVERAGE_NS (1.0 * NS_PER_S)

struct hot_meter
{
  pthread_mutex_t lock;
  struct sketch *sketch;
  uint64_t total; /* requests since the last take */
  uint32_t capacity;
  uint32_t busy;
  int64_t busy_ns; /* since when */
  double area;     /* requests times nanoseconds since the last take */
  int64_t taken_ns;
  double average; /* requests that run or wait */
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
advance (struct hot_meter *m, int64_t now_ns)
{
  if (m->busy_ns != 0 && now_ns > m->busy_ns)
    m->area += (double)m->busy * (double)(now_ns - m->busy_ns);
  m->busy_ns = now_ns;
}

void
hot_meter_set_busy (struct hot_meter *m, uint32_t busy, int64_t now_ns)
{
  pthread_mutex_lock (&m->lock);
  advance (m, now_ns);
  m->busy = busy;
  pthread_mutex_unlock (&m->lock);
}

/* The counts of the keys go to TAKE.  What a key inherited from another that
   it replaced is not its own: it goes to the rest.  */
static void
take_counts (struct hot_meter *m, hot_meter_take_fn *take, void *arg)
{
  uint64_t rest = m->total;
  for (uint32_t i = 0; i < SKETCH_KEYS; i++)
    {
      const struct sketch_key *k = sketch_key_at (m->sketch, i);
      if (k == NULL || k->count <= k->error)
        continue;
      uint64_t own = k->count - k->error;
      take (arg, k->key, k->length, (uint32_t)own);
      rest -= own < rest ? own : rest;
    }
  take (arg, "", 0, (uint32_t)rest);
  sketch_end_window (m->sketch);
  m->total = 0;
}

static void
average_load (struct hot_meter *m, int64_t now_ns)
{
  double span_ns = (double)(now_ns - m->taken_ns);
  if (m->taken_ns != 0 && span_ns > 0)
    {
      double kept = exp (-span_ns / AVERAGE_NS);
      m->average = m->average * kept + m->area / span_ns * (1 - kept);
    }
  m->area = 0;
  m->taken_ns = now_ns;
}

uint16_t
hot_meter_take (struct hot_meter *m, int64_t now_ns, hot_meter_take_fn *take,
                void *arg)
{
  pthread_mutex_lock (&m->lock);
  advance (m, now_ns);
  average_load (m, now_ns);
  take_counts (m, take, arg);
  double load = m->average * HUNDREDTHS / m->capacity;
  pthread_mutex_unlock (&m->lock);
  if (load < 1)
    return 1;
  return load < LOAD_MAX ? (uint16_t)lround (load) : LOAD_MAX;
}
