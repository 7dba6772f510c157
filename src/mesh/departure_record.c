#include "mesh/departure_record.h"

#include "base/clock.h"
#include "base/log.h"
#include "settings/address.h"
#include "store/backoff.h"
#include <stdlib.h>
#include <string.h>

/* How long the record is kept: the longest time that the store grants.  */
#define DEPARTURE_TTL_S 600
/* How long an acknowledgement waits for the record: half of the time after
   which a target takes it for missing.  */
#define DEPARTURE_ACK_WAIT_MS 500

struct departure_record
{
  struct departure_record_deps deps;
  char key[STORE_JOB_KEY_BYTES];
  uv_timer_t timer; /* of the next attempt of a call that failed */
  struct backoff backoff;
  bool read;
  bool in_flight;   /* a call of the store */
  GString *text;    /* to be in the store; NULL: nothing has left */
  bool text_stored; /* it is */
  bool text_sent;   /* in the call in flight */
  uint32_t era;     /* of the store, as last stated; 0: none */
  GQueue acks;      /* struct ack, that wait for the record */
};

/* An acknowledgement that waits.  */
struct ack
{
  struct departure_record *record;
  GList link;
  struct http_server_exchange *exchange;
  const char *body;
  uv_timer_t timer;
};

static void
submit (struct departure_record *r, struct store_job *job)
{
  g_strlcpy (job->key, r->key, sizeof job->key);
  job->reply_to = r->deps.inbox;
  r->in_flight = true;
  store_worker_submit (r->deps.worker, job);
}

static struct store_job *
job_new (enum store_call call)
{
  struct store_job *job = calloc (1, sizeof *job);
  if (job == NULL)
    abort ();
  job->call = call;
  return job;
}

/* Reads before it writes, so that the write holds what was there before.  */
static void
submit_next (struct departure_record *r)
{
  if (r->in_flight || uv_is_active ((uv_handle_t *)&r->timer))
    return;
  if (!r->read)
    {
      submit (r, job_new (STORE_READ));
      return;
    }
  if (!departure_record_is_pending (r))
    return;
  struct store_job *job = job_new (STORE_LEASE);
  job->ttl_s = DEPARTURE_TTL_S;
  job->data = strdup (r->text->str);
  job->length = r->text->len;
  r->text_sent = true;
  submit (r, job);
}

static void
on_timer (uv_timer_t *timer)
{
  submit_next (timer->data);
}

static void
on_read (struct departure_record *r, const struct store_job *job)
{
  r->read = true;
  log_event (EV_DEPARTURES_READ, "node=%s bytes=%zu", r->deps.settings->name,
             job->value.length);
  r->deps.read (r->deps.arg, job->value.data == NULL ? "" : job->value.data);
}

/* Acknowledgements.  */

static void
on_ack_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
ack_free (struct ack *a)
{
  g_queue_unlink (&a->record->acks, &a->link);
  uv_close ((uv_handle_t *)&a->timer, on_ack_closed);
}

static void
acknowledge (struct http_server_exchange *exchange, const char *body)
{
  http_respond (exchange, 200, "Content-Type: application/json\r\n", body,
                strlen (body));
}

static void
finish_ack (struct ack *a)
{
  struct http_server_exchange *exchange = a->exchange;
  const char *body = a->body;
  ack_free (a);
  acknowledge (exchange, body);
}

static void
on_ack_timer (uv_timer_t *timer)
{
  struct ack *a = timer->data;
  log_event (EV_DEPARTURE_UNWRITTEN, "node=%s waited_ms=%d",
             a->record->deps.settings->name, DEPARTURE_ACK_WAIT_MS);
  finish_ack (a);
}

static void
on_target_gone (struct http_server_exchange *exchange)
{
  ack_free (exchange->user_data);
}

void
departure_record_acknowledge (struct departure_record *r,
                              struct http_server_exchange *exchange,
                              const char *body)
{
  if (!departure_record_is_pending (r))
    {
      acknowledge (exchange, body);
      return;
    }
  struct ack *a = g_new0 (struct ack, 1);
  a->record = r;
  a->exchange = exchange;
  a->body = body;
  a->link.data = a;
  g_queue_push_tail_link (&r->acks, &a->link);
  exchange->user_data = a;
  exchange->on_disconnect = on_target_gone;
  uv_timer_init (r->deps.loop, &a->timer);
  a->timer.data = a;
  uv_timer_start (&a->timer, on_ack_timer, DEPARTURE_ACK_WAIT_MS, 0);
}

/* A list that was given meanwhile is written next.  */
static void
on_written (struct departure_record *r)
{
  r->text_stored = r->text_sent;
  if (!r->text_stored)
    return;
  log_event (EV_DEPARTURE_WRITTEN, "node=%s bytes=%zu", r->deps.settings->name,
             r->text->len);
  GList *link;
  while ((link = g_queue_peek_head_link (&r->acks)) != NULL)
    finish_ack (link->data);
}

bool
departure_record_on_store_reply (struct departure_record *r,
                                 struct store_job *job, int64_t now_ns)
{
  if (strcmp (job->key, r->key) != 0)
    return false;
  r->in_flight = false;
  bool absent = job->call == STORE_READ && job->status == STATUS_NOT_FOUND;
  if (job->status != STATUS_OK && !absent)
    {
      backoff_record_failure (&r->backoff, now_ns, g_random_int ());
      uv_timer_start (
          &r->timer, on_timer,
          (uint64_t)(backoff_remaining_ns (&r->backoff, now_ns) / NS_PER_MS)
              + 1,
          0);
    }
  else
    {
      backoff_record_success (&r->backoff);
      if (job->call == STORE_READ)
        on_read (r, job);
      else
        on_written (r);
    }
  store_job_free (job);
  submit_next (r);
  return true;
}

void
departure_record_write (struct departure_record *r, const struct departed *d)
{
  if (r->text != NULL)
    g_string_free (r->text, TRUE);
  r->text = departed_format (d);
  r->text_stored = false;
  r->text_sent = false;
  submit_next (r);
}

bool
departure_record_is_pending (const struct departure_record *r)
{
  return r->text != NULL && !r->text_stored;
}

void
departure_record_on_era (struct departure_record *r, uint32_t era)
{
  bool restored = r->era != 0 && era > r->era;
  if (era > r->era)
    r->era = era;
  if (!restored || r->text == NULL)
    return;
  r->text_stored = false;
  r->text_sent = false;
  submit_next (r);
}

struct departure_record *
departure_record_open (const struct departure_record_deps *deps)
{
  struct departure_record *r = g_new0 (struct departure_record, 1);
  char address[ADDRESS_TEXT_BYTES];
  r->deps = *deps;
  settings_address_format (&deps->settings->peers, address);
  snprintf (r->key, sizeof r->key, "%s/left/%s", deps->settings->store_prefix,
            address);
  g_queue_init (&r->acks);
  uv_timer_init (deps->loop, &r->timer);
  r->timer.data = r;
  submit_next (r);
  return r;
}
