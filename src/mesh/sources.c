#include "mesh/sources.h"

#include "base/clock.h"
#include "base/duration.h"
#include "base/log.h"
#include <inttypes.h>
#include <string.h>

/* Sources that the metrics name one by one.  */
#define METRICS_SOURCES_MAX 8

struct sources
{
  const struct settings *settings;
  struct nodes *nodes;
  struct confirm confirm;
  char last[SETTINGS_NAME_BYTES]; /* who made the newest confirmation */
  bool warned;                    /* that the configuration is not confirmed */
};

struct sources *
sources_new (const struct settings *settings, struct nodes *nodes)
{
  struct sources *s = g_new0 (struct sources, 1);
  s->settings = settings;
  s->nodes = nodes;
  return s;
}

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
  if (state->confirmed.clock_ns == 0)
    return;
  int64_t at_ns
      = nodes_sent_ns (s->nodes, node->name, state->confirmed.clock_ns);
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
  return delay;
}

void
sources_tick (struct sources *s, int64_t now_ns)
{
  int64_t age_ns = confirm_age_ns (&s->confirm, now_ns);
  if (s->warned || s->confirm.version == 0
      || age_ns < s->settings->config_apply_ms * NS_PER_MS)
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
  if (!state->watch_healthy)
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
  int64_t at_ns
      = nodes_sent_ns (scan->sources->nodes, view->node->name, clock_ns);
  g_string_append_printf (
      scan->out,
      "crocusbend_source_confirmed_age_ms{node=\"%s\",version=\"%" PRIu64
      "\"} %" PRId64 "\n",
      view->node->name, view->state->routes_version,
      (scan->now_ns - at_ns) / NS_PER_MS);
  return true;
}

char *
sources_metrics (const struct sources *s, bool watches)
{
  int64_t now_ns = clock_now_ns ();
  const struct confirm *c = &s->confirm;
  struct metrics_scan scan = { s, g_string_new (NULL), now_ns, 0 };
  g_string_append (
      scan.out, "# HELP crocusbend_source_confirmed_age_ms age of the newest "
                "confirmation by each node that watches the store\n"
                "# TYPE crocusbend_source_confirmed_age_ms gauge\n");
  nodes_visit (s->nodes, append_source, &scan);
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
      scan.count, watches, c->version, s->last,
      c->best.at_ns == 0 ? -1 : (now_ns - c->best.at_ns) / NS_PER_MS);
  return g_string_free (scan.out, FALSE);
}
