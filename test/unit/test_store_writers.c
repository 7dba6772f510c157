/* Concurrent writers of one key under lost responses, late writes and outages
   of the store: the value contains each acknowledged change exactly once, and
   no rejected one.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <ck_pr.h>
#include <cmocka.h>
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "lib/ports.h"
#include "lib/standin_etcd.h"
#include "store/etcd.h"

enum
{
  PORT_OFFSET = 940,
  WRITERS = 4,
  CHANGES_PER_WRITER = 100, /* acknowledged changes of each writer */
  ID_BYTES = 24,
  VALUE_BYTES = WRITERS * CHANGES_PER_WRITER * ID_BYTES,
  TIMEOUT_MS = 40,
  LATE_WRITE_MS
  = 90, /* delay of a write that arrives after its caller timed out */
  FAULT_INTERVAL_MS = 10,
  WAIT_MAX_MS = 60000,
  HISTORY_REVISIONS = 1000,
  PROGRESS_MS = 1000,
  RANDOM_SEED = 1
};

struct writer
{
  pthread_t thread;
  struct settings_address address;
  int number;
  GPtrArray *acknowledged; /* ids */
  GPtrArray *rejected;
  int unresolved;
};

static int running;

/* Append ID to the value of the key; STATUS_CONFLICT if another change took
   effect first or the value could not be read.  */
static enum status
append_id (struct store *st, const char *id)
{
  char next[VALUE_BYTES + ID_BYTES];
  struct store_value v;
  int64_t revision;
  enum status status = st->ops->get (st, "/list", &v);
  if (status != STATUS_OK && status != STATUS_NOT_FOUND)
    return STATUS_CONFLICT;
  snprintf (next, sizeof next, "%s%s", v.data == NULL ? "" : v.data, id);
  struct store_change change
      = { "/list", v.revision, next, strlen (next), 0, id };
  store_value_clear (&v);
  return store_swap_resolved (
      st, &change, clock_now_ns () + WAIT_MAX_MS * NS_PER_MS, &revision);
}

static void *
writer_main (void *arg)
{
  struct writer *w = arg;
  struct store *st = etcd_new (&w->address, 1, TIMEOUT_MS);
  for (int i = 0; (int)w->acknowledged->len < CHANGES_PER_WRITER; i++)
    {
      char id[ID_BYTES];
      snprintf (id, sizeof id, "<%d.%d>", w->number, i);
      enum status status = append_id (st, id);
      if (status == STATUS_OK)
        g_ptr_array_add (w->acknowledged, g_strdup (id));
      else if (status == STATUS_IN_DOUBT)
        w->unresolved++;
      else
        g_ptr_array_add (w->rejected, g_strdup (id));
    }
  st->ops->free (st);
  ck_pr_dec_int (&running);
  return NULL;
}

/* Inject random faults until the writers have ended.  */
static void
inject_faults (struct standin_etcd *server)
{
  const struct timespec pause = { 0, FAULT_INTERVAL_MS * NS_PER_MS };
  unsigned seed = RANDOM_SEED;
  while (ck_pr_load_int (&running) > 0)
    {
      struct standin_etcd_faults f = { 0 };
      int kind = rand_r (&seed) % 4;
      f.lose_answers = kind == 0 ? 1 + (unsigned)rand_r (&seed) % 3 : 0;
      f.delay_ms = kind == 1 ? LATE_WRITE_MS : 0;
      f.down = kind == 2;
      standin_etcd_set_faults (server, &f);
      nanosleep (&pause, NULL);
    }
  standin_etcd_set_faults (server, &(struct standin_etcd_faults){ 0 });
}

static int
count_text (const char *in, const char *text)
{
  int count = 0;
  for (in = strstr (in, text); in != NULL; in = strstr (in + 1, text))
    count++;
  return count;
}

/* Assert that each of IDS occurs COUNT times in TEXT; frees IDS.  */
static void
assert_ids (GPtrArray *ids, const char *text, int count)
{
  for (unsigned i = 0; i < ids->len; i++)
    assert_int_equal (count_text (text, ids->pdata[i]), count);
  g_ptr_array_unref (ids);
}

/* Wait until no delayed write is outstanding.  */
static void
wait_for_delayed (struct standin_etcd *server)
{
  const struct timespec pause = { 0, NS_PER_MS };
  int64_t deadline_ns = clock_now_ns () + WAIT_MAX_MS * NS_PER_MS;
  struct standin_etcd_counts c;
  for (;;)
    {
      standin_etcd_counts (server, &c);
      if (c.delayed == 0)
        return;
      assert_true (clock_now_ns () < deadline_ns);
      nanosleep (&pause, NULL);
    }
}

/* Join the writers and compare the outcomes that were reported to them with
   the value.  */
static void
check_writers (struct writer *writers, struct standin_etcd *server)
{
  struct store *st = etcd_new (&writers[0].address, 1, WAIT_MAX_MS);
  struct store_value v;
  for (int i = 0; i < WRITERS; i++)
    pthread_join (writers[i].thread, NULL);
  wait_for_delayed (server);
  assert_int_equal (st->ops->get (st, "/list", &v), STATUS_OK);
  for (int i = 0; i < WRITERS; i++)
    {
      assert_int_equal (writers[i].unresolved, 0);
      assert_ids (writers[i].acknowledged, v.data, 1);
      assert_ids (writers[i].rejected, v.data, 0);
    }
  store_value_clear (&v);
  st->ops->free (st);
}

static void
reported_outcomes_match_the_value (void **state)
{
  struct settings_address address = { "127.0.0.1", test_port (PORT_OFFSET) };
  char listen[SETTINGS_HOST_BYTES + 8];
  struct writer writers[WRITERS] = { 0 };
  (void)state;
  snprintf (listen, sizeof listen, "%s:%u", address.host,
            (unsigned)address.port);
  struct standin_etcd_options o = { listen, HISTORY_REVISIONS, PROGRESS_MS };
  struct standin_etcd *server = standin_etcd_new (&o);
  assert_non_null (server);
  standin_etcd_set_faults (server,
                           &(struct standin_etcd_faults){ .lose_answers = 1 });
  running = WRITERS;
  for (int i = 0; i < WRITERS; i++)
    {
      writers[i].number = i;
      writers[i].acknowledged = g_ptr_array_new_with_free_func (g_free);
      writers[i].rejected = g_ptr_array_new_with_free_func (g_free);
      writers[i].address = address;
      pthread_create (&writers[i].thread, NULL, writer_main, &writers[i]);
    }
  inject_faults (server);
  check_writers (writers, server);
  assert_true (counter_get (COUNTER_store_in_doubt_total) > 0);
  print_message ("%d changes, %d in doubt, %d conflicts\n",
                 WRITERS * CHANGES_PER_WRITER,
                 (int)counter_get (COUNTER_store_in_doubt_total),
                 (int)counter_get (COUNTER_store_conflicts_total));
  standin_etcd_free (server);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (reported_outcomes_match_the_value),
  };
  log_set_level (LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
