#include "mesh/crashes.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "mesh/nodes.h"
#include "mesh/operator_reply.h"
#include "mesh/pack.h"
#include "settings/address.h"
#include <inttypes.h>
#include <jansson.h>
#include <string.h>
#include <xxhash.h>

/* A target that has ended accepts no connection after this time; its process
   may close connections before its listening socket.  */
#define PROBE_DELAY_MS 20
/* A connection that closed longer before the end was noticed had another
   cause: a target that ended reports as a new process within seconds.  */
#define BROKEN_MAX_NS (10 * NS_PER_S)
/* Requests whose connections close just after the end was noticed.  */
#define STRAGGLER_NS (500 * NS_PER_MS)
#define HEX_BASE 16

enum
{
  BROKEN_MAX = 64 /* more than the slots and the queue of a target */
};

/* A request whose connection closed without an answer.  */
struct broken_request
{
  struct quarantine_entry entry; /* without ends */
  int64_t at_ns;
};

struct crashes
{
  struct crashes_deps deps;
  struct nodes *nodes;
  struct quarantine *quarantine;
  struct broken_request broken[BROKEN_MAX];
  uint32_t broken_count;
  uint32_t ended_process; /* the last that ended */
  int64_t ended_ns;       /* 0: none */
  GString *packed;        /* for nodes that connect */
  uv_timer_t probe_timer;
  uv_tcp_t probe;
  uv_connect_t probe_request;
  bool probing;
};

/* Documents.  */

static json_t *
format_end (const struct quarantine_end *end, int64_t now_ns)
{
  return json_pack ("[I,b,I]", (json_int_t)end->process, end->is_void,
                    (json_int_t)((now_ns - end->at_ns) / NS_PER_MS));
}

static json_t *
format_entry (const struct quarantine_entry *e, int64_t now_ns)
{
  char content[20];
  json_t *ends = json_array ();
  snprintf (content, sizeof content, "%016" PRIx64, e->content);
  for (uint32_t i = 0; i < e->end_count; i++)
    json_array_append_new (ends, format_end (&e->ends[i], now_ns));
  return json_pack ("{s:s,s:s,s:s,s:I,s:o}", "content", content, "request",
                    e->label, "caller", e->caller, "age_ms",
                    (json_int_t)((now_ns - e->last_end_ns) / NS_PER_MS),
                    "ends", ends);
}

static bool
parse_content (const char *text, uint64_t *content)
{
  char *end;
  *content = g_ascii_strtoull (text, &end, HEX_BASE);
  return *text != '\0' && *end == '\0';
}

static bool
is_age (json_int_t ms)
{
  return ms >= 0 && ms <= QUARANTINE_TERM_NS / NS_PER_MS;
}

/* Nodes of earlier versions state no time of an end: the last one's, LAST_NS,
   counts.  */
static bool
parse_end (json_t *json, int64_t now_ns, int64_t last_ns,
           struct quarantine_end *end)
{
  json_int_t process;
  int is_void;
  if (json_unpack (json, "[I,b]", &process, &is_void) != 0 || process < 0
      || process > UINT32_MAX)
    return false;
  const json_t *age = json_array_get (json, 2);
  bool is_timed = json_is_integer (age) && is_age (json_integer_value (age));
  *end = (struct quarantine_end){
    (uint32_t)process, is_void != 0,
    is_timed ? now_ns - json_integer_value (age) * NS_PER_MS : last_ns
  };
  return true;
}

static bool
parse_entry (json_t *json, int64_t now_ns, struct quarantine_entry *e)
{
  const char *content;
  const char *label;
  const char *caller;
  json_int_t age_ms;
  json_t *ends;
  if (json_unpack (json, "{s:s,s:s,s:s,s:I,s:o}", "content", &content,
                   "request", &label, "caller", &caller, "age_ms", &age_ms,
                   "ends", &ends)
          != 0
      || !parse_content (content, &e->content) || !is_age (age_ms))
    return false;
  g_strlcpy (e->label, label, sizeof e->label);
  g_strlcpy (e->caller, caller, sizeof e->caller);
  e->last_end_ns = now_ns - age_ms * NS_PER_MS;
  e->end_count = 0;
  for (size_t i = 0;
       i < json_array_size (ends) && e->end_count < QUARANTINE_ENDS_MAX; i++)
    if (!parse_end (json_array_get (ends, i), now_ns, e->last_end_ns,
                    &e->ends[e->end_count++]))
      return false;
  return true;
}

static GString *
pack_entries (json_t *list)
{
  char *text = json_dumps (list, JSON_COMPACT);
  GString *packed = pack (text, strlen (text));
  free (text);
  json_decref (list);
  return packed;
}

static void
tell_others (struct crashes *c, json_t *list)
{
  GString *packed = pack_entries (list);
  nodes_broadcast_document (c->nodes, FRAME_DOCUMENT_CRASHES, packed->str,
                            packed->len);
  g_string_free (packed, TRUE);
}

static void
tell_of (struct crashes *c, uint64_t content, int64_t now_ns)
{
  json_t *list = json_array ();
  json_array_append_new (
      list, format_entry (quarantine_find (c->quarantine, content), now_ns));
  tell_others (c, list);
}

const char *
crashes_document (struct crashes *c, size_t *length, int64_t now_ns)
{
  json_t *list = json_array ();
  quarantine_expire (c->quarantine, now_ns);
  for (size_t i = 0; i < quarantine_count (c->quarantine); i++)
    if (quarantine_is_told (quarantine_entry_at (c->quarantine, i)))
      json_array_append_new (
          list, format_entry (quarantine_entry_at (c->quarantine, i), now_ns));
  if (json_array_size (list) == 0)
    {
      json_decref (list);
      return NULL;
    }
  if (c->packed != NULL)
    g_string_free (c->packed, TRUE);
  c->packed = pack_entries (list);
  *length = c->packed->len;
  return c->packed->str;
}

/* Merge ENTRY, and log if its content is refused from now on.  */
static void
merge (struct crashes *c, const struct quarantine_entry *entry, int64_t now_ns)
{
  enum quarantine_verdict before
      = quarantine_check (c->quarantine, entry->content, now_ns);
  quarantine_merge (c->quarantine, entry, now_ns);
  enum quarantine_verdict after
      = quarantine_check (c->quarantine, entry->content, now_ns);
  if (after == QUARANTINE_REFUSED && before != QUARANTINE_REFUSED)
    log_event (EV_CONTENT_QUARANTINED,
               "content=%016" PRIx64
               " caller=%s request=\"%s\" for_ms=%" PRId64,
               entry->content, entry->caller, entry->label,
               (quarantine_until_ns (c->quarantine, entry->content) - now_ns)
                   / NS_PER_MS);
  else if (before == QUARANTINE_REFUSED && after != QUARANTINE_REFUSED)
    log_event (EV_QUARANTINE_LIFTED,
               "content=%016" PRIx64 " caller=%s by=node", entry->content,
               entry->caller);
}

void
crashes_on_document (struct crashes *c, const char *text, size_t length,
                     int64_t now_ns)
{
  json_t *list = json_loadb (text, length, 0, NULL);
  for (size_t i = 0; i < json_array_size (list) && i < QUARANTINE_ENTRIES_MAX;
       i++)
    {
      struct quarantine_entry entry = { 0 };
      if (parse_entry (json_array_get (list, i), now_ns, &entry))
        merge (c, &entry, now_ns);
      else
        counter_add (COUNTER_peer_bad_messages_total, 1);
    }
  json_decref (list);
}

/* Ends of the own target.  */

static void
on_probe_closed (uv_handle_t *handle)
{
  ((struct crashes *)handle->data)->probing = false;
}

static void
on_probe_connected (uv_connect_t *request, int status)
{
  struct crashes *c = request->data;
  uv_close ((uv_handle_t *)&c->probe, on_probe_closed);
  if (status == UV_ECONNREFUSED)
    c->deps.connection_refused (c->deps.arg);
}

static void
on_probe_timer (uv_timer_t *timer)
{
  struct crashes *c = timer->data;
  struct sockaddr_storage address;
  if (settings_address_to_sockaddr (&c->deps.settings->target, &address)
      != STATUS_OK)
    return;
  uv_tcp_init (c->deps.loop, &c->probe);
  c->probe.data = c;
  c->probe_request.data = c;
  int rc = uv_tcp_connect (&c->probe_request, &c->probe,
                           (struct sockaddr *)&address, on_probe_connected);
  if (rc != 0)
    uv_close ((uv_handle_t *)&c->probe, on_probe_closed);
}

static void
start_probe (struct crashes *c)
{
  if (c->probing)
    return;
  c->probing = true;
  uv_timer_start (&c->probe_timer, on_probe_timer, PROBE_DELAY_MS, 0);
}

/* The length of the method and the target of HEAD.  */
static size_t
label_length (const char *head)
{
  size_t method = strcspn (head, " \r");
  return head[method] != ' ' ? method
                             : method + 1 + strcspn (head + method + 1, " \r");
}

static void
describe (const struct crashes *c, const struct attempt_request *request,
          struct quarantine_entry *e)
{
  const char *head = request->head->str;
  size_t caller_length = 0;
  const char *caller = attempt_find_field (
      request->head, c->deps.dialect->headers[HEADER_CALLER], &caller_length);
  g_strlcpy (e->label, head, MIN (sizeof e->label, label_length (head) + 1));
  if (caller != NULL)
    g_strlcpy (e->caller, caller, MIN (sizeof e->caller, caller_length + 1));
}

/* Blame ENTRY's content for the end of the process C->ended_process.  */
static void
blame (struct crashes *c, struct quarantine_entry *entry, int64_t now_ns,
       json_t *list)
{
  entry->last_end_ns = now_ns;
  entry->end_count = 1;
  entry->ends[0] = (struct quarantine_end){ c->ended_process, false, now_ns };
  merge (c, entry, now_ns);
  json_array_append_new (
      list,
      format_entry (quarantine_find (c->quarantine, entry->content), now_ns));
}

void
crashes_request_broken (struct crashes *c,
                        const struct attempt_request *request, int64_t now_ns)
{
  struct broken_request b
      = { .entry.content = request->content, .at_ns = now_ns };
  describe (c, request, &b.entry);
  if (c->ended_ns != 0 && now_ns - c->ended_ns < STRAGGLER_NS)
    {
      json_t *list = json_array ();
      blame (c, &b.entry, now_ns, list);
      tell_others (c, list);
      return;
    }
  if (c->broken_count == BROKEN_MAX)
    {
      c->broken_count--;
      memmove (c->broken, c->broken + 1, c->broken_count * sizeof b);
    }
  c->broken[c->broken_count++] = b;
  start_probe (c);
}

void
crashes_request_answered (struct crashes *c, uint64_t content, int64_t sent_ns)
{
  uint32_t kept = 0;
  /* A target that answers what was sent later has not ended.  */
  for (uint32_t i = 0; i < c->broken_count; i++)
    if (c->broken[i].at_ns >= sent_ns)
      c->broken[kept++] = c->broken[i];
  c->broken_count = kept;
  if (quarantine_count (c->quarantine) == 0)
    return;
  int64_t now_ns = clock_now_ns ();
  enum quarantine_verdict before
      = quarantine_check (c->quarantine, content, now_ns);
  if (!quarantine_void (c->quarantine, content))
    return;
  if (before == QUARANTINE_REFUSED)
    log_event (EV_QUARANTINE_LIFTED, "content=%016" PRIx64 " by=answer",
               content);
  if (quarantine_is_told (quarantine_find (c->quarantine, content)))
    tell_of (c, content, now_ns);
}

void
crashes_target_ended (struct crashes *c, const char *id, int64_t now_ns)
{
  json_t *list = json_array ();
  c->ended_process = XXH32 (id, strlen (id), 0);
  c->ended_ns = now_ns;
  for (uint32_t i = 0; i < c->broken_count; i++)
    if (now_ns - c->broken[i].at_ns < BROKEN_MAX_NS)
      blame (c, &c->broken[i].entry, now_ns, list);
  c->broken_count = 0;
  log_event (EV_TARGET_ENDED, "target=%s requests=%zu", id,
             json_array_size (list));
  counter_add (COUNTER_target_ends_total, 1);
  if (json_array_size (list) > 0)
    tell_others (c, list);
  else
    json_decref (list);
}

void
crashes_target_replaced (struct crashes *c)
{
  c->broken_count = 0;
}

enum quarantine_verdict
crashes_check (const struct crashes *c, uint64_t content, int64_t now_ns,
               int64_t *retry_after_ns)
{
  if (quarantine_count (c->quarantine) == 0)
    return QUARANTINE_FREE;
  enum quarantine_verdict verdict
      = quarantine_check (c->quarantine, content, now_ns);
  if (verdict == QUARANTINE_REFUSED)
    *retry_after_ns = quarantine_until_ns (c->quarantine, content) - now_ns;
  return verdict;
}

/* Operators.  */

static void
list_entries (const struct crashes *c, struct http_server_exchange *exchange,
              int64_t now_ns)
{
  GString *lines = g_string_new (NULL);
  for (size_t i = 0; i < quarantine_count (c->quarantine); i++)
    {
      const struct quarantine_entry *e
          = quarantine_entry_at (c->quarantine, i);
      json_t *json = format_entry (e, now_ns);
      bool refused = quarantine_check (c->quarantine, e->content, now_ns)
                     == QUARANTINE_REFUSED;
      json_object_set_new (json, "refused", json_boolean (refused));
      append_json_line (lines, json);
    }
  respond_json_lines (exchange, lines);
}

static void
lift (struct crashes *c, struct http_server_exchange *exchange,
      const char *content_text, int64_t now_ns)
{
  uint64_t content;
  if (!parse_content (content_text, &content)
      || !quarantine_void (c->quarantine, content))
    {
      respond_text (exchange, 404, "not known\n");
      return;
    }
  log_event (EV_QUARANTINE_LIFTED, "content=%016" PRIx64 " by=operator",
             content);
  tell_of (c, content, now_ns);
  respond_text (exchange, 200, "lifted\n");
}

bool
crashes_operator_call (struct crashes *c,
                       struct http_server_exchange *exchange)
{
  static const char lift_path[] = "/quarantine/lift?content=";
  const char *target = exchange->request_target->str;
  int64_t now_ns = clock_now_ns ();
  if (strcmp (target, "/quarantine") == 0
      && strcmp (exchange->method, "GET") == 0)
    list_entries (c, exchange, now_ns);
  else if (g_str_has_prefix (target, lift_path)
           && strcmp (exchange->method, "POST") == 0)
    lift (c, exchange, target + strlen (lift_path), now_ns);
  else
    return false;
  return true;
}

void
crashes_tick (struct crashes *c, int64_t now_ns)
{
  quarantine_expire (c->quarantine, now_ns);
}

struct crashes *
crashes_new (const struct crashes_deps *deps)
{
  struct crashes *c = g_new0 (struct crashes, 1);
  c->deps = *deps;
  c->quarantine = quarantine_new ();
  uv_timer_init (deps->loop, &c->probe_timer);
  c->probe_timer.data = c;
  return c;
}

void
crashes_set_nodes (struct crashes *c, struct nodes *nodes)
{
  c->nodes = nodes;
}
