/* Messages between nodes: a MessagePack array in one frame, and a second
   frame with the body where there is one.

   The first element is the version, the second the kind.  Messages of another
   version, cut short, too long or with trailing bytes are refused.  */

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

/* What nodes fetch from each other: the cell's document, the configuration,
   a node's own state, the result of an order of the operator language,
   which is the body of the FETCH, and the grant for a report of limit/rate.h,
   which is too.  */
enum wire_topic
{
  TOPIC_CELL,
  TOPIC_CONF,
  TOPIC_STATE,
  TOPIC_COMMAND,
  TOPIC_RATE,
  TOPIC_COUNT
};

/* A message.  Which fields count depends on KIND:
   REQUEST: id, incarnation (of the member it is meant for), epoch, slot,
   time_ns (deadline on the receiver's CLOCK_BOOTTIME), request_id,
   idempotent, depth, method, key, path, organisation, content_type; body
   frame. ANSWER: id, outcome, reason, http_status, content_type; body frame.
   CANCEL: id.  HELLO: id.  WELCOME: id, incarnation, time_ns (the sender's
   CLOCK_BOOTTIME).  FETCH: id, topic, revision (of
   what the sender has); body frame of an order.  DOCUMENT: id, topic,
   revision; body frame, empty when it is not newer.  NOTICE: topic, revision
   (a newer document is there).  */
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

/* Write M into BUFFER of WIRE_HEADER_BYTES; *LENGTH is what was used.
   STATUS_INVALID when it does not fit.  */
enum status wire_encode (const struct wire_message *m,
                         char buffer[WIRE_HEADER_BYTES], size_t *length);

/* Read LENGTH bytes of DATA into M.  STATUS_STALE for another version,
   STATUS_INVALID for anything malformed.  */
enum status wire_decode (struct wire_message *m, const char *data,
                         size_t length);

#endif
