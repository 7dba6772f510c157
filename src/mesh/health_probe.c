#include "mesh/health_probe.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include <glib.h>
#include <string.h>

/* Minimum time between two probes.  */
#define INTERVAL_NS (1 * NS_PER_S)
/* A target that does not respond within this time counts as not responding: a
   health check is answered at once.  */
#define TIMEOUT_NS (1 * NS_PER_S)

struct health_probe
{
  struct health_probe_deps deps;
  char path[SERVICE_PATH_BYTES]; /* empty: none */
  char target_id[TARGET_ID_BYTES];
  enum health_cause cause;
  bool pending;
  struct http_call *call; /* NULL: not sent yet */
  int64_t sent_ns;        /* of the last probe */
  int64_t deadline_ns;    /* of the pending result */
  uv_timer_t timer;
};

struct health_probe *
health_probe_new (const struct health_probe_deps *deps)
{
  struct health_probe *p = g_new0 (struct health_probe, 1);
  p->deps = *deps;
  p->sent_ns = -INTERVAL_NS;
  uv_timer_init (deps->loop, &p->timer);
  p->timer.data = p;
  return p;
}

void
health_probe_set_path (struct health_probe *p, const char *path)
{
  g_strlcpy (p->path, path == NULL ? "" : path, sizeof p->path);
}

void
health_probe_set_target (struct health_probe *p, const char *id)
{
  g_strlcpy (p->target_id, id, sizeof p->target_id);
}

bool
health_probe_is_enabled (const struct health_probe *p)
{
  return p->path[0] != '\0';
}

bool
health_probe_is_pending (const struct health_probe *p)
{
  return p->pending;
}

static void
finish (struct health_probe *p, struct health_result *result, int status,
        const char *cause)
{
  static const char *const names[]
      = { "silent", "down", "recovered", "reopening" };
  p->pending = false;
  p->call = NULL;
  uv_timer_stop (&p->timer);
  result->cause = p->cause;
  /* While the target is down a probe fails every second.  */
  if (p->cause != HEALTH_DOWN || result->responded)
    log_event (EV_HEALTH_PROBED,
               "target=%s cause=%s responded=%d status=%d cold_ms=%u "
               "after_ms=%d failure=\"%s\"",
               p->target_id, names[p->cause], result->responded, status,
               result->warmup_remaining_ms,
               (int)((clock_now_ns () - p->sent_ns) / NS_PER_MS), cause);
  p->deps.on_result (p->deps.arg, result);
}

static void
on_response (void *arg, const struct http_response *response)
{
  struct health_probe *p = arg;
  struct health_result result = { .responded = false };
  struct target_health health;
  const char *cause = response->cause;
  if (response->result == HTTP_COMPLETED)
    {
      if (p->deps.dialect->parse_health (response->headers, &health)
          != STATUS_OK)
        cause = status_message ();
      else if (strcmp (health.id, p->target_id) != 0)
        cause = "another process";
      else
        result = (struct health_result){
          .responded = true,
          .healthy = response->status == 200,
          .warmup_remaining_ms = health.warmup_remaining_ms,
          .headers = response->headers,
        };
    }
  finish (p, &result, response->status, cause == NULL ? "" : cause);
}

/* Nothing in the response to a probe says which probe it belongs to.  */
static bool
is_not_identified (void *arg, const struct headers *headers)
{
  (void)arg;
  (void)headers;
  return false;
}

static void
send_probe (struct health_probe *p, int64_t now_ns)
{
  GString *message = g_string_new (NULL);
  struct http_call_options options = {
    .done = on_response,
    .identifies = is_not_identified,
    .fresh = true,
    .arg = p,
    .timeout_ms = (uint32_t)(TIMEOUT_NS / NS_PER_MS),
  };
  g_string_printf (message, "GET %s HTTP/1.1\r\nHost: target\r\n\r\n",
                   p->path);
  p->sent_ns = now_ns;
  counter_add (COUNTER_health_probes_total, 1);
  p->call = http_call (p->deps.client, message, &options);
}

static void arm_timer (struct health_probe *p, int64_t now_ns);

static void
on_timer (uv_timer_t *timer)
{
  struct health_probe *p = timer->data;
  struct health_result result = { .responded = false };
  int64_t now_ns = clock_now_ns ();
  if (now_ns >= p->deadline_ns)
    {
      if (p->call != NULL)
        http_call_cancel (p->call);
      finish (p, &result, 0, "no response");
      return;
    }
  if (p->call == NULL && now_ns >= p->sent_ns + INTERVAL_NS)
    send_probe (p, now_ns);
  arm_timer (p, now_ns);
}

/* Wait until a probe may be sent, or for the deadline.  */
static void
arm_timer (struct health_probe *p, int64_t now_ns)
{
  int64_t at_ns = p->deadline_ns;
  if (p->call == NULL && p->sent_ns + INTERVAL_NS < at_ns)
    at_ns = p->sent_ns + INTERVAL_NS;
  int64_t wait_ms = (at_ns - now_ns + NS_PER_MS - 1) / NS_PER_MS;
  uv_timer_start (&p->timer, on_timer, wait_ms > 0 ? (uint64_t)wait_ms : 0, 0);
}

void
health_probe_start (struct health_probe *p, enum health_cause cause,
                    int64_t now_ns)
{
  if (!health_probe_is_enabled (p))
    return;
  p->cause = p->pending && p->cause > cause ? p->cause : cause;
  p->pending = true;
  p->deadline_ns = now_ns + TIMEOUT_NS;
  if (p->call == NULL && now_ns >= p->sent_ns + INTERVAL_NS)
    send_probe (p, now_ns);
  arm_timer (p, now_ns);
}
