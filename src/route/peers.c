#include "route/peers.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "route/link.h"
#include "route/peers_docs.h"
#include "route/peers_parts.h"
#include "route/target.h"
#include "wire/wire.h"

#include <ck_pr.h>
#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

enum
{
  INBOX_ITEMS_PER_REQUEST = 4,
  MESSAGES_PER_ROUND = 64, /* received from one socket */
  /* The same for messages of other nodes: all that a stall leaves, so that
     cancels are read before their requests are passed on.  */
  REQUESTS_PER_ROUND = 4096,
  PENDING_POLL_MS = 2,
  BUSY_POLL_MS = 10,
  IDLE_POLL_MS = 1000,
  FIXED_POLL_ITEMS = 2
};

void
peers_send_to (struct peers *p, const char *identity, size_t identity_length,
               const struct wire_message *m, const char *body, size_t length)
{
  char header[WIRE_HEADER_BYTES];
  size_t header_length;
  if (wire_encode (m, header, &header_length) != STATUS_OK)
    return;
  int flags = ZMQ_DONTWAIT | ZMQ_SNDMORE;
  if (zmq_send (p->router_socket, identity, identity_length, flags) < 0)
    return;
  if (zmq_send (p->router_socket, header, header_length, flags) < 0)
    return;
  zmq_send (p->router_socket, body, length, ZMQ_DONTWAIT);
  counter_add (COUNTER_peer_messages_out_total, 1);
  counter_add (COUNTER_peer_bytes_out_total, header_length + length);
}

static void
answer_origin (struct peers *p, const struct origin *o,
               const struct answer *answer)
{
  struct wire_message m = { .kind = WIRE_ANSWER, .id = o->message_id };
  m.outcome = answer->outcome;
  m.reason = answer->reason;
  m.http_status = answer->http_status;
  memcpy (m.content_type, answer->content_type, sizeof m.content_type);
  peers_send_to (p, o->identity, o->identity_length, &m, answer->body,
                 answer->body_length);
}

static void
refuse_origin (struct peers *p, const struct origin *o, enum reason reason)
{
  struct answer answer = { .outcome = OUTCOME_NOT_RUN, .reason = reason };
  answer.http_status = outcome_http_status (OUTCOME_NOT_RUN, reason);
  answer_origin (p, o, &answer);
}

/* A request with the contents of M and BODY, or NULL when memory is short.  */
static struct request *
build_request (const struct wire_message *m, const char *body, size_t length)
{
  struct request *r = request_new (m->path);
  if (r == NULL)
    return NULL;
  r->id = m->request_id;
  r->idempotent = m->idempotent;
  r->depth = m->depth;
  r->arrived_ns = clock_now_ns ();
  r->deadline_ns = m->time_ns;
  memcpy (r->method, m->method, sizeof r->method);
  memcpy (r->key, m->key, sizeof r->key);
  memcpy (r->organisation, m->organisation, sizeof r->organisation);
  memcpy (r->content_type, m->content_type, sizeof r->content_type);
  if (length == 0)
    return r;
  r->body = malloc (length);
  if (r->body == NULL)
    {
      request_unref (r);
      return NULL;
    }
  memcpy (r->body, body, length);
  r->body_length = length;
  return r;
}

static enum reason
refusal_reason (struct peers *p, const struct wire_message *m, size_t length)
{
  if (m->incarnation == 0 || m->incarnation != map_self_incarnation (p->map))
    return REASON_NOT_OWNER;
  if (length > p->settings->body_bytes_max)
    return REASON_BODY_TOO_LARGE;
  if (g_hash_table_size (p->origins) >= p->settings->requests_max)
    return REASON_OWNER_BUSY;
  if (m->time_ns > clock_now_ns ())
    return REASON_NONE;
  counter_add (COUNTER_peer_stale_total, 1);
  return REASON_DEADLINE;
}

static void
start_attempt (struct peers *p, struct origin *o, struct request *r)
{
  struct owner owner = { .is_self = true };
  struct attempt *a = attempt_new (r, &owner, p->inbox);
  request_unref (r);
  if (a == NULL)
    {
      refuse_origin (p, o, REASON_NODE_FULL);
      free (o);
      return;
    }
  a->context = o;
  o->attempt = a;
  g_hash_table_add (p->origins, o);
  counter_add (COUNTER_requests_from_peers_total, 1);
  g_queue_push_tail (&p->arrived, a);
}

/* Pass on the requests that have arrived, but for those whose cancels arrived
   with them.  */
static void
submit_arrived (struct peers *p)
{
  struct attempt *a;
  while ((a = g_queue_pop_head (&p->arrived)) != NULL)
    if (attempt_is_cancelled (a))
      {
        counter_add (COUNTER_peer_cancelled_unstarted_total, 1);
        attempt_fail (a, OUTCOME_NOT_RUN, REASON_CALLER_GONE);
      }
    else if (target_submit (p->target, a) != STATUS_OK)
      attempt_fail (a, OUTCOME_NOT_RUN, REASON_OWNER_BUSY);
}

static void
on_request (struct peers *p, const struct origin *from,
            const struct wire_message *m, const char *body, size_t length)
{
  enum reason reason = refusal_reason (p, m, length);
  if (reason != REASON_NONE)
    {
      refuse_origin (p, from, reason);
      return;
    }
  struct request *r = build_request (m, body, length);
  struct origin *o = malloc (sizeof *o);
  if (r == NULL || o == NULL)
    {
      if (r != NULL)
        request_unref (r);
      free (o);
      refuse_origin (p, from, REASON_NODE_FULL);
      return;
    }
  *o = *from;
  start_attempt (p, o, r);
}

static bool
same_origin (const struct origin *a, const struct origin *b)
{
  return a->message_id == b->message_id
         && a->identity_length == b->identity_length
         && memcmp (a->identity, b->identity, a->identity_length) == 0;
}

static void
on_cancel (struct peers *p, const struct origin *from)
{
  GHashTableIter iter;
  gpointer entry;
  g_hash_table_iter_init (&iter, p->origins);
  while (g_hash_table_iter_next (&iter, &entry, NULL))
    {
      struct origin *o = entry;
      if (!same_origin (o, from))
        continue;
      attempt_cancel (o->attempt);
      target_check_cancels (p->target);
      return;
    }
}

static void
on_hello (struct peers *p, const struct origin *from)
{
  struct wire_message m = { .kind = WIRE_WELCOME, .id = from->message_id };
  m.incarnation = map_self_incarnation (p->map);
  m.time_ns = clock_now_ns ();
  peers_send_to (p, from->identity, from->identity_length, &m, NULL, 0);
}

static void
on_router_message (struct peers *p, struct origin *from, const char *header,
                   size_t header_length, const char *body, size_t length)
{
  struct wire_message m;
  if (wire_decode (&m, header, header_length) != STATUS_OK)
    {
      counter_add (COUNTER_peer_bad_messages_total, 1);
      return;
    }
  from->message_id = m.id;
  switch (m.kind)
    {
    case WIRE_REQUEST:
      on_request (p, from, &m, body, length);
      break;
    case WIRE_CANCEL:
      on_cancel (p, from);
      break;
    case WIRE_HELLO:
      on_hello (p, from);
      break;
    case WIRE_FETCH:
      if (p->fetch_handlers[m.topic] != NULL)
        peers_dispatch_query (p, from, &m, body, length);
      else
        peers_send_document (p, from, &m);
      break;
    case WIRE_NOTICE:
      peers_dispatch_notice (p, &m);
      break;
    default:
      counter_add (COUNTER_peer_bad_messages_total, 1);
      break;
    }
}

/* Receive one frame into PART; false when none is available.  */
static bool
receive_part (void *socket, zmq_msg_t *part)
{
  zmq_msg_init (part);
  if (zmq_msg_recv (part, socket, ZMQ_DONTWAIT) >= 0)
    return true;
  zmq_msg_close (part);
  return false;
}

/* Receive all frames of one message into PARTS, at most COUNT; further frames
   are dropped.  Returns the number of frames, 0 when no message is
   available.  */
static unsigned
receive_parts (void *socket, zmq_msg_t *parts, unsigned count)
{
  unsigned received = 0;
  zmq_msg_t part;
  while (receive_part (socket, &part))
    {
      bool more = zmq_msg_more (&part) != 0;
      counter_add (COUNTER_peer_bytes_in_total, zmq_msg_size (&part));
      if (received < count)
        parts[received] = part;
      else
        zmq_msg_close (&part);
      received++;
      if (!more)
        break;
    }
  if (received > 0)
    counter_add (COUNTER_peer_messages_in_total, 1);
  return received;
}

static void
close_parts (zmq_msg_t *parts, unsigned received, unsigned count)
{
  unsigned open = received < count ? received : count;
  for (unsigned i = 0; i < open; i++)
    zmq_msg_close (&parts[i]);
}

static void
dispatch_router_parts (struct peers *p, zmq_msg_t parts[3], unsigned received)
{
  struct origin from = { .identity_length = zmq_msg_size (&parts[0]) };
  if (received != 3 || from.identity_length > PEERS_IDENTITY_BYTES)
    {
      counter_add (COUNTER_peer_bad_messages_total, 1);
      return;
    }
  memcpy (from.identity, zmq_msg_data (&parts[0]), from.identity_length);
  on_router_message (p, &from, zmq_msg_data (&parts[1]),
                     zmq_msg_size (&parts[1]), zmq_msg_data (&parts[2]),
                     zmq_msg_size (&parts[2]));
}

static void
receive_router (struct peers *p)
{
  for (unsigned i = 0; i < REQUESTS_PER_ROUND; i++)
    {
      zmq_msg_t parts[3];
      unsigned received = receive_parts (p->router_socket, parts, 3);
      if (received == 0)
        break;
      dispatch_router_parts (p, parts, received);
      close_parts (parts, received, 3);
    }
  submit_arrived (p);
}

static void
receive_link (struct link *l, int64_t now_ns)
{
  for (unsigned i = 0; i < MESSAGES_PER_ROUND; i++)
    {
      zmq_msg_t parts[2];
      struct wire_message m;
      unsigned received = receive_parts (link_socket (l), parts, 2);
      if (received == 0)
        return;
      bool decoded = received == 2
                     && wire_decode (&m, zmq_msg_data (&parts[0]),
                                     zmq_msg_size (&parts[0]))
                            == STATUS_OK;
      if (decoded)
        link_on_message (l, &m, zmq_msg_data (&parts[1]),
                         zmq_msg_size (&parts[1]), now_ns);
      else
        counter_add (COUNTER_peer_bad_messages_total, 1);
      close_parts (parts, received, 2);
    }
}

struct link *
peers_get_link (struct peers *p, const char *address)
{
  struct link *l = g_hash_table_lookup (p->links, address);
  if (l != NULL)
    return l;
  l = link_new (p->zmq_context, address, &p->next_message_id,
                p->settings->body_bytes_max);
  if (l != NULL)
    g_hash_table_insert (p->links, g_strdup (address), l);
  return l;
}

static void
on_attempt (struct peers *p, struct attempt *a, int64_t now_ns)
{
  if (a->reply_to == p->inbox)
    {
      struct origin *o = a->context;
      answer_origin (p, o, &a->answer);
      g_hash_table_remove (p->origins, o);
      attempt_free (a);
      return;
    }
  struct link *l = peers_get_link (p, a->owner.peer_address);
  if (l == NULL)
    attempt_fail (a, OUTCOME_NOT_RUN, REASON_OWNER_UNREACHABLE);
  else
    link_add_attempt (l, a, now_ns);
}

static void
process_inbox (struct peers *p)
{
  struct inbox_header *message;
  while ((message = inbox_take (p->inbox)) != NULL)
    {
      int64_t now_ns = clock_now_ns ();
      if (message->kind == INBOX_MESSAGE_FETCH)
        peers_start_fetch (p, (struct peers_fetch *)message, now_ns);
      else if (message->kind == INBOX_MESSAGE_QUERY)
        peers_send_reply (p, (struct peers_query *)message);
      else if (message->kind == INBOX_MESSAGE_NOTICE)
        peers_send_notice (p, (struct peers_notice *)message, now_ns);
      else
        on_attempt (p, (struct attempt *)message, now_ns);
    }
}

/* Run the timers of all links and free those that are idle.  Returns the poll
   time-out in milliseconds.  */
static int
tick_links (struct peers *p, int64_t now_ns)
{
  GHashTableIter iter;
  gpointer value;
  int timeout_ms = IDLE_POLL_MS;
  g_hash_table_iter_init (&iter, p->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct link *l = value;
      link_tick (l, now_ns);
      if (link_is_idle (l, now_ns))
        g_hash_table_iter_remove (&iter);
      else if (link_has_pending_control (l))
        timeout_ms = PENDING_POLL_MS;
      else if (link_has_attempts (l) && timeout_ms > BUSY_POLL_MS)
        timeout_ms = BUSY_POLL_MS;
    }
  return timeout_ms;
}

static void
cancel_attempts (struct peers *p)
{
  GHashTableIter iter;
  gpointer value;
  if (ck_pr_fas_32 (&p->cancel_pending, 0) == 0)
    return;
  g_hash_table_iter_init (&iter, p->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    link_cancel_attempts (value);
}

static void
collect_items (struct peers *p)
{
  GHashTableIter iter;
  gpointer value;
  zmq_pollitem_t fixed[FIXED_POLL_ITEMS]
      = { { p->router_socket, 0, ZMQ_POLLIN, 0 },
          { NULL, inbox_fd (p->inbox), ZMQ_POLLIN, 0 } };
  g_array_set_size (p->poll_items, 0);
  g_ptr_array_set_size (p->poll_links, 0);
  g_array_append_vals (p->poll_items, fixed, FIXED_POLL_ITEMS);
  g_hash_table_iter_init (&iter, p->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      zmq_pollitem_t item = { link_socket (value), 0, ZMQ_POLLIN, 0 };
      g_array_append_val (p->poll_items, item);
      g_ptr_array_add (p->poll_links, value);
    }
}

static void
wait_events (struct peers *p, int timeout_ms)
{
  collect_items (p);
  if (!inbox_arm_wakeup (p->inbox))
    timeout_ms = 0;
  zmq_pollitem_t *items = (zmq_pollitem_t *)p->poll_items->data;
  int ready = zmq_poll (items, (int)p->poll_items->len, timeout_ms);
  inbox_clear_wakeup (p->inbox);
  if (ready <= 0)
    return;
  if (items[0].revents != 0)
    receive_router (p);
  int64_t now_ns = clock_now_ns ();
  for (guint i = 0; i < p->poll_links->len; i++)
    if (items[FIXED_POLL_ITEMS + i].revents != 0)
      receive_link (g_ptr_array_index (p->poll_links, i), now_ns);
}

static void *
peers_run (void *arg)
{
  struct peers *p = arg;
  while (ck_pr_load_32 (&p->stopping) == 0)
    {
      process_inbox (p);
      cancel_attempts (p);
      int timeout_ms = tick_links (p, clock_now_ns ());
      wait_events (p, timeout_ms);
    }
  g_hash_table_remove_all (p->links);
  return NULL;
}

static enum status
bind_router (struct peers *p)
{
  char endpoint[REQUEST_ADDRESS_BYTES + 16];
  const struct settings_address *a = &p->settings->peers;
  int64_t largest = (int64_t)p->settings->body_bytes_max + WIRE_HEADER_BYTES;
  int mandatory = 1;
  int linger_ms = 0;
  p->router_socket = zmq_socket (p->zmq_context, ZMQ_ROUTER);
  if (p->router_socket == NULL)
    return status_set (STATUS_SYSTEM, "zmq_socket: %s", zmq_strerror (errno));
  zmq_setsockopt (p->router_socket, ZMQ_MAXMSGSIZE, &largest, sizeof largest);
  zmq_setsockopt (p->router_socket, ZMQ_ROUTER_MANDATORY, &mandatory,
                  sizeof mandatory);
  zmq_setsockopt (p->router_socket, ZMQ_LINGER, &linger_ms, sizeof linger_ms);
  snprintf (endpoint, sizeof endpoint, "tcp://%s:%u", a->host, a->port);
  if (zmq_bind (p->router_socket, endpoint) != 0)
    return status_set (STATUS_SYSTEM, "listen.peers %s:%u: %s", a->host,
                       a->port, zmq_strerror (errno));
  return STATUS_OK;
}

static enum status
peers_start (struct service *self)
{
  struct peers *p = (struct peers *)self;
  p->target = kernel_find (p->kernel, TARGET_SERVICE);
  enum status s = bind_router (p);
  if (s != STATUS_OK)
    return s;
  if (pthread_create (&p->thread, NULL, peers_run, p) != 0)
    return status_set (STATUS_SYSTEM, "cannot create the peers thread");
  return STATUS_OK;
}

static void
peers_drain (struct service *self)
{
  struct peers *p = (struct peers *)self;
  int64_t until_ns
      = clock_now_ns () + p->settings->deadline_max_ms * NS_PER_MS;
  /* The size is read without a lock: a stale value only delays the end by one
     pause.  */
  while (g_hash_table_size (p->origins) > 0 && clock_now_ns () < until_ns)
    clock_sleep_ms (1);
}

static void
peers_stop (struct service *self)
{
  struct peers *p = (struct peers *)self;
  ck_pr_store_32 (&p->stopping, 1);
  inbox_wake (p->inbox);
  pthread_join (p->thread, NULL);
}

static void
free_inbox_items (struct peers *p)
{
  struct inbox_header *message;
  while ((message = inbox_take (p->inbox)) != NULL)
    if (message->kind == INBOX_MESSAGE_FETCH)
      peers_fetch_free ((struct peers_fetch *)message);
    else if (message->kind == INBOX_MESSAGE_QUERY)
      peers_query_free ((struct peers_query *)message);
    else if (message->kind == INBOX_MESSAGE_NOTICE)
      free (message);
    else
      attempt_free ((struct attempt *)message);
}

static void
peers_free (struct service *self)
{
  struct peers *p = (struct peers *)self;
  if (p->inbox != NULL)
    free_inbox_items (p);
  g_hash_table_destroy (p->links);
  g_hash_table_destroy (p->origins);
  g_array_free (p->poll_items, TRUE);
  g_ptr_array_free (p->poll_links, TRUE);
  if (p->router_socket != NULL)
    zmq_close (p->router_socket);
  if (p->zmq_context != NULL)
    zmq_ctx_term (p->zmq_context);
  inbox_free (p->inbox);
  pthread_mutex_destroy (&p->document_lock);
  for (unsigned i = 0; i < TOPIC_COUNT; i++)
    free (p->documents[i].data);
  free (p);
}

static const struct service_ops peers_ops = {
  PEERS_SERVICE, peers_start, peers_drain, peers_stop, peers_free,
};

struct service *
peers_new (struct kernel *k, const struct settings *s, struct map *m)
{
  struct peers *p = calloc (1, sizeof *p);
  if (p == NULL)
    return NULL;
  p->service.ops = &peers_ops;
  p->kernel = k;
  p->settings = s;
  p->map = m;
  p->next_message_id = 1;
  pthread_mutex_init (&p->document_lock, NULL);
  p->inbox = inbox_new (
      inbox_capacity_for (s->requests_max * INBOX_ITEMS_PER_REQUEST));
  p->zmq_context = zmq_ctx_new ();
  p->links = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                    (GDestroyNotify)link_free);
  p->origins
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, free, NULL);
  p->poll_items = g_array_new (FALSE, FALSE, sizeof (zmq_pollitem_t));
  p->poll_links = g_ptr_array_new ();
  if (p->inbox != NULL && p->zmq_context != NULL)
    return &p->service;
  peers_free (&p->service);
  return NULL;
}

enum status
peers_submit (struct service *peers, struct attempt *a)
{
  return inbox_put (((struct peers *)peers)->inbox, a);
}

void
peers_check_cancels (struct service *peers)
{
  struct peers *p = (struct peers *)peers;
  ck_pr_store_32 (&p->cancel_pending, 1);
  inbox_wake (p->inbox);
}
