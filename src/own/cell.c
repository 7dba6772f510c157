#include "own/cell.h"

#include "settings/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  FORMAT_VERSION = 1,
  KEY_DIGITS_MAX = 9,
  PIN_FIELDS = 3 /* a pin made for load has another field, 1 */
};

static const char *const state_names[MEMBER_STATES]
    = { "joining", "active", "leaving" };

/* Parsing.  */

static enum status
invalid (const char *what)
{
  return status_set (STATUS_INVALID, "cell document: %s", what);
}

static bool
parse_u32 (json_int_t value, uint32_t *out)
{
  if (value < 0 || value > UINT32_MAX)
    return false;
  *out = (uint32_t)value;
  return true;
}

static bool
copy_text (char *out, size_t size, const char *text)
{
  size_t length = strlen (text);
  if (length >= size)
    return false;
  memcpy (out, text, length + 1);
  return true;
}

static bool
is_numeric_host (const char *host)
{
  unsigned char address[sizeof (struct in6_addr)];
  return inet_pton (AF_INET, host, address) == 1
         || inet_pton (AF_INET6, host, address) == 1;
}

static bool
parse_address (const char *host, json_int_t port, struct settings_address *out)
{
  if (port < 1 || port > UINT16_MAX || !is_numeric_host (host))
    return false;
  out->port = (uint16_t)port;
  return copy_text (out->host, sizeof out->host, host);
}

static bool
parse_state (const char *name, enum member_state *state)
{
  for (int i = 0; i < MEMBER_STATES; i++)
    if (strcmp (name, state_names[i]) == 0)
      {
        *state = (enum member_state)i;
        return true;
      }
  return false;
}

enum status
cell_parse_member (json_t *json, struct cell_member *m)
{
  json_int_t incarnation;
  json_int_t guardian;
  json_int_t second;
  json_int_t epoch;
  json_int_t weight;
  json_int_t callers_port;
  json_int_t peers_port;
  const char *state;
  const char *name;
  const char *zone;
  const char *rack;
  const char *place;
  const char *callers;
  const char *peers;
  int rc = json_unpack_ex (
      json, NULL, JSON_STRICT,
      "{s:I,s:s,s:I,s:I,s:I,s:I,s:[sI!],s:[sI!],s:s,s:s,s:s,s:s}",
      "incarnation", &incarnation, "state", &state, "guardian", &guardian,
      "second", &second, "guardian_epoch", &epoch, "weight", &weight,
      "callers", &callers, &callers_port, "peers", &peers, &peers_port, "name",
      &name, "zone", &zone, "rack", &rack, "place", &place);
  if (rc != 0)
    return invalid ("a member has a missing or unknown field");
  if (!parse_u32 (incarnation, &m->incarnation)
      || !parse_u32 (guardian, &m->guardian) || !parse_u32 (second, &m->second)
      || !parse_u32 (epoch, &m->guardian_epoch)
      || !parse_u32 (weight, &m->weight))
    return invalid ("a member's number is out of range");
  if (!parse_state (state, &m->state))
    return invalid ("a member's state is unknown");
  if (!parse_address (callers, callers_port, &m->callers)
      || !parse_address (peers, peers_port, &m->peers))
    return invalid ("a member's address is not numeric");
  if (!copy_text (m->name, sizeof m->name, name)
      || !copy_text (m->zone, sizeof m->zone, zone)
      || !copy_text (m->rack, sizeof m->rack, rack)
      || !copy_text (m->place, sizeof m->place, place))
    return invalid ("a member's text is too long");
  return STATUS_OK;
}

static enum status
parse_members (json_t *list, struct cell *cell)
{
  if (!json_is_array (list) || json_array_size (list) > CELL_MEMBERS_MAX)
    return invalid ("members is not a list or is too long");
  cell->member_count = (uint32_t)json_array_size (list);
  uint32_t last = 0;
  for (uint32_t i = 0; i < cell->member_count; i++)
    {
      struct cell_member *m = &cell->members[i];
      enum status s = cell_parse_member (json_array_get (list, i), m);
      if (s != STATUS_OK)
        return s;
      if (m->incarnation <= last || m->incarnation >= cell->next_incarnation)
        return invalid ("incarnations are not in order");
      if (m->weight == 0 || m->guardian_epoch > cell->serial)
        return invalid ("a member's weight or guardian epoch is out of range");
      last = m->incarnation;
    }
  return STATUS_OK;
}

static bool
is_other_member (const struct cell *cell, uint32_t guardian,
                 const struct cell_member *ward)
{
  return guardian != ward->incarnation
         && cell_member_index (cell, guardian) != MEMBER_NONE;
}

static enum status
check_guardians (const struct cell *cell)
{
  for (uint32_t i = 0; i < cell->member_count; i++)
    {
      const struct cell_member *m = &cell->members[i];
      if (m->guardian != 0 && !is_other_member (cell, m->guardian, m))
        return invalid ("a member's guardian is not another member");
      if (m->second != 0
          && (m->second == m->guardian || m->guardian == 0
              || !is_other_member (cell, m->second, m)))
        return invalid ("a member's second guardian is the member itself, "
                        "its first guardian or unknown, or there is no first");
    }
  return STATUS_OK;
}

static bool
is_owner_valid (const struct cell *cell, uint32_t owner, uint32_t epoch)
{
  if (epoch > cell->serial)
    return false;
  return owner == 0 || cell_member_index (cell, owner) != MEMBER_NONE;
}

/* The list is flat and made of runs: first slot, owner, epoch.  A run ends
   where the next begins.  */
static enum status
parse_slots (json_t *list, struct cell *cell)
{
  size_t count = json_is_array (list) ? json_array_size (list) : 0;
  if (count == 0 || count % 3 != 0 || count / 3 > (size_t)cell->slot_count)
    return invalid ("slots is not a list of runs");
  for (size_t i = 0; i < count; i += 3)
    {
      uint32_t run[3];
      uint32_t end = cell->slot_count;
      for (size_t k = 0; k < 3; k++)
        {
          const json_t *number = json_array_get (list, i + k);
          if (!json_is_integer (number)
              || !parse_u32 (json_integer_value (number), &run[k]))
            return invalid ("a run of slots is not made of numbers");
        }
      if (i + 3 < count
          && !parse_u32 (json_integer_value (json_array_get (list, i + 3)),
                         &end))
        return invalid ("a run of slots is not made of numbers");
      if ((i == 0 && run[0] != 0) || end <= run[0] || end > cell->slot_count)
        return invalid ("runs of slots are not in order");
      if (!is_owner_valid (cell, run[1], run[2]))
        return invalid ("a run of slots has an unknown owner or epoch");
      for (uint32_t s = run[0]; s < end; s++)
        cell->slots[s] = (struct cell_slot){ run[1], run[2] };
    }
  return STATUS_OK;
}

static bool
decode_key (const char *text, struct cell_pin *pin)
{
  gsize length = 0;
  guchar *bytes = g_base64_decode (text, &length);
  bool valid = bytes != NULL && length > 0 && length < CELL_KEY_BYTES;
  if (valid)
    {
      memcpy (pin->key, bytes, length);
      pin->key[length] = '\0';
      pin->length = (uint32_t)length;
    }
  g_free (bytes);
  return valid;
}

static struct cell_pin *
find_pin (const struct cell *cell, const char *key, size_t length)
{
  for (uint32_t i = 0; i < cell->pin_count; i++)
    {
      const struct cell_pin *p = &cell->pins[i];
      if (p->length == length && memcmp (p->key, key, length) == 0)
        return (struct cell_pin *)p;
    }
  return NULL;
}

static enum status
parse_pins (json_t *list, struct cell *cell)
{
  if (!json_is_array (list) || json_array_size (list) > CELL_PINS_MAX)
    return invalid ("pins is not a list or is too long");
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      struct cell_pin *p = &cell->pins[i];
      const char *key;
      json_int_t owner;
      json_int_t epoch;
      int mark = 1;
      json_t *item = json_array_get (list, i);
      p->hot = json_array_size (item) > PIN_FIELDS;
      if (json_unpack_ex (item, NULL, JSON_STRICT,
                          p->hot ? "[sIIi!]" : "[sII!]", &key, &owner, &epoch,
                          &mark)
              != 0
          || mark != 1 || !parse_u32 (owner, &p->owner)
          || !parse_u32 (epoch, &p->epoch) || !decode_key (key, p))
        return invalid ("a pin is malformed");
      if (!is_owner_valid (cell, p->owner, p->epoch))
        return invalid ("a pin has an unknown owner or epoch");
      if (find_pin (cell, p->key, p->length) != NULL)
        return invalid ("a key is pinned twice");
      cell->pin_count++;
    }
  return STATUS_OK;
}

static enum status
parse_root (json_t *root, struct cell *cell)
{
  json_int_t version;
  json_int_t serial;
  json_int_t next;
  json_int_t slot_count;
  json_int_t key_space = 0;
  const char *service;
  const char *change;
  json_t *members;
  json_t *slots;
  json_t *pins;
  if (json_unpack_ex (root, NULL, JSON_STRICT,
                      "{s:I,s:s,s:I,s:s,s:I,s:I,s?I,s:o,s:o,s:o}", "version",
                      &version, "service", &service, "serial", &serial,
                      "change", &change, "next_incarnation", &next,
                      "slot_count", &slot_count, "key_space", &key_space,
                      "members", &members, "slots", &slots, "pins", &pins)
      != 0)
    return invalid ("a field is missing or unknown");
  if (version != FORMAT_VERSION)
    return invalid ("unsupported version");
  if (!parse_u32 (serial, &cell->serial) || cell->serial == 0
      || !parse_u32 (next, &cell->next_incarnation)
      || cell->next_incarnation == 0 || slot_count < 1
      || slot_count > CELL_SLOTS_MAX
      || !parse_u32 (key_space, &cell->key_space)
      || (key_space != 0 && key_space < slot_count))
    return invalid ("a number is out of range");
  cell->slot_count = (uint32_t)slot_count;
  if (!copy_text (cell->service, sizeof cell->service, service)
      || !copy_text (cell->change, sizeof cell->change, change))
    return invalid ("a text is too long");
  enum status s = parse_members (members, cell);
  if (s == STATUS_OK)
    s = check_guardians (cell);
  if (s == STATUS_OK)
    s = parse_slots (slots, cell);
  if (s == STATUS_OK)
    s = parse_pins (pins, cell);
  return s;
}

enum status
cell_parse (const char *json, size_t length, struct cell **out)
{
  if (length > CELL_DOCUMENT_BYTES_MAX)
    return invalid ("too long");
  json_t *root = json_loadb (json, length, JSON_REJECT_DUPLICATES, NULL);
  if (root == NULL)
    return invalid ("not JSON");
  struct cell *cell = calloc (1, sizeof *cell);
  enum status s = cell == NULL ? status_set (STATUS_NO_MEMORY, "cell")
                               : parse_root (root, cell);
  json_decref (root);
  if (s != STATUS_OK)
    {
      free (cell);
      return s;
    }
  *out = cell;
  return STATUS_OK;
}

/* Formatting.  */

json_t *
cell_format_member (const struct cell_member *m)
{
  return json_pack (
      "{s:I,s:s,s:I,s:I,s:I,s:I,s:[s,i],s:[s,i],s:s,s:s,s:s,s:s}",
      "incarnation", (json_int_t)m->incarnation, "state",
      state_names[m->state], "guardian", (json_int_t)m->guardian, "second",
      (json_int_t)m->second, "guardian_epoch", (json_int_t)m->guardian_epoch,
      "weight", (json_int_t)m->weight, "callers", m->callers.host,
      (int)m->callers.port, "peers", m->peers.host, (int)m->peers.port, "name",
      m->name, "zone", m->zone, "rack", m->rack, "place", m->place);
}

static json_t *
format_members (const struct cell *cell)
{
  json_t *list = json_array ();
  for (uint32_t i = 0; i < cell->member_count; i++)
    json_array_append_new (list, cell_format_member (&cell->members[i]));
  return list;
}

static json_t *
format_slots (const struct cell *cell)
{
  json_t *list = json_array ();
  for (uint32_t s = 0; s < cell->slot_count; s++)
    {
      const struct cell_slot *slot = &cell->slots[s];
      if (s > 0 && slot->owner == slot[-1].owner
          && slot->epoch == slot[-1].epoch)
        continue;
      json_array_append_new (list, json_integer (s));
      json_array_append_new (list, json_integer (slot->owner));
      json_array_append_new (list, json_integer (slot->epoch));
    }
  return list;
}

static json_t *
format_pins (const struct cell *cell)
{
  json_t *list = json_array ();
  for (uint32_t i = 0; i < cell->pin_count; i++)
    {
      const struct cell_pin *p = &cell->pins[i];
      char *key = g_base64_encode ((const guchar *)p->key, p->length);
      json_t *item = json_pack ("[s,I,I]", key, (json_int_t)p->owner,
                                (json_int_t)p->epoch);
      if (p->hot)
        json_array_append_new (item, json_integer (1));
      json_array_append_new (list, item);
      g_free (key);
    }
  return list;
}

char *
cell_format (const struct cell *cell, size_t *length)
{
  json_t *root = json_pack (
      "{s:i,s:s,s:I,s:s,s:I,s:I,s:o,s:o,s:o}", "version", FORMAT_VERSION,
      "service", cell->service, "serial", (json_int_t)cell->serial, "change",
      cell->change, "next_incarnation", (json_int_t)cell->next_incarnation,
      "slot_count", (json_int_t)cell->slot_count, "members",
      format_members (cell), "slots", format_slots (cell), "pins",
      format_pins (cell));
  if (root == NULL)
    return NULL;
  if (cell->key_space > 0)
    json_object_set_new (root, "key_space", json_integer (cell->key_space));
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  if (text != NULL)
    *length = strlen (text);
  return text;
}

/* Access.  */

struct cell *
cell_new (const char *service, uint32_t slots)
{
  if (slots < 1 || slots > CELL_SLOTS_MAX)
    return NULL;
  struct cell *cell = calloc (1, sizeof *cell);
  if (cell == NULL)
    return NULL;
  copy_text (cell->service, sizeof cell->service, service);
  cell->next_incarnation = 1;
  cell->slot_count = slots;
  return cell;
}

struct cell *
cell_copy (const struct cell *cell)
{
  struct cell *copy = malloc (sizeof *copy);
  if (copy != NULL)
    memcpy (copy, cell, sizeof *copy);
  return copy;
}

const char *
member_state_name (enum member_state state)
{
  return (unsigned)state < MEMBER_STATES ? state_names[state] : "unknown";
}

bool
cell_is_forming (const struct cell *cell)
{
  /* All slots get their first owners in one change.  */
  return cell->member_count > 0 && cell->slots[0].owner == 0
         && cell->slots[0].epoch == 0;
}

bool
cell_is_same_place (const struct cell_member *a, const struct cell_member *b)
{
  return strcmp (a->place, b->place) == 0
         && settings_address_equal (&a->peers, &b->peers);
}

const struct cell_member *
cell_find_place (const struct cell *cell, const struct cell_member *self)
{
  for (uint32_t i = 0; i < cell->member_count; i++)
    if (cell_is_same_place (&cell->members[i], self))
      return &cell->members[i];
  return NULL;
}

member_index
cell_member_index (const struct cell *cell, uint32_t incarnation)
{
  uint32_t low = 0;
  uint32_t high = cell->member_count;
  while (low < high)
    {
      uint32_t middle = (low + high) / 2;
      if (cell->members[middle].incarnation == incarnation)
        return middle;
      if (cell->members[middle].incarnation < incarnation)
        low = middle + 1;
      else
        high = middle;
    }
  return MEMBER_NONE;
}

const struct cell_member *
cell_member (const struct cell *cell, uint32_t incarnation)
{
  member_index index = cell_member_index (cell, incarnation);
  return index == MEMBER_NONE ? NULL : &cell->members[index];
}

/* Parse KEY as a decimal number.  Return whether it is in the cell's key
   space.  */
static bool
key_number (const struct cell *cell, const char *key, size_t length,
            uint32_t *number)
{
  uint64_t value = 0;
  if (length == 0 || length > KEY_DIGITS_MAX)
    return false;
  for (size_t i = 0; i < length; i++)
    {
      if (key[i] < '0' || key[i] > '9')
        return false;
      value = value * 10 + (uint64_t)(key[i] - '0');
    }
  *number = (uint32_t)value;
  return value < cell->key_space;
}

uint32_t
cell_slot_of_number (const struct cell *cell, uint32_t number)
{
  return (uint32_t)((uint64_t)number * cell->slot_count / cell->key_space);
}

uint32_t
cell_first_key_number (const struct cell *cell, uint32_t slot)
{
  uint64_t scaled = (uint64_t)slot * cell->key_space;
  return (uint32_t)((scaled + cell->slot_count - 1) / cell->slot_count);
}

uint32_t
cell_slot_of (const struct cell *cell, const char *key, size_t length)
{
  uint32_t number;
  if (cell->key_space > 0 && key_number (cell, key, length, &number))
    return cell_slot_of_number (cell, number);
  return (uint32_t)(XXH3_64bits (key, length) % cell->slot_count);
}

struct cell_owner
cell_owner_of (const struct cell *cell, const char *key, size_t length)
{
  uint32_t s = cell_slot_of (cell, key, length);
  const struct cell_slot *slot = &cell->slots[s];
  const struct cell_pin *pin = find_pin (cell, key, length);
  if (pin == NULL)
    return (struct cell_owner){ s, slot->owner, slot->epoch };
  /* A target may compare fencing tokens by slot: never go below the epoch of
     the slot.  */
  uint32_t epoch = pin->epoch > slot->epoch ? pin->epoch : slot->epoch;
  return (struct cell_owner){ s, pin->owner, epoch };
}

uint32_t
cell_count_slots (const struct cell *cell, uint32_t incarnation)
{
  uint32_t count = 0;
  for (uint32_t s = 0; s < cell->slot_count; s++)
    count += cell->slots[s].owner == incarnation;
  return count;
}

uint32_t
cell_count_state (const struct cell *cell, enum member_state state)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < cell->member_count; i++)
    count += cell->members[i].state == state;
  return count;
}

/* Changes.  */

static struct cell_member *
find_member (struct cell *cell, uint32_t incarnation)
{
  member_index index = cell_member_index (cell, incarnation);
  return index == MEMBER_NONE ? NULL : &cell->members[index];
}

/* Transfer the slots and pins of FROM to OWNER.  */
static void
transfer_ownership (struct cell *cell, uint32_t from, uint32_t owner)
{
  for (uint32_t s = 0; s < cell->slot_count; s++)
    if (cell->slots[s].owner == from)
      cell->slots[s] = (struct cell_slot){ owner, cell->serial };
  for (uint32_t i = 0; i < cell->pin_count; i++)
    if (cell->pins[i].owner == from)
      {
        cell->pins[i].owner = owner;
        cell->pins[i].epoch = cell->serial;
      }
}

static void
assign_guardian (struct cell *cell, struct cell_member *ward,
                 uint32_t guardian)
{
  ward->guardian = guardian == ward->incarnation ? 0 : guardian;
  if (ward->guardian == 0 || ward->second == ward->guardian)
    ward->second = 0;
  ward->guardian_epoch = cell->serial;
}

/* Give the wards of FROM, which is being removed, their other guardian or else
   SUCCESSOR.  */
static void
reassign_wards (struct cell *cell, uint32_t from, uint32_t successor)
{
  for (uint32_t i = 0; i < cell->member_count; i++)
    {
      struct cell_member *m = &cell->members[i];
      if (m->guardian == from)
        assign_guardian (cell, m, m->second != 0 ? m->second : successor);
      else if (m->second == from)
        {
          m->second = 0;
          m->guardian_epoch = cell->serial;
        }
    }
}

/* Transfer the wards of FROM to TO, which replaces it.  */
static void
transfer_wards (struct cell *cell, uint32_t from, uint32_t to)
{
  for (uint32_t i = 0; i < cell->member_count; i++)
    {
      struct cell_member *m = &cell->members[i];
      if (m->guardian != from && m->second != from)
        continue;
      if (m->guardian == from)
        m->guardian = to;
      else
        m->second = to;
      m->guardian_epoch = cell->serial;
    }
}

static struct cell_member *
append_member (struct cell *cell, const struct cell_member *self)
{
  if (cell->member_count == CELL_MEMBERS_MAX)
    return NULL;
  struct cell_member *m = &cell->members[cell->member_count++];
  *m = *self;
  m->incarnation = cell->next_incarnation++;
  if (m->weight == 0)
    m->weight = 1;
  return m;
}

static void
delete_member (struct cell *cell, member_index index)
{
  struct cell_member *m = &cell->members[index];
  uint32_t after = cell->member_count - index - 1;
  memmove (m, m + 1, after * sizeof *m);
  cell->member_count--;
}

void
cell_begin_change (struct cell *cell, const char *change)
{
  cell->serial++;
  memset (cell->change, 0, sizeof cell->change);
  copy_text (cell->change, sizeof cell->change, change);
}

enum status
cell_join (struct cell *cell, const struct cell_member *self,
           uint32_t guardian, uint32_t *incarnation)
{
  bool first = cell->member_count == 0;
  bool forming = cell_is_forming (cell);
  if (guardian != 0 && cell_member_index (cell, guardian) == MEMBER_NONE)
    return status_set (STATUS_INVALID, "the guardian is not a member");
  if (!first && !forming && guardian == 0)
    return status_set (STATUS_INVALID,
                       "only the first member may have no guardian");
  struct cell_member *m = append_member (cell, self);
  if (m == NULL)
    return status_set (STATUS_FULL, "the cell has %d members",
                       CELL_MEMBERS_MAX);
  m->state = first ? MEMBER_ACTIVE : MEMBER_JOINING;
  m->second = 0;
  assign_guardian (cell, m, guardian);
  if (first)
    transfer_ownership (cell, 0, m->incarnation);
  *incarnation = m->incarnation;
  return STATUS_OK;
}

enum status
cell_join_forming (struct cell *cell, const struct cell_member *self,
                   uint32_t *incarnation)
{
  if (cell->member_count > 0 || cell->slots[0].epoch != 0)
    return status_set (STATUS_INVALID, "the cell has been formed");
  struct cell_member *m = append_member (cell, self);
  m->state = MEMBER_JOINING;
  m->second = 0;
  assign_guardian (cell, m, 0);
  *incarnation = m->incarnation;
  return STATUS_OK;
}

enum status
cell_set_slot_count (struct cell *cell, uint32_t slots)
{
  if (!cell_is_forming (cell) || slots < 1 || slots > CELL_SLOTS_MAX)
    return status_set (STATUS_INVALID, "the cell has been formed, or %u slots",
                       slots);
  memset (cell->slots, 0, sizeof cell->slots);
  cell->slot_count = slots;
  return STATUS_OK;
}

enum status
cell_activate (struct cell *cell, uint32_t incarnation)
{
  struct cell_member *m = find_member (cell, incarnation);
  if (m == NULL)
    return status_set (STATUS_NOT_FOUND, "no member %u", incarnation);
  if (m->state == MEMBER_LEAVING)
    return status_set (STATUS_INVALID, "member %u is leaving", incarnation);
  m->state = MEMBER_ACTIVE;
  return STATUS_OK;
}

enum status
cell_set_leaving (struct cell *cell, uint32_t incarnation)
{
  struct cell_member *m = find_member (cell, incarnation);
  if (m == NULL)
    return status_set (STATUS_NOT_FOUND, "no member %u", incarnation);
  m->state = MEMBER_LEAVING;
  return STATUS_OK;
}

enum status
cell_set_guardian (struct cell *cell, uint32_t ward, uint32_t guardian)
{
  struct cell_member *m = find_member (cell, ward);
  if (m == NULL
      || (guardian != 0 && cell_member_index (cell, guardian) == MEMBER_NONE))
    return status_set (STATUS_NOT_FOUND, "no member %u or %u", ward, guardian);
  if (guardian == ward)
    return status_set (STATUS_INVALID, "member %u guards itself", ward);
  assign_guardian (cell, m, guardian);
  return STATUS_OK;
}

enum status
cell_set_second_guardian (struct cell *cell, uint32_t ward, uint32_t second)
{
  struct cell_member *m = find_member (cell, ward);
  if (m == NULL
      || (second != 0 && cell_member_index (cell, second) == MEMBER_NONE))
    return status_set (STATUS_NOT_FOUND, "no member %u or %u", ward, second);
  if (m->guardian == 0 || second == ward || second == m->guardian)
    return status_set (STATUS_INVALID,
                       "second guardian %u: is the ward or its first "
                       "guardian, or the ward has no first guardian",
                       second);
  m->second = second;
  m->guardian_epoch = cell->serial;
  return STATUS_OK;
}

enum status
cell_replace (struct cell *cell, uint32_t old, const struct cell_member *self,
              uint32_t *incarnation)
{
  member_index index = cell_member_index (cell, old);
  if (index == MEMBER_NONE)
    return status_set (STATUS_NOT_FOUND, "no member %u", old);
  enum member_state state = cell->members[index].state;
  uint32_t guardian = cell->members[index].guardian;
  uint32_t second = cell->members[index].second;
  delete_member (cell, index);
  struct cell_member *m = append_member (cell, self);
  m->state = state == MEMBER_LEAVING ? MEMBER_ACTIVE : state;
  m->second = second;
  assign_guardian (cell, m, guardian);
  transfer_wards (cell, old, m->incarnation);
  transfer_ownership (cell, old, m->incarnation);
  *incarnation = m->incarnation;
  return STATUS_OK;
}

enum status
cell_remove (struct cell *cell, uint32_t incarnation, uint32_t successor)
{
  member_index index = cell_member_index (cell, incarnation);
  if (index == MEMBER_NONE)
    return status_set (STATUS_NOT_FOUND, "no member %u", incarnation);
  if (successor == incarnation
      || (successor != 0
          && cell_member_index (cell, successor) == MEMBER_NONE))
    return status_set (STATUS_INVALID, "%u is not another member", successor);
  reassign_wards (cell, incarnation, successor);
  transfer_ownership (cell, incarnation, 0);
  delete_member (cell, index);
  return STATUS_OK;
}

enum status
cell_move_slot (struct cell *cell, uint32_t slot, uint32_t from,
                uint32_t owner)
{
  if (slot >= cell->slot_count
      || (owner != 0 && cell_member_index (cell, owner) == MEMBER_NONE))
    return status_set (STATUS_NOT_FOUND, "no slot %u or member %u", slot,
                       owner);
  if (cell->slots[slot].owner != from)
    return status_set (STATUS_CONFLICT, "slot %u has another owner", slot);
  cell->slots[slot] = (struct cell_slot){ owner, cell->serial };
  return STATUS_OK;
}

static enum status
add_pin (struct cell *cell, const char *key, size_t length, uint32_t owner)
{
  if (cell->pin_count == CELL_PINS_MAX)
    return status_set (STATUS_FULL, "%d keys are pinned", CELL_PINS_MAX);
  struct cell_pin *p = &cell->pins[cell->pin_count++];
  memset (p, 0, sizeof *p);
  memcpy (p->key, key, length);
  p->length = (uint32_t)length;
  p->owner = owner;
  p->epoch = cell->serial;
  return STATUS_OK;
}

/* Delete PIN.  The key falls back to its slot, whose epoch must exceed the
   pin's.  */
static void
delete_pin (struct cell *cell, struct cell_pin *pin)
{
  cell->slots[cell_slot_of (cell, pin->key, pin->length)].epoch = cell->serial;
  struct cell_pin *end = &cell->pins[cell->pin_count--];
  memmove (pin, pin + 1, (size_t)(end - pin - 1) * sizeof *pin);
}

enum status
cell_pin (struct cell *cell, const char *key, size_t length, uint32_t from,
          uint32_t owner)
{
  if (length == 0 || length >= CELL_KEY_BYTES
      || (owner != 0 && cell_member_index (cell, owner) == MEMBER_NONE))
    return status_set (STATUS_INVALID, "invalid key or no member %u", owner);
  struct cell_owner current = cell_owner_of (cell, key, length);
  if (current.incarnation != from)
    return status_set (STATUS_CONFLICT, "the key has another owner");
  struct cell_pin *pin = find_pin (cell, key, length);
  bool owns_slot = cell->slots[current.slot].owner == owner;
  if (pin == NULL)
    return owns_slot ? STATUS_OK : add_pin (cell, key, length, owner);
  if (owns_slot)
    {
      delete_pin (cell, pin);
      return STATUS_OK;
    }
  pin->owner = owner;
  pin->epoch = cell->serial;
  pin->hot = false;
  return STATUS_OK;
}

const struct cell_pin *
cell_find_pin (const struct cell *cell, const char *key, size_t length)
{
  return find_pin (cell, key, length);
}

void
cell_mark_pin_hot (struct cell *cell, const char *key, size_t length)
{
  struct cell_pin *pin = find_pin (cell, key, length);
  if (pin != NULL)
    pin->hot = true;
}
