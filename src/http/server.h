/* An HTTP/1.1 server on the loop's thread.

   It supports pipelining: it reads further requests of a connection while
   earlier ones run, and sends the responses in order.  It reports a caller's
   disconnection at once, and drops the requests that had not been read by
   then.  A caller that closes only its own direction has left as well.  */

#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "base/status.h"
#include "http/headers.h"
#include "http/memory.h"
#include "settings/settings.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

struct http_server;

/* Limits for callers.  */
struct http_limits
{
  uint32_t header_bytes_max;
  uint32_t body_bytes_max;
  /* From the first byte of a request until it is complete, with its body.  */
  uint32_t header_timeout_ms;
  uint32_t idle_timeout_ms; /* without a request in progress */
};

/* A request that was received completely.  The server owns it and frees it
   after the response or the caller's disconnection.  */
struct http_server_exchange
{
  const char *method;
  GString *request_target; /* path and query as received */
  struct headers *headers;
  GString *body;
  int64_t arrived_ns; /* when its last bytes arrived, CLOCK_BOOTTIME */
  int64_t left_ns;    /* when the caller disconnected, set before
                         ON_DISCONNECT is called */
  /* Set by the handler.  Called if the caller disconnects before the response;
     the exchange is freed when it returns.  */
  void (*on_disconnect) (struct http_server_exchange *exchange);
  void *user_data; /* for the handler */
};

typedef void http_handler_fn (void *arg,
                              struct http_server_exchange *exchange);

/* Listen on ADDRESS and call HANDLER with ARG for each request.  LIMITS must
   outlive the server; its values may change.  NULL with a message
   (base/status.h) on failure.  */
struct http_server *http_server_new (uv_loop_t *loop,
                                     const struct settings_address *address,
                                     const struct http_limits *limits,
                                     http_handler_fn *handler, void *arg);

/* Account for bodies and responses with MEMORY, which must outlive the server.
   A body of a known length that does not fit is refused with 503 before it is
   read; while one in chunks does not fit, its reading is paused.  Responses
   are counted and always sent.  */
void http_server_set_memory (struct http_server *server,
                             const struct http_memory *memory);

/* Also handle requests whose caller had left before they were read; without it
   they are dropped.  For reports, which count whether or not their sender
   waits for the response.  */
void http_server_serve_left (struct http_server *server);

/* Whether the caller of EXCHANGE is still there.  If not, its connection is
   closed, and ON_DISCONNECT has been called for its exchanges: EXCHANGE must
   not be used any more.  It asks the kernel, for work that begins later than
   the exchange.  */
bool http_caller_is_there (struct http_server_exchange *exchange);

/* Respond to EXCHANGE with STATUS, HEADER_LINES (may be NULL) and BODY.  The
   exchange must not be used afterwards.  */
void http_respond (struct http_server_exchange *exchange, int status,
                   const char *header_lines, const char *body, size_t length);

/* From now on close each connection with the response to the last of the
   requests that were read from it.  */
void http_server_drain (struct http_server *server);

/* Close the connections that have no request in progress.  */
void http_server_close_idle (struct http_server *server);

/* Whether no request is being read or is without its response, and each
   response has been delivered.  */
bool http_server_is_idle (const struct http_server *server);

/* Stop listening and close all connections; ON_DISCONNECT is called for their
   requests.  The loop frees the server.  */
void http_server_close (struct http_server *server);

#endif
