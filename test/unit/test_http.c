/* Scripted tests of the HTTP server and client over loopback: test/http.

   In scripts '|' stands for a line end, '_' for a blank.  What a command
   brings about is printed before the next one.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/client.h"
#include "http/server.h"
#include "lib/script.h"

enum
{
  EXCHANGES = 32,
  CALLS = 16,
  LAST_TURNS = 100,
  TURN_MS = 60, /* loopback brings everything within that */
  FD_NONE = -1
};

static void
expand (const char *text, GString *out)
{
  for (; *text != '\0'; text++)
    if (*text == '|')
      g_string_append (out, "\r\n");
    else
      g_string_append_c (out, *text == '_' ? ' ' : *text);
}

static void
print_wire (FILE *out, const char *bytes, size_t length)
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
  for (int i = 0; i < TURN_MS; i++)
    {
      uv_run (loop, UV_RUN_NOWAIT);
      usleep (1000);
    }
}

/* Let everything that is being closed end.  */
static void
end_loop (uv_loop_t *loop)
{
  for (int i = 0; i < LAST_TURNS && uv_loop_alive (loop) != 0; i++)
    run_loop (loop);
  assert_int_equal (uv_loop_close (loop), 0);
}

static uint16_t
free_port (void)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t length = sizeof at;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (bind (fd, (struct sockaddr *)&at, sizeof at), 0);
  getsockname (fd, (struct sockaddr *)&at, &length);
  close (fd);
  return ntohs (at.sin_port);
}

static struct sockaddr_in
loopback (uint16_t port)
{
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_port = htons (port) };
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return at;
}

static void
reset (int fd)
{
  struct linger hard = { 1, 0 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  close (fd);
}

/* The server.  */

struct server_world
{
  uv_loop_t loop;
  struct http_limits limits;
  struct http_server *server;
  struct settings_address address;
  struct http_server_exchange *exchanges[EXCHANGES];
  int seen;
  FILE *out;
  int fd;
};

static void
on_gone (struct http_server_exchange *x)
{
  struct server_world *w = x->user_data;
  for (int i = 1; i <= w->seen; i++)
    if (w->exchanges[i] == x)
      {
        fprintf (w->out, "gone %d\n", i);
        w->exchanges[i] = NULL;
      }
}

static void
on_request (void *arg, struct http_server_exchange *x)
{
  struct server_world *w = arg;
  int number = ++w->seen;
  w->exchanges[number] = x;
  x->user_data = w;
  x->on_disconnect = on_gone;
  fprintf (w->out, "%d %s %s body=%s\n", number, x->method,
           x->request_target->str, x->body->str);
}

static void
read_answers (struct server_world *w)
{
  char bytes[4096];
  ssize_t length = recv (w->fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (length > 0)
    print_wire (w->out, bytes, (size_t)length);
  if (length == 0)
    fprintf (w->out, "closed\n");
}

static void
server_connect (struct server_world *w)
{
  struct sockaddr_in at = loopback (w->address.port);
  if (w->fd != FD_NONE)
    close (w->fd);
  run_loop (&w->loop);
  w->fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (connect (w->fd, (struct sockaddr *)&at, sizeof at), 0);
  w->seen = 0;
}

static void
server_command (void *context, int count, char **words, FILE *out)
{
  struct server_world *w = context;
  w->out = out;
  if (strcmp (words[0], "connect") == 0)
    server_connect (w);
  else if (strcmp (words[0], "send") == 0)
    {
      GString *text = g_string_new (NULL);
      expand (words[1], text);
      send (w->fd, text->str, text->len, MSG_NOSIGNAL);
      g_string_free (text, TRUE);
    }
  else if (strcmp (words[0], "answer") == 0)
    {
      const char *body = count > 3 ? words[3] : "";
      int number = script_word_number (words[1]);
      http_respond (w->exchanges[number], script_word_number (words[2]), NULL,
                    body, strlen (body));
      w->exchanges[number] = NULL;
    }
  else if (strcmp (words[0], "drain") == 0)
    http_server_drain (w->server);
  else if (strcmp (words[0], "sleep") == 0)
    for (int i = 0; i < script_word_number (words[1]); i += TURN_MS)
      run_loop (&w->loop);
  else if (strcmp (words[0], "leave") == 0)
    {
      close (w->fd);
      w->fd = FD_NONE;
    }
  run_loop (&w->loop);
  if (w->fd != FD_NONE)
    read_answers (w);
}

static void
the_server_follows_its_script (void **state)
{
  struct server_world w = {
    .limits = { 512, 64, 1000, 5000 },
    .fd = FD_NONE,
  };
  (void)state;
  uv_loop_init (&w.loop);
  strcpy (w.address.host, "127.0.0.1");
  w.address.port = free_port ();
  w.server = http_server_new (&w.loop, &w.address, &w.limits, on_request, &w);
  assert_non_null (w.server);
  assert_int_equal (script_run ("test/http/server.txt", server_command, &w),
                    0);
  if (w.fd != FD_NONE)
    close (w.fd);
  w.out = stderr;
  http_server_close (w.server);
  end_loop (&w.loop);
}

/* The client.  */

struct client_world
{
  uv_loop_t loop;
  struct http_client *client;
  int listener;
  int fd;
  struct http_call *calls[CALLS];
  struct client_call *arguments[CALLS];
  FILE *out;
};

struct client_call
{
  struct client_world *world;
  int number;
};

static void
on_done (void *arg, const struct http_response *reply)
{
  static const char *const results[]
      = { "answered", "not-sent", "broken", "timed-out" };
  struct client_call *call = arg;
  struct client_world *w = call->world;
  fprintf (w->out, "%d %s", call->number, results[reply->result]);
  if (reply->result == HTTP_COMPLETED)
    fprintf (w->out, " %d %.*s", reply->status, (int)reply->body_length,
             reply->body);
  else
    fprintf (w->out, " %s", reply->cause);
  fprintf (w->out, "\n");
  w->calls[call->number] = NULL;
  free (call);
}

static bool
has_my_id (void *arg, const struct headers *headers)
{
  const struct client_call *call = arg;
  const char *id = headers_find (headers, "Id");
  return id == NULL || script_word_number (id) == call->number;
}

static void
client_call (struct client_world *w, int number, uint32_t timeout_ms)
{
  struct client_call *call = calloc (1, sizeof *call);
  w->arguments[number] = call;
  call->world = w;
  call->number = number;
  struct http_call_options options = {
    .done = on_done,
    .matches = has_my_id,
    .arg = call,
    .timeout_ms = timeout_ms,
  };
  GString *message = g_string_new (NULL);
  g_string_printf (message, "GET /%d HTTP/1.1\r\n\r\n", number);
  w->calls[number] = http_call (w->client, message, &options);
}

/* Print what the client sent, on a new connection if there is one.  */
static void
client_received (struct client_world *w)
{
  char bytes[4096];
  int fd = accept4 (w->listener, NULL, NULL, SOCK_NONBLOCK);
  if (fd >= 0)
    {
      fprintf (w->out, "connected\n");
      if (w->fd != FD_NONE)
        close (w->fd);
      w->fd = fd;
      run_loop (&w->loop);
    }
  if (w->fd == FD_NONE)
    return;
  ssize_t length = recv (w->fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (length > 0)
    print_wire (w->out, bytes, (size_t)length);
  if (length == 0 || (length < 0 && errno == ECONNRESET))
    {
      fprintf (w->out, "left\n");
      close (w->fd);
      w->fd = FD_NONE;
    }
}

static void
client_reply (struct client_world *w, const char *text)
{
  GString *bytes = g_string_new (NULL);
  expand (text, bytes);
  send (w->fd, bytes->str, bytes->len, MSG_NOSIGNAL);
  g_string_free (bytes, TRUE);
}

static void
client_end (struct client_world *w, bool hard)
{
  if (hard)
    reset (w->fd);
  else
    close (w->fd);
  w->fd = FD_NONE;
}

static void
client_command (void *context, int count, char **words, FILE *out)
{
  struct client_world *w = context;
  w->out = out;
  if (strcmp (words[0], "call") == 0)
    client_call (w, script_word_number (words[1]),
                 (uint32_t)script_number (count, words, "timeout", 5000));
  else if (strcmp (words[0], "reply") == 0)
    client_reply (w, words[1]);
  else if (strcmp (words[0], "reply-and-reset") == 0)
    {
      client_reply (w, words[1]);
      client_end (w, true);
    }
  else if (strcmp (words[0], "close") == 0)
    client_end (w, false);
  else if (strcmp (words[0], "cancel") == 0)
    {
      http_call_cancel (w->calls[script_word_number (words[1])]);
      free (w->arguments[script_word_number (words[1])]);
      w->calls[script_word_number (words[1])] = NULL;
    }
  else if (strcmp (words[0], "sleep") == 0)
    for (int i = 0; i < script_word_number (words[1]); i += TURN_MS)
      run_loop (&w->loop);
  run_loop (&w->loop);
  client_received (w);
}

static void
the_client_follows_its_script (void **state)
{
  struct client_world w = { .fd = FD_NONE };
  struct settings_address address = { "127.0.0.1", free_port () };
  struct sockaddr_in at = loopback (address.port);
  int on = 1;
  (void)state;
  uv_loop_init (&w.loop);
  w.listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  setsockopt (w.listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  assert_int_equal (bind (w.listener, (struct sockaddr *)&at, sizeof at), 0);
  listen (w.listener, 8);
  w.client = http_client_new (&w.loop, &address, 1);
  assert_int_equal (script_run ("test/http/client.txt", client_command, &w),
                    0);
  w.out = stderr;
  http_client_reset (w.client, "end");
  close (w.listener);
  end_loop (&w.loop);
  g_free (w.client);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (the_server_follows_its_script),
    cmocka_unit_test (the_client_follows_its_script),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
