/* Many agents of one cell in one process: a fake clock, a fake store, a fake
   network, and a check that no slot is served by two members at once.

   Deterministic: all chance comes from the seed.  Times are nanoseconds of
   true time; each agent has a clock of its own, whose offset and rate
   differ.  */

#ifndef OWN_WORLD_H
#define OWN_WORLD_H

#include "own/agent.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  WORLD_AGENTS_MAX = 160
};

struct world;

struct world_config
{
  uint64_t seed;
  uint32_t slots;
  uint32_t zones;            /* agents are dealt to them in turn */
  int64_t datagram_delay_ns; /* one way, between agents */
  int64_t store_delay_ns;    /* one way */
  uint32_t drift_ppm;        /* clocks run at 1 +- this */
  enum settings_policy policy;
  bool measure_cpu;     /* measure the agents' processor time */
  bool check_ownership; /* two owners at once; costs time in large worlds */
};

/* Chances, in per mille of the messages or calls.  */
struct world_faults
{
  uint32_t loss;
  uint32_t duplicate;
  uint32_t delayed;            /* by up to a second */
  uint32_t write_answers_lost; /* of store writes that took effect */
  uint32_t writes_late;        /* store writes that take effect after their
                                    caller gave up */
  uint32_t moves_aborted;      /* moves given up */
  bool store_down;
};

struct world *world_new (const struct world_config *config);
void world_free (struct world *w);

/* Start another agent and return its number.  */
uint32_t world_add (struct world *w);

/* Run until true time UNTIL_NS.  */
void world_run (struct world *w, int64_t until_ns);

/* Run until every slot is served, for at most LIMIT_NS.  Return the time it
   took, or -1.  */
int64_t world_run_until_served (struct world *w, int64_t limit_ns);

int64_t world_now (const struct world *w);
/* The present time on the clock of AGENT, for calls of its functions.  */
int64_t world_local_now (const struct world *w, uint32_t agent);
uint64_t world_random (struct world *w, uint64_t bound);
struct world_faults *world_faults (struct world *w);

/* Faults.  */
void world_kill (struct world *w, uint32_t agent);
/* A new run in the place of a killed agent, under the same number.  */
void world_restart (struct world *w, uint32_t agent);
void world_pause (struct world *w, uint32_t agent, int64_t for_ns);
/* Datagrams and fetches from A to B are lost, or no more.  */
void world_cut_link (struct world *w, uint32_t a, uint32_t b, bool cut);
/* All from and to A.  */
void world_isolate (struct world *w, uint32_t a, bool cut);
/* Store calls of A are not answered, or no more.  */
void world_cut_store (struct world *w, uint32_t a, bool cut);

/* What is there.  */
uint32_t world_count (const struct world *w);
struct agent *world_agent (struct world *w, uint32_t agent);
bool world_is_alive (const struct world *w, uint32_t agent);
bool world_has_left (const struct world *w, uint32_t agent);
/* Whether AGENT serves SLOT now.  */
bool world_serves (const struct world *w, uint32_t agent, uint32_t slot);
/* Slots that nobody serves.  */
uint32_t world_count_unserved (const struct world *w);
/* The document in the store, or NULL.  */
const struct cell *world_document (const struct world *w);
/* Read and write requests that the store took since the last call.  */
void world_store_calls (struct world *w, uint64_t *reads, uint64_t *writes);
/* Bytes of datagrams sent, with 28 bytes of headers each, and their number,
   since the last call.  */
void world_traffic (struct world *w, uint64_t *bytes, uint64_t *datagrams);

/* Bytes of documents that agents fetched from each other or the store since
   the last call.  */
uint64_t world_document_bytes (struct world *w);

/* Processor time spent in the agents since the last call, nanoseconds.  */
int64_t world_cpu_ns (struct world *w);

/* Breaches found: two owners at once, an agent that went back to an older
   document or holds one that the store never had.  The first is described
   in TEXT, which may be NULL.  */
uint32_t world_violations (const struct world *w, const char **text);

/* Make each present and later guardian promise only PROMISE_NS: a rule that
   the check must find broken.  */
void world_set_promise (struct world *w, int64_t promise_ns);

#endif
