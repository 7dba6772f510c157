/* Exchange of documents between nodes, through the peers service.

   Each node has one document with a revision for each topic of wire/wire.h.  A
   fetch asks a node for its document if it is newer than the revision that the
   fetching node has; a notice tells another node that there is a newer
   revision.  A service may answer the fetches of a topic itself, as queries.
   A fetch of TOPIC_COMMAND carries a line of the operator language, and its
   result is returned as the document.  */

#ifndef ROUTE_PEERS_DOCS_H
#define ROUTE_PEERS_DOCS_H

#include "route/peers.h"
#include "wire/wire.h"

/* A fetch of a document from another node, and its result.  The service that
   submitted it frees it with peers_fetch_free.  */
struct peers_fetch
{
  struct inbox_header header;
  struct inbox *reply_to;
  char address[REQUEST_ADDRESS_BYTES];
  enum wire_topic topic;
  int64_t known_revision; /* revision that this node has; -1: none */
  char *body;             /* body of the message, or NULL; owned */
  bool no_fallback; /* for the submitter: nothing else is tried when the fetch
                       fails */
  uint64_t message_id;
  int64_t deadline_ns;
  enum status status; /* STATUS_OK or STATUS_UNAVAILABLE */
  int64_t revision;   /* of the document of the other node */
  char *data; /* NULL unless REVISION is newer than KNOWN_REVISION; owned */
  size_t length;
  struct peers_fetch *next;
};

/* A fetch of another node that a service of this node answers.  The service
   that takes it from its inbox fills RESULT and returns it with
   peers_reply.  */
struct peers_query
{
  struct inbox_header header;
  enum wire_topic topic;
  int64_t known_revision; /* revision that the other node has; 0: none */
  int64_t revision;       /* of the document; filled with RESULT */
  char *body;             /* body of the fetch; owned */
  char *result;           /* owned; empty when nothing is newer */
  void *origin;           /* for the peers service */
};

/* A notice: a node announced that it has a newer document.  */
struct peers_notice
{
  struct inbox_header header;
  char address[REQUEST_ADDRESS_BYTES]; /* receiver, when sent */
  enum wire_topic topic;
  int64_t revision;
};

/* Submit the fetch F, which is returned to its reply_to.  STATUS_FULL when
   there is no room: the caller keeps F.  Any thread.  */
enum status peers_fetch (struct service *peers, struct peers_fetch *f);
void peers_fetch_free (struct peers_fetch *f);

/* Notify the node at ADDRESS that this node has REVISION of TOPIC.  The notice
   may be lost.  */
void peers_notify (struct service *peers, const char *address,
                   enum wire_topic topic, int64_t revision);

/* Put a struct peers_notice, to be freed with free, into INBOX for each notice
   on TOPIC that is received.  Before the service starts.  */
void peers_subscribe (struct service *peers, enum wire_topic topic,
                      struct inbox *inbox);

/* Put a struct peers_query into INBOX for each fetch of TOPIC_COMMAND, which
   carries a command.  Before the service starts.  */
void peers_handle_commands (struct service *peers, struct inbox *inbox);

/* The same for each fetch of TOPIC, which is then not answered with the
   document of peers_set_document.  */
void peers_handle_fetches (struct service *peers, enum wire_topic topic,
                           struct inbox *inbox);

/* Send the result of QUERY to the node that fetched it.  Consumes QUERY.  */
void peers_reply (struct service *peers, struct peers_query *query);
void peers_query_free (struct peers_query *query);

/* Set the document that other nodes fetch.  Any thread.  */
void peers_set_document (struct service *peers, enum wire_topic topic,
                         int64_t revision, const char *data, size_t length);

#endif
