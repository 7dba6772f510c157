#include "mesh/grants.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include <string.h>

/* The lease outlasts a grant by this margin, which covers the transfer to
   the target on the same instance and the precision of clock readings.  */
#define GRANT_MARGIN_NS (100 * NS_PER_MS)
/* No shorter grant is sent, because it would expire before the next one.  */
#define GRANT_MIN_NS (150 * NS_PER_MS)
/* A target fails running work when the grant under which it began ends, even
   if another grant followed.  So grants are long, and are renewed when less
   than this share of one is left.  */
#define GRANT_RENEW_SHARE 0.8
/* Limit on the wait for the target's answer to a grant, which a running target
   sends within a moment.  */
#define GRANT_TIMEOUT_MS 300
/* Back-off after a failed grant.  */
#define GRANT_RETRY_NS (100 * NS_PER_MS)
/* A grant that has waited for a connection for longer than this is not sent:
   it would last longer than the lease.  */
#define GRANT_QUEUE_MAX_MS (GRANT_MARGIN_NS / NS_PER_MS / 2)
/* The target answers a release when its running work has ended.  */
#define RELEASE_TIMEOUT_MS 2000
/* A handover that is not used within this time is discarded.  */
#define HANDOVER_TTL_NS (10 * NS_PER_S)
/* No grant is sent while this many grants and releases are in flight, because
   each takes a connection to the target.  */
#define CALLS_MAX 4
/* Time between two scans of all keys for due grants: a hundredth of a grant,
   which is renewed when a fifth is used up.  */
#define SCAN_INTERVAL_NS (50 * NS_PER_MS)

struct pending_handover
{
  struct frame_handover handover;
  int64_t expires_ns;
  bool from_own_target; /* returned by this node's target, to be sent to the
                           new owner */
};

struct grants
{
  struct grants_deps deps;
  struct holdings *holdings;
  GArray *handovers; /* struct pending_handover */
  char target_id[TARGET_ID_BYTES];
  bool target_lost;
  bool in_doubt;    /* the last refusal may be a late copy of an earlier
                       response; the next grants cannot get one */
  int64_t retry_ns; /* no grant is sent before this time */
  unsigned calls_in_flight; /* grants and releases */
  uint32_t scan_position;   /* keys below it were examined in this scan */
  int64_t next_scan_ns;     /* no scan begins before this time */
};

/* A grant or release in flight.  */
struct grant_call
{
  struct grants *grants;
  struct key_range range;
  int64_t sent_ns;
  int64_t hold_ns; /* duration of the grant; 0: a release */
  uint32_t fencing_token;
};

static void
log_call (const struct grant_call *c, const char *outcome)
{
  log_event (c->hold_ns == 0 ? EV_KEYS_RELEASED : EV_KEYS_GRANTED,
             "from=%u to=%u token=%u hold_ms=%d outcome=%s", c->range.from,
             c->range.to, c->fencing_token, (int)(c->hold_ns / NS_PER_MS),
             outcome);
}

static void
add_handover (struct grants *g, const struct frame_handover *h,
              bool from_own_target)
{
  struct pending_handover p
      = { *h, clock_now_ns () + HANDOVER_TTL_NS, from_own_target };
  g_array_append_val (g->handovers, p);
}

static void
on_grant_response (void *arg, const struct http_response *response)
{
  struct grant_call *c = arg;
  struct grants *g = c->grants;
  int64_t now_ns = clock_now_ns ();
  g->calls_in_flight--;
  if (response->result == HTTP_COMPLETED && response->status == 200)
    {
      g->in_doubt = g->in_doubt && !response->fresh;
      /* Renewals are not logged, only counted.  */
      if (!holdings_can_serve (g->holdings, c->range.from, now_ns)
          || !holdings_can_serve (g->holdings, c->range.to, now_ns))
        log_call (c, "granted");
      holdings_grant_accepted (g->holdings, &c->range, c->sent_ns, c->hold_ns,
                               now_ns);
    }
  else if (response->result == HTTP_NOT_SENT
           || (response->result == HTTP_COMPLETED && response->fresh))
    {
      log_call (c, response->result == HTTP_NOT_SENT ? "not-sent" : "refused");
      holdings_grant_refused (g->holdings, &c->range);
      g->retry_ns = now_ns + GRANT_RETRY_NS;
    }
  else
    {
      g->in_doubt = response->result == HTTP_COMPLETED;
      log_call (c, "unknown");
      holdings_grant_unanswered (g->holdings, &c->range, c->hold_ns, now_ns);
      g->retry_ns = now_ns + GRANT_RETRY_NS;
    }
  g_free (c);
  g->deps.on_change (g->deps.arg);
}

static void
on_release_response (void *arg, const struct http_response *response)
{
  struct grant_call *c = arg;
  struct grants *g = c->grants;
  bool answered
      = response->result == HTTP_COMPLETED && response->status == 200;
  g->calls_in_flight--;
  holdings_release_ended (g->holdings, &c->range, answered);
  const char *name = g->deps.dialect->headers[HEADER_HANDOVER];
  const char *value = answered ? headers_find (response->headers, name) : NULL;
  if (value != NULL)
    {
      struct frame_handover h = { .from = c->range.from, .to = c->range.to };
      g_strlcpy (h.payload, value, sizeof h.payload);
      add_handover (g, &h, true);
    }
  log_call (c, answered ? (value != NULL ? "handover" : "cold") : "unknown");
  g_free (c);
  g->deps.on_change (g->deps.arg);
}

/* An answer with the id of a request is a late copy.  */
static bool
belongs_to_no_request (void *arg, const struct headers *headers)
{
  const struct grant_call *c = arg;
  const struct dialect *d = c->grants->deps.dialect;
  return headers_find (headers, d->headers[HEADER_REQUEST_ID]) == NULL;
}

static void
send_call (struct grants *g, const struct key_range *range, int64_t hold_ns,
           const char *handover, int64_t now_ns)
{
  struct grant_call *c = g_new0 (struct grant_call, 1);
  const struct dialect *d = g->deps.dialect;
  *c = (struct grant_call){ g, *range, now_ns, hold_ns,
                            holdings_fencing_token (g->holdings) };
  struct key_grant grant = {
    .target_id = g->target_id,
    .from = range->from,
    .to = range->to,
    .fencing_token = c->fencing_token,
    .hold_ms = (uint32_t)(hold_ns / NS_PER_MS),
    .handover = handover,
  };
  struct http_call_options options = {
    .done = hold_ns > 0 ? on_grant_response : on_release_response,
    .matches = belongs_to_no_request,
    .arg = c,
    /* The answer to a release ends the target's hold of the keys, and nothing
       in it says which release it belongs to.  */
    .fresh = hold_ns == 0 || g->in_doubt,
    .queue_max_ms = hold_ns == 0 ? 0 : GRANT_QUEUE_MAX_MS,
    .timeout_ms = hold_ns > 0 ? GRANT_TIMEOUT_MS : RELEASE_TIMEOUT_MS,
  };
  if (hold_ns > 0)
    holdings_grant_sent (g->holdings, range);
  else
    holdings_release_sent (g->holdings, range);
  g->calls_in_flight++;
  counter_add (hold_ns > 0 ? COUNTER_grants_total : COUNTER_releases_total, 1);
  http_call (g->deps.target_client,
             hold_ns > 0 ? d->write_grant (&grant) : d->write_release (&grant),
             &options);
}

/* The duration of a grant that is sent now; 0: none is sent.  */
static int64_t
next_hold_ns (const struct grants *g, int64_t lease_ns, int64_t now_ns)
{
  int64_t term_ns = g->deps.settings->lease_term_ms * NS_PER_MS;
  int64_t lease_left_ns = lease_ns <= now_ns            ? 0
                          : lease_ns > now_ns + term_ns ? term_ns
                                                        : lease_ns - now_ns;
  int64_t hold_max_ns = g->deps.settings->hold_max_ms * NS_PER_MS;
  int64_t hold_ns = (int64_t)((double)(lease_left_ns - GRANT_MARGIN_NS)
                              / HOLDINGS_CLOCK_DRIFT_FACTOR);
  if (hold_ns > hold_max_ns)
    hold_ns = hold_max_ns;
  return hold_ns < GRANT_MIN_NS ? 0 : hold_ns;
}

/* Find a handover for the first keys of RANGE, received or left from an
   abandoned move, and cut RANGE to the keys of both.  NULL if there is none;
   RANGE then ends before the next handover.  */
static struct pending_handover *
find_handover (struct grants *g, struct key_range *range, int64_t now_ns)
{
  for (guint i = 0; i < g->handovers->len; i++)
    {
      struct pending_handover *p
          = &g_array_index (g->handovers, struct pending_handover, i);
      const struct frame_handover *h = &p->handover;
      if (now_ns > p->expires_ns || h->to < range->from || h->from > range->to)
        continue;
      if (h->from > range->from)
        {
          range->to = h->from - 1;
          return NULL;
        }
      if (h->to < range->to)
        range->to = h->to;
      return p;
    }
  return NULL;
}

static void
drop_expired_handovers (struct grants *g, int64_t now_ns)
{
  for (guint i = g->handovers->len; i > 0; i--)
    if (g_array_index (g->handovers, struct pending_handover, i - 1).expires_ns
        < now_ns)
      g_array_remove_index_fast (g->handovers, i - 1);
}

void
grants_renew (struct grants *g, int64_t lease_ns, int64_t now_ns)
{
  struct key_range range;
  int64_t hold_ns = next_hold_ns (g, lease_ns, now_ns);
  drop_expired_handovers (g, now_ns);
  if (hold_ns == 0 || g->target_lost || now_ns < g->retry_ns
      || now_ns < g->next_scan_ns || holdings_fencing_token (g->holdings) == 0)
    return;
  int64_t min_left_ns = (int64_t)((double)hold_ns * GRANT_RENEW_SHARE);
  while (g->calls_in_flight < CALLS_MAX)
    {
      if (!holdings_next_due (g->holdings, g->scan_position, now_ns,
                              min_left_ns, &range))
        {
          g->scan_position = 0;
          g->next_scan_ns = now_ns + SCAN_INTERVAL_NS;
          return;
        }
      char handover[sizeof ((struct frame_handover *)0)->payload];
      struct pending_handover *p = find_handover (g, &range, now_ns);
      if (p != NULL)
        g_strlcpy (handover, p->handover.payload, sizeof handover);
      send_call (g, &range, hold_ns, p == NULL ? NULL : handover, now_ns);
      if (p != NULL)
        p->expires_ns = 0;
      g->scan_position = range.to + 1;
    }
}

void
grants_rescan (struct grants *g)
{
  g->scan_position = 0;
  g->next_scan_ns = 0;
}

void
grants_release_closed (struct grants *g, int64_t now_ns)
{
  struct key_range range;
  uint32_t from = 0;
  while (holdings_next_release (g->holdings, from, now_ns, &range))
    {
      send_call (g, &range, 0, NULL, now_ns);
      from = range.to + 1;
    }
}

bool
grants_has_handover (const struct grants *g, uint32_t key)
{
  for (guint i = 0; i < g->handovers->len; i++)
    {
      const struct pending_handover *p
          = &g_array_index (g->handovers, struct pending_handover, i);
      if (!p->from_own_target && p->handover.from <= key
          && key <= p->handover.to)
        return true;
    }
  return false;
}

/* The target sent more responses than it was sent calls: one of them may be
   the copy of another, taken for the answer to a grant.  */
static void
on_excess (void *arg, const char *cause, size_t bytes)
{
  struct grants *g = arg;
  counter_add (COUNTER_answers_unbounded_total, 1);
  log_event (EV_ANSWER_UNBOUNDED, "target=%s bound=%s bytes=%zu calls=%u",
             g->target_id, cause, bytes, g->calls_in_flight);
  if (strcmp (cause, "excess") == 0)
    holdings_distrust (g->holdings);
}

struct grants *
grants_new (const struct grants_deps *deps)
{
  struct grants *g = g_new0 (struct grants, 1);
  g->deps = *deps;
  g->holdings = holdings_new (deps->settings->key_space);
  g->handovers = g_array_new (FALSE, FALSE, sizeof (struct pending_handover));
  http_client_on_unbounded (deps->target_client, on_excess, g);
  return g;
}

struct holdings *
grants_holdings (struct grants *g)
{
  return g->holdings;
}

void
grants_set_target (struct grants *g, const char *id)
{
  g_strlcpy (g->target_id, id, sizeof g->target_id);
  g->target_lost = false;
}

void
grants_suspend (struct grants *g)
{
  g->target_lost = true;
}

void
grants_add_handover (struct grants *g, const struct frame_handover *h)
{
  add_handover (g, h, false);
}

void
grants_forward_handovers (struct grants *g, grants_handover_fn *send,
                          void *arg)
{
  for (guint i = 0; i < g->handovers->len; i++)
    {
      struct pending_handover *p
          = &g_array_index (g->handovers, struct pending_handover, i);
      if (p->from_own_target && send (arg, &p->handover))
        p->expires_ns = 0;
    }
}
