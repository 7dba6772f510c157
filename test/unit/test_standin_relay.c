/* Tests of the fault-injecting relay.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "lib/ports.h"
#include "lib/standin_http.h"
#include "lib/standin_relay.h"

enum
{
  PORT_OFFSET = 920,
  ADDRESS_BYTES = 32,
  DATAGRAMS = 200,
  STREAM_BYTES = 3 * 1024 * 1024,
  WAIT_S = 30,
  SEED = 7
};

struct fixture
{
  struct standin_relay *relay;
  int server; /* UDP socket or TCP listener */
  int client;
  char listen[ADDRESS_BYTES];
};

static void
address_text (char text[ADDRESS_BYTES], int offset)
{
  snprintf (text, ADDRESS_BYTES, "127.0.0.1:%u",
            (unsigned)test_port (PORT_OFFSET + (unsigned)offset));
}

static int
open_socket (int type)
{
  const struct timeval timeout = { WAIT_S, 0 };
  const int on = 1;
  int fd = socket (AF_INET, type, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  return fd;
}

static void
set_up (struct fixture *r, int type)
{
  char target[ADDRESS_BYTES];
  struct sockaddr_in a;
  address_text (r->listen, 0);
  address_text (target, 1);
  standin_parse_address (target, &a);
  r->server = open_socket (type);
  assert_int_equal (bind (r->server, (struct sockaddr *)&a, sizeof a), 0);
  if (type == SOCK_STREAM)
    listen (r->server, 8);
  r->relay = standin_relay_new (SEED);
  assert_true (standin_relay_add (r->relay, "x", type == SOCK_DGRAM, r->listen,
                                  target));
  assert_true (standin_relay_start (r->relay));
  r->client = open_socket (type);
  standin_parse_address (r->listen, &a);
  assert_int_equal (connect (r->client, (struct sockaddr *)&a, sizeof a), 0);
}

static void
tear_down (struct fixture *r)
{
  close (r->client);
  close (r->server);
  standin_relay_free (r->relay);
}

static void
set_faults (struct fixture *r, enum standin_direction d,
            struct standin_faults f)
{
  standin_relay_set_faults (r->relay, 0, d, &f);
}

/* Wait until all datagrams of the client have been forwarded or dropped.  */
static struct standin_traffic
wait_for_traffic (struct fixture *r, uint64_t sent)
{
  const struct timespec pause = { 0, NS_PER_MS };
  int64_t deadline_ns = clock_now_ns () + WAIT_S * NS_PER_S;
  for (;;)
    {
      struct standin_traffic p
          = standin_relay_traffic (r->relay, 0, STANDIN_TO_TARGET);
      if (p.passed + p.lost == sent + p.duplicated)
        return p;
      assert_true (clock_now_ns () < deadline_ns);
      nanosleep (&pause, NULL);
    }
}

static struct standin_traffic
send_datagrams (void)
{
  struct fixture r;
  set_up (&r, SOCK_DGRAM);
  set_faults (
      &r, STANDIN_TO_TARGET,
      (struct standin_faults){ .loss_percent = 30, .duplicate_percent = 20 });
  for (int i = 0; i < DATAGRAMS; i++)
    assert_int_equal (send (r.client, &i, sizeof i, 0), sizeof i);
  struct standin_traffic p = wait_for_traffic (&r, DATAGRAMS);
  for (uint64_t i = 0; i < p.passed; i++)
    {
      int number;
      assert_int_equal (recv (r.server, &number, sizeof number, 0),
                        sizeof number);
    }
  tear_down (&r);
  return p;
}

static void
equal_seeds_give_equal_faults (void **state)
{
  struct standin_traffic first = send_datagrams ();
  struct standin_traffic second = send_datagrams ();
  (void)state;
  assert_int_equal (first.lost, second.lost);
  assert_int_equal (first.duplicated, second.duplicated);
  assert_int_equal (first.passed, second.passed);
  assert_in_range (first.lost, DATAGRAMS * 20 / 100, DATAGRAMS * 40 / 100);
  assert_in_range (first.duplicated, DATAGRAMS * 6 / 100,
                   DATAGRAMS * 24 / 100);
}

static void
cut_drops_datagrams_of_one_direction (void **state)
{
  struct fixture r;
  char text[8];
  struct sockaddr_in from;
  socklen_t size = sizeof from;
  (void)state;
  set_up (&r, SOCK_DGRAM);
  set_faults (&r, STANDIN_FROM_TARGET, (struct standin_faults){ .cut = true });
  assert_int_equal (send (r.client, "one", 4, 0), 4);
  assert_int_equal (recvfrom (r.server, text, sizeof text, 0,
                              (struct sockaddr *)&from, &size),
                    4);
  assert_int_equal (
      sendto (r.server, "lost", 5, 0, (struct sockaddr *)&from, size), 5);
  int64_t deadline_ns = clock_now_ns () + WAIT_S * NS_PER_S;
  while (standin_relay_traffic (r.relay, 0, STANDIN_FROM_TARGET).lost == 0)
    assert_true (clock_now_ns () < deadline_ns);
  set_faults (&r, STANDIN_FROM_TARGET, (struct standin_faults){ 0 });
  assert_int_equal (
      sendto (r.server, "back", 5, 0, (struct sockaddr *)&from, size), 5);
  assert_int_equal (recv (r.client, text, sizeof text, 0), 5);
  assert_string_equal (text, "back");
  tear_down (&r);
}

static int
accept_client (struct fixture *r)
{
  const struct timeval timeout = { WAIT_S, 0 };
  int fd = accept (r->server, NULL, NULL);
  assert_true (fd >= 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  return fd;
}

static void
delays_keep_stream_data_intact (void **state)
{
  struct fixture r;
  (void)state;
  set_up (&r, SOCK_STREAM);
  set_faults (&r, STANDIN_TO_TARGET,
              (struct standin_faults){ .delay_ns = NS_PER_MS,
                                       .jitter_ns = 3 * NS_PER_MS,
                                       .loss_percent = 5 });
  int server = accept_client (&r);
  char *sent = malloc (STREAM_BYTES);
  char *received = malloc (STREAM_BYTES);
  size_t in = 0;
  size_t out = 0;
  for (size_t i = 0; i < STREAM_BYTES; i++)
    sent[i] = (char)(i * 7 + i / 253);
  while (in < STREAM_BYTES)
    {
      ssize_t n = out == STREAM_BYTES
                      ? 0
                      : send (r.client, sent + out, STREAM_BYTES - out,
                              MSG_DONTWAIT);
      if (n > 0)
        out += (size_t)n;
      if (n > 0 && out == STREAM_BYTES)
        shutdown (r.client, SHUT_WR);
      n = recv (server, received + in, STREAM_BYTES - in,
                out == STREAM_BYTES ? 0 : MSG_DONTWAIT);
      assert_true (n > 0 || (n < 0 && out < STREAM_BYTES));
      in += n > 0 ? (size_t)n : 0;
    }
  assert_memory_equal (sent, received, STREAM_BYTES);
  assert_int_equal (recv (server, received, 1, 0), 0);
  assert_int_equal (send (server, "end", 4, 0), 4);
  assert_int_equal (recv (r.client, received, 4, MSG_WAITALL), 4);
  free (sent);
  free (received);
  close (server);
  tear_down (&r);
}

static void
cut_delays_stream_data_of_one_direction (void **state)
{
  struct fixture r;
  char text[8];
  (void)state;
  set_up (&r, SOCK_STREAM);
  int server = accept_client (&r);
  set_faults (&r, STANDIN_TO_TARGET, (struct standin_faults){ .cut = true });
  assert_int_equal (send (r.client, "held", 5, 0), 5);
  assert_int_equal (send (server, "free", 5, 0), 5);
  assert_int_equal (recv (r.client, text, 5, MSG_WAITALL), 5);
  assert_string_equal (text, "free");
  assert_int_equal (recv (server, text, 5, MSG_DONTWAIT), -1);
  set_faults (&r, STANDIN_TO_TARGET, (struct standin_faults){ 0 });
  assert_int_equal (recv (server, text, 5, MSG_WAITALL), 5);
  assert_string_equal (text, "held");
  close (server);
  tear_down (&r);
}

static void
reset_closes_open_connections (void **state)
{
  struct fixture r;
  char text[8];
  (void)state;
  set_up (&r, SOCK_STREAM);
  int server = accept_client (&r);
  set_faults (&r, STANDIN_TO_TARGET, (struct standin_faults){ .reset = true });
  assert_int_equal (recv (r.client, text, 1, 0), -1);
  assert_int_equal (errno, ECONNRESET);
  assert_int_equal (recv (server, text, 1, 0), -1);
  assert_int_equal (errno, ECONNRESET);
  close (server);
  tear_down (&r);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (equal_seeds_give_equal_faults),
    cmocka_unit_test (cut_drops_datagrams_of_one_direction),
    cmocka_unit_test (delays_keep_stream_data_intact),
    cmocka_unit_test (cut_delays_stream_data_of_one_direction),
    cmocka_unit_test (reset_closes_open_connections),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
