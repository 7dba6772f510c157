/* A relay of TCP connections and UDP datagrams that injects faults per route
   and direction.  One thread forwards all traffic.  */

#ifndef STANDIN_RELAY_H
#define STANDIN_RELAY_H

#include <stdbool.h>
#include <stdint.h>

struct standin_relay;

enum standin_direction
{
  STANDIN_TO_TARGET,   /* from the client to the target */
  STANDIN_FROM_TARGET, /* from the target to the client */
  STANDIN_DIRECTIONS
};

struct standin_faults
{
  /* UDP: drop all datagrams.  TCP: keep connections open and buffer their data
     until the cut ends.  */
  bool cut;
  /* TCP: reset all open and new connections.  */
  bool reset;
  int64_t delay_ns;
  int64_t jitter_ns;        /* maximum extra delay, uniformly distributed */
  double loss_percent;      /* TCP: delays by a retransmission */
  double duplicate_percent; /* UDP only */
};

/* Counters of one direction of a route, in datagrams or TCP blocks.  */
struct standin_traffic
{
  uint64_t passed; /* forwarded */
  uint64_t bytes;
  uint64_t lost;
  uint64_t duplicated;
};

/* A new relay without routes; SEED determines all random faults.  */
struct standin_relay *standin_relay_new (uint32_t seed);

/* Stop the thread, close all sockets and free R.  */
void standin_relay_free (struct standin_relay *r);

/* Add a route; call before the start.  Addresses are "HOST:PORT", numeric.
   False if LISTEN cannot be used or the name is taken.  */
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

/* The number of open connections or flows of the route at INDEX, and the total
   opened so far.  */
void standin_relay_connections (struct standin_relay *r, int index, int *open,
                                uint64_t *total);

#endif
