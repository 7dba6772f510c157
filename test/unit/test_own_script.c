/* Scripted tests of the lease and placement rules: test/own/NAME.txt.

   A line that begins with "> " is a command; the lines after it are its
   output.  Times are milliseconds.  */

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
  struct lease_guardian guardian;
  uint32_t self;
  struct cell *cell;
  struct place_loads loads;
  struct hot_budget budget;
  struct sketch *sketch;
  int64_t now_ns;
  uint32_t count; /* number of words */
  char *words[WORDS_MAX];
  FILE *out;
};

static uint32_t
number_arg (const struct script *s, uint32_t i)
{
  return i < s->count ? (uint32_t)strtoul (s->words[i], NULL, 10) : 0;
}

static void
print_bool (struct script *s, bool value)
{
  fputs (value ? "yes\n" : "no\n", s->out);
}

/* Ward.  */

static void
do_init_ward (struct script *s)
{
  lease_ward_init (&s->ward, number_arg (s, 1) * NS_PER_MS);
}

static void
do_set_guardians (struct script *s)
{
  bool is_new = s->count > 4 && strcmp (s->words[4], "new") == 0;
  lease_ward_set_guardians (&s->ward, number_arg (s, 1), number_arg (s, 2),
                            number_arg (s, 3), is_new);
}

static void
do_send (struct script *s)
{
  fprintf (s->out, "sequence %u\n", lease_ward_on_send (&s->ward, s->now_ns));
}

static void
do_on_grant (struct script *s)
{
  print_bool (s, lease_ward_on_grant (&s->ward, number_arg (s, 1),
                                      number_arg (s, 2), number_arg (s, 3)));
}

static void
do_may_serve (struct script *s)
{
  print_bool (s, s->now_ns < lease_ward_until (&s->ward));
}

static void
do_first_lease (struct script *s)
{
  print_bool (s, s->now_ns < lease_ward_first_until (&s->ward));
}

static void
do_begin_change (struct script *s)
{
  lease_ward_begin_change (&s->ward, number_arg (s, 1), number_arg (s, 2),
                           s->now_ns);
}

static void
do_end_change (struct script *s)
{
  lease_ward_end_change (&s->ward);
}

static void
do_revoke (struct script *s)
{
  lease_ward_revoke (&s->ward);
}

/* Guardian.  */

static void
do_init_guardian (struct script *s)
{
  lease_guardian_init (&s->guardian, number_arg (s, 1) * NS_PER_MS);
  s->self = number_arg (s, 2);
}

static void
do_update (struct script *s)
{
  lease_guardian_update (&s->guardian, s->cell, s->self, s->now_ns);
}

static struct lease_promise *
promise_arg (struct script *s)
{
  struct lease_promise *p
      = lease_guardian_find (&s->guardian, number_arg (s, 1));
  if (p == NULL)
    fail_msg ("no ward %u", number_arg (s, 1));
  return p;
}

static void
do_promise (struct script *s)
{
  print_bool (s, lease_guardian_promise (&s->guardian, number_arg (s, 1),
                                         number_arg (s, 2), number_arg (s, 3),
                                         s->now_ns));
}

static void
do_removable (struct script *s)
{
  print_bool (s, lease_promise_allows_removal (promise_arg (s), s->now_ns));
}

static void
do_submit_removal (struct script *s)
{
  promise_arg (s)->removal_submitted = true;
}

static void
do_clear_removals (struct script *s)
{
  lease_guardian_clear_removals (&s->guardian);
}

static void
do_extend_all (struct script *s)
{
  lease_guardian_extend_all (&s->guardian, s->now_ns);
}

static void
do_probe (struct script *s)
{
  struct lease_promise *p = promise_arg (s);
  p->probing = true;
  fprintf (s->out, "round %u\n", ++p->probe_round);
}

static void
do_consent (struct script *s)
{
  print_bool (s, lease_promise_give_consent (promise_arg (s),
                                             number_arg (s, 2), s->now_ns));
}

static void
do_on_consent (struct script *s)
{
  lease_promise_on_consent (promise_arg (s), number_arg (s, 2));
}

static void
do_end_probing (struct script *s)
{
  fprintf (s->out, "release %u\n",
           lease_promise_end_probing (promise_arg (s)));
}

static void
do_proxy_consent (struct script *s)
{
  print_bool (s,
              lease_promise_give_proxy_consent (
                  promise_arg (s), s->guardian.promise_ns, number_arg (s, 2),
                  number_arg (s, 3), number_arg (s, 4), s->now_ns));
}

static void
do_on_proxy_consent (struct script *s)
{
  lease_promise_on_proxy_consent (promise_arg (s), number_arg (s, 2),
                                  number_arg (s, 3));
}

static void
do_release_proxy (struct script *s)
{
  lease_guardian_release_proxy (&s->guardian, number_arg (s, 1),
                                number_arg (s, 2), number_arg (s, 3));
}

static void
do_release (struct script *s)
{
  lease_promise_release_consent (promise_arg (s), number_arg (s, 2));
}

/* The document.  */

static void
do_cell (struct script *s)
{
  free (s->cell);
  s->cell = cell_new ("stock", number_arg (s, 1));
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
  member_index index = cell_member_index (s->cell, number_arg (s, 1));
  if (index == MEMBER_NONE)
    index = s->cell->member_count++;
  struct cell_member *m = &s->cell->members[index];
  memset (m, 0, sizeof *m);
  m->incarnation = number_arg (s, 1);
  m->state = state_named (s->words[2]);
  snprintf (m->zone, sizeof m->zone, "%s", s->words[3]);
  snprintf (m->rack, sizeof m->rack, "%s", s->words[4]);
  m->guardian = number_arg (s, 5);
  m->second = number_arg (s, 6);
  m->guardian_epoch = number_arg (s, 7);
  m->weight = s->count > 8 ? number_arg (s, 8) : 1;
  s->cell->next_incarnation = m->incarnation + 1;
}

static void
do_serial (struct script *s)
{
  s->cell->serial = number_arg (s, 1);
}

static void
do_key_space (struct script *s)
{
  s->cell->key_space = number_arg (s, 1);
}

/* longest-run-at-most COUNT: whether no run of neighbouring slots with one
   owner is longer than COUNT.  */
static void
do_longest_run_at_most (struct script *s)
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
  print_bool (s, longest <= number_arg (s, 1));
}

static void
do_set_owner (struct script *s)
{
  uint32_t end = number_arg (s, 2) + number_arg (s, 3);
  for (uint32_t i = number_arg (s, 2); i < end; i++)
    s->cell->slots[i].owner = number_arg (s, 1);
}

static void
do_load (struct script *s)
{
  s->loads.load[cell_member_index (s->cell, number_arg (s, 1))]
      = (uint16_t)number_arg (s, 2);
}

static void
do_spare_full (struct script *s)
{
  s->loads.spares_full = true;
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
  fprintf (s->out, "unowned: %u slots\n", cell_count_slots (s->cell, 0));
}

static void
do_remove (struct script *s)
{
  enum status status
      = cell_remove (s->cell, number_arg (s, 1), number_arg (s, 2));
  fprintf (s->out, "%s\n", status_text (status));
}

static void
do_guardians (struct script *s)
{
  const struct cell_member *m = cell_member (s->cell, number_arg (s, 1));
  fprintf (s->out, "guardian %u second %u\n", m->guardian, m->second);
}

/* Placement.  */

static void
do_guardian (struct script *s)
{
  uint32_t except[WORDS_MAX];
  uint32_t count = 0;
  for (uint32_t i = 2; i < s->count; i++)
    except[count++] = number_arg (s, i);
  const struct cell_member *m = cell_member (s->cell, number_arg (s, 1));
  fprintf (s->out, "%u\n",
           place_guardian (s->cell, number_arg (s, 1), m, except, count));
}

static void
do_second (struct script *s)
{
  fprintf (s->out, "%u\n", place_second_guardian (s->cell, number_arg (s, 1)));
}

static void
do_suboptimal (struct script *s)
{
  print_bool (s,
              place_guardian_suboptimal (s->cell, number_arg (s, 1), NULL, 0));
}

static enum settings_policy
policy_arg (const struct script *s, uint32_t i)
{
  return strcmp (s->words[i], "imbalance") == 0
             ? POLICY_IMBALANCE_FIRST
             : POLICY_UNAVAILABLE_TIME_FIRST;
}

static void
do_assign (struct script *s)
{
  fprintf (s->out, "%u slots given\n",
           place_assign_unowned (s->cell, &s->loads, policy_arg (s, 1)));
}

/* rebalance OWNER POLICY MAX: choose moves and apply them.  */
static void
do_rebalance (struct script *s)
{
  struct place_move moves[MOVES_MAX];
  uint32_t count
      = place_rebalance (s->cell, number_arg (s, 1), &s->loads,
                         policy_arg (s, 2), moves, number_arg (s, 3));
  for (uint32_t i = 0; i < count; i++)
    s->cell->slots[moves[i].slot].owner = moves[i].to;
  fprintf (s->out, "%u slots moved\n", count);
}

static void
do_drain (struct script *s)
{
  struct place_move moves[MOVES_MAX];
  uint32_t count = place_drain (s->cell, number_arg (s, 1), &s->loads, moves,
                                number_arg (s, 2));
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

/* request KEY COUNT: count COUNT requests of one key.  */
static void
do_request (struct script *s)
{
  sketch_add (s->sketch, s->words[1], strlen (s->words[1]), number_arg (s, 2));
}

/* requests COUNT: count COUNT requests, each of a different key.  */
static void
do_requests (struct script *s)
{
  for (uint32_t i = 0; i < number_arg (s, 1); i++)
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
  hot_end_window (s->sketch, s->cell, number_arg (s, 1), &s->loads);
}

/* move-hot SELF MAX POLICY: choose moves of hot keys and apply them.  */
static void
do_move_hot (struct script *s)
{
  struct hot_move moves[MOVES_MAX];
  uint32_t count
      = hot_choose_moves (s->sketch, s->cell, number_arg (s, 1), &s->loads,
                          policy_arg (s, 3), moves, number_arg (s, 2));
  cell_begin_change (s->cell, "hot");
  for (uint32_t i = 0; i < count; i++)
    {
      fprintf (s->out, "%.*s to %u\n", (int)moves[i].length, moves[i].key,
               moves[i].to);
      assert_int_equal (cell_pin (s->cell, moves[i].key, moves[i].length,
                                  number_arg (s, 1), moves[i].to),
                        STATUS_OK);
      cell_mark_pin_hot (s->cell, moves[i].key, moves[i].length);
    }
  fprintf (s->out, "%u pinned\n", s->cell->pin_count);
}

/* pin KEY FROM TO: pin a key as an operator does.  */
static void
do_pin (struct script *s)
{
  assert_int_equal (cell_pin (s->cell, s->words[1], strlen (s->words[1]),
                              number_arg (s, 2), number_arg (s, 3)),
                    STATUS_OK);
  fprintf (s->out, "%u pinned\n", s->cell->pin_count);
}

static void
do_saturating (struct script *s)
{
  const struct sketch_key *k
      = hot_find_saturating (s->sketch, s->cell, number_arg (s, 1), &s->loads);
  fprintf (s->out, "%s\n", k == NULL ? "none" : k->key);
}

/* budget SECONDS COUNT: how many of COUNT moves the budget allows at
   SECONDS.  */
static void
do_budget (struct script *s)
{
  uint32_t given = 0;
  for (uint32_t i = 0; i < number_arg (s, 2); i++)
    given += hot_budget_take (&s->budget, number_arg (s, 1) * NS_PER_S);
  fprintf (s->out, "%u\n", given);
}

/* rate KEY: the rate in requests per window.  */
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
  { "init-ward", do_init_ward },
  { "set-guardians", do_set_guardians },
  { "send", do_send },
  { "on-grant", do_on_grant },
  { "may-serve", do_may_serve },
  { "begin-change", do_begin_change },
  { "end-change", do_end_change },
  { "revoke", do_revoke },
  { "init-guardian", do_init_guardian },
  { "update", do_update },
  { "promise", do_promise },
  { "removable", do_removable },
  { "submit-removal", do_submit_removal },
  { "clear-removals", do_clear_removals },
  { "extend-all", do_extend_all },
  { "probe", do_probe },
  { "consent", do_consent },
  { "on-consent", do_on_consent },
  { "end-probing", do_end_probing },
  { "release", do_release },
  { "first-lease", do_first_lease },
  { "proxy-consent", do_proxy_consent },
  { "on-proxy-consent", do_on_proxy_consent },
  { "release-proxy", do_release_proxy },
  { "proxy-consent", do_proxy_consent },
  { "on-proxy-consent", do_on_proxy_consent },
  { "release-proxy", do_release_proxy },
  { "cell", do_cell },
  { "member", do_member },
  { "key-space", do_key_space },
  { "longest-run-at-most", do_longest_run_at_most },
  { "serial", do_serial },
  { "set-owner", do_set_owner },
  { "load", do_load },
  { "spare-full", do_spare_full },
  { "show", do_show },
  { "remove", do_remove },
  { "guardians", do_guardians },
  { "guardian", do_guardian },
  { "second", do_second },
  { "suboptimal", do_suboptimal },
  { "assign", do_assign },
  { "rebalance", do_rebalance },
  { "drain", do_drain },
  { "sketch", do_sketch },
  { "request", do_request },
  { "requests", do_requests },
  { "window", do_window },
  { "move-hot", do_move_hot },
  { "rate", do_rate },
  { "saturating", do_saturating },
  { "pin", do_pin },
  { "budget", do_budget },
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
      s->now_ns = number_arg (s, 1) * NS_PER_MS;
      s->count -= 2;
      memmove (s->words, s->words + 2, s->count * sizeof s->words[0]);
    }
  if (s->count > 0)
    run_command (s);
}

/* Run the commands of IN and return what the file should contain; *HELD is
   what it contains.  */
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
