/* Sends per request while a target fails, in emulated time.  Three ways stand
   beside each other: no retry, each request sent up to three times, the
   budget.  */

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
  CALENDAR_MS = 4096, /* longer than a deadline and an answer */
  REQUESTS_MAX = RATE * (RUN_S + 2)
};

enum way
{
  WAY_NONE,
  WAY_ALWAYS,
  WAY_BUDGET
};

static const char *const way_names[] = { "none", "always", "budget" };

struct scenario
{
  const char *name;
  double fails;      /* part of the sends, from FROM_S to TO_S */
  bool unknown;      /* else the failed sends did not run */
  double moved;      /* part that finds another owner at its first send */
  double idempotent; /* part of the requests */
  int from_s;
  int to_s;
};

enum step
{
  STEP_SEND,
  STEP_END
};

struct request
{
  int64_t deadline_ms;
  bool idempotent;
  uint32_t sends;
  uint32_t target_sends;
  uint32_t moves;
  enum retry_outcome outcome; /* of the last send */
  enum step step;
  int32_t next; /* in its millisecond of the calendar, or -1 */
};

struct run
{
  const struct scenario *s;
  enum way way;
  struct retry_budget budget;
  struct request requests[REQUESTS_MAX];
  int32_t count;
  int32_t calendar[CALENDAR_MS];
  uint64_t random;
  uint64_t target_sends;
  uint64_t target_sends_failing; /* for requests that came while it failed */
  uint64_t requests_failing;
  uint64_t answered;
  uint64_t answered_failing;
  uint64_t doubled; /* not idempotent, and sent after it may have run */
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
chance (struct run *r, double part)
{
  return random_32 (r) < part * 4294967295.0;
}

static bool
is_failing (const struct run *r, int64_t ms)
{
  return ms >= r->s->from_s * INT64_C (1000)
         && ms < r->s->to_s * INT64_C (1000);
}

static bool
came_failing (const struct run *r, const struct request *q)
{
  return is_failing (r, q->deadline_ms - DEADLINE_MS);
}

static void
put (struct run *r, int32_t index, enum step step, int64_t at_ms)
{
  int32_t *day = &r->calendar[at_ms % CALENDAR_MS];
  r->requests[index].step = step;
  r->requests[index].next = *day;
  *day = index;
}

static void
send_now (struct run *r, int32_t index, int64_t now_ms)
{
  struct request *q = &r->requests[index];
  bool failing = is_failing (r, now_ms);
  q->sends++;
  if (q->sends == 1 && failing && chance (r, r->s->moved))
    {
      q->outcome = RETRY_REDIRECTED;
      q->moves++;
      put (r, index, STEP_END, now_ms + 1);
      return;
    }
  if (q->target_sends > 0 && q->outcome == RETRY_UNKNOWN && !q->idempotent)
    r->doubled++;
  q->target_sends++;
  r->target_sends++;
  if (came_failing (r, q))
    r->target_sends_failing++;
  bool fails = failing && chance (r, r->s->fails);
  q->outcome = RETRY_ANSWERED;
  if (fails)
    q->outcome = r->s->unknown ? RETRY_UNKNOWN : RETRY_NOT_RUN;
  put (r, index, STEP_END, now_ms + (fails ? FAIL_MS : ANSWER_MS));
}

static struct retry_decision
decide (struct run *r, const struct request *q, int64_t now_ms)
{
  struct retry_input c = {
    .outcome = q->outcome,
    .idempotent = q->idempotent,
    .sends = q->sends,
    .redirects = q->moves,
    .deadline_ns = q->deadline_ms * NS_PER_MS,
    .service_ns = ANSWER_MS * NS_PER_MS,
    .random = random_32 (r),
  };
  struct retry_decision give_up = { .action = RETRY_GIVE_UP };
  struct retry_decision now = { .action = RETRY_NOW };
  if (r->way == WAY_BUDGET)
    return retry_decide (&r->budget, &c, now_ms * NS_PER_MS);
  if (r->way == WAY_ALWAYS && q->sends < 3
      && (q->outcome != RETRY_UNKNOWN || q->idempotent))
    return now;
  return give_up;
}

static void
end_now (struct run *r, int32_t index, int64_t now_ms)
{
  struct request *q = &r->requests[index];
  if (q->outcome == RETRY_ANSWERED)
    {
      r->answered++;
      if (came_failing (r, q))
        r->answered_failing++;
      return;
    }
  struct retry_decision d = decide (r, q, now_ms);
  if (d.action == RETRY_NOW)
    send_now (r, index, now_ms);
  if (d.action == RETRY_AT)
    put (r, index, STEP_SEND, d.at_ns / NS_PER_MS + 1);
}

static void
arrive (struct run *r, int64_t now_ms)
{
  int32_t index = r->count++;
  r->requests[index]
      = (struct request){ .deadline_ms = now_ms + DEADLINE_MS,
                          .idempotent = chance (r, r->s->idempotent) };
  if (is_failing (r, now_ms))
    r->requests_failing++;
  retry_deposit (&r->budget);
  send_now (r, index, now_ms);
}

static void
step (struct run *r, int64_t now_ms)
{
  int32_t index = r->calendar[now_ms % CALENDAR_MS];
  r->calendar[now_ms % CALENDAR_MS] = -1;
  while (index >= 0)
    {
      int32_t next = r->requests[index].next;
      if (r->requests[index].step == STEP_SEND)
        send_now (r, index, now_ms);
      else
        end_now (r, index, now_ms);
      index = next;
    }
  if (now_ms < RUN_S * INT64_C (1000) && chance (r, RATE / 1000.0))
    arrive (r, now_ms);
}

static void
figure (const struct run *r, const char *what, double value, const char *unit)
{
  printf ("figure retry_%s_%s_%s %.4f %s\n", r->s->name, way_names[r->way],
          what, value, unit);
}

static void
run_scenario (const struct scenario *s, enum way way)
{
  static struct run r;
  struct retry_config config;
  memset (&r, 0, sizeof r);
  memset (r.calendar, -1, sizeof r.calendar);
  r.s = s;
  r.way = way;
  r.random = 11;
  retry_config_defaults (&config);
  retry_init (&r.budget, &config);
  for (int64_t ms = 0; ms < (RUN_S + 2) * INT64_C (1000); ms++)
    step (&r, ms);
  figure (&r, "sends_per_request", (double)r.target_sends / r.count, "ratio");
  figure (&r, "sends_per_request_while_failing",
          (double)r.target_sends_failing / (double)r.requests_failing,
          "ratio");
  figure (&r, "answered_while_failing",
          100.0 * (double)r.answered_failing / (double)r.requests_failing,
          "percent");
  figure (&r, "doubled", (double)r.doubled, "requests");
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
    for (int way = WAY_NONE; way <= WAY_BUDGET; way++)
      run_scenario (&scenarios[i], (enum way)way);
  return EXIT_SUCCESS;
}
