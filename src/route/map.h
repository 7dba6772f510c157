/* The ownership map of a node: which member owns which slot, shared by all
   threads.

   The ownership service installs each new revision; the other services read
   the map for each request.  For the slots of this node the map also counts
   the requests in flight and holds the time at which this node's lease
   expires.  */

#ifndef ROUTE_MAP_H
#define ROUTE_MAP_H

#include "base/status.h"
#include "route/request.h"

struct map;

enum
{
  MAP_SLOTS_MAX = 4096,
  MAP_MEMBERS_MAX = 256,
  MAP_PINS_MAX = 256
};

/* A member of the cell.  No member has incarnation 0.  */
struct map_member
{
  uint64_t incarnation;
  char name[REQUEST_NAME_BYTES];
  char zone[REQUEST_NAME_BYTES];
  char peer_address[REQUEST_ADDRESS_BYTES];
  char state[16];
  uint64_t guardian; /* incarnation of the member that grants its lease; 0 when
                        it needs no lease */
  uint32_t weight;
};

struct map_ownership
{
  uint64_t owner; /* incarnation; 0 when the slot has no owner */
  uint64_t epoch;
  int64_t owner_since_ms; /* wall time at which this node saw the owner change;
                             0: before this node started */
};

/* A key whose owner differs from that of its slot.  */
struct map_pin
{
  char key[REQUEST_KEY_BYTES];
  struct map_ownership ownership;
};

/* The contents of one revision of the cell's document.  */
struct map_view
{
  int64_t revision;
  uint64_t self_incarnation; /* 0 when this node is not a member */
  uint32_t slot_count;
  uint32_t member_count;
  uint32_t pin_count;
  struct map_ownership slots[MAP_SLOTS_MAX];
  struct map_member members[MAP_MEMBERS_MAX];
  struct map_pin pins[MAP_PINS_MAX];
};

/* The member of VIEW with INCARNATION, or with NAME; NULL when there is
   none.  */
const struct map_member *map_view_find_member (const struct map_view *view,
                                               uint64_t incarnation);
const struct map_member *
map_view_find_member_named (const struct map_view *view, const char *name);

/* The pin of KEY in VIEW, or NULL when KEY has the owner of its slot.  */
const struct map_pin *map_view_find_pin (const struct map_view *view,
                                         const char *key);

/* A new map without a view, or NULL when memory is short.  */
struct map *map_new (void);
void map_free (struct map *m);

/* Install VIEW at wall time WALL_MS.  The counts of requests in flight are
   kept.  Slots that were closed for a handover are opened when this node no
   longer owns them.  */
void map_install_view (struct map *m, const struct map_view *view,
                       int64_t wall_ms);

/* Set the time at which this node's lease expires: INT64_MIN when it holds no
   lease, INT64_MAX when it needs none.  */
void map_set_lease_until (struct map *m, int64_t until_ns);
int64_t map_lease_until (const struct map *m);

/* The owner of KEY into *OWNER.  STATUS_NOT_FOUND when it has none.  */
enum status map_find_owner (struct map *m, const char *key,
                            struct owner *owner);

/* Whether a view was installed.  */
bool map_has_view (struct map *m);

/* Whether INCARNATION is a member in the installed view.  */
bool map_is_member (struct map *m, uint64_t incarnation);

/* The incarnation of this node and the revision of the installed view.  */
uint64_t map_self_incarnation (struct map *m);
int64_t map_revision (struct map *m);

/* Count a request for KEY as in flight at this node, at NOW_NS.  On
   STATUS_OK *OWNER has the slot and epoch, and map_end_request must follow.
   Otherwise *REASON is why this node may not serve KEY.  */
enum status map_begin_request (struct map *m, const char *key, int64_t now_ns,
                               struct owner *owner, enum reason *reason);

/* Whether a request begun with OWNER may still be sent to the target at
   NOW_NS: checked directly before the first byte is sent.  */
bool map_may_send (struct map *m, const struct owner *owner, int64_t now_ns);

/* End a request that was begun with OWNER.  */
void map_end_request (struct map *m, const struct owner *owner);

/* Stop or resume accepting requests for COUNT slots from FIRST.  */
void map_close_slots (struct map *m, uint32_t first, uint32_t count);
void map_open_slots (struct map *m, uint32_t first, uint32_t count);

/* Requests in flight for COUNT slots from FIRST.  */
uint32_t map_in_flight (struct map *m, uint32_t first, uint32_t count);

/* Requests in flight for all slots.  */
uint32_t map_total_in_flight (struct map *m);

/* A copy of the installed view.  The caller frees it with free; NULL when
   memory is short.  */
struct map_view *map_copy_view (struct map *m);

#endif
