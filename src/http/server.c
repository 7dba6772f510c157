#include "http/server.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/duration.h"
#include "base/log.h"
#include "http/bounds.h"
#include "http/net.h"
#include "http/poll_clock.h"
#include "http/reader.h"
#include "http/reason_phrase.h"
#include <poll.h>
#include <string.h>

enum
{
  /* Requests of one connection in progress at which reading is paused.  */
  PIPELINE_MAX = 64,
  /* Bytes of responses that the caller has not read at which reading is
     paused: what the kernel's buffers of a connection hold.  */
  UNREAD_BYTES_MAX = 256 * 1024,
  /* How long a caller may take to close the connection after the last
     response.  */
  LINGER_TIMEOUT_MS = 1000,
  /* Interval at which a body that did not fit into the memory is tried
     again: short beside the time that a body takes to arrive.  */
  MEMORY_RETRY_MS = 20,
  /* Interval at which the ends of connections are looked for whose reading is
     paused.  */
  PAUSED_CHECK_MS = 50
};

#define NS_PER_SECOND 1e9
/* Input that may have waited this long is asked for its age.  */
#define INPUT_OLD_NS (10 * NS_PER_MS)

struct http_server
{
  uv_tcp_t listener;
  uv_loop_t *loop;
  const struct http_limits *limits;
  http_handler_fn *handler;
  void *arg;
  GQueue connections;
  struct poll_clock poll_clock;
  const struct http_memory *memory; /* may be NULL */
  uv_timer_t memory_timer;          /* active while a body waits for memory */
  uv_timer_t paused_timer; /* active while reading is paused somewhere */
  bool draining;
  bool closing;
  bool serves_left; /* requests whose caller has left are handled, too */
};

struct request;

struct connection
{
  uv_tcp_t tcp;
  uv_timer_t timer;
  struct http_reader *reader;
  struct http_server *server;
  GList server_link;
  GQueue requests;          /* complete requests, in order of arrival */
  struct request *incoming; /* the request being read, or NULL */
  GByteArray *unread;       /* received while reading is paused */
  int64_t input_ns;         /* when the bytes that were read last arrived */
  int64_t unwatched_ns;     /* nothing was read since then; 0: the loop polls
                               the connection */
  unsigned open_handles;    /* libuv handles not yet closed */
  int error_status; /* HTTP status of the error that ended parsing, or 0 */
  bool reading_paused;
  bool memory_full;       /* the rest of the body being read does not fit */
  int64_t retry_after_ns; /* of the error response; 0: none */
  size_t response_bytes;  /* counted in the server's memory */
  bool closing;           /* no further requests are read */
  bool closed;
};

struct request
{
  struct http_server_exchange exchange;
  struct connection *connection;
  char *method;
  GString *response;    /* NULL until the handler responds */
  size_t keep_alive_at; /* of its line that keeps the connection open; 0: it
                           has none */
  size_t reserved;      /* in the server's memory */
  bool keep_alive;
  bool head_only;
  bool dispatched;
};

static void update_timer (struct connection *c);
static void close_connection (struct connection *c);
static void on_timer (uv_timer_t *timer);

static struct request *
request_new (struct connection *c)
{
  struct request *r = g_new0 (struct request, 1);
  r->connection = c;
  r->exchange.request_target = g_string_new (NULL);
  r->exchange.headers = headers_new ();
  r->exchange.body = g_string_new (NULL);
  return r;
}

/* Count the responses of C that are not written yet.  */
static void
count_responses (struct connection *c)
{
  const struct http_memory *m = c->server->memory;
  size_t bytes = 0;
  if (m == NULL)
    return;
  if (!c->closed)
    bytes = net_pending_bytes ((uv_stream_t *)&c->tcp);
  for (GList *l = c->requests.head; l != NULL; l = l->next)
    {
      const struct request *r = l->data;
      bytes += r->response == NULL ? 0 : r->response->len;
    }
  m->count (m->arg, (int64_t)bytes - (int64_t)c->response_bytes);
  c->response_bytes = bytes;
}

/* Reserve memory for LENGTH more bytes of the body of R.  */
static bool
reserve (struct request *r, size_t length)
{
  const struct http_memory *m = r->connection->server->memory;
  if (m == NULL)
    return true;
  if (!m->reserve (m->arg, length * m->body_copies))
    return false;
  r->reserved += length * m->body_copies;
  return true;
}

static void
request_free (struct request *r)
{
  const struct http_memory *m = r->connection->server->memory;
  if (m != NULL && r->reserved > 0)
    m->count (m->arg, -(int64_t)r->reserved);
  g_free (r->method);
  g_string_free (r->exchange.request_target, TRUE);
  headers_free (r->exchange.headers);
  g_string_free (r->exchange.body, TRUE);
  if (r->response != NULL)
    g_string_free (r->response, TRUE);
  g_free (r);
}

/* Reading.  */

static bool
reject (struct connection *c, int status)
{
  c->error_status = status;
  return false;
}

static bool
on_start (void *arg, const struct http_start_line *line)
{
  struct connection *c = arg;
  if (c->incoming == NULL)
    c->incoming = request_new (c);
  struct request *r = c->incoming;
  r->method = g_strndup (line->method, line->method_length);
  r->exchange.method = r->method;
  r->head_only = strcmp (r->method, "HEAD") == 0;
  g_string_append_len (r->exchange.request_target, line->target,
                       (gssize)line->target_length);
  return strcmp (r->method, "CONNECT") != 0 || reject (c, 400);
}

static bool
on_field (void *arg, const char *name, size_t name_length, const char *value,
          size_t value_length)
{
  struct connection *c = arg;
  headers_append (c->incoming->exchange.headers, name, name_length, value,
                  value_length);
  return true;
}

static bool
on_head (void *arg)
{
  struct connection *c = arg;
  const struct headers *h = c->incoming->exchange.headers;
  uint64_t length;
  bool has_length = http_reader_has_length (c->reader, &length);
  if (http_reader_asks_upgrade (c->reader) || headers_count (h, "Host") > 1)
    return reject (c, 400);
  if (has_length && length > c->server->limits->body_bytes_max)
    return reject (c, 413);
  if (has_length && !reserve (c->incoming, length))
    {
      const struct http_memory *m = c->server->memory;
      c->retry_after_ns = m->retry_after_ns (m->arg, length * m->body_copies);
      return reject (c, 503);
    }
  const char *expect = headers_find (h, "Expect");
  if (expect != NULL && g_ascii_strcasecmp (expect, "100-continue") == 0
      && g_queue_is_empty (&c->requests))
    net_send ((uv_stream_t *)&c->tcp,
              g_string_new ("HTTP/1.1 100 Continue\r\n\r\n"));
  return true;
}

static bool
on_body (void *arg, const char *data, size_t length)
{
  struct connection *c = arg;
  GString *body = c->incoming->exchange.body;
  if (body->len + length > c->server->limits->body_bytes_max)
    return reject (c, 413);
  g_string_append_len (body, data, (gssize)length);
  if (http_reader_is_chunked (c->reader) && !reserve (c->incoming, length))
    {
      const struct http_memory *m = c->server->memory;
      m->count (m->arg, (int64_t)(length * m->body_copies));
      c->incoming->reserved += length * m->body_copies;
      c->memory_full = true;
    }
  return true;
}

static void
on_complete (void *arg)
{
  struct connection *c = arg;
  struct request *r = c->incoming;
  r->keep_alive = http_reader_keeps_alive (c->reader);
  r->exchange.arrived_ns = c->input_ns;
  g_queue_push_tail (&c->requests, r);
  c->incoming = NULL;
  if (!r->keep_alive)
    c->closing = true;
  /* The handler is called after the reader has returned, because it may close
     the connection.  */
  if (c->closing || g_queue_get_length (&c->requests) >= PIPELINE_MAX)
    http_reader_pause (c->reader);
}

static const struct http_reader_ops reader_ops = {
  .start = on_start,
  .field = on_field,
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
};

/* Responses.  */

#define CLOSE_LINE "Connection: close\r\n"

static GString *
format_response (struct request *r, int status, const char *header_lines,
                 const char *body, size_t length)
{
  const struct connection *c = r->connection;
  GString *out = g_string_sized_new (length + 256);
  g_string_printf (out, "HTTP/1.1 %d %s\r\n", status, reason_phrase (status));
  if (header_lines != NULL)
    g_string_append (out, header_lines);
  if (status >= 200 && status != 204 && status != 304)
    g_string_append_printf (out, "Content-Length: %zu\r\n", length);
  if (!r->keep_alive)
    g_string_append (out, CLOSE_LINE);
  else
    {
      r->keep_alive_at = out->len;
      g_string_append_printf (out, "Keep-Alive: timeout=%u\r\n",
                              c->server->limits->idle_timeout_ms / 1000);
    }
  g_string_append (out, "\r\n");
  if (!r->head_only && status != 204 && status != 304)
    g_string_append_len (out, body, (gssize)length);
  return out;
}

/* Let the response to R close its connection.  */
static void
close_after (struct request *r)
{
  const char *line = r->response->str + r->keep_alive_at;
  r->keep_alive = false;
  if (r->keep_alive_at == 0)
    return;
  g_string_erase (r->response, (gssize)r->keep_alive_at,
                  strchr (line, '\n') + 1 - line);
  g_string_insert (r->response, (gssize)r->keep_alive_at, CLOSE_LINE);
}

static void
on_shutdown (uv_shutdown_t *request, int status)
{
  struct connection *c = request->data;
  g_free (request);
  if (c->closed)
    return;
  /* If the caller does not close the connection, the timer does.  */
  if (status != 0)
    close_connection (c);
  else
    uv_timer_start (&c->timer, on_timer, LINGER_TIMEOUT_MS, 0);
}

/* Close C when all that it was sent is written; what it still sends is read
   and dropped, because a close with unread input would reset it.  */
static void
shutdown_connection (struct connection *c)
{
  if (c->closed || uv_is_writable ((uv_stream_t *)&c->tcp) == 0)
    return;
  uv_timer_start (&c->timer, on_timer, c->server->limits->idle_timeout_ms, 0);
  uv_shutdown_t *request = g_new0 (uv_shutdown_t, 1);
  request->data = c;
  c->closing = true;
  if (uv_shutdown (request, (uv_stream_t *)&c->tcp, on_shutdown) != 0)
    {
      g_free (request);
      close_connection (c);
    }
}

/* Send the error response that ends the connection, if there is one and all
   requests before it have their responses.  */
static void
send_error_response (struct connection *c)
{
  if (c->error_status == 0 || !g_queue_is_empty (&c->requests))
    return;
  GString *out = g_string_new (NULL);
  g_string_printf (out,
                   "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n"
                   "Connection: close\r\n",
                   c->error_status, reason_phrase (c->error_status));
  /* With jitter, so that refused callers do not return together.  */
  if (c->retry_after_ns > 0)
    g_string_append_printf (out, "Retry-After: %.2f\r\n",
                            (double)c->retry_after_ns / NS_PER_SECOND
                                * (1 + g_random_double ()));
  g_string_append (out, "\r\n");
  c->error_status = 0;
  net_send ((uv_stream_t *)&c->tcp, out);
  shutdown_connection (c);
}

static void resume_reading (struct connection *c);

static void
on_written (uv_stream_t *stream, int error)
{
  (void)error; /* the read callback sees the end of the stream */
  count_responses (stream->data);
  resume_reading (stream->data);
}

/* Whether nothing of a request was read from C that has no response.  */
static bool
has_no_request (const struct connection *c)
{
  return g_queue_is_empty ((GQueue *)&c->requests) && c->incoming == NULL
         && c->unread->len == 0;
}

/* Send the available responses that are next in order.  */
static void
flush_responses (struct connection *c)
{
  struct request *r;
  while (!c->closed && (r = g_queue_peek_head (&c->requests)) != NULL
         && r->response != NULL)
    {
      g_queue_pop_head (&c->requests);
      if (c->server->draining && has_no_request (c))
        close_after (r);
      bool last_response = !r->keep_alive;
      GString *out = r->response;
      r->response = NULL;
      request_free (r);
      net_send_notify ((uv_stream_t *)&c->tcp, out, on_written);
      if (last_response)
        {
          shutdown_connection (c);
          return;
        }
    }
  if (c->closed)
    return;
  send_error_response (c);
  resume_reading (c);
  update_timer (c);
}

void
http_respond (struct http_server_exchange *exchange, int status,
              const char *header_lines, const char *body, size_t length)
{
  struct request *r = (struct request *)exchange;
  struct connection *c = r->connection;
  r->response = format_response (r, status, header_lines, body, length);
  r->exchange.on_disconnect = NULL;
  flush_responses (c);
  count_responses (c);
}

/* Connections.  */

static void
on_handle_closed (uv_handle_t *handle)
{
  struct connection *c = handle->data;
  if (--c->open_handles > 0)
    return;
  g_byte_array_free (c->unread, TRUE);
  http_reader_free (c->reader);
  g_free (c);
}

/* How long the input of C may have waited that was not read before.  */
static int64_t
unread_ns (const struct connection *c, int64_t now_ns)
{
  return c->unwatched_ns != 0
             ? now_ns - c->unwatched_ns
             : poll_clock_unread_ns (&c->server->poll_clock, now_ns);
}

/* Find when the bytes arrived that C just read.  False if its caller has left
   since.  */
static bool
inspect_input (struct connection *c, int64_t now_ns)
{
  struct net_peer_info info;
  int64_t oldest_ns = unread_ns (c, now_ns);
  c->input_ns = now_ns;
  c->unwatched_ns = 0;
  if (oldest_ns < INPUT_OLD_NS
      || !net_get_stream_peer_info ((const uv_stream_t *)&c->tcp, &info))
    return true;
  c->input_ns = now_ns - MIN (info.data_age_ns, oldest_ns);
  return !info.left;
}

/* When the caller of C, whose end was read, left: its end was its last
   segment.  */
static int64_t
find_left_ns (const struct connection *c, int64_t now_ns)
{
  struct net_peer_info info;
  if (c->server->closing
      || !net_get_stream_peer_info ((const uv_stream_t *)&c->tcp, &info))
    return now_ns;
  return now_ns - info.segment_age_ns;
}

static void
abandon_requests (struct connection *c)
{
  struct request *r;
  int64_t left_ns = 0;
  if (!g_queue_is_empty (&c->requests))
    {
      int64_t now_ns = clock_now_ns ();
      left_ns = find_left_ns (c, now_ns);
      duration_add (DURATION_caller_left_unread, now_ns - left_ns);
    }
  while ((r = g_queue_pop_head (&c->requests)) != NULL)
    {
      r->exchange.left_ns = left_ns;
      if (r->exchange.on_disconnect != NULL)
        r->exchange.on_disconnect (&r->exchange);
      request_free (r);
    }
  if (c->incoming != NULL)
    request_free (c->incoming);
  c->incoming = NULL;
}

static void
close_connection (struct connection *c)
{
  if (c->closed)
    return;
  c->closed = true;
  g_queue_unlink (&c->server->connections, &c->server_link);
  abandon_requests (c);
  count_responses (c);
  uv_close ((uv_handle_t *)&c->tcp, on_handle_closed);
  uv_close ((uv_handle_t *)&c->timer, on_handle_closed);
}

static void
on_timer (uv_timer_t *timer)
{
  struct connection *c = timer->data;
  if (c->incoming != NULL && !c->closing)
    {
      /* The request was not received completely in time.  */
      request_free (c->incoming);
      c->incoming = NULL;
      c->closing = true;
      c->error_status = 408;
      send_error_response (c);
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
  if (c->closing && g_queue_is_empty (&c->requests))
    return; /* shutdown_connection bounds the rest */
  if (c->incoming != NULL)
    {
      /* The time runs from the first byte and is not restarted.  */
      if (!uv_is_active ((uv_handle_t *)&c->timer))
        uv_timer_start (&c->timer, on_timer, l->header_timeout_ms, 0);
    }
  else if (g_queue_is_empty (&c->requests))
    uv_timer_start (&c->timer, on_timer, l->idle_timeout_ms, 0);
  else
    uv_timer_stop (&c->timer);
}

bool
http_caller_is_there (struct http_server_exchange *exchange)
{
  struct connection *c = ((struct request *)exchange)->connection;
  struct net_peer_info info;
  if (!net_get_stream_peer_info ((const uv_stream_t *)&c->tcp, &info)
      || !info.left)
    return true;
  close_connection (c);
  return false;
}

/* Pass complete requests to the handler, which may respond at once and so
   close the connection.  */
static void
dispatch_requests (struct connection *c)
{
  bool more = true;
  while (more && !c->closed)
    {
      more = false;
      for (GList *l = c->requests.head; l != NULL; l = l->next)
        {
          struct request *r = l->data;
          if (r->dispatched)
            continue;
          r->dispatched = true;
          more = true;
          duration_add (DURATION_request_held,
                        clock_now_ns () - r->exchange.arrived_ns);
          c->server->handler (c->server->arg, &r->exchange);
          break;
        }
    }
}

/* The status of the response to a request that was not read.  */
static int
status_of_fault (const struct connection *c, enum http_fault fault)
{
  if (c->error_status != 0)
    return c->error_status;
  return http_fault_is_bound (fault) ? 431 : 400;
}

/* End the reading of C at a request with FAULT.  */
static void
reject_request (struct connection *c, enum http_fault fault)
{
  c->error_status = status_of_fault (c, fault);
  c->closing = true;
  if (c->incoming != NULL)
    request_free (c->incoming);
  c->incoming = NULL;
  if (fault == HTTP_FAULT_REFUSED)
    return;
  counter_add (COUNTER_requests_malformed_total, 1);
  log_event (EV_REQUEST_MALFORMED, "fault=%s", http_fault_word (fault));
}

static void on_paused_timer (uv_timer_t *timer);

/* Pause reading; read the LENGTH bytes of DATA when it is resumed.  */
static void
pause_reading (struct connection *c, const char *data, size_t length)
{
  g_byte_array_append (c->unread, (const guint8 *)data, (guint)length);
  c->reading_paused = true;
  if (c->unwatched_ns == 0)
    c->unwatched_ns = clock_now_ns ();
  if (!uv_is_active ((uv_handle_t *)&c->server->paused_timer))
    uv_timer_start (&c->server->paused_timer, on_paused_timer, PAUSED_CHECK_MS,
                    PAUSED_CHECK_MS);
  uv_read_stop ((uv_stream_t *)&c->tcp);
}

/* Close the connections with paused reading whose callers have left.  */
static void
on_paused_timer (uv_timer_t *timer)
{
  struct http_server *s = timer->data;
  GArray *polled = g_array_new (FALSE, FALSE, sizeof (struct pollfd));
  GPtrArray *paused = g_ptr_array_new ();
  for (GList *l = s->connections.head; l != NULL; l = l->next)
    {
      struct connection *c = l->data;
      struct pollfd p = { .events = POLLRDHUP };
      if (!c->reading_paused
          || uv_fileno ((const uv_handle_t *)&c->tcp, &p.fd) != 0)
        continue;
      g_array_append_val (polled, p);
      g_ptr_array_add (paused, c);
    }
  if (paused->len == 0)
    uv_timer_stop (timer);
  else if (poll ((struct pollfd *)(void *)polled->data, paused->len, 0) > 0)
    for (guint i = 0; i < paused->len; i++)
      if (g_array_index (polled, struct pollfd, i).revents != 0)
        close_connection (g_ptr_array_index (paused, i));
  g_array_free (polled, TRUE);
  g_ptr_array_free (paused, TRUE);
}

static void
read_requests (struct connection *c, const char *data, size_t length)
{
  bool had_incoming = c->incoming != NULL;
  http_reader_set_head_max (c->reader,
                            MIN (c->server->limits->header_bytes_max,
                                 (uint32_t)HTTP_HEAD_BYTES_MAX));
  size_t read = http_reader_feed (c->reader, data, length);
  enum http_fault fault = http_reader_fault (c->reader);
  if (fault != HTTP_FAULT_NONE)
    reject_request (c, fault);
  else if (c->incoming == NULL && http_reader_is_within (c->reader))
    c->incoming = request_new (c);
  if (fault == HTTP_FAULT_NONE && !c->closing
      && (read < length || g_queue_get_length (&c->requests) >= PIPELINE_MAX))
    pause_reading (c, data + read, length - read);
  if (c->incoming != NULL && !had_incoming)
    uv_timer_stop (&c->timer);
  dispatch_requests (c);
  if (!c->closed)
    flush_responses (c);
}

/* Resume the reading of bodies that waited for memory, if there is some.  */
static void
on_memory_timer (uv_timer_t *timer)
{
  struct http_server *s = timer->data;
  GList *next;
  for (GList *l = s->connections.head; l != NULL; l = next)
    {
      struct connection *c = l->data;
      next = l->next;
      if (!c->memory_full)
        continue;
      if (c->incoming != NULL && !s->memory->reserve (s->memory->arg, 1))
        return;
      if (c->incoming != NULL)
        s->memory->count (s->memory->arg, -1);
      c->memory_full = false;
      resume_reading (c);
    }
  uv_timer_stop (timer);
}

static void
start_memory_timer (struct http_server *s)
{
  if (!uv_is_active ((uv_handle_t *)&s->memory_timer))
    uv_timer_start (&s->memory_timer, on_memory_timer, MEMORY_RETRY_MS,
                    MEMORY_RETRY_MS);
}

/* The caller of C left before the LENGTH bytes that it sent were read.  */
static void
drop_input (struct connection *c, size_t length)
{
  int64_t now_ns = clock_now_ns ();
  counter_add (COUNTER_callers_gone_unread_total, 1);
  log_event (EV_INPUT_DROPPED,
             "bytes=%zu bytes_ms=%d left_ms=%d in_progress=%u", length,
             (int)((now_ns - c->input_ns) / NS_PER_MS),
             (int)((now_ns - find_left_ns (c, now_ns)) / NS_PER_MS),
             g_queue_get_length (&c->requests));
  close_connection (c);
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
  if (length == 0 || c->closing)
    return;
  if (!inspect_input (c, clock_now_ns ()) && !c->server->serves_left)
    {
      drop_input (c, (size_t)length);
      return;
    }
  read_requests (c, buffer->base, (size_t)length);
  if (!c->closed && !c->reading_paused
      && (c->memory_full || net_pending_bytes (stream) > UNREAD_BYTES_MAX))
    pause_reading (c, NULL, 0);
  if (c->memory_full)
    start_memory_timer (c->server);
}

static void
resume_reading (struct connection *c)
{
  if (c->closed || !c->reading_paused || c->memory_full
      || g_queue_get_length (&c->requests) > PIPELINE_MAX / 2
      || net_pending_bytes ((uv_stream_t *)&c->tcp) > UNREAD_BYTES_MAX)
    return;
  c->reading_paused = false;
  uv_read_start ((uv_stream_t *)&c->tcp, net_alloc_buffer, on_read);
  if (c->unread->len == 0 || c->closing)
    return;
  struct net_peer_info info;
  if (net_get_stream_peer_info ((const uv_stream_t *)&c->tcp, &info)
      && info.left && !c->server->serves_left)
    {
      drop_input (c, c->unread->len);
      return;
    }
  GByteArray *data = c->unread;
  c->unread = g_byte_array_new ();
  read_requests (c, (const char *)data->data, data->len);
  g_byte_array_free (data, TRUE);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct http_server *s = listener->data;
  if (status != 0)
    return;
  struct connection *c = g_new0 (struct connection, 1);
  c->server = s;
  c->server_link.data = c;
  c->open_handles = 2;
  c->unread = g_byte_array_new ();
  uv_tcp_init (s->loop, &c->tcp);
  uv_timer_init (s->loop, &c->timer);
  c->tcp.data = c;
  c->timer.data = c;
  c->reader = http_reader_new (HTTP_READ_REQUESTS, &reader_ops, c);
  g_queue_push_tail_link (&s->connections, &c->server_link);
  if (uv_accept (listener, (uv_stream_t *)&c->tcp) != 0)
    {
      close_connection (c);
      return;
    }
  net_set_options (&c->tcp, 0);
  /* It may have waited to be accepted.  */
  int64_t now_ns = clock_now_ns ();
  c->unwatched_ns = now_ns - poll_clock_unread_ns (&s->poll_clock, now_ns);
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
      /* Not freed, because the handle may be in the loop; the process exits
         anyway.  */
      return NULL;
    }
  s->listener.data = s;
  uv_timer_init (loop, &s->memory_timer);
  s->memory_timer.data = s;
  uv_timer_init (loop, &s->paused_timer);
  s->paused_timer.data = s;
  poll_clock_init (&s->poll_clock, loop);
  return s;
}

void
http_server_set_memory (struct http_server *s,
                        const struct http_memory *memory)
{
  s->memory = memory;
}

void
http_server_serve_left (struct http_server *s)
{
  s->serves_left = true;
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
      if (has_no_request (c) && !c->closing)
        shutdown_connection (c);
    }
}

bool
http_server_is_idle (const struct http_server *s)
{
  for (GList *l = s->connections.head; l != NULL; l = l->next)
    {
      const struct connection *c = l->data;
      if (!has_no_request (c)
          || net_undelivered_bytes ((const uv_stream_t *)&c->tcp) > 0)
        return false;
    }
  return true;
}

static void
on_poll_clock_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
on_paused_timer_closed (uv_handle_t *handle)
{
  struct http_server *s = handle->data;
  s->poll_clock.check.data = s;
  poll_clock_close (&s->poll_clock, on_poll_clock_closed);
}

static void
on_memory_timer_closed (uv_handle_t *handle)
{
  struct http_server *s = handle->data;
  uv_close ((uv_handle_t *)&s->paused_timer, on_paused_timer_closed);
}

static void
on_listener_closed (uv_handle_t *handle)
{
  struct http_server *s = handle->data;
  uv_close ((uv_handle_t *)&s->memory_timer, on_memory_timer_closed);
}

void
http_server_close (struct http_server *s)
{
  s->closing = true;
  while (!g_queue_is_empty (&s->connections))
    close_connection (g_queue_peek_head (&s->connections));
  uv_close ((uv_handle_t *)&s->listener, on_listener_closed);
}
