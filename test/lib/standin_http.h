/* The HTTP server under the stand-ins: whole requests to a handler, waiting
   without a thread for each request, connections closed on purpose.  */

#ifndef STANDIN_HTTP_H
#define STANDIN_HTTP_H

#include <microhttpd.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct standin_http;

/* What becomes of a call after its handler has returned.  */
enum standin_action
{
  STANDIN_ANSWER, /* send status and response */
  STANDIN_WAIT,   /* call the handler again at wake_ns, or when woken */
  STANDIN_CLOSE   /* close the connection without an answer */
};

/* One request.  METHOD, PATH, URI and BODY live as long as the call.  */
struct standin_call
{
  struct standin_http *http;
  struct MHD_Connection *connection;
  const char *method;
  const char *path; /* as sent, without the query */
  char *uri;        /* as sent, with the query */
  char *body;
  size_t body_length;
  int64_t wake_ns;        /* of clock_now_ns; INT64_MAX: only when woken */
  bool ignore_disconnect; /* wait on although the caller closes the connection;
                the handler is called to its end in any case */
  bool disconnected; /* the caller closed the connection while it waited */
  unsigned status;
  struct MHD_Response *response; /* owned by the call */
  void *state;                   /* the handler's, freed by END */
  /* Of the server alone.  */
  size_t body_capacity;
  bool started;
  bool handled; /* the handler has told what becomes of the call */
  bool suspended;
  bool wake_pending;
};

struct standin_ops
{
  enum standin_action (*handle) (void *arg, struct standin_call *call);
  /* The call is over; WHOLE when the answer was sent to its end.  May be
     NULL.  */
  void (*completed) (void *arg, struct standin_call *call, bool whole);
  /* Called on the timer thread; returns when to be called again.  May be
     NULL.  */
  int64_t (*tick) (void *arg, int64_t now_ns);
};

/* Serve LISTEN ("HOST:PORT", numeric) on THREADS threads.  NULL when the
   address cannot be used.  */
struct standin_http *standin_http_new (const char *listen, unsigned threads,
                                       const struct standin_ops *ops,
                                       void *arg);

/* End all calls, close all connections and free H.  */
void standin_http_free (struct standin_http *h);

/* Call the handler of CALL, which waits or is about to, again at once.  Any
   thread; the caller makes sure that CALL has not ended.  */
void standin_http_wake (struct standin_call *call);

/* Within a content reader: wait until WAKE_NS or a wake-up.  Returns what the
   reader has to return.  */
ssize_t standin_http_suspend_stream (struct standin_call *call,
                                     int64_t wake_ns);

/* The connections open now, and the most at any time.  */
void standin_http_connections (const struct standin_http *h, int *open,
                               int *peak);

/* Set the answer of CALL to STATUS with the JSON text TEXT, which it owns from
   now on (malloc).  */
void standin_call_answer (struct standin_call *call, unsigned status,
                          char *text);

/* Read "HOST:PORT" with a numeric IPv4 address.  */
bool standin_parse_address (const char *text, struct sockaddr_in *address);

/* Block the signals that end a program; before any thread starts.  */
void standin_block_signals (void);

/* Print "ready" and return when SIGTERM or SIGINT came.  */
void standin_wait_for_signal (void);

#endif
