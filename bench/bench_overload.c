/* Measures admission control, concurrency limits and target health checks
   under overload, in simulated time.  Each policy runs beside a baseline.  */

#include "base/clock.h"
#include "lib/emulation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SLOTS = 12,
  SERVICE_MS = 20,
  CAPACITY = SLOTS * 1000 / SERVICE_MS, /* requests a second */
  DEADLINE_MS = 2000,
  ORGANISATIONS = 8,
  RUN_S = 120,
  WARM_UP_S = 5
};

static uint64_t seed = 1;

/* A stream has recovered when every later second answers at least this share
   of its arrivals.  */
#define RECOVERED_SHARE 0.95

static void
print_figure (const char *name, double value, const char *unit)
{
  printf ("figure %s %.3f %s\n", name, value, unit);
}

static void
print_figure_of (const char *format, const char *variant, double value,
                 const char *unit)
{
  char name[128];
  snprintf (name, sizeof name, format, variant);
  print_figure (name, value, unit);
}

static struct emulation_stream
make_stream (enum admit_kind kind, double rate)
{
  return (struct emulation_stream){
    .kind = kind,
    .organisation_prefix = kind == ADMIT_PAYING ? "paying" : "trial",
    .organisation_count = ORGANISATIONS,
    .rate = rate,
    .deadline_ns = DEADLINE_MS * NS_PER_MS,
    .mean_service_ns = SERVICE_MS * NS_PER_MS,
    .distribution = EMULATION_EXPONENTIAL,
  };
}

static struct emulation_config
make_config (enum emulation_admission front, uint32_t slots)
{
  struct emulation_config c = {
    .admission = front,
    .target = { .slots = slots, .knee = slots, .speed = 1 },
    .warmup_ns = WARM_UP_S * NS_PER_S,
    .end_ns = RUN_S * NS_PER_S,
    .seed = seed,
  };
  gate_config_defaults (&c.gate, slots);
  c.gate.admit.lookup_reserve = 0;
  return c;
}

/* Paying organisations and trials at one target.  */

/* Slots reserved for paying organisations.  */
enum slot_reserve
{
  RESERVE_NONE,
  RESERVE_ONE,
  RESERVE_DEFAULT
};

struct trial_run
{
  const char *name;
  enum emulation_admission front;
  enum emulation_distribution shape;
  enum slot_reserve reserve;
  uint32_t paying_pct;
  uint32_t slots;
  enum emulation_distribution trial_shape;
  uint32_t trial_service_ms;
};

static void
run_trials (const struct trial_run *run, double load_factor, double *p99_ms)
{
  struct emulation_config c = make_config (run->front, run->slots);
  static struct emulation_result r;
  char name[96];
  double capacity = run->slots * 1000.0 / SERVICE_MS;
  if (run->reserve != RESERVE_DEFAULT)
    {
      c.gate.admit.reserve_min = run->reserve == RESERVE_ONE ? 1 : 0;
      c.gate.admit.reserve_pct = 0;
    }
  c.streams[0]
      = make_stream (ADMIT_PAYING, capacity * run->paying_pct / 100.0);
  c.streams[1] = make_stream (ADMIT_TRIAL, capacity * load_factor * SERVICE_MS
                                               / run->trial_service_ms);
  c.streams[0].distribution = run->shape;
  c.streams[1].distribution = run->trial_shape;
  c.streams[1].mean_service_ns = run->trial_service_ms * NS_PER_MS;
  c.stream_count = 2;
  emulation_run (&c, &r);
  const struct emulation_counts *paying = &r.streams[0];
  double seconds = RUN_S - WARM_UP_S;
  *p99_ms = paying->p99_ms;
  snprintf (name, sizeof name, "%s_trials_x%.0f", run->name, load_factor);
  print_figure_of ("%s_paying_p99", name, paying->p99_ms, "ms");
  print_figure_of ("%s_paying_goodput", name,
                   100.0 * (double)paying->answered / (double)paying->offered,
                   "percent");
  print_figure_of ("%s_trial_goodput", name,
                   (double)r.streams[1].answered / seconds, "per_second");
}

static void
compare_trials (const struct trial_run *run)
{
  static const double load_factors[] = { 0, 1, 3, 10 };
  double unloaded_p99_ms = 0;
  double p99_ms = 0;
  for (size_t i = 0; i < sizeof load_factors / sizeof load_factors[0]; i++)
    {
      run_trials (run, load_factors[i], &p99_ms);
      if (i == 0)
        unloaded_p99_ms = p99_ms;
    }
  print_figure_of ("%s_paying_p99_x10_over_x0", run->name,
                   p99_ms / unloaded_p99_ms, "ratio");
}

static void
bench_trials (void)
{
  static const struct trial_run runs[] = {
    { "fifo", EMULATION_FIFO, EMULATION_EXPONENTIAL, RESERVE_NONE, 60, 12,
      EMULATION_EXPONENTIAL, 20 },
    { "fifo_expires", EMULATION_FIFO_DEADLINE, EMULATION_EXPONENTIAL,
      RESERVE_NONE, 60, 12, EMULATION_EXPONENTIAL, 20 },
    { "priority", EMULATION_GATE, EMULATION_EXPONENTIAL, RESERVE_NONE, 60, 12,
      EMULATION_EXPONENTIAL, 20 },
    { "fixed_reserve", EMULATION_GATE, EMULATION_EXPONENTIAL, RESERVE_ONE, 60,
      12, EMULATION_EXPONENTIAL, 20 },
    { "admit", EMULATION_GATE, EMULATION_EXPONENTIAL, RESERVE_DEFAULT, 60, 12,
      EMULATION_EXPONENTIAL, 20 },
    { "priority_lognormal", EMULATION_GATE, EMULATION_LOGNORMAL, RESERVE_NONE,
      60, 12, EMULATION_LOGNORMAL, 20 },
    { "admit_lognormal", EMULATION_GATE, EMULATION_LOGNORMAL, RESERVE_DEFAULT,
      60, 12, EMULATION_LOGNORMAL, 20 },
    { "priority_constant", EMULATION_GATE, EMULATION_CONSTANT, RESERVE_NONE,
      60, 12, EMULATION_CONSTANT, 20 },
    { "admit_constant", EMULATION_GATE, EMULATION_CONSTANT, RESERVE_DEFAULT,
      60, 12, EMULATION_CONSTANT, 20 },
    { "admit_30", EMULATION_GATE, EMULATION_EXPONENTIAL, RESERVE_DEFAULT, 30,
      12, EMULATION_EXPONENTIAL, 20 },
    { "admit_30_constant", EMULATION_GATE, EMULATION_CONSTANT, RESERVE_DEFAULT,
      30, 12, EMULATION_CONSTANT, 20 },
    { "admit_80_constant", EMULATION_GATE, EMULATION_CONSTANT, RESERVE_DEFAULT,
      80, 12, EMULATION_CONSTANT, 20 },
    { "priority_80", EMULATION_GATE, EMULATION_EXPONENTIAL, RESERVE_NONE, 80,
      12, EMULATION_EXPONENTIAL, 20 },
    { "admit_80", EMULATION_GATE, EMULATION_EXPONENTIAL, RESERVE_DEFAULT, 80,
      12, EMULATION_EXPONENTIAL, 20 },
    { "priority_9_slots", EMULATION_GATE, EMULATION_EXPONENTIAL, RESERVE_NONE,
      60, 9, EMULATION_EXPONENTIAL, 20 },
    { "admit_9_slots", EMULATION_GATE, EMULATION_EXPONENTIAL, RESERVE_DEFAULT,
      60, 9, EMULATION_EXPONENTIAL, 20 },
    { "priority_mixed", EMULATION_GATE, EMULATION_CONSTANT, RESERVE_NONE, 60,
      12, EMULATION_EXPONENTIAL, 20 },
    { "admit_mixed", EMULATION_GATE, EMULATION_CONSTANT, RESERVE_DEFAULT, 60,
      12, EMULATION_EXPONENTIAL, 20 },
    { "priority_long_trials", EMULATION_GATE, EMULATION_EXPONENTIAL,
      RESERVE_NONE, 60, 12, EMULATION_EXPONENTIAL, 100 },
    { "admit_long_trials", EMULATION_GATE, EMULATION_EXPONENTIAL,
      RESERVE_DEFAULT, 60, 12, EMULATION_EXPONENTIAL, 100 },
    { "priority_long_trials_lognormal", EMULATION_GATE, EMULATION_LOGNORMAL,
      RESERVE_NONE, 60, 12, EMULATION_LOGNORMAL, 100 },
    { "admit_long_trials_lognormal", EMULATION_GATE, EMULATION_LOGNORMAL,
      RESERVE_DEFAULT, 60, 12, EMULATION_LOGNORMAL, 100 },
  };
  for (size_t i = 0; i < sizeof runs / sizeof runs[0]; i++)
    compare_trials (&runs[i]);
}

/* One paying organisation floods the target with three times its capacity.  */

static void
bench_flood (void)
{
  static const char *const names[] = { "fifo", "fifo_expires", "admit" };
  static struct emulation_result r;
  for (int front = EMULATION_FIFO; front <= EMULATION_GATE; front++)
    for (int flood = 0; flood <= 1; flood++)
      {
        struct emulation_config c
            = make_config ((enum emulation_admission)front, SLOTS);
        char name[64];
        c.streams[0] = make_stream (ADMIT_PAYING, CAPACITY * 0.4);
        c.streams[1]
            = make_stream (ADMIT_PAYING, CAPACITY * (flood ? 3 : 0.1));
        c.streams[1].organisation_prefix = "flood";
        c.streams[1].organisation_count = 1;
        c.stream_count = 2;
        emulation_run (&c, &r);
        snprintf (name, sizeof name, "%s_%s", names[front],
                  flood ? "flood" : "no_flood");
        print_figure_of ("%s_others_p99", name, r.streams[0].p99_ms, "ms");
        print_figure_of ("%s_others_goodput", name,
                         100.0 * (double)r.streams[0].answered
                             / (double)r.streams[0].offered,
                         "percent");
      }
}

/* Recovery from ten seconds of load at three times the capacity.  */

enum
{
  BURST_FROM_S = 30,
  BURST_S = 10,
  WINDOWS_PER_S = 4
};

static double
goodput (const struct emulation_counts *c, uint32_t from, uint32_t count)
{
  double answered = 0;
  for (uint32_t i = from; i < from + count; i++)
    answered += c->answered_by_window[i];
  return answered / count * WINDOWS_PER_S;
}

/* Returns the answers divided by the arrivals in the second from window
   FROM.  */
static double
answered_share (const struct emulation_counts *c, uint32_t from)
{
  double answers = 0;
  double arrivals = 0;
  for (uint32_t i = from; i < from + WINDOWS_PER_S; i++)
    {
      answers += c->answered_by_window[i];
      arrivals += c->arrivals_by_window[i];
    }
  return answers / (arrivals > 0 ? arrivals : 1);
}

/* Returns the seconds after AFTER_S until every later second answers
   RECOVERED_SHARE of its arrivals, or the rest of the run if that never
   happens.  */
static double
recovery_s (const struct emulation_result *r, uint32_t after_s)
{
  uint32_t recovered = after_s * WINDOWS_PER_S;
  for (uint32_t w = recovered; w + WINDOWS_PER_S <= r->window_count; w++)
    if (answered_share (&r->streams[0], w) < RECOVERED_SHARE)
      recovered = w + 1;
  return (double)recovered / WINDOWS_PER_S - after_s;
}

static void
bench_recovery (void)
{
  static const char *const names[] = { "fifo", "fifo_expires", "admit" };
  static struct emulation_result r;
  for (int front = EMULATION_FIFO; front <= EMULATION_GATE; front++)
    {
      struct emulation_config c
          = make_config ((enum emulation_admission)front, SLOTS);
      struct emulation_stream *s = &c.streams[0];
      *s = make_stream (ADMIT_PAYING, CAPACITY * 0.7);
      s->burst_rate = CAPACITY * 3;
      s->burst_from_ns = BURST_FROM_S * NS_PER_S;
      s->burst_to_ns = (BURST_FROM_S + BURST_S) * NS_PER_S;
      s->deadline_ns = 500 * NS_PER_MS;
      s->retries = 2;
      c.stream_count = 1;
      emulation_run (&c, &r);
      double before
          = goodput (&r.streams[0], 20 * WINDOWS_PER_S, 10 * WINDOWS_PER_S);
      double during
          = goodput (&r.streams[0], (BURST_FROM_S + 2) * WINDOWS_PER_S,
                     (BURST_S - 2) * WINDOWS_PER_S);
      print_figure_of ("%s_goodput_before", names[front], before,
                       "per_second");
      print_figure_of ("%s_goodput_in_overload", names[front], during,
                       "per_second");
      print_figure_of ("%s_unknown", names[front],
                       (double)r.streams[0].unknown, "requests");
      print_figure_of ("%s_expired_waiting", names[front],
                       (double)r.streams[0].expired, "requests");
      print_figure_of ("%s_recovery", names[front],
                       recovery_s (&r, BURST_FROM_S + BURST_S), "seconds");
    }
}

/* Concurrency limits.  */

static const char *const policy_names[] = { "fixed", "aimd", "gradient" };

/* For a minute, contention takes most of the target's concurrency.  */
static void
bench_contention (void)
{
  static struct emulation_result r;
  const struct emulation_target contended
      = { .slots = SLOTS, .knee = 4, .contention = 0.3, .speed = 1 };
  const struct emulation_target healthy
      = { .slots = SLOTS, .knee = SLOTS, .speed = 1 };
  const struct emulation_change changes[]
      = { { 30 * NS_PER_S, contended, false },
          { 90 * NS_PER_S, healthy, false } };
  for (int policy = CONCUR_FIXED; policy <= CONCUR_GRADIENT; policy++)
    {
      struct emulation_config c = make_config (EMULATION_GATE, SLOTS);
      c.gate.concur.policy = (enum concur_policy)policy;
      c.changes = changes;
      c.change_count = 2;
      c.streams[0] = make_stream (ADMIT_PAYING, CAPACITY * 0.5);
      c.streams[0].deadline_ns = 500 * NS_PER_MS;
      c.stream_count = 1;
      emulation_run (&c, &r);
      const char *name = policy_names[policy];
      print_figure_of (
          "contention_%s_goodput", name,
          goodput (&r.streams[0], 32 * WINDOWS_PER_S, 58 * WINDOWS_PER_S),
          "per_second");
      print_figure_of (
          "contention_%s_after", name,
          goodput (&r.streams[0], 95 * WINDOWS_PER_S, 25 * WINDOWS_PER_S),
          "per_second");
      print_figure_of ("contention_%s_unknown", name,
                       (double)r.streams[0].unknown, "requests");
    }
}

/* The cost of a concurrency limit at a healthy target.  */
static void
bench_steady (void)
{
  static struct emulation_result r;
  for (int policy = CONCUR_FIXED; policy <= CONCUR_GRADIENT; policy++)
    {
      struct emulation_config c = make_config (EMULATION_GATE, SLOTS);
      c.gate.concur.policy = (enum concur_policy)policy;
      c.warmup_ns = 20 * NS_PER_S;
      c.streams[0] = make_stream (ADMIT_PAYING, CAPACITY * 0.9);
      c.stream_count = 1;
      emulation_run (&c, &r);
      print_figure_of ("steady_%s_p99", policy_names[policy],
                       r.streams[0].p99_ms, "ms");
      print_figure_of ("steady_%s_goodput", policy_names[policy],
                       100.0 * (double)r.streams[0].answered
                           / (double)r.streams[0].offered,
                       "percent");
    }
}

/* A target that restarts cold: until it has warmed up, each request in flight
   slows the others down.  */
static void
bench_cold (void)
{
  static struct emulation_result r;
  struct emulation_change changes[12];
  for (int i = 0; i < 12; i++)
    changes[i] = (struct emulation_change){
      .at_ns = 30 * NS_PER_S + (int64_t)i * 250 * NS_PER_MS,
      .target = { .slots = SLOTS,
                  .knee = 2 + i * 10.0 / 11,
                  .contention = 0.3,
                  .speed = 1 },
      .restart = i == 0,
    };
  for (int ramp = 0; ramp <= 1; ramp++)
    {
      struct emulation_config c = make_config (EMULATION_GATE, SLOTS);
      if (ramp == 0)
        c.gate.concur.ramp_initial_limit = 0;
      c.changes = changes;
      c.change_count = 12;
      c.streams[0] = make_stream (ADMIT_PAYING, CAPACITY * 0.7);
      c.streams[0].deadline_ns = 300 * NS_PER_MS;
      c.stream_count = 1;
      emulation_run (&c, &r);
      const char *name = ramp ? "ramp" : "no_ramp";
      print_figure_of (
          "cold_%s_goodput_3s", name,
          goodput (&r.streams[0], 30 * WINDOWS_PER_S, 3 * WINDOWS_PER_S),
          "per_second");
      print_figure_of ("cold_%s_unknown", name, (double)r.streams[0].unknown,
                       "requests");
    }
}

/* A target that stops responding for twenty seconds.  */

struct frozen_run
{
  const char *name;
  uint32_t isolate_after;
};

static void
bench_frozen (void)
{
  static const struct frozen_run runs[] = {
    { "none", UINT32_MAX },
    { "isolated", 6 },
  };
  static struct emulation_result r;
  const struct emulation_change changes[] = {
    { 30 * NS_PER_S, { SLOTS, SLOTS, 0, 0 }, false },
    { 50 * NS_PER_S, { SLOTS, SLOTS, 0, 1 }, false },
  };
  for (size_t i = 0; i < sizeof runs / sizeof runs[0]; i++)
    {
      struct emulation_config c = make_config (EMULATION_GATE, SLOTS);
      c.gate.health.isolate_after = runs[i].isolate_after;
      c.changes = changes;
      c.change_count = 2;
      c.streams[0] = make_stream (ADMIT_PAYING, CAPACITY * 0.7);
      c.streams[0].deadline_ns = 500 * NS_PER_MS;
      c.stream_count = 1;
      emulation_run (&c, &r);
      print_figure_of ("frozen_%s_unknown", runs[i].name,
                       (double)r.streams[0].unknown, "requests");
      print_figure_of ("frozen_%s_expired_waiting", runs[i].name,
                       (double)r.streams[0].expired, "requests");
      print_figure_of ("frozen_%s_recovery", runs[i].name, recovery_s (&r, 50),
                       "seconds");
    }
}

/* Time of one offer, one completion and the starts that follow, with a full
   queue of many organisations.  */
static void
bench_cost (void)
{
  enum
  {
    ROUNDS = 300000,
    NAMES = 256
  };
  static char names[NAMES][16];
  static admit_ticket running[SLOTS + 1];
  uint32_t started = 0;
  struct gate_config config;
  gate_config_defaults (&config, SLOTS);
  config.concur.ramp_initial_limit = 0;
  struct gate *g = gate_new (&config, 0);
  for (int i = 0; i < NAMES; i++)
    snprintf (names[i], sizeof names[i], "org%d", i);
  int64_t from_ns = clock_now_ns ();
  for (int64_t i = 0; i < ROUNDS; i++)
    {
      int64_t now_ns = i * NS_PER_MS;
      struct admit_request r = { .organisation = names[i * 7 % NAMES],
                                 .policy = { .kind = i % 3 != 0 },
                                 .deadline_ns = now_ns + NS_PER_S * 60 };
      struct admit_decision d = gate_offer (g, &r, now_ns);
      if (started == SLOTS - 1)
        gate_done (g, running[--started], ADMIT_ANSWERED, NS_PER_MS, now_ns);
      while (d.verdict != ADMIT_NOTHING)
        {
          if (d.verdict == ADMIT_START)
            running[started++] = d.ticket;
          d = gate_next (g, now_ns);
        }
    }
  print_figure ("admit_request_cost",
                (double)(clock_now_ns () - from_ns) / ROUNDS, "ns");
  gate_free (g);
}

/* Usage: bench_overload [SEED]  */
int
main (int argc, char **argv)
{
  if (argc > 1)
    seed = strtoull (argv[1], NULL, 10);
  bench_trials ();
  bench_flood ();
  bench_recovery ();
  bench_steady ();
  bench_contention ();
  bench_cold ();
  bench_frozen ();
  bench_cost ();
  return EXIT_SUCCESS;
}
