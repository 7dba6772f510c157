/* The document of a cell: its members, who owns each slot, pinned keys.

   Members are named by incarnation, a number the document hands out and never
   uses again.  Epochs are fencing tokens: the serial of the document in which
   the owner of the slot or key changed last.  */

#ifndef OWN_CELL_H
#define OWN_CELL_H

#include "base/status.h"
#include "settings/settings.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  CELL_MEMBERS_MAX = 128,
  CELL_SLOTS_MAX = 4096,
  CELL_PINS_MAX = 256,
  CELL_KEY_BYTES = 256, /* a key and a zero byte */
  CELL_PLACE_BYTES = 96,
  CELL_CHANGE_BYTES = 64,
  CELL_DOCUMENT_BYTES_MAX = 1000000
};

enum member_state
{
  MEMBER_JOINING, /* no slots; not yet reached by its guardian */
  MEMBER_ACTIVE,
  MEMBER_LEAVING, /* gets no slots and no wards */
  MEMBER_STATES
};

/* A member, in the order of incarnations.  */
struct cell_member
{
  uint32_t incarnation; /* never 0 */
  enum member_state state;
  uint32_t guardian;       /* incarnation, 0: needs no lease */
  uint32_t second;         /* its other guardian, 0: none */
  uint32_t guardian_epoch; /* grows with each change of either */
  uint32_t weight;         /* share of the slots, never 0 */
  struct settings_address callers;
  struct settings_address peers;
  char name[SETTINGS_NAME_BYTES];
  char zone[SETTINGS_NAME_BYTES];
  char rack[SETTINGS_NAME_BYTES];
  char place[CELL_PLACE_BYTES];
};

struct cell_slot
{
  uint32_t owner; /* incarnation, 0: nobody */
  uint32_t epoch;
};

/* A key that is owned apart from its slot.  */
struct cell_pin
{
  char key[CELL_KEY_BYTES];
  uint32_t length;
  uint32_t owner; /* incarnation, 0: nobody */
  uint32_t epoch;
  bool hot; /* for its load; else an operator wants it there */
};

struct cell
{
  char service[SETTINGS_NAME_BYTES];
  char change[CELL_CHANGE_BYTES]; /* id of the last writer's change */
  uint32_t serial;                /* 1, then + 1 for each change */
  uint32_t next_incarnation;
  uint32_t member_count;
  uint32_t slot_count;
  /* 0: keys are hashed to slots.  Else keys are numbers below this, and each
     slot holds a run of neighbours.  */
  uint32_t key_space;
  uint32_t pin_count;
  struct cell_member members[CELL_MEMBERS_MAX];
  struct cell_slot slots[CELL_SLOTS_MAX];
  struct cell_pin pins[CELL_PINS_MAX];
};

/* An index into members.  */
typedef uint32_t member_index;
#define MEMBER_NONE UINT32_MAX

/* The owner of a key.  */
struct cell_owner
{
  uint32_t slot;
  uint32_t incarnation; /* 0: nobody */
  uint32_t epoch;       /* the fencing token */
};

/* A new cell without members, serial 0, or NULL when memory is short or
   SLOTS is not in 1 ... CELL_SLOTS_MAX.  Freed with free.  */
struct cell *cell_new (const char *service, uint32_t slots);

/* A copy, freed with free, or NULL when memory is short.  */
struct cell *cell_copy (const struct cell *cell);

/* The cell that JSON describes into *CELL, freed with free.  STATUS_INVALID
   for anything malformed or inconsistent, with the place in the message.  */
enum status cell_parse (const char *json, size_t length, struct cell **cell);

/* The JSON of CELL, freed with free, or NULL when memory is short.  */
char *cell_format (const struct cell *cell, size_t *length);

/* The name of STATE in lower case.  */
const char *member_state_name (enum member_state state);

/* The member INCARNATION, or MEMBER_NONE.  */
member_index cell_member_index (const struct cell *cell, uint32_t incarnation);

/* The member INCARNATION, or NULL.  */
const struct cell_member *cell_member (const struct cell *cell,
                                       uint32_t incarnation);

/* The slot of KEY.  */
uint32_t cell_slot_of (const struct cell *cell, const char *key,
                       size_t length);

/* The slot of the key NUMBER, below the cell's key space.  */
uint32_t cell_slot_of_number (const struct cell *cell, uint32_t number);

/* The first key number of SLOT, 0 to the number of slots: the key space for
   that.  */
uint32_t cell_first_key_number (const struct cell *cell, uint32_t slot);

/* The owner of KEY: that of its pin, else that of its slot.  */
struct cell_owner cell_owner_of (const struct cell *cell, const char *key,
                                 size_t length);

/* The number of slots of INCARNATION.  */
uint32_t cell_count_slots (const struct cell *cell, uint32_t incarnation);

/* The number of members in STATE.  */
uint32_t cell_count_state (const struct cell *cell, enum member_state state);

/* Changes.  Each checks its preconditions and changes nothing when it fails.
   A change belongs to the edition that cell_begin_change opened: owners
   changed in it get its serial as epoch.  */

/* Open the next edition: serial + 1, CHANGE as its id.  */
void cell_begin_change (struct cell *cell, const char *change);

/* Add a member made from SELF (incarnation, guardian and state are set here)
   and return its incarnation in *INCARNATION.  The first member is active
   and takes all slots without an owner; later ones are joining, with the
   guardian that is given.  STATUS_FULL, STATUS_INVALID.  */
enum status cell_join (struct cell *cell, const struct cell_member *self,
                       uint32_t guardian, uint32_t *incarnation);

/* Make the joining or active member INCARNATION active.  */
enum status cell_activate (struct cell *cell, uint32_t incarnation);

/* Mark the member INCARNATION as leaving.  */
enum status cell_set_leaving (struct cell *cell, uint32_t incarnation);

/* Set the guardian of WARD (0: none).  STATUS_NOT_FOUND or
   STATUS_INVALID (its own guardian).  */
enum status cell_set_guardian (struct cell *cell, uint32_t ward,
                               uint32_t guardian);

/* Set the second guardian of WARD, which has a first one (0: none).
   STATUS_NOT_FOUND or STATUS_INVALID (itself, or its first).  */
enum status cell_set_second_guardian (struct cell *cell, uint32_t ward,
                                      uint32_t second);

/* Replace the ended run OLD by SELF under a new incarnation: it takes the
   slots, pins and wards of OLD, its state and its guardian.  */
enum status cell_replace (struct cell *cell, uint32_t old,
                          const struct cell_member *self,
                          uint32_t *incarnation);

/* Remove the member INCARNATION.  Its slots and pins are left without an
   owner.  A ward that has another guardian keeps that one alone; the others
   pass to HEIR (0: they need no lease).  STATUS_INVALID when HEIR is no other
   member.  */
enum status cell_remove (struct cell *cell, uint32_t incarnation,
                         uint32_t heir);

/* Give the slot to OWNER (0: nobody) if FROM owns it.  STATUS_CONFLICT when
   another does.  */
enum status cell_move_slot (struct cell *cell, uint32_t slot, uint32_t from,
                            uint32_t owner);

/* Pin KEY to OWNER if FROM owns it.  A key that goes to the owner of its slot
   is unpinned.  STATUS_CONFLICT, STATUS_FULL.  */
enum status cell_pin (struct cell *cell, const char *key, size_t length,
                      uint32_t from, uint32_t owner);

/* The pin of KEY, or NULL.  */
const struct cell_pin *cell_find_pin (const struct cell *cell, const char *key,
                                      size_t length);

/* Mark the pin of KEY, if there is one, as made for its load.  Each move of
   the key by cell_pin takes the mark away.  */
void cell_mark_pin_hot (struct cell *cell, const char *key, size_t length);

#endif
