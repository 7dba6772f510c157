#include "mesh/watcher.h"

#include "base/clock.h"
#include "base/log.h"
#include <ck_pr.h>
#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

/* Pause before the store is called again after a failure: doubles from the
   first to the last, which is below what a change may take to be in force.  */
#define PAUSE_LEAST_MS 50
#define PAUSE_MOST_MS 800

struct watcher
{
  struct store *store;
  char *key;
  struct inbox *to;
  int64_t seen; /* revision of the store */
  uint32_t pause_ms;
  uint32_t well;
  pthread_t thread;
};

void
watch_update_free (struct watch_update *w)
{
  free (w->text);
  free (w);
}

static void
put (struct watcher *w, const struct store_value *value)
{
  struct watch_update *item = calloc (1, sizeof *item);
  if (item == NULL)
    abort ();
  item->mail.kind = MAIL_NOTICE;
  item->text = g_strndup (value->data, value->length);
  item->length = value->length;
  item->revision = value->revision;
  inbox_put_wait (w->to, item);
}

static bool
on_change (void *arg, const char *key, const struct store_value *value)
{
  struct watcher *w = arg;
  w->pause_ms = PAUSE_LEAST_MS;
  ck_pr_store_32 (&w->well, 1);
  if (value == NULL)
    return true;
  if (value->revision > w->seen)
    w->seen = value->revision;
  if (strcmp (key, w->key) == 0)
    put (w, value);
  return true;
}

static void
pause_after_failure (struct watcher *w)
{
  ck_pr_store_32 (&w->well, 0);
  clock_pause_ms (w->pause_ms + g_random_int_range (0, (int)w->pause_ms));
  w->pause_ms *= 2;
  if (w->pause_ms > PAUSE_MOST_MS)
    w->pause_ms = PAUSE_MOST_MS;
}

/* Read the key; then a watch from the revision that was seen misses
   nothing.  */
static bool
read_key (struct watcher *w)
{
  struct store_value value;
  enum status s = w->store->ops->get (w->store, w->key, &value);
  if (s != STATUS_OK && s != STATUS_NOT_FOUND)
    return false;
  w->seen = value.seen;
  ck_pr_store_32 (&w->well, 1);
  if (s == STATUS_OK)
    put (w, &value);
  store_value_clear (&value);
  return true;
}

/* A thread that lasts as long as its process: a wait of the store would hold
   up the end.  */
static void *
run (void *arg)
{
  static const int never = 0;
  struct watcher *w = arg;
  bool known = false;
  while (true)
    {
      if (!known)
        known = read_key (w);
      if (!known)
        {
          pause_after_failure (w);
          continue;
        }
      enum status s = w->store->ops->watch (w->store, w->key, w->seen,
                                            on_change, w, &never);
      if (s != STATUS_OK)
        log_event (EV_WATCH_LOST, "key=%s seen=%" PRId64 " cause=\"%s\"",
                   w->key, w->seen, status_message ());
      if (s == STATUS_STALE)
        known = false;
      if (s != STATUS_OK)
        pause_after_failure (w);
    }
  return NULL;
}

struct watcher *
watcher_start (struct store *st, const char *key, struct inbox *to)
{
  struct watcher *w = g_new0 (struct watcher, 1);
  w->store = st;
  w->key = g_strdup (key);
  w->to = to;
  w->pause_ms = PAUSE_LEAST_MS;
  if (st != NULL && pthread_create (&w->thread, NULL, run, w) == 0)
    return w;
  status_set (STATUS_SYSTEM, "no thread for the watch");
  g_free (w->key);
  g_free (w);
  return NULL;
}

bool
watcher_is_healthy (const struct watcher *w)
{
  return ck_pr_load_32 (&w->well) != 0;
}
