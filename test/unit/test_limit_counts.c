/* Scripted tests of the distributed rate limit and of the refusal counts:
   test/limit/rate.txt, refusals.txt.

   > holder, > node NAME
   > take AT_MS NODE ORGANISATION rate=N nodes=N [times=N]
     prints the number of allowed requests
   > report AT_MS NODE [lose=report|grant]: sends all due reports to the
     holder, with the rate of the last take, and applies the grants
   > duplicate AT_MS NODE: delivers the last grant again

   > refusals rows=N, > refused AT_S ORGANISATION SERVICE REASON [times=N]
   > show AT_S [organisation=X] [service=X] [reason=X] [minutes=N]  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "lib/script.h"
#include "limit/rate.h"
#include "limit/refusals.h"

enum
{
  NODES_MAX = 8,
  NAME_BYTES = 8
};

struct context
{
  struct rate_holder *holder;
  struct rate_node *nodes[NODES_MAX];
  char names[NODES_MAX][NAME_BYTES];
  int count;
  long rate;
  struct rate_grant last_grant;
  struct refusals *refusals;
};

static int64_t
ms (const char *word)
{
  return (int64_t)(strtod (word, NULL) * (double)NS_PER_MS);
}

static int64_t
seconds (const char *word)
{
  return (int64_t)(strtod (word, NULL) * (double)NS_PER_S);
}

static struct rate_node *
find (struct context *x, const char *name)
{
  for (int i = 0; i < x->count; i++)
    if (strcmp (x->names[i], name) == 0)
      return x->nodes[i];
  fprintf (stderr, "no node '%s'\n", name);
  abort ();
}

static void
run_node (struct context *x, const char *name)
{
  assert_true (x->count < NODES_MAX);
  snprintf (x->names[x->count], NAME_BYTES, "%s", name);
  x->nodes[x->count++] = rate_node_new (2);
}

static void
run_take (struct context *x, int count, char **words, FILE *out)
{
  long times = script_number (count, words, "times", 1);
  uint32_t nodes = (uint32_t)script_number (count, words, "nodes", 1);
  long allowed = 0;
  x->rate = script_number (count, words, "rate", 1);
  for (long i = 0; i < times; i++)
    {
      enum status s = rate_take (find (x, words[2]), words[3], (double)x->rate,
                                 nodes, ms (words[1]));
      if (s == STATUS_OK)
        allowed++;
      if (s == STATUS_FULL)
        fprintf (out, "full\n");
    }
  fprintf (out, "%ld allowed\n", allowed);
}

static void
run_report (struct context *x, int count, char **words, FILE *out)
{
  const char *lose = script_text (count, words, "lose", "");
  struct rate_node *n = find (x, words[2]);
  struct rate_report r;
  while (rate_next_report (n, &r, ms (words[1])))
    {
      fprintf (out, "%s requests %u returns %u\n", r.organisation, r.requested,
               r.returned);
      if (strcmp (lose, "report") == 0)
        continue;
      assert_int_equal (rate_handle_report (x->holder, &r, (double)x->rate,
                                            &x->last_grant, ms (words[1])),
                        STATUS_OK);
      fprintf (out, "%s granted %u next in %u ms\n",
               x->last_grant.organisation, x->last_grant.granted,
               x->last_grant.interval_ms);
      if (strcmp (lose, "grant") != 0)
        assert_true (rate_apply_grant (n, &x->last_grant, ms (words[1])));
    }
}

static void
run_refused (struct context *x, int count, char **words)
{
  long times = script_number (count, words, "times", 1);
  for (long i = 0; i < times; i++)
    refusals_add (x->refusals, words[2], words[3], words[4],
                  seconds (words[1]));
}

static void
run_show (struct context *x, int count, char **words, FILE *out)
{
  struct refusals_filter f = {
    .organisation = script_text (count, words, "organisation", NULL),
    .service = script_text (count, words, "service", NULL),
    .reason = script_text (count, words, "reason", NULL),
    .minutes = (uint32_t)script_number (count, words, "minutes", 0),
  };
  size_t rows_count;
  struct refusals_row *rows
      = refusals_query (x->refusals, &f, seconds (words[1]), &rows_count);
  for (size_t i = 0; i < rows_count; i++)
    {
      fprintf (out, "%s %s %s %lu:", rows[i].organisation, rows[i].service,
               rows[i].reason, (unsigned long)rows[i].total);
      for (int m = 0; m < REFUSALS_MINUTES; m++)
        if (rows[i].by_minute[m] > 0)
          fprintf (out, " %d min ago %u", m, rows[i].by_minute[m]);
      fprintf (out, "\n");
    }
  free (rows);
}

static void
clear (struct context *x)
{
  rate_holder_free (x->holder);
  x->holder = NULL;
  for (int i = 0; i < x->count; i++)
    rate_node_free (x->nodes[i]);
  x->count = 0;
  refusals_free (x->refusals);
  x->refusals = NULL;
}

static void
run_line (void *context, int count, char **words, FILE *out)
{
  struct context *x = context;
  const char *verb = words[0];
  if (strcmp (verb, "holder") == 0)
    {
      clear (x);
      x->holder = rate_holder_new (2);
    }
  else if (strcmp (verb, "node") == 0)
    run_node (x, words[1]);
  else if (strcmp (verb, "take") == 0 && count > 3)
    run_take (x, count, words, out);
  else if (strcmp (verb, "report") == 0 && count > 2)
    run_report (x, count, words, out);
  else if (strcmp (verb, "duplicate") == 0)
    fprintf (
        out, "%s\n",
        rate_apply_grant (find (x, words[2]), &x->last_grant, ms (words[1]))
            ? "taken"
            : "dropped");
  else if (strcmp (verb, "refusals") == 0)
    {
      clear (x);
      x->refusals
          = refusals_new ((uint32_t)script_number (count, words, "rows", 8));
    }
  else if (strcmp (verb, "refused") == 0 && count > 4)
    run_refused (x, count, words);
  else if (strcmp (verb, "show") == 0)
    run_show (x, count, words, out);
  else
    fprintf (out, "bad input\n");
}

static void
run_script (void **state)
{
  struct context *x = calloc (1, sizeof *x);
  assert_non_null (x);
  assert_int_equal (script_run (*state, run_line, x), 0);
  clear (x);
  free (x);
}

/* When a member leaves, only the organisations it held get another holder.  */
static void
only_holders_of_a_lost_member_change (void **state)
{
  uint64_t members[] = { 11, 22, 33, 44, 55 };
  uint64_t remaining[] = { 55, 11, 22, 44 };
  char name[16];
  int held = 0;
  (void)state;
  for (int i = 0; i < 1000; i++)
    {
      snprintf (name, sizeof name, "org%d", i);
      uint64_t before = members[rate_pick_holder (name, members, 5)];
      uint64_t after = remaining[rate_pick_holder (name, remaining, 4)];
      if (before == 33)
        held++;
      else
        assert_int_equal (before, after);
    }
  assert_in_range (held, 100, 300);
}

int
main (void)
{
  static char rate[] = "test/limit/rate.txt";
  static char refusals[] = "test/limit/refusals.txt";
  const struct CMUnitTest tests[] = {
    { "rate", run_script, NULL, NULL, rate },
    { "refusals", run_script, NULL, NULL, refusals },
    cmocka_unit_test (only_holders_of_a_lost_member_change),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
