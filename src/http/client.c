#include "http/client.h"

#include "base/clock.h"
#include "http/net.h"
#include "http/reader.h"
#include "settings/address.h"
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum
{
  /* A connection that the server may be about to close must not be reused.
     Connections are closed after this long without a call, which is below the
     shortest idle time-out of the servers seen.  */
  IDLE_MAX_MS = 4000,
  MS_PER_S = 1000,
  CONNECT_TIMEOUT_MS = 1000, /* ample for a target on the same instance */
  BODY_BYTES_MAX_INITIAL = 64 << 20,
  /* Memory of a body that an idle connection keeps: most responses fit.  */
  BODY_KEPT_BYTES = 16 * 1024,
  /* Bodies are given up for lack of memory only while all of a client take
     more than this.  Otherwise something else has filled the memory.  */
  BODIES_SPARED_BYTES = 8 << 20
};

struct http_client
{
  uv_loop_t *loop;
  struct sockaddr_storage address;
  uint32_t connections_max;
  uint32_t connection_count;
  uint32_t body_bytes_max;
  http_unbounded_fn *on_unbounded; /* may be NULL */
  void *unbounded_arg;
  http_malformed_fn *on_malformed; /* may be NULL */
  void *malformed_arg;
  const struct http_memory *memory; /* may be NULL */
  size_t counted_bytes;             /* in MEMORY, for all bodies */
  GQueue idle_connections;          /* last used first */
  GQueue open_connections;          /* struct connection */
  GQueue queued_calls;              /* calls that have no connection yet */
};

struct connection
{
  uv_tcp_t tcp;
  uv_timer_t timer;
  uv_connect_t connect_request;
  struct http_reader *reader;
  struct http_client *client;
  GList open_link;
  GList idle_link;
  struct http_call *call;
  struct headers *headers;
  GString *body;
  size_t received;      /* bytes since CALL was sent */
  size_t skipped_body;  /* bytes of bodies of skipped messages */
  size_t counted_bytes; /* in the client's memory */
  const char *bound;    /* the bound that the response exceeds, or NULL */
  unsigned open_handles;
  uint32_t idle_ms; /* how long it is kept without a call */
  int write_error;  /* the first of its writes; 0: none */
  bool connected;
  bool used; /* it carried a call before CALL */
  bool is_idle;
  bool response_complete; /* the response to CALL was read */
  bool skip_message;      /* the message being read is no response to CALL */
  bool keep_alive;
  bool closed;
};

struct http_call
{
  struct http_client *client;
  struct connection *connection; /* NULL while queued */
  GString *message;
  struct http_call_options options;
  GList queue_link;
  int64_t queued_ns; /* when it began to wait for a connection */
};

static void close_connection (struct connection *c);
static void start_queued_calls (struct http_client *client);

static void
call_free (struct http_call *call)
{
  if (call->message != NULL)
    g_string_free (call->message, TRUE);
  g_free (call);
}

static void
end_call (struct http_call *call, const struct http_response *response)
{
  call->options.done (call->options.arg, response);
  call_free (call);
}

/* The body of C is no longer held.  */
static void
release_body (struct connection *c)
{
  const struct http_memory *m = c->client->memory;
  if (m != NULL)
    m->count (m->arg, -(int64_t)c->counted_bytes);
  c->client->counted_bytes -= c->counted_bytes;
  c->counted_bytes = 0;
}

static void
report_unbounded (struct connection *c, const char *cause, size_t bytes)
{
  struct http_client *client = c->client;
  if (client->on_unbounded != NULL)
    client->on_unbounded (client->unbounded_arg, cause, bytes);
}

static void
on_handle_closed (uv_handle_t *handle)
{
  struct connection *c = handle->data;
  if (--c->open_handles > 0)
    return;
  http_reader_free (c->reader);
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
  release_body (c);
  c->client->connection_count--;
  g_queue_unlink (&c->client->open_connections, &c->open_link);
  if (c->is_idle)
    g_queue_unlink (&c->client->idle_connections, &c->idle_link);
  c->is_idle = false;
  uv_close ((uv_handle_t *)&c->tcp, on_handle_closed);
  uv_close ((uv_handle_t *)&c->timer, on_handle_closed);
}

/* Close C and end its call with RESULT and CAUSE.  */
static void
fail_connection (struct connection *c, enum http_result result,
                 const char *cause)
{
  struct http_call *call = c->call;
  struct http_client *client = c->client;
  struct http_response response
      = { .result = result, .cause = cause, .unbounded = c->bound != NULL };
  c->call = NULL;
  if (c->bound != NULL)
    report_unbounded (c, c->bound, c->received);
  close_connection (c);
  if (call != NULL)
    end_call (call, &response);
  start_queued_calls (client);
}

/* Reading.  */

static bool
exceed (struct connection *c, const char *bound)
{
  c->bound = bound;
  return false;
}

static bool
on_start (void *arg, const struct http_start_line *line)
{
  struct connection *c = arg;
  (void)line;
  headers_clear (c->headers);
  g_string_truncate (c->body, 0);
  c->skip_message = false;
  return true;
}

static bool
on_field (void *arg, const char *name, size_t name_length, const char *value,
          size_t value_length)
{
  struct connection *c = arg;
  headers_append (c->headers, name, name_length, value, value_length);
  return true;
}

static bool
on_head (void *arg)
{
  struct connection *c = arg;
  struct http_call *call = c->call;
  c->skip_message
      = http_reader_is_interim (c->reader)
        || (call->options.matches != NULL
            && !call->options.matches (call->options.arg, c->headers));
  if (call->options.head_only && !c->skip_message)
    http_reader_skip_body (c->reader);
  return true;
}

static void
on_cut_timer (uv_timer_t *timer)
{
  struct connection *c = timer->data;
  fail_connection (c, HTTP_FAILED, c->bound);
}

static struct connection *
find_largest (const struct http_client *client)
{
  struct connection *largest = NULL;
  for (GList *l = client->open_connections.head; l != NULL; l = l->next)
    {
      struct connection *c = l->data;
      if (c->bound == NULL
          && (largest == NULL || c->counted_bytes > largest->counted_bytes))
        largest = c;
    }
  return largest;
}

/* Give up the response of C, and its body at once.  */
static void
cut_response (struct connection *c)
{
  c->bound = "memory";
  release_body (c);
  g_string_free (c->body, TRUE);
  c->body = g_string_new (NULL);
  uv_timer_start (&c->timer, on_cut_timer, 0, 0);
}

/* The bytes that the body of C grows by if LENGTH bytes are appended.  */
static size_t
body_growth (const struct connection *c, size_t length)
{
  size_t room = c->body->allocated_len;
  while (room < c->body->len + length + 1)
    room *= 2;
  return room - c->body->allocated_len;
}

/* Make room for LENGTH more bytes of the body of C.  While the memory has
   none, the largest body of all is given up, unless all are small.  False if
   that is the body of C.  */
static bool
reserve_body (struct connection *c, size_t length)
{
  const struct http_memory *m = c->client->memory;
  size_t bytes = body_growth (c, length);
  if (m == NULL || bytes == 0)
    return true;
  while (!m->reserve (m->arg, bytes))
    {
      struct connection *largest = find_largest (c->client);
      if (largest == NULL
          || c->client->counted_bytes + bytes <= BODIES_SPARED_BYTES)
        {
          m->count (m->arg, (int64_t)bytes);
          break;
        }
      cut_response (largest);
      if (largest == c)
        return false;
    }
  c->counted_bytes += bytes;
  c->client->counted_bytes += bytes;
  return true;
}

static bool
on_body (void *arg, const char *data, size_t length)
{
  struct connection *c = arg;
  size_t *total = c->skip_message ? &c->skipped_body : &c->body->len;
  if (length
      > c->client->body_bytes_max - MIN (*total, c->client->body_bytes_max))
    return exceed (c, "body");
  if (c->skip_message)
    c->skipped_body += length;
  else
    {
      if (c->bound != NULL || !reserve_body (c, length))
        return false;
      g_string_append_len (c->body, data, (gssize)length);
    }
  return true;
}

static void
on_complete (void *arg)
{
  struct connection *c = arg;
  if (c->bound != NULL || c->skip_message)
    return;
  c->response_complete = true;
  c->keep_alive = http_reader_keeps_alive (c->reader);
  /* Bytes after the complete response belong to no call.  */
  http_reader_pause (c->reader);
}

static const struct http_reader_ops reader_ops = {
  .start = on_start,
  .field = on_field,
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
};

static uint32_t
keep_alive_timeout_ms (const struct headers *h)
{
  const char *value = headers_find (h, "Keep-Alive");
  const char *at = value == NULL ? NULL : strstr (value, "timeout=");
  if (at == NULL)
    return IDLE_MAX_MS;
  long seconds = strtol (at + strlen ("timeout="), NULL, 10);
  if (seconds <= 1)
    return 0;
  /* One second less, because the server began to count earlier.  */
  uint64_t ms = (uint64_t)(seconds - 1) * MS_PER_S;
  return ms < IDLE_MAX_MS ? (uint32_t)ms : IDLE_MAX_MS;
}

static void
on_idle_timer (uv_timer_t *timer)
{
  close_connection (timer->data);
}

static void
add_to_idle (struct connection *c)
{
  c->response_complete = false;
  release_body (c);
  if (c->body->allocated_len > BODY_KEPT_BYTES)
    {
      g_string_free (c->body, TRUE);
      c->body = g_string_new (NULL);
    }
  c->is_idle = true;
  c->idle_link.data = c;
  g_queue_push_head_link (&c->client->idle_connections, &c->idle_link);
  uv_timer_start (&c->timer, on_idle_timer, c->idle_ms, 0);
}

/* End the call, whose response was read completely.  NO_EXCESS: no bytes
   followed the response.  */
static void
handle_response (struct connection *c, bool no_excess)
{
  struct http_call *call = c->call;
  struct http_client *client = c->client;
  struct http_response response = {
    .result = HTTP_COMPLETED,
    .status = http_reader_status (c->reader),
    .headers = c->headers,
    .body = c->body->str,
    .body_length = c->body->len,
    .fresh = !c->used,
  };
  bool fully_sent = net_pending_bytes ((uv_stream_t *)&c->tcp) == 0;
  bool identified
      = call->options.identifies == NULL
        || call->options.identifies (call->options.arg, c->headers);
  c->call = NULL;
  c->idle_ms = keep_alive_timeout_ms (c->headers);
  uv_timer_stop (&c->timer);
  /* If the server responded before the request was sent completely, the rest
     is not sent, and the server would read the next request as that rest.  */
  bool reusable = no_excess && fully_sent && identified && c->keep_alive
                  && c->idle_ms > 0;
  end_call (call, &response);
  if (c->closed)
    return;
  if (reusable)
    add_to_idle (c);
  else
    close_connection (c);
  start_queued_calls (client);
}

static void
on_eof (struct connection *c)
{
  if (c->call == NULL)
    {
      close_connection (c);
      start_queued_calls (c->client);
      return;
    }
  if (http_reader_end (c->reader) && c->response_complete)
    {
      c->keep_alive = false;
      handle_response (c, true);
    }
  else
    fail_connection (c, HTTP_FAILED, "closed");
}

static void
fail_malformed (struct connection *c, enum http_fault fault)
{
  struct http_client *client = c->client;
  if (client->on_malformed != NULL)
    client->on_malformed (client->malformed_arg, http_fault_word (fault));
  fail_connection (c, HTTP_FAILED, "malformed");
}

static void
read_response (struct connection *c, const char *data, size_t length)
{
  c->received += length;
  size_t read = http_reader_feed (c->reader, data, length);
  enum http_fault fault = http_reader_fault (c->reader);
  if (c->response_complete)
    {
      if (read < length)
        report_unbounded (c, "excess", c->received);
      handle_response (c, read == length);
      return;
    }
  if (c->bound == NULL && http_fault_is_bound (fault))
    c->bound = http_fault_word (fault);
  if (c->bound != NULL)
    fail_connection (c, HTTP_FAILED, c->bound);
  else if (fault != HTTP_FAULT_NONE)
    fail_malformed (c, fault);
}

static void
on_read (uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
  struct connection *c = stream->data;
  if (c->closed || length == 0)
    return;
  if (length == UV_EOF && net_closed_orderly (stream, c->write_error))
    {
      on_eof (c);
      return;
    }
  if (length < 0)
    {
      fail_connection (c, HTTP_FAILED, "reset");
      return;
    }
  if (c->call == NULL)
    {
      /* Data without a call that waits for it.  */
      report_unbounded (c, "excess", (size_t)length);
      close_connection (c);
      return;
    }
  read_response (c, buffer->base, (size_t)length);
}

/* Calls.  */

static void
on_call_timer (uv_timer_t *timer)
{
  struct connection *c = timer->data;
  if (c->connected && c->received > 0)
    c->bound = "time";
  fail_connection (c, c->connected ? HTTP_TIMED_OUT : HTTP_NOT_SENT,
                   "timeout");
}

static void
record_write (struct connection *c, int error)
{
  if (c->write_error == 0)
    c->write_error = error;
}

static void
on_written (uv_stream_t *stream, int error)
{
  record_write (stream->data, error);
}

static void
send_call (struct connection *c)
{
  struct http_call *call = c->call;
  GString *message = call->message;
  call->message = NULL;
  c->response_complete = false;
  c->bound = NULL;
  c->received = 0;
  c->skipped_body = 0;
  http_reader_reset (c->reader);
  uv_timer_start (&c->timer, on_call_timer, call->options.timeout_ms, 0);
  /* If the write fails, the read callback sees the end of the stream.  */
  record_write (c,
                net_send_notify ((uv_stream_t *)&c->tcp, message, on_written));
}

static void
on_connected (uv_connect_t *request, int status)
{
  struct connection *c = request->data;
  if (c->closed)
    return;
  if (status != 0)
    {
      fail_connection (c, HTTP_NOT_SENT, "refused");
      return;
    }
  c->connected = true;
  net_set_options (&c->tcp, 0);
  uv_read_start ((uv_stream_t *)&c->tcp, net_alloc_buffer, on_read);
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
  c->reader = http_reader_new (HTTP_READ_RESPONSES, &reader_ops, c);
  c->headers = headers_new ();
  c->body = g_string_new (NULL);
  c->open_handles = 2;
  c->open_link.data = c;
  c->call = call;
  call->connection = c;
  client->connection_count++;
  g_queue_push_tail_link (&client->open_connections, &c->open_link);
  uv_tcp_init (client->loop, &c->tcp);
  uv_timer_init (client->loop, &c->timer);
  c->tcp.data = c;
  c->timer.data = c;
  c->connect_request.data = c;
  uv_timer_start (&c->timer, on_call_timer, CONNECT_TIMEOUT_MS, 0);
  int error
      = uv_tcp_connect (&c->connect_request, &c->tcp,
                        (struct sockaddr *)&client->address, on_connected);
  if (error != 0)
    uv_timer_start (&c->timer, on_call_timer, 0, 0);
}

/* Send CALL on an idle or a new connection.  False if all are in use.  */
static bool
try_start_call (struct http_client *client, struct http_call *call)
{
  GList *link = g_queue_peek_head_link (&client->idle_connections);
  if (link != NULL && call->options.fresh)
    {
      if (client->connection_count >= client->connections_max)
        close_connection (g_queue_peek_tail (&client->idle_connections));
    }
  else if (link != NULL)
    {
      struct connection *c = link->data;
      g_queue_unlink (&client->idle_connections, link);
      c->is_idle = false;
      c->used = true;
      c->call = call;
      call->connection = c;
      send_call (c);
      return true;
    }
  if (client->connection_count >= client->connections_max)
    return false;
  open_connection (client, call);
  return true;
}

static bool
waited_too_long (const struct http_call *call, int64_t now_ns)
{
  return call->options.queue_max_ms != 0
         && now_ns - call->queued_ns > call->options.queue_max_ms * NS_PER_MS;
}

static void
start_queued_calls (struct http_client *client)
{
  static const struct http_response too_late
      = { .result = HTTP_NOT_SENT, .cause = "queued" };
  struct http_call *call;
  while ((call = g_queue_peek_head (&client->queued_calls)) != NULL)
    {
      bool ended = waited_too_long (call, clock_now_ns ());
      if (!ended && !try_start_call (client, call))
        return;
      g_queue_unlink (&client->queued_calls, &call->queue_link);
      if (ended)
        end_call (call, &too_late);
    }
}

struct http_client *
http_client_new (uv_loop_t *loop, const struct settings_address *address,
                 uint32_t connections_max)
{
  struct http_client *client = g_new0 (struct http_client, 1);
  client->loop = loop;
  client->connections_max = connections_max;
  client->body_bytes_max = BODY_BYTES_MAX_INITIAL;
  settings_address_to_sockaddr (address, &client->address);
  return client;
}

void
http_client_set_body_max (struct http_client *client, uint32_t bytes)
{
  client->body_bytes_max = bytes;
}

void
http_client_set_memory (struct http_client *client,
                        const struct http_memory *memory)
{
  client->memory = memory;
}

void
http_client_on_unbounded (struct http_client *client, http_unbounded_fn *fn,
                          void *arg)
{
  client->on_unbounded = fn;
  client->unbounded_arg = arg;
}

void
http_client_on_malformed (struct http_client *client, http_malformed_fn *fn,
                          void *arg)
{
  client->on_malformed = fn;
  client->malformed_arg = arg;
}

struct http_call *
http_call (struct http_client *client, GString *message,
           const struct http_call_options *options)
{
  struct http_call *call = g_new0 (struct http_call, 1);
  call->client = client;
  call->message = message;
  call->options = *options;
  call->queue_link.data = call;
  if (try_start_call (client, call))
    return call;
  call->queued_ns = clock_now_ns ();
  g_queue_push_tail_link (&client->queued_calls, &call->queue_link);
  return call;
}

/* Close C by a reset: what the kernel has not delivered yet is dropped.  */
static void
reset_connection (struct connection *c)
{
  uv_os_fd_t fd;
  if (c->connected && uv_fileno ((const uv_handle_t *)&c->tcp, &fd) == 0)
    net_reset_at_close (fd);
  close_connection (c);
}

void
http_call_cancel (struct http_call *call)
{
  struct connection *c = call->connection;
  struct http_client *client = call->client;
  if (c == NULL)
    g_queue_unlink (&client->queued_calls, &call->queue_link);
  else
    {
      c->call = NULL;
      reset_connection (c);
    }
  call_free (call);
  start_queued_calls (client);
}

void
http_client_reset (struct http_client *client, const char *cause)
{
  /* The callback of a call may end other calls, hence the copy of the list.  A
     closed connection is freed by the loop, after this function returns.  */
  GPtrArray *connections = g_ptr_array_new ();
  for (GList *l = client->open_connections.head; l != NULL; l = l->next)
    g_ptr_array_add (connections, l->data);
  for (guint i = 0; i < connections->len; i++)
    {
      struct connection *c = g_ptr_array_index (connections, i);
      if (!c->closed)
        fail_connection (c, c->connected ? HTTP_FAILED : HTTP_NOT_SENT, cause);
    }
  g_ptr_array_free (connections, TRUE);
}
