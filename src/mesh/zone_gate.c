#include "mesh/zone_gate.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "mesh/pack.h"
#include <inttypes.h>
#include <string.h>

/* Minimum time between two requests for the set: some round trips.  */
#define FETCH_INTERVAL_NS (100 * NS_PER_MS)
/* Bad names that are remembered, so that each is reported once.  */
#define REPORTED_MAX 256

struct zone_gate
{
  struct zone_gate_deps deps;
  struct evacuations set;
  uv_timer_t timer;
  enum evacuations_phase phase; /* of the own zone, as last applied */
  enum keys_plan keys_plan;     /* as last applied */
  GString *packed;
  GHashTable *reported; /* bad names */
  int64_t fetched_ns;   /* when the set was last requested */
};

static void apply_phase (struct zone_gate *z, int64_t now_ns);

static const char *
own_zone (const struct zone_gate *z)
{
  return z->deps.settings->zone;
}

enum evacuations_phase
zone_gate_phase (const struct zone_gate *z, int64_t now_ns)
{
  return evacuations_phase (&z->set, own_zone (z), now_ns);
}

bool
zone_gate_is_evacuated (const struct zone_gate *z, const char *zone)
{
  return evacuations_contains (&z->set, zone);
}

static enum keys_plan
choose_keys_plan (const struct zone_gate *z, int64_t now_ns)
{
  switch (zone_gate_phase (z, now_ns))
    {
    case EVACUATIONS_OPEN:
      return KEYS_JOIN;
    case EVACUATIONS_CLOSING:
    case EVACUATIONS_CLOSED:
      return keys_can_hand_over (z->deps.keys) ? KEYS_LEAVE : KEYS_STAY;
    default:
      return KEYS_STAY;
    }
}

enum keys_plan
zone_gate_keys_plan (const struct zone_gate *z)
{
  return z->keys_plan;
}

static void
on_timer (uv_timer_t *timer)
{
  apply_phase (timer->data, clock_now_ns ());
}

static void
arm_timer (struct zone_gate *z, int64_t now_ns)
{
  int64_t at_ns = evacuations_next_ns (&z->set, own_zone (z), now_ns);
  if (at_ns == INT64_MAX)
    uv_timer_stop (&z->timer);
  else
    uv_timer_start (&z->timer, on_timer,
                    (uint64_t)((at_ns - now_ns) / NS_PER_MS) + 1, 0);
}

static void
log_closed (const struct zone_gate *z, uint32_t refused)
{
  log_event (EV_EVACUATION_CLOSED,
             "zone=%s version=%" PRIu64 " phase=%s running=%u waiting=%u",
             own_zone (z), z->set.stamp.version,
             evacuations_phase_name (z->phase),
             egress_running (z->deps.egress), refused);
}

/* Apply the phase and the plan for the keys, if they have changed.  */
static void
apply_phase (struct zone_gate *z, int64_t now_ns)
{
  enum evacuations_phase before = z->phase;
  enum keys_plan plan_before = z->keys_plan;
  z->phase = zone_gate_phase (z, now_ns);
  z->keys_plan = choose_keys_plan (z, now_ns);
  arm_timer (z, now_ns);
  if (z->phase == before && z->keys_plan == plan_before)
    return;
  bool sent_before
      = before == EVACUATIONS_OPEN || before == EVACUATIONS_CLOSING;
  if (sent_before
      && (z->phase == EVACUATIONS_CLOSED || z->phase == EVACUATIONS_UNKNOWN))
    log_closed (z, egress_refuse_waiting (z->deps.egress));
  if (z->phase == EVACUATIONS_CLOSING && z->keys_plan == KEYS_STAY
      && keys_count_owned (z->deps.keys) > 0)
    log_event (EV_EVACUATION_KEYS_KEPT, "zone=%s keys=%u", own_zone (z),
               keys_count_owned (z->deps.keys));
  z->deps.changed (z->deps.arg);
  if (z->phase == EVACUATIONS_REOPENING && before != EVACUATIONS_REOPENING
      && z->deps.reopening != NULL)
    z->deps.reopening (z->deps.arg);
}

/* The set.  */

static void
log_new_zone (const struct zone_gate *z, const struct evacuated_zone *zone,
              const char *from, int64_t now_ns)
{
  bool own = strcmp (zone->name, own_zone (z)) == 0;
  log_event (
      EV_ZONE_EVACUATED,
      "zone=%s version=%" PRIu64 " from=%s age_ms=%d own=%d keys=%u "
      "waiting=%u",
      zone->name, z->set.stamp.version, from,
      zone->known_ns == 0 ? -1 : (int)((now_ns - zone->known_ns) / NS_PER_MS),
      own, own ? keys_count_owned (z->deps.keys) : 0,
      own ? egress_waiting (z->deps.egress) : 0);
}

/* The set was replaced; BEFORE is the earlier one.  */
static void
apply_set (struct zone_gate *z, const struct evacuations *before,
           const char *from, int64_t now_ns)
{
  if (z->set.stamp.digest != before->stamp.digest)
    {
      for (unsigned i = 0; i < z->set.count; i++)
        if (!evacuations_contains (before, z->set.zones[i].name))
          log_new_zone (z, &z->set.zones[i], from, now_ns);
      for (unsigned i = 0; i < before->count; i++)
        if (!evacuations_contains (&z->set, before->zones[i].name))
          log_event (EV_EVACUATION_ENDED,
                     "zone=%s version=%" PRIu64 " from=%s",
                     before->zones[i].name, z->set.stamp.version, from);
      keys_zones_changed (z->deps.keys);
    }
  apply_phase (z, now_ns);
}

/* Whether NAME can be the name of a zone.  One that cannot is reported
   once.  */
static bool
check_name (struct zone_gate *z, const char *name, bool fits)
{
  if (fits && evacuations_is_valid_name (name))
    return true;
  if (g_hash_table_contains (z->reported, name)
      || g_hash_table_size (z->reported) >= REPORTED_MAX)
    return false;
  g_hash_table_add (z->reported, g_strdup (name));
  counter_add (COUNTER_evacuation_items_bad_total, 1);
  log_event (EV_EVACUATION_ITEM_BAD, "key=%s%.100s cause=%s",
             z->deps.key_prefix, name, fits ? "name" : "number");
  return false;
}

static int
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

void
zone_gate_on_store (struct zone_gate *z, const struct watch_update *w)
{
  const char *names[EVACUATIONS_ZONES_MAX];
  unsigned count = 0;
  int64_t now_ns = clock_now_ns ();
  struct evacuations before = z->set;
  g_ptr_array_sort (w->zones, compare_names);
  for (guint i = 0; i < w->zones->len; i++)
    {
      const char *name = g_ptr_array_index (w->zones, i);
      if (check_name (z, name, count < EVACUATIONS_ZONES_MAX))
        names[count++] = name;
    }
  if (!evacuations_update (&z->set, names, count, (uint64_t)w->revision,
                           w->asked_ns, now_ns))
    return;
  apply_set (z, &before, "store", now_ns);
  if (z->set.stamp.digest != before.stamp.digest)
    nodes_broadcast_state (z->deps.nodes);
}

void
zone_gate_on_state (struct zone_gate *z, const struct frame_node *node,
                    const struct frame_state *state)
{
  int64_t now_ns = clock_now_ns ();
  if (z->set.close_ns == 0)
    return;
  int64_t confirmed_ns = state->confirmed.clock_ns == 0
                             ? 0
                             : nodes_sent_ns (z->deps.nodes, node->name,
                                              state->confirmed.clock_ns);
  if (!evacuations_on_stamp (&z->set, &state->evacuations, confirmed_ns)
      || now_ns < z->fetched_ns + FETCH_INTERVAL_NS)
    return;
  z->fetched_ns = now_ns;
  nodes_request_document (z->deps.nodes, &node->address,
                          FRAME_DOCUMENT_EVACUATIONS);
}

void
zone_gate_on_document (struct zone_gate *z, const struct frame_node *node,
                       const char *text, size_t length)
{
  struct evacuations_document document;
  struct evacuations before = z->set;
  int64_t now_ns = clock_now_ns ();
  if (z->set.close_ns == 0)
    return;
  if (evacuations_parse (text, length, &document) != STATUS_OK)
    {
      log_event (EV_DOCUMENT_REFUSED, "from=%s cause=\"%s\"", node->name,
                 status_message ());
      return;
    }
  int64_t sent_ns
      = nodes_sent_ns (z->deps.nodes, node->name, document.clock_ns);
  if (!evacuations_merge (&z->set, &document, sent_ns, now_ns))
    return;
  apply_set (z, &before, node->name, now_ns);
}

const char *
zone_gate_document (struct zone_gate *z, size_t *length)
{
  if (z->packed != NULL)
    g_string_free (z->packed, TRUE);
  z->packed = NULL;
  *length = 0;
  if (z->set.stamp.version == 0)
    return NULL;
  GString *text = evacuations_format (&z->set, clock_now_ns ());
  z->packed = pack (text->str, text->len);
  g_string_free (text, TRUE);
  *length = z->packed->len;
  return z->packed->str;
}

void
zone_gate_fill_state (const struct zone_gate *z, struct frame_state *state)
{
  state->evacuations = evacuations_report (&z->set, state->clock_ns);
}

void
zone_gate_tick (struct zone_gate *z, bool has_others)
{
  if (z->set.close_ns == 0)
    return;
  z->set.has_others = has_others;
  apply_phase (z, clock_now_ns ());
}

void
zone_gate_end_reopening (struct zone_gate *z)
{
  evacuations_end_reopening (&z->set, own_zone (z));
  apply_phase (z, clock_now_ns ());
}

char *
zone_gate_metrics (const struct zone_gate *z)
{
  if (z->set.close_ns == 0)
    return g_strdup ("");
  return g_strdup_printf (
      "# HELP crocusbend_evacuated_zones evacuated zones that are known\n"
      "# TYPE crocusbend_evacuated_zones gauge\n"
      "crocusbend_evacuated_zones{own=\"%s\"} %u\n",
      evacuations_phase_name (zone_gate_phase (z, clock_now_ns ())),
      z->set.count);
}

struct zone_gate *
zone_gate_open (const struct zone_gate_deps *deps)
{
  struct zone_gate *z = g_new0 (struct zone_gate, 1);
  z->deps = *deps;
  evacuations_init (&z->set, deps->settings->evacuation_close_ms);
  z->phase = zone_gate_phase (z, clock_now_ns ());
  z->keys_plan = choose_keys_plan (z, clock_now_ns ());
  z->reported = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  uv_timer_init (deps->loop, &z->timer);
  z->timer.data = z;
  return z;
}
