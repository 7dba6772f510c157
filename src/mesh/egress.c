#include "mesh/egress.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "http/client.h"
#include "limit/lineup.h"
#include "settings/address.h"
#include <math.h>
#include <string.h>

/* Calls beside requests (grants, releases) that need a connection as well.  */
#define SPARE_CONNECTIONS 8
/* Weight of a new send in the share of failures: about ten sends count.  */
#define FAILING_WEIGHT 0.1
/* Without sends the share of failures halves in this time: a target that was
   ill is tried again.  */
#define FAILING_HALF_NS (2 * NS_PER_S)
/* Least time left that is worth a send.  */
#define SEND_LEAST_MS 2
/* A target that shed a request is full or ill: come back after a short
   while.  */
#define SHED_RETRY_NS (200 * NS_PER_MS)
/* A target that is starting or leaving: another one may take over in about
   that time.  */
#define CLOSED_RETRY_NS (300 * NS_PER_MS)

struct egress
{
  uv_loop_t *loop;
  const struct dialect *dialect;
  struct egress_hooks hooks;
  struct http_client *client;
  struct lineup *lineup;
  struct target_view view;
  uv_timer_t wake;
  uv_idle_t turn; /* runs while decisions wait to be told */
  GQueue refused; /* jobs to be told of */
  double failing;
  int64_t failing_ns; /* when it was counted */
  int64_t end_ns;     /* of this node */
  uint32_t jobs;
};

struct egress_job
{
  struct egress *egress;
  struct attempt_request request;
  attempt_done *done; /* NULL: nobody listens any more */
  void *arg;
  lineup_id place;
  struct http_call *call;
  int64_t sent_ns;
  struct attempt_result refusal;
  GList in_refused;
};

static void run_line (struct egress *g);

static void
job_free (struct egress_job *job)
{
  job->egress->jobs--;
  attempt_request_clear (&job->request);
  g_free (job);
}

static void
tell (struct egress_job *job, const struct attempt_result *result)
{
  if (job->done != NULL)
    job->done (job->arg, result);
  job_free (job);
}

static void
on_turn (uv_idle_t *idle)
{
  struct egress *g = idle->data;
  GList *link;
  while ((link = g_queue_pop_head_link (&g->refused)) != NULL)
    {
      struct egress_job *job = link->data;
      struct attempt_result result = job->refusal;
      tell (job, &result);
    }
  if (g_queue_is_empty (&g->refused))
    uv_idle_stop (idle);
}

static void
refuse_soon (struct egress_job *job, enum reason reason,
             int64_t retry_after_ns)
{
  struct egress *g = job->egress;
  job->place = LINEUP_NONE;
  job->refusal = attempt_not_run (reason, retry_after_ns);
  job->in_refused.data = job;
  g_queue_push_tail_link (&g->refused, &job->in_refused);
  uv_idle_start (&g->turn, on_turn);
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
keep_answer_field (const char *name, const void *arg)
{
  const struct dialect *d = arg;
  (void)d;
  return strcasecmp (name, "Date") != 0 && strcasecmp (name, "Server") != 0;
}

static bool
says_not_run (const struct egress *g, const struct http_reply *reply)
{
  return reply->status == 421
         || headers_find (reply->headers, g->dialect->headers[HEADER_NOT_RUN])
                != NULL;
}

/* Whether the answer is the target's, whole, and to this job.  */
static bool
is_genuine (const struct egress_job *job, const struct http_reply *reply)
{
  const struct dialect *d = job->egress->dialect;
  const struct headers *h = reply->headers;
  return headers_find (h, d->headers[HEADER_SIGNATURE]) != NULL
         && headers_find (h, d->headers[HEADER_REQUEST_ID]) != NULL
         && headers_find (h, "Content-Encoding") == NULL;
}

static struct attempt_result
shed_result (struct egress_job *job, const struct http_reply *reply)
{
  struct egress *g = job->egress;
  struct attempt_result result
      = attempt_not_run (REASON_TARGET_REFUSED, SHED_RETRY_NS);
  result.reached_target = true;
  result.target_failed = true;
  if (reply->status == 421 && job->request.key != ATTEMPT_NO_KEY)
    {
      result.reason = REASON_NOT_OWNER;
      g->hooks.key_refused (g->hooks.arg, job->request.key);
    }
  return result;
}

static struct attempt_result
answer_result (struct egress_job *job, const struct http_reply *reply,
               GString *head, int64_t service_ns)
{
  struct egress *g = job->egress;
  if (says_not_run (g, reply))
    return shed_result (job, reply);
  if (!is_genuine (job, reply))
    return attempt_unknown (REASON_TARGET_CLOSED);
  headers_copy (reply->headers, head, keep_answer_field, g->dialect);
  return (struct attempt_result){
    .outcome = OUTCOME_ANSWERED,
    .reached_target = true,
    .target_failed = reply->status >= 500,
    .status = reply->status,
    .head = head->str,
    .head_length = head->len,
    .body = reply->body,
    .body_length = reply->length,
    .service_time_ns = service_ns,
  };
}

static struct attempt_result
failure_result (struct egress *g, const struct http_reply *reply)
{
  if (reply->result == HTTP_TIMED_OUT)
    return attempt_unknown (REASON_DEADLINE);
  if (reply->result == HTTP_BROKEN)
    return attempt_unknown (REASON_TARGET_CLOSED);
  if (strcmp (reply->cause, "refused") == 0)
    g->hooks.connection_refused (g->hooks.arg);
  return attempt_not_run (REASON_TARGET_UNREACHABLE, CLOSED_RETRY_NS);
}

/* The share of failures at NOW_NS.  */
static double
failing_now (const struct egress *g, int64_t now_ns)
{
  double halves = (double)(now_ns - g->failing_ns) / (double)FAILING_HALF_NS;
  return g->failing * exp2 (-halves);
}

static void
count_failure (struct egress *g, bool failed)
{
  g->failing_ns = clock_now_ns ();
  g->failing += ((failed ? 1.0 : 0.0) - g->failing) * FAILING_WEIGHT;
}

static void
log_answer (const struct egress_job *job, const struct attempt_result *r,
            int64_t service_ns)
{
  if (r->outcome == OUTCOME_ANSWERED && !r->target_failed)
    return;
  log_event (EV_TARGET_FAILED,
             "request=%s outcome=%s reason=%s status=%d after_ms=%d "
             "target=%s running=%u",
             job->request.id, outcome_word (r->outcome),
             reason_word (r->reason), r->status, (int)(service_ns / NS_PER_MS),
             job->egress->view.id, lineup_running (job->egress->lineup));
}

/* The call of JOB is over.  */
static void
end_run (struct egress_job *job, bool whole, int64_t service_ns)
{
  struct egress *g = job->egress;
  job->call = NULL;
  if (job->request.key != ATTEMPT_NO_KEY)
    g->hooks.key_request_ended (g->hooks.arg, job->request.key);
  lineup_done (g->lineup, job->place, whole, service_ns);
}

static void
on_reply (void *arg, const struct http_reply *reply)
{
  struct egress_job *job = arg;
  struct egress *g = job->egress;
  GString *head = g_string_new (NULL);
  int64_t service_ns = clock_now_ns () - job->sent_ns;
  struct attempt_result result;
  if (reply->result == HTTP_ANSWERED)
    result = answer_result (job, reply, head, service_ns);
  else
    result = failure_result (g, reply);
  /* A run that ended at its deadline lasted at least that long.  */
  bool whole = (result.outcome == OUTCOME_ANSWERED
                && (!result.target_failed || result.status == 504))
               || reply->result == HTTP_TIMED_OUT;
  end_run (job, whole, service_ns);
  count_failure (g,
                 result.target_failed || result.outcome != OUTCOME_ANSWERED);
  log_answer (job, &result, service_ns);
  tell (job, &result);
  g_string_free (head, TRUE);
  run_line (g);
}

/* Sending.  */

static void
append_field (GString *out, const char *name, const char *value)
{
  g_string_append_printf (out, "%s: %s\r\n", name, value);
}

static bool
has_body_by_method (const GString *head)
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
  if (r->body->len > 0 || has_body_by_method (r->head))
    g_string_append_printf (out, "Content-Length: %zu\r\n", r->body->len);
  g_string_append (out, "\r\n");
  g_string_append_len (out, r->body->str, (gssize)r->body->len);
  return out;
}

static void
start_job (struct egress_job *job, int64_t now_ns)
{
  struct egress *g = job->egress;
  struct attempt_request *r = &job->request;
  int64_t left_ms = (r->deadline_ns - now_ns) / NS_PER_MS;
  enum reason why = REASON_NONE;
  if (g->view.phase != TARGET_SERVING)
    why = REASON_TARGET_DOWN;
  else if (left_ms < SEND_LEAST_MS)
    why = REASON_DEADLINE;
  else if (r->key != ATTEMPT_NO_KEY)
    why = g->hooks.check_key (g->hooks.arg, r->key, now_ns);
  if (why != REASON_NONE)
    {
      lineup_done (g->lineup, job->place, false, 0);
      refuse_soon (job, why, CLOSED_RETRY_NS);
      return;
    }
  struct http_call_options options = {
    .done = on_reply,
    .matches = belongs_to_job,
    .arg = job,
    .timeout_ms = (uint32_t)left_ms + ATTEMPT_ANSWER_SLACK_MS,
    .head_only = g_str_has_prefix (r->head->str, "HEAD "),
  };
  job->sent_ns = now_ns;
  counter_add (COUNTER_target_sends_total, 1);
  if (r->key != ATTEMPT_NO_KEY)
    g->hooks.key_request_started (g->hooks.arg, r->key);
  job->call = http_call (g->client, write_message (job, left_ms), &options);
}

static void
on_wake (uv_timer_t *timer)
{
  run_line (timer->data);
}

static void
set_wake (struct egress *g, int64_t now_ns)
{
  int64_t at_ns = lineup_wake_ns (g->lineup);
  if (at_ns == INT64_MAX)
    {
      uv_timer_stop (&g->wake);
      return;
    }
  int64_t wait_ms = (at_ns - now_ns) / NS_PER_MS + 1;
  uv_timer_start (&g->wake, on_wake, wait_ms > 0 ? (uint64_t)wait_ms : 0, 0);
}

static void
run_line (struct egress *g)
{
  int64_t now_ns = clock_now_ns ();
  struct lineup_decision d;
  while ((d = lineup_next (g->lineup, now_ns)).verdict != LINEUP_NOTHING)
    {
      struct egress_job *job = d.user;
      if (d.verdict == LINEUP_START)
        start_job (job, now_ns);
      else
        refuse_soon (job, d.reason, d.retry_after_ns);
    }
  set_wake (g, now_ns);
}

struct egress *
egress_open (uv_loop_t *loop, const struct dialect *dialect,
             const struct settings *settings, const struct egress_hooks *hooks)
{
  struct egress *g = g_new0 (struct egress, 1);
  g->loop = loop;
  g->dialect = dialect;
  g->hooks = *hooks;
  g->end_ns = INT64_MAX;
  g->client = http_client_new (loop, &settings->target,
                               settings->target_slots + SPARE_CONNECTIONS);
  g->lineup = lineup_new (settings->target_slots);
  g_queue_init (&g->refused);
  uv_timer_init (loop, &g->wake);
  uv_idle_init (loop, &g->turn);
  g->wake.data = g;
  g->turn.data = g;
  return g;
}

void
egress_update_target (struct egress *g, const struct target_view *view,
                      bool new_run)
{
  struct egress_job *job;
  g->view = *view;
  lineup_set_slots (g->lineup, view->slots);
  if (new_run)
    {
      http_client_reset (g->client, "restarted");
      g->failing = 0;
    }
  if (view->phase != TARGET_SERVING)
    while ((job = lineup_take (g->lineup)) != NULL)
      refuse_soon (job, REASON_DRAINING, CLOSED_RETRY_NS);
  run_line (g);
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
  g->jobs++;
  if (job->request.deadline_ns > g->end_ns)
    job->request.deadline_ns = g->end_ns;
  enum reason why = REASON_NONE;
  if (g->view.phase != TARGET_SERVING)
    why = g->view.phase == TARGET_LEAVING ? REASON_DRAINING
                                          : REASON_TARGET_DOWN;
  else if (job->request.key != ATTEMPT_NO_KEY)
    why = g->hooks.check_key (g->hooks.arg, job->request.key, now_ns);
  if (why != REASON_NONE)
    {
      refuse_soon (job, why, CLOSED_RETRY_NS);
      return job;
    }
  struct lineup_request r = {
    .kind = job->request.route_hash,
    .priority = job->request.priority,
    .wanted_ns = job->request.soft_deadline_ns,
    .deadline_ns = job->request.deadline_ns,
    .user = job,
  };
  struct lineup_decision d = lineup_offer (g->lineup, &r, now_ns);
  job->place = d.id;
  if (d.verdict == LINEUP_START)
    start_job (job, now_ns);
  else if (d.verdict == LINEUP_REFUSE)
    refuse_soon (job, d.reason, d.retry_after_ns);
  set_wake (g, now_ns);
  return job;
}

void
egress_abandon (struct egress_job *job)
{
  struct egress *g = job->egress;
  job->done = NULL;
  if (job->call == NULL && job->place == LINEUP_NONE)
    return; /* refused: freed when its turn comes */
  if (job->call == NULL)
    {
      lineup_cancel (g->lineup, job->place);
      job_free (job);
    }
  else if (job->request.idempotent)
    {
      counter_add (COUNTER_target_cancelled_total, 1);
      http_call_cancel (job->call);
      end_run (job, false, 0);
      job_free (job);
      run_line (g);
    }
}

void
egress_set_shutdown_time (struct egress *g, int64_t end_ns)
{
  g->end_ns = end_ns;
}

struct target_load
egress_load (const struct egress *g, int64_t now_ns)
{
  int64_t cold_ms = (g->view.warmup_until_ns - now_ns) / NS_PER_MS;
  return (struct target_load){
    .accepting = g->view.phase == TARGET_SERVING,
    .slots = g->view.slots,
    .running = lineup_running (g->lineup),
    .waiting = lineup_waiting (g->lineup),
    .queue_wait_ms = (uint32_t)(lineup_wait_ns (g->lineup) / NS_PER_MS),
    .failure_pct = (uint32_t)(failing_now (g, now_ns) * 100),
    .warmup_left_ms = cold_ms > 0 ? (uint32_t)cold_ms : 0,
  };
}

uint32_t
egress_job_count (const struct egress *g)
{
  return g->jobs;
}

struct http_client *
egress_http_client (struct egress *g)
{
  return g->client;
}
