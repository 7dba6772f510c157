#include "http/net.h"

#include "settings/address.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  /* Connections of one site's callers that may wait to be accepted.  */
  BACKLOG = 1024,
  READ_BYTES = 65536,
  PROBE_COUNT = 2, /* keep-alive probes before a connection counts as lost */
  MS_PER_S = 1000
};

struct pending_write
{
  uv_write_t request;
  GString *data;
};

static void
on_written (uv_write_t *request, int status)
{
  struct pending_write *w = (struct pending_write *)request;
  (void)status; /* the reader of the stream sees its end */
  g_string_free (w->data, TRUE);
  free (w);
}

bool
net_send (uv_stream_t *stream, GString *data)
{
  uv_buf_t buffer = uv_buf_init (data->str, (unsigned)data->len);
  int sent = uv_try_write (stream, &buffer, 1);
  if (sent == (int)data->len)
    {
      g_string_free (data, TRUE);
      return true;
    }
  if (sent < 0 && sent != UV_EAGAIN)
    {
      g_string_free (data, TRUE);
      return false;
    }
  if (sent > 0)
    g_string_erase (data, 0, sent);
  struct pending_write *w = g_new0 (struct pending_write, 1);
  w->data = data;
  buffer = uv_buf_init (data->str, (unsigned)data->len);
  if (uv_write (&w->request, stream, &buffer, 1, on_written) == 0)
    return true;
  g_string_free (data, TRUE);
  free (w);
  return false;
}

size_t
net_unsent (const uv_stream_t *stream)
{
  return uv_stream_get_write_queue_size (stream);
}

bool
net_ended_cleanly (const uv_stream_t *stream)
{
  uv_os_fd_t fd;
  char byte;
  if (uv_fileno ((const uv_handle_t *)stream, &fd) != 0)
    return false;
  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void
net_tune (uv_tcp_t *tcp, unsigned silence_ms)
{
  uv_os_fd_t fd;
  int probes = PROBE_COUNT;
  uv_tcp_nodelay (tcp, 1);
  if (silence_ms == 0)
    return;
  uv_tcp_keepalive (tcp, 1, (silence_ms + MS_PER_S - 1) / MS_PER_S);
  if (uv_fileno ((uv_handle_t *)tcp, &fd) != 0)
    return;
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence_ms,
              sizeof silence_ms);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

enum status
net_listen (uv_loop_t *loop, uv_tcp_t *tcp,
            const struct settings_address *address,
            uv_connection_cb on_connection)
{
  struct sockaddr_storage at;
  enum status s = settings_address_to_sockaddr (address, &at);
  if (s != STATUS_OK)
    return s;
  uv_tcp_init (loop, tcp);
  int failed = uv_tcp_bind (tcp, (const struct sockaddr *)&at, 0);
  if (failed == 0)
    failed = uv_listen ((uv_stream_t *)tcp, BACKLOG, on_connection);
  if (failed != 0)
    return status_set (STATUS_SYSTEM, "listen on %s:%u: %s", address->host,
                       address->port, uv_strerror (failed));
  return STATUS_OK;
}

void
net_buffer (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  static char bytes[READ_BYTES];
  (void)handle;
  (void)suggested;
  *buffer = uv_buf_init (bytes, sizeof bytes);
}
