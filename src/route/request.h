/* Requests and their attempts.

   A request is what a caller sent; it does not change after it was made.  An
   attempt sends a request through one owner's node and carries its own result,
   so that a late result is never taken for that of another request or
   attempt.  Requests are reference-counted: the service that answers the
   caller holds one reference, each attempt one.  */

#ifndef ROUTE_REQUEST_H
#define ROUTE_REQUEST_H

#include "base/inbox.h"
#include "base/mail.h"
#include "route/outcome.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  REQUEST_KEY_BYTES = 256,
  REQUEST_NAME_BYTES = 64,
  REQUEST_METHOD_BYTES = 16,
  REQUEST_PATH_BYTES = 4096,
  REQUEST_CONTENT_TYPE_BYTES = 128,
  REQUEST_ADDRESS_BYTES = 72
};

struct request
{
  uint32_t ref_count;
  uint64_t id; /* unique for each request of a caller */
  char method[REQUEST_METHOD_BYTES];
  char *path; /* with the query string; owned */
  char key[REQUEST_KEY_BYTES];
  char organisation[REQUEST_NAME_BYTES];
  char content_type[REQUEST_CONTENT_TYPE_BYTES];
  char *body; /* owned; NULL when empty */
  size_t body_length;
  bool idempotent;
  uint32_t depth; /* 0: sent by a caller; 1: a lookup that a target sent while
                     it ran a request */
  int64_t arrived_ns;  /* when its last bytes arrived at this node,
                          CLOCK_BOOTTIME */
  int64_t deadline_ns; /* same clock */
};

/* The answer that is returned to the caller.  */
struct answer
{
  enum outcome outcome;
  enum reason reason;
  unsigned http_status;
  char content_type[REQUEST_CONTENT_TYPE_BYTES];
  char *body; /* owned; NULL when empty */
  size_t body_length;
};

/* The member that an attempt is sent to.  */
struct owner
{
  uint64_t incarnation;
  uint64_t epoch; /* of the slot or pinned key */
  uint32_t slot;
  bool is_self;
  char peer_address[REQUEST_ADDRESS_BYTES]; /* host:port */
};

struct attempt
{
  struct inbox_header header;
  struct request *request;
  struct inbox *reply_to; /* receives the ended attempt */
  struct owner owner;
  struct answer answer;
  int64_t started_ns;
  uint32_t cancelled;   /* set by the service that started it, read by the one
                           that runs it */
  void *context;        /* for the service that started the attempt */
  uint64_t message_id;  /* of its message to the owner's node; set by the peers
                           service */
  uint32_t send_count;  /* number of sends that began at the target */
  struct attempt *next; /* list of the service that runs it */
  struct attempt *previous;
};

/* A new request with one reference and an owned copy of PATH, or NULL when
   memory is short.  */
struct request *request_new (const char *path);

/* Add a reference to R.  Returns R.  */
struct request *request_ref (struct request *r);

/* Release a reference to R, which is freed with the last one.  */
void request_unref (struct request *r);

/* The slot of KEY among COUNT slots: the 64-bit XXH3 hash of KEY modulo
   COUNT.  */
uint32_t request_slot (const char *key, uint32_t count);

/* A new attempt at R for OWNER that is returned to REPLY_TO, or NULL when
   memory is short.  It holds a reference to R.  */
struct attempt *attempt_new (struct request *r, const struct owner *owner,
                             struct inbox *reply_to);

/* Free A with its answer and release its reference to the request.  */
void attempt_free (struct attempt *a);

/* End A without an answer of the target, with OUTCOME and REASON, and return
   it to the service that started it.  Consumes A.  */
void attempt_fail (struct attempt *a, enum outcome outcome,
                   enum reason reason);

/* Return A, whose answer is filled, to the service that started it.  Consumes
   A.  */
void attempt_complete (struct attempt *a);

/* Ask the service that runs A to cancel it.  */
void attempt_cancel (struct attempt *a);
bool attempt_is_cancelled (const struct attempt *a);

/* Free the body of ANSWER and reset it.  */
void answer_clear (struct answer *answer);

/* Move FROM into TO and reset FROM.  */
void answer_move (struct answer *to, struct answer *from);

#endif
