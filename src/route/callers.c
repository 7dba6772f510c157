#include "route/callers.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/duration.h"
#include "base/log.h"
#include "http/net.h"
#include "route/request_check.h"
#include "route/request_line.h"
#include "route/router.h"
#include "settings/address.h"

#include <ck_pr.h>
#include <errno.h>
#include <glib.h>
#include <linux/filter.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  CONNECTIONS_MAX = 8192,
  CONNECTION_MEMORY_MAX_BYTES = 16384,
  IDLE_TIMEOUT_S = 30,
  BODY_INITIAL_BYTES = 4096,
  RETRY_AFTER_BYTES = 16,
  ERROR_BODY_BYTES = 512,
  BACKLOG = 1024,
  BACKLOG_MAX = BACKLOG + 1, /* the kernel accepts one more */
  /* Also the time that the daemon's thread has to count a connection that it
     has just accepted.  */
  DRAIN_POLL_US = 10000,
  /* How long a drain waits for the first request of an accepted
     connection.  */
  FIRST_REQUEST_WAIT_MS = 500
};

struct callers
{
  struct service service;
  struct kernel *kernel;
  const struct settings *settings;
  struct service *router;
  struct MHD_Daemon *daemon;
  uint64_t id_base; /* random, so that the request ids of two runs differ */
  uint64_t id_count;
  uint32_t exchange_count; /* requests whose answer is not yet sent */
  uint32_t fresh_count;    /* connections that have sent no request yet */
  uint32_t adopted_count;  /* of these, not yet taken over by the daemon */
  uint32_t draining;
};

/* A connection of a caller.  */
struct caller_socket
{
  bool has_sent; /* its first request has begun */
};

/* One request of a caller and its answer.  */
struct exchange
{
  struct callers *callers;
  struct MHD_Connection *connection;
  bool counted; /* in exchange_count */
  char *uri;    /* undecoded path and query string */
  char *body;
  size_t body_length;
  size_t body_capacity;
  bool headers_seen;
  bool malformed; /* what follows it is not read as a request */
  bool too_large;
  bool no_memory;
  uint32_t done; /* set by the router's thread */
  struct call call;
};

static void
on_connection (void *arg, struct MHD_Connection *connection,
               void **socket_context, enum MHD_ConnectionNotificationCode code)
{
  struct callers *c = arg;
  struct caller_socket *s = *socket_context;
  (void)connection;
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      *socket_context = s = calloc (1, sizeof *s);
      if (ck_pr_load_32 (&c->adopted_count) > 0)
        ck_pr_dec_32 (&c->adopted_count);
      else
        ck_pr_inc_32 (&c->fresh_count);
      if (s == NULL)
        ck_pr_dec_32 (&c->fresh_count);
      return;
    }
  if (s != NULL && !s->has_sent)
    ck_pr_dec_32 (&c->fresh_count);
  free (s);
}

/* Count X until its answer is sent.  */
static void
count_exchange (struct exchange *x)
{
  struct callers *c = x->callers;
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      x->connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  struct caller_socket *s = info == NULL ? NULL : info->socket_context;
  x->counted = true;
  ck_pr_inc_32 (&c->exchange_count);
  ck_pr_fence_memory ();
  if (s == NULL || s->has_sent)
    return;
  s->has_sent = true;
  ck_pr_dec_32 (&c->fresh_count);
}

static void *
on_uri (void *arg, const char *uri, struct MHD_Connection *connection)
{
  struct exchange *x = calloc (1, sizeof *x);
  if (x == NULL)
    return NULL;
  x->callers = arg;
  x->connection = connection;
  x->uri = strdup (uri);
  return x;
}

static void
free_exchange (struct exchange *x)
{
  if (x->counted)
    ck_pr_dec_32 (&x->callers->exchange_count);
  answer_clear (&x->call.answer);
  if (x->call.request != NULL)
    request_unref (x->call.request);
  free (x->uri);
  free (x->body);
  free (x);
}

static void
on_completed (void *arg, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  (void)arg;
  (void)connection;
  (void)code;
  if (*state != NULL)
    free_exchange (*state);
  *state = NULL;
}

static void
add_outcome_headers (struct MHD_Response *response, enum outcome outcome,
                     enum reason reason)
{
  char seconds[RETRY_AFTER_BYTES];
  MHD_add_response_header (response, "Crocusbend-Outcome",
                           outcome_word (outcome));
  if (reason == REASON_NONE)
    return;
  MHD_add_response_header (response, "Crocusbend-Reason",
                           reason_word (reason));
  if (reason_retry_after_s (reason) == 0)
    return;
  snprintf (seconds, sizeof seconds, "%u", reason_retry_after_s (reason));
  MHD_add_response_header (response, "Retry-After", seconds);
}

static enum MHD_Result
queue_response (struct exchange *x, struct MHD_Response *response,
                unsigned status)
{
  if (response == NULL)
    return MHD_NO;
  if (x->malformed || ck_pr_load_32 (&x->callers->draining) != 0)
    MHD_add_response_header (response, "Connection", "close");
  enum MHD_Result result
      = MHD_queue_response (x->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

/* Answer with OUTCOME and REASON; DETAIL, which must not contain quotes, is
   for humans.  */
static enum MHD_Result
answer_refusal (struct exchange *x, enum outcome outcome, enum reason reason,
                const char *detail)
{
  char body[ERROR_BODY_BYTES];
  int length
      = snprintf (body, sizeof body,
                  "{\"outcome\":\"%s\",\"reason\":\"%s\",\"detail\":\"%s\"}\n",
                  outcome_word (outcome), reason_word (reason), detail);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      (size_t)length, body, MHD_RESPMEM_MUST_COPY);
  if (response == NULL)
    return MHD_NO;
  MHD_add_response_header (response, "Content-Type", "application/json");
  add_outcome_headers (response, outcome, reason);
  return queue_response (x, response, outcome_http_status (outcome, reason));
}

static enum MHD_Result
answer_from_target (struct exchange *x)
{
  struct answer *a = &x->call.answer;
  struct MHD_Response *response = MHD_create_response_from_buffer (
      a->body_length, a->body, MHD_RESPMEM_MUST_FREE);
  if (response == NULL)
    return MHD_NO;
  a->body = NULL;
  if (a->content_type[0] != '\0')
    MHD_add_response_header (response, "Content-Type", a->content_type);
  add_outcome_headers (response, a->outcome, a->reason);
  return queue_response (x, response, a->http_status);
}

static enum MHD_Result
answer (struct exchange *x)
{
  const struct answer *a = &x->call.answer;
  bool from_target
      = a->outcome == OUTCOME_ANSWERED || a->reason == REASON_TARGET_REFUSED;
  if (from_target && a->outcome != OUTCOME_UNKNOWN)
    return answer_from_target (x);
  return answer_refusal (x, a->outcome, a->reason, reason_text (a->reason));
}

static void
on_call_done (struct call *call)
{
  struct exchange *x = call->context;
  struct MHD_Connection *connection = x->connection;
  ck_pr_fence_store ();
  ck_pr_store_32 (&x->done, 1);
  MHD_resume_connection (connection);
}

static enum MHD_Result
collect_body (struct exchange *x, const char *data, size_t length)
{
  size_t limit = x->callers->settings->body_bytes_max;
  if (x->too_large || length > limit - x->body_length)
    {
      x->too_large = true;
      return MHD_YES;
    }
  size_t capacity
      = x->body_capacity > 0 ? x->body_capacity : BODY_INITIAL_BYTES;
  while (capacity < x->body_length + length)
    capacity *= 2;
  if (capacity != x->body_capacity)
    {
      char *grown = realloc (x->body, capacity);
      if (grown == NULL)
        return MHD_NO;
      x->body = grown;
      x->body_capacity = capacity;
    }
  memcpy (x->body + x->body_length, data, length);
  x->body_length += length;
  return MHD_YES;
}

static const char *
find_header (struct exchange *x, const char *name)
{
  return MHD_lookup_connection_value (x->connection, MHD_HEADER_KIND, name);
}

/* The socket of the caller of X, or -1.  */
static int
socket_of (const struct exchange *x)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      x->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info != NULL ? info->connect_fd : -1;
}

/* When the last bytes of X arrived.  Those of a request that waited behind
   others of its connection may be older.  */
static int64_t
find_arrival_ns (const struct exchange *x, int64_t now_ns)
{
  struct net_peer_info info;
  return net_get_peer_info (socket_of (x), &info) ? now_ns - info.data_age_ns
                                                  : now_ns;
}

/* Fill R from the headers.  Returns an error message, or NULL.  */
static const char *
read_headers (struct exchange *x, struct request *r)
{
  const struct settings *s = x->callers->settings;
  const char *type = find_header (x, "Content-Type");
  const char *organisation = find_header (x, "Crocusbend-Organisation");
  const char *deadline = find_header (x, "Crocusbend-Deadline-Ms");
  const char *idempotent = find_header (x, "Crocusbend-Idempotent");
  uint32_t deadline_ms = s->deadline_ms;
  if (!request_line_parse_idempotent (idempotent, r->method, &r->idempotent))
    return "Crocusbend-Idempotent is neither yes nor no";
  if (!request_line_parse_deadline (deadline, s->deadline_max_ms,
                                    &deadline_ms))
    return "Crocusbend-Deadline-Ms is not a number from 1 to "
           "limits.deadline_max_ms";
  if (!request_line_parse_depth (find_header (x, "Crocusbend-Depth"),
                                 &r->depth))
    return "Crocusbend-Depth is not a number from 0 to 9";
  if (organisation == NULL)
    organisation = "unknown";
  if (!request_line_is_name (organisation))
    return "Crocusbend-Organisation is not 1 to 63 of a-z 0-9 - _ .";
  if (type != NULL && strlen (type) >= sizeof r->content_type)
    return "Content-Type is too long";
  snprintf (r->organisation, sizeof r->organisation, "%s", organisation);
  snprintf (r->content_type, sizeof r->content_type, "%s",
            type != NULL ? type : "");
  r->deadline_ns = r->arrived_ns + deadline_ms * NS_PER_MS;
  return NULL;
}

/* Build the request of X.  Returns an error message and its *REASON, or
   NULL.  */
static const char *
build_request (struct exchange *x, const char *method, enum reason *reason)
{
  char service[SETTINGS_NAME_BYTES];
  char key[REQUEST_KEY_BYTES];
  *reason = REASON_BAD_REQUEST;
  if (!request_line_split (x->uri, service, sizeof service, key, sizeof key))
    return "the path is not /v1/SERVICE/KEY";
  if (strlen (method) >= REQUEST_METHOD_BYTES)
    return "the method is too long";
  if (strcmp (service, x->callers->settings->service) != 0)
    {
      *reason = REASON_NO_SUCH_SERVICE;
      return reason_text (*reason);
    }
  struct request *r = request_new (x->uri);
  if (r == NULL)
    {
      *reason = REASON_NODE_FULL;
      return "no memory";
    }
  x->call.request = r;
  memcpy (r->key, key, sizeof r->key);
  snprintf (r->method, sizeof r->method, "%s", method);
  r->id = x->callers->id_base + ck_pr_faa_64 (&x->callers->id_count, 1);
  r->body = x->body;
  r->body_length = x->body_length;
  x->body = NULL;
  r->arrived_ns = find_arrival_ns (x, clock_now_ns ());
  return read_headers (x, r);
}

static enum MHD_Result
route (struct exchange *x, const char *method)
{
  enum reason reason;
  const char *error = build_request (x, method, &reason);
  if (error != NULL)
    return answer_refusal (x, OUTCOME_NOT_RUN, reason, error);
  if (ck_pr_load_32 (&x->callers->draining) != 0)
    return answer_refusal (x, OUTCOME_NOT_RUN, REASON_DRAINING,
                           reason_text (REASON_DRAINING));
  x->call.fd = socket_of (x);
  x->call.done = on_call_done;
  x->call.context = x;
  counter_add (COUNTER_requests_total, 1);
  duration_add (DURATION_request_held,
                clock_now_ns () - x->call.request->arrived_ns);
  /* Suspended first: the router may end the call before router_submit
     returns.  */
  MHD_suspend_connection (x->connection);
  if (router_submit (x->callers->router, &x->call) == STATUS_OK)
    return MHD_YES;
  x->call.answer.outcome = OUTCOME_NOT_RUN;
  x->call.answer.reason = REASON_NODE_FULL;
  on_call_done (&x->call);
  return MHD_YES;
}

/* Whether the Content-Length of the request is over the limit.  */
static bool
announces_too_large (struct exchange *x)
{
  const char *length = find_header (x, "Content-Length");
  return length != NULL
         && strtoull (length, NULL, 10) > x->callers->settings->body_bytes_max;
}

static enum MHD_Result
refuse_malformed (struct exchange *x)
{
  x->malformed = true;
  return answer_refusal (x, OUTCOME_NOT_RUN, REASON_BAD_REQUEST,
                         "the request is not well-formed");
}

static enum MHD_Result
on_request (void *arg, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *length, void **state)
{
  struct exchange *x = *state;
  (void)arg;
  (void)url;
  (void)version;
  if (x == NULL || x->uri == NULL)
    return MHD_NO;
  if (ck_pr_load_32 (&x->done) != 0)
    return answer (x);
  if (!x->headers_seen)
    {
      x->headers_seen = true;
      count_exchange (x);
      if (!request_check_head (connection, method))
        return refuse_malformed (x);
      if (ck_pr_load_32 (&x->callers->draining) != 0)
        return answer_refusal (x, OUTCOME_NOT_RUN, REASON_DRAINING,
                               reason_text (REASON_DRAINING));
      x->too_large = announces_too_large (x);
      if (!x->too_large)
        return MHD_YES;
      counter_add (COUNTER_bodies_refused_total, 1);
      return answer_refusal (x, OUTCOME_NOT_RUN, REASON_BODY_TOO_LARGE,
                             reason_text (REASON_BODY_TOO_LARGE));
    }
  if (*length > 0)
    {
      enum MHD_Result result = collect_body (x, data, *length);
      *length = 0;
      return result;
    }
  if (!request_check_trailer (connection))
    return refuse_malformed (x);
  if (!x->too_large)
    return route (x, method);
  counter_add (COUNTER_bodies_refused_total, 1);
  return answer_refusal (x, OUTCOME_NOT_RUN, REASON_BODY_TOO_LARGE,
                         reason_text (REASON_BODY_TOO_LARGE));
}

static enum status
callers_start (struct service *self)
{
  struct callers *c = (struct callers *)self;
  struct sockaddr_storage address;
  const struct settings_address *listen = &c->settings->callers;
  c->router = kernel_find (c->kernel, ROUTER_SERVICE);
  if (settings_address_to_sockaddr (listen, &address) != STATUS_OK)
    return STATUS_INVALID;
  unsigned flags
      = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
  if (address.ss_family == AF_INET6)
    flags |= MHD_USE_IPv6;
  c->daemon = MHD_start_daemon (
      flags, listen->port, NULL, NULL, on_request, c, MHD_OPTION_SOCK_ADDR,
      (struct sockaddr *)&address, MHD_OPTION_URI_LOG_CALLBACK, on_uri, c,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, c,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, c,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTIONS_MAX,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_TIMEOUT_S,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_MAX_BYTES,
      MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned)BACKLOG,
      MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
  if (c->daemon == NULL)
    return status_set (STATUS_SYSTEM, "listen.callers %s:%u: %s", listen->host,
                       listen->port, strerror (errno));
  return STATUS_OK;
}

/* Stop listening on FD.  Closing it would reset the connections that wait to
   be accepted, so they are accepted first, with no new one completed
   meanwhile.  */
static void
stop_listening (struct callers *c, MHD_socket fd)
{
  struct sock_filter drop_all = BPF_STMT (BPF_RET | BPF_K, 0);
  struct sock_fprog filter = { 1, &drop_all };
  struct sockaddr_storage address;
  socklen_t length = sizeof address;
  int s = 0;
  if (setsockopt (fd, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter)
      != 0)
    log_event (EV_BACKLOG_RESET, "cause=\"%s\"", strerror (errno));
  for (int i = 0; i < BACKLOG_MAX; i++)
    {
      s = accept4 (fd, (struct sockaddr *)&address, &length,
                   SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (s < 0)
        break;
      ck_pr_inc_32 (&c->fresh_count);
      ck_pr_inc_32 (&c->adopted_count);
      /* Closes the socket when it fails, which leaves the connection counted
         until the drain no longer waits for fresh ones.  */
      MHD_add_connection (c->daemon, s, (struct sockaddr *)&address, length);
      length = sizeof address;
    }
  if (s < 0 && errno != EAGAIN)
    log_event (EV_BACKLOG_RESET, "cause=\"%s\"", strerror (errno));
  close (fd);
}

/* Whether some caller waits for an answer.  A caller that has connected and
   sent nothing is waited for until FRESH_UNTIL_NS.  */
static bool
has_callers (struct callers *c, int64_t fresh_until_ns, int64_t now_ns)
{
  return ck_pr_load_32 (&c->exchange_count) > 0
         || (ck_pr_load_32 (&c->fresh_count) > 0 && now_ns < fresh_until_ns);
}

static void
callers_drain (struct service *self)
{
  struct callers *c = (struct callers *)self;
  int64_t now_ns = clock_now_ns ();
  int64_t fresh_until_ns = now_ns + FIRST_REQUEST_WAIT_MS * NS_PER_MS;
  int64_t until_ns
      = now_ns + c->settings->deadline_max_ms * NS_PER_MS + NS_PER_S;
  ck_pr_store_32 (&c->draining, 1);
  ck_pr_fence_memory ();
  MHD_socket fd = MHD_quiesce_daemon (c->daemon);
  if (fd != MHD_INVALID_SOCKET)
    stop_listening (c, fd);
  do
    {
      usleep (DRAIN_POLL_US);
      now_ns = clock_now_ns ();
    }
  while (has_callers (c, fresh_until_ns, now_ns) && now_ns < until_ns);
}

static void
callers_stop (struct service *self)
{
  struct callers *c = (struct callers *)self;
  MHD_stop_daemon (c->daemon);
  c->daemon = NULL;
}

static void
callers_free (struct service *self)
{
  free (self);
}

static const struct service_ops callers_ops = {
  CALLERS_SERVICE, callers_start, callers_drain, callers_stop, callers_free,
};

struct service *
callers_new (struct kernel *k, const struct settings *s, struct map *m)
{
  (void)m;
  struct callers *c = calloc (1, sizeof *c);
  if (c == NULL)
    return NULL;
  c->service.ops = &callers_ops;
  c->kernel = k;
  c->settings = s;
  c->id_base = (uint64_t)g_random_int () << 32 | g_random_int ();
  return &c->service;
}
