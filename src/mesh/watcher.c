#include "mesh/watcher.h"

#include "base/clock.h"
#include "base/log.h"
#include <ck_pr.h>
#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

/* Back-off before the store is called again after a failure: it doubles from
   the minimum to the maximum, which is less than the time within which a
   change must be in force.  */
#define BACKOFF_MIN_MS 50
#define BACKOFF_MAX_MS 800

struct watcher
{
  struct store *store;
  char *key;
  char *prefix;      /* of the keys that name evacuated zones; NULL: none */
  char *watched;     /* prefix of all watched keys */
  GHashTable *zones; /* set of strings: what follows PREFIX */
  struct inbox *inbox;
  int64_t seen_revision; /* latest revision of the store that was seen */
  uint32_t backoff_ms;
  pthread_mutex_t lock; /* for RESUMED and the next two */
  pthread_cond_t resumed;
  int64_t known_revision; /* of the last resumption */
  uint32_t known_era;
  int suspended;
  uint32_t healthy;
  pthread_t thread;
};

void
watch_update_free (struct watch_update *w)
{
  free (w->text);
  if (w->zones != NULL)
    g_ptr_array_free (w->zones, TRUE);
  free (w);
}

static void
post_update (struct watcher *w, const struct store_value *value)
{
  struct watch_update *update = calloc (1, sizeof *update);
  if (update == NULL)
    abort ();
  update->header.kind = INBOX_MESSAGE_NOTICE;
  update->text = g_strndup (value->data, value->length);
  update->length = value->length;
  update->revision = value->revision;
  inbox_put_blocking (w->inbox, update);
}

static GPtrArray *
copy_zones (const struct watcher *w)
{
  GPtrArray *zones = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, w->zones);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (zones, g_strdup (name));
  return zones;
}

/* Report that all changes up to the revision that was seen are known.  */
static void
post_confirmation (struct watcher *w, int64_t asked_ns, int64_t confirmed_ns)
{
  struct watch_update *update = calloc (1, sizeof *update);
  if (update == NULL)
    abort ();
  update->header.kind = INBOX_MESSAGE_NOTICE;
  update->revision = w->seen_revision;
  update->asked_ns = asked_ns;
  update->confirmed_ns = confirmed_ns;
  update->era = w->store->era;
  if (w->prefix != NULL)
    update->zones = copy_zones (w);
  inbox_put_blocking (w->inbox, update);
}

/* Update the zones if KEY is one of theirs.  */
static void
record_zone (struct watcher *w, const char *key, bool exists)
{
  if (w->prefix == NULL || !g_str_has_prefix (key, w->prefix))
    return;
  const char *name = key + strlen (w->prefix);
  if (exists)
    g_hash_table_add (w->zones, g_strdup (name));
  else
    g_hash_table_remove (w->zones, name);
}

static void
on_poll (void *arg, const struct store_poll *poll)
{
  struct watcher *w = arg;
  w->backoff_ms = BACKOFF_MIN_MS;
  ck_pr_store_32 (&w->healthy, 1);
  if (poll->revision > w->seen_revision)
    w->seen_revision = poll->revision;
  post_confirmation (w, poll->asked_ns, poll->confirmed_ns);
}

static bool
on_change (void *arg, const char *key, const struct store_value *value)
{
  struct watcher *w = arg;
  w->backoff_ms = BACKOFF_MIN_MS;
  ck_pr_store_32 (&w->healthy, 1);
  record_zone (w, key, value != NULL);
  if (value == NULL)
    return true;
  if (value->revision > w->seen_revision)
    w->seen_revision = value->revision;
  if (strcmp (key, w->key) == 0)
    post_update (w, value);
  return true;
}

static void
back_off (struct watcher *w)
{
  ck_pr_store_32 (&w->healthy, 0);
  clock_sleep_ms (w->backoff_ms + g_random_int_range (0, (int)w->backoff_ms));
  w->backoff_ms *= 2;
  if (w->backoff_ms > BACKOFF_MAX_MS)
    w->backoff_ms = BACKOFF_MAX_MS;
}

/* Read the key, so that a watch from the revision of that read misses no
   change.  */
static bool
read_key (struct watcher *w)
{
  struct store_value value;
  enum status s = w->store->ops->get (w->store, w->key, &value);
  if (s != STATUS_OK && s != STATUS_NOT_FOUND)
    return false;
  w->seen_revision = value.store_revision;
  ck_pr_store_32 (&w->healthy, 1);
  if (s == STATUS_OK)
    post_update (w, &value);
  store_value_clear (&value);
  return true;
}

static bool
on_listed (void *arg, const char *key, const struct store_value *value)
{
  (void)value;
  record_zone (arg, key, true);
  return true;
}

/* Read the key, and list the zones.  Changes made after the key was read are
   reported by the watch again, in their order.  */
static bool
read_all (struct watcher *w)
{
  int64_t asked_ns = clock_now_ns ();
  if (!read_key (w))
    return false;
  g_hash_table_remove_all (w->zones);
  if (w->prefix != NULL
      && w->store->ops->list (w->store, w->prefix, on_listed, w) != STATUS_OK)
    return false;
  post_confirmation (w, asked_ns, asked_ns);
  return true;
}

/* Wait until the watch is resumed.  Whether it can go on from a revision that
   is known; the zones are only known from the store.  */
static bool
wait_until_resumed (struct watcher *w)
{
  ck_pr_store_32 (&w->healthy, 0);
  pthread_mutex_lock (&w->lock);
  while (ck_pr_load_int (&w->suspended) != 0)
    pthread_cond_wait (&w->resumed, &w->lock);
  int64_t revision = w->known_revision;
  uint32_t era = w->known_era;
  pthread_mutex_unlock (&w->lock);
  if (revision == 0 || w->prefix != NULL)
    return false;
  w->seen_revision = revision;
  w->store->era = era;
  w->store->ask_now = true;
  return true;
}

/* The thread is never stopped, because a wait in a store call would delay the
   exit of the process.  */
static void *
run (void *arg)
{
  struct watcher *w = arg;
  bool key_read = false;
  while (true)
    {
      if (key_read && ck_pr_load_int (&w->suspended) != 0)
        key_read = wait_until_resumed (w);
      if (!key_read)
        key_read = read_all (w);
      if (!key_read)
        {
          back_off (w);
          continue;
        }
      enum status s = w->store->ops->watch (
          w->store, w->watched, w->seen_revision, on_change, w, &w->suspended);
      if (s != STATUS_OK)
        log_event (EV_WATCH_LOST, "key=%s seen=%" PRId64 " cause=\"%s\"",
                   w->watched, w->seen_revision, status_message ());
      if (s == STATUS_STALE)
        key_read = false;
      else if (s != STATUS_OK)
        back_off (w);
    }
  return NULL;
}

/* What KEY and PREFIX have in common; freed with g_free.  */
static char *
common_prefix (const char *key, const char *prefix)
{
  size_t length = 0;
  while (key[length] != '\0' && key[length] == prefix[length])
    length++;
  return g_strndup (key, length);
}

struct watcher *
watcher_start (struct store *st, const char *key, const char *prefix,
               struct inbox *inbox)
{
  struct watcher *w = g_new0 (struct watcher, 1);
  w->store = st;
  w->key = g_strdup (key);
  w->prefix = g_strdup (prefix);
  w->watched = prefix == NULL ? g_strdup (key) : common_prefix (key, prefix);
  w->zones = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (st != NULL)
    st->on_poll = on_poll;
  w->inbox = inbox;
  w->backoff_ms = BACKOFF_MIN_MS;
  pthread_mutex_init (&w->lock, NULL);
  pthread_cond_init (&w->resumed, NULL);
  if (st != NULL && pthread_create (&w->thread, NULL, run, w) == 0)
    return w;
  status_set (STATUS_SYSTEM, "cannot start the watch thread");
  g_hash_table_destroy (w->zones);
  g_free (w->key);
  g_free (w->prefix);
  g_free (w->watched);
  g_free (w);
  return NULL;
}

void
watcher_suspend (struct watcher *w)
{
  ck_pr_store_int (&w->suspended, 1);
}

void
watcher_resume (struct watcher *w, int64_t revision, uint32_t era)
{
  pthread_mutex_lock (&w->lock);
  w->known_revision = revision;
  w->known_era = era;
  ck_pr_store_int (&w->suspended, 0);
  pthread_cond_signal (&w->resumed);
  pthread_mutex_unlock (&w->lock);
}

bool
watcher_is_healthy (const struct watcher *w)
{
  return ck_pr_load_32 (&w->healthy) != 0;
}
