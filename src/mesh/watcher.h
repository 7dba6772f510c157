/* Follows one key of the store on a thread of its own.  */

#ifndef MESH_WATCHER_H
#define MESH_WATCHER_H

#include "base/inbox.h"
#include "base/mail.h"
#include "store/store.h"
#include <stdbool.h>

struct watcher;

/* A new value of the key; freed with watched_free.  */
struct watched
{
  struct mail mail; /* MAIL_NOTICE */
  char *text;
  size_t length;
  int64_t revision;
};

/* Follow KEY in ST, which the watcher owns, and put every new value into TO.
   NULL with a message when that fails.  */
struct watcher *watcher_start (struct store *st, const char *key,
                               struct inbox *to);

/* Whether the store answered the last call.  Any thread.  */
bool watcher_is_well (const struct watcher *w);

void watched_free (struct watched *w);

#endif
