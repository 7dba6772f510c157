/* Tests of what a node knows of the other nodes.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "base/clock.h"
#include "lib/ports.h"
#include "limit/retry.h"
#include "mesh/nodes.h"

enum
{
  OTHERS = 40,
  PORT_OFFSET = 980, /* from the run's first port */
  STORED = 3,
  WAIT_MS = 300
};

static bool
count_connected (void *arg, const struct node_view *view)
{
  (void)view;
  ++*(unsigned *)arg;
  return true;
}

static void
on_timer (uv_timer_t *timer)
{
  uv_stop (timer->loop);
}

/* Nodes that cannot be reached go on retrying with their shares.  A node that
   took a larger share for itself meanwhile would break the budget that all of
   them keep together.  */
static void
unreachable_nodes_keep_their_share (void **state)
{
  static const struct nodes_hooks hooks;
  struct frame_node self = { .name = "self" };
  struct settings_address other = { "127.0.0.1", 0 };
  static uv_loop_t loop;
  static struct nodes *p; /* lives as long as the process */
  uv_timer_t timer;
  unsigned connected = 0;
  (void)state;
  strcpy (self.address.host, "127.0.0.1");
  self.address.port = test_port (PORT_OFFSET);
  uv_loop_init (&loop);
  p = nodes_open (&loop, &self, 0, &hooks);
  assert_non_null (p);
  /* Nothing listens there.  */
  for (int i = 1; i <= OTHERS; i++)
    {
      other.port = (uint16_t)(self.address.port + i);
      nodes_add (p, &other);
    }
  uv_timer_init (&loop, &timer);
  uv_timer_start (&timer, on_timer, WAIT_MS, 0);
  uv_run (&loop, UV_RUN_DEFAULT);
  nodes_visit (p, count_connected, &connected);
  assert_int_equal (connected, 0);
  int64_t now_ns = clock_now_ns ();
  uint32_t known = nodes_count_known (p, now_ns - NS_PER_S);
  assert_int_equal (known, OTHERS + 1);
  assert_in_range (retry_stored_share (STORED, known) * (OTHERS + 1), 1,
                   STORED * RETRY_SHARE_NODES_MIN);
  assert_int_equal (nodes_count_known (p, now_ns + NS_PER_S), 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (unreachable_nodes_keep_their_share),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
