/* Scripted tests of the adaptive limit, the circuit breaker and the retry
   policy: test/limit/concur.txt, health.txt, retry.txt.

   > concur fixed|aimd|gradient slots=N [ramp=N] [answers=N]
   > done AT_MS OUTCOME LATENCY_MS IN_FLIGHT [times=N] [step=MS]
     prints the limit after the last request
   > restart AT_MS

   > health [isolate-after=N], > send NAME,
   > end AT_MS NAME OUTCOME, > state AT_MS

   > budget [ratio=PCT] [stored=N] [attempts=N], > deposit [times=N]
   > available, > refund, > stored N, > share STORED NODES
   > decide AT_MS OUTCOME idempotent|once sends=N [redirects=N] deadline=MS
     [service=MS] [retry-after=MS] [random=PCT]  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "lib/script.h"
#include "limit/concur.h"
#include "limit/health.h"
#include "limit/retry.h"

enum
{
  SENDS_MAX = 64,
  NAME_BYTES = 8
};

struct context
{
  struct concur *concur;
  struct health health;
  char names[SENDS_MAX][NAME_BYTES];
  uint32_t generations[SENDS_MAX];
  int sends;
  struct retry_budget budget;
};

static int64_t
ms (const char *word)
{
  return (int64_t)(strtod (word, NULL) * (double)NS_PER_MS);
}

static int
word_index (const char *word, const char *const *names, int count)
{
  for (int i = 0; i < count; i++)
    if (strcmp (word, names[i]) == 0)
      return i;
  fprintf (stderr, "unknown word '%s'\n", word);
  abort ();
}

static enum admit_outcome
outcome_of (const char *word)
{
  static const char *const names[]
      = { "answered", "shed", "timed-out", "failed", "cancelled" };
  return (enum admit_outcome)word_index (word, names, 5);
}

static void
run_concur (struct context *x, int count, char **words)
{
  static const char *const policies[] = { "fixed", "aimd", "gradient" };
  struct concur_config c;
  concur_config_defaults (&c,
                          (uint32_t)script_number (count, words, "slots", 12));
  c.policy = (enum concur_policy)word_index (words[1], policies, 3);
  c.ramp_initial_limit
      = (uint32_t)script_number (count, words, "ramp", c.ramp_initial_limit);
  c.ramp_step_answers
      = (uint32_t)script_number (count, words, "answers", c.ramp_step_answers);
  concur_free (x->concur);
  x->concur = concur_new (&c, 0);
}

static void
run_done (struct context *x, int count, char **words, FILE *out)
{
  long times = script_number (count, words, "times", 1);
  int64_t step_ns = ms (script_text (count, words, "step", "0"));
  for (long i = 0; i < times; i++)
    concur_done (x->concur, outcome_of (words[2]), ms (words[3]),
                 (uint32_t)strtoul (words[4], NULL, 10),
                 ms (words[1]) + i * step_ns);
  fprintf (out, "limit %u\n", concur_limit (x->concur));
}

static void
run_health (struct context *x, int count, char **words)
{
  struct health_config c;
  health_config_defaults (&c);
  c.isolate_after = (uint32_t)script_number (count, words, "isolate-after",
                                             c.isolate_after);
  health_init (&x->health, &c, 0);
  x->sends = 0;
}

static void
run_send (struct context *x, const char *name)
{
  assert_true (x->sends < SENDS_MAX);
  snprintf (x->names[x->sends], NAME_BYTES, "%s", name);
  x->generations[x->sends++] = health_generation (&x->health);
}

static void
run_end (struct context *x, char **words, FILE *out)
{
  for (int i = 0; i < x->sends; i++)
    if (strcmp (x->names[i], words[2]) == 0
        && health_done (&x->health, x->generations[i], outcome_of (words[3]),
                        ms (words[1])))
      fprintf (out, "ramp up\n");
}

static void
run_state (struct context *x, const char *at, FILE *out)
{
  enum health_state state = health_state (&x->health, ms (at));
  uint32_t in_flight_max = health_in_flight_max (&x->health);
  fprintf (out, "%s", health_state_name (state));
  if (in_flight_max != UINT32_MAX)
    fprintf (out, ", at most %u", in_flight_max);
  fprintf (out, "\n");
}

static void
run_budget (struct context *x, int count, char **words)
{
  struct retry_config c;
  retry_config_defaults (&c);
  c.ratio_pct = (uint32_t)script_number (count, words, "ratio", c.ratio_pct);
  c.stored_max
      = (uint32_t)script_number (count, words, "stored", c.stored_max);
  c.attempts_max
      = (uint32_t)script_number (count, words, "attempts", c.attempts_max);
  retry_init (&x->budget, &c);
}

static void
run_decide (struct context *x, int count, char **words, FILE *out)
{
  static const char *const outcomes[]
      = { "answered", "redirected", "not-run", "refused", "unknown" };
  long random_pct = script_number (count, words, "random", 50);
  struct retry_input c = {
    .outcome = (enum retry_outcome)word_index (words[2], outcomes, 5),
    .idempotent = strcmp (words[3], "idempotent") == 0,
    .sends = (uint32_t)script_number (count, words, "sends", 1),
    .redirects = (uint32_t)script_number (count, words, "redirects", 0),
    .deadline_ns = ms (script_text (count, words, "deadline", "1000")),
    .service_ns = ms (script_text (count, words, "service", "0")),
    .retry_after_ns = ms (script_text (count, words, "retry-after", "0")),
    .random = (uint32_t)((double)random_pct / 100 * (double)UINT32_MAX),
  };
  struct retry_decision d = retry_decide (&x->budget, &c, ms (words[1]));
  if (d.action == RETRY_NOW)
    fprintf (out, "now\n");
  else if (d.action == RETRY_AT)
    fprintf (out, "at %.0f\n", (double)d.at_ns / (double)NS_PER_MS);
  else
    fprintf (out, "give up: %s\n", retry_reason_word (d.reason));
}

static void
run_deposit (struct context *x, int count, char **words)
{
  long times = script_number (count, words, "times", 1);
  for (long i = 0; i < times; i++)
    retry_deposit (&x->budget);
}

static void
run_line (void *context, int count, char **words, FILE *out)
{
  struct context *x = context;
  const char *verb = words[0];
  if (strcmp (verb, "concur") == 0)
    run_concur (x, count, words);
  else if (strcmp (verb, "done") == 0 && count > 4)
    run_done (x, count, words, out);
  else if (strcmp (verb, "restart") == 0)
    concur_restart (x->concur, ms (words[1]));
  else if (strcmp (verb, "health") == 0)
    run_health (x, count, words);
  else if (strcmp (verb, "send") == 0)
    run_send (x, words[1]);
  else if (strcmp (verb, "end") == 0 && count > 3)
    run_end (x, words, out);
  else if (strcmp (verb, "state") == 0)
    run_state (x, words[1], out);
  else if (strcmp (verb, "budget") == 0)
    run_budget (x, count, words);
  else if (strcmp (verb, "deposit") == 0)
    run_deposit (x, count, words);
  else if (strcmp (verb, "decide") == 0 && count > 3)
    run_decide (x, count, words, out);
  else if (strcmp (verb, "refund") == 0)
    retry_refund (&x->budget);
  else if (strcmp (verb, "stored") == 0 && count > 1)
    retry_set_stored_max (&x->budget, (uint32_t)script_word_number (words[1]));
  else if (strcmp (verb, "share") == 0 && count > 2)
    fprintf (out, "%u\n",
             retry_stored_share ((uint32_t)script_word_number (words[1]),
                                 (uint32_t)script_word_number (words[2])));
  else if (strcmp (verb, "available") == 0)
    fprintf (out, "%u\n", retry_available (&x->budget));
  else
    fprintf (out, "bad input\n");
}

static void
run_script (void **state)
{
  struct context *x = calloc (1, sizeof *x);
  assert_non_null (x);
  assert_int_equal (script_run (*state, run_line, x), 0);
  concur_free (x->concur);
  free (x);
}

int
main (void)
{
  static char concur[] = "test/limit/concur.txt";
  static char health[] = "test/limit/health.txt";
  static char retry[] = "test/limit/retry.txt";
  const struct CMUnitTest tests[] = {
    { "concur", run_script, NULL, NULL, concur },
    { "health", run_script, NULL, NULL, health },
    { "retry", run_script, NULL, NULL, retry },
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
