/* Tests of the queue in front of a target under load: a script of callers that
   come back, and properties that hold under random loads, in simulated
   time.

   Each load is a target with slots, callers that arrive at random, and one
   return of each refused caller within what is left of its time.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "lib/script.h"
#include "limit/lineup.h"
#include "limit/returns.h"

#define START_NS (1000 * NS_PER_S)
#define WARM_UP_NS (3 * NS_PER_S)

static uint64_t
next_random (uint64_t *state)
{
  *state ^= *state << 13;
  *state ^= *state >> 7;
  *state ^= *state << 17;
  return *state;
}

/* Uniform in (0, 1).  */
static double
next_uniform (uint64_t *state)
{
  return ((double)(next_random (state) >> 12) + 0.5) / 4503599627370496.0;
}

static double
next_exponential (uint64_t *state, double mean)
{
  return -log (next_uniform (state)) * mean;
}

/* Lognormal with this MEAN; SPREAD is the deviation of its logarithm.  */
static double
next_service (uint64_t *state, double mean, double spread)
{
  double normal = sqrt (-2 * log (next_uniform (state)))
                  * cos (2 * M_PI * next_uniform (state));
  return mean * exp (normal * spread - spread * spread / 2);
}

/* Callers that come back.  */

#define RETURNS_CAPACITY 300

struct returns_world
{
  struct returns *returns;
  uint64_t random;
};

/* CALLERS with a timeout of TIMEOUT_MS that each repeat REPEATS times, one
   caller after the other in steps of 3 ms, and ask for one of ten contents. */
static void
run_storm (struct returns_world *w, int64_t timeout_ms, long callers,
           long repeats, FILE *out)
{
  int wrong_first = 0;
  int wrong_later = 0;
  for (long i = 0; i < callers; i++)
    {
      int64_t first_ns = START_NS + i * (timeout_ms + 3) * NS_PER_MS;
      int64_t deadline_ns = first_ns + timeout_ms * NS_PER_MS;
      uint64_t content = next_random (&w->random) % 10;
      int64_t now_ns = first_ns;
      for (long k = 0; k <= repeats; k++)
        {
          int64_t found_ns
              = returns_find (w->returns, content, deadline_ns, now_ns);
          wrong_first += k == 0 && found_ns != now_ns;
          wrong_later += k > 0 && found_ns != first_ns;
          returns_record (w->returns, content, first_ns, deadline_ns,
                          now_ns + NS_PER_MS);
          now_ns += (1 + (int64_t)(next_random (&w->random) % 60)) * NS_PER_MS;
        }
    }
  fprintf (out, "%d of %ld retries taken for first attempts\n", wrong_later,
           callers * repeats);
  fprintf (out, "%d of %ld first attempts taken for retries\n", wrong_first,
           callers);
}

static void
returns_command (void *context, int count, char **words, FILE *out)
{
  struct returns_world *w = context;
  uint64_t number = (uint64_t)script_word_number (words[1]);
  int64_t now_ns
      = START_NS + script_number (count, words, "at", 0) * NS_PER_MS;
  int64_t first_ns
      = START_NS + script_number (count, words, "first", 0) * NS_PER_MS;
  int64_t deadline_ns
      = START_NS + script_number (count, words, "deadline", 0) * NS_PER_MS;
  if (strcmp (words[0], "storm") == 0)
    run_storm (w, (int64_t)number, script_number (count, words, "callers", 1),
               script_number (count, words, "repeats", 1), out);
  else if (strcmp (words[0], "find") == 0)
    {
      int64_t found_ns
          = returns_find (w->returns, number, deadline_ns, now_ns);
      if (found_ns == now_ns)
        fprintf (out, "first attempt now\n");
      else
        fprintf (out, "first attempt at %d\n",
                 (int)((found_ns - START_NS) / NS_PER_MS));
    }
  else
    {
      bool flood = strcmp (words[0], "flood") == 0;
      for (uint64_t i = 0; i < (flood ? number : 1); i++)
        returns_record (w->returns, flood ? 1000 + i : number, first_ns,
                        deadline_ns, now_ns);
      fprintf (out, "%u remembered\n", returns_count (w->returns));
    }
}

static void
returns_follow_their_script (void **state)
{
  (void)state;
  struct returns_world w
      = { .returns = returns_new (RETURNS_CAPACITY), .random = 88172645 };
  assert_int_equal (script_run ("test/limit/returns.txt", returns_command, &w),
                    0);
  returns_free (w.returns);
}

/* Loads.  */

enum
{
  SLOTS = 9,
  CALLERS_MAX = 60000,
  LIVE_MAX = 4096,
  /* Jitter of the network, and of the caller's pause, after a refusal.  */
  RETURN_MS = 2
};

enum caller_state
{
  CALLER_AWAY,
  CALLER_RETURNING,
  CALLER_WAITING,
  CALLER_RUNNING
};

struct caller
{
  enum caller_state state;
  uint32_t priority;
  bool is_lookup;
  int64_t latency_ns; /* its target latency */
  int attempts;
  lineup_id id;
  int64_t first_ns; /* time of the first attempt */
  int64_t deadline_ns;
  int64_t offered_ns;
  int64_t started_ns;
  int64_t due_ns; /* when it returns, or its work ends */
  int64_t service_ns;
};

struct load
{
  double demand; /* offered load, as a share of the slots */
  double burst;  /* the same from second 6 to 10; 0: none */
  double service_ms;
  double spread;
  double slowdown; /* factor on service times from second 6 to 10; 0: none */
  double lookups;  /* share of the callers that are lookups */
  double urgent;  /* share of the callers of a priority between lookups and the
                     rest */
  double leavers; /* share of the callers that leave while they wait */
  bool probes;    /* one request of a more urgent route each second */
  int64_t target_latency_ms;
  int64_t deadline_ms;
  /* Of lookups: the same as of other callers if 0.  */
  uint32_t lookup_priority;
  double lookup_service_ms;
  int64_t lookup_latency_ms;
  int64_t lookup_deadline_ms;
};

struct counts
{
  int callers;
  int in_time;
  int late;
  int refused;         /* callers whose last attempt was refused */
  int refused_waiting; /* attempts that were refused after a wait */
  int lookups;
  int lookups_served;
  int urgent;
  int urgent_in_time;
  double busy; /* share of the slots that were used */
};

struct run
{
  struct load load;
  struct lineup *queue;
  struct caller *callers;
  struct caller *live[LIVE_MAX];
  int live_count;
  int caller_count;
  int64_t now_ns;
  uint64_t random;
  struct counts counts;
};

static bool
is_peak (int64_t now_ns)
{
  int64_t second = (now_ns - START_NS) / NS_PER_S;
  return second >= 6 && second < 10;
}

static bool
is_measured (const struct caller *c)
{
  return c->first_ns >= START_NS + WARM_UP_NS;
}

static void
remove_live (struct run *r, const struct caller *c)
{
  for (int i = 0; i < r->live_count; i++)
    if (r->live[i] == c)
      {
        r->live[i] = r->live[--r->live_count];
        return;
      }
}

static int64_t
soft_deadline_ns (const struct caller *c)
{
  return c->first_ns + c->latency_ns;
}

static void
on_refused (struct run *r, struct caller *c, int64_t retry_after_ns)
{
  int64_t left_ns = c->deadline_ns - r->now_ns;
  r->counts.refused_waiting += c->state == CALLER_WAITING && is_measured (c);
  if (c->attempts > 1 || c->is_lookup)
    {
      remove_live (r, c);
      r->counts.refused += is_measured (c) && !c->is_lookup;
      return;
    }
  /* As the router does, and as callers honour it.  */
  retry_after_ns
      += (int64_t)((double)retry_after_ns * next_uniform (&r->random));
  if (retry_after_ns > left_ns / 3)
    retry_after_ns = left_ns / 3;
  c->state = CALLER_RETURNING;
  c->due_ns = r->now_ns + retry_after_ns + RETURN_MS * NS_PER_MS;
}

static void
on_started (struct run *r, struct caller *c)
{
  c->state = CALLER_RUNNING;
  c->started_ns = r->now_ns;
  double factor
      = r->load.slowdown > 0 && is_peak (r->now_ns) ? r->load.slowdown : 1;
  c->due_ns = r->now_ns + (int64_t)((double)c->service_ns * factor);
}

/* No request that may start is left waiting beside a free slot, and no request
   that is late starts before one of its priority that is not.  */
static void
run_queue (struct run *r)
{
  struct lineup_decision d;
  while ((d = lineup_next (r->queue, r->now_ns)).verdict != LINEUP_NOTHING)
    {
      struct caller *c = d.user_data;
      if (d.verdict == LINEUP_START)
        on_started (r, c);
      else
        on_refused (r, c, d.retry_after_ns);
    }
  if (lineup_waiting (r->queue) > 0)
    assert_int_equal (lineup_running (r->queue), SLOTS);
}

static void
offer (struct run *r, struct caller *c)
{
  struct lineup_request q = {
    .route_hash = c->is_lookup ? 1 : 2 + c->priority,
    .priority = c->priority,
    .soft_deadline_ns = soft_deadline_ns (c),
    .deadline_ns = c->deadline_ns,
    .user_data = c,
  };
  c->attempts++;
  c->offered_ns = r->now_ns;
  struct lineup_decision d = lineup_offer (r->queue, &q, r->now_ns);
  c->id = d.id;
  if (d.verdict == LINEUP_START)
    on_started (r, c);
  else if (d.verdict == LINEUP_WAIT)
    c->state = CALLER_WAITING;
  else
    on_refused (r, c, d.retry_after_ns);
  /* Callers that leave while they wait.  */
  if (c->state == CALLER_WAITING
      && next_uniform (&r->random) < r->load.leavers)
    {
      assert_true (lineup_cancel (r->queue, c->id));
      remove_live (r, c);
    }
}

static int64_t
ms_or (int64_t ms, int64_t otherwise_ms)
{
  return (ms > 0 ? ms : otherwise_ms) * NS_PER_MS;
}

static void
add_caller (struct run *r)
{
  assert_true (r->caller_count < CALLERS_MAX && r->live_count < LIVE_MAX);
  const struct load *load = &r->load;
  struct caller *c = &r->callers[r->caller_count++];
  double kind = next_uniform (&r->random);
  bool lookup = kind < load->lookups;
  bool urgent = !lookup && kind < load->lookups + load->urgent;
  double service_ms = lookup && load->lookup_service_ms > 0
                          ? load->lookup_service_ms
                          : load->service_ms;
  *c = (struct caller){
    .priority = lookup   ? load->lookup_priority
                : urgent ? 1
                         : 2,
    .is_lookup = lookup,
    .first_ns = r->now_ns,
    .latency_ns
    = ms_or (lookup ? load->lookup_latency_ms : 0, load->target_latency_ms),
    .deadline_ns
    = r->now_ns
      + ms_or (lookup ? load->lookup_deadline_ms : 0, load->deadline_ms),
    .service_ns = (int64_t)(next_service (&r->random, service_ms, load->spread)
                            * (double)NS_PER_MS),
  };
  r->live[r->live_count++] = c;
  r->counts.callers += is_measured (c) && !lookup;
  r->counts.lookups += is_measured (c) && lookup;
  r->counts.urgent += is_measured (c) && urgent;
  offer (r, c);
}

static void
end_work (struct run *r, struct caller *c)
{
  lineup_done (r->queue, c->id, true, r->now_ns - c->started_ns);
  remove_live (r, c);
  if (!is_measured (c))
    return;
  if (c->is_lookup)
    r->counts.lookups_served += r->now_ns <= c->deadline_ns;
  else if (r->now_ns <= soft_deadline_ns (c))
    {
      r->counts.in_time++;
      r->counts.urgent_in_time += c->priority == 1;
    }
  else if (r->now_ns <= c->deadline_ns)
    r->counts.late++;
}

/* A request of a route that is more urgent than all others and rare, as an
   operator's probe.  It fails at once if it starts.  */
static void
offer_probe (struct run *r)
{
  struct lineup_request q = {
    .route_hash = 100,
    .priority = 0,
    .soft_deadline_ns = r->now_ns + NS_PER_S,
    .deadline_ns = r->now_ns + NS_PER_S,
  };
  struct lineup_decision d = lineup_offer (r->queue, &q, r->now_ns);
  if (d.verdict == LINEUP_START)
    lineup_done (r->queue, d.id, false, 0);
  else if (d.verdict == LINEUP_WAIT)
    lineup_cancel (r->queue, d.id);
}

static struct caller *
next_due (struct run *r, int64_t before_ns)
{
  struct caller *first = NULL;
  for (int i = 0; i < r->live_count; i++)
    {
      struct caller *c = r->live[i];
      if (c->state != CALLER_WAITING && c->due_ns < before_ns)
        {
          first = c;
          before_ns = c->due_ns;
        }
    }
  return first;
}

static struct counts
run_load (const struct load *load, int seconds, uint64_t seed)
{
  struct run r = { .load = *load,
                   .queue = lineup_new (SLOTS),
                   .callers = calloc (CALLERS_MAX, sizeof *r.callers),
                   .now_ns = START_NS,
                   .random = seed * UINT64_C (0x9e3779b97f4a7c15) + 1 };
  assert_non_null (r.callers);
  int64_t end_ns = START_NS + seconds * NS_PER_S;
  int64_t next_ns = START_NS;
  double busy = 0;
  while (r.now_ns < end_ns)
    {
      int64_t wake_ns = lineup_wake_ns (r.queue, r.now_ns);
      int64_t at_ns = wake_ns < next_ns ? wake_ns : next_ns;
      struct caller *due = next_due (&r, at_ns);
      if (due != NULL)
        at_ns = due->due_ns;
      if (at_ns < r.now_ns)
        at_ns = r.now_ns;
      busy += (double)(at_ns - r.now_ns) * lineup_running (r.queue);
      if (load->probes && at_ns / NS_PER_S != r.now_ns / NS_PER_S)
        offer_probe (&r);
      r.now_ns = at_ns;
      if (due != NULL && due->state == CALLER_RUNNING)
        end_work (&r, due);
      else if (due != NULL)
        offer (&r, due);
      else if (at_ns == next_ns)
        {
          add_caller (&r);
          double demand = load->burst > 0 && is_peak (at_ns) ? load->burst
                                                             : load->demand;
          next_ns
              += (int64_t)(next_exponential (&r.random, load->service_ms
                                                            / (SLOTS * demand))
                           * (double)NS_PER_MS);
        }
      run_queue (&r);
    }
  r.counts.busy = busy / (double)(end_ns - START_NS) / SLOTS;
  lineup_free (r.queue);
  free (r.callers);
  return r.counts;
}

static void
print_counts (const char *name, const struct counts *c)
{
  print_message ("%s: %d callers, in time %.3f, late %.3f, refused %.3f, "
                 "refused after a wait %d, busy %.2f\n",
                 name, c->callers, (double)c->in_time / c->callers,
                 (double)c->late / c->callers, (double)c->refused / c->callers,
                 c->refused_waiting, c->busy);
}

/* Sustained overload by callers that come back once: slots go to requests that
   end in time, not to returns that are late whatever happens.  The target is
   the users': late answers are a small part of those in time.  */
static void
overload_is_served_in_time (void **state)
{
  (void)state;
  static const double demands[] = { 1.5, 2, 3 };
  for (size_t i = 0; i < sizeof demands / sizeof demands[0]; i++)
    {
      struct load load = { .demand = demands[i],
                           .service_ms = 85,
                           .spread = 0.3,
                           .target_latency_ms = 200,
                           .deadline_ms = 500 };
      struct counts c = run_load (&load, 30, i + 1);
      print_counts ("overload", &c);
      assert_true (c.busy > 0.97);
      assert_true (c.late * 4 < c.in_time);
      /* What the slots can serve, less a tenth for runs that take longer than
         expected.  */
      assert_true (c.in_time > c.callers / demands[i] * 0.9);
    }
}

/* A burst of four seconds: what is refused returns, and is served late where
   there is room.  */
static void
burst_uses_free_slots_after (void **state)
{
  (void)state;
  struct load load = { .demand = 0.6,
                       .burst = 1.6,
                       .service_ms = 220,
                       .spread = 0.3,
                       .target_latency_ms = 600,
                       .deadline_ms = 2500 };
  struct counts c = run_load (&load, 20, 1);
  print_counts ("burst", &c);
  /* The slots lack 0.6 x 4 of 0.6 x 13 + 1.6 x 4 seconds of work.  */
  assert_true (c.refused * 142 < c.callers * 24);
  assert_true (c.in_time * 100 > c.callers * 80);
}

/* The target turns four times slower for four seconds.  */
static void
slow_target_recovers (void **state)
{
  (void)state;
  struct load load = { .demand = 0.6,
                       .slowdown = 4,
                       .service_ms = 60,
                       .spread = 0.3,
                       .target_latency_ms = 200,
                       .deadline_ms = 1200 };
  struct counts c = run_load (&load, 20, 1);
  print_counts ("slow target", &c);
  assert_true (c.in_time * 100 > c.callers * 70);
}

/* Lookups of requests that run elsewhere are not turned away for new
   requests, however many of these arrive.  */
static void
lookups_pass_new_requests (void **state)
{
  (void)state;
  struct load load = { .demand = 2,
                       .lookups = 0.25,
                       .service_ms = 20,
                       .spread = 0.5,
                       .target_latency_ms = 100,
                       .deadline_ms = 200 };
  struct counts c = run_load (&load, 20, 1);
  print_counts ("lookups", &c);
  assert_true (c.lookups_served * 100 > c.lookups * 97);
}

/* Requests that are more urgent than others, and less than lookups, do not use
   up their deadline in the queue: they end in time while those below them are
   refused.  */
static void
urgent_requests_are_in_time (void **state)
{
  (void)state;
  struct load load = { .demand = 1.5,
                       .lookups = 0.3,
                       .urgent = 0.25,
                       .service_ms = 40,
                       .spread = 0.5,
                       .target_latency_ms = 200,
                       .deadline_ms = 600 };
  struct counts c = run_load (&load, 20, 1);
  print_counts ("urgent", &c);
  print_message ("urgent: %d, in time %.3f\n", c.urgent,
                 (double)c.urgent_in_time / c.urgent);
  /* Lookups and urgent requests together need 0.825 of the slots.  */
  assert_true (c.urgent_in_time * 100 > c.urgent * 90);
  assert_true (c.late * 4 < c.in_time);
}

/* Lookups of the same priority as other requests are told by their shorter
   target latency, also beside rare requests of a more urgent route.  They
   start first, and the others are admitted with the lookups in mind that will
   arrive while they wait: they do not end late.  */
static void
lookups_of_equal_priority (void **state)
{
  (void)state;
  struct load load = { .demand = 4,
                       .lookups = 0.74,
                       .urgent = 0.13,
                       .probes = true,
                       .service_ms = 60,
                       .spread = 0.8,
                       .target_latency_ms = 300,
                       .deadline_ms = 800,
                       .lookup_priority = 1,
                       .lookup_service_ms = 15,
                       .lookup_latency_ms = 60,
                       .lookup_deadline_ms = 200 };
  struct counts c = run_load (&load, 20, 1);
  print_counts ("equal priority", &c);
  print_message ("equal priority: %d urgent, in time %.3f; %d lookups, served "
                 "%.3f\n",
                 c.urgent, (double)c.urgent_in_time / c.urgent, c.lookups,
                 (double)c.lookups_served / c.lookups);
  assert_true (c.lookups_served * 100 > c.lookups * 97);
  assert_true (c.late * 4 < c.in_time);
}

/* Callers that leave while they wait free their places.  */
static void
leavers_block_nobody (void **state)
{
  (void)state;
  struct load load = { .demand = 1.3,
                       .leavers = 0.3,
                       .service_ms = 85,
                       .spread = 0.3,
                       .target_latency_ms = 200,
                       .deadline_ms = 500 };
  struct counts c = run_load (&load, 20, 1);
  print_counts ("leavers", &c);
  assert_true (c.busy > 0.85);
  assert_true (c.late * 4 < c.in_time);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (returns_follow_their_script),
    cmocka_unit_test (overload_is_served_in_time),
    cmocka_unit_test (burst_uses_free_slots_after),
    cmocka_unit_test (slow_target_recovers),
    cmocka_unit_test (lookups_pass_new_requests),
    cmocka_unit_test (urgent_requests_are_in_time),
    cmocka_unit_test (lookups_of_equal_priority),
    cmocka_unit_test (leavers_block_nobody),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
