#include "http/server.h"

#include "http/net.h"
#include "http/reason_phrase.h"
#include <http_parser.h>
#include <string.h>

enum
{
  /* Requests that one connection may have in work; reading stops there.  */
  PIPELINE_MAX = 64,
  HEADERS_MAX = 200, /* fields of one request */
  LINGER_MS = 1000   /* a connection that ends may still send that long */
};

struct http_server
{
  uv_tcp_t listener;
  uv_loop_t *loop;
  const struct http_limits *limits;
  http_handler_fn *handler;
  void *arg;
  GQueue connections;
  bool draining;
};

struct request;

struct connection
{
  uv_tcp_t tcp;
  uv_timer_t timer;
  http_parser parser;
  struct http_server *server;
  GList link;
  GQueue requests; /* in their order; the last may be incomplete */
  struct request *reading;
  unsigned handles; /* still open in the loop */
  int refusal;      /* status with which parsing ended, 0: none */
  bool paused;
  bool ending; /* no further request is read */
  bool closed;
};

struct request
{
  struct http_server_exchange x;
  struct connection *connection;
  GString *answer; /* NULL until it is known */
  unsigned fields;
  bool complete;
  bool keep_alive;
  bool head_only;
  bool handled;
};

static void update_timer (struct connection *c);
static void close_connection (struct connection *c);

static struct request *
request_new (struct connection *c)
{
  struct request *r = g_new0 (struct request, 1);
  r->connection = c;
  r->x.request_target = g_string_new (NULL);
  r->x.headers = headers_new ();
  r->x.body = g_string_new (NULL);
  return r;
}

static void
request_free (struct request *r)
{
  g_string_free (r->x.request_target, TRUE);
  headers_free (r->x.headers);
  g_string_free (r->x.body, TRUE);
  if (r->answer != NULL)
    g_string_free (r->answer, TRUE);
  g_free (r);
}

/* Parsing.  */

static struct connection *
connection_of (http_parser *p)
{
  return p->data;
}

static int
refuse (struct connection *c, int status)
{
  c->refusal = status;
  return -1;
}

static int
on_begin (http_parser *p)
{
  struct connection *c = connection_of (p);
  c->reading = request_new (c);
  return 0;
}

static int
on_url (http_parser *p, const char *at, size_t length)
{
  g_string_append_len (connection_of (p)->reading->x.request_target, at,
                       (gssize)length);
  return 0;
}

static int
on_field (http_parser *p, const char *at, size_t length)
{
  headers_append_name (connection_of (p)->reading->x.headers, at, length);
  return 0;
}

static int
on_value (http_parser *p, const char *at, size_t length)
{
  headers_append_value (connection_of (p)->reading->x.headers, at, length);
  return 0;
}

static int
on_headers (http_parser *p)
{
  struct connection *c = connection_of (p);
  const struct headers *h = c->reading->x.headers;
  if (p->method == HTTP_CONNECT || p->upgrade)
    return refuse (c, 400);
  if (p->http_major != 1 || headers_count (h, "Host") > 1
      || headers_count (h, "Content-Length") > 1
      || headers_count (h, "Transfer-Encoding") > 1)
    return refuse (c, 400);
  if (headers_find (h, "Transfer-Encoding") != NULL
      && (p->flags & F_CHUNKED) == 0)
    return refuse (c, 400);
  if (p->content_length != ULLONG_MAX
      && p->content_length > c->server->limits->body_bytes_max)
    return refuse (c, 413);
  const char *expect = headers_find (h, "Expect");
  if (expect != NULL && g_ascii_strcasecmp (expect, "100-continue") == 0
      && g_queue_is_empty (&c->requests))
    net_send ((uv_stream_t *)&c->tcp,
              g_string_new ("HTTP/1.1 100 Continue\r\n\r\n"));
  return 0;
}

static int
on_body (http_parser *p, const char *at, size_t length)
{
  struct connection *c = connection_of (p);
  GString *body = c->reading->x.body;
  if (body->len + length > c->server->limits->body_bytes_max)
    return refuse (c, 413);
  g_string_append_len (body, at, (gssize)length);
  return 0;
}

static int
on_complete (http_parser *p)
{
  struct connection *c = connection_of (p);
  struct request *r = c->reading;
  r->complete = true;
  r->keep_alive = http_should_keep_alive (p) != 0;
  r->head_only = p->method == HTTP_HEAD;
  r->x.method = http_method_str ((enum http_method)p->method);
  g_queue_push_tail (&c->requests, r);
  c->reading = NULL;
  if (!r->keep_alive)
    c->ending = true;
  /* The handler runs after the parser has returned: it may end the
     connection.  */
  return 0;
}

static const http_parser_settings callbacks = {
  .on_message_begin = on_begin,
  .on_url = on_url,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_headers,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

/* Answers.  */

static GString *
format_answer (const struct request *r, bool last, int status,
               const char *head, const char *body, size_t length)
{
  const struct connection *c = r->connection;
  GString *out = g_string_sized_new (length + 256);
  g_string_printf (out, "HTTP/1.1 %d %s\r\n", status, reason_phrase (status));
  if (head != NULL)
    g_string_append (out, head);
  if (status >= 200 && status != 204 && status != 304)
    g_string_append_printf (out, "Content-Length: %zu\r\n", length);
  if (last)
    g_string_append (out, "Connection: close\r\n");
  else
    g_string_append_printf (out, "Keep-Alive: timeout=%u\r\n",
                            c->server->limits->idle_timeout_ms / 1000);
  g_string_append (out, "\r\n");
  if (!r->head_only && status != 204 && status != 304)
    g_string_append_len (out, body, (gssize)length);
  return out;
}

static void
on_shutdown (uv_shutdown_t *request, int status)
{
  struct connection *c = request->data;
  g_free (request);
  /* A caller that does not close is cut off by the timer.  */
  if (status != 0)
    close_connection (c);
}

static void
end_connection (struct connection *c)
{
  if (c->closed)
    return;
  uv_shutdown_t *request = g_new0 (uv_shutdown_t, 1);
  request->data = c;
  c->ending = true;
  if (uv_shutdown (request, (uv_stream_t *)&c->tcp, on_shutdown) != 0)
    {
      g_free (request);
      close_connection (c);
    }
}

/* The refusal that ends the connection, when all before it is answered.  */
static void
answer_refusal (struct connection *c)
{
  if (c->refusal == 0 || !g_queue_is_empty (&c->requests))
    return;
  GString *out = g_string_new (NULL);
  g_string_printf (out,
                   "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n"
                   "Connection: close\r\n\r\n",
                   c->refusal, reason_phrase (c->refusal));
  c->refusal = 0;
  net_send ((uv_stream_t *)&c->tcp, out);
  end_connection (c);
}

static void resume_reading (struct connection *c);

/* Send the answers that are next in order.  */
static void
flush_answers (struct connection *c)
{
  struct request *r;
  while (!c->closed && (r = g_queue_peek_head (&c->requests)) != NULL
         && r->answer != NULL)
    {
      bool last = !r->keep_alive;
      g_queue_pop_head (&c->requests);
      GString *out = r->answer;
      r->answer = NULL;
      request_free (r);
      net_send ((uv_stream_t *)&c->tcp, out);
      if (last)
        {
          end_connection (c);
          return;
        }
    }
  if (c->closed)
    return;
  answer_refusal (c);
  resume_reading (c);
  update_timer (c);
}

void
http_respond (struct http_server_exchange *x, int status, const char *head,
              const char *body, size_t length)
{
  struct request *r = (struct request *)x;
  struct connection *c = r->connection;
  if (c->server->draining)
    r->keep_alive = false;
  r->answer = format_answer (r, !r->keep_alive, status, head, body, length);
  r->x.on_disconnect = NULL;
  flush_answers (c);
}

/* Connections.  */

static void
on_handle_closed (uv_handle_t *handle)
{
  struct connection *c = handle->data;
  if (--c->handles == 0)
    g_free (c);
}

static void
drop_requests (struct connection *c)
{
  struct request *r;
  while ((r = g_queue_pop_head (&c->requests)) != NULL)
    {
      if (r->x.on_disconnect != NULL)
        r->x.on_disconnect (&r->x);
      request_free (r);
    }
  if (c->reading != NULL)
    request_free (c->reading);
  c->reading = NULL;
}

static void
close_connection (struct connection *c)
{
  if (c->closed)
    return;
  c->closed = true;
  g_queue_unlink (&c->server->connections, &c->link);
  drop_requests (c);
  uv_close ((uv_handle_t *)&c->tcp, on_handle_closed);
  uv_close ((uv_handle_t *)&c->timer, on_handle_closed);
}

static void
on_timer (uv_timer_t *timer)
{
  struct connection *c = timer->data;
  if (c->reading != NULL && !c->ending)
    {
      /* A request that does not come to its end.  */
      request_free (c->reading);
      c->reading = NULL;
      c->ending = true;
      c->refusal = 408;
      answer_refusal (c);
      return;
    }
  close_connection (c);
}

static void
update_timer (struct connection *c)
{
  const struct http_limits *l = c->server->limits;
  if (c->closed)
    return;
  if (c->ending && g_queue_is_empty (&c->requests))
    uv_timer_start (&c->timer, on_timer, LINGER_MS, 0);
  else if (c->reading != NULL)
    {
      /* Counted from the first byte, not from each.  */
      if (!uv_is_active ((uv_handle_t *)&c->timer))
        uv_timer_start (&c->timer, on_timer, l->header_timeout_ms, 0);
    }
  else if (g_queue_is_empty (&c->requests))
    uv_timer_start (&c->timer, on_timer, l->idle_timeout_ms, 0);
  else
    uv_timer_stop (&c->timer);
}

/* Give requests that are complete to the handler, which may answer at once
   and so end the connection.  */
static void
handle_requests (struct connection *c)
{
  bool more = true;
  while (more && !c->closed)
    {
      more = false;
      for (GList *l = c->requests.head; l != NULL; l = l->next)
        {
          struct request *r = l->data;
          if (r->handled)
            continue;
          r->handled = true;
          more = true;
          c->server->handler (c->server->arg, &r->x);
          break;
        }
    }
}

static int
status_of_error (const struct connection *c)
{
  if (c->refusal != 0)
    return c->refusal;
  enum http_errno error = HTTP_PARSER_ERRNO (&c->parser);
  return error == HPE_HEADER_OVERFLOW ? 431 : 400;
}

static void
parse (struct connection *c, const char *data, size_t length)
{
  bool was_reading = c->reading != NULL;
  http_parser_set_max_header_size (c->server->limits->header_bytes_max);
  size_t used = http_parser_execute (&c->parser, &callbacks, data, length);
  if ((used != length || HTTP_PARSER_ERRNO (&c->parser) != HPE_OK)
      && !c->ending)
    {
      c->refusal = status_of_error (c);
      c->ending = true;
      if (c->reading != NULL)
        request_free (c->reading);
      c->reading = NULL;
    }
  if (c->reading != NULL && !was_reading)
    uv_timer_stop (&c->timer);
  handle_requests (c);
  if (!c->closed)
    flush_answers (c);
}

static void
on_read (uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
  struct connection *c = stream->data;
  if (length < 0)
    {
      close_connection (c);
      return;
    }
  if (length == 0 || c->ending)
    return;
  parse (c, buffer->base, (size_t)length);
  if (!c->closed && !c->paused
      && g_queue_get_length (&c->requests) >= PIPELINE_MAX)
    {
      c->paused = true;
      uv_read_stop (stream);
    }
}

static void
resume_reading (struct connection *c)
{
  if (!c->paused || g_queue_get_length (&c->requests) > PIPELINE_MAX / 2)
    return;
  c->paused = false;
  uv_read_start ((uv_stream_t *)&c->tcp, net_alloc_buffer, on_read);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct http_server *s = listener->data;
  if (status != 0)
    return;
  struct connection *c = g_new0 (struct connection, 1);
  c->server = s;
  c->link.data = c;
  c->handles = 2;
  uv_tcp_init (s->loop, &c->tcp);
  uv_timer_init (s->loop, &c->timer);
  c->tcp.data = c;
  c->timer.data = c;
  http_parser_init (&c->parser, HTTP_REQUEST);
  c->parser.data = c;
  g_queue_push_tail_link (&s->connections, &c->link);
  if (uv_accept (listener, (uv_stream_t *)&c->tcp) != 0)
    {
      close_connection (c);
      return;
    }
  net_set_options (&c->tcp, 0);
  uv_read_start ((uv_stream_t *)&c->tcp, net_alloc_buffer, on_read);
  update_timer (c);
}

struct http_server *
http_server_new (uv_loop_t *loop, const struct settings_address *address,
                 const struct http_limits *limits, http_handler_fn *handler,
                 void *arg)
{
  struct http_server *s = g_new0 (struct http_server, 1);
  s->loop = loop;
  s->limits = limits;
  s->handler = handler;
  s->arg = arg;
  g_queue_init (&s->connections);
  if (net_listen (loop, &s->listener, address, on_connection) != STATUS_OK)
    {
      /* The handle may be in the loop: the process ends anyway.  */
      return NULL;
    }
  s->listener.data = s;
  return s;
}

void
http_server_drain (struct http_server *s)
{
  s->draining = true;
}

void
http_server_close_idle (struct http_server *s)
{
  GList *next;
  for (GList *l = s->connections.head; l != NULL; l = next)
    {
      struct connection *c = l->data;
      next = l->next;
      if (g_queue_is_empty (&c->requests) && c->reading == NULL)
        end_connection (c);
    }
}

static void
on_listener_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

void
http_server_close (struct http_server *s)
{
  while (!g_queue_is_empty (&s->connections))
    close_connection (g_queue_peek_head (&s->connections));
  uv_close ((uv_handle_t *)&s->listener, on_listener_closed);
}
