/* The HTTP server of the stand-ins.  It passes complete requests to a handler,
   can delay an answer without a thread per request, and can close connections
   without an answer.  */

#ifndef STANDIN_HTTP_H
#define STANDIN_HTTP_H

#include <microhttpd.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct standin_http;

/* What to do with a call after its handler has returned.  */
enum standin_action
{
  STANDIN_ANSWER, /* send status and response */
  STANDIN_WAIT,   /* call the handler again at wake_ns or on wake-up */
  STANDIN_CLOSE   /* close the connection without an answer */
};

/* One request.  All strings live as long as the call.  */
struct standin_call
{
  struct standin_http *http;
  struct MHD_Connection *connection;
  const char *method;
  const char *path; /* as sent, without the query */
  char *uri;        /* as sent, with the query */
  char *body;
  size_t body_length;
  int64_t wake_ns;        /* on clock_now_ns; INT64_MAX: on wake-up only */
  bool ignore_disconnect; /* keep waiting if the caller disconnects, so that
                the handler always runs to completion */
  bool disconnected;      /* the caller disconnected during the wait */
  unsigned status;
  struct MHD_Response *response; /* freed with the call */
  void *state;                   /* of the handler, freed by ops->completed */
  /* Private to the server.  */
  size_t body_capacity;
  bool started;
  bool handled; /* the handler has returned a final action */
  bool suspended;
  bool wake_pending; /* woken before it was suspended */
};

struct standin_ops
{
  enum standin_action (*handle) (void *arg, struct standin_call *call);
  /* Called when a call has ended; ANSWER_SENT if its answer was sent
     completely. May be NULL.  */
  void (*completed) (void *arg, struct standin_call *call, bool answer_sent);
  /* Called on the timer thread; returns the time of the next call.  May be
     NULL.  */
  int64_t (*tick) (void *arg, int64_t now_ns);
};

/* Start a server on LISTEN ("HOST:PORT", numeric) with THREADS threads.  NULL
   if the address cannot be used.  */
struct standin_http *standin_http_new (const char *listen, unsigned threads,
                                       const struct standin_ops *ops,
                                       void *arg);

/* End all calls, close all connections and free H.  */
void standin_http_free (struct standin_http *h);

/* Call the handler of CALL again at once; CALL is suspended or about to be.
   May be called on any thread; CALL must not have ended.  */
void standin_http_wake (struct standin_call *call);

/* Within a content reader: suspend CALL until WAKE_NS or a wake-up.  The
   reader must return the result.  */
ssize_t standin_http_suspend_stream (struct standin_call *call,
                                     int64_t wake_ns);

/* The number of open connections, and its maximum so far.  */
void standin_http_connections (const struct standin_http *h, int *open,
                               int *peak);

/* Set the answer of CALL to STATUS with the JSON text TEXT; takes ownership of
   TEXT, which must come from malloc.  */
void standin_call_answer (struct standin_call *call, unsigned status,
                          char *text);

/* Parse "HOST:PORT" with a numeric IPv4 address.  */
bool standin_parse_address (const char *text, struct sockaddr_in *address);

/* Block SIGTERM and SIGINT and ignore SIGPIPE.  Call before any thread
   starts.  */
void standin_block_signals (void);

/* Print "ready" and wait for SIGTERM or SIGINT.  */
void standin_wait_for_signal (void);

#endif
