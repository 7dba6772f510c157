/* Compares the balance and the churn of a cell under each placement policy
   with consistent hashing and with modulo placement, for uniform and Zipf key
   popularity, while members join and fail.  Also measures how a cell
   rebalances when 190 keys become hot at the same moment.

   The agents are the production code on a simulated clock, store and network.
   Every half second each agent is given the exact load and request counts of
   the keys that it owns; a real target's load is measured.  Imbalance is the
   highest member load divided by the mean.  */

#include "base/clock.h"
#include "lib/own_world.h"
#include "own/hot_meter.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

#define STEP_NS (NS_PER_S / 2)
/* The cell counts as balanced again at or below this imbalance.  */
#define HOT_BALANCED_RATIO 1.5

enum
{
  KEYS = 20000,
  MEMBERS = 16,
  ZONES = 4,
  MEMBERSHIP_EVENTS = 6, /* joins and failures alternate */
  WARM_UP_STEPS = 160,
  PHASE_STEPS = 60,
  MEAN_LOAD_PCT = 50, /* percent of the capacity of MEMBERS */
  STEP_REQUESTS = 100000,
  VIRTUAL_NODES = 128,
  HOT_MEMBERS = 64,
  HOT_KEYS = 190,
  HOT_OWNERS = 19,
  HOT_KEY_LOAD_PCT = 12,  /* of each hot key, percent of a member's capacity */
  HOT_BASE_LOAD_PCT = 20, /* of the other keys of each member */
  HOT_STEPS = 60,
  COUNTED_REQUESTS = 1000000,
  NAME_BYTES = 16
};

struct key_table
{
  double load_pct[KEYS]; /* percent of a member's capacity */
  char name[KEYS][NAME_BYTES];
  uint64_t hash[KEYS];
  uint32_t owner[KEYS]; /* incarnation, or member index for the baselines */
  double total_load_pct;
};

/* Imbalance and key moves under one placement method.  */
struct placement_result
{
  double imbalance_worst; /* highest at the end of a phase */
  double imbalance_sum;   /* over the ends of all phases */
  uint32_t phases;
  uint64_t moved_keys;
  double required_moves; /* keys that any placement must move */
  uint64_t late_moves;   /* keys moved in the last quarter of a phase */
};

static struct key_table keys;

static void
print_figure (const char *run, const char *name, double value,
              const char *unit)
{
  printf ("figure balance.%s.%s %.3f %s\n", run, name, value, unit);
  fflush (stdout);
}

/* Gives the keys a Zipf distribution with EXPONENT (0 is uniform) whose loads
   add up to TOTAL_LOAD_PCT.  */
static void
init_keys (double exponent, double total_load_pct)
{
  double sum = 0;
  for (uint32_t i = 0; i < KEYS; i++)
    {
      snprintf (keys.name[i], NAME_BYTES, "key-%u", i);
      keys.hash[i] = XXH3_64bits (keys.name[i], strlen (keys.name[i]));
      keys.load_pct[i] = pow (i + 1, -exponent);
      sum += keys.load_pct[i];
    }
  for (uint32_t i = 0; i < KEYS; i++)
    keys.load_pct[i] *= total_load_pct / sum;
  keys.total_load_pct = total_load_pct;
}

static double
highest_key_load (void)
{
  double highest = 0;
  for (uint32_t i = 0; i < KEYS; i++)
    highest = fmax (highest, keys.load_pct[i]);
  return highest;
}

/* Stores OWNER as the current owners; returns how many keys changed owner.  */
static uint32_t
update_owners (const uint32_t *owner)
{
  uint32_t moved = 0;
  for (uint32_t i = 0; i < KEYS; i++)
    moved += keys.owner[i] != owner[i];
  memcpy (keys.owner, owner, sizeof keys.owner);
  return moved;
}

static void
read_owners (const struct cell *cell, uint32_t *owner)
{
  for (uint32_t i = 0; i < KEYS; i++)
    owner[i] = cell->slots[keys.hash[i] % cell->slot_count].owner;
  for (uint32_t i = 0; i < cell->pin_count; i++)
    owner[strtoul (cell->pins[i].key + strlen ("key-"), NULL, 10)]
        = cell->pins[i].owner;
}

/* Computes the load of each agent of W from the current owners.  */
static void
compute_agent_loads (struct world *w, double *load)
{
  for (uint32_t a = 0; a < world_count (w); a++)
    {
      uint32_t self
          = world_is_alive (w, a) ? agent_self (world_agent (w, a)) : 0;
      load[a] = 0;
      for (uint32_t i = 0; i < KEYS && self != 0; i++)
        if (keys.owner[i] == self)
          load[a] += keys.load_pct[i];
    }
}

static double
imbalance (struct world *w, const double *load)
{
  double highest = 0;
  uint32_t alive = 0;
  for (uint32_t a = 0; a < world_count (w); a++)
    {
      highest = fmax (highest, load[a]);
      alive += world_is_alive (w, a);
    }
  return highest * alive / keys.total_load_pct;
}

static void
report_load (struct world *w, uint32_t a, double load)
{
  struct agent *agent = world_agent (w, a);
  double other_requests = 0;
  agent_set_load (agent, load < 1 ? 1 : (uint16_t)lround (load));
  for (uint32_t i = 0; i < KEYS; i++)
    {
      double requests = keys.load_pct[i] * STEP_REQUESTS / keys.total_load_pct;
      if (keys.owner[i] != agent_self (agent))
        continue;
      if (requests >= 1)
        agent_count_key (agent, keys.name[i], strlen (keys.name[i]),
                         (uint32_t)requests);
      else
        other_requests += requests;
    }
  agent_count_key (agent, "", 0, (uint32_t)other_requests);
}

/* Simulates half a second; returns how many keys changed owner.  */
static uint32_t
run_step (struct world *w, double *load)
{
  static uint32_t owner[KEYS];
  for (uint32_t a = 0; a < world_count (w); a++)
    if (world_is_alive (w, a) && agent_self (world_agent (w, a)) != 0)
      report_load (w, a, load[a]);
  world_run (w, world_now (w) + STEP_NS);
  read_owners (world_document (w), owner);
  uint32_t moved = update_owners (owner);
  compute_agent_loads (w, load);
  return moved;
}

static void
run_phase (struct world *w, uint32_t steps, struct placement_result *o)
{
  double load[WORLD_AGENTS_MAX] = { 0 };
  compute_agent_loads (w, load);
  for (uint32_t i = 0; i < steps; i++)
    {
      uint32_t moved = run_step (w, load);
      o->moved_keys += moved;
      if (i >= steps - steps / 4)
        o->late_moves += moved;
    }
  double imbalance_now = imbalance (w, load);
  o->imbalance_worst = fmax (o->imbalance_worst, imbalance_now);
  o->imbalance_sum += imbalance_now;
  o->phases++;
}

static uint32_t
keys_owned (uint32_t owner)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < KEYS; i++)
    count += keys.owner[i] == owner;
  return count;
}

static void
print_result (const char *run, const struct placement_result *o)
{
  print_figure (run, "imbalance_mean", o->imbalance_sum / o->phases, "ratio");
  print_figure (run, "imbalance_worst", o->imbalance_worst, "ratio");
  print_figure (run, "moved_keys", (double)o->moved_keys, "keys");
  print_figure (run, "churn", (double)o->moved_keys / o->required_moves,
                "ratio");
}

static struct world *
make_world (enum settings_policy policy, uint32_t members)
{
  struct world_config config = { .seed = 5,
                                 .slots = CELL_SLOTS_MAX,
                                 .zones = ZONES,
                                 .datagram_delay_ns = NS_PER_MS / 2,
                                 .store_delay_ns = 2 * NS_PER_MS,
                                 .drift_ppm = 100,
                                 .policy = policy };
  struct world *w = world_new (&config);
  for (uint32_t i = 0; i < members; i++)
    {
      world_add (w);
      world_run (w, world_now (w) + 100 * NS_PER_MS);
    }
  return w;
}

static void
bench_policy (const char *run, enum settings_policy policy)
{
  struct world *w = make_world (policy, MEMBERS);
  struct placement_result start = { 0 };
  struct placement_result o = { 0 };
  run_phase (w, WARM_UP_STEPS, &start);
  for (uint32_t e = 0; e < MEMBERSHIP_EVENTS; e++)
    {
      if (e % 2 == 0)
        {
          world_add (w);
          o.required_moves += KEYS / (double)(MEMBERS + 1);
        }
      else
        {
          o.required_moves += keys_owned (agent_self (world_agent (w, e)));
          world_kill (w, e);
        }
      run_phase (w, PHASE_STEPS, &o);
    }
  print_result (run, &o);
  print_figure (run, "moved_late", (double)o.late_moves, "keys");
  print_figure (run, "pins", world_document (w)->pin_count, "pins");
  world_free (w);
}

/* The baselines.  Each returns the member of LIVE that owns the key with
   HASH.  */

static uint32_t
owner_by_modulo (uint64_t hash, const uint32_t *live, uint32_t count)
{
  return live[hash % count];
}

static uint32_t
owner_by_ring (uint64_t hash, const uint32_t *live, uint32_t count)
{
  uint64_t nearest = UINT64_MAX;
  uint32_t best = live[0];
  for (uint32_t i = 0; i < count; i++)
    for (uint64_t v = 0; v < VIRTUAL_NODES; v++)
      {
        uint64_t id[2] = { live[i], v };
        uint64_t distance = XXH3_64bits (id, sizeof id) - hash;
        if (distance < nearest)
          {
            nearest = distance;
            best = live[i];
          }
      }
  return best;
}

typedef uint32_t owner_fn (uint64_t hash, const uint32_t *live,
                           uint32_t count);

static void
place_keys (owner_fn *find_owner, const uint32_t *live, uint32_t count,
            struct placement_result *o)
{
  static uint32_t owner[KEYS];
  double load[MEMBERS + MEMBERSHIP_EVENTS] = { 0 };
  double highest = 0;
  for (uint32_t i = 0; i < KEYS; i++)
    {
      owner[i] = find_owner (keys.hash[i], live, count);
      load[owner[i]] += keys.load_pct[i];
    }
  o->moved_keys += update_owners (owner);
  for (uint32_t i = 0; i < MEMBERS + MEMBERSHIP_EVENTS; i++)
    highest = fmax (highest, load[i]);
  o->imbalance_worst
      = fmax (o->imbalance_worst, highest * count / keys.total_load_pct);
  o->imbalance_sum += highest * count / keys.total_load_pct;
  o->phases++;
}

static void
bench_baseline (const char *run, owner_fn *find_owner)
{
  uint32_t live[MEMBERS + MEMBERSHIP_EVENTS];
  uint32_t count = MEMBERS;
  struct placement_result start = { 0 };
  struct placement_result o = { 0 };
  for (uint32_t i = 0; i < MEMBERS; i++)
    live[i] = i;
  place_keys (find_owner, live, count, &start);
  for (uint32_t e = 0; e < MEMBERSHIP_EVENTS; e++)
    {
      if (e % 2 == 0)
        {
          live[count++] = MEMBERS + e / 2;
          o.required_moves += KEYS / (double)(MEMBERS + 1);
        }
      else
        {
          o.required_moves += keys_owned (e);
          uint32_t position = 0;
          while (live[position] != e)
            position++;
          memmove (&live[position], &live[position + 1],
                   (--count - position) * sizeof live[0]);
        }
      place_keys (find_owner, live, count, &o);
    }
  print_result (run, &o);
}

static void
bench_distribution (const char *distribution, double exponent)
{
  char run[64];
  init_keys (exponent, (double)MEAN_LOAD_PCT * MEMBERS);
  snprintf (run, sizeof run, "%s", distribution);
  print_figure (run, "highest_key", highest_key_load () / MEAN_LOAD_PCT,
                "mean_loads");
  snprintf (run, sizeof run, "%s.unavailable-time-first", distribution);
  bench_policy (run, POLICY_UNAVAILABLE_TIME_FIRST);
  snprintf (run, sizeof run, "%s.imbalance-first", distribution);
  bench_policy (run, POLICY_IMBALANCE_FIRST);
  snprintf (run, sizeof run, "%s.ring", distribution);
  bench_baseline (run, owner_by_ring);
  snprintf (run, sizeof run, "%s.modulo", distribution);
  bench_baseline (run, owner_by_modulo);
}

/* Makes ten keys of each of HOT_OWNERS members hot at the same moment.  */
static void
make_keys_hot (struct world *w)
{
  uint32_t remaining[HOT_OWNERS];
  uint32_t hot = 0;
  for (uint32_t a = 0; a < HOT_OWNERS; a++)
    remaining[a] = HOT_KEYS / HOT_OWNERS;
  for (uint32_t i = 0; i < KEYS; i++)
    for (uint32_t a = 0; a < HOT_OWNERS; a++)
      if (remaining[a] > 0 && keys.owner[i] == agent_self (world_agent (w, a)))
        {
          remaining[a]--;
          keys.load_pct[i] = HOT_KEY_LOAD_PCT;
          hot++;
        }
  keys.total_load_pct += (double)hot * HOT_KEY_LOAD_PCT;
  print_figure ("hot", "keys", hot, "keys");
}

static void
bench_hot (void)
{
  struct placement_result o = { 0 };
  double load[WORLD_AGENTS_MAX] = { 0 };
  init_keys (0, (double)HOT_BASE_LOAD_PCT * HOT_MEMBERS);
  struct world *w = make_world (POLICY_UNAVAILABLE_TIME_FIRST, HOT_MEMBERS);
  run_phase (w, WARM_UP_STEPS, &o);
  make_keys_hot (w);
  compute_agent_loads (w, load);
  print_figure ("hot", "imbalance_before", imbalance (w, load), "ratio");
  double last_move_s = 0;
  double balanced_s = 0;
  uint32_t moved = 0;
  for (uint32_t i = 0; i < HOT_STEPS; i++)
    {
      uint32_t step_moved = run_step (w, load);
      moved += step_moved;
      double elapsed_s = (i + 1) * (double)STEP_NS / NS_PER_S;
      if (step_moved > 0)
        last_move_s = elapsed_s;
      if (balanced_s == 0 && imbalance (w, load) <= HOT_BALANCED_RATIO)
        balanced_s = elapsed_s;
    }
  print_figure ("hot", "imbalance_after", imbalance (w, load), "ratio");
  print_figure ("hot", "moved_keys", moved, "keys");
  print_figure ("hot", "pins", world_document (w)->pin_count, "pins");
  print_figure ("hot", "even_after", balanced_s, "s");
  print_figure ("hot", "last_move", last_move_s, "s");
  world_free (w);
}

static int64_t
cpu_time_ns (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return t.tv_sec * NS_PER_S + t.tv_nsec;
}

static void
ignore_count (void *arg, const char *key, size_t length, uint32_t requests)
{
  (void)arg;
  (void)key;
  (void)length;
  (void)requests;
}

/* Measures the processor time to count one request and to read the meter.  The
   keys are uniform, so that nearly every request misses the sketch, which is
   its worst case.  */
static void
bench_hot_meter (void)
{
  struct hot_meter *m = hot_meter_new (1);
  int64_t started_at_ns = cpu_time_ns ();
  for (uint32_t i = 0; i < COUNTED_REQUESTS; i++)
    hot_meter_count (m, keys.name[keys.hash[i % KEYS] % KEYS]);
  int64_t counted_at_ns = cpu_time_ns ();
  hot_meter_collect (m, NS_PER_S, ignore_count, NULL);
  print_figure ("count", "request",
                (double)(counted_at_ns - started_at_ns) / COUNTED_REQUESTS,
                "ns");
  print_figure ("count", "read", (double)(cpu_time_ns () - counted_at_ns),
                "ns");
  hot_meter_free (m);
}

int
main (void)
{
  bench_hot ();
  bench_hot_meter ();
  bench_distribution ("uniform", 0);
  bench_distribution ("zipf", 1.0);
  return 0;
}
