/* The agent of one member: joining, leases, takeover, moves, leaving.

   A pure state machine: it does no input or output of its own and keeps no
   clock.  Every input carries the present time, CLOCK_BOOTTIME nanoseconds,
   read after what it reports has happened (for a datagram: after it was
   received).  All calls come from one thread.  Output goes through struct
   agent_env; its functions must not call back into the agent.

   One store call is outstanding at most: after read or swap, the agent asks
   for neither until the matching agent_on_read or agent_on_swap.  */

#ifndef OWN_AGENT_H
#define OWN_AGENT_H

#include "base/log.h"
#include "base/status.h"
#include "own/cell.h"
#include "settings/settings.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

struct agent;

/* "Never" and "without end" for lease and tick times.  */
#define AGENT_NEVER_NS INT64_MIN
#define AGENT_FOREVER_NS INT64_MAX

/* Who this member is.  Strings are copied by agent_new.  */
struct agent_config
{
  const char *service;
  const char *name; /* id of the node */
  const char *zone;
  const char *rack; /* may be empty */
  struct settings_address callers;
  struct settings_address peers; /* bound already, by this process alone */
  /* Boot id of the instance and its network namespace, as one string: a
     document that names an earlier run with the same place and peers'
     address is proof that the earlier process has ended.  */
  const char *place;
  uint32_t weight;          /* target slots; 0 counts as 1 */
  uint32_t slots;           /* of a new cell; 0: CELL_SLOTS_MAX */
  uint32_t key_space;       /* of a new cell; see struct cell */
  uint32_t term_ms;         /* lease; 0: 400 */
  uint32_t renew_ms;        /* 0: 133 */
  uint32_t move_timeout_ms; /* longest wait for closed slots; 0: 2000 */
  enum settings_policy policy;
  uint64_t seed; /* of the jitter */
};

/* What the data path needs.  CELL is valid during the call only: copy it with
   cell_copy.  */
struct agent_view
{
  int64_t revision;        /* of the store */
  const struct cell *cell; /* never NULL */
  uint32_t self;           /* this member's incarnation, 0: not a member */
};

/* Slots, or a key, that this member stops serving to hand them over.  */
struct agent_move
{
  uint32_t id; /* of the move, never 0 */
  const uint16_t *slots;
  uint32_t slot_count;
  const char *key; /* NULL, or the key alone; then no slots */
  size_t key_length;
};

struct agent_env;

struct agent_env_ops
{
  /* Send a datagram; may be lost.  */
  void (*send) (struct agent_env *env, const struct settings_address *to,
                const void *data, size_t length);
  /* Read the document from the store, linearizably, and report it by
     agent_on_read.  */
  void (*read) (struct agent_env *env);
  /* Compare-and-swap the document (EXPECTED 0: it is absent) and report by
     agent_on_swap.  The environment owns JSON, from malloc, from now on.  */
  void (*swap) (struct agent_env *env, int64_t expected, char *json,
                size_t length);
  /* Get the document of at least SERIAL from the peer at FROM, else from the
     store, and report it by agent_on_document.  May fail silently: the agent
     asks again.  */
  void (*fetch) (struct agent_env *env, const struct settings_address *from,
                 uint64_t serial);
  /* A newer document is in force.  JSON, valid during the call, is what to
     give to peers that fetch it.  */
  void (*publish) (struct agent_env *env, const struct agent_view *view,
                   const char *json, size_t length);
  /* This member may serve what the view gives it while the clock is below
     UNTIL_NS: AGENT_NEVER_NS, a time, or AGENT_FOREVER_NS.  */
  void (*set_lease) (struct agent_env *env, int64_t until_ns);
  /* Serve MOVE's slots or key no more, and report by agent_on_idle when none
     of its requests is in flight, or by agent_on_busy to give up.  MOVE is
     valid during the call only.  A move that is closed while another is not
     opened yet has the same slots or key and takes its place.  */
  void (*close) (struct agent_env *env, const struct agent_move *move);
  /* The move ID is over: serve what the view gives.  The view that shows its
     result, if any, was published before.  */
  void (*reopen) (struct agent_env *env, uint32_t id);
  /* Log EV with DETAIL, key=value pairs.  EV_LEFT: agent_leave is done.  */
  void (*notify) (struct agent_env *env, enum event ev, const char *detail);
  /* Whether nothing is in flight for SLOT.  NULL: not known, and any slot may
     be moved for balance.  */
  bool (*is_idle) (struct agent_env *env, uint32_t slot);
};

/* The first member of every environment.  */
struct agent_env
{
  const struct agent_env_ops *ops;
};

/* Counts since agent_new.  */
struct agent_stats
{
  uint64_t reads;
  uint64_t swaps;
  uint64_t conflicts;
  uint64_t in_doubt;
  uint64_t fetches;
  uint64_t datagrams_in;
  uint64_t datagrams_out;
  uint64_t bytes_in; /* payload */
  uint64_t bytes_out;
  uint64_t declared_dead; /* wards declared dead */
};

/* A new agent, or NULL when memory is short.  ENV outlives it.  */
struct agent *agent_new (const struct agent_config *config,
                         struct agent_env *env);

/* Free AGENT.  */
void agent_free (struct agent *agent);

/* Begin to join.  */
void agent_start (struct agent *agent, int64_t now_ns);

/* Do what is due and return when to be called next, at the latest.  Call it
   also after each other input.  */
int64_t agent_tick (struct agent *agent, int64_t now_ns);

/* A datagram came from FROM.  */
void agent_on_datagram (struct agent *agent,
                        const struct settings_address *from, const void *data,
                        size_t length, int64_t now_ns);

/* A document from a peer or a watch; ignored unless it is newer.
   STATUS_OK, STATUS_STALE, or STATUS_INVALID for one that is malformed.  */
enum status agent_on_document (struct agent *agent, int64_t revision,
                               const char *json, size_t length,
                               int64_t now_ns);

/* The document SERIAL of the cell exists: read before the next swap.  */
void agent_on_serial (struct agent *agent, uint32_t serial);

/* The answer to read: STATUS_OK with the document, STATUS_NOT_FOUND, or any
   other status: no answer.  */
void agent_on_read (struct agent *agent, enum status status, int64_t revision,
                    const char *json, size_t length, int64_t now_ns);

/* The answer to swap: STATUS_OK with the new REVISION, STATUS_CONFLICT,
   STATUS_UNAVAILABLE (certainly not written); all else is in doubt.  */
void agent_on_swap (struct agent *agent, enum status status, int64_t revision,
                    int64_t now_ns);

/* A peer at FROM was seen to have the document SERIAL.  */
void agent_on_peer_hint (struct agent *agent,
                         const struct settings_address *from, uint64_t serial,
                         int64_t now_ns);

/* Nothing is in flight for the closed move ID.  */
void agent_on_idle (struct agent *agent, uint32_t id, int64_t now_ns);

/* The closed move ID is given up.  */
void agent_on_busy (struct agent *agent, uint32_t id, int64_t now_ns);

/* Hand all slots over and leave; EV_LEFT tells the end.  Slots are closed some
   at a time; after 2 s those that are left are closed together and stay so
   until nothing is in flight for them: agent_on_busy only closes them anew.
   After EV_LEFT agent_tick still tells the other members until it returns
   AGENT_FOREVER_NS; the document should be there to fetch until then.  */
void agent_leave (struct agent *agent, int64_t now_ns);

/* Move SLOT, owned by this member, to the member INCARNATION.  Begins only:
   EV_SLOTS_MOVED or EV_MOVE_GIVEN_UP tells the end.  STATUS_NOT_FOUND,
   STATUS_INVALID (not the owner) or STATUS_FULL (a move is going on).  */
enum status agent_move_slot (struct agent *agent, uint32_t slot,
                             uint32_t incarnation, int64_t now_ns);

/* Pin KEY, owned by this member, to the member INCARNATION; the owner of the
   key's slot unpins it.  As agent_move_slot.  */
enum status agent_move_key (struct agent *agent, const char *key,
                            size_t length, uint32_t incarnation,
                            int64_t now_ns);

/* Remove the member INCARNATION, whose run the operator vouches has ended.
   Done by the next swap.  */
enum status agent_evict (struct agent *agent, uint32_t incarnation,
                         int64_t now_ns);

/* This member's load, in hundredths of its capacity, 1 or more; 0 means that
   it is not known.  It reaches all members with the renewals.  */
void agent_set_load (struct agent *agent, uint16_t load);

/* REQUESTS more were served here for KEY.  A key that is hot is moved, without
   an order, to a member whose load is known.  */
void agent_count_key (struct agent *agent, const char *key, size_t length,
                      uint32_t requests);

/* The newest document, or NULL before the first.  */
const struct cell *agent_cell (const struct agent *agent);

/* This member's incarnation, 0: not a member.  */
uint32_t agent_self (const struct agent *agent);

/* Until when this member may serve, as told to lease.  */
int64_t agent_lease_until (const struct agent *agent);

/* True when a change waits for the store.  */
bool agent_has_pending_change (const struct agent *agent);

/* Counts of AGENT.  */
void agent_stats (const struct agent *agent, struct agent_stats *stats);

/* Write the state, a line for each fact.  */
void agent_describe (const struct agent *agent, int64_t now_ns, FILE *out);

#endif
