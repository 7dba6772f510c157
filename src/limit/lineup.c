#include "limit/lineup.h"

#include "base/clock.h"
#include <glib.h>
#include <math.h>

/* Requests that wait, at most: with less than a millisecond each no line of
   this length is worth waiting in.  */
#define WAITING_MAX 1024u
/* Weight of a new answer in the mean of its kind, and in the pace.  The pace
   follows a target that turns slow within some ten answers; the means stay. */
#define KIND_WEIGHT (1.0 / 32)
#define PACE_WEIGHT (1.0 / 8)
/* A single answer moves the pace by no more than these factors' weight.  */
#define PACE_LEAST 0.25
#define PACE_MOST 4.0
/* Of the time to the wanted answer that the expected one may fill: service
   times spread by about a third around their mean.  */
#define WANTED_SHARE 0.8
/* The same of the time to the deadline, for what outranks others here: it
   starts before them, and a lookup that is refused loses the work of the
   request that it is made for.  */
#define DEADLINE_SHARE 0.85
/* Part of the expected service time that a request may wait although its
   answer will be later than wanted anyway: the target is slow, not full.  */
#define SLOW_WAIT 0.25
/* Urgent requests are taken to use no more than this part of the slots.  */
#define URGENT_MOST 0.75
/* Part of the expected service time after which a run may end.  */
#define LEAST 0.7
/* Runs that go on although they are expected to end too late: estimates are
   wrong at times, and only runs correct them.  */
#define PROBES 2
/* Expected service of a kind that was never seen.  */
#define FIRST_SERVICE_NS (100 * NS_PER_MS)
/* Shortest time to come back after.  */
#define RETRY_LEAST_NS (100 * NS_PER_MS)

struct entry
{
  struct lineup_request r;
  lineup_id id;
  bool running;
  int64_t started_ns;
  int64_t expected_ns; /* service */
};

struct kind
{
  double mean_ns;
  uint32_t seen;
};

struct lineup
{
  GHashTable *entries; /* by id */
  GPtrArray *waiting;  /* struct entry *, in order */
  GHashTable *kinds;   /* struct kind by number */
  uint32_t slots;
  uint32_t running;
  lineup_id last;
  uint32_t lowest; /* the last priority of all that were offered */
  double pace;
};

struct lineup *
lineup_new (uint32_t slots)
{
  struct lineup *l = g_new0 (struct lineup, 1);
  l->entries = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  l->waiting = g_ptr_array_new ();
  l->kinds = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  l->pace = 1;
  lineup_set_slots (l, slots);
  return l;
}

void
lineup_free (struct lineup *l)
{
  if (l == NULL)
    return;
  g_ptr_array_free (l->waiting, TRUE);
  g_hash_table_destroy (l->entries);
  g_hash_table_destroy (l->kinds);
  g_free (l);
}

void
lineup_set_slots (struct lineup *l, uint32_t slots)
{
  l->slots = slots > 0 ? slots : 1;
}

static struct entry *
find (const struct lineup *l, lineup_id id)
{
  return g_hash_table_lookup (l->entries, GUINT_TO_POINTER (id));
}

/* How long one of KIND runs; 0 for a kind that was never seen.  */
static int64_t
service_ns (const struct lineup *l, uint32_t kind)
{
  const struct kind *k
      = g_hash_table_lookup (l->kinds, GUINT_TO_POINTER (kind));
  return k == NULL ? 0 : (int64_t)(k->mean_ns * l->pace);
}

static int64_t
expected_service_ns (const struct lineup *l, uint32_t kind)
{
  int64_t known = service_ns (l, kind);
  return known > 0 ? known : FIRST_SERVICE_NS;
}

/* Whether A starts before B.  */
static bool
goes_before (const struct lineup_request *a, const struct lineup_request *b)
{
  if (a->priority != b->priority)
    return a->priority < b->priority;
  return a->soft_deadline_ns < b->soft_deadline_ns;
}

static struct entry *
waiting_at (const struct lineup *l, guint i)
{
  return g_ptr_array_index (l->waiting, i);
}

/* Work, in time of one slot, that would start before R.  */
static int64_t
work_ahead_ns (const struct lineup *l, const struct lineup_request *r)
{
  int64_t sum = 0;
  for (guint i = 0; i < l->waiting->len; i++)
    {
      const struct entry *e = waiting_at (l, i);
      if (r == NULL || !goes_before (r, &e->r))
        sum += e->expected_ns;
    }
  return sum;
}

/* Mean time until the next slot comes free, when none is.  */
static int64_t
slot_free_ns (const struct lineup *l)
{
  double sum = 0;
  uint32_t kinds = 0;
  GHashTableIter iter;
  gpointer value;
  if (l->running < l->slots)
    return 0;
  g_hash_table_iter_init (&iter, l->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct entry *e = value;
      if (e->running)
        {
          sum += (double)e->expected_ns;
          kinds++;
        }
    }
  return kinds == 0 ? 0 : (int64_t)(sum / kinds / l->slots);
}

/* The part of the slots that more urgent requests than R take: what comes of
   them while R waits goes before it.  */
static double
urgent_share (const struct lineup *l, const struct lineup_request *r)
{
  uint32_t urgent = 0;
  GHashTableIter iter;
  gpointer value;
  if (r == NULL)
    return 0;
  g_hash_table_iter_init (&iter, l->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct entry *e = value;
      urgent += e->running && e->r.priority < r->priority;
    }
  return fmin (URGENT_MOST, (double)urgent / l->slots);
}

static int64_t
wait_for (const struct lineup *l, const struct lineup_request *r)
{
  double work_ns = (double)work_ahead_ns (l, r) / l->slots;
  return (int64_t)(work_ns / (1 - urgent_share (l, r))) + slot_free_ns (l);
}

int64_t
lineup_expected_wait_ns (const struct lineup *l)
{
  return wait_for (l, NULL);
}

static bool
has_room (const struct lineup *l)
{
  return l->running < l->slots;
}

static void
start (struct lineup *l, struct entry *e, int64_t now_ns)
{
  e->running = true;
  e->started_ns = now_ns;
  l->running++;
}

static void
insert_waiting (struct lineup *l, struct entry *e)
{
  guint at = l->waiting->len;
  while (at > 0 && goes_before (&e->r, &waiting_at (l, at - 1)->r))
    at--;
  g_ptr_array_insert (l->waiting, (gint)at, e);
}

static struct lineup_decision
refuse (const struct lineup_request *r, enum reason reason,
        int64_t retry_after_ns)
{
  return (struct lineup_decision){
    .verdict = LINEUP_REFUSE,
    .user_data = r->user_data,
    .reason = reason,
    .retry_after_ns
    = retry_after_ns > RETRY_LEAST_NS ? retry_after_ns : RETRY_LEAST_NS,
  };
}

/* How much too long the line is for R: 0 when it may wait or start.  */
static int64_t
excess_ns (const struct lineup *l, const struct lineup_request *r,
           int64_t wait_ns, int64_t service_ns, int64_t now_ns)
{
  int64_t end_ns = now_ns + wait_ns + service_ns;
  int64_t wanted_ns
      = now_ns
        + (int64_t)((double)(r->soft_deadline_ns - now_ns) * WANTED_SHARE);
  /* Most runs are shorter than the mean: a start that may end in time is
     made.  */
  int64_t least_ns = now_ns + wait_ns + (int64_t)((double)service_ns * LEAST);
  if (least_ns > r->deadline_ns)
    return least_ns - r->deadline_ns;
  if (r->priority < l->lowest)
    wanted_ns
        = now_ns
          + (int64_t)((double)(r->deadline_ns - now_ns) * DEADLINE_SHARE);
  if (wait_ns == 0 || end_ns <= wanted_ns)
    return 0;
  int64_t slow_wait_ns = (int64_t)((double)service_ns * SLOW_WAIT);
  if (wait_ns <= slow_wait_ns && end_ns <= r->deadline_ns)
    return 0;
  return end_ns - wanted_ns;
}

struct lineup_decision
lineup_offer (struct lineup *l, const struct lineup_request *r, int64_t now_ns)
{
  int64_t service_ns = expected_service_ns (l, r->route_hash);
  bool room = has_room (l) && l->waiting->len == 0;
  int64_t wait_ns = room ? 0 : wait_for (l, r);
  if (r->priority > l->lowest)
    l->lowest = r->priority;
  if (now_ns >= r->deadline_ns)
    return refuse (r, REASON_DEADLINE, 0);
  if (l->waiting->len >= WAITING_MAX)
    return refuse (r, REASON_QUEUE_FULL, wait_ns);
  int64_t excess = excess_ns (l, r, wait_ns, service_ns, now_ns);
  bool probe = room && l->running < PROBES;
  if (excess > 0 && !probe)
    return refuse (r, REASON_QUEUE_FULL, excess);
  struct entry *e = g_new0 (struct entry, 1);
  e->r = *r;
  e->id = ++l->last == LINEUP_NONE ? ++l->last : l->last;
  e->expected_ns = service_ns;
  g_hash_table_insert (l->entries, GUINT_TO_POINTER (e->id), e);
  if (room)
    start (l, e, now_ns);
  else
    insert_waiting (l, e);
  return (struct lineup_decision){
    .verdict = room ? LINEUP_START : LINEUP_WAIT,
    .id = e->id,
    .user_data = r->user_data,
    .expected_latency_ns = wait_ns + service_ns,
  };
}

/* When E can no longer be answered: it is refused then.  */
static int64_t
last_start_ns (const struct lineup *l, const struct entry *e)
{
  int64_t least_ns
      = l->running == 0 ? 0 : (int64_t)((double)e->expected_ns / 2);
  return e->r.deadline_ns - least_ns;
}

/* Among the most urgent, the first whose answer can still come when it is
   wanted; those that will be late anyway start when no such one waits.  */
static guint
next_to_start (const struct lineup *l, int64_t now_ns)
{
  uint32_t priority = waiting_at (l, 0)->r.priority;
  for (guint i = 0; i < l->waiting->len; i++)
    {
      const struct entry *e = waiting_at (l, i);
      if (e->r.priority != priority)
        break;
      if (now_ns + e->expected_ns <= e->r.soft_deadline_ns)
        return i;
    }
  return 0;
}

struct lineup_decision
lineup_next (struct lineup *l, int64_t now_ns)
{
  for (guint i = 0; i < l->waiting->len; i++)
    {
      struct entry *e = waiting_at (l, i);
      if (now_ns < last_start_ns (l, e))
        continue;
      struct lineup_request r = e->r;
      g_ptr_array_remove_index (l->waiting, i);
      g_hash_table_remove (l->entries, GUINT_TO_POINTER (e->id));
      return refuse (&r, REASON_TARGET_BUSY, lineup_expected_wait_ns (l));
    }
  if (!has_room (l) || l->waiting->len == 0)
    return (struct lineup_decision){ .verdict = LINEUP_NOTHING };
  guint next = next_to_start (l, now_ns);
  struct entry *e = waiting_at (l, next);
  g_ptr_array_remove_index (l->waiting, next);
  start (l, e, now_ns);
  return (struct lineup_decision){ .verdict = LINEUP_START,
                                   .id = e->id,
                                   .user_data = e->r.user_data,
                                   .expected_latency_ns = e->expected_ns };
}

int64_t
lineup_wake_ns (const struct lineup *l)
{
  int64_t first = INT64_MAX;
  for (guint i = 0; i < l->waiting->len; i++)
    {
      int64_t at = last_start_ns (l, waiting_at (l, i));
      if (at < first)
        first = at;
    }
  return first;
}

static void
learn_time (struct lineup *l, const struct entry *e, int64_t service_ns)
{
  gpointer key = GUINT_TO_POINTER (e->r.route_hash);
  struct kind *k = g_hash_table_lookup (l->kinds, key);
  if (k == NULL)
    {
      k = g_new0 (struct kind, 1);
      g_hash_table_insert (l->kinds, key, k);
    }
  k->seen++;
  double weight = fmax (KIND_WEIGHT, 1.0 / k->seen);
  double ratio = k->seen == 1 ? 1 : (double)service_ns / k->mean_ns;
  k->mean_ns += ((double)service_ns - k->mean_ns) * weight;
  ratio = fmin (PACE_MOST, fmax (PACE_LEAST, ratio));
  l->pace += (ratio - l->pace) * PACE_WEIGHT;
}

void
lineup_done (struct lineup *l, lineup_id id, bool learn, int64_t service_ns)
{
  struct entry *e = find (l, id);
  if (e == NULL || !e->running)
    return;
  if (learn)
    learn_time (l, e, service_ns);
  l->running--;
  g_hash_table_remove (l->entries, GUINT_TO_POINTER (id));
}

bool
lineup_cancel (struct lineup *l, lineup_id id)
{
  struct entry *e = find (l, id);
  if (e == NULL || e->running)
    return false;
  g_ptr_array_remove (l->waiting, e);
  g_hash_table_remove (l->entries, GUINT_TO_POINTER (id));
  return true;
}

void *
lineup_pop_waiting (struct lineup *l)
{
  if (l->waiting->len == 0)
    return NULL;
  struct entry *e = waiting_at (l, 0);
  void *user = e->r.user_data;
  g_ptr_array_remove_index (l->waiting, 0);
  g_hash_table_remove (l->entries, GUINT_TO_POINTER (e->id));
  return user;
}

uint32_t
lineup_running (const struct lineup *l)
{
  return l->running;
}

uint32_t
lineup_waiting (const struct lineup *l)
{
  return l->waiting->len;
}
