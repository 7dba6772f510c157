/* Queries all members of the cell in parallel, to answer operators' queries.

   Each node publishes its state as a document (TOPIC_STATE) every second;
   another node fetches the documents of all members in parallel, with a
   time-out.  */

#ifndef ROUTE_GATHER_H
#define ROUTE_GATHER_H

#include "base/kernel.h"
#include "route/map.h"

/* The state that a node publishes.  */
struct node_state
{
  bool known; /* false when the node did not answer */
  int64_t conf_revision;
  int64_t cell_revision;
  int64_t sends_per_s; /* to its target, over the last second */
  int64_t in_flight;
  int64_t not_run;
};

/* STATE as JSON, which is freed with free.  */
char *node_state_format (const struct node_state *state);

/* Parse TEXT of LENGTH bytes.  False when it is malformed.  */
bool node_state_parse (struct node_state *state, const char *text,
                       size_t length);

/* Sends fetches through one peers service; any thread may use it.  */
struct gather;

/* NULL when memory is short.  To be freed after the peers service has
   stopped.  */
struct gather *gather_new (struct service *peers);
void gather_free (struct gather *g);

/* Fetch the states of all members of VIEW into STATES, one for each member;
   SELF is the state of this node.  Waits at most half a second.  */
void gather_fetch_states (struct gather *g, const struct map_view *view,
                          const struct node_state *self,
                          struct node_state *states);

/* Send the command LINE to the node at ADDRESS and wait for its result, at
   most LIMIT_NS.  The result, freed with free, or NULL when none was
   received.  */
char *gather_send_command (struct gather *g, const char *address,
                           const char *line, int64_t limit_ns);

/* Send the command LINE to all other members of VIEW in parallel and wait at
   most half a second.  RESULTS has one entry for each member: its result,
   freed with free, or NULL.  */
void gather_send_command_all (struct gather *g, const struct map_view *view,
                              const char *line, char **results);

#endif
