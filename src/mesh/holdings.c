#include "mesh/holdings.h"

#include <glib.h>

struct holding
{
  int64_t surely_ns;  /* the target holds the key until then */
  int64_t perhaps_ns; /* and may hold it until then */
  int64_t doubt_ns;   /* a grant without an answer may last until then */
  int64_t wait_ns;    /* no grant before */
  bool mine;
  bool closed;
  bool calling;
};

struct holdings
{
  uint32_t count;
  uint32_t token;
  struct holding *keys;
};

struct holdings *
holdings_new (uint32_t count)
{
  struct holdings *h = g_new0 (struct holdings, 1);
  h->count = count;
  h->keys = g_new0 (struct holding, count);
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
  h->keys[key].mine = true;
  if (epoch > h->token)
    h->token = epoch;
}

void
holdings_disown (struct holdings *h, uint32_t key)
{
  h->keys[key].mine = false;
}

uint32_t
holdings_fencing_token (const struct holdings *h)
{
  return h->token;
}

void
holdings_set_closed (struct holdings *h, uint32_t key, bool closed)
{
  h->keys[key].closed = closed;
}

void
holdings_open_all (struct holdings *h)
{
  for (uint32_t i = 0; i < h->count; i++)
    h->keys[i].closed = false;
}

void
holdings_delay_grant (struct holdings *h, uint32_t key, int64_t at_ns)
{
  h->keys[key].wait_ns = at_ns;
}

bool
holdings_can_serve (const struct holdings *h, uint32_t key, int64_t now_ns)
{
  const struct holding *k = &h->keys[key];
  return k->mine && !k->closed && now_ns < k->surely_ns;
}

bool
holdings_is_owned (const struct holdings *h, uint32_t key)
{
  return h->keys[key].mine;
}

bool
holdings_is_closed (const struct holdings *h, uint32_t key)
{
  return h->keys[key].closed;
}

static bool
may_grant (const struct holding *k, int64_t now_ns)
{
  return k->mine && !k->closed && !k->calling && now_ns >= k->wait_ns;
}

bool
holdings_next_due (const struct holdings *h, uint32_t from, int64_t now_ns,
                   int64_t least_ns, struct key_range *run)
{
  uint32_t at = from;
  while (at < h->count)
    {
      bool due = false;
      while (at < h->count && !may_grant (&h->keys[at], now_ns))
        at++;
      run->from = at;
      for (; at < h->count && may_grant (&h->keys[at], now_ns); at++)
        due = due || h->keys[at].surely_ns - now_ns < least_ns;
      run->to = at - 1;
      if (due)
        return true;
    }
  return false;
}

static bool
must_release (const struct holding *k, int64_t now_ns)
{
  return k->closed && !k->calling && k->perhaps_ns > now_ns
         && k->perhaps_ns > k->doubt_ns;
}

bool
holdings_next_release (const struct holdings *h, uint32_t from, int64_t now_ns,
                       struct key_range *run)
{
  uint32_t at = from;
  while (at < h->count && !must_release (&h->keys[at], now_ns))
    at++;
  run->from = at;
  while (at < h->count && must_release (&h->keys[at], now_ns))
    at++;
  run->to = at - 1;
  return run->from < h->count;
}

void
holdings_grant_sent (struct holdings *h, const struct key_range *run)
{
  for (uint32_t i = run->from; i <= run->to; i++)
    h->keys[i].calling = true;
}

void
holdings_release_sent (struct holdings *h, const struct key_range *run)
{
  for (uint32_t i = run->from; i <= run->to; i++)
    {
      h->keys[i].calling = true;
      h->keys[i].surely_ns = 0;
    }
}

static int64_t
later (int64_t a_ns, int64_t b_ns)
{
  return a_ns > b_ns ? a_ns : b_ns;
}

static int64_t
slow_end (int64_t now_ns, int64_t hold_ns)
{
  return now_ns + (int64_t)((double)hold_ns * HOLDINGS_CLOCK_DRIFT_FACTOR);
}

void
holdings_grant_accepted (struct holdings *h, const struct key_range *run,
                         int64_t sent_ns, int64_t hold_ns, int64_t now_ns)
{
  for (uint32_t i = run->from; i <= run->to; i++)
    {
      struct holding *k = &h->keys[i];
      k->calling = false;
      k->surely_ns = later (k->surely_ns, sent_ns + hold_ns);
      k->perhaps_ns = later (k->perhaps_ns, slow_end (now_ns, hold_ns));
    }
}

void
holdings_grant_unanswered (struct holdings *h, const struct key_range *run,
                           int64_t hold_ns, int64_t now_ns)
{
  for (uint32_t i = run->from; i <= run->to; i++)
    {
      struct holding *k = &h->keys[i];
      k->calling = false;
      k->doubt_ns = later (k->doubt_ns, slow_end (now_ns, hold_ns));
      k->perhaps_ns = later (k->perhaps_ns, k->doubt_ns);
    }
}

void
holdings_grant_refused (struct holdings *h, const struct key_range *run)
{
  for (uint32_t i = run->from; i <= run->to; i++)
    h->keys[i].calling = false;
}

void
holdings_release_ended (struct holdings *h, const struct key_range *run,
                        bool answered)
{
  for (uint32_t i = run->from; i <= run->to; i++)
    {
      struct holding *k = &h->keys[i];
      k->calling = false;
      if (!answered)
        continue;
      k->surely_ns = 0;
      /* A grant without an answer may be applied after the release.  */
      k->perhaps_ns = k->doubt_ns;
    }
}

int64_t
holdings_closed_until (const struct holdings *h)
{
  int64_t until_ns = 0;
  for (uint32_t i = 0; i < h->count; i++)
    if (h->keys[i].closed)
      {
        until_ns = later (until_ns, h->keys[i].perhaps_ns);
        if (h->keys[i].calling)
          until_ns = INT64_MAX;
      }
  return until_ns;
}

void
holdings_key_denied (struct holdings *h, uint32_t key)
{
  h->keys[key].surely_ns = 0;
}

void
holdings_assume_held (struct holdings *h, int64_t until_ns)
{
  for (uint32_t i = 0; i < h->count; i++)
    h->keys[i].perhaps_ns = later (h->keys[i].perhaps_ns, until_ns);
}

void
holdings_reset (struct holdings *h)
{
  for (uint32_t i = 0; i < h->count; i++)
    {
      struct holding *k = &h->keys[i];
      k->surely_ns = 0;
      k->perhaps_ns = 0;
      k->doubt_ns = 0;
    }
}
