/* Tests of the base modules.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "base/clock.h"
#include "base/inbox.h"
#include "base/kernel.h"
#include "base/status.h"

struct probe
{
  struct service service;
  char *journal;
};

static enum status
probe_start (struct service *self)
{
  struct probe *p = (struct probe *)self;
  strcat (p->journal, "+");
  strcat (p->journal, self->ops->name);
  return STATUS_OK;
}

static void
probe_drain (struct service *self)
{
  struct probe *p = (struct probe *)self;
  strcat (p->journal, "~");
  strcat (p->journal, self->ops->name);
}

static void
probe_stop (struct service *self)
{
  struct probe *p = (struct probe *)self;
  strcat (p->journal, "-");
  strcat (p->journal, self->ops->name);
}

static void
probe_free (struct service *self)
{
  (void)self;
}

static const struct service_ops ops_a
    = { "a", probe_start, probe_drain, probe_stop, probe_free };
static const struct service_ops ops_b
    = { "b", probe_start, NULL, probe_stop, probe_free };

static void
kernel_orders_services (void **state)
{
  char journal[64] = "";
  struct probe a = { { &ops_a }, journal };
  struct probe b = { { &ops_b }, journal };
  struct probe twin = { { &ops_b }, journal };
  struct kernel *k = kernel_new ();
  (void)state;
  assert_int_equal (kernel_register (k, &a.service), STATUS_OK);
  assert_int_equal (kernel_register (k, &b.service), STATUS_OK);
  assert_int_equal (kernel_register (k, &twin.service), STATUS_CONFLICT);
  assert_ptr_equal (kernel_find (k, "b"), &b.service);
  assert_null (kernel_find (k, "c"));
  assert_int_equal (kernel_start (k), STATUS_OK);
  kernel_stop (k);
  kernel_free (k);
  assert_string_equal (journal, "+a+b~a-b-a");
}

static void
inbox_is_bounded_and_ordered (void **state)
{
  struct inbox *in = inbox_new (4);
  int items[4];
  (void)state;
  assert_true (inbox_arm_wakeup (in));
  for (int i = 0; i < 3; i++)
    assert_int_equal (inbox_put (in, &items[i]), STATUS_OK);
  assert_int_equal (inbox_put (in, &items[3]), STATUS_FULL);
  assert_false (inbox_arm_wakeup (in));
  for (int i = 0; i < 3; i++)
    assert_ptr_equal (inbox_take (in), &items[i]);
  assert_null (inbox_take (in));
  inbox_free (in);
}

static void
a_pause_lasts_also_above_a_second (void **state)
{
  static const int64_t pauses_ms[] = { 5, 1100 };
  (void)state;
  for (size_t i = 0; i < sizeof pauses_ms / sizeof pauses_ms[0]; i++)
    {
      int64_t began_ns = clock_now_ns ();
      clock_sleep_ms (pauses_ms[i]);
      assert_true (clock_now_ns () - began_ns >= pauses_ms[i] * NS_PER_MS);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_pause_lasts_also_above_a_second),
    cmocka_unit_test (kernel_orders_services),
    cmocka_unit_test (inbox_is_bounded_and_ordered),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
