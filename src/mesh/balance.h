/* Which target of a service without keys gets a request.

   Targets differ in speed, turn slow, and fill up; bytes between availability
   zones cost.  A target in the caller's own zone is taken while it is expected
   to answer well within the wanted time, else the one that is expected to
   answer first.

   Pure: no clocks, no connections.  */

#ifndef MESH_BALANCE_H
#define MESH_BALANCE_H

#include "mesh/egress.h"
#include <stdbool.h>
#include <stdint.h>

/* Service times by kind of request and target, as this node saw them.  */
struct paces;

enum
{
  BALANCE_RELAX_MS = 250
};

struct paces *paces_new (void);
void paces_free (struct paces *p);

/* A run of KIND at TARGET took SERVICE_NS.  */
void paces_learn (struct paces *p, const char *target, uint32_t kind,
                  int64_t service_ns);

/* Let every target's pace come a step back to the mean: one that was slow and
   gets nothing is tried again in a while.  Called each BALANCE_RELAX_MS.  */
void paces_relax (struct paces *p);

/* Forget what was learned of TARGET: it is another run.  */
void paces_forget (struct paces *p, const char *target);

/* The expected service time of KIND at TARGET.  */
int64_t paces_expect (const struct paces *p, const char *target,
                      uint32_t kind);

struct candidate
{
  const char *name;
  bool same_zone;
  bool tried; /* this request was there already */
  struct target_load load;
  uint32_t sent_since; /* requests sent there since LOAD was told */
};

/* The index of the candidate that gets a request of KIND, which is wanted in
   WANTED_NS; -1 when none takes it.  */
int balance_pick (const struct paces *p, const struct candidate *list,
                  unsigned count, uint32_t kind, int64_t wanted_ns);

#endif
