/* State of an agent, shared by the files that implement it.  */

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
  AGENT_REBALANCE_SLOTS_MAX = 64, /* in one rebalancing move */
  AGENT_DRAIN_SLOTS_MAX = 256,    /* in one move of a leaving member */
  AGENT_ASKED_MAX = 128,
  AGENT_DETAIL_BYTES = 200
};

/* A renewal received from a ward whose answer waits for a newer document or
   for a read of the store.  */
struct agent_pending_renewal
{
  struct settings_address from;
  struct lease_msg msg;
  int64_t received_ns;
  bool read_started; /* a store read was started after received_ns */
};

/* What is known about another member, in the order of the document.  */
struct agent_peer
{
  uint32_t incarnation;
  uint32_t serial;       /* of the newest document it is known to have */
  uint32_t notices_sent; /* of the present document */
  /* The present document changed its slots, keys, guardians or wards.  */
  bool affected;
  int64_t next_notice_ns;
  uint8_t load; /* hundredths of its capacity, 0: not known */
  int64_t load_measured_ns;
};

/* A removal that the guardian of WARD delegated to this member.  */
struct agent_removal
{
  uint32_t ward;
  uint32_t epoch;
  uint32_t guardian;
};

enum agent_request_kind
{
  REQUEST_NONE,
  REQUEST_JOIN,
  REQUEST_ACTIVATE,
  /* The sender has closed all its slots and serves nothing any more.  */
  REQUEST_LEAVE
};

/* A change that this member asks the writer for.  */
struct agent_request
{
  enum agent_request_kind kind;
  uint32_t sent;
  int64_t next_ns;   /* when to repeat it */
  int64_t direct_ns; /* when this member writes the change itself */
};

/* A change that another member asked this one for.  */
struct agent_asked
{
  enum agent_request_kind kind;
  /* Of a join: the member is in the document if that has it with this
     incarnation or a higher one.  */
  uint32_t join_from;
  /* Of a join: the new member; else its incarnation and peers are set.  */
  struct cell_member member;
  int64_t received_ns;
};

/* What is known of a cell that is being formed.  */
struct agent_forming
{
  int64_t began_ns; /* when its first document was seen, 0: not forming */
  int64_t changed_ns;
  uint32_t member_count;
};

enum agent_call
{
  AGENT_CALL_NONE,
  AGENT_CALL_READ,
  AGENT_CALL_SWAP
};

/* The outstanding store call, if any, and the swaps whose effect is not yet
   known.  */
struct agent_store
{
  enum agent_call call;
  bool read_wanted;
  bool document_absent; /* a read found no document in the store */
  int64_t next_call_ns; /* earliest time of the next call */
  int64_t next_refresh_ns;
  uint32_t failures;
  uint32_t conflicts;
  int64_t change_due_ns; /* since when a change is due; 0: none is */
  bool outage_reported;  /* EV_OWNERSHIP_WAITS was logged */
  /* The document proposed by the last swap, and its JSON.  */
  struct cell *proposal;
  char *json;
  size_t length;
  /* Incarnation that the proposal assigns to this member, 0: none.  */
  uint32_t joined_incarnation;
  char change[CELL_CHANGE_BYTES];
  /* A swap that expected unsettled_expected may still take effect, or it is
     not known yet whether it did.  */
  bool unsettled;
  bool in_doubt;     /* the answer to a swap was lost */
  bool removes_self; /* the unsettled swap removes this member */
  int64_t unsettled_expected;
};

enum agent_move_state
{
  MOVE_NONE,
  MOVE_CLOSING, /* waits for agent_on_idle */
  MOVE_READY    /* closed, and due to be written */
};

struct agent_current_move
{
  enum agent_move_state state;
  uint32_t id;
  int64_t deadline_ns;
  uint32_t conflicts; /* swaps that lost since the move began */
  uint32_t count;
  uint16_t slots[CELL_SLOTS_MAX];
  uint32_t to[CELL_SLOTS_MAX]; /* receivers, by incarnation; of a key: to[0] */
  char key[CELL_KEY_BYTES];
  size_t key_length; /* 0: slots are moved */
  bool hot;          /* the key is moved because of its load */
};

struct agent
{
  struct agent_env *env;
  struct cell_member own_member; /* this member as written into the document */
  char service[SETTINGS_NAME_BYTES];
  uint32_t service_hash;
  uint32_t key_space;
  uint32_t slots;
  enum settings_policy policy;
  int64_t renew_interval_ns;
  int64_t move_timeout_ns;
  uint64_t random;
  uint32_t change_count;
  uint32_t change_tag; /* prefix of the change ids of this run */

  bool started;
  bool leave_requested;
  int64_t leave_requested_ns;
  bool left;
  bool leave_final; /* by agent_leave: this member does not join again */
  bool out;         /* by agent_set_out */
  int64_t last_tick_ns;

  struct cell *cell;
  int64_t revision;      /* store revision of cell */
  uint32_t self;         /* incarnation of this member, 0: not a member */
  bool has_unowned;      /* the document has slots or pins without an owner */
  uint32_t owned_count;  /* slots and pins of this member */
  uint32_t active_count; /* active members in the document */
  int64_t next_join_ns;
  bool full_reported; /* EV_CELL_FULL was logged */

  struct agent_store store;

  struct lease_ward ward_state;
  int64_t next_renewal_ns;
  int64_t reported_until_ns; /* lease expiry passed to the environment */
  bool reported_serving;     /* the last lease event was EV_LEASE_GAINED */
  /* Guardians that did not answer, and when to clear the list.  */
  uint32_t unresponsive[AGENT_UNRESPONSIVE_MAX];
  uint32_t unresponsive_count;
  int64_t unresponsive_until_ns;
  bool reported_stuck; /* EV_OWNERSHIP_WAITS was logged for a stuck join */
  /* Whether the present document gives better guardians.  */
  bool guardian_suboptimal;
  bool second_suboptimal;
  int64_t next_guardian_change_ns; /* earliest time to change the guardian */
  int64_t next_second_change_ns;   /* earliest time to change the second
                                        guardian */
  int64_t next_fallback_ns;        /* when to ask the second guardian */

  struct lease_guardian guardian_state;
  struct agent_pending_renewal pending_renewals[CELL_MEMBERS_MAX];
  uint32_t pending_renewal_count;

  struct agent_request request;
  uint32_t join_from; /* lowest incarnation of this run, 0: not known */
  /* The writer was asked to remove this member, which serves nothing and
     grants no leases from then on.  */
  bool leave_sent;
  struct agent_asked asked[AGENT_ASKED_MAX];
  uint32_t asked_count;
  int64_t asked_due_ns;
  int64_t last_batch_ns;

  bool forms;
  struct agent_forming forming;

  struct agent_removal removals[CELL_MEMBERS_MAX];
  uint32_t removal_count;

  struct agent_peer peers[CELL_MEMBERS_MAX];
  bool announcing;       /* notices of the present document are due */
  uint8_t load;          /* of this member, as in struct agent_peer */
  bool spares_full;      /* a load of PLACE_LOAD_FULL is a mark */
  uint32_t gossip_index; /* index of the member whose load was sent last */
  int64_t now_ns;        /* time of the present input */
  struct settings_address fetch_from;
  uint32_t fetch_serial;
  int64_t fetch_retry_ns; /* when to repeat the request */
  /* The document deferred_serial is to be fetched from deferred_from, not
     before deferred_until_ns.  */
  struct settings_address deferred_from;
  uint32_t known_serial; /* serial of a document known to exist, or 0 */
  uint32_t deferred_serial;
  int64_t deferred_until_ns;
  /* Acknowledge the notice once the document is in force.  */
  bool fetch_ack_due;

  struct agent_current_move move;
  struct sketch *sketch;
  int64_t window_end_ns; /* end of the present window of the sketch */
  struct hot_move hot_moves[AGENT_HOT_MOVES_MAX];
  uint32_t hot_move_count;
  uint32_t hot_move_index; /* next entry of hot_moves to begin */
  struct hot_budget hot_budget;
  int64_t next_hot_report_ns; /* earliest time of the next EV_KEY_TOO_HOT */
  uint32_t move_count;
  int64_t next_rebalance_ns;
  uint32_t evictions[AGENT_EVICTIONS_MAX];
  uint32_t eviction_count;

  struct agent_stats stats;
};

/* Functions of agent.c.  */

/* Return a pseudo-random number below BOUND, which must not be 0.  */
uint64_t agent_random (struct agent *a, uint64_t bound);

/* Pass EV with a formatted detail to the environment.  */
void agent_log_event (struct agent *a, enum event ev, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Put the document CELL into force.  The agent owns CELL from now on.  */
void agent_apply_document (struct agent *a, struct cell *cell,
                           int64_t revision, const char *json, size_t length,
                           int64_t now_ns);

/* Pass the lease expiry to the environment if it changed.  */
void agent_report_lease (struct agent *a, int64_t now_ns);

/* Whether this member holds a valid lease of its own.  */
bool agent_has_lease (const struct agent *a, int64_t now_ns);

/* Return the entry of this member in the document, or NULL.  */
const struct cell_member *agent_own_member (const struct agent *a);

/* Functions of agent_msg.c.  */

/* Send the renewals, probes, notices and document requests that are due.  */
void agent_msg_tick (struct agent *a, int64_t now_ns);

/* Return when agent_msg_tick is due next.  */
int64_t agent_msg_next (const struct agent *a, int64_t now_ns);

/* Answer the pending renewals that can be answered now.  */
void agent_answer_pending_renewals (struct agent *a, int64_t now_ns);

/* After a swap conflict, ask one member to write the removals of this
   guardian, so that many guardians do not compete.  Return false when there is
   nothing to delegate.  */
bool agent_delegate_removals (struct agent *a);

/* Drop the removals that a new document has made void.  */
void agent_drop_settled_removals (struct agent *a);

/* Whether the removal R still applies to CELL.  */
bool agent_removal_is_valid (const struct agent_removal *r,
                             const struct cell *cell);

/* Whether a pending renewal needs a read of the store.  */
bool agent_pending_renewals_need_read (const struct agent *a, int64_t now_ns);

/* Fill LOADS with the known loads of the members of CELL.  */
void agent_collect_loads (const struct agent *a, const struct cell *cell,
                          struct place_loads *loads);

/* Adapt the list of peers to a new document, keeping what is known about
   them.  */
void agent_update_peers (struct agent *a, int64_t now_ns);

/* Start to announce the document, which this member has written, to all
   members.  */
void agent_announce_document (struct agent *a, int64_t now_ns);

/* Send MSG, with the fields that all messages have, to the member at TO.  */
void agent_send_msg (struct agent *a, const struct settings_address *to,
                     struct lease_msg *msg);

/* Functions of agent_request.c.  */

/* Ask the writer for the change that this member needs, if one is due.  */
void agent_request_tick (struct agent *a, int64_t now_ns);

/* Whether the change KIND is left to the writer for now.  */
bool agent_request_pending (const struct agent *a,
                            enum agent_request_kind kind, int64_t now_ns);

/* Whether this member, which leaves, leaves its removal to the writer.  */
bool agent_leave_is_delegated (const struct agent *a, int64_t now_ns);

/* Return when agent_request_tick, or a change for other members, is due.  */
int64_t agent_request_next (const struct agent *a, int64_t now_ns);

void agent_on_join_request (struct agent *a, const char *data, size_t length,
                            int64_t now_ns);
/* MSG is LEASE_ACTIVATE or LEASE_LEAVE.  */
void agent_on_member_request (struct agent *a, const struct lease_msg *msg,
                              int64_t now_ns);

/* Drop the requests of other members that the document serves, or that are
   old.  */
void agent_drop_served_requests (struct agent *a, int64_t now_ns);

/* Whether changes for other members are due, and apply them to NEXT.  */
bool agent_asked_due (const struct agent *a, int64_t now_ns);
bool agent_plan_asked (struct agent *a, struct cell *next, int64_t now_ns);

/* Functions of agent_form.c.  */

/* Note the new document, which may be one of a cell that is being formed.  */
void agent_form_update (struct agent *a, int64_t now_ns);

/* Return when this member ends the forming of the cell.  */
int64_t agent_form_due_ns (const struct agent *a);

/* Apply the end of the forming to NEXT if that is due.  */
bool agent_plan_form (struct agent *a, struct cell *next, int64_t now_ns);

/* Functions of agent_plan.c.  */

/* Whether a change of the document is due.  */
bool agent_plan_due (struct agent *a, int64_t now_ns);

/* Apply all changes that are due to NEXT, a copy of the document for which
   cell_begin_change was called.  Return whether there was one.  */
bool agent_plan (struct agent *a, struct cell *next, int64_t now_ns);

/* Add MEMBER to NEXT, or put it in the place of its earlier run, and return
   its incarnation in *INCARNATION.  Results as for cell_join.  */
enum status agent_plan_joiner (struct cell *next,
                               const struct cell_member *member,
                               uint32_t *incarnation);

/* Make the member INCARNATION active in NEXT, with a second guardian if it has
   none.  */
bool agent_plan_activation (struct cell *next, uint32_t incarnation);

/* Remove the member INCARNATION, which leaves and serves nothing, from
   NEXT.  */
bool agent_plan_leaver (struct cell *next, uint32_t incarnation);

/* Whether this member owns keys apart from their slots.  */
bool agent_owns_pins (const struct agent *a);

/* Return when agent_plan_due may become true without further input.  */
int64_t agent_plan_next (const struct agent *a, int64_t now_ns);

/* Functions of agent_store.c.  */

/* Start a store call when one is due.  */
void agent_store_tick (struct agent *a, int64_t now_ns);

/* Return when agent_store_tick is due next.  */
int64_t agent_store_next (struct agent *a, int64_t now_ns);

/* Record that no submitted swap can take effect any more, or that its effect
   is in force.  */
void agent_settle_swaps (struct agent *a);

/* Functions of agent_move.c.  */

/* Begin and end moves of slots and keys.  */
void agent_move_tick (struct agent *a, int64_t now_ns);

/* Return when agent_move_tick is due next.  */
int64_t agent_move_next (const struct agent *a, int64_t now_ns);

/* Whether slots may be moved to INCARNATION (0: to no member).  */
bool agent_may_receive_slots (const struct cell *cell, uint32_t incarnation);

/* End the current move, if any, because this member was removed from the
   cell.  */
void agent_cancel_move (struct agent *a);

#endif
