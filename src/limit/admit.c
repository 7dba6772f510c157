#include "limit/admit.h"

#include "base/clock.h"
#include "limit/estimate.h"
#include "limit/fairq.h"

#include <math.h>
#include <stdlib.h>

enum
{
  DEFAULT_QUEUE_PER_SLOT = 32,
  DEFAULT_QUEUE_MIN = 128,
  DEFAULT_ORGANISATIONS_MAX = 1024,
  DEFAULT_TRIAL_SHARE_PCT = 20,
  DEFAULT_RESERVE_MIN = 1,
  DEFAULT_RESERVE_PCT = 200,
  QUEUE_MAX = 30000,
  SLOTS_MAX = 10000,
  EVICTIONS_MAX = 64, /* evictions that admit_next has not reported yet */
  RETRY_AFTER_MAX_MS = 10000,
  SHARE_MARGIN_DIVISOR = 2, /* trials within their share leave half the margin
                               free */
  LOOKUP_DEPTH_MAX = 1,
  PERCENT = 100
};

/* Time constant of the moving average of the paying load.  */
#define LOAD_TIME_CONSTANT_NS (2 * NS_PER_S)

/* A ticket evicted from a full queue, to be reported as refused.  */
struct eviction
{
  uint64_t user_data;
  enum reason reason;
  enum admit_kind kind;
};

struct admit
{
  struct admit_config config;
  struct fairq *queue;
  uint32_t limit;
  enum admit_state state;
  struct estimate service;
  struct estimate kind_service[2];
  double paying_load;      /* moving average, in flight and queued */
  int64_t load_updated_ns; /* last update of paying_load */
  struct eviction evictions[EVICTIONS_MAX];
  uint32_t eviction_count;
  uint64_t started[2];
  uint64_t refused[2];
};

static uint32_t
min_u32 (uint32_t a, uint32_t b)
{
  return a < b ? a : b;
}

static uint32_t
max_u32 (uint32_t a, uint32_t b)
{
  return a > b ? a : b;
}

static uint32_t
saturating_sub (uint32_t a, uint32_t b)
{
  return a > b ? a - b : 0;
}

void
admit_config_defaults (struct admit_config *config, uint32_t slots)
{
  *config = (struct admit_config){
    .slots = slots,
    .queue_max = max_u32 (DEFAULT_QUEUE_MIN, DEFAULT_QUEUE_PER_SLOT * slots),
    .organisations_max = DEFAULT_ORGANISATIONS_MAX,
    .trial_share_pct = DEFAULT_TRIAL_SHARE_PCT,
    .trial_lending = true,
    .reserve_min = DEFAULT_RESERVE_MIN,
    .reserve_pct = DEFAULT_RESERVE_PCT,
    .lookup_reserve = 1,
  };
}

struct admit *
admit_new (const struct admit_config *config)
{
  struct admit *a = calloc (1, sizeof *a);
  if (a == NULL)
    return NULL;
  a->config = *config;
  a->config.queue_max = min_u32 (config->queue_max, QUEUE_MAX);
  a->config.slots = min_u32 (max_u32 (config->slots, 1), SLOTS_MAX);
  a->limit = a->config.slots;
  /* After the limit is lowered up to `slots` requests remain in flight, and
     lookups may exceed the limit.  */
  uint32_t tickets
      = a->config.queue_max + a->config.slots + config->lookup_reserve + 1;
  a->queue = fairq_new (tickets, config->organisations_max);
  if (a->queue == NULL)
    {
      free (a);
      return NULL;
    }
  return a;
}

void
admit_free (struct admit *a)
{
  if (a == NULL)
    return;
  fairq_free (a->queue);
  free (a);
}

/* Classes and kinds.  */

static enum fairq_class
class_of (const struct admit_request *request)
{
  bool lookup = request->depth > 0;
  if (request->policy.kind == ADMIT_PAYING)
    return lookup ? FAIRQ_PAYING_LOOKUP : FAIRQ_PAYING;
  return lookup ? FAIRQ_TRIAL_LOOKUP : FAIRQ_TRIAL;
}

static enum admit_kind
kind_of (enum fairq_class c)
{
  return c >= FAIRQ_TRIAL_LOOKUP ? ADMIT_TRIAL : ADMIT_PAYING;
}

static uint32_t
kind_in_flight (const struct admit *a, enum admit_kind kind)
{
  enum fairq_class first
      = kind == ADMIT_PAYING ? FAIRQ_PAYING_LOOKUP : FAIRQ_TRIAL_LOOKUP;
  return fairq_class_running (a->queue, first)
         + fairq_class_running (a->queue, first + 1);
}

static uint32_t
kind_waiting (const struct admit *a, enum admit_kind kind)
{
  enum fairq_class first
      = kind == ADMIT_PAYING ? FAIRQ_PAYING_LOOKUP : FAIRQ_TRIAL_LOOKUP;
  return fairq_class_waiting (a->queue, first)
         + fairq_class_waiting (a->queue, first + 1);
}

static uint32_t
total_waiting (const struct admit *a)
{
  return kind_waiting (a, ADMIT_PAYING) + kind_waiting (a, ADMIT_TRIAL);
}

uint32_t
admit_in_flight (const struct admit *a)
{
  return kind_in_flight (a, ADMIT_PAYING) + kind_in_flight (a, ADMIT_TRIAL);
}

/* The paying load, which determines the reserve.  */

static void
update_paying_load (struct admit *a, int64_t now_ns)
{
  int64_t elapsed_ns = now_ns - a->load_updated_ns;
  if (elapsed_ns <= 0)
    return;
  double present
      = kind_in_flight (a, ADMIT_PAYING) + kind_waiting (a, ADMIT_PAYING);
  double weight
      = 1 - exp (-(double)elapsed_ns / (double)LOAD_TIME_CONSTANT_NS);
  a->paying_load += (present - a->paying_load) * weight;
  a->load_updated_ns = now_ns;
}

/* The number of paying arrivals within one service time has a standard
   deviation of about the square root of the paying load.  The more service
   times vary by themselves, the less a wait for a permit adds to the slow
   requests, and the fewer permits have to be kept free.  */
static double
reserve_margin (const struct admit *a)
{
  const struct estimate *e = &a->kind_service[ADMIT_PAYING];
  double regularity
      = e->mean_ns > 0 ? fmax (1 - e->deviation_ns / e->mean_ns, 0) : 1;
  return sqrt (a->paying_load) * a->config.reserve_pct / PERCENT * regularity;
}

/* The expected number of paying requests in flight and queued while a trial
   request that starts now runs.  A trial request no longer than a paying one
   meets about their present number, a longer one their mean.  */
static double
expected_paying (const struct admit *a, double present)
{
  double paying_ns = fmax (a->kind_service[ADMIT_PAYING].mean_ns, 1);
  double trial_ns = a->kind_service[ADMIT_TRIAL].mean_ns;
  double persistence = exp (-fmax (trial_ns / paying_ns - 1, 0));
  return a->paying_load + (present - a->paying_load) * persistence;
}

/* Permits that trials beyond their share leave free.  */
static uint32_t
reserve_beyond_share (const struct admit *a)
{
  if (a->config.reserve_pct == 0)
    return a->config.reserve_min;
  double present
      = kind_in_flight (a, ADMIT_PAYING) + kind_waiting (a, ADMIT_PAYING);
  double more = expected_paying (a, present) - present + reserve_margin (a);
  return max_u32 (a->config.reserve_min, (uint32_t)ceil (fmax (more, 0)));
}

/* Permits that trials within their share leave free.  */
static uint32_t
reserve_within_share (const struct admit *a)
{
  uint32_t part = (uint32_t)ceil (reserve_margin (a) / SHARE_MARGIN_DIVISOR);
  return max_u32 (a->config.reserve_min, part);
}

static uint32_t
trial_share (const struct admit *a)
{
  uint32_t share = a->limit * a->config.trial_share_pct / PERCENT;
  if (a->config.trial_share_pct > 0)
    share = max_u32 (share, 1);
  return share;
}

/* Permits.  A class may start a request while more permits are available to it
   than it has to leave free.  */

/* At least one permit is available to requests that are not lookups, and
   lookup_reserve permits to lookups, beyond the limit when it is too low.  */
static uint32_t
caller_permits (const struct admit *a)
{
  return max_u32 (1, saturating_sub (a->limit, a->config.lookup_reserve));
}

static uint32_t
total_permits (const struct admit *a)
{
  return max_u32 (a->limit, caller_permits (a) + a->config.lookup_reserve);
}

static bool
is_lookup (enum fairq_class c)
{
  return c == FAIRQ_PAYING_LOOKUP || c == FAIRQ_TRIAL_LOOKUP;
}

static uint32_t
free_permits (const struct admit *a, bool lookup)
{
  uint32_t left = saturating_sub (total_permits (a), admit_in_flight (a));
  if (lookup)
    return left;
  uint32_t callers = fairq_class_running (a->queue, FAIRQ_PAYING)
                     + fairq_class_running (a->queue, FAIRQ_TRIAL);
  return min_u32 (left, saturating_sub (caller_permits (a), callers));
}

/* Permits that the next trial request has to leave free.  */
static uint32_t
trial_headroom (const struct admit *a)
{
  bool within_share = kind_in_flight (a, ADMIT_TRIAL) < trial_share (a);
  if (!within_share && !a->config.trial_lending)
    return UINT32_MAX;
  uint32_t headroom
      = within_share ? reserve_within_share (a) : reserve_beyond_share (a);
  /* Without paying requests at least one trial request runs, however low the
     limit is.  */
  if (kind_waiting (a, ADMIT_PAYING) == 0
      && kind_in_flight (a, ADMIT_PAYING) == 0)
    headroom = min_u32 (headroom, caller_permits (a) - 1);
  return headroom;
}

static bool
has_permit (const struct admit *a, enum fairq_class c)
{
  uint32_t headroom = kind_of (c) == ADMIT_TRIAL ? trial_headroom (a) : 0;
  return free_permits (a, is_lookup (c)) > headroom;
}

/* Estimates of the wait.  */

/* Requests of class C that start before one more of organisation O by round
   robin.  */
static double
ahead_in_class (const struct admit *a, enum fairq_class c,
                fairq_organisation o)
{
  double total = fairq_class_waiting (a->queue, c);
  double own = fairq_waiting_in (a->queue, o, c);
  double others = fairq_class_organisations (a->queue, c);
  if (own > 0)
    others--;
  return fmin (total, own + others * (own + 1));
}

/* Permits available to class C in the steady state.  */
static double
permits_for (const struct admit *a, enum fairq_class c)
{
  if (kind_of (c) == ADMIT_PAYING)
    return is_lookup (c) ? total_permits (a) : caller_permits (a);
  double left = caller_permits (a) - a->paying_load;
  double share = fmin (trial_share (a), left - reserve_within_share (a));
  if (!a->config.trial_lending)
    return fmax (share, 0);
  double borrowable = left - fmax (reserve_margin (a), a->config.reserve_min);
  /* The probability that there are no paying requests, with Poisson
     arrivals.  */
  return fmax (fmax (borrowable, share), exp (-a->paying_load));
}

/* Expected wait of one more request of class C and organisation O, when
   PERMITS permits are available to the class.  */
static double
expected_wait_ns (const struct admit *a, enum fairq_class c,
                  fairq_organisation o, double permits)
{
  double ahead = ahead_in_class (a, c, o);
  for (int higher = 0; higher < (int)c; higher++)
    ahead += fairq_class_waiting (a->queue, (enum fairq_class)higher);
  if (permits <= 0)
    return INFINITY;
  return (ahead + 1) * (double)estimate_mean_ns (&a->service) / permits;
}

static uint32_t
retry_after_ms (const struct admit *a, enum admit_kind kind)
{
  double permits
      = permits_for (a, kind == ADMIT_PAYING ? FAIRQ_PAYING : FAIRQ_TRIAL);
  double ahead = kind_waiting (a, ADMIT_PAYING) + 1.0;
  if (kind == ADMIT_TRIAL)
    ahead += kind_waiting (a, ADMIT_TRIAL);
  double service_ms
      = (double)estimate_mean_ns (&a->service) / (double)NS_PER_MS;
  double ms = ahead * service_ms / fmax (permits, 0.1);
  return (uint32_t)fmin (fmax (ceil (ms), 1), RETRY_AFTER_MAX_MS);
}

/* Decisions.  */

static struct admit_decision
no_decision (void)
{
  return (struct admit_decision){ .verdict = ADMIT_NOTHING };
}

static struct admit_decision
refuse (struct admit *a, enum admit_kind kind, uint64_t user_data,
        enum reason reason)
{
  a->refused[kind]++;
  return (struct admit_decision){
    .verdict = ADMIT_REFUSED,
    .user_data = user_data,
    .reason = reason,
    .retry_after_ms = retry_after_ms (a, kind),
    .kind = kind,
  };
}

static struct admit_decision
refuse_request (struct admit *a, const struct admit_request *request,
                enum reason reason)
{
  return refuse (a, request->policy.kind, request->user_data, reason);
}

static struct admit_decision
start (struct admit *a, fairq_ticket t)
{
  const struct fairq_entry *entry = fairq_get (a->queue, t);
  enum admit_kind kind = kind_of (entry->class);
  fairq_start (a->queue, t);
  a->started[kind]++;
  return (struct admit_decision){
    .verdict = ADMIT_START,
    .ticket = t,
    .user_data = entry->user_data,
    .kind = kind,
  };
}

/* Whether a request that starts at NOW_NS and takes SERVICE_NS would miss
   DEADLINE_NS.  With nothing in flight one request is always tried, so that a
   wrong estimate is corrected by new service times.  */
static bool
is_too_late (const struct admit *a, int64_t deadline_ns, int64_t service_ns,
             int64_t now_ns)
{
  if (deadline_ns <= now_ns)
    return true;
  return admit_in_flight (a) > 0 && now_ns + service_ns > deadline_ns;
}

/* The service time assumed for a new request, which is refused only when it is
   nearly certain to be late.  For a queued request the estimate is higher: the
   target is overloaded, and a request that is likely to be answered in time
   makes better use of the permit.  */
static int64_t
min_service_ns (const struct admit *a)
{
  return estimate_mean_ns (&a->service) / 2;
}

/* Why a request may not be queued, or REASON_NONE.  A request is queued only
   if it would be answered in time even with a long service time.  */
static enum reason
check_wait (const struct admit *a, const struct admit_request *request,
            fairq_organisation o, int64_t now_ns)
{
  enum fairq_class c = class_of (request);
  double left_ns = (double)(request->deadline_ns - now_ns)
                   - (double)estimate_upper_3dev_ns (&a->service);
  uint32_t cap = request->policy.in_flight_max;
  if (cap > 0 && !fairq_below_limit (a->queue, o))
    {
      if (fairq_waiting (a->queue, o) >= cap)
        return REASON_ORGANISATION_LIMIT;
      if (expected_wait_ns (a, c, o, cap) > left_ns)
        return REASON_ORGANISATION_LIMIT;
    }
  if (expected_wait_ns (a, c, o, permits_for (a, c)) <= left_ns)
    return REASON_NONE;
  if (kind_of (c) == ADMIT_TRIAL
      && expected_wait_ns (a, c, o, caller_permits (a)) <= left_ns)
    return REASON_TRIAL_SHARE;
  return REASON_DEADLINE;
}

static void
evict (struct admit *a, fairq_ticket t, enum reason reason)
{
  const struct fairq_entry *entry = fairq_get (a->queue, t);
  a->evictions[a->eviction_count++]
      = (struct eviction){ .user_data = entry->user_data,
                           .reason = reason,
                           .kind = kind_of (entry->class) };
  fairq_remove (a->queue, t);
}

/* Ensure that the queue has room for a request of class C and organisation O.
   When it is full, evict the newest request of the organisation with the most
   queued requests in the lowest class; in class C itself only if that
   organisation has more of them queued than O would have with this one.  */
static bool
make_room (struct admit *a, enum fairq_class c, fairq_organisation o)
{
  if (total_waiting (a) < a->config.queue_max)
    return true;
  if (a->eviction_count == EVICTIONS_MAX)
    return false;
  for (int victim_class = FAIRQ_TRIAL; victim_class >= (int)c; victim_class--)
    {
      uint32_t count = 0;
      fairq_ticket victim
          = fairq_longest (a->queue, (enum fairq_class)victim_class, &count);
      if (victim == FAIRQ_NONE)
        continue;
      bool same_class = victim_class == (int)c;
      if (same_class && count <= fairq_waiting_in (a->queue, o, c) + 1)
        return false;
      evict (a, victim, REASON_QUEUE_FULL);
      return true;
    }
  return false;
}

static enum reason
check_state (const struct admit *a, const struct admit_request *request,
             int64_t now_ns)
{
  if (a->state == ADMIT_DRAINING)
    return REASON_DRAINING;
  if (a->state == ADMIT_DOWN)
    return REASON_TARGET_DOWN;
  if (request->depth > LOOKUP_DEPTH_MAX)
    return REASON_LOOKUP_DEPTH;
  if (is_too_late (a, request->deadline_ns, min_service_ns (a), now_ns))
    return REASON_DEADLINE;
  return REASON_NONE;
}

static bool
may_start (struct admit *a, enum fairq_class c, fairq_organisation o)
{
  return has_permit (a, c) && fairq_below_limit (a->queue, o)
         && fairq_pick (a->queue, c) == FAIRQ_NONE;
}

struct admit_decision
admit_offer (struct admit *a, const struct admit_request *request,
             int64_t now_ns)
{
  enum fairq_class c = class_of (request);
  update_paying_load (a, now_ns);
  enum reason reason = check_state (a, request, now_ns);
  if (reason != REASON_NONE)
    return refuse_request (a, request, reason);
  fairq_organisation o
      = fairq_find_or_add (a->queue, request->organisation, kind_of (c));
  fairq_set_policy (a->queue, o, request->policy.weight,
                    request->policy.in_flight_max);
  bool immediate = may_start (a, c, o);
  if (!immediate)
    reason = check_wait (a, request, o, now_ns);
  if (reason == REASON_NONE && !immediate && !make_room (a, c, o))
    reason = REASON_QUEUE_FULL;
  if (reason != REASON_NONE)
    return refuse_request (a, request, reason);
  struct fairq_entry entry = { .class = c,
                               .organisation = o,
                               .deadline_ns = request->deadline_ns,
                               .user_data = request->user_data };
  fairq_ticket t = fairq_push (a->queue, &entry);
  if (t == FAIRQ_NONE)
    return refuse_request (a, request, REASON_QUEUE_FULL);
  if (immediate)
    return start (a, t);
  return (struct admit_decision){ .verdict = ADMIT_QUEUED,
                                  .ticket = t,
                                  .user_data = request->user_data,
                                  .kind = kind_of (c) };
}

static struct admit_decision
refuse_waiting (struct admit *a, fairq_ticket t, enum reason reason)
{
  struct fairq_entry entry = *fairq_get (a->queue, t);
  fairq_remove (a->queue, t);
  return refuse (a, kind_of (entry.class), entry.user_data, reason);
}

struct admit_decision
admit_next (struct admit *a, int64_t now_ns)
{
  update_paying_load (a, now_ns);
  if (a->eviction_count > 0)
    {
      struct eviction *r = &a->evictions[--a->eviction_count];
      return refuse (a, r->kind, r->user_data, r->reason);
    }
  fairq_ticket earliest = fairq_earliest (a->queue);
  if (earliest == FAIRQ_NONE)
    return no_decision ();
  if (a->state == ADMIT_DOWN)
    return refuse_waiting (a, earliest, REASON_TARGET_DOWN);
  if (is_too_late (a, fairq_get (a->queue, earliest)->deadline_ns,
                   estimate_upper_1dev_ns (&a->service), now_ns))
    return refuse_waiting (a, earliest, REASON_DEADLINE);
  for (int c = 0; c < FAIRQ_CLASSES; c++)
    {
      enum fairq_class class = (enum fairq_class)c;
      if (!has_permit (a, class))
        continue;
      fairq_ticket t = fairq_pick (a->queue, class);
      if (t != FAIRQ_NONE)
        return start (a, t);
    }
  return no_decision ();
}

int64_t
admit_wake_ns (const struct admit *a)
{
  fairq_ticket earliest = fairq_earliest (a->queue);
  if (earliest == FAIRQ_NONE)
    return INT64_MAX;
  int64_t likely_service_ns = 0;
  if (admit_in_flight (a) > 0)
    likely_service_ns = estimate_upper_1dev_ns (&a->service);
  return fairq_get (a->queue, earliest)->deadline_ns - likely_service_ns + 1;
}

/* Update the service time estimates.  A failed connection carries no
   information; a timeout is a lower bound of the service time.  */
static void
update_service (struct admit *a, enum admit_kind kind,
                enum admit_outcome outcome, int64_t latency_ns)
{
  bool answered = outcome == ADMIT_ANSWERED;
  bool late_timeout = outcome == ADMIT_TIMED_OUT
                      && latency_ns > estimate_mean_ns (&a->service);
  if (!answered && !late_timeout)
    return;
  estimate_add (&a->service, latency_ns);
  estimate_add (&a->kind_service[kind], latency_ns);
}

bool
admit_done (struct admit *a, admit_ticket ticket, enum admit_outcome outcome,
            int64_t latency_ns, int64_t now_ns)
{
  const struct fairq_entry *entry = fairq_get (a->queue, ticket);
  if (entry == NULL || entry->state != FAIRQ_RUNNING)
    return false;
  enum admit_kind kind = kind_of (entry->class);
  update_paying_load (a, now_ns);
  fairq_remove (a->queue, ticket);
  update_service (a, kind, outcome, latency_ns);
  return true;
}

bool
admit_cancel (struct admit *a, admit_ticket ticket)
{
  const struct fairq_entry *entry = fairq_get (a->queue, ticket);
  if (entry == NULL || entry->state != FAIRQ_WAITING)
    return false;
  fairq_remove (a->queue, ticket);
  return true;
}

void
admit_set_limit (struct admit *a, uint32_t limit)
{
  a->limit = min_u32 (max_u32 (limit, 1), a->config.slots);
}

void
admit_set_state (struct admit *a, enum admit_state state)
{
  a->state = state;
}

void
admit_set_trial_share (struct admit *a, uint32_t share_pct, bool lending)
{
  a->config.trial_share_pct = min_u32 (share_pct, PERCENT);
  a->config.trial_lending = lending;
}

void
admit_read_stats (const struct admit *a, struct admit_stats *stats)
{
  *stats = (struct admit_stats){
    .limit = a->limit,
    .reserve = reserve_beyond_share (a),
    .service_ns = estimate_mean_ns (&a->service),
  };
  for (int kind = ADMIT_PAYING; kind <= ADMIT_TRIAL; kind++)
    {
      stats->in_flight[kind] = kind_in_flight (a, (enum admit_kind)kind);
      stats->queued[kind] = kind_waiting (a, (enum admit_kind)kind);
      stats->started[kind] = a->started[kind];
      stats->refused[kind] = a->refused[kind];
    }
}
