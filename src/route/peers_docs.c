#include "route/peers_docs.h"
#include "base/clock.h"
#include "route/link.h"
#include "route/peers_parts.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
peers_send_document (struct peers *p, const struct origin *from,
                     const struct wire_message *fetch)
{
  struct wire_message m = { .kind = WIRE_DOCUMENT, .id = from->message_id };
  m.topic = fetch->topic;
  pthread_mutex_lock (&p->document_lock);
  const struct document *d = &p->documents[m.topic];
  m.revision = d->revision;
  bool newer = d->revision > fetch->revision;
  peers_send_to (p, from->identity, from->identity_length, &m, d->data,
                 newer ? d->length : 0);
  pthread_mutex_unlock (&p->document_lock);
}

void
peers_dispatch_query (struct peers *p, const struct origin *from,
                      const struct wire_message *fetch, const char *text,
                      size_t length)
{
  struct peers_query *query = calloc (1, sizeof *query);
  struct origin *o = malloc (sizeof *o);
  if (query == NULL || o == NULL)
    {
      free (query);
      free (o);
      return;
    }
  *o = *from;
  query->header.kind = INBOX_MESSAGE_QUERY;
  query->topic = fetch->topic;
  query->known_revision = fetch->revision;
  query->origin = o;
  query->body = strndup (text, length);
  bool queued
      = query->body != NULL
        && inbox_put (p->fetch_handlers[fetch->topic], query) == STATUS_OK;
  if (!queued)
    peers_query_free (query);
}

void
peers_send_reply (struct peers *p, struct peers_query *query)
{
  const struct origin *o = query->origin;
  struct wire_message m = { .kind = WIRE_DOCUMENT, .id = o->message_id };
  m.topic = query->topic;
  m.revision = query->revision;
  if (query->result != NULL)
    peers_send_to (p, o->identity, o->identity_length, &m, query->result,
                   strlen (query->result));
  peers_query_free (query);
}

void
peers_dispatch_notice (struct peers *p, const struct wire_message *m)
{
  struct inbox *to = p->subscribers[m->topic];
  struct peers_notice *n = to != NULL ? calloc (1, sizeof *n) : NULL;
  if (n == NULL)
    return;
  n->header.kind = INBOX_MESSAGE_NOTICE;
  n->topic = m->topic;
  n->revision = m->revision;
  if (inbox_put (to, n) != STATUS_OK)
    free (n);
}

void
peers_start_fetch (struct peers *p, struct peers_fetch *f, int64_t now_ns)
{
  struct link *l = peers_get_link (p, f->address);
  f->status = STATUS_UNAVAILABLE;
  if (l == NULL)
    inbox_put_blocking (f->reply_to, f);
  else
    link_add_fetch (l, f, now_ns);
}

void
peers_send_notice (struct peers *p, struct peers_notice *n, int64_t now_ns)
{
  struct link *l = peers_get_link (p, n->address);
  if (l != NULL)
    link_notify (l, n->topic, n->revision, now_ns);
  free (n);
}

enum status
peers_fetch (struct service *peers, struct peers_fetch *f)
{
  f->header.kind = INBOX_MESSAGE_FETCH;
  return inbox_put (((struct peers *)peers)->inbox, f);
}

void
peers_fetch_free (struct peers_fetch *f)
{
  free (f->body);
  free (f->data);
  free (f);
}

void
peers_handle_commands (struct service *peers, struct inbox *inbox)
{
  peers_handle_fetches (peers, TOPIC_COMMAND, inbox);
}

void
peers_handle_fetches (struct service *peers, enum wire_topic topic,
                      struct inbox *inbox)
{
  ((struct peers *)peers)->fetch_handlers[topic] = inbox;
}

void
peers_reply (struct service *peers, struct peers_query *query)
{
  inbox_put_blocking (((struct peers *)peers)->inbox, query);
}

void
peers_query_free (struct peers_query *query)
{
  free (query->body);
  free (query->result);
  free (query->origin);
  free (query);
}

void
peers_notify (struct service *peers, const char *address,
              enum wire_topic topic, int64_t revision)
{
  struct peers_notice *n = calloc (1, sizeof *n);
  if (n == NULL)
    return;
  n->header.kind = INBOX_MESSAGE_NOTICE;
  n->topic = topic;
  n->revision = revision;
  snprintf (n->address, sizeof n->address, "%s", address);
  if (inbox_put (((struct peers *)peers)->inbox, n) != STATUS_OK)
    free (n);
}

void
peers_subscribe (struct service *peers, enum wire_topic topic,
                 struct inbox *inbox)
{
  ((struct peers *)peers)->subscribers[topic] = inbox;
}

void
peers_set_document (struct service *peers, enum wire_topic topic,
                    int64_t revision, const char *data, size_t length)
{
  struct peers *p = (struct peers *)peers;
  struct document *d = &p->documents[topic];
  char *copy = malloc (length);
  if (copy == NULL)
    return;
  memcpy (copy, data, length);
  pthread_mutex_lock (&p->document_lock);
  free (d->data);
  d->data = copy;
  d->length = length;
  d->revision = revision;
  pthread_mutex_unlock (&p->document_lock);
}
