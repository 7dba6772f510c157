/* Tests of the back-off of store calls.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/clock.h"
#include "store/backoff.h"

static void
waits_double_up_to_the_longest (void **state)
{
  static const int64_t full_ms[]
      = { 20, 40, 80, 160, 320, 640, 1280, 2560, 2560 };
  struct backoff b = { 0 };
  (void)state;
  for (size_t i = 0; i < sizeof full_ms / sizeof full_ms[0]; i++)
    {
      struct backoff low = b;
      struct backoff middle = b;
      backoff_record_failure (&low, NS_PER_S, 0);
      backoff_record_failure (&middle, NS_PER_S, UINT32_MAX / 2);
      backoff_record_failure (&b, NS_PER_S, UINT32_MAX);
      assert_int_equal (backoff_remaining_ns (&low, NS_PER_S),
                        full_ms[i] * NS_PER_MS / 2);
      assert_in_range (backoff_remaining_ns (&middle, NS_PER_S),
                       full_ms[i] * NS_PER_MS * 3 / 4 - 1,
                       full_ms[i] * NS_PER_MS * 3 / 4);
      assert_int_equal (backoff_remaining_ns (&b, NS_PER_S),
                        full_ms[i] * NS_PER_MS);
    }
}

static void
success_ends_the_wait (void **state)
{
  struct backoff b = { 0 };
  (void)state;
  assert_int_equal (backoff_remaining_ns (&b, 0), 0);
  for (int i = 0; i < 5; i++)
    backoff_record_failure (&b, 0, UINT32_MAX);
  assert_int_equal (backoff_remaining_ns (&b, 319 * NS_PER_MS), NS_PER_MS);
  assert_int_equal (backoff_remaining_ns (&b, 320 * NS_PER_MS), 0);
  backoff_record_success (&b);
  backoff_record_failure (&b, NS_PER_S, UINT32_MAX);
  assert_int_equal (backoff_remaining_ns (&b, NS_PER_S), 20 * NS_PER_MS);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (waits_double_up_to_the_longest),
    cmocka_unit_test (success_ends_the_wait),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
