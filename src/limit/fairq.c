#include "limit/fairq.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  NAME_BYTES = 64,
  SHARED_ORGANISATIONS = 2, /* one for paying, one for trial organisations */
  INDEX_BITS = 16,
  INDEX_MASK = (1 << INDEX_BITS) - 1
};

#define NO_INDEX UINT32_MAX

struct ticket
{
  struct fairq_entry entry;
  uint32_t generation; /* part of the handle, 1 to 65535 */
  uint32_t next;       /* in the organisation's list or the free list */
  uint32_t prev;
  uint32_t heap_index;
};

/* The waiting tickets of one organisation in one class, oldest first.  */
struct ticket_list
{
  uint32_t head;
  uint32_t tail;
  uint32_t count;
  uint32_t credit; /* requests that may still start in this turn */
  uint32_t ring_next;
  uint32_t ring_prev;
};

struct organisation
{
  char name[NAME_BYTES];
  uint32_t weight;
  uint32_t in_flight_max;
  uint32_t in_flight;
  uint32_t waiting;
  struct ticket_list ticket_lists[FAIRQ_CLASSES];
};

struct class_ring
{
  uint32_t current; /* organisation whose turn it is */
  uint32_t organisations;
  uint32_t waiting;
  uint32_t running;
};

struct fairq
{
  struct ticket *tickets;
  uint32_t ticket_count;
  uint32_t free_head;
  uint32_t *heap; /* min-heap of waiting tickets by deadline */
  uint32_t heap_count;
  struct organisation *organisations;
  uint32_t organisation_count; /* entries in use */
  uint32_t organisation_max;
  uint32_t reuse_next; /* start of the next search for an idle entry */
  GHashTable *by_name; /* name -> index of the entry */
  struct class_ring rings[FAIRQ_CLASSES];
};

static void
organisation_reset (struct organisation *o, const char *name)
{
  memset (o, 0, sizeof *o);
  g_strlcpy (o->name, name, sizeof o->name);
  o->weight = 1;
  for (int c = 0; c < FAIRQ_CLASSES; c++)
    {
      o->ticket_lists[c].head = NO_INDEX;
      o->ticket_lists[c].tail = NO_INDEX;
    }
}

static void
tickets_reset (struct fairq *q)
{
  for (uint32_t i = 0; i < q->ticket_count; i++)
    {
      q->tickets[i].generation = 1;
      q->tickets[i].next = i + 1 < q->ticket_count ? i + 1 : NO_INDEX;
    }
  q->free_head = 0;
}

struct fairq *
fairq_new (uint32_t tickets_max, uint32_t organisations_max)
{
  if (tickets_max == 0 || tickets_max > FAIRQ_TICKETS_MAX)
    return NULL;
  struct fairq *q = calloc (1, sizeof *q);
  if (q == NULL)
    return NULL;
  q->ticket_count = tickets_max;
  q->organisation_max = organisations_max + SHARED_ORGANISATIONS;
  q->tickets = calloc (tickets_max, sizeof *q->tickets);
  q->heap = calloc (tickets_max, sizeof *q->heap);
  q->organisations = calloc (q->organisation_max, sizeof *q->organisations);
  q->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  if (q->tickets == NULL || q->heap == NULL || q->organisations == NULL)
    {
      fairq_free (q);
      return NULL;
    }
  tickets_reset (q);
  organisation_reset (&q->organisations[0], "(other paying)");
  organisation_reset (&q->organisations[1], "(other trials)");
  q->organisation_count = SHARED_ORGANISATIONS;
  q->reuse_next = SHARED_ORGANISATIONS;
  return q;
}

void
fairq_free (struct fairq *q)
{
  if (q == NULL)
    return;
  g_hash_table_destroy (q->by_name);
  free (q->tickets);
  free (q->heap);
  free (q->organisations);
  free (q);
}

/* Organisations.  */

static bool
is_idle (const struct organisation *o)
{
  return o->in_flight == 0 && o->waiting == 0;
}

static uint32_t
reuse_idle_entry (struct fairq *q)
{
  uint32_t span = q->organisation_max - SHARED_ORGANISATIONS;
  for (uint32_t i = 0; i < span; i++)
    {
      uint32_t index = q->reuse_next++;
      if (q->reuse_next == q->organisation_max)
        q->reuse_next = SHARED_ORGANISATIONS;
      if (!is_idle (&q->organisations[index]))
        continue;
      g_hash_table_remove (q->by_name, q->organisations[index].name);
      return index;
    }
  return NO_INDEX;
}

fairq_organisation
fairq_find_or_add (struct fairq *q, const char *name, bool trial)
{
  char key[NAME_BYTES];
  void *found;
  g_strlcpy (key, name, sizeof key);
  if (g_hash_table_lookup_extended (q->by_name, key, NULL, &found))
    return GPOINTER_TO_UINT (found);
  uint32_t index = q->organisation_count < q->organisation_max
                       ? q->organisation_count++
                       : reuse_idle_entry (q);
  if (index == NO_INDEX)
    return trial ? 1 : 0;
  struct organisation *o = &q->organisations[index];
  organisation_reset (o, key);
  g_hash_table_insert (q->by_name, o->name, GUINT_TO_POINTER (index));
  return index;
}

void
fairq_set_policy (struct fairq *q, fairq_organisation o, uint32_t weight,
                  uint32_t in_flight_max)
{
  if (o < SHARED_ORGANISATIONS)
    return;
  q->organisations[o].weight = weight > 0 ? weight : 1;
  q->organisations[o].in_flight_max = in_flight_max;
}

uint32_t
fairq_waiting (const struct fairq *q, fairq_organisation o)
{
  return q->organisations[o].waiting;
}

bool
fairq_below_limit (const struct fairq *q, fairq_organisation o)
{
  const struct organisation *org = &q->organisations[o];
  return org->in_flight_max == 0 || org->in_flight < org->in_flight_max;
}

/* The heap of deadlines.  */

static bool
heap_less (const struct fairq *q, uint32_t pos_a, uint32_t pos_b)
{
  return q->tickets[q->heap[pos_a]].entry.deadline_ns
         < q->tickets[q->heap[pos_b]].entry.deadline_ns;
}

static void
heap_swap (struct fairq *q, uint32_t pos_a, uint32_t pos_b)
{
  uint32_t index_a = q->heap[pos_a];
  q->heap[pos_a] = q->heap[pos_b];
  q->heap[pos_b] = index_a;
  q->tickets[q->heap[pos_a]].heap_index = pos_a;
  q->tickets[q->heap[pos_b]].heap_index = pos_b;
}

static void
heap_sift_up (struct fairq *q, uint32_t pos)
{
  while (pos > 0 && heap_less (q, pos, (pos - 1) / 2))
    {
      heap_swap (q, pos, (pos - 1) / 2);
      pos = (pos - 1) / 2;
    }
}

static void
heap_sift_down (struct fairq *q, uint32_t pos)
{
  for (;;)
    {
      uint32_t child = 2 * pos + 1;
      if (child >= q->heap_count)
        return;
      if (child + 1 < q->heap_count && heap_less (q, child + 1, child))
        child++;
      if (!heap_less (q, child, pos))
        return;
      heap_swap (q, child, pos);
      pos = child;
    }
}

static void
heap_add (struct fairq *q, uint32_t index)
{
  uint32_t pos = q->heap_count++;
  q->heap[pos] = index;
  q->tickets[index].heap_index = pos;
  heap_sift_up (q, pos);
}

static void
heap_remove (struct fairq *q, uint32_t index)
{
  uint32_t pos = q->tickets[index].heap_index;
  uint32_t last = --q->heap_count;
  if (pos == last)
    return;
  heap_swap (q, pos, last);
  heap_sift_up (q, pos);
  heap_sift_down (q, pos);
}

/* Rings of organisations and lists of tickets.  */

static void
ring_add (struct fairq *q, enum fairq_class c, fairq_organisation o)
{
  struct class_ring *ring = &q->rings[c];
  struct ticket_list *ticket_list = &q->organisations[o].ticket_lists[c];
  ticket_list->credit = q->organisations[o].weight;
  if (ring->organisations++ == 0)
    {
      ticket_list->ring_next = o;
      ticket_list->ring_prev = o;
      ring->current = o;
      return;
    }
  struct ticket_list *current
      = &q->organisations[ring->current].ticket_lists[c];
  ticket_list->ring_next = ring->current;
  ticket_list->ring_prev = current->ring_prev;
  q->organisations[current->ring_prev].ticket_lists[c].ring_next = o;
  current->ring_prev = o;
}

static void
ring_remove (struct fairq *q, enum fairq_class c, fairq_organisation o)
{
  struct class_ring *ring = &q->rings[c];
  struct ticket_list *ticket_list = &q->organisations[o].ticket_lists[c];
  ring->organisations--;
  q->organisations[ticket_list->ring_prev].ticket_lists[c].ring_next
      = ticket_list->ring_next;
  q->organisations[ticket_list->ring_next].ticket_lists[c].ring_prev
      = ticket_list->ring_prev;
  if (ring->current == o)
    ring->current = ticket_list->ring_next;
}

static void
list_add (struct fairq *q, uint32_t index)
{
  struct ticket *t = &q->tickets[index];
  struct organisation *org = &q->organisations[t->entry.organisation];
  struct ticket_list *ticket_list = &org->ticket_lists[t->entry.class];
  t->next = NO_INDEX;
  t->prev = ticket_list->tail;
  if (ticket_list->tail == NO_INDEX)
    ticket_list->head = index;
  else
    q->tickets[ticket_list->tail].next = index;
  ticket_list->tail = index;
  org->waiting++;
  q->rings[t->entry.class].waiting++;
  if (ticket_list->count++ == 0)
    ring_add (q, t->entry.class, t->entry.organisation);
}

static void
list_remove (struct fairq *q, uint32_t index)
{
  struct ticket *t = &q->tickets[index];
  struct organisation *org = &q->organisations[t->entry.organisation];
  struct ticket_list *ticket_list = &org->ticket_lists[t->entry.class];
  if (t->prev == NO_INDEX)
    ticket_list->head = t->next;
  else
    q->tickets[t->prev].next = t->next;
  if (t->next == NO_INDEX)
    ticket_list->tail = t->prev;
  else
    q->tickets[t->next].prev = t->prev;
  org->waiting--;
  q->rings[t->entry.class].waiting--;
  if (--ticket_list->count == 0)
    ring_remove (q, t->entry.class, t->entry.organisation);
}

/* Tickets.  */

static fairq_ticket
handle_of (const struct fairq *q, uint32_t index)
{
  return q->tickets[index].generation << INDEX_BITS | index;
}

static struct ticket *
lookup_ticket (const struct fairq *q, fairq_ticket t)
{
  uint32_t index = t & INDEX_MASK;
  if (index >= q->ticket_count
      || q->tickets[index].generation != t >> INDEX_BITS
      || q->tickets[index].entry.state == FAIRQ_FREE)
    return NULL;
  return &q->tickets[index];
}

fairq_ticket
fairq_push (struct fairq *q, const struct fairq_entry *entry)
{
  uint32_t index = q->free_head;
  if (index == NO_INDEX)
    return FAIRQ_NONE;
  struct ticket *t = &q->tickets[index];
  q->free_head = t->next;
  t->entry = *entry;
  t->entry.state = FAIRQ_WAITING;
  list_add (q, index);
  heap_add (q, index);
  return handle_of (q, index);
}

/* Give the turn to the next organisation of the ring, because the present one
   has used its credit or has reached its limit.  */
static void
advance_turn (struct fairq *q, enum fairq_class c)
{
  struct class_ring *ring = &q->rings[c];
  struct organisation *org = &q->organisations[ring->current];
  org->ticket_lists[c].credit = org->weight;
  ring->current = org->ticket_lists[c].ring_next;
}

fairq_ticket
fairq_pick (struct fairq *q, enum fairq_class c)
{
  struct class_ring *ring = &q->rings[c];
  for (uint32_t i = 0; i < ring->organisations; i++)
    {
      if (fairq_below_limit (q, ring->current))
        return handle_of (
            q, q->organisations[ring->current].ticket_lists[c].head);
      advance_turn (q, c);
    }
  return FAIRQ_NONE;
}

static void
use_credit (struct fairq *q, enum fairq_class c, fairq_organisation o)
{
  struct ticket_list *ticket_list = &q->organisations[o].ticket_lists[c];
  if (q->rings[c].current != o)
    return;
  if (ticket_list->credit > 0)
    ticket_list->credit--;
  if (ticket_list->credit == 0)
    advance_turn (q, c);
}

void
fairq_start (struct fairq *q, fairq_ticket t)
{
  struct ticket *ticket = lookup_ticket (q, t);
  uint32_t index = t & INDEX_MASK;
  if (ticket == NULL || ticket->entry.state != FAIRQ_WAITING)
    return;
  use_credit (q, ticket->entry.class, ticket->entry.organisation);
  list_remove (q, index);
  heap_remove (q, index);
  ticket->entry.state = FAIRQ_RUNNING;
  q->organisations[ticket->entry.organisation].in_flight++;
  q->rings[ticket->entry.class].running++;
}

void
fairq_remove (struct fairq *q, fairq_ticket t)
{
  struct ticket *ticket = lookup_ticket (q, t);
  uint32_t index = t & INDEX_MASK;
  if (ticket == NULL)
    return;
  if (ticket->entry.state == FAIRQ_WAITING)
    {
      list_remove (q, index);
      heap_remove (q, index);
    }
  else
    {
      q->organisations[ticket->entry.organisation].in_flight--;
      q->rings[ticket->entry.class].running--;
    }
  ticket->entry.state = FAIRQ_FREE;
  ticket->generation = ticket->generation % INDEX_MASK + 1;
  ticket->next = q->free_head;
  q->free_head = index;
}

fairq_ticket
fairq_earliest (const struct fairq *q)
{
  return q->heap_count > 0 ? handle_of (q, q->heap[0]) : FAIRQ_NONE;
}

fairq_ticket
fairq_longest (const struct fairq *q, enum fairq_class c, uint32_t *count)
{
  const struct class_ring *ring = &q->rings[c];
  const struct ticket_list *longest = NULL;
  uint32_t o = ring->current;
  for (uint32_t i = 0; i < ring->organisations; i++)
    {
      const struct ticket_list *ticket_list
          = &q->organisations[o].ticket_lists[c];
      if (longest == NULL || ticket_list->count > longest->count)
        longest = ticket_list;
      o = ticket_list->ring_next;
    }
  *count = longest != NULL ? longest->count : 0;
  return longest != NULL ? handle_of (q, longest->tail) : FAIRQ_NONE;
}

const struct fairq_entry *
fairq_get (const struct fairq *q, fairq_ticket t)
{
  const struct ticket *ticket = lookup_ticket (q, t);
  return ticket != NULL ? &ticket->entry : NULL;
}

uint32_t
fairq_class_waiting (const struct fairq *q, enum fairq_class c)
{
  return q->rings[c].waiting;
}

uint32_t
fairq_class_organisations (const struct fairq *q, enum fairq_class c)
{
  return q->rings[c].organisations;
}

uint32_t
fairq_class_running (const struct fairq *q, enum fairq_class c)
{
  return q->rings[c].running;
}

uint32_t
fairq_waiting_in (const struct fairq *q, fairq_organisation o,
                  enum fairq_class c)
{
  return q->organisations[o].ticket_lists[c].count;
}
