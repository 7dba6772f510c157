/* Scripted tests of the HTTP server and client over loopback: test/http.

   In scripts '|' stands for a line end, '_' for a space.  The effects of each
   command are printed before the next one runs.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/client.h"
#include "http/server.h"
#include "lib/script.h"
#include "limit/memory.h"

enum
{
  EXCHANGES_MAX = 32,
  CALLS_MAX = 16,
  CLOSE_RUNS_MAX = 100,
  STALLED_RUNS_MAX = 200,
  ENDLESS_CALLS = 100,
  PAUSED_REQUESTS = 100, /* more than are in progress at once */
  UNREAD_MS = 50,
  NOTICE_RUNS = 4, /* of the loop, until a disconnection is noticed */
  LARGE_MESSAGE_BYTES = 16 << 20, /* more than the kernel's buffers take */
  ENDLESS_BODY_BYTES = 100000,
  LOOP_RUN_MS = 60, /* enough for all traffic on loopback to arrive */
  FD_NONE = -1
};

static void
unescape (const char *text, GString *out)
{
  for (; *text != '\0'; text++)
    if (*text == '|')
      g_string_append (out, "\r\n");
    else
      g_string_append_c (out, *text == '_' ? ' ' : *text);
}

static void
print_bytes (FILE *out, const char *bytes, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (bytes[i] == '\r')
      fputc ('|', out);
    else if (bytes[i] != '\n')
      fputc (bytes[i], out);
  fputc ('\n', out);
}

static void
run_loop (uv_loop_t *loop)
{
  for (int i = 0; i < LOOP_RUN_MS; i++)
    {
      uv_run (loop, UV_RUN_NOWAIT);
      usleep (1000);
    }
}

/* Run LOOP until all handles are closed, and close it.  */
static void
close_loop (uv_loop_t *loop)
{
  for (int i = 0; i < CLOSE_RUNS_MAX && uv_loop_alive (loop) != 0; i++)
    run_loop (loop);
  assert_int_equal (uv_loop_close (loop), 0);
}

static uint16_t
free_port (void)
{
  struct sockaddr_in socket_address = { .sin_family = AF_INET };
  socklen_t length = sizeof socket_address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  socket_address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (
      bind (fd, (struct sockaddr *)&socket_address, sizeof socket_address), 0);
  getsockname (fd, (struct sockaddr *)&socket_address, &length);
  close (fd);
  return ntohs (socket_address.sin_port);
}

static struct sockaddr_in
loopback (uint16_t port)
{
  struct sockaddr_in socket_address
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  socket_address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return socket_address;
}

static void
close_with_reset (int fd)
{
  struct linger with_reset = { 1, 0 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &with_reset, sizeof with_reset);
  close (fd);
}

/* Send the text of word 1 and then COUNT times that of word 2, until the other
   side closes the connection FD or reads no more for a while.  */
static void
flood (uv_loop_t *loop, int fd, char **words)
{
  GString *bytes = g_string_new (NULL);
  int stalled = 0;
  unescape (words[1], bytes);
  for (int i = 0; i < script_word_number (words[3]); i++)
    unescape (words[2], bytes);
  for (size_t sent = 0; sent < bytes->len && stalled < STALLED_RUNS_MAX;)
    {
      ssize_t n = send (fd, bytes->str + sent, bytes->len - sent,
                        MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0 && errno != EAGAIN)
        break;
      stalled = n > 0 ? 0 : stalled + 1;
      sent += n > 0 ? (size_t)n : 0;
      uv_run (loop, UV_RUN_NOWAIT);
      usleep (n > 0 ? 0 : 1000);
    }
  g_string_free (bytes, TRUE);
}

/* The server.  */

struct server_test
{
  uv_loop_t loop;
  struct http_limits limits;
  struct http_server *server;
  struct settings_address address;
  struct http_server_exchange *exchanges[EXCHANGES_MAX];
  int request_count;
  struct memory memory;
  struct http_memory http_memory;
  GPtrArray *held; /* requests of a pipeline; NULL: requests are printed */
  FILE *out;
  int fd;
};

static bool
reserve (void *arg, size_t bytes)
{
  return memory_reserve (&((struct server_test *)arg)->memory, bytes);
}

static void
count_bytes (void *arg, int64_t bytes)
{
  struct memory *memory = &((struct server_test *)arg)->memory;
  if (bytes > 0)
    memory_add (memory, (size_t)bytes);
  else
    memory_release (memory, (size_t)-bytes, 1);
}

static int64_t
retry_after (void *arg, size_t bytes)
{
  return memory_retry_after_ns (&((struct server_test *)arg)->memory, bytes,
                                1);
}

static void
record_disconnect (struct http_server_exchange *exchange)
{
  struct server_test *test = exchange->user_data;
  for (int i = 1; i <= test->request_count; i++)
    if (test->exchanges[i] == exchange)
      {
        fprintf (test->out, "disconnected %d\n", i);
        test->exchanges[i] = NULL;
      }
}

static void
record_request (void *arg, struct http_server_exchange *exchange)
{
  struct server_test *test = arg;
  int number = ++test->request_count;
  if (test->held != NULL)
    {
      g_ptr_array_add (test->held, exchange);
      return;
    }
  test->exchanges[number] = exchange;
  exchange->user_data = test;
  exchange->on_disconnect = record_disconnect;
  fprintf (test->out, "%d %s %s body=%s\n", number, exchange->method,
           exchange->request_target->str, exchange->body->str);
}

static void
print_received (struct server_test *test)
{
  char bytes[4096];
  ssize_t length = recv (test->fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (length > 0)
    print_bytes (test->out, bytes, (size_t)length);
  if (length == 0)
    fprintf (test->out, "closed\n");
}

/* Send COUNT requests at once and answer with BODY_BYTES each all that have
   arrived, until no more arrive.  */
static void
run_pipeline (struct server_test *test, int count, int body_bytes)
{
  char *words[] = { "", "GET_/_HTTP/1.1|Host:_x||", "GET_/_HTTP/1.1|Host:_x||",
                    g_strdup_printf ("%d", count - 1) };
  char *body = g_strnfill ((gsize)body_bytes, 'x');
  guint held_max = 0;
  test->held = g_ptr_array_new ();
  flood (&test->loop, test->fd, words);
  for (run_loop (&test->loop); test->held->len > 0; run_loop (&test->loop))
    {
      GPtrArray *held = test->held;
      test->held = g_ptr_array_new ();
      held_max = MAX (held_max, held->len);
      for (guint i = 0; i < held->len; i++)
        http_respond (g_ptr_array_index (held, i), 200, NULL, body,
                      (size_t)body_bytes);
      g_ptr_array_free (held, TRUE);
    }
  fprintf (test->out, "at most %u at once, all %d: %s\n", held_max, count,
           test->request_count == count ? "yes" : "no");
  close (test->fd);
  test->fd = FD_NONE;
  run_loop (&test->loop);
  g_ptr_array_free (test->held, TRUE);
  test->held = NULL;
  g_free (body);
  g_free (words[3]);
}

/* Send the text of word 1 and leave, by a reset if word 2 is "reset", while
   the loop does not run.  */
static void
send_and_leave (struct server_test *test, int count, char **words)
{
  GString *text = g_string_new (NULL);
  unescape (words[1], text);
  send (test->fd, text->str, text->len, MSG_NOSIGNAL);
  g_string_free (text, TRUE);
  if (count > 2 && strcmp (words[2], "reset") == 0)
    close_with_reset (test->fd);
  else if (count > 2 && strcmp (words[2], "half") == 0)
    shutdown (test->fd, SHUT_WR);
  else
    close (test->fd);
  if (count <= 2 || strcmp (words[2], "half") != 0)
    test->fd = FD_NONE;
  usleep (UNREAD_MS * 1000);
}

static void
connect_caller (struct server_test *test)
{
  struct sockaddr_in socket_address = loopback (test->address.port);
  if (test->fd != FD_NONE)
    close (test->fd);
  run_loop (&test->loop);
  test->fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (connect (test->fd, (struct sockaddr *)&socket_address,
                             sizeof socket_address),
                    0);
  test->request_count = 0;
}

static void
run_server_command (void *context, int count, char **words, FILE *out)
{
  struct server_test *test = context;
  test->out = out;
  if (strcmp (words[0], "connect") == 0)
    connect_caller (test);
  else if (strcmp (words[0], "send") == 0)
    {
      GString *text = g_string_new (NULL);
      unescape (words[1], text);
      send (test->fd, text->str, text->len, MSG_NOSIGNAL);
      g_string_free (text, TRUE);
    }
  else if (strcmp (words[0], "respond") == 0)
    {
      const char *body = count > 3 ? words[3] : "";
      int number = script_word_number (words[1]);
      http_respond (test->exchanges[number], script_word_number (words[2]),
                    NULL, body, strlen (body));
      test->exchanges[number] = NULL;
    }
  else if (strcmp (words[0], "field") == 0)
    {
      const char *value = headers_find (
          test->exchanges[script_word_number (words[1])]->headers, words[2]);
      fprintf (out, "%s\n", value == NULL ? "none" : value);
    }
  else if (strcmp (words[0], "flood") == 0)
    flood (&test->loop, test->fd, words);
  else if (strcmp (words[0], "memory") == 0)
    test->memory.limit = (uint64_t)script_word_number (words[1]);
  else if (strcmp (words[0], "hold") == 0)
    count_bytes (test, script_word_number (words[1]));
  else if (strcmp (words[0], "free") == 0)
    count_bytes (test, -script_word_number (words[1]));
  else if (strcmp (words[0], "used") == 0)
    fprintf (out, "%d bytes\n", (int)test->memory.used);
  else if (strcmp (words[0], "limit-head") == 0)
    test->limits.header_bytes_max = (uint32_t)script_word_number (words[1]);
  else if (strcmp (words[0], "pipeline") == 0)
    run_pipeline (test, script_word_number (words[1]),
                  script_word_number (words[2]));
  else if (strcmp (words[0], "send-and-leave") == 0)
    send_and_leave (test, count, words);
  else if (strcmp (words[0], "leave-and-ask") == 0)
    {
      struct http_server_exchange *x
          = test->exchanges[script_word_number (words[1])];
      fprintf (out, "%s\n", http_caller_is_there (x) ? "there" : "gone");
      close (test->fd);
      test->fd = FD_NONE;
      usleep (UNREAD_MS * 1000);
      fprintf (out, "%s\n", http_caller_is_there (x) ? "there" : "gone");
    }
  else if (strcmp (words[0], "drain") == 0)
    http_server_drain (test->server);
  else if (strcmp (words[0], "sleep") == 0)
    for (int i = 0; i < script_word_number (words[1]); i += LOOP_RUN_MS)
      run_loop (&test->loop);
  else if (strcmp (words[0], "close") == 0)
    {
      close (test->fd);
      test->fd = FD_NONE;
    }
  run_loop (&test->loop);
  if (test->fd != FD_NONE)
    print_received (test);
}

static void
server_test_begin (struct server_test *test)
{
  *test = (struct server_test){
    .limits = { 512, 64, 1000, 5000 },
    .fd = FD_NONE,
  };
  uv_loop_init (&test->loop);
  strcpy (test->address.host, "127.0.0.1");
  test->address.port = free_port ();
  test->server = http_server_new (&test->loop, &test->address, &test->limits,
                                  record_request, test);
  assert_non_null (test->server);
  g_random_set_seed (1);
  test->http_memory
      = (struct http_memory){ test, 2, reserve, count_bytes, retry_after };
  http_server_set_memory (test->server, &test->http_memory);
}

static void
server_test_end (struct server_test *test)
{
  if (test->fd != FD_NONE)
    close (test->fd);
  test->out = stderr;
  http_server_close (test->server);
  close_loop (&test->loop);
}

static void
server_follows_script (void **state)
{
  struct server_test test;
  (void)state;
  server_test_begin (&test);
  assert_int_equal (
      script_run ("test/http/server.txt", run_server_command, &test), 0);
  server_test_end (&test);
}

/* Fault: a request is dispatched although its caller's disconnection has
   arrived along with it.  */
static void
requests_of_callers_that_left_are_dropped (void **state)
{
  struct server_test test;
  (void)state;
  server_test_begin (&test);
  assert_int_equal (
      script_run ("test/http/left.txt", run_server_command, &test), 0);
  server_test_end (&test);
}

static void
count_disconnect (struct http_server_exchange *exchange)
{
  ++*(unsigned *)exchange->user_data;
}

/* Fault: while reading is paused, a caller's disconnection is not noticed, and
   its requests run and are followed by further ones.  */
static void
paused_connections_notice_that_callers_leave (void **state)
{
  struct server_test test;
  (void)state;
  for (int with_reset = 0; with_reset < 2; with_reset++)
    {
      char *words[] = { "", "", "GET_/_HTTP/1.1|Host:_x||",
                        g_strdup_printf ("%d", PAUSED_REQUESTS) };
      unsigned left = 0;
      server_test_begin (&test);
      test.held = g_ptr_array_new ();
      connect_caller (&test);
      flood (&test.loop, test.fd, words);
      run_loop (&test.loop);
      guint in_progress = test.held->len;
      assert_in_range (in_progress, 1, PAUSED_REQUESTS - 1);
      for (guint i = 0; i < in_progress; i++)
        {
          struct http_server_exchange *x = g_ptr_array_index (test.held, i);
          x->user_data = &left;
          x->on_disconnect = count_disconnect;
        }
      if (with_reset)
        close_with_reset (test.fd);
      else
        close (test.fd);
      test.fd = FD_NONE;
      for (int i = 0; i < NOTICE_RUNS; i++)
        run_loop (&test.loop);
      assert_int_equal (left, in_progress);
      assert_int_equal (test.held->len, in_progress);
      server_test_end (&test);
      g_ptr_array_free (test.held, TRUE);
      g_free (words[3]);
    }
}

/* The client.  */

struct client_test
{
  uv_loop_t loop;
  struct http_client *client;
  int listener;
  int fd;
  struct http_call *calls[CALLS_MAX];
  struct test_call *arguments[CALLS_MAX];
  FILE *out;
};

struct test_call
{
  struct client_test *test;
  int number;
};

static void
record_response (void *arg, const struct http_response *response)
{
  static const char *const result_names[]
      = { "completed", "not-sent", "failed", "timed-out" };
  struct test_call *call = arg;
  struct client_test *test = call->test;
  fprintf (test->out, "%d %s", call->number, result_names[response->result]);
  if (response->result == HTTP_COMPLETED)
    fprintf (test->out, " %d %.*s", response->status,
             (int)response->body_length, response->body);
  else
    fprintf (test->out, " %s", response->cause);
  fprintf (test->out, "\n");
  test->calls[call->number] = NULL;
  free (call);
}

static void
print_unbounded (void *arg, const char *cause, size_t bytes)
{
  struct client_test *test = arg;
  (void)bytes;
  fprintf (test->out, "unbounded %s\n", cause);
}

static bool
has_own_id (void *arg, const struct headers *headers)
{
  const struct test_call *call = arg;
  const char *id = headers_find (headers, "Id");
  return id == NULL || script_word_number (id) == call->number;
}

static bool
has_id (void *arg, const struct headers *headers)
{
  (void)arg;
  return headers_find (headers, "Id") != NULL;
}

static void
test_call (struct client_test *test, int count, char **words)
{
  int number = script_word_number (words[1]);
  struct test_call *call = calloc (1, sizeof *call);
  test->arguments[number] = call;
  call->test = test;
  call->number = number;
  struct http_call_options options = {
    .done = record_response,
    .matches = has_own_id,
    .arg = call,
    .timeout_ms = (uint32_t)script_number (count, words, "timeout", 5000),
    .identifies = script_number (count, words, "ids", 0) ? has_id : NULL,
    .fresh = script_number (count, words, "fresh", 0) != 0,
  };
  GString *message = g_string_new (NULL);
  g_string_printf (message, "GET /%d HTTP/1.1\r\n\r\n", number);
  test->calls[number] = http_call (test->client, message, &options);
}

/* Print what the client sent; accept its new connection if there is one.  */
static void
print_requests (struct client_test *test)
{
  char bytes[4096];
  int fd = accept4 (test->listener, NULL, NULL, SOCK_NONBLOCK);
  if (fd >= 0)
    {
      fprintf (test->out, "connected\n");
      if (test->fd != FD_NONE)
        close (test->fd);
      test->fd = fd;
      run_loop (&test->loop);
    }
  if (test->fd == FD_NONE)
    return;
  ssize_t length = recv (test->fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (length > 0)
    print_bytes (test->out, bytes, (size_t)length);
  if (length == 0 || (length < 0 && errno == ECONNRESET))
    {
      fprintf (test->out, "disconnected\n");
      close (test->fd);
      test->fd = FD_NONE;
    }
}

static void
send_response (struct client_test *test, const char *text)
{
  GString *bytes = g_string_new (NULL);
  unescape (text, bytes);
  send (test->fd, bytes->str, bytes->len, MSG_NOSIGNAL);
  g_string_free (bytes, TRUE);
}

static void
close_accepted (struct client_test *test, bool with_reset)
{
  if (with_reset)
    close_with_reset (test->fd);
  else
    close (test->fd);
  test->fd = FD_NONE;
}

static void
run_client_command (void *context, int count, char **words, FILE *out)
{
  struct client_test *test = context;
  test->out = out;
  if (strcmp (words[0], "call") == 0)
    test_call (test, count, words);
  else if (strcmp (words[0], "respond") == 0)
    send_response (test, words[1]);
  else if (strcmp (words[0], "flood") == 0)
    flood (&test->loop, test->fd, words);
  else if (strcmp (words[0], "respond-and-reset") == 0)
    {
      send_response (test, words[1]);
      close_accepted (test, true);
    }
  else if (strcmp (words[0], "close") == 0)
    close_accepted (test, false);
  else if (strcmp (words[0], "cancel") == 0)
    {
      http_call_cancel (test->calls[script_word_number (words[1])]);
      free (test->arguments[script_word_number (words[1])]);
      test->calls[script_word_number (words[1])] = NULL;
    }
  else if (strcmp (words[0], "sleep") == 0)
    for (int i = 0; i < script_word_number (words[1]); i += LOOP_RUN_MS)
      run_loop (&test->loop);
  run_loop (&test->loop);
  print_requests (test);
}

static void
client_follows_script (void **state)
{
  struct client_test test = { .fd = FD_NONE };
  struct settings_address address = { "127.0.0.1", free_port () };
  struct sockaddr_in socket_address = loopback (address.port);
  int on = 1;
  (void)state;
  uv_loop_init (&test.loop);
  test.listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  setsockopt (test.listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  assert_int_equal (bind (test.listener, (struct sockaddr *)&socket_address,
                          sizeof socket_address),
                    0);
  listen (test.listener, 8);
  test.client = http_client_new (&test.loop, &address, 1);
  http_client_set_body_max (test.client, ENDLESS_BODY_BYTES);
  http_client_on_unbounded (test.client, print_unbounded, &test);
  assert_int_equal (
      script_run ("test/http/client.txt", run_client_command, &test), 0);
  test.out = stderr;
  http_client_reset (test.client, "end");
  close (test.listener);
  close_loop (&test.loop);
  g_free (test.client);
}

/* Fault: a reset that a write of the request finds first looks like the end of
   a response without a length to the read that follows it.  */

enum
{
  UPLOADS = 24,
  UPLOAD_BYTES = 4 << 20
};

/* Sends the beginning of a response to each connection of the listener *ARG
   and ends it while the request is still written: by a reset, or, for the last
   one, by an orderly close that reads on.  */
static void *
respond_early (void *arg)
{
  static const char response[] = "HTTP/1.1 200 OK\r\n\r\npart";
  static char bytes[65536];
  for (int i = 0; i <= UPLOADS; i++)
    {
      int fd = accept (*(int *)arg, NULL, NULL);
      if (i % 2 == 1)
        recv (fd, bytes, sizeof bytes, 0);
      send (fd, response, strlen (response), MSG_NOSIGNAL);
      if (i < UPLOADS)
        {
          close_with_reset (fd);
          continue;
        }
      shutdown (fd, SHUT_WR);
      while (recv (fd, bytes, sizeof bytes, 0) > 0)
        ;
      close (fd);
    }
  return NULL;
}

struct upload_end
{
  bool ended;
  bool completed;
};

static void
note_upload (void *arg, const struct http_response *response)
{
  struct upload_end *end = arg;
  end->ended = true;
  end->completed = response->result == HTTP_COMPLETED;
}

static void
resets_during_uploads_end_no_response (void **state)
{
  uv_loop_t loop;
  struct settings_address address = { "127.0.0.1", free_port () };
  struct sockaddr_in at = loopback (address.port);
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  pthread_t peer;
  int completed = 0;
  struct upload_end end;
  (void)state;
  uv_loop_init (&loop);
  assert_int_equal (bind (listener, (struct sockaddr *)&at, sizeof at), 0);
  listen (listener, 1);
  struct http_client *client = http_client_new (&loop, &address, 1);
  struct http_call_options options
      = { .done = note_upload, .arg = &end, .timeout_ms = 5000 };
  pthread_create (&peer, NULL, respond_early, &listener);
  for (int i = 0; i <= UPLOADS; i++)
    {
      GString *message = g_string_new (NULL);
      g_string_printf (message,
                       "POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n",
                       UPLOAD_BYTES);
      g_string_set_size (message, message->len + UPLOAD_BYTES);
      end = (struct upload_end){ 0 };
      http_call (client, message, &options);
      while (!end.ended)
        uv_run (&loop, UV_RUN_ONCE);
      if (i < UPLOADS)
        completed += end.completed;
    }
  pthread_join (peer, NULL);
  assert_int_equal (completed, 0);
  assert_true (end.completed);
  close (listener);
  close_loop (&loop);
  g_free (client);
}

static void
count_failure (void *arg, const struct http_response *response)
{
  int *failed = arg;
  *failed += response->result == HTTP_FAILED && response->unbounded;
}

/* Fault: what the kernel has not sent of a cancelled call is still delivered,
   since its connection is closed in an orderly way.  */
static void
cancelled_calls_are_not_delivered (void **state)
{
  static char bytes[65536];
  uv_loop_t loop;
  struct settings_address address = { "127.0.0.1", free_port () };
  struct sockaddr_in at = loopback (address.port);
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  int failed = 0;
  ssize_t length;
  (void)state;
  uv_loop_init (&loop);
  assert_int_equal (bind (listener, (struct sockaddr *)&at, sizeof at), 0);
  listen (listener, 1);
  struct http_client *client = http_client_new (&loop, &address, 1);
  struct http_call_options options
      = { .done = count_failure, .arg = &failed, .timeout_ms = 5000 };
  GString *message = g_string_new (NULL);
  g_string_set_size (message, LARGE_MESSAGE_BYTES);
  struct http_call *call = http_call (client, message, &options);
  run_loop (&loop);
  int fd = accept (listener, NULL, NULL);
  http_call_cancel (call);
  run_loop (&loop);
  while ((length = recv (fd, bytes, sizeof bytes, 0)) > 0)
    ;
  assert_int_equal (length, -1);
  assert_int_equal (errno, ECONNRESET);
  close (fd);
  close (listener);
  close_loop (&loop);
  g_free (client);
}

/* Bodies without end from many targets at once are cut off: a target that goes
   on sending must find its connection closed.  */
static void
endless_responses_end (void **state)
{
  static const char head[] = "HTTP/1.1 200 OK\r\n\r\n";
  static char body[ENDLESS_BODY_BYTES];
  uv_loop_t loop;
  struct settings_address address = { "127.0.0.1", free_port () };
  struct sockaddr_in at = loopback (address.port);
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  int fds[ENDLESS_CALLS];
  int failed = 0;
  (void)state;
  uv_loop_init (&loop);
  assert_int_equal (bind (listener, (struct sockaddr *)&at, sizeof at), 0);
  listen (listener, ENDLESS_CALLS);
  struct http_client *client
      = http_client_new (&loop, &address, ENDLESS_CALLS);
  struct http_call_options options
      = { .done = count_failure, .arg = &failed, .timeout_ms = 5000 };
  http_client_set_body_max (client, ENDLESS_BODY_BYTES);
  for (int i = 0; i < ENDLESS_CALLS; i++)
    http_call (client, g_string_new ("GET / HTTP/1.1\r\n\r\n"), &options);
  run_loop (&loop);
  for (int i = 0; i < ENDLESS_CALLS; i++)
    {
      fds[i] = accept (listener, NULL, NULL);
      send (fds[i], head, strlen (head), 0);
    }
  for (int round = 0; round < 10; round++, run_loop (&loop))
    for (int i = 0; i < ENDLESS_CALLS; i++)
      send (fds[i], body, sizeof body, MSG_NOSIGNAL | MSG_DONTWAIT);
  assert_int_equal (failed, ENDLESS_CALLS);
  for (int i = 0; i < ENDLESS_CALLS; i++)
    {
      assert_true (send (fds[i], body, 1, MSG_NOSIGNAL) < 0);
      close (fds[i]);
    }
  close (listener);
  close_loop (&loop);
  g_free (client);
}

/* Bodies without end from a few targets at once share one budget.  Beyond it
   the largest is cut off, and a response beside them is not.  */

enum
{
  SHARED_LIMIT_BYTES = 16 << 20,
  SHARING_CALLS = 8,
  SHARED_ROUNDS = 1000
};

struct shared_memory
{
  int64_t used;
  int64_t peak;
};

static void
count_shared (void *arg, int64_t bytes)
{
  struct shared_memory *m = arg;
  m->used += bytes;
  m->peak = MAX (m->peak, m->used);
}

static bool
reserve_shared (void *arg, size_t bytes)
{
  struct shared_memory *m = arg;
  if (m->used + (int64_t)bytes > SHARED_LIMIT_BYTES)
    return false;
  count_shared (m, (int64_t)bytes);
  return true;
}

static void
note_completion (void *arg, const struct http_response *response)
{
  *(bool *)arg = response->result == HTTP_COMPLETED;
}

static void
endless_responses_share_a_budget (void **state)
{
  static const char head[] = "HTTP/1.1 200 OK\r\n\r\n";
  static const char sound[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n";
  static char body[50000];
  struct shared_memory used = { 0 };
  struct http_memory memory
      = { .arg = &used, .reserve = reserve_shared, .count = count_shared };
  uv_loop_t loop;
  struct settings_address address = { "127.0.0.1", free_port () };
  struct sockaddr_in at = loopback (address.port);
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  int fds[SHARING_CALLS + 1];
  int failed = 0;
  bool completed = false;
  (void)state;
  uv_loop_init (&loop);
  assert_int_equal (bind (listener, (struct sockaddr *)&at, sizeof at), 0);
  listen (listener, SHARING_CALLS + 1);
  struct http_client *client
      = http_client_new (&loop, &address, SHARING_CALLS + 1);
  struct http_call_options options
      = { .done = count_failure, .arg = &failed, .timeout_ms = 60000 };
  http_client_set_memory (client, &memory);
  for (int i = 0; i <= SHARING_CALLS; i++)
    {
      if (i == SHARING_CALLS)
        options = (struct http_call_options){ .done = note_completion,
                                              .arg = &completed,
                                              .timeout_ms = 60000 };
      http_call (client, g_string_new ("GET / HTTP/1.1\r\n\r\n"), &options);
      run_loop (&loop);
      fds[i] = accept (listener, NULL, NULL);
      send (fds[i], i < SHARING_CALLS ? head : sound,
            strlen (i < SHARING_CALLS ? head : sound), 0);
    }
  send (fds[SHARING_CALLS], body, sizeof body / 2, 0);
  for (int round = 0; round < SHARED_ROUNDS && failed < SHARING_CALLS - 2;
       round++)
    {
      for (int i = 0; i < SHARING_CALLS; i++)
        send (fds[i], body, sizeof body, MSG_NOSIGNAL | MSG_DONTWAIT);
      uv_run (&loop, UV_RUN_NOWAIT);
    }
  assert_in_range (failed, SHARING_CALLS - 2, SHARING_CALLS);
  assert_in_range (used.peak, SHARED_LIMIT_BYTES / 2,
                   SHARED_LIMIT_BYTES + SHARED_LIMIT_BYTES / 8);
  send (fds[SHARING_CALLS], body, sizeof body / 2, 0);
  run_loop (&loop);
  assert_true (completed);
  for (int i = 0; i <= SHARING_CALLS; i++)
    close (fds[i]);
  run_loop (&loop);
  http_client_reset (client, "end");
  assert_int_equal (used.used, 0);
  close (listener);
  close_loop (&loop);
  g_free (client);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (server_follows_script),
    cmocka_unit_test (requests_of_callers_that_left_are_dropped),
    cmocka_unit_test (paused_connections_notice_that_callers_leave),
    cmocka_unit_test (cancelled_calls_are_not_delivered),
    cmocka_unit_test (client_follows_script),
    cmocka_unit_test (resets_during_uploads_end_no_response),
    cmocka_unit_test (endless_responses_end),
    cmocka_unit_test (endless_responses_share_a_budget),
  };
  signal (SIGPIPE, SIG_IGN); /* as the node does */
  return cmocka_run_group_tests (tests, NULL, NULL);
}
