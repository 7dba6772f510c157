/* The data of the stand-in store: keys with revisions, leases and a bounded
   history of changes.  Not safe for threads by itself.  */

#ifndef STANDIN_KV_H
#define STANDIN_KV_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct standin_kv;

/* A key's state after a change; VALUE NULL: it was deleted.  */
struct standin_entry
{
  char *key;
  GBytes *value;
  int64_t create_revision;
  int64_t mod_revision;
  int64_t version;
  int64_t lease;
};

/* A new store that remembers HISTORY changes.  */
struct standin_kv *standin_kv_new (unsigned history);
void standin_kv_free (struct standin_kv *kv);

/* The revision of the last change; 1 in an empty store.  */
int64_t standin_kv_revision (const struct standin_kv *kv);

/* The oldest revision from which a watch can start.  */
int64_t standin_kv_oldest_revision (const struct standin_kv *kv);

/* The entry of KEY, or NULL.  It lives until the next change.  */
const struct standin_entry *standin_kv_find (const struct standin_kv *kv,
                                             const char *key);

/* Whether KEY is KEY0 itself (END NULL) or in [KEY0, END); END "" has no
   bound.  */
bool standin_kv_in_range (const char *key, const char *key0, const char *end);

/* Call FN for the entries of the range, in order.  */
void standin_kv_range (const struct standin_kv *kv, const char *key0,
                       const char *end,
                       void (*fn) (void *arg, const struct standin_entry *e),
                       void *arg);

/* Call FN for the changes of the range since revision FROM, in order.  */
void standin_kv_changes (const struct standin_kv *kv, const char *key0,
                         const char *end, int64_t from,
                         void (*fn) (void *arg, const struct standin_entry *e),
                         void *arg);

/* Begin a change: what is put and deleted until the next call shares one
   revision.  */
void standin_kv_begin_change (struct standin_kv *kv);

/* Set KEY; owns VALUE.  LEASE 0 or one that exists.  */
void standin_kv_put (struct standin_kv *kv, const char *key, GBytes *value,
                     int64_t lease);

/* Delete the range; returns how many keys it had.  */
int standin_kv_delete (struct standin_kv *kv, const char *key0,
                       const char *end);

/* A new lease; ID 0 chooses one.  */
int64_t standin_kv_grant (struct standin_kv *kv, int64_t id, int64_t ttl_s,
                          int64_t now_ns);

/* Renew lease ID and return its seconds, 0 when there is none.  */
int64_t standin_kv_renew (struct standin_kv *kv, int64_t id, int64_t now_ns);
bool standin_kv_has_lease (const struct standin_kv *kv, int64_t id);

/* End lease ID and delete its keys.  False when there is none.  */
bool standin_kv_revoke (struct standin_kv *kv, int64_t id);

/* Revoke what has expired; whether any key was deleted.  */
bool standin_kv_expire (struct standin_kv *kv, int64_t now_ns);

#endif
