/* The platform's key-value store: compare-and-swap, leases, watches.

   Calls block the calling thread for at most their time limit.  A write
   without a response is STATUS_IN_DOUBT: it may have taken effect, and the
   caller reads the value back to find out.  Each call and each open watch
   counts against the store's limits; implementations count them in the process
   counters.  */

#ifndef STORE_STORE_H
#define STORE_STORE_H

#include "base/status.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct store;

/* A value read from the store.  DATA is owned by the value and is followed by
   a zero byte that LENGTH does not count.  REVISION is the revision of the
   key's last change and greater than zero.  STORE_REVISION is the revision of
   the whole store at the time of the read.  A watch from STORE_REVISION misses
   no change, and that revision is not yet compacted, while REVISION may be. */
struct store_value
{
  char *data;
  size_t length;
  int64_t revision;
  int64_t store_revision;
};

/* Called for each change of a watch and for each key of a list, on the calling
   thread.  VALUE is NULL if the key was deleted; it is valid only during the
   call.  Returns false to end the watch or the list.  */
typedef bool store_watch_fn (void *arg, const char *key,
                             const struct store_value *value);

struct store_ops
{
  /* Read KEY into VALUE, which the caller clears with store_value_clear.
     STATUS_NOT_FOUND (STORE_REVISION is set, the rest is zero), STATUS_TIMEOUT
     (sent, no response) or STATUS_UNAVAILABLE on failure.  */
  enum status (*get) (struct store *st, const char *key,
                      struct store_value *value);
  /* Call FN for the keys that begin with PREFIX and their values, in key
     order. The result need not be a consistent snapshot.  STATUS_OK also if FN
     ended the list.  */
  enum status (*list) (struct store *st, const char *prefix,
                       store_watch_fn *fn, void *arg);
  /* Compare and swap: set KEY to DATA if its revision is EXPECTED (0: the key
     is absent).  LEASE is 0 or the lease whose expiry deletes the key.
     STATUS_OK: *REVISION is the new revision.  STATUS_CONFLICT: the key has
     another revision, nothing was written.  STATUS_UNAVAILABLE: nothing was
     written.  STATUS_IN_DOUBT: the write may have taken effect, or may still
     do so.  STATUS_NOT_FOUND: the lease has expired.  STATUS_INVALID: the
     store rejected the request, for example as too large.  */
  enum status (*swap) (struct store *st, const char *key, int64_t expected,
                       const char *data, size_t length, int64_t lease,
                       int64_t *revision);
  /* Grant a lease of TTL_S seconds into *LEASE.  After STATUS_IN_DOUBT the
     store may have granted a lease that no client knows; it expires unused. */
  enum status (*lease_grant) (struct store *st, uint32_t ttl_s,
                              int64_t *lease);
  /* Renew LEASE.  STATUS_NOT_FOUND if it has expired, STATUS_IN_DOUBT if there
     was no response.  */
  enum status (*lease_renew) (struct store *st, int64_t lease);
  /* Call FN for changes after revision FROM of the keys that begin with
     PREFIX, until FN returns false or *STOP becomes nonzero (STATUS_OK), or
     the stream fails or is idle for too long (STATUS_UNAVAILABLE: watch again
     from the last revision received).  STATUS_STALE: the store has compacted
     changes after FROM: read the keys again.  */
  enum status (*watch) (struct store *st, const char *prefix, int64_t from,
                        store_watch_fn *fn, void *arg, const int *stop);
  /* Free the store.  */
  void (*free) (struct store *st);
};

/* An answered wait of a watch: all changes up to REVISION were delivered.  */
struct store_poll
{
  int64_t revision;
  int64_t asked_ns;
  int64_t confirmed_ns; /* up to when there were no further changes */
};

/* The first member of every store.  A store is used by one thread at a time;
   each thread that calls the platform's store has its own client.  */
struct store
{
  const struct store_ops *ops;
  /* Reads and lists may return a state that is seconds old, at a lower price.
     Stores may ignore it.  */
  bool may_read_stale;
  /* Called with the argument of the watch after each answered wait.  NULL:
     not called.  Only stores that watch by long polls call it.  */
  void (*on_poll) (void *arg, const struct store_poll *poll);
  /* The last that the store stated; 0: none.  It rises when the store comes
     back from an older copy, with revisions that it has given before.  */
  uint32_t era;
  /* The next wait of a watch ends at once; set by the thread that watches.  */
  bool ask_now;
};

/* A compare-and-swap whose value contains CHANGE_ID, a unique text.  Later
   writers must keep the ids of recent changes in the value for longer than any
   call can be in doubt.  */
struct store_change
{
  const char *key;
  int64_t expected_revision; /* 0: the key is absent and was never deleted */
  const char *data;
  size_t length;
  int64_t lease;
  const char *change_id;
};

/* Make CHANGE with a compare-and-swap.  If the response is lost, resolve the
   outcome: read the value back, look for the change id, and send the same swap
   again while the key is still at the expected revision.  This ends at
   UNTIL_NS (clock_now_ns) or at most one call later.  STATUS_OK: the change
   took effect; *REVISION is the revision of the value, or 0 if another change
   has followed and the value must be read again.  STATUS_CONFLICT: the change
   did not and will not take effect.  STATUS_IN_DOUBT: the outcome is still
   unknown.  After any other status, as for swap, the change did not take
   effect.  */
enum status store_swap_resolved (struct store *st,
                                 const struct store_change *change,
                                 int64_t until_ns, int64_t *revision);

/* Free the data of VALUE.  */
void store_value_clear (struct store_value *value);

#endif
