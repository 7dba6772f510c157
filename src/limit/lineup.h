/* Admission queue of one target, ordered by priority and deadline.

   A request has a soft deadline, by which its answer has the full value, and a
   hard one, after which it has none.  The queue is ordered by priority, then
   by soft deadline; requests that can no longer meet the soft deadline start
   after those that can.  A new request is refused at once when its answer is
   expected too late, and its caller is told when to retry.  An admitted
   request is refused only when it can no longer be answered in time, at that
   moment.

   While requests in time need every slot, those that are late are refused;
   else they use the slots that are left.

   Lookups, which targets make for a request that already holds a slot
   elsewhere, have a much shorter target latency than other requests.  They may
   wait until their deadline.

   If the target limits the requests that it takes a second, or is cold, they
   start no faster than that, and wait or are refused as when the slots are
   full.

   Service times are estimated for each route, and scaled by the pace that the
   target states, if it does, and its present slowdown beyond that, which all
   routes share.

   A queue belongs to one thread and never reads the clock.  */

#ifndef LIMIT_LINEUP_H
#define LIMIT_LINEUP_H

#include "limit/cold.h"
#include "limit/reason.h"
#include "limit/stated_load.h"
#include <stdbool.h>
#include <stdint.h>

struct lineup;

/* Handle of a request that waits or runs.  */
typedef uint32_t lineup_id;
#define LINEUP_NONE UINT32_C (0)

struct lineup_request
{
  uint32_t route_hash;      /* identifies the route: key of the estimates */
  uint32_t priority;        /* 0 is the highest */
  int64_t soft_deadline_ns; /* an answer has its full value until then */
  int64_t deadline_ns;      /* an answer has no value after that */
  bool admitted; /* lineup_preview accepted it: it is not refused on arrival
                    for the length of the queue */
  void *user_data;
};

/* A request whose body has yet to arrive.  */
struct lineup_arrival
{
  int64_t transfer_ns; /* of its own body */
  int64_t backlog_ns;  /* until that transfer begins */
  uint32_t before;     /* requests that were accepted earlier and have not
                          arrived */
};

enum lineup_verdict
{
  LINEUP_START,
  LINEUP_WAIT,
  LINEUP_REFUSE, /* not run; its handle is no longer valid */
  LINEUP_NOTHING /* lineup_next only: no decision now */
};

struct lineup_decision
{
  enum lineup_verdict verdict;
  lineup_id id; /* for START and WAIT */
  void *user_data;
  enum reason reason;          /* for REFUSE */
  int64_t retry_after_ns;      /* for REFUSE: when the queue is expected to be
                                  short enough */
  int64_t expected_latency_ns; /* wait and service; lineup_next: service */
};

/* Create the queue of a target that runs SLOTS requests concurrently.  */
struct lineup *lineup_new (uint32_t slots);
void lineup_free (struct lineup *l);

/* Set the number of requests that the target runs concurrently.  */
void lineup_set_slots (struct lineup *l, uint32_t slots);

/* The target takes at most RATE_MAX requests a second from now on, which it
   first stated after SINCE_NS; or any number again.  */
void lineup_set_limit (struct lineup *l, double rate_max, int64_t since_ns,
                       int64_t now_ns);
void lineup_clear_limit (struct lineup *l);

/* What is known of the cold time of the target.  Requests are started at the
   rate that it allows, or at that of a limit if that is lower.  */
struct cold *lineup_cold (struct lineup *l);

/* A response of NOW_NS states the load FIGURES.  A stated pace multiplies the
   estimates, and replaces the slowdown that was measured at that pace.  */
void lineup_learn_load (struct lineup *l, const struct load_figures *figures,
                        int64_t now_ns);

/* The load that the target states; reset it with a new target process.  */
struct stated_load *lineup_stated_load (struct lineup *l);

/* The time between two requests under the limit; 0: there is none.  */
int64_t lineup_start_interval_ns (const struct lineup *l);

/* Decide on a new request: START, WAIT or REFUSE.  */
struct lineup_decision lineup_offer (struct lineup *l,
                                     const struct lineup_request *r,
                                     int64_t now_ns);

/* Decide whether to accept the request R, which arrives as ARRIVAL says; does
   not queue it.  REASON_LINK_FULL if only the backlog makes it too late.  */
struct lineup_decision lineup_preview (struct lineup *l,
                                       const struct lineup_request *r,
                                       const struct lineup_arrival *arrival,
                                       int64_t now_ns);

/* The next decision on a waiting request: START, REFUSE or NOTHING.  Call it
   until NOTHING after each change and at lineup_wake_ns.  */
struct lineup_decision lineup_next (struct lineup *l, int64_t now_ns);

/* The time at which lineup_next refuses a waiting request because of its
   deadline, or starts one that waits for the limit; INT64_MAX when none
   waits.  */
int64_t lineup_wake_ns (const struct lineup *l, int64_t now_ns);

/* Record the end of the running request ID.  With COMPLETE it ran to its end
   and SERVICE_NS updates the estimates.  */
void lineup_done (struct lineup *l, lineup_id id, bool complete,
                  int64_t service_ns);

/* Remove the waiting request ID, whose caller disconnected.  False when it
   does not wait.  */
bool lineup_cancel (struct lineup *l, lineup_id id);

/* Remove the first waiting request, to be refused by the caller, and return
   its user_data; NULL when none waits.  */
void *lineup_pop_waiting (struct lineup *l);

uint32_t lineup_slots (const struct lineup *l);
uint32_t lineup_running (const struct lineup *l);
uint32_t lineup_waiting (const struct lineup *l);

/* The requests that run and wait as a share of the slots; or, if it is more,
   those that are offered as a share of the limit.  */
double lineup_utilization (const struct lineup *l, int64_t now_ns);

/* The expected wait of a request at the end of the queue.  */
int64_t lineup_expected_wait_ns (const struct lineup *l, int64_t now_ns);

#endif
