#include "mesh/grants.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include <string.h>

/* The lease outlives a grant by this: the way to the target on the same
   instance, and the reading of clocks.  */
#define GRANT_MARGIN_NS (100 * NS_PER_MS)
/* No grant is made that is shorter: it would lapse before the next one.  */
#define GRANT_LEAST_NS (150 * NS_PER_MS)
/* A target ends work with a failure at the end of the grant under which it
   began, whatever came since: so grants are long, and are renewed when this
   part of one is used up.  */
#define GRANT_FRESH 0.8
/* Longest wait for the target's answer to a grant: it answers in a
   moment or is not there.  */
#define GRANT_TIMEOUT_MS 300
/* Pause after a grant that failed.  */
#define GRANT_AGAIN_NS (100 * NS_PER_MS)
/* A release is answered when what runs has ended.  */
#define RELEASE_TIMEOUT_MS 2000
/* A handover that was not used by then is of no use.  */
#define HANDOVER_KEEP_NS (10 * NS_PER_S)
/* Orders under way at once: each takes a connection to the target.  */
#define ORDERS_MAX 4
/* Pause between two looks through all keys for grants that are due: a
   hundredth of a grant, which is renewed when a fifth is used up.  */
#define LOOK_PAUSE_NS (50 * NS_PER_MS)

struct token
{
  struct frame_handover handover;
  int64_t until_ns;
  bool given; /* by this node, to be passed to the new owner */
};

struct grants
{
  struct grants_deps parts;
  struct holdings *holdings;
  GArray *tokens; /* struct token */
  char target_id[TARGET_ID_BYTES];
  bool target_lost;
  int64_t again_ns; /* no grant before */
  unsigned orders;  /* under way */
  uint32_t looked;  /* keys below were looked at, in the present look */
  int64_t look_ns;  /* no look before */
};

/* A grant or release under way.  */
struct order
{
  struct grants *grants;
  struct key_range run;
  int64_t sent_ns;
  int64_t hold_ns; /* 0: a release */
  uint32_t token;
};

static void
log_order (const struct order *o, const char *outcome)
{
  log_event (o->hold_ns == 0 ? EV_KEYS_RELEASED : EV_KEYS_GRANTED,
             "from=%u to=%u token=%u hold_ms=%d outcome=%s", o->run.from,
             o->run.to, o->token, (int)(o->hold_ns / NS_PER_MS), outcome);
}

static void
keep_token (struct grants *g, const struct frame_handover *h, bool given)
{
  struct token t = { *h, clock_now_ns () + HANDOVER_KEEP_NS, given };
  g_array_append_val (g->tokens, t);
}

static void
on_granted (void *arg, const struct http_reply *reply)
{
  struct order *o = arg;
  struct grants *g = o->grants;
  int64_t now_ns = clock_now_ns ();
  g->orders--;
  if (reply->result == HTTP_ANSWERED && reply->status == 200)
    {
      /* Renewals are counted only.  */
      if (!holdings_can_serve (g->holdings, o->run.from, now_ns)
          || !holdings_can_serve (g->holdings, o->run.to, now_ns))
        log_order (o, "granted");
      holdings_grant_accepted (g->holdings, &o->run, o->sent_ns, o->hold_ns,
                               now_ns);
    }
  else if (reply->result == HTTP_ANSWERED || reply->result == HTTP_NOT_SENT)
    {
      log_order (o, reply->result == HTTP_NOT_SENT ? "not-sent" : "refused");
      holdings_grant_refused (g->holdings, &o->run);
      g->again_ns = now_ns + GRANT_AGAIN_NS;
    }
  else
    {
      log_order (o, "unknown");
      holdings_grant_unanswered (g->holdings, &o->run, o->hold_ns, now_ns);
      g->again_ns = now_ns + GRANT_AGAIN_NS;
    }
  g_free (o);
  g->parts.on_change (g->parts.arg);
}

static void
on_released (void *arg, const struct http_reply *reply)
{
  struct order *o = arg;
  struct grants *g = o->grants;
  bool answered = reply->result == HTTP_ANSWERED && reply->status == 200;
  g->orders--;
  holdings_release_ended (g->holdings, &o->run, answered);
  const char *name = g->parts.dialect->headers[HEADER_HANDOVER];
  const char *value = answered ? headers_find (reply->headers, name) : NULL;
  if (value != NULL)
    {
      struct frame_handover h = { .from = o->run.from, .to = o->run.to };
      g_strlcpy (h.payload, value, sizeof h.payload);
      keep_token (g, &h, true);
    }
  log_order (o, answered ? (value != NULL ? "handover" : "cold") : "unknown");
  g_free (o);
  g->parts.on_change (g->parts.arg);
}

static void
send_order (struct grants *g, const struct key_range *run, int64_t hold_ns,
            const char *handover, int64_t now_ns)
{
  struct order *o = g_new0 (struct order, 1);
  const struct dialect *d = g->parts.dialect;
  *o = (struct order){ g, *run, now_ns, hold_ns,
                       holdings_fencing_token (g->holdings) };
  struct key_grant order = {
    .target_id = g->target_id,
    .from = run->from,
    .to = run->to,
    .fencing_token = o->token,
    .hold_ms = (uint32_t)(hold_ns / NS_PER_MS),
    .handover = handover,
  };
  struct http_call_options options = {
    .done = hold_ns > 0 ? on_granted : on_released,
    .arg = o,
    .timeout_ms = hold_ns > 0 ? GRANT_TIMEOUT_MS : RELEASE_TIMEOUT_MS,
  };
  if (hold_ns > 0)
    holdings_grant_sent (g->holdings, run);
  else
    holdings_release_sent (g->holdings, run);
  g->orders++;
  counter_add (hold_ns > 0 ? COUNTER_grants_total : COUNTER_releases_total, 1);
  http_call (g->parts.target_client,
             hold_ns > 0 ? d->write_grant (&order) : d->write_release (&order),
             &options);
}

/* How long a grant that is made now may last; 0: not at all.  */
static int64_t
hold_now_ns (const struct grants *g, int64_t lease_ns, int64_t now_ns)
{
  int64_t term_ns = g->parts.settings->lease_term_ms * NS_PER_MS;
  int64_t left_ns = lease_ns <= now_ns            ? 0
                    : lease_ns > now_ns + term_ns ? term_ns
                                                  : lease_ns - now_ns;
  int64_t most_ns = g->parts.settings->hold_max_ms * NS_PER_MS;
  int64_t hold_ns = (int64_t)((double)(left_ns - GRANT_MARGIN_NS)
                              / HOLDINGS_CLOCK_DRIFT_FACTOR);
  if (hold_ns > most_ns)
    hold_ns = most_ns;
  return hold_ns < GRANT_LEAST_NS ? 0 : hold_ns;
}

/* A handover, received or of a move that was given up, that lies within RUN,
   cut so that RUN is its range, or ends before it.  NULL: none.  */
static struct token *
cut_at_token (struct grants *g, struct key_range *run, int64_t now_ns)
{
  for (guint i = 0; i < g->tokens->len; i++)
    {
      struct token *t = &g_array_index (g->tokens, struct token, i);
      const struct frame_handover *h = &t->handover;
      if (now_ns > t->until_ns || h->to < run->from || h->from > run->to)
        continue;
      if (h->from > run->from)
        {
          run->to = h->from - 1;
          return NULL;
        }
      if (h->to < run->to)
        run->to = h->to;
      return t;
    }
  return NULL;
}

static void
drop_old_tokens (struct grants *g, int64_t now_ns)
{
  for (guint i = g->tokens->len; i > 0; i--)
    if (g_array_index (g->tokens, struct token, i - 1).until_ns < now_ns)
      g_array_remove_index_fast (g->tokens, i - 1);
}

void
grants_renew (struct grants *g, int64_t lease_ns, int64_t now_ns)
{
  struct key_range run;
  int64_t hold_ns = hold_now_ns (g, lease_ns, now_ns);
  drop_old_tokens (g, now_ns);
  if (hold_ns == 0 || g->target_lost || now_ns < g->again_ns
      || now_ns < g->look_ns || holdings_fencing_token (g->holdings) == 0)
    return;
  int64_t least_ns = (int64_t)((double)hold_ns * GRANT_FRESH);
  while (g->orders < ORDERS_MAX)
    {
      if (!holdings_next_due (g->holdings, g->looked, now_ns, least_ns, &run))
        {
          g->looked = 0;
          g->look_ns = now_ns + LOOK_PAUSE_NS;
          return;
        }
      char handover[sizeof ((struct frame_handover *)0)->payload];
      struct token *t = cut_at_token (g, &run, now_ns);
      if (t != NULL)
        g_strlcpy (handover, t->handover.payload, sizeof handover);
      send_order (g, &run, hold_ns, t == NULL ? NULL : handover, now_ns);
      if (t != NULL)
        t->until_ns = 0;
      g->looked = run.to + 1;
    }
}

void
grants_rescan (struct grants *g)
{
  g->looked = 0;
  g->look_ns = 0;
}

void
grants_release_closed (struct grants *g, int64_t now_ns)
{
  struct key_range run;
  uint32_t from = 0;
  while (holdings_next_release (g->holdings, from, now_ns, &run))
    {
      send_order (g, &run, 0, NULL, now_ns);
      from = run.to + 1;
    }
}

bool
grants_has_handover (const struct grants *g, uint32_t key)
{
  for (guint i = 0; i < g->tokens->len; i++)
    {
      const struct token *t = &g_array_index (g->tokens, struct token, i);
      if (!t->given && t->handover.from <= key && key <= t->handover.to)
        return true;
    }
  return false;
}

struct grants *
grants_new (const struct grants_deps *parts)
{
  struct grants *g = g_new0 (struct grants, 1);
  g->parts = *parts;
  g->holdings = holdings_new (parts->settings->key_space);
  g->tokens = g_array_new (FALSE, FALSE, sizeof (struct token));
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
  keep_token (g, h, false);
}

void
grants_forward_handovers (struct grants *g, grants_handover_fn *pass,
                          void *arg)
{
  for (guint i = 0; i < g->tokens->len; i++)
    {
      struct token *t = &g_array_index (g->tokens, struct token, i);
      if (t->given && pass (arg, &t->handover))
        t->until_ns = 0;
    }
}
