#include "mesh/egress.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/duration.h"
#include "base/log.h"
#include "http/client.h"
#include "http/poll_clock.h"
#include "limit/lineup.h"
#include "mesh/crashes.h"
#include "mesh/health_probe.h"
#include "settings/address.h"
#include <inttypes.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Connections for grants and releases.  */
#define CONTROL_CONNECTIONS 8
/* Bound of the bodies of responses to them.  */
#define CONTROL_BODY_BYTES (64 * 1024)
/* Connections beyond one for each slot, for health probes and for requests
   while others are being closed.  */
#define SPARE_CONNECTIONS 8
/* Weight of a new attempt in the moving average of failures, which covers
   about ten attempts.  */
#define FAILURE_EWMA_WEIGHT 0.1
/* Half-life of the failure rate while nothing is sent, so that a target which
   failed before is tried again.  */
#define FAILURE_HALF_LIFE_NS (2 * NS_PER_S)
/* Shortest time to the deadline at which a request is still sent.  */
#define SEND_TIME_LEFT_MIN_MS 2
/* Retry-after for a request that the target shed because it is full or
   failing.  */
#define SHED_RETRY_AFTER_NS (200 * NS_PER_MS)
/* Retry-after while the target starts or leaves: another target may take over
   in about that time.  */
#define CLOSED_RETRY_AFTER_NS (300 * NS_PER_MS)
/* Retry-after for a request that must not run beside another one: about the
   time that one takes.  */
#define SUSPECT_RETRY_AFTER_NS (300 * NS_PER_MS)
/* A target that has not responded to anything for this long, while requests
   run there, is probed.  */
#define SILENCE_NS (2 * NS_PER_S)
/* Interval of the log lines about a stated load that cannot be read.  */
#define LOAD_BAD_INTERVAL_NS (10 * NS_PER_S)
/* Interval of the log lines that tell how a target's limit is used.  */
#define USAGE_INTERVAL_NS (1 * NS_PER_S)
/* Interval of the log lines on responses that exceed their bounds.  */
#define UNBOUNDED_INTERVAL_NS (1 * NS_PER_S)

/* Waiting requests start only after all input was read that may have waited
   for this long.  */
#define UNREAD_MAX_NS (50 * NS_PER_MS)

/* Requests that the target refused and that may come again, as hashes of their
   ids; a newer one takes the place of an older one.  */
#define REFUSED_IDS 4096

struct egress
{
  uv_loop_t *loop;
  const struct dialect *dialect;
  struct egress_hooks hooks;
  struct http_client *client;
  struct http_client *control_client;
  struct lineup *lineup;
  struct target_view view;
  uv_timer_t queue_timer;
  struct poll_clock poll_clock;
  struct after_poll queue_run; /* run_queue_now */
  uv_idle_t refusal_idle;      /* active while REFUSED_JOBS is not empty */
  GQueue refused_jobs;         /* jobs whose refusal is not yet reported */
  double failure_rate;
  int64_t failure_rate_ns; /* when FAILURE_RATE was updated */
  int64_t shutdown_ns;     /* when this node stops; INT64_MAX: not known */
  struct stated_terms stated;
  int64_t usage_from_ns; /* the requests below were sent since then */
  uint32_t usage_sent;
  uint32_t usage_from_peers;
  uint32_t job_count;
  bool cold_needs_policy; /* a cold target gets nothing before its rate is
                             known */
  bool has_policy;
  int64_t unbounded_logged_ns; /* 0: never */
  bool was_cold;               /* as last told by the hook */
  bool reads_load;             /* the load that the target states is used */
  struct health_probe *probe;
  int64_t heard_ns; /* when the target last responded, or got a request while
                       none ran */
  egress_reopened *reopened; /* NULL: no reopening is awaited */
  void *reopened_arg;
  uv_timer_t reopen_timer; /* without a probe */
  uint32_t alone_count;    /* running jobs with ALONE, all of this content: */
  uint64_t alone_content;
  int64_t load_bad_ns;   /* of the last line about an unreadable load */
  uint64_t *refused_ids; /* hashes, REFUSED_IDS places */
};

struct egress_job
{
  struct egress *egress;
  struct attempt_request request;
  attempt_done *done; /* NULL: the job was abandoned */
  void *arg;
  lineup_id queue_id;
  struct http_call *call;
  bool alone; /* runs beside no other suspect */
  int64_t sent_ns;
  struct attempt_result refusal;
  GList refused_link;
};

static void run_queue (struct egress *g);

static void
job_free (struct egress_job *job)
{
  job->egress->job_count--;
  attempt_request_clear (&job->request);
  g_free (job);
}

static void
finish_job (struct egress_job *job, const struct attempt_result *result)
{
  if (job->done != NULL)
    job->done (job->arg, result);
  job_free (job);
}

/* The terms of the target that callers' nodes have to know.  */
static struct target_terms
current_terms (const struct egress *g)
{
  struct target_terms terms = g->stated.terms;
  if (g->view.phase == TARGET_LEAVING)
    terms.known = terms.leaving = true;
  if (terms.limited || terms.leaving)
    {
      g_strlcpy (terms.target_id, g->view.id, sizeof terms.target_id);
      terms.started_ms = g->view.started_ms;
    }
  return terms;
}

static void
on_refusal_idle (uv_idle_t *idle)
{
  struct egress *g = idle->data;
  GList *link;
  while ((link = g_queue_pop_head_link (&g->refused_jobs)) != NULL)
    {
      struct egress_job *job = link->data;
      struct attempt_result result = job->refusal;
      result.terms = current_terms (g);
      finish_job (job, &result);
    }
  if (g_queue_is_empty (&g->refused_jobs))
    uv_idle_stop (idle);
}

static void
refuse_later (struct egress_job *job, enum reason reason,
              int64_t retry_after_ns)
{
  struct egress *g = job->egress;
  job->queue_id = LINEUP_NONE;
  job->refusal = attempt_not_run (reason, retry_after_ns);
  job->refused_link.data = job;
  g_queue_push_tail_link (&g->refused_jobs, &job->refused_link);
  uv_idle_start (&g->refusal_idle, on_refusal_idle);
}

/* Answers of the target.  */

static bool
belongs_to_job (void *arg, const struct headers *headers)
{
  const struct egress_job *job = arg;
  const struct dialect *d = job->egress->dialect;
  const char *id = headers_find (headers, d->headers[HEADER_REQUEST_ID]);
  return id == NULL || strcmp (id, job->request.id) == 0;
}

static bool
has_request_id (void *arg, const struct headers *headers)
{
  const struct egress_job *job = arg;
  const struct dialect *d = job->egress->dialect;
  return headers_find (headers, d->headers[HEADER_REQUEST_ID]) != NULL;
}

/* Where the hash of the id of JOB is remembered once the target refused it. */
static uint64_t *
refused_id (const struct egress_job *job, uint64_t *hash)
{
  const char *id = job->request.id;
  *hash = XXH64 (id, strlen (id), 0);
  return &job->egress->refused_ids[*hash % REFUSED_IDS];
}

static bool
was_refused (const struct egress_job *job)
{
  uint64_t hash;
  return *refused_id (job, &hash) == hash;
}

static void
remember_refused (const struct egress_job *job)
{
  uint64_t hash;
  uint64_t *place = refused_id (job, &hash);
  *place = hash;
}

static bool
keep_answer_field (const char *name, const void *arg)
{
  const struct dialect *d = arg;
  (void)d;
  return strcasecmp (name, "Date") != 0 && strcasecmp (name, "Server") != 0;
}

static bool
is_not_run (const struct egress *g, const struct http_response *response)
{
  return response->status == 421
         || headers_find (response->headers,
                          g->dialect->headers[HEADER_NOT_RUN])
                != NULL;
}

/* Whether the answer is the target's own, complete, and for this job.  */
static bool
is_genuine (const struct egress_job *job, const struct http_response *response)
{
  const struct dialect *d = job->egress->dialect;
  const struct headers *h = response->headers;
  return headers_find (h, d->headers[HEADER_SIGNATURE]) != NULL
         && headers_find (h, d->headers[HEADER_REQUEST_ID]) != NULL
         && headers_find (h, "Content-Encoding") == NULL;
}

/* Terms of the target.  */

static void
apply_limit (struct egress *g, int64_t since_ns, int64_t now_ns)
{
  const struct target_terms *t = &g->stated.terms;
  if (t->limited)
    lineup_set_limit (g->lineup, t->rate_max, since_ns, now_ns);
  else
    lineup_clear_limit (g->lineup);
}

static void
log_terms (const struct egress_job *job, const struct target_terms *before)
{
  const struct egress *g = job->egress;
  const struct target_terms *t = &g->stated.terms;
  if (t->limited == before->limited && t->rate_max == before->rate_max
      && t->leaving == before->leaving)
    return;
  log_event (EV_TERMS_CHANGED,
             "request=%s target=%s limited=%d limit=%.3f leaving=%d "
             "limited_before=%d limit_before=%.3f leaving_before=%d "
             "running=%u waiting=%u",
             job->request.id, g->view.id, t->limited, t->rate_max, t->leaving,
             before->limited, before->rate_max, before->leaving,
             lineup_running (g->lineup), lineup_waiting (g->lineup));
}

/* Take the terms from the answer to JOB, which has HEADERS.  */
static void
learn_terms (struct egress_job *job, const struct headers *headers,
             int64_t now_ns)
{
  struct egress *g = job->egress;
  struct target_terms before = g->stated.terms;
  struct target_terms terms = { .known = true };
  int64_t since_ns;
  /* An answer without an id may be one to another request.  */
  if (headers_find (headers, g->dialect->headers[HEADER_REQUEST_ID]) == NULL)
    return;
  if (g->dialect->parse_terms (headers, &terms) != STATUS_OK)
    {
      counter_add (COUNTER_target_terms_bad_total, 1);
      log_event (EV_TERMS_BAD, "request=%s target=%s cause=\"%s\"",
                 job->request.id, g->view.id, status_message ());
      return;
    }
  if (!stated_terms_learn (&g->stated, &terms, job->sent_ns, now_ns,
                           &since_ns))
    return;
  log_terms (job, &before);
  apply_limit (g, since_ns, now_ns);
  if (terms.leaving && !before.leaving)
    g->hooks.target_leaves (g->hooks.arg);
}

/* The load that the target states.  */

static void
log_load_problem (struct egress *g)
{
  struct stated_load *s = lineup_stated_load (g->lineup);
  enum stated_load_problem problem = stated_load_take_problem (s);
  if (problem != STATED_LOAD_FINE)
    log_event (EV_STATED_LOAD_IGNORED, "target=%s pace=%.1f cause=\"%s\"",
               g->view.id, s->last.pace_pct,
               problem == STATED_LOAD_OUT_OF_RANGE
                   ? "pace out of range"
                   : "measured service times differ");
}

/* The pace that is used; 0: none.  */
static uint32_t
stated_pace_pct (const struct egress *g)
{
  return (uint32_t)lround (stated_load_pace (lineup_stated_load (g->lineup))
                           * 100);
}

/* The slots of the target: as it states them, or as it last reported.  */
static void
update_slots (struct egress *g, int64_t now_ns)
{
  uint32_t stated = stated_load_slots (lineup_stated_load (g->lineup), now_ns);
  lineup_set_slots (g->lineup, stated > 0 ? stated : g->view.slots);
}

/* Take the load from the answer to REQUEST, which has HEADERS.  */
static void
learn_load (struct egress *g, const struct headers *headers,
            const char *request, int64_t now_ns)
{
  struct load_figures figures;
  enum status s = STATUS_NOT_FOUND;
  if (g->reads_load)
    s = g->dialect->parse_load (headers, &figures);
  if (s == STATUS_NOT_FOUND)
    return;
  if (s == STATUS_OK)
    {
      lineup_learn_load (g->lineup, &figures, now_ns);
      update_slots (g, now_ns);
      log_load_problem (g);
      return;
    }
  counter_add (COUNTER_stated_load_bad_total, 1);
  if (now_ns - g->load_bad_ns < LOAD_BAD_INTERVAL_NS && g->load_bad_ns != 0)
    return;
  g->load_bad_ns = now_ns;
  log_event (EV_STATED_LOAD_IGNORED, "request=%s target=%s cause=\"%s\"",
             request, g->view.id, status_message ());
}

/* Cold targets.  */

static bool
is_cold (const struct egress *g, int64_t now_ns)
{
  return lineup_cold (g->lineup)->until_ns > now_ns;
}

/* Whether the target may be cold and its rate is not known yet.  The node has
   just started: requests of other nodes may come before the configuration.  */
static bool
waits_for_policy (const struct egress *g, int64_t now_ns)
{
  return g->cold_needs_policy && !g->has_policy && is_cold (g, now_ns);
}

/* Report that the target became cold or warm.  */
static void
notice_cold (struct egress *g, int64_t now_ns)
{
  const struct cold *c = lineup_cold (g->lineup);
  bool cold = c->rate_max > 0 && is_cold (g, now_ns);
  if (cold == g->was_cold)
    return;
  g->was_cold = cold;
  if (cold)
    log_event (EV_TARGET_COLD, "target=%s left_ms=%d rate=%.3f source=%s",
               g->view.id, (int)((c->until_ns - now_ns) / NS_PER_MS),
               c->rate_max, cold_source_name (c->source));
  else
    log_event (EV_TARGET_WARM, "target=%s running=%u waiting=%u", g->view.id,
               lineup_running (g->lineup), lineup_waiting (g->lineup));
  g->hooks.cold_changed (g->hooks.arg, cold);
}

static void
learn_cold (struct egress *g, enum cold_source source, int64_t until_ns,
            int64_t now_ns)
{
  cold_learn (lineup_cold (g->lineup), source, until_ns, now_ns);
  notice_cold (g, now_ns);
}

/* The target may have started again: it counts as cold until a health probe
   tells more.  */
static void
assume_cold (struct egress *g, int64_t now_ns)
{
  const struct cold *c = lineup_cold (g->lineup);
  learn_cold (g, COLD_ASSUMED, now_ns + c->warmup_ns, now_ns);
}

static void
finish_reopening (struct egress *g, bool cold)
{
  egress_reopened *done = g->reopened;
  g->reopened = NULL;
  if (done != NULL)
    done (g->reopened_arg, cold);
}

static void
on_probe_result (void *arg, const struct health_result *r)
{
  struct egress *g = arg;
  int64_t now_ns = clock_now_ns ();
  if (r->responded)
    {
      learn_cold (g, COLD_PROBED, now_ns + r->warmup_remaining_ms * NS_PER_MS,
                  now_ns);
      learn_load (g, r->headers, "health", now_ns);
      g->heard_ns = now_ns;
      if (g->view.phase == TARGET_DOWN && r->healthy)
        {
          /* It has been probed, and is not to be probed again.  */
          g->view.phase = TARGET_SERVING;
          g->hooks.target_responds (g->hooks.arg, r->warmup_remaining_ms);
        }
    }
  else if (r->cause >= HEALTH_RECOVERED)
    assume_cold (g, now_ns);
  if (r->cause == HEALTH_REOPENING)
    finish_reopening (g, is_cold (g, now_ns));
  run_queue (g);
}

/* Send the probes that are due.  */
static void
probe_target (struct egress *g, int64_t now_ns)
{
  bool silent
      = lineup_running (g->lineup) > 0 && now_ns - g->heard_ns >= SILENCE_NS;
  if (health_probe_is_pending (g->probe))
    return;
  if (g->view.phase == TARGET_DOWN)
    health_probe_start (g->probe, HEALTH_DOWN, now_ns);
  else if (g->view.phase == TARGET_SERVING && silent)
    health_probe_start (g->probe, HEALTH_SILENT, now_ns);
}

/* Count the request that is sent at NOW_NS, and log once a second how many
   were sent to a target that limits them.  */
static void
record_usage (struct egress *g, const struct attempt_request *r,
              int64_t now_ns)
{
  if (now_ns - g->usage_from_ns >= USAGE_INTERVAL_NS)
    {
      if (g->stated.terms.limited && g->usage_sent > 0)
        log_event (EV_LIMIT_USED,
                   "target=%s limit=%.3f sent=%u from_peers=%u in_ms=%d "
                   "waiting=%u",
                   g->view.id, g->stated.terms.rate_max, g->usage_sent,
                   g->usage_from_peers,
                   (int)((now_ns - g->usage_from_ns) / NS_PER_MS),
                   lineup_waiting (g->lineup));
      g->usage_from_ns = now_ns;
      g->usage_sent = 0;
      g->usage_from_peers = 0;
    }
  g->usage_sent++;
  g->usage_from_peers += r->from_peer;
  if (g->stated.terms.limited)
    counter_add (COUNTER_target_limited_sends_total, 1);
  if (lineup_cold (g->lineup)->phase == COLD_COLD)
    counter_add (COUNTER_target_cold_sends_total, 1);
}

static struct attempt_result
shed_result (struct egress_job *job, const struct http_response *response)
{
  struct egress *g = job->egress;
  struct attempt_result result
      = attempt_not_run (REASON_TARGET_REFUSED, SHED_RETRY_AFTER_NS);
  remember_refused (job);
  result.reached_target = true;
  result.target_failed = true;
  if (response->status == 421 && job->request.key != ATTEMPT_NO_KEY)
    {
      result.reason = REASON_NOT_OWNER;
      g->hooks.key_refused (g->hooks.arg, job->request.key);
    }
  return result;
}

static struct attempt_result
answer_result (struct egress_job *job, const struct http_response *response,
               GString *head, int64_t service_ns)
{
  struct egress *g = job->egress;
  if (is_not_run (g, response))
    return shed_result (job, response);
  if (!is_genuine (job, response))
    return attempt_unknown (REASON_TARGET_CLOSED);
  headers_copy (response->headers, head, keep_answer_field, g->dialect);
  return (struct attempt_result){
    .outcome = OUTCOME_ANSWERED,
    .reached_target = true,
    .target_failed = response->status >= 500,
    .status = response->status,
    .head = head->str,
    .head_length = head->len,
    .body = response->body,
    .body_length = response->body_length,
    .service_time_ns = service_ns,
  };
}

static struct attempt_result
failure_result (struct egress *g, const struct http_response *response)
{
  if (response->result == HTTP_TIMED_OUT)
    return attempt_unknown (REASON_DEADLINE);
  if (response->unbounded)
    return attempt_unknown (REASON_ANSWER_TOO_LARGE);
  if (response->result == HTTP_FAILED)
    return attempt_unknown (REASON_TARGET_CLOSED);
  if (strcmp (response->cause, "refused") == 0)
    g->hooks.connection_refused (g->hooks.arg);
  return attempt_not_run (REASON_TARGET_UNREACHABLE, CLOSED_RETRY_AFTER_NS);
}

/* The failure rate, decayed to NOW_NS.  */
static double
failure_rate_at (const struct egress *g, int64_t now_ns)
{
  double half_lives
      = (double)(now_ns - g->failure_rate_ns) / (double)FAILURE_HALF_LIFE_NS;
  return g->failure_rate * exp2 (-half_lives);
}

static void
record_outcome (struct egress *g, bool failed)
{
  g->failure_rate_ns = clock_now_ns ();
  g->failure_rate
      += ((failed ? 1.0 : 0.0) - g->failure_rate) * FAILURE_EWMA_WEIGHT;
}

static void
log_failure (const struct egress_job *job, const struct attempt_result *r,
             int64_t service_ns)
{
  if (r->outcome == OUTCOME_ANSWERED && !r->target_failed)
    return;
  counter_add (COUNTER_target_failures_total, 1);
  counter_add (COUNTER_target_failed_ms_total,
               (uint64_t)(MAX (service_ns, 0) / NS_PER_MS));
  log_event (EV_TARGET_FAILED,
             "request=%s outcome=%s reason=%s status=%d after_ms=%d "
             "target=%s running=%u content=%016" PRIx64,
             job->request.id, outcome_word (r->outcome),
             reason_word (r->reason), r->status, (int)(service_ns / NS_PER_MS),
             job->egress->view.id, lineup_running (job->egress->lineup),
             job->request.content);
}

/* The call of JOB has ended.  COMPLETED: SERVICE_NS measures the target's
   service time.  */
static void
end_call (struct egress_job *job, bool completed, int64_t service_ns)
{
  struct egress *g = job->egress;
  job->call = NULL;
  g->alone_count -= job->alone;
  if (job->request.key != ATTEMPT_NO_KEY)
    g->hooks.key_request_ended (g->hooks.arg, job->request.key);
  lineup_done (g->lineup, job->queue_id, completed, service_ns);
  log_load_problem (g);
}

static void
on_response (void *arg, const struct http_response *response)
{
  struct egress_job *job = arg;
  struct egress *g = job->egress;
  GString *head = g_string_new (NULL);
  int64_t now_ns = clock_now_ns ();
  int64_t service_ns = now_ns - job->sent_ns;
  struct attempt_result result;
  if (response->result == HTTP_COMPLETED)
    {
      learn_terms (job, response->headers, now_ns);
      learn_load (g, response->headers, job->request.id, now_ns);
      g->heard_ns = now_ns;
      result = answer_result (job, response, head, service_ns);
    }
  else
    result = failure_result (g, response);
  if (result.outcome == OUTCOME_ANSWERED)
    crashes_request_answered (g->hooks.crashes, job->request.content,
                              job->sent_ns);
  else if (response->result == HTTP_FAILED && !response->unbounded)
    crashes_request_broken (g->hooks.crashes, &job->request, now_ns);
  /* A request that ended at its deadline took at least that long.  */
  bool completed = (result.outcome == OUTCOME_ANSWERED
                    && (!result.target_failed || result.status == 504))
                   || response->result == HTTP_TIMED_OUT;
  end_call (job, completed, service_ns);
  record_outcome (g,
                  result.target_failed || result.outcome != OUTCOME_ANSWERED);
  result.terms = current_terms (g);
  result.pace_pct = stated_pace_pct (g);
  log_failure (job, &result, service_ns);
  finish_job (job, &result);
  g_string_free (head, TRUE);
  run_queue (g);
}

/* Sending.  */

static void
append_field (GString *out, const char *name, const char *value)
{
  g_string_append_printf (out, "%s: %s\r\n", name, value);
}

static bool
method_has_body (const GString *head)
{
  return g_str_has_prefix (head->str, "POST ")
         || g_str_has_prefix (head->str, "PUT ")
         || g_str_has_prefix (head->str, "PATCH ");
}

static GString *
write_message (const struct egress_job *job, int64_t left_ms)
{
  const struct egress *g = job->egress;
  const struct attempt_request *r = &job->request;
  GString *out = g_string_sized_new (r->head->len + r->body->len + 200);
  g_string_append_len (out, r->head->str, (gssize)r->head->len);
  g_string_append_printf (
      out, "%s: %d\r\n", g->dialect->headers[HEADER_TIMEOUT_MS], (int)left_ms);
  append_field (out, g->dialect->headers[HEADER_TARGET_ID], g->view.id);
  if (r->body->len > 0 || method_has_body (r->head))
    g_string_append_printf (out, "Content-Length: %zu\r\n", r->body->len);
  g_string_append (out, "\r\n");
  g_string_append_len (out, r->body->str, (gssize)r->body->len);
  return out;
}

/* Why the zone's phase forbids to send REQUEST now, or REASON_NONE.  While the
   zone closes, requests with a key run as long as the key is on this node.  */
static enum reason
check_zone (struct egress *g, const struct attempt_request *request,
            bool is_new, int64_t now_ns)
{
  enum evacuations_phase phase = g->hooks.zone_phase (g->hooks.arg, now_ns);
  if (phase == EVACUATIONS_OPEN
      || (phase == EVACUATIONS_CLOSING
          && (!is_new || request->key != ATTEMPT_NO_KEY)))
    return REASON_NONE;
  counter_add (COUNTER_evacuated_refusals_total, 1);
  return REASON_ZONE_EVACUATED;
}

/* Why JOB is kept from the target because targets ended under its content, or
   REASON_NONE.  *RETRY_AFTER_NS is set with a reason.  */
static enum reason
check_content (struct egress_job *job, int64_t now_ns, int64_t *retry_after_ns)
{
  struct egress *g = job->egress;
  enum quarantine_verdict v = crashes_check (
      g->hooks.crashes, job->request.content, now_ns, retry_after_ns);
  if (v == QUARANTINE_REFUSED)
    {
      counter_add (COUNTER_quarantine_refusals_total, 1);
      return REASON_QUARANTINED;
    }
  if (v == QUARANTINE_ALONE && g->alone_count > 0
      && g->alone_content != job->request.content)
    {
      *retry_after_ns = SUSPECT_RETRY_AFTER_NS;
      return REASON_SUSPECT_WAITS;
    }
  job->alone = v == QUARANTINE_ALONE;
  return REASON_NONE;
}

static void
start_job (struct egress_job *job, int64_t now_ns)
{
  struct egress *g = job->egress;
  struct attempt_request *r = &job->request;
  int64_t left_ms = (r->deadline_ns - now_ns) / NS_PER_MS;
  int64_t retry_after_ns = CLOSED_RETRY_AFTER_NS;
  enum reason refusal_reason = REASON_NONE;
  if (g->view.phase != TARGET_SERVING)
    refusal_reason = REASON_TARGET_DOWN;
  else if (waits_for_policy (g, now_ns))
    refusal_reason = REASON_TARGET_LIMIT;
  else if (left_ms < SEND_TIME_LEFT_MIN_MS)
    refusal_reason = REASON_DEADLINE;
  else if (r->key != ATTEMPT_NO_KEY)
    refusal_reason = g->hooks.check_key (g->hooks.arg, r->key, now_ns);
  if (refusal_reason == REASON_NONE)
    refusal_reason = check_zone (g, r, false, now_ns);
  if (refusal_reason == REASON_NONE)
    refusal_reason = check_content (job, now_ns, &retry_after_ns);
  if (refusal_reason != REASON_NONE)
    {
      lineup_done (g->lineup, job->queue_id, false, 0);
      refuse_later (job, refusal_reason, retry_after_ns);
      return;
    }
  struct http_call_options options = {
    .done = on_response,
    .matches = belongs_to_job,
    .identifies = has_request_id,
    .arg = job,
    .timeout_ms = (uint32_t)left_ms + ATTEMPT_ANSWER_SLACK_MS,
    .head_only = g_str_has_prefix (r->head->str, "HEAD "),
    .fresh = was_refused (job),
  };
  job->sent_ns = now_ns;
  if (job->alone)
    {
      g->alone_count++;
      g->alone_content = job->request.content;
    }
  if (lineup_running (g->lineup) == 1)
    g->heard_ns = now_ns;
  counter_add (COUNTER_target_sends_total, 1);
  record_usage (g, r, now_ns);
  if (r->key != ATTEMPT_NO_KEY)
    g->hooks.key_request_started (g->hooks.arg, r->key);
  GString *message = write_message (job, left_ms);
  /* The message is the only copy from here on.  */
  g_string_free (r->body, TRUE);
  r->body = g_string_new (NULL);
  job->call = http_call (g->client, message, &options);
}

static void
on_queue_timer (uv_timer_t *timer)
{
  run_queue (timer->data);
}

static void
arm_queue_timer (struct egress *g, int64_t now_ns)
{
  int64_t at_ns = lineup_wake_ns (g->lineup, now_ns);
  if (at_ns == INT64_MAX)
    {
      uv_timer_stop (&g->queue_timer);
      return;
    }
  int64_t wait_ms = (at_ns - now_ns) / NS_PER_MS + 1;
  uv_timer_start (&g->queue_timer, on_queue_timer,
                  wait_ms > 0 ? (uint64_t)wait_ms : 0, 0);
}

static void
run_queue_now (void *arg)
{
  struct egress *g = arg;
  int64_t now_ns = clock_now_ns ();
  struct lineup_decision d;
  while ((d = lineup_next (g->lineup, now_ns)).verdict != LINEUP_NOTHING)
    {
      struct egress_job *job = d.user_data;
      if (d.verdict == LINEUP_START)
        start_job (job, now_ns);
      else
        refuse_later (job, d.reason, d.retry_after_ns);
    }
  arm_queue_timer (g, now_ns);
}

/* Start what can be started.  If the loop was behind, the cancels of waiting
   requests may be unread: they are read first.  */
static void
run_queue (struct egress *g)
{
  if (poll_clock_unread_ns (&g->poll_clock, clock_now_ns ()) < UNREAD_MAX_NS)
    {
      run_queue_now (g);
      return;
    }
  after_poll_schedule (&g->queue_run);
}

static void
on_unbounded (void *arg, const char *cause, size_t bytes)
{
  struct egress *g = arg;
  int64_t now_ns = clock_now_ns ();
  counter_add (COUNTER_answers_unbounded_total, 1);
  if (g->unbounded_logged_ns != 0
      && now_ns - g->unbounded_logged_ns < UNBOUNDED_INTERVAL_NS)
    return;
  g->unbounded_logged_ns = now_ns;
  log_event (EV_ANSWER_UNBOUNDED, "target=%s bound=%s bytes=%zu running=%u",
             g->view.id, cause, bytes, lineup_running (g->lineup));
}

static void
on_malformed (void *arg, const char *fault)
{
  struct egress *g = arg;
  counter_add (COUNTER_answers_malformed_total, 1);
  log_event (EV_ANSWER_MALFORMED, "target=%s fault=%s running=%u", g->view.id,
             fault, lineup_running (g->lineup));
}

struct egress *
egress_open (uv_loop_t *loop, const struct dialect *dialect,
             const struct settings *settings, const struct egress_hooks *hooks)
{
  struct egress *g = g_new0 (struct egress, 1);
  g->loop = loop;
  g->dialect = dialect;
  g->hooks = *hooks;
  g->shutdown_ns = INT64_MAX;
  g->refused_ids = g_new0 (uint64_t, REFUSED_IDS);
  g->client = http_client_new (loop, &settings->target,
                               settings->target_slots + SPARE_CONNECTIONS);
  http_client_on_unbounded (g->client, on_unbounded, g);
  http_client_on_malformed (g->client, on_malformed, g);
  g->control_client
      = http_client_new (loop, &settings->target, CONTROL_CONNECTIONS);
  http_client_set_body_max (g->control_client, CONTROL_BODY_BYTES);
  http_client_on_malformed (g->control_client, on_malformed, g);
  g->lineup = lineup_new (settings->target_slots);
  g->cold_needs_policy = settings->cold_needs_policy;
  g->reads_load = settings->target_states_load;
  struct health_probe_deps probe_deps
      = { loop, dialect, g->client, on_probe_result, g };
  g->probe = health_probe_new (&probe_deps);
  uv_timer_init (loop, &g->reopen_timer);
  g->reopen_timer.data = g;
  cold_assume_used (lineup_cold (g->lineup), clock_now_ns ());
  g_queue_init (&g->refused_jobs);
  uv_timer_init (loop, &g->queue_timer);
  uv_idle_init (loop, &g->refusal_idle);
  after_poll_init (&g->queue_run, loop, run_queue_now, g);
  poll_clock_init (&g->poll_clock, loop);
  g->queue_timer.data = g;
  g->refusal_idle.data = g;
  return g;
}

void
egress_update_target (struct egress *g, const struct target_view *view,
                      bool restarted)
{
  struct egress_job *job;
  int64_t now_ns = clock_now_ns ();
  bool is_report = view->warmup_until_ns != g->view.warmup_until_ns;
  bool recovered = g->view.phase == TARGET_DOWN
                   && view->phase == TARGET_SERVING && !restarted;
  g->view = *view;
  health_probe_set_target (g->probe, view->id);
  if (restarted)
    {
      http_client_reset (g->client, "restarted");
      http_client_reset (g->control_client, "restarted");
      g->failure_rate = 0;
      stated_terms_reset (&g->stated, now_ns);
      lineup_clear_limit (g->lineup);
      cold_reset (lineup_cold (g->lineup));
      stated_load_reset (lineup_stated_load (g->lineup));
    }
  update_slots (g, now_ns);
  if (is_report)
    learn_cold (g, COLD_REPORTED, view->warmup_until_ns, now_ns);
  /* The report may be older than a restart under the same id.  */
  if (recovered && health_probe_is_enabled (g->probe))
    {
      assume_cold (g, now_ns);
      health_probe_start (g->probe, HEALTH_RECOVERED, now_ns);
    }
  if (view->phase != TARGET_SERVING)
    while ((job = lineup_pop_waiting (g->lineup)) != NULL)
      refuse_later (job, REASON_DRAINING, CLOSED_RETRY_AFTER_NS);
  run_queue (g);
}

void
egress_set_policy (struct egress *g, const struct service_policy *policy,
                   int64_t now_ns)
{
  g->has_policy = true;
  cold_set_policy (lineup_cold (g->lineup), policy->warmup_rate_max,
                   policy->warmup_ms * NS_PER_MS, now_ns);
  health_probe_set_path (
      g->probe, policy->warmup_rate_max > 0 ? policy->health_path : NULL);
  notice_cold (g, now_ns);
}

static void
on_reopen_timer (uv_timer_t *timer)
{
  finish_reopening (timer->data, false);
}

void
egress_reopen (struct egress *g, egress_reopened *done, void *arg,
               int64_t now_ns)
{
  g->reopened = done;
  g->reopened_arg = arg;
  if (!health_probe_is_enabled (g->probe))
    {
      uv_timer_start (&g->reopen_timer, on_reopen_timer, 0, 0);
      return;
    }
  assume_cold (g, now_ns);
  health_probe_start (g->probe, HEALTH_REOPENING, now_ns);
}

void
egress_tick (struct egress *g, int64_t now_ns)
{
  notice_cold (g, now_ns);
  probe_target (g, now_ns);
  /* A rising limit starts waiting requests earlier than the queue's timer
     expects.  */
  if (lineup_cold (g->lineup)->phase != COLD_WARM)
    run_queue (g);
}

void
egress_adopt_terms (struct egress *g, const struct target_terms *terms,
                    int64_t now_ns)
{
  if (!stated_terms_adopt (&g->stated, terms, now_ns))
    return;
  apply_limit (g, now_ns, now_ns);
  log_event (EV_TERMS_ADOPTED,
             "target=%s limited=%d limit=%.3f leaving=%d phase=%d",
             terms->target_id, terms->limited, terms->rate_max, terms->leaving,
             g->view.phase);
}

static struct lineup_request
queue_request (const struct attempt_request *r)
{
  return (struct lineup_request){
    .route_hash = r->route_hash,
    .priority = r->priority,
    .soft_deadline_ns = r->soft_deadline_ns,
    .deadline_ns = r->deadline_ns,
    .admitted = r->admitted,
  };
}

/* Why the target takes no request like R now, whatever its queue.  */
static enum reason
closed_reason (struct egress *g, const struct attempt_request *r,
               int64_t now_ns)
{
  enum reason reason = REASON_NONE;
  if (g->view.phase != TARGET_SERVING)
    return g->view.phase == TARGET_LEAVING ? REASON_DRAINING
                                           : REASON_TARGET_DOWN;
  if (waits_for_policy (g, now_ns))
    return REASON_TARGET_LIMIT;
  if (r->key != ATTEMPT_NO_KEY)
    reason = g->hooks.check_key (g->hooks.arg, r->key, now_ns);
  return reason == REASON_NONE ? check_zone (g, r, true, now_ns) : reason;
}

bool
egress_check (struct egress *g, const struct attempt_request *request,
              const struct lineup_arrival *arrival, int64_t now_ns,
              struct attempt_result *refusal)
{
  struct lineup_request r = queue_request (request);
  enum reason closed = closed_reason (g, request, now_ns);
  struct lineup_decision d = { .verdict = LINEUP_REFUSE,
                               .reason = closed,
                               .retry_after_ns = CLOSED_RETRY_AFTER_NS };
  if (closed == REASON_NONE)
    d = lineup_preview (g->lineup, &r, arrival, now_ns);
  if (d.verdict != LINEUP_REFUSE)
    return true;
  *refusal = attempt_not_run (d.reason, d.retry_after_ns);
  refusal->terms = current_terms (g);
  return false;
}

struct egress_job *
egress_send (struct egress *g, struct attempt_request *request,
             attempt_done *done, void *arg, int64_t now_ns)
{
  struct egress_job *job = g_new0 (struct egress_job, 1);
  job->egress = g;
  job->request = *request;
  request->head = NULL;
  request->body = NULL;
  job->done = done;
  job->arg = arg;
  g->job_count++;
  if (job->request.deadline_ns > g->shutdown_ns)
    job->request.deadline_ns = g->shutdown_ns;
  int64_t retry_after_ns = CLOSED_RETRY_AFTER_NS;
  enum reason refusal_reason = check_content (job, now_ns, &retry_after_ns);
  if (refusal_reason == REASON_NONE)
    refusal_reason = closed_reason (g, &job->request, now_ns);
  if (refusal_reason != REASON_NONE)
    {
      refuse_later (job, refusal_reason, retry_after_ns);
      return job;
    }
  struct lineup_request r = queue_request (&job->request);
  r.user_data = job;
  struct lineup_decision d = lineup_offer (g->lineup, &r, now_ns);
  job->queue_id = d.id;
  if (d.verdict == LINEUP_START)
    start_job (job, now_ns);
  else if (d.verdict == LINEUP_REFUSE)
    refuse_later (job, d.reason, d.retry_after_ns);
  arm_queue_timer (g, now_ns);
  return job;
}

/* The caller of JOB left at LEFT_NS.  */
static void
record_left (const struct egress_job *job, int64_t left_ns, int64_t now_ns)
{
  const struct attempt_request *r = &job->request;
  log_event (
      EV_REQUEST_CANCELLED,
      "request=%s target=%s sent_on_ms=%d arrived_ms=%d started_ms=%d "
      "left_ms=%d deadline_ms=%d idempotent=%d",
      r->id, job->egress->view.id, attempt_age_ms (r->sent_on_ns, now_ns),
      attempt_age_ms (r->arrived_ns, now_ns),
      attempt_age_ms (job->sent_ns, now_ns), attempt_age_ms (left_ns, now_ns),
      (int)((r->deadline_ns - now_ns) / NS_PER_MS), r->idempotent);
  if (job->sent_ns <= left_ns)
    return;
  counter_add (COUNTER_target_sends_left_total, 1);
  duration_add (DURATION_sent_after_left, job->sent_ns - left_ns);
}

void
egress_abandon (struct egress_job *job, int64_t left_ns)
{
  struct egress *g = job->egress;
  job->done = NULL;
  if (left_ns != 0)
    record_left (job, left_ns, clock_now_ns ());
  if (job->call == NULL && job->queue_id == LINEUP_NONE)
    return; /* refused: freed by on_refusal_idle */
  if (job->call == NULL)
    {
      lineup_cancel (g->lineup, job->queue_id);
      job_free (job);
    }
  else if (job->request.idempotent)
    {
      counter_add (COUNTER_target_cancelled_total, 1);
      http_call_cancel (job->call);
      end_call (job, false, 0);
      g->hooks.request_cut (g->hooks.arg, job->request.id);
      job_free (job);
      run_queue (g);
    }
}

void
egress_set_shutdown_time (struct egress *g, int64_t shutdown_ns)
{
  g->shutdown_ns = shutdown_ns;
}

uint32_t
egress_refuse_waiting (struct egress *g)
{
  struct egress_job *job;
  uint32_t count = 0;
  for (; (job = lineup_pop_waiting (g->lineup)) != NULL; count++)
    refuse_later (job, REASON_ZONE_EVACUATED, CLOSED_RETRY_AFTER_NS);
  counter_add (COUNTER_evacuated_refusals_total, count);
  return count;
}

uint32_t
egress_running (const struct egress *g)
{
  return lineup_running (g->lineup);
}

uint32_t
egress_waiting (const struct egress *g)
{
  return lineup_waiting (g->lineup);
}

struct target_load
egress_load (const struct egress *g, int64_t now_ns)
{
  int64_t warmup_ms = (g->view.warmup_until_ns - now_ns) / NS_PER_MS;
  return (struct target_load){
    .accepting
    = g->view.phase == TARGET_SERVING
      && g->hooks.zone_phase (g->hooks.arg, now_ns) == EVACUATIONS_OPEN,
    .slots = g->reads_load ? lineup_slots (g->lineup) : g->view.slots,
    .running = lineup_running (g->lineup),
    .waiting = lineup_waiting (g->lineup),
    .queue_wait_ms
    = (uint32_t)(lineup_expected_wait_ns (g->lineup, now_ns) / NS_PER_MS),
    .failure_pct = (uint32_t)(failure_rate_at (g, now_ns) * 100),
    .warmup_remaining_ms = warmup_ms > 0 ? (uint32_t)warmup_ms : 0,
    .start_interval_ms
    = (uint32_t)((lineup_start_interval_ns (g->lineup) + NS_PER_MS - 1)
                 / NS_PER_MS),
    .pace_pct = stated_pace_pct (g),
  };
}

uint32_t
egress_utilization_pct (const struct egress *g, int64_t now_ns)
{
  return (uint32_t)(lineup_utilization (g->lineup, now_ns) * 100);
}

uint32_t
egress_job_count (const struct egress *g)
{
  return g->job_count;
}

void
egress_set_body_max (struct egress *g, uint32_t bytes)
{
  http_client_set_body_max (g->client, bytes);
}

void
egress_set_memory (struct egress *g, const struct http_memory *memory)
{
  http_client_set_memory (g->client, memory);
  http_client_set_memory (g->control_client, memory);
}

struct http_client *
egress_control_client (struct egress *g)
{
  return g->control_client;
}
