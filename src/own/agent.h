/* State machine of one member: joining, leases, takeover, moves, leaving.

   It does no input or output of its own and keeps no clock.  Every input
   carries the present time, CLOCK_BOOTTIME nanoseconds, read after what it
   reports has happened (for a datagram: after it was received).  All calls
   come from one thread.  Output goes through struct agent_env; its functions
   must not call back into the agent.

   At most one store call is outstanding: after read or swap, the agent calls
   neither until the matching agent_on_read or agent_on_swap.  */

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

/* Lease and tick times that mean "never" and "without end".  */
#define AGENT_NEVER_NS INT64_MIN
#define AGENT_FOREVER_NS INT64_MAX

/* Identity and parameters of this member.  agent_new copies the strings.  */
struct agent_config
{
  const char *service;
  const char *name; /* node id */
  const char *zone;
  const char *rack; /* may be empty */
  struct settings_address callers;
  struct settings_address peers; /* already bound, by this process only */
  /* Boot id of the instance and its network namespace, as one string.  A
     document that names an earlier run with the same place and the same
     address for peers proves that the process of that run has ended.  */
  const char *place;
  uint32_t weight;    /* slots of the target; 0: 1 */
  uint32_t slots;     /* slots of a new cell; 0: CELL_SLOTS_MAX */
  uint32_t key_space; /* key space of a new cell; see struct cell */
  /* A new cell waits up to four seconds for its members before its slots have
     owners; otherwise the first member takes them all.  */
  bool forms;
  uint32_t term_ms;         /* lease term; 0: 400 */
  uint32_t renew_ms;        /* interval between renewals; 0: 133 */
  uint32_t move_timeout_ms; /* time limit of a move; 0: 2000 */
  enum settings_policy policy;
  uint64_t seed; /* seed of the random delays */
};

/* What the data path needs to know.  CELL is valid during the call only; keep
   a copy made with cell_copy.  */
struct agent_view
{
  int64_t revision;        /* store revision of CELL */
  const struct cell *cell; /* never NULL */
  uint32_t self;           /* incarnation of this member, 0: not a member */
};

/* Slots, or one key, that this member stops serving in order to hand them
   over.  */
struct agent_move
{
  uint32_t id; /* id of the move, never 0 */
  const uint16_t *slots;
  uint32_t slot_count;
  const char *key; /* the key to move, or NULL when slots are moved */
  size_t key_length;
};

struct agent_env;

struct agent_env_ops
{
  /* Send a datagram, which may be lost.  */
  void (*send) (struct agent_env *env, const struct settings_address *to,
                const void *data, size_t length);
  /* Read the document from the store, linearizably, and pass the result to
     agent_on_read.  */
  void (*read) (struct agent_env *env);
  /* Compare-and-swap the document and pass the result to agent_on_swap.
     EXPECTED is the revision to replace, 0: the document must not exist.  JSON
     comes from malloc and belongs to the environment.  */
  void (*swap) (struct agent_env *env, int64_t expected, char *json,
                size_t length);
  /* Get the document of at least SERIAL from the peer at FROM, or from the
     store if that fails, and pass it to agent_on_document.  May fail without a
     report: the agent repeats the request.  */
  void (*fetch) (struct agent_env *env, const struct settings_address *from,
                 uint64_t serial);
  /* A newer document is in force.  JSON, valid during the call, is what to
     send to peers that fetch it.  */
  void (*publish) (struct agent_env *env, const struct agent_view *view,
                   const char *json, size_t length);
  /* This member may serve what the view assigns to it while the clock is below
     UNTIL_NS: AGENT_NEVER_NS, a time, or AGENT_FOREVER_NS.  */
  void (*set_lease) (struct agent_env *env, int64_t until_ns);
  /* Stop serving MOVE's slots or key.  Call agent_on_idle once none of its
     requests is in flight, or agent_on_busy if they do not end in time.  MOVE
     is valid during the call only.  A close while another move is still closed
     replaces that move and has the same slots or key.  */
  void (*close) (struct agent_env *env, const struct agent_move *move);
  /* The move ID has ended: serve what the view assigns.  If the move
     succeeded, the view that shows it was published before.  */
  void (*reopen) (struct agent_env *env, uint32_t id);
  /* Log EV with DETAIL, key=value pairs.  EV_LEFT also reports that
     agent_leave has completed.  */
  void (*notify) (struct agent_env *env, enum event ev, const char *detail);
  /* Whether no request is in flight for SLOT.  NULL: not known, and any slot
     may be moved for balance.  */
  bool (*is_idle) (struct agent_env *env, uint32_t slot);
  /* Whether members of ZONE receive no slots.  NULL: no zone is excluded.  */
  bool (*is_zone_excluded) (struct agent_env *env, const char *zone);
};

/* Base of every environment, which has it as its first member.  */
struct agent_env
{
  const struct agent_env_ops *ops;
};

/* Counters since agent_new.  */
struct agent_stats
{
  uint64_t reads;
  uint64_t swaps;
  uint64_t conflicts;
  uint64_t in_doubt;
  uint64_t fetches;
  uint64_t datagrams_in;
  uint64_t datagrams_out;
  uint64_t bytes_in; /* datagram payload */
  uint64_t bytes_out;
  uint64_t declared_dead; /* wards declared dead by this member */
};

/* Return a new agent, or NULL when memory is short.  ENV must outlive it.  */
struct agent *agent_new (const struct agent_config *config,
                         struct agent_env *env);

void agent_free (struct agent *agent);

/* Start to join the cell.  */
void agent_start (struct agent *agent, int64_t now_ns);

/* Do what is due and return the latest time for the next call.  Call it also
   after each other input.  */
int64_t agent_tick (struct agent *agent, int64_t now_ns);

/* A datagram arrived from FROM.  */
void agent_on_datagram (struct agent *agent,
                        const struct settings_address *from, const void *data,
                        size_t length, int64_t now_ns);

/* A document arrived from a peer or a watch.  Return STATUS_OK, STATUS_STALE
   when its REVISION is not newer and it was ignored, or STATUS_INVALID when it
   is malformed, of another service or does not have a higher serial.  */
enum status agent_on_document (struct agent *agent, int64_t revision,
                               const char *json, size_t length,
                               int64_t now_ns);

/* The document SERIAL is known to exist: read it before the next swap.  */
void agent_on_serial (struct agent *agent, uint32_t serial);

/* The result of read: STATUS_OK with the document, or STATUS_NOT_FOUND; any
   other status means that the store did not answer.  */
void agent_on_read (struct agent *agent, enum status status, int64_t revision,
                    const char *json, size_t length, int64_t now_ns);

/* The result of swap: STATUS_OK with the new REVISION, STATUS_CONFLICT, or
   STATUS_UNAVAILABLE (certainly not written).  With any other status it is not
   known whether the document was written.  */
void agent_on_swap (struct agent *agent, enum status status, int64_t revision,
                    int64_t now_ns);

/* The peer at FROM announced that it has the document SERIAL.  */
void agent_on_peer_notice (struct agent *agent,
                           const struct settings_address *from,
                           uint64_t serial, int64_t now_ns);

/* No request is in flight for the closed move ID.  */
void agent_on_idle (struct agent *agent, uint32_t id, int64_t now_ns);

/* The requests of the closed move ID did not end in time.  */
void agent_on_busy (struct agent *agent, uint32_t id, int64_t now_ns);

/* Hand over all slots and leave; EV_LEFT reports completion.  Slots are closed
   in batches.  After 2 s the remaining ones are closed together and stay
   closed until no request is in flight for them: agent_on_busy then only
   closes them again.  After EV_LEFT, agent_tick still informs the other
   members until it returns AGENT_FOREVER_NS; the document should stay
   available to peers until then.  */
void agent_leave (struct agent *agent, int64_t now_ns);

/* OUT: leave the cell as by agent_leave and stay out of it, but go on reading
   its document; agent_leave remains possible.  Not OUT: join the cell again,
   once a leave that was begun has completed.  */
void agent_set_out (struct agent *agent, bool out, int64_t now_ns);

/* Whether agent_leave has completed.  */
bool agent_has_left (const struct agent *agent);

/* Start to move SLOT, owned by this member, to the member INCARNATION.
   EV_SLOTS_MOVED or EV_MOVE_GIVEN_UP reports the end.  Return STATUS_OK,
   STATUS_NOT_FOUND (no such active member), STATUS_INVALID (this node is not a
   member, not the owner, or INCARNATION itself) or STATUS_FULL (another move
   is in progress).  */
enum status agent_move_slot (struct agent *agent, uint32_t slot,
                             uint32_t incarnation, int64_t now_ns);

/* Start to pin KEY, owned by this member, to the member INCARNATION; moving it
   to the owner of its slot removes the pin.  Results as for
   agent_move_slot.  */
enum status agent_move_key (struct agent *agent, const char *key,
                            size_t length, uint32_t incarnation,
                            int64_t now_ns);

/* Remove the member INCARNATION with the next swap.  The operator guarantees
   that its process has ended.  */
enum status agent_evict (struct agent *agent, uint32_t incarnation,
                         int64_t now_ns);

/* Set this member's load, in hundredths of its capacity, 1 or more; 0: not
   known.  Renewals carry it to all members.  */
void agent_set_load (struct agent *agent, uint16_t load);

/* Whether a load of PLACE_LOAD_FULL marks a member that gets no slots while
   others may.  All members must agree on it.  */
void agent_spare_full (struct agent *agent, bool spare);

/* Add REQUESTS to the number served here for KEY.  Hot keys are moved
   automatically to members whose load is known.  */
void agent_count_key (struct agent *agent, const char *key, size_t length,
                      uint32_t requests);

/* The answers of is_zone_excluded have changed.  */
void agent_on_zones_changed (struct agent *agent);

/* The newest document, or NULL before the first one.  */
const struct cell *agent_cell (const struct agent *agent);

/* The incarnation of this member, 0: not a member.  */
uint32_t agent_self (const struct agent *agent);

/* The time until which this member may serve, as passed to set_lease.  */
int64_t agent_lease_until (const struct agent *agent);

/* Whether a change waits for the store.  */
bool agent_has_pending_change (const struct agent *agent);

void agent_stats (const struct agent *agent, struct agent_stats *stats);

/* Write the state to OUT, one item per line.  */
void agent_describe (const struct agent *agent, int64_t now_ns, FILE *out);

#endif
