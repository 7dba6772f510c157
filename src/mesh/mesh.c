#include "mesh/mesh.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "http/server.h"
#include "mesh/balance.h"
#include "mesh/directory.h"
#include "mesh/egress.h"
#include "mesh/keys.h"
#include "mesh/nodes.h"
#include "mesh/owners.h"
#include "mesh/pack.h"
#include "mesh/router.h"
#include "mesh/spread.h"
#include "mesh/watcher.h"
#include "settings/address.h"
#include "store/worker.h"
#include <curl/curl.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum
{
  INBOX_ITEMS = 512
};

/* Look at the load of the target for the placement of keys.  */
#define LOAD_MS BALANCE_DECAY_INTERVAL_MS
/* The first nodes by name follow the configuration closely: a watch of the
   store may miss a change until its wait ends.  The others hear of it from
   them, and watch in case that they do not.  */
#define CLOSE_WATCHERS 2
#define CLOSE_WAIT_MS 1000
#define FAR_WAIT_MS 8000
/* With more nodes than this the wait grows in proportion, to the most that the
   store waits: one of so many hears of a change at once.  */
#define FAR_NODES 24
#define FAR_WAIT_MOST_MS 28000
/* Time between two lines that sum what single lines do not tell.  */
#define COUNT_MS 10000
/* Room for the counters of a line, below the length of a log line.  */
#define COUNT_BYTES 800
/* Pause between looks at whether all work has ended, when stopping.  */
#define STOP_LOOK_MS 50
/* What runs at the target must end that much before this node does.  */
#define END_MARGIN_MS INT64_C (300)
/* Callers stop using a node that is not ready after about this.  */
#define STOP_QUIET_NS (2500 * NS_PER_MS)
/* Pause between two fetches of the configuration.  */
#define FETCH_PAUSE_NS (100 * NS_PER_MS)
/* Limits on callers before the first configuration.  */
#define FIRST_LIMITS                                                          \
  {                                                                           \
    .header_bytes = 16384, .body_bytes = 1 << 20, .header_timeout_ms = 3000,  \
    .idle_timeout_ms = 15000                                                  \
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
  struct inbox *inbox;
  uv_poll_t mail;
  uv_prepare_t before_sleep;
  struct store_worker *worker;
  struct watcher *watcher;
  struct store *watched; /* the watcher's */
  struct egress *egress;
  struct keys *keys;
  struct nodes *nodes;
  struct directory *directory;
  struct owners *owners;
  struct router *router;
  struct target_view target;
  struct frame_node self;
  uv_timer_t load_timer;
  uv_timer_t stop_timer;
  uv_timer_t count_timer;
  uv_signal_t term;
  uv_signal_t hup;
  struct spread *spread;
  int64_t fetched_ns;  /* the configuration, last */
  int64_t stopping_ns; /* since when; 0: no */
  bool was_ready;
};

/* State for other nodes.  */

static bool
is_keyed (const struct mesh *m)
{
  const struct routes *r = router_routes (m->router);
  int i = r == NULL ? -1 : routes_find_service (r, m->settings->service);
  return i >= 0 && g_array_index (r->services, struct service_policy, i).keyed;
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
}

/* The target.  */

static void
follow_target (struct mesh *m, bool new_run)
{
  int64_t now_ns = clock_now_ns ();
  egress_update_target (m->egress, &m->target, new_run);
  if (is_keyed (m) && m->stopping_ns == 0)
    {
      if (m->target.phase == TARGET_SERVING)
        keys_join (m->keys, &m->target, new_run, now_ns);
      else
        keys_leave (m->keys, now_ns);
    }
  nodes_broadcast_state (m->nodes);
}

static enum reason
may_serve (void *arg, int32_t key, int64_t now_ns)
{
  struct mesh *m = arg;
  return keys_check_serve (m->keys, (uint32_t)key, now_ns);
}

static void
begin_key (void *arg, int32_t key)
{
  struct mesh *m = arg;
  keys_request_started (m->keys, (uint32_t)key);
}

static void
end_key (void *arg, int32_t key)
{
  struct mesh *m = arg;
  keys_request_ended (m->keys, (uint32_t)key);
}

static void
refused_key (void *arg, int32_t key)
{
  struct mesh *m = arg;
  keys_on_target_denied (m->keys, (uint32_t)key);
}

static void
lost_target (void *arg)
{
  struct mesh *m = arg;
  if (!target_view_connection_refused (&m->target))
    return;
  log_event (EV_TARGET_DOWN, "target=%s started=%" PRId64, m->target.id,
             m->target.started_ms);
  keys_suspend_grants (m->keys);
  follow_target (m, false);
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
             r->slots, r->warmup_left_ms, m->target.id, m->target.sequence);
}

/* A target that leaves takes no new work from here on: the answer may bind
   at once.  */
static void
on_target_call (void *arg, struct http_exchange *x)
{
  struct mesh *m = arg;
  enum target_call call;
  struct target_report report;
  enum target_change change;
  bool known = m->target.phase != TARGET_UNKNOWN;
  enum status s = m->dialect->read_target_call (
      x->method, x->target->str, x->body->str, x->body->len, &call, &report);
  if (s != STATUS_OK)
    {
      counter_add (COUNTER_target_reports_bad_total, 1);
      log_event (EV_TARGET_REPORT_BAD, "path=%.80s cause=\"%s\" body=%.400s",
                 x->target->str, status_message (), x->body->str);
      http_answer (x, s == STATUS_NOT_FOUND ? 404 : 400, NULL, "", 0);
      return;
    }
  counter_add (COUNTER_target_reports_total, 1);
  if (call == TARGET_CALL_DEREGISTER)
    change = target_view_deregister (&m->target, report.id, report.started_ms);
  else
    change = target_view_report (&m->target, &report, m->settings->service,
                                 &m->settings->target, clock_now_ns ());
  log_report (m, &report, change);
  if (change >= TARGET_RESTARTED)
    follow_target (m, known && change == TARGET_RESTARTED);
  else if (change == TARGET_UNCHANGED)
    egress_update_target (m->egress, &m->target, false);
  const char *body = m->dialect->heartbeat_answer ();
  http_answer (x, 200, "Content-Type: application/json\r\n", body,
               strlen (body));
}

/* Readiness, counters.  */

static bool
is_ready (const struct mesh *m)
{
  return router_routes (m->router) != NULL && m->stopping_ns == 0;
}

static void
note_ready (struct mesh *m)
{
  bool ready = is_ready (m);
  if (ready == m->was_ready)
    return;
  m->was_ready = ready;
  log_event (ready ? EV_READY : EV_NOT_READY, "node=%s", m->settings->name);
}

static void
on_ready_call (void *arg, struct http_exchange *x)
{
  struct mesh *m = arg;
  bool known = strcmp (x->target->str, m->dialect->ready_path) == 0;
  http_answer (x, !known ? 404 : is_ready (m) ? 200 : 503, NULL, "", 0);
}

static void
on_operator_call (void *arg, struct http_exchange *x)
{
  struct mesh *m = arg;
  if (strcmp (x->target->str, "/metrics") != 0)
    {
      http_answer (x, 404, NULL, "", 0);
      return;
    }
  char *counters = counter_export ();
  char *latencies = router_metrics (m->router);
  GString *out = g_string_new (counters);
  g_string_append (out, latencies);
  http_answer (x, 200, "Content-Type: text/plain; version=0.0.4\r\n", out->str,
               out->len);
  g_string_free (out, TRUE);
  free (counters);
  g_free (latencies);
}

/* Configuration.  */

static void
take_routes (struct mesh *m, const char *text, size_t length, const char *from)
{
  struct routes *r;
  const struct routes *old = router_routes (m->router);
  if (m->dialect->read_routes (text, length, &r) != STATUS_OK)
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
  log_event (EV_ROUTES_IN_FORCE,
             "version=%" PRIu64 " before=%" PRIu64 " routes=%u from=%s",
             r->version, old == NULL ? 0 : old->version, r->entries->len,
             from);
  m->limits = r->limits;
  router_set_routes (m->router, r);
  routes_unref (r);
  if (m->target.phase == TARGET_SERVING)
    follow_target (m, false);
  else
    nodes_broadcast_state (m->nodes);
  note_ready (m);
}

/* Other nodes.  */

static void *
run_request (void *arg, struct attempt_request *request, attempt_done *done,
             void *done_arg)
{
  struct mesh *m = arg;
  if (request->key != ATTEMPT_NO_KEY)
    keys_count_request (m->keys, (uint32_t)request->key);
  return egress_send (m->egress, request, done, done_arg, clock_now_ns ());
}

static void
stop_request (void *arg, void *handle)
{
  (void)arg;
  egress_abandon (handle);
}

static const char *
document (void *arg, enum frame_document_type topic, size_t *length,
          int64_t *revision)
{
  struct mesh *m = arg;
  const struct routes *r = router_routes (m->router);
  *revision = 0;
  if (topic == FRAME_DOCUMENT_CELL)
    return keys_document (m->keys, length, revision);
  *length = r == NULL ? 0 : r->packed->len;
  return r == NULL ? NULL : r->packed->str;
}

static void
take_text (struct mesh *m, const struct frame_node *node,
           enum frame_document_type topic, int64_t revision, const char *text,
           size_t length)
{
  if (topic == FRAME_DOCUMENT_ROUTES)
    {
      take_routes (m, text, length, node->name);
      return;
    }
  uint32_t known = owners_serial (m->owners, node->service);
  if (strcmp (node->service, m->settings->service) == 0)
    keys_on_document (m->keys, revision, text, length, clock_now_ns ());
  if (owners_serial (m->owners, node->service) > known)
    return; /* the member took it, and published it */
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
take_document (void *arg, const struct frame_node *node,
               enum frame_document_type topic, int64_t revision,
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
  take_text (m, node, topic, revision, document->str, document->len);
  g_string_free (document, TRUE);
}

static void
state_changed (void *arg, const struct frame_node *node,
               const struct frame_state *state)
{
  struct mesh *m = arg;
  const struct routes *r = router_routes (m->router);
  int64_t now_ns = clock_now_ns ();
  if (state->routes_version > (r == NULL ? 0 : r->version)
      && now_ns >= m->fetched_ns + FETCH_PAUSE_NS)
    {
      m->fetched_ns = now_ns;
      nodes_request_document (m->nodes, &node->address, FRAME_DOCUMENT_ROUTES);
    }
  spread_on_announcement (m->spread, node, state->cell_serial);
}

static void
handover (void *arg, const struct frame_handover *h)
{
  struct mesh *m = arg;
  keys_on_handover (m->keys, h);
}

/* Mail.  */

static void
on_store (struct mesh *m, struct store_job *job)
{
  if (keys_on_store_reply (m->keys, job, clock_now_ns ()))
    return;
  directory_on_store_reply (m->directory, job);
  store_job_free (job);
}

static void
take_mail (struct mesh *m)
{
  struct mail *mail;
  while ((mail = inbox_take (m->inbox)) != NULL)
    if (mail->kind == MAIL_STORE)
      on_store (m, (struct store_job *)mail);
    else
      {
        struct watch_update *w = (struct watch_update *)mail;
        take_routes (m, w->text, w->length, "store");
        watch_update_free (w);
      }
}

static void
on_mail (uv_poll_t *poll, int status, int events)
{
  struct mesh *m = poll->data;
  (void)status;
  (void)events;
  inbox_awake (m->inbox);
  take_mail (m);
}

/* Ask to be woken by mail, or take what came meanwhile.  */
static void
on_before_sleep (uv_prepare_t *prepare)
{
  struct mesh *m = prepare->data;
  while (!inbox_sleep (m->inbox))
    {
      inbox_awake (m->inbox);
      take_mail (m);
    }
}

struct before_me
{
  const char *name;
  unsigned count;
  unsigned nodes;
};

static bool
count_before (void *arg, const struct node_view *view)
{
  struct before_me *b = arg;
  b->nodes++;
  b->count
      += view->state->watch_healthy && strcmp (view->node->name, b->name) < 0;
  return true;
}

static void
choose_watch_wait (struct mesh *m, const struct before_me *b)
{
  unsigned far_ms = b->nodes <= FAR_NODES ? FAR_WAIT_MS
                                          : FAR_WAIT_MS * b->nodes / FAR_NODES;
  m->dialect->set_watch_timeout (
      m->watched, b->count < CLOSE_WATCHERS ? CLOSE_WAIT_MS
                                            : MIN (far_ms, FAR_WAIT_MOST_MS));
}

static void
on_load_timer (uv_timer_t *timer)
{
  struct mesh *m = timer->data;
  struct before_me b = { m->settings->name, 0, 1 };
  nodes_visit (m->nodes, count_before, &b);
  choose_watch_wait (m, &b);
  spread_retry (m->spread);
  router_tick (m->router, b.nodes);
  struct target_load load = egress_load (m->egress, clock_now_ns ());
  uint32_t slots = load.slots > 0 ? load.slots : 1;
  keys_record_load (m->keys, (load.running + load.waiting) * 100 / slots);
}

static void
tell_counters (const struct mesh *m)
{
  char text[COUNT_BYTES];
  counter_growth (text, sizeof text);
  log_event (EV_COUNTED, "node=%s%s", m->settings->name, text);
}

static void
on_count_timer (uv_timer_t *timer)
{
  tell_counters (timer->data);
}

/* Stopping.  */

static void
on_stop_timer (uv_timer_t *timer)
{
  struct mesh *m = timer->data;
  int64_t since_ns = clock_now_ns () - m->stopping_ns;
  bool idle = router_pending_count (m->router) == 0
              && egress_job_count (m->egress) == 0 && keys_has_left (m->keys);
  bool late = since_ns > m->settings->drain_ms * NS_PER_MS;
  if (since_ns > STOP_QUIET_NS)
    {
      router_refuse_new (m->router);
      http_server_close_idle (m->callers);
    }
  if (late)
    router_finish_all (m->router);
  if (late || (idle && since_ns > STOP_QUIET_NS))
    uv_stop (&m->loop);
}

static void
on_term (uv_signal_t *signal, int number)
{
  struct mesh *m = signal->data;
  (void)number;
  if (m->stopping_ns != 0)
    return;
  m->stopping_ns = clock_now_ns ();
  log_event (EV_STOPPING, "node=%s busy=%u", m->settings->name,
             router_pending_count (m->router));
  note_ready (m);
  http_server_drain (m->callers);
  egress_set_shutdown_time (
      m->egress,
      m->stopping_ns + (m->settings->drain_ms - END_MARGIN_MS) * NS_PER_MS);
  keys_leave (m->keys, m->stopping_ns);
  nodes_broadcast_state (m->nodes);
  uv_timer_start (&m->stop_timer, on_stop_timer, STOP_LOOK_MS, STOP_LOOK_MS);
}

static void
on_hup (uv_signal_t *signal, int number)
{
  struct mesh *m = signal->data;
  (void)number;
  /* What the settings hold is fixed for a run; the operators' configuration
     comes from the store.  */
  log_event (EV_RELOADED, "node=%s changed=0", m->settings->name);
}

/* Starting.  */

static enum status
open_parts (struct mesh *m)
{
  struct settings *s = m->settings;
  struct egress_hooks egress_hooks = {
    .arg = m,
    .check_key = may_serve,
    .key_request_started = begin_key,
    .key_request_ended = end_key,
    .key_refused = refused_key,
    .connection_refused = lost_target,
  };
  struct nodes_hooks nodes_hooks = {
    .arg = m,
    .fill_state = fill_state,
    .run_request = run_request,
    .cancel_request = stop_request,
    .get_document = document,
    .on_document = take_document,
    .on_state = state_changed,
    .on_handover = handover,
  };
  m->egress = egress_open (&m->loop, m->dialect, s, &egress_hooks);
  m->owners = owners_new ();
  m->nodes = nodes_open (&m->loop, &m->self, &nodes_hooks);
  m->worker = store_worker_start (m->dialect->open_store (s));
  if (m->nodes == NULL || m->worker == NULL)
    return STATUS_SYSTEM;
  m->spread = spread_new (s, m->nodes, m->owners);
  struct keys_deps keys_deps = { &m->loop,
                                 m->dialect,
                                 s,
                                 m->worker,
                                 m->inbox,
                                 m->nodes,
                                 m->owners,
                                 egress_http_client (m->egress),
                                 spread_request_document,
                                 spread_on_published,
                                 m->spread };
  struct router_deps router_deps
      = { &m->loop,  m->dialect,          s,        m->egress, m->nodes,
          m->owners, spread_on_not_owner, m->spread };
  m->keys = keys_open (&keys_deps);
  spread_set_keys (m->spread, m->keys);
  m->router = router_open (&router_deps);
  return m->keys == NULL ? STATUS_SYSTEM : STATUS_OK;
}

static enum status
open_servers (struct mesh *m)
{
  static const struct http_limits own_limits = FIRST_LIMITS;
  const struct settings *s = m->settings;
  m->callers = http_server_new (&m->loop, &s->callers, &m->limits,
                                router_handle_request, m->router);
  m->operator_ = http_server_new (&m->loop, &s->operator_address, &own_limits,
                                  on_operator_call, m);
  if (m->callers == NULL || m->operator_ == NULL)
    return STATUS_SYSTEM;
  if (s->ready.port != 0)
    m->ready
        = http_server_new (&m->loop, &s->ready, &own_limits, on_ready_call, m);
  if (s->targets.port != 0)
    m->targets = http_server_new (&m->loop, &s->targets, &own_limits,
                                  on_target_call, m);
  if ((s->ready.port != 0 && m->ready == NULL)
      || (s->targets.port != 0 && m->targets == NULL))
    return STATUS_SYSTEM;
  return STATUS_OK;
}

static void
start_events (struct mesh *m)
{
  uv_poll_init (&m->loop, &m->mail, inbox_fd (m->inbox));
  uv_prepare_init (&m->loop, &m->before_sleep);
  uv_timer_init (&m->loop, &m->load_timer);
  uv_timer_init (&m->loop, &m->stop_timer);
  uv_timer_init (&m->loop, &m->count_timer);
  uv_signal_init (&m->loop, &m->term);
  uv_signal_init (&m->loop, &m->hup);
  m->mail.data = m;
  m->before_sleep.data = m;
  m->load_timer.data = m;
  m->stop_timer.data = m;
  m->count_timer.data = m;
  m->term.data = m;
  m->hup.data = m;
  uv_poll_start (&m->mail, UV_READABLE, on_mail);
  uv_prepare_start (&m->before_sleep, on_before_sleep);
  uv_signal_start (&m->term, on_term, SIGTERM);
  uv_signal_start (&m->hup, on_hup, SIGHUP);
  uv_timer_start (&m->load_timer, on_load_timer, LOAD_MS, LOAD_MS);
  uv_timer_start (&m->count_timer, on_count_timer, COUNT_MS, COUNT_MS);
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
  static struct mesh m; /* one a process; too large for the stack */
  m.settings = settings;
  m.dialect = dialect;
  m.limits = (struct http_limits)FIRST_LIMITS;
  signal (SIGPIPE, SIG_IGN);
  log_to_output ();
  log_set_level (settings->log_level);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (dialect->apply_bounds (settings) != STATUS_OK)
    log_event (EV_BOUNDS_UNREAD, "cause=\"%s\"", status_message ());
  uv_loop_init (&m.loop);
  fill_self (&m);
  m.inbox = inbox_new (inbox_capacity (INBOX_ITEMS));
  enum status s = open_parts (&m);
  if (s == STATUS_OK)
    s = open_servers (&m);
  if (s == STATUS_OK)
    {
      m.watched = dialect->open_store (settings);
      m.watcher
          = watcher_start (m.watched, dialect->configuration_key, m.inbox);
      s = m.watcher == NULL ? STATUS_SYSTEM : STATUS_OK;
    }
  if (s != STATUS_OK)
    {
      log_event (EV_START_FAILED, "cause=\"%s\"", status_message ());
      return EXIT_FAILURE;
    }
  log_event (EV_STARTED,
             "node=%s service=%s zone=%s run=%" PRIu64
             " drain_ms=%u hold_max_ms=%u retry_pct=%u retry_stored=%u",
             settings->name, settings->service, settings->zone,
             m.self.start_id, settings->drain_ms, settings->hold_max_ms,
             settings->retry_ratio_pct, settings->retry_stored);
  start_events (&m);
  uv_run (&m.loop, UV_RUN_DEFAULT);
  tell_counters (&m);
  log_event (EV_STOPPED, "node=%s after_ms=%d", settings->name,
             (int)((clock_now_ns () - m.stopping_ns) / NS_PER_MS));
  return EXIT_SUCCESS;
}
