/* Small helpers over libuv's TCP streams.  */

#ifndef HTTP_NET_H
#define HTTP_NET_H

#include "base/status.h"
#include "settings/settings.h"
#include <glib.h>
#include <uv.h>

/* Write DATA, which this call owns and frees, to STREAM.  What the kernel does
   not take at once is sent by the loop.  False when the stream is broken; the
   reader of the stream sees its end as well.  */
bool net_send (uv_stream_t *stream, GString *data);

/* Bytes that the loop still has to write.  */
size_t net_pending_bytes (const uv_stream_t *stream);

/* Whether STREAM, of which libuv told the end, was closed by its peer and not
   reset: after a short read libuv tells a reset as an end.  */
bool net_closed_orderly (const uv_stream_t *stream);

/* No delay, and an end to a connection whose peer is silent for SILENCE_MS
   (the kernel's user timeout and keep-alive probes).  */
void net_set_options (uv_tcp_t *tcp, unsigned silence_ms);

/* Listen on ADDRESS and call ON_CONNECTION for each connection.  */
enum status net_listen (uv_loop_t *loop, uv_tcp_t *tcp,
                        const struct settings_address *address,
                        uv_connection_cb on_connection);

/* The buffer of libuv's reads: one for the loop's thread, valid until the
   next read.  */
void net_alloc_buffer (uv_handle_t *handle, size_t suggested,
                       uv_buf_t *buffer);

#endif
