/* Tests of the wire formats: the dialect of the platform, and the frames
   between nodes.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "lib/ports.h"
#include "lib/standin_http.h"
#include "mesh/evacuations.h"
#include "mesh/frame.h"
#include "own/cell.h"
#include "platform.h"
#include "settings/address.h"
#include "store/store.h"

#define HEARTBEAT_PATH "/-/instances/i-1/heartbeat"
#define OTHER_FIELDS                                                          \
  "\"service_name\":\"s\",\"zone\":\"z\",\"version\":\"v1\","                 \
  "\"capacity_slots\":9,\"warmup_left_ms\":5"

static enum status
read_report (const char *body, struct target_report *report)
{
  enum target_call call;
  return platform_parse_target_call ("POST", HEARTBEAT_PATH, body,
                                     strlen (body), &call, report);
}

static void
heartbeat_is_parsed (void **state)
{
  struct target_report r;
  (void)state;
  assert_int_equal (read_report ("{" OTHER_FIELDS
                                 ",\"address\":\"10.0.0.1:80\","
                                 "\"state\":\"draining\",\"sequence\":7}",
                                 &r),
                    STATUS_OK);
  assert_string_equal (r.id, "i-1");
  assert_string_equal (r.service, "s");
  assert_string_equal (r.address.host, "10.0.0.1");
  assert_int_equal (r.address.port, 80);
  assert_int_equal (r.state, TARGET_DRAINING);
  assert_int_equal (r.sequence, 7);
  assert_int_equal (r.slots, 9);
  assert_int_equal (r.warmup_remaining_ms, 5);
  assert_int_equal (r.started_ms, 0);
}

/* Anything that reaches the address for targets can send heartbeats; one that
   is not valid must be rejected.  */
static void
invalid_heartbeat_is_rejected (void **state)
{
  static const char *const bodies[] = {
    "",
    "nonsense",
    "[]",
    "{" OTHER_FIELDS ",\"address\":\"10.0.0.1:80\",\"state\":\"ready\"}",
    "{" OTHER_FIELDS
    ",\"address\":\"10.0.0.1:80\",\"state\":\"odd\",\"sequence\":1}",
    "{" OTHER_FIELDS
    ",\"address\":\"name:80\",\"state\":\"ready\",\"sequence\":1}",
    "{" OTHER_FIELDS
    ",\"address\":\"10.0.0.1\",\"state\":\"ready\",\"sequence\":1}",
    "{" OTHER_FIELDS ",\"address\":\"10.0.0.1:80\",\"state\":\"ready\","
    "\"sequence\":\"1\"}",
    "{" OTHER_FIELDS ",\"address\":\"10.0.0.1:80\",\"state\":\"ready\","
    "\"sequence\":-1}",
    "{" OTHER_FIELDS ",\"address\":\"10.0.0.1:80\",\"state\":\"ready\","
    "\"sequence\":1,\"born\":1.5}",
    "{" OTHER_FIELDS ",\"address\":\"10.0.0.1:80\",\"state\":\"ready\","
    "\"sequence\":1,\"sequence\":2}",
  };
  struct target_report r;
  (void)state;
  for (size_t i = 0; i < sizeof bodies / sizeof bodies[0]; i++)
    if (read_report (bodies[i], &r) != STATUS_INVALID)
      fail_msg ("accepted: %s", bodies[i]);
}

static void
calls_are_distinguished (void **state)
{
  struct target_report r;
  enum target_call call;
  (void)state;
  assert_int_equal (platform_parse_target_call ("POST",
                                                "/-/instances/i-1/deregister",
                                                "{\"born\":5}", 10, &call, &r),
                    STATUS_OK);
  assert_int_equal (call, TARGET_CALL_WITHDRAW);
  assert_int_equal (r.started_ms, 5);
  assert_int_equal (platform_parse_target_call (
                        "POST", "/-/instances//deregister", "", 0, &call, &r),
                    STATUS_NOT_FOUND);
  assert_int_equal (platform_parse_target_call ("POST",
                                                "/-/instances/a/b/heartbeat",
                                                "{}", 2, &call, &r),
                    STATUS_NOT_FOUND);
  assert_int_equal (
      platform_parse_target_call ("GET", HEARTBEAT_PATH, "", 0, &call, &r),
      STATUS_NOT_FOUND);
}

/* A target's terms in its answer, by the field NAME with VALUE.  */
static enum status
read_terms (const char *name, const char *value, struct target_terms *terms)
{
  struct headers *h = headers_new ();
  memset (terms, 0, sizeof *terms);
  headers_append (h, name, strlen (name), value, strlen (value));
  enum status s = platform_parse_terms (h, terms);
  headers_free (h);
  return s;
}

static void
terms_of_an_answer_are_parsed (void **state)
{
  struct target_terms t;
  (void)state;
  assert_int_equal (read_terms ("Server-Limit", "27.6", &t), STATUS_OK);
  assert_true (t.limited && !t.leaving);
  assert_true (t.rate_max > 27.59 && t.rate_max < 27.61);
  assert_int_equal (read_terms ("crocusbend-server-limit", "0", &t),
                    STATUS_OK);
  assert_true (t.limited && t.rate_max == 0);
  assert_int_equal (read_terms ("Server-Leaving", "1", &t), STATUS_OK);
  assert_true (t.leaving && !t.limited);
  assert_int_equal (read_terms ("Date", "1", &t), STATUS_OK);
  assert_false (t.leaving || t.limited);
}

static void
invalid_terms_are_rejected (void **state)
{
  static const char *const limits[]
      = { "", "-1", "27.6x", "nan", "inf", "1e300" };
  struct target_terms t;
  (void)state;
  for (size_t i = 0; i < sizeof limits / sizeof limits[0]; i++)
    if (read_terms ("Server-Limit", limits[i], &t) != STATUS_INVALID)
      fail_msg ("accepted: %s", limits[i]);
  assert_int_equal (read_terms ("Server-Leaving", "yes", &t), STATUS_INVALID);
}

#define LIMITS                                                                \
  "{\"resource_type\":\"limits\",\"metadata\":{},\"spec\":{"                  \
  "\"max_header_bytes\":1,\"max_body_bytes\":2,\"header_timeout_ms\":3,"      \
  "\"idle_timeout_ms\":4}}"
#define SERVICE                                                               \
  "{\"resource_type\":\"services\",\"metadata\":{\"name\":\"a\"},\"spec\":{"  \
  "\"max_connections\":7,\"sharded\":true}}"
#define ROUTE(target)                                                         \
  "{\"resource_type\":\"routes\",\"metadata\":{\"name\":\"r\"},\"spec\":{"    \
  "\"host\":\"h\",\"prefix\":\"/p/\",\"kind\":\"idempotent\","                \
  "\"timeout_ms\":5,\"target_latency_ms\":6,\"max_attempts\":2," target "}}"

static enum status
read_routes (const char *text, struct routes **routes)
{
  return platform_parse_routes (text, strlen (text), routes);
}

static void
routes_are_parsed (void **state)
{
  struct routes *r = NULL;
  (void)state;
  /* A route may precede the service that it refers to.  */
  assert_int_equal (
      read_routes ("{\"version\":\"r12\",\"entries\":[" ROUTE (
                       "\"weighted_clusters\":[{\"service_name\":\"a\","
                       "\"weight\":90}]") "," SERVICE "," LIMITS "]}",
                   &r),
      STATUS_OK);
  assert_int_equal (r->version, 12);
  const struct route *route = routes_find (r, "h", "/p/x");
  assert_non_null (route);
  assert_int_equal (route->services[0].weight, 90);
  assert_true (route->idempotent);
  assert_true (g_array_index (r->services, struct service_policy, 0).keyed);
  assert_int_equal (r->limits.idle_timeout_ms, 4);
  routes_unref (r);
}

/* Guards against a misread rate, load or health check: a target would get too
   many requests, or its real load would be ignored.  */
static void
warmup_load_and_health_are_parsed (void **state)
{
  static const struct
  {
    const char *service;
    enum status status;
    double rate;
    uint32_t warmup_ms;
    const char *path;
  } services[] = {
    { "", STATUS_OK, 0, 0, "/health" },
    { ",\"warmup_s\":3.0,\"warmup_per_s\":8.1,\"health_path\":\"/h\"",
      STATUS_OK, 8.1, 3000, "/h" },
    { ",\"warmup_per_s\":-1", STATUS_INVALID, 0, 0, NULL },
    { ",\"warmup_s\":\"3\"", STATUS_INVALID, 0, 0, NULL },
    { ",\"health_path\":\"/a b\"", STATUS_INVALID, 0, 0, NULL },
  };
  static const struct
  {
    const char *text;
    enum status status;
    uint32_t slots;
    double pace;
  } loads[] = {
    { "3,0,8", STATUS_OK, 8, -1 },      { "3,0,8,250", STATUS_OK, 8, 250 },
    { "3,0", STATUS_INVALID, 0, 0 },    { "3,0,0", STATUS_INVALID, 0, 0 },
    { "3,0,8,", STATUS_INVALID, 0, 0 }, { "3,0,8,1,1", STATUS_INVALID, 0, 0 },
    { "3,x,8", STATUS_INVALID, 0, 0 },  { "3,0,8,nan", STATUS_INVALID, 0, 0 },
    { "", STATUS_INVALID, 0, 0 },
  };
  (void)state;
  for (size_t i = 0; i < sizeof services / sizeof services[0]; i++)
    {
      struct routes *r = NULL;
      char *text = g_strdup_printf (
          "{\"version\":\"r1\",\"entries\":[" LIMITS
          ",{\"resource_type\":\"services\",\"metadata\":{\"name\":\"a\"},"
          "\"spec\":{\"max_connections\":7%s}}]}",
          services[i].service);
      assert_int_equal (read_routes (text, &r), services[i].status);
      g_free (text);
      if (r == NULL)
        continue;
      const struct service_policy *p = routes_service_policy (r, "a");
      assert_true (p->warmup_rate_max == services[i].rate);
      assert_int_equal (p->warmup_ms, services[i].warmup_ms);
      assert_string_equal (p->health_path, services[i].path);
      routes_unref (r);
    }
  for (size_t i = 0; i < sizeof loads / sizeof loads[0]; i++)
    {
      struct load_figures load = { 0 };
      struct headers *h = headers_new ();
      headers_append (h, "Crocusbend-Server-Load", 22, loads[i].text,
                      strlen (loads[i].text));
      assert_int_equal (platform_parse_load (h, &load), loads[i].status);
      assert_int_equal (load.slots, loads[i].slots);
      assert_int_equal (load.has_pace, loads[i].pace > 0);
      struct target_health health;
      assert_int_equal (platform_parse_health (h, &health), STATUS_INVALID);
      headers_append (h, "Crocusbend-Instance-Id", 22, "i-1", 3);
      headers_append (h, "Crocusbend-Warmup-Ms", 20, "1200", 4);
      assert_int_equal (platform_parse_health (h, &health), STATUS_OK);
      assert_int_equal (health.warmup_remaining_ms, 1200);
      headers_free (h);
    }
}

static void
malformed_routes_are_rejected (void **state)
{
  static const char *const texts[] = {
    "",
    "{}",
    "{\"version\":\"12\",\"entries\":[" LIMITS "]}",
    "{\"version\":\"r12\",\"entries\":[]}",
    "{\"version\":\"r12\",\"entries\":[" LIMITS
    "," ROUTE ("\"service_name\":\"unknown\"") "]}",
    "{\"version\":\"r12\",\"entries\":[" LIMITS "," SERVICE
    ",{\"resource_type\":\"routes\",\"metadata\":{\"name\":\"r\"},"
    "\"spec\":{\"host\":\"h\"}}]}",
  };
  struct routes *r = NULL;
  (void)state;
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    if (read_routes (texts[i], &r) != STATUS_INVALID)
      fail_msg ("accepted: %s", texts[i]);
}

static void
bounds_are_applied_or_refused (void **state)
{
  static struct settings s;
  (void)state;
  settings_defaults (&s);
  strcpy (s.bounds, "{\"hold_max_ms\":7000,\"grace_s\":6,"
                    "\"budget_ratio\":0.2,\"budget_slack\":62}");
  assert_int_equal (platform_dialect ()->apply_bounds (&s), STATUS_OK);
  assert_int_equal (s.hold_max_ms, 7000);
  assert_int_equal (s.drain_ms, 5750);
  assert_int_equal (s.retry_ratio_pct, 20);
  assert_int_equal (s.retry_stored, 3);
  strcpy (s.bounds, "grace_s=6");
  assert_int_equal (platform_dialect ()->apply_bounds (&s), STATUS_INVALID);
  assert_int_equal (s.drain_ms, 5750);
}

static void
request_round_trips_between_nodes (void **state)
{
  struct attempt_request q = {
    .id = "abc",
    .route_hash = 5,
    .idempotent = true,
    .priority = 1,
    .soft_deadline_ns = 1000,
    .deadline_ns = 2000,
    .key = 65535,
    .head = g_string_new ("GET / HTTP/1.1\r\n"),
    .body = g_string_new_len ("a\0b", 3),
  };
  struct target_terms terms
      = { .known = true, .leaving = true, .target_id = "i-1" };
  struct frame f;
  (void)state;
  GString *out = frame_request (77, &q, &terms, 500, 0);
  assert_int_equal (frame_parse (out->str + FRAME_HEADER_BYTES,
                                 out->len - FRAME_HEADER_BYTES, &f),
                    STATUS_OK);
  assert_int_equal (f.kind, FRAME_REQUEST);
  assert_int_equal (f.call_id, 77);
  assert_string_equal (f.request.id, "abc");
  assert_int_equal (f.request.key, 65535);
  /* Times are converted to the receiver's clock, which is ahead by 500 ns.  */
  assert_int_equal (f.request.deadline_ns, 2500);
  assert_int_equal (f.request.body->len, 3);
  assert_true (f.request.terms.leaving);
  assert_true (target_terms_equal (&f.request.terms, &terms));
  attempt_request_clear (&f.request);
  attempt_request_clear (&q);
  g_string_free (out, TRUE);
}

/* RESULT after serialization and parsing.  */
static struct attempt_result
send_result (const struct attempt_result *result)
{
  struct frame_state s = { .clock_ns = 5 };
  struct frame f;
  GString *out = frame_result (3, result, &s);
  assert_int_equal (frame_parse (out->str + FRAME_HEADER_BYTES,
                                 out->len - FRAME_HEADER_BYTES, &f),
                    STATUS_OK);
  g_string_free (out, TRUE);
  return f.result;
}

static void
terms_travel_with_results (void **state)
{
  struct attempt_result r = { .outcome = OUTCOME_ANSWERED,
                              .terms = { .known = true,
                                         .limited = true,
                                         .rate_max = 7.75,
                                         .target_id = "i-1",
                                         .started_ms = 9 } };
  (void)state;
  struct attempt_result got = send_result (&r);
  assert_true (got.terms.known);
  assert_true (target_terms_equal (&got.terms, &r.terms));
  r.terms = (struct target_terms){ .known = true };
  got = send_result (&r);
  assert_true (got.terms.known && !got.terms.limited && !got.terms.leaving);
  r.terms.known = false;
  assert_false (send_result (&r).terms.known);
}

static void
truncated_frames_are_rejected (void **state)
{
  struct frame_state s = { .clock_ns = 5,
                           .load.slots = 9,
                           .load.accepting = true,
                           .load.start_interval_ms = 130 };
  struct frame f;
  (void)state;
  GString *out = frame_state (NULL, false, &s);
  size_t length = out->len - FRAME_HEADER_BYTES;
  const char *bytes = out->str + FRAME_HEADER_BYTES;
  assert_int_equal (frame_parse (bytes, length, &f), STATUS_OK);
  assert_int_equal (f.state.load.slots, 9);
  assert_true (f.state.load.accepting);
  assert_int_equal (f.state.load.start_interval_ms, 130);
  for (size_t truncated_length = 0; truncated_length < length;
       truncated_length++)
    assert_int_equal (frame_parse (bytes, truncated_length, &f),
                      STATUS_INVALID);
  g_string_free (out, TRUE);
}

/* Fields that came later travel behind the identity: a node of an earlier
   version would take them for it, and close the connection.  */
static void
later_state_fields_follow_identity (void **state)
{
  struct frame f;
  struct frame_node node
      = { .name = "n", .address = { "127.0.0.1", 80 }, .start_id = 9 };
  struct frame_state s
      = { .clock_ns = 5,
          .load = { .link_kbps = 10000, .link_wait_ms = 3, .pace_pct = 140 },
          .evacuations = { .version = 7, .digest = UINT64_MAX } };
  struct attempt_result result = attempt_not_run (REASON_QUEUE_FULL, 0);
  (void)state;
  GString *frames[]
      = { frame_state (&node, false, &s), frame_result (3, &result, &s) };
  for (size_t i = 0; i < G_N_ELEMENTS (frames); i++)
    {
      assert_int_equal (frame_parse (frames[i]->str + FRAME_HEADER_BYTES,
                                     frames[i]->len - FRAME_HEADER_BYTES, &f),
                        STATUS_OK);
      assert_int_equal (f.state.evacuations.version, 7);
      assert_true (f.state.evacuations.digest == UINT64_MAX);
      assert_int_equal (f.state.load.link_kbps, 10000);
      assert_int_equal (f.state.load.link_wait_ms, 3);
      assert_int_equal (f.state.load.pace_pct, 140);
      assert_int_equal (f.has_node, i == 0);
      g_string_free (frames[i], TRUE);
    }
}

/* A client of a store that OPS serves, at a port with OFFSET from the run's
   first.  */
static struct store *
open_store (uint16_t offset, const struct standin_ops *ops, void *arg,
            struct standin_http **http)
{
  struct settings settings = { .store_timeout_ms = 1000, .store_count = 1 };
  char listen[32];
  settings.stores[0].port = test_port (offset);
  strcpy (settings.stores[0].host, "127.0.0.1");
  snprintf (listen, sizeof listen, "127.0.0.1:%u", settings.stores[0].port);
  *http = standin_http_new (listen, 1, ops, arg);
  assert_non_null (*http);
  return platform_open_store (&settings);
}

/* The store lists two pages; the only item of the first is invalid.  */

enum
{
  LIST_PORT_OFFSET = 960 /* from the run's first port */
};

static unsigned pages_sent;

static enum standin_action
serve_page (void *arg, struct standin_call *call)
{
  static const char first[]
      = "{\"items\":[{\"key\":\"p/a\"}],\"has_more\":true,\"at\":5}";
  static const char second[]
      = "{\"items\":[{\"key\":\"p/b\",\"value\":\"eA==\","
        "\"revision\":2}],\"has_more\":false,\"at\":5}";
  (void)arg;
  /* After nine pages the list ends in any case, so that a client that repeats
     the first page does not loop forever.  */
  const char *page
      = strstr (call->uri, "after=p%2Fa") != NULL || pages_sent > 8 ? second
                                                                    : first;
  pages_sent++;
  standin_call_answer (call, 200, strdup (page));
  return STANDIN_ANSWER;
}

static bool
collect_key (void *arg, const char *key, const struct store_value *value)
{
  GString *items = arg;
  g_string_append_printf (items, "%s=%.*s ", key, (int)value->length,
                          value->data);
  return true;
}

static void
invalid_item_does_not_block_others (void **state)
{
  static const struct standin_ops ops = { .handle = serve_page };
  struct standin_http *http;
  (void)state;
  struct store *st = open_store (LIST_PORT_OFFSET, &ops, NULL, &http);
  GString *items = g_string_new (NULL);
  assert_int_equal (st->ops->list (st, "p/", collect_key, items), STATUS_OK);
  assert_string_equal (items->str, "p/b=x ");
  assert_int_equal (pages_sent, 2);
  g_string_free (items, TRUE);
  st->ops->free (st);
  standin_http_free (http);
}

/* The store comes back from an older copy, and its revisions pass that of the
   watch again, with a change that the watch would miss.  */

enum
{
  ERA_PORT_OFFSET = 961 /* from the run's first port */
};

static unsigned waits_answered;

static enum standin_action
serve_wait (void *arg, struct standin_call *call)
{
  (void)arg;
  standin_call_answer (call, 200, strdup ("{\"events\":[],\"at\":9}"));
  MHD_add_response_header (call->response, "Store-Era",
                           ++waits_answered < 3 ? "4" : "5");
  return STANDIN_ANSWER;
}

static void
watches_end_with_the_copy_of_the_store (void **state)
{
  static const struct standin_ops ops = { .handle = serve_wait };
  struct standin_http *http;
  int stop = 0;
  (void)state;
  struct store *st = open_store (ERA_PORT_OFFSET, &ops, NULL, &http);
  assert_int_equal (st->ops->watch (st, "op/", 9, collect_key, NULL, &stop),
                    STATUS_STALE);
  assert_int_equal (waits_answered, 3);
  assert_int_equal (st->era, 5);
  st->ops->free (st);
  standin_http_free (http);
}

/* Another writer's entries and check-ins: deeply nested, with a number that is
   too large, or a port out of range.  They are refused, and the process goes
   on.  */

enum
{
  NESTED_LEVELS = 1000000
};

static void
odd_entries_are_refused (void **state)
{
  static const char *const numbers[]
      = { "1e999", "99999999999999999999", "-99999999999999999999" };
  static const char *const addresses[]
      = { "10.0.0.1:65536", "10.0.0.1:0",   "10.0.0.1:-1",
          "10.0.0.1:",      "10.0.0.1:1e3", "10.0.0.1:99999999999999999999" };
  struct target_report r;
  struct settings_address address;
  struct routes *routes = NULL;
  struct cell *cell = NULL;
  struct evacuations_document evacuated;
  enum target_call call;
  char body[512];
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      snprintf (body, sizeof body,
                "{" OTHER_FIELDS ",\"address\":\"10.0.0.1:80\","
                "\"state\":\"ready\",\"sequence\":%s}",
                numbers[i]);
      assert_int_equal (read_report (body, &r), STATUS_INVALID);
      snprintf (body, sizeof body, "{\"version\":%s,\"clock\":1,\"zones\":[]}",
                numbers[i]);
      assert_int_equal (evacuations_parse (body, strlen (body), &evacuated),
                        STATUS_INVALID);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (addresses); i++)
    {
      snprintf (body, sizeof body,
                "{" OTHER_FIELDS ",\"address\":\"%s\","
                "\"state\":\"ready\",\"sequence\":1}",
                addresses[i]);
      assert_int_equal (read_report (body, &r), STATUS_INVALID);
      assert_int_not_equal (settings_address_parse (addresses[i], &address),
                            ADDRESS_VALID);
    }
  for (int k = 0; k < 2; k++)
    {
      GString *nested = g_string_new (k == 0 ? "" : "{\"version\":");
      for (int i = 0; i < NESTED_LEVELS; i++)
        g_string_append_c (nested, '[');
      assert_int_equal (read_report (nested->str, &r), STATUS_INVALID);
      assert_int_equal (
          platform_parse_routes (nested->str, nested->len, &routes),
          STATUS_INVALID);
      assert_int_equal (
          evacuations_parse (nested->str, nested->len, &evacuated),
          STATUS_INVALID);
      assert_int_equal (cell_parse (nested->str, nested->len, &cell),
                        STATUS_INVALID);
      platform_parse_target_call ("POST", "/-/instances/i-1/deregister",
                                  nested->str, nested->len, &call, &r);
      assert_int_equal (r.started_ms, 0);
      g_string_free (nested, TRUE);
    }
}

/* A page of a list whose items have no readable key, and that is said not to
   be the last, ends the list: it cannot be continued.  */

static enum standin_action
serve_page_without_keys (void *arg, struct standin_call *call)
{
  static const char page[]
      = "{\"items\":[{\"key\":7}],\"has_more\":true,\"at\":5}";
  ++*(unsigned *)arg;
  /* So that a client that repeats the page does not loop forever.  */
  standin_call_answer (call, *(unsigned *)arg > 8 ? 503 : 200, strdup (page));
  return STANDIN_ANSWER;
}

static void
list_without_keys_ends (void **state)
{
  static const struct standin_ops ops = { .handle = serve_page_without_keys };
  struct standin_http *http;
  unsigned pages = 0;
  (void)state;
  struct store *st = open_store (ERA_PORT_OFFSET + 1, &ops, &pages, &http);
  assert_int_equal (st->ops->list (st, "p/", collect_key, NULL), STATUS_OK);
  assert_int_equal (pages, 1);
  st->ops->free (st);
  standin_http_free (http);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (heartbeat_is_parsed),
    cmocka_unit_test (invalid_heartbeat_is_rejected),
    cmocka_unit_test (calls_are_distinguished),
    cmocka_unit_test (routes_are_parsed),
    cmocka_unit_test (warmup_load_and_health_are_parsed),
    cmocka_unit_test (malformed_routes_are_rejected),
    cmocka_unit_test (bounds_are_applied_or_refused),
    cmocka_unit_test (request_round_trips_between_nodes),
    cmocka_unit_test (terms_of_an_answer_are_parsed),
    cmocka_unit_test (invalid_terms_are_rejected),
    cmocka_unit_test (terms_travel_with_results),
    cmocka_unit_test (truncated_frames_are_rejected),
    cmocka_unit_test (later_state_fields_follow_identity),
    cmocka_unit_test (invalid_item_does_not_block_others),
    cmocka_unit_test (watches_end_with_the_copy_of_the_store),
    cmocka_unit_test (odd_entries_are_refused),
    cmocka_unit_test (list_without_keys_ends),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
