/* Balance and churn of a cell by policy and by the keys' shares, beside a hash
   ring and a modulo, through joins and losses; and 190 keys hot at once.

   The agents are those of the product over a fake clock, store and network.
   Each half second they are told the load that the keys they own bring, and
   the requests of these keys, so the loads are exact where a target's are
   measured.  Imbalance is the highest load over the mean.  */

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
/* An imbalance that counts as even.  */
#define HOT_EVEN 1.5

enum
{
  KEYS = 20000,
  MEMBERS = 16,
  ZONES = 4,
  EVENTS = 6, /* joins and losses in turn */
  START_STEPS = 160,
  EVENT_STEPS = 60,
  MEAN_LOAD = 50, /* hundredths of the capacity of MEMBERS */
  REQUESTS = 100000,
  VIRTUAL_NODES = 128,
  HOT_MEMBERS = 64,
  HOT_KEYS = 190,
  HOT_OWNERS = 19,
  HOT_LOAD = 12, /* hundredths of a member's capacity, each */
  HOT_BASE = 20, /* hundredths, of all other keys, at each member */
  HOT_STEPS = 60,
  COUNTED = 1000000,
  NAME_BYTES = 16
};

struct keys
{
  double load[KEYS]; /* hundredths of a member's capacity */
  char name[KEYS][NAME_BYTES];
  uint64_t hash[KEYS];
  uint32_t owner[KEYS]; /* incarnation, or number at the baselines */
  double total;
};

/* What one way of placing did.  */
struct outcome
{
  double worst; /* imbalance at the end of a phase */
  double sum;   /* of the imbalances at the ends */
  uint32_t phases;
  uint64_t moved; /* keys */
  double least;   /* keys that had to move */
  uint64_t idle;  /* keys moved by balancing in the last part of phases */
};

static struct keys keys;

static void
figure (const char *run, const char *name, double value, const char *unit)
{
  printf ("figure balance.%s.%s %.3f %s\n", run, name, value, unit);
  fflush (stdout);
}

/* Shares by Zipf's law with EXPONENT, 0: uniform, TOTAL together.  */
static void
fill_keys (double exponent, double total)
{
  double sum = 0;
  for (uint32_t i = 0; i < KEYS; i++)
    {
      snprintf (keys.name[i], NAME_BYTES, "key-%u", i);
      keys.hash[i] = XXH3_64bits (keys.name[i], strlen (keys.name[i]));
      keys.load[i] = pow (i + 1, -exponent);
      sum += keys.load[i];
    }
  for (uint32_t i = 0; i < KEYS; i++)
    keys.load[i] *= total / sum;
  keys.total = total;
}

static double
highest_key (void)
{
  double highest = 0;
  for (uint32_t i = 0; i < KEYS; i++)
    highest = fmax (highest, keys.load[i]);
  return highest;
}

/* Take OWNER as the owners from now on; the number that changed.  */
static uint32_t
take_owners (const uint32_t *owner)
{
  uint32_t moved = 0;
  for (uint32_t i = 0; i < KEYS; i++)
    moved += keys.owner[i] != owner[i];
  memcpy (keys.owner, owner, sizeof keys.owner);
  return moved;
}

static void
owners_of_cell (const struct cell *cell, uint32_t *owner)
{
  for (uint32_t i = 0; i < KEYS; i++)
    owner[i] = cell->slots[keys.hash[i] % cell->slot_count].owner;
  for (uint32_t i = 0; i < cell->pin_count; i++)
    owner[strtoul (cell->pins[i].key + strlen ("key-"), NULL, 10)]
        = cell->pins[i].owner;
}

/* The load of each agent of W by the present owners.  */
static void
loads_of_agents (struct world *w, double *load)
{
  for (uint32_t a = 0; a < world_count (w); a++)
    {
      uint32_t self
          = world_is_alive (w, a) ? agent_self (world_agent (w, a)) : 0;
      load[a] = 0;
      for (uint32_t i = 0; i < KEYS && self != 0; i++)
        if (keys.owner[i] == self)
          load[a] += keys.load[i];
    }
}

static double
imbalance (struct world *w, const double *load)
{
  double most = 0;
  uint32_t alive = 0;
  for (uint32_t a = 0; a < world_count (w); a++)
    {
      most = fmax (most, load[a]);
      alive += world_is_alive (w, a);
    }
  return most * alive / keys.total;
}

static void
tell_agent (struct world *w, uint32_t a, double load)
{
  struct agent *agent = world_agent (w, a);
  double rest = 0;
  agent_set_load (agent, load < 1 ? 1 : (uint16_t)lround (load));
  for (uint32_t i = 0; i < KEYS; i++)
    {
      double requests = keys.load[i] * REQUESTS / keys.total;
      if (keys.owner[i] != agent_self (agent))
        continue;
      if (requests >= 1)
        agent_count_key (agent, keys.name[i], strlen (keys.name[i]),
                         (uint32_t)requests);
      else
        rest += requests;
    }
  agent_count_key (agent, "", 0, (uint32_t)rest);
}

/* Run half a second; the keys that moved in it.  */
static uint32_t
step (struct world *w, double *load)
{
  static uint32_t owner[KEYS];
  for (uint32_t a = 0; a < world_count (w); a++)
    if (world_is_alive (w, a) && agent_self (world_agent (w, a)) != 0)
      tell_agent (w, a, load[a]);
  world_run (w, world_now (w) + STEP_NS);
  owners_of_cell (world_document (w), owner);
  uint32_t moved = take_owners (owner);
  loads_of_agents (w, load);
  return moved;
}

static void
run_phase (struct world *w, uint32_t steps, struct outcome *o)
{
  double load[WORLD_AGENTS_MAX] = { 0 };
  loads_of_agents (w, load);
  for (uint32_t i = 0; i < steps; i++)
    {
      uint32_t moved = step (w, load);
      o->moved += moved;
      if (i >= steps - steps / 4)
        o->idle += moved;
    }
  double now = imbalance (w, load);
  o->worst = fmax (o->worst, now);
  o->sum += now;
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
print_outcome (const char *run, const struct outcome *o)
{
  figure (run, "imbalance_mean", o->sum / o->phases, "ratio");
  figure (run, "imbalance_worst", o->worst, "ratio");
  figure (run, "moved_keys", (double)o->moved, "keys");
  figure (run, "churn", (double)o->moved / o->least, "ratio");
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
  struct outcome start = { 0 };
  struct outcome o = { 0 };
  run_phase (w, START_STEPS, &start);
  for (uint32_t e = 0; e < EVENTS; e++)
    {
      if (e % 2 == 0)
        {
          world_add (w);
          o.least += KEYS / (double)(MEMBERS + 1);
        }
      else
        {
          o.least += keys_owned (agent_self (world_agent (w, e)));
          world_kill (w, e);
        }
      run_phase (w, EVENT_STEPS, &o);
    }
  print_outcome (run, &o);
  figure (run, "moved_late", (double)o.idle, "keys");
  figure (run, "pins", world_document (w)->pin_count, "pins");
  world_free (w);
}

/* The baselines: which of the members LIVE gets KEY.  */

static uint32_t
by_modulo (uint64_t hash, const uint32_t *live, uint32_t count)
{
  return live[hash % count];
}

static uint32_t
by_ring (uint64_t hash, const uint32_t *live, uint32_t count)
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
place_all (owner_fn *by, const uint32_t *live, uint32_t count,
           struct outcome *o)
{
  static uint32_t owner[KEYS];
  double load[MEMBERS + EVENTS] = { 0 };
  double most = 0;
  for (uint32_t i = 0; i < KEYS; i++)
    {
      owner[i] = by (keys.hash[i], live, count);
      load[owner[i]] += keys.load[i];
    }
  o->moved += take_owners (owner);
  for (uint32_t i = 0; i < MEMBERS + EVENTS; i++)
    most = fmax (most, load[i]);
  o->worst = fmax (o->worst, most * count / keys.total);
  o->sum += most * count / keys.total;
  o->phases++;
}

static void
bench_baseline (const char *run, owner_fn *by)
{
  uint32_t live[MEMBERS + EVENTS];
  uint32_t count = MEMBERS;
  struct outcome start = { 0 };
  struct outcome o = { 0 };
  for (uint32_t i = 0; i < MEMBERS; i++)
    live[i] = i;
  place_all (by, live, count, &start);
  for (uint32_t e = 0; e < EVENTS; e++)
    {
      if (e % 2 == 0)
        {
          live[count++] = MEMBERS + e / 2;
          o.least += KEYS / (double)(MEMBERS + 1);
        }
      else
        {
          o.least += keys_owned (e);
          uint32_t at = 0;
          while (live[at] != e)
            at++;
          memmove (&live[at], &live[at + 1], (--count - at) * sizeof live[0]);
        }
      place_all (by, live, count, &o);
    }
  print_outcome (run, &o);
}

static void
bench_shares (const char *shares, double exponent)
{
  char run[64];
  fill_keys (exponent, (double)MEAN_LOAD * MEMBERS);
  snprintf (run, sizeof run, "%s", shares);
  figure (run, "highest_key", highest_key () / MEAN_LOAD, "mean_loads");
  snprintf (run, sizeof run, "%s.unavailable-time-first", shares);
  bench_policy (run, POLICY_UNAVAILABLE_TIME_FIRST);
  snprintf (run, sizeof run, "%s.imbalance-first", shares);
  bench_policy (run, POLICY_IMBALANCE_FIRST);
  snprintf (run, sizeof run, "%s.ring", shares);
  bench_baseline (run, by_ring);
  snprintf (run, sizeof run, "%s.modulo", shares);
  bench_baseline (run, by_modulo);
}

/* Ten keys of each of HOT_OWNERS members become hot in the same moment.  */
static void
heat_keys (struct world *w)
{
  uint32_t left[HOT_OWNERS];
  uint32_t hot = 0;
  for (uint32_t a = 0; a < HOT_OWNERS; a++)
    left[a] = HOT_KEYS / HOT_OWNERS;
  for (uint32_t i = 0; i < KEYS; i++)
    for (uint32_t a = 0; a < HOT_OWNERS; a++)
      if (left[a] > 0 && keys.owner[i] == agent_self (world_agent (w, a)))
        {
          left[a]--;
          keys.load[i] = HOT_LOAD;
          hot++;
        }
  keys.total += (double)hot * HOT_LOAD;
  figure ("hot", "keys", hot, "keys");
}

static void
bench_hot (void)
{
  struct outcome o = { 0 };
  double load[WORLD_AGENTS_MAX] = { 0 };
  fill_keys (0, (double)HOT_BASE * HOT_MEMBERS);
  struct world *w = make_world (POLICY_UNAVAILABLE_TIME_FIRST, HOT_MEMBERS);
  run_phase (w, START_STEPS, &o);
  heat_keys (w);
  loads_of_agents (w, load);
  figure ("hot", "imbalance_before", imbalance (w, load), "ratio");
  double last_s = 0;
  double even_s = 0;
  uint32_t moved = 0;
  for (uint32_t i = 0; i < HOT_STEPS; i++)
    {
      uint32_t now = step (w, load);
      moved += now;
      double s = (i + 1) * (double)STEP_NS / NS_PER_S;
      if (now > 0)
        last_s = s;
      if (even_s == 0 && imbalance (w, load) <= HOT_EVEN)
        even_s = s;
    }
  figure ("hot", "imbalance_after", imbalance (w, load), "ratio");
  figure ("hot", "moved_keys", moved, "keys");
  figure ("hot", "pins", world_document (w)->pin_count, "pins");
  figure ("hot", "even_after", even_s, "s");
  figure ("hot", "last_move", last_s, "s");
  world_free (w);
}

static int64_t
processor_ns (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return t.tv_sec * NS_PER_S + t.tv_nsec;
}

static void
drop_count (void *arg, const char *key, size_t length, uint32_t requests)
{
  (void)arg;
  (void)key;
  (void)length;
  (void)requests;
}

/* The cost of counting one request, with every key as likely as another:
   nearly all miss the sketch, its worst case; and of reading the meter.  */
static void
bench_count (void)
{
  struct hot_meter *m = hot_meter_new (1);
  int64_t from_ns = processor_ns ();
  for (uint32_t i = 0; i < COUNTED; i++)
    hot_meter_count (m, keys.name[keys.hash[i % KEYS] % KEYS]);
  int64_t counted_ns = processor_ns ();
  hot_meter_collect (m, NS_PER_S, drop_count, NULL);
  figure ("count", "request", (double)(counted_ns - from_ns) / COUNTED, "ns");
  figure ("count", "read", (double)(processor_ns () - counted_ns), "ns");
  hot_meter_free (m);
}

int
main (void)
{
  bench_hot ();
  bench_count ();
  bench_shares ("uniform", 0);
  bench_shares ("zipf", 1.0);
  return 0;
}
