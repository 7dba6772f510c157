/* Watches the store on its own thread: the operators' configuration and, if
   they are in use, the evacuated zones.  */

#ifndef MESH_WATCHER_H
#define MESH_WATCHER_H

#include "base/inbox.h"
#include "base/mail.h"
#include "store/store.h"
#include <glib.h>
#include <stdbool.h>

struct watcher;

/* A new value of the key, or what the store confirmed; freed with
   watch_update_free.  */
struct watch_update
{
  struct inbox_header header; /* INBOX_MESSAGE_NOTICE */
  char *text;                 /* NULL: all changes up to REVISION are known */
  size_t length;
  int64_t revision;
  /* What follows the prefix in its keys, as of REVISION; NULL without a
     prefix.  The store was asked at ASKED_NS.  */
  GPtrArray *zones;
  int64_t asked_ns;
  int64_t confirmed_ns; /* up to when there were no further changes */
  uint32_t era;         /* of the store */
};

/* Watch KEY in ST, which the watcher owns, and put every new value into INBOX.
   With PREFIX, which may be NULL, the keys that begin with it are also
   watched, by the same watch, and reported after each answered wait.  NULL
   with a message if that fails.  */
struct watcher *watcher_start (struct store *st, const char *key,
                               const char *prefix, struct inbox *inbox);

/* Suspend the watch.  A suspended watch is not healthy.  */
void watcher_suspend (struct watcher *w);

/* Resume it: ask the store at once.  All changes of the key up to REVISION of
   the store's copy ERA are known here; 0: not known.  */
void watcher_resume (struct watcher *w, int64_t revision, uint32_t era);

/* Whether the store answered the last call.  Callable from any thread.  */
bool watcher_is_healthy (const struct watcher *w);

void watch_update_free (struct watch_update *w);

#endif
