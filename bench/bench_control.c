/* Measures the cost of the control plane and the time of takeovers by the size
   of the cell.

   The agents are the production code on a simulated clock, network (0.5 ms one
   way) and store (2 ms one way).  The times hold for these delays.  The
   processor time covers the decisions only, without system calls.  */

#include "base/clock.h"
#include "lib/own_world.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SETTLE_NS (60 * NS_PER_S)
#define STEADY_NS (10 * NS_PER_S)
#define TAKEOVER_LIMIT_NS (20 * NS_PER_S)
#define STORE_OUTAGE_NS (5 * NS_PER_S)
#define RECOVERY_NS (15 * NS_PER_S)

enum
{
  ZONES = 4,
  ROUNDS = 8,
  MEDIUM_CELL = 16
};

static const uint32_t sizes[] = { 4, 16, 64, 128 };

enum loss
{
  LOSS_MEMBER,
  LOSS_MEMBER_AND_GUARDIAN,
  LOSS_IN_STORE_OUTAGE,
  LOSS_ZONE, /* last, because recovery from it is slow */
  LOSS_KINDS
};

static const char *const loss_names[LOSS_KINDS]
    = { "one", "guardian", "outage", "zone" };

struct takeover_result
{
  int64_t takeover_ns; /* -1 if it exceeded TAKEOVER_LIMIT_NS */
  uint64_t reads;
  uint64_t writes;
  double churn; /* changed slots divided by slots of lost members */
};

static void
print_figure (const char *name, uint32_t size, double value, const char *unit)
{
  printf ("figure %s_%u %.3f %s\n", name, size, value, unit);
  fflush (stdout);
}

static struct world *
make_world (uint64_t seed, uint32_t size)
{
  struct world_config config = { .seed = seed,
                                 .slots = CELL_SLOTS_MAX,
                                 .zones = ZONES,
                                 .datagram_delay_ns = NS_PER_MS / 2,
                                 .store_delay_ns = 2 * NS_PER_MS,
                                 .drift_ppm = 100,
                                 .policy = POLICY_IMBALANCE_FIRST,
                                 .measure_cpu = true };
  struct world *w = world_new (&config);
  for (uint32_t i = 0; i < size; i++)
    {
      world_add (w);
      world_run (w, world_now (w) + 100 * NS_PER_MS);
    }
  world_run (w, world_now (w) + SETTLE_NS);
  return w;
}

static void
bench_steady (struct world *w, uint32_t size)
{
  uint64_t reads;
  uint64_t writes;
  uint64_t bytes;
  uint64_t datagrams;
  world_store_calls (w, &reads, &writes);
  world_traffic (w, &bytes, &datagrams);
  world_cpu_ns (w);
  world_run (w, world_now (w) + STEADY_NS);
  world_store_calls (w, &reads, &writes);
  world_traffic (w, &bytes, &datagrams);
  double node_seconds = (double)size * STEADY_NS / NS_PER_S;
  /* Each datagram counts twice: at its sender and at its receiver.  */
  print_figure ("lease_bytes", size, 2 * (double)bytes / node_seconds,
                "B/s/node_in_and_out");
  print_figure ("lease_messages", size, 2 * (double)datagrams / node_seconds,
                "1/s/node_in_and_out");
  print_figure ("decision_time", size,
                (double)world_cpu_ns (w) / node_seconds / 1e7,
                "%_of_a_core/node");
  print_figure ("steady_store_calls", size,
                (double)(reads + writes) * NS_PER_S / STEADY_NS, "1/s/cell");
}

static uint32_t
find_agent (struct world *w, uint32_t incarnation)
{
  for (uint32_t i = 0; i < world_count (w); i++)
    if (world_is_alive (w, i)
        && agent_self (world_agent (w, i)) == incarnation)
      return i;
  return 0;
}

static void
inject_loss (struct world *w, enum loss kind, uint32_t victim)
{
  const struct cell *cell = world_document (w);
  const struct cell_member *member
      = cell_member (cell, agent_self (world_agent (w, victim)));
  if (kind == LOSS_MEMBER_AND_GUARDIAN)
    world_kill (w, find_agent (w, member->guardian));
  if (kind == LOSS_IN_STORE_OUTAGE)
    world_faults (w)->store_down = true;
  if (kind == LOSS_ZONE)
    for (uint32_t i = 0; i < world_count (w); i++)
      if (i != victim && i % ZONES == victim % ZONES)
        world_kill (w, i);
  world_kill (w, victim);
}

static double
churn (const struct cell *before, const struct cell *after)
{
  uint32_t lost = 0;
  uint32_t changed = 0;
  for (uint32_t s = 0; s < before->slot_count; s++)
    {
      uint32_t owner = before->slots[s].owner;
      lost += cell_member_index (after, owner) == MEMBER_NONE;
      changed += owner != after->slots[s].owner;
    }
  return lost == 0 ? 0 : (double)changed / lost;
}

static struct takeover_result
run_loss (struct world *w, enum loss kind)
{
  struct takeover_result result;
  world_run (w, world_now (w) + (int64_t)world_random (w, 133 * NS_PER_MS));
  struct cell *before = cell_copy (world_document (w));
  world_store_calls (w, &result.reads, &result.writes);
  inject_loss (w, kind, (uint32_t)world_random (w, world_count (w)));
  if (kind == LOSS_IN_STORE_OUTAGE)
    {
      world_run (w, world_now (w) + STORE_OUTAGE_NS);
      world_faults (w)->store_down = false;
    }
  result.takeover_ns = world_run_until_served (w, TAKEOVER_LIMIT_NS);
  world_run (w, world_now (w) + NS_PER_S);
  world_store_calls (w, &result.reads, &result.writes);
  result.churn = churn (before, world_document (w));
  free (before);
  return result;
}

/* Restarts the lost members and gives the slots RECOVERY_NS to rebalance.  */
static void
restart_lost_members (struct world *w)
{
  for (uint32_t i = 0; i < world_count (w); i++)
    if (!world_is_alive (w, i))
      world_restart (w, i);
  world_run (w, world_now (w) + RECOVERY_NS);
}

static void
bench_join (struct world *w, uint32_t size)
{
  uint64_t reads;
  uint64_t writes;
  world_store_calls (w, &reads, &writes);
  world_document_bytes (w);
  world_kill (w, 0);
  world_run (w, world_now (w) + STEADY_NS);
  world_store_calls (w, &reads, &writes);
  world_document_bytes (w);
  restart_lost_members (w);
  world_store_calls (w, &reads, &writes);
  print_figure ("join_reads", size, (double)reads, "calls");
  print_figure ("join_writes", size, (double)writes, "calls");
  print_figure ("join_document_bytes", size,
                (double)world_document_bytes (w) / size / 1e3, "kB/node");
  size_t length = 0;
  char *json = cell_format (world_document (w), &length);
  print_figure ("document", size, (double)length / 1e3, "kB");
  free (json);
}

static int
compare_ns (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;
  return (x > y) - (x < y);
}

/* Large cells run fewer rounds: a large zone that joins again changes the
   document a thousand times.  */
static uint32_t
round_count (uint32_t size, enum loss kind)
{
  if (size <= MEDIUM_CELL)
    return ROUNDS;
  return kind == LOSS_ZONE ? 1 : ROUNDS / 2;
}

static void
bench_loss (struct world *w, uint32_t size, enum loss kind)
{
  int64_t takeover_ns[ROUNDS] = { 0 };
  double reads = 0;
  double writes = 0;
  double churn_worst = 0;
  uint32_t rounds = round_count (size, kind);
  char name[64];
  for (uint32_t r = 0; r < rounds; r++)
    {
      struct takeover_result result = run_loss (w, kind);
      takeover_ns[r]
          = result.takeover_ns < 0 ? TAKEOVER_LIMIT_NS : result.takeover_ns;
      reads += (double)result.reads;
      writes += (double)result.writes;
      if (result.churn > churn_worst)
        churn_worst = result.churn;
      if (r + 1 < rounds || kind != LOSS_ZONE)
        restart_lost_members (w);
    }
  uint32_t median = rounds / 2;
  qsort (takeover_ns, rounds, sizeof takeover_ns[0], compare_ns);
  snprintf (name, sizeof name, "takeover_%s_median", loss_names[kind]);
  print_figure (name, size, (double)takeover_ns[median] / 1e6, "ms");
  snprintf (name, sizeof name, "takeover_%s_worst", loss_names[kind]);
  print_figure (name, size, (double)takeover_ns[rounds - 1] / 1e6, "ms");
  snprintf (name, sizeof name, "takeover_%s_reads", loss_names[kind]);
  print_figure (name, size, reads / rounds, "calls");
  snprintf (name, sizeof name, "takeover_%s_writes", loss_names[kind]);
  print_figure (name, size, writes / rounds, "calls");
  snprintf (name, sizeof name, "takeover_%s_churn", loss_names[kind]);
  print_figure (name, size, churn_worst, "changed_over_lost_worst");
}

static size_t
heap_bytes_in_use (const struct mallinfo2 *info)
{
  return info->uordblks + info->hblkhd;
}

int
main (void)
{
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      struct mallinfo2 before = mallinfo2 ();
      struct world *w = make_world (sizes[i], sizes[i]);
      struct mallinfo2 after = mallinfo2 ();
      print_figure (
          "memory", sizes[i],
          (double)(heap_bytes_in_use (&after) - heap_bytes_in_use (&before))
              / sizes[i] / 1e6,
          "MB/node_with_the_harness");
      bench_steady (w, sizes[i]);
      bench_join (w, sizes[i]);
      for (int kind = 0; kind < LOSS_KINDS; kind++)
        bench_loss (w, sizes[i], (enum loss)kind);
      world_free (w);
    }
  return 0;
}
