/* The line in front of one target: who starts, who waits, who is refused.

   The order is by priority, then by the time at which the answer is wanted;
   those that can no longer be answered by then go behind those that can.
   Operators rank the lookups that targets make for a request, which already
   holds a place elsewhere, before new requests.  A request is refused at once
   when the line tells that its answer would come too late; its caller learns
   when to come back.  What was let in is refused only when it can no longer be
   answered in time.

   Service times are learned for each kind of request (a route), and corrected
   by the target's present pace, which is shared by all kinds.

   One thread owns a line; nothing here reads a clock.  */

#ifndef LIMIT_LINEUP_H
#define LIMIT_LINEUP_H

#include "limit/reason.h"
#include <stdbool.h>
#include <stdint.h>

struct lineup;

/* A handle of a request that waits or runs.  */
typedef uint32_t lineup_id;
#define LINEUP_NONE UINT32_C (0)

struct lineup_request
{
  uint32_t kind;       /* a number that names the kind of request */
  uint32_t priority;   /* 0 first */
  int64_t wanted_ns;   /* an answer by then has its full value */
  int64_t deadline_ns; /* an answer after that has none */
  void *user;
};

enum lineup_verdict
{
  LINEUP_START,
  LINEUP_WAIT,
  LINEUP_REFUSE, /* not run; the handle is gone */
  LINEUP_NOTHING /* lineup_next only */
};

struct lineup_decision
{
  enum lineup_verdict verdict;
  lineup_id id; /* of START and WAIT */
  void *user;
  enum reason reason;     /* of REFUSE */
  int64_t retry_after_ns; /* of REFUSE: when the line is expected to be short
                             enough */
  int64_t expected_ns;    /* wait and service that were expected */
};

/* An empty line in front of a target that runs SLOTS requests at once.  */
struct lineup *lineup_new (uint32_t slots);
void lineup_free (struct lineup *l);

/* The target runs SLOTS requests at once from now on.  */
void lineup_set_slots (struct lineup *l, uint32_t slots);

/* Decide on a new request: START, WAIT or REFUSE.  */
struct lineup_decision lineup_offer (struct lineup *l,
                                     const struct lineup_request *r,
                                     int64_t now_ns);

/* The next decision on one that waits: START, REFUSE or NOTHING.  Call it
   until NOTHING after each change and at lineup_wake_ns.  */
struct lineup_decision lineup_next (struct lineup *l, int64_t now_ns);

/* When lineup_next may have a decision although nothing changed; INT64_MAX
   when nothing waits.  */
int64_t lineup_wake_ns (const struct lineup *l);

/* The running request ID ended.  LEARN: its time, SERVICE_NS, is that of a
   whole run.  */
void lineup_done (struct lineup *l, lineup_id id, bool learn,
                  int64_t service_ns);

/* Drop the waiting request ID: its caller went away.  False when it runs.  */
bool lineup_cancel (struct lineup *l, lineup_id id);

/* Take any waiting request out, for the reason of the caller; NULL when none
   waits.  */
void *lineup_take (struct lineup *l);

uint32_t lineup_running (const struct lineup *l);
uint32_t lineup_waiting (const struct lineup *l);

/* How long a request of the middle priority would wait.  */
int64_t lineup_wait_ns (const struct lineup *l);

#endif
