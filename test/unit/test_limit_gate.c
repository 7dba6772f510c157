/* Tests of the gate: the script test/limit/gate.txt, and random runs in which
   each request must end exactly once.

   > gate slots=N, > offer AT_MS NAME DEADLINE_MS, > next AT_MS,
   > done AT_MS NAME OUTCOME LATENCY_MS, > drain, > stats, > wake  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "lib/script.h"
#include "limit/gate.h"

enum
{
  REQUESTS_MAX = 64,
  NAME_BYTES = 16,
  RANDOM_RUNS = 20,
  RANDOM_STEPS = 20000,
  RANDOM_SLOTS = 5,
  RANDOM_QUEUE = 24
};

static const char *const outcome_words[]
    = { "answered", "shed", "timed-out", "failed", "cancelled" };

struct context
{
  struct gate *gate;
  char names[REQUESTS_MAX][NAME_BYTES];
  admit_ticket tickets[REQUESTS_MAX];
  uint32_t count;
};

static int64_t
ms (const char *word)
{
  return (int64_t)(strtod (word, NULL) * (double)NS_PER_MS);
}

static void
print_decision (struct context *x, const struct admit_decision *d, FILE *out)
{
  const char *name = x->names[d->user_data];
  x->tickets[d->user_data] = d->ticket;
  if (d->verdict == ADMIT_START)
    fprintf (out, "%s start\n", name);
  if (d->verdict == ADMIT_QUEUED)
    fprintf (out, "%s queued\n", name);
  if (d->verdict == ADMIT_REFUSED)
    fprintf (out, "%s refused %s\n", name, reason_word (d->reason));
}

static void
run_gate (struct context *x, int count, char **words)
{
  struct gate_config c;
  gate_config_defaults (&c,
                        (uint32_t)script_number (count, words, "slots", 4));
  c.admit.lookup_reserve = 0;
  gate_free (x->gate);
  x->gate = gate_new (&c, 0);
  x->count = 0;
}

static void
run_offer (struct context *x, char **words, FILE *out)
{
  struct admit_request r = {
    .organisation = "acme",
    .policy = { .kind = ADMIT_PAYING, .weight = 1 },
    .deadline_ns = ms (words[3]),
    .user_data = x->count++,
  };
  assert_true (x->count < REQUESTS_MAX);
  snprintf (x->names[r.user_data], NAME_BYTES, "%s", words[2]);
  struct admit_decision d = gate_offer (x->gate, &r, ms (words[1]));
  print_decision (x, &d, out);
}

static void
run_next (struct context *x, char **words, FILE *out)
{
  for (;;)
    {
      struct admit_decision d = gate_next (x->gate, ms (words[1]));
      if (d.verdict == ADMIT_NOTHING)
        return;
      print_decision (x, &d, out);
    }
}

/* Ends the newest request with the name.  */
static void
run_done (struct context *x, char **words, FILE *out)
{
  uint32_t i = x->count;
  int outcome = 0;
  while (i > 0 && strcmp (x->names[i - 1], words[2]) != 0)
    i--;
  while (strcmp (outcome_words[outcome], words[3]) != 0)
    outcome++;
  if (i == 0
      || !gate_done (x->gate, x->tickets[i - 1], (enum admit_outcome)outcome,
                     ms (words[4]), ms (words[1])))
    fprintf (out, "not in flight\n");
}

static void
run_stats (const struct context *x, FILE *out)
{
  struct gate_stats s;
  gate_read_stats (x->gate, &s);
  fprintf (out, "limit %u in flight %u queued %u %s\n", s.admit.limit,
           s.admit.in_flight[0], s.admit.queued[0],
           health_state_name (s.health));
}

static void
run_line (void *context, int count, char **words, FILE *out)
{
  struct context *x = context;
  if (strcmp (words[0], "gate") == 0)
    run_gate (x, count, words);
  else if (strcmp (words[0], "offer") == 0 && count > 3)
    run_offer (x, words, out);
  else if (strcmp (words[0], "next") == 0 && count > 1)
    run_next (x, words, out);
  else if (strcmp (words[0], "done") == 0 && count > 4)
    run_done (x, words, out);
  else if (strcmp (words[0], "drain") == 0)
    gate_drain (x->gate);
  else if (strcmp (words[0], "stats") == 0)
    run_stats (x, out);
  else if (strcmp (words[0], "wake") == 0)
    fprintf (out, "%" PRId64 " ms\n", gate_wake_ns (x->gate) / NS_PER_MS);
  else
    fprintf (out, "bad input\n");
}

static void
script (void **state)
{
  struct context *x = calloc (1, sizeof *x);
  (void)state;
  assert_non_null (x);
  assert_int_equal (script_run ("test/limit/gate.txt", run_line, x), 0);
  gate_free (x->gate);
  free (x);
}

/* Random runs.  */

enum request_state
{
  REQUEST_NONE,
  REQUEST_WAITING,
  REQUEST_STARTED,
  REQUEST_ENDED
};

struct random_run
{
  struct gate *gate;
  enum request_state states[RANDOM_STEPS];
  admit_ticket tickets[RANDOM_STEPS];
  uint32_t count;
  uint32_t started;
  uint32_t waiting;
  uint64_t random_state;
};

static uint32_t
random_below (struct random_run *r, uint32_t below)
{
  r->random_state
      = r->random_state * UINT64_C (6364136223846793005) + 1442695040888963407;
  return (uint32_t)(r->random_state >> 33) % below;
}

static void
check_decision (struct random_run *r, const struct admit_decision *d,
                enum request_state expected)
{
  if (d->verdict == ADMIT_NOTHING)
    return;
  assert_int_equal (r->states[d->user_data], expected);
  if (expected == REQUEST_WAITING)
    r->waiting--;
  r->tickets[d->user_data] = d->ticket;
  switch (d->verdict)
    {
    case ADMIT_START:
      r->states[d->user_data] = REQUEST_STARTED;
      r->started++;
      break;
    case ADMIT_QUEUED:
      r->states[d->user_data] = REQUEST_WAITING;
      r->waiting++;
      break;
    default:
      assert_true (d->reason != REASON_NONE);
      r->states[d->user_data] = REQUEST_ENDED;
      break;
    }
}

static void
offer_random_request (struct random_run *r, int64_t now_ns)
{
  static const char *const names[] = { "a", "b", "c", "d", "e", "f" };
  uint32_t trial = random_below (r, 2);
  struct admit_request q = {
    .organisation = names[random_below (r, 6)],
    .policy = { .kind = trial ? ADMIT_TRIAL : ADMIT_PAYING,
                .weight = random_below (r, 3),
                .in_flight_max = random_below (r, 4) },
    .depth = random_below (r, 8) == 0,
    .deadline_ns = now_ns + (int64_t)random_below (r, 400) * NS_PER_MS,
    .user_data = r->count++,
  };
  struct admit_decision d = gate_offer (r->gate, &q, now_ns);
  check_decision (r, &d, REQUEST_NONE);
}

static uint32_t
pick_request (struct random_run *r, enum request_state state)
{
  if (r->count == 0)
    return 0;
  uint32_t from = random_below (r, r->count);
  for (uint32_t i = 0; i < r->count; i++)
    if (r->states[(from + i) % r->count] == state)
      return (from + i) % r->count;
  return r->count;
}

static void
end_random_request (struct random_run *r, int64_t now_ns)
{
  uint32_t i = pick_request (r, REQUEST_STARTED);
  if (i == r->count)
    return;
  enum admit_outcome outcome = ADMIT_ANSWERED;
  if (random_below (r, 4) == 0)
    outcome = (enum admit_outcome)random_below (r, ADMIT_CANCELLED + 1);
  int64_t latency_ns = (int64_t)random_below (r, 60) * NS_PER_MS;
  assert_true (
      gate_done (r->gate, r->tickets[i], outcome, latency_ns, now_ns));
  assert_false (
      gate_done (r->gate, r->tickets[i], outcome, latency_ns, now_ns));
  r->states[i] = REQUEST_ENDED;
  r->started--;
}

static void
cancel_random_request (struct random_run *r)
{
  uint32_t i = pick_request (r, REQUEST_WAITING);
  if (i == r->count)
    return;
  assert_true (gate_cancel (r->gate, r->tickets[i]));
  assert_false (gate_cancel (r->gate, r->tickets[i]));
  r->states[i] = REQUEST_ENDED;
  r->waiting--;
}

static void
run_decisions (struct random_run *r, int64_t now_ns)
{
  struct admit_decision d;
  do
    {
      d = gate_next (r->gate, now_ns);
      check_decision (r, &d, REQUEST_WAITING);
    }
  while (d.verdict != ADMIT_NOTHING);
  struct gate_stats s;
  gate_read_stats (r->gate, &s);
  assert_int_equal (s.admit.in_flight[0] + s.admit.in_flight[1], r->started);
  assert_int_equal (s.admit.queued[0] + s.admit.queued[1], r->waiting);
  assert_in_range (r->started, 0, RANDOM_SLOTS);
  assert_in_range (r->waiting, 0, RANDOM_QUEUE);
}

static void
run_random (struct random_run *r, uint64_t seed)
{
  struct gate_config c;
  int64_t now_ns = 0;
  memset (r, 0, sizeof *r);
  r->random_state = seed;
  gate_config_defaults (&c, RANDOM_SLOTS);
  c.admit.queue_max = RANDOM_QUEUE;
  c.admit.organisations_max = 3;
  r->gate = gate_new (&c, 0);
  for (int i = 0; i < RANDOM_STEPS; i++)
    {
      now_ns += (int64_t)random_below (r, 8) * NS_PER_MS;
      uint32_t action = random_below (r, 10);
      if (action < 5)
        offer_random_request (r, now_ns);
      else if (action < 9)
        end_random_request (r, now_ns);
      else
        cancel_random_request (r);
      run_decisions (r, now_ns);
    }
  /* After all deadlines no request is queued.  */
  now_ns += NS_PER_S;
  while (r->started > 0)
    end_random_request (r, now_ns);
  run_decisions (r, now_ns);
  assert_int_equal (r->waiting, 0);
  gate_free (r->gate);
}

static void
every_request_ends_once (void **state)
{
  struct random_run *r = calloc (1, sizeof *r);
  (void)state;
  assert_non_null (r);
  for (uint64_t seed = 1; seed <= RANDOM_RUNS; seed++)
    run_random (r, seed);
  free (r);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (script),
    cmocka_unit_test (every_request_ends_once),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
