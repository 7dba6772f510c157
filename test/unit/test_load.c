/* Tests of the load generator against a server in the same process.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/histogram.h"
#include "lib/ports.h"
#include "load/drive.h"
#include "load/options.h"
#include "load/workload.h"

enum
{
  ARGUMENTS_MAX = 32,
  REPORT_BYTES = 65536,
  BODY_BYTES = 1024
};

/* Run a load with ARGUMENTS, split at spaces.  Return its report as JSON.  */
static json_t *
run_load (const char *arguments)
{
  char *argv[ARGUMENTS_MAX] = { "load" };
  char *findings = NULL;
  char *text = strdup (arguments);
  char *rest = NULL;
  int argc = 1;
  double elapsed_s = 0;
  struct load_options o;
  for (char *a = strtok_r (text, " ", &rest); a != NULL;
       a = strtok_r (NULL, " ", &rest))
    argv[argc++] = a;
  assert_int_equal (load_options_parse (&o, argc, argv, &findings), STATUS_OK);
  struct workload *w = workload_new (&o);
  struct tally *t = tally_new (&o, w);
  struct journal *j = journal_open (o.journal_path);
  assert_int_equal (drive_load (&o, w, t, j, &elapsed_s), STATUS_OK);
  char *report = NULL;
  size_t length = 0;
  FILE *out = open_memstream (&report, &length);
  tally_print (t, elapsed_s, true, out);
  fclose (out);
  json_t *parsed = json_loads (report, 0, NULL);
  assert_non_null (parsed);
  free (report);
  journal_close (j);
  tally_free (t);
  workload_free (w);
  load_options_clear (&o);
  free (text);
  return parsed;
}

static long
number (json_t *report, const char *member, const char *inner)
{
  json_t *value = json_object_get (report, member);
  if (inner != NULL)
    value = json_object_get (value, inner);
  return (long)json_integer_value (value);
}

/* A server that answers like a node.  Every FOREIGN_EVERY-th answer belongs to
   another request and every REFUSE_EVERY-th is a refusal (0: none).  */
struct server
{
  struct MHD_Daemon *daemon;
  unsigned foreign_every;
  unsigned refuse_every;
  unsigned requests;
};

static enum MHD_Result
answer (void *arg, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *data,
        size_t *length, void **state)
{
  struct server *s = arg;
  char body[BODY_BYTES];
  (void)method;
  (void)version;
  (void)data;
  if (*state == NULL)
    {
      *state = s;
      return MHD_YES;
    }
  if (*length > 0)
    {
      *length = 0;
      return MHD_YES;
    }
  unsigned n = ++s->requests;
  bool foreign = s->foreign_every > 0 && n % s->foreign_every == 0;
  bool refused = s->refuse_every > 0 && n % s->refuse_every == 0;
  const char *token = MHD_lookup_connection_value (
      connection, MHD_GET_ARGUMENT_KIND, "token");
  snprintf (body, sizeof body,
            "{\"target\":\"t1\",\"id\":\"%08x\","
            "\"path\":\"%s?token=%s\"}",
            n, url, foreign ? "00000000-0" : token);
  struct MHD_Response *r = MHD_create_response_from_buffer (
      strlen (body), body, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (r, "Crocusbend-Outcome",
                           refused ? "not-run" : "answered");
  if (refused)
    MHD_add_response_header (r, "Crocusbend-Reason", "full");
  enum MHD_Result queued
      = MHD_queue_response (connection, refused ? 503 : 200, r);
  MHD_destroy_response (r);
  return queued;
}

static void
start (struct server *s, unsigned port)
{
  s->requests = 0;
  s->daemon = MHD_start_daemon (MHD_USE_EPOLL_INTERNAL_THREAD, (uint16_t)port,
                                NULL, NULL, answer, s, MHD_OPTION_END);
  assert_non_null (s->daemon);
}

static void
histogram_orders_values (void **state)
{
  struct histogram *h = histogram_new ();
  (void)state;
  assert_int_equal (histogram_percentile (h, 50), 0);
  for (int64_t i = 1; i <= 1000; i++)
    histogram_add (h, i * 1000);
  assert_int_equal (histogram_count (h), 1000);
  assert_int_equal (histogram_max (h), 1000000);
  assert_in_range (histogram_percentile (h, 50), 500000, 505000);
  assert_in_range (histogram_percentile (h, 99), 990000, 1000000);
  assert_int_equal (histogram_percentile (h, 100), 1000000);
  histogram_add (h, INT64_MAX);
  assert_int_equal (histogram_percentile (h, 100), INT64_MAX);
  histogram_free (h);
}

static void
workload_keeps_its_shares (void **state)
{
  char *argv[]
      = { "load",         "--node=a:1",       "--service=s",
          "--rate=1",     "--keys=100",       "--zipf=1",
          "--hot=k50,20", "--write-share=25", "--organisations=a:3,b:1" };
  struct load_options o;
  char *findings = NULL;
  unsigned counts[100] = { 0 };
  unsigned writes = 0;
  unsigned second_organisation = 0;
  (void)state;
  assert_int_equal (load_options_parse (&o, 9, argv, &findings), STATUS_OK);
  struct workload *w = workload_new (&o);
  for (int i = 0; i < 100000; i++)
    {
      struct workload_choice c;
      workload_next (w, &c);
      counts[c.key]++;
      writes += c.write;
      second_organisation += c.organisation;
    }
  assert_in_range (counts[50], 19000, 22000);
  assert_in_range (counts[0], 14500, 16500); /* 0.8 / H(100) = 15.4% */
  assert_in_range (writes, 24000, 26000);
  assert_in_range (second_organisation, 24000, 26000);
  assert_string_equal (workload_key_name (w, 50), "k50");
  workload_free (w);
  load_options_clear (&o);
}

static void
keys_come_from_a_file (void **state)
{
  char path[] = "/tmp/test_load.XXXXXX";
  char option[64];
  char *argv[] = { "load", "--node=a:1", "--service=s", "--rate=1", option };
  struct load_options o;
  struct workload_choice c;
  char *findings = NULL;
  int fd = mkstemp (path);
  (void)state;
  assert_int_equal (write (fd, "line-3\nline-9\n", 14), 14);
  close (fd);
  snprintf (option, sizeof option, "--key-file=%s", path);
  assert_int_equal (load_options_parse (&o, 5, argv, &findings), STATUS_OK);
  struct workload *w = workload_new (&o);
  assert_int_equal (o.key_count, 2);
  assert_string_equal (workload_key_name (w, 1), "line-9");
  workload_next (w, &c);
  assert_in_range (c.key, 0, 1);
  workload_free (w);
  load_options_clear (&o);
  unlink (path);
}

static void
options_report_all_findings (void **state)
{
  char *argv[] = { "load", "--rate=1", "--workers=1", "--zipf=x", "--hot=k1" };
  struct load_options o;
  char *findings = NULL;
  (void)state;
  assert_int_equal (load_options_parse (&o, 5, argv, &findings),
                    STATUS_INVALID);
  assert_non_null (strstr (findings, "--node"));
  assert_non_null (strstr (findings, "--service"));
  assert_non_null (strstr (findings, "--zipf"));
  assert_non_null (strstr (findings, "--hot"));
  assert_non_null (strstr (findings, "--rate or --workers"));
  free (findings);
  load_options_clear (&o);
}

static void
open_loop_follows_its_schedule (void **state)
{
  struct server s = { .refuse_every = 10 };
  char arguments[256];
  (void)state;
  start (&s, test_port (0));
  snprintf (arguments, sizeof arguments,
            "--node 127.0.0.1:%u --service s --rate 500 --seconds 1 "
            "--keys 20 --write-share 50",
            test_port (0));
  json_t *report = run_load (arguments);
  MHD_stop_daemon (s.daemon);
  long sent = number (report, "requests", NULL);
  assert_int_equal (sent + number (report, "missed", NULL), 500);
  assert_int_equal (sent, s.requests);
  assert_int_equal (number (report, "outcome", "not-run"), sent / 10);
  assert_int_equal (number (report, "reason", "full"), sent / 10);
  assert_int_equal (number (report, "outcome", "answered"), sent - sent / 10);
  assert_int_equal (number (report, "foreign_answers", NULL), 0);
  assert_int_equal (number (report, "unchecked_answers", NULL), 0);
  assert_int_equal (number (report, "target", "t1"), sent - sent / 10);
  json_decref (report);
}

static void
foreign_answers_are_found (void **state)
{
  struct server s = { .foreign_every = 7 };
  char arguments[256];
  (void)state;
  start (&s, test_port (1));
  snprintf (arguments, sizeof arguments,
            "--node 127.0.0.1:%u --service s --workers 4 --seconds 0.2",
            test_port (1));
  json_t *report = run_load (arguments);
  MHD_stop_daemon (s.daemon);
  assert_true (s.requests >= 7);
  assert_int_equal (number (report, "foreign_answers", NULL), s.requests / 7);
  json_decref (report);
}

/* A server that answers the first request of each connection and closes the
   connection without an answer at the second.  It makes libcurl send a request
   again unless that is prevented.  */
struct closing_server
{
  int listener;
  atomic_int requests;
};

static void
serve_one (struct closing_server *c, int fd)
{
  static const char text[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                             "Crocusbend-Outcome: answered\r\n\r\n{}";
  char request[BODY_BYTES];
  if (recv (fd, request, sizeof request, 0) > 0)
    {
      atomic_fetch_add (&c->requests, 1);
      ssize_t ignored = send (fd, text, sizeof text - 1, MSG_NOSIGNAL);
      (void)ignored;
      if (recv (fd, request, sizeof request, 0) > 0)
        atomic_fetch_add (&c->requests, 1);
    }
  close (fd);
}

static void *
run_closing_server (void *arg)
{
  struct closing_server *c = arg;
  int fd;
  while ((fd = accept (c->listener, NULL, NULL)) >= 0)
    serve_one (c, fd);
  return NULL;
}

static void
lost_post_is_not_sent_again (void **state)
{
  struct closing_server c = { .requests = 0 };
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (test_port (2)) };
  pthread_t thread;
  char arguments[256];
  int enabled = 1;
  (void)state;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  c.listener = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (c.listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  assert_int_equal (
      bind (c.listener, (struct sockaddr *)&address, sizeof address), 0);
  assert_int_equal (listen (c.listener, 16), 0);
  pthread_create (&thread, NULL, run_closing_server, &c);
  snprintf (arguments, sizeof arguments,
            "--node 127.0.0.1:%u --service s --workers 1 --seconds 0.2 "
            "--write-share 100",
            test_port (2));
  json_t *report = run_load (arguments);
  shutdown (c.listener, SHUT_RDWR);
  pthread_join (thread, NULL);
  close (c.listener);
  assert_true (number (report, "outcome", "lost") > 0);
  assert_int_equal (number (report, "requests", NULL),
                    atomic_load (&c.requests));
  json_decref (report);
}

static void
unsent_requests_do_not_count_as_lost (void **state)
{
  char arguments[256];
  (void)state;
  snprintf (arguments, sizeof arguments,
            "--node 127.0.0.1:%u --service s --rate 100 --seconds 0.1",
            test_port (3));
  json_t *report = run_load (arguments);
  assert_true (number (report, "outcome", "unsent") > 0);
  assert_int_equal (number (report, "outcome", "unsent"),
                    number (report, "reason", "connect"));
  assert_int_equal (number (report, "outcome", "lost"), 0);
  json_decref (report);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (histogram_orders_values),
    cmocka_unit_test (workload_keeps_its_shares),
    cmocka_unit_test (keys_come_from_a_file),
    cmocka_unit_test (options_report_all_findings),
    cmocka_unit_test (open_loop_follows_its_schedule),
    cmocka_unit_test (foreign_answers_are_found),
    cmocka_unit_test (lost_post_is_not_sent_again),
    cmocka_unit_test (unsent_requests_do_not_count_as_lost),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
