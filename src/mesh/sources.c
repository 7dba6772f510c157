#include "mesh/sources.h"

#include "base/clock.h"
#include "base/duration.h"
#include "base/log.h"
#include <inttypes.h>
#include <string.h>

/* Sources that the metrics name one by one.  */
#define METRICS_SOURCES_MAX 8

/* A document that was requested and has not come is requested again after this
   time, which many transfers of large documents over one link may take.  */
#define FETCH_INTERVAL_NS (400 * NS_PER_MS)
/* How long a node waits for a node of its own zone to announce a version that
   it knows from another zone.  */
#define SAME_ZONE_WAIT_NS (100 * NS_PER_MS)

struct sources
{
  struct sources_deps deps;
  struct confirm_times times;
  struct confirm confirm;
  uv_timer_t timer; /* active while the watch is suspended */
  uv_timer_t fetch_timer;
  bool watches;
  char last[SETTINGS_NAME_BYTES]; /* who made the newest confirmation */
  bool warned;                    /* that the configuration is not confirmed */
  int64_t requested_ns;           /* when a document was last requested */
  struct settings_address other_zone; /* a node that has the version */
};

static void on_timer (uv_timer_t *timer);

/* The watch.  */

struct zone_scan
{
  const struct sources *sources;
  struct confirm_group group;
  unsigned zone_nodes;
  int64_t now_ns;
};

static bool
is_same_zone (const struct sources *s, const struct frame_node *node)
{
  return strcmp (node->zone, s->deps.settings->zone) == 0;
}

static bool
count_zone_node (void *arg, const struct node_view *view)
{
  struct zone_scan *scan = arg;
  scan->zone_nodes += is_same_zone (scan->sources, view->node);
  return true;
}

static bool
count_group_node (void *arg, const struct node_view *view)
{
  struct zone_scan *scan = arg;
  int64_t clock_ns = view->state->confirmed.clock_ns;
  if (is_same_zone (scan->sources, view->node))
    confirm_group_add (&scan->group, view->node->name,
                       clock_ns == 0 ? 0 : clock_ns - view->clock_offset_ns,
                       &scan->sources->times, scan->now_ns);
  return true;
}

static struct confirm_group
scan_group (const struct sources *s, int64_t now_ns)
{
  struct zone_scan scan
      = { s, { .own_name = s->deps.settings->name, .nodes = 1 }, 1, now_ns };
  nodes_visit (s->deps.nodes, count_zone_node, &scan);
  scan.group.parts = confirm_parts (scan.zone_nodes);
  nodes_visit (s->deps.nodes, count_group_node, &scan);
  return scan.group;
}

static void
set_watch (struct sources *s, bool watch, int64_t now_ns)
{
  if (watch == s->watches)
    return;
  s->watches = watch;
  log_event (watch ? EV_WATCH_RESUMED : EV_WATCH_SUSPENDED,
             "version=%" PRIu64 " age_ms=%d last=%s", s->confirm.version,
             (int)(confirm_age_ns (&s->confirm, now_ns) / NS_PER_MS), s->last);
  s->deps.set_watch (s->deps.arg, watch, &s->confirm.best);
}

static void
update_watch (struct sources *s, int64_t now_ns)
{
  struct confirm_group group = scan_group (s, now_ns);
  set_watch (s,
             confirm_should_watch (&s->confirm, &group, &s->times, s->watches,
                                   now_ns),
             now_ns);
  if (s->watches)
    return;
  int64_t due_ns = confirm_ask_ns (&group, &s->times)
                   - confirm_age_ns (&s->confirm, now_ns);
  uv_timer_start (&s->timer, on_timer, (uint64_t)(due_ns / NS_PER_MS) + 1, 0);
}

static void
on_timer (uv_timer_t *timer)
{
  update_watch (timer->data, clock_now_ns ());
}

static bool
is_group_member (void *arg, const char *name)
{
  const struct confirm_group *g = arg;
  return confirm_same_group (g->own_name, name, g->parts);
}

static void
report_to_group (const struct sources *s, int64_t now_ns)
{
  struct confirm_group group = scan_group (s, now_ns);
  nodes_broadcast_group_state (s->deps.nodes, is_group_member, &group);
}

/* The document.  */

static void
request (struct sources *s, const struct settings_address *from,
         int64_t now_ns)
{
  if (s->requested_ns != 0 && now_ns < s->requested_ns + FETCH_INTERVAL_NS)
    return;
  if (nodes_request_document (s->deps.nodes, from, FRAME_DOCUMENT_ROUTES))
    s->requested_ns = now_ns;
}

static void
on_fetch_timer (uv_timer_t *timer)
{
  struct sources *s = timer->data;
  if (s->confirm.announced > s->confirm.version)
    request (s, &s->other_zone, clock_now_ns ());
}

static void
on_announced (struct sources *s, const struct frame_node *node, int64_t now_ns)
{
  int64_t wait_ns = s->confirm.announced_ns + SAME_ZONE_WAIT_NS - now_ns;
  if (is_same_zone (s, node) || wait_ns <= 0)
    {
      request (s, &node->address, now_ns);
      return;
    }
  s->other_zone = node->address;
  if (!uv_is_active ((uv_handle_t *)&s->fetch_timer))
    uv_timer_start (&s->fetch_timer, on_fetch_timer,
                    (uint64_t)(wait_ns / NS_PER_MS) + 1, 0);
}

struct sources *
sources_new (const struct sources_deps *deps)
{
  struct sources *s = g_new0 (struct sources, 1);
  s->deps = *deps;
  s->times = confirm_times (deps->settings->config_apply_ms);
  s->watches = true;
  uv_timer_init (deps->loop, &s->timer);
  uv_timer_init (deps->loop, &s->fetch_timer);
  s->timer.data = s;
  s->fetch_timer.data = s;
  return s;
}

uint32_t
sources_wait_ms (const struct sources *s)
{
  return (uint32_t)(s->times.wait_ns / NS_PER_MS);
}

/* Confirmations.  */

/* Add the confirmation N by the node FROM.  */
static void
add_confirmation (struct sources *s, const struct confirmation *n, bool own,
                  const char *from, int64_t now_ns)
{
  int64_t before_ns = s->confirm.best.at_ns;
  int64_t age_ns = confirm_age_ns (&s->confirm, now_ns);
  confirm_add (&s->confirm, n, own);
  if (s->confirm.best.at_ns == before_ns)
    return;
  g_strlcpy (s->last, from, sizeof s->last);
  if (before_ns != 0)
    duration_add (DURATION_routes_unconfirmed, age_ns);
  if (s->warned)
    log_event (EV_ROUTES_CONFIRMED, "version=%" PRIu64 " by=%s after_ms=%d",
               s->confirm.version, from, (int)(age_ns / NS_PER_MS));
  s->warned = false;
}

void
sources_on_store (struct sources *s, const struct watch_update *w,
                  int64_t now_ns)
{
  struct confirmation n = { s->confirm.version, MIN (w->confirmed_ns, now_ns),
                            w->revision, w->era };
  add_confirmation (s, &n, true, "store", now_ns);
  if (s->watches)
    report_to_group (s, now_ns);
}

void
sources_on_state (struct sources *s, const struct frame_node *node,
                  const struct frame_state *state, int64_t now_ns)
{
  if (confirm_announce (&s->confirm, state->routes_version, now_ns))
    log_event (EV_ROUTES_ANNOUNCED,
               "version=%" PRIu64 " from=%s in_force=%" PRIu64
               " confirmed_ms=%d",
               state->routes_version, node->name, s->confirm.version,
               s->confirm.best.at_ns == 0
                   ? -1
                   : (int)((now_ns - s->confirm.best.at_ns) / NS_PER_MS));
  if (state->routes_version > s->confirm.version)
    on_announced (s, node, now_ns);
  if (state->confirmed.clock_ns == 0)
    return;
  int64_t at_ns
      = nodes_sent_ns (s->deps.nodes, node->name, state->confirmed.clock_ns);
  struct confirmation n = { state->routes_version, MIN (at_ns, now_ns),
                            state->confirmed.revision, state->confirmed.era };
  add_confirmation (s, &n, false, node->name, now_ns);
}

struct confirm_delay
sources_on_applied (struct sources *s, uint64_t version, int64_t now_ns)
{
  struct confirm_delay delay = confirm_apply (&s->confirm, version, now_ns);
  if (delay.late_ns != 0)
    duration_add (DURATION_routes_late, delay.late_ns);
  if (delay.announced_ns != 0)
    duration_add (DURATION_routes_fetch, delay.announced_ns);
  s->requested_ns = 0;
  return delay;
}

void
sources_tick (struct sources *s, int64_t now_ns)
{
  int64_t age_ns = confirm_age_ns (&s->confirm, now_ns);
  update_watch (s, now_ns);
  if (s->warned || s->confirm.version == 0
      || age_ns < s->deps.settings->config_apply_ms * NS_PER_MS)
    return;
  s->warned = true;
  log_event (EV_ROUTES_UNCONFIRMED,
             "version=%" PRIu64 " age_ms=%d last=%s announced=%" PRIu64,
             s->confirm.version,
             s->confirm.best.at_ns == 0 ? -1 : (int)(age_ns / NS_PER_MS),
             s->last, s->confirm.announced);
}

void
sources_fill_state (const struct sources *s, struct frame_state *state)
{
  state->confirmed = (struct frame_confirmation){ 0 };
  if (!s->watches || !state->watch_healthy)
    return;
  state->confirmed.clock_ns = s->confirm.own.at_ns;
  state->confirmed.revision = s->confirm.own.revision;
  state->confirmed.era = s->confirm.own.era;
}

/* Metrics.  */

struct metrics_scan
{
  const struct sources *sources;
  GString *out;
  int64_t now_ns;
  unsigned count;
};

static bool
append_source (void *arg, const struct node_view *view)
{
  struct metrics_scan *scan = arg;
  int64_t clock_ns = view->state->confirmed.clock_ns;
  if (clock_ns == 0)
    return true;
  scan->count++;
  if (scan->count > METRICS_SOURCES_MAX)
    return true;
  int64_t at_ns = clock_ns - view->clock_offset_ns;
  g_string_append_printf (
      scan->out,
      "crocusbend_source_confirmed_age_ms{node=\"%s\",version=\"%" PRIu64
      "\"} %" PRId64 "\n",
      view->node->name, view->state->routes_version,
      (scan->now_ns - at_ns) / NS_PER_MS);
  return true;
}

char *
sources_metrics (const struct sources *s, bool answered)
{
  int64_t now_ns = clock_now_ns ();
  const struct confirm *c = &s->confirm;
  struct metrics_scan scan = { s, g_string_new (NULL), now_ns, 0 };
  g_string_append (
      scan.out, "# HELP crocusbend_source_confirmed_age_ms age of the newest "
                "confirmation by each node that watches the store\n"
                "# TYPE crocusbend_source_confirmed_age_ms gauge\n");
  nodes_visit (s->deps.nodes, append_source, &scan);
  g_string_append_printf (
      scan.out,
      "# HELP crocusbend_sources other nodes that watch the store\n"
      "# TYPE crocusbend_sources gauge\n"
      "crocusbend_sources %u\n"
      "# HELP crocusbend_watches_store whether this node watches the store "
      "and was answered\n"
      "# TYPE crocusbend_watches_store gauge\n"
      "crocusbend_watches_store %d\n"
      "# HELP crocusbend_routes_version version of the configuration in "
      "force\n"
      "# TYPE crocusbend_routes_version gauge\n"
      "crocusbend_routes_version %" PRIu64 "\n"
      "# HELP crocusbend_routes_confirmed_age_ms time since the store last "
      "confirmed it, -1: never\n"
      "# TYPE crocusbend_routes_confirmed_age_ms gauge\n"
      "crocusbend_routes_confirmed_age_ms{by=\"%s\"} %" PRId64 "\n",
      scan.count, s->watches && answered, c->version, s->last,
      c->best.at_ns == 0 ? -1 : (now_ns - c->best.at_ns) / NS_PER_MS);
  return g_string_free (scan.out, FALSE);
}
