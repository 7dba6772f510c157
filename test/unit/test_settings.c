/* Tests of the defaults of the settings and of loading an example file.
   test/script/check.test tests the validation.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>

#include "base/finding.h"
#include "settings/schema.h"
#include "settings/settings.h"

static void
defaults_match_documentation (void **state)
{
  struct settings s;
  (void)state;
  settings_defaults (&s);
  assert_string_equal (s.name, "");
  assert_string_equal (s.rack, "");
  assert_int_equal (s.callers.port, 0);
  assert_int_equal (s.target_slots, 12);
  assert_int_equal (s.target_connections, 130);
  assert_false (s.target_fenced);
  assert_int_equal (s.store_count, 0);
  assert_string_equal (s.store_prefix, "/crocusbend");
  assert_int_equal (s.store_timeout_ms, 500);
  assert_int_equal (s.requests_max, 4096);
  assert_int_equal (s.body_bytes_max, 1048576);
  assert_int_equal (s.deadline_ms, 2000);
  assert_int_equal (s.deadline_max_ms, 30000);
  assert_int_equal (s.drain_ms, 10000);
  assert_int_equal (s.lease_term_ms, 400);
  assert_int_equal (s.lease_renew_ms, 133);
  assert_int_equal (s.policy, POLICY_UNAVAILABLE_TIME_FIRST);
  assert_int_equal (s.log_level, LOG_INFO);
}

/* The platform writes rates as 10.0, and shares of a core as 0.2.  */
static void
decimals_are_kept_in_thousandths (void **state)
{
  static const struct
  {
    const char *text;
    bool valid;
    uint32_t kbps;
  } cases[] = {
    { "1000.0", true, 1000000 },
    { "10", true, 10000 },
    { "0.2", true, 200 },
    { "12.345", true, 12345 },
    { "100000", true, 100000000 },
    { "100000.001", false, 0 },
    { "1.2345", false, 0 },
    { "1.", false, 0 },
    { ".5", false, 0 },
    { "-1", false, 0 },
    { "1e3", false, 0 },
    { "01.0", false, 0 },
    { "1.0.0", false, 0 },
    { "", false, 0 },
  };
  const struct setting *def = &settings_schema[SETTING_node_link_mbps];
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct settings s = { .link_kbps = 0 };
      char problem[SETTING_PROBLEM_BYTES];
      bool valid = setting_parse (&s, def, cases[i].text, problem);
      assert_int_equal (valid, cases[i].valid);
      assert_int_equal (s.link_kbps, cases[i].kbps);
    }
}

static void
example_file_is_loaded (void **state)
{
  struct settings s;
  char *findings = NULL;
  (void)state;
  assert_int_equal (
      settings_load (&s, "examples/little-soles.yaml", &findings), STATUS_OK);
  assert_null (findings);
  assert_string_equal (s.name, "stock-app-arima-1");
  assert_string_equal (s.region, "north-trinidad");
  assert_string_equal (s.zone, "arima");
  assert_string_equal (s.rack, "");
  assert_string_equal (s.service, "stock-app");
  assert_string_equal (s.operator_address.host, "10.40.1.21");
  assert_int_equal (s.operator_address.port, 8082);
  assert_int_equal (s.target_slots, 9);
  assert_int_equal (s.store_count, 2);
  assert_string_equal (s.stores[1].host, "10.40.2.5");
  assert_int_equal (s.stores[1].port, 2379);
  assert_string_equal (s.store_prefix, "/crocusbend/little-soles");
  assert_int_equal (s.deadline_ms, 1500);
  assert_int_equal (s.policy, POLICY_IMBALANCE_FIRST);
}

static void
addresses_are_canonical (void **state)
{
  struct settings s;
  char *findings = NULL;
  (void)state;
  assert_int_equal (
      settings_load (&s, "test/settings/clashes.yaml", &findings),
      STATUS_INVALID);
  assert_non_null (findings);
  free (findings);
  assert_string_equal (s.peers.host, "::1");
}

static void
findings_are_sorted_by_location (void **state)
{
  struct findings *f = findings_new ("b");
  (void)state;
  findings_add (f, 2, 1, "k", "third %d", 3);
  findings_add (f, 1, 9, "k", "first");
  findings_add (f, 1, 9, "", "second");
  findings_set_path (f, "a");
  findings_add (f, 1, 1, "k", "fourth");
  char *text = findings_format (f);
  assert_string_equal (text, "b:1:9: k: first\n"
                             "b:1:9: second\n"
                             "b:2:1: k: third 3\n"
                             "a:1:1: k: fourth\n"
                             "4 errors\n");
  free (text);
  findings_free (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (defaults_match_documentation),
    cmocka_unit_test (decimals_are_kept_in_thousandths),
    cmocka_unit_test (example_file_is_loaded),
    cmocka_unit_test (addresses_are_canonical),
    cmocka_unit_test (findings_are_sorted_by_location),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
