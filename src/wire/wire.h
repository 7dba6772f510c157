/* Messages between nodes: a MessagePack array in one frame, followed by a
   second frame if the message has a body.

   The elements of the array are the version, the kind and the fields of that
   kind.  A message is rejected if it has another version, is truncated or too
   long, or has trailing bytes.  */

#ifndef WIRE_WIRE_H
#define WIRE_WIRE_H

#include "base/status.h"
#include "route/request.h"

enum
{
  WIRE_VERSION = 1,
  WIRE_HEADER_BYTES = 8192
};

enum wire_kind
{
  WIRE_REQUEST = 1,
  WIRE_ANSWER,
  WIRE_CANCEL,
  WIRE_HELLO,
  WIRE_WELCOME,
  WIRE_FETCH,
  WIRE_DOCUMENT,
  WIRE_NOTICE,
  WIRE_KIND_END
};

/* The documents that nodes fetch from each other.  */
enum wire_topic
{
  TOPIC_CELL,    /* the cell's document */
  TOPIC_CONF,    /* the configuration */
  TOPIC_STATE,   /* the node's own state */
  TOPIC_COMMAND, /* the result of an operator's command */
  TOPIC_RATE,    /* the grant for a report of limit/rate.h */
  TOPIC_COUNT
};

/* A message.  The fields in use depend on KIND:
   REQUEST: id, incarnation (of the member that is to run it), epoch, slot,
   time_ns (deadline on the receiver's CLOCK_BOOTTIME), request_id,
   idempotent, depth, method, key, path, organisation, content_type; body
   frame.
   ANSWER: id, outcome, reason, http_status, content_type; body frame.
   CANCEL: id.
   HELLO: id.
   WELCOME: id, incarnation, time_ns (the sender's CLOCK_BOOTTIME).
   FETCH: id, topic, revision (of the document that the sender has); body
   frame for TOPIC_COMMAND (the command) and TOPIC_RATE (the report).
   DOCUMENT: id, topic, revision; body frame, empty if the document is not
   newer.
   NOTICE: topic, revision (of the sender's document, which has changed).  */
struct wire_message
{
  enum wire_kind kind;
  uint64_t id;
  uint64_t incarnation;
  uint64_t epoch;
  uint32_t slot;
  int64_t time_ns;
  enum wire_topic topic;
  int64_t revision;
  uint64_t request_id;
  bool idempotent;
  uint32_t depth;
  enum outcome outcome;
  enum reason reason;
  unsigned http_status;
  char method[REQUEST_METHOD_BYTES];
  char key[REQUEST_KEY_BYTES];
  char path[REQUEST_PATH_BYTES];
  char organisation[REQUEST_NAME_BYTES];
  char content_type[REQUEST_CONTENT_TYPE_BYTES];
};

/* Encode M into BUFFER; *LENGTH is the number of bytes used.  STATUS_INVALID
   if M does not fit.  */
enum status wire_encode (const struct wire_message *m,
                         char buffer[WIRE_HEADER_BYTES], size_t *length);

/* Decode LENGTH bytes of DATA into M.  STATUS_STALE for another version,
   STATUS_INVALID for a malformed message.  */
enum status wire_decode (struct wire_message *m, const char *data,
                         size_t length);

#endif
