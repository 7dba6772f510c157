#include "store/store.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include <stdlib.h>
#include <string.h>

enum
{
  RESOLVE_PAUSE_MS = 10 /* between attempts to resolve an outcome */
};

/* The state of a change in doubt, found by reading the value back.  */
enum readback
{
  READBACK_APPLIED,    /* the value is the one that was written */
  READBACK_SUPERSEDED, /* it took effect, and another change followed */
  READBACK_CONFLICT,   /* another change took effect first */
  READBACK_UNCHANGED   /* no change yet: the write may still arrive */
};

static bool
contains (const struct store_value *value, const char *text)
{
  return value->data != NULL
         && memmem (value->data, value->length, text, strlen (text)) != NULL;
}

static enum readback
classify_readback (const struct store_change *change,
                   const struct store_value *value)
{
  if (contains (value, change->change_id))
    {
      bool equal = value->length == change->length
                   && memcmp (value->data, change->data, change->length) == 0;
      return equal ? READBACK_APPLIED : READBACK_SUPERSEDED;
    }
  if (value->revision == change->expected_revision)
    return READBACK_UNCHANGED;
  return READBACK_CONFLICT;
}

static enum status
swap_change (struct store *st, const struct store_change *c, int64_t *revision)
{
  return st->ops->swap (st, c->key, c->expected_revision, c->data, c->length,
                        c->lease, revision);
}

/* Try once to resolve the outcome of CHANGE; STATUS_IN_DOUBT if it is not
   known yet.  */
static enum status
resolve_once (struct store *st, const struct store_change *change,
              int64_t until_ns, int64_t *revision)
{
  struct store_value value = { 0 };
  enum status status = st->ops->get (st, change->key, &value);
  if (status != STATUS_OK && status != STATUS_NOT_FOUND)
    return STATUS_IN_DOUBT;
  enum readback readback = classify_readback (change, &value);
  int64_t found_revision = value.revision;
  store_value_clear (&value);
  switch (readback)
    {
    case READBACK_APPLIED:
      *revision = found_revision;
      return STATUS_OK;
    case READBACK_SUPERSEDED:
      *revision = 0;
      return STATUS_OK;
    case READBACK_CONFLICT:
      return status_set (STATUS_CONFLICT,
                         "%s: another change took effect first", change->key);
    default:
      break;
    }
  /* It is safe to send the same swap again: at most one of the two finds the
     expected revision.  A conflict may be with the first swap, so the outcome
     stays in doubt.  */
  if (clock_now_ns () >= until_ns)
    return STATUS_IN_DOUBT;
  return swap_change (st, change, revision) == STATUS_OK ? STATUS_OK
                                                         : STATUS_IN_DOUBT;
}

enum status
store_swap_resolved (struct store *st, const struct store_change *change,
                     int64_t until_ns, int64_t *revision)
{
  enum status status = swap_change (st, change, revision);
  if (status != STATUS_IN_DOUBT)
    return status;
  counter_add (COUNTER_store_in_doubt_total, 1);
  log_event (EV_SWAP_IN_DOUBT, "key=%s expected=%lld", change->key,
             (long long)change->expected_revision);
  for (;;)
    {
      status = resolve_once (st, change, until_ns, revision);
      if (status != STATUS_IN_DOUBT)
        return status;
      if (clock_now_ns () + RESOLVE_PAUSE_MS * NS_PER_MS >= until_ns)
        return status_set (STATUS_IN_DOUBT,
                           "%s: the outcome of a swap is unknown",
                           change->key);
      clock_sleep_ms (RESOLVE_PAUSE_MS);
    }
}

void
store_value_clear (struct store_value *value)
{
  free (value->data);
  value->data = NULL;
  value->length = 0;
}
