#include "lib/standin_kv.h"

#include "base/clock.h"
#include <string.h>

#define FIRST_LEASE_ID INT64_C (7587800000000000000)

struct lease
{
  int64_t id;
  int64_t ttl_s;
  int64_t expires_ns;
};

struct standin_kv
{
  GTree *entries;  /* by key */
  GQueue *changes; /* of struct standin_entry, oldest first */
  GHashTable *leases;
  unsigned history_max;
  int64_t revision;
  int64_t oldest_revision;
  int64_t next_lease_id;
  bool new_revision; /* the next put or delete takes a new revision */
};

static int
compare_keys (const void *a, const void *b, void *unused)
{
  (void)unused;
  return strcmp (a, b);
}

static void
entry_free (void *p)
{
  struct standin_entry *e = p;
  g_free (e->key);
  if (e->value != NULL)
    g_bytes_unref (e->value);
  g_free (e);
}

static struct standin_entry *
entry_copy (const struct standin_entry *e)
{
  struct standin_entry *copy = g_new (struct standin_entry, 1);
  *copy = *e;
  copy->key = g_strdup (e->key);
  if (e->value != NULL)
    g_bytes_ref (e->value);
  return copy;
}

struct standin_kv *
standin_kv_new (unsigned history_max)
{
  struct standin_kv *kv = g_new0 (struct standin_kv, 1);
  kv->entries = g_tree_new_full (compare_keys, NULL, NULL, entry_free);
  kv->changes = g_queue_new ();
  kv->leases
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  kv->history_max = history_max;
  kv->revision = 1;
  kv->oldest_revision = 1;
  kv->next_lease_id = FIRST_LEASE_ID;
  return kv;
}

void
standin_kv_free (struct standin_kv *kv)
{
  g_tree_unref (kv->entries);
  g_queue_free_full (kv->changes, entry_free);
  g_hash_table_unref (kv->leases);
  g_free (kv);
}

int64_t
standin_kv_revision (const struct standin_kv *kv)
{
  return kv->revision;
}

int64_t
standin_kv_oldest_revision (const struct standin_kv *kv)
{
  return kv->oldest_revision;
}

const struct standin_entry *
standin_kv_find (const struct standin_kv *kv, const char *key)
{
  return g_tree_lookup (kv->entries, key);
}

bool
standin_kv_in_range (const char *key, const char *start, const char *end)
{
  if (end == NULL)
    return strcmp (key, start) == 0;
  return strcmp (key, start) >= 0 && (end[0] == 0 || strcmp (key, end) < 0);
}

void
standin_kv_range (const struct standin_kv *kv, const char *start,
                  const char *end,
                  void (*fn) (void *arg, const struct standin_entry *e),
                  void *arg)
{
  GTreeNode *n = g_tree_lower_bound (kv->entries, start);
  for (; n != NULL; n = g_tree_node_next (n))
    {
      if (!standin_kv_in_range (g_tree_node_key (n), start, end))
        return;
      fn (arg, g_tree_node_value (n));
    }
}

void
standin_kv_changes (const struct standin_kv *kv, const char *start,
                    const char *end, int64_t from,
                    void (*fn) (void *arg, const struct standin_entry *e),
                    void *arg)
{
  GList *l = kv->changes->tail;
  while (l != NULL && ((struct standin_entry *)l->data)->mod_revision >= from)
    l = l->prev;
  for (l = l == NULL ? kv->changes->head : l->next; l != NULL; l = l->next)
    {
      const struct standin_entry *e = l->data;
      if (standin_kv_in_range (e->key, start, end))
        fn (arg, e);
    }
}

void
standin_kv_begin_change (struct standin_kv *kv)
{
  kv->new_revision = true;
}

static void
record_change (struct standin_kv *kv, const struct standin_entry *e)
{
  g_queue_push_tail (kv->changes, entry_copy (e));
  if (g_queue_get_length (kv->changes) <= kv->history_max)
    return;
  struct standin_entry *first = g_queue_pop_head (kv->changes);
  kv->oldest_revision = first->mod_revision + 1;
  entry_free (first);
}

static void
advance_revision (struct standin_kv *kv)
{
  if (kv->new_revision)
    kv->revision++;
  kv->new_revision = false;
}

void
standin_kv_put (struct standin_kv *kv, const char *key, GBytes *value,
                int64_t lease)
{
  const struct standin_entry *old = standin_kv_find (kv, key);
  struct standin_entry *e = g_new0 (struct standin_entry, 1);
  advance_revision (kv);
  e->key = g_strdup (key);
  e->value = value;
  e->lease = lease;
  e->mod_revision = kv->revision;
  e->create_revision = old == NULL ? kv->revision : old->create_revision;
  e->version = old == NULL ? 1 : old->version + 1;
  record_change (kv, e);
  g_tree_replace (kv->entries, e->key, e);
}

static void
collect_key (void *arg, const struct standin_entry *e)
{
  g_ptr_array_add (arg, g_strdup (e->key));
}

static void
delete_key (struct standin_kv *kv, char *key)
{
  struct standin_entry deleted = { .key = key };
  advance_revision (kv);
  deleted.mod_revision = kv->revision;
  record_change (kv, &deleted);
  g_tree_remove (kv->entries, key);
}

int
standin_kv_delete (struct standin_kv *kv, const char *start, const char *end)
{
  GPtrArray *keys = g_ptr_array_new_with_free_func (g_free);
  standin_kv_range (kv, start, end, collect_key, keys);
  int count = (int)keys->len;
  for (int i = 0; i < count; i++)
    delete_key (kv, keys->pdata[i]);
  g_ptr_array_unref (keys);
  return count;
}

int64_t
standin_kv_grant (struct standin_kv *kv, int64_t id, int64_t ttl_s,
                  int64_t now_ns)
{
  struct lease *l = g_new0 (struct lease, 1);
  l->id = id != 0 ? id : kv->next_lease_id++;
  l->ttl_s = ttl_s;
  l->expires_ns = now_ns + ttl_s * NS_PER_S;
  g_hash_table_replace (kv->leases, &l->id, l);
  return l->id;
}

int64_t
standin_kv_renew (struct standin_kv *kv, int64_t id, int64_t now_ns)
{
  struct lease *l = g_hash_table_lookup (kv->leases, &id);
  if (l == NULL || l->expires_ns <= now_ns)
    return 0;
  l->expires_ns = now_ns + l->ttl_s * NS_PER_S;
  return l->ttl_s;
}

bool
standin_kv_has_lease (const struct standin_kv *kv, int64_t id)
{
  return g_hash_table_contains (kv->leases, &id);
}

struct lease_keys
{
  int64_t lease;
  GPtrArray *keys;
};

static void
collect_lease_key (void *arg, const struct standin_entry *e)
{
  struct lease_keys *l = arg;
  if (e->lease == l->lease)
    g_ptr_array_add (l->keys, g_strdup (e->key));
}

bool
standin_kv_revoke (struct standin_kv *kv, int64_t id)
{
  if (!standin_kv_has_lease (kv, id))
    return false;
  struct lease_keys l = { id, g_ptr_array_new_with_free_func (g_free) };
  standin_kv_range (kv, "", "", collect_lease_key, &l);
  standin_kv_begin_change (kv);
  for (unsigned i = 0; i < l.keys->len; i++)
    delete_key (kv, l.keys->pdata[i]);
  g_ptr_array_unref (l.keys);
  g_hash_table_remove (kv->leases, &id);
  return true;
}

bool
standin_kv_expire (struct standin_kv *kv, int64_t now_ns)
{
  int64_t old_revision = kv->revision;
  for (;;)
    {
      GHashTableIter it;
      void *value;
      int64_t id = 0;
      g_hash_table_iter_init (&it, kv->leases);
      while (id == 0 && g_hash_table_iter_next (&it, NULL, &value))
        if (((struct lease *)value)->expires_ns <= now_ns)
          id = ((struct lease *)value)->id;
      if (id == 0)
        return kv->revision != old_revision;
      standin_kv_revoke (kv, id);
    }
}
