/* Tests of the etcd backend against the stand-in store in this process.  */

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
  HISTORY = 8,
  PROGRESS_MS = 50,
  TIMEOUT_MS = 5000,
  SHORT_MS = 300,
  WAIT_MS = 30000,
  BIG_BYTES = 1024 * 1024
};

struct rig
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
start_server (struct rig *r)
{
  char listen[SETTINGS_HOST_BYTES + 8];
  snprintf (listen, sizeof listen, "%s:%u", r->address.host,
            (unsigned)r->address.port);
  struct standin_etcd_options o = { listen, HISTORY, PROGRESS_MS };
  r->server = standin_etcd_new (&o);
  assert_non_null (r->server);
}

static int
set_up (void **state)
{
  struct rig *r = calloc (1, sizeof *r);
  r->address = (struct settings_address){ "127.0.0.1", port (0) };
  start_server (r);
  r->store = etcd_new (&r->address, 1, TIMEOUT_MS);
  *state = r;
  return 0;
}

static int
tear_down (void **state)
{
  struct rig *r = *state;
  r->store->ops->free (r->store);
  if (r->server != NULL)
    standin_etcd_free (r->server);
  free (r);
  return 0;
}

static void
fault (struct rig *r, struct standin_etcd_faults f)
{
  standin_etcd_set_faults (r->server, &f);
}

static struct standin_etcd_counts
counts (struct rig *r)
{
  struct standin_etcd_counts c;
  standin_etcd_counts (r->server, &c);
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
  struct rig *r = *state;
  struct store_value v;
  int64_t first;
  int64_t second;
  int64_t none = -1;
  assert_int_equal (r->store->ops->get (r->store, "/k", &v), STATUS_NOT_FOUND);
  assert_int_equal (v.revision, 0);
  assert_int_equal (put (r->store, "/k", 0, "one", &first), STATUS_OK);
  assert_int_equal (put (r->store, "/k", 0, "two", &none), STATUS_CONFLICT);
  assert_value (r->store, "/k", "one", first);
  assert_int_equal (put (r->store, "/k", first, "", &second), STATUS_OK);
  assert_true (second > first);
  assert_int_equal (put (r->store, "/k", first, "x", &none), STATUS_CONFLICT);
  assert_int_equal (none, -1);
  assert_value (r->store, "/k", "", second);
  assert_int_equal (put (r->store, "/other", 0, "x", &first), STATUS_OK);
  assert_int_equal (r->store->ops->get (r->store, "/k", &v), STATUS_OK);
  assert_int_equal (v.revision, second);
  assert_int_equal (v.store_revision, first);
  store_value_clear (&v);
}

static void
carries_a_megabyte (void **state)
{
  struct rig *r = *state;
  struct store_value v;
  int64_t revision;
  char *big = malloc (BIG_BYTES);
  for (size_t i = 0; i < BIG_BYTES; i++)
    big[i] = (char)(i * 31 + i / 251);
  assert_int_equal (
      r->store->ops->swap (r->store, "/big", 0, big, BIG_BYTES, 0, &revision),
      STATUS_OK);
  assert_int_equal (r->store->ops->get (r->store, "/big", &v), STATUS_OK);
  assert_int_equal (v.length, BIG_BYTES);
  assert_memory_equal (v.data, big, BIG_BYTES);
  store_value_clear (&v);
  free (big);
}

static void
refuses_what_is_too_large (void **state)
{
  struct rig *r = *state;
  int64_t revision;
  char *big = calloc (2, BIG_BYTES);
  assert_int_equal (r->store->ops->swap (r->store, "/big", 0, big,
                                         (size_t)2 * BIG_BYTES, 0, &revision),
                    STATUS_INVALID);
  free (big);
}

static void
leases_end (void **state)
{
  struct rig *r = *state;
  struct store *st = r->store;
  struct store_value v;
  int64_t lease;
  int64_t revision;
  assert_int_equal (st->ops->lease_grant (st, 1, &lease), STATUS_OK);
  assert_int_equal (st->ops->swap (st, "/l", 0, "x", 1, lease, &revision),
                    STATUS_OK);
  int64_t limit_ns = clock_now_ns () + WAIT_MS * NS_PER_MS;
  while (st->ops->get (st, "/l", &v) == STATUS_OK)
    {
      store_value_clear (&v);
      assert_true (clock_now_ns () < limit_ns);
    }
  assert_int_equal (st->ops->lease_renew (st, lease), STATUS_NOT_FOUND);
  assert_int_equal (st->ops->swap (st, "/l", 0, "x", 1, lease, &revision),
                    STATUS_NOT_FOUND);
  assert_int_equal (st->ops->lease_grant (st, 60, &lease), STATUS_OK);
  assert_int_equal (st->ops->lease_renew (st, lease), STATUS_OK);
}

static void
outages_are_told_apart (void **state)
{
  struct rig *r = *state;
  struct store_value v;
  int64_t revision;
  assert_int_equal (put (r->store, "/k", 0, "one", &revision), STATUS_OK);
  fault (r, (struct standin_etcd_faults){ .down = 1 });
  assert_int_equal (put (r->store, "/k", revision, "two", &revision),
                    STATUS_IN_DOUBT);
  assert_int_equal (r->store->ops->get (r->store, "/k", &v), STATUS_TIMEOUT);
  standin_etcd_free (r->server);
  r->server = NULL;
  assert_int_equal (put (r->store, "/k", 0, "two", &revision),
                    STATUS_UNAVAILABLE);
  assert_int_equal (r->store->ops->get (r->store, "/k", &v),
                    STATUS_UNAVAILABLE);
  start_server (r);
  assert_int_equal (put (r->store, "/k", 0, "three", &revision), STATUS_OK);
}

static void
slow_calls_end_in_time (void **state)
{
  struct rig *r = *state;
  struct store *hasty = etcd_new (&r->address, 1, SHORT_MS);
  struct store_value v;
  int64_t revision;
  fault (r, (struct standin_etcd_faults){ .delay_ms = 50 });
  assert_int_equal (put (r->store, "/k", 0, "one", &revision), STATUS_OK);
  assert_value (r->store, "/k", "one", revision);
  fault (r, (struct standin_etcd_faults){ .delay_ms = WAIT_MS });
  int64_t began_ns = clock_now_ns ();
  assert_int_equal (hasty->ops->get (hasty, "/k", &v), STATUS_TIMEOUT);
  assert_int_equal (put (hasty, "/k", revision, "two", &revision),
                    STATUS_IN_DOUBT);
  assert_true (clock_now_ns () - began_ns < WAIT_MS * NS_PER_MS / 2);
  hasty->ops->free (hasty);
}

/* libcurl sends a POST again when a reused connection closes unanswered.  */
static void
a_write_is_sent_once (void **state)
{
  struct rig *r = *state;
  int64_t first;
  int64_t second = -1;
  assert_int_equal (put (r->store, "/k", 0, "one", &first), STATUS_OK);
  fault (r, (struct standin_etcd_faults){ .lose_answers = 1 });
  assert_int_equal (put (r->store, "/k", first, "two", &second),
                    STATUS_IN_DOUBT);
  assert_int_equal (counts (r).writes, 2);
  assert_int_equal (second, -1);
  assert_value (r->store, "/k", "two", first + 1);
}

static enum status
resolve (struct rig *r, int64_t expected, const char *data, int64_t *revision)
{
  struct store_change c = { "/k", expected, data, strlen (data), 0, "id-7" };
  int64_t until_ns = clock_now_ns () + WAIT_MS * NS_PER_MS;
  return store_swap_resolved (r->store, &c, until_ns, revision);
}

static void
a_lost_answer_is_resolved (void **state)
{
  struct rig *r = *state;
  int64_t first;
  int64_t second;
  uint64_t before = counter_get (COUNTER_store_in_doubt_total);
  assert_int_equal (resolve (r, 0, "id-7 one", &first), STATUS_OK);
  fault (r, (struct standin_etcd_faults){ .lose_answers = 1 });
  assert_int_equal (resolve (r, first, "id-7 two", &second), STATUS_OK);
  assert_value (r->store, "/k", "id-7 two", second);
  assert_int_equal (counts (r).writes, 2);
  assert_int_equal (counter_get (COUNTER_store_in_doubt_total), before + 1);
}

/* The swap took effect, unanswered, and another writer came after it.  */
static void
a_later_change_is_told (void **state)
{
  struct rig *r = *state;
  int64_t first;
  int64_t second;
  int64_t told = -1;
  assert_int_equal (put (r->store, "/k", 0, "id-7", &first), STATUS_OK);
  assert_int_equal (put (r->store, "/k", first, "id-7 id-8", &second),
                    STATUS_OK);
  fault (r, (struct standin_etcd_faults){ .lose_answers = 1 });
  assert_int_equal (resolve (r, 0, "id-7", &told), STATUS_OK);
  assert_int_equal (told, 0);
  assert_value (r->store, "/k", "id-7 id-8", second);
}

static void
a_lost_conflict_is_resolved (void **state)
{
  struct rig *r = *state;
  int64_t first;
  int64_t second;
  assert_int_equal (put (r->store, "/k", 0, "one", &first), STATUS_OK);
  assert_int_equal (put (r->store, "/k", first, "two", &second), STATUS_OK);
  fault (r, (struct standin_etcd_faults){ .lose_answers = 1 });
  assert_int_equal (resolve (r, first, "id-7", &second), STATUS_CONFLICT);
  assert_value (r->store, "/k", "two", first + 1);
}

static void
wait_for_delayed (struct rig *r)
{
  const struct timespec pause = { 0, NS_PER_MS };
  int64_t limit_ns = clock_now_ns () + WAIT_MS * NS_PER_MS;
  while (counts (r).delayed > 0)
    {
      assert_true (clock_now_ns () < limit_ns);
      nanosleep (&pause, NULL);
    }
}

/* The first write arrives after it was given up and read back.  */
static void
a_late_write_does_not_count_twice (void **state)
{
  struct rig *r = *state;
  int64_t first;
  int64_t second;
  r->store->ops->free (r->store);
  r->store = etcd_new (&r->address, 1, SHORT_MS);
  assert_int_equal (put (r->store, "/k", 0, "one", &first), STATUS_OK);
  fault (r, (struct standin_etcd_faults){
                .delay_ms = 4 * SHORT_MS,
                .until_ns = clock_now_ns () + SHORT_MS * NS_PER_MS / 2 });
  assert_int_equal (resolve (r, first, "id-7", &second), STATUS_OK);
  assert_value (r->store, "/k", "id-7", second);
  wait_for_delayed (r);
  assert_value (r->store, "/k", "id-7", second);
}

static void
doubt_ends_in_time (void **state)
{
  struct rig *r = *state;
  int64_t first;
  struct store_change c = { "/k", 0, "id-7", 4, 0, "id-7" };
  fault (r, (struct standin_etcd_faults){ .down = 1 });
  int64_t until_ns = clock_now_ns () + SHORT_MS * NS_PER_MS;
  assert_int_equal (store_swap_resolved (r->store, &c, until_ns, &first),
                    STATUS_IN_DOUBT);
  assert_true (clock_now_ns () < until_ns + WAIT_MS * NS_PER_MS);
}

static void
another_endpoint_is_tried (void **state)
{
  struct rig *r = *state;
  struct settings_address both[]
      = { { "127.0.0.1", port (1) }, r->address, { "127.0.0.1", port (2) } };
  int64_t revision = 0;
  for (int i = 0; i < 8; i++)
    {
      struct store *st = etcd_new (both, 3, TIMEOUT_MS);
      assert_int_equal (put (st, "/k", revision, "x", &revision), STATUS_OK);
      assert_value (st, "/k", "x", revision);
      st->ops->free (st);
    }
  assert_int_equal (counts (r).writes, 8);
}

/* A thread that watches and notes what it is told.  */
struct watcher
{
  pthread_t thread;
  struct store *store;
  int64_t from;
  const char *last; /* a key that ends the watch */
  char seen[1024];
  int lines;
  int stop;
  enum status status;
};

static bool
on_change (void *arg, const char *key, const struct store_value *value)
{
  struct watcher *w = arg;
  size_t used = strlen (w->seen);
  snprintf (w->seen + used, sizeof w->seen - used, "%s=%s;", key,
            value == NULL ? "(gone)" : value->data);
  ck_pr_inc_int (&w->lines);
  return w->last == NULL || strcmp (key, w->last) != 0;
}

static void *
watcher_main (void *arg)
{
  struct watcher *w = arg;
  w->status = w->store->ops->watch (w->store, "/w/", w->from, on_change, w,
                                    &w->stop);
  return NULL;
}

static void
watcher_start (struct watcher *w, struct rig *r, uint32_t silence_ms)
{
  w->store = etcd_new (&r->address, 1, TIMEOUT_MS);
  etcd_set_watch_idle_timeout (w->store, silence_ms);
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
  int64_t limit_ns = clock_now_ns () + WAIT_MS * NS_PER_MS;
  while (ck_pr_load_int (&w->lines) < lines)
    {
      assert_true (clock_now_ns () < limit_ns);
      nanosleep (&pause, NULL);
    }
}

static void
watches_report_each_change_in_order (void **state)
{
  struct rig *r = *state;
  struct watcher w = { .last = "/w/end" };
  int64_t first;
  int64_t second;
  assert_int_equal (put (r->store, "/w/a", 0, "1", &first), STATUS_OK);
  assert_int_equal (put (r->store, "/w/a", first, "2", &second), STATUS_OK);
  w.from = first;
  watcher_start (&w, r, WAIT_MS);
  wait_for_lines (&w, 1);
  assert_int_equal (put (r->store, "/x", 0, "not watched", &first), STATUS_OK);
  assert_int_equal (put (r->store, "/w/a", second, "3", &first), STATUS_OK);
  int64_t lease;
  assert_int_equal (r->store->ops->lease_grant (r->store, 1, &lease),
                    STATUS_OK);
  assert_int_equal (
      r->store->ops->swap (r->store, "/w/b", 0, "4", 1, lease, &first),
      STATUS_OK);
  wait_for_lines (&w, 4);
  assert_int_equal (put (r->store, "/w/end", 0, "5", &first), STATUS_OK);
  assert_int_equal (watcher_join (&w), STATUS_OK);
  assert_string_equal (w.seen, "/w/a=2;/w/a=3;/w/b=4;/w/b=(gone);/w/end=5;");
}

static void
a_stalled_watch_is_noticed (void **state)
{
  struct rig *r = *state;
  struct watcher w = { 0 };
  int64_t revision;
  watcher_start (&w, r, SHORT_MS * 10);
  assert_int_equal (put (r->store, "/w/a", 0, "1", &revision), STATUS_OK);
  wait_for_lines (&w, 1);
  fault (r, (struct standin_etcd_faults){ .stall_watches = 1 });
  assert_int_equal (put (r->store, "/w/a", revision, "2", &revision),
                    STATUS_OK);
  assert_int_equal (watcher_join (&w), STATUS_UNAVAILABLE);
  assert_string_equal (w.seen, "/w/a=1;");
}

static void
a_quiet_watch_lives_and_stops (void **state)
{
  struct rig *r = *state;
  struct watcher w = { 0 };
  watcher_start (&w, r, SHORT_MS * 5);
  int64_t limit_ns = clock_now_ns () + NS_PER_MS * SHORT_MS * 15;
  const struct timespec pause = { 0, 10 * NS_PER_MS };
  while (clock_now_ns () < limit_ns)
    nanosleep (&pause, NULL);
  ck_pr_store_int (&w.stop, 1);
  assert_int_equal (watcher_join (&w), STATUS_OK);
  assert_int_equal (counts (r).watches_opened, 1);
}

static void
a_watch_ends_with_the_store (void **state)
{
  struct rig *r = *state;
  struct watcher w = { 0 };
  int64_t revision;
  watcher_start (&w, r, WAIT_MS);
  assert_int_equal (put (r->store, "/w/a", 0, "1", &revision), STATUS_OK);
  wait_for_lines (&w, 1);
  fault (r, (struct standin_etcd_faults){ .down = 1 });
  assert_int_equal (watcher_join (&w), STATUS_UNAVAILABLE);
}

static void
a_watch_from_too_old_a_revision_is_stale (void **state)
{
  struct rig *r = *state;
  struct watcher w = { 0 };
  int64_t revision = 0;
  for (int i = 0; i < 2 * HISTORY; i++)
    assert_int_equal (put (r->store, "/w/a", revision, "x", &revision),
                      STATUS_OK);
  watcher_start (&w, r, WAIT_MS);
  assert_int_equal (watcher_join (&w), STATUS_STALE);
  assert_int_equal (w.lines, 0);
}

#define RIG_TEST(f) cmocka_unit_test_setup_teardown (f, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    RIG_TEST (swaps_only_at_the_expected_revision),
    RIG_TEST (carries_a_megabyte),
    RIG_TEST (refuses_what_is_too_large),
    RIG_TEST (leases_end),
    RIG_TEST (outages_are_told_apart),
    RIG_TEST (slow_calls_end_in_time),
    RIG_TEST (a_write_is_sent_once),
    RIG_TEST (a_lost_answer_is_resolved),
    RIG_TEST (a_later_change_is_told),
    RIG_TEST (a_lost_conflict_is_resolved),
    RIG_TEST (a_late_write_does_not_count_twice),
    RIG_TEST (doubt_ends_in_time),
    RIG_TEST (another_endpoint_is_tried),
    RIG_TEST (watches_report_each_change_in_order),
    RIG_TEST (a_stalled_watch_is_noticed),
    RIG_TEST (a_quiet_watch_lives_and_stops),
    RIG_TEST (a_watch_ends_with_the_store),
    RIG_TEST (a_watch_from_too_old_a_revision_is_stale),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
