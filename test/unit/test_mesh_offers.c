/* Tests of offers, parts and cancels between a node and a peer that the test
 * plays.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "base/clock.h"
#include "http/net.h"
#include "lib/ports.h"
#include "mesh/assembly.h"
#include "mesh/nodes.h"
#include "settings/address.h"

enum
{
  PORT_OFFSET = 940, /* from the run's first port */
  LINK_KBPS = 10000,
  BODY_BYTES = 100000,
  QUIET_MS = 150, /* after which nothing more is expected */
  START_MS = 10,  /* until a request starts */
  HELD_MS = 1000,
  UNSENT_REQUESTS = 200, /* more than the kernel's buffers take */
  READ_ALL_MS = 500
};

enum when
{
  NEVER,
  AT_ONCE,
  MIDWAY,
  AT_END
};

/* The peer: it dials the node, and accepts the node's connection.  */
struct peer
{
  uv_loop_t loop;
  uv_tcp_t listener;
  uv_tcp_t accepted; /* from the node, which sends requests there */
  uv_tcp_t dialled;  /* to the node */
  uv_connect_t connect;
  uv_timer_t timer;
  uv_idle_t idle; /* active while a request runs */
  attempt_done *done;
  void *done_arg;
  GByteArray *input[2]; /* of ACCEPTED and DIALLED */
  unsigned counts[FRAME_KIND_COUNT];
  bool dialled_closed;
  bool admit;       /* how it answers an offer */
  enum when closes; /* its end of the node's connection */
  uint32_t kbps;
};

static struct peer *peer;
static struct nodes *nodes;
static struct frame_node peer_identity;
static unsigned runs;
static unsigned admitted_runs;
static bool refuse_offers;
static struct attempt_result last_result;
static unsigned done_count;

static void
send_frame (uv_tcp_t *tcp, GString *frame)
{
  net_send ((uv_stream_t *)tcp, frame);
}

static void
on_frame (const struct frame *f)
{
  struct frame_state state
      = { .clock_ns = clock_now_ns (), .load.link_kbps = peer->kbps };
  bool last = f->kind == FRAME_PART && (f->part_flags & PART_LAST) != 0;
  peer->counts[f->kind]++;
  if (f->kind == FRAME_HELLO)
    send_frame (&peer->accepted, frame_state (&peer_identity, true, &state));
  if (f->kind == FRAME_OFFER && peer->admit)
    send_frame (&peer->accepted, frame_admit (f->call_id, 0, &state));
  if ((f->kind == FRAME_OFFER && peer->closes == AT_ONCE)
      || (f->kind == FRAME_PART && peer->closes == MIDWAY)
      || (last && peer->closes == AT_END))
    if (!uv_is_closing ((uv_handle_t *)&peer->accepted))
      uv_close ((uv_handle_t *)&peer->accepted, NULL);
}

static void
on_read (uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
  bool dialled = stream == (uv_stream_t *)&peer->dialled;
  GByteArray *input = peer->input[dialled];
  if (length < 0)
    {
      peer->dialled_closed = peer->dialled_closed || dialled;
      uv_read_stop (stream);
      return;
    }
  g_byte_array_append (input, (const guint8 *)buffer->base, (guint)length);
  while (input->len >= FRAME_HEADER_BYTES)
    {
      struct frame f;
      uint32_t size;
      memcpy (&size, input->data, sizeof size);
      size = GUINT32_FROM_BE (size);
      if (input->len < size + FRAME_HEADER_BYTES)
        break;
      assert_int_equal (
          frame_parse ((char *)input->data + FRAME_HEADER_BYTES, size, &f),
          STATUS_OK);
      on_frame (&f);
      attempt_request_clear (&f.request);
      g_byte_array_remove_range (input, 0, size + FRAME_HEADER_BYTES);
    }
}

static void
on_connection (uv_stream_t *listener, int status)
{
  assert_int_equal (status, 0);
  uv_tcp_init (&peer->loop, &peer->accepted);
  if (uv_accept (listener, (uv_stream_t *)&peer->accepted) == 0)
    uv_read_start ((uv_stream_t *)&peer->accepted, net_alloc_buffer, on_read);
}

static void
on_dialled (uv_connect_t *connect, int status)
{
  (void)connect;
  assert_int_equal (status, 0);
  uv_read_start ((uv_stream_t *)&peer->dialled, net_alloc_buffer, on_read);
  send_frame (&peer->dialled, frame_hello (&peer_identity));
}

/* The node's hooks.  */

static void
fill_state (void *arg, struct frame_state *state)
{
  (void)arg;
  state->clock_ns = clock_now_ns ();
}

static void
on_idle (uv_idle_t *idle)
{
  struct attempt_result result = { .outcome = OUTCOME_ANSWERED };
  uv_idle_stop (idle);
  peer->done (peer->done_arg, &result);
}

static void
cancel_request (void *arg, void *handle, int64_t left_ns)
{
  (void)arg;
  (void)handle;
  (void)left_ns;
  uv_idle_stop (&peer->idle);
}

static void *
run_request (void *arg, struct attempt_request *request, attempt_done *done,
             void *done_arg)
{
  (void)arg;
  runs++;
  admitted_runs += request->admitted;
  peer->done = done;
  peer->done_arg = done_arg;
  uv_idle_start (&peer->idle, on_idle);
  return NULL;
}

static bool
check_offer (void *arg, const struct attempt_request *request,
             const struct lineup_arrival *arrival,
             struct attempt_result *refusal)
{
  (void)arg;
  (void)request;
  (void)arrival;
  *refusal = attempt_not_run (REASON_QUEUE_FULL, 1);
  return !refuse_offers;
}

static void
on_state (void *arg, const struct frame_node *node,
          const struct frame_state *state)
{
  (void)arg;
  (void)node;
  (void)state;
}

static void
on_done (void *arg, const struct attempt_result *result)
{
  (void)arg;
  last_result = *result;
  done_count++;
}

static void
on_timer (uv_timer_t *timer)
{
  uv_stop (timer->loop);
}

static void
run_for (unsigned ms)
{
  uv_timer_start (&peer->timer, on_timer, ms, 0);
  uv_run (&peer->loop, UV_RUN_DEFAULT);
}

/* A node and a peer with links of KBPS, connected both ways.  */
static void
set_up (unsigned number, uint32_t kbps)
{
  static const struct nodes_hooks hooks = { .fill_state = fill_state,
                                            .run_request = run_request,
                                            .cancel_request = cancel_request,
                                            .check_offer = check_offer,
                                            .on_state = on_state };
  struct frame_node self = { .name = "node", .address.host = "127.0.0.1" };
  struct sockaddr_storage at;
  peer = g_new0 (struct peer, 1); /* lives as long as the process */
  peer->kbps = kbps;
  for (int i = 0; i < 2; i++)
    peer->input[i] = g_byte_array_new ();
  runs = admitted_runs = done_count = 0;
  refuse_offers = false;
  uv_loop_init (&peer->loop);
  uv_timer_init (&peer->loop, &peer->timer);
  uv_idle_init (&peer->loop, &peer->idle);
  self.address.port = test_port (PORT_OFFSET + 2 * number);
  peer_identity = self;
  strcpy (peer_identity.name, "peer");
  peer_identity.address.port++;
  assert_int_equal (net_listen (&peer->loop, &peer->listener,
                                &peer_identity.address, on_connection),
                    STATUS_OK);
  nodes = nodes_open (&peer->loop, &self, LINK_KBPS, &hooks);
  assert_non_null (nodes);
  settings_address_to_sockaddr (&self.address, &at);
  uv_tcp_init (&peer->loop, &peer->dialled);
  uv_tcp_connect (&peer->connect, &peer->dialled, (struct sockaddr *)&at,
                  on_dialled);
  run_for (QUIET_MS);
}

static struct attempt_request
new_request (void)
{
  struct attempt_request r = {
    .id = "r",
    .key = ATTEMPT_NO_KEY,
    .deadline_ns = clock_now_ns () + 2 * NS_PER_S,
    .head = g_string_new ("POST / HTTP/1.1\r\n"),
    .body = g_string_new (NULL),
  };
  g_string_set_size (r.body, BODY_BYTES);
  return r;
}

/* Faults: a request that the peer cannot have run is reported as unknown, or
   one that it has received as not run; a body is sent without admission.  */
static void
callers_know_what_did_not_run (void **state)
{
  static const struct
  {
    bool admit;
    enum when closes, cancel;
    uint32_t kbps;
    enum outcome outcome; /* PENDING: none */
    unsigned offers, parts_min, parts_max, requests;
  } cases[] = {
    { false, AT_ONCE, NEVER, LINK_KBPS, OUTCOME_NOT_RUN, 1, 0, 0, 0 },
    { true, MIDWAY, NEVER, LINK_KBPS, OUTCOME_NOT_RUN, 1, 1, 5, 0 },
    { true, AT_END, NEVER, LINK_KBPS, OUTCOME_UNKNOWN, 1, 7, 7, 0 },
    { true, NEVER, AT_ONCE, LINK_KBPS, OUTCOME_PENDING, 1, 0, 0, 0 },
    /* A part, and the word that no more follow.  */
    { true, NEVER, MIDWAY, LINK_KBPS, OUTCOME_PENDING, 1, 2, 6, 0 },
    /* A peer of an earlier version gets the request whole.  */
    { false, NEVER, NEVER, 0, OUTCOME_PENDING, 0, 0, 0, 1 },
    /* 100,000 bytes take 0.8 ms at the peer, but not at the node.  */
    { true, AT_END, NEVER, 1000000, OUTCOME_UNKNOWN, 1, 7, 7, 0 },
  };
  (void)state;
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct attempt_request request = new_request ();
      set_up (i, cases[i].kbps);
      peer->admit = cases[i].admit;
      peer->closes = cases[i].closes;
      struct node_call *call
          = nodes_send (nodes, "peer", &request, on_done, NULL);
      assert_non_null (call);
      if (cases[i].cancel == MIDWAY)
        run_for (20);
      if (cases[i].cancel != NEVER)
        assert_true (nodes_cancel (call, 0));
      run_for (QUIET_MS);
      assert_int_equal (done_count, cases[i].outcome != OUTCOME_PENDING);
      if (done_count > 0)
        assert_int_equal (last_result.outcome, cases[i].outcome);
      assert_int_equal (peer->counts[FRAME_OFFER], cases[i].offers);
      assert_in_range (peer->counts[FRAME_PART], cases[i].parts_min,
                       cases[i].parts_max);
      assert_int_equal (peer->counts[FRAME_REQUEST], cases[i].requests);
      attempt_request_clear (&request);
    }
}

/* Faults: a request runs twice on one admission; a refused one, or one without
   admission, keeps room or counts as admitted.  */
static void
nodes_run_what_they_admit_once (void **state)
{
  static const struct
  {
    bool offer, refuse;
    unsigned requests, runs, admitted;
    bool closed;
  } cases[] = {
    { true, false, 0, 0, 0, false }, { true, false, 1, 1, 1, false },
    { true, false, 2, 1, 1, true },  { false, false, 1, 1, 0, false },
    { true, true, 1, 1, 0, false },
  };
  struct target_terms terms = { .known = false };
  (void)state;
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct attempt_request request = new_request ();
      set_up (10 + i, LINK_KBPS);
      refuse_offers = cases[i].refuse;
      if (cases[i].offer)
        send_frame (&peer->dialled, frame_offer (5, &request, &terms, 0, 0));
      for (unsigned n = 0; n < cases[i].requests; n++)
        {
          send_frame (&peer->dialled,
                      frame_request (5, &request, &terms, 0, 0));
          run_for (20);
        }
      run_for (QUIET_MS);
      assert_int_equal (peer->counts[FRAME_ADMIT],
                        cases[i].offer && !cases[i].refuse);
      assert_int_equal (runs, cases[i].runs);
      assert_int_equal (admitted_runs, cases[i].admitted);
      assert_int_equal (peer->dialled_closed, cases[i].closed);
      attempt_request_clear (&request);
    }
}

/* Send REQUEST, which was sent AGE_MS ago by its sender's word, as CALL_ID. */
static void
send_request (const struct attempt_request *request, uint64_t call_id,
              int age_ms)
{
  struct target_terms terms = { .known = false };
  send_frame (&peer->dialled,
              frame_request (call_id, request, &terms, 0,
                             clock_now_ns () - age_ms * NS_PER_MS));
}

/* Fault: a request starts although its cancel has arrived with it.  */
static void
cancels_overtake_requests_of_the_same_input (void **state)
{
  struct attempt_request request = new_request ();
  (void)state;
  set_up (20, LINK_KBPS);
  for (uint64_t id = 1; id <= 20; id++)
    {
      send_request (&request, id, 0);
      send_frame (&peer->dialled, frame_cancel (id, clock_now_ns ()));
    }
  run_for (QUIET_MS);
  assert_int_equal (runs, 0);
  send_request (&request, 21, 0);
  run_for (START_MS);
  assert_int_equal (runs, 1);
  attempt_request_clear (&request);
}

/* Fault: a request that was held on its way starts before what was held
   behind it, such as its cancel, has arrived.  */
static void
held_requests_wait_for_what_was_held_behind_them (void **state)
{
  struct attempt_request request = new_request ();
  (void)state;
  set_up (21, LINK_KBPS);
  send_request (&request, 1, HELD_MS);
  run_for (START_MS);
  send_request (&request, 2, HELD_MS);
  run_for (START_MS);
  send_frame (&peer->dialled, frame_cancel (1, clock_now_ns ()));
  run_for (START_MS);
  assert_int_equal (runs, 0);
  run_for (QUIET_MS);
  assert_int_equal (runs, 1);
  attempt_request_clear (&request);
}

/* Fault: a request whose transfer took long is taken for one that was held. */
static void
requests_in_parts_start_at_once (void **state)
{
  struct attempt_request request = new_request ();
  struct target_terms terms = { .known = false };
  (void)state;
  set_up (23, LINK_KBPS);
  GString *frame = frame_request (1, &request, &terms, 0,
                                  clock_now_ns () - HELD_MS * NS_PER_MS);
  send_frame (&peer->dialled,
              frame_part (1, PART_FIRST | PART_LAST, frame->str, frame->len));
  run_for (START_MS);
  assert_int_equal (runs, 1);
  g_string_free (frame, TRUE);
  attempt_request_clear (&request);
}

/* Fault: a request that waits in this node's memory until the other node reads
   is sent although it was cancelled.  */
static void
unsent_requests_are_taken_back (void **state)
{
  struct attempt_request request = new_request ();
  unsigned sent = 0;
  (void)state;
  set_up (22, 0);
  uv_read_stop ((uv_stream_t *)&peer->accepted);
  for (; sent < UNSENT_REQUESTS; sent++)
    assert_non_null (nodes_send (nodes, "peer", &request, on_done, NULL));
  struct node_call *last = nodes_send (nodes, "peer", &request, on_done, NULL);
  run_for (START_MS);
  assert_true (nodes_cancel (last, clock_now_ns ()));
  uv_read_start ((uv_stream_t *)&peer->accepted, net_alloc_buffer, on_read);
  run_for (READ_ALL_MS);
  assert_int_equal (peer->counts[FRAME_REQUEST], sent);
  attempt_request_clear (&request);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (callers_know_what_did_not_run),
    cmocka_unit_test (nodes_run_what_they_admit_once),
    cmocka_unit_test (cancels_overtake_requests_of_the_same_input),
    cmocka_unit_test (held_requests_wait_for_what_was_held_behind_them),
    cmocka_unit_test (requests_in_parts_start_at_once),
    cmocka_unit_test (unsent_requests_are_taken_back),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
