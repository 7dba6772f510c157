/* A stand-in for the users' platform: its store, the targets beside the nodes,
   and callers.  It follows PROTOCOL.md and the news pages.

   world RECORD STORE_HOST:PORT TARGET...
   TARGET is SERVICE,KEYED,HOST:PORT,CONTROL_HOST:PORT,CALLERS_HOST:PORT with
   the node's address for check-ins and its address for callers.  With a "-"
   before it the machine is not there yet.

   Each call, grant, run and answer is a line of the file RECORD, with the time
   in milliseconds since the start.  POST /control/COMMAND on the store's
   address:
     config          the body is written as op/config by the operator
     copy            a backup of the store is taken
     away            the store answers 503; the operator repeats what it
                     could not write until it is acknowledged
     load            it starts anew from the backup, of the next era, and
                     answers 503 until it is ready
     restore         it is back from the backup, of the next era; what the
                     operator wrote since is written again
     return          it is back with all that it had
     beat=MS         how often targets check in
     work=MS         how long requests take at targets
     traffic=N       the callers of each node send N requests a second
     send=N,ID,PATH  a caller of node N sends this request; N is "all" for one
                     caller of each node of the first target's service, 4 ms
                     after each other
     evacuate=ZONE   the operator evacuates a zone
     note            the body is a line of the record
     hold=N          target N's next check-in is on its way from now on
     late=N          it arrives
     leave=N         target N deregisters, and goes on serving
     cold=N,MS       target N becomes cold, for MS
     gone=N          machine N is removed, with its target
     come=N          machine N is added
   A request whose path contains "poison" ends the target that begins it, which
   is back after two seconds as a new process.  Requests on other paths take 50
   ms, or what the command work=MS sets.  */

#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "base/clock.h"
#include "http/client.h"
#include "http/server.h"
#include "settings/address.h"

enum
{
  KEY_COUNT = 65536,
  HEARTBEAT_INTERVAL_MS = 1500,
  SLOTS = 9,
  WORK_MS = 50,
  BACK_AFTER_MS = 2000,
  SCAN_INTERVAL_MS = 20,
  SEND_INTERVAL_MS = 50,
  SEND_GAP_MS = 4,
  TIMEOUT_MS = 2500,
  HISTORY_S = 20,
  TARGET_PARTS = 5
};

/* OWNER: two targets may not hold a key at the same time for longer.  */
#define OVERLAP_MAX_NS (500 * NS_PER_MS)

/* The store.  */

struct item
{
  char *value; /* base64 */
  int64_t revision;
  int64_t created_at;
  int64_t lease;
};

struct change
{
  char *key;
  char *value; /* NULL: deleted */
  int64_t revision;
  int64_t created_at;
  int64_t lease;
};

struct lease
{
  int64_t ttl_ns;
  int64_t until_ns;
};

struct watch
{
  struct http_server_exchange *x;
  char *prefix;
  int64_t after;
  uv_timer_t timer;
};

struct table
{
  GHashTable *items;  /* struct item by key */
  GHashTable *leases; /* struct lease by number */
  GPtrArray *changes;
  int64_t revision;
};

struct hold
{
  int64_t until_ns;
  int64_t fence_seen; /* of a grant or a release */
};

struct target
{
  unsigned index;
  char service[64];
  bool keyed;
  bool is_there; /* the machine */
  struct settings_address address;
  struct http_server *server; /* NULL: it has ended */
  struct http_client *control;
  struct http_client *callers; /* of the node beside it */
  unsigned life;               /* counts from 1 */
  unsigned sequence;
  int64_t born_ms;
  int64_t cold_until_ns;
  bool has_left;
  GString *held; /* a check-in on its way, or NULL */
  unsigned running;
  uv_timer_t heartbeat_timer;
  uv_timer_t back_timer;
  struct hold *keys;
  GList *works; /* struct work that run */
  GList *releases;
};

struct work
{
  struct target *target;
  struct http_server_exchange *x;
  uv_timer_t timer;
  int key; /* -1: none */
  char id[80];
};

/* A release that waits for the work on its keys.  */
struct release
{
  struct target *target;
  struct http_server_exchange *x;
  int64_t from;
  int64_t to;
};

struct caller_request
{
  char id[80];
  unsigned node;
  int64_t sent_ns;
};

/* A key that two targets hold.  */
struct overlap
{
  int64_t since_ns;
  unsigned first;
  unsigned second;
  bool told;
};

static uv_loop_t loop;
static const struct http_limits limits = { 65536, 64 << 20, 30000, 60000 };
static FILE *record;
static int64_t start_ns;
static struct table now;
static struct table backup;
static int64_t last_lease = 1000;
static unsigned era = 1;
static bool away;
static bool loading;          /* and AWAY */
static char *pending_config;  /* base64, that the operator could not write */
static char *operator_config; /* base64, as last written */
static GPtrArray *watches;
static GPtrArray *targets;
static unsigned per_s;
static unsigned work_ms = WORK_MS;
static bool any_keyed;
static bool all_keyed = true;
static unsigned request_count;
static struct overlap overlaps[KEY_COUNT];

static void
note (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  fprintf (record, "%lld ",
           (long long)((clock_now_ns () - start_ns) / NS_PER_MS));
  vfprintf (record, format, args);
  fputc ('\n', record);
  fflush (record);
  va_end (args);
}

/* Answers and queries.  */

static void
answer_json (struct http_server_exchange *x, int status, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);
  char head[96];
  snprintf (head, sizeof head,
            "Content-Type: application/json\r\nStore-Era: %u\r\n", era);
  http_respond (x, status, head, text, strlen (text));
  free (text);
  json_decref (json);
}

static char *
query (const struct http_server_exchange *x, const char *name)
{
  const char *at = strchr (x->request_target->str, '?');
  size_t length = strlen (name);
  while (at != NULL)
    {
      at++;
      if (strncmp (at, name, length) == 0 && at[length] == '=')
        {
          const char *begin = at + length + 1;
          return g_uri_unescape_segment (begin, begin + strcspn (begin, "&"),
                                         NULL);
        }
      at = strchr (at, '&');
    }
  return NULL;
}

static int64_t
query_number (const struct http_server_exchange *x, const char *name,
              int64_t fallback)
{
  char *text = query (x, name);
  int64_t value = text == NULL ? fallback : strtoll (text, NULL, 10);
  g_free (text);
  return value;
}

static const char *
json_text (const json_t *json, const char *name)
{
  return json_string_value (json_object_get (json, name));
}

static int64_t
json_number (const json_t *json, const char *name)
{
  return json_integer_value (json_object_get (json, name));
}

/* Tables.  */

static void
item_free (void *arg)
{
  struct item *item = arg;
  g_free (item->value);
  g_free (item);
}

static struct item *
item_copy (const struct item *from)
{
  struct item *item = g_new0 (struct item, 1);
  *item = *from;
  item->value = g_strdup (from->value);
  return item;
}

static void
change_free (void *arg)
{
  struct change *c = arg;
  g_free (c->key);
  g_free (c->value);
  g_free (c);
}

static void
table_init (struct table *t)
{
  t->items
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, item_free);
  t->leases
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  t->changes = g_ptr_array_new_with_free_func (change_free);
  t->revision = 1;
}

static void
add_change (struct table *t, const struct change *from)
{
  struct change *c = g_new0 (struct change, 1);
  *c = *from;
  c->key = g_strdup (from->key);
  c->value = g_strdup (from->value);
  g_ptr_array_add (t->changes, c);
}

static void
table_copy (struct table *to, const struct table *from)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  table_init (to);
  to->revision = from->revision;
  g_hash_table_iter_init (&iter, from->items);
  while (g_hash_table_iter_next (&iter, &key, &value))
    g_hash_table_insert (to->items, g_strdup (key), item_copy (value));
  g_hash_table_iter_init (&iter, from->leases);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      int64_t *number = g_new (int64_t, 1);
      struct lease *lease = g_new (struct lease, 1);
      *number = *(int64_t *)key;
      *lease = *(struct lease *)value;
      g_hash_table_insert (to->leases, number, lease);
    }
  for (guint i = 0; i < from->changes->len; i++)
    add_change (to, g_ptr_array_index (from->changes, i));
}

static void
put_item (const char *key, const char *value, int64_t lease)
{
  const struct item *old = g_hash_table_lookup (now.items, key);
  struct item *item = g_new0 (struct item, 1);
  item->value = g_strdup (value);
  item->revision = now.revision;
  item->created_at = old == NULL ? now.revision : old->created_at;
  item->lease = lease;
  struct change c
      = { (char *)key, (char *)value, now.revision, item->created_at, lease };
  add_change (&now, &c);
  g_hash_table_replace (now.items, g_strdup (key), item);
}

static void
remove_item (const char *key)
{
  struct change c = { (char *)key, NULL, now.revision, 0, 0 };
  add_change (&now, &c);
  g_hash_table_remove (now.items, key);
}

static json_t *
item_json (const char *key, const struct item *item)
{
  return json_pack ("{s:s,s:s,s:I,s:I,s:I}", "key", key, "value", item->value,
                    "revision", (json_int_t)item->revision, "created_at",
                    (json_int_t)item->created_at, "lease",
                    (json_int_t)item->lease);
}

static json_t *
change_json (const struct change *c)
{
  if (c->value == NULL)
    return json_pack ("{s:s,s:I,s:b}", "key", c->key, "revision",
                      (json_int_t)c->revision, "deleted", 1);
  return json_pack ("{s:s,s:s,s:I,s:I,s:I}", "key", c->key, "value", c->value,
                    "revision", (json_int_t)c->revision, "created_at",
                    (json_int_t)c->created_at, "lease", (json_int_t)c->lease);
}

/* Watches.  */

static bool
answer_watch (struct watch *w, bool allow_empty)
{
  json_t *list = json_array ();
  for (guint i = 0; i < now.changes->len; i++)
    {
      const struct change *c = g_ptr_array_index (now.changes, i);
      if (c->revision > w->after && g_str_has_prefix (c->key, w->prefix))
        json_array_append_new (list, change_json (c));
    }
  if (json_array_size (list) == 0 && !allow_empty)
    {
      json_decref (list);
      return false;
    }
  struct http_server_exchange *x = w->x;
  x->on_disconnect = NULL;
  w->x = NULL;
  answer_json (
      x, 200,
      json_pack ("{s:o,s:I}", "events", list, "at", (json_int_t)now.revision));
  return true;
}

static void
on_watch_closed (uv_handle_t *handle)
{
  struct watch *w = handle->data;
  g_free (w->prefix);
  g_free (w);
}

static void
end_watch (struct watch *w)
{
  g_ptr_array_remove (watches, w);
  uv_close ((uv_handle_t *)&w->timer, on_watch_closed);
}

static void
on_watch_timer (uv_timer_t *timer)
{
  answer_watch (timer->data, true);
  end_watch (timer->data);
}

static void
on_watcher_left (struct http_server_exchange *x)
{
  end_watch (x->user_data);
}

static void
start_watch (struct http_server_exchange *x)
{
  int64_t after = query_number (x, "after", 0);
  /* A revision that it does not have.  */
  if (after > now.revision)
    {
      answer_json (x, 410, json_object ());
      return;
    }
  struct watch *w = g_new0 (struct watch, 1);
  w->x = x;
  w->prefix = query (x, "prefix");
  w->after = after;
  uv_timer_init (&loop, &w->timer);
  w->timer.data = w;
  x->user_data = w;
  x->on_disconnect = on_watcher_left;
  g_ptr_array_add (watches, w);
  if (answer_watch (w, false))
    end_watch (w);
  else
    uv_timer_start (&w->timer, on_watch_timer,
                    (uint64_t)query_number (x, "wait_ms", 1000), 0);
}

static void
tell_watches (void)
{
  for (guint i = watches->len; i > 0; i--)
    {
      struct watch *w = g_ptr_array_index (watches, i - 1);
      if (answer_watch (w, false))
        end_watch (w);
    }
}

/* The store goes away: its waiting watches are cut.  */
static void
cut_watches (void)
{
  for (guint i = watches->len; i > 0; i--)
    {
      struct watch *w = g_ptr_array_index (watches, i - 1);
      struct http_server_exchange *x = w->x;
      x->on_disconnect = NULL;
      end_watch (w);
      answer_json (x, 503, json_object ());
    }
}

/* Calls of the store.  */

static bool
is_forbidden (const char *key)
{
  return g_str_has_prefix (key, "op/") || g_str_has_prefix (key, "servers/");
}

static void
transact (struct http_server_exchange *x)
{
  json_t *body = json_loadb (x->body->str, x->body->len, 0, NULL);
  const json_t *conditions = json_object_get (body, "precondition");
  const json_t *puts = json_object_get (body, "puts");
  const json_t *removed = json_object_get (body, "remove");
  bool matched = true;
  bool forbidden = false;
  bool lease_known = true;
  json_t *items = json_array ();
  for (size_t i = 0; i < json_array_size (conditions); i++)
    {
      const json_t *c = json_array_get (conditions, i);
      const char *key = json_text (c, "key");
      const struct item *item = g_hash_table_lookup (now.items, key);
      matched = matched
                && (item == NULL ? 0 : item->revision)
                       == json_number (c, "revision");
      if (item != NULL)
        json_array_append_new (items, item_json (key, item));
    }
  for (size_t i = 0; i < json_array_size (puts); i++)
    {
      const json_t *p = json_array_get (puts, i);
      int64_t lease = json_number (p, "lease");
      forbidden = forbidden || is_forbidden (json_text (p, "key"));
      lease_known
          = lease_known
            && (lease == 0 || g_hash_table_contains (now.leases, &lease));
    }
  if (forbidden)
    answer_json (x, 403, json_object ());
  else if (!lease_known)
    answer_json (x, 404, json_object ());
  else if (!matched)
    answer_json (x, 412, json_pack ("{s:O}", "items", items));
  else
    {
      now.revision++;
      for (size_t i = 0; i < json_array_size (puts); i++)
        {
          const json_t *p = json_array_get (puts, i);
          put_item (json_text (p, "key"), json_text (p, "value"),
                    json_number (p, "lease"));
          note ("store write key=%s revision=%lld", json_text (p, "key"),
                (long long)now.revision);
        }
      for (size_t i = 0; i < json_array_size (removed); i++)
        remove_item (json_string_value (json_array_get (removed, i)));
      answer_json (x, 200,
                   json_pack ("{s:I}", "revision", (json_int_t)now.revision));
      tell_watches ();
    }
  json_decref (items);
  json_decref (body);
}

static void
read_item (struct http_server_exchange *x)
{
  char *key = query (x, "key");
  const struct item *item = g_hash_table_lookup (now.items, key);
  json_t *json = item == NULL ? json_object () : item_json (key, item);
  json_object_set_new (json, "at", json_integer (now.revision));
  answer_json (x, item == NULL ? 404 : 200, json);
  g_free (key);
}

static void
list_items (struct http_server_exchange *x)
{
  char *prefix = query (x, "prefix");
  char *after = query (x, "after");
  json_t *list = json_array ();
  GList *keys
      = g_list_sort (g_hash_table_get_keys (now.items), (GCompareFunc)strcmp);
  for (GList *l = keys; l != NULL; l = l->next)
    if (g_str_has_prefix (l->data, prefix)
        && (after == NULL || strcmp (l->data, after) > 0))
      json_array_append_new (
          list, item_json (l->data, g_hash_table_lookup (now.items, l->data)));
  g_list_free (keys);
  g_free (prefix);
  g_free (after);
  answer_json (x, 200,
               json_pack ("{s:o,s:b,s:I}", "items", list, "has_more", 0, "at",
                          (json_int_t)now.revision));
}

static void
grant_lease (struct http_server_exchange *x)
{
  json_t *body = json_loadb (x->body->str, x->body->len, 0, NULL);
  int64_t ttl_ms = json_number (body, "ttl_ms");
  int64_t *number = g_new (int64_t, 1);
  struct lease *lease = g_new (struct lease, 1);
  *number = ++last_lease;
  lease->ttl_ns = ttl_ms * NS_PER_MS;
  lease->until_ns = clock_now_ns () + lease->ttl_ns;
  g_hash_table_insert (now.leases, number, lease);
  answer_json (x, 200,
               json_pack ("{s:I,s:I}", "lease", (json_int_t)*number, "ttl_ms",
                          (json_int_t)ttl_ms));
  json_decref (body);
}

static void
keep_lease (struct http_server_exchange *x)
{
  int64_t number
      = strtoll (x->request_target->str + strlen ("/-/kv-keep/"), NULL, 10);
  struct lease *lease = g_hash_table_lookup (now.leases, &number);
  if (lease == NULL)
    {
      answer_json (x, 404, json_object ());
      return;
    }
  lease->until_ns = clock_now_ns () + lease->ttl_ns;
  answer_json (
      x, 200,
      json_pack ("{s:I}", "ttl_ms", (json_int_t)(lease->ttl_ns / NS_PER_MS)));
}

static gboolean
has_ended (gpointer key, gpointer value, gpointer arg)
{
  const struct lease *lease = value;
  (void)arg;
  if (away || lease->until_ns > clock_now_ns ())
    return false;
  GHashTableIter iter;
  gpointer name;
  gpointer item;
  GPtrArray *ended = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_iter_init (&iter, now.items);
  while (g_hash_table_iter_next (&iter, &name, &item))
    if (((struct item *)item)->lease == *(int64_t *)key)
      g_ptr_array_add (ended, g_strdup (name));
  for (guint i = 0; i < ended->len; i++)
    {
      now.revision++;
      remove_item (g_ptr_array_index (ended, i));
    }
  g_ptr_array_free (ended, TRUE);
  return true;
}

static void
write_config (const char *value)
{
  now.revision++;
  put_item ("op/config", value, 0);
  note ("operator write op/config revision=%lld era=%u",
        (long long)now.revision, era);
  tell_watches ();
}

static void
evacuate (const char *zone)
{
  char *key = g_strconcat ("op/evacuate/", zone, NULL);
  char *value = g_base64_encode ((const guchar *)"{}", 2);
  now.revision++;
  put_item (key, value, 0);
  note ("operator write %s revision=%lld era=%u", key, (long long)now.revision,
        era);
  tell_watches ();
  g_free (value);
  g_free (key);
}

/* Commands.  */

static void send_request (unsigned node, const char *id, const char *path,
                          int key, bool repeatable);
static void set_machine (const char *number, bool is_there);
static void make_cold (const char *text);
static void set_beat (uint64_t interval_ms);
static void leave (struct target *t);
static void deliver_held (struct target *t);
static GString *format_heartbeat (struct target *t);

static struct target *
target_at (const char *number)
{
  return g_ptr_array_index (targets, strtoul (number, NULL, 10));
}

static void
take_backup (void)
{
  table_copy (&backup, &now);
  note ("drill copy revision=%lld", (long long)backup.revision);
}

static void
begin_era (void)
{
  away = true;
  loading = true;
  era++;
  note ("drill load era=%u", era);
  cut_watches ();
}

/* The operator has written since, or waits with its next version.  */
static void
repeat_config (void)
{
  const struct item *config = g_hash_table_lookup (now.items, "op/config");
  if (pending_config != NULL)
    {
      g_free (operator_config);
      operator_config = pending_config;
      pending_config = NULL;
    }
  if (operator_config != NULL
      && (config == NULL || strcmp (config->value, operator_config) != 0))
    write_config (operator_config);
}

static void
restore_backup (void)
{
  note ("drill restore revision=%lld instead of %lld",
        (long long)backup.revision, (long long)now.revision);
  cut_watches ();
  table_copy (&now, &backup);
  if (!loading)
    era++;
  away = false;
  loading = false;
  repeat_config ();
}

static const char *
command_value (const char *command, const char *name)
{
  return g_str_has_prefix (command, name) ? command + strlen (name) : NULL;
}

struct later
{
  uv_timer_t timer;
  unsigned node;
  char *id;
  char *path;
};

static void
on_later_closed (uv_handle_t *handle)
{
  struct later *l = handle->data;
  g_free (l->id);
  g_free (l->path);
  g_free (l);
}

static void
on_later (uv_timer_t *timer)
{
  struct later *l = timer->data;
  send_request (l->node, l->id, l->path, -1, false);
  uv_close ((uv_handle_t *)timer, on_later_closed);
}

static void
send_later (unsigned node, char *id, const char *path)
{
  struct later *l = g_new0 (struct later, 1);
  l->node = node;
  l->id = id;
  l->path = g_strdup (path);
  uv_timer_init (&loop, &l->timer);
  l->timer.data = l;
  uv_timer_start (&l->timer, on_later, (uint64_t)node * SEND_GAP_MS, 0);
}

static void
send_one (const char *text)
{
  char **parts = g_strsplit (text, ",", -1);
  const struct target *first = g_ptr_array_index (targets, 0);
  if (g_strv_length (parts) == 3 && strcmp (parts[0], "all") != 0)
    send_request ((unsigned)strtoul (parts[0], NULL, 10), parts[1], parts[2],
                  -1, false);
  for (unsigned n = 0; strcmp (parts[0], "all") == 0 && n < targets->len; n++)
    {
      const struct target *t = g_ptr_array_index (targets, n);
      if (strcmp (t->service, first->service) == 0)
        send_later (n, g_strdup_printf ("%s-%u", parts[1], n), parts[2]);
    }
  g_strfreev (parts);
}

static void
on_command (struct http_server_exchange *x, const char *command)
{
  const char *value;
  if (strcmp (command, "config") == 0 && away)
    {
      note ("operator waits with op/config");
      pending_config
          = g_base64_encode ((const guchar *)x->body->str, x->body->len);
    }
  else if (strcmp (command, "config") == 0)
    {
      g_free (operator_config);
      operator_config
          = g_base64_encode ((const guchar *)x->body->str, x->body->len);
      write_config (operator_config);
    }
  else if (strcmp (command, "copy") == 0)
    take_backup ();
  else if (strcmp (command, "away") == 0)
    {
      note ("store away");
      away = true;
      cut_watches ();
    }
  else if (strcmp (command, "return") == 0)
    {
      note ("store back");
      away = false;
      repeat_config ();
    }
  else if (strcmp (command, "load") == 0)
    begin_era ();
  else if (strcmp (command, "restore") == 0)
    restore_backup ();
  else if ((value = command_value (command, "beat=")) != NULL)
    set_beat (strtoul (value, NULL, 10));
  else if ((value = command_value (command, "work=")) != NULL)
    work_ms = (unsigned)strtoul (value, NULL, 10);
  else if ((value = command_value (command, "traffic=")) != NULL)
    per_s = (unsigned)strtoul (value, NULL, 10);
  else if ((value = command_value (command, "evacuate=")) != NULL)
    evacuate (value);
  else if ((value = command_value (command, "send=")) != NULL)
    send_one (value);
  else if ((value = command_value (command, "hold=")) != NULL)
    {
      struct target *t = target_at (value);
      t->held = format_heartbeat (t);
    }
  else if ((value = command_value (command, "late=")) != NULL)
    deliver_held (target_at (value));
  else if ((value = command_value (command, "leave=")) != NULL)
    leave (target_at (value));
  else if ((value = command_value (command, "cold=")) != NULL)
    make_cold (value);
  else if ((value = command_value (command, "gone=")) != NULL)
    set_machine (value, false);
  else if ((value = command_value (command, "come=")) != NULL)
    set_machine (value, true);
  else if (strcmp (command, "note") == 0)
    note ("%s", x->body->str);
  http_respond (x, 200, NULL, "", 0);
}

static void
on_store_call (void *arg, struct http_server_exchange *x)
{
  const char *path = x->request_target->str;
  (void)arg;
  if (g_str_has_prefix (path, "/control/"))
    on_command (x, path + strlen ("/control/"));
  else if (away)
    answer_json (x, 503, json_object ());
  else if (g_str_has_prefix (path, "/-/kv-key?"))
    read_item (x);
  else if (g_str_has_prefix (path, "/-/kv-range?"))
    list_items (x);
  else if (g_str_has_prefix (path, "/-/kv-watch?"))
    start_watch (x);
  else if (strcmp (path, "/-/kv-txn") == 0)
    transact (x);
  else if (strcmp (path, "/-/kv-lease") == 0)
    grant_lease (x);
  else if (g_str_has_prefix (path, "/-/kv-keep/"))
    keep_lease (x);
  else
    answer_json (x, 404, json_object ());
}

/* Targets.  */

static void on_target_call (void *arg, struct http_server_exchange *x);

static void
target_id (const struct target *t, char id[64])
{
  snprintf (id, 64, "i-%u-%u", t->index, t->life);
}

static void
ignore_answer (void *arg, const struct http_response *response)
{
  (void)arg;
  (void)response;
}

/* How much longer T is cold.  */
static int
cold_left_ms (const struct target *t)
{
  int64_t left_ns = t->cold_until_ns - clock_now_ns ();
  return left_ns > 0 ? (int)((left_ns + NS_PER_MS - 1) / NS_PER_MS) : 0;
}

/* A call of T of the given kind, with BODY.  */
static GString *
format_call (const struct target *t, const char *kind, const char *body)
{
  char id[64];
  GString *out = g_string_new (NULL);
  target_id (t, id);
  g_string_printf (out,
                   "POST /-/instances/%s/%s HTTP/1.1\r\nHost: node\r\n"
                   "Content-Type: application/json\r\nContent-Length: "
                   "%zu\r\n\r\n%s",
                   id, kind, strlen (body), body);
  return out;
}

static GString *
format_heartbeat (struct target *t)
{
  char address[ADDRESS_TEXT_BYTES];
  settings_address_format (&t->address, address);
  json_t *json = json_pack (
      "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:I}", "service_name", t->service,
      "address", address, "zone", "hall", "version", "v1", "capacity_slots",
      (int)SLOTS, "state", "ready", "warmup_left_ms", cold_left_ms (t),
      "sequence", (int)++t->sequence, "born", (json_int_t)t->born_ms);
  char *body = json_dumps (json, JSON_COMPACT);
  GString *out = format_call (t, "heartbeat", body);
  free (body);
  json_decref (json);
  return out;
}

static void
send_heartbeat (struct target *t)
{
  struct http_call_options options
      = { .done = ignore_answer, .timeout_ms = 1000 };
  if (t->server != NULL && !t->has_left)
    http_call (t->control, format_heartbeat (t), &options);
}

static void
on_leave_answered (void *arg, const struct http_response *response)
{
  const struct target *t = arg;
  if (response->result == HTTP_COMPLETED && response->status == 200)
    note ("ack of leaving target=%u", t->index);
}

static void
leave (struct target *t)
{
  struct http_call_options options
      = { .done = on_leave_answered, .arg = t, .timeout_ms = 1000 };
  char *body = g_strdup_printf ("{\"born\":%lld}", (long long)t->born_ms);
  t->has_left = true;
  note ("target %u leaves", t->index);
  http_call (t->control, format_call (t, "deregister", body), &options);
  g_free (body);
}

static void
deliver_held (struct target *t)
{
  struct http_call_options options
      = { .done = ignore_answer, .timeout_ms = 1000 };
  if (t->held == NULL)
    return;
  note ("late check-in of target=%u", t->index);
  http_call (t->control, t->held, &options);
  t->held = NULL;
}

static void
on_heartbeat_timer (uv_timer_t *timer)
{
  send_heartbeat (timer->data);
}

static void
open_target (struct target *t)
{
  t->born_ms = g_get_real_time () / 1000;
  t->sequence = 0;
  t->server = http_server_new (&loop, &t->address, &limits, on_target_call, t);
  if (t->server == NULL)
    {
      fprintf (stderr, "cannot listen: %s\n", status_message ());
      exit (2);
    }
  http_server_serve_left (t->server);
}

static void
on_back_timer (uv_timer_t *timer)
{
  struct target *t = timer->data;
  t->life++;
  open_target (t);
  note ("target %u starts life=%u", t->index, t->life);
  send_heartbeat (t);
}

/* T ends: nothing that runs there is answered.  */
static void
end_target (struct target *t, const char *cause)
{
  note ("target %u ends cause=%s", t->index, cause);
  http_server_close (t->server);
  t->server = NULL;
  memset (t->keys, 0, KEY_COUNT * sizeof *t->keys);
  uv_timer_start (&t->back_timer, on_back_timer, BACK_AFTER_MS, 0);
}

static void
make_cold (const char *text)
{
  char **parts = g_strsplit (text, ",", 2);
  struct target *t = g_ptr_array_index (targets, strtoul (parts[0], NULL, 10));
  t->cold_until_ns
      = clock_now_ns () + strtoll (parts[1], NULL, 10) * NS_PER_MS;
  note ("target %u becomes cold for %s ms", t->index, parts[1]);
  g_strfreev (parts);
}

static void
set_beat (uint64_t interval_ms)
{
  for (guint i = 0; i < targets->len; i++)
    {
      struct target *t = g_ptr_array_index (targets, i);
      uv_timer_start (&t->heartbeat_timer, on_heartbeat_timer, 100 * i,
                      interval_ms);
    }
}

/* Machine T is removed, or added.  */
static void
set_machine (const char *number, bool is_there)
{
  struct target *t = g_ptr_array_index (targets, strtoul (number, NULL, 10));
  t->is_there = is_there;
  if (is_there)
    open_target (t);
  else
    end_target (t, "removed");
  if (!is_there)
    uv_timer_stop (&t->back_timer);
}

/* Keys.  */

static bool
works_on (const struct target *t, int64_t from, int64_t to)
{
  for (GList *l = t->works; l != NULL; l = l->next)
    {
      const struct work *w = l->data;
      if (w->key >= from && w->key <= to)
        return true;
    }
  return false;
}

static void
on_releaser_left (struct http_server_exchange *x)
{
  struct release *r = x->user_data;
  r->target->releases = g_list_remove (r->target->releases, r);
  g_free (r);
}

static void
answer_releases (struct target *t)
{
  GList *next;
  for (GList *l = t->releases; l != NULL; l = next)
    {
      struct release *r = l->data;
      next = l->next;
      if (works_on (t, r->from, r->to))
        continue;
      char head[80];
      snprintf (head, sizeof head, "Crocusbend-Handover: %u.%lld\r\n",
                t->index, (long long)r->from);
      r->x->on_disconnect = NULL;
      note ("released target=%u from=%lld to=%lld", t->index,
            (long long)r->from, (long long)r->to);
      http_respond (r->x, 200, head, "", 0);
      t->releases = g_list_delete_link (t->releases, l);
      g_free (r);
    }
}

static void
on_release (struct target *t, struct http_server_exchange *x)
{
  json_t *body = json_loadb (x->body->str, x->body->len, 0, NULL);
  struct release *r = g_new0 (struct release, 1);
  r->target = t;
  r->x = x;
  r->from = json_number (body, "from");
  r->to = json_number (body, "to");
  for (int64_t k = r->from; k <= r->to; k++)
    t->keys[k].until_ns = 0;
  json_decref (body);
  x->user_data = r;
  x->on_disconnect = on_releaser_left;
  t->releases = g_list_append (t->releases, r);
  answer_releases (t);
}

/* The highest fence with which another target had a key of the range.  */
static int64_t
fence_elsewhere (const struct target *t, int64_t from, int64_t to)
{
  int64_t fence = 0;
  for (guint i = 0; i < targets->len; i++)
    {
      const struct target *other = g_ptr_array_index (targets, i);
      for (int64_t k = from; other != t && k <= to; k++)
        if (strcmp (other->service, t->service) == 0)
          fence = MAX (fence, other->keys[k].fence_seen);
    }
  return fence;
}

static void
on_grant (struct target *t, struct http_server_exchange *x)
{
  json_t *body = json_loadb (x->body->str, x->body->len, 0, NULL);
  int64_t from = json_number (body, "from");
  int64_t to = json_number (body, "to");
  int64_t fence = json_number (body, "fence");
  int64_t hold_ms = json_number (body, "hold_ms");
  bool valid = from >= 0 && to < KEY_COUNT && from <= to && hold_ms > 0;
  bool refused = false;
  bool same = true;
  json_decref (body);
  for (int64_t k = from; valid && k <= to; k++)
    {
      refused = refused || t->keys[k].fence_seen > fence;
      same = same && t->keys[k].fence_seen == fence;
    }
  if (!valid || refused)
    {
      note ("grant refused target=%u from=%lld to=%lld fence=%lld", t->index,
            (long long)from, (long long)to, (long long)fence);
      http_respond (x, valid ? 409 : 400, NULL, "", 0);
      return;
    }
  int64_t elsewhere = same ? 0 : fence_elsewhere (t, from, to);
  int64_t until_ns = clock_now_ns () + hold_ms * NS_PER_MS;
  for (int64_t k = from; k <= to; k++)
    t->keys[k] = (struct hold){ until_ns, fence };
  note ("grant target=%u from=%lld to=%lld fence=%lld hold_ms=%lld%s",
        t->index, (long long)from, (long long)to, (long long)fence,
        (long long)hold_ms, same ? " again" : "");
  if (elsewhere >= fence)
    note ("BROKEN OWNER target %u takes keys of %lld to %lld with fence %lld, "
          "another had one of them with %lld",
          t->index, (long long)from, (long long)to, (long long)fence,
          (long long)elsewhere);
  http_respond (x, 200, NULL, "", 0);
}

/* Look for keys that two targets of a service hold.  */
static void
on_scan_timer (uv_timer_t *timer)
{
  int64_t now_ns = clock_now_ns ();
  unsigned told = 0;
  int first_key = -1;
  (void)timer;
  g_hash_table_foreach_remove (now.leases, has_ended, NULL);
  for (int k = 0; k < KEY_COUNT; k++)
    {
      struct overlap *o = &overlaps[k];
      int first = -1;
      int second = -1;
      for (guint i = 0; i < targets->len; i++)
        {
          const struct target *t = g_ptr_array_index (targets, i);
          if (!t->keyed || t->server == NULL || t->keys[k].until_ns <= now_ns)
            continue;
          if (first < 0)
            first = (int)i;
          else
            second = (int)i;
        }
      if (second < 0)
        {
          *o = (struct overlap){ 0 };
          continue;
        }
      if (o->since_ns == 0)
        *o = (struct overlap){ now_ns, (unsigned)first, (unsigned)second,
                               false };
      if (o->told || now_ns - o->since_ns <= OVERLAP_MAX_NS)
        continue;
      o->told = true;
      if (told++ == 0)
        first_key = k;
    }
  if (told > 0)
    note ("BROKEN OWNER %u keys, of them %d, are held by targets %u and %u "
          "for over 500 ms",
          told, first_key, overlaps[first_key].first,
          overlaps[first_key].second);
}

/* Requests at targets.  */

static void
on_work_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
end_work (struct work *w)
{
  struct target *t = w->target;
  t->works = g_list_remove (t->works, w);
  uv_close ((uv_handle_t *)&w->timer, on_work_closed);
}

static void
on_sender_left (struct http_server_exchange *x)
{
  struct work *w = x->user_data;
  struct target *t = w->target;
  note ("dropped target=%u id=%s", t->index, w->id);
  end_work (w);
  answer_releases (t);
}

static void
on_work_timer (uv_timer_t *timer)
{
  struct work *w = timer->data;
  struct target *t = w->target;
  char head[200];
  char body[160];
  bool lapsed = w->key >= 0 && t->keys[w->key].until_ns <= clock_now_ns ()
                && t->releases == NULL;
  w->x->on_disconnect = NULL;
  snprintf (head, sizeof head,
            "Crocusbend-Attempt-Id: %s\r\nCrocusbend-Server-Signature: "
            "%u.%u\r\nCrocusbend-Server-Load: %u,0,%d\r\n",
            w->id, t->index, t->life, g_list_length (t->works), (int)SLOTS);
  snprintf (body, sizeof body, "%s by %u.%u", w->id, t->index, t->life);
  struct http_server_exchange *x = w->x;
  end_work (w);
  http_respond (x, lapsed ? 500 : 200, head, body, strlen (body));
  answer_releases (t);
}

static void
run_request (struct target *t, struct http_server_exchange *x, int key)
{
  struct work *w = g_new0 (struct work, 1);
  const char *id = headers_find (x->headers, "Crocusbend-Attempt-Id");
  const char *host = headers_find (x->headers, "Host");
  w->target = t;
  w->x = x;
  w->key = key;
  g_strlcpy (w->id, id, sizeof w->id);
  note ("run target=%u life=%u id=%s %s %s host=%s key=%d caller=%s", t->index,
        t->life, id, x->method, x->request_target->str,
        host == NULL ? "-" : host, key,
        headers_find (x->headers, "Crocusbend-Caller-Service"));
  x->user_data = w;
  x->on_disconnect = on_sender_left;
  t->works = g_list_append (t->works, w);
  uv_timer_init (&loop, &w->timer);
  w->timer.data = w;
  uv_timer_start (&w->timer, on_work_timer, work_ms, 0);
  if (strstr (x->request_target->str, "poison") != NULL)
    end_target (t, id);
}

static void
reject (struct http_server_exchange *x, const char *id, int status)
{
  char head[200];
  snprintf (head, sizeof head,
            "Crocusbend-Attempt-Id: %s\r\nCrocusbend-Not-Executed: 1\r\n",
            id == NULL ? "-" : id);
  http_respond (x, status, head, "", 0);
}

static void
on_target_call (void *arg, struct http_server_exchange *x)
{
  struct target *t = arg;
  char own_id[64];
  const char *path = x->request_target->str;
  const char *expected
      = headers_find (x->headers, "Crocusbend-Expect-Instance");
  const char *id = headers_find (x->headers, "Crocusbend-Attempt-Id");
  const char *key_text = headers_find (x->headers, "Crocusbend-Shard-Key");
  int key = key_text == NULL ? -1 : (int)strtol (key_text, NULL, 10);
  target_id (t, own_id);
  if (expected != NULL && strcmp (expected, own_id) != 0)
    reject (x, id, 421);
  else if (strcmp (path, "/-/grant") == 0)
    on_grant (t, x);
  else if (strcmp (path, "/-/release") == 0)
    on_release (t, x);
  else if (strcmp (path, "/health") == 0)
    {
      char head[160];
      snprintf (head, sizeof head,
                "Crocusbend-Instance-Id: %s\r\nCrocusbend-Warmup-Ms: %d\r\n",
                own_id, cold_left_ms (t));
      http_respond (x, 200, head, "", 0);
    }
  else if (id == NULL)
    reject (x, id, 400);
  else if (t->keyed
           && (key < 0 || key >= KEY_COUNT
               || t->keys[key].until_ns <= clock_now_ns ()))
    reject (x, id, 421);
  else if (g_list_length (t->works) >= SLOTS)
    reject (x, id, 503);
  else
    run_request (t, x, key);
}

/* Callers.  */

static void
on_caller_answer (void *arg, const struct http_response *response)
{
  struct caller_request *r = arg;
  const char *signature
      = response->result == HTTP_COMPLETED
            ? headers_find (response->headers, "Crocusbend-Server-Signature")
            : NULL;
  note ("answered node=%u id=%s status=%d by=%s after_ms=%lld%s%s", r->node,
        r->id, response->result == HTTP_COMPLETED ? response->status : 0,
        signature == NULL ? "-" : signature,
        (long long)((clock_now_ns () - r->sent_ns) / NS_PER_MS),
        response->cause == NULL ? "" : " failed=",
        response->cause == NULL ? "" : response->cause);
  g_free (r);
}

static void
send_request (unsigned node, const char *id, const char *path, int key,
              bool repeatable)
{
  struct target *t = g_ptr_array_index (targets, node);
  struct caller_request *r = g_new0 (struct caller_request, 1);
  struct http_call_options options
      = { .done = on_caller_answer, .arg = r, .timeout_ms = TIMEOUT_MS };
  GString *out = g_string_new (NULL);
  g_strlcpy (r->id, id, sizeof r->id);
  r->node = node;
  r->sent_ns = clock_now_ns ();
  g_string_printf (
      out,
      "%s %s HTTP/1.1\r\nHost: clinic.example\r\n"
      "Crocusbend-Attempt-Id: %s\r\nCrocusbend-Timeout-Ms: %d\r\n",
      repeatable ? "GET" : "POST", path, id, TIMEOUT_MS);
  if (key >= 0)
    g_string_append_printf (out, "Crocusbend-Shard-Key: %d\r\n", key);
  g_string_append (out, repeatable ? "\r\n" : "Content-Length: 0\r\n\r\n");
  note ("sent node=%u id=%s %s key=%d", node, id, path, key);
  http_call (t->callers, out, &options);
}

static void
on_send_timer (uv_timer_t *timer)
{
  static double due;
  (void)timer;
  for (due += per_s * SEND_INTERVAL_MS / 1000.0; due >= 1; due--)
    for (unsigned n = 0; n < targets->len; n++)
      {
        char id[40];
        const struct target *t = g_ptr_array_index (targets, n);
        if (!t->is_there)
          continue;
        bool keyed
            = all_keyed || (any_keyed && g_random_int_range (0, 2) == 1);
        snprintf (id, sizeof id, "r%u", ++request_count);
        send_request (n, id, keyed ? "/stock/x" : "/fit/x",
                      keyed ? g_random_int_range (0, KEY_COUNT) : -1, true);
      }
}

/* Starting.  */

static bool
parse_address (const char *text, struct settings_address *address)
{
  return settings_address_parse (text, address) == ADDRESS_VALID;
}

static bool
add_target (const char *text)
{
  struct target *t = g_new0 (struct target, 1);
  struct settings_address control;
  struct settings_address callers;
  t->is_there = *text != '-';
  char **parts = g_strsplit (text + !t->is_there, ",", -1);
  if (g_strv_length (parts) != TARGET_PARTS
      || !parse_address (parts[2], &t->address)
      || !parse_address (parts[3], &control)
      || !parse_address (parts[4], &callers))
    return false;
  t->index = targets->len;
  t->life = 1;
  t->keys = g_new0 (struct hold, KEY_COUNT);
  g_strlcpy (t->service, parts[0], sizeof t->service);
  t->keyed = strcmp (parts[1], "yes") == 0;
  any_keyed = any_keyed || t->keyed;
  all_keyed = all_keyed && t->keyed;
  g_strfreev (parts);
  t->control = http_client_new (&loop, &control, 2);
  t->callers = http_client_new (&loop, &callers, 64);
  uv_timer_init (&loop, &t->back_timer);
  t->back_timer.data = t;
  uv_timer_init (&loop, &t->heartbeat_timer);
  t->heartbeat_timer.data = t;
  uv_timer_start (&t->heartbeat_timer, on_heartbeat_timer,
                  200 + 100 * t->index, HEARTBEAT_INTERVAL_MS);
  g_ptr_array_add (targets, t);
  if (t->is_there)
    open_target (t);
  return true;
}

int
main (int argc, char **argv)
{
  struct settings_address store;
  uv_timer_t scan_timer;
  uv_timer_t send_timer;
  if (argc < 4 || !parse_address (argv[2], &store))
    return 2;
  signal (SIGPIPE, SIG_IGN);
  start_ns = clock_now_ns ();
  record = fopen (argv[1], "w");
  if (record == NULL)
    return 2;
  uv_loop_init (&loop);
  table_init (&now);
  watches = g_ptr_array_new ();
  targets = g_ptr_array_new ();
  if (http_server_new (&loop, &store, &limits, on_store_call, NULL) == NULL)
    return 2;
  for (int i = 3; i < argc; i++)
    if (!add_target (argv[i]))
      return 2;
  uv_timer_init (&loop, &scan_timer);
  uv_timer_start (&scan_timer, on_scan_timer, SCAN_INTERVAL_MS,
                  SCAN_INTERVAL_MS);
  uv_timer_init (&loop, &send_timer);
  uv_timer_start (&send_timer, on_send_timer, SEND_INTERVAL_MS,
                  SEND_INTERVAL_MS);
  printf ("ready\n");
  fflush (stdout);
  return uv_run (&loop, UV_RUN_DEFAULT);
}
