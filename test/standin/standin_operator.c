/* A stand-in for the operator address of a node.  Usage: standin_operator
   PORT.

   It keeps a configuration in memory and answers POST /ask.  `store` fails
   with 503; `drain lost` closes the connection without an answer.  It prints
   "ready" and exits at end of file on standard input.  */

#include "ask/config.h"
#include "ask/run.h"
#include "base/clock.h"
#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  BODY_BYTES_MAX = 4096
};

/* Accessed by the single server thread only.  */
struct standin
{
  struct ask_node node;
  struct conf *conf;
  uint64_t change;
  bool drop_response;
};

static enum status
change_conf (struct ask_node *node, const struct ask_query *q,
             struct ask_answer *answer)
{
  struct standin *st = (struct standin *)node;
  struct conf_command command;
  struct conf *next = NULL;
  ask_to_command (q, ++st->change, clock_wall_ms (), &command);
  enum status s
      = conf_apply (st->conf, &command, ask_answer_findings (answer), &next);
  if (s != STATUS_OK)
    return s;
  ask_answer_change (answer, st->conf, next, q->dry_run);
  if (q->dry_run)
    conf_unref (next);
  else
    conf_replace_if_newer (&st->conf, next);
  return STATUS_OK;
}

static enum status
show_limits (struct ask_node *node, const struct ask_query *q,
             struct ask_answer *answer)
{
  return ask_answer_limits (answer, ((struct standin *)node)->conf, q);
}

static enum status
show_organisations (struct ask_node *node, const struct ask_query *q,
                    struct ask_answer *answer)
{
  (void)q;
  return ask_answer_organisations (answer, ((struct standin *)node)->conf);
}

static enum status
fail_store (struct ask_node *node, const struct ask_query *q,
            struct ask_answer *answer)
{
  (void)node;
  (void)q;
  (void)answer;
  return status_set (STATUS_TIMEOUT, "the store does not answer");
}

static enum status
drain_node (struct ask_node *node, const struct ask_query *q,
            struct ask_answer *answer)
{
  struct standin *st = (struct standin *)node;
  st->drop_response = strcmp (q->node, "lost") == 0;
  ask_answer_note (answer, "%s drains, says %s.", q->node, q->who);
  return STATUS_OK;
}

static const struct ask_node_ops ops = {
  .create_service = change_conf,
  .mark = change_conf,
  .set_limit = change_conf,
  .limits = show_limits,
  .organisations = show_organisations,
  .store = fail_store,
  .drain = drain_node,
};

static enum MHD_Result
send_reply (struct standin *st, struct MHD_Connection *connection,
            const GString *body)
{
  const char *accept
      = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "Accept");
  struct ask_request request
      = { body->str, body->len,
          MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                       "Crocusbend-Operator"),
          accept != NULL && strcmp (accept, "application/json") == 0 };
  struct ask_reply reply;
  st->drop_response = false;
  ask_run (&st->node, &request, &reply);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (reply.body), reply.body, MHD_RESPMEM_MUST_FREE);
  MHD_add_response_header (response, "Content-Type", reply.content_type);
  enum MHD_Result result = MHD_NO;
  if (!st->drop_response)
    result = MHD_queue_response (connection, reply.status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
handle (void *arg, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *data,
        size_t *size, void **state)
{
  GString *body = (GString *)*state;
  (void)url;
  (void)method;
  (void)version;
  if (body == NULL)
    {
      *state = g_string_new (NULL);
      return MHD_YES;
    }
  if (*size == 0)
    return send_reply ((struct standin *)arg, connection, body);
  if (body->len + *size > BODY_BYTES_MAX)
    return MHD_NO;
  g_string_append_len (body, data, (gssize)*size);
  *size = 0;
  return MHD_YES;
}

static void
complete (void *arg, struct MHD_Connection *connection, void **state,
          enum MHD_RequestTerminationCode code)
{
  (void)arg;
  (void)connection;
  (void)code;
  if (*state != NULL)
    g_string_free ((GString *)*state, TRUE);
}

int
main (int argc, char **argv)
{
  struct standin st = { .node = { &ops }, .conf = conf_new () };
  struct sockaddr_in address = { .sin_family = AF_INET };
  if (argc != 2)
    return EXIT_FAILURE;
  address.sin_port = htons ((uint16_t)strtoul (argv[1], NULL, 10));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  struct MHD_Daemon *daemon = MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, handle, &st,
      MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
      MHD_OPTION_NOTIFY_COMPLETED, complete, NULL, MHD_OPTION_END);
  if (daemon == NULL)
    return EXIT_FAILURE;
  puts ("ready");
  fflush (stdout);
  while (getchar () != EOF)
    ;
  MHD_stop_daemon (daemon);
  conf_unref (st.conf);
  return EXIT_SUCCESS;
}
