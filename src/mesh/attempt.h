/* One attempt to run a request on one target, and its result.  */

#ifndef MESH_ATTEMPT_H
#define MESH_ATTEMPT_H

#include "limit/reason.h"
#include "mesh/terms.h"
#include "route/outcome.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Value of attempt_request.key for a request without a key.  */
#define ATTEMPT_NO_KEY (-1)

enum
{
  ATTEMPT_ID_BYTES = 80,
  /* A target stops working on a request at its deadline, so its answer may
     arrive this long after it: three round trips within a region and a pause
     of 100 ms.  */
  ATTEMPT_ANSWER_SLACK_MS = 150
};

struct attempt_request
{
  char id[ATTEMPT_ID_BYTES]; /* the caller's request id */
  uint64_t content;          /* attempt_fingerprint of this request; not part
                                of the frames between nodes */
  uint32_t route_hash;       /* hash of the route's name */
  bool idempotent;
  uint32_t priority;        /* 0 is the most urgent */
  int64_t soft_deadline_ns; /* when the answer is wanted, CLOCK_BOOTTIME of
                               this node */
  int64_t deadline_ns;      /* when the work on it must end, same clock */
  int64_t arrived_ns;       /* when this node had received it, same clock */
  int64_t sent_on_ns;       /* when another node had sent it here, same clock;
                               0: it comes from a caller, or not known */
  int32_t key;              /* ATTEMPT_NO_KEY or the key's number */
  bool from_peer;           /* received from another node */
  bool admitted;            /* egress_check accepted it before its body was
                               sent */
  /* What the sending node knows of the terms of the receiver's target.  */
  struct target_terms terms;
  GString *head; /* request line and header fields, each with its CRLF */
  GString *body;
};

struct attempt_result
{
  enum outcome outcome;
  enum reason reason;
  bool reached_target; /* the target received the request */
  bool target_failed;  /* the target answered with an error of its own */
  int status;          /* HTTP status, if OUTCOME_ANSWERED */
  const char *head;    /* answer's header lines; valid during the callback */
  size_t head_length;
  const char *body;
  size_t body_length;
  int64_t retry_after_ns;  /* if OUTCOME_NOT_RUN: when a retry may succeed;
                              0: unknown */
  int64_t service_time_ns; /* time at the target; 0: not measured */
  uint32_t pace_pct;       /* that the target states; 0: not known.  Between
                              nodes it is part of the state.  */
  /* The target's terms, as the node beside it knows them.  */
  struct target_terms terms;
};

typedef void attempt_done (void *arg, const struct attempt_result *result);

/* The value of the first field NAME in HEAD, the request line and fields of a
   request, and its length; NULL: no such field.  */
const char *attempt_find_field (const GString *head, const char *name,
                                size_t *length);

/* Identifies the content of REQUEST: its method, target, host, caller, which
   the field CALLER_FIELD names, and body.  It is the same for all attempts of
   a caller, at any node.  */
uint64_t attempt_fingerprint (const struct attempt_request *request,
                              const char *caller_field);

/* Milliseconds from TIME_NS to NOW_NS, for log lines; -1 if TIME_NS is 0.  */
int attempt_age_ms (int64_t time_ns, int64_t now_ns);

/* Free the head and body of REQUEST.  */
void attempt_request_clear (struct attempt_request *request);

/* A result for a request that did not run, because of REASON.  */
struct attempt_result attempt_not_run (enum reason reason,
                                       int64_t retry_after_ns);

/* A result for a request that may have run and was ended by REASON.  */
struct attempt_result attempt_unknown (enum reason reason);

#endif
