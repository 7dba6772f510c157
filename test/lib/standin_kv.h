/* The data of the stand-in store: keys with revisions, leases and a bounded
   history of changes.  Not thread-safe.  */

#ifndef STANDIN_KV_H
#define STANDIN_KV_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct standin_kv;

/* The state of a key after a change; VALUE is NULL if it was deleted.  */
struct standin_entry
{
  char *key;
  GBytes *value;
  int64_t create_revision;
  int64_t mod_revision;
  int64_t version;
  int64_t lease;
};

/* A new store that keeps the last HISTORY_MAX changes for watches.  */
struct standin_kv *standin_kv_new (unsigned history_max);
void standin_kv_free (struct standin_kv *kv);

/* The revision of the last change; 1 in an empty store.  */
int64_t standin_kv_revision (const struct standin_kv *kv);

/* The oldest revision from which a watch can start.  */
int64_t standin_kv_oldest_revision (const struct standin_kv *kv);

/* The entry of KEY, or NULL.  Valid until the next change.  */
const struct standin_entry *standin_kv_find (const struct standin_kv *kv,
                                             const char *key);

/* Whether KEY is in [START, END).  If END is NULL, the range is START alone;
   if END is "", it has no upper bound.  */
bool standin_kv_in_range (const char *key, const char *start, const char *end);

/* Call FN for the entries of the range, in order of their keys.  */
void standin_kv_range (const struct standin_kv *kv, const char *start,
                       const char *end,
                       void (*fn) (void *arg, const struct standin_entry *e),
                       void *arg);

/* Call FN for the changes in the range from revision FROM on, in order.  */
void standin_kv_changes (const struct standin_kv *kv, const char *start,
                         const char *end, int64_t from,
                         void (*fn) (void *arg, const struct standin_entry *e),
                         void *arg);

/* Begin a change: all puts and deletes until the next call share one
   revision.  */
void standin_kv_begin_change (struct standin_kv *kv);

/* Set KEY; takes ownership of VALUE.  LEASE is 0 or an existing lease.  */
void standin_kv_put (struct standin_kv *kv, const char *key, GBytes *value,
                     int64_t lease);

/* Delete the keys of the range; returns their number.  */
int standin_kv_delete (struct standin_kv *kv, const char *start,
                       const char *end);

/* Grant a lease and return its id; if ID is 0 an id is chosen.  */
int64_t standin_kv_grant (struct standin_kv *kv, int64_t id, int64_t ttl_s,
                          int64_t now_ns);

/* Renew lease ID; returns its TTL in seconds, 0 if there is no such lease.  */
int64_t standin_kv_renew (struct standin_kv *kv, int64_t id, int64_t now_ns);
bool standin_kv_has_lease (const struct standin_kv *kv, int64_t id);

/* Revoke lease ID and delete its keys.  False if there is no such lease.  */
bool standin_kv_revoke (struct standin_kv *kv, int64_t id);

/* Revoke the expired leases; returns whether any key was deleted.  */
bool standin_kv_expire (struct standin_kv *kv, int64_t now_ns);

#endif
