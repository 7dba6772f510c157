/* What a cell's document costs by the size of the cell: its bytes, and the
   writes and document bytes of one planned restart, until balance is back.
   The agents are the product's; clock, store and network are fakes.  */

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
figure (const char *name, uint32_t size, double value, const char *unit)
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
bench_length (struct world *w, uint32_t size)
{
  size_t length = 0;
  char *json = cell_format (world_document (w), &length);
  figure ("document_bytes", size, (double)length, "B");
  free (json);
}

/* One member after the other leaves, and its next run joins.  */
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
  figure ("restart_writes", size, (double)writes / RESTARTS, "calls/restart");
  figure ("restart_reads", size, (double)reads / RESTARTS, "calls/restart");
  figure ("restart_document_bytes", size,
          (double)world_document_bytes (w) / RESTARTS / size,
          "B/node/restart_in_the_cell");
}

int
main (void)
{
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      struct world *w = make_world (sizes[i]);
      bench_length (w, sizes[i]);
      bench_restarts (w, sizes[i]);
      world_free (w);
    }
  return EXIT_SUCCESS;
}
