/* The platform's key-value store: compare-and-swap, leases, watches.

   Calls block the calling thread for at most their time limit.  A write whose
   answer did not come is STATUS_IN_DOUBT: it may have taken effect, and the
   caller reads back to learn which.  Each call and each waiting watch counts
   against the store's limits; implementations count them in the process
   counters.  */

#ifndef STORE_STORE_H
#define STORE_STORE_H

#include "base/status.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct store;

/* A value read from the store.  DATA is owned by the value and ends with a
   zero byte that LENGTH does not count.  REVISION is that of the key's last
   change and greater than zero.  SEEN is the store's own revision at the time
   of the read: a watch from there misses nothing and is not yet compacted
   away, which the key's own revision may be.  */
struct store_value
{
  char *data;
  size_t length;
  int64_t revision;
  int64_t store_revision;
};

/* Called by a watch for each change, on the watching thread.  VALUE is NULL
   when the key was deleted; it is valid during the call only.  Return false
   to end the watch.  */
typedef bool store_watch_fn (void *arg, const char *key,
                             const struct store_value *value);

struct store_ops
{
  /* Read KEY into VALUE, which the caller clears with store_value_clear.
     STATUS_NOT_FOUND (SEEN is set, the rest is zero), STATUS_TIMEOUT (sent, no
     answer) or STATUS_UNAVAILABLE on failure.  */
  enum status (*get) (struct store *st, const char *key,
                      struct store_value *value);
  /* Report the keys that begin with PREFIX and their values, in the order of
     the keys; not a snapshot.  STATUS_OK also when FN ended it.  */
  enum status (*list) (struct store *st, const char *prefix,
                       store_watch_fn *fn, void *arg);
  /* Set KEY to DATA if its revision is EXPECTED (0: the key is absent).
     LEASE 0, or the lease whose end deletes the key.  On STATUS_OK *REVISION
     is the new one.  STATUS_CONFLICT: another revision, nothing was written.
     STATUS_UNAVAILABLE: certainly not written.  STATUS_IN_DOUBT: perhaps, and
     perhaps only later.  STATUS_NOT_FOUND: the lease has ended.
     STATUS_INVALID: the store refused the request, too large for instance.  */
  enum status (*swap) (struct store *st, const char *key, int64_t expected,
                       const char *data, size_t length, int64_t lease,
                       int64_t *revision);
  /* Grant a lease of TTL_S seconds into *LEASE.  After STATUS_IN_DOUBT a
     lease that nobody holds may run out in the store.  */
  enum status (*lease_grant) (struct store *st, uint32_t ttl_s,
                              int64_t *lease);
  /* Renew LEASE.  STATUS_NOT_FOUND when it has ended, STATUS_IN_DOUBT when no
     answer came.  */
  enum status (*lease_renew) (struct store *st, int64_t lease);
  /* Report changes of the keys that begin with PREFIX after revision FROM,
     until FN returns false or *STOP becomes nonzero (STATUS_OK), or the stream
     fails or is silent for too long (STATUS_UNAVAILABLE: watch again from the
     last revision seen).  STATUS_STALE: the store no longer has the changes
     since FROM: read the keys anew.  */
  enum status (*watch) (struct store *st, const char *prefix, int64_t from,
                        store_watch_fn *fn, void *arg, const int *stop);
  /* Free the store.  */
  void (*free) (struct store *st);
};

/* The first member of every store.  A store is used by one thread at a time;
   each thread that calls the platform's store has one of its own.  */
struct store
{
  const struct store_ops *ops;
};

/* A compare-and-swap whose value carries CHANGE_ID, a text that occurs in no
   other change.  Later writers keep the ids of recent changes in the value for
   longer than any call can be in doubt.  */
struct store_change
{
  const char *key;
  int64_t expected_revision; /* revision; 0: the key is absent and was never
                                deleted */
  const char *data;
  size_t length;
  int64_t lease;
  const char *change_id;
};

/* Swap as CHANGE says.  When the answer is lost, learn the outcome until
   UNTIL_NS (clock_now_ns), and at most one call longer: read back, look for
   the change id, and send the same swap again while the revision is still the
   expected one. STATUS_OK: it took effect; *REVISION is that of the value, or
   0 when another change has followed and the value has to be read anew.
   STATUS_CONFLICT: it did not and will not.  STATUS_IN_DOUBT: not learned in
   time.  All else as swap: it did not take effect.  */
enum status store_swap_resolved (struct store *st,
                                 const struct store_change *change,
                                 int64_t until_ns, int64_t *revision);

/* Free the data of VALUE.  */
void store_value_clear (struct store_value *value);

#endif
