#include "route/map.h"

#include <ck_pr.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct map
{
  pthread_rwlock_t lock; /* guards view and closed */
  struct map_view view;
  bool closed[MAP_SLOTS_MAX]; /* accepts no new requests */
  uint32_t in_flight[MAP_SLOTS_MAX];
  int64_t lease_until_ns;
};

struct map *
map_new (void)
{
  struct map *m = calloc (1, sizeof *m);
  if (m == NULL)
    return NULL;
  pthread_rwlock_init (&m->lock, NULL);
  m->lease_until_ns = INT64_MIN;
  return m;
}

void
map_free (struct map *m)
{
  if (m == NULL)
    return;
  pthread_rwlock_destroy (&m->lock);
  free (m);
}

static bool
same_ownership (const struct map_ownership *a, const struct map_ownership *b)
{
  return a->owner == b->owner && a->epoch == b->epoch;
}

/* The time at which the owner of a slot changed, which went from OLD to NEW.
   The first view reports no changes.  */
static int64_t
owner_since (const struct map_ownership *old, const struct map_ownership *new,
             bool first, int64_t wall_ms)
{
  if (first)
    return 0;
  return same_ownership (old, new) ? old->owner_since_ms : wall_ms;
}

void
map_install_view (struct map *m, const struct map_view *view, int64_t wall_ms)
{
  pthread_rwlock_wrlock (&m->lock);
  bool first = m->view.slot_count == 0;
  for (uint32_t i = 0; i < view->slot_count; i++)
    {
      struct map_ownership *old = &m->view.slots[i];
      int64_t since_ms = owner_since (old, &view->slots[i], first, wall_ms);
      /* Slots of a handover under way stay closed: a slot of another member
         that holds a key pinned here, and a slot that this node keeps with a
         new epoch.  */
      if (old->owner == m->view.self_incarnation
          && view->slots[i].owner != view->self_incarnation)
        m->closed[i] = false;
      *old = view->slots[i];
      old->owner_since_ms = since_ms;
    }
  m->view.revision = view->revision;
  m->view.self_incarnation = view->self_incarnation;
  m->view.slot_count = view->slot_count;
  m->view.member_count = view->member_count;
  m->view.pin_count = view->pin_count;
  memcpy (m->view.members, view->members, sizeof view->members);
  memcpy (m->view.pins, view->pins, sizeof view->pins);
  pthread_rwlock_unlock (&m->lock);
}

void
map_set_lease_until (struct map *m, int64_t until_ns)
{
  ck_pr_store_64 ((uint64_t *)&m->lease_until_ns, (uint64_t)until_ns);
}

int64_t
map_lease_until (const struct map *m)
{
  return (int64_t)ck_pr_load_64 ((const uint64_t *)&m->lease_until_ns);
}

const struct map_member *
map_view_find_member (const struct map_view *view, uint64_t incarnation)
{
  for (uint32_t i = 0; i < view->member_count; i++)
    if (view->members[i].incarnation == incarnation)
      return &view->members[i];
  return NULL;
}

const struct map_member *
map_view_find_member_named (const struct map_view *view, const char *name)
{
  for (uint32_t i = 0; i < view->member_count; i++)
    if (strcmp (view->members[i].name, name) == 0)
      return &view->members[i];
  return NULL;
}

const struct map_pin *
map_view_find_pin (const struct map_view *view, const char *key)
{
  for (uint32_t i = 0; i < view->pin_count; i++)
    if (strcmp (view->pins[i].key, key) == 0)
      return &view->pins[i];
  return NULL;
}

static const struct map_ownership *
find_ownership (const struct map_view *view, const char *key, uint32_t *slot)
{
  if (view->slot_count == 0)
    return NULL;
  *slot = request_slot (key, view->slot_count);
  const struct map_pin *pin = map_view_find_pin (view, key);
  return pin != NULL ? &pin->ownership : &view->slots[*slot];
}

static enum status
find_locked (struct map *m, const char *key, struct owner *owner)
{
  const struct map_ownership *ownership
      = find_ownership (&m->view, key, &owner->slot);
  if (ownership == NULL || ownership->owner == 0)
    return STATUS_NOT_FOUND;
  const struct map_member *member
      = map_view_find_member (&m->view, ownership->owner);
  if (member == NULL)
    return STATUS_NOT_FOUND;
  owner->incarnation = ownership->owner;
  owner->epoch = ownership->epoch;
  owner->is_self = ownership->owner == m->view.self_incarnation;
  memcpy (owner->peer_address, member->peer_address,
          sizeof owner->peer_address);
  return STATUS_OK;
}

enum status
map_find_owner (struct map *m, const char *key, struct owner *owner)
{
  memset (owner, 0, sizeof *owner);
  pthread_rwlock_rdlock (&m->lock);
  enum status s = find_locked (m, key, owner);
  pthread_rwlock_unlock (&m->lock);
  return s;
}

bool
map_has_view (struct map *m)
{
  pthread_rwlock_rdlock (&m->lock);
  bool known = m->view.slot_count > 0;
  pthread_rwlock_unlock (&m->lock);
  return known;
}

bool
map_is_member (struct map *m, uint64_t incarnation)
{
  pthread_rwlock_rdlock (&m->lock);
  bool found = map_view_find_member (&m->view, incarnation) != NULL;
  pthread_rwlock_unlock (&m->lock);
  return found;
}

uint64_t
map_self_incarnation (struct map *m)
{
  pthread_rwlock_rdlock (&m->lock);
  uint64_t self = m->view.self_incarnation;
  pthread_rwlock_unlock (&m->lock);
  return self;
}

int64_t
map_revision (struct map *m)
{
  pthread_rwlock_rdlock (&m->lock);
  int64_t revision = m->view.revision;
  pthread_rwlock_unlock (&m->lock);
  return revision;
}

static enum status
begin_locked (struct map *m, const char *key, int64_t now_ns,
              struct owner *owner, enum reason *reason)
{
  *reason = REASON_NO_OWNER;
  if (find_locked (m, key, owner) != STATUS_OK)
    return STATUS_NOT_FOUND;
  *reason = REASON_NOT_OWNER;
  if (!owner->is_self)
    return STATUS_STALE;
  *reason = REASON_MOVING;
  if (m->closed[owner->slot])
    return STATUS_STALE;
  *reason = REASON_LEASE_LAPSED;
  if (map_lease_until (m) <= now_ns)
    return STATUS_STALE;
  *reason = REASON_NONE;
  ck_pr_inc_32 (&m->in_flight[owner->slot]);
  return STATUS_OK;
}

enum status
map_begin_request (struct map *m, const char *key, int64_t now_ns,
                   struct owner *owner, enum reason *reason)
{
  memset (owner, 0, sizeof *owner);
  pthread_rwlock_rdlock (&m->lock);
  enum status s = begin_locked (m, key, now_ns, owner, reason);
  pthread_rwlock_unlock (&m->lock);
  return s;
}

bool
map_may_send (struct map *m, const struct owner *owner, int64_t now_ns)
{
  /* A request in flight keeps the ownership of its slot until map_end_request:
     another member can take it over only after the lease has expired.  */
  bool self = map_self_incarnation (m) == owner->incarnation;
  return self && map_lease_until (m) > now_ns;
}

void
map_end_request (struct map *m, const struct owner *owner)
{
  ck_pr_dec_32 (&m->in_flight[owner->slot]);
}

static void
set_closed (struct map *m, uint32_t first, uint32_t count, bool closed)
{
  pthread_rwlock_wrlock (&m->lock);
  for (uint32_t i = first; i < first + count && i < MAP_SLOTS_MAX; i++)
    m->closed[i] = closed;
  pthread_rwlock_unlock (&m->lock);
}

void
map_close_slots (struct map *m, uint32_t first, uint32_t count)
{
  set_closed (m, first, count, true);
}

void
map_open_slots (struct map *m, uint32_t first, uint32_t count)
{
  set_closed (m, first, count, false);
}

uint32_t
map_in_flight (struct map *m, uint32_t first, uint32_t count)
{
  uint32_t sum = 0;
  for (uint32_t i = first; i < first + count && i < MAP_SLOTS_MAX; i++)
    sum += ck_pr_load_32 (&m->in_flight[i]);
  return sum;
}

uint32_t
map_total_in_flight (struct map *m)
{
  return map_in_flight (m, 0, MAP_SLOTS_MAX);
}

struct map_view *
map_copy_view (struct map *m)
{
  struct map_view *copy = malloc (sizeof *copy);
  if (copy == NULL)
    return NULL;
  pthread_rwlock_rdlock (&m->lock);
  *copy = m->view;
  pthread_rwlock_unlock (&m->lock);
  return copy;
}
