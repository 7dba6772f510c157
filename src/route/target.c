#include "route/target.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "limit/gate.h"
#include "own/hot_meter.h"
#include "route/confd.h"
#include "route/http_exchange.h"
#include "route/rated.h"

#include <ck_pr.h>
#include <curl/curl.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

/* How long after this node learned that its zone is evacuated it still sends
   requests for keys that it owns, while they are handed over.  A node learns
   of it up to 2 s late, and nothing may be sent 5 s after the command.  */
#define EVACUATION_CLOSE_NS (3 * NS_PER_S)

enum
{
  INBOX_ITEMS_PER_REQUEST = 4,
  BUSY_POLL_MS = 5,
  IDLE_POLL_MS = 1000
};

/* A request that is sent to the target, or that waits for a slot of it.  */
struct send
{
  struct target *target;
  struct attempt *attempt;
  struct owner owner; /* as returned by map_begin_request */
  admit_ticket ticket;
  int64_t started_ns; /* 0 while it waits for a slot */
  struct http_exchange http;
  struct send *next;
  struct send *previous;
};

struct send_list
{
  struct send *first;
  struct send *last;
  uint32_t count;
};

struct target
{
  struct service service;
  const struct settings *settings;
  struct map *map;
  struct inbox *inbox;
  struct service *confd;
  struct service *rated;
  struct conf *conf;    /* the configuration in force; a reference */
  int64_t evacuated_ns; /* since when this zone is evacuated in CONF; 0: not */
  struct gate *gate;
  struct hot_meter *meter;
  CURLM *multi;
  struct send_list waiting;
  struct send_list active;
  bool unreachable;
  int64_t unbounded_logged_ns; /* 0: never */
  int64_t malformed_logged_ns; /* the same */
  pthread_t thread;
  uint32_t cancel_pending; /* set by target_check_cancels */
  uint32_t stopping;
};

static void
list_append (struct send_list *l, struct send *s)
{
  s->next = NULL;
  s->previous = l->last;
  if (l->last != NULL)
    l->last->next = s;
  else
    l->first = s;
  l->last = s;
  l->count++;
}

static void
list_remove (struct send_list *l, struct send *s)
{
  if (s->previous != NULL)
    s->previous->next = s->next;
  else
    l->first = s->next;
  if (s->next != NULL)
    s->next->previous = s->previous;
  else
    l->last = s->previous;
  l->count--;
}

static void
free_send (struct send *s)
{
  http_exchange_clear (&s->http);
  free (s);
}

/* End S, which is in no list, with OUTCOME and REASON.  */
static void
end_send (struct send *s, enum outcome outcome, enum reason reason)
{
  attempt_fail (s->attempt, outcome, reason);
  free_send (s);
}

/* End S, which the gate admitted but which was not sent.  */
static void
end_admitted (struct target *t, struct send *s, enum reason reason,
              int64_t now_ns)
{
  gate_done (t->gate, s->ticket, ADMIT_CANCELLED, 0, now_ns);
  end_send (s, OUTCOME_NOT_RUN, reason);
}

/* Whether nothing may be sent because the zone is evacuated.  Until then the
   owner of a key serves it while it is handed over.  */
static bool
is_evacuated (const struct target *t, int64_t now_ns)
{
  return t->evacuated_ns != 0
         && now_ns - t->evacuated_ns >= EVACUATION_CLOSE_NS;
}

/* Start S, which is in no list and was admitted by the gate.  */
static void
start_send (struct target *t, struct send *s, int64_t now_ns)
{
  const struct request *r = s->attempt->request;
  enum reason reason;
  int64_t left_ms = (r->deadline_ns - now_ns) / NS_PER_MS;
  if (attempt_is_cancelled (s->attempt))
    {
      end_admitted (t, s, REASON_CALLER_GONE, now_ns);
      return;
    }
  if (left_ms <= 0)
    {
      end_admitted (t, s, REASON_DEADLINE, now_ns);
      return;
    }
  if (is_evacuated (t, now_ns))
    {
      end_admitted (t, s, REASON_ZONE_EVACUATED, now_ns);
      return;
    }
  if (map_begin_request (t->map, r->key, now_ns, &s->owner, &reason)
      != STATUS_OK)
    {
      end_admitted (t, s, reason, now_ns);
      return;
    }
  hot_meter_count (t->meter, r->key);
  s->started_ns = now_ns;
  if (!http_exchange_begin (&s->http, left_ms))
    {
      map_end_request (t->map, &s->owner);
      end_admitted (t, s, REASON_NODE_FULL, now_ns);
      return;
    }
  list_append (&t->active, s);
  curl_multi_add_handle (t->multi, s->http.easy);
}

/* Apply the gate's decision on a request.  WAITED tells whether S is in the
   list of waiting requests.  */
static void
apply_decision (struct target *t, struct send *s, bool waited,
                const struct admit_decision *d, int64_t now_ns)
{
  if (d->verdict == ADMIT_QUEUED)
    {
      s->ticket = d->ticket;
      list_append (&t->waiting, s);
      return;
    }
  if (waited)
    list_remove (&t->waiting, s);
  if (d->verdict == ADMIT_REFUSED)
    {
      end_send (s, OUTCOME_NOT_RUN, d->reason);
      return;
    }
  s->ticket = d->ticket;
  start_send (t, s, now_ns);
}

static struct send *
decision_send (const struct admit_decision *d)
{
  return (struct send *)(uintptr_t)d->user_data;
}

static void
start_waiting (struct target *t, int64_t now_ns)
{
  struct admit_decision d;
  while ((d = gate_next (t->gate, now_ns)).verdict != ADMIT_NOTHING)
    apply_decision (t, decision_send (&d), true, &d, now_ns);
}

/* Remove S from libcurl and from the list of active sends, and report OUTCOME
   to the gate.  */
static void
detach_send (struct target *t, struct send *s, enum admit_outcome outcome)
{
  int64_t now_ns = clock_now_ns ();
  gate_done (t->gate, s->ticket, outcome, now_ns - s->started_ns, now_ns);
  curl_multi_remove_handle (t->multi, s->http.easy);
  http_exchange_end (&s->http);
  list_remove (&t->active, s);
  map_end_request (t->map, &s->owner);
}

static void
set_reachable (struct target *t, bool reachable)
{
  if (t->unreachable == !reachable)
    return;
  t->unreachable = !reachable;
  log_event (reachable ? EV_TARGET_UP : EV_TARGET_DOWN, "target=%s:%u",
             t->settings->target.host, t->settings->target.port);
}

static void
report_answer (struct send *s, long http_status)
{
  struct answer *answer = &s->attempt->answer;
  answer->outcome = s->http.not_run ? OUTCOME_NOT_RUN : OUTCOME_ANSWERED;
  answer->reason = s->http.not_run ? REASON_TARGET_REFUSED : REASON_NONE;
  answer->http_status = (unsigned)http_status;
  memcpy (answer->content_type, s->http.content_type,
          sizeof s->http.content_type);
  answer->body = s->http.body;
  answer->body_length = s->http.body_length;
  s->http.body = NULL;
  s->attempt->send_count = s->http.send_count;
  attempt_complete (s->attempt);
  free_send (s);
}

static void
report_unsent (struct send *s, CURLcode code)
{
  enum reason reason = REASON_TARGET_UNREACHABLE;
  if (s->http.lease_lapsed)
    {
      counter_add (COUNTER_target_fence_refused_total, 1);
      reason = REASON_LEASE_LAPSED;
    }
  else if (code == CURLE_OPERATION_TIMEDOUT)
    reason = REASON_DEADLINE;
  else
    set_reachable (s->target, false);
  end_send (s, OUTCOME_NOT_RUN, reason);
}

/* Whether an event that was logged at *LOGGED_NS is logged again: at most once
   a second.  */
static bool
may_log_again (int64_t *logged_ns)
{
  int64_t now_ns = clock_now_ns ();
  if (*logged_ns != 0 && now_ns - *logged_ns < NS_PER_S)
    return false;
  *logged_ns = now_ns;
  return true;
}

/* Count the response of S, which exceeded its bounds.  */
static void
record_unbounded (const struct send *s)
{
  counter_add (COUNTER_answers_unbounded_total, 1);
  if (may_log_again (&s->target->unbounded_logged_ns))
    log_event (EV_ANSWER_UNBOUNDED,
               "request=%016" PRIx64 " head_bytes=%zu body_bytes=%zu",
               s->attempt->request->id, s->http.head_length,
               s->http.body_length);
}

/* Count the response of S, which was not well-formed.  */
static void
record_malformed (const struct send *s, const char *fault)
{
  counter_add (COUNTER_answers_malformed_total, 1);
  if (may_log_again (&s->target->malformed_logged_ns))
    log_event (EV_ANSWER_MALFORMED, "request=%016" PRIx64 " fault=%s",
               s->attempt->request->id, fault);
}

static void
report_unknown (struct send *s, CURLcode code)
{
  enum reason reason = REASON_TARGET_CLOSED;
  if (s->http.resend_stopped)
    {
      counter_add (COUNTER_target_resends_stopped_total, 1);
      log_event (EV_RESEND_STOPPED, "request=%016" PRIx64,
                 s->attempt->request->id);
    }
  const char *fault = http_exchange_fault (&s->http, code);
  if (fault != NULL)
    record_malformed (s, fault);
  if (s->http.answer_too_large)
    {
      record_unbounded (s);
      reason = REASON_ANSWER_TOO_LARGE;
    }
  else if (code == CURLE_OPERATION_TIMEDOUT)
    reason = REASON_DEADLINE;
  end_send (s, OUTCOME_UNKNOWN, reason);
}

static enum admit_outcome
admission_outcome (const struct send *s, CURLcode code)
{
  if (code == CURLE_OK)
    return s->http.not_run ? ADMIT_SHED : ADMIT_ANSWERED;
  if (s->http.lease_lapsed || s->http.answer_too_large)
    return ADMIT_CANCELLED;
  if (code == CURLE_OPERATION_TIMEDOUT)
    return ADMIT_TIMED_OUT;
  return ADMIT_FAILED;
}

static void
on_done (struct target *t, CURL *easy, CURLcode code)
{
  struct send *s = NULL;
  long http_status = 0;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, (char **)&s);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &http_status);
  code = http_exchange_result (&s->http, code);
  counter_add (COUNTER_target_sends_total, s->http.send_count);
  detach_send (t, s, admission_outcome (s, code));
  if (s->http.send_count == 0)
    {
      report_unsent (s, code);
      return;
    }
  set_reachable (t, true);
  if (code == CURLE_OK)
    report_answer (s, http_status);
  else
    report_unknown (s, code);
}

static void
process_completed (struct target *t)
{
  CURLMsg *message;
  int left;
  while ((message = curl_multi_info_read (t->multi, &left)) != NULL)
    if (message->msg == CURLMSG_DONE)
      on_done (t, message->easy_handle, message->data.result);
}

/* Close the connection of S, which cancels the request at the target.  */
static void
abort_send (struct target *t, struct send *s, enum reason reason)
{
  unsigned send_count = s->http.send_count;
  const struct request *r = s->attempt->request;
  int64_t now_ns = clock_now_ns ();
  counter_add (COUNTER_target_cancelled_total, 1);
  if (reason == REASON_CALLER_GONE)
    log_event (EV_REQUEST_CANCELLED,
               "request=%016" PRIx64
               " arrived_ms=%d started_ms=%d sends=%u idempotent=%d",
               r->id, (int)((now_ns - r->arrived_ns) / NS_PER_MS),
               (int)((now_ns - s->started_ns) / NS_PER_MS), send_count,
               r->idempotent);
  counter_add (COUNTER_target_sends_total, send_count);
  http_exchange_reset (&s->http);
  detach_send (t, s, ADMIT_CANCELLED);
  end_send (s, send_count > 0 ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN, reason);
}

/* Whether S was cancelled and may be aborted: what must not run twice goes on
   once it was sent.  */
static bool
is_to_be_aborted (const struct send *s)
{
  return attempt_is_cancelled (s->attempt)
         && (s->attempt->request->idempotent || s->http.send_count == 0);
}

/* Abort the sends that were cancelled, and all sends when the lease has
   expired.  */
static void
sweep_active (struct target *t, bool cancel_pending, int64_t now_ns)
{
  struct send *next;
  bool expired = map_lease_until (t->map) <= now_ns;
  if (!expired && !cancel_pending)
    return;
  for (struct send *s = t->active.first; s != NULL; s = next)
    {
      next = s->next;
      if (is_to_be_aborted (s))
        abort_send (t, s, REASON_CALLER_GONE);
      else if (expired)
        abort_send (t, s, REASON_LEASE_LAPSED);
    }
}

static void
sweep_waiting (struct target *t)
{
  struct send *next;
  for (struct send *s = t->waiting.first; s != NULL; s = next)
    {
      next = s->next;
      if (!attempt_is_cancelled (s->attempt))
        continue;
      gate_cancel (t->gate, s->ticket);
      list_remove (&t->waiting, s);
      end_send (s, OUTCOME_NOT_RUN, REASON_CALLER_GONE);
    }
}

/* Apply the limits of the configuration in force when it has changed.  */
static void
refresh_conf (struct target *t)
{
  if (t->conf != NULL && conf_revision (t->conf) == confd_revision (t->confd))
    return;
  conf_unref (t->conf);
  t->conf = confd_get (t->confd);
  struct conf_limits limits
      = conf_effective_limits (t->conf, t->settings->service, NULL);
  gate_set_trial_share (t->gate, limits.value[CONF_TRIAL_SHARE], true);
  if (!conf_zone_is_evacuated (t->conf, t->settings->zone))
    t->evacuated_ns = 0;
  else if (t->evacuated_ns == 0)
    t->evacuated_ns = clock_now_ns ();
}

static struct admit_policy
admission_policy (struct target *t, const char *organisation)
{
  struct admit_policy policy = { .kind = ADMIT_PAYING, .weight = 1 };
  if (conf_organisation_kind (t->conf, organisation) == CONF_PAYING)
    return policy;
  struct conf_limits limits
      = conf_effective_limits (t->conf, t->settings->service, organisation);
  policy.kind = ADMIT_TRIAL;
  policy.in_flight_max = limits.value[CONF_TRIAL_IN_FLIGHT];
  return policy;
}

/* Whether a request of ORGANISATION is within its trial rate; paying
   organisations have none.  */
static bool
is_within_rate (struct target *t, const char *organisation, int64_t now_ns)
{
  if (conf_organisation_kind (t->conf, organisation) == CONF_PAYING)
    return true;
  struct conf_limits limits
      = conf_effective_limits (t->conf, t->settings->service, organisation);
  return rated_take (t->rated, organisation, limits.value[CONF_TRIAL_RATE],
                     now_ns)
         == STATUS_OK;
}

static void
admit_attempt (struct target *t, struct attempt *a, int64_t now_ns)
{
  if (is_evacuated (t, now_ns))
    {
      attempt_fail (a, OUTCOME_NOT_RUN, REASON_ZONE_EVACUATED);
      return;
    }
  if (!is_within_rate (t, a->request->organisation, now_ns))
    {
      attempt_fail (a, OUTCOME_NOT_RUN, REASON_TRIAL_RATE);
      return;
    }
  struct send *s = calloc (1, sizeof *s);
  if (s == NULL)
    {
      attempt_fail (a, OUTCOME_NOT_RUN, REASON_NODE_FULL);
      return;
    }
  s->target = t;
  s->attempt = a;
  s->http = (struct http_exchange){
    .settings = t->settings,
    .map = t->map,
    .request = a->request,
    .owner = &s->owner,
    .user = s,
  };
  struct admit_request request = {
    .organisation = a->request->organisation,
    .policy = admission_policy (t, a->request->organisation),
    .depth = a->request->depth,
    .deadline_ns = a->request->deadline_ns,
    .user_data = (uintptr_t)s,
  };
  struct admit_decision d = gate_offer (t->gate, &request, now_ns);
  apply_decision (t, s, false, &d, now_ns);
}

/* Milliseconds until the gate may have a decision without a further
   event.  */
static int
gate_timeout_ms (struct target *t, int64_t now_ns)
{
  int64_t wake_ns = gate_wake_ns (t->gate);
  if (wake_ns == INT64_MAX)
    return IDLE_POLL_MS;
  int64_t left_ms = (wake_ns - now_ns) / NS_PER_MS + 1;
  if (left_ms <= 0)
    return 0;
  return left_ms < IDLE_POLL_MS ? (int)left_ms : IDLE_POLL_MS;
}

static void
wait_events (struct target *t)
{
  struct curl_waitfd extra
      = { .fd = inbox_fd (t->inbox), .events = CURL_WAIT_POLLIN };
  int timeout_ms = gate_timeout_ms (t, clock_now_ns ());
  if (t->active.count > 0 && timeout_ms > BUSY_POLL_MS)
    timeout_ms = BUSY_POLL_MS;
  if (!inbox_arm_wakeup (t->inbox))
    timeout_ms = 0;
  curl_multi_poll (t->multi, &extra, 1, timeout_ms, NULL);
  inbox_clear_wakeup (t->inbox);
}

static void *
target_run (void *arg)
{
  struct target *t = arg;
  int running;
  while (ck_pr_load_32 (&t->stopping) == 0)
    {
      struct attempt *a;
      int64_t now_ns = clock_now_ns ();
      refresh_conf (t);
      bool cancel_pending = ck_pr_fas_32 (&t->cancel_pending, 0) != 0;
      sweep_active (t, cancel_pending, now_ns);
      if (cancel_pending)
        sweep_waiting (t);
      while ((a = inbox_take (t->inbox)) != NULL)
        admit_attempt (t, a, now_ns);
      start_waiting (t, now_ns);
      curl_multi_perform (t->multi, &running);
      process_completed (t);
      now_ns = clock_now_ns ();
      start_waiting (t, now_ns);
      hot_meter_set_busy (t->meter, t->active.count + t->waiting.count,
                          now_ns);
      wait_events (t);
    }
  return NULL;
}

static void
end_all (struct target *t)
{
  struct attempt *a;
  struct send *next;
  for (struct send *s = t->active.first; s != NULL; s = next)
    {
      next = s->next;
      abort_send (t, s, REASON_DRAINING);
    }
  for (struct send *s = t->waiting.first; s != NULL; s = next)
    {
      next = s->next;
      list_remove (&t->waiting, s);
      end_send (s, OUTCOME_NOT_RUN, REASON_DRAINING);
    }
  while ((a = inbox_take (t->inbox)) != NULL)
    attempt_fail (a, OUTCOME_NOT_RUN, REASON_DRAINING);
}

static enum status
target_start (struct service *self)
{
  struct target *t = (struct target *)self;
  if (pthread_create (&t->thread, NULL, target_run, t) != 0)
    return status_set (STATUS_SYSTEM, "cannot create the target thread");
  return STATUS_OK;
}

static void
target_stop (struct service *self)
{
  struct target *t = (struct target *)self;
  ck_pr_store_32 (&t->stopping, 1);
  inbox_wake (t->inbox);
  pthread_join (t->thread, NULL);
  end_all (t);
}

static void
target_free (struct service *self)
{
  struct target *t = (struct target *)self;
  gate_free (t->gate);
  hot_meter_free (t->meter);
  conf_unref (t->conf);
  if (t->multi != NULL)
    curl_multi_cleanup (t->multi);
  inbox_free (t->inbox);
  free (t);
}

static const struct service_ops target_ops = {
  TARGET_SERVICE, target_start, NULL, target_stop, target_free,
};

static struct gate *
new_gate (const struct settings *s)
{
  struct gate_config config;
  gate_config_defaults (&config, s->target_slots);
  return gate_new (&config, clock_now_ns ());
}

struct service *
target_new (struct kernel *k, const struct settings *s, struct map *m)
{
  struct target *t = calloc (1, sizeof *t);
  if (t == NULL)
    return NULL;
  t->service.ops = &target_ops;
  t->settings = s;
  t->map = m;
  t->confd = kernel_find (k, CONFD_SERVICE);
  t->rated = kernel_find (k, RATED_SERVICE);
  t->inbox = inbox_new (
      inbox_capacity_for (s->requests_max * INBOX_ITEMS_PER_REQUEST));
  t->gate = new_gate (s);
  t->meter = hot_meter_new (s->target_slots);
  t->multi = curl_multi_init ();
  if (t->inbox == NULL || t->multi == NULL || t->gate == NULL
      || t->meter == NULL)
    {
      target_free (&t->service);
      return NULL;
    }
  curl_multi_setopt (t->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                     (long)s->target_connections);
  curl_multi_setopt (t->multi, CURLMOPT_MAXCONNECTS,
                     (long)s->target_connections);
  return &t->service;
}

enum status
target_submit (struct service *target, struct attempt *a)
{
  return inbox_put (((struct target *)target)->inbox, a);
}

void
target_check_cancels (struct service *target)
{
  struct target *t = (struct target *)target;
  ck_pr_store_32 (&t->cancel_pending, 1);
  inbox_wake (t->inbox);
}

struct hot_meter *
target_meter (struct service *target)
{
  return ((struct target *)target)->meter;
}
