#include "mesh/directory.h"

#include "base/log.h"
#include "settings/address.h"
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* How long a node stays listed that does not renew its entry.  */
#define LISTED_S 120
#define LISTED_RENEW_MS 40000
/* Pause before the store is asked again for the list.  */
#define LIST_AGAIN_MS 500

struct directory
{
  struct directory_deps parts;
  uv_timer_t timer;
  int64_t lease; /* of the own entry; 0: none */
  bool listed;   /* the others were listed once */
};

static void on_list_timer (uv_timer_t *timer);

static void
submit (struct directory *d, struct store_job *job)
{
  job->reply_to = d->parts.inbox;
  store_worker_submit (d->parts.worker, job);
}

static void
submit_entry (struct directory *d)
{
  struct store_job *job = calloc (1, sizeof *job);
  char text[ADDRESS_TEXT_BYTES];
  if (job == NULL)
    abort ();
  settings_address_text (&d->parts.settings->peers, text);
  job->call = STORE_LEASE;
  job->ttl_s = LISTED_S;
  job->lease = d->lease;
  snprintf (job->key, sizeof job->key, "%s/node/%s",
            d->parts.settings->store_prefix, text);
  job->data = strdup (text);
  job->length = strlen (text);
  submit (d, job);
}

static void
submit_list (struct directory *d)
{
  struct store_job *job = calloc (1, sizeof *job);
  if (job == NULL)
    abort ();
  job->call = STORE_LIST;
  snprintf (job->key, sizeof job->key, "%s/node/",
            d->parts.settings->store_prefix);
  submit (d, job);
}

static void
on_list_timer (uv_timer_t *timer)
{
  struct directory *d = timer->data;
  if (d->lease == 0 || d->listed)
    submit_entry (d);
  else
    submit_list (d);
}

static void
on_entry (struct directory *d, const struct store_job *job)
{
  if (job->status != STATUS_OK)
    {
      d->lease = 0;
      uv_timer_start (&d->timer, on_list_timer, LIST_AGAIN_MS, 0);
      return;
    }
  if (d->lease != job->lease)
    log_event (EV_ANNOUNCED, "node=%s lease=%" PRId64, d->parts.settings->name,
               job->lease);
  d->lease = job->lease;
  if (d->listed)
    uv_timer_start (&d->timer, on_list_timer, LISTED_RENEW_MS, 0);
  else
    submit_list (d);
}

static void
learn_text (struct directory *d, const char *text)
{
  struct settings_address address;
  if (settings_address_read (text, &address) != ADDRESS_GOOD)
    {
      log_event (EV_PEER_BAD_MESSAGE, "cause=\"malformed entry\" text=%.60s",
                 text);
      return;
    }
  nodes_add (d->parts.nodes, &address);
}

static void
on_listed (struct directory *d, const struct store_job *job)
{
  if (job->status != STATUS_OK)
    {
      uv_timer_start (&d->timer, on_list_timer, LIST_AGAIN_MS, 0);
      return;
    }
  for (guint i = 0; i < job->values->len; i++)
    learn_text (d, g_ptr_array_index (job->values, i));
  d->listed = true;
  uv_timer_start (&d->timer, on_list_timer, LISTED_RENEW_MS, 0);
}

void
directory_on_store_reply (struct directory *d, const struct store_job *job)
{
  if (job->call == STORE_LIST)
    on_listed (d, job);
  else
    on_entry (d, job);
}

struct directory *
directory_open (const struct directory_deps *parts)
{
  struct directory *d = g_new0 (struct directory, 1);
  d->parts = *parts;
  uv_timer_init (parts->loop, &d->timer);
  d->timer.data = d;
  submit_entry (d);
  return d;
}
