#include "store/worker.h"

#include "base/log.h"

#include <ck_pr.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>

enum
{
  INBOX_CAPACITY = 64,
  /* Attempts at a write after conflicts, which are rare because a node's entry
     has only one writer.  */
  WRITE_ATTEMPTS_MAX = 3
};

struct store_worker
{
  struct store *store;
  struct inbox *inbox;
  bool unavailable;
  pthread_t thread;
  uint32_t stopping;
};

static void
record_availability (struct store_worker *w, enum status s)
{
  bool unavailable
      = s == STATUS_TIMEOUT || s == STATUS_UNAVAILABLE || s == STATUS_IN_DOUBT;
  if (unavailable == w->unavailable)
    return;
  w->unavailable = unavailable;
  log_event (unavailable ? EV_STORE_DOWN : EV_STORE_UP, "status=\"%s\"",
             unavailable ? status_message () : status_text (s));
}

static bool
append_value (void *arg, const char *key, const struct store_value *value)
{
  (void)key;
  g_ptr_array_add (arg, g_strndup (value->data, value->length));
  return true;
}

static enum status
run_list (struct store_worker *w, struct store_job *job)
{
  job->values = g_ptr_array_new_with_free_func (g_free);
  return w->store->ops->list (w->store, job->key, append_value, job->values);
}

/* Write the job's data under its lease, replacing any value of the key.  */
static enum status
write_leased (struct store_worker *w, struct store_job *job)
{
  const struct store_ops *ops = w->store->ops;
  enum status s = STATUS_CONFLICT;
  for (int i = 0; i < WRITE_ATTEMPTS_MAX && s == STATUS_CONFLICT; i++)
    {
      struct store_value value;
      s = ops->get (w->store, job->key, &value);
      if (s != STATUS_OK && s != STATUS_NOT_FOUND)
        return s;
      s = ops->swap (w->store, job->key, value.revision, job->data,
                     job->length, job->lease, &job->revision);
      store_value_clear (&value);
    }
  return s;
}

static enum status
run_lease (struct store_worker *w, struct store_job *job)
{
  const struct store_ops *ops = w->store->ops;
  if (job->lease != 0)
    {
      enum status s = ops->lease_renew (w->store, job->lease);
      if (s != STATUS_NOT_FOUND)
        return s;
    }
  enum status s = ops->lease_grant (w->store, job->ttl_s, &job->lease);
  if (s != STATUS_OK)
    {
      job->lease = 0;
      return s;
    }
  return write_leased (w, job);
}

static enum status
run_job (struct store_worker *w, struct store_job *job)
{
  const struct store_ops *ops = w->store->ops;
  w->store->may_read_stale = job->stale_ok;
  switch (job->call)
    {
    case STORE_READ:
      return ops->get (w->store, job->key, &job->value);
    case STORE_LIST:
      return run_list (w, job);
    case STORE_LEASE:
      return run_lease (w, job);
    default:
      return ops->swap (w->store, job->key, job->expected_revision, job->data,
                        job->length, 0, &job->revision);
    }
}

static void
wait_for_jobs (struct store_worker *w)
{
  struct pollfd fd = { .fd = inbox_fd (w->inbox), .events = POLLIN };
  if (inbox_arm_wakeup (w->inbox))
    poll (&fd, 1, -1);
  inbox_clear_wakeup (w->inbox);
}

static void *
worker_run (void *arg)
{
  struct store_worker *w = arg;
  while (ck_pr_load_32 (&w->stopping) == 0)
    {
      struct store_job *job;
      while (ck_pr_load_32 (&w->stopping) == 0
             && (job = inbox_take (w->inbox)) != NULL)
        {
          job->status = run_job (w, job);
          record_availability (w, job->status);
          inbox_put_blocking (job->reply_to, job);
        }
      wait_for_jobs (w);
    }
  return NULL;
}

struct store_worker *
store_worker_start (struct store *st)
{
  struct store_worker *w = calloc (1, sizeof *w);
  if (w != NULL)
    w->inbox = inbox_new (INBOX_CAPACITY);
  if (st == NULL || w == NULL || w->inbox == NULL)
    {
      status_set (STATUS_NO_MEMORY, "no memory for the store");
      free (w);
      return NULL;
    }
  w->store = st;
  if (pthread_create (&w->thread, NULL, worker_run, w) == 0)
    return w;
  status_set (STATUS_SYSTEM, "cannot create the store thread");
  store_worker_free (w);
  return NULL;
}

static void
reject_job (struct store_job *job)
{
  job->status = STATUS_UNAVAILABLE;
  inbox_put_blocking (job->reply_to, job);
}

/* Return the jobs that were not started as STATUS_UNAVAILABLE.  */
static void
reject_queued_jobs (struct store_worker *w)
{
  struct store_job *job;
  while ((job = inbox_take (w->inbox)) != NULL)
    reject_job (job);
}

void
store_worker_stop (struct store_worker *w)
{
  ck_pr_store_32 (&w->stopping, 1);
  inbox_wake (w->inbox);
  pthread_join (w->thread, NULL);
  reject_queued_jobs (w);
}

void
store_worker_free (struct store_worker *w)
{
  if (w == NULL)
    return;
  inbox_free (w->inbox);
  w->store->ops->free (w->store);
  free (w);
}

void
store_worker_submit (struct store_worker *w, struct store_job *job)
{
  job->header.kind = INBOX_MESSAGE_STORE_JOB;
  if (inbox_put (w->inbox, job) != STATUS_OK)
    reject_job (job);
}

void
store_job_free (struct store_job *job)
{
  if (job->values != NULL)
    g_ptr_array_free (job->values, TRUE);
  free (job->data);
  store_value_clear (&job->value);
  free (job);
}
