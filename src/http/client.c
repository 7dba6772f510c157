#include "http/client.h"

#include "http/net.h"
#include "settings/address.h"
#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum
{
  /* A connection that the server may close any moment is not used again: it
     is idle for this long at most, below the shortest idle timeout seen.  */
  IDLE_MS = 4000,
  MS_PER_S = 1000,
  CONNECT_MS = 1000, /* a target on the same instance accepts in a moment */
  BODY_MAX = 64 << 20
};

struct http_client
{
  uv_loop_t *loop;
  struct sockaddr_storage address;
  uint32_t connections_max;
  uint32_t connections;
  GQueue idle;    /* connections, the one used last first */
  GQueue all;     /* connections */
  GQueue waiting; /* calls without a connection */
};

struct connection
{
  uv_tcp_t tcp;
  uv_timer_t timer;
  uv_connect_t connecting;
  http_parser parser;
  struct http_client *client;
  GList in_all;
  GList in_idle;
  struct http_call *call;
  struct headers *headers;
  GString *body;
  unsigned handles;
  uint32_t idle_ms; /* how long it may wait for its next call */
  bool connected;
  bool is_idle;
  bool complete; /* the answer of the call was read */
  bool passing;  /* the message being read belongs to no call */
  bool keep_alive;
  bool closed;
};

struct http_call
{
  struct http_client *client;
  struct connection *connection; /* NULL while it waits */
  GString *message;
  struct http_call_options options;
  GList in_waiting;
};

static void close_connection (struct connection *c);
static void start_waiting (struct http_client *client);

static void
call_free (struct http_call *call)
{
  if (call->message != NULL)
    g_string_free (call->message, TRUE);
  g_free (call);
}

static void
end_call (struct http_call *call, const struct http_reply *reply)
{
  call->options.done (call->options.arg, reply);
  call_free (call);
}

static void
fail_call (struct http_call *call, enum http_result result, const char *cause)
{
  struct http_reply reply = { .result = result, .cause = cause };
  end_call (call, &reply);
}

static void
on_handle_closed (uv_handle_t *handle)
{
  struct connection *c = handle->data;
  if (--c->handles > 0)
    return;
  headers_free (c->headers);
  g_string_free (c->body, TRUE);
  g_free (c);
}

static void
close_connection (struct connection *c)
{
  if (c->closed)
    return;
  c->closed = true;
  c->client->connections--;
  g_queue_unlink (&c->client->all, &c->in_all);
  if (c->is_idle)
    g_queue_unlink (&c->client->idle, &c->in_idle);
  c->is_idle = false;
  uv_close ((uv_handle_t *)&c->tcp, on_handle_closed);
  uv_close ((uv_handle_t *)&c->timer, on_handle_closed);
}

/* Close C and end its call.  */
static void
break_connection (struct connection *c, enum http_result result,
                  const char *cause)
{
  struct http_call *call = c->call;
  struct http_client *client = c->client;
  c->call = NULL;
  close_connection (c);
  if (call != NULL)
    fail_call (call, result, cause);
  start_waiting (client);
}

/* Parsing.  */

static int
on_begin (http_parser *p)
{
  struct connection *c = p->data;
  /* Bytes after the whole answer: they belong to no call.  */
  if (c->complete)
    return 1;
  headers_clear (c->headers);
  g_string_truncate (c->body, 0);
  c->passing = false;
  return 0;
}

static int
on_field (http_parser *p, const char *at, size_t length)
{
  headers_feed_name (((struct connection *)p->data)->headers, at, length);
  return 0;
}

static int
on_value (http_parser *p, const char *at, size_t length)
{
  headers_feed_value (((struct connection *)p->data)->headers, at, length);
  return 0;
}

static int
on_headers (http_parser *p)
{
  struct connection *c = p->data;
  struct http_call *call = c->call;
  if (headers_count (c->headers, "Content-Length") > 1)
    return -1;
  c->passing = p->status_code < 200
               || (call->options.matches != NULL
                   && !call->options.matches (call->options.arg, c->headers));
  return call->options.head_only && !c->passing ? 1 : 0;
}

static int
on_body (http_parser *p, const char *at, size_t length)
{
  struct connection *c = p->data;
  if (c->body->len + length > BODY_MAX)
    return 1;
  g_string_append_len (c->body, at, (gssize)length);
  return 0;
}

static int
on_complete (http_parser *p)
{
  struct connection *c = p->data;
  if (c->passing)
    return 0;
  c->complete = true;
  c->keep_alive = http_should_keep_alive (p) != 0;
  return 0;
}

static const http_parser_settings callbacks = {
  .on_message_begin = on_begin,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_headers,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

static uint32_t
idle_limit_ms (const struct headers *h)
{
  const char *value = headers_find (h, "Keep-Alive");
  const char *at = value == NULL ? NULL : strstr (value, "timeout=");
  if (at == NULL)
    return IDLE_MS;
  long seconds = strtol (at + strlen ("timeout="), NULL, 10);
  if (seconds <= 1)
    return 0;
  /* A second less: the server's clock started earlier.  */
  uint64_t ms = (uint64_t)(seconds - 1) * MS_PER_S;
  return ms < IDLE_MS ? (uint32_t)ms : IDLE_MS;
}

static void
on_idle_timer (uv_timer_t *timer)
{
  close_connection (timer->data);
}

static void
park (struct connection *c)
{
  c->complete = false;
  c->is_idle = true;
  c->in_idle.data = c;
  g_queue_push_head_link (&c->client->idle, &c->in_idle);
  uv_timer_start (&c->timer, on_idle_timer, c->idle_ms, 0);
}

/* The answer of the call was read whole.  CLEAN: nothing followed it.  */
static void
finish_call (struct connection *c, bool clean)
{
  struct http_call *call = c->call;
  struct http_client *client = c->client;
  struct http_reply reply = {
    .result = HTTP_ANSWERED,
    .status = c->parser.status_code,
    .headers = c->headers,
    .body = c->body->str,
    .length = c->body->len,
  };
  bool sent = net_unsent ((uv_stream_t *)&c->tcp) == 0;
  c->call = NULL;
  c->idle_ms = idle_limit_ms (c->headers);
  uv_timer_stop (&c->timer);
  /* The rest of a request that was answered early is not sent: the server
     would take what follows for it.  */
  bool keep = clean && sent && c->keep_alive && c->idle_ms > 0;
  end_call (call, &reply);
  if (c->closed)
    return;
  if (keep)
    park (c);
  else
    close_connection (c);
  start_waiting (client);
}

static void
on_end (struct connection *c)
{
  if (c->call == NULL)
    {
      close_connection (c);
      start_waiting (c->client);
      return;
    }
  /* An answer without a length ends with its connection.  */
  http_parser_execute (&c->parser, &callbacks, NULL, 0);
  if (c->complete && HTTP_PARSER_ERRNO (&c->parser) == HPE_OK)
    {
      c->keep_alive = false;
      finish_call (c, true);
    }
  else
    break_connection (c, HTTP_BROKEN, "closed");
}

static void
on_read (uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
  struct connection *c = stream->data;
  if (c->closed || length == 0)
    return;
  if (length == UV_EOF && net_ended_cleanly (stream))
    {
      on_end (c);
      return;
    }
  if (length < 0)
    {
      break_connection (c, HTTP_BROKEN, "reset");
      return;
    }
  if (c->call == NULL)
    {
      /* An answer that nobody waits for.  */
      close_connection (c);
      return;
    }
  size_t used = http_parser_execute (&c->parser, &callbacks, buffer->base,
                                     (size_t)length);
  bool good = HTTP_PARSER_ERRNO (&c->parser) == HPE_OK
              && used == (size_t)length && !c->parser.upgrade;
  if (c->complete)
    finish_call (c, good);
  else if (!good)
    break_connection (c, HTTP_BROKEN, "malformed");
}

/* Calls.  */

static void
on_call_timer (uv_timer_t *timer)
{
  struct connection *c = timer->data;
  break_connection (c, c->connected ? HTTP_TIMED_OUT : HTTP_NOT_SENT,
                    "timeout");
}

static void
send_call (struct connection *c)
{
  struct http_call *call = c->call;
  GString *message = call->message;
  call->message = NULL;
  c->complete = false;
  http_parser_init (&c->parser, HTTP_RESPONSE);
  c->parser.data = c;
  uv_timer_start (&c->timer, on_call_timer, call->options.timeout_ms, 0);
  /* A write that fails shows as the end of the stream.  */
  net_send ((uv_stream_t *)&c->tcp, message);
}

static void
on_connected (uv_connect_t *request, int status)
{
  struct connection *c = request->data;
  if (c->closed)
    return;
  if (status != 0)
    {
      break_connection (c, HTTP_NOT_SENT, "refused");
      return;
    }
  c->connected = true;
  net_tune (&c->tcp, 0);
  uv_read_start ((uv_stream_t *)&c->tcp, net_buffer, on_read);
  if (c->call != NULL)
    send_call (c);
  else
    close_connection (c);
}

static void
open_connection (struct http_client *client, struct http_call *call)
{
  struct connection *c = g_new0 (struct connection, 1);
  c->client = client;
  c->headers = headers_new ();
  c->body = g_string_new (NULL);
  c->handles = 2;
  c->in_all.data = c;
  c->call = call;
  call->connection = c;
  client->connections++;
  g_queue_push_tail_link (&client->all, &c->in_all);
  uv_tcp_init (client->loop, &c->tcp);
  uv_timer_init (client->loop, &c->timer);
  c->tcp.data = c;
  c->timer.data = c;
  c->connecting.data = c;
  uv_timer_start (&c->timer, on_call_timer, CONNECT_MS, 0);
  int failed
      = uv_tcp_connect (&c->connecting, &c->tcp,
                        (struct sockaddr *)&client->address, on_connected);
  if (failed != 0)
    uv_timer_start (&c->timer, on_call_timer, 0, 0);
}

/* Give CALL a connection.  False when all are in use.  */
static bool
start_call (struct http_client *client, struct http_call *call)
{
  GList *link = g_queue_peek_head_link (&client->idle);
  if (link != NULL)
    {
      struct connection *c = link->data;
      g_queue_unlink (&client->idle, link);
      c->is_idle = false;
      c->call = call;
      call->connection = c;
      send_call (c);
      return true;
    }
  if (client->connections >= client->connections_max)
    return false;
  open_connection (client, call);
  return true;
}

static void
start_waiting (struct http_client *client)
{
  struct http_call *call;
  while ((call = g_queue_peek_head (&client->waiting)) != NULL
         && start_call (client, call))
    g_queue_unlink (&client->waiting, &call->in_waiting);
}

struct http_client *
http_client_new (uv_loop_t *loop, const struct settings_address *address,
                 uint32_t connections)
{
  struct http_client *client = g_new0 (struct http_client, 1);
  client->loop = loop;
  client->connections_max = connections;
  settings_address_to_sockaddr (address, &client->address);
  return client;
}

struct http_call *
http_call (struct http_client *client, GString *message,
           const struct http_call_options *options)
{
  struct http_call *call = g_new0 (struct http_call, 1);
  call->client = client;
  call->message = message;
  call->options = *options;
  call->in_waiting.data = call;
  if (!start_call (client, call))
    g_queue_push_tail_link (&client->waiting, &call->in_waiting);
  return call;
}

void
http_call_cancel (struct http_call *call)
{
  struct connection *c = call->connection;
  struct http_client *client = call->client;
  if (c == NULL)
    g_queue_unlink (&client->waiting, &call->in_waiting);
  else
    {
      c->call = NULL;
      close_connection (c);
    }
  call_free (call);
  start_waiting (client);
}

void
http_client_reset (struct http_client *client, const char *cause)
{
  /* Calls that end may end others: walk over a copy.  A closed connection is
     freed by the loop, after this returns.  */
  GPtrArray *all = g_ptr_array_new ();
  for (GList *l = client->all.head; l != NULL; l = l->next)
    g_ptr_array_add (all, l->data);
  for (guint i = 0; i < all->len; i++)
    {
      struct connection *c = g_ptr_array_index (all, i);
      if (!c->closed)
        break_connection (c, c->connected ? HTTP_BROKEN : HTTP_NOT_SENT,
                          cause);
    }
  g_ptr_array_free (all, TRUE);
}
