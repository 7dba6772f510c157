/* Scripted tests of lease and placement rules: test/own/NAME.txt.

   A line that begins with "> " is a command; the lines that follow it are
   what it prints.  Times are milliseconds.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "own/hot.h"
#include "own/lease.h"
#include "own/place.h"

enum
{
  LINE_BYTES = 256,
  WORDS_MAX = 12,
  MOVES_MAX = 256
};

struct script
{
  struct lease_ward ward;
  struct lease_guardian guard;
  uint32_t self;
  struct cell *cell;
  struct place_loads loads;
  struct hot_budget budget;
  struct sketch *sketch;
  int64_t now_ns;
  uint32_t count; /* of words */
  char *words[WORDS_MAX];
  FILE *out;
};

static uint32_t
number (const struct script *s, uint32_t i)
{
  return i < s->count ? (uint32_t)strtoul (s->words[i], NULL, 10) : 0;
}

static void
say (struct script *s, bool yes)
{
  fputs (yes ? "yes\n" : "no\n", s->out);
}

/* The ward's side.  */

static void
do_ward (struct script *s)
{
  lease_ward_init (&s->ward, number (s, 1) * NS_PER_MS);
}

static void
do_set (struct script *s)
{
  bool first = s->count > 4 && strcmp (s->words[4], "first") == 0;
  lease_ward_set_guardians (&s->ward, number (s, 1), number (s, 2),
                            number (s, 3), first);
}

static void
do_send (struct script *s)
{
  fprintf (s->out, "sequence %u\n", lease_ward_on_send (&s->ward, s->now_ns));
}

static void
do_grant (struct script *s)
{
  say (s, lease_ward_on_grant (&s->ward, number (s, 1), number (s, 2),
                               number (s, 3)));
}

static void
do_serves (struct script *s)
{
  say (s, s->now_ns < lease_ward_until (&s->ward));
}

static void
do_first (struct script *s)
{
  say (s, s->now_ns < lease_ward_first_until (&s->ward));
}

static void
do_freeze (struct script *s)
{
  lease_ward_begin_change (&s->ward, number (s, 1), number (s, 2), s->now_ns);
}

static void
do_thaw (struct script *s)
{
  lease_ward_end_change (&s->ward);
}

static void
do_end (struct script *s)
{
  lease_ward_revoke (&s->ward);
}

/* The guardian's side.  */

static void
do_guard (struct script *s)
{
  lease_guardian_init (&s->guard, number (s, 1) * NS_PER_MS);
  s->self = number (s, 2);
}

static void
do_update (struct script *s)
{
  lease_guardian_update (&s->guard, s->cell, s->self, s->now_ns);
}

static struct lease_promise *
promise (struct script *s)
{
  struct lease_promise *p = lease_guardian_find (&s->guard, number (s, 1));
  if (p == NULL)
    fail_msg ("no ward %u", number (s, 1));
  return p;
}

static void
do_promise (struct script *s)
{
  say (s, lease_guardian_promise (&s->guard, number (s, 1), number (s, 2),
                                  number (s, 3), s->now_ns));
}

static void
do_over (struct script *s)
{
  say (s, lease_promise_allows_removal (promise (s), s->now_ns));
}

static void
do_decide (struct script *s)
{
  promise (s)->removal_submitted = true;
}

static void
do_clear (struct script *s)
{
  lease_guardian_clear_removals (&s->guard);
}

static void
do_extend (struct script *s)
{
  lease_guardian_extend_all (&s->guard, s->now_ns);
}

static void
do_probe (struct script *s)
{
  struct lease_promise *p = promise (s);
  p->probing = true;
  fprintf (s->out, "round %u\n", ++p->probe_round);
}

static void
do_consent (struct script *s)
{
  say (s, lease_promise_give_consent (promise (s), number (s, 2), s->now_ns));
}

static void
do_consented (struct script *s)
{
  lease_promise_on_consent (promise (s), number (s, 2));
}

static void
do_resume (struct script *s)
{
  fprintf (s->out, "release %u\n", lease_promise_end_probing (promise (s)));
}

static void
do_stand_in (struct script *s)
{
  say (s, lease_promise_give_proxy_consent (promise (s), s->guard.promise_ns,
                                            number (s, 2), number (s, 3),
                                            number (s, 4), s->now_ns));
}

static void
do_stood_in (struct script *s)
{
  lease_promise_on_proxy_consent (promise (s), number (s, 2), number (s, 3));
}

static void
do_unneeded (struct script *s)
{
  lease_guardian_release_proxy (&s->guard, number (s, 1), number (s, 2),
                                number (s, 3));
}

static void
do_release (struct script *s)
{
  lease_promise_release_consent (promise (s), number (s, 2));
}

/* The document.  */

static void
do_cell (struct script *s)
{
  free (s->cell);
  s->cell = cell_new ("stock", number (s, 1));
  memset (&s->loads, 0, sizeof s->loads);
}

static enum member_state
state_named (const char *name)
{
  int state = 0;
  while (state < MEMBER_STATES
         && strcmp (member_state_name ((enum member_state)state), name) != 0)
    state++;
  return (enum member_state)state;
}

/* member INCARNATION STATE ZONE RACK GUARDIAN SECOND EPOCH [WEIGHT]  */
static void
do_member (struct script *s)
{
  member_index id = cell_member_index (s->cell, number (s, 1));
  if (id == MEMBER_NONE)
    id = s->cell->member_count++;
  struct cell_member *m = &s->cell->members[id];
  memset (m, 0, sizeof *m);
  m->incarnation = number (s, 1);
  m->state = state_named (s->words[2]);
  snprintf (m->zone, sizeof m->zone, "%s", s->words[3]);
  snprintf (m->rack, sizeof m->rack, "%s", s->words[4]);
  m->guardian = number (s, 5);
  m->second = number (s, 6);
  m->guardian_epoch = number (s, 7);
  m->weight = s->count > 8 ? number (s, 8) : 1;
  s->cell->next_incarnation = m->incarnation + 1;
}

static void
do_serial (struct script *s)
{
  s->cell->serial = number (s, 1);
}

static void
do_key_space (struct script *s)
{
  s->cell->key_space = number (s, 1);
}

/* Whether no run of neighbouring slots with one owner is longer.  */
static void
do_at_most (struct script *s)
{
  uint32_t longest = 0;
  uint32_t run = 0;
  for (uint32_t i = 0; i < s->cell->slot_count; i++)
    {
      bool same
          = i > 0 && s->cell->slots[i].owner == s->cell->slots[i - 1].owner;
      run = same ? run + 1 : 1;
      longest = run > longest ? run : longest;
    }
  say (s, longest <= number (s, 1));
}

static void
do_own (struct script *s)
{
  uint32_t end = number (s, 2) + number (s, 3);
  for (uint32_t i = number (s, 2); i < end; i++)
    s->cell->slots[i].owner = number (s, 1);
}

static void
do_load (struct script *s)
{
  s->loads.load[cell_member_index (s->cell, number (s, 1))]
      = (uint16_t)number (s, 2);
}

static void
do_show (struct script *s)
{
  for (uint32_t i = 0; i < s->cell->member_count; i++)
    {
      uint32_t incarnation = s->cell->members[i].incarnation;
      fprintf (s->out, "%u: %u slots\n", incarnation,
               cell_count_slots (s->cell, incarnation));
    }
  fprintf (s->out, "nobody: %u slots\n", cell_count_slots (s->cell, 0));
}

static void
do_remove (struct script *s)
{
  enum status status = cell_remove (s->cell, number (s, 1), number (s, 2));
  fprintf (s->out, "%s\n", status_text (status));
}

static void
do_guards (struct script *s)
{
  const struct cell_member *m = cell_member (s->cell, number (s, 1));
  fprintf (s->out, "guardian %u second %u\n", m->guardian, m->second);
}

/* Placement.  */

static void
do_guardian (struct script *s)
{
  uint32_t except[WORDS_MAX];
  uint32_t count = 0;
  for (uint32_t i = 2; i < s->count; i++)
    except[count++] = number (s, i);
  const struct cell_member *m = cell_member (s->cell, number (s, 1));
  fprintf (s->out, "%u\n",
           place_guardian (s->cell, number (s, 1), m, except, count));
}

static void
do_second (struct script *s)
{
  fprintf (s->out, "%u\n", place_second_guardian (s->cell, number (s, 1)));
}

static void
do_poor (struct script *s)
{
  say (s, place_guardian_suboptimal (s->cell, number (s, 1), NULL, 0));
}

static enum settings_policy
policy (const struct script *s, uint32_t i)
{
  return strcmp (s->words[i], "imbalance") == 0
             ? POLICY_IMBALANCE_FIRST
             : POLICY_UNAVAILABLE_TIME_FIRST;
}

static void
do_spread (struct script *s)
{
  fprintf (s->out, "%u slots given\n",
           place_assign_unowned (s->cell, &s->loads, policy (s, 1)));
}

/* rebalance OWNER POLICY MAX: carry the moves out.  */
static void
do_rebalance (struct script *s)
{
  struct place_move moves[MOVES_MAX];
  uint32_t count = place_rebalance (s->cell, number (s, 1), &s->loads,
                                    policy (s, 2), moves, number (s, 3));
  for (uint32_t i = 0; i < count; i++)
    s->cell->slots[moves[i].slot].owner = moves[i].to;
  fprintf (s->out, "%u slots moved\n", count);
}

static void
do_drain (struct script *s)
{
  struct place_move moves[MOVES_MAX];
  uint32_t count = place_drain (s->cell, number (s, 1), moves, number (s, 2));
  for (uint32_t i = 0; i < count; i++)
    s->cell->slots[moves[i].slot].owner = moves[i].to;
  fprintf (s->out, "%u slots moved\n", count);
}

/* Hot keys.  */

static void
do_sketch (struct script *s)
{
  sketch_free (s->sketch);
  s->sketch = sketch_new ();
}

/* request KEY COUNT: of one key.  */
static void
do_request (struct script *s)
{
  sketch_add (s->sketch, s->words[1], strlen (s->words[1]), number (s, 2));
}

/* requests COUNT: each of another key.  */
static void
do_requests (struct script *s)
{
  for (uint32_t i = 0; i < number (s, 1); i++)
    {
      char key[32];
      int length = snprintf (key, sizeof key, "other-%u", i);
      sketch_add (s->sketch, key, (size_t)length, 1);
    }
}

/* window SELF  */
static void
do_window (struct script *s)
{
  hot_end_window (s->sketch, s->cell, number (s, 1), &s->loads);
}

/* hot SELF MAX POLICY: choose and carry out.  */
static void
do_hot (struct script *s)
{
  struct hot_move moves[MOVES_MAX];
  uint32_t count
      = hot_choose_moves (s->sketch, s->cell, number (s, 1), &s->loads,
                          policy (s, 3), moves, number (s, 2));
  cell_begin_change (s->cell, "hot");
  for (uint32_t i = 0; i < count; i++)
    {
      fprintf (s->out, "%.*s to %u\n", (int)moves[i].length, moves[i].key,
               moves[i].to);
      assert_int_equal (cell_pin (s->cell, moves[i].key, moves[i].length,
                                  number (s, 1), moves[i].to),
                        STATUS_OK);
      cell_mark_pin_hot (s->cell, moves[i].key, moves[i].length);
    }
  fprintf (s->out, "%u pinned\n", s->cell->pin_count);
}

/* pin KEY FROM TO: as an operator does.  */
static void
do_pin (struct script *s)
{
  assert_int_equal (cell_pin (s->cell, s->words[1], strlen (s->words[1]),
                              number (s, 2), number (s, 3)),
                    STATUS_OK);
  fprintf (s->out, "%u pinned\n", s->cell->pin_count);
}

static void
do_whole (struct script *s)
{
  const struct sketch_key *k
      = hot_find_saturating (s->sketch, s->cell, number (s, 1), &s->loads);
  fprintf (s->out, "%s\n", k == NULL ? "none" : k->key);
}

/* budget SECONDS COUNT: how many of COUNT moves it gives.  */
static void
do_budget (struct script *s)
{
  uint32_t given = 0;
  for (uint32_t i = 0; i < number (s, 2); i++)
    given += hot_budget_take (&s->budget, number (s, 1) * NS_PER_S);
  fprintf (s->out, "%u\n", given);
}

/* rate KEY: whole requests a window.  */
static void
do_rate (struct script *s)
{
  const struct sketch_key *k
      = sketch_find (s->sketch, s->words[1], strlen (s->words[1]));
  fprintf (s->out, "%.0f\n", k == NULL ? 0 : k->rate);
}

static const struct
{
  const char *name;
  void (*run) (struct script *s);
} commands[] = {
  { "ward", do_ward },         { "set", do_set },
  { "send", do_send },         { "grant", do_grant },
  { "serves", do_serves },     { "freeze", do_freeze },
  { "thaw", do_thaw },         { "end", do_end },
  { "guard", do_guard },       { "update", do_update },
  { "promise", do_promise },   { "over", do_over },
  { "decide", do_decide },     { "clear", do_clear },
  { "extend", do_extend },     { "probe", do_probe },
  { "consent", do_consent },   { "consented", do_consented },
  { "resume", do_resume },     { "release", do_release },
  { "first", do_first },       { "stand-in", do_stand_in },
  { "stood-in", do_stood_in }, { "unneeded", do_unneeded },
  { "stand-in", do_stand_in }, { "stood-in", do_stood_in },
  { "unneeded", do_unneeded }, { "cell", do_cell },
  { "member", do_member },     { "key-space", do_key_space },
  { "at-most", do_at_most },   { "serial", do_serial },
  { "own", do_own },           { "load", do_load },
  { "show", do_show },         { "remove", do_remove },
  { "guards", do_guards },     { "guardian", do_guardian },
  { "second", do_second },     { "poor", do_poor },
  { "spread", do_spread },     { "rebalance", do_rebalance },
  { "drain", do_drain },       { "sketch", do_sketch },
  { "request", do_request },   { "requests", do_requests },
  { "window", do_window },     { "hot", do_hot },
  { "rate", do_rate },         { "whole", do_whole },
  { "pin", do_pin },           { "budget", do_budget },
};

static void
run_command (struct script *s)
{
  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    if (strcmp (commands[i].name, s->words[0]) == 0)
      {
        commands[i].run (s);
        return;
      }
  fail_msg ("no command %s", s->words[0]);
}

static void
run_line (struct script *s, char *line)
{
  char *rest = NULL;
  s->count = 0;
  for (char *word = strtok_r (line, " \n", &rest);
       word != NULL && s->count < WORDS_MAX;
       word = strtok_r (NULL, " \n", &rest))
    s->words[s->count++] = word;
  if (s->count > 2 && strcmp (s->words[0], "at") == 0)
    {
      s->now_ns = number (s, 1) * NS_PER_MS;
      s->count -= 2;
      memmove (s->words, s->words + 2, s->count * sizeof s->words[0]);
    }
  if (s->count > 0)
    run_command (s);
}

/* Run the commands of PATH and return what the file should hold.  */
static char *
run_file (FILE *in, char **held)
{
  char line[LINE_BYTES];
  size_t held_length;
  size_t length;
  char *text = NULL;
  struct script s = { .out = open_memstream (&text, &length) };
  FILE *copy = open_memstream (held, &held_length);
  while (fgets (line, sizeof line, in) != NULL)
    {
      fputs (line, copy);
      bool command = strncmp (line, "> ", 2) == 0;
      if (command || line[0] == '#' || line[0] == '\n')
        fputs (line, s.out);
      if (command)
        run_line (&s, line + 2);
    }
  fclose (copy);
  fclose (s.out);
  free (s.cell);
  sketch_free (s.sketch);
  return text;
}

static void
check_script (const char *name)
{
  char path[LINE_BYTES];
  snprintf (path, sizeof path, "test/own/%s.txt", name);
  FILE *in = fopen (path, "r");
  if (in == NULL)
    fail_msg ("cannot open %s", path);
  char *held = NULL;
  char *text = run_file (in, &held);
  fclose (in);
  if (strcmp (held, text) != 0)
    fprintf (stderr, "%s should read:\n%s", path, text);
  assert_string_equal (held, text);
  free (held);
  free (text);
}

static void
lease_of_a_ward (void **state)
{
  (void)state;
  check_script ("ward");
}

static void
promises_of_a_guardian (void **state)
{
  (void)state;
  check_script ("guardian");
}

static void
placement_of_guardians (void **state)
{
  (void)state;
  check_script ("place_guardian");
}

static void
placement_of_slots (void **state)
{
  (void)state;
  check_script ("place_slots");
}

static void
hot_keys (void **state)
{
  (void)state;
  check_script ("hot");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (lease_of_a_ward),
    cmocka_unit_test (promises_of_a_guardian),
    cmocka_unit_test (placement_of_guardians),
    cmocka_unit_test (placement_of_slots),
    cmocka_unit_test (hot_keys),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
