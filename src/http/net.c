#include "http/net.h"

#include "base/clock.h"
#include "settings/address.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

enum
{
  /* Connections that may wait to be accepted: enough for all callers of one
     site.  */
  BACKLOG = 1024,
  READ_BUFFER_BYTES = 65536,
  PROBE_COUNT = 2, /* unanswered keep-alive probes that end a connection */
  MS_PER_S = 1000
};

struct pending_write
{
  uv_write_t request;
  GString *data;
  net_written_fn *written; /* may be NULL */
};

static void
on_written (uv_write_t *request, int status)
{
  struct pending_write *w = (struct pending_write *)request;
  uv_stream_t *stream = request->handle;
  net_written_fn *written = w->written;
  g_string_free (w->data, TRUE);
  free (w);
  if (written != NULL)
    written (stream, status);
}

int
net_send (uv_stream_t *stream, GString *data)
{
  return net_send_notify (stream, data, NULL);
}

int
net_send_notify (uv_stream_t *stream, GString *data, net_written_fn *written)
{
  uv_buf_t buffer = uv_buf_init (data->str, (unsigned)data->len);
  int sent = uv_try_write (stream, &buffer, 1);
  if (sent == (int)data->len)
    {
      g_string_free (data, TRUE);
      return 0;
    }
  if (sent < 0 && sent != UV_EAGAIN)
    {
      g_string_free (data, TRUE);
      return sent;
    }
  if (sent > 0)
    g_string_erase (data, 0, sent);
  struct pending_write *w = g_new0 (struct pending_write, 1);
  w->data = data;
  w->written = written;
  buffer = uv_buf_init (data->str, (unsigned)data->len);
  int error = uv_write (&w->request, stream, &buffer, 1, on_written);
  if (error == 0)
    return 0;
  g_string_free (data, TRUE);
  free (w);
  return error;
}

size_t
net_pending_bytes (const uv_stream_t *stream)
{
  return uv_stream_get_write_queue_size (stream);
}

size_t
net_undelivered_bytes (const uv_stream_t *stream)
{
  size_t bytes = net_pending_bytes (stream);
  uv_os_fd_t fd;
  int unacknowledged;
  if (uv_fileno ((const uv_handle_t *)stream, &fd) == 0
      && ioctl (fd, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0)
    bytes += (size_t)unacknowledged;
  return bytes;
}

bool
net_closed_orderly (const uv_stream_t *stream, int write_error)
{
  uv_os_fd_t fd;
  char byte;
  if (write_error != 0 && write_error != UV_EPIPE)
    return false;
  if (uv_fileno ((const uv_handle_t *)stream, &fd) != 0)
    return false;
  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

bool
net_get_peer_info (int fd, struct net_peer_info *info)
{
  struct tcp_info tcp;
  socklen_t length = sizeof tcp;
  if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &tcp, &length) != 0
      || length < sizeof tcp)
    return false;
  *info = (struct net_peer_info){
    .left = tcp.tcpi_state == TCP_CLOSE_WAIT || tcp.tcpi_state == TCP_CLOSE
            || tcp.tcpi_state == TCP_LAST_ACK,
    .data_age_ns = tcp.tcpi_last_data_recv * NS_PER_MS,
    .segment_age_ns = tcp.tcpi_last_ack_recv * NS_PER_MS,
  };
  return true;
}

bool
net_get_stream_peer_info (const uv_stream_t *stream,
                          struct net_peer_info *info)
{
  uv_os_fd_t fd;
  return uv_fileno ((const uv_handle_t *)stream, &fd) == 0
         && net_get_peer_info (fd, info);
}

void
net_reset_at_close (int fd)
{
  struct linger without_delay = { .l_onoff = 1, .l_linger = 0 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &without_delay, sizeof without_delay);
}

void
net_set_options (uv_tcp_t *tcp, unsigned silence_timeout_ms)
{
  uv_os_fd_t fd;
  int probes = PROBE_COUNT;
  uv_tcp_nodelay (tcp, 1);
  if (silence_timeout_ms == 0)
    return;
  uv_tcp_keepalive (tcp, 1, (silence_timeout_ms + MS_PER_S - 1) / MS_PER_S);
  if (uv_fileno ((uv_handle_t *)tcp, &fd) != 0)
    return;
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence_timeout_ms,
              sizeof silence_timeout_ms);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

enum status
net_listen (uv_loop_t *loop, uv_tcp_t *tcp,
            const struct settings_address *address,
            uv_connection_cb on_connection)
{
  struct sockaddr_storage socket_address;
  enum status s = settings_address_to_sockaddr (address, &socket_address);
  if (s != STATUS_OK)
    return s;
  uv_tcp_init (loop, tcp);
  int error = uv_tcp_bind (tcp, (const struct sockaddr *)&socket_address, 0);
  if (error == 0)
    error = uv_listen ((uv_stream_t *)tcp, BACKLOG, on_connection);
  if (error != 0)
    return status_set (STATUS_SYSTEM, "listen on %s:%u: %s", address->host,
                       address->port, uv_strerror (error));
  return STATUS_OK;
}

void
net_alloc_buffer (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  static char bytes[READ_BUFFER_BYTES];
  (void)handle;
  (void)suggested;
  *buffer = uv_buf_init (bytes, sizeof bytes);
}
