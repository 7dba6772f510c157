/* Tests of the burn category of ended requests and of the text form of rate
   messages.  */

#include "route/callstats.h"
#include "route/rated.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

struct burn_case
{
  enum outcome outcome;
  enum reason reason;
  bool late;
  int category; /* -1: not counted */
};

static void
ended_requests_are_classified_by_cause (void **state)
{
  static const struct burn_case cases[] = {
    { OUTCOME_ANSWERED, REASON_NONE, false, BURN_ANSWERED },
    { OUTCOME_ANSWERED, REASON_NONE, true, BURN_LATE },
    { OUTCOME_UNKNOWN, REASON_DEADLINE, true, BURN_UNKNOWN },
    { OUTCOME_UNKNOWN, REASON_OWNER_LOST, false, BURN_UNKNOWN },
    { OUTCOME_NOT_RUN, REASON_DEADLINE, true, BURN_LATE },
    { OUTCOME_NOT_RUN, REASON_TRIAL_RATE, false, BURN_REFUSED },
    { OUTCOME_NOT_RUN, REASON_TARGET_REFUSED, false, BURN_REFUSED },
    { OUTCOME_NOT_RUN, REASON_MOVING, false, BURN_UNAVAILABLE },
    { OUTCOME_NOT_RUN, REASON_TARGET_DOWN, false, BURN_UNAVAILABLE },
    { OUTCOME_NOT_RUN, REASON_CALLER_GONE, false, -1 },
    { OUTCOME_NOT_RUN, REASON_LOOKUP_DEPTH, false, -1 },
  };
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      enum burn_outcome category;
      const struct burn_case *c = &cases[i];
      bool counted = callstats_classify_burn (c->outcome, c->reason, c->late,
                                              &category);
      assert_int_equal (counted, c->category >= 0);
      if (counted)
        assert_int_equal (category, c->category);
    }
}

static void
rate_messages_round_trip (void **state)
{
  struct rate_report report = { "acme", 7, 4487, 0, 500 };
  struct rate_grant grant = { "acme", 7, UINT32_MAX, 15000 };
  struct rate_report report_read = { 0 };
  struct rate_grant grant_read = { 0 };
  (void)state;
  char *text = rate_report_format (&report);
  assert_true (rate_report_parse (&report_read, text));
  assert_memory_equal (&report, &report_read, sizeof report);
  free (text);
  text = rate_grant_format (&grant);
  assert_true (rate_grant_parse (&grant_read, text));
  assert_string_equal (grant_read.organisation, "acme");
  assert_int_equal (grant_read.granted, UINT32_MAX);
  assert_int_equal (grant_read.interval_ms, 15000);
  free (text);
}

static void
malformed_rate_messages_are_refused (void **state)
{
  char name[RATE_NAME_BYTES + 1];
  char text[RATE_NAME_BYTES + 32];
  static const char *const malformed[] = { "",
                                           "1",
                                           "1 2 3",
                                           "1 2 3 4",
                                           "x 2 3 4 acme",
                                           "1 2 3 4x acme",
                                           "1 2 3 4294967296 acme" };
  struct rate_report report;
  (void)state;
  for (size_t i = 0; i < sizeof malformed / sizeof malformed[0]; i++)
    assert_false (rate_report_parse (&report, malformed[i]));
  memset (name, 'a', RATE_NAME_BYTES);
  name[RATE_NAME_BYTES] = '\0';
  snprintf (text, sizeof text, "1 2 3 4 %s", name);
  assert_false (rate_report_parse (&report, text));
  name[RATE_NAME_BYTES - 1] = '\0';
  snprintf (text, sizeof text, "1 2 3 4 %s", name);
  assert_true (rate_report_parse (&report, text));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (ended_requests_are_classified_by_cause),
    cmocka_unit_test (rate_messages_round_trip),
    cmocka_unit_test (malformed_rate_messages_are_refused),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
