/* The state of an agent, shared by the files that implement it.  */

#ifndef OWN_AGENT_STATE_H
#define OWN_AGENT_STATE_H

#include "base/clock.h"
#include "own/agent.h"
#include "own/hot.h"
#include "own/lease.h"
#include "own/lease_msg.h"
#include "own/place.h"

enum
{
  AGENT_UNRESPONSIVE_MAX = 4,
  AGENT_EVICTIONS_MAX = 8,
  AGENT_HOT_MOVES_MAX = 64,
  AGENT_REBALANCE_SLOTS_MAX = 64, /* in one step of rebalancing */
  AGENT_DRAIN_SLOTS_MAX = 256,    /* in one step of leaving */
  AGENT_DETAIL_BYTES = 200
};

/* A renewal that was not answered at once: the document or a read of the
   store is awaited.  */
struct agent_pending_renewal
{
  struct settings_address from;
  struct lease_msg msg;
  int64_t received_ns;
  bool read_started; /* a read of the store began after it was received */
};

/* What is known of another member; in the order of the document.  */
struct agent_peer
{
  uint32_t incarnation;
  uint32_t serial;          /* of the document it has been seen to have */
  uint32_t hints_sent;      /* sent for the present document */
  bool affected;            /* by the change that made it */
  int64_t next_hint_ns;     /* the next one */
  uint8_t load;             /* 0: unknown */
  int64_t load_measured_ns; /* when it was measured */
};

/* A member that its guardian asked this one to remove.  */
struct agent_removal
{
  uint32_t ward;
  uint32_t epoch;
  uint32_t guardian;
};

enum agent_call
{
  CALL_NONE,
  CALL_READ,
  CALL_SWAP
};

/* The one store call, and what must not happen before its result is
   known.  */
struct agent_store
{
  enum agent_call call;
  bool read_wanted;
  bool document_absent; /* a read found no document */
  int64_t next_call_ns; /* no call before */
  int64_t next_refresh_ns;
  uint32_t failures;
  uint32_t conflicts;
  bool outage_reported;
  /* The proposal of the swap that was submitted last.  */
  struct cell *proposal;
  char *json;
  size_t length;
  uint32_t
      joined_incarnation; /* incarnation that the proposal gives this member */
  char change[CELL_CHANGE_BYTES];
  /* Held: a swap that expected HELD_EXPECTED may take effect, or its effect
     is not yet known.  In doubt: an answer was lost.  */
  bool unsettled;
  bool in_doubt;
  bool resigning; /* it removes this member */
  int64_t unsettled_expected;
};

enum agent_move_state
{
  MOVE_NONE,
  MOVE_CLOSING, /* until agent_on_idle */
  MOVE_READY    /* closed; to be written */
};

struct agent_current_move
{
  enum agent_move_state state;
  uint32_t id;
  int64_t deadline_ns;
  uint32_t count;
  uint16_t slots[CELL_SLOTS_MAX];
  uint32_t to[CELL_SLOTS_MAX]; /* of a key: to[0] */
  char key[CELL_KEY_BYTES];
  size_t key_length; /* 0: slots */
  bool hot;          /* the key is moved for its load */
};

struct agent
{
  struct agent_env *env;
  struct cell_member own_member; /* as announced */
  char service[SETTINGS_NAME_BYTES];
  uint32_t service_hash;
  uint32_t key_space;
  uint32_t slots;
  enum settings_policy policy;
  int64_t renew_interval_ns;
  int64_t move_timeout_ns;
  uint64_t random;
  uint32_t change_count;
  uint32_t change_tag; /* of change ids */

  bool started;
  bool leave_requested;
  int64_t leave_requested_ns; /* since when */
  bool left;
  int64_t last_tick_ns; /* of the last tick */

  struct cell *cell;
  int64_t revision;
  uint32_t self;
  bool has_unowned;      /* the document has slots or pins without an owner */
  uint32_t owned_count;  /* slots and pins of this member */
  uint32_t active_count; /* members */
  int64_t next_join_ns;

  struct agent_store store;

  struct lease_ward ward_state;
  int64_t next_renewal_ns;
  int64_t reported_until_ns;
  bool reported_serving; /* told so */
  uint32_t
      unresponsive[AGENT_UNRESPONSIVE_MAX]; /* guardians that did not answer */
  uint32_t unresponsive_count;
  int64_t unresponsive_until_ns; /* when they are forgotten */
  bool reported_stuck;
  bool guardian_suboptimal; /* by the present document */
  bool second_suboptimal;
  int64_t next_improvement_ns;
  int64_t second_choice_ns; /* when to choose a second guardian */
  int64_t next_fallback_ns; /* when to ask the second guardian */

  struct lease_guardian guardian_state;
  struct agent_pending_renewal pending_renewals[CELL_MEMBERS_MAX];
  uint32_t pending_renewal_count;

  struct agent_removal removals[CELL_MEMBERS_MAX];
  uint32_t removal_count;

  struct agent_peer peers[CELL_MEMBERS_MAX];
  bool announcing;
  uint8_t load;
  uint32_t gossip_index; /* the member whose load was passed on last */
  int64_t now_ns;        /* of the present input */
  struct settings_address fetch_from;
  uint32_t fetch_serial;
  int64_t fetch_retry_ns; /* ask again at */
  struct settings_address deferred_from;
  uint32_t known_serial; /* a document that exists; 0: no newer one heard of */
  uint32_t deferred_serial; /* to be fetched, but not before: */
  int64_t deferred_until_ns;
  bool fetch_ack_due; /* tell the peer when the document is there */

  struct agent_current_move move;
  struct sketch *sketch;
  int64_t window_end_ns; /* when the present window ends */
  struct hot_move hot_moves[AGENT_HOT_MOVES_MAX];
  uint32_t hot_move_count;
  uint32_t hot_move_index; /* of them */
  struct hot_budget hot_budget;
  int64_t next_hot_report_ns; /* EV_KEY_TOO_HOT: not again before */
  uint32_t move_count;
  int64_t next_rebalance_ns;
  uint32_t evictions[AGENT_EVICTIONS_MAX];
  uint32_t eviction_count;

  struct agent_stats stats;
};

/* agent.c */

/* A number below BOUND, which is not 0.  */
uint64_t agent_random (struct agent *a, uint64_t bound);

/* Log EV.  */
void agent_log_event (struct agent *a, enum event ev, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Put CELL, which the agent owns from now on, in force.  */
void agent_apply_document (struct agent *a, struct cell *cell,
                           int64_t revision, const char *json, size_t length,
                           int64_t now_ns);

/* Tell the environment until when to serve, if that changed.  */
void agent_report_lease (struct agent *a, int64_t now_ns);

/* Whether this member's own lease holds.  */
bool agent_has_lease (const struct agent *a, int64_t now_ns);

/* This member in the document, or NULL.  */
const struct cell_member *agent_own_member (const struct agent *a);

/* agent_msg.c */

/* Send what is due: renewals, hints, requests for documents.  */
void agent_msg_tick (struct agent *a, int64_t now_ns);

/* When agent_msg_tick is due next.  */
int64_t agent_msg_next (const struct agent *a, int64_t now_ns);

/* Answer the waiting renewals that can be answered now.  */
void agent_answer_pending_renewals (struct agent *a, int64_t now_ns);

/* A swap lost against another: let one member write the removals of many
   guardians.  False when there is nothing to hand over.  */
bool agent_delegate_removals (struct agent *a);

/* The document is new: drop what it has settled.  */
void agent_drop_settled_removals (struct agent *a);

/* Whether D is to be removed from CELL.  */
bool agent_removal_is_valid (const struct agent_removal *d,
                             const struct cell *cell);

/* Whether a waiting renewal needs a read of the store.  */
bool agent_pending_renewals_need_read (const struct agent *a, int64_t now_ns);

/* The loads of the members of CELL, as far as known.  */
void agent_collect_loads (const struct agent *a, const struct cell *cell,
                          struct place_loads *loads);

/* A new document is in force: carry over what is known of the members.  */
void agent_update_peers (struct agent *a, int64_t now_ns);

/* Tell all members of the document that this one has written.  */
void agent_announce_document (struct agent *a, int64_t now_ns);

/* agent_plan.c */

/* Whether the document has to be changed.  */
bool agent_plan_due (struct agent *a, int64_t now_ns);

/* Apply all changes that are due to NEXT, a copy of the document whose
   edition has begun.  True when there was one.  */
bool agent_plan (struct agent *a, struct cell *next, int64_t now_ns);

/* When agent_plan_due may become true by time alone.  */
int64_t agent_plan_next (const struct agent *a, int64_t now_ns);

/* agent_store.c */

/* Begin a store call when one is due.  */
void agent_store_tick (struct agent *a, int64_t now_ns);

/* When agent_store_tick is due next.  */
int64_t agent_store_next (struct agent *a, int64_t now_ns);

/* A document newer than all submitted swaps is in force.  */
void agent_settle_swaps (struct agent *a);

/* agent_move.c */

/* Begin and end planned moves.  */
void agent_move_tick (struct agent *a, int64_t now_ns);

/* When agent_move_tick is due next.  */
int64_t agent_move_next (const struct agent *a, int64_t now_ns);

/* Whether slots may be moved to INCARNATION (0: to nobody).  */
bool agent_may_receive_slots (const struct cell *cell, uint32_t incarnation);

/* Drop the move, if any: this member is out.  */
void agent_cancel_move (struct agent *a);

#endif
