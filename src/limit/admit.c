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
  DEFAULT_ORGANISATIONS = 1024,
  DEFAULT_TRIAL_SHARE_PCT = 20,
  DEFAULT_RESERVE_MIN = 1,
  DEFAULT_RESERVE_PCT = 200,
  QUEUE_LIMIT = 30000,
  SLOTS_LIMIT = 10000,
  REFUSALS_MAX = 64, /* evicted tickets that admit_next has to report */
  RETRY_AFTER_MAX_MS = 10000,
  SHARE_MARGIN_PARTS = 2, /* of the margin, one is kept within the share */
  DEPTH_MAX = 1,
  PCT = 100
};

/* Time constant of the mean paying load.  */
#define LOAD_MEMORY_NS (2 * NS_PER_S)

struct refusal
{
  uint64_t user;
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
  double paying_load; /* mean of paying requests in flight and waiting */
  int64_t load_ns;    /* when paying_load was brought up to date */
  struct refusal refusals[REFUSALS_MAX];
  uint32_t refusal_count;
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
minus (uint32_t a, uint32_t b)
{
  return a > b ? a - b : 0;
}

void
admit_config_defaults (struct admit_config *config, uint32_t slots)
{
  *config = (struct admit_config){
    .slots = slots,
    .queue_max = max_u32 (DEFAULT_QUEUE_MIN, DEFAULT_QUEUE_PER_SLOT * slots),
    .organisations_max = DEFAULT_ORGANISATIONS,
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
  a->config.queue_max = min_u32 (config->queue_max, QUEUE_LIMIT);
  a->config.slots = min_u32 (max_u32 (config->slots, 1), SLOTS_LIMIT);
  a->limit = a->config.slots;
  /* A limit that was lowered leaves up to `slots` in flight, and a lookup may
     pass the limit.  */
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
running (const struct admit *a, enum admit_kind kind)
{
  enum fairq_class first
      = kind == ADMIT_PAYING ? FAIRQ_PAYING_LOOKUP : FAIRQ_TRIAL_LOOKUP;
  return fairq_class_running (a->queue, first)
         + fairq_class_running (a->queue, first + 1);
}

static uint32_t
waiting (const struct admit *a, enum admit_kind kind)
{
  enum fairq_class first
      = kind == ADMIT_PAYING ? FAIRQ_PAYING_LOOKUP : FAIRQ_TRIAL_LOOKUP;
  return fairq_class_waiting (a->queue, first)
         + fairq_class_waiting (a->queue, first + 1);
}

static uint32_t
waiting_all (const struct admit *a)
{
  return waiting (a, ADMIT_PAYING) + waiting (a, ADMIT_TRIAL);
}

uint32_t
admit_in_flight (const struct admit *a)
{
  return running (a, ADMIT_PAYING) + running (a, ADMIT_TRIAL);
}

/* The paying load, which sizes the reserve.  */

static void
update_load (struct admit *a, int64_t now_ns)
{
  int64_t elapsed_ns = now_ns - a->load_ns;
  if (elapsed_ns <= 0)
    return;
  double present = running (a, ADMIT_PAYING) + waiting (a, ADMIT_PAYING);
  double weight = 1 - exp (-(double)elapsed_ns / (double)LOAD_MEMORY_NS);
  a->paying_load += (present - a->paying_load) * weight;
  a->load_ns = now_ns;
}

/* Paying arrivals within one service time vary about as the square root of
   the paying load.  The more service times vary by themselves, the less a wait
   for a place adds to the slow ones, and the less has to be kept free.  */
static double
margin (const struct admit *a)
{
  const struct estimate *e = &a->kind_service[ADMIT_PAYING];
  double even
      = e->mean_ns > 0 ? fmax (1 - e->deviation_ns / e->mean_ns, 0) : 1;
  return sqrt (a->paying_load) * a->config.reserve_pct / PCT * even;
}

/* Paying requests in flight and waiting that are to be expected until a trial
   that starts now has ended.  A trial no longer than they are meets about
   their present number, a longer one their mean.  */
static double
expected_paying (const struct admit *a, double present)
{
  double paying_ns = fmax (a->kind_service[ADMIT_PAYING].mean_ns, 1);
  double trial_ns = a->kind_service[ADMIT_TRIAL].mean_ns;
  double stays = exp (-fmax (trial_ns / paying_ns - 1, 0));
  return a->paying_load + (present - a->paying_load) * stays;
}

/* Places that trials beyond their share leave free.  */
static uint32_t
reserve (const struct admit *a)
{
  if (a->config.reserve_pct == 0)
    return a->config.reserve_min;
  double present = running (a, ADMIT_PAYING) + waiting (a, ADMIT_PAYING);
  double more = expected_paying (a, present) - present + margin (a);
  return max_u32 (a->config.reserve_min, (uint32_t)ceil (fmax (more, 0)));
}

/* Places that trials within their share leave free.  */
static uint32_t
share_reserve (const struct admit *a)
{
  uint32_t part = (uint32_t)ceil (margin (a) / SHARE_MARGIN_PARTS);
  return max_u32 (a->config.reserve_min, part);
}

static uint32_t
trial_share (const struct admit *a)
{
  uint32_t share = a->limit * a->config.trial_share_pct / PCT;
  if (a->config.trial_share_pct > 0)
    share = max_u32 (share, 1);
  return share;
}

/* Places.  A class may start a request while more places are free to it than
   it has to keep free.  */

/* One place at least stays open to requests that are not lookups, and
   lookup_reserve places to lookups, past the limit when it is that low.  */
static uint32_t
caller_places (const struct admit *a)
{
  return max_u32 (1, minus (a->limit, a->config.lookup_reserve));
}

static uint32_t
all_places (const struct admit *a)
{
  return max_u32 (a->limit, caller_places (a) + a->config.lookup_reserve);
}

static bool
is_lookup (enum fairq_class c)
{
  return c == FAIRQ_PAYING_LOOKUP || c == FAIRQ_TRIAL_LOOKUP;
}

static uint32_t
free_places (const struct admit *a, bool lookup)
{
  uint32_t left = minus (all_places (a), admit_in_flight (a));
  if (lookup)
    return left;
  uint32_t callers = fairq_class_running (a->queue, FAIRQ_PAYING)
                     + fairq_class_running (a->queue, FAIRQ_TRIAL);
  return min_u32 (left, minus (caller_places (a), callers));
}

/* Places that a trial has to leave free.  */
static uint32_t
kept_by_trials (const struct admit *a)
{
  bool in_share = running (a, ADMIT_TRIAL) < trial_share (a);
  if (!in_share && !a->config.trial_lending)
    return UINT32_MAX;
  uint32_t kept = in_share ? share_reserve (a) : reserve (a);
  /* While no paying work is there one trial is served, however low the
     limit.  */
  if (waiting (a, ADMIT_PAYING) == 0 && running (a, ADMIT_PAYING) == 0)
    kept = min_u32 (kept, caller_places (a) - 1);
  return kept;
}

static bool
has_place (const struct admit *a, enum fairq_class c)
{
  uint32_t kept = kind_of (c) == ADMIT_TRIAL ? kept_by_trials (a) : 0;
  return free_places (a, is_lookup (c)) > kept;
}

/* Estimates of waiting.  */

/* Requests of class C that would start before one more of organisation O,
   by turns.  */
static double
ahead_in_class (const struct admit *a, enum fairq_class c,
                fairq_organisation o)
{
  double total = fairq_class_waiting (a->queue, c);
  double mine = fairq_waiting_in (a->queue, o, c);
  double others = fairq_class_organisations (a->queue, c);
  if (mine > 0)
    others--;
  return fmin (total, mine + others * (mine + 1));
}

/* Places that class C has to itself in the long run.  */
static double
places_for (const struct admit *a, enum fairq_class c)
{
  if (kind_of (c) == ADMIT_PAYING)
    return is_lookup (c) ? all_places (a) : caller_places (a);
  double left = caller_places (a) - a->paying_load;
  double share = fmin (trial_share (a), left - share_reserve (a));
  if (!a->config.trial_lending)
    return fmax (share, 0);
  double lent = left - fmax (margin (a), a->config.reserve_min);
  /* The chance that no paying work is there, with arrivals by chance.  */
  return fmax (fmax (lent, share), exp (-a->paying_load));
}

/* Nanoseconds until one more request of class C and organisation O would
   start with PLACES places.  */
static double
wait_ns (const struct admit *a, enum fairq_class c, fairq_organisation o,
         double places)
{
  double ahead = ahead_in_class (a, c, o);
  for (int higher = 0; higher < (int)c; higher++)
    ahead += fairq_class_waiting (a->queue, (enum fairq_class)higher);
  if (places <= 0)
    return INFINITY;
  return (ahead + 1) * (double)estimate_mean_ns (&a->service) / places;
}

static uint32_t
retry_after_ms (const struct admit *a, enum admit_kind kind)
{
  double places
      = places_for (a, kind == ADMIT_PAYING ? FAIRQ_PAYING : FAIRQ_TRIAL);
  double ahead = waiting (a, ADMIT_PAYING) + 1.0;
  if (kind == ADMIT_TRIAL)
    ahead += waiting (a, ADMIT_TRIAL);
  double service_ms
      = (double)estimate_mean_ns (&a->service) / (double)NS_PER_MS;
  double ms = ahead * service_ms / fmax (places, 0.1);
  return (uint32_t)fmin (fmax (ceil (ms), 1), RETRY_AFTER_MAX_MS);
}

/* Decisions.  */

static struct admit_decision
nothing (void)
{
  return (struct admit_decision){ .verdict = ADMIT_NOTHING };
}

static struct admit_decision
refuse (struct admit *a, enum admit_kind kind, uint64_t user,
        enum reason reason)
{
  a->refused[kind]++;
  return (struct admit_decision){
    .verdict = ADMIT_REFUSED,
    .user_data = user,
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

/* Whether a request with DEADLINE_NS that starts at NOW_NS is hopeless, given
   that it takes SERVICE_NS.  With nothing in flight one is always tried: no
   estimate, however wrong, stops the seeing of new service times.  */
static bool
is_too_late (const struct admit *a, int64_t deadline_ns, int64_t service_ns,
             int64_t now_ns)
{
  if (deadline_ns <= now_ns)
    return true;
  return admit_in_flight (a) > 0 && now_ns + service_ns > deadline_ns;
}

/* A new request is refused only when it is nearly sure to be late.  One that
   waited stands in an overload, where another that is likely to be answered
   in time makes better use of the place.  */
static int64_t
least_service_ns (const struct admit *a)
{
  return estimate_mean_ns (&a->service) / 2;
}

/* Why one more request may not wait, or REASON_NONE.  A request waits only
   if it would be answered in time although it took long.  */
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
      if (wait_ns (a, c, o, cap) > left_ns)
        return REASON_ORGANISATION_LIMIT;
    }
  if (wait_ns (a, c, o, places_for (a, c)) <= left_ns)
    return REASON_NONE;
  if (kind_of (c) == ADMIT_TRIAL
      && wait_ns (a, c, o, caller_places (a)) <= left_ns)
    return REASON_TRIAL_SHARE;
  return REASON_DEADLINE;
}

static void
evict (struct admit *a, fairq_ticket t, enum reason reason)
{
  const struct fairq_entry *entry = fairq_get (a->queue, t);
  a->refusals[a->refusal_count++] = (struct refusal){
    .user = entry->user_data, .reason = reason, .kind = kind_of (entry->class)
  };
  fairq_remove (a->queue, t);
}

/* Room in a full queue for a request of class C and organisation O: the
   newest request of whoever waits with most in the last class makes place, if
   it has more waiting than O.  */
static bool
make_room (struct admit *a, enum fairq_class c, fairq_organisation o)
{
  if (waiting_all (a) < a->config.queue_max)
    return true;
  if (a->refusal_count == REFUSALS_MAX)
    return false;
  for (int last = FAIRQ_TRIAL; last >= (int)c; last--)
    {
      uint32_t count = 0;
      fairq_ticket victim
          = fairq_longest (a->queue, (enum fairq_class)last, &count);
      if (victim == FAIRQ_NONE)
        continue;
      bool same = last == (int)c;
      if (same && count <= fairq_waiting_in (a->queue, o, c) + 1)
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
  if (request->depth > DEPTH_MAX)
    return REASON_LOOKUP_DEPTH;
  if (is_too_late (a, request->deadline_ns, least_service_ns (a), now_ns))
    return REASON_DEADLINE;
  return REASON_NONE;
}

static bool
may_start (struct admit *a, enum fairq_class c, fairq_organisation o)
{
  return has_place (a, c) && fairq_below_limit (a->queue, o)
         && fairq_pick (a->queue, c) == FAIRQ_NONE;
}

struct admit_decision
admit_offer (struct admit *a, const struct admit_request *request,
             int64_t now_ns)
{
  enum fairq_class c = class_of (request);
  update_load (a, now_ns);
  enum reason reason = check_state (a, request, now_ns);
  if (reason != REASON_NONE)
    return refuse_request (a, request, reason);
  fairq_organisation o
      = fairq_find_or_add (a->queue, request->organisation, kind_of (c));
  fairq_set_policy (a->queue, o, request->policy.weight,
                    request->policy.in_flight_max);
  bool at_once = may_start (a, c, o);
  if (!at_once)
    reason = check_wait (a, request, o, now_ns);
  if (reason == REASON_NONE && !at_once && !make_room (a, c, o))
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
  if (at_once)
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
  update_load (a, now_ns);
  if (a->refusal_count > 0)
    {
      struct refusal *r = &a->refusals[--a->refusal_count];
      return refuse (a, r->kind, r->user, r->reason);
    }
  fairq_ticket earliest = fairq_earliest (a->queue);
  if (earliest == FAIRQ_NONE)
    return nothing ();
  if (a->state == ADMIT_DOWN)
    return refuse_waiting (a, earliest, REASON_TARGET_DOWN);
  if (is_too_late (a, fairq_get (a->queue, earliest)->deadline_ns,
                   estimate_upper_1dev_ns (&a->service), now_ns))
    return refuse_waiting (a, earliest, REASON_DEADLINE);
  for (int c = 0; c < FAIRQ_CLASSES; c++)
    {
      enum fairq_class class = (enum fairq_class)c;
      if (!has_place (a, class))
        continue;
      fairq_ticket t = fairq_pick (a->queue, class);
      if (t != FAIRQ_NONE)
        return start (a, t);
    }
  return nothing ();
}

int64_t
admit_wake_ns (const struct admit *a)
{
  fairq_ticket earliest = fairq_earliest (a->queue);
  if (earliest == FAIRQ_NONE)
    return INT64_MAX;
  int64_t spare_ns = 0;
  if (admit_in_flight (a) > 0)
    spare_ns = estimate_upper_1dev_ns (&a->service);
  return fairq_get (a->queue, earliest)->deadline_ns - spare_ns + 1;
}

/* What an outcome tells of the service time: a refused connection tells
   nothing, a timeout that it is at least that long.  */
static void
observe (struct admit *a, enum admit_kind kind, enum admit_outcome outcome,
         int64_t latency_ns)
{
  bool whole = outcome == ADMIT_ANSWERED;
  bool longer = outcome == ADMIT_TIMED_OUT
                && latency_ns > estimate_mean_ns (&a->service);
  if (!whole && !longer)
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
  update_load (a, now_ns);
  fairq_remove (a->queue, ticket);
  observe (a, kind, outcome, latency_ns);
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
  a->config.trial_share_pct = min_u32 (share_pct, PCT);
  a->config.trial_lending = lending;
}

void
admit_read_stats (const struct admit *a, struct admit_stats *stats)
{
  *stats = (struct admit_stats){
    .limit = a->limit,
    .reserve = reserve (a),
    .service_ns = estimate_mean_ns (&a->service),
  };
  for (int kind = ADMIT_PAYING; kind <= ADMIT_TRIAL; kind++)
    {
      stats->in_flight[kind] = running (a, (enum admit_kind)kind);
      stats->queued[kind] = waiting (a, (enum admit_kind)kind);
      stats->started[kind] = a->started[kind];
      stats->refused[kind] = a->refused[kind];
    }
}
