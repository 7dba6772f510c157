/* Reader of HTTP/1.1 messages, and the one definition of a well-formed message
   (RFC 9112), for requests and for responses.

   A message is well-formed if
   - its lines end with CR LF;
   - its start line has a version 1.x and a method and a target without blanks
     and control bytes, or a status from 100 to 599 and a reason phrase without
     control bytes;
   - the names of its fields are tokens, directly followed by a colon, and
     their values have no control bytes other than tabs;
   - its length has one meaning: one Content-Length, of digits, or the one
     transfer coding "chunked", or neither;
   - its chunks have sizes in hexadecimal digits, extensions by the grammar,
     and end where their sizes say.

   Fields of trailers are read by the same rules and dropped.  The bytes may
   come in any pieces, from a connection or from a library that delivers them
   unchanged.  */

#ifndef HTTP_READER_H
#define HTTP_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct http_reader;

enum http_reader_kind
{
  HTTP_READ_REQUESTS,
  HTTP_READ_RESPONSES
};

enum http_fault
{
  HTTP_FAULT_NONE,
#define FAULT(name, word) HTTP_FAULT_##name,
#include "http/faults.def"
#undef FAULT
};

/* FAULT in a word.  */
const char *http_fault_word (enum http_fault fault);

/* Whether FAULT is a bound of http/bounds.h that was exceeded.  */
bool http_fault_is_bound (enum http_fault fault);

/* The start line of a request or a response.  */
struct http_start_line
{
  const char *method; /* of a request */
  size_t method_length;
  const char *target;
  size_t target_length;
  int status; /* of a response */
};

/* Called as a message is read; FIELD once for each field of the head, BODY for
   each piece of the body.  A call that returns false refuses the message.  All
   but COMPLETE may be NULL.  */
struct http_reader_ops
{
  bool (*start) (void *arg, const struct http_start_line *line);
  bool (*field) (void *arg, const char *name, size_t name_length,
                 const char *value, size_t value_length);
  bool (*head) (void *arg);
  bool (*body) (void *arg, const char *data, size_t length);
  void (*complete) (void *arg);
};

struct http_reader *http_reader_new (enum http_reader_kind kind,
                                     const struct http_reader_ops *ops,
                                     void *arg);
void http_reader_free (struct http_reader *r);

/* Read a new message from the next byte on, whatever was read before.  */
void http_reader_reset (struct http_reader *r);

/* Limit the bytes of a message that are not its body to BYTES; initially
   HTTP_HEAD_BYTES_MAX.  The interim responses before a response count with
   it.  */
void http_reader_set_head_max (struct http_reader *r, uint32_t bytes);

/* Read LENGTH bytes of DATA and return how many of them were read: less if the
   message is at fault or the reader was paused.  */
size_t http_reader_feed (struct http_reader *r, const char *data,
                         size_t length);

/* The connection has ended in an orderly way, which completes a response
   without a length.  False, with a fault, if it ended within a message.  */
bool http_reader_end (struct http_reader *r);

/* Called from COMPLETE: http_reader_feed returns after it.  */
void http_reader_pause (struct http_reader *r);

/* Called from HEAD: the response has no body, whatever its fields say.  */
void http_reader_skip_body (struct http_reader *r);

/* Whether a part of a message was read, and not its end.  */
bool http_reader_is_within (const struct http_reader *r);

enum http_fault http_reader_fault (const struct http_reader *r);

/* Of the message being read, once its head was read.  */
int http_reader_status (const struct http_reader *r);
/* Whether it is a response that precedes the one to its request.  */
bool http_reader_is_interim (const struct http_reader *r);
bool http_reader_has_length (const struct http_reader *r, uint64_t *length);
bool http_reader_is_chunked (const struct http_reader *r);
/* Whether the peer keeps the connection open after the message, and whether it
   asks for another protocol on it.  */
bool http_reader_keeps_alive (const struct http_reader *r);
bool http_reader_asks_upgrade (const struct http_reader *r);

/* The rules of fields, for messages whose bytes the process does not see.  */
bool http_is_token (const char *text, size_t length);
bool http_is_field_value (const char *text, size_t length);
bool http_parse_length (const char *text, size_t length, uint64_t *value);

#endif
