#include "route/operator.h"
#include "ask/run.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/duration.h"
#include "route/asknode.h"
#include "route/callstats.h"
#include "route/ownd.h"
#include "route/peers_docs.h"
#include "route/request_check.h"
#include "settings/address.h"

#include <ck_pr.h>
#include <errno.h>
#include <microhttpd.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CONNECTIONS_MAX = 64,
  INBOX_CAPACITY = 64,
  REFRESH_MS = 1000,
  IDLE_TIMEOUT_S = 10
};

struct operator_service
{
  struct service service;
  struct kernel *kernel;
  const struct settings *settings;
  struct map *map;
  struct MHD_Daemon *daemon;
  struct asknode *asknode;
  struct inbox *inbox; /* commands and queries of other nodes */
  pthread_t thread;
  uint32_t stopping;
};

/* A line of the operator language that is being received.  */
struct command_line
{
  size_t length;
  char text[ASK_LINE_BYTES_MAX + 1];
};

/* Respond with TEXT, which is consumed.  */
static enum MHD_Result
respond (struct MHD_Connection *connection, unsigned status, char *text,
         const char *type)
{
  if (text == NULL)
    return MHD_NO;
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_FREE);
  if (response == NULL)
    return MHD_NO;
  MHD_add_response_header (response, "Content-Type", type);
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
answer_health (struct operator_service *o, struct MHD_Connection *connection)
{
  bool serving = ownd_is_serving (kernel_find (o->kernel, OWND_SERVICE));
  return respond (
      connection, serving ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
      strdup (serving ? "serving\n" : "not serving\n"), "text/plain");
}

static enum MHD_Result
answer_metrics (struct MHD_Connection *connection)
{
  char *counters = counter_export ();
  char *durations = duration_export ();
  char *text = NULL;
  if (counters != NULL && durations != NULL
      && asprintf (&text, "%s%s", counters, durations) < 0)
    text = NULL;
  free (counters);
  free (durations);
  return respond (connection, MHD_HTTP_OK, text, "text/plain; version=0.0.4");
}

static enum MHD_Result
answer_get (struct operator_service *o, struct MHD_Connection *connection,
            const char *url)
{
  struct service *ownd = kernel_find (o->kernel, OWND_SERVICE);
  if (strcmp (url, "/metrics") == 0)
    return answer_metrics (connection);
  if (strcmp (url, "/burn") == 0)
    return respond (
        connection, MHD_HTTP_OK,
        callstats_burn_json (kernel_find (o->kernel, CALLSTATS_SERVICE)),
        "application/json");
  if (strcmp (url, "/health") == 0)
    return answer_health (o, connection);
  if (strcmp (url, "/ownership") == 0)
    return respond (connection, MHD_HTTP_OK, ownd_describe (ownd),
                    "text/plain");
  return respond (connection, MHD_HTTP_NOT_FOUND, strdup ("not found\n"),
                  "text/plain");
}

/* Run the complete line L and respond with its result.  */
static enum MHD_Result
answer_command (struct operator_service *o, struct MHD_Connection *connection,
                const struct command_line *l)
{
  const char *accept
      = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "Accept");
  struct ask_request request = {
    .line = l->text,
    .length = l->length,
    .who = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                        "Crocusbend-Operator"),
    .json = accept != NULL && strstr (accept, "application/json") != NULL,
  };
  struct ask_reply reply = { 0 };
  ask_run (asknode_backend (o->asknode), &request, &reply);
  return respond (connection, reply.status, reply.body, reply.content_type);
}

static enum MHD_Result
receive_line (struct operator_service *o, struct MHD_Connection *connection,
              struct command_line *l, const char *data, size_t *length)
{
  if (*length == 0)
    return answer_command (o, connection, l);
  /* One byte more than the limit is kept, so that the parser finds the line
     too long.  */
  size_t room = sizeof l->text - l->length;
  size_t taken = *length < room ? *length : room;
  memcpy (l->text + l->length, data, taken);
  l->length += taken;
  *length = 0;
  return MHD_YES;
}

static enum MHD_Result
on_request (void *arg, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *length, void **state)
{
  struct operator_service *o = arg;
  (void)version;
  if (*state == NULL && !request_check_head (connection, method))
    return respond (connection, MHD_HTTP_BAD_REQUEST,
                    strdup ("the request is not well-formed\n"), "text/plain");
  if (strcmp (method, "GET") == 0)
    return answer_get (o, connection, url);
  if (strcmp (method, "POST") != 0 || strcmp (url, "/ask") != 0)
    return respond (connection, MHD_HTTP_METHOD_NOT_ALLOWED,
                    strdup ("GET, or POST /ask\n"), "text/plain");
  if (*state != NULL)
    return receive_line (o, connection, *state, data, length);
  *state = calloc (1, sizeof (struct command_line));
  return *state != NULL ? MHD_YES : MHD_NO;
}

static void
on_completed (void *arg, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  (void)arg;
  (void)connection;
  (void)code;
  free (*state);
  *state = NULL;
}

/* Publish this node's state for other nodes to fetch.  */
static void
publish_state (struct operator_service *o, int64_t now_ns)
{
  struct node_state state;
  asknode_refresh (o->asknode, now_ns);
  asknode_copy_state (o->asknode, &state);
  char *text = node_state_format (&state);
  if (text == NULL)
    return;
  peers_set_document (kernel_find (o->kernel, PEERS_SERVICE), TOPIC_STATE,
                      now_ns, text, strlen (text));
  free (text);
}

static void
process_queries (struct operator_service *o)
{
  struct peers_query *query;
  while ((query = inbox_take (o->inbox)) != NULL)
    {
      query->result = asknode_run_command (o->asknode, query->body);
      peers_reply (kernel_find (o->kernel, PEERS_SERVICE), query);
    }
}

static void *
operator_run (void *arg)
{
  struct operator_service *o = arg;
  struct pollfd fd = { .fd = inbox_fd (o->inbox), .events = POLLIN };
  int64_t next_ns = 0;
  while (ck_pr_load_32 (&o->stopping) == 0)
    {
      int64_t now_ns = clock_now_ns ();
      if (now_ns >= next_ns)
        {
          publish_state (o, now_ns);
          next_ns = now_ns + REFRESH_MS * NS_PER_MS;
        }
      process_queries (o);
      if (inbox_arm_wakeup (o->inbox))
        poll (&fd, 1, REFRESH_MS);
      inbox_clear_wakeup (o->inbox);
    }
  return NULL;
}

static enum status
operator_start (struct service *self)
{
  struct operator_service *o = (struct operator_service *)self;
  struct sockaddr_storage address;
  const struct settings_address *listen = &o->settings->operator_address;
  if (settings_address_to_sockaddr (listen, &address) != STATUS_OK)
    return STATUS_INVALID;
  unsigned flags = MHD_USE_INTERNAL_POLLING_THREAD
                   | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL;
  if (address.ss_family == AF_INET6)
    flags |= MHD_USE_IPv6;
  o->daemon = MHD_start_daemon (
      flags, listen->port, NULL, NULL, on_request, o, MHD_OPTION_SOCK_ADDR,
      (struct sockaddr *)&address, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
      o, MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTIONS_MAX,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_TIMEOUT_S,
      MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
  if (o->daemon == NULL)
    return status_set (STATUS_SYSTEM, "listen.operator %s:%u: %s",
                       listen->host, listen->port, strerror (errno));
  if (pthread_create (&o->thread, NULL, operator_run, o) == 0)
    return STATUS_OK;
  MHD_stop_daemon (o->daemon);
  return status_set (STATUS_SYSTEM, "cannot create the operator thread");
}

static void
operator_stop (struct service *self)
{
  struct operator_service *o = (struct operator_service *)self;
  MHD_stop_daemon (o->daemon);
  o->daemon = NULL;
  ck_pr_store_32 (&o->stopping, 1);
  inbox_wake (o->inbox);
  pthread_join (o->thread, NULL);
}

static void
operator_free (struct service *self)
{
  struct operator_service *o = (struct operator_service *)self;
  struct peers_query *query;
  while (o->inbox != NULL && (query = inbox_take (o->inbox)) != NULL)
    peers_query_free (query);
  inbox_free (o->inbox);
  asknode_free (o->asknode);
  free (o);
}

static const struct service_ops operator_ops = {
  OPERATOR_SERVICE, operator_start, NULL, operator_stop, operator_free,
};

struct service *
operator_new (struct kernel *k, const struct settings *s, struct map *m)
{
  struct operator_service *o = calloc (1, sizeof *o);
  if (o == NULL)
    return NULL;
  o->service.ops = &operator_ops;
  o->kernel = k;
  o->settings = s;
  o->map = m;
  o->inbox = inbox_new (INBOX_CAPACITY);
  o->asknode = asknode_new (k, s, m);
  if (o->inbox == NULL || o->asknode == NULL)
    {
      operator_free (&o->service);
      return NULL;
    }
  peers_handle_commands (kernel_find (k, PEERS_SERVICE), o->inbox);
  return &o->service;
}
