/* One send of a request to one target, and how it ended.  */

#ifndef MESH_ATTEMPT_H
#define MESH_ATTEMPT_H

#include "limit/reason.h"
#include "route/outcome.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A request without a key.  */
#define ATTEMPT_NO_KEY (-1)

enum
{
  ATTEMPT_ID_BYTES = 80,
  /* The target ends what it runs at its deadline: its answer may come that
     much later, three round trips within a region and a pause of 100 ms.  */
  ATTEMPT_ANSWER_SLACK_MS = 150
};

struct attempt_request
{
  char id[ATTEMPT_ID_BYTES]; /* the caller's id of the request */
  uint32_t kind;             /* names the route */
  bool idempotent;
  uint32_t priority;
  int64_t wanted_ns;   /* CLOCK_BOOTTIME of this node */
  int64_t deadline_ns; /* the same */
  int32_t key;         /* ATTEMPT_NO_KEY or a number */
  GString *head;       /* request line and fields, each with its line end */
  GString *body;
};

struct attempt_result
{
  enum outcome outcome;
  enum reason reason;
  bool arrived;     /* the target saw the request */
  bool failure;     /* the target answered with a failure of its own */
  int status;       /* of ANSWERED */
  const char *head; /* fields of the answer, lines; valid during the call */
  size_t head_length;
  const char *body;
  size_t body_length;
  int64_t retry_after_ns; /* of NOT_RUN: when coming back may help; 0: none */
  int64_t service_ns;     /* of a run at the target; 0: none */
};

typedef void attempt_done (void *arg, const struct attempt_result *result);

/* Free what REQUEST holds.  */
void attempt_request_clear (struct attempt_request *request);

/* A result that the request did not run for REASON.  */
struct attempt_result attempt_not_run (enum reason reason,
                                       int64_t retry_after_ns);

/* A result that it may have run, and ended for REASON.  */
struct attempt_result attempt_unknown (enum reason reason);

#endif
