/* Scripted tests of admission control: test/limit/admit*.txt.

   > new slots=N [queue=N] [share=PCT] [lend=0|1] [organisations=N]
     [reserve-min=N] [reserve-pct=N] [lookup-reserve=N]
   > offer AT_MS NAME ORGANISATION paying|trial DEADLINE_MS [weight=N]
     [max=N] [depth=N] [times=N]
   > done AT_MS NAME [answered|shed|timed-out|failed] [LATENCY_MS]
   > next AT_MS, > cancel NAME, > limit N, > state open|draining|down,
   > trials PCT lend|no-lend, > stats, > wake

   NAME identifies one request; "times" offers NAME1, NAME2 and so on.  */

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
#include "limit/admit.h"

enum
{
  REQUESTS_MAX = 4096,
  NAME_BYTES = 24
};

struct request
{
  char name[NAME_BYTES];
  admit_ticket ticket;
};

struct context
{
  struct admit *admit;
  struct request requests[REQUESTS_MAX]; /* indexed by user_data */
  uint32_t count;
};

static int64_t
ms (const char *word)
{
  return (int64_t)(strtod (word, NULL) * (double)NS_PER_MS);
}

static struct request *
find (struct context *x, const char *name)
{
  for (uint32_t i = x->count; i-- > 0;)
    if (strcmp (x->requests[i].name, name) == 0)
      return &x->requests[i];
  fprintf (stderr, "no request '%s'\n", name);
  abort ();
}

static void
print_decision (struct context *x, const struct admit_decision *d, FILE *out)
{
  struct request *r = &x->requests[d->user_data];
  switch (d->verdict)
    {
    case ADMIT_START:
      r->ticket = d->ticket;
      fprintf (out, "%s start\n", r->name);
      break;
    case ADMIT_QUEUED:
      r->ticket = d->ticket;
      fprintf (out, "%s queued\n", r->name);
      break;
    case ADMIT_REFUSED:
      fprintf (out, "%s refused %s, again in %" PRIu32 " ms\n", r->name,
               reason_word (d->reason), d->retry_after_ms);
      break;
    case ADMIT_NOTHING:
      break;
    }
}

static void
run_new (struct context *x, int count, char **words)
{
  struct admit_config c;
  admit_config_defaults (&c,
                         (uint32_t)script_number (count, words, "slots", 4));
  c.queue_max = (uint32_t)script_number (count, words, "queue", c.queue_max);
  c.organisations_max = (uint32_t)script_number (count, words, "organisations",
                                                 c.organisations_max);
  c.trial_share_pct
      = (uint32_t)script_number (count, words, "share", c.trial_share_pct);
  c.trial_lending = script_number (count, words, "lend", c.trial_lending);
  c.reserve_min
      = (uint32_t)script_number (count, words, "reserve-min", c.reserve_min);
  c.reserve_pct
      = (uint32_t)script_number (count, words, "reserve-pct", c.reserve_pct);
  c.lookup_reserve = (uint32_t)script_number (count, words, "lookup-reserve",
                                              c.lookup_reserve);
  admit_free (x->admit);
  x->admit = admit_new (&c);
  x->count = 0;
}

static void
offer_one (struct context *x, int count, char **words, const char *name,
           FILE *out)
{
  struct admit_request r = {
    .organisation = words[3],
    .policy
    = { .kind = strcmp (words[4], "trial") == 0 ? ADMIT_TRIAL : ADMIT_PAYING,
        .weight = (uint32_t)script_number (count, words, "weight", 1),
        .in_flight_max = (uint32_t)script_number (count, words, "max", 0) },
    .depth = (uint32_t)script_number (count, words, "depth", 0),
    .deadline_ns = ms (words[5]),
    .user_data = x->count++,
  };
  assert_true (x->count < REQUESTS_MAX);
  snprintf (x->requests[r.user_data].name, NAME_BYTES, "%s", name);
  struct admit_decision d = admit_offer (x->admit, &r, ms (words[1]));
  print_decision (x, &d, out);
}

static void
run_offer (struct context *x, int count, char **words, FILE *out)
{
  long times = script_number (count, words, "times", 0);
  char name[NAME_BYTES];
  if (times == 0)
    offer_one (x, count, words, words[2], out);
  for (long i = 1; i <= times; i++)
    {
      snprintf (name, sizeof name, "%s%ld", words[2], i);
      offer_one (x, count, words, name, out);
    }
}

static void
run_done (struct context *x, int count, char **words, FILE *out)
{
  static const char *const outcomes[]
      = { "answered", "shed", "timed-out", "failed", "cancelled" };
  const char *outcome = count > 3 ? words[3] : "answered";
  int64_t latency_ns = count > 4 ? ms (words[4]) : 10 * NS_PER_MS;
  for (int o = 0; o <= ADMIT_CANCELLED; o++)
    if (strcmp (outcome, outcomes[o]) == 0
        && !admit_done (x->admit, find (x, words[2])->ticket,
                        (enum admit_outcome)o, latency_ns, ms (words[1])))
      fprintf (out, "not in flight\n");
}

static void
run_next (struct context *x, char **words, FILE *out)
{
  for (;;)
    {
      struct admit_decision d = admit_next (x->admit, ms (words[1]));
      if (d.verdict == ADMIT_NOTHING)
        return;
      print_decision (x, &d, out);
    }
}

static void
run_state (struct context *x, const char *word)
{
  enum admit_state state = ADMIT_OPEN;
  if (strcmp (word, "draining") == 0)
    state = ADMIT_DRAINING;
  if (strcmp (word, "down") == 0)
    state = ADMIT_DOWN;
  admit_set_state (x->admit, state);
}

static void
run_stats (const struct context *x, FILE *out)
{
  struct admit_stats s;
  admit_read_stats (x->admit, &s);
  fprintf (out,
           "limit %u paying %u+%u trial %u+%u reserve %u service %.1f ms\n",
           s.limit, s.in_flight[0], s.queued[0], s.in_flight[1], s.queued[1],
           s.reserve, (double)s.service_ns / (double)NS_PER_MS);
}

static void
run_line (void *context, int count, char **words, FILE *out)
{
  struct context *x = context;
  const char *verb = words[0];
  if (strcmp (verb, "new") == 0)
    run_new (x, count, words);
  else if (strcmp (verb, "offer") == 0 && count > 5)
    run_offer (x, count, words, out);
  else if (strcmp (verb, "done") == 0 && count > 2)
    run_done (x, count, words, out);
  else if (strcmp (verb, "next") == 0)
    run_next (x, words, out);
  else if (strcmp (verb, "cancel") == 0)
    fprintf (out, "%s\n",
             admit_cancel (x->admit, find (x, words[1])->ticket)
                 ? "not run"
                 : "not waiting");
  else if (strcmp (verb, "limit") == 0)
    admit_set_limit (x->admit, (uint32_t)strtoul (words[1], NULL, 10));
  else if (strcmp (verb, "state") == 0)
    run_state (x, words[1]);
  else if (strcmp (verb, "trials") == 0)
    admit_set_trial_share (x->admit, (uint32_t)strtoul (words[1], NULL, 10),
                           strcmp (words[2], "lend") == 0);
  else if (strcmp (verb, "stats") == 0)
    run_stats (x, out);
  else if (strcmp (verb, "wake") == 0)
    fprintf (out, "%" PRId64 " ms\n", admit_wake_ns (x->admit) / NS_PER_MS);
  else
    fprintf (out, "bad input\n");
}

static void
run_script (void **state)
{
  struct context *x = calloc (1, sizeof *x);
  assert_non_null (x);
  assert_int_equal (script_run (*state, run_line, x), 0);
  admit_free (x->admit);
  free (x);
}

int
main (void)
{
  static char order[] = "test/limit/admit_order.txt";
  static char trials[] = "test/limit/admit_trials.txt";
  static char deadlines[] = "test/limit/admit_deadlines.txt";
  static char lookups[] = "test/limit/admit_lookups.txt";
  const struct CMUnitTest tests[] = {
    { "order", run_script, NULL, NULL, order },
    { "trials", run_script, NULL, NULL, trials },
    { "deadlines", run_script, NULL, NULL, deadlines },
    { "lookups", run_script, NULL, NULL, lookups },
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
