/* Tests of src/base.  */

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

struct recorder
{
  struct service service;
  char *calls;
};

static enum status
recorder_start (struct service *self)
{
  struct recorder *r = (struct recorder *)self;
  strcat (r->calls, "+");
  strcat (r->calls, self->ops->name);
  return STATUS_OK;
}

static void
recorder_drain (struct service *self)
{
  struct recorder *r = (struct recorder *)self;
  strcat (r->calls, "~");
  strcat (r->calls, self->ops->name);
}

static void
recorder_stop (struct service *self)
{
  struct recorder *r = (struct recorder *)self;
  strcat (r->calls, "-");
  strcat (r->calls, self->ops->name);
}

static void
recorder_free (struct service *self)
{
  (void)self;
}

static const struct service_ops ops_a
    = { "a", recorder_start, recorder_drain, recorder_stop, recorder_free };
static const struct service_ops ops_b
    = { "b", recorder_start, NULL, recorder_stop, recorder_free };

static void
kernel_runs_services_in_order (void **state)
{
  char calls[64] = "";
  struct recorder a = { { &ops_a }, calls };
  struct recorder b = { { &ops_b }, calls };
  struct recorder duplicate = { { &ops_b }, calls };
  struct kernel *k = kernel_new ();
  (void)state;
  assert_int_equal (kernel_register (k, &a.service), STATUS_OK);
  assert_int_equal (kernel_register (k, &b.service), STATUS_OK);
  assert_int_equal (kernel_register (k, &duplicate.service), STATUS_CONFLICT);
  assert_ptr_equal (kernel_find (k, "b"), &b.service);
  assert_null (kernel_find (k, "c"));
  assert_int_equal (kernel_start (k), STATUS_OK);
  kernel_stop (k);
  kernel_free (k);
  assert_string_equal (calls, "+a+b~a-b-a");
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

/* nanosleep fails at once if tv_nsec is a second or more.  */
static void
sleep_lasts_for_full_duration (void **state)
{
  static const int64_t durations_ms[] = { 5, 1100 };
  (void)state;
  for (size_t i = 0; i < sizeof durations_ms / sizeof durations_ms[0]; i++)
    {
      int64_t start_ns = clock_now_ns ();
      clock_sleep_ms (durations_ms[i]);
      assert_true (clock_now_ns () - start_ns >= durations_ms[i] * NS_PER_MS);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (sleep_lasts_for_full_duration),
    cmocka_unit_test (kernel_runs_services_in_order),
    cmocka_unit_test (inbox_is_bounded_and_ordered),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
