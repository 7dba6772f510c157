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
  struct inbox *inbox;
  int64_t seen_revision; /* latest revision of the store that was seen */
  uint32_t backoff_ms;
  uint32_t healthy;
  pthread_t thread;
};

void
watch_update_free (struct watch_update *w)
{
  free (w->text);
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

static bool
on_change (void *arg, const char *key, const struct store_value *value)
{
  struct watcher *w = arg;
  w->backoff_ms = BACKOFF_MIN_MS;
  ck_pr_store_32 (&w->healthy, 1);
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

/* The thread is never stopped, because a wait in a store call would delay the
   exit of the process.  */
static void *
run (void *arg)
{
  static const int stop_requested = 0;
  struct watcher *w = arg;
  bool key_read = false;
  while (true)
    {
      if (!key_read)
        key_read = read_key (w);
      if (!key_read)
        {
          back_off (w);
          continue;
        }
      enum status s = w->store->ops->watch (w->store, w->key, w->seen_revision,
                                            on_change, w, &stop_requested);
      if (s != STATUS_OK)
        log_event (EV_WATCH_LOST, "key=%s seen=%" PRId64 " cause=\"%s\"",
                   w->key, w->seen_revision, status_message ());
      if (s == STATUS_STALE)
        key_read = false;
      if (s != STATUS_OK)
        back_off (w);
    }
  return NULL;
}

struct watcher *
watcher_start (struct store *st, const char *key, struct inbox *inbox)
{
  struct watcher *w = g_new0 (struct watcher, 1);
  w->store = st;
  w->key = g_strdup (key);
  w->inbox = inbox;
  w->backoff_ms = BACKOFF_MIN_MS;
  if (st != NULL && pthread_create (&w->thread, NULL, run, w) == 0)
    return w;
  status_set (STATUS_SYSTEM, "cannot start the watch thread");
  g_free (w->key);
  g_free (w);
  return NULL;
}

bool
watcher_is_healthy (const struct watcher *w)
{
  return ck_pr_load_32 (&w->healthy) != 0;
}
