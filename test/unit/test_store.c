/* Tests of the etcd client against a stand-in for etcd in this process.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <ck_pr.h>
#include <cmocka.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "base/counter.h"
#include "lib/ports.h"
#include "lib/standin_etcd.h"
#include "store/etcd.h"

enum
{
  PORT_OFFSET = 910,
  HISTORY_REVISIONS = 8,
  PROGRESS_MS = 50,
  TIMEOUT_MS = 5000,
  SHORT_TIMEOUT_MS = 300,
  WAIT_MAX_MS = 30000,
  BIG_BYTES = 1024 * 1024
};

struct fixture
{
  struct settings_address address;
  struct standin_etcd *server;
  struct store *store;
};

static uint16_t
port (unsigned offset)
{
  return test_port (PORT_OFFSET + offset);
}

static void
start_server (struct fixture *fx)
{
  char listen[SETTINGS_HOST_BYTES + 8];
  snprintf (listen, sizeof listen, "%s:%u", fx->address.host,
            (unsigned)fx->address.port);
  struct standin_etcd_options o = { listen, HISTORY_REVISIONS, PROGRESS_MS };
  fx->server = standin_etcd_new (&o);
  assert_non_null (fx->server);
}

static int
set_up (void **state)
{
  struct fixture *fx = calloc (1, sizeof *fx);
  fx->address = (struct settings_address){ "127.0.0.1", port (0) };
  start_server (fx);
  fx->store = etcd_new (&fx->address, 1, TIMEOUT_MS);
  *state = fx;
  return 0;
}

static int
tear_down (void **state)
{
  struct fixture *fx = *state;
  fx->store->ops->free (fx->store);
  if (fx->server != NULL)
    standin_etcd_free (fx->server);
  free (fx);
  return 0;
}

static void
set_faults (struct fixture *fx, struct standin_etcd_faults f)
{
  standin_etcd_set_faults (fx->server, &f);
}

static struct standin_etcd_counts
server_counts (struct fixture *fx)
{
  struct standin_etcd_counts c;
  standin_etcd_counts (fx->server, &c);
  return c;
}

static enum status
put (struct store *st, const char *key, int64_t expected, const char *text,
     int64_t *revision)
{
  return st->ops->swap (st, key, expected, text, strlen (text), 0, revision);
}

static void
assert_value (struct store *st, const char *key, const char *text,
              int64_t revision)
{
  struct store_value v;
  assert_int_equal (st->ops->get (st, key, &v), STATUS_OK);
  assert_string_equal (v.data, text);
  assert_int_equal (v.length, strlen (text));
  assert_int_equal (v.revision, revision);
  store_value_clear (&v);
}

static void
swaps_only_at_the_expected_revision (void **state)
{
  struct fixture *fx = *state;
  struct store_value v;
  int64_t first_revision;
  int64_t second_revision;
  int64_t unchanged = -1;
  assert_int_equal (fx->store->ops->get (fx->store, "/k", &v),
                    STATUS_NOT_FOUND);
  assert_int_equal (v.revision, 0);
  assert_int_equal (put (fx->store, "/k", 0, "one", &first_revision),
                    STATUS_OK);
  assert_int_equal (put (fx->store, "/k", 0, "two", &unchanged),
                    STATUS_CONFLICT);
  assert_value (fx->store, "/k", "one", first_revision);
  assert_int_equal (
      put (fx->store, "/k", first_revision, "", &second_revision), STATUS_OK);
  assert_true (second_revision > first_revision);
  assert_int_equal (put (fx->store, "/k", first_revision, "x", &unchanged),
                    STATUS_CONFLICT);
  assert_int_equal (unchanged, -1);
  assert_value (fx->store, "/k", "", second_revision);
  assert_int_equal (put (fx->store, "/other", 0, "x", &first_revision),
                    STATUS_OK);
  assert_int_equal (fx->store->ops->get (fx->store, "/k", &v), STATUS_OK);
  assert_int_equal (v.revision, second_revision);
  assert_int_equal (v.store_revision, first_revision);
  store_value_clear (&v);
}

static void
stores_a_megabyte (void **state)
{
  struct fixture *fx = *state;
  struct store_value v;
  int64_t revision;
  char *big = malloc (BIG_BYTES);
  for (size_t i = 0; i < BIG_BYTES; i++)
    big[i] = (char)(i * 31 + i / 251);
  assert_int_equal (fx->store->ops->swap (fx->store, "/big", 0, big, BIG_BYTES,
                                          0, &revision),
                    STATUS_OK);
  assert_int_equal (fx->store->ops->get (fx->store, "/big", &v), STATUS_OK);
  assert_int_equal (v.length, BIG_BYTES);
  assert_memory_equal (v.data, big, BIG_BYTES);
  store_value_clear (&v);
  free (big);
}

static void
rejects_too_large_values (void **state)
{
  struct fixture *fx = *state;
  int64_t revision;
  char *big = calloc (2, BIG_BYTES);
  assert_int_equal (fx->store->ops->swap (fx->store, "/big", 0, big,
                                          (size_t)2 * BIG_BYTES, 0, &revision),
                    STATUS_INVALID);
  free (big);
}

static void
leases_expire (void **state)
{
  struct fixture *fx = *state;
  struct store *st = fx->store;
  struct store_value v;
  int64_t lease;
  int64_t revision;
  assert_int_equal (st->ops->lease_grant (st, 1, &lease), STATUS_OK);
  assert_int_equal (st->ops->swap (st, "/l", 0, "x", 1, lease, &revision),
                    STATUS_OK);
  int64_t deadline_ns = clock_now_ns () + WAIT_MAX_MS * NS_PER_MS;
  while (st->ops->get (st, "/l", &v) == STATUS_OK)
    {
      store_value_clear (&v);
      assert_true (clock_now_ns () < deadline_ns);
    }
  assert_int_equal (st->ops->lease_renew (st, lease), STATUS_NOT_FOUND);
  assert_int_equal (st->ops->swap (st, "/l", 0, "x", 1, lease, &revision),
                    STATUS_NOT_FOUND);
  assert_int_equal (st->ops->lease_grant (st, 60, &lease), STATUS_OK);
  assert_int_equal (st->ops->lease_renew (st, lease), STATUS_OK);
}

static void
outage_statuses_are_distinct (void **state)
{
  struct fixture *fx = *state;
  struct store_value v;
  int64_t revision;
  assert_int_equal (put (fx->store, "/k", 0, "one", &revision), STATUS_OK);
  set_faults (fx, (struct standin_etcd_faults){ .down = 1 });
  assert_int_equal (put (fx->store, "/k", revision, "two", &revision),
                    STATUS_IN_DOUBT);
  assert_int_equal (fx->store->ops->get (fx->store, "/k", &v), STATUS_TIMEOUT);
  standin_etcd_free (fx->server);
  fx->server = NULL;
  assert_int_equal (put (fx->store, "/k", 0, "two", &revision),
                    STATUS_UNAVAILABLE);
  assert_int_equal (fx->store->ops->get (fx->store, "/k", &v),
                    STATUS_UNAVAILABLE);
  start_server (fx);
  assert_int_equal (put (fx->store, "/k", 0, "three", &revision), STATUS_OK);
}

static void
slow_calls_time_out (void **state)
{
  struct fixture *fx = *state;
  struct store *short_store = etcd_new (&fx->address, 1, SHORT_TIMEOUT_MS);
  struct store_value v;
  int64_t revision;
  set_faults (fx, (struct standin_etcd_faults){ .delay_ms = 50 });
  assert_int_equal (put (fx->store, "/k", 0, "one", &revision), STATUS_OK);
  assert_value (fx->store, "/k", "one", revision);
  set_faults (fx, (struct standin_etcd_faults){ .delay_ms = WAIT_MAX_MS });
  int64_t start_ns = clock_now_ns ();
  assert_int_equal (short_store->ops->get (short_store, "/k", &v),
                    STATUS_TIMEOUT);
  assert_int_equal (put (short_store, "/k", revision, "two", &revision),
                    STATUS_IN_DOUBT);
  assert_true (clock_now_ns () - start_ns < WAIT_MAX_MS * NS_PER_MS / 2);
  short_store->ops->free (short_store);
}

/* By itself, libcurl sends a POST again when a reused connection closes before
   the response.  */
static void
a_write_is_sent_once (void **state)
{
  struct fixture *fx = *state;
  int64_t first_revision;
  int64_t second_revision = -1;
  assert_int_equal (put (fx->store, "/k", 0, "one", &first_revision),
                    STATUS_OK);
  set_faults (fx, (struct standin_etcd_faults){ .lose_answers = 1 });
  assert_int_equal (
      put (fx->store, "/k", first_revision, "two", &second_revision),
      STATUS_IN_DOUBT);
  assert_int_equal (server_counts (fx).writes, 2);
  assert_int_equal (second_revision, -1);
  assert_value (fx->store, "/k", "two", first_revision + 1);
}

static enum status
resolve (struct fixture *fx, int64_t expected, const char *data,
         int64_t *revision)
{
  struct store_change c = { "/k", expected, data, strlen (data), 0, "id-7" };
  int64_t until_ns = clock_now_ns () + WAIT_MAX_MS * NS_PER_MS;
  return store_swap_resolved (fx->store, &c, until_ns, revision);
}

static void
a_lost_response_is_resolved (void **state)
{
  struct fixture *fx = *state;
  int64_t first_revision;
  int64_t second_revision;
  uint64_t before = counter_get (COUNTER_store_in_doubt_total);
  assert_int_equal (resolve (fx, 0, "id-7 one", &first_revision), STATUS_OK);
  set_faults (fx, (struct standin_etcd_faults){ .lose_answers = 1 });
  assert_int_equal (resolve (fx, first_revision, "id-7 two", &second_revision),
                    STATUS_OK);
  assert_value (fx->store, "/k", "id-7 two", second_revision);
  assert_int_equal (server_counts (fx).writes, 2);
  assert_int_equal (counter_get (COUNTER_store_in_doubt_total), before + 1);
}

/* The swap took effect, its response was lost, and another writer changed the
   value afterwards.  */
static void
a_later_change_is_reported (void **state)
{
  struct fixture *fx = *state;
  int64_t first_revision;
  int64_t second_revision;
  int64_t resolved_revision = -1;
  assert_int_equal (put (fx->store, "/k", 0, "id-7", &first_revision),
                    STATUS_OK);
  assert_int_equal (
      put (fx->store, "/k", first_revision, "id-7 id-8", &second_revision),
      STATUS_OK);
  set_faults (fx, (struct standin_etcd_faults){ .lose_answers = 1 });
  assert_int_equal (resolve (fx, 0, "id-7", &resolved_revision), STATUS_OK);
  assert_int_equal (resolved_revision, 0);
  assert_value (fx->store, "/k", "id-7 id-8", second_revision);
}

static void
a_lost_conflict_is_resolved (void **state)
{
  struct fixture *fx = *state;
  int64_t first_revision;
  int64_t second_revision;
  assert_int_equal (put (fx->store, "/k", 0, "one", &first_revision),
                    STATUS_OK);
  assert_int_equal (
      put (fx->store, "/k", first_revision, "two", &second_revision),
      STATUS_OK);
  set_faults (fx, (struct standin_etcd_faults){ .lose_answers = 1 });
  assert_int_equal (resolve (fx, first_revision, "id-7", &second_revision),
                    STATUS_CONFLICT);
  assert_value (fx->store, "/k", "two", first_revision + 1);
}

static void
wait_for_delayed (struct fixture *fx)
{
  const struct timespec pause = { 0, NS_PER_MS };
  int64_t deadline_ns = clock_now_ns () + WAIT_MAX_MS * NS_PER_MS;
  while (server_counts (fx).delayed > 0)
    {
      assert_true (clock_now_ns () < deadline_ns);
      nanosleep (&pause, NULL);
    }
}

/* The first write arrives after it timed out and the value was read back.  */
static void
a_late_write_does_not_count_twice (void **state)
{
  struct fixture *fx = *state;
  int64_t first_revision;
  int64_t second_revision;
  fx->store->ops->free (fx->store);
  fx->store = etcd_new (&fx->address, 1, SHORT_TIMEOUT_MS);
  assert_int_equal (put (fx->store, "/k", 0, "one", &first_revision),
                    STATUS_OK);
  set_faults (fx, (struct standin_etcd_faults){
                      .delay_ms = 4 * SHORT_TIMEOUT_MS,
                      .until_ns
                      = clock_now_ns () + SHORT_TIMEOUT_MS * NS_PER_MS / 2 });
  assert_int_equal (resolve (fx, first_revision, "id-7", &second_revision),
                    STATUS_OK);
  assert_value (fx->store, "/k", "id-7", second_revision);
  wait_for_delayed (fx);
  assert_value (fx->store, "/k", "id-7", second_revision);
}

static void
resolution_ends_in_time (void **state)
{
  struct fixture *fx = *state;
  int64_t first_revision;
  struct store_change c = { "/k", 0, "id-7", 4, 0, "id-7" };
  set_faults (fx, (struct standin_etcd_faults){ .down = 1 });
  int64_t until_ns = clock_now_ns () + SHORT_TIMEOUT_MS * NS_PER_MS;
  assert_int_equal (
      store_swap_resolved (fx->store, &c, until_ns, &first_revision),
      STATUS_IN_DOUBT);
  assert_true (clock_now_ns () < until_ns + WAIT_MAX_MS * NS_PER_MS);
}

static void
calls_try_the_next_endpoint (void **state)
{
  struct fixture *fx = *state;
  struct settings_address endpoints[]
      = { { "127.0.0.1", port (1) }, fx->address, { "127.0.0.1", port (2) } };
  int64_t revision = 0;
  for (int i = 0; i < 8; i++)
    {
      struct store *st = etcd_new (endpoints, 3, TIMEOUT_MS);
      assert_int_equal (put (st, "/k", revision, "x", &revision), STATUS_OK);
      assert_value (st, "/k", "x", revision);
      st->ops->free (st);
    }
  assert_int_equal (server_counts (fx).writes, 8);
}

/* A thread with a watch that records the changes.  */
struct watcher
{
  pthread_t thread;
  struct store *store;
  int64_t from_revision; /* the watch reports later changes */
  const char *end_key;   /* the key that ends the watch */
  char log[1024];
  int lines;
  int stop;
  enum status status;
};

static bool
on_change (void *arg, const char *key, const struct store_value *value)
{
  struct watcher *w = arg;
  size_t used = strlen (w->log);
  snprintf (w->log + used, sizeof w->log - used, "%s=%s;", key,
            value == NULL ? "(gone)" : value->data);
  ck_pr_inc_int (&w->lines);
  return w->end_key == NULL || strcmp (key, w->end_key) != 0;
}

static void *
watcher_main (void *arg)
{
  struct watcher *w = arg;
  w->status = w->store->ops->watch (w->store, "/w/", w->from_revision,
                                    on_change, w, &w->stop);
  return NULL;
}

static void
watcher_start (struct watcher *w, struct fixture *fx, uint32_t idle_timeout_ms)
{
  w->store = etcd_new (&fx->address, 1, TIMEOUT_MS);
  etcd_set_watch_idle_timeout (w->store, idle_timeout_ms);
  pthread_create (&w->thread, NULL, watcher_main, w);
}

static enum status
watcher_join (struct watcher *w)
{
  pthread_join (w->thread, NULL);
  w->store->ops->free (w->store);
  return w->status;
}

static void
wait_for_lines (struct watcher *w, int lines)
{
  const struct timespec pause = { 0, NS_PER_MS };
  int64_t deadline_ns = clock_now_ns () + WAIT_MAX_MS * NS_PER_MS;
  while (ck_pr_load_int (&w->lines) < lines)
    {
      assert_true (clock_now_ns () < deadline_ns);
      nanosleep (&pause, NULL);
    }
}

static void
watches_report_each_change_in_order (void **state)
{
  struct fixture *fx = *state;
  struct watcher w = { .end_key = "/w/end" };
  int64_t first_revision;
  int64_t second_revision;
  assert_int_equal (put (fx->store, "/w/a", 0, "1", &first_revision),
                    STATUS_OK);
  assert_int_equal (
      put (fx->store, "/w/a", first_revision, "2", &second_revision),
      STATUS_OK);
  w.from_revision = first_revision;
  watcher_start (&w, fx, WAIT_MAX_MS);
  wait_for_lines (&w, 1);
  assert_int_equal (put (fx->store, "/x", 0, "not watched", &first_revision),
                    STATUS_OK);
  assert_int_equal (
      put (fx->store, "/w/a", second_revision, "3", &first_revision),
      STATUS_OK);
  int64_t lease;
  assert_int_equal (fx->store->ops->lease_grant (fx->store, 1, &lease),
                    STATUS_OK);
  assert_int_equal (fx->store->ops->swap (fx->store, "/w/b", 0, "4", 1, lease,
                                          &first_revision),
                    STATUS_OK);
  wait_for_lines (&w, 4);
  assert_int_equal (put (fx->store, "/w/end", 0, "5", &first_revision),
                    STATUS_OK);
  assert_int_equal (watcher_join (&w), STATUS_OK);
  assert_string_equal (w.log, "/w/a=2;/w/a=3;/w/b=4;/w/b=(gone);/w/end=5;");
}

static void
a_stalled_watch_times_out (void **state)
{
  struct fixture *fx = *state;
  struct watcher w = { 0 };
  int64_t revision;
  watcher_start (&w, fx, SHORT_TIMEOUT_MS * 10);
  assert_int_equal (put (fx->store, "/w/a", 0, "1", &revision), STATUS_OK);
  wait_for_lines (&w, 1);
  set_faults (fx, (struct standin_etcd_faults){ .stall_watches = 1 });
  assert_int_equal (put (fx->store, "/w/a", revision, "2", &revision),
                    STATUS_OK);
  assert_int_equal (watcher_join (&w), STATUS_UNAVAILABLE);
  assert_string_equal (w.log, "/w/a=1;");
}

static void
an_idle_watch_stays_open (void **state)
{
  struct fixture *fx = *state;
  struct watcher w = { 0 };
  watcher_start (&w, fx, SHORT_TIMEOUT_MS * 5);
  int64_t deadline_ns = clock_now_ns () + NS_PER_MS * SHORT_TIMEOUT_MS * 15;
  const struct timespec pause = { 0, 10 * NS_PER_MS };
  while (clock_now_ns () < deadline_ns)
    nanosleep (&pause, NULL);
  ck_pr_store_int (&w.stop, 1);
  assert_int_equal (watcher_join (&w), STATUS_OK);
  assert_int_equal (server_counts (fx).watches_opened, 1);
}

static void
a_watch_ends_on_store_failure (void **state)
{
  struct fixture *fx = *state;
  struct watcher w = { 0 };
  int64_t revision;
  watcher_start (&w, fx, WAIT_MAX_MS);
  assert_int_equal (put (fx->store, "/w/a", 0, "1", &revision), STATUS_OK);
  wait_for_lines (&w, 1);
  set_faults (fx, (struct standin_etcd_faults){ .down = 1 });
  assert_int_equal (watcher_join (&w), STATUS_UNAVAILABLE);
}

static void
a_watch_from_too_old_a_revision_is_stale (void **state)
{
  struct fixture *fx = *state;
  struct watcher w = { 0 };
  int64_t revision = 0;
  for (int i = 0; i < 2 * HISTORY_REVISIONS; i++)
    assert_int_equal (put (fx->store, "/w/a", revision, "x", &revision),
                      STATUS_OK);
  watcher_start (&w, fx, WAIT_MAX_MS);
  assert_int_equal (watcher_join (&w), STATUS_STALE);
  assert_int_equal (w.lines, 0);
}

#define FIXTURE_TEST(f) cmocka_unit_test_setup_teardown (f, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    FIXTURE_TEST (swaps_only_at_the_expected_revision),
    FIXTURE_TEST (stores_a_megabyte),
    FIXTURE_TEST (rejects_too_large_values),
    FIXTURE_TEST (leases_expire),
    FIXTURE_TEST (outage_statuses_are_distinct),
    FIXTURE_TEST (slow_calls_time_out),
    FIXTURE_TEST (a_write_is_sent_once),
    FIXTURE_TEST (a_lost_response_is_resolved),
    FIXTURE_TEST (a_later_change_is_reported),
    FIXTURE_TEST (a_lost_conflict_is_resolved),
    FIXTURE_TEST (a_late_write_does_not_count_twice),
    FIXTURE_TEST (resolution_ends_in_time),
    FIXTURE_TEST (calls_try_the_next_endpoint),
    FIXTURE_TEST (watches_report_each_change_in_order),
    FIXTURE_TEST (a_stalled_watch_times_out),
    FIXTURE_TEST (an_idle_watch_stays_open),
    FIXTURE_TEST (a_watch_ends_on_store_failure),
    FIXTURE_TEST (a_watch_from_too_old_a_revision_is_stale),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
