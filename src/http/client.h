/* Calls of one HTTP/1.1 server over kept connections, on the loop's thread.

   One call at a time on a connection.  A call is sent once: what to repeat is
   decided by who makes the call.  */

#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "http/headers.h"
#include "settings/settings.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

struct http_client;
struct http_call;

enum http_result
{
  HTTP_COMPLETED, /* a whole answer came */
  HTTP_NOT_SENT,  /* no connection: no byte of the call left */
  HTTP_FAILED,    /* sent, and the answer is missing, cut short or malformed */
  HTTP_TIMED_OUT  /* sent, and no whole answer came in time */
};

struct http_response
{
  enum http_result result;
  const char *cause; /* of anything but HTTP_COMPLETED, in a word */
  int status;
  const struct headers *headers; /* all valid during the call back only */
  const char *body;
  size_t body_length;
};

typedef void http_done_fn (void *arg, const struct http_response *reply);

/* Whether an answer belongs to the call ARG was given for; others are passed
   over.  */
typedef bool http_match_fn (void *arg, const struct headers *headers);

struct http_call_options
{
  http_done_fn *done;
  http_match_fn *matches; /* NULL: every answer does */
  void *arg;
  uint32_t timeout_ms; /* until HTTP_TIMED_OUT */
  bool head_only;      /* the answer has no body */
};

/* A client of ADDRESS that keeps at most CONNECTIONS open.  */
struct http_client *http_client_new (uv_loop_t *loop,
                                     const struct settings_address *address,
                                     uint32_t connections);

/* Send MESSAGE, a whole request that this call owns.  DONE is called once,
   never from within this call, unless the call is cancelled.  */
struct http_call *http_call (struct http_client *client, GString *message,
                             const struct http_call_options *options);

/* Drop CALL and close its connection, which tells the server.  */
void http_call_cancel (struct http_call *call);

/* Close all connections; calls in work end as HTTP_FAILED.  */
void http_client_reset (struct http_client *client, const char *cause);

#endif
