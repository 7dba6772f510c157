/* Measures the sends per request while a target fails, in simulated time.
   Compares three retry policies: no retries, up to three sends for each
   request, and the retry budget.  */

#include "base/clock.h"
#include "limit/retry.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  RATE = 500, /* requests a second */
  RUN_S = 60,
  ANSWER_MS = 20,
  FAIL_MS = 5,
  DEADLINE_MS = 1000,
  TIMER_WHEEL_MS = 4096, /* longer than a deadline plus an answer */
  REQUESTS_MAX = RATE * (RUN_S + 2)
};

enum resend_policy
{
  RESEND_NONE,
  RESEND_ALWAYS,
  RESEND_BUDGET
};

static const char *const policy_names[] = { "none", "always", "budget" };

struct scenario
{
  const char *name;
  double failure_share;  /* share of the sends, from FROM_S to TO_S */
  bool failures_unknown; /* false: failed sends report that they did not run */
  double redirect_share; /* share of the first sends that are redirected to
                            another owner, in the same period */
  double idempotent_share; /* share of the requests */
  int from_s;
  int to_s;
};

enum event
{
  EVENT_SEND,
  EVENT_SEND_END
};

struct request
{
  int64_t deadline_ms;
  bool idempotent;
  uint32_t sends;
  uint32_t target_sends;
  uint32_t redirects;
  enum retry_outcome outcome; /* of the last send */
  enum event event;
  int32_t next; /* in the same slot of the timer wheel, or -1 */
};

struct run
{
  const struct scenario *s;
  enum resend_policy policy;
  struct retry_budget budget;
  struct request requests[REQUESTS_MAX];
  int32_t request_count;
  int32_t timer_wheel[TIMER_WHEEL_MS];
  uint64_t random;
  uint64_t target_sends;
  uint64_t target_sends_while_failing; /* for requests that arrived then */
  uint64_t requests_while_failing;
  uint64_t answered;
  uint64_t answered_while_failing;
  uint64_t duplicate_sends; /* after a non-idempotent send that may have run */
};

static uint32_t
random_32 (struct run *r)
{
  uint64_t z = r->random += UINT64_C (0x9e3779b97f4a7c15);
  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return (uint32_t)(z >> 32);
}

static bool
chance (struct run *r, double probability)
{
  return random_32 (r) < probability * 4294967295.0;
}

static bool
is_failing (const struct run *r, int64_t ms)
{
  return ms >= r->s->from_s * INT64_C (1000)
         && ms < r->s->to_s * INT64_C (1000);
}

static bool
arrived_while_failing (const struct run *r, const struct request *q)
{
  return is_failing (r, q->deadline_ms - DEADLINE_MS);
}

static void
schedule (struct run *r, int32_t index, enum event event, int64_t at_ms)
{
  int32_t *slot = &r->timer_wheel[at_ms % TIMER_WHEEL_MS];
  r->requests[index].event = event;
  r->requests[index].next = *slot;
  *slot = index;
}

static void
send_request (struct run *r, int32_t index, int64_t now_ms)
{
  struct request *q = &r->requests[index];
  bool failing = is_failing (r, now_ms);
  q->sends++;
  if (q->sends == 1 && failing && chance (r, r->s->redirect_share))
    {
      q->outcome = RETRY_REDIRECTED;
      q->redirects++;
      schedule (r, index, EVENT_SEND_END, now_ms + 1);
      return;
    }
  if (q->target_sends > 0 && q->outcome == RETRY_UNKNOWN && !q->idempotent)
    r->duplicate_sends++;
  q->target_sends++;
  r->target_sends++;
  if (arrived_while_failing (r, q))
    r->target_sends_while_failing++;
  bool fails = failing && chance (r, r->s->failure_share);
  q->outcome = RETRY_ANSWERED;
  if (fails)
    q->outcome = r->s->failures_unknown ? RETRY_UNKNOWN : RETRY_NOT_RUN;
  schedule (r, index, EVENT_SEND_END, now_ms + (fails ? FAIL_MS : ANSWER_MS));
}

static struct retry_decision
decide (struct run *r, const struct request *q, int64_t now_ms)
{
  struct retry_input c = {
    .outcome = q->outcome,
    .idempotent = q->idempotent,
    .sends = q->sends,
    .redirects = q->redirects,
    .deadline_ns = q->deadline_ms * NS_PER_MS,
    .service_ns = ANSWER_MS * NS_PER_MS,
    .random = random_32 (r),
  };
  struct retry_decision give_up = { .action = RETRY_GIVE_UP };
  struct retry_decision resend_now = { .action = RETRY_NOW };
  if (r->policy == RESEND_BUDGET)
    return retry_decide (&r->budget, &c, now_ms * NS_PER_MS);
  if (r->policy == RESEND_ALWAYS && q->sends < 3
      && (q->outcome != RETRY_UNKNOWN || q->idempotent))
    return resend_now;
  return give_up;
}

static void
handle_send_end (struct run *r, int32_t index, int64_t now_ms)
{
  struct request *q = &r->requests[index];
  if (q->outcome == RETRY_ANSWERED)
    {
      r->answered++;
      if (arrived_while_failing (r, q))
        r->answered_while_failing++;
      return;
    }
  struct retry_decision d = decide (r, q, now_ms);
  if (d.action == RETRY_NOW)
    send_request (r, index, now_ms);
  if (d.action == RETRY_AT)
    schedule (r, index, EVENT_SEND, d.at_ns / NS_PER_MS + 1);
}

static void
handle_arrival (struct run *r, int64_t now_ms)
{
  int32_t index = r->request_count++;
  r->requests[index]
      = (struct request){ .deadline_ms = now_ms + DEADLINE_MS,
                          .idempotent = chance (r, r->s->idempotent_share) };
  if (is_failing (r, now_ms))
    r->requests_while_failing++;
  retry_deposit (&r->budget);
  send_request (r, index, now_ms);
}

static void
run_millisecond (struct run *r, int64_t now_ms)
{
  int32_t index = r->timer_wheel[now_ms % TIMER_WHEEL_MS];
  r->timer_wheel[now_ms % TIMER_WHEEL_MS] = -1;
  while (index >= 0)
    {
      int32_t next = r->requests[index].next;
      if (r->requests[index].event == EVENT_SEND)
        send_request (r, index, now_ms);
      else
        handle_send_end (r, index, now_ms);
      index = next;
    }
  if (now_ms < RUN_S * INT64_C (1000) && chance (r, RATE / 1000.0))
    handle_arrival (r, now_ms);
}

static void
print_figure (const struct run *r, const char *measure, double value,
              const char *unit)
{
  printf ("figure retry_%s_%s_%s %.4f %s\n", r->s->name,
          policy_names[r->policy], measure, value, unit);
}

static void
run_scenario (const struct scenario *s, enum resend_policy policy)
{
  static struct run r;
  struct retry_config config;
  memset (&r, 0, sizeof r);
  memset (r.timer_wheel, -1, sizeof r.timer_wheel);
  r.s = s;
  r.policy = policy;
  r.random = 11;
  retry_config_defaults (&config);
  retry_init (&r.budget, &config);
  for (int64_t ms = 0; ms < (RUN_S + 2) * INT64_C (1000); ms++)
    run_millisecond (&r, ms);
  print_figure (&r, "sends_per_request",
                (double)r.target_sends / r.request_count, "ratio");
  print_figure (&r, "sends_per_request_while_failing",
                (double)r.target_sends_while_failing
                    / (double)r.requests_while_failing,
                "ratio");
  print_figure (&r, "answered_while_failing",
                100.0 * (double)r.answered_while_failing
                    / (double)r.requests_while_failing,
                "percent");
  print_figure (&r, "doubled", (double)r.duplicate_sends, "requests");
}

int
main (void)
{
  static const struct scenario scenarios[] = {
    { "half", 0.5, true, 0, 1, 0, RUN_S },
    { "wholly", 1, true, 0, 1, 0, RUN_S },
    { "wholly_not_run", 1, false, 0, 1, 0, RUN_S },
    { "half_not_idempotent", 0.5, true, 0, 0, 0, RUN_S },
    { "brief_5_percent", 0.05, true, 0, 1, 20, 25 },
    { "brief_wholly", 1, true, 0, 1, 20, 25 },
    { "owner_moved_quarter", 0, false, 0.25, 0.5, 20, 21 },
  };
  for (size_t i = 0; i < sizeof scenarios / sizeof scenarios[0]; i++)
    for (int policy = RESEND_NONE; policy <= RESEND_BUDGET; policy++)
      run_scenario (&scenarios[i], (enum resend_policy)policy);
  return EXIT_SUCCESS;
}
