#include "route/router.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/duration.h"
#include "base/log.h"
#include "http/net.h"
#include "route/callstats.h"
#include "route/ownd.h"
#include "route/peers.h"
#include "route/policy.h"
#include "route/target.h"

#include <ck_pr.h>
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <unistd.h>

enum
{
  EVENTS_MAX = 64,
  SWEEP_INTERVAL_MS = 5,
  IDLE_TIMEOUT_MS = -1,
  NO_VIEW_LOOKUPS_MAX = 6,    /* about 0.2 s of policy_backoff_ns */
  INBOX_ITEMS_PER_REQUEST = 4 /* a call, its attempt and late attempts */
};

/* An attempt gets this long after the deadline to report its own end.  */
#define DEADLINE_GRACE_NS (10 * NS_PER_MS)

struct router
{
  struct service service;
  struct kernel *kernel;
  const struct settings *settings;
  struct map *map;
  struct service *target;
  struct service *peers;
  struct service *ownd;
  struct service *callstats;
  struct inbox *inbox;
  struct retry_budget budget;
  int epoll_fd;
  pthread_t thread;
  uint32_t stopping;
  uint32_t call_count;    /* updated by any thread */
  struct call *calls;     /* used by the router's thread only */
  int64_t swept_revision; /* revision of the map at the last sweep */
  int64_t next_sweep_ns;
};

static void
add_call (struct router *r, struct call *c)
{
  c->previous = NULL;
  c->next = r->calls;
  if (r->calls != NULL)
    r->calls->previous = c;
  r->calls = c;
}

static void
remove_call (struct router *r, struct call *c)
{
  if (c->previous != NULL)
    c->previous->next = c->next;
  else
    r->calls = c->next;
  if (c->next != NULL)
    c->next->previous = c->previous;
}

static void
watch_caller (struct router *r, struct call *c)
{
  struct epoll_event ev = { .events = EPOLLRDHUP, .data.ptr = c };
  if (c->fd >= 0 && epoll_ctl (r->epoll_fd, EPOLL_CTL_ADD, c->fd, &ev) != 0)
    c->fd = -1;
}

static void
unwatch_caller (struct router *r, struct call *c)
{
  if (c->fd >= 0)
    epoll_ctl (r->epoll_fd, EPOLL_CTL_DEL, c->fd, NULL);
}

static void
count_outcome (const struct answer *answer)
{
  if (answer->outcome == OUTCOME_ANSWERED)
    counter_add (COUNTER_answered_total, 1);
  else if (answer->outcome == OUTCOME_NOT_RUN)
    counter_add (COUNTER_not_run_total, 1);
  else
    counter_add (COUNTER_unknown_total, 1);
}

/* Cancel the attempt of C; its result will be ignored.  */
static void
abandon_attempt (struct router *r, struct call *c)
{
  struct attempt *a = c->attempt;
  if (a == NULL)
    return;
  a->context = NULL;
  attempt_cancel (a);
  if (a->owner.is_self)
    target_check_cancels (r->target);
  else
    peers_check_cancels (r->peers);
  c->attempt = NULL;
}

/* A request that an earlier attempt may have run is never reported as not
   run.  */
static void
report_possible_run (struct call *c)
{
  struct answer *answer = &c->answer;
  if (!c->may_have_run || answer->outcome != OUTCOME_NOT_RUN)
    return;
  answer->outcome = OUTCOME_UNKNOWN;
  answer->http_status = outcome_http_status (OUTCOME_UNKNOWN, answer->reason);
}

static void
finish_call (struct router *r, struct call *c)
{
  report_possible_run (c);
  abandon_attempt (r, c);
  remove_call (r, c);
  unwatch_caller (r, c);
  count_outcome (&c->answer);
  callstats_add (r->callstats, c->request, &c->answer, clock_now_ns ());
  ck_pr_dec_32 (&r->call_count);
  c->done (c);
}

static void
finish_unanswered (struct router *r, struct call *c, enum outcome outcome,
                   enum reason reason)
{
  answer_clear (&c->answer);
  c->answer.outcome = outcome;
  c->answer.reason = reason;
  c->answer.http_status = outcome_http_status (outcome, reason);
  finish_call (r, c);
}

static void
send_attempt (struct router *r, struct attempt *a)
{
  enum status s;
  if (a->owner.is_self)
    s = target_submit (r->target, a);
  else
    s = peers_submit (r->peers, a);
  if (s != STATUS_OK)
    attempt_fail (a, OUTCOME_NOT_RUN, REASON_NODE_FULL);
}

static void
schedule_attempt (struct call *c, enum reason reason, int64_t at_ns)
{
  c->answer.outcome = OUTCOME_NOT_RUN;
  c->answer.reason = reason;
  c->retry_at_ns = at_ns;
}

/* How long ago the last segment of the caller of C arrived, which closed or
   reset its connection.  */
static int64_t
left_age_ns (const struct call *c)
{
  struct net_peer_info info;
  return net_get_peer_info (c->fd, &info) ? info.segment_age_ns : 0;
}

static void
on_hangup (struct router *r, struct call *c)
{
  int64_t now_ns = clock_now_ns ();
  int64_t unread_ns = left_age_ns (c);
  counter_add (COUNTER_callers_gone_total, 1);
  duration_add (DURATION_caller_left_unread, unread_ns);
  log_event (
      EV_CALLER_GONE,
      "request=%016" PRIx64 " after_ms=%d sent_on_ms=%d left_ms=%d at=%s",
      c->request->id, (int)((now_ns - c->request->arrived_ns) / NS_PER_MS),
      c->attempt == NULL
          ? -1
          : (int)((now_ns - c->attempt->started_ns) / NS_PER_MS),
      (int)(unread_ns / NS_PER_MS),
      c->attempt == NULL          ? "-"
      : c->attempt->owner.is_self ? "self"
                                  : c->attempt->owner.peer_address);
  enum outcome outcome
      = c->attempt != NULL ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
  finish_unanswered (r, c, outcome, REASON_CALLER_GONE);
}

/* Whether the caller of C has left, which wait_events may not have read yet.
 */
static bool
has_left (const struct call *c)
{
  struct net_peer_info info;
  return net_get_peer_info (c->fd, &info) && info.left;
}

static void
start_attempt (struct router *r, struct call *c, int64_t now_ns)
{
  struct owner owner;
  if (has_left (c))
    {
      on_hangup (r, c);
      return;
    }
  if (!map_has_view (r->map) && c->owner_lookups >= NO_VIEW_LOOKUPS_MAX)
    {
      /* With the store up, a node has a view sooner than this after its start:
         it is unlikely that an owner becomes known within the deadline.  */
      finish_unanswered (r, c, OUTCOME_NOT_RUN, REASON_NO_OWNER);
      return;
    }
  if (map_find_owner (r->map, c->request->key, &owner) != STATUS_OK)
    {
      schedule_attempt (c, REASON_NO_OWNER,
                        now_ns + policy_backoff_ns (c->owner_lookups));
      c->owner_lookups++;
      return;
    }
  struct attempt *a = attempt_new (c->request, &owner, r->inbox);
  if (a == NULL)
    {
      finish_unanswered (r, c, OUTCOME_NOT_RUN, REASON_NODE_FULL);
      return;
    }
  counter_add (owner.is_self ? COUNTER_requests_local_total
                             : COUNTER_requests_forwarded_total,
               1);
  a->context = c;
  a->started_ns = now_ns;
  c->attempt = a;
  send_attempt (r, a);
}

static void
on_call (struct router *r, struct call *c, int64_t now_ns)
{
  add_call (r, c);
  watch_caller (r, c);
  retry_deposit (&r->budget);
  start_attempt (r, c, now_ns);
}

static void
handle_failed_attempt (struct router *r, struct call *c, enum outcome outcome,
                       enum reason reason, int64_t now_ns)
{
  if (outcome == OUTCOME_UNKNOWN)
    c->may_have_run = true;
  if (outcome == OUTCOME_UNKNOWN || reason == REASON_TARGET_UNREACHABLE)
    c->target_attempts++;
  struct policy_input state = {
    .outcome = outcome,
    .reason = reason,
    .idempotent = c->request->idempotent,
    .owner_lookups = c->owner_lookups,
    .target_attempts = c->target_attempts,
    .deadline_ns = c->request->deadline_ns,
    .random = g_random_int (),
  };
  struct policy_decision d = policy_decide (&r->budget, &state, now_ns);
  switch (d.verdict)
    {
    case POLICY_FIND_OWNER:
      c->owner_lookups++;
      schedule_attempt (c, reason, d.retry_at_ns);
      break;
    case POLICY_RESEND:
      counter_add (COUNTER_retries_total, 1);
      schedule_attempt (c, reason, d.retry_at_ns);
      break;
    case POLICY_BUDGET_SPENT:
      counter_add (COUNTER_retries_refused_total, 1);
      finish_unanswered (r, c, outcome, reason);
      break;
    default:
      finish_unanswered (r, c, outcome, reason);
      break;
    }
}

static void
on_attempt (struct router *r, struct attempt *a, int64_t now_ns)
{
  struct call *c = a->context;
  if (c == NULL)
    {
      attempt_free (a);
      return;
    }
  c->attempt = NULL;
  enum outcome outcome = a->answer.outcome;
  enum reason reason = a->answer.reason;
  if (outcome == OUTCOME_ANSWERED || reason == REASON_TARGET_REFUSED)
    {
      answer_move (&c->answer, &a->answer);
      attempt_free (a);
      finish_call (r, c);
      return;
    }
  if (reason == REASON_NOT_OWNER && !a->owner.is_self)
    ownd_fetch_document (r->ownd, a->owner.peer_address);
  attempt_free (a);
  handle_failed_attempt (r, c, outcome, reason, now_ns);
}

static void
on_deadline (struct router *r, struct call *c)
{
  /* A call between two attempts ends with the reason of the last one.  */
  if (c->attempt != NULL)
    finish_unanswered (r, c, OUTCOME_UNKNOWN, REASON_DEADLINE);
  else if (c->answer.reason == REASON_NONE)
    finish_unanswered (r, c, OUTCOME_NOT_RUN, REASON_DEADLINE);
  else
    finish_unanswered (r, c, OUTCOME_NOT_RUN, c->answer.reason);
}

static bool
is_owner_lost (struct router *r, const struct call *c)
{
  const struct attempt *a = c->attempt;
  return a != NULL && !a->owner.is_self
         && !map_is_member (r->map, a->owner.incarnation);
}

static void
sweep_call (struct router *r, struct call *c, bool changed, int64_t now_ns)
{
  int64_t deadline_ns = c->request->deadline_ns;
  if (c->attempt != NULL)
    deadline_ns += DEADLINE_GRACE_NS;
  if (deadline_ns <= now_ns)
    {
      on_deadline (r, c);
      return;
    }
  if (changed && is_owner_lost (r, c))
    {
      abandon_attempt (r, c);
      handle_failed_attempt (r, c, OUTCOME_UNKNOWN, REASON_OWNER_LOST, now_ns);
      return;
    }
  if (c->attempt == NULL && (changed || c->retry_at_ns <= now_ns))
    start_attempt (r, c, now_ns);
}

static void
sweep (struct router *r, int64_t now_ns)
{
  if (now_ns < r->next_sweep_ns)
    return;
  int64_t revision = map_revision (r->map);
  bool changed = revision != r->swept_revision;
  struct call *next;
  for (struct call *c = r->calls; c != NULL; c = next)
    {
      next = c->next;
      sweep_call (r, c, changed, now_ns);
    }
  r->swept_revision = revision;
  r->next_sweep_ns = now_ns + SWEEP_INTERVAL_MS * NS_PER_MS;
}

static void
process_inbox (struct router *r)
{
  struct inbox_header *message;
  while ((message = inbox_take (r->inbox)) != NULL)
    {
      int64_t now_ns = clock_now_ns ();
      if (message->kind == INBOX_MESSAGE_CALL)
        on_call (r, (struct call *)message, now_ns);
      else
        on_attempt (r, (struct attempt *)message, now_ns);
    }
}

static void
wait_events (struct router *r)
{
  struct epoll_event events[EVENTS_MAX];
  int timeout_ms = r->calls != NULL ? SWEEP_INTERVAL_MS : IDLE_TIMEOUT_MS;
  if (!inbox_arm_wakeup (r->inbox))
    timeout_ms = 0;
  int count = epoll_wait (r->epoll_fd, events, EVENTS_MAX, timeout_ms);
  inbox_clear_wakeup (r->inbox);
  /* No call has ended since epoll_wait returned, so the pointers are
     valid.  */
  for (int i = 0; i < count; i++)
    if (events[i].data.ptr != NULL)
      on_hangup (r, events[i].data.ptr);
}

static void *
router_run (void *arg)
{
  struct router *r = arg;
  while (ck_pr_load_32 (&r->stopping) == 0)
    {
      process_inbox (r);
      sweep (r, clock_now_ns ());
      wait_events (r);
    }
  while (r->calls != NULL)
    finish_unanswered (r, r->calls,
                       r->calls->attempt != NULL ? OUTCOME_UNKNOWN
                                                 : OUTCOME_NOT_RUN,
                       REASON_DRAINING);
  return NULL;
}

static enum status
router_start (struct service *self)
{
  struct router *r = (struct router *)self;
  r->target = kernel_find (r->kernel, TARGET_SERVICE);
  r->peers = kernel_find (r->kernel, PEERS_SERVICE);
  r->ownd = kernel_find (r->kernel, OWND_SERVICE);
  r->callstats = kernel_find (r->kernel, CALLSTATS_SERVICE);
  struct epoll_event ev = { .events = EPOLLIN, .data.ptr = NULL };
  if (epoll_ctl (r->epoll_fd, EPOLL_CTL_ADD, inbox_fd (r->inbox), &ev) != 0)
    return status_set (STATUS_SYSTEM, "epoll: error %d", errno);
  if (pthread_create (&r->thread, NULL, router_run, r) != 0)
    return status_set (STATUS_SYSTEM, "cannot create the router thread");
  return STATUS_OK;
}

static void
router_drain (struct service *self)
{
  struct router *r = (struct router *)self;
  int64_t until_ns
      = clock_now_ns () + r->settings->deadline_max_ms * NS_PER_MS;
  while (router_call_count (self) > 0 && clock_now_ns () < until_ns)
    usleep (1000);
}

static void
router_stop (struct service *self)
{
  struct router *r = (struct router *)self;
  ck_pr_store_32 (&r->stopping, 1);
  inbox_wake (r->inbox);
  pthread_join (r->thread, NULL);
}

static void
free_inbox_items (struct router *r)
{
  struct inbox_header *message;
  while ((message = inbox_take (r->inbox)) != NULL)
    if (message->kind == INBOX_MESSAGE_ATTEMPT)
      attempt_free ((struct attempt *)message);
}

static void
router_free (struct service *self)
{
  struct router *r = (struct router *)self;
  if (r->epoll_fd >= 0)
    close (r->epoll_fd);
  if (r->inbox != NULL)
    free_inbox_items (r);
  inbox_free (r->inbox);
  free (r);
}

static const struct service_ops router_ops = {
  ROUTER_SERVICE, router_start, router_drain, router_stop, router_free,
};

struct service *
router_new (struct kernel *k, const struct settings *s, struct map *m)
{
  struct router *r = calloc (1, sizeof *r);
  if (r == NULL)
    return NULL;
  r->service.ops = &router_ops;
  r->kernel = k;
  r->settings = s;
  r->map = m;
  policy_init (&r->budget);
  r->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  r->inbox = inbox_new (
      inbox_capacity_for (s->requests_max * INBOX_ITEMS_PER_REQUEST));
  if (r->epoll_fd >= 0 && r->inbox != NULL)
    return &r->service;
  router_free (&r->service);
  return NULL;
}

enum status
router_submit (struct service *router, struct call *call)
{
  struct router *r = (struct router *)router;
  if (ck_pr_faa_32 (&r->call_count, 1) >= r->settings->requests_max)
    {
      ck_pr_dec_32 (&r->call_count);
      counter_add (COUNTER_table_full_total, 1);
      return status_set (STATUS_FULL, "limits.requests reached");
    }
  call->header.kind = INBOX_MESSAGE_CALL;
  enum status s = inbox_put (r->inbox, call);
  if (s != STATUS_OK)
    ck_pr_dec_32 (&r->call_count);
  return s;
}

uint32_t
router_call_count (struct service *router)
{
  return ck_pr_load_32 (&((struct router *)router)->call_count);
}
