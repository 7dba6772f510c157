/* Measures a cell's document by the size of the cell: its length, and the
   store calls and document bytes of one planned restart until the slots are
   rebalanced.  The agents are the production code on a simulated clock, store
   and network.  */

#include "base/clock.h"
#include "lib/own_world.h"

#include <stdio.h>
#include <stdlib.h>

#define STEP_NS (100 * NS_PER_MS)
#define SETTLE_NS (30 * NS_PER_S)

enum
{
  ZONES = 4,
  RESTARTS = 4
};

static const uint32_t sizes[] = { 4, 16, 32, 64 };

static void
print_figure (const char *name, uint32_t size, double value, const char *unit)
{
  printf ("figure %s_%u %.1f %s\n", name, size, value, unit);
  fflush (stdout);
}

static struct world *
make_world (uint32_t size)
{
  struct world_config config = { .seed = size,
                                 .slots = CELL_SLOTS_MAX,
                                 .zones = ZONES,
                                 .datagram_delay_ns = NS_PER_MS / 2,
                                 .store_delay_ns = 2 * NS_PER_MS,
                                 .drift_ppm = 100,
                                 .policy = POLICY_UNAVAILABLE_TIME_FIRST };
  struct world *w = world_new (&config);
  for (uint32_t i = 0; i < size; i++)
    {
      world_add (w);
      world_run (w, world_now (w) + STEP_NS);
    }
  world_run (w, world_now (w) + SETTLE_NS);
  return w;
}

static void
bench_document_size (struct world *w, uint32_t size)
{
  size_t length = 0;
  char *json = cell_format (world_document (w), &length);
  print_figure ("document_bytes", size, (double)length, "B");
  free (json);
}

/* Members leave one after the other; each then restarts and joins as a new
   incarnation.  */
static void
bench_restarts (struct world *w, uint32_t size)
{
  uint64_t reads;
  uint64_t writes;
  world_store_calls (w, &reads, &writes);
  world_document_bytes (w);
  for (uint32_t i = 0; i < RESTARTS; i++)
    {
      agent_leave (world_agent (w, i), world_local_now (w, i));
      world_run (w, world_now (w) + 2 * NS_PER_S);
      world_kill (w, i);
      world_restart (w, i);
      world_run (w, world_now (w) + SETTLE_NS);
    }
  world_store_calls (w, &reads, &writes);
  print_figure ("restart_writes", size, (double)writes / RESTARTS,
                "calls/restart");
  print_figure ("restart_reads", size, (double)reads / RESTARTS,
                "calls/restart");
  print_figure ("restart_document_bytes", size,
                (double)world_document_bytes (w) / RESTARTS / size,
                "B/node/restart_in_the_cell");
}

int
main (void)
{
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      struct world *w = make_world (sizes[i]);
      bench_document_size (w, sizes[i]);
      bench_restarts (w, sizes[i]);
      world_free (w);
    }
  return EXIT_SUCCESS;
}
