#include "mesh/directory.h"

#include "base/log.h"
#include "settings/address.h"
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Lifetime of an entry that its node does not renew.  */
#define ENTRY_TTL_S 120
#define ENTRY_RENEW_MS 40000
/* Where nodes may read stale lists: more rarely, as the price of calls counts
   there.  Leaves time to repeat a failed renewal.  */
#define ENTRY_RENEW_SLOW_MS 90000
/* Back-off before a failed call of the store is repeated.  */
#define RETRY_MS 500

struct directory
{
  struct directory_deps deps;
  uv_timer_t timer;
  int64_t lease;      /* store lease of this node's entry; 0: none */
  bool others_listed; /* the other nodes were read once */
};

static void on_timer (uv_timer_t *timer);

static bool
saves_calls (const struct directory *d)
{
  return d->deps.settings->reduce_store_calls;
}

static void
renew_later (struct directory *d)
{
  uv_timer_start (&d->timer, on_timer,
                  saves_calls (d) ? ENTRY_RENEW_SLOW_MS : ENTRY_RENEW_MS, 0);
}

static void
submit (struct directory *d, struct store_job *job)
{
  job->reply_to = d->deps.inbox;
  store_worker_submit (d->deps.worker, job);
}

static void
submit_entry (struct directory *d)
{
  struct store_job *job = calloc (1, sizeof *job);
  char text[ADDRESS_TEXT_BYTES];
  if (job == NULL)
    abort ();
  settings_address_format (&d->deps.settings->peers, text);
  job->call = STORE_LEASE;
  job->ttl_s = ENTRY_TTL_S;
  job->lease = d->lease;
  snprintf (job->key, sizeof job->key, "%s/node/%s",
            d->deps.settings->store_prefix, text);
  job->data = strdup (text);
  job->length = strlen (text);
  submit (d, job);
}

static void
submit_list (struct directory *d, bool stale_ok)
{
  struct store_job *job = calloc (1, sizeof *job);
  if (job == NULL)
    abort ();
  job->call = STORE_LIST;
  job->stale_ok = stale_ok;
  snprintf (job->key, sizeof job->key, "%s/node/",
            d->deps.settings->store_prefix);
  submit (d, job);
}

static void
on_timer (uv_timer_t *timer)
{
  struct directory *d = timer->data;
  if (d->lease == 0 || d->others_listed)
    submit_entry (d);
  else
    submit_list (d, saves_calls (d));
}

static void
on_entry_written (struct directory *d, const struct store_job *job)
{
  if (job->status != STATUS_OK)
    {
      d->lease = 0;
      uv_timer_start (&d->timer, on_timer, RETRY_MS, 0);
      return;
    }
  if (d->lease != job->lease)
    log_event (EV_ANNOUNCED, "node=%s lease=%" PRId64, d->deps.settings->name,
               job->lease);
  d->lease = job->lease;
  if (d->others_listed)
    renew_later (d);
  else
    submit_list (d, saves_calls (d));
}

static void
add_node (struct directory *d, const char *text)
{
  struct settings_address address;
  if (settings_address_parse (text, &address) != ADDRESS_VALID)
    {
      log_event (EV_PEER_BAD_MESSAGE, "cause=\"malformed entry\" text=%.60s",
                 text);
      return;
    }
  nodes_add (d->deps.nodes, &address);
}

/* Whether the list has the own entry, and so is newer than that.  */
static bool
has_own_entry (const struct directory *d, const GPtrArray *values)
{
  char own[ADDRESS_TEXT_BYTES];
  settings_address_format (&d->deps.settings->peers, own);
  for (guint i = 0; i < values->len; i++)
    if (strcmp (g_ptr_array_index (values, i), own) == 0)
      return true;
  return false;
}

static void
on_nodes_listed (struct directory *d, const struct store_job *job)
{
  if (job->status != STATUS_OK)
    {
      uv_timer_start (&d->timer, on_timer, RETRY_MS, 0);
      return;
    }
  if (job->stale_ok && !has_own_entry (d, job->values))
    {
      submit_list (d, false);
      return;
    }
  for (guint i = 0; i < job->values->len; i++)
    add_node (d, g_ptr_array_index (job->values, i));
  d->others_listed = true;
  renew_later (d);
}

void
directory_on_store_reply (struct directory *d, const struct store_job *job)
{
  if (job->call == STORE_LIST)
    on_nodes_listed (d, job);
  else
    on_entry_written (d, job);
}

struct directory *
directory_open (const struct directory_deps *deps)
{
  struct directory *d = g_new0 (struct directory, 1);
  d->deps = *deps;
  uv_timer_init (deps->loop, &d->timer);
  d->timer.data = d;
  submit_entry (d);
  return d;
}
