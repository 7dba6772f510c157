/* Tests of request lines, the ownership map and the retry policy.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "lib/ports.h"
#include "route/http_exchange.h"
#include "route/map.h"
#include "route/policy.h"
#include "route/request_line.h"

static void
request_lines_are_parsed (void **state)
{
  char service[64];
  char key[REQUEST_KEY_BYTES];
  (void)state;
  static const struct
  {
    const char *uri;
    const char *service; /* NULL: the request line is refused */
    const char *key;
  } cases[] = {
    { "/v1/telemetry/cell-7", "telemetry", "cell-7" },
    { "/v1/telemetry/cell-7/log?from=1", "telemetry", "cell-7" },
    { "/v1/stock-app/size%2F31", "stock-app", "size/31" },
    { "/v1/stock-app/", NULL, NULL },
    { "/v1/stock-app", NULL, NULL },
    { "/v1//key", NULL, NULL },
    { "/v2/stock-app/key", NULL, NULL },
    { "/v1/Stock/key", NULL, NULL },
    { "/v1/stock-app/a%00b", NULL, NULL },
    { "/v1/stock-app/a%zz", NULL, NULL },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      bool good = request_line_split (cases[i].uri, service, sizeof service,
                                      key, sizeof key);
      assert_int_equal (good, cases[i].service != NULL);
      if (!good)
        continue;
      assert_string_equal (service, cases[i].service);
      assert_string_equal (key, cases[i].key);
    }
}

static void
headers_are_validated (void **state)
{
  bool idempotent;
  uint32_t ms = 77;
  (void)state;
  assert_true (request_line_parse_idempotent (NULL, "GET", &idempotent));
  assert_true (idempotent);
  assert_true (request_line_parse_idempotent (NULL, "POST", &idempotent));
  assert_false (idempotent);
  assert_true (request_line_parse_idempotent ("yes", "POST", &idempotent));
  assert_true (idempotent);
  assert_false (
      request_line_parse_idempotent ("perhaps", "POST", &idempotent));
  assert_true (request_line_parse_deadline (NULL, 100, &ms));
  assert_int_equal (ms, 77);
  assert_true (request_line_parse_deadline ("100", 100, &ms));
  assert_int_equal (ms, 100);
  assert_false (request_line_parse_deadline ("101", 100, &ms));
  assert_false (request_line_parse_deadline ("0", 100, &ms));
  assert_false (request_line_parse_deadline ("5x", 100, &ms));
  assert_false (request_line_is_name ("Upper"));
  assert_false (request_line_is_name (""));
}

struct fixture
{
  struct map *map;
  struct map_view *view;
};

static const char key[] = "line-3";

static void
set_up (struct fixture *f)
{
  f->map = map_new ();
  f->view = calloc (1, sizeof *f->view);
  f->view->revision = 1;
  f->view->self_incarnation = 7;
  f->view->slot_count = 16;
  f->view->member_count = 2;
  f->view->members[0].incarnation = 7;
  f->view->members[1].incarnation = 8;
  strcpy (f->view->members[1].peer_address, "127.0.0.1:9");
  for (unsigned i = 0; i < 16; i++)
    f->view->slots[i] = (struct map_ownership){ 7, 1, 0 };
}

static void
tear_down (struct fixture *f)
{
  map_free (f->map);
  free (f->view);
}

static void
no_request_begins_without_a_lease (void **state)
{
  struct fixture f;
  struct owner owner;
  enum reason reason;
  (void)state;
  set_up (&f);
  assert_int_equal (map_begin_request (f.map, key, 5, &owner, &reason),
                    STATUS_NOT_FOUND);
  map_install_view (f.map, f.view, 1);
  assert_int_equal (map_begin_request (f.map, key, 5, &owner, &reason),
                    STATUS_STALE);
  assert_int_equal (reason, REASON_LEASE_LAPSED);
  map_set_lease_until (f.map, 10);
  assert_int_equal (map_begin_request (f.map, key, 9, &owner, &reason),
                    STATUS_OK);
  assert_true (map_may_send (f.map, &owner, 9));
  assert_false (map_may_send (f.map, &owner, 10));
  map_end_request (f.map, &owner);
  assert_int_equal (map_begin_request (f.map, key, 10, &owner, &reason),
                    STATUS_STALE);
  tear_down (&f);
}

static void
requests_of_an_old_incarnation_may_not_be_sent (void **state)
{
  struct fixture f;
  struct owner owner;
  enum reason reason;
  (void)state;
  set_up (&f);
  map_install_view (f.map, f.view, 1);
  map_set_lease_until (f.map, INT64_MAX);
  assert_int_equal (map_begin_request (f.map, key, 9, &owner, &reason),
                    STATUS_OK);
  f.view->self_incarnation = 9;
  f.view->members[0].incarnation = 9;
  map_install_view (f.map, f.view, 1);
  assert_false (map_may_send (f.map, &owner, 9));
  map_end_request (f.map, &owner);
  tear_down (&f);
}

static void
closed_slots_drain_and_follow_their_new_owner (void **state)
{
  struct fixture f;
  struct owner owner;
  struct owner late;
  enum reason reason;
  (void)state;
  set_up (&f);
  map_install_view (f.map, f.view, 1);
  map_set_lease_until (f.map, INT64_MAX);
  assert_int_equal (map_begin_request (f.map, key, 1, &owner, &reason),
                    STATUS_OK);
  map_close_slots (f.map, owner.slot, 1);
  assert_int_equal (map_begin_request (f.map, key, 1, &late, &reason),
                    STATUS_STALE);
  assert_int_equal (reason, REASON_MOVING);
  assert_int_equal (map_in_flight (f.map, owner.slot, 1), 1);
  assert_true (map_may_send (f.map, &owner, 1));
  map_end_request (f.map, &owner);
  assert_int_equal (map_in_flight (f.map, owner.slot, 1), 0);
  f.view->slots[owner.slot] = (struct map_ownership){ 8, 2, 0 };
  map_install_view (f.map, f.view, 1);
  assert_int_equal (map_begin_request (f.map, key, 1, &late, &reason),
                    STATUS_STALE);
  assert_int_equal (reason, REASON_NOT_OWNER);
  assert_int_equal (map_find_owner (f.map, key, &late), STATUS_OK);
  assert_string_equal (late.peer_address, "127.0.0.1:9");
  tear_down (&f);
}

/* A slot that is closed for the handover of a key pinned at this node stays
   closed when the slot itself moves from another member to this one or changes
   its epoch.  */
static void
a_closed_pinned_key_stays_closed_while_its_slot_moves (void **state)
{
  struct fixture f;
  struct owner owner;
  enum reason reason;
  (void)state;
  set_up (&f);
  f.view->pin_count = 1;
  strcpy (f.view->pins[0].key, key);
  f.view->pins[0].ownership
      = (struct map_ownership){ f.view->self_incarnation, 5, 0 };
  uint32_t slot = request_slot (key, f.view->slot_count);
  f.view->slots[slot] = (struct map_ownership){ 8, 2, 0 };
  map_install_view (f.map, f.view, 1);
  map_set_lease_until (f.map, INT64_MAX);
  map_close_slots (f.map, slot, 1);
  f.view->slots[slot]
      = (struct map_ownership){ f.view->self_incarnation, 6, 0 };
  map_install_view (f.map, f.view, 2);
  assert_int_equal (map_begin_request (f.map, key, 1, &owner, &reason),
                    STATUS_STALE);
  assert_int_equal (reason, REASON_MOVING);
  f.view->slots[slot].epoch = 7;
  map_install_view (f.map, f.view, 3);
  assert_int_equal (map_begin_request (f.map, key, 1, &owner, &reason),
                    STATUS_STALE);
  map_open_slots (f.map, slot, 1);
  assert_int_equal (map_begin_request (f.map, key, 1, &owner, &reason),
                    STATUS_OK);
  map_end_request (f.map, &owner);
  tear_down (&f);
}

static void
pins_override_slots (void **state)
{
  struct fixture f;
  struct owner owner;
  (void)state;
  set_up (&f);
  f.view->pin_count = 1;
  strcpy (f.view->pins[0].key, key);
  f.view->pins[0].ownership = (struct map_ownership){ 8, 5, 0 };
  map_install_view (f.map, f.view, 1);
  assert_int_equal (map_find_owner (f.map, key, &owner), STATUS_OK);
  assert_int_equal (owner.incarnation, 8);
  assert_int_equal (owner.epoch, 5);
  assert_int_equal (map_find_owner (f.map, "line-4", &owner), STATUS_OK);
  assert_int_equal (owner.incarnation, 7);
  tear_down (&f);
}

static enum policy_verdict
decide (struct retry_budget *b, enum outcome outcome, enum reason reason,
        bool idempotent, int64_t now_ns)
{
  struct policy_input c = {
    .outcome = outcome,
    .reason = reason,
    .idempotent = idempotent,
    .target_attempts = 1,
    .deadline_ns = NS_PER_S,
  };
  return policy_decide (b, &c, now_ns).verdict;
}

static void
only_safe_attempts_are_repeated (void **state)
{
  struct retry_budget b;
  (void)state;
  policy_init (&b);
  for (unsigned i = 0; i < 100; i++)
    retry_deposit (&b);
  assert_int_equal (
      decide (&b, OUTCOME_UNKNOWN, REASON_TARGET_CLOSED, false, 1),
      POLICY_GIVE_UP);
  assert_int_equal (decide (&b, OUTCOME_UNKNOWN, REASON_OWNER_LOST, true, 1),
                    POLICY_RESEND);
  assert_int_equal (decide (&b, OUTCOME_NOT_RUN, REASON_MOVING, false, 1),
                    POLICY_FIND_OWNER);
  assert_int_equal (
      decide (&b, OUTCOME_NOT_RUN, REASON_MOVING, false, NS_PER_S),
      POLICY_GIVE_UP);
  assert_int_equal (decide (&b, OUTCOME_NOT_RUN, REASON_TARGET_BUSY, true, 1),
                    POLICY_GIVE_UP);
}

/* With a target that fails every request there are at most 1.1 sends for each
   request.  */
static void
retries_are_bounded_by_the_budget (void **state)
{
  struct retry_budget b;
  unsigned requests = 100000;
  unsigned retries = 0;
  (void)state;
  policy_init (&b);
  for (unsigned i = 0; i < requests; i++)
    {
      retry_deposit (&b);
      while (decide (&b, OUTCOME_UNKNOWN, REASON_TARGET_CLOSED, true, 1)
             == POLICY_RESEND)
        retries++;
    }
  assert_true (retries <= requests / 10);
  assert_true (retries > requests / 20);
}

/* A target that stops within the head of its answer and closes: the answer is
   not complete, although libcurl returns the status line's code and no error.
 */

enum
{
  TARGET_PORT_OFFSET = 970 /* from the run's first port */
};

struct brief_target
{
  int listener;
  const char *answer;
};

static void *
answer_once (void *arg)
{
  const struct brief_target *t = arg;
  char request[4096];
  int fd = accept (t->listener, NULL, NULL);
  if (recv (fd, request, sizeof request, 0) > 0)
    send (fd, t->answer, strlen (t->answer), MSG_NOSIGNAL);
  close (fd);
  return NULL;
}

static CURLcode
exchange_with (struct brief_target *t, const struct settings *settings,
               struct fixture *f)
{
  struct request request = { .method = "GET", .path = "/v1/s/k" };
  struct owner owner = { .incarnation = 7 };
  struct http_exchange e = {
    .settings = settings, .map = f->map, .request = &request, .owner = &owner
  };
  pthread_t thread;
  pthread_create (&thread, NULL, answer_once, t);
  assert_true (http_exchange_begin (&e, 2000));
  CURLcode code = http_exchange_result (&e, curl_easy_perform (e.easy));
  pthread_join (thread, NULL);
  http_exchange_end (&e);
  http_exchange_clear (&e);
  return code;
}

static void
answers_that_end_in_their_head_are_incomplete (void **state)
{
  static const char *const truncated[] = {
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nContent-Ty",
    "HTTP/1.1 200 OK\r\nContent-Length: 1",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
  };
  static const char *const complete[] = {
    "HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
  };
  struct fixture f;
  struct brief_target t;
  struct settings settings = { .body_bytes_max = 1000 };
  struct sockaddr_in at
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int on = 1;
  (void)state;
  set_up (&f);
  map_install_view (f.map, f.view, 1);
  map_set_lease_until (f.map, INT64_MAX);
  strcpy (settings.target.host, "127.0.0.1");
  settings.target.port = test_port (TARGET_PORT_OFFSET);
  at.sin_port = htons (settings.target.port);
  t.listener = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (t.listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  assert_int_equal (bind (t.listener, (struct sockaddr *)&at, sizeof at), 0);
  listen (t.listener, 1);
  for (size_t i = 0; i < sizeof truncated / sizeof truncated[0]; i++)
    {
      t.answer = truncated[i];
      if (exchange_with (&t, &settings, &f) == CURLE_OK)
        fail_msg ("complete: %s", t.answer);
    }
  for (size_t i = 0; i < sizeof complete / sizeof complete[0]; i++)
    {
      t.answer = complete[i];
      assert_int_equal (exchange_with (&t, &settings, &f), CURLE_OK);
    }
  close (t.listener);
  tear_down (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (request_lines_are_parsed),
    cmocka_unit_test (headers_are_validated),
    cmocka_unit_test (no_request_begins_without_a_lease),
    cmocka_unit_test (requests_of_an_old_incarnation_may_not_be_sent),
    cmocka_unit_test (closed_slots_drain_and_follow_their_new_owner),
    cmocka_unit_test (a_closed_pinned_key_stays_closed_while_its_slot_moves),
    cmocka_unit_test (pins_override_slots),
    cmocka_unit_test (only_safe_attempts_are_repeated),
    cmocka_unit_test (retries_are_bounded_by_the_budget),
    cmocka_unit_test (answers_that_end_in_their_head_are_incomplete),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
