/* Watches one key of the store on its own thread.  */

#ifndef MESH_WATCHER_H
#define MESH_WATCHER_H

#include "base/inbox.h"
#include "base/mail.h"
#include "store/store.h"
#include <stdbool.h>

struct watcher;

/* A new value of the key; freed with watch_update_free.  */
struct watch_update
{
  struct inbox_header header; /* INBOX_MESSAGE_NOTICE */
  char *text;
  size_t length;
  int64_t revision;
};

/* Watch KEY in ST, which the watcher owns, and put every new value into INBOX.
   NULL with a message if that fails.  */
struct watcher *watcher_start (struct store *st, const char *key,
                               struct inbox *inbox);

/* Whether the store answered the last call.  Callable from any thread.  */
bool watcher_is_healthy (const struct watcher *w);

void watch_update_free (struct watch_update *w);

#endif
