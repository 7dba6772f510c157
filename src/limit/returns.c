#include "limit/returns.h"

#include "base/clock.h"
#include <glib.h>

/* Difference of the deadlines of two attempts of one caller: timeouts are
   whole milliseconds, and the ways of the two requests to this node take
   different times.  */
#define DEADLINE_TOLERANCE_NS (20 * NS_PER_MS)

struct entry
{
  uint64_t fingerprint;
  int64_t first_ns;
  int64_t deadline_ns;
  GList age_link;
};

struct returns
{
  uint32_t capacity;
  GHashTable *entries; /* set of struct entry, by fingerprint and period */
  GQueue by_age;       /* oldest first */
};

/* Deadlines are hashed by periods of the tolerance, so that the entries within
   the tolerance are in at most three periods.  */
static int64_t
period_of (int64_t deadline_ns)
{
  return deadline_ns / DEADLINE_TOLERANCE_NS;
}

static guint
hash_entry (gconstpointer key)
{
  const struct entry *e = key;
  uint64_t mixed = (e->fingerprint ^ (uint64_t)period_of (e->deadline_ns))
                   * UINT64_C (0x9e3779b97f4a7c15);
  return (guint)(mixed >> 32);
}

static gboolean
equal_entries (gconstpointer a, gconstpointer b)
{
  const struct entry *x = a;
  const struct entry *y = b;
  return x->fingerprint == y->fingerprint
         && period_of (x->deadline_ns) == period_of (y->deadline_ns);
}

struct returns *
returns_new (uint32_t capacity)
{
  struct returns *r = g_new0 (struct returns, 1);
  r->capacity = capacity;
  r->entries = g_hash_table_new (hash_entry, equal_entries);
  g_queue_init (&r->by_age);
  return r;
}

static void
forget (struct returns *r, struct entry *e)
{
  g_hash_table_remove (r->entries, e);
  g_queue_unlink (&r->by_age, &e->age_link);
  g_free (e);
}

void
returns_free (struct returns *r)
{
  GList *link;
  if (r == NULL)
    return;
  while ((link = g_queue_peek_head_link (&r->by_age)) != NULL)
    forget (r, link->data);
  g_hash_table_destroy (r->entries);
  g_free (r);
}

static void
forget_old (struct returns *r, int64_t now_ns)
{
  GList *link;
  while ((link = g_queue_peek_head_link (&r->by_age)) != NULL)
    {
      struct entry *e = link->data;
      if (e->deadline_ns > now_ns
          && g_queue_get_length (&r->by_age) <= r->capacity)
        return;
      forget (r, e);
    }
}

void
returns_record (struct returns *r, uint64_t fingerprint, int64_t first_ns,
                int64_t deadline_ns, int64_t now_ns)
{
  struct entry *e = g_new0 (struct entry, 1);
  *e = (struct entry){ .fingerprint = fingerprint,
                       .first_ns = first_ns,
                       .deadline_ns = deadline_ns };
  struct entry *same = g_hash_table_lookup (r->entries, e);
  if (same != NULL)
    forget (r, same);
  e->age_link.data = e;
  g_hash_table_add (r->entries, e);
  g_queue_push_tail_link (&r->by_age, &e->age_link);
  forget_old (r, now_ns);
}

int64_t
returns_find (struct returns *r, uint64_t fingerprint, int64_t deadline_ns,
              int64_t now_ns)
{
  for (int period = -1; period <= 1; period++)
    {
      struct entry key
          = { .fingerprint = fingerprint,
              .deadline_ns = deadline_ns + period * DEADLINE_TOLERANCE_NS };
      struct entry *e = g_hash_table_lookup (r->entries, &key);
      if (e == NULL
          || ABS (e->deadline_ns - deadline_ns) > DEADLINE_TOLERANCE_NS)
        continue;
      int64_t first_ns = e->first_ns;
      forget (r, e);
      return first_ns;
    }
  return now_ns;
}

uint32_t
returns_count (const struct returns *r)
{
  return g_queue_get_length ((GQueue *)&r->by_age);
}
