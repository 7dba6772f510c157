/* Property test of evacuations in virtual time: no request starts at a target
   of an evacuated zone later than 5 s after the store acknowledged the
   evacuation, whatever the nodes miss, and zones serve again afterwards.

   Nodes are cut off from the store or from everything, restart and are
   paused; watches miss changes until their wait ends; connections stall; the
   store is down for all.  All that reach each other may be cut off from the
   store.

     EVACUATIONS_SEEDS=2000 build/test/test_mesh_evacuations  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "mesh/confirm.h"
#include "mesh/evacuations.h"

enum
{
  NODES = 7,
  ZONES = 3,
  CI_SEEDS = 100,
  FAULT_SEEDS = 500,
  STEP_MS = 10,
  RUN_MS = 60000,
  FAULTS_END_MS = 48000,
  CLOSE_MS = 3000,
  BOUND_MS = 5000,
  STATE_MS = 500,
  APPLY_MS = 2000,
  POLL_MARGIN_MS = 600,
  MESSAGES_MAX = 2048
};

/* Faults of the code, one of which is inserted to show that the test finds
   it.  */
enum fault
{
  NO_FAULT,
  OLDER_VERSION_WINS,
  AGE_DROPPED,
  RESTART_OPENS,
  LATE_IS_NEW,
  SILENCE_IGNORED,
  FAULT_COUNT
};

static const char *const fault_names[]
    = { "none",          "older version wins", "age dropped",
        "restart opens", "late is new",        "silence ignored" };

static const char *const node_names[NODES]
    = { "n0", "n1", "n2", "n3", "n4", "n5", "n6" };

struct span
{
  int64_t from_ms;
  int64_t to_ms;
};

struct node
{
  struct evacuations set;
  bool listed; /* it has read the zones */
  bool suspended;
  int64_t clock_offset_ns;
  int64_t offset_seen_ns[NODES]; /* lower bounds of the others' offsets */
  bool offset_known[NODES];
  struct confirm confirm;
  /* The others' own last confirmations, as they reported them; 0: none.  */
  int64_t reported_ns[NODES];
  bool healthy;
  struct span no_store, alone, down, paused; /* faults */
  bool was_down;
  int64_t poll_ms; /* start of the poll in progress; -1: none */
  int64_t wait_ms;
  bool misses; /* the poll misses changes until its wait ends */
  int64_t retry_ms;
};

struct message
{
  int64_t at_ms;
  unsigned from;
  unsigned to;
  bool is_document;
  struct evacuations set; /* as of the sending */
  int64_t clock_ns;
  int64_t confirmed_ns;
};

struct world
{
  enum fault fault;
  bool grouped; /* one node watches for all that hear of it */
  struct confirm_times times;
  uint64_t random;
  int64_t now_ms;
  struct node nodes[NODES];
  /* The store: its revision, and since when each zone is evacuated, -1: not.
   */
  uint64_t revision;
  int64_t acknowledged_ms[ZONES];
  int64_t changes_ms[ZONES][2]; /* evacuation and end */
  struct span store_down;
  struct span stalls[NODES]; /* of the connections from a node */
  struct message messages[MESSAGES_MAX];
  unsigned message_count;
};

static uint64_t
draw (struct world *w, uint64_t below)
{
  w->random = w->random * UINT64_C (6364136223846793005) + 1442695040888963407;
  return (w->random >> 33) % below;
}

static bool
in (const struct span *s, int64_t at_ms)
{
  return at_ms >= s->from_ms && at_ms < s->to_ms;
}

/* A span of up to MAX_MS with a chance of one in ODDS, else an empty one.  */
static struct span
draw_span (struct world *w, unsigned odds, int64_t max_ms)
{
  struct span s = { 0, 0 };
  if (draw (w, odds) != 0)
    return s;
  s.from_ms = 1000 + (int64_t)draw (w, FAULTS_END_MS - 10000);
  s.to_ms = s.from_ms + (int64_t)draw (w, (uint64_t)max_ms);
  return s;
}

static int64_t
local_ns (const struct world *w, const struct node *n)
{
  return (w->now_ms + 1000000) * NS_PER_MS + n->clock_offset_ns;
}

static const char *
zone_name (unsigned zone)
{
  static const char *const names[ZONES] = { "a", "b", "c" };
  return names[zone];
}

static bool
reaches_store (const struct world *w, const struct node *n)
{
  return !in (&w->store_down, w->now_ms) && !in (&n->no_store, w->now_ms)
         && !in (&n->alone, w->now_ms);
}

static bool
runs (const struct world *w, const struct node *n)
{
  return !in (&n->down, w->now_ms) && !in (&n->paused, w->now_ms);
}

/* Sending.  */

static void
send_message (struct world *w, unsigned from, unsigned to, bool is_document)
{
  const struct node *n = &w->nodes[from];
  if (is_document && n->set.stamp.version == 0)
    return;
  assert_true (w->message_count < MESSAGES_MAX || w->fault != NO_FAULT);
  if (w->message_count == MESSAGES_MAX)
    return;
  struct message *m = &w->messages[w->message_count++];
  *m = (struct message){ .at_ms = w->now_ms + 1 + (int64_t)draw (w, 40),
                         .from = from,
                         .to = to,
                         .is_document = is_document,
                         .set = n->set,
                         .clock_ns = local_ns (w, n),
                         .confirmed_ns
                         = n->healthy ? n->confirm.own.at_ns : 0 };
  if (!is_document)
    m->set.stamp = evacuations_report (&n->set, m->clock_ns);
  if (in (&w->stalls[from], w->now_ms))
    m->at_ms = w->stalls[from].to_ms;
}

static void
broadcast (struct world *w, unsigned from)
{
  for (unsigned to = 0; to < NODES; to++)
    if (to != from)
      send_message (w, from, to, false);
}

/* What zone_gate does with a state or a document.  */
static void
receive (struct world *w, const struct message *m)
{
  struct node *n = &w->nodes[m->to];
  int64_t now_ns = local_ns (w, n);
  int64_t offset_ns = m->clock_ns - now_ns;
  if (!n->offset_known[m->from] || offset_ns > n->offset_seen_ns[m->from])
    n->offset_seen_ns[m->from] = offset_ns;
  n->offset_known[m->from] = true;
  int64_t sent_ns = m->clock_ns - n->offset_seen_ns[m->from];
  n->reported_ns[m->from] = 0;
  if (m->confirmed_ns != 0)
    {
      struct confirmation c
          = { 1, m->confirmed_ns - n->offset_seen_ns[m->from], 1, 0 };
      n->reported_ns[m->from] = c.at_ns;
      confirm_add (&n->confirm, &c, false);
    }
  if (!m->is_document)
    {
      if (evacuations_on_stamp (&n->set, &m->set.stamp,
                                n->reported_ns[m->from])
          || (w->fault == OLDER_VERSION_WINS
              && m->set.stamp.digest != n->set.stamp.digest))
        send_message (w, m->from, m->to, true);
      return;
    }
  struct evacuations_document d;
  GString *text = evacuations_format (&m->set, m->clock_ns);
  assert_int_equal (evacuations_parse (text->str, text->len, &d), STATUS_OK);
  g_string_free (text, TRUE);
  for (unsigned i = 0; w->fault == AGE_DROPPED && i < d.count; i++)
    d.zones[i].known_ns = 0;
  if (w->fault == OLDER_VERSION_WINS && d.version <= n->set.stamp.version)
    n->set.stamp.version = d.version - 1;
  evacuations_merge (&n->set, &d, w->fault == AGE_DROPPED ? now_ns : sent_ns,
                     now_ns);
}

static void
deliver (struct world *w)
{
  for (unsigned i = 0; i < w->message_count; i++)
    {
      struct message m = w->messages[i];
      const struct node *to = &w->nodes[m.to];
      bool lost = in (&to->down, w->now_ms) || in (&to->alone, w->now_ms)
                  || in (&w->nodes[m.from].alone, w->now_ms);
      if (!lost && (m.at_ms > w->now_ms || !runs (w, to)))
        continue;
      w->messages[i--] = w->messages[--w->message_count];
      if (!lost)
        receive (w, &m);
    }
}

/* The watch of the store.  */

static void
take_from_store (struct world *w, unsigned index, int64_t asked_ns)
{
  struct node *n = &w->nodes[index];
  const char *names[ZONES];
  unsigned count = 0;
  uint64_t digest = n->set.stamp.digest;
  for (unsigned z = 0; z < ZONES; z++)
    if (w->acknowledged_ms[z] >= 0)
      names[count++] = zone_name (z);
  if (w->fault == LATE_IS_NEW && n->set.stamp.version != 0)
    n->set.heard_ns = local_ns (w, n);
  if (!evacuations_update (&n->set, names, count, w->revision, asked_ns,
                           local_ns (w, n)))
    return;
  if (n->set.stamp.digest != digest)
    broadcast (w, index);
}

/* What node INDEX knows of the other watches.  In half of the worlds nodes
   leave watching to one of a group.  */
static struct confirm_group
group_of (const struct world *w, unsigned index)
{
  const struct node *n = &w->nodes[index];
  struct confirm_group g
      = { .own_name = node_names[index], .parts = 1, .nodes = 1 };
  for (unsigned i = 0; w->grouped && i < NODES; i++)
    if (i != index && n->offset_known[i] && !in (&n->alone, w->now_ms)
        && !in (&w->nodes[i].alone, w->now_ms)
        && !in (&w->nodes[i].down, w->now_ms))
      confirm_group_add (&g, node_names[i], n->reported_ns[i], &w->times,
                         local_ns (w, n));
  return g;
}

/* Record that the store answered a wait that began at ASKED_NS.  */
static void
confirm_poll (struct world *w, unsigned index, int64_t confirmed_ns)
{
  struct node *n = &w->nodes[index];
  struct confirmation c = { 1, confirmed_ns, 1, 0 };
  confirm_add (&n->confirm, &c, true);
  broadcast (w, index);
}

static void
begin_poll (struct world *w, struct node *n, int64_t wait_ms)
{
  n->poll_ms = w->now_ms;
  n->wait_ms = wait_ms;
  /* A change made before the wait is answered at once, else it could be missed
     in every wait.  */
  n->misses = draw (w, 3) == 0 && w->revision <= n->set.stamp.version;
}

static void
poll_store (struct world *w, unsigned index)
{
  struct node *n = &w->nodes[index];
  int64_t now_ns = local_ns (w, n);
  struct confirm_group group = group_of (w, index);
  int64_t wait_ms = w->times.wait_ns / NS_PER_MS;
  bool watch = confirm_should_watch (&n->confirm, &group, &w->times,
                                     !n->suspended, now_ns);
  /* A watch that is resumed begins with a list.  */
  if (watch && n->suspended)
    n->listed = false;
  n->suspended = !watch && (n->listed || n->suspended);
  if (n->suspended)
    {
      n->healthy = false;
      n->poll_ms = -1;
      return;
    }
  if (n->poll_ms < 0)
    {
      if (w->now_ms < n->retry_ms || !reaches_store (w, n))
        return;
      if (!n->listed)
        take_from_store (w, index, now_ns);
      if (!n->listed)
        confirm_poll (w, index, now_ns);
      n->listed = true;
      n->healthy = true;
      begin_poll (w, n, wait_ms);
      return;
    }
  int64_t waited_ms = w->now_ms - n->poll_ms;
  bool changed = w->revision > n->set.stamp.version;
  bool ended = waited_ms >= n->wait_ms;
  if (waited_ms > MIN (n->wait_ms, wait_ms) + POLL_MARGIN_MS
      || (ended && !reaches_store (w, n)))
    {
      n->healthy = n->healthy && reaches_store (w, n);
      n->poll_ms = -1;
      n->retry_ms = w->now_ms + 50 + (int64_t)draw (w, 800);
    }
  else if (reaches_store (w, n) && (ended || (changed && !n->misses)))
    {
      n->healthy = true;
      take_from_store (w, index, now_ns - waited_ms * NS_PER_MS);
      confirm_poll (w, index, ended ? now_ns : n->confirm.own.at_ns);
      begin_poll (w, n, wait_ms);
    }
}

/* The world.  */

static void
start_node (struct world *w, unsigned index)
{
  struct node *n = &w->nodes[index];
  evacuations_init (&n->set, CLOSE_MS);
  n->set.has_others = true;
  n->listed = false;
  n->suspended = false;
  memset (n->offset_known, 0, sizeof n->offset_known);
  memset (n->reported_ns, 0, sizeof n->reported_ns);
  n->confirm = (struct confirm){ .version = 1 };
  n->healthy = false;
  n->poll_ms = -1;
  n->retry_ms = w->now_ms;
}

static struct world *
new_world (uint64_t seed, enum fault fault)
{
  struct world *w = calloc (1, sizeof *w);
  w->random = seed * 977 + 13;
  w->fault = fault;
  w->grouped = seed % 2 == 0;
  w->times = confirm_times (APPLY_MS);
  w->revision = 10;
  w->store_down = draw_span (w, 2, 9000);
  for (unsigned z = 0; z < ZONES; z++)
    {
      int64_t at_ms = 3000 + (int64_t)draw (w, 35000);
      /* An operator's write that the store acknowledged just before it went
         down for all is known to no node.  */
      if (at_ms > w->store_down.from_ms - 2500 && at_ms < w->store_down.to_ms)
        at_ms = w->store_down.to_ms;
      w->acknowledged_ms[z] = -1;
      w->changes_ms[z][0] = draw (w, 4) == 0 ? -1 : at_ms;
      w->changes_ms[z][1] = draw (w, 3) == 0
                                ? at_ms + 20 + (int64_t)draw (w, 400)
                                : at_ms + (int64_t)draw (w, 25000);
      if (w->changes_ms[z][1] > FAULTS_END_MS)
        w->changes_ms[z][1] = INT64_MAX;
    }
  struct span together = draw_span (w, 6, 20000);
  for (unsigned i = 0; i < NODES; i++)
    {
      struct node *n = &w->nodes[i];
      n->clock_offset_ns = (int64_t)draw (w, 1000000) * NS_PER_MS;
      w->stalls[i] = draw_span (w, 4, 1000);
      n->no_store = draw_span (w, 2, 20000);
      if (together.to_ms > 0)
        n->no_store = together;
      n->alone = draw_span (w, 3, 15000);
      n->down = draw_span (w, 3, 4000);
      n->paused = draw_span (w, 3, 8000);
      start_node (w, i);
    }
  return w;
}

static void
change_store (struct world *w)
{
  for (unsigned z = 0; z < ZONES; z++)
    for (unsigned k = 0; k < 2; k++)
      if (w->changes_ms[z][0] >= 0 && w->changes_ms[z][k] <= w->now_ms
          && w->changes_ms[z][k] > w->now_ms - STEP_MS)
        {
          w->revision++;
          w->acknowledged_ms[z] = k == 0 ? w->now_ms : -1;
        }
}

/* Whether node INDEX would send a request now that it must not send.  */
static bool
breaks_rule (const struct world *w, unsigned index)
{
  const struct node *n = &w->nodes[index];
  int64_t acknowledged_ms = w->acknowledged_ms[index % ZONES];
  enum evacuations_phase phase = evacuations_phase (
      &n->set, zone_name (index % ZONES), local_ns (w, n));
  bool sends = phase == EVACUATIONS_OPEN || phase == EVACUATIONS_CLOSING
               || (w->fault == RESTART_OPENS && n->set.stamp.version == 0);
  if (w->fault == SILENCE_IGNORED && phase == EVACUATIONS_UNKNOWN)
    sends = n->set.stamp.version != 0;
  return sends && acknowledged_ms >= 0
         && w->now_ms > acknowledged_ms + BOUND_MS;
}

/* A step of node INDEX.  The rule is checked first: a node that was paused
   may send before it reads what has arrived.  */
static bool
step_node (struct world *w, unsigned index)
{
  struct node *n = &w->nodes[index];
  if (in (&n->down, w->now_ms))
    {
      n->was_down = true;
      return true;
    }
  if (n->was_down)
    start_node (w, index);
  n->was_down = false;
  if (!runs (w, n))
    return true;
  if (breaks_rule (w, index))
    return false;
  poll_store (w, index);
  if ((w->now_ms / STEP_MS + index) % (STATE_MS / STEP_MS) == 0)
    broadcast (w, index);
  return true;
}

/* Whether the rule held, and every zone is in its right phase at the end.  */
static bool
run_world (uint64_t seed, enum fault fault, bool report)
{
  struct world *w = new_world (seed, fault);
  bool valid = true;
  for (; valid && w->now_ms < RUN_MS; w->now_ms += STEP_MS)
    {
      change_store (w);
      for (unsigned i = 0; valid && i < NODES; i++)
        valid = step_node (w, i);
      deliver (w);
    }
  for (unsigned i = 0; valid && i < NODES; i++)
    {
      bool evacuated = w->acknowledged_ms[i % ZONES] >= 0
                       && w->now_ms > w->acknowledged_ms[i % ZONES] + BOUND_MS;
      enum evacuations_phase phase = evacuations_phase (
          &w->nodes[i].set, zone_name (i % ZONES), local_ns (w, &w->nodes[i]));
      valid = phase == (evacuated ? EVACUATIONS_CLOSED : EVACUATIONS_OPEN);
      if (!valid && report)
        print_error ("node %u ends %s\n", i, evacuations_phase_name (phase));
    }
  if (!valid && report)
    print_error ("seed %u at %d ms\n", (unsigned)seed, (int)w->now_ms);
  free (w);
  return valid;
}

static void
nothing_starts_after_the_bound (void **state)
{
  const char *text = getenv ("EVACUATIONS_SEEDS");
  unsigned seeds
      = text == NULL ? CI_SEEDS : (unsigned)strtoul (text, NULL, 10);
  unsigned broken = 0;
  (void)state;
  for (unsigned seed = 1; seed <= seeds; seed++)
    broken += !run_world (seed, NO_FAULT, true);
  assert_int_equal (broken, 0);
}

static void
inserted_faults_are_found (void **state)
{
  (void)state;
  for (enum fault f = NO_FAULT + 1; f < FAULT_COUNT; f++)
    {
      unsigned seed = 1;
      while (seed <= FAULT_SEEDS && run_world (seed, f, false))
        seed++;
      print_message ("%s: found by seed %u\n", fault_names[f], seed);
      assert_true (seed <= FAULT_SEEDS);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (nothing_starts_after_the_bound),
    cmocka_unit_test (inserted_faults_are_found),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
