#include "limit/lineup.h"

#include "base/clock.h"
#include "limit/cold.h"
#include "limit/pace.h"
#include <glib.h>
#include <math.h>

/* Maximum of waiting requests.  A longer queue is not worth waiting in, even
   with service times below 1 ms.  */
#define WAITING_MAX 1024u
/* Weights of an answer in the mean service time of its route and in the
   slowdown.  The slowdown follows a target that becomes slow within about ten
   answers, while the means hardly change.  */
#define ROUTE_MEAN_WEIGHT (1.0 / 32)
#define SLOWDOWN_WEIGHT (1.0 / 8)
/* Bounds on the ratio of one service time to the mean of its route, which is a
   sample of the slowdown.  They limit how far a single answer moves it.  */
#define SLOWDOWN_SAMPLE_MIN 0.25
#define SLOWDOWN_SAMPLE_MAX 4.0
/* The part of the time to the soft deadline that the expected latency may use.
   Service times deviate by about a third from their mean.  */
#define SOFT_DEADLINE_SHARE 0.8
/* The same under overload: a shorter queue keeps the slots as busy and makes
   fewer requests late.  */
#define OVERLOAD_DEADLINE_SHARE 0.7
/* The part of the time to the deadline that the expected latency may use, for
   lookups and for requests that are late.  */
#define DEADLINE_SHARE 0.85
/* The part of the expected service time that a request may wait although it
   will miss its soft deadline: the target is slow, not full.  */
#define SLOW_TARGET_WAIT_SHARE 0.25
/* Upper bound of the part of the slots that requests of earlier ranks are
   assumed to use.  */
#define EARLIER_RANK_SHARE_MAX 0.75
/* The part of the expected service time that a short run takes.  */
#define SHORT_RUN_SHARE 0.7
/* Time constant of the offered load.  */
#define LOAD_TIME_CONSTANT_NS (1 * NS_PER_S)
/* Offered load, as a share of the slots, from which late requests are not
   queued, because requests that can be answered in time will use every
   slot.  */
#define OVERLOAD_MIN 0.9
/* Ranks: by priority, and within a priority by target latency in steps of a
   factor of two from LATENCY_STEP_NS on.  */
#define PRIORITY_LEVELS 8
#define LATENCY_LEVELS 8
#define RANKS (PRIORITY_LEVELS * LATENCY_LEVELS)
#define LATENCY_STEP_NS (32 * NS_PER_MS)
/* Lookups have a target latency that is shorter by at least this many levels
   than that of the requests that they are made for.  */
#define LOOKUP_LEVELS_MIN 2
/* Time constant of the mix of ranks, and the part of it from which a rank is
   considered: a rare request of another route must not change what counts as a
   lookup.  */
#define MIX_TIME_CONSTANT_NS (10 * NS_PER_S)
#define MIX_SHARE_MIN 0.02
/* While fewer requests than this run, a new one starts even if it is expected
   to end too late.  An estimate may be wrong, and only completed requests
   correct it.  */
#define PROBES_MAX 2
/* Responses of a route from which on its mean service time shows whether a
   stated pace is right.  */
#define CHECKED_SAMPLES_MIN 3
/* Expected service time of a route without samples.  */
#define DEFAULT_SERVICE_NS (100 * NS_PER_MS)
/* Minimum of the retry-after time of a refusal.  */
#define RETRY_AFTER_MIN_NS (100 * NS_PER_MS)

struct entry
{
  struct lineup_request request;
  lineup_id id;
  bool running;
  int64_t started_ns;
  double start_pace; /* as stated; 0: not stated */
  int64_t expected_service_ns;
  uint32_t rank;
};

/* What is known of a route.  */
struct route
{
  double mean_ns; /* service time */
  uint32_t samples;
  int64_t latency_ns; /* longest time to the soft deadline seen, which is that
                         of first attempts */
};

struct lineup
{
  GHashTable *entries; /* by id */
  GPtrArray *waiting;  /* struct entry *, in the order of the queue */
  GHashTable *routes;  /* struct route by route_hash */
  uint32_t slots;
  uint32_t running;
  struct pace pace; /* under a stated limit */
  struct cold cold;
  struct stated_load stated;
  double mean_service_ns; /* over all routes; 0: not known */
  lineup_id last_id;
  uint32_t first_rank;        /* the most urgent one in the mix */
  uint32_t latency_level_max; /* the highest one in the mix */
  double slowdown;
  /* Turns of the requests of each rank that were offered in time, admitted or
     not, decayed with LOAD_TIME_CONSTANT_NS until
     OFFERED_AT_NS.  */
  double offered_ns[RANKS];
  int64_t offered_at_ns;
  /* Service time of all offered requests of each rank, decayed with
     MIX_TIME_CONSTANT_NS until MIX_AT_NS.  */
  double mix_ns[RANKS];
  int64_t mix_at_ns;
};

struct lineup *
lineup_new (uint32_t slots)
{
  struct lineup *l = g_new0 (struct lineup, 1);
  l->entries = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  l->waiting = g_ptr_array_new ();
  l->routes = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  l->slowdown = 1;
  pace_init (&l->pace);
  cold_init (&l->cold);
  l->first_rank = RANKS;
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
  g_hash_table_destroy (l->routes);
  g_free (l);
}

void
lineup_set_slots (struct lineup *l, uint32_t slots)
{
  l->slots = slots > 0 ? slots : 1;
}

void
lineup_set_limit (struct lineup *l, double rate_max, int64_t since_ns,
                  int64_t now_ns)
{
  pace_set_limit (&l->pace, rate_max, since_ns, now_ns);
}

void
lineup_clear_limit (struct lineup *l)
{
  pace_clear_limit (&l->pace);
}

/* The factor of the stated pace on service times.  */
static double
pace_factor (const struct lineup *l)
{
  double pace = stated_load_pace (&l->stated);
  return pace > 0 ? pace : 1;
}

/* Keep the estimates the same after the stated pace, whose factor was BEFORE,
   came into use or went out of use: the measured slowdown does not include the
   pace while that is used.  */
static void
replace_slowdown (struct lineup *l, bool used_before, double before)
{
  if (used_before != (stated_load_pace (&l->stated) > 0))
    l->slowdown *= before / pace_factor (l);
}

void
lineup_learn_load (struct lineup *l, const struct load_figures *figures,
                   int64_t now_ns)
{
  double before = pace_factor (l);
  bool used = stated_load_pace (&l->stated) > 0;
  double smoothing_ns = l->mean_service_ns > 0 ? l->mean_service_ns
                                               : (double)DEFAULT_SERVICE_NS;
  stated_load_learn (&l->stated, figures, smoothing_ns, now_ns);
  replace_slowdown (l, used, before);
}

struct stated_load *
lineup_stated_load (struct lineup *l)
{
  return &l->stated;
}

struct cold *
lineup_cold (struct lineup *l)
{
  return &l->cold;
}

/* The starts a second that a stated limit and the cold time allow.  */
static double
start_rate (const struct lineup *l)
{
  return fmin (pace_rate (&l->pace), cold_rate (&l->cold));
}

/* How long the next start has to wait for them.  */
static int64_t
start_wait_ns (const struct lineup *l, int64_t now_ns)
{
  int64_t pace_ns = pace_wait_ns (&l->pace, now_ns);
  int64_t cold_ns = cold_wait_ns (&l->cold, now_ns);
  return pace_ns > cold_ns ? pace_ns : cold_ns;
}

static void
advance_cold (struct lineup *l, int64_t now_ns)
{
  double service_ns = l->mean_service_ns > 0 ? l->mean_service_ns
                                             : (double)DEFAULT_SERVICE_NS;
  cold_advance (&l->cold, l->slots * (double)NS_PER_S / service_ns, now_ns);
}

int64_t
lineup_start_interval_ns (const struct lineup *l)
{
  return (int64_t)((double)NS_PER_S / start_rate (l));
}

/* The time for which a request of SERVICE_NS holds up the next one, on
   average: the slots are shared, and the limit keeps starts apart.  */
static double
turn_ns (const struct lineup *l, int64_t service_ns)
{
  return fmax ((double)service_ns / l->slots,
               (double)lineup_start_interval_ns (l));
}

static struct entry *
find_entry (const struct lineup *l, lineup_id id)
{
  return g_hash_table_lookup (l->entries, GUINT_TO_POINTER (id));
}

static struct route *
find_route (struct lineup *l, uint32_t route_hash)
{
  gpointer key = GUINT_TO_POINTER (route_hash);
  struct route *route = g_hash_table_lookup (l->routes, key);
  if (route == NULL)
    {
      route = g_new0 (struct route, 1);
      g_hash_table_insert (l->routes, key, route);
    }
  return route;
}

static int64_t
expected_service_ns (const struct lineup *l, const struct route *route)
{
  return route->samples == 0
             ? DEFAULT_SERVICE_NS
             : (int64_t)(route->mean_ns * l->slowdown * pace_factor (l));
}

static uint32_t
latency_level (int64_t latency_ns)
{
  uint32_t level = 0;
  while (level < LATENCY_LEVELS - 1
         && latency_ns >= (LATENCY_STEP_NS << (level + 1)))
    level++;
  return level;
}

/* The rank of R, a request of ROUTE: the lower, the more urgent.  */
static uint32_t
rank_of (struct route *route, const struct lineup_request *r, int64_t now_ns)
{
  if (r->soft_deadline_ns - now_ns > route->latency_ns)
    route->latency_ns = r->soft_deadline_ns - now_ns;
  uint32_t priority
      = r->priority < PRIORITY_LEVELS ? r->priority : PRIORITY_LEVELS - 1;
  return priority * LATENCY_LEVELS + latency_level (route->latency_ns);
}

static void
decay (double *sums, int64_t elapsed_ns, int64_t time_constant_ns)
{
  double factor = exp (-(double)elapsed_ns / (double)time_constant_ns);
  for (int i = 0; i < RANKS; i++)
    sums[i] *= factor;
}

/* Count E in the mix, and find the ranks that make it up.  */
static void
update_mix (struct lineup *l, const struct entry *e, int64_t now_ns)
{
  double total_ns = 0;
  decay (l->mix_ns, now_ns - l->mix_at_ns, MIX_TIME_CONSTANT_NS);
  l->mix_at_ns = now_ns;
  l->mix_ns[e->rank] += (double)e->expected_service_ns;
  for (int i = 0; i < RANKS; i++)
    total_ns += l->mix_ns[i];
  l->first_rank = RANKS;
  l->latency_level_max = 0;
  for (uint32_t i = 0; i < RANKS; i++)
    {
      if (l->mix_ns[i] < total_ns * MIX_SHARE_MIN)
        continue;
      if (l->first_rank == RANKS)
        l->first_rank = i;
      if (i % LATENCY_LEVELS > l->latency_level_max)
        l->latency_level_max = i % LATENCY_LEVELS;
    }
}

/* Whether A precedes B in the queue.  */
static bool
starts_before (const struct lineup_request *a, const struct lineup_request *b)
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

/* Whether requests of RANK are lookups.  Only their deadline matters, since
   the work of the request that a lookup is made for is lost with it.  */
static bool
is_lookup (const struct lineup *l, uint32_t rank)
{
  return rank == l->first_rank
         && rank % LATENCY_LEVELS + LOOKUP_LEVELS_MIN <= l->latency_level_max;
}

/* Whether E, started now, would miss its soft deadline.  */
static bool
is_late (const struct lineup *l, const struct entry *e, int64_t now_ns)
{
  return !is_lookup (l, e->rank)
         && now_ns + e->expected_service_ns > e->request.soft_deadline_ns;
}

/* Total of the turns of the waiting requests that precede R.  */
static double
turns_ahead_ns (const struct lineup *l, const struct entry *r, int64_t now_ns)
{
  double sum = 0;
  bool late = is_late (l, r, now_ns);
  for (guint i = 0; i < l->waiting->len; i++)
    {
      const struct entry *e = waiting_at (l, i);
      bool same_priority = e->request.priority == r->request.priority;
      bool other_late = is_late (l, e, now_ns);
      bool ahead = same_priority && other_late != late
                       ? late
                       : !starts_before (&r->request, &e->request);
      if (ahead)
        sum += turn_ns (l, e->expected_service_ns);
    }
  return sum;
}

static double
turns_waiting_ns (const struct lineup *l)
{
  double sum = 0;
  for (guint i = 0; i < l->waiting->len; i++)
    sum += turn_ns (l, waiting_at (l, i)->expected_service_ns);
  return sum;
}

/* The load offered in time at ranks before RANK, as a share of what the target
   can do.  */
static double
offered_load (const struct lineup *l, uint32_t rank, int64_t now_ns)
{
  double elapsed
      = (double)(now_ns - l->offered_at_ns) / (double)LOAD_TIME_CONSTANT_NS;
  double sum_ns = 0;
  for (uint32_t i = 0; i < rank; i++)
    sum_ns += l->offered_ns[i];
  return sum_ns * exp (-elapsed) / (double)LOAD_TIME_CONSTANT_NS;
}

/* Whether requests in time will use every slot.  */
static bool
is_overloaded (const struct lineup *l, int64_t now_ns)
{
  return offered_load (l, RANKS, now_ns) >= OVERLOAD_MIN;
}

static void
record_offer (struct lineup *l, const struct entry *e, int64_t now_ns)
{
  decay (l->offered_ns, now_ns - l->offered_at_ns, LOAD_TIME_CONSTANT_NS);
  l->offered_ns[e->rank] += turn_ns (l, e->expected_service_ns);
  l->offered_at_ns = now_ns;
}

/* Expected time until a slot is free; 0 when one is.  */
static int64_t
next_free_slot_ns (const struct lineup *l)
{
  double sum = 0;
  uint32_t running = 0;
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
          sum += (double)e->expected_service_ns;
          running++;
        }
    }
  return running == 0 ? 0 : (int64_t)(sum / running / l->slots);
}

/* Expected time until the next request may start.  */
static int64_t
next_start_ns (const struct lineup *l, int64_t now_ns)
{
  int64_t slot_ns = next_free_slot_ns (l);
  int64_t pace_ns = start_wait_ns (l, now_ns);
  return slot_ns > pace_ns ? slot_ns : pace_ns;
}

/* The part of the slots that requests of earlier ranks than R use.  More of
   them are expected to arrive while R waits, and to start before it.  */
static double
earlier_rank_share (const struct lineup *l, const struct entry *r,
                    int64_t now_ns)
{
  uint32_t earlier = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, l->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct entry *e = value;
      earlier += e->running && e->rank < r->rank;
    }
  double running = (double)earlier / l->slots;
  double offered = offered_load (l, r->rank, now_ns);
  return fmin (EARLIER_RANK_SHARE_MAX, fmax (running, offered));
}

static int64_t
expected_wait_ns (const struct lineup *l, const struct entry *r,
                  int64_t now_ns)
{
  double share_left = 1 - earlier_rank_share (l, r, now_ns);
  /* A late request yields to all that arrive in time while it waits.  */
  if (is_late (l, r, now_ns))
    share_left = 1 - fmin (OVERLOAD_MIN, offered_load (l, RANKS, now_ns));
  return (int64_t)(turns_ahead_ns (l, r, now_ns) / share_left)
         + next_start_ns (l, now_ns);
}

int64_t
lineup_expected_wait_ns (const struct lineup *l, int64_t now_ns)
{
  return (int64_t)turns_waiting_ns (l) + next_start_ns (l, now_ns);
}

double
lineup_utilization (const struct lineup *l, int64_t now_ns)
{
  double used = (double)(l->running + l->waiting->len) / l->slots;
  return isfinite (start_rate (l))
             ? fmax (used, offered_load (l, RANKS, now_ns))
             : used;
}

/* Whether a request may start now.  */
static bool
may_start (const struct lineup *l, int64_t now_ns)
{
  return l->running < l->slots && start_wait_ns (l, now_ns) == 0;
}

static void
start (struct lineup *l, struct entry *e, int64_t now_ns)
{
  e->running = true;
  e->started_ns = now_ns;
  e->start_pace = stated_load_pace (&l->stated);
  l->running++;
  pace_record_start (&l->pace, now_ns);
  cold_record_start (&l->cold, now_ns);
}

static void
insert_waiting (struct lineup *l, struct entry *e)
{
  guint at = l->waiting->len;
  while (at > 0
         && starts_before (&e->request, &waiting_at (l, at - 1)->request))
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
    .retry_after_ns = retry_after_ns > RETRY_AFTER_MIN_NS ? retry_after_ns
                                                          : RETRY_AFTER_MIN_NS,
  };
}

/* By how much E would end too late after WAIT_NS; 0 when it may wait or
   start.  */
static int64_t
excess_ns (const struct lineup *l, const struct entry *e, int64_t wait_ns,
           int64_t now_ns)
{
  const struct lineup_request *r = &e->request;
  int64_t service_ns = e->expected_service_ns;
  int64_t end_ns = now_ns + wait_ns + service_ns;
  bool overloaded = is_overloaded (l, now_ns);
  bool late = is_late (l, e, now_ns);
  double share = overloaded ? OVERLOAD_DEADLINE_SHARE : SOFT_DEADLINE_SHARE;
  int64_t target_end_ns
      = now_ns + (int64_t)((double)(r->soft_deadline_ns - now_ns) * share);
  /* Most service times are below the mean, so that only a request that would
     miss its deadline even with a short one is refused here.  */
  int64_t earliest_end_ns
      = now_ns + wait_ns + (int64_t)((double)service_ns * SHORT_RUN_SHARE);
  if (earliest_end_ns > r->deadline_ns)
    return earliest_end_ns - r->deadline_ns;
  if (is_lookup (l, e->rank) || late)
    target_end_ns
        = now_ns
          + (int64_t)((double)(r->deadline_ns - now_ns) * DEADLINE_SHARE);
  if (late && wait_ns > 0 && overloaded)
    return wait_ns;
  if (wait_ns == 0 || end_ns <= target_end_ns)
    return 0;
  int64_t slow_wait_ns
      = (int64_t)((double)service_ns * SLOW_TARGET_WAIT_SHARE);
  if (!overloaded && wait_ns <= slow_wait_ns && end_ns <= r->deadline_ns)
    return 0;
  return end_ns - target_end_ns;
}

/* By how much E, if it is admitted, makes a waiting request of its priority
   that starts after it miss its soft deadline; 0: none.  Under overload that
   request would be refused at its soft deadline, after a wait for nothing. */
static int64_t
delay_behind_ns (const struct lineup *l, const struct entry *e, int64_t now_ns)
{
  double turns_ns = (double)next_start_ns (l, now_ns);
  double own_ns = turn_ns (l, e->expected_service_ns);
  if (l->waiting->len == 0 || is_lookup (l, e->rank) || is_late (l, e, now_ns)
      || !is_overloaded (l, now_ns))
    return 0;
  for (guint i = 0; i < l->waiting->len; i++)
    {
      const struct entry *w = waiting_at (l, i);
      int64_t end_ns = now_ns + (int64_t)turns_ns + w->expected_service_ns;
      int64_t left_ns = w->request.soft_deadline_ns - end_ns;
      if (w->request.priority == e->request.priority
          && starts_before (&e->request, &w->request)
          && !is_lookup (l, w->rank) && left_ns >= 0
          && left_ns < (int64_t)own_ns)
        return (int64_t)own_ns - left_ns;
      turns_ns += turn_ns (l, w->expected_service_ns);
    }
  return 0;
}

/* Why the target has no room for E: its limit or its slots.  */
static enum reason
busy_reason (const struct lineup *l, const struct entry *e)
{
  bool paced = (double)lineup_start_interval_ns (l)
               > (double)e->expected_service_ns / l->slots;
  return paced ? REASON_TARGET_LIMIT : REASON_QUEUE_FULL;
}

/* Decide on E, a new request, which is not in the tables yet.  */
static struct lineup_decision
decide_offer (struct lineup *l, const struct entry *e, int64_t now_ns)
{
  const struct lineup_request *r = &e->request;
  bool free_slot = may_start (l, now_ns) && l->waiting->len == 0;
  int64_t wait_ns = free_slot ? 0 : expected_wait_ns (l, e, now_ns);
  if (!is_late (l, e, now_ns))
    record_offer (l, e, now_ns);
  if (now_ns >= r->deadline_ns)
    return refuse (r, REASON_DEADLINE, 0);
  if (l->waiting->len >= WAITING_MAX)
    return refuse (r, REASON_QUEUE_FULL, wait_ns);
  int64_t excess = excess_ns (l, e, wait_ns, now_ns);
  if (excess == 0)
    excess = delay_behind_ns (l, e, now_ns);
  bool probe = free_slot && l->running < PROBES_MAX;
  if (excess > 0 && !probe && !r->admitted)
    return refuse (r, busy_reason (l, e), excess);
  return (struct lineup_decision){
    .verdict = free_slot ? LINEUP_START : LINEUP_WAIT,
    .user_data = r->user_data,
    .expected_latency_ns = wait_ns + e->expected_service_ns,
  };
}

static struct entry
new_entry (struct lineup *l, const struct lineup_request *r, int64_t now_ns)
{
  struct route *route = find_route (l, r->route_hash);
  return (struct entry){
    .request = *r,
    .expected_service_ns = expected_service_ns (l, route),
    .rank = rank_of (route, r, now_ns),
  };
}

/* The expected wait of E after those that arrive before it.  */
static int64_t
expected_wait_after_ns (const struct lineup *l, const struct entry *e,
                        uint32_t before, int64_t now_ns)
{
  uint32_t free_slots = l->running < l->slots ? l->slots - l->running : 0;
  bool starts = may_start (l, now_ns) && l->waiting->len == 0;
  if (starts && before < free_slots)
    return 0;
  uint32_t queued = starts ? before + 1 - free_slots : before;
  return (starts ? 0 : expected_wait_ns (l, e, now_ns))
         + (int64_t)(queued * turn_ns (l, e->expected_service_ns));
}

struct lineup_decision
lineup_preview (struct lineup *l, const struct lineup_request *r,
                const struct lineup_arrival *arrival, int64_t now_ns)
{
  struct entry offered = new_entry (l, r, now_ns);
  int64_t queue_ns
      = expected_wait_after_ns (l, &offered, arrival->before, now_ns);
  /* The transfer is no wait: without a queue and a backlog the request would
     start when it arrives.  */
  int64_t arrival_ns = now_ns + arrival->transfer_ns;
  queue_ns = MAX (0, queue_ns - arrival->transfer_ns);
  if (arrival_ns >= r->deadline_ns)
    return refuse (r, REASON_DEADLINE, 0);
  int64_t excess = excess_ns (l, &offered, MAX (queue_ns, arrival->backlog_ns),
                              arrival_ns);
  bool probe = queue_ns == 0 && arrival->backlog_ns == 0
               && l->running + arrival->before < PROBES_MAX;
  if (excess <= 0 || probe)
    return (struct lineup_decision){ .verdict = LINEUP_WAIT,
                                     .user_data = r->user_data };
  if (arrival->backlog_ns > queue_ns
      && excess_ns (l, &offered, queue_ns, arrival_ns) <= 0)
    return refuse (r, REASON_LINK_FULL, excess);
  update_mix (l, &offered, now_ns);
  if (!is_late (l, &offered, now_ns))
    record_offer (l, &offered, now_ns);
  return refuse (r, busy_reason (l, &offered), excess);
}

struct lineup_decision
lineup_offer (struct lineup *l, const struct lineup_request *r, int64_t now_ns)
{
  struct entry offered = new_entry (l, r, now_ns);
  update_mix (l, &offered, now_ns);
  advance_cold (l, now_ns);
  struct lineup_decision d = decide_offer (l, &offered, now_ns);
  if (d.verdict == LINEUP_REFUSE)
    return d;
  d.id = ++l->last_id == LINEUP_NONE ? ++l->last_id : l->last_id;
  offered.id = d.id;
  struct entry *e = g_memdup2 (&offered, sizeof offered);
  g_hash_table_insert (l->entries, GUINT_TO_POINTER (e->id), e);
  if (d.verdict == LINEUP_START)
    start (l, e, now_ns);
  else
    insert_waiting (l, e);
  return d;
}

/* The time from which E is refused, as it can no longer be answered in time:
   before its deadline, or before its soft deadline while OVERLOADED.  */
static int64_t
latest_start_ns (const struct lineup *l, const struct entry *e,
                 bool overloaded)
{
  int64_t min_service_ns
      = l->running == 0 ? 0 : (int64_t)((double)e->expected_service_ns / 2);
  int64_t latest_ns = e->request.deadline_ns - min_service_ns;
  int64_t late_from_ns
      = e->request.soft_deadline_ns - e->expected_service_ns + 1;
  if (overloaded && !is_lookup (l, e->rank) && late_from_ns < latest_ns)
    latest_ns = late_from_ns;
  return latest_ns;
}

/* The first waiting request of the highest priority that can still meet its
   soft deadline, or the first one of all when there is none.  Lookups too:
   those that are late are behind those that are not.  */
static guint
next_to_start (const struct lineup *l, int64_t now_ns)
{
  uint32_t priority = waiting_at (l, 0)->request.priority;
  for (guint i = 0; i < l->waiting->len; i++)
    {
      const struct entry *e = waiting_at (l, i);
      if (e->request.priority != priority)
        break;
      if (now_ns + e->expected_service_ns <= e->request.soft_deadline_ns)
        return i;
    }
  return 0;
}

/* Whether the target is cold or limited: the whole queue moves at its rate. */
static bool
has_rate (const struct lineup *l)
{
  return isfinite (start_rate (l));
}

/* The earliest start of the waiting request at I.  Where the target has a
   rate, what cannot start in time is known long before it is late.  */
static int64_t
earliest_start_ns (const struct lineup *l, guint i, int64_t now_ns)
{
  if (!has_rate (l))
    return now_ns;
  return now_ns + start_wait_ns (l, now_ns) + i * lineup_start_interval_ns (l);
}

struct lineup_decision
lineup_next (struct lineup *l, int64_t now_ns)
{
  bool overloaded = l->waiting->len > 0 && is_overloaded (l, now_ns);
  advance_cold (l, now_ns);
  for (guint i = 0; i < l->waiting->len; i++)
    {
      struct entry *e = waiting_at (l, i);
      if (earliest_start_ns (l, i, now_ns)
          < latest_start_ns (l, e, overloaded))
        continue;
      struct lineup_request r = e->request;
      enum reason reason
          = has_rate (l) ? REASON_TARGET_LIMIT : REASON_TARGET_BUSY;
      g_ptr_array_remove_index (l->waiting, i);
      g_hash_table_remove (l->entries, GUINT_TO_POINTER (e->id));
      return refuse (&r, reason, lineup_expected_wait_ns (l, now_ns));
    }
  if (l->waiting->len == 0 || !may_start (l, now_ns))
    return (struct lineup_decision){ .verdict = LINEUP_NOTHING };
  guint next = next_to_start (l, now_ns);
  struct entry *e = waiting_at (l, next);
  g_ptr_array_remove_index (l->waiting, next);
  start (l, e, now_ns);
  return (struct lineup_decision){ .verdict = LINEUP_START,
                                   .id = e->id,
                                   .user_data = e->request.user_data,
                                   .expected_latency_ns
                                   = e->expected_service_ns };
}

int64_t
lineup_wake_ns (const struct lineup *l, int64_t now_ns)
{
  int64_t first = INT64_MAX;
  bool overloaded = l->waiting->len > 0 && is_overloaded (l, now_ns);
  for (guint i = 0; i < l->waiting->len; i++)
    {
      int64_t at = latest_start_ns (l, waiting_at (l, i), overloaded);
      if (at < first)
        first = at;
    }
  if (l->waiting->len > 0 && l->running < l->slots)
    {
      int64_t start = now_ns + start_wait_ns (l, now_ns);
      if (start < first)
        first = start;
    }
  return first;
}

/* The pace at which E, which ends now, ran; 1: none is in use.  */
static double
pace_during (const struct lineup *l, const struct entry *e)
{
  double pace = stated_load_pace (&l->stated);
  if (pace == 0)
    return 1;
  return e->start_pace > 0 ? (pace + e->start_pace) / 2 : pace;
}

static void
update_estimates (struct lineup *l, const struct entry *e, int64_t service_ns)
{
  struct route *route = find_route (l, e->request.route_hash);
  double before = pace_factor (l);
  double usual_ns = (double)service_ns / pace_during (l, e);
  route->samples++;
  double weight = fmax (ROUTE_MEAN_WEIGHT, 1.0 / route->samples);
  double ratio = route->samples == 1 ? 1 : usual_ns / route->mean_ns;
  bool used = stated_load_pace (&l->stated) > 0;
  if (route->samples > CHECKED_SAMPLES_MIN)
    stated_load_measure (&l->stated, ratio, used ? 1 : l->stated.pace);
  replace_slowdown (l, used, before);
  route->mean_ns += (usual_ns - route->mean_ns) * weight;
  ratio = fmin (SLOWDOWN_SAMPLE_MAX, fmax (SLOWDOWN_SAMPLE_MIN, ratio));
  l->slowdown += (ratio - l->slowdown) * SLOWDOWN_WEIGHT;
  if (l->mean_service_ns == 0)
    l->mean_service_ns = (double)service_ns;
  l->mean_service_ns
      += ((double)service_ns - l->mean_service_ns) * ROUTE_MEAN_WEIGHT;
}

void
lineup_done (struct lineup *l, lineup_id id, bool complete, int64_t service_ns)
{
  struct entry *e = find_entry (l, id);
  if (e == NULL || !e->running)
    return;
  if (complete)
    update_estimates (l, e, service_ns);
  l->running--;
  g_hash_table_remove (l->entries, GUINT_TO_POINTER (id));
}

bool
lineup_cancel (struct lineup *l, lineup_id id)
{
  struct entry *e = find_entry (l, id);
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
  void *user_data = e->request.user_data;
  g_ptr_array_remove_index (l->waiting, 0);
  g_hash_table_remove (l->entries, GUINT_TO_POINTER (e->id));
  return user_data;
}

uint32_t
lineup_slots (const struct lineup *l)
{
  return l->slots;
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
