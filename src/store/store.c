#include "store/store.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include <stdlib.h>
#include <string.h>

enum
{
  RESOLVE_PAUSE_MS = 10 /* between attempts to learn an outcome */
};

/* What a value read back tells of a change in doubt.  */
enum finding
{
  FOUND_OURS,    /* the value is the one written */
  FOUND_LATER,   /* it took effect, another change followed */
  FOUND_FOREIGN, /* another change came first */
  FOUND_NOTHING  /* no change yet: the write may still come */
};

static bool
contains (const struct store_value *value, const char *text)
{
  return value->data != NULL
         && memmem (value->data, value->length, text, strlen (text)) != NULL;
}

static enum finding
judge (const struct store_change *change, const struct store_value *value)
{
  if (contains (value, change->change_id))
    {
      bool same = value->length == change->length
                  && memcmp (value->data, change->data, change->length) == 0;
      return same ? FOUND_OURS : FOUND_LATER;
    }
  if (value->revision == change->expected_revision)
    return FOUND_NOTHING;
  return FOUND_FOREIGN;
}

static enum status
swap (struct store *st, const struct store_change *c, int64_t *revision)
{
  return st->ops->swap (st, c->key, c->expected_revision, c->data, c->length,
                        c->lease, revision);
}

/* Try once to learn what became of CHANGE; STATUS_IN_DOUBT if it cannot be
   told yet.  */
static enum status
resolve_once (struct store *st, const struct store_change *change,
              int64_t until_ns, int64_t *revision)
{
  struct store_value value = { 0 };
  enum status status = st->ops->get (st, change->key, &value);
  if (status != STATUS_OK && status != STATUS_NOT_FOUND)
    return STATUS_IN_DOUBT;
  enum finding finding = judge (change, &value);
  int64_t found = value.revision;
  store_value_clear (&value);
  switch (finding)
    {
    case FOUND_OURS:
      *revision = found;
      return STATUS_OK;
    case FOUND_LATER:
      *revision = 0;
      return STATUS_OK;
    case FOUND_FOREIGN:
      return status_set (STATUS_CONFLICT, "%s: another change came first",
                         change->key);
    default:
      break;
    }
  /* The same swap again is safe: of the two at most one finds the expected
     revision.  A conflict now may be with the first one.  */
  if (clock_now_ns () >= until_ns)
    return STATUS_IN_DOUBT;
  return swap (st, change, revision) == STATUS_OK ? STATUS_OK
                                                  : STATUS_IN_DOUBT;
}

enum status
store_swap_resolved (struct store *st, const struct store_change *change,
                     int64_t until_ns, int64_t *revision)
{
  enum status status = swap (st, change, revision);
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
        return status_set (STATUS_IN_DOUBT, "%s: outcome of a swap not known",
                           change->key);
      clock_pause_ms (RESOLVE_PAUSE_MS);
    }
}

void
store_value_clear (struct store_value *value)
{
  free (value->data);
  value->data = NULL;
  value->length = 0;
}
