/* Helpers for libuv's TCP streams.  */

#ifndef HTTP_NET_H
#define HTTP_NET_H

#include "base/status.h"
#include "settings/settings.h"
#include <glib.h>
#include <uv.h>

/* Write DATA to STREAM; takes ownership of DATA.  The loop writes what the
   kernel does not accept at once.  Returns 0 or libuv's error of the write;
   the read callback of the stream then sees its end as well.  */
int net_send (uv_stream_t *stream, GString *data);

/* The same; WRITTEN, if not NULL, is called with STREAM and 0 or the error
   when the loop has written what the kernel did not accept at once, or STREAM
   is closed.  */
typedef void net_written_fn (uv_stream_t *stream, int error);
int net_send_notify (uv_stream_t *stream, GString *data,
                     net_written_fn *written);

/* The number of bytes that the loop has yet to write.  */
size_t net_pending_bytes (const uv_stream_t *stream);

/* The number of bytes that the peer has not acknowledged yet, with those that
   the loop has yet to write.  A process that exits before may lose them: the
   kernel resets a connection that is closed with unread input.  Only those of
   the loop where the kernel does not tell.  */
size_t net_undelivered_bytes (const uv_stream_t *stream);

/* Whether STREAM, whose end libuv has reported, was closed by its peer and not
   reset.  WRITE_ERROR is the first error of a write to it, or 0: the kernel
   reports a reset once, to whichever read or write comes first, and after that
   an end.  A peer that closes before it resets leaves a write UV_EPIPE.  */
bool net_closed_orderly (const uv_stream_t *stream, int write_error);

/* What the kernel knows of the peer of a connection.  */
struct net_peer_info
{
  bool left; /* it closed its side or reset the connection */
  /* Time since its last bytes, and its last segment, arrived.  */
  int64_t data_age_ns;
  int64_t segment_age_ns;
};

/* Describe the peer of the connection FD.  False if the kernel does not tell.
   Unlike a read this finds an end that comes after bytes that were not read
   yet.  */
bool net_get_peer_info (int fd, struct net_peer_info *info);
bool net_get_stream_peer_info (const uv_stream_t *stream,
                               struct net_peer_info *info);

/* Let the close of the connection FD reset it: what was not delivered yet is
   dropped.  */
void net_reset_at_close (int fd);

/* Set TCP_NODELAY and, unless SILENCE_TIMEOUT_MS is 0, let the kernel close
   the connection when the peer is silent for that long (TCP_USER_TIMEOUT and
   keep-alive probes).  */
void net_set_options (uv_tcp_t *tcp, unsigned silence_timeout_ms);

/* Listen on ADDRESS and call ON_CONNECTION for each new connection.  */
enum status net_listen (uv_loop_t *loop, uv_tcp_t *tcp,
                        const struct settings_address *address,
                        uv_connection_cb on_connection);

/* Allocation callback of uv_read_start: a static buffer that all streams
   share, valid until the next read.  Only for streams of one thread.  */
void net_alloc_buffer (uv_handle_t *handle, size_t suggested,
                       uv_buf_t *buffer);

#endif
