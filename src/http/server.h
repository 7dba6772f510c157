/* An HTTP/1.1 server on the loop's thread.

   It reads requests that follow each other on a connection while earlier ones
   still run, answers in order, and tells at once when a caller went away.  */

#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "base/status.h"
#include "http/headers.h"
#include "settings/settings.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

struct http_server;

/* What a caller may send and how long it may take.  */
struct http_limits
{
  uint32_t header_bytes_max;
  uint32_t body_bytes_max;
  uint32_t header_timeout_ms; /* from the first byte to the last header */
  uint32_t idle_timeout_ms;   /* between requests */
};

/* A request that was read whole.  The server owns it until it is answered or
   its caller is gone.  */
struct http_server_exchange
{
  const char *method;
  GString *request_target; /* path and query as the caller wrote them */
  struct headers *headers;
  GString *body;
  /* For the handler: called when the caller goes away before the answer; the
     exchange is freed after it returns.  */
  void (*on_disconnect) (struct http_server_exchange *x);
  void *user_data;
};

typedef void http_handler_fn (void *arg, struct http_server_exchange *x);

/* Listen on ADDRESS and give each request to HANDLER.  LIMITS outlives the
   server and may change.  NULL with a message when that fails.  */
struct http_server *http_server_new (uv_loop_t *loop,
                                     const struct settings_address *address,
                                     const struct http_limits *limits,
                                     http_handler_fn *handler, void *arg);

/* Answer X, which is gone then, with STATUS, the header lines HEAD (may be
   NULL) and BODY.  */
void http_respond (struct http_server_exchange *x, int status,
                   const char *head, const char *body, size_t length);

/* From now on each answer ends its connection.  */
void http_server_drain (struct http_server *s);

/* Close connections that have no request in work.  */
void http_server_close_idle (struct http_server *s);

/* Accept no more and cut all connections; their callers are told as gone.  The
   server is freed by the loop.  */
void http_server_close (struct http_server *s);

#endif
