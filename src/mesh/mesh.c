#include "mesh/mesh.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/duration.h"
#include "base/log.h"
#include "http/client.h"
#include "http/poll_clock.h"
#include "http/server.h"
#include "limit/memory.h"
#include "mesh/balance.h"
#include "mesh/crashes.h"
#include "mesh/departure_record.h"
#include "mesh/directory.h"
#include "mesh/egress.h"
#include "mesh/keys.h"
#include "mesh/members.h"
#include "mesh/nodes.h"
#include "mesh/owners.h"
#include "mesh/pack.h"
#include "mesh/router.h"
#include "mesh/sources.h"
#include "mesh/spread.h"
#include "mesh/watcher.h"
#include "mesh/zone_gate.h"
#include "settings/address.h"
#include "store/worker.h"
#include <curl/curl.h>
#include <inttypes.h>
#include <jansson.h>
#include <malloc.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum
{
  INBOX_ITEMS = 512,
  /* A body is held by the request, for another attempt, and by the message or
     frame that is being sent.  */
  BODY_COPIES = 2,
  MAPPED_BYTES = 64 * 1024
};

/* Interval of load samples for the placement of keys.  */
#define LOAD_INTERVAL_MS BALANCE_DECAY_INTERVAL_MS
/* A node that was heard of within this time has its share of the retry
   budgets, also while it cannot be reached.  */
#define SHARE_NODES_SPAN_NS (600 * NS_PER_S)
/* Interval of the log lines with counters, which cover events that have no
   line of their own.  */
#define COUNTERS_INTERVAL_MS 10000
/* Size of the counters' text, less than a log line.  */
#define COUNTERS_TEXT_BYTES 800
/* Interval of checks whether all work has ended while the node stops.  */
#define STOP_POLL_MS 50
/* Requests at the target must end this long before the node exits.  */
#define SHUTDOWN_MARGIN_MS INT64_C (300)
/* Requests that are still pending are answered this long before the node
   exits, so that the answers can be delivered.  */
#define STOP_FLUSH_NS (200 * NS_PER_MS)
/* Callers stop using a node about this long after it is no longer ready.  */
#define STOP_DELAY_NS (2500 * NS_PER_MS)
/* A loop that has not read its input for this long is reported.  */
#define LOOP_BEHIND_NS (200 * NS_PER_MS)
/* Limits on callers' requests before the first configuration.  */
#define INITIAL_LIMITS                                                        \
  {                                                                           \
    .header_bytes_max = 16384, .body_bytes_max = 1 << 20,                     \
    .header_timeout_ms = 3000, .idle_timeout_ms = 15000                       \
  }

struct mesh
{
  struct settings *settings;
  const struct dialect *dialect;
  uv_loop_t loop;
  struct http_limits limits;
  struct http_server *callers;
  struct http_server *ready;
  struct http_server *targets;
  struct http_server *operator_;
  struct crashes *crashes;
  struct inbox *inbox;
  uv_poll_t inbox_poll;
  uv_prepare_t before_sleep;
  struct poll_clock poll_clock;
  struct store_worker *worker;
  struct watcher *watcher;
  struct egress *egress;
  struct keys *keys;
  struct nodes *nodes;
  struct directory *directory;
  struct owners *owners;
  struct router *router;
  struct target_view target;
  struct departure_record *departures;
  struct target_report unconfirmed; /* the last report that was kept out */
  bool has_unconfirmed;
  struct target_terms told_terms; /* by other nodes, of a target process that
                                     has not reported to this node yet */
  struct frame_node self;
  uv_timer_t load_timer;
  uv_timer_t stop_timer;
  uv_timer_t counters_timer;
  uv_signal_t sigterm;
  uv_signal_t sighup;
  struct spread *spread;
  struct zone_gate *zone_gate;
  struct sources *sources;
  bool target_restarted;  /* since the keys were last joined */
  bool connections_ended; /* of callers, before the node exits */
  int64_t stopping_ns;    /* when the node began to stop; 0: it runs */
  bool was_ready;
  struct memory memory;
  struct http_memory http_memory; /* hooks to MEMORY */
  int64_t memory_full_logged_ns;  /* 0: never */
};

/* Memory.  */

static bool
reserve_memory (void *arg, size_t bytes)
{
  struct mesh *m = arg;
  int64_t now_ns = clock_now_ns ();
  if (memory_reserve (&m->memory, bytes))
    return true;
  counter_add (COUNTER_memory_refusals_total, 1);
  if (m->memory_full_logged_ns == 0
      || now_ns - m->memory_full_logged_ns >= NS_PER_S)
    {
      m->memory_full_logged_ns = now_ns;
      log_event (EV_MEMORY_FULL, "bytes=%zu used=%" PRIu64 " limit=%" PRIu64,
                 bytes, m->memory.used, m->memory.limit);
    }
  return false;
}

static void
count_memory (void *arg, int64_t bytes)
{
  struct mesh *m = arg;
  if (bytes >= 0)
    memory_add (&m->memory, (size_t)bytes);
  else
    memory_release (&m->memory, (size_t)-bytes, clock_now_ns ());
}

static int64_t
memory_retry_after (void *arg, size_t bytes)
{
  const struct mesh *m = arg;
  return memory_retry_after_ns (&m->memory, bytes, clock_now_ns ());
}

/* Large blocks are mapped one by one, so that their memory returns to the
   system when they are freed; otherwise the allocator raises this size with
   the first block that is freed.  */
static void
init_memory (struct mesh *m)
{
  memory_init (&m->memory, m->settings->memory_mb);
  m->http_memory = (struct http_memory){ m, BODY_COPIES, reserve_memory,
                                         count_memory, memory_retry_after };
  if (m->memory.limit != 0)
    mallopt (M_MMAP_THRESHOLD, MAPPED_BYTES);
}

/* State reported to other nodes.  */

/* The policy of the target's service; NULL: not known.  */
static const struct service_policy *
own_policy (const struct mesh *m)
{
  return routes_service_policy (router_routes (m->router),
                                m->settings->service);
}

static bool
is_keyed (const struct mesh *m)
{
  const struct service_policy *policy = own_policy (m);
  return policy != NULL && policy->keyed;
}

static void
fill_state (void *arg, struct frame_state *state)
{
  struct mesh *m = arg;
  const struct routes *r = router_routes (m->router);
  state->clock_ns = clock_now_ns ();
  state->load = egress_load (m->egress, state->clock_ns);
  if (m->stopping_ns != 0 && !is_keyed (m))
    state->load.accepting = false;
  state->watch_healthy = m->watcher != NULL && watcher_is_healthy (m->watcher);
  state->routes_version = r == NULL ? 0 : r->version;
  state->cell_serial = keys_serial (m->keys);
  zone_gate_fill_state (m->zone_gate, state);
  sources_fill_state (m->sources, state);
}

/* The target.  */

static void
update_target (struct mesh *m, bool restarted)
{
  int64_t now_ns = clock_now_ns ();
  enum keys_plan plan = m->target.phase == TARGET_SERVING
                            ? zone_gate_keys_plan (m->zone_gate)
                            : KEYS_LEAVE;
  egress_update_target (m->egress, &m->target, restarted);
  m->target_restarted = m->target_restarted || restarted;
  if (is_keyed (m) && m->stopping_ns == 0)
    {
      if (plan == KEYS_JOIN)
        {
          keys_join (m->keys, &m->target, m->target_restarted, now_ns);
          m->target_restarted = false;
        }
      else if (plan == KEYS_LEAVE)
        keys_leave (m->keys, now_ns);
    }
  nodes_broadcast_state (m->nodes);
}

static void
on_zone_changed (void *arg)
{
  update_target (arg, false);
}

static void
on_reopened (void *arg, bool cold)
{
  struct mesh *m = arg;
  (void)cold; /* the rate limit of the gate applies from now on */
  zone_gate_end_reopening (m->zone_gate);
}

static void
on_zone_reopening (void *arg)
{
  struct mesh *m = arg;
  egress_reopen (m->egress, on_reopened, m, clock_now_ns ());
}

static enum evacuations_phase
zone_phase (void *arg, int64_t now_ns)
{
  const struct mesh *m = arg;
  return zone_gate_phase (m->zone_gate, now_ns);
}

static bool
is_evacuated (void *arg, const char *zone)
{
  const struct mesh *m = arg;
  return zone_gate_is_evacuated (m->zone_gate, zone);
}

static enum reason
check_key (void *arg, int32_t key, int64_t now_ns)
{
  struct mesh *m = arg;
  return keys_check_serve (m->keys, (uint32_t)key, now_ns);
}

static void
on_key_request_started (void *arg, int32_t key)
{
  struct mesh *m = arg;
  keys_request_started (m->keys, (uint32_t)key);
}

static void
on_key_request_ended (void *arg, int32_t key)
{
  struct mesh *m = arg;
  keys_request_ended (m->keys, (uint32_t)key);
}

static void
on_key_refused (void *arg, int32_t key)
{
  struct mesh *m = arg;
  keys_on_target_denied (m->keys, (uint32_t)key);
}

static void
on_connection_refused (void *arg)
{
  struct mesh *m = arg;
  if (!target_view_connection_refused (&m->target))
    return;
  log_event (EV_TARGET_DOWN, "target=%s started=%" PRId64, m->target.id,
             m->target.started_ms);
  crashes_target_ended (m->crashes, m->target.id, clock_now_ns ());
  keys_suspend_grants (m->keys);
  update_target (m, false);
}

/* Record in the store which processes have left, if that changed.  */
static void
record_departures (struct mesh *m)
{
  if (!m->target.departed_changed)
    return;
  m->target.departed_changed = false;
  departure_record_write (m->departures, &m->target.departed);
}

static void
on_target_leaves (void *arg)
{
  struct mesh *m = arg;
  if (target_view_withdraw (&m->target, m->target.id, m->target.started_ms,
                            clock_wall_ms ())
      != TARGET_STARTED_DRAINING)
    return;
  record_departures (m);
  log_event (EV_TARGET_LEAVES, "target=%s started=%" PRId64, m->target.id,
             m->target.started_ms);
  update_target (m, false);
}

static void
on_target_responds (void *arg, uint32_t warmup_ms)
{
  struct mesh *m = arg;
  enum target_change change
      = target_view_responded (&m->target, warmup_ms, clock_now_ns ());
  if (change != TARGET_UNCHANGED)
    update_target (m, change == TARGET_RESTARTED);
}

static void
on_cold_changed (void *arg, bool cold)
{
  struct mesh *m = arg;
  keys_set_cold (m->keys, cold);
  nodes_broadcast_state (m->nodes);
}

/* Use TERMS, which another node was told, if they are those of this node's
   target.  This node may have started after they were stated.  */
static void
apply_told_terms (struct mesh *m, const struct target_terms *terms)
{
  if (target_terms_plain (terms))
    return;
  if (m->target.phase == TARGET_UNKNOWN)
    {
      m->told_terms = *terms;
      return;
    }
  if (!target_terms_concern (terms, m->target.id, m->target.started_ms))
    return;
  egress_adopt_terms (m->egress, terms, clock_now_ns ());
  if (terms->leaving)
    on_target_leaves (m);
}

static void
log_report (const struct mesh *m, const struct target_report *r,
            enum target_change change)
{
  if (change == TARGET_UNCHANGED)
    return;
  log_event (EV_TARGET_REPORTED,
             "target=%s started=%" PRId64 " sequence=%" PRIu64
             " change=%s slots=%u cold_ms=%u believed=%s believed_sequence="
             "%" PRIu64,
             r->id, r->started_ms, r->sequence, target_change_name (change),
             r->slots, r->warmup_remaining_ms, m->target.id,
             m->target.sequence);
}

/* Use the report R of the target.  */
static void
process_report (struct mesh *m, const struct target_report *r)
{
  struct target_view before = m->target;
  struct target_time now = { clock_now_ns (), clock_wall_ms () };
  enum target_change change = target_view_report (
      &m->target, r, m->settings->service, &m->settings->target, now);
  log_report (m, r, change);
  m->has_unconfirmed = change == TARGET_UNCONFIRMED;
  if (m->has_unconfirmed)
    m->unconfirmed = *r;
  if (change == TARGET_RESTARTED && before.phase == TARGET_SERVING)
    crashes_target_ended (m->crashes, before.id, now.now_ns);
  else if (change == TARGET_RESTARTED)
    crashes_target_replaced (m->crashes);
  if (change >= TARGET_RESTARTED)
    {
      update_target (m, before.phase != TARGET_UNKNOWN
                            && change == TARGET_RESTARTED);
      apply_told_terms (m, &m->told_terms);
    }
  else if (change == TARGET_UNCHANGED)
    egress_update_target (m->egress, &m->target, false);
}

/* The target of REPORT withdraws.  */
static void
process_withdrawal (struct mesh *m, const struct target_report *report)
{
  enum target_change change = target_view_withdraw (
      &m->target, report->id, report->started_ms, clock_wall_ms ());
  log_report (m, report, change);
  if (change == TARGET_STARTED_DRAINING)
    update_target (m, false);
}

static void
on_departures_read (void *arg, const char *text)
{
  struct mesh *m = arg;
  if (target_view_record_read (&m->target, text) == TARGET_STARTED_DRAINING)
    {
      log_event (EV_TARGET_LEAVES, "target=%s started=%" PRId64, m->target.id,
                 m->target.started_ms);
      update_target (m, false);
    }
  /* What was to be written lacks what has been read.  */
  if (departure_record_is_pending (m->departures))
    departure_record_write (m->departures, &m->target.departed);
  if (m->has_unconfirmed)
    process_report (m, &m->unconfirmed);
  record_departures (m);
}

/* A target that leaves gets no new work before the answer is sent, because it
   may rely on the answer at once.  */
static void
on_target_call (void *arg, struct http_server_exchange *exchange)
{
  struct mesh *m = arg;
  enum target_call call;
  struct target_report report;
  enum status s = m->dialect->parse_target_call (
      exchange->method, exchange->request_target->str, exchange->body->str,
      exchange->body->len, &call, &report);
  if (s != STATUS_OK)
    {
      counter_add (COUNTER_target_reports_bad_total, 1);
      log_event (EV_TARGET_REPORT_BAD, "path=%.80s cause=\"%s\" body=%.400s",
                 exchange->request_target->str, status_message (),
                 exchange->body->str);
      http_respond (exchange, s == STATUS_NOT_FOUND ? 404 : 400, NULL, "", 0);
      return;
    }
  counter_add (COUNTER_target_reports_total, 1);
  if (call == TARGET_CALL_WITHDRAW)
    process_withdrawal (m, &report);
  else
    process_report (m, &report);
  record_departures (m);
  const char *body = m->dialect->heartbeat_answer ();
  if (call == TARGET_CALL_WITHDRAW || report.state == TARGET_DRAINING)
    departure_record_acknowledge (m->departures, exchange, body);
  else
    http_respond (exchange, 200, "Content-Type: application/json\r\n", body,
                  strlen (body));
}

/* Readiness and counters.  */

static bool
is_ready (const struct mesh *m)
{
  return router_routes (m->router) != NULL && m->stopping_ns == 0;
}

static void
log_readiness (struct mesh *m)
{
  bool ready = is_ready (m);
  if (ready == m->was_ready)
    return;
  m->was_ready = ready;
  log_event (ready ? EV_READY : EV_NOT_READY, "node=%s", m->settings->name);
}

static void
on_ready_call (void *arg, struct http_server_exchange *exchange)
{
  struct mesh *m = arg;
  bool path_matches
      = strcmp (exchange->request_target->str, m->dialect->ready_path) == 0;
  http_respond (exchange,
                !path_matches  ? 404
                : is_ready (m) ? 200
                               : 503,
                NULL, "", 0);
}

static void
on_operator_call (void *arg, struct http_server_exchange *exchange)
{
  struct mesh *m = arg;
  if (crashes_operator_call (m->crashes, exchange)
      || members_operator_call (m->keys, m->nodes, exchange))
    return;
  if (strcmp (exchange->request_target->str, "/metrics") != 0)
    {
      http_respond (exchange, 404, NULL, "", 0);
      return;
    }
  char *counters = counter_export ();
  char *latencies = router_metrics (m->router);
  char *zones = zone_gate_metrics (m->zone_gate);
  char *sources = sources_metrics (
      m->sources, m->watcher != NULL && watcher_is_healthy (m->watcher));
  char *durations = duration_export ();
  GString *out = g_string_new (counters);
  g_string_append (out, latencies);
  g_string_append (out, zones);
  g_string_append (out, sources);
  g_string_append (out, durations);
  http_respond (exchange, 200, "Content-Type: text/plain; version=0.0.4\r\n",
                out->str, out->len);
  g_string_free (out, TRUE);
  free (counters);
  g_free (latencies);
  g_free (zones);
  g_free (sources);
  free (durations);
}

/* Configuration.  */

static void
apply_routes (struct mesh *m, const char *text, size_t length,
              const char *from)
{
  struct routes *r;
  const struct routes *old = router_routes (m->router);
  if (m->dialect->parse_routes (text, length, &r) != STATUS_OK)
    {
      log_event (EV_ROUTES_REFUSED, "from=%s cause=\"%s\"", from,
                 status_message ());
      return;
    }
  if (old != NULL && r->version <= old->version)
    {
      routes_unref (r);
      return;
    }
  r->packed = pack (text, length);
  struct confirm_delay delay
      = sources_on_applied (m->sources, r->version, clock_now_ns ());
  log_event (EV_ROUTES_IN_FORCE,
             "version=%" PRIu64 " before=%" PRIu64 " routes=%u from=%s"
             " late_ms_max=%d announced_ms=%d",
             r->version, old == NULL ? 0 : old->version, r->entries->len, from,
             (int)(delay.late_ns / NS_PER_MS),
             (int)(delay.announced_ns / NS_PER_MS));
  m->limits = r->limits;
  egress_set_body_max (m->egress, r->limits.body_bytes_max);
  router_set_routes (m->router, r);
  routes_unref (r);
  if (own_policy (m) != NULL)
    {
      keys_spare_cold (m->keys, own_policy (m)->warmup_rate_max > 0);
      egress_set_policy (m->egress, own_policy (m), clock_now_ns ());
    }
  if (m->target.phase == TARGET_SERVING)
    update_target (m, false);
  else
    nodes_broadcast_state (m->nodes);
  log_readiness (m);
}

/* Other nodes.  */

static void *
run_request (void *arg, struct attempt_request *request, attempt_done *done,
             void *done_arg)
{
  struct mesh *m = arg;
  if (request->key != ATTEMPT_NO_KEY)
    keys_count_request (m->keys, (uint32_t)request->key);
  request->from_peer = true;
  request->content
      = attempt_fingerprint (request, m->dialect->headers[HEADER_CALLER]);
  apply_told_terms (m, &request->terms);
  return egress_send (m->egress, request, done, done_arg, clock_now_ns ());
}

static void
request_cut (void *arg, const char *id)
{
  struct mesh *m = arg;
  router_end_lookups (m->router, id);
}

static bool
check_offer (void *arg, const struct attempt_request *request,
             const struct lineup_arrival *arrival,
             struct attempt_result *refusal)
{
  struct mesh *m = arg;
  apply_told_terms (m, &request->terms);
  if (egress_check (m->egress, request, arrival, clock_now_ns (), refusal))
    return true;
  /* One that is accepted is counted when it arrives.  */
  if (request->key != ATTEMPT_NO_KEY)
    keys_count_request (m->keys, (uint32_t)request->key);
  return false;
}

static void
cancel_request (void *arg, void *handle, int64_t left_ns)
{
  (void)arg;
  egress_abandon (handle, left_ns);
}

static const char *
get_document (void *arg, enum frame_document_type document_type,
              size_t *length, int64_t *revision)
{
  struct mesh *m = arg;
  const struct routes *r = router_routes (m->router);
  *revision = 0;
  if (document_type == FRAME_DOCUMENT_CELL)
    return keys_document (m->keys, length, revision);
  if (document_type == FRAME_DOCUMENT_EVACUATIONS)
    return zone_gate_document (m->zone_gate, length);
  if (document_type == FRAME_DOCUMENT_CRASHES)
    return crashes_document (m->crashes, length, clock_now_ns ());
  *length = r == NULL ? 0 : r->packed->len;
  return r == NULL ? NULL : r->packed->str;
}

static void
apply_document (struct mesh *m, const struct frame_node *node,
                enum frame_document_type document_type, int64_t revision,
                const char *text, size_t length)
{
  if (document_type == FRAME_DOCUMENT_ROUTES)
    {
      apply_routes (m, text, length, node->name);
      return;
    }
  if (document_type == FRAME_DOCUMENT_EVACUATIONS)
    {
      zone_gate_on_document (m->zone_gate, node, text, length);
      return;
    }
  if (document_type == FRAME_DOCUMENT_CRASHES)
    {
      crashes_on_document (m->crashes, text, length, clock_now_ns ());
      return;
    }
  uint32_t known_serial = owners_serial (m->owners, node->service);
  if (strcmp (node->service, m->settings->service) == 0)
    keys_on_document (m->keys, revision, text, length, clock_now_ns ());
  if (owners_serial (m->owners, node->service) > known_serial)
    return; /* the agent has put it in force and published it */
  enum status s = owners_update_text (m->owners, node->service, text, length);
  if (s == STATUS_OK)
    log_event (EV_OWNERS_LEARNED, "service=%s serial=%u from=%s",
               node->service, owners_serial (m->owners, node->service),
               node->name);
  else if (s != STATUS_STALE)
    log_event (EV_DOCUMENT_REFUSED, "from=%s cause=\"%s\"", node->name,
               status_message ());
}

static void
on_document (void *arg, const struct frame_node *node,
             enum frame_document_type document_type, int64_t revision,
             const char *packed, size_t packed_length)
{
  struct mesh *m = arg;
  GString *document = unpack (packed, packed_length);
  if (document == NULL)
    {
      log_event (EV_DOCUMENT_REFUSED, "from=%s cause=\"%s\"", node->name,
                 status_message ());
      return;
    }
  apply_document (m, node, document_type, revision, document->str,
                  document->len);
  g_string_free (document, TRUE);
}

static void
on_state (void *arg, const struct frame_node *node,
          const struct frame_state *state)
{
  struct mesh *m = arg;
  sources_on_state (m->sources, node, state, clock_now_ns ());
  zone_gate_on_state (m->zone_gate, node, state);
  departure_record_on_era (m->departures, state->confirmed.era);
  spread_on_notice (m->spread, node, state->cell_serial);
}

static void
on_handover (void *arg, const struct frame_handover *h)
{
  struct mesh *m = arg;
  keys_on_handover (m->keys, h);
}

/* Inbox.  */

static void
on_store_reply (struct mesh *m, struct store_job *job)
{
  int64_t now_ns = clock_now_ns ();
  /* The keys take all other reads.  */
  if (departure_record_on_store_reply (m->departures, job, now_ns)
      || keys_on_store_reply (m->keys, job, now_ns))
    return;
  directory_on_store_reply (m->directory, job);
  store_job_free (job);
}

static void
on_store_confirmation (struct mesh *m, struct watch_update *w)
{
  /* The state that the sources report has both.  */
  if (w->zones != NULL)
    zone_gate_on_store (m->zone_gate, w);
  sources_on_store (m->sources, w, clock_now_ns ());
  departure_record_on_era (m->departures, w->era);
}

static void
process_messages (struct mesh *m)
{
  struct inbox_header *message;
  while ((message = inbox_take (m->inbox)) != NULL)
    if (message->kind == INBOX_MESSAGE_STORE_JOB)
      on_store_reply (m, (struct store_job *)message);
    else
      {
        struct watch_update *w = (struct watch_update *)message;
        if (w->text != NULL)
          apply_routes (m, w->text, w->length, "store");
        else
          on_store_confirmation (m, w);
        watch_update_free (w);
      }
}

static void
on_inbox_readable (uv_poll_t *poll, int status, int events)
{
  struct mesh *m = poll->data;
  (void)status;
  (void)events;
  inbox_clear_wakeup (m->inbox);
  process_messages (m);
}

/* Request a wake-up for new messages, or process those that have arrived
   meanwhile.  */
static void
on_before_sleep (uv_prepare_t *prepare)
{
  struct mesh *m = prepare->data;
  int64_t busy_ns = poll_clock_busy_ns (&m->poll_clock, clock_now_ns ());
  duration_add (DURATION_loop_busy, busy_ns);
  if (busy_ns >= LOOP_BEHIND_NS)
    log_event (EV_LOOP_BEHIND, "for_ms=%d requests=%u",
               (int)(busy_ns / NS_PER_MS), router_pending_count (m->router));
  while (!inbox_arm_wakeup (m->inbox))
    {
      inbox_clear_wakeup (m->inbox);
      process_messages (m);
    }
}

static void
on_load_timer (uv_timer_t *timer)
{
  struct mesh *m = timer->data;
  int64_t now_ns = clock_now_ns ();
  uint32_t known = nodes_count_known (m->nodes, now_ns - SHARE_NODES_SPAN_NS);
  sources_tick (m->sources, now_ns);
  crashes_tick (m->crashes, now_ns);
  zone_gate_tick (m->zone_gate, known > 1);
  spread_retry (m->spread);
  egress_tick (m->egress, now_ns);
  router_tick (m->router, known);
  keys_record_load (m->keys, egress_utilization_pct (m->egress, now_ns));
}

static void
log_counters (const struct mesh *m)
{
  char text[COUNTERS_TEXT_BYTES];
  counter_format_deltas (text, sizeof text);
  log_event (EV_COUNTED, "node=%s owned_keys=%u%s", m->settings->name,
             keys_count_owned (m->keys), text);
}

static void
on_counters_timer (uv_timer_t *timer)
{
  log_counters (timer->data);
}

/* Stopping.  */

/* Whether all that was passed on is answered, and all answers are delivered.
 */
static bool
work_has_ended (const struct mesh *m)
{
  return router_pending_count (m->router) == 0
         && egress_job_count (m->egress) == 0 && keys_has_left (m->keys)
         && nodes_is_idle (m->nodes) && http_server_is_idle (m->callers)
         && (m->targets == NULL || http_server_is_idle (m->targets));
}

static void
on_stop_timer (uv_timer_t *timer)
{
  struct mesh *m = timer->data;
  int64_t since_ns = clock_now_ns () - m->stopping_ns;
  int64_t left_ns = m->settings->drain_ms * NS_PER_MS - since_ns;
  if (left_ns <= STOP_FLUSH_NS)
    router_finish_all (m->router);
  if (left_ns <= 0)
    {
      uv_stop (&m->loop);
      return;
    }
  if (since_ns < STOP_DELAY_NS)
    return;
  router_refuse_new (m->router);
  if (!work_has_ended (m))
    return;
  /* Callers that send at this moment learn from the end of their connection,
     before the process exits, that it was not read.  */
  if (m->connections_ended)
    uv_stop (&m->loop);
  m->connections_ended = true;
  http_server_close_idle (m->callers);
}

static void
on_sigterm (uv_signal_t *signal, int number)
{
  struct mesh *m = signal->data;
  (void)number;
  if (m->stopping_ns != 0)
    return;
  m->stopping_ns = clock_now_ns ();
  log_event (EV_STOPPING, "node=%s busy=%u", m->settings->name,
             router_pending_count (m->router));
  log_readiness (m);
  http_server_drain (m->callers);
  int64_t end_ns = m->stopping_ns
                   + (m->settings->drain_ms - SHUTDOWN_MARGIN_MS) * NS_PER_MS;
  egress_set_shutdown_time (m->egress, end_ns);
  router_stop (m->router, end_ns);
  keys_leave (m->keys, m->stopping_ns);
  nodes_broadcast_state (m->nodes);
  uv_timer_start (&m->stop_timer, on_stop_timer, STOP_POLL_MS, STOP_POLL_MS);
}

static void
on_sighup (uv_signal_t *signal, int number)
{
  struct mesh *m = signal->data;
  (void)number;
  /* The settings are fixed for the lifetime of the process; the operators'
     configuration comes from the store.  */
  log_event (EV_RELOADED, "node=%s changed=0", m->settings->name);
}

/* Starting.  */

static struct egress *
open_egress (struct mesh *m)
{
  struct egress_hooks hooks = {
    .arg = m,
    .check_key = check_key,
    .key_request_started = on_key_request_started,
    .key_request_ended = on_key_request_ended,
    .request_cut = request_cut,
    .key_refused = on_key_refused,
    .connection_refused = on_connection_refused,
    .target_leaves = on_target_leaves,
    .zone_phase = zone_phase,
    .target_responds = on_target_responds,
    .cold_changed = on_cold_changed,
    .crashes = m->crashes,
  };
  return egress_open (&m->loop, m->dialect, m->settings, &hooks);
}

static struct nodes *
open_nodes (struct mesh *m)
{
  struct nodes_hooks hooks = {
    .arg = m,
    .fill_state = fill_state,
    .run_request = run_request,
    .check_offer = check_offer,
    .cancel_request = cancel_request,
    .get_document = get_document,
    .on_document = on_document,
    .on_state = on_state,
    .on_handover = on_handover,
    .memory = m->memory.limit == 0 ? NULL : &m->http_memory,
  };
  return nodes_open (&m->loop, &m->self, m->settings->link_kbps, &hooks);
}

static void
set_store_watch (void *arg, bool watch, const struct confirmation *known)
{
  struct mesh *m = arg;
  if (watch)
    watcher_resume (m->watcher, known->revision, known->era);
  else
    watcher_suspend (m->watcher);
}

static enum status
open_modules (struct mesh *m)
{
  struct settings *s = m->settings;
  struct crashes_deps crashes_deps
      = { &m->loop, m->dialect, s, on_connection_refused, m };
  m->crashes = crashes_new (&crashes_deps);
  m->egress = open_egress (m);
  m->owners = owners_new ();
  m->nodes = open_nodes (m);
  crashes_set_nodes (m->crashes, m->nodes);
  m->worker = store_worker_start (m->dialect->open_store (s));
  if (m->nodes == NULL || m->worker == NULL)
    return STATUS_SYSTEM;
  struct departure_record_deps departure_deps
      = { &m->loop, s, m->worker, m->inbox, m, on_departures_read };
  m->departures = departure_record_open (&departure_deps);
  m->spread = spread_new (s, m->nodes, m->owners);
  struct sources_deps sources_deps
      = { &m->loop, s, m->nodes, m, set_store_watch };
  m->sources = sources_new (&sources_deps);
  struct keys_deps keys_deps = { &m->loop,
                                 m->dialect,
                                 s,
                                 m->worker,
                                 m->inbox,
                                 m->nodes,
                                 m->owners,
                                 egress_control_client (m->egress),
                                 spread_request_document,
                                 spread_on_published,
                                 m->spread,
                                 is_evacuated,
                                 m };
  struct router_deps router_deps
      = { &m->loop,  m->dialect,          s,         m->egress, m->nodes,
          m->owners, spread_on_not_owner, m->spread, m->crashes };
  m->keys = keys_open (&keys_deps);
  spread_set_keys (m->spread, m->keys);
  struct zone_gate_deps zone_deps = {
    .loop = &m->loop,
    .settings = s,
    .nodes = m->nodes,
    .egress = m->egress,
    .keys = m->keys,
    .key_prefix = m->dialect->evacuation_prefix,
    .arg = m,
    .changed = on_zone_changed,
    .reopening = on_zone_reopening,
  };
  m->zone_gate = zone_gate_open (&zone_deps);
  m->router = router_open (&router_deps);
  return m->keys == NULL ? STATUS_SYSTEM : STATUS_OK;
}

static enum status
open_servers (struct mesh *m)
{
  static const struct http_limits limits = INITIAL_LIMITS;
  const struct settings *s = m->settings;
  m->callers = http_server_new (&m->loop, &s->callers, &m->limits,
                                router_handle_request, m->router);
  m->operator_ = http_server_new (&m->loop, &s->operator_address, &limits,
                                  on_operator_call, m);
  if (m->callers == NULL || m->operator_ == NULL)
    return STATUS_SYSTEM;
  if (m->memory.limit != 0)
    {
      http_server_set_memory (m->callers, &m->http_memory);
      egress_set_memory (m->egress, &m->http_memory);
    }
  if (s->ready.port != 0)
    m->ready
        = http_server_new (&m->loop, &s->ready, &limits, on_ready_call, m);
  if (s->targets.port != 0)
    m->targets
        = http_server_new (&m->loop, &s->targets, &limits, on_target_call, m);
  if (m->targets != NULL)
    http_server_serve_left (m->targets);
  if ((s->ready.port != 0 && m->ready == NULL)
      || (s->targets.port != 0 && m->targets == NULL))
    return STATUS_SYSTEM;
  return STATUS_OK;
}

static void
start_events (struct mesh *m)
{
  uv_poll_init (&m->loop, &m->inbox_poll, inbox_fd (m->inbox));
  uv_prepare_init (&m->loop, &m->before_sleep);
  uv_timer_init (&m->loop, &m->load_timer);
  uv_timer_init (&m->loop, &m->stop_timer);
  uv_timer_init (&m->loop, &m->counters_timer);
  uv_signal_init (&m->loop, &m->sigterm);
  uv_signal_init (&m->loop, &m->sighup);
  m->inbox_poll.data = m;
  m->before_sleep.data = m;
  m->load_timer.data = m;
  m->stop_timer.data = m;
  m->counters_timer.data = m;
  m->sigterm.data = m;
  m->sighup.data = m;
  uv_poll_start (&m->inbox_poll, UV_READABLE, on_inbox_readable);
  uv_prepare_start (&m->before_sleep, on_before_sleep);
  poll_clock_init (&m->poll_clock, &m->loop);
  uv_signal_start (&m->sigterm, on_sigterm, SIGTERM);
  uv_signal_start (&m->sighup, on_sighup, SIGHUP);
  uv_timer_start (&m->load_timer, on_load_timer, LOAD_INTERVAL_MS,
                  LOAD_INTERVAL_MS);
  uv_timer_start (&m->counters_timer, on_counters_timer, COUNTERS_INTERVAL_MS,
                  COUNTERS_INTERVAL_MS);
  struct directory_deps parts
      = { &m->loop, m->settings, m->worker, m->inbox, m->nodes };
  m->directory = directory_open (&parts);
}

static void
fill_self (struct mesh *m)
{
  const struct settings *s = m->settings;
  memcpy (m->self.name, s->name, sizeof m->self.name);
  memcpy (m->self.service, s->service, sizeof m->self.service);
  memcpy (m->self.zone, s->zone, sizeof m->self.zone);
  m->self.address = s->peers;
  m->self.start_id = (uint64_t)g_random_int () << 32 | g_random_int ();
}

int
mesh_run (struct settings *settings, const struct dialect *dialect)
{
  static struct mesh m; /* one per process; too large for the stack */
  m.settings = settings;
  m.dialect = dialect;
  m.limits = (struct http_limits)INITIAL_LIMITS;
  m.target.record_unread = true;
  signal (SIGPIPE, SIG_IGN);
  log_to_stdout ();
  log_set_level (settings->log_level);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (dialect->apply_bounds (settings) != STATUS_OK)
    log_event (EV_BOUNDS_UNREAD, "cause=\"%s\"", status_message ());
  uv_loop_init (&m.loop);
  fill_self (&m);
  init_memory (&m);
  m.inbox = inbox_new (inbox_capacity_for (INBOX_ITEMS));
  enum status s = open_modules (&m);
  if (s == STATUS_OK)
    s = open_servers (&m);
  if (s == STATUS_OK)
    {
      struct store *st = dialect->open_store (settings);
      dialect->set_watch_timeout (st, sources_wait_ms (m.sources));
      m.watcher = watcher_start (st, dialect->configuration_key,
                                 settings->evacuation_close_ms == 0
                                     ? NULL
                                     : dialect->evacuation_prefix,
                                 m.inbox);
      s = m.watcher == NULL ? STATUS_SYSTEM : STATUS_OK;
    }
  if (s != STATUS_OK)
    {
      log_event (EV_START_FAILED, "cause=\"%s\"", status_message ());
      return EXIT_FAILURE;
    }
  log_event (EV_STARTED,
             "node=%s service=%s zone=%s run=%" PRIu64
             " drain_ms=%u hold_max_ms=%u retry_pct=%u retry_stored=%u"
             " link_kbps=%u cpu_thousandths=%u",
             settings->name, settings->service, settings->zone,
             m.self.start_id, settings->drain_ms, settings->hold_max_ms,
             settings->retry_ratio_pct, settings->retry_stored,
             settings->link_kbps, settings->cpu_share_thousandths);
  start_events (&m);
  uv_run (&m.loop, UV_RUN_DEFAULT);
  log_counters (&m);
  log_event (EV_STOPPED, "node=%s after_ms=%d", settings->name,
             (int)((clock_now_ns () - m.stopping_ns) / NS_PER_MS));
  return EXIT_SUCCESS;
}
