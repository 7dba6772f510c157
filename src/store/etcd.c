#include "store/etcd.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "store/backoff.h"
#include "store/transfer.h"
#include <ck_pr.h>
#include <curl/curl.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

enum
{
  URL_BYTES = SETTINGS_HOST_BYTES + 32,
  REPLY_BYTES_MAX = 4 * 1024 * 1024,
  WATCH_LINE_BYTES_MAX = 16 * 1024 * 1024,
  CALL_MIN_MS = 5, /* with less time left, a call does not fail over */
  CONNECTION_IDLE_MAX_S = 20, /* longer idle connections are not reused */
  WATCH_POLL_MS = 50,         /* between checks of the stop flag */
  HTTP_OK = 200,
  HTTP_BAD_REQUEST = 400,
  HTTP_NOT_FOUND = 404,
  HTTP_TOO_MANY_REQUESTS = 429,
  HTTP_SERVER_ERROR = 500
};

struct endpoint
{
  char url[URL_BYTES];
  struct backoff backoff;
};

struct etcd
{
  struct store store;
  struct endpoint endpoints[SETTINGS_STORES_MAX];
  uint32_t count;
  uint32_t preferred; /* the endpoint to try first */
  uint32_t timeout_ms;
  uint32_t watch_idle_timeout_ms;
  uint64_t random_state; /* of next_random */
  bool down;             /* an outage was logged and has not ended */
  CURL *curl;            /* of the transfer that was prepared last, or NULL */
  CURLM *multi;          /* keeps the connections */
  struct curl_slist *headers;
};

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

static void
init_curl (void)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
}

/* A xorshift generator for the jitter of the back-off; not cryptographic.  */
static uint32_t
next_random (struct etcd *e)
{
  e->random_state ^= e->random_state << 13;
  e->random_state ^= e->random_state >> 7;
  e->random_state ^= e->random_state << 17;
  return (uint32_t)(e->random_state >> 32);
}

/* The endpoint to call next, at NOW_NS: the first that is not in back-off,
   starting with the preferred one, or else the one whose back-off ends
   first.  */
static uint32_t
choose_endpoint (const struct etcd *e, int64_t now_ns)
{
  uint32_t best = e->preferred;
  for (uint32_t i = 0; i < e->count; i++)
    {
      uint32_t index = (e->preferred + i) % e->count;
      int64_t remaining_ns
          = backoff_remaining_ns (&e->endpoints[index].backoff, now_ns);
      if (remaining_ns == 0)
        return index;
      if (remaining_ns
          < backoff_remaining_ns (&e->endpoints[best].backoff, now_ns))
        best = index;
    }
  return best;
}

static void
record_response (struct etcd *e, uint32_t index)
{
  backoff_record_success (&e->endpoints[index].backoff);
  e->preferred = index;
  if (e->down)
    log_event (EV_STORE_UP, "endpoint=%s", e->endpoints[index].url);
  e->down = false;
}

static void
record_failure (struct etcd *e, uint32_t index)
{
  backoff_record_failure (&e->endpoints[index].backoff, clock_now_ns (),
                          next_random (e));
  e->preferred = (index + 1) % e->count;
  counter_add (COUNTER_store_errors_total, 1);
}

static void
report_outage (struct etcd *e, enum status status)
{
  if (!e->down)
    log_event (EV_STORE_DOWN, "status=\"%s\"", status_text (status));
  e->down = true;
}

/* Prepare a new handle to POST BODY to PATH of the endpoint INDEX.  False when
   there is no memory.  */
static bool
prepare (struct etcd *e, uint32_t index, const char *path, const GString *body,
         struct transfer *t)
{
  char url[URL_BYTES + 64];
  curl_easy_cleanup (e->curl);
  CURL *c = e->curl = curl_easy_init ();
  if (c == NULL)
    return false;
  transfer_set_options (c);
  curl_easy_setopt (c, CURLOPT_POST, 1L);
  curl_easy_setopt (c, CURLOPT_HTTPHEADER, e->headers);
  curl_easy_setopt (c, CURLOPT_MAXAGE_CONN, (long)CONNECTION_IDLE_MAX_S);
  snprintf (url, sizeof url, "%s%s", e->endpoints[index].url, path);
  curl_easy_setopt (c, CURLOPT_URL, url);
  curl_easy_setopt (c, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)body->len);
  curl_easy_setopt (c, CURLOPT_POSTFIELDS, body->str);
  transfer_begin (c, t);
  return true;
}

/* The status for a response with HTTP status CODE other than 200.  After a
   server error a write is in doubt: it may already have been proposed to the
   members of the store.  */
static enum status
http_error_status (const struct transfer *t, const char *url, long code)
{
  int excerpt_length = t->response->len < 200 ? (int)t->response->len : 200;
  const char *text = t->response->str;
  enum status status = STATUS_INVALID;
  if (code == HTTP_NOT_FOUND)
    status = STATUS_NOT_FOUND;
  else if (code == HTTP_TOO_MANY_REQUESTS)
    status = STATUS_UNAVAILABLE;
  else if (code >= HTTP_SERVER_ERROR || code < HTTP_BAD_REQUEST)
    status = t->kind == TRANSFER_WRITE ? STATUS_IN_DOUBT : STATUS_UNAVAILABLE;
  return status_set (status, "%s: HTTP %ld: %.*s", url, code, excerpt_length,
                     text);
}

static bool
is_failure (enum status status)
{
  return status == STATUS_UNAVAILABLE || status == STATUS_IN_DOUBT
         || status == STATUS_TIMEOUT;
}

/* Make one transfer to the endpoint INDEX within LIMIT_MS.  */
static enum status
call_endpoint (struct etcd *e, uint32_t index, const char *path,
               const GString *body, struct transfer *t, int64_t limit_ms)
{
  long code = 0;
  if (!prepare (e, index, path, body, t))
    return status_set (STATUS_NO_MEMORY, "no memory for a call");
  curl_easy_setopt (e->curl, CURLOPT_TIMEOUT_MS, (long)limit_ms);
  curl_easy_setopt (e->curl, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)(e->count > 1 ? limit_ms / 2 : limit_ms));
  CURLcode result = transfer_perform (e->multi, e->curl, t);
  curl_easy_getinfo (e->curl, CURLINFO_RESPONSE_CODE, &code);
  enum status status = STATUS_OK;
  if (result != CURLE_OK)
    status = transfer_error_status (t, e->endpoints[index].url, result);
  else if (code != HTTP_OK)
    status = http_error_status (t, e->endpoints[index].url, code);
  if (is_failure (status))
    record_failure (e, index);
  else
    record_response (e, index);
  return status;
}

/* Whether a call of KIND that ended with STATUS may fail over to another
   endpoint.  */
static bool
may_fail_over (enum transfer_kind kind, enum status status)
{
  return status == STATUS_UNAVAILABLE
         || (kind == TRANSFER_READ && status == STATUS_TIMEOUT);
}

/* Wait until an endpoint is not in back-off, for up to half the time limit. */
static enum status
wait_for_endpoint (struct etcd *e, int64_t start_ns)
{
  int64_t max_wait_ns = e->timeout_ms * NS_PER_MS / 2;
  uint32_t index = choose_endpoint (e, start_ns);
  int64_t remaining_ns
      = backoff_remaining_ns (&e->endpoints[index].backoff, start_ns);
  if (remaining_ns == 0)
    return STATUS_OK;
  clock_sleep_ns (remaining_ns < max_wait_ns ? remaining_ns : max_wait_ns);
  if (remaining_ns <= max_wait_ns)
    return STATUS_OK;
  return status_set (STATUS_UNAVAILABLE, "%s: in back-off for %" PRId64 " ms",
                     e->endpoints[index].url,
                     (remaining_ns - max_wait_ns) / NS_PER_MS);
}

/* Make transfers until one gets a response or the call may not fail over.  */
static enum status
try_endpoints (struct etcd *e, const char *path, const GString *body,
               struct transfer *t, int64_t end_ns)
{
  int64_t now_ns = clock_now_ns ();
  uint32_t index = choose_endpoint (e, now_ns);
  enum status status;
  uint32_t attempts = 0;
  do
    {
      int64_t remaining_ms = (end_ns - now_ns) / NS_PER_MS;
      status = call_endpoint (e, index, path, body, t,
                              remaining_ms > 0 ? remaining_ms : 1);
      now_ns = clock_now_ns ();
      index = choose_endpoint (e, now_ns);
      attempts++;
    }
  while (may_fail_over (t->kind, status) && attempts < e->count
         && backoff_remaining_ns (&e->endpoints[index].backoff, now_ns) == 0
         && now_ns + CALL_MIN_MS * NS_PER_MS < end_ns);
  return status;
}

/* POST BODY to PATH and free BODY.  Parse the response into *RESPONSE, which
   the caller releases with json_decref.  */
static enum status
call (struct etcd *e, enum transfer_kind kind, const char *path, GString *body,
      json_t **response)
{
  struct transfer t = { .kind = kind,
                        .response = g_string_new (NULL),
                        .response_max_bytes = REPLY_BYTES_MAX };
  int64_t start_ns = clock_now_ns ();
  int64_t end_ns = start_ns + e->timeout_ms * NS_PER_MS;
  enum status status = wait_for_endpoint (e, start_ns);
  *response = NULL;
  if (status == STATUS_OK)
    status = try_endpoints (e, path, body, &t, end_ns);
  if (status == STATUS_OK)
    *response = json_loadb (t.response->str, t.response->len, 0, NULL);
  if (status == STATUS_OK && *response == NULL)
    status = status_set (kind == TRANSFER_WRITE ? STATUS_IN_DOUBT
                                                : STATUS_UNAVAILABLE,
                         "%s: the response is not JSON", path);
  if (is_failure (status))
    report_outage (e, status);
  transfer_end (&t);
  g_string_free (t.response, TRUE);
  g_string_free (body, TRUE);
  return status;
}

static int64_t
json_member_integer (const json_t *object, const char *name)
{
  const json_t *value = json_object_get (object, name);
  if (json_is_string (value))
    return strtoll (json_string_value (value), NULL, 10);
  return json_integer_value (value);
}

static int64_t
header_revision (const json_t *response)
{
  return json_member_integer (json_object_get (response, "header"),
                              "revision");
}

static void
append_base64_member (GString *out, const char *name, const void *data,
                      size_t length)
{
  char *text = g_base64_encode (data, length);
  g_string_append_printf (out, "\"%s\":\"", name);
  g_string_append (out, text);
  g_string_append_c (out, '"');
  g_free (text);
}

/* Decode a base64 member into an allocated buffer, followed by a zero byte. An
   absent member is empty.  NULL when out of memory.  */
static char *
json_member_bytes (const json_t *object, const char *name, size_t *length)
{
  const json_t *value = json_object_get (object, name);
  const char *text = json_is_string (value) ? json_string_value (value) : "";
  size_t size = strlen (text);
  int state = 0;
  guint save = 0;
  char *out = malloc (size / 4 * 3 + 4);
  if (out == NULL)
    return NULL;
  *length = g_base64_decode_step (text, size, (guchar *)out, &state, &save);
  out[*length] = 0;
  return out;
}

/* Fill VALUE from a key-value object of the gateway.  */
static enum status
fill_value (const json_t *kv, struct store_value *value)
{
  value->revision = json_member_integer (kv, "mod_revision");
  value->data = json_member_bytes (kv, "value", &value->length);
  if (value->data == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for a value");
  return STATUS_OK;
}

static enum status
etcd_get (struct store *st, const char *key, struct store_value *value)
{
  struct etcd *e = (struct etcd *)st;
  GString *body = g_string_new ("{");
  json_t *response;
  *value = (struct store_value){ 0 };
  append_base64_member (body, "key", key, strlen (key));
  g_string_append_c (body, '}');
  enum status status
      = call (e, TRANSFER_READ, "/v3/kv/range", body, &response);
  if (status != STATUS_OK)
    return status;
  const json_t *kv = json_array_get (json_object_get (response, "kvs"), 0);
  value->store_revision = header_revision (response);
  if (kv == NULL)
    status = status_set (STATUS_NOT_FOUND, "%s: no such key", key);
  else
    status = fill_value (kv, value);
  json_decref (response);
  return status;
}

static GString *
swap_body (const char *key, int64_t expected, const char *data, size_t length,
           int64_t lease)
{
  GString *body = g_string_sized_new (length * 4 / 3 + 512);
  g_string_append (body, "{\"compare\":[{");
  append_base64_member (body, "key", key, strlen (key));
  g_string_append_printf (body,
                          ",\"target\":\"MOD\",\"result\":\"EQUAL\","
                          "\"mod_revision\":\"%" PRId64 "\"}],"
                          "\"success\":[{\"request_put\":{",
                          expected);
  append_base64_member (body, "key", key, strlen (key));
  g_string_append_c (body, ',');
  append_base64_member (body, "value", data, length);
  g_string_append_printf (body, ",\"lease\":\"%" PRId64 "\"}}]}", lease);
  return body;
}

static enum status
etcd_swap (struct store *st, const char *key, int64_t expected,
           const char *data, size_t length, int64_t lease, int64_t *revision)
{
  struct etcd *e = (struct etcd *)st;
  json_t *response;
  GString *body = swap_body (key, expected, data, length, lease);
  enum status status = call (e, TRANSFER_WRITE, "/v3/kv/txn", body, &response);
  if (status != STATUS_OK)
    return status;
  if (json_is_true (json_object_get (response, "succeeded")))
    *revision = header_revision (response);
  else
    {
      counter_add (COUNTER_store_conflicts_total, 1);
      status = status_set (STATUS_CONFLICT, "%s: not at revision %" PRId64,
                           key, expected);
    }
  json_decref (response);
  return status;
}

static enum status
etcd_lease_grant (struct store *st, uint32_t ttl_s, int64_t *lease)
{
  struct etcd *e = (struct etcd *)st;
  json_t *response;
  GString *body = g_string_new (NULL);
  g_string_printf (body, "{\"TTL\":\"%" PRIu32 "\"}", ttl_s);
  enum status status
      = call (e, TRANSFER_WRITE, "/v3/lease/grant", body, &response);
  if (status != STATUS_OK)
    return status;
  *lease = json_member_integer (response, "ID");
  json_decref (response);
  if (*lease == 0)
    return status_set (STATUS_INVALID, "the store returned no lease");
  return STATUS_OK;
}

static enum status
etcd_lease_renew (struct store *st, int64_t lease)
{
  struct etcd *e = (struct etcd *)st;
  json_t *response;
  GString *body = g_string_new (NULL);
  g_string_printf (body, "{\"ID\":\"%" PRId64 "\"}", lease);
  enum status status
      = call (e, TRANSFER_WRITE, "/v3/lease/keepalive", body, &response);
  if (status != STATUS_OK)
    return status;
  int64_t ttl
      = json_member_integer (json_object_get (response, "result"), "TTL");
  json_decref (response);
  if (ttl <= 0)
    return status_set (STATUS_NOT_FOUND, "lease %" PRId64 " has expired",
                       lease);
  return STATUS_OK;
}

/* A watch with an open stream.  */
struct watch
{
  struct transfer transfer;
  store_watch_fn *fn;
  void *arg;
  bool created;
  bool has_ended; /* STATUS is valid: STATUS_OK if ended by FN or *STOP */
  enum status status;
  int64_t last_data_ns; /* when the last bytes were received */
};

static void
end_watch (struct watch *w, enum status status)
{
  w->has_ended = true;
  w->status = status;
}

static void
report_event (struct watch *w, const json_t *event)
{
  const json_t *kv = json_object_get (event, "kv");
  const json_t *type = json_object_get (event, "type");
  bool deleted = json_is_string (type)
                 && strcmp (json_string_value (type), "DELETE") == 0;
  struct store_value value = { 0 };
  size_t length = 0;
  char *key = json_member_bytes (kv, "key", &length);
  if (key == NULL || fill_value (kv, &value) != STATUS_OK)
    end_watch (w, STATUS_NO_MEMORY);
  else if (!w->fn (w->arg, key, deleted ? NULL : &value))
    end_watch (w, STATUS_OK);
  store_value_clear (&value);
  free (key);
}

/* Process one line of the stream.  */
static void
process_line (struct watch *w, const char *line, size_t length)
{
  json_t *message = json_loadb (line, length, 0, NULL);
  const json_t *result = json_object_get (message, "result");
  const json_t *events = json_object_get (result, "events");
  if (result == NULL)
    end_watch (w, status_set (STATUS_UNAVAILABLE, "watch: %.*s",
                              length < 200 ? (int)length : 200, line));
  else if (json_is_true (json_object_get (result, "canceled")))
    end_watch (w, json_member_integer (result, "compact_revision") > 0
                      ? status_set (STATUS_STALE, "watch: changes compacted")
                      : status_set (STATUS_UNAVAILABLE, "watch: cancelled"));
  if (json_is_true (json_object_get (result, "created")))
    w->created = true;
  for (size_t i = 0; !w->has_ended && i < json_array_size (events); i++)
    report_event (w, json_array_get (events, i));
  json_decref (message);
}

/* Process all complete lines that were received.  */
static void
process_complete_lines (struct watch *w)
{
  GString *buffer = w->transfer.response;
  size_t consumed = 0;
  while (!w->has_ended)
    {
      const char *line = buffer->str + consumed;
      const char *end = memchr (line, '\n', buffer->len - consumed);
      if (end == NULL)
        break;
      process_line (w, line, (size_t)(end - line));
      consumed += (size_t)(end - line) + 1;
    }
  g_string_erase (buffer, 0, (gssize)consumed);
}

/* Append the range of keys that begin with PREFIX: "key" is PREFIX and
   "range_end" the first key after the range.  In "key" one zero
   byte is the first key of the store, in "range_end" the end of its keys.  */
static void
append_prefix_range (GString *body, const char *prefix)
{
  size_t length = strlen (prefix);
  append_base64_member (body, "key", length == 0 ? "\0" : prefix,
                        length == 0 ? 1 : length);
  g_string_append_c (body, ',');
  char *end = g_strdup (prefix);
  while (length > 0 && (unsigned char)end[length - 1] == UINT8_MAX)
    length--;
  if (length > 0)
    end[length - 1]++;
  append_base64_member (body, "range_end", length == 0 ? "\0" : end,
                        length == 0 ? 1 : length);
  g_free (end);
}

/* Whether the stream of W is still active at NOW_NS; if not, W is ended.  */
static bool
check_stream (struct etcd *e, struct watch *w, int running, int64_t now_ns)
{
  uint32_t limit_ms = w->created ? e->watch_idle_timeout_ms : e->timeout_ms;
  if (w->has_ended)
    return false;
  if (running == 0)
    end_watch (w, status_set (STATUS_UNAVAILABLE, "watch: stream ended"));
  else if (now_ns - w->last_data_ns > limit_ms * NS_PER_MS)
    end_watch (w, status_set (STATUS_UNAVAILABLE,
                              "watch: no data for %" PRIu32 " ms", limit_ms));
  return !w->has_ended;
}

static void
run_stream (struct etcd *e, struct watch *w, const int *stop)
{
  int running = 1;
  size_t pending_length = 0;
  w->last_data_ns = clock_now_ns ();
  do
    {
      curl_multi_perform (e->multi, &running);
      if (w->transfer.response->len != pending_length)
        w->last_data_ns = clock_now_ns ();
      process_complete_lines (w);
      pending_length = w->transfer.response->len;
      if (ck_pr_load_int (stop) != 0)
        end_watch (w, STATUS_OK);
      if (!check_stream (e, w, running, clock_now_ns ()))
        break;
      curl_multi_poll (e->multi, NULL, 0, WATCH_POLL_MS, NULL);
    }
  while (true);
}

static enum status
etcd_list (struct store *st, const char *prefix, store_watch_fn *fn, void *arg)
{
  struct etcd *e = (struct etcd *)st;
  GString *body = g_string_new ("{");
  json_t *response;
  append_prefix_range (body, prefix);
  g_string_append_c (body, '}');
  enum status status
      = call (e, TRANSFER_READ, "/v3/kv/range", body, &response);
  if (status != STATUS_OK)
    return status;
  const json_t *kvs = json_object_get (response, "kvs");
  bool more = true;
  for (size_t i = 0; more && i < json_array_size (kvs); i++)
    {
      const json_t *kv = json_array_get (kvs, i);
      struct store_value value
          = { .store_revision = header_revision (response) };
      size_t length = 0;
      char *key = json_member_bytes (kv, "key", &length);
      status = key == NULL ? STATUS_NO_MEMORY : fill_value (kv, &value);
      more = status == STATUS_OK && fn (arg, key, &value);
      store_value_clear (&value);
      free (key);
    }
  json_decref (response);
  return status;
}

static enum status
etcd_watch (struct store *st, const char *prefix, int64_t from,
            store_watch_fn *fn, void *arg, const int *stop)
{
  struct etcd *e = (struct etcd *)st;
  GString *body = g_string_new ("{\"create_request\":{");
  struct watch w
      = { .transfer = { .kind = TRANSFER_WATCH,
                        .response = g_string_new (NULL),
                        .response_max_bytes = WATCH_LINE_BYTES_MAX },
          .fn = fn,
          .arg = arg };
  append_prefix_range (body, prefix);
  g_string_append_printf (body,
                          ",\"start_revision\":\"%" PRId64 "\","
                          "\"progress_notify\":true}}",
                          from + 1);
  enum status status = wait_for_endpoint (e, clock_now_ns ());
  uint32_t index = choose_endpoint (e, clock_now_ns ());
  if (status == STATUS_OK
      && !prepare (e, index, "/v3/watch", body, &w.transfer))
    status = status_set (STATUS_NO_MEMORY, "no memory for a watch");
  if (status == STATUS_OK)
    {
      curl_easy_setopt (e->curl, CURLOPT_TIMEOUT_MS, 0L);
      curl_easy_setopt (e->curl, CURLOPT_CONNECTTIMEOUT_MS,
                        (long)e->timeout_ms);
      curl_multi_add_handle (e->multi, e->curl);
      run_stream (e, &w, stop);
      curl_multi_remove_handle (e->multi, e->curl);
      status = w.status;
      if (status == STATUS_UNAVAILABLE)
        record_failure (e, index);
      else
        record_response (e, index);
    }
  if (status == STATUS_UNAVAILABLE)
    report_outage (e, status);
  transfer_end (&w.transfer);
  g_string_free (w.transfer.response, TRUE);
  g_string_free (body, TRUE);
  return status;
}

static void
etcd_free (struct store *st)
{
  struct etcd *e = (struct etcd *)st;
  curl_easy_cleanup (e->curl);
  curl_multi_cleanup (e->multi);
  curl_slist_free_all (e->headers);
  free (e);
}

static const struct store_ops etcd_ops
    = { etcd_get,         etcd_list,  etcd_swap, etcd_lease_grant,
        etcd_lease_renew, etcd_watch, etcd_free };

struct store *
etcd_new (const struct settings_address *endpoints, uint32_t count,
          uint32_t timeout_ms)
{
  pthread_once (&curl_once, init_curl);
  struct etcd *e = calloc (1, sizeof *e);
  if (e == NULL)
    return NULL;
  e->store.ops = &etcd_ops;
  e->count = count < SETTINGS_STORES_MAX ? count : SETTINGS_STORES_MAX;
  e->timeout_ms = timeout_ms;
  e->watch_idle_timeout_ms = ETCD_WATCH_IDLE_TIMEOUT_MS;
  e->random_state = ((uint64_t)clock_now_ns () ^ (uint64_t)(uintptr_t)e) | 1;
  e->preferred = next_random (e) % (e->count == 0 ? 1 : e->count);
  for (uint32_t i = 0; i < e->count; i++)
    snprintf (e->endpoints[i].url, URL_BYTES, "http://%s:%u",
              endpoints[i].host, (unsigned)endpoints[i].port);
  e->headers = curl_slist_append (NULL, "Content-Type: application/json");
  e->headers = curl_slist_append (e->headers, "Expect:");
  e->multi = curl_multi_init ();
  if (e->multi == NULL || e->headers == NULL)
    {
      etcd_free (&e->store);
      return NULL;
    }
  return &e->store;
}

void
etcd_set_watch_idle_timeout (struct store *st, uint32_t timeout_ms)
{
  struct etcd *e = (struct etcd *)st;
  e->watch_idle_timeout_ms = timeout_ms;
}
