/* A relay of TCP connections and UDP datagrams that injects faults, each
   route and direction by itself.  One thread forwards.  */

#ifndef STANDIN_RELAY_H
#define STANDIN_RELAY_H

#include <stdbool.h>
#include <stdint.h>

struct standin_relay;

enum standin_direction
{
  STANDIN_TO_TARGET,   /* from who connects to the target */
  STANDIN_FROM_TARGET, /* from the target back */
  STANDIN_DIRECTIONS
};

struct standin_faults
{
  /* UDP: drop all.  TCP: keep connections open and hold their bytes back
     until the cut ends.  */
  bool cut;
  /* TCP: reset what is open, and each new connection.  */
  bool reset;
  int64_t delay_ns;
  int64_t jitter_ns;        /* added to the delay, uniform from 0 */
  double loss_percent;      /* per cent; on TCP: late by a retransmission */
  double duplicate_percent; /* per cent, UDP alone */
};

/* What passed one direction of a route: datagrams or blocks of bytes.  */
struct standin_traffic
{
  uint64_t passed;
  uint64_t bytes;
  uint64_t lost;
  uint64_t duplicated;
};

/* A relay without routes; all its chances come from SEED.  */
struct standin_relay *standin_relay_new (uint32_t seed);

/* End the thread, close everything and free R.  */
void standin_relay_free (struct standin_relay *r);

/* Add a route before the start; addresses are "HOST:PORT", numeric.  False
   when LISTEN cannot be used or the name is taken.  */
bool standin_relay_add (struct standin_relay *r, const char *name, bool udp,
                        const char *listen, const char *target);

bool standin_relay_start (struct standin_relay *r);

/* The number of routes, and the name of the route at INDEX.  */
int standin_relay_route_count (const struct standin_relay *r);
const char *standin_relay_route_name (const struct standin_relay *r,
                                      int index);

/* The index of the route NAME, or -1.  */
int standin_relay_find_route (const struct standin_relay *r, const char *name);

struct standin_faults standin_relay_faults (struct standin_relay *r, int index,
                                            enum standin_direction d);
void standin_relay_set_faults (struct standin_relay *r, int index,
                               enum standin_direction d,
                               const struct standin_faults *faults);
struct standin_traffic standin_relay_traffic (struct standin_relay *r,
                                              int index,
                                              enum standin_direction d);

/* Connections or flows of the route at INDEX: open now, and ever.  */
void standin_relay_connections (struct standin_relay *r, int index, int *open,
                                uint64_t *total);

#endif
