/* Stand-in of the users' platform for the scripts of this review: the
   platform's store, upstreams beside the nodes, their clients, and the judge
   of what these see.

   drill STORE_ADDRESS RECORD HEARTBEAT_MS {SERVICE:KEYED:APP:CONTROL:CALLERS}...

   Upstream N (from 1) of SERVICE listens on APP, sends its check-ins to
   CONTROL, and clients on its machine send to CALLERS; each is IP/PORT.  KEYED
   is "yes" if keys are granted to it.  It starts stopped.

   Commands, POST on STORE_ADDRESS:
   /ctl/put?key=K             the operator writes the body
   /ctl/away, /ctl/back       the store answers nothing (connections are
                              closed), or answers again
   /ctl/copy                  remember a copy of the store
   /ctl/restore               the store is that copy; its era rises by one
   /ctl/start/N[?same=1]      upstream N starts, with a new id or its last one
   /ctl/kill/N                it ends without a word
   /ctl/late/N?ms=M           its check-ins from now on are under way for M ms
   /ctl/foreign/N?state=S&id=I   another writer sends a check-in to the control
                              address of upstream N, with the state S, without
                              the zone and the start of an upstream; id: its
                              own id, else that of upstream N
   /ctl/served                answers how many client requests were answered
                              with 200, and how many were sent, since the last
                              such command
   /ctl/drain/N?stay=M        upstream N reports that it drains; it serves for
                              drain_ms after the ack and M ms longer, and exits
   /ctl/slots?n=N             the requests that an upstream runs concurrently
   /ctl/deadline?ms=M         how long a client waits
   /ctl/burst?at=N&n=C&path=/P/   C client requests at the machine N at once
   /ctl/work?ms=M             how long a request runs at an upstream
   /ctl/load?gap=MS&from=N&to=M&path=/P/   one client request each MS at the
                              machines N to M in turn; gap 0: none
   /ctl/held                  answers how many keys are held by a live upstream
   /ctl/held/N                the same for upstream N
   /ctl/broken                answers how often a rule was broken

   The record has one line for each event, with milliseconds of the monotonic
   clock.  A line that begins with BROKEN names a rule.  */

#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <uv.h>

#include "base/clock.h"
#include "http/client.h"
#include "http/server.h"

enum
{
  KEY_COUNT = 65536,
  SLOTS_INITIAL = 9,
  DRAIN_MS = 2000,
  CHECK_INTERVAL_MS = 20,
  /* OWNER: no two live upstreams hold the same key for longer.  */
  DOUBLE_MAX_MS = 500,
  CLIENT_DEADLINE_INITIAL_MS = 2500,
  BROKEN_PRINTED_MAX = 20
};

/* The store.  */

struct item
{
  char *key;
  char *value; /* base64 */
  int64_t revision;
  int64_t created;
  int64_t lease;
};

struct change
{
  char *key;
  char *value; /* NULL: deleted */
  int64_t revision;
  int64_t created;
  int64_t lease;
};

struct copy
{
  GHashTable *items;
  guint change_count;
  int64_t revision;
  int64_t last_lease;
};

struct watch
{
  struct http_server_exchange *x;
  char *prefix;
  int64_t after;
  uv_timer_t timer;
};

/* Upstreams.  */

struct held_key
{
  int64_t until_ns;
  int64_t fence; /* highest seen by this boot; 0: none */
};

struct upstream
{
  char service[64];
  bool keyed;
  struct settings_address app;
  struct settings_address callers;
  struct http_server *server; /* NULL: it is down */
  struct http_client *control;
  struct http_client *clients;
  uv_timer_t heartbeat_timer;
  unsigned index;
  unsigned boot;  /* counts its starts */
  unsigned id_no; /* of its id */
  unsigned sequence;
  int64_t born_ms;
  uint32_t late_ms;
  bool draining;
  int64_t left_ns; /* when it got the ack that it drains; 0: not yet */
  uint32_t stay_ms;
  unsigned running;
  uv_timer_t exit_timer;
  struct held_key *keys; /* KEY_COUNT */
};

/* The fence numbers with which boots had a key: the highest, and the highest
   of another boot.  */
struct fences
{
  int64_t first;
  int64_t second;
  uint32_t first_boot; /* index * 1000 + boot */
};

struct sent_request
{
  char *id;
  bool idempotent;
  unsigned runs;
  int status; /* 0: no answer yet; -1: the connection ended */
};

static uv_loop_t loop;
static FILE *record_file;
static const struct http_limits limits = { 65536, 64 << 20, 3000, 60000 };
static GHashTable *items;
static GPtrArray *changes;
static GPtrArray *watches;
static int64_t revision = 1;
static int64_t last_lease = 100;
static unsigned era = 1;
static bool away;
static struct copy copy;
static GPtrArray *upstreams;
static struct fences fences[KEY_COUNT];
static int64_t double_since_ns[KEY_COUNT];
static uint32_t heartbeat_ms;
static uint32_t work_ms = 40;
static unsigned slots = SLOTS_INITIAL;
static uint32_t client_deadline_ms = CLIENT_DEADLINE_INITIAL_MS;
static uv_timer_t check_timer;
static uv_timer_t load_timer;
static uint32_t load_gap_ms;
static unsigned load_from;
static unsigned load_to;
static unsigned load_next;
static char load_path[64];
static uint64_t request_count;
static uint64_t sent_since;
static uint64_t served_since;
static GHashTable *requests; /* struct sent_request by id */
static unsigned broken_count;

static void
record (const char *fmt, ...)
{
  va_list args;
  fprintf (record_file, "%lld ", (long long)(clock_now_ns () / NS_PER_MS));
  va_start (args, fmt);
  vfprintf (record_file, fmt, args);
  va_end (args);
  fputc ('\n', record_file);
  fflush (record_file);
}

static void
broken (const char *rule, const char *fmt, ...)
{
  char text[300];
  va_list args;
  va_start (args, fmt);
  vsnprintf (text, sizeof text, fmt, args);
  va_end (args);
  if (++broken_count <= BROKEN_PRINTED_MAX)
    record ("BROKEN %s %s", rule, text);
}

static int64_t
wall_ms (void)
{
  struct timeval tv;
  gettimeofday (&tv, NULL);
  return (int64_t)tv.tv_sec * 1000 + tv.tv_usec / 1000;
}

/* Answers of the store.  */

static void
answer_json (struct http_server_exchange *x, int status, json_t *json)
{
  char head[100];
  char *text = json_dumps (json, JSON_COMPACT);
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

static void
item_free (void *arg)
{
  struct item *item = arg;
  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

static json_t *
format_change (const char *key, const char *value, int64_t at,
               int64_t created, int64_t lease)
{
  if (value == NULL)
    return json_pack ("{s:s,s:I,s:b}", "key", key, "revision", (json_int_t)at,
                      "deleted", 1);
  return json_pack ("{s:s,s:s,s:I,s:I,s:I}", "key", key, "value", value,
                    "revision", (json_int_t)at, "created_at",
                    (json_int_t)created, "lease", (json_int_t)lease);
}

static json_t *
format_item (const struct item *item)
{
  return format_change (item->key, item->value, item->revision, item->created,
                        item->lease);
}

static bool
answer_watch (struct watch *w, bool allow_empty)
{
  json_t *list = json_array ();
  for (guint i = 0; i < changes->len; i++)
    {
      const struct change *e = g_ptr_array_index (changes, i);
      if (e->revision > w->after && g_str_has_prefix (e->key, w->prefix))
        json_array_append_new (list,
                               format_change (e->key, e->value, e->revision,
                                              e->created, e->lease));
    }
  if (json_array_size (list) == 0 && !allow_empty)
    {
      json_decref (list);
      return false;
    }
  struct http_server_exchange *x = w->x;
  x->on_disconnect = NULL;
  answer_json (x, 200,
               json_pack ("{s:o,s:I}", "events", list, "at",
                          (json_int_t)revision));
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
on_watcher_gone (struct http_server_exchange *x)
{
  end_watch (x->user_data);
}

static void
start_watch (struct http_server_exchange *x)
{
  int64_t after = query_number (x, "after", 0);
  if (after > revision)
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
  x->on_disconnect = on_watcher_gone;
  g_ptr_array_add (watches, w);
  if (answer_watch (w, false))
    end_watch (w);
  else
    uv_timer_start (&w->timer, on_watch_timer,
                    (uint64_t)query_number (x, "wait_ms", 1000), 0);
}

static void
put_item (const char *key, const char *value, int64_t lease)
{
  const struct item *old = g_hash_table_lookup (items, key);
  struct change *change = g_new0 (struct change, 1);
  struct item *item = g_new0 (struct item, 1);
  item->key = g_strdup (key);
  item->value = g_strdup (value);
  item->revision = revision;
  item->created = old == NULL ? revision : old->created;
  item->lease = lease;
  *change = (struct change){ g_strdup (key), g_strdup (value), revision,
                             item->created, lease };
  g_ptr_array_add (changes, change);
  g_hash_table_replace (items, item->key, item);
  record ("store put key=%s revision=%lld era=%u bytes=%zu", key,
          (long long)revision, era, strlen (value));
}

static void
remove_item (const char *key)
{
  struct change *change = g_new0 (struct change, 1);
  *change = (struct change){ g_strdup (key), NULL, revision, 0, 0 };
  g_ptr_array_add (changes, change);
  g_hash_table_remove (items, key);
  record ("store remove key=%s revision=%lld", key, (long long)revision);
}

static void
notify_watches (void)
{
  for (guint i = watches->len; i > 0; i--)
    {
      struct watch *w = g_ptr_array_index (watches, i - 1);
      if (answer_watch (w, false))
        end_watch (w);
    }
}

static const char *
member_text (const json_t *json, const char *name)
{
  return json_string_value (json_object_get (json, name));
}

static int64_t
member_int (const json_t *json, const char *name)
{
  return json_integer_value (json_object_get (json, name));
}

static void
transact (struct http_server_exchange *x)
{
  json_t *body = json_loadb (x->body->str, x->body->len, 0, NULL);
  const json_t *conditions = json_object_get (body, "precondition");
  const json_t *puts = json_object_get (body, "puts");
  const json_t *removes = json_object_get (body, "remove");
  json_t *current = json_array ();
  bool matched = true;
  bool leases_known = true;
  for (size_t i = 0; i < json_array_size (conditions); i++)
    {
      const json_t *c = json_array_get (conditions, i);
      const struct item *item
          = g_hash_table_lookup (items, member_text (c, "key"));
      matched = matched
                && (item == NULL ? 0 : item->revision)
                       == member_int (c, "revision");
      if (item != NULL)
        json_array_append_new (current, format_item (item));
    }
  for (size_t i = 0; i < json_array_size (puts); i++)
    leases_known = leases_known
                   && member_int (json_array_get (puts, i), "lease")
                          <= last_lease;
  if (!matched)
    answer_json (x, 412, json_pack ("{s:O}", "items", current));
  else if (!leases_known)
    answer_json (x, 404, json_object ());
  else
    {
      revision++;
      for (size_t i = 0; i < json_array_size (puts); i++)
        {
          const json_t *p = json_array_get (puts, i);
          put_item (member_text (p, "key"), member_text (p, "value"),
                    member_int (p, "lease"));
        }
      for (size_t i = 0; i < json_array_size (removes); i++)
        remove_item (json_string_value (json_array_get (removes, i)));
      answer_json (x, 200,
                   json_pack ("{s:I}", "revision", (json_int_t)revision));
      notify_watches ();
    }
  json_decref (current);
  json_decref (body);
}

static void
read_item (struct http_server_exchange *x)
{
  char *key = query (x, "key");
  const struct item *item
      = key == NULL ? NULL : g_hash_table_lookup (items, key);
  json_t *json = item == NULL ? json_object () : format_item (item);
  json_object_set_new (json, "at", json_integer (revision));
  answer_json (x, item == NULL ? 404 : 200, json);
  g_free (key);
}

static void
list_items (struct http_server_exchange *x)
{
  char *prefix = query (x, "prefix");
  json_t *list = json_array ();
  GList *keys
      = g_list_sort (g_hash_table_get_keys (items), (GCompareFunc)strcmp);
  for (GList *l = keys; l != NULL; l = l->next)
    if (g_str_has_prefix (l->data, prefix))
      json_array_append_new (
          list, format_item (g_hash_table_lookup (items, l->data)));
  g_list_free (keys);
  g_free (prefix);
  answer_json (x, 200,
               json_pack ("{s:o,s:b,s:I}", "items", list, "has_more", 0, "at",
                          (json_int_t)revision));
}

static void
answer_lease (struct http_server_exchange *x, int64_t lease)
{
  answer_json (x, 200,
               json_pack ("{s:I,s:I}", "lease", (json_int_t)lease, "ttl_ms",
                          (json_int_t)120000));
}

static void
renew_lease (struct http_server_exchange *x)
{
  int64_t lease = strtoll (x->request_target->str + strlen ("/-/kv-keep/"),
                           NULL, 10);
  if (lease > last_lease)
    answer_json (x, 404, json_object ());
  else
    answer_lease (x, lease);
}

/* The copy.  */

static GHashTable *
copy_items (GHashTable *from)
{
  GHashTable *to
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, item_free);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, from);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct item *old = value;
      struct item *item = g_new0 (struct item, 1);
      *item = *old;
      item->key = g_strdup (old->key);
      item->value = g_strdup (old->value);
      g_hash_table_replace (to, item->key, item);
    }
  return to;
}

static void
take_copy (void)
{
  copy = (struct copy){ copy_items (items), changes->len, revision,
                        last_lease };
  record ("store copy revision=%lld", (long long)revision);
}

static void
restore_copy (void)
{
  int64_t lost = revision - copy.revision;
  g_hash_table_destroy (items);
  items = copy_items (copy.items);
  g_ptr_array_set_size (changes, (gint)copy.change_count);
  revision = copy.revision;
  last_lease = copy.last_lease;
  era++;
  record ("store restored revision=%lld lost_changes=%lld era=%u",
          (long long)revision, (long long)lost, era);
}

/* Upstreams.  */

static uint32_t
boot_of (const struct upstream *u)
{
  return u->index * 1000 + u->boot;
}

static void
upstream_id (const struct upstream *u, char id[64])
{
  snprintf (id, 64, "i-%u-%u", u->index, u->id_no);
}

static void
on_check_in_answered (void *arg, const struct http_response *reply)
{
  (void)arg;
  (void)reply;
}

struct check_in
{
  uv_timer_t timer;
  struct upstream *upstream;
  GString *call;
  unsigned boot;
  bool draining;
  char text[120];
};

static void kill_upstream (struct upstream *u);

static void
on_exit_timer (uv_timer_t *timer)
{
  kill_upstream (timer->data);
}

static void
on_drain_answered (void *arg, const struct http_response *reply)
{
  struct upstream *u = arg;
  if (reply->result != HTTP_COMPLETED || reply->status != 200
      || u->left_ns != 0 || !u->draining)
    return;
  u->left_ns = clock_now_ns ();
  record ("drain acked boot=%u", boot_of (u));
  uv_timer_start (&u->exit_timer, on_exit_timer, DRAIN_MS + u->stay_ms, 0);
}

static void
on_check_in_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
on_check_in_due (uv_timer_t *timer)
{
  struct check_in *c = timer->data;
  struct http_call_options options
      = { .done = on_check_in_answered, .timeout_ms = 1000 };
  if (c->draining && c->boot == c->upstream->boot)
    {
      options.done = on_drain_answered;
      options.arg = c->upstream;
    }
  record ("check-in arrives %s", c->text);
  http_call (c->upstream->control, c->call, &options);
  uv_close ((uv_handle_t *)timer, on_check_in_closed);
}

static void
send_check_in (struct upstream *u)
{
  char id[64];
  char address[80];
  struct check_in *c = g_new0 (struct check_in, 1);
  upstream_id (u, id);
  snprintf (address, sizeof address, "%s:%u", u->app.host,
            (unsigned)u->app.port);
  json_t *json = json_pack (
      "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:I}", "service_name", u->service,
      "address", address, "zone", "arima-hall", "version", "v1",
      "capacity_slots", (int)slots, "state", u->draining ? "draining" : "ready",
      "warmup_left_ms", 0,
      "sequence", (int)++u->sequence, "born", (json_int_t)u->born_ms);
  char *body = json_dumps (json, JSON_COMPACT);
  c->upstream = u;
  c->boot = u->boot;
  c->draining = u->draining;
  c->call = g_string_new (NULL);
  g_string_printf (c->call,
                   "POST /-/instances/%s/heartbeat HTTP/1.1\r\nHost: x\r\n"
                   "Content-Type: application/json\r\n"
                   "Content-Length: %zu\r\n\r\n%s",
                   id, strlen (body), body);
  snprintf (c->text, sizeof c->text, "id=%s boot=%u sequence=%u born=%lld",
            id, boot_of (u), u->sequence, (long long)u->born_ms);
  free (body);
  json_decref (json);
  uv_timer_init (&loop, &c->timer);
  c->timer.data = c;
  uv_timer_start (&c->timer, on_check_in_due, u->late_ms, 0);
}

/* A check-in of another writer, which lacks fields: it names no upstream.  */
static void
send_foreign_check_in (struct upstream *u, const char *own_id,
                       const char *state)
{
  struct http_call_options options
      = { .done = on_check_in_answered, .timeout_ms = 1000 };
  char id[64];
  GString *call = g_string_new (NULL);
  char *body = g_strdup_printf (
      "{\"service_name\":\"%s\",\"address\":\"%s:%u\",\"version\":\"v1\","
      "\"capacity_slots\":%u,\"state\":\"%s\",\"warmup_left_ms\":0,"
      "\"sequence\":1}",
      u->service, u->app.host, (unsigned)u->app.port, slots, state);
  upstream_id (u, id);
  if (own_id != NULL)
    g_strlcpy (id, own_id, sizeof id);
  g_string_printf (call,
                   "POST /-/instances/%s/heartbeat HTTP/1.1\r\nHost: x\r\n"
                   "Content-Type: application/json\r\n"
                   "Content-Length: %zu\r\n\r\n%s",
                   id, strlen (body), body);
  record ("foreign check-in id=%s %s", id, body);
  g_free (body);
  http_call (u->control, call, &options);
}

static void
on_heartbeat_timer (uv_timer_t *timer)
{
  struct upstream *u = timer->data;
  if (u->server != NULL)
    send_check_in (u);
}

/* Keys.  */

static void
check_fence (const struct upstream *u, uint32_t key, int64_t fence,
             unsigned *reported)
{
  struct fences *f = &fences[key];
  uint32_t boot = boot_of (u);
  int64_t of_others = f->first_boot == boot ? f->second : f->first;
  if (fence <= of_others && (*reported)++ == 0)
    broken ("OWNER",
            "boot %u is granted key %u with fence %lld, another had it with "
            "%lld",
            boot, key, (long long)fence, (long long)of_others);
  if (f->first_boot == boot)
    f->first = MAX (f->first, fence);
  else if (fence > f->first)
    *f = (struct fences){ fence, f->first, boot };
  else
    f->second = MAX (f->second, fence);
}

/* Look for keys that two live upstreams have held for too long.  */
static void
check_holders (void)
{
  int64_t now_ns = clock_now_ns ();
  unsigned reported = 0;
  for (uint32_t key = 0; key < KEY_COUNT; key++)
    {
      unsigned holders = 0;
      unsigned who[2] = { 0, 0 };
      for (guint i = 0; i < upstreams->len; i++)
        {
          const struct upstream *u = g_ptr_array_index (upstreams, i);
          if (u->server == NULL || !u->keyed || u->keys[key].until_ns <= now_ns)
            continue;
          if (holders < 2)
            who[holders] = boot_of (u);
          holders++;
        }
      if (holders < 2)
        double_since_ns[key] = 0;
      else if (double_since_ns[key] == 0)
        double_since_ns[key] = now_ns;
      else if (double_since_ns[key] > 0
               && now_ns - double_since_ns[key] > DOUBLE_MAX_MS * NS_PER_MS)
        {
          if (reported++ == 0)
            broken ("OWNER", "key %u is held by boots %u and %u for %lld ms",
                    key, who[0], who[1],
                    (long long)((now_ns - double_since_ns[key]) / NS_PER_MS));
          double_since_ns[key] = -1; /* reported */
        }
    }
  if (reported > 0)
    record ("doubly held for over %d ms: %u more keys", DOUBLE_MAX_MS,
            reported);
}

static void
on_check_timer (uv_timer_t *timer)
{
  (void)timer;
  check_holders ();
}

static unsigned
count_held (unsigned index)
{
  int64_t now_ns = clock_now_ns ();
  unsigned count = 0;
  for (uint32_t key = 0; key < KEY_COUNT; key++)
    {
      bool held = false;
      for (guint i = 0; i < upstreams->len; i++)
        {
          const struct upstream *u = g_ptr_array_index (upstreams, i);
          held = held
                 || ((index == 0 || u->index == index) && u->server != NULL
                     && u->keyed && u->keys[key].until_ns > now_ns);
        }
      count += held;
    }
  return count;
}

static void
grant_keys (struct upstream *u, struct http_server_exchange *x)
{
  json_t *body = json_loadb (x->body->str, x->body->len, 0, NULL);
  int64_t from = member_int (body, "from");
  int64_t to = member_int (body, "to");
  int64_t fence = member_int (body, "fence");
  int64_t hold_ms = member_int (body, "hold_ms");
  unsigned reported = 0;
  int status = 200;
  json_decref (body);
  if (!u->keyed || from < 0 || to >= KEY_COUNT || from > to || hold_ms <= 0
      || hold_ms > 10000)
    status = 400;
  for (int64_t k = from; status == 200 && k <= to; k++)
    if (u->keys[k].fence > fence)
      status = 409;
  for (int64_t k = from; status == 200 && k <= to; k++)
    {
      check_fence (u, (uint32_t)k, fence, &reported);
      u->keys[k].fence = fence;
      u->keys[k].until_ns = clock_now_ns () + hold_ms * NS_PER_MS;
    }
  record ("grant boot=%u from=%lld to=%lld fence=%lld hold_ms=%lld -> %d",
          boot_of (u), (long long)from, (long long)to, (long long)fence,
          (long long)hold_ms, status);
  http_respond (x, status, NULL, "", 0);
}

static void
release_keys (struct upstream *u, struct http_server_exchange *x)
{
  char head[100];
  json_t *body = json_loadb (x->body->str, x->body->len, 0, NULL);
  int64_t from = member_int (body, "from");
  int64_t to = member_int (body, "to");
  int64_t fence = member_int (body, "fence");
  json_decref (body);
  for (int64_t k = MAX (from, 0); k <= to && k < KEY_COUNT; k++)
    u->keys[k].until_ns = 0;
  record ("release boot=%u from=%lld to=%lld fence=%lld", boot_of (u),
          (long long)from, (long long)to, (long long)fence);
  snprintf (head, sizeof head, "Crocusbend-Handover: h%u%lld\r\n",
            boot_of (u), (long long)from);
  http_respond (x, 200, head, "", 0);
}

/* Requests.  */

struct running
{
  uv_timer_t timer;
  struct http_server_exchange *x;
  struct upstream *upstream;
};

static void
on_running_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
on_work_done (uv_timer_t *timer)
{
  struct running *r = timer->data;
  char head[200];
  char body[200];
  const char *id = headers_find (r->x->headers, "Crocusbend-Attempt-Id");
  snprintf (head, sizeof head,
            "Crocusbend-Attempt-Id: %s\r\nCrocusbend-Server-Signature: s%u\r\n",
            id, boot_of (r->upstream));
  snprintf (body, sizeof body, "answer to %s", id);
  r->x->on_disconnect = NULL;
  r->upstream->running--;
  http_respond (r->x, 200, head, body, strlen (body));
  uv_close ((uv_handle_t *)timer, on_running_closed);
}

static void
on_sender_gone (struct http_server_exchange *x)
{
  struct running *r = x->user_data;
  r->upstream->running--;
  record ("cut id=%s", headers_find (x->headers, "Crocusbend-Attempt-Id"));
  uv_close ((uv_handle_t *)&r->timer, on_running_closed);
}

static void
count_run (const struct upstream *u, const struct http_server_exchange *x,
           const char *id, const char *key)
{
  struct sent_request *q = g_hash_table_lookup (requests, id);
  record ("run id=%s boot=%u method=%s path=%s key=%s", id, boot_of (u),
          x->method, x->request_target->str, key == NULL ? "-" : key);
  if (q == NULL)
    {
      broken ("UNASKED", "boot %u runs %s, which no client sent", boot_of (u),
              id);
      return;
    }
  if (u->left_ns != 0
      && clock_now_ns () - u->left_ns > DRAIN_MS * NS_PER_MS)
    broken ("DRAIN", "%s reaches boot %u %lld ms after the ack", id,
            boot_of (u),
            (long long)((clock_now_ns () - u->left_ns) / NS_PER_MS));
  if (++q->runs > 1 && !q->idempotent)
    broken ("TWICE", "%s runs once more, at boot %u", id, boot_of (u));
  if (!q->idempotent && (q->status == 503 || q->status == 429))
    broken ("REFUSED", "%s runs after %d", id, q->status);
}

static void
on_upstream_call (void *arg, struct http_server_exchange *x)
{
  struct upstream *u = arg;
  char own_id[64];
  upstream_id (u, own_id);
  const char *expected
      = headers_find (x->headers, "Crocusbend-Expect-Instance");
  const char *id = headers_find (x->headers, "Crocusbend-Attempt-Id");
  const char *key = headers_find (x->headers, "Crocusbend-Shard-Key");
  bool other = expected != NULL && strcmp (expected, own_id) != 0;
  long number = key == NULL ? -1 : strtol (key, NULL, 10);
  if (strcmp (x->request_target->str, "/health") == 0)
    {
      char head[100];
      snprintf (head, sizeof head, "Crocusbend-Instance-Id: %s\r\n", own_id);
      http_respond (x, 200, head, "", 0);
    }
  else if (other)
    {
      char head[140];
      snprintf (head, sizeof head,
                "Crocusbend-Instance-Id: %s\r\nCrocusbend-Not-Executed: 1\r\n",
                own_id);
      http_respond (x, 421, head, "", 0);
    }
  else if (strcmp (x->request_target->str, "/-/grant") == 0)
    grant_keys (u, x);
  else if (strcmp (x->request_target->str, "/-/release") == 0)
    release_keys (u, x);
  else if (id == NULL)
    http_respond (x, 400, "Crocusbend-Not-Executed: 1\r\n", "", 0);
  else if (u->keyed
           && (number < 0 || number >= KEY_COUNT
               || u->keys[number].until_ns <= clock_now_ns ()))
    http_respond (x, 421, "Crocusbend-Not-Executed: 1\r\n", "", 0);
  else if (u->running >= slots)
    http_respond (x, 503, "Crocusbend-Not-Executed: 1\r\n", "", 0);
  else
    {
      struct running *r = g_new0 (struct running, 1);
      u->running++;
      count_run (u, x, id, key);
      r->x = x;
      r->upstream = u;
      x->user_data = r;
      x->on_disconnect = on_sender_gone;
      uv_timer_init (&loop, &r->timer);
      r->timer.data = r;
      uv_timer_start (&r->timer, on_work_done, work_ms, 0);
    }
}

static bool
start_upstream (struct upstream *u, bool same_id)
{
  if (u->server != NULL)
    return false;
  u->server = http_server_new (&loop, &u->app, &limits, on_upstream_call, u);
  if (u->server == NULL)
    return false;
  http_server_serve_left (u->server);
  u->boot++;
  if (!same_id)
    u->id_no++;
  u->sequence = 0;
  u->draining = false;
  u->left_ns = 0;
  u->running = 0;
  u->born_ms = wall_ms ();
  memset (u->keys, 0, KEY_COUNT * sizeof *u->keys);
  record ("upstream starts boot=%u id_no=%u", boot_of (u), u->id_no);
  send_check_in (u);
  uv_timer_start (&u->heartbeat_timer, on_heartbeat_timer, heartbeat_ms,
                  heartbeat_ms);
  return true;
}

static void
kill_upstream (struct upstream *u)
{
  if (u->server == NULL)
    return;
  record ("upstream killed boot=%u", boot_of (u));
  uv_timer_stop (&u->heartbeat_timer);
  uv_timer_stop (&u->exit_timer);
  http_server_close (u->server);
  u->server = NULL;
}

/* Clients.  */

static void
on_client_answered (void *arg, const struct http_response *reply)
{
  struct sent_request *q = arg;
  char expected[200];
  snprintf (expected, sizeof expected, "answer to %s", q->id);
  q->status = reply->result == HTTP_COMPLETED ? reply->status : -1;
  record ("answered id=%s status=%d runs=%u", q->id, q->status, q->runs);
  served_since += q->status == 200;
  if ((q->status == 503 || q->status == 429) && !q->idempotent && q->runs > 0)
    broken ("REFUSED", "%s is answered %d and has run", q->id, q->status);
  if (q->status == 200
      && (reply->body_length != strlen (expected)
          || memcmp (reply->body, expected, reply->body_length) != 0
          || headers_find (reply->headers, "Crocusbend-Server-Signature")
                 == NULL))
    broken ("MIXED", "%s has the answer \"%.60s\"", q->id, reply->body);
}

static void
send_request (struct upstream *at)
{
  struct sent_request *q = g_new0 (struct sent_request, 1);
  uint32_t key = (uint32_t)g_random_int_range (0, KEY_COUNT);
  GString *out = g_string_new (NULL);
  q->id = g_strdup_printf ("q%08llx", (unsigned long long)++request_count);
  q->idempotent = false;
  g_hash_table_insert (requests, q->id, q);
  g_string_printf (out,
                   "POST %s%llu HTTP/1.1\r\nHost: drill.example\r\n"
                   "Crocusbend-Attempt-Id: %s\r\n"
                   "Crocusbend-Timeout-Ms: %u\r\n"
                   "Crocusbend-Shard-Key: %u\r\nContent-Length: 5\r\n\r\nhello",
                   load_path, (unsigned long long)request_count, q->id,
                   client_deadline_ms, key);
  struct http_call_options options = { .done = on_client_answered,
                                       .arg = q,
                                       .fresh = true,
                                       .timeout_ms = client_deadline_ms + 500 };
  record ("sent id=%s machine=%u key=%u", q->id, at->index, key);
  sent_since++;
  http_call (at->clients, out, &options);
}

static void
on_load_timer (uv_timer_t *timer)
{
  (void)timer;
  if (load_next < load_from || load_next > load_to)
    load_next = load_from;
  send_request (g_ptr_array_index (upstreams, load_next - 1));
  load_next++;
}

/* Commands.  */

static struct upstream *
find_upstream (const struct http_server_exchange *x, const char *prefix)
{
  unsigned index = (unsigned)strtoul (
      x->request_target->str + strlen (prefix), NULL, 10);
  return index < 1 || index > upstreams->len
             ? NULL
             : g_ptr_array_index (upstreams, index - 1);
}

static void
set_load (struct http_server_exchange *x)
{
  char *path = query (x, "path");
  load_gap_ms = (uint32_t)query_number (x, "gap", 0);
  load_from = (unsigned)query_number (x, "from", 1);
  load_to = (unsigned)query_number (x, "to", 1);
  g_strlcpy (load_path, path == NULL ? "/push/" : path, sizeof load_path);
  g_free (path);
  uv_timer_stop (&load_timer);
  if (load_gap_ms > 0)
    uv_timer_start (&load_timer, on_load_timer, load_gap_ms, load_gap_ms);
}

static void
on_command (struct http_server_exchange *x)
{
  const char *path = x->request_target->str;
  char text[40] = "";
  struct upstream *u;
  record ("command %s", path);
  if (g_str_has_prefix (path, "/ctl/put?"))
    {
      char *key = query (x, "key");
      char *value = g_base64_encode ((const guchar *)x->body->str, x->body->len);
      revision++;
      put_item (key, value, 0);
      notify_watches ();
      g_free (key);
      g_free (value);
    }
  else if (strcmp (path, "/ctl/copy") == 0)
    take_copy ();
  else if (strcmp (path, "/ctl/restore") == 0)
    restore_copy ();
  else if (strcmp (path, "/ctl/away") == 0 || strcmp (path, "/ctl/back") == 0)
    {
      away = strcmp (path, "/ctl/away") == 0;
      while (away && watches->len > 0)
        on_watch_timer (&((struct watch *)g_ptr_array_index (watches, 0))->timer);
    }
  else if (g_str_has_prefix (path, "/ctl/start/"))
    {
      u = find_upstream (x, "/ctl/start/");
      if (u == NULL || !start_upstream (u, query_number (x, "same", 0) != 0))
        strcpy (text, "failed");
    }
  else if (g_str_has_prefix (path, "/ctl/kill/"))
    {
      u = find_upstream (x, "/ctl/kill/");
      if (u != NULL)
        kill_upstream (u);
    }
  else if (g_str_has_prefix (path, "/ctl/late/"))
    {
      u = find_upstream (x, "/ctl/late/");
      if (u != NULL)
        u->late_ms = (uint32_t)query_number (x, "ms", 0);
    }
  else if (g_str_has_prefix (path, "/ctl/foreign/"))
    {
      char *id = query (x, "id");
      char *state = query (x, "state");
      u = find_upstream (x, "/ctl/foreign/");
      if (u != NULL && state != NULL)
        send_foreign_check_in (u, id, state);
      g_free (id);
      g_free (state);
    }
  else if (g_str_has_prefix (path, "/ctl/drain/"))
    {
      u = find_upstream (x, "/ctl/drain/");
      if (u != NULL)
        {
          u->draining = true;
          u->stay_ms = (uint32_t)query_number (x, "stay", 1000);
          send_check_in (u);
        }
    }
  else if (g_str_has_prefix (path, "/ctl/slots"))
    slots = (unsigned)query_number (x, "n", SLOTS_INITIAL);
  else if (g_str_has_prefix (path, "/ctl/deadline"))
    client_deadline_ms
        = (uint32_t)query_number (x, "ms", CLIENT_DEADLINE_INITIAL_MS);
  else if (g_str_has_prefix (path, "/ctl/burst"))
    {
      int64_t count = query_number (x, "n", 1);
      int64_t at = query_number (x, "at", 1);
      char *to = query (x, "path");
      g_strlcpy (load_path, to == NULL ? "/push/" : to, sizeof load_path);
      g_free (to);
      for (int64_t i = 0; i < count && at >= 1 && at <= upstreams->len; i++)
        send_request (g_ptr_array_index (upstreams, (guint)at - 1));
    }
  else if (g_str_has_prefix (path, "/ctl/work"))
    work_ms = (uint32_t)query_number (x, "ms", 40);
  else if (g_str_has_prefix (path, "/ctl/load"))
    set_load (x);
  else if (g_str_has_prefix (path, "/ctl/held"))
    {
      u = find_upstream (x, "/ctl/held/");
      snprintf (text, sizeof text, "%u", count_held (u == NULL ? 0 : u->index));
    }
  else if (strcmp (path, "/ctl/served") == 0)
    {
      snprintf (text, sizeof text, "%llu %llu",
                (unsigned long long)served_since,
                (unsigned long long)sent_since);
      served_since = sent_since = 0;
    }
  else if (strcmp (path, "/ctl/broken") == 0)
    snprintf (text, sizeof text, "%u", broken_count);
  record ("command done %s", text);
  http_respond (x, 200, NULL, text, strlen (text));
}

static void
on_store_call (void *arg, struct http_server_exchange *x)
{
  const char *path = x->request_target->str;
  (void)arg;
  if (g_str_has_prefix (path, "/ctl/"))
    on_command (x);
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
    answer_lease (x, ++last_lease);
  else if (g_str_has_prefix (path, "/-/kv-keep/"))
    renew_lease (x);
  else
    answer_json (x, 404, json_object ());
}

/* Read IP/PORT.  */
static bool
read_address (const char *text, struct settings_address *address)
{
  const char *slash = strchr (text, '/');
  if (slash == NULL || (size_t)(slash - text) >= sizeof address->host)
    return false;
  memset (address, 0, sizeof *address);
  memcpy (address->host, text, (size_t)(slash - text));
  address->port = (uint16_t)strtoul (slash + 1, NULL, 10);
  return address->port != 0;
}

static bool
add_upstream (const char *text)
{
  char **parts = g_strsplit (text, ":", -1);
  struct settings_address control;
  struct upstream *u = g_new0 (struct upstream, 1);
  if (g_strv_length (parts) != 5 || !read_address (parts[2], &u->app)
      || !read_address (parts[3], &control)
      || !read_address (parts[4], &u->callers))
    return false;
  g_strlcpy (u->service, parts[0], sizeof u->service);
  u->keyed = strcmp (parts[1], "yes") == 0;
  u->index = upstreams->len + 1;
  u->keys = g_new0 (struct held_key, KEY_COUNT);
  u->control = http_client_new (&loop, &control, 8);
  u->clients = http_client_new (&loop, &u->callers, 200);
  uv_timer_init (&loop, &u->heartbeat_timer);
  u->heartbeat_timer.data = u;
  uv_timer_init (&loop, &u->exit_timer);
  u->exit_timer.data = u;
  g_ptr_array_add (upstreams, u);
  g_strfreev (parts);
  return true;
}

int
main (int argc, char **argv)
{
  struct settings_address address;
  if (argc < 5 || !read_address (argv[1], &address))
    return EXIT_FAILURE;
  record_file = fopen (argv[2], "a");
  heartbeat_ms = (uint32_t)strtoul (argv[3], NULL, 10);
  if (record_file == NULL || heartbeat_ms == 0)
    return EXIT_FAILURE;
  signal (SIGPIPE, SIG_IGN);
  uv_loop_init (&loop);
  items = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, item_free);
  changes = g_ptr_array_new ();
  watches = g_ptr_array_new ();
  upstreams = g_ptr_array_new ();
  requests = g_hash_table_new (g_str_hash, g_str_equal);
  uv_timer_init (&loop, &load_timer);
  uv_timer_init (&loop, &check_timer);
  uv_timer_start (&check_timer, on_check_timer, CHECK_INTERVAL_MS,
                  CHECK_INTERVAL_MS);
  if (http_server_new (&loop, &address, &limits, on_store_call, NULL) == NULL)
    return EXIT_FAILURE;
  for (int i = 4; i < argc; i++)
    if (!add_upstream (argv[i]))
      return EXIT_FAILURE;
  printf ("ready\n");
  fflush (stdout);
  return uv_run (&loop, UV_RUN_DEFAULT);
}
