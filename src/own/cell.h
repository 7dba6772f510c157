/* The document of a cell: its members, the owner of each slot, pinned keys.

   Members are identified by incarnation, a number that the document assigns
   and never reuses.  Epochs are fencing tokens: the serial of the document
   that last changed the owner of the slot or key.  */

#ifndef OWN_CELL_H
#define OWN_CELL_H

#include "base/status.h"
#include "settings/settings.h"
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  CELL_MEMBERS_MAX = 512,
  CELL_SLOTS_MAX = 4096,
  CELL_PINS_MAX = 256,
  CELL_KEY_BYTES = 256, /* with the terminating zero byte */
  CELL_PLACE_BYTES = 96,
  CELL_CHANGE_BYTES = 64,
  CELL_DOCUMENT_BYTES_MAX = 1000000
};

enum member_state
{
  MEMBER_JOINING, /* has no slots and no lease from its guardian yet */
  MEMBER_ACTIVE,
  MEMBER_LEAVING, /* receives no more slots or wards */
  MEMBER_STATES
};

/* A new cell may be formed: its members join without guardians, and all slots
   get their first owners in one change.  Until then no member serves anything,
   and no lease counts.  */

/* A member.  The document lists members in the order of incarnations.  */
struct cell_member
{
  uint32_t incarnation; /* never 0 */
  enum member_state state;
  uint32_t guardian;       /* incarnation, 0: none, and needs no lease */
  uint32_t second;         /* incarnation of the second guardian, 0: none */
  uint32_t guardian_epoch; /* serial of the last change of a guardian */
  uint32_t weight;         /* relative share of the slots, never 0 */
  struct settings_address callers;
  struct settings_address peers;
  char name[SETTINGS_NAME_BYTES];
  char zone[SETTINGS_NAME_BYTES];
  char rack[SETTINGS_NAME_BYTES];
  char place[CELL_PLACE_BYTES];
  /* It receives no slots while others can, as its zone is evacuated.  Not part
     of the document: set by each reader.  */
  bool excluded;
};

struct cell_slot
{
  uint32_t owner; /* incarnation, 0: none */
  uint32_t epoch;
};

/* A key whose owner is not determined by its slot.  */
struct cell_pin
{
  char key[CELL_KEY_BYTES];
  uint32_t length;
  uint32_t owner; /* incarnation, 0: none */
  uint32_t epoch;
  bool hot; /* pinned automatically for its load, not by an operator */
};

struct cell
{
  char service[SETTINGS_NAME_BYTES];
  char change[CELL_CHANGE_BYTES]; /* id of the change that wrote this document
                                   */
  uint32_t serial; /* 1 for the first document, + 1 for each change */
  uint32_t next_incarnation;
  uint32_t member_count;
  uint32_t slot_count;
  /* 0: keys are hashed to slots.  Otherwise keys are numbers below this value,
     and each slot holds a contiguous range of them.  */
  uint32_t key_space;
  uint32_t pin_count;
  struct cell_member members[CELL_MEMBERS_MAX];
  struct cell_slot slots[CELL_SLOTS_MAX];
  struct cell_pin pins[CELL_PINS_MAX];
};

/* An index into cell.members.  */
typedef uint32_t member_index;
#define MEMBER_NONE UINT32_MAX

/* The owner of a key.  */
struct cell_owner
{
  uint32_t slot;
  uint32_t incarnation; /* 0: none */
  uint32_t epoch;       /* fencing token */
};

/* Return a new cell without members, with serial 0, or NULL when memory is
   short or SLOTS is not in 1 ...  CELL_SLOTS_MAX.  Freed with free.  */
struct cell *cell_new (const char *service, uint32_t slots);

/* Return a copy, freed with free, or NULL when memory is short.  */
struct cell *cell_copy (const struct cell *cell);

/* Parse JSON into a new *CELL, freed with free.  Return STATUS_INVALID for a
   malformed or inconsistent document; the status message says what is
   wrong.  */
enum status cell_parse (const char *json, size_t length, struct cell **cell);

/* Return CELL as JSON, freed with free, or NULL when memory is short.  */
char *cell_format (const struct cell *cell, size_t *length);

/* Return the name of STATE in lower case.  */
const char *member_state_name (enum member_state state);

/* Return the index of the member INCARNATION, or MEMBER_NONE.  */
member_index cell_member_index (const struct cell *cell, uint32_t incarnation);

/* Return the member INCARNATION, or NULL.  */
const struct cell_member *cell_member (const struct cell *cell,
                                       uint32_t incarnation);

uint32_t cell_slot_of (const struct cell *cell, const char *key,
                       size_t length);

/* Return the slot of the key NUMBER, which is below the cell's key space.  */
uint32_t cell_slot_of_number (const struct cell *cell, uint32_t number);

/* Return the lowest key number of SLOT.  The number of slots is accepted as
   SLOT and gives the key space.  */
uint32_t cell_first_key_number (const struct cell *cell, uint32_t slot);

/* Return the owner of KEY: the owner of its pin if there is one, else the
   owner of its slot.  */
struct cell_owner cell_owner_of (const struct cell *cell, const char *key,
                                 size_t length);

/* Return the number of slots that INCARNATION owns.  */
uint32_t cell_count_slots (const struct cell *cell, uint32_t incarnation);

uint32_t cell_count_state (const struct cell *cell, enum member_state state);

/* Whether CELL is being formed: no slot has had an owner yet.  */
bool cell_is_forming (const struct cell *cell);

/* Whether A and B bound the same address for peers in the same place: two runs
   of one node, of which only one can live.  */
bool cell_is_same_place (const struct cell_member *a,
                         const struct cell_member *b);

/* Return the member that has bound SELF's address for peers in the same place,
   or NULL: SELF's process, or an earlier one that has ended.  */
const struct cell_member *cell_find_place (const struct cell *cell,
                                           const struct cell_member *self);

/* A member as JSON.  Parsing returns STATUS_INVALID with a message for a
   malformed one.  */
json_t *cell_format_member (const struct cell_member *member);
enum status cell_parse_member (json_t *json, struct cell_member *member);

/* Changes.  Each function checks its preconditions and changes nothing when it
   fails.  Changes follow cell_begin_change, whose serial becomes the epoch of
   the owners changed.  */

/* Start the next document: increment the serial and set the change id to
   CHANGE.  */
void cell_begin_change (struct cell *cell, const char *change);

/* Add the first member of a cell that is being formed.  Later ones are added
   with cell_join, without a guardian.  */
enum status cell_join_forming (struct cell *cell,
                               const struct cell_member *self,
                               uint32_t *incarnation);

/* Change the number of slots of a cell that is being formed.  */
enum status cell_set_slot_count (struct cell *cell, uint32_t slots);

/* Add a member that is a copy of SELF except for incarnation, guardian and
   state, and return its incarnation in *INCARNATION.  The first member is
   active and takes all slots without an owner; later ones are joining and get
   GUARDIAN.  Return STATUS_OK, STATUS_FULL or STATUS_INVALID.  */
enum status cell_join (struct cell *cell, const struct cell_member *self,
                       uint32_t guardian, uint32_t *incarnation);

/* Set the joining or active member INCARNATION to active.  */
enum status cell_activate (struct cell *cell, uint32_t incarnation);

enum status cell_set_leaving (struct cell *cell, uint32_t incarnation);

/* Set the first guardian of WARD (0: none).  Return STATUS_OK,
   STATUS_NOT_FOUND or STATUS_INVALID (GUARDIAN is WARD).  */
enum status cell_set_guardian (struct cell *cell, uint32_t ward,
                               uint32_t guardian);

/* Set the second guardian of WARD (0: none).  Return STATUS_OK,
   STATUS_NOT_FOUND or STATUS_INVALID (WARD has no first guardian, or SECOND is
   WARD or its first guardian).  */
enum status cell_set_second_guardian (struct cell *cell, uint32_t ward,
                                      uint32_t second);

/* Replace the member OLD, whose process has ended, by SELF with a new
   incarnation, which takes over the slots, pins, wards and guardians of OLD.
   Its state is that of OLD, or active if OLD was leaving.  */
enum status cell_replace (struct cell *cell, uint32_t old,
                          const struct cell_member *self,
                          uint32_t *incarnation);

/* Remove the member INCARNATION.  Its slots and pins are left without an
   owner.  A ward that has another guardian keeps only that one; the other
   wards get SUCCESSOR (0: none, and they need no lease).  Return
   STATUS_INVALID when SUCCESSOR is not another member.  */
enum status cell_remove (struct cell *cell, uint32_t incarnation,
                         uint32_t successor);

/* Set the owner of SLOT to OWNER (0: none) if FROM owns it.  Return
   STATUS_CONFLICT when another member does.  */
enum status cell_move_slot (struct cell *cell, uint32_t slot, uint32_t from,
                            uint32_t owner);

/* Pin KEY to OWNER if FROM owns it.  If OWNER owns the slot of KEY, the pin is
   removed instead.  Return STATUS_OK, STATUS_INVALID, STATUS_CONFLICT or
   STATUS_FULL.  */
enum status cell_pin (struct cell *cell, const char *key, size_t length,
                      uint32_t from, uint32_t owner);

/* Return the pin of KEY, or NULL.  */
const struct cell_pin *cell_find_pin (const struct cell *cell, const char *key,
                                      size_t length);

/* Mark the pin of KEY, if there is one, as made for its load.  cell_pin clears
   the mark when it moves the key.  */
void cell_mark_pin_hot (struct cell *cell, const char *key, size_t length);

#endif
