#include "route/link.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

enum
{
  RECONNECT_MS = 20,
  RECONNECT_MAX_MS = 500,
  SEND_QUEUE_MESSAGES = 4096
};

#define HELLO_INTERVAL_NS (2 * NS_PER_MS)
#define HANDSHAKE_TIMEOUT_NS (250 * NS_PER_MS)
#define CLOCK_VALID_NS (5 * NS_PER_S)
#define IDLE_TIMEOUT_NS (60 * NS_PER_S)

struct link
{
  char address[REQUEST_ADDRESS_BYTES];
  void *socket;
  uint64_t *next_id;
  uint32_t body_bytes;
  uint64_t incarnation;    /* 0 before the handshake */
  int64_t clock_offset_ns; /* lower bound of its clock minus this node's */
  int64_t handshake_ns;    /* time of the last WELCOME */
  uint64_t hello_id;       /* message id of the handshake under way, or 0 */
  int64_t hello_started_ns;
  int64_t hello_sent_ns; /* 0: not sent yet */
  int64_t last_used_ns;
  struct attempt *waiting;              /* for the handshake, newest first */
  GHashTable *sent;                     /* struct attempt by message_id */
  struct peers_fetch *fetches;          /* unsent (message_id 0) or sent */
  int64_t pending_notices[TOPIC_COUNT]; /* revisions to be announced, or 0 */
};

static bool
send_message (struct link *l, const struct wire_message *m, const char *body,
              size_t length)
{
  char header[WIRE_HEADER_BYTES];
  size_t header_length;
  if (wire_encode (m, header, &header_length) != STATUS_OK)
    return false;
  int flags = ZMQ_DONTWAIT | ZMQ_SNDMORE;
  if (zmq_send (l->socket, header, header_length, flags) < 0)
    return false;
  if (zmq_send (l->socket, body, length, ZMQ_DONTWAIT) < 0)
    return false;
  counter_add (COUNTER_peer_messages_out_total, 1);
  counter_add (COUNTER_peer_bytes_out_total, header_length + length);
  return true;
}

static void
add_attempt (struct attempt **list, struct attempt *a)
{
  a->previous = NULL;
  a->next = *list;
  if (*list != NULL)
    (*list)->previous = a;
  *list = a;
}

static void
remove_attempt (struct attempt **list, struct attempt *a)
{
  if (a->previous != NULL)
    a->previous->next = a->next;
  else
    *list = a->next;
  if (a->next != NULL)
    a->next->previous = a->previous;
}

static void
fail_all (struct attempt **list, enum outcome outcome, enum reason reason)
{
  while (*list != NULL)
    {
      struct attempt *a = *list;
      remove_attempt (list, a);
      attempt_fail (a, outcome, reason);
    }
}

static void
start_handshake (struct link *l, int64_t now_ns)
{
  if (l->hello_id != 0)
    return;
  l->hello_id = (*l->next_id)++;
  l->hello_started_ns = now_ns;
  l->hello_sent_ns = 0;
}

static void
send_hello (struct link *l, int64_t now_ns)
{
  struct wire_message m = { .kind = WIRE_HELLO, .id = l->hello_id };
  if (l->hello_sent_ns != 0)
    return;
  if (send_message (l, &m, NULL, 0))
    l->hello_sent_ns = now_ns;
}

static void
fill_request (struct link *l, const struct attempt *a, struct wire_message *m)
{
  const struct request *r = a->request;
  m->kind = WIRE_REQUEST;
  m->id = a->message_id;
  m->incarnation = a->owner.incarnation;
  m->epoch = a->owner.epoch;
  m->slot = a->owner.slot;
  m->time_ns = r->deadline_ns + l->clock_offset_ns;
  m->request_id = r->id;
  m->idempotent = r->idempotent;
  m->depth = r->depth;
  memcpy (m->method, r->method, sizeof m->method);
  memcpy (m->key, r->key, sizeof m->key);
  snprintf (m->path, sizeof m->path, "%s", r->path);
  memcpy (m->organisation, r->organisation, sizeof m->organisation);
  memcpy (m->content_type, r->content_type, sizeof m->content_type);
}

static void
send_attempt (struct link *l, struct attempt *a)
{
  struct wire_message m = { 0 };
  if (attempt_is_cancelled (a))
    {
      attempt_fail (a, OUTCOME_NOT_RUN, REASON_CALLER_GONE);
      return;
    }
  if (a->owner.incarnation != l->incarnation)
    {
      attempt_fail (a, OUTCOME_NOT_RUN, REASON_NOT_OWNER);
      return;
    }
  a->message_id = (*l->next_id)++;
  fill_request (l, a, &m);
  if (m.time_ns <= 0)
    attempt_fail (a, OUTCOME_NOT_RUN, REASON_DEADLINE);
  else if (send_message (l, &m, a->request->body, a->request->body_length))
    g_hash_table_insert (l->sent, &a->message_id, a);
  else
    attempt_fail (a, OUTCOME_NOT_RUN, REASON_OWNER_UNREACHABLE);
}

static void
send_waiting (struct link *l)
{
  while (l->waiting != NULL)
    {
      struct attempt *a = l->waiting;
      remove_attempt (&l->waiting, a);
      send_attempt (l, a);
    }
}

static void
send_fetches (struct link *l)
{
  for (struct peers_fetch *f = l->fetches; f != NULL; f = f->next)
    {
      struct wire_message m = { .kind = WIRE_FETCH };
      if (f->message_id != 0)
        continue;
      m.id = (*l->next_id)++;
      m.topic = f->topic;
      m.revision = f->known_revision > 0 ? f->known_revision : 0;
      size_t length = f->body != NULL ? strlen (f->body) : 0;
      if (send_message (l, &m, f->body, length))
        f->message_id = m.id;
    }
}

static void
send_notices (struct link *l)
{
  for (unsigned topic = 0; topic < TOPIC_COUNT; topic++)
    {
      struct wire_message m = { .kind = WIRE_NOTICE };
      if (l->pending_notices[topic] == 0)
        continue;
      m.topic = (enum wire_topic)topic;
      m.revision = l->pending_notices[topic];
      if (send_message (l, &m, NULL, 0))
        l->pending_notices[topic] = 0;
    }
}

static void
on_welcome (struct link *l, const struct wire_message *m, int64_t now_ns)
{
  if (m->id != l->hello_id)
    return;
  bool first = l->incarnation != m->incarnation;
  l->hello_id = 0;
  l->incarnation = m->incarnation;
  l->handshake_ns = now_ns;
  /* The node read its clock before NOW_NS, so the offset is a lower bound: a
     deadline is never converted to a later time.  */
  l->clock_offset_ns = m->time_ns - now_ns;
  if (first)
    log_event (EV_PEER_UP, "peer=%s incarnation=%" PRIu64, l->address,
               l->incarnation);
  send_waiting (l);
}

static void
on_answer (struct link *l, const struct wire_message *m, const char *body,
           size_t length, int64_t now_ns)
{
  struct attempt *a = g_hash_table_lookup (l->sent, &m->id);
  if (a == NULL)
    {
      counter_add (COUNTER_peer_late_answers_total, 1);
      return;
    }
  g_hash_table_remove (l->sent, &m->id);
  if (m->reason == REASON_NOT_OWNER)
    start_handshake (l, now_ns);
  struct answer *answer = &a->answer;
  answer->body = length > 0 ? malloc (length) : NULL;
  if (length > 0 && answer->body == NULL)
    {
      attempt_fail (a, OUTCOME_UNKNOWN, REASON_NODE_FULL);
      return;
    }
  if (length > 0)
    memcpy (answer->body, body, length);
  answer->body_length = length;
  answer->outcome = m->outcome;
  answer->reason = m->reason;
  answer->http_status = m->http_status;
  memcpy (answer->content_type, m->content_type, sizeof m->content_type);
  attempt_complete (a);
}

/* Remove F from the list and return it to its reply_to.  */
static void
end_fetch (struct link *l, struct peers_fetch *f, enum status status)
{
  struct peers_fetch **position = &l->fetches;
  while (*position != f)
    position = &(*position)->next;
  *position = f->next;
  f->status = status;
  inbox_put_blocking (f->reply_to, f);
}

static void
on_document (struct link *l, const struct wire_message *m, const char *body,
             size_t length)
{
  struct peers_fetch *f = l->fetches;
  while (f != NULL && f->message_id != m->id)
    f = f->next;
  if (f == NULL)
    return;
  f->revision = m->revision;
  if (length == 0)
    {
      end_fetch (l, f, STATUS_OK);
      return;
    }
  f->data = malloc (length + 1);
  if (f->data == NULL)
    {
      end_fetch (l, f, STATUS_UNAVAILABLE);
      return;
    }
  memcpy (f->data, body, length);
  f->data[length] = '\0';
  f->length = length;
  end_fetch (l, f, STATUS_OK);
}

static void
drop_old_notices (struct link *l, int64_t now_ns)
{
  if (now_ns - l->last_used_ns > HANDSHAKE_TIMEOUT_NS)
    memset (l->pending_notices, 0, sizeof l->pending_notices);
}

static void
expire_handshake (struct link *l, int64_t now_ns)
{
  if (l->hello_id == 0 || now_ns < l->hello_started_ns + HANDSHAKE_TIMEOUT_NS)
    return;
  if (l->incarnation != 0)
    log_event (EV_PEER_LOST, "peer=%s", l->address);
  l->hello_id = 0;
  l->incarnation = 0;
  fail_all (&l->waiting, OUTCOME_NOT_RUN, REASON_OWNER_UNREACHABLE);
}

static void
expire_fetches (struct link *l, int64_t now_ns)
{
  struct peers_fetch *next;
  for (struct peers_fetch *f = l->fetches; f != NULL; f = next)
    {
      next = f->next;
      if (f->deadline_ns <= now_ns)
        end_fetch (l, f, STATUS_UNAVAILABLE);
    }
}

static void
fail_sent (struct link *l, enum reason reason)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, l->sent);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      g_hash_table_iter_remove (&iter);
      attempt_fail (value, OUTCOME_UNKNOWN, reason);
    }
}

struct link *
link_new (void *zmq_context, const char *address, uint64_t *next_id,
          uint32_t body_bytes)
{
  char endpoint[REQUEST_ADDRESS_BYTES + 8];
  int immediate = 1;
  int linger_ms = 0;
  int reconnect_ms = RECONNECT_MS;
  int reconnect_max_ms = RECONNECT_MAX_MS;
  int queue = SEND_QUEUE_MESSAGES;
  int64_t largest = (int64_t)body_bytes + WIRE_HEADER_BYTES;
  struct link *l = calloc (1, sizeof *l);
  if (l == NULL)
    return NULL;
  l->socket = zmq_socket (zmq_context, ZMQ_DEALER);
  if (l->socket == NULL)
    {
      free (l);
      return NULL;
    }
  l->sent = g_hash_table_new (g_int64_hash, g_int64_equal);
  l->next_id = next_id;
  l->body_bytes = body_bytes;
  snprintf (l->address, sizeof l->address, "%s", address);
  zmq_setsockopt (l->socket, ZMQ_IMMEDIATE, &immediate, sizeof immediate);
  zmq_setsockopt (l->socket, ZMQ_LINGER, &linger_ms, sizeof linger_ms);
  zmq_setsockopt (l->socket, ZMQ_RECONNECT_IVL, &reconnect_ms,
                  sizeof reconnect_ms);
  zmq_setsockopt (l->socket, ZMQ_RECONNECT_IVL_MAX, &reconnect_max_ms,
                  sizeof reconnect_max_ms);
  zmq_setsockopt (l->socket, ZMQ_SNDHWM, &queue, sizeof queue);
  zmq_setsockopt (l->socket, ZMQ_MAXMSGSIZE, &largest, sizeof largest);
  snprintf (endpoint, sizeof endpoint, "tcp://%s", address);
  zmq_connect (l->socket, endpoint);
  return l;
}

void
link_free (struct link *l)
{
  fail_all (&l->waiting, OUTCOME_NOT_RUN, REASON_DRAINING);
  fail_sent (l, REASON_DRAINING);
  while (l->fetches != NULL)
    end_fetch (l, l->fetches, STATUS_UNAVAILABLE);
  g_hash_table_destroy (l->sent);
  zmq_close (l->socket);
  free (l);
}

void
link_add_attempt (struct link *l, struct attempt *a, int64_t now_ns)
{
  l->last_used_ns = now_ns;
  bool incarnation_known = l->incarnation == a->owner.incarnation;
  bool clock_valid = now_ns - l->handshake_ns < CLOCK_VALID_NS;
  if (incarnation_known && clock_valid)
    {
      send_attempt (l, a);
      return;
    }
  add_attempt (&l->waiting, a);
  start_handshake (l, now_ns);
  send_hello (l, now_ns);
}

void
link_add_fetch (struct link *l, struct peers_fetch *f, int64_t now_ns)
{
  l->last_used_ns = now_ns;
  f->message_id = 0;
  f->next = l->fetches;
  l->fetches = f;
  send_fetches (l);
}

void
link_notify (struct link *l, enum wire_topic topic, int64_t revision,
             int64_t now_ns)
{
  l->last_used_ns = now_ns;
  l->pending_notices[topic] = revision;
  send_notices (l);
}

void
link_on_message (struct link *l, const struct wire_message *m,
                 const char *body, size_t length, int64_t now_ns)
{
  switch (m->kind)
    {
    case WIRE_WELCOME:
      on_welcome (l, m, now_ns);
      break;
    case WIRE_ANSWER:
      on_answer (l, m, body, length, now_ns);
      break;
    case WIRE_DOCUMENT:
      on_document (l, m, body, length);
      break;
    default:
      counter_add (COUNTER_peer_bad_messages_total, 1);
      break;
    }
}

void
link_tick (struct link *l, int64_t now_ns)
{
  if (l->hello_id != 0)
    send_hello (l, now_ns);
  send_fetches (l);
  send_notices (l);
  drop_old_notices (l, now_ns);
  expire_fetches (l, now_ns);
  expire_handshake (l, now_ns);
}

void
link_cancel_attempts (struct link *l)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, l->sent);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct attempt *a = value;
      if (!attempt_is_cancelled (a))
        continue;
      struct wire_message m = { .kind = WIRE_CANCEL, .id = a->message_id };
      send_message (l, &m, NULL, 0);
      g_hash_table_iter_remove (&iter);
      attempt_fail (a, OUTCOME_UNKNOWN, REASON_CALLER_GONE);
    }
}

static bool
has_pending_notices (const struct link *l)
{
  for (unsigned topic = 0; topic < TOPIC_COUNT; topic++)
    if (l->pending_notices[topic] != 0)
      return true;
  return false;
}

bool
link_has_pending_control (const struct link *l)
{
  return l->hello_id != 0 || has_pending_notices (l) || l->fetches != NULL;
}

bool
link_has_attempts (const struct link *l)
{
  return g_hash_table_size (l->sent) > 0 || l->waiting != NULL;
}

bool
link_is_idle (const struct link *l, int64_t now_ns)
{
  return !link_has_pending_control (l) && !link_has_attempts (l)
         && now_ns - l->last_used_ns > IDLE_TIMEOUT_NS;
}

void *
link_socket (struct link *l)
{
  return l->socket;
}
