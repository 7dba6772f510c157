#include "mesh/router.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/histogram.h"
#include "base/log.h"
#include "limit/retry.h"
#include "limit/returns.h"
#include "mesh/balance.h"
#include "mesh/crashes.h"
#include "settings/address.h"
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Pause before the owner of a key is looked up again.  */
#define LOOKUP_RETRY_MS 20
/* Share of the time to the deadline that a request may wait for an owner: if
   it is refused by then, its caller can still retry in time.  A key that is
   being handed over has an owner again within a moment, so its requests wait
   longer.  */
#define OWNER_WAIT_SHARE 0.4
#define MOVE_WAIT_SHARE 0.6
/* Nodes that may refuse a request before its caller is refused.  Each refusal
   costs a round trip between nodes.  */
#define REFUSALS_MAX 3
/* Retry-after for callers if no better value is known, to which a random part
   of the same length is added.  */
#define DEFAULT_RETRY_AFTER_NS (300 * NS_PER_MS)
/* Share of the retry budget that this node uses, because the calls that a
   retried request makes count as retries as well.  */
#define RETRY_BUDGET_SHARE 0.6
enum
{
  CANDIDATES_MAX = 256,
  /* Failed requests that are remembered: a thousand a second for callers that
     wait for four seconds.  */
  RETURNS_MAX = 4096,
  INTERNAL_ERROR = 500,
  BAD_GATEWAY = 502,
  UNAVAILABLE = 503,
  GATEWAY_TIMEOUT = 504
};

struct router
{
  struct router_deps deps;
  struct routes *routes;
  struct service_times *service_times;
  struct returns *returns; /* callers that may come back */
  GHashTable *budgets;     /* struct retry_budget by service name */
  struct histogram *latency[OUTCOME_COUNT]; /* microseconds */
  GQueue pending;                           /* struct pending */
  uint32_t nodes; /* nodes that share the retry budgets, including this one */
  int64_t end_ns; /* when this node ends; INT64_MAX: not known */
  bool refuse_new;
};

struct pending
{
  struct router *router;
  GList link;
  struct http_server_exchange *exchange;
  struct routes *routes; /* a reference is held */
  const struct route *route;
  const struct service_policy *service;
  struct attempt_request request;
  int64_t arrived_ns; /* its last bytes */
  int64_t dispatched_ns;
  int64_t sent_on_ns;       /* when it was last sent to a node; 0: not yet */
  int64_t first_ns;         /* the caller's first attempt */
  int64_t wait_until_ns;    /* the caller's own deadline */
  uint64_t fingerprint;     /* of the request's content, for retries */
  uint32_t sends;           /* attempts that reached a target */
  uint32_t refusals;        /* nodes that refused the request */
  bool waited_for_link;     /* for room for its body, after a refusal */
  bool in_doubt;            /* an earlier attempt may have run */
  GPtrArray *tried_targets; /* nodes that ran or refused the request */
  char *node_name;          /* name of the node that was last chosen */
  struct egress_job *job;
  struct node_call *call;
  uv_timer_t timer;
  struct attempt_result last_refusal; /* last refusal, if OUTCOME_NOT_RUN */
};

static void try_target (struct pending *p);

/* End of a request.  */

static void
on_timer_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
pending_free (struct pending *p)
{
  g_queue_unlink (&p->router->pending, &p->link);
  routes_unref (p->routes);
  attempt_request_clear (&p->request);
  g_ptr_array_free (p->tried_targets, TRUE);
  g_free (p->node_name);
  uv_close ((uv_handle_t *)&p->timer, on_timer_closed);
}

/* LEFT_NS: when the caller left; 0: it did not.  Whether the attempt may have
   run.  */
static bool
cancel_attempt (struct pending *p, int64_t left_ns)
{
  bool may_have_run = p->job != NULL;
  if (p->job != NULL)
    egress_abandon (p->job, left_ns);
  if (p->call != NULL)
    may_have_run = !nodes_cancel (p->call, left_ns);
  p->job = NULL;
  p->call = NULL;
  return may_have_run;
}

static void
log_result (const struct pending *p, const struct attempt_result *r,
            int status, int64_t now_ns)
{
  int took_ms = (int)((now_ns - p->arrived_ns) / NS_PER_MS);
  bool unremarkable = r->outcome == OUTCOME_ANSWERED && !r->target_failed
                      && p->sends == 1
                      && now_ns <= p->request.soft_deadline_ns;
  if (unremarkable)
    return;
  log_event (EV_REQUEST_ENDED,
             "request=%s route=%s outcome=%s reason=%s status=%d took_ms=%d "
             "sends=%u turns=%u at=%s key=%d routes=%" PRIu64
             " age_ms=%d service_ms=%d content=%016" PRIx64 " held_ms=%d",
             p->request.id, p->route->name, outcome_word (r->outcome),
             reason_word (r->reason), status, took_ms, p->sends, p->refusals,
             p->node_name == NULL ? "-" : p->node_name, p->request.key,
             p->routes->version,
             (int)((p->arrived_ns - p->first_ns) / NS_PER_MS),
             (int)(r->service_time_ns / NS_PER_MS), p->request.content,
             (int)((p->dispatched_ns - p->arrived_ns) / NS_PER_MS));
}

static void
count_result (struct router *r, const struct attempt_result *result,
              int64_t took_ns)
{
  static const enum counter counters[OUTCOME_COUNT]
      = { [OUTCOME_PENDING] = COUNTER_unknown_total,
          [OUTCOME_ANSWERED] = COUNTER_answered_total,
          [OUTCOME_NOT_RUN] = COUNTER_not_run_total,
          [OUTCOME_UNKNOWN] = COUNTER_unknown_total };
  counter_add (counters[result->outcome], 1);
  histogram_add (r->latency[result->outcome], took_ns / NS_PER_US);
}

/* Append a Retry-After field for WAIT_NS, with jitter.  */
static void
append_retry_after (GString *head, int64_t wait_ns)
{
  double jitter = 1 + g_random_double ();
  if (wait_ns <= 0)
    wait_ns = DEFAULT_RETRY_AFTER_NS;
  g_string_append_printf (head, "Retry-After: %.2f\r\n",
                          (double)wait_ns / (double)NS_PER_S * jitter);
}

static int
error_status (const struct attempt_result *r)
{
  if (r->outcome == OUTCOME_NOT_RUN)
    return UNAVAILABLE;
  return r->reason == REASON_DEADLINE ? GATEWAY_TIMEOUT : BAD_GATEWAY;
}

/* Answer the caller with R.  */
static void
finish (struct pending *p, const struct attempt_result *r)
{
  int64_t now_ns = clock_now_ns ();
  struct http_server_exchange *exchange = p->exchange;
  GString *head = g_string_new (NULL);
  int status = r->status;
  const char *body = r->body;
  size_t length = r->body_length;
  if (r->outcome == OUTCOME_ANSWERED)
    g_string_append_len (head, r->head, (gssize)r->head_length);
  else
    {
      status = error_status (r);
      body = reason_text (r->reason);
      length = strlen (body);
      if (r->outcome == OUTCOME_NOT_RUN)
        append_retry_after (head, r->retry_after_ns);
    }
  if (status >= INTERNAL_ERROR)
    returns_record (p->router->returns, p->fingerprint, p->first_ns,
                    p->wait_until_ns, now_ns);
  log_result (p, r, status, now_ns);
  count_result (p->router, r, now_ns - p->arrived_ns);
  nodes_count_caller_bytes_out (p->router->deps.nodes, head->len + length);
  exchange->user_data = NULL;
  pending_free (p);
  http_respond (exchange, status, head->str, body, length);
  g_string_free (head, TRUE);
}

/* Whether P may still wait for an owner, which may take SHARE of its time.  */
static bool
may_wait (const struct pending *p, double share, int64_t now_ns)
{
  int64_t time_limit_ns = p->request.deadline_ns - p->arrived_ns;
  return now_ns - p->arrived_ns < (int64_t)((double)time_limit_ns * share);
}

static void
finish_not_run (struct pending *p, enum reason reason, int64_t retry_after_ns)
{
  struct attempt_result r = p->in_doubt
                                ? attempt_unknown (reason)
                                : attempt_not_run (reason, retry_after_ns);
  finish (p, &r);
}

static void
on_caller_gone (struct http_server_exchange *exchange)
{
  struct pending *p = exchange->user_data;
  if (p == NULL)
    return;
  counter_add (COUNTER_callers_gone_total, 1);
  int64_t now_ns = clock_now_ns ();
  log_event (EV_CALLER_GONE,
             "request=%s route=%s after_ms=%d sent=%u bytes_ms=%d "
             "sent_on_ms=%d left_ms=%d deadline_ms=%d wait_ms=%d at=%s",
             p->request.id, p->route->name,
             (int)((now_ns - p->dispatched_ns) / NS_PER_MS), p->sends,
             (int)((now_ns - p->arrived_ns) / NS_PER_MS),
             attempt_age_ms (p->sent_on_ns, now_ns),
             (int)((now_ns - exchange->left_ns) / NS_PER_MS),
             (int)((p->request.deadline_ns - now_ns) / NS_PER_MS),
             (int)((p->wait_until_ns - p->arrived_ns) / NS_PER_MS),
             p->node_name == NULL ? "-" : p->node_name);
  cancel_attempt (p, exchange->left_ns);
  pending_free (p);
}

/* Deadlines.  */

/* Answer without waiting for the target any longer.  */
static void
end_early (struct pending *p, enum reason reason)
{
  bool may_have_run = cancel_attempt (p, 0) || p->in_doubt;
  struct attempt_result r
      = may_have_run ? attempt_unknown (reason) : attempt_not_run (reason, 0);
  finish (p, &r);
}

static void
on_deadline (uv_timer_t *timer)
{
  end_early (timer->data, REASON_DEADLINE);
}

static void
start_deadline_timer (struct pending *p, int64_t now_ns)
{
  int64_t ms = (p->request.deadline_ns - now_ns) / NS_PER_MS;
  uv_timer_start (&p->timer, on_deadline,
                  (uint64_t)(ms > 0 ? ms : 0) + ATTEMPT_ANSWER_SLACK_MS, 0);
}

/* Try a target once more, unless the caller has left, which may be unread.  */
static void
try_again (struct pending *p)
{
  if (http_caller_is_there (p->exchange))
    try_target (p);
}

static void
on_retry_timer (uv_timer_t *timer)
{
  try_again (timer->data);
}

static void
retry_later (struct pending *p, int64_t pause_ns)
{
  int64_t ms = pause_ns / NS_PER_MS;
  uv_timer_start (&p->timer, on_retry_timer, (uint64_t)(ms > 0 ? ms : 0), 0);
}

/* Retries.  */

static struct retry_budget *
budget_of (struct router *r, const char *service)
{
  struct retry_budget *b = g_hash_table_lookup (r->budgets, service);
  if (b == NULL)
    {
      const struct settings *s = r->deps.settings;
      struct retry_config config;
      retry_config_defaults (&config);
      config.ratio_pct = (uint32_t)(s->retry_ratio_pct * RETRY_BUDGET_SHARE);
      config.stored_max = retry_stored_share (s->retry_stored, r->nodes);
      b = g_new0 (struct retry_budget, 1);
      retry_init (b, &config);
      g_hash_table_insert (r->budgets, g_strdup (service), b);
    }
  return b;
}

static enum retry_outcome
retry_outcome_of (const struct attempt_result *r)
{
  if (r->outcome == OUTCOME_ANSWERED)
    return RETRY_ANSWERED;
  if (r->outcome == OUTCOME_UNKNOWN)
    return RETRY_UNKNOWN;
  return RETRY_NOT_RUN;
}

static bool
has_attempts_left (const struct pending *p)
{
  return p->tried_targets->len < p->route->attempts_max;
}

/* Retry the request after R, which came from a target, or answer it.  */
static void
retry_or_finish (struct pending *p, const struct attempt_result *r)
{
  int64_t now_ns = clock_now_ns ();
  struct retry_input c = {
    .outcome = retry_outcome_of (r),
    .idempotent = p->request.idempotent,
    .sends = p->sends,
    .deadline_ns = p->request.deadline_ns,
    .service_ns
    = service_times_estimate (p->router->service_times, p->node_name,
                              p->request.route_hash, r->pace_pct)
      / 2,
    .random = g_random_int (),
  };
  struct retry_decision d = { .action = RETRY_GIVE_UP };
  if (has_attempts_left (p))
    d = retry_decide (budget_of (p->router, p->service->name), &c, now_ns);
  if (d.action == RETRY_GIVE_UP)
    {
      if (p->in_doubt && r->outcome == OUTCOME_NOT_RUN)
        finish_not_run (p, r->reason, 0);
      else
        finish (p, r);
      return;
    }
  counter_add (COUNTER_retries_total, 1);
  log_event (EV_REQUEST_SENT_AGAIN, "request=%s reason=%s sends=%u budget=%u",
             p->request.id, reason_word (r->reason), p->sends,
             retry_available (budget_of (p->router, p->service->name)));
  retry_later (p, d.action == RETRY_NOW ? 0 : d.at_ns - now_ns);
}

/* A node refused the request, which did not reach the target.  */
static void
on_refused (struct pending *p, const struct attempt_result *r)
{
  int64_t now_ns = clock_now_ns ();
  p->refusals++;
  p->last_refusal = *r;
  if (r->reason == REASON_QUARANTINED)
    {
      finish_not_run (p, r->reason, r->retry_after_ns);
      return;
    }
  bool keyed = p->request.key != ATTEMPT_NO_KEY;
  bool moving
      = r->reason == REASON_NOT_OWNER || r->reason == REASON_MOVING
        || r->reason == REASON_LEASE_LAPSED || r->reason == REASON_TARGET_DOWN
        || r->reason == REASON_DRAINING || r->reason == REASON_ZONE_EVACUATED
        || r->reason == REASON_OWNER_UNREACHABLE;
  double share
      = r->reason == REASON_MOVING ? MOVE_WAIT_SHARE : OWNER_WAIT_SHARE;
  if (keyed && r->reason == REASON_NOT_OWNER)
    p->router->deps.on_not_owner (p->router->deps.arg, p->node_name);
  if (keyed && moving && may_wait (p, share, now_ns))
    {
      retry_later (p, LOOKUP_RETRY_MS * NS_PER_MS);
      return;
    }
  /* Waiting once for room costs less than a retry of the caller, which sends
     the body again over the link of this node.  */
  if (keyed && r->reason == REASON_LINK_FULL && !p->waited_for_link
      && may_wait (p, OWNER_WAIT_SHARE, now_ns + r->retry_after_ns))
    {
      p->waited_for_link = true;
      retry_later (p, r->retry_after_ns);
      return;
    }
  if (!keyed && p->refusals < REFUSALS_MAX && now_ns < p->request.deadline_ns)
    {
      g_ptr_array_add (p->tried_targets, g_strdup (p->node_name));
      try_again (p);
      return;
    }
  finish_not_run (p, r->reason, r->retry_after_ns);
}

static void
on_result (void *arg, const struct attempt_result *r)
{
  struct pending *p = arg;
  struct router *router = p->router;
  p->job = NULL;
  p->call = NULL;
  uv_timer_stop (&p->timer);
  if (r->service_time_ns > 0
      && (!r->target_failed || r->status == GATEWAY_TIMEOUT))
    service_times_record (router->service_times, p->node_name,
                          p->request.route_hash, r->service_time_ns,
                          r->pace_pct);
  if (!r->reached_target)
    {
      on_refused (p, r);
      return;
    }
  p->sends++;
  if (p->sends == 1)
    retry_deposit (budget_of (router, p->service->name));
  if (p->request.key == ATTEMPT_NO_KEY)
    g_ptr_array_add (p->tried_targets, g_strdup (p->node_name));
  if (r->outcome == OUTCOME_UNKNOWN)
    p->in_doubt = true;
  if (r->outcome == OUTCOME_ANSWERED)
    finish (p, r);
  else
    retry_or_finish (p, r);
}

/* Choice of a target.  */

struct choice
{
  struct pending *pending;
  struct candidate list[CANDIDATES_MAX];
  unsigned count;
};

static bool
was_tried (const struct pending *p, const char *name)
{
  for (guint i = 0; i < p->tried_targets->len; i++)
    if (strcmp (g_ptr_array_index (p->tried_targets, i), name) == 0)
      return true;
  return false;
}

static bool
add_candidate (void *arg, const struct node_view *view)
{
  struct choice *c = arg;
  const struct pending *p = c->pending;
  if (strcmp (view->node->service, p->service->name) != 0)
    return true;
  c->list[c->count++] = (struct candidate){
    .name = view->node->name,
    .same_zone
    = strcmp (view->node->zone, p->router->deps.settings->zone) == 0,
    .already_tried = was_tried (p, view->node->name),
    .load = view->state->load,
    .sent_since_report = view->sent_since_report,
    .transfer_ns
    = nodes_transfer_ns (p->router->deps.nodes, view, p->request.body->len),
  };
  return c->count < CANDIDATES_MAX;
}

/* The node for a request without a key; NULL: none accepts it.  */
static const char *
choose_target (struct pending *p, int64_t now_ns)
{
  static struct choice c; /* used by the loop's thread only */
  const struct router_deps *deps = &p->router->deps;
  c.pending = p;
  c.count = 0;
  if (strcmp (deps->settings->service, p->service->name) == 0)
    c.list[c.count++] = (struct candidate){
      .name = deps->settings->name,
      .same_zone = true,
      .already_tried = was_tried (p, deps->settings->name),
      .load = egress_load (deps->egress, now_ns),
    };
  nodes_visit (deps->nodes, add_candidate, &c);
  int64_t wanted_ns = p->request.soft_deadline_ns > now_ns
                          ? p->request.soft_deadline_ns
                          : p->request.deadline_ns;
  int best = balance_pick (p->router->service_times, c.list, c.count,
                           p->request.route_hash, wanted_ns - now_ns);
  return best < 0 ? NULL : c.list[best].name;
}

static const char *
find_owner (const struct pending *p)
{
  const struct cell_member *m = owners_find (
      p->router->deps.owners, p->service->name, (uint32_t)p->request.key);
  return m == NULL ? NULL : m->name;
}

static void
copy_request (struct attempt_request *to, const struct attempt_request *from)
{
  *to = *from;
  to->head = g_string_new_len (from->head->str, (gssize)from->head->len);
  to->body = g_string_new_len (from->body->str, (gssize)from->body->len);
}

/* Send the request to the node NAME.  False if it is not connected.  */
static bool
send_to (struct pending *p, const char *name, int64_t now_ns)
{
  const struct router_deps *deps = &p->router->deps;
  g_free (p->node_name);
  p->node_name = g_strdup (name);
  p->sent_on_ns = now_ns;
  if (strcmp (name, deps->settings->name) == 0)
    {
      struct attempt_request copy;
      copy_request (&copy, &p->request);
      counter_add (COUNTER_requests_local_total, 1);
      p->job = egress_send (deps->egress, &copy, on_result, p, now_ns);
      return true;
    }
  p->call = nodes_send (deps->nodes, name, &p->request, on_result, p);
  return p->call != NULL;
}

/* Whether the node NAME is expected to run P before this node ends.  */
static bool
ends_in_time (const struct pending *p, const char *name, int64_t now_ns)
{
  const struct router *r = p->router;
  return r->end_ns == INT64_MAX
         || now_ns
                    + service_times_estimate (r->service_times, name,
                                              p->request.route_hash, 0)
                <= r->end_ns;
}

static void
try_target (struct pending *p)
{
  int64_t now_ns = clock_now_ns ();
  bool keyed = p->request.key != ATTEMPT_NO_KEY;
  if (now_ns >= p->request.deadline_ns)
    {
      finish_not_run (p, REASON_DEADLINE, 0);
      return;
    }
  int64_t retry_after_ns;
  if (crashes_check (p->router->deps.crashes, p->request.content, now_ns,
                     &retry_after_ns)
      == QUARANTINE_REFUSED)
    {
      counter_add (COUNTER_quarantine_refusals_total, 1);
      finish_not_run (p, REASON_QUARANTINED, retry_after_ns);
      return;
    }
  const char *name = keyed ? find_owner (p) : choose_target (p, now_ns);
  if (name != NULL && !ends_in_time (p, name, now_ns))
    {
      finish_not_run (p, REASON_DRAINING, 0);
      return;
    }
  if (name != NULL && send_to (p, name, now_ns))
    {
      start_deadline_timer (p, now_ns);
      return;
    }
  /* If each target that takes requests has refused this one, waiting does not
     help.  */
  bool refused_by_all = !keyed && name == NULL && p->refusals > 0;
  if (!refused_by_all && may_wait (p, OWNER_WAIT_SHARE, now_ns))
    {
      retry_later (p, LOOKUP_RETRY_MS * NS_PER_MS);
      return;
    }
  if (p->last_refusal.outcome == OUTCOME_NOT_RUN)
    finish_not_run (p, p->last_refusal.reason, p->last_refusal.retry_after_ns);
  else
    finish_not_run (
        p, name == NULL ? REASON_NO_OWNER : REASON_OWNER_UNREACHABLE, 0);
}

/* Arrival.  */

static void
refuse (struct http_server_exchange *exchange, const char *id, int status,
        const char *message)
{
  log_event (
      EV_REQUEST_REFUSED, "request=%.64s status=%d why=\"%s\" target=%.100s",
      id == NULL ? "-" : id, status, message, exchange->request_target->str);
  counter_add (COUNTER_not_run_total, 1);
  GString *head = g_string_new (NULL);
  if (status == UNAVAILABLE)
    append_retry_after (head, 0);
  http_respond (exchange, status, head->str, message, strlen (message));
  g_string_free (head, TRUE);
}

/* Whether to copy the caller's field NAME.  Fields that this node sets itself
   are not copied.  */
static bool
keep_request_field (const char *name, const void *arg)
{
  const struct dialect *d = arg;
  return strcasecmp (name, d->headers[HEADER_TIMEOUT_MS]) != 0
         && strcasecmp (name, d->headers[HEADER_TARGET_ID]) != 0
         && strcasecmp (name, d->headers[HEADER_CALLER]) != 0;
}

static void
write_request (struct pending *p)
{
  const struct router_deps *deps = &p->router->deps;
  GString *head = g_string_new (NULL);
  g_string_append_printf (head, "%s %s HTTP/1.1\r\n", p->exchange->method,
                          p->exchange->request_target->str);
  headers_copy (p->exchange->headers, head, keep_request_field, deps->dialect);
  g_string_append_printf (head, "%s: %s\r\n",
                          deps->dialect->headers[HEADER_CALLER],
                          deps->settings->service);
  p->request.head = head;
  /* The exchange does not need its body any more.  */
  p->request.body = p->exchange->body;
  p->exchange->body = g_string_new (NULL);
  p->request.content = attempt_fingerprint (
      &p->request, deps->dialect->headers[HEADER_CALLER]);
}

static bool
parse_decimal (const char *text, int64_t max, int64_t *value)
{
  char *end;
  if (text == NULL || *text < '0' || *text > '9')
    return false;
  *value = g_ascii_strtoll (text, &end, 10);
  return *end == '\0' && *value <= max;
}

/* How long the caller waits, milliseconds.  */
static int64_t
caller_wait_ms (const struct router *r,
                const struct http_server_exchange *exchange)
{
  const struct settings *s = r->deps.settings;
  const char *name = r->deps.dialect->headers[HEADER_TIMEOUT_MS];
  int64_t ms;
  if (!parse_decimal (headers_find (exchange->headers, name), INT32_MAX, &ms))
    ms = s->deadline_ms;
  return ms < s->deadline_max_ms ? ms : s->deadline_max_ms;
}

static void
set_deadlines (struct pending *p)
{
  struct attempt_request *q = &p->request;
  int64_t wait_ms = caller_wait_ms (p->router, p->exchange);
  int64_t target_latency_ms = p->route->target_latency_ms;
  p->wait_until_ns = p->arrived_ns + wait_ms * NS_PER_MS;
  p->first_ns = returns_find (p->router->returns, p->fingerprint,
                              p->wait_until_ns, p->arrived_ns);
  if (p->first_ns != p->arrived_ns)
    counter_add (COUNTER_callers_returned_total, 1);
  if (wait_ms > p->route->timeout_ms)
    wait_ms = p->route->timeout_ms;
  if (target_latency_ms > wait_ms)
    target_latency_ms = wait_ms;
  q->deadline_ns
      = MIN (p->arrived_ns + wait_ms * NS_PER_MS, p->router->end_ns);
  /* It may have passed when a caller comes back.  */
  q->soft_deadline_ns = p->first_ns + target_latency_ms * NS_PER_MS;
}

/* Identifies the content of a request, which is the same in all attempts of
   its caller.  */
static uint64_t
fingerprint_of (const struct router *r,
                const struct http_server_exchange *exchange)
{
  const char *key
      = headers_find (exchange->headers, r->deps.dialect->headers[HEADER_KEY]);
  uint64_t hash = XXH64 (exchange->request_target->str,
                         exchange->request_target->len, 0);
  hash = XXH64 (exchange->body->str, exchange->body->len, hash);
  hash = XXH64 (exchange->method, strlen (exchange->method), hash);
  return key == NULL ? hash : XXH64 (key, strlen (key), hash);
}

static struct pending *
pending_new (struct router *r, struct http_server_exchange *exchange,
             struct route *route, const char *id)
{
  struct pending *p = g_new0 (struct pending, 1);
  p->router = r;
  p->exchange = exchange;
  p->routes = routes_ref (r->routes);
  p->route = route;
  p->service = &g_array_index (r->routes->services, struct service_policy,
                               route_pick_service (route));
  p->dispatched_ns = clock_now_ns ();
  p->arrived_ns = exchange->arrived_ns;
  p->request.arrived_ns = exchange->arrived_ns;
  p->fingerprint = fingerprint_of (r, exchange);
  p->tried_targets = g_ptr_array_new_with_free_func (g_free);
  p->request.route_hash = XXH32 (route->name, strlen (route->name), 0);
  p->request.idempotent = route->idempotent;
  p->request.priority = route->priority;
  p->request.key = ATTEMPT_NO_KEY;
  g_strlcpy (p->request.id, id, sizeof p->request.id);
  uv_timer_init (r->deps.loop, &p->timer);
  p->timer.data = p;
  exchange->user_data = p;
  exchange->on_disconnect = on_caller_gone;
  p->link.data = p;
  g_queue_push_tail_link (&r->pending, &p->link);
  return p;
}

/* Whether ID may be that of a lookup of a request that runs at this node's
   target.  */
static bool
is_lookup (const struct router *r, const char *id)
{
  return egress_running (r->deps.egress) > 0 && strchr (id, '.') != NULL;
}

void
router_handle_request (void *router, struct http_server_exchange *exchange)
{
  struct router *r = router;
  const struct dialect *d = r->deps.dialect;
  const char *id
      = headers_find (exchange->headers, d->headers[HEADER_REQUEST_ID]);
  const char *host = headers_find (exchange->headers, "Host");
  int64_t key = 0;
  counter_add (COUNTER_requests_total, 1);
  if (id == NULL || strlen (id) >= ATTEMPT_ID_BYTES || host == NULL)
    {
      refuse (exchange, id, 400, "the request has no id or no host");
      return;
    }
  if (r->routes == NULL)
    {
      refuse (exchange, id, 503, "no configuration is known yet");
      return;
    }
  if (r->refuse_new && !is_lookup (r, id))
    {
      refuse (exchange, id, 503, "the node stops");
      return;
    }
  struct route *route
      = routes_find (r->routes, host, exchange->request_target->str);
  if (route == NULL)
    {
      refuse (exchange, id, 404, "no route");
      return;
    }
  struct pending *p = pending_new (r, exchange, route, id);
  if (p->service->keyed)
    {
      const char *text
          = headers_find (exchange->headers, d->headers[HEADER_KEY]);
      if (!parse_decimal (text, r->deps.settings->key_space - 1, &key))
        {
          exchange->on_disconnect = NULL;
          pending_free (p);
          refuse (exchange, id, 400, "the request has no key");
          return;
        }
      p->request.key = (int32_t)key;
    }
  set_deadlines (p);
  write_request (p);
  nodes_count_caller_bytes_in (r->deps.nodes,
                               p->request.head->len + p->request.body->len);
  try_target (p);
}

struct router *
router_open (const struct router_deps *deps)
{
  struct router *r = g_new0 (struct router, 1);
  r->deps = *deps;
  r->end_ns = INT64_MAX;
  r->service_times = service_times_new ();
  r->returns = returns_new (RETURNS_MAX);
  r->budgets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (int i = 0; i < OUTCOME_COUNT; i++)
    r->latency[i] = histogram_new ();
  return r;
}

void
router_stop (struct router *r, int64_t end_ns)
{
  r->end_ns = end_ns;
}

void
router_refuse_new (struct router *r)
{
  r->refuse_new = true;
}

void
router_finish_all (struct router *r)
{
  GList *link;
  while ((link = g_queue_peek_head_link (&r->pending)) != NULL)
    end_early (link->data, REASON_DRAINING);
}

static struct pending *
find_lookup (const struct router *r, const char *id)
{
  size_t length = strlen (id);
  for (GList *l = r->pending.head; l != NULL; l = l->next)
    {
      struct pending *p = l->data;
      if (strncmp (p->request.id, id, length) == 0
          && p->request.id[length] == '.')
        return p;
    }
  return NULL;
}

void
router_end_lookups (struct router *r, const char *id)
{
  struct pending *p;
  while ((p = find_lookup (r, id)) != NULL)
    {
      counter_add (COUNTER_lookups_ended_total, 1);
      end_early (p, REASON_CALLER_GONE);
    }
}

void
router_set_routes (struct router *r, struct routes *routes)
{
  routes_unref (r->routes);
  r->routes = routes_ref (routes);
}

struct routes *
router_routes (const struct router *r)
{
  return r->routes;
}

void
router_tick (struct router *r, uint32_t nodes)
{
  GHashTableIter iter;
  gpointer budget;
  service_times_decay (r->service_times);
  if (nodes == r->nodes)
    return;
  r->nodes = nodes;
  g_hash_table_iter_init (&iter, r->budgets);
  while (g_hash_table_iter_next (&iter, NULL, &budget))
    retry_set_stored_max (
        budget, retry_stored_share (r->deps.settings->retry_stored, nodes));
}

unsigned
router_pending_count (const struct router *r)
{
  return g_queue_get_length ((GQueue *)&r->pending);
}

char *
router_metrics (const struct router *r)
{
  static const double quantiles[] = { 50, 90, 99, 99.9 };
  GString *out = g_string_new (
      "# HELP crocusbend_latency_us time from a request's arrival to its "
      "answer, microseconds\n# TYPE crocusbend_latency_us summary\n");
  for (int i = OUTCOME_PENDING + 1; i < OUTCOME_COUNT; i++)
    {
      const struct histogram *h = r->latency[i];
      const char *word = outcome_word ((enum outcome)i);
      for (size_t q = 0; q < G_N_ELEMENTS (quantiles); q++)
        g_string_append_printf (
            out,
            "crocusbend_latency_us{outcome=\"%s\",quantile=\"%g\"} %" PRId64
            "\n",
            word, quantiles[q] / 100, histogram_percentile (h, quantiles[q]));
      g_string_append_printf (
          out, "crocusbend_latency_us_count{outcome=\"%s\"} %" PRIu64 "\n",
          word, histogram_count (h));
    }
  return g_string_free (out, FALSE);
}
