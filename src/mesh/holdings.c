#include "mesh/holdings.h"

#include <glib.h>

struct holding
{
  int64_t held_until_ns; /* the target certainly holds the key until then */
  int64_t may_hold_until_ns;   /* the target may hold it until then */
  int64_t unanswered_until_ns; /* an unanswered grant may last until then */
  int64_t grant_after_ns;      /* no grant is sent before this time */
  bool owned;
  bool closed;
  bool call_in_flight;
};

struct holdings
{
  uint32_t key_count;
  uint32_t fencing_token;
  struct holding *keys;
};

struct holdings *
holdings_new (uint32_t key_count)
{
  struct holdings *h = g_new0 (struct holdings, 1);
  h->key_count = key_count;
  h->keys = g_new0 (struct holding, key_count);
  return h;
}

void
holdings_free (struct holdings *h)
{
  if (h == NULL)
    return;
  g_free (h->keys);
  g_free (h);
}

void
holdings_own (struct holdings *h, uint32_t key, uint32_t epoch)
{
  h->keys[key].owned = true;
  if (epoch > h->fencing_token)
    h->fencing_token = epoch;
}

void
holdings_disown (struct holdings *h, uint32_t key)
{
  h->keys[key].owned = false;
}

uint32_t
holdings_fencing_token (const struct holdings *h)
{
  return h->fencing_token;
}

void
holdings_set_closed (struct holdings *h, uint32_t key, bool closed)
{
  h->keys[key].closed = closed;
}

void
holdings_open_all (struct holdings *h)
{
  for (uint32_t i = 0; i < h->key_count; i++)
    h->keys[i].closed = false;
}

void
holdings_delay_grant (struct holdings *h, uint32_t key, int64_t at_ns)
{
  h->keys[key].grant_after_ns = at_ns;
}

bool
holdings_can_serve (const struct holdings *h, uint32_t key, int64_t now_ns)
{
  const struct holding *k = &h->keys[key];
  return k->owned && !k->closed && now_ns < k->held_until_ns;
}

bool
holdings_is_owned (const struct holdings *h, uint32_t key)
{
  return h->keys[key].owned;
}

bool
holdings_is_closed (const struct holdings *h, uint32_t key)
{
  return h->keys[key].closed;
}

static bool
may_grant (const struct holding *k, int64_t now_ns)
{
  return k->owned && !k->closed && !k->call_in_flight
         && now_ns >= k->grant_after_ns;
}

bool
holdings_next_due (const struct holdings *h, uint32_t from, int64_t now_ns,
                   int64_t min_left_ns, struct key_range *range)
{
  uint32_t pos = from;
  while (pos < h->key_count)
    {
      bool due = false;
      while (pos < h->key_count && !may_grant (&h->keys[pos], now_ns))
        pos++;
      range->from = pos;
      for (; pos < h->key_count && may_grant (&h->keys[pos], now_ns); pos++)
        due = due || h->keys[pos].held_until_ns - now_ns < min_left_ns;
      range->to = pos - 1;
      if (due)
        return true;
    }
  return false;
}

static bool
must_release (const struct holding *k, int64_t now_ns)
{
  return k->closed && !k->call_in_flight && k->may_hold_until_ns > now_ns
         && k->may_hold_until_ns > k->unanswered_until_ns;
}

bool
holdings_next_release (const struct holdings *h, uint32_t from, int64_t now_ns,
                       struct key_range *range)
{
  uint32_t pos = from;
  while (pos < h->key_count && !must_release (&h->keys[pos], now_ns))
    pos++;
  range->from = pos;
  while (pos < h->key_count && must_release (&h->keys[pos], now_ns))
    pos++;
  range->to = pos - 1;
  return range->from < h->key_count;
}

void
holdings_grant_sent (struct holdings *h, const struct key_range *range)
{
  for (uint32_t i = range->from; i <= range->to; i++)
    h->keys[i].call_in_flight = true;
}

void
holdings_release_sent (struct holdings *h, const struct key_range *range)
{
  for (uint32_t i = range->from; i <= range->to; i++)
    {
      h->keys[i].call_in_flight = true;
      h->keys[i].held_until_ns = 0;
    }
}

static int64_t
later_of (int64_t a_ns, int64_t b_ns)
{
  return a_ns > b_ns ? a_ns : b_ns;
}

static int64_t
latest_end_ns (int64_t now_ns, int64_t hold_ns)
{
  return now_ns + (int64_t)((double)hold_ns * HOLDINGS_CLOCK_DRIFT_FACTOR);
}

void
holdings_grant_accepted (struct holdings *h, const struct key_range *range,
                         int64_t sent_ns, int64_t hold_ns, int64_t now_ns)
{
  for (uint32_t i = range->from; i <= range->to; i++)
    {
      struct holding *k = &h->keys[i];
      k->call_in_flight = false;
      k->held_until_ns = later_of (k->held_until_ns, sent_ns + hold_ns);
      k->may_hold_until_ns
          = later_of (k->may_hold_until_ns, latest_end_ns (now_ns, hold_ns));
    }
}

void
holdings_grant_unanswered (struct holdings *h, const struct key_range *range,
                           int64_t hold_ns, int64_t now_ns)
{
  for (uint32_t i = range->from; i <= range->to; i++)
    {
      struct holding *k = &h->keys[i];
      k->call_in_flight = false;
      k->unanswered_until_ns
          = later_of (k->unanswered_until_ns, latest_end_ns (now_ns, hold_ns));
      k->may_hold_until_ns
          = later_of (k->may_hold_until_ns, k->unanswered_until_ns);
    }
}

void
holdings_grant_refused (struct holdings *h, const struct key_range *range)
{
  for (uint32_t i = range->from; i <= range->to; i++)
    h->keys[i].call_in_flight = false;
}

void
holdings_release_ended (struct holdings *h, const struct key_range *range,
                        bool answered)
{
  for (uint32_t i = range->from; i <= range->to; i++)
    {
      struct holding *k = &h->keys[i];
      k->call_in_flight = false;
      if (!answered)
        continue;
      k->held_until_ns = 0;
      /* An unanswered grant may be applied after the release.  */
      k->may_hold_until_ns = k->unanswered_until_ns;
    }
}

int64_t
holdings_closed_until (const struct holdings *h)
{
  int64_t until_ns = 0;
  for (uint32_t i = 0; i < h->key_count; i++)
    if (h->keys[i].closed)
      {
        until_ns = later_of (until_ns, h->keys[i].may_hold_until_ns);
        if (h->keys[i].call_in_flight)
          until_ns = INT64_MAX;
      }
  return until_ns;
}

void
holdings_key_denied (struct holdings *h, uint32_t key)
{
  h->keys[key].held_until_ns = 0;
}

void
holdings_assume_held (struct holdings *h, int64_t until_ns)
{
  for (uint32_t i = 0; i < h->key_count; i++)
    h->keys[i].may_hold_until_ns
        = later_of (h->keys[i].may_hold_until_ns, until_ns);
}

void
holdings_distrust (struct holdings *h)
{
  for (uint32_t i = 0; i < h->key_count; i++)
    {
      struct holding *k = &h->keys[i];
      k->unanswered_until_ns
          = later_of (k->unanswered_until_ns, k->may_hold_until_ns);
    }
}

void
holdings_reset (struct holdings *h)
{
  for (uint32_t i = 0; i < h->key_count; i++)
    {
      struct holding *k = &h->keys[i];
      k->held_until_ns = 0;
      k->may_hold_until_ns = 0;
      k->unanswered_until_ns = 0;
    }
}
