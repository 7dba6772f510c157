/* Tests of cold targets and of the load that targets state, and a property of
   the rate limit of cold targets in simulated time.

   The property guards against a cold target that gets more requests in a
   second than it can take, although the node beside it has been told that it
   is cold: with restarts of target and node, late and lost reports, a target
   that becomes cold again at any moment, and a full queue.  SEEDS in the
   environment sets the number of runs.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "limit/lineup.h"

enum
{
  TICKS = 30000, /* of a millisecond */
  WINDOW = 1000,
  WARMUP = 3000,
  REPORT_INTERVAL = 1000,
  REPORTS = 64, /* on their way at a time */
  JOBS = 2048,
  SEEDS = 100,
  PROBE_TIMEOUT = 1000
};

struct report
{
  int arrives; /* tick; 0: unused */
  int sent;
  int sequence;
  int left;
  int process;
};

struct job
{
  bool used;
  int process;
  lineup_id id;
  int ends; /* 0: it waits */
};

struct world
{
  uint64_t random;
  double rate;
  double offered; /* requests a millisecond */
  uint32_t slots;
  int service;
  /* The target.  */
  int process;
  bool keeps_id; /* the node takes it for the earlier process */
  int cold_from;
  int cold_until;
  int down_until; /* it refuses connections */
  int sequence;
  struct report reports[REPORTS];
  /* The node beside it.  */
  struct lineup *lineup;
  int node_down_until;
  int frozen_until;
  int policy_at;     /* when the configuration is known */
  int known_process; /* 0: none */
  int known_sequence;
  bool closed;  /* the target refused a connection */
  int probed;   /* when the pending probe was sent; 0: none */
  int responds; /* when its response arrives */
  int told;     /* when it learned of the cold time; 0: not yet */
  struct job jobs[JOBS];
  unsigned char arrived[TICKS];
  int failed_at;
  int got;
};

static double
uniform (struct world *w)
{
  w->random ^= w->random << 13;
  w->random ^= w->random >> 7;
  w->random ^= w->random << 17;
  return ((double)(w->random >> 12) + 0.5) / 4503599627370496.0;
}

static int
below (struct world *w, int limit)
{
  return (int)(uniform (w) * limit);
}

static int64_t
ns_at (int tick)
{
  return (int64_t)(tick + 2000) * NS_PER_MS;
}

static void
become_cold (struct world *w, int from)
{
  w->cold_from = from;
  w->cold_until = from + WARMUP;
  w->told = 0;
}

/* What the node learned at NOW was said at SAID.  */
static void
learn (struct world *w, enum cold_source source, int left, int said, int now)
{
  cold_learn (lineup_cold (w->lineup), source, ns_at (now + left),
              ns_at (now));
  if (left > 0 && said >= w->cold_from && w->told == 0)
    w->told = now;
}

static void
start_node (struct world *w, int now)
{
  lineup_free (w->lineup);
  w->lineup = lineup_new (w->slots);
  cold_assume_used (lineup_cold (w->lineup), ns_at (now));
  memset (w->jobs, 0, sizeof w->jobs);
  w->known_process = 0;
  w->closed = false;
  w->probed = 0;
  w->told = 0;
  w->policy_at = now + below (w, uniform (w) < 0.5 ? 50 : 1500);
}

/* The rate is not known yet; the same as in mesh/egress.  */
static bool
waits_for_policy (struct world *w, int now)
{
  return w->policy_at > now && lineup_cold (w->lineup)->until_ns > ns_at (now);
}

static void
send_job (struct world *w, struct job *j, int now)
{
  int got = 0;
  if (waits_for_policy (w, now))
    {
      lineup_done (w->lineup, j->id, false, 0);
      j->used = false;
      return;
    }
  j->process = w->process;
  j->ends = now + 1 + (int)(-log (uniform (w)) * w->service);
  if (w->down_until > now) /* refused */
    {
      w->closed = true;
      j->ends = now + 1;
      return;
    }
  w->arrived[now]++;
  if (now >= w->cold_until || w->told == 0 || w->told > now)
    return;
  /* A process that has just started got nothing of what came before.  */
  for (int t = now; t > now - WINDOW && t >= 0; t--)
    got += w->arrived[t];
  if (got > w->rate * 1.25 + 2 && w->failed_at == 0)
    {
      w->failed_at = now;
      w->got = got;
    }
}

static void
drain_queue (struct world *w, int now)
{
  struct lineup_decision d;
  while ((d = lineup_next (w->lineup, ns_at (now))).verdict != LINEUP_NOTHING)
    {
      struct job *j = d.user_data;
      if (d.verdict == LINEUP_START)
        send_job (w, j, now);
      else
        j->used = false;
    }
}

static void
offer (struct world *w, int now)
{
  int i = 0;
  if (w->known_process == 0 || w->closed || waits_for_policy (w, now))
    return;
  while (i < JOBS && w->jobs[i].used)
    i++;
  assert_true (i < JOBS);
  struct job *j = &w->jobs[i];
  struct lineup_request r = {
    .route_hash = 1,
    .priority = (uint32_t)below (w, 3),
    .soft_deadline_ns = ns_at (now + 400),
    .deadline_ns = ns_at (now + 2500),
    .user_data = j,
  };
  struct lineup_decision d = lineup_offer (w->lineup, &r, ns_at (now));
  *j = (struct job){ .used = d.verdict != LINEUP_REFUSE, .id = d.id };
  if (d.verdict == LINEUP_START)
    send_job (w, j, now);
}

static void
send_report (struct world *w, int now)
{
  struct report *r = w->reports;
  if (now % REPORT_INTERVAL != 0 || w->down_until > now)
    return;
  w->sequence++;
  if (uniform (w) < 0.2)
    return;
  while (r->arrives != 0)
    r++;
  int late = uniform (w) < 0.4 ? below (w, 2500) : below (w, 20);
  int left = w->cold_until > now ? w->cold_until - now : 0;
  *r = (struct report){ now + 1 + late, now, w->sequence, left, w->process };
}

static void
probe (struct world *w, int now)
{
  w->probed = now;
  w->responds = now + 1 + below (w, uniform (w) < 0.5 ? 20 : 2000);
  learn (w, COLD_ASSUMED, WARMUP, now, now);
}

/* What the node does with a report is that of mesh/target_state and
   mesh/egress.  */
static void
receive_report (struct world *w, const struct report *r, int now)
{
  if (r->process != w->known_process)
    {
      if (r->process < w->known_process)
        return;
      if (w->known_process != 0)
        cold_reset (lineup_cold (w->lineup));
      w->known_process = r->process;
      w->closed = false;
    }
  else if (r->sequence <= w->known_sequence)
    return;
  w->known_sequence = r->sequence;
  learn (w, COLD_REPORTED, r->left, r->sent, now);
  if (w->closed)
    {
      w->closed = false;
      probe (w, now);
    }
}

static void
receive (struct world *w, int now)
{
  for (struct report *r = w->reports; r < w->reports + REPORTS; r++)
    if (r->arrives != 0 && r->arrives <= now)
      {
        receive_report (w, r, now);
        r->arrives = 0;
      }
  if (w->probed == 0)
    return;
  if (now >= w->probed + PROBE_TIMEOUT)
    {
      w->probed = 0;
      learn (w, COLD_ASSUMED, WARMUP, now, now);
    }
  else if (w->down_until <= now && now >= w->responds)
    {
      w->probed = 0;
      learn (w, COLD_PROBED, w->cold_until > now ? w->cold_until - now : 0,
             now, now);
    }
}

static void
inject_faults (struct world *w, int now)
{
  double x = uniform (w);
  if (now % 500 != 0)
    return;
  if (x < 0.08) /* the target starts again, perhaps under the same id */
    {
      w->down_until = now + 1000 + below (w, 1000);
      w->keeps_id = uniform (w) < 0.5;
      if (!w->keeps_id)
        {
          w->process++;
          w->sequence = 0;
          memset (w->arrived, 0, sizeof w->arrived);
        }
      w->closed = true;
      become_cold (w, w->down_until);
    }
  else if (x < 0.25) /* it is cold again, perhaps after an evacuation */
    {
      become_cold (w, now);
      if (uniform (w) < 0.5 && w->node_down_until <= now
          && w->frozen_until <= now)
        probe (w, now);
    }
  else if (x < 0.31) /* an evacuation ends: a probe is sent */
    {
      if (w->node_down_until <= now && w->frozen_until <= now)
        probe (w, now);
    }
  else if (x < 0.39) /* the node is killed */
    {
      w->node_down_until = now + 20 + below (w, 300);
      start_node (w, w->node_down_until);
    }
  else if (x < 0.43) /* the node is frozen */
    w->frozen_until = now + below (w, 2000);
}

static void
end_jobs (struct world *w, int now)
{
  for (struct job *j = w->jobs; j < w->jobs + JOBS; j++)
    if (j->used && j->ends > 0 && j->ends <= now)
      {
        lineup_done (w->lineup, j->id, true, w->service * NS_PER_MS);
        j->used = false;
      }
}

static void
run_world (struct world *w, uint64_t seed)
{
  memset (w, 0, sizeof *w);
  w->random = seed * UINT64_C (0x9e3779b97f4a7c15) + 1;
  w->rate = 1 + 30 * uniform (w);
  w->offered = 0.3 * uniform (w);
  w->slots = (uint32_t)(1 + below (w, 40));
  w->service = 5 + below (w, 300);
  w->process = 1;
  become_cold (w, 1);
  start_node (w, 1);
  for (int now = 1; now < TICKS && w->failed_at == 0; now++)
    {
      inject_faults (w, now);
      send_report (w, now);
      if (w->node_down_until > now || w->frozen_until > now)
        continue;
      if (w->policy_at <= now)
        cold_set_policy (lineup_cold (w->lineup), w->rate, WARMUP * NS_PER_MS,
                         ns_at (now));
      receive (w, now);
      end_jobs (w, now);
      drain_queue (w, now);
      if (uniform (w) < w->offered)
        offer (w, now);
    }
  lineup_free (w->lineup);
}

static void
cold_target_gets_its_rate (void **state)
{
  const char *text = getenv ("SEEDS");
  uint64_t seeds = text == NULL ? SEEDS : strtoull (text, NULL, 10);
  struct world *w = malloc (sizeof *w);
  (void)state;
  assert_non_null (w);
  for (uint64_t seed = 1; seed <= seeds; seed++)
    {
      run_world (w, seed);
      if (w->failed_at != 0)
        fail_msg ("seed %d: %d requests in the second before %d ms at %.1f a "
                  "second",
                  (int)seed, w->got, w->failed_at, w->rate);
    }
  free (w);
}

/* Guards against a warm target that stays limited, or that gets every queued
   request at once.  */
static void
limit_doubles_and_ends (void **state)
{
  struct cold c;
  (void)state;
  cold_init (&c);
  cold_set_policy (&c, 8, WARMUP * NS_PER_MS, ns_at (0));
  cold_learn (&c, COLD_REPORTED, ns_at (3000), ns_at (0));
  static const struct
  {
    int at;
    double rate;
  } cases[] = { { 2999, 8 },  { 3000, 16 }, { 3499, 16 },
                { 3500, 32 }, { 4000, 64 }, { 4500, INFINITY } };
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      cold_advance (&c, 100, ns_at (cases[i].at));
      assert_true (cold_rate (&c) == cases[i].rate);
    }
}

/* Guards against estimates that ignore a stated pace, count a slowdown twice,
   or believe a pace that the measured times contradict.  */
static void
stated_pace_scales_the_estimates (void **state)
{
  static const struct
  {
    const char *name;
    double pace;         /* stated with each response; 0: not stated */
    int service;         /* measured */
    int responses;       /* before the estimate is read */
    double expected_min; /* of the next request, ms */
    double expected_max;
    enum stated_load_problem problem;
  } steps[] = {
    { "measured", 0, 100, 40, 95, 105, STATED_LOAD_FINE },
    { "slow, measured", 0, 300, 10, 200, 330, STATED_LOAD_FINE },
    { "not counted twice", 300, 300, 1, 200, 340, STATED_LOAD_FINE },
    { "usual", 100, 100, 90, 95, 105, STATED_LOAD_FINE },
    { "slow at once", 300, 300, 5, 270, 330, STATED_LOAD_FINE },
    { "fast at once", 100, 100, 5, 80, 120, STATED_LOAD_FINE },
    { "out of range", 5, 100, 1, 80, 120, STATED_LOAD_OUT_OF_RANGE },
    { "named once", 2000, 100, 20, 90, 120, STATED_LOAD_FINE },
    { "contradicted", 900, 100, 40, 90, 160, STATED_LOAD_CONTRADICTED },
    { "believed again", 100, 100, 60, 90, 120, STATED_LOAD_FINE },
  };
  struct lineup *l = lineup_new (4);
  int now = 0;
  (void)state;
  for (size_t i = 0; i < sizeof steps / sizeof *steps; i++)
    {
      enum stated_load_problem problem = STATED_LOAD_FINE;
      struct lineup_request r = { .route_hash = 1 };
      struct lineup_decision d;
      for (int k = 0; k <= steps[i].responses; k++)
        {
          struct load_figures f = { 1, 0, 4, .has_pace = steps[i].pace > 0,
                                    .pace_pct = steps[i].pace };
          r.soft_deadline_ns = r.deadline_ns = ns_at (now + 20000);
          d = lineup_offer (l, &r, ns_at (now));
          now += steps[i].service;
          lineup_learn_load (l, &f, ns_at (now));
          lineup_done (l, d.id, true, steps[i].service * NS_PER_MS);
          enum stated_load_problem p
              = stated_load_take_problem (lineup_stated_load (l));
          problem = p == STATED_LOAD_FINE ? problem : p;
        }
      d = lineup_offer (l, &r, ns_at (now));
      lineup_done (l, d.id, false, 0);
      double ms = (double)d.expected_latency_ns / (double)NS_PER_MS;
      if (ms < steps[i].expected_min || ms > steps[i].expected_max
          || problem != steps[i].problem)
        fail_msg ("%s: %.0f ms expected, problem %d", steps[i].name, ms,
                  (int)problem);
    }
  lineup_free (l);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (limit_doubles_and_ends),
    cmocka_unit_test (stated_pace_scales_the_estimates),
    cmocka_unit_test (cold_target_gets_its_rate),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
