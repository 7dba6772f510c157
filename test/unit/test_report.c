/* Tests of the outcome counters, scripted in test/report/burn.txt, and of
   fetching them over HTTP.  Lines of the script:

   > burn SERIES, > add AT_S SERVICE paying|trial WHAT [times=N],
   > export AT_S  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#include "lib/ports.h"
#include "lib/script.h"
#include "report/burn.h"
#include "report/fetch.h"

enum
{
  PORT_OFFSET = 931,
  URL_BYTES = 64,
  TIMEOUT_MS = 30000
};

struct context
{
  struct burn *burn;
};

static enum burn_outcome
outcome_named (const char *word)
{
  for (int w = 0; w < BURN_OUTCOME_COUNT; w++)
    if (strcmp (word, burn_outcome_name ((enum burn_outcome)w)) == 0)
      return (enum burn_outcome)w;
  fprintf (stderr, "no such word '%s'\n", word);
  abort ();
}

static void
run_line (void *context, int count, char **words, FILE *out)
{
  struct context *x = context;
  int64_t at_ms = count > 1 ? strtol (words[1], NULL, 10) * 1000 : 0;
  if (strcmp (words[0], "burn") == 0)
    {
      burn_free (x->burn);
      x->burn = burn_new ((uint32_t)strtoul (words[1], NULL, 10));
    }
  else if (strcmp (words[0], "add") == 0 && count > 4)
    {
      enum admit_kind kind
          = strcmp (words[3], "trial") == 0 ? ADMIT_TRIAL : ADMIT_PAYING;
      long times = script_number (count, words, "times", 1);
      for (long i = 0; i < times; i++)
        burn_add (x->burn, words[2], kind, outcome_named (words[4]), at_ms);
    }
  else if (strcmp (words[0], "export") == 0)
    {
      char *text = burn_export_json (x->burn, at_ms);
      fprintf (out, "%s\n", text);
      free (text);
    }
  else
    fprintf (out, "bad input\n");
}

static void
burn_counts (void **state)
{
  struct context x = { 0 };
  (void)state;
  assert_int_equal (script_run ("test/report/burn.txt", run_line, &x), 0);
  burn_free (x.burn);
}

static enum MHD_Result
answer (void *context, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *upload,
        size_t *upload_bytes, void **request)
{
  static char body[] = "counts";
  (void)context;
  (void)method;
  (void)version;
  (void)upload;
  (void)upload_bytes;
  (void)request;
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (body), body, MHD_RESPMEM_PERSISTENT);
  unsigned status
      = strcmp (url, "/burn") == 0 ? MHD_HTTP_OK : MHD_HTTP_NOT_FOUND;
  enum MHD_Result queued = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return queued;
}

static void
fetch_over_http (void **state)
{
  uint16_t port = test_port (PORT_OFFSET);
  char url[URL_BYTES];
  char *body;
  (void)state;
  struct MHD_Daemon *daemon
      = MHD_start_daemon (MHD_USE_INTERNAL_POLLING_THREAD, (uint16_t)port,
                          NULL, NULL, answer, NULL, MHD_OPTION_END);
  assert_non_null (daemon);
  snprintf (url, sizeof url, "http://127.0.0.1:%u/burn", port);
  assert_int_equal (fetch_url (url, TIMEOUT_MS, &body), STATUS_OK);
  assert_string_equal (body, "counts");
  free (body);
  snprintf (url, sizeof url, "http://127.0.0.1:%u/other", port);
  assert_int_equal (fetch_url (url, TIMEOUT_MS, &body), STATUS_UNAVAILABLE);
  assert_null (body);
  MHD_stop_daemon (daemon);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (burn_counts),
    cmocka_unit_test (fetch_over_http),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
