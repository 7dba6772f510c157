#include "lib/standin_etcd.h"

#include "base/clock.h"
#include "lib/standin_http.h"
#include "lib/standin_kv.h"
#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  VALUE_BYTES_MAX = 1536 * 1024,
  TICK_INTERVAL_MS = 50,
  STREAM_BLOCK_BYTES = 32 * 1024,
  NUMBER_BYTES = 24,
  NAME_BYTES = 64
};

struct standin_etcd
{
  struct standin_http *http;
  pthread_mutex_t lock;
  struct standin_kv *kv;
  GPtrArray *watches;
  int64_t progress_ns;
  struct standin_etcd_faults faults;
  struct standin_etcd_counts counts;
  int64_t current_second; /* the second that calls_this_second counts */
  uint64_t calls_this_second;
};

/* A path of the gateway and its implementation.  */
struct route
{
  const char *path;
  enum
  {
    KIND_READ,
    KIND_WRITE,
    KIND_LEASE,
    KIND_WATCH
  } kind;
  /* Returns the answer, or NULL with *STATUS and *MESSAGE set.  */
  json_t *(*run) (struct standin_etcd *e, json_t *in, unsigned *status,
                  const char **message);
};

struct watch
{
  struct standin_etcd *etcd;
  struct standin_call *call;
  char *key;
  char *end;
  int64_t next_revision;
  bool progress_notify;
  bool created;
  bool finished;
  int64_t next_progress_ns;
  char *line; /* the line being sent */
  size_t length;
  size_t sent;
};

/* Member NAME of IN under its snake_case or its camelCase name.  */
static json_t *
field (const json_t *in, const char *name)
{
  char camel[NAME_BYTES];
  size_t n = 0;
  json_t *value = json_object_get (in, name);
  if (value != NULL)
    return value;
  for (const char *c = name; *c != 0 && n + 1 < sizeof camel; c++)
    if (*c == '_' && c[1] != 0)
      camel[n++] = g_ascii_toupper (*++c);
    else
      camel[n++] = *c;
  camel[n] = 0;
  return json_object_get (in, camel);
}

static int64_t
field_number (const json_t *in, const char *name)
{
  const json_t *value = field (in, name);
  if (json_is_string (value))
    return strtoll (json_string_value (value), NULL, 10);
  return json_integer_value (value);
}

/* The decoded bytes of a base64 member, NUL-terminated; NULL if absent.  */
static char *
field_bytes (const json_t *in, const char *name, size_t *length)
{
  const char *text = json_string_value (field (in, name));
  if (text == NULL)
    return NULL;
  char *bytes = (char *)g_base64_decode (text, length);
  bytes = g_realloc (bytes, *length + 1);
  bytes[*length] = 0;
  return bytes;
}

static char *
field_key (const json_t *in, const char *name)
{
  size_t length = 0;
  return field_bytes (in, name, &length);
}

static void
set_number (json_t *out, const char *name, int64_t value)
{
  char text[NUMBER_BYTES];
  if (value == 0)
    return;
  snprintf (text, sizeof text, "%" PRId64, value);
  json_object_set_new (out, name, json_string (text));
}

static void
set_bytes (json_t *out, const char *name, const void *data, size_t length)
{
  if (length == 0)
    return;
  char *text = g_base64_encode (data, length);
  json_object_set_new (out, name, json_string (text));
  g_free (text);
}

/* A new answer with the header that every answer has.  */
static json_t *
new_answer (const struct standin_etcd *e)
{
  json_t *out = json_object ();
  json_t *header = json_object ();
  set_number (header, "cluster_id", 1);
  set_number (header, "member_id", 1);
  set_number (header, "revision", standin_kv_revision (e->kv));
  set_number (header, "raft_term", 2);
  json_object_set_new (out, "header", header);
  return out;
}

static json_t *
entry_json (const struct standin_entry *entry)
{
  json_t *out = json_object ();
  set_bytes (out, "key", entry->key, strlen (entry->key));
  set_number (out, "create_revision", entry->create_revision);
  set_number (out, "mod_revision", entry->mod_revision);
  set_number (out, "version", entry->version);
  set_number (out, "lease", entry->lease);
  if (entry->value != NULL)
    set_bytes (out, "value", g_bytes_get_data (entry->value, NULL),
               g_bytes_get_size (entry->value));
  return out;
}

static void
append_entry (void *arg, const struct standin_entry *entry)
{
  json_array_append_new (arg, entry_json (entry));
}

static void
append_event (void *arg, const struct standin_entry *entry)
{
  json_t *event = json_object ();
  if (entry->value == NULL)
    json_object_set_new (event, "type", json_string ("DELETE"));
  json_object_set_new (event, "kv", entry_json (entry));
  json_array_append_new (arg, event);
}

static json_t *
run_range (struct standin_etcd *e, json_t *in, unsigned *status,
           const char **message)
{
  char *key = field_key (in, "key");
  char *end = field_key (in, "range_end");
  json_t *out = new_answer (e);
  json_t *kvs = json_array ();
  (void)status;
  (void)message;
  if (key != NULL)
    standin_kv_range (e->kv, key, end, append_entry, kvs);
  set_number (out, "count", (int64_t)json_array_size (kvs));
  if (json_array_size (kvs) > 0)
    json_object_set (out, "kvs", kvs);
  json_decref (kvs);
  g_free (key);
  g_free (end);
  return out;
}

/* Whether a put is valid; if not, sets *STATUS and *MESSAGE.  */
static bool
check_put (const struct standin_etcd *e, const json_t *in, unsigned *status,
           const char **message)
{
  int64_t lease = field_number (in, "lease");
  if (json_string_length (field (in, "value")) / 4 * 3 > VALUE_BYTES_MAX)
    {
      *status = MHD_HTTP_BAD_REQUEST;
      *message = "etcdserver: request is too large";
      return false;
    }
  if (lease != 0 && !standin_kv_has_lease (e->kv, lease))
    {
      *status = MHD_HTTP_NOT_FOUND;
      *message = "etcdserver: requested lease not found";
      return false;
    }
  return true;
}

static json_t *
apply_put (struct standin_etcd *e, json_t *in)
{
  size_t length = 0;
  char *key = field_key (in, "key");
  char *value = field_bytes (in, "value", &length);
  if (key != NULL)
    standin_kv_put (e->kv, key, g_bytes_new (value, length),
                    field_number (in, "lease"));
  g_free (value);
  g_free (key);
  return new_answer (e);
}

static json_t *
run_put (struct standin_etcd *e, json_t *in, unsigned *status,
         const char **message)
{
  if (!check_put (e, in, status, message))
    return NULL;
  standin_kv_begin_change (e->kv);
  return apply_put (e, in);
}

static json_t *
apply_delete (struct standin_etcd *e, json_t *in)
{
  char *key = field_key (in, "key");
  char *end = field_key (in, "range_end");
  int deleted = key == NULL ? 0 : standin_kv_delete (e->kv, key, end);
  json_t *out = new_answer (e);
  set_number (out, "deleted", deleted);
  g_free (key);
  g_free (end);
  return out;
}

static json_t *
run_delete (struct standin_etcd *e, json_t *in, unsigned *status,
            const char **message)
{
  (void)status;
  (void)message;
  standin_kv_begin_change (e->kv);
  return apply_delete (e, in);
}

static bool
compare_matches (const struct standin_etcd *e, const json_t *in)
{
  char *key = field_key (in, "key");
  const char *target = json_string_value (field (in, "target"));
  const char *result = json_string_value (field (in, "result"));
  const struct standin_entry *entry
      = key == NULL ? NULL : standin_kv_find (e->kv, key);
  int64_t actual = 0;
  int64_t expected;
  if (target != NULL && strcmp (target, "MOD") == 0)
    {
      actual = entry == NULL ? 0 : entry->mod_revision;
      expected = field_number (in, "mod_revision");
    }
  else if (target != NULL && strcmp (target, "CREATE") == 0)
    {
      actual = entry == NULL ? 0 : entry->create_revision;
      expected = field_number (in, "create_revision");
    }
  else
    {
      actual = entry == NULL ? 0 : entry->version;
      expected = field_number (in, "version");
    }
  g_free (key);
  if (result != NULL && strcmp (result, "NOT_EQUAL") == 0)
    return actual != expected;
  return actual == expected;
}

static json_t *
run_operation (struct standin_etcd *e, const json_t *op)
{
  static const char *const names[]
      = { "response_put", "response_delete_range", "response_range" };
  json_t *out = json_object ();
  json_t *in = field (op, "request_put");
  if (in != NULL)
    json_object_set_new (out, names[0], apply_put (e, in));
  in = field (op, "request_delete_range");
  if (in != NULL)
    json_object_set_new (out, names[1], apply_delete (e, in));
  in = field (op, "request_range");
  if (in != NULL)
    json_object_set_new (out, names[2], run_range (e, in, NULL, NULL));
  return out;
}

static json_t *
run_txn (struct standin_etcd *e, json_t *in, unsigned *status,
         const char **message)
{
  bool matched = true;
  const json_t *compare = field (in, "compare");
  for (size_t i = 0; i < json_array_size (compare); i++)
    matched = matched && compare_matches (e, json_array_get (compare, i));
  const json_t *operations = field (in, matched ? "success" : "failure");
  size_t count = json_array_size (operations);
  for (size_t i = 0; i < count; i++)
    {
      const json_t *put
          = field (json_array_get (operations, i), "request_put");
      if (put != NULL && !check_put (e, put, status, message))
        return NULL;
    }
  json_t *responses = json_array ();
  standin_kv_begin_change (e->kv);
  for (size_t i = 0; i < count; i++)
    json_array_append_new (responses,
                           run_operation (e, json_array_get (operations, i)));
  json_t *out = new_answer (e);
  if (matched)
    json_object_set_new (out, "succeeded", json_true ());
  if (json_array_size (responses) > 0)
    json_object_set (out, "responses", responses);
  json_decref (responses);
  return out;
}

static json_t *
run_grant (struct standin_etcd *e, json_t *in, unsigned *status,
           const char **message)
{
  int64_t ttl = field_number (in, "TTL");
  (void)status;
  (void)message;
  int64_t id = standin_kv_grant (e->kv, field_number (in, "ID"), ttl,
                                 clock_now_ns ());
  json_t *out = new_answer (e);
  set_number (out, "ID", id);
  set_number (out, "TTL", ttl);
  return out;
}

static json_t *
run_keepalive (struct standin_etcd *e, json_t *in, unsigned *status,
               const char **message)
{
  int64_t id = field_number (in, "ID");
  json_t *result = new_answer (e);
  json_t *out = json_object ();
  (void)status;
  (void)message;
  set_number (result, "ID", id);
  set_number (result, "TTL", standin_kv_renew (e->kv, id, clock_now_ns ()));
  json_object_set_new (out, "result", result);
  return out;
}

static json_t *
run_revoke (struct standin_etcd *e, json_t *in, unsigned *status,
            const char **message)
{
  if (standin_kv_revoke (e->kv, field_number (in, "ID")))
    return new_answer (e);
  *status = MHD_HTTP_NOT_FOUND;
  *message = "etcdserver: requested lease not found";
  return NULL;
}

static const struct route routes[] = {
  { "/v3/kv/range", KIND_READ, run_range },
  { "/v3/kv/put", KIND_WRITE, run_put },
  { "/v3/kv/txn", KIND_WRITE, run_txn },
  { "/v3/kv/deleterange", KIND_WRITE, run_delete },
  { "/v3/lease/grant", KIND_LEASE, run_grant },
  { "/v3/lease/keepalive", KIND_LEASE, run_keepalive },
  { "/v3/lease/revoke", KIND_LEASE, run_revoke },
  { "/v3/watch", KIND_WATCH, NULL },
};

static void
wake_watches (struct standin_etcd *e)
{
  for (unsigned i = 0; i < e->watches->len; i++)
    standin_http_wake (((struct watch *)e->watches->pdata[i])->call);
}

/* Start a new line of watch W; takes ownership of RESULT.  */
static void
start_line (struct watch *w, json_t *result)
{
  json_t *out = json_object ();
  json_object_set_new (out, "result", result);
  char *text = json_dumps (out, JSON_COMPACT);
  free (w->line);
  w->length = strlen (text) + 1;
  w->line = realloc (text, w->length + 1);
  w->line[w->length - 1] = '\n';
  w->sent = 0;
  json_decref (out);
}

static void
cancel_watch (struct watch *w)
{
  json_t *result = new_answer (w->etcd);
  json_object_set_new (result, "canceled", json_true ());
  set_number (result, "compact_revision",
              standin_kv_oldest_revision (w->etcd->kv));
  start_line (w, result);
  w->finished = true;
}

/* Start a line with the changes since the last line; false if there are none.
 */
static bool
start_events (struct watch *w)
{
  struct standin_etcd *e = w->etcd;
  if (standin_kv_revision (e->kv) < w->next_revision)
    return false;
  json_t *events = json_array ();
  standin_kv_changes (e->kv, w->key, w->end, w->next_revision, append_event,
                      events);
  w->next_revision = standin_kv_revision (e->kv) + 1;
  bool any = json_array_size (events) > 0;
  if (any)
    {
      json_t *result = new_answer (e);
      json_object_set (result, "events", events);
      start_line (w, result);
    }
  json_decref (events);
  return any;
}

/* Start the next line; false if there is nothing to send yet.  */
static bool
next_line (struct watch *w, int64_t now_ns)
{
  struct standin_etcd *e = w->etcd;
  if (!w->created)
    {
      json_t *result = new_answer (e);
      json_object_set_new (result, "created", json_true ());
      start_line (w, result);
      w->created = true;
      return true;
    }
  if (w->next_revision < standin_kv_oldest_revision (e->kv))
    {
      cancel_watch (w);
      return true;
    }
  if (start_events (w))
    return true;
  if (!w->progress_notify || now_ns < w->next_progress_ns)
    return false;
  w->next_progress_ns = now_ns + e->progress_ns;
  start_line (w, new_answer (e));
  return true;
}

static void
expire_faults (struct standin_etcd *e, int64_t now_ns)
{
  if (e->faults.until_ns == 0 || now_ns < e->faults.until_ns)
    return;
  e->faults = (struct standin_etcd_faults){ 0 };
  wake_watches (e);
}

/* Copy available data to TO.  Returns 0 if there is none; *WAKE_NS is then
   when to try again.  */
static ssize_t
fill_watch (struct watch *w, char *to, size_t max, int64_t *wake_ns)
{
  struct standin_etcd *e = w->etcd;
  int64_t now_ns = clock_now_ns ();
  expire_faults (e, now_ns);
  *wake_ns = w->progress_notify ? w->next_progress_ns : INT64_MAX;
  if (e->faults.down || w->call->disconnected)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (w->sent == w->length && w->finished)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (w->sent == w->length && e->faults.stall_watches)
    {
      *wake_ns = INT64_MAX;
      return 0;
    }
  if (w->sent == w->length && !next_line (w, now_ns))
    return 0;
  size_t n = w->length - w->sent < max ? w->length - w->sent : max;
  memcpy (to, w->line + w->sent, n);
  w->sent += n;
  return (ssize_t)n;
}

static ssize_t
read_watch (void *arg, uint64_t pos, char *to, size_t max)
{
  struct watch *w = arg;
  int64_t wake_ns;
  (void)pos;
  pthread_mutex_lock (&w->etcd->lock);
  ssize_t n = fill_watch (w, to, max, &wake_ns);
  pthread_mutex_unlock (&w->etcd->lock);
  return n == 0 ? standin_http_suspend_stream (w->call, wake_ns) : n;
}

static enum standin_action
open_watch (struct standin_etcd *e, struct standin_call *call, json_t *in)
{
  json_t *create = field (in, "create_request");
  struct watch *w = calloc (1, sizeof *w);
  w->etcd = e;
  w->call = call;
  w->key = field_key (create, "key");
  w->end = field_key (create, "range_end");
  w->next_revision = field_number (create, "start_revision");
  w->progress_notify = json_is_true (field (create, "progress_notify"));
  if (w->key == NULL)
    w->key = g_strdup ("");
  if (w->next_revision == 0)
    w->next_revision = standin_kv_revision (e->kv) + 1;
  w->next_progress_ns = clock_now_ns () + e->progress_ns;
  g_ptr_array_add (e->watches, w);
  call->state = w;
  call->ignore_disconnect = false;
  call->status = MHD_HTTP_OK;
  call->response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_watch, w, NULL);
  return STANDIN_ANSWER;
}

static void
count_call (struct standin_etcd *e, const struct route *r, int64_t now_ns)
{
  struct standin_etcd_counts *c = &e->counts;
  int64_t current_second = now_ns / NS_PER_S;
  if (current_second != e->current_second)
    {
      c->calls_last_s
          = current_second == e->current_second + 1 ? e->calls_this_second : 0;
      e->current_second = current_second;
      e->calls_this_second = 0;
    }
  e->calls_this_second++;
  if (e->calls_this_second > c->calls_peak_s)
    c->calls_peak_s = e->calls_this_second;
  c->reads += r->kind == KIND_READ;
  c->writes += r->kind == KIND_WRITE;
  c->leases += r->kind == KIND_LEASE;
  c->watches_opened += r->kind == KIND_WATCH;
}

static char *
error_json (const char *message, unsigned status)
{
  int code = status == MHD_HTTP_NOT_FOUND ? 5 : 3;
  json_t *out = json_pack ("{s:s,s:i,s:s}", "error", message, "code", code,
                           "message", message);
  char *text = json_dumps (out, JSON_COMPACT);
  json_decref (out);
  return text;
}

static enum standin_action
run_call (struct standin_etcd *e, const struct route *r,
          struct standin_call *call)
{
  unsigned status = MHD_HTTP_BAD_REQUEST;
  const char *message = "malformed JSON";
  json_t *in = json_loads (call->body, 0, NULL);
  if (r->kind == KIND_WATCH && in != NULL)
    {
      enum standin_action action = open_watch (e, call, in);
      json_decref (in);
      return action;
    }
  int64_t old_revision = standin_kv_revision (e->kv);
  json_t *out = in == NULL ? NULL : r->run (e, in, &status, &message);
  if (standin_kv_revision (e->kv) != old_revision)
    wake_watches (e);
  if (out != NULL)
    standin_call_answer (call, MHD_HTTP_OK, json_dumps (out, JSON_COMPACT));
  else
    standin_call_answer (call, status, error_json (message, status));
  json_decref (in);
  json_decref (out);
  if (r->kind == KIND_READ || e->faults.lose_answers == 0)
    return STANDIN_ANSWER;
  e->faults.lose_answers--;
  return STANDIN_CLOSE;
}

/* Run a gateway call, after the injected delay if any.  */
static enum standin_action
handle_gateway (struct standin_etcd *e, const struct route *r,
                struct standin_call *call)
{
  int64_t now_ns = clock_now_ns ();
  bool first_call = !call->ignore_disconnect;
  if (!first_call)
    e->counts.delayed--;
  expire_faults (e, now_ns);
  if (e->faults.down)
    return STANDIN_CLOSE;
  if (first_call)
    count_call (e, r, now_ns);
  if (first_call && e->faults.delay_ms > 0)
    {
      /* A delayed write takes effect even if its caller has disconnected.  */
      call->ignore_disconnect = true;
      call->wake_ns = now_ns + e->faults.delay_ms * NS_PER_MS;
      e->counts.delayed++;
      return STANDIN_WAIT;
    }
  return run_call (e, r, call);
}

static void
set_faults (struct standin_etcd *e, const struct standin_etcd_faults *faults)
{
  e->faults = *faults;
  wake_watches (e);
}

static char *
counts_json (struct standin_etcd *e)
{
  const struct standin_etcd_counts *c = &e->counts;
  json_t *out = json_pack (
      "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "reads", (json_int_t)c->reads,
      "writes", (json_int_t)c->writes, "leases", (json_int_t)c->leases,
      "watches_opened", (json_int_t)c->watches_opened, "watches_open",
      (json_int_t)e->watches->len, "calls_last_s", (json_int_t)c->calls_last_s,
      "calls_peak_s", (json_int_t)c->calls_peak_s, "revision",
      (json_int_t)standin_kv_revision (e->kv));
  char *text = json_dumps (out, JSON_COMPACT);
  json_decref (out);
  return text;
}

static enum standin_action
handle_control (struct standin_etcd *e, struct standin_call *call)
{
  if (strcmp (call->method, "POST") == 0)
    {
      json_t *in = json_loads (call->body, 0, NULL);
      double seconds = json_number_value (json_object_get (in, "seconds"));
      struct standin_etcd_faults f = { 0 };
      f.down = json_is_true (json_object_get (in, "down"));
      f.stall_watches = json_is_true (json_object_get (in, "stall_watches"));
      f.delay_ms = (unsigned)field_number (in, "delay_ms");
      f.lose_answers = (unsigned)field_number (in, "lose_answers");
      if (seconds > 0)
        f.until_ns = clock_now_ns () + (int64_t)(seconds * (double)NS_PER_S);
      set_faults (e, &f);
      json_decref (in);
    }
  standin_call_answer (call, MHD_HTTP_OK, counts_json (e));
  return STANDIN_ANSWER;
}

static enum standin_action
handle (void *arg, struct standin_call *call)
{
  struct standin_etcd *e = arg;
  enum standin_action action = STANDIN_CLOSE;
  const struct route *r = NULL;
  for (size_t i = 0; i < sizeof routes / sizeof routes[0]; i++)
    if (strcmp (routes[i].path, call->path) == 0)
      r = &routes[i];
  pthread_mutex_lock (&e->lock);
  if (strcmp (call->path, "/control") == 0)
    action = handle_control (e, call);
  else if (r != NULL)
    action = handle_gateway (e, r, call);
  pthread_mutex_unlock (&e->lock);
  if (action == STANDIN_CLOSE && r == NULL)
    {
      standin_call_answer (call, MHD_HTTP_NOT_FOUND,
                           error_json ("Not Found", MHD_HTTP_NOT_FOUND));
      return STANDIN_ANSWER;
    }
  return action;
}

static void
end_call (void *arg, struct standin_call *call, bool answer_sent)
{
  struct standin_etcd *e = arg;
  struct watch *w = call->state;
  (void)answer_sent;
  if (w == NULL)
    return;
  pthread_mutex_lock (&e->lock);
  g_ptr_array_remove (e->watches, w);
  pthread_mutex_unlock (&e->lock);
  g_free (w->key);
  g_free (w->end);
  free (w->line);
  free (w);
}

static int64_t
tick (void *arg, int64_t now_ns)
{
  struct standin_etcd *e = arg;
  pthread_mutex_lock (&e->lock);
  expire_faults (e, now_ns);
  if (standin_kv_expire (e->kv, now_ns))
    wake_watches (e);
  pthread_mutex_unlock (&e->lock);
  return now_ns + TICK_INTERVAL_MS * NS_PER_MS;
}

static const struct standin_ops ops = { handle, end_call, tick };

struct standin_etcd *
standin_etcd_new (const struct standin_etcd_options *o)
{
  struct standin_etcd *e = calloc (1, sizeof *e);
  pthread_mutex_init (&e->lock, NULL);
  e->kv = standin_kv_new (o->history_max);
  e->watches = g_ptr_array_new ();
  e->progress_ns = o->progress_ms * NS_PER_MS;
  e->http = standin_http_new (o->listen, 0, &ops, e);
  if (e->http != NULL)
    return e;
  g_ptr_array_unref (e->watches);
  standin_kv_free (e->kv);
  free (e);
  return NULL;
}

void
standin_etcd_free (struct standin_etcd *e)
{
  standin_http_free (e->http);
  g_ptr_array_unref (e->watches);
  standin_kv_free (e->kv);
  free (e);
}

void
standin_etcd_set_faults (struct standin_etcd *e,
                         const struct standin_etcd_faults *faults)
{
  pthread_mutex_lock (&e->lock);
  set_faults (e, faults);
  pthread_mutex_unlock (&e->lock);
}

void
standin_etcd_counts (struct standin_etcd *e,
                     struct standin_etcd_counts *counts)
{
  pthread_mutex_lock (&e->lock);
  *counts = e->counts;
  counts->watches_open = e->watches->len;
  pthread_mutex_unlock (&e->lock);
}
