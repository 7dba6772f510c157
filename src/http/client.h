/* HTTP/1.1 client for one server, with a pool of persistent connections.  It
   runs on the loop's thread.

   A connection carries one call at a time; requests are not pipelined.  The
   client sends a call only once and leaves retries to its user.  */

#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "http/headers.h"
#include "http/memory.h"
#include "settings/settings.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

struct http_client;
struct http_call;

enum http_result
{
  HTTP_COMPLETED, /* the complete response was received */
  HTTP_NOT_SENT,  /* no connection: no byte of the request was sent */
  HTTP_FAILED,    /* sent, but the response is missing, truncated, malformed
                     or beyond its bounds */
  HTTP_TIMED_OUT  /* sent, but no complete response within the time-out */
};

struct http_response
{
  enum http_result result;
  const char *cause; /* of a failure, in one word; NULL if HTTP_COMPLETED */
  bool fresh;        /* its connection carried no other call, so it is no late
                        copy of an earlier response */
  bool unbounded;    /* it failed at a bound of its head, body or time, and
                        more bytes were about to follow */
  int status;
  const struct headers *headers; /* valid only during the callback, as BODY */
  const char *body;
  size_t body_length;
};

typedef void http_done_fn (void *arg, const struct http_response *response);

/* Whether a response with HEADERS belongs to the call that was made with ARG.
   Other responses are skipped.  */
typedef bool http_match_fn (void *arg, const struct headers *headers);

struct http_call_options
{
  http_done_fn *done;
  http_match_fn *matches; /* NULL: every response matches */
  /* Whether a response with HEADERS says which call it belongs to; after one
     that does not the connection is not used again, because a late copy of it
     would match any call.  NULL: all do.  */
  http_match_fn *identifies;
  void *arg;
  uint32_t timeout_ms; /* limit from sending the request to the end of the
                          response */
  /* A call that has waited longer for a connection ends as HTTP_NOT_SENT; 0:
     no limit.  */
  uint32_t queue_max_ms;
  bool head_only; /* request by HEAD: the response has no body */
  /* Use a connection that has carried no other call, so that no late copy of
     an earlier response is taken for that of this call.  */
  bool fresh;
};

/* Create a client of the server at ADDRESS that has at most CONNECTIONS_MAX
   connections open.  */
struct http_client *http_client_new (uv_loop_t *loop,
                                     const struct settings_address *address,
                                     uint32_t connections_max);

/* Limit the bodies of responses to BYTES from now on; initially 64 MiB.  Heads
   have the bounds of http/bounds.h.  */
void http_client_set_body_max (struct http_client *client, uint32_t bytes);

/* Count the bodies of responses in MEMORY, which must outlive the client.  */
void http_client_set_memory (struct http_client *client,
                             const struct http_memory *memory);

/* Called when a connection is closed at a bound, after BYTES of the response
   or after bytes that belong to no call.  CAUSE is one word.  */
typedef void http_unbounded_fn (void *arg, const char *cause, size_t bytes);
void http_client_on_unbounded (struct http_client *client,
                               http_unbounded_fn *fn, void *arg);

/* Called when a response that is not well-formed (http/reader.h) fails its
   call.  FAULT is one word.  */
typedef void http_malformed_fn (void *arg, const char *fault);
void http_client_on_malformed (struct http_client *client,
                               http_malformed_fn *fn, void *arg);

/* Send MESSAGE, a complete request, and take ownership of it.  The call waits
   in a queue while all connections are in use.  DONE is called once, never
   from within this function, unless the call is cancelled.  */
struct http_call *http_call (struct http_client *client, GString *message,
                             const struct http_call_options *options);

/* Cancel CALL and reset its connection, by which the server learns of it.
   What was not delivered yet is not delivered.  */
void http_call_cancel (struct http_call *call);

/* Close all connections.  Their calls end with CAUSE: as HTTP_NOT_SENT while
   connecting, otherwise as HTTP_FAILED.  */
void http_client_reset (struct http_client *client, const char *cause);

#endif
