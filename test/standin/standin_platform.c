/* A small stand-in for the users' platform: its store and targets that speak
   its wire, for tests without the bench.

   standin_platform STORE_PORT {SERVICE:KEYED:PORT:CONTROL_PORT}...

   Everything is on 127.0.0.1.  A target answers each request with its id, the
   method, the path, the key and the caller's service, after "ms" of the query.
   It obeys grants and releases, and reports to its control address.  POST
   /control/N/drain lets target N leave, /control/N/reborn makes it another
   run, on the store's port.  Runs are printed: "run REQUEST TARGET KEY".  */

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "base/clock.h"
#include "http/client.h"
#include "http/server.h"
#include "platform.h"

enum
{
  KEYS = 65536,
  REPORT_MS = 200,
  SLOTS = 4,
  ARGUMENT_PARTS = 4
};

struct item
{
  char *value; /* base64, NULL: deleted */
  int64_t revision;
  int64_t lease;
};

struct change
{
  char *key;
  char *value;
  int64_t revision;
};

struct watch
{
  struct http_server_exchange *x;
  char *prefix;
  int64_t after;
  uv_timer_t timer;
};

struct held
{
  int64_t until_ns;
  uint64_t token;
};

struct target
{
  char service[64];
  bool keyed;
  struct settings_address address;
  struct http_server *server;
  struct http_client *control;
  uv_timer_t timer;
  unsigned run; /* 1 for the first */
  unsigned sequence;
  unsigned number;
  bool draining;
  struct held keys[KEYS];
};

struct answer_later
{
  uv_timer_t timer;
  struct http_server_exchange *x;
  struct target *target;
  char *body;
};

static uv_loop_t loop;
static const struct http_limits limits = { 65536, 1 << 20, 3000, 30000 };
static GHashTable *items;
static GPtrArray *events;
static GPtrArray *watches;
static int64_t revision = 1;
static int64_t last_lease = 100;
static GPtrArray *targets;

/* Answers.  */

static void
answer_json (struct http_server_exchange *x, int status, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);
  http_respond (x, status, "Content-Type: application/json\r\n", text,
                strlen (text));
  free (text);
  json_decref (json);
}

/* The value of NAME in the query of X, to be freed; NULL: none.  */
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
              int64_t other)
{
  char *text = query (x, name);
  int64_t value = text == NULL ? other : strtoll (text, NULL, 10);
  g_free (text);
  return value;
}

/* The store.  */

static json_t *
item_json (const char *key, const char *value, int64_t at)
{
  if (value == NULL)
    return json_pack ("{s:s,s:I,s:b}", "key", key, "revision", (json_int_t)at,
                      "deleted", 1);
  return json_pack ("{s:s,s:s,s:I,s:I,s:i}", "key", key, "value", value,
                    "revision", (json_int_t)at, "created_at", (json_int_t)at,
                    "lease", 0);
}

static bool
answer_watch (struct watch *w, bool anyway)
{
  json_t *list = json_array ();
  for (guint i = 0; i < events->len; i++)
    {
      const struct change *e = g_ptr_array_index (events, i);
      if (e->revision > w->after && g_str_has_prefix (e->key, w->prefix))
        json_array_append_new (list,
                               item_json (e->key, e->value, e->revision));
    }
  if (json_array_size (list) == 0 && !anyway)
    {
      json_decref (list);
      return false;
    }
  struct http_server_exchange *x = w->x;
  x->on_disconnect = NULL;
  w->x = NULL;
  answer_json (
      x, 200,
      json_pack ("{s:o,s:I}", "events", list, "at", (json_int_t)revision));
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
  struct watch *w = g_new0 (struct watch, 1);
  w->x = x;
  w->prefix = query (x, "prefix");
  w->after = query_number (x, "after", 0);
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
put_item (const char *key, const char *value)
{
  struct item *item = g_new0 (struct item, 1);
  struct change *event = g_new0 (struct change, 1);
  item->value = g_strdup (value);
  item->revision = revision;
  event->key = g_strdup (key);
  event->value = g_strdup (value);
  event->revision = revision;
  g_hash_table_replace (items, g_strdup (key), item);
  g_ptr_array_add (events, event);
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

static void
transact (struct http_server_exchange *x)
{
  json_t *body = json_loadb (x->body->str, x->body->len, 0, NULL);
  const json_t *conditions = json_object_get (body, "precondition");
  const json_t *puts = json_object_get (body, "puts");
  bool holds = true;
  for (size_t i = 0; i < json_array_size (conditions); i++)
    {
      const json_t *c = json_array_get (conditions, i);
      const struct item *item
          = g_hash_table_lookup (items, platform_json_string (c, "key"));
      int64_t wanted = json_integer_value (json_object_get (c, "revision"));
      holds = holds && (item == NULL ? 0 : item->revision) == wanted;
    }
  if (!holds)
    answer_json (x, 412, json_pack ("{s:[]}", "items"));
  else
    {
      revision++;
      for (size_t i = 0; i < json_array_size (puts); i++)
        put_item (platform_json_string (json_array_get (puts, i), "key"),
                  platform_json_string (json_array_get (puts, i), "value"));
      answer_json (x, 200,
                   json_pack ("{s:I}", "revision", (json_int_t)revision));
      tell_watches ();
    }
  json_decref (body);
}

static void
read_item (struct http_server_exchange *x)
{
  char *key = query (x, "key");
  const struct item *item = g_hash_table_lookup (items, key);
  if (item == NULL)
    answer_json (x, 404, json_pack ("{s:I}", "at", (json_int_t)revision));
  else
    {
      json_t *json = item_json (key, item->value, item->revision);
      json_object_set_new (json, "at", json_integer (revision));
      answer_json (x, 200, json);
    }
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
    {
      const struct item *item = g_hash_table_lookup (items, l->data);
      if (g_str_has_prefix (l->data, prefix))
        json_array_append_new (
            list, item_json (l->data, item->value, item->revision));
    }
  g_list_free (keys);
  g_free (prefix);
  answer_json (x, 200,
               json_pack ("{s:o,s:b,s:I}", "items", list, "has_more", 0, "at",
                          (json_int_t)revision));
}

static void report (struct target *t);

/* POST /control/N/WHAT.  */
static void
control (struct http_server_exchange *x)
{
  guint number = (guint)strtoul (x->request_target->str + strlen ("/control/"),
                                 NULL, 10);
  struct target *t = g_ptr_array_index (targets, number);
  if (g_str_has_suffix (x->request_target->str, "/drain"))
    t->draining = true;
  if (g_str_has_suffix (x->request_target->str, "/reborn"))
    {
      t->run++;
      t->sequence = 0;
      t->draining = false;
      memset (t->keys, 0, sizeof t->keys);
    }
  report (t);
  http_respond (x, 200, NULL, "", 0);
}

/* PUT /put?key=K: what an operator writes.  */
static void
operator_put (struct http_server_exchange *x)
{
  char *key = query (x, "key");
  char *value = g_base64_encode ((const guchar *)x->body->str, x->body->len);
  revision++;
  put_item (key, value);
  http_respond (x, 200, NULL, "", 0);
  tell_watches ();
  g_free (key);
  g_free (value);
}

static void
on_store_call (void *arg, struct http_server_exchange *x)
{
  const char *path = x->request_target->str;
  (void)arg;
  if (g_str_has_prefix (path, "/-/kv-key?"))
    read_item (x);
  else if (g_str_has_prefix (path, "/-/kv-range?"))
    list_items (x);
  else if (g_str_has_prefix (path, "/-/kv-watch?"))
    start_watch (x);
  else if (strcmp (path, "/-/kv-txn") == 0)
    transact (x);
  else if (strcmp (path, "/-/kv-lease") == 0)
    answer_json (x, 200,
                 json_pack ("{s:I,s:i}", "lease", (json_int_t)++last_lease,
                            "ttl_ms", 120000));
  else if (g_str_has_prefix (path, "/-/kv-keep/"))
    answer_json (x, 200, json_pack ("{s:i}", "ttl_ms", 120000));
  else if (g_str_has_prefix (path, "/control/"))
    control (x);
  else if (g_str_has_prefix (path, "/put?"))
    operator_put (x);
  else
    http_respond (x, 404, NULL, "", 0);
}

/* Targets.  */

static void
target_id (const struct target *t, char id[64])
{
  snprintf (id, 64, "i-%u-%u", t->number, t->run);
}

static void
on_reported (void *arg, const struct http_response *reply)
{
  (void)arg;
  (void)reply;
}

static void
report (struct target *t)
{
  char id[64];
  target_id (t, id);
  char address[64];
  snprintf (address, sizeof address, "127.0.0.1:%u", t->address.port);
  json_t *json = json_pack (
      "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i}", "service_name", t->service,
      "address", address, "zone", "here", "version", "v1", "capacity_slots",
      SLOTS, "state", t->draining ? "draining" : "ready", "sequence",
      (int)++t->sequence, "warmup_left_ms", 0);
  char *body = json_dumps (json, JSON_COMPACT);
  GString *out = g_string_new (NULL);
  g_string_printf (out,
                   "POST /-/instances/%s/heartbeat HTTP/1.1\r\nHost: x\r\n"
                   "Content-Length: %zu\r\n\r\n%s",
                   id, strlen (body), body);
  struct http_call_options options
      = { .done = on_reported, .timeout_ms = 1000 };
  http_call (t->control, out, &options);
  free (body);
  json_decref (json);
}

static void
on_report_timer (uv_timer_t *timer)
{
  report (timer->data);
}

static void
grant (struct target *t, struct http_server_exchange *x, bool release)
{
  json_t *body = json_loadb (x->body->str, x->body->len, 0, NULL);
  int64_t from = 0;
  int64_t to = 0;
  int64_t token = 0;
  int64_t hold_ms = 0;
  bool good = platform_json_integer (body, "from", KEYS - 1, &from)
              && platform_json_integer (body, "to", KEYS - 1, &to)
              && platform_json_integer (body, "fence", INT64_MAX, &token)
              && (release
                  || platform_json_integer (body, "hold_ms", 10000, &hold_ms));
  json_decref (body);
  bool stale = false;
  for (int64_t k = from; good && !release && k <= to; k++)
    stale = stale || t->keys[k].token > (uint64_t)token;
  for (int64_t k = from; good && !stale && k <= to; k++)
    {
      t->keys[k].until_ns
          = release ? 0 : clock_now_ns () + hold_ms * NS_PER_MS;
      if (!release)
        t->keys[k].token = (uint64_t)token;
    }
  http_respond (x,
                !good   ? 400
                : stale ? 409
                        : 200,
                release ? "Crocusbend-Handover: h1\r\n" : NULL, "", 0);
}

static void
answer_run (struct http_server_exchange *x, struct target *t, const char *body)
{
  GString *head = g_string_new (NULL);
  g_string_printf (head,
                   "Crocusbend-Attempt-Id: %s\r\n"
                   "Crocusbend-Server-Signature: %u\r\n",
                   headers_find (x->headers, "Crocusbend-Attempt-Id"),
                   t->number);
  http_respond (x, 200, head->str, body, strlen (body));
  g_string_free (head, TRUE);
}

static void
on_later_closed (uv_handle_t *handle)
{
  struct answer_later *later = handle->data;
  g_free (later->body);
  g_free (later);
}

static void
on_run_gone (struct http_server_exchange *x)
{
  struct answer_later *later = x->user_data;
  uv_close ((uv_handle_t *)&later->timer, on_later_closed);
}

static void
on_run_timer (uv_timer_t *timer)
{
  struct answer_later *later = timer->data;
  later->x->on_disconnect = NULL;
  answer_run (later->x, later->target, later->body);
  uv_close ((uv_handle_t *)timer, on_later_closed);
}

static void
start_run (struct target *t, struct http_server_exchange *x)
{
  char id[64];
  const char *key = headers_find (x->headers, "Crocusbend-Shard-Key");
  const char *caller = headers_find (x->headers, "Crocusbend-Caller-Service");
  struct answer_later *later = g_new0 (struct answer_later, 1);
  target_id (t, id);
  later->x = x;
  later->target = t;
  later->body = g_strdup_printf ("%s %s %s key=%s caller=%s body=%s",
                                 t->service, x->method, x->request_target->str,
                                 key == NULL ? "-" : key,
                                 caller == NULL ? "-" : caller, x->body->str);
  printf ("run %s %s %s\n", headers_find (x->headers, "Crocusbend-Attempt-Id"),
          id, key == NULL ? "-" : key);
  fflush (stdout);
  uv_timer_init (&loop, &later->timer);
  later->timer.data = later;
  x->user_data = later;
  x->on_disconnect = on_run_gone;
  uv_timer_start (&later->timer, on_run_timer,
                  (uint64_t)query_number (x, "ms", 5), 0);
}

static bool
holds_key (const struct target *t, const struct http_server_exchange *x)
{
  const char *text = headers_find (x->headers, "Crocusbend-Shard-Key");
  long key = text == NULL ? KEYS : strtol (text, NULL, 10);
  return !t->keyed || (key < KEYS && t->keys[key].until_ns > clock_now_ns ());
}

static void
on_target_call (void *arg, struct http_server_exchange *x)
{
  struct target *t = arg;
  char id[64];
  target_id (t, id);
  const char *expected
      = headers_find (x->headers, "Crocusbend-Expect-Instance");
  bool other = expected != NULL && strcmp (expected, id) != 0;
  if (!other && strcmp (x->request_target->str, "/-/grant") == 0)
    grant (t, x, false);
  else if (!other && strcmp (x->request_target->str, "/-/release") == 0)
    grant (t, x, true);
  else if (other || !holds_key (t, x))
    http_respond (x, 421, "Crocusbend-Not-Executed: 1\r\n", "", 0);
  else
    start_run (t, x);
}

static bool
add_target (const char *text)
{
  char **parts = g_strsplit (text, ":", ARGUMENT_PARTS);
  if (g_strv_length (parts) != ARGUMENT_PARTS)
    return false;
  struct target *t = g_new0 (struct target, 1);
  struct settings_address control = { "127.0.0.1", 0 };
  t->number = targets->len;
  t->run = 1;
  g_strlcpy (t->service, parts[0], sizeof t->service);
  t->keyed = strcmp (parts[1], "yes") == 0;
  strcpy (t->address.host, "127.0.0.1");
  t->address.port = (uint16_t)strtoul (parts[2], NULL, 10);
  control.port = (uint16_t)strtoul (parts[3], NULL, 10);
  g_strfreev (parts);
  t->server = http_server_new (&loop, &t->address, &limits, on_target_call, t);
  t->control = http_client_new (&loop, &control, 2);
  uv_timer_init (&loop, &t->timer);
  t->timer.data = t;
  uv_timer_start (&t->timer, on_report_timer, REPORT_MS, REPORT_MS);
  g_ptr_array_add (targets, t);
  return t->server != NULL;
}

int
main (int argc, char **argv)
{
  struct settings_address address = { "127.0.0.1", 0 };
  if (argc < 2)
    return EXIT_FAILURE;
  uv_loop_init (&loop);
  items = g_hash_table_new (g_str_hash, g_str_equal);
  events = g_ptr_array_new ();
  watches = g_ptr_array_new ();
  targets = g_ptr_array_new ();
  address.port = (uint16_t)strtoul (argv[1], NULL, 10);
  if (http_server_new (&loop, &address, &limits, on_store_call, NULL) == NULL)
    return EXIT_FAILURE;
  for (int i = 2; i < argc; i++)
    if (!add_target (argv[i]))
      return EXIT_FAILURE;
  printf ("ready\n");
  fflush (stdout);
  return uv_run (&loop, UV_RUN_DEFAULT);
}
