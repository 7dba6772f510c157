#include "route/storeq.h"

#include "store/etcd.h"
#include <stdlib.h>

struct storeq
{
  struct service service;
  const struct settings *settings;
  struct store_worker *worker;
};

static enum status
storeq_start (struct service *self)
{
  struct storeq *q = (struct storeq *)self;
  const struct settings *s = q->settings;
  q->worker = store_worker_start (
      etcd_new (s->stores, s->store_count, s->store_timeout_ms));
  return q->worker == NULL ? STATUS_SYSTEM : STATUS_OK;
}

static void
storeq_stop (struct service *self)
{
  store_worker_stop (((struct storeq *)self)->worker);
}

static void
storeq_free (struct service *self)
{
  struct storeq *q = (struct storeq *)self;
  store_worker_free (q->worker);
  free (q);
}

static const struct service_ops storeq_ops = {
  STOREQ_SERVICE, storeq_start, NULL, storeq_stop, storeq_free,
};

struct service *
storeq_new (struct kernel *k, const struct settings *s, struct map *m)
{
  (void)k;
  (void)m;
  struct storeq *q = calloc (1, sizeof *q);
  if (q == NULL)
    return NULL;
  q->service.ops = &storeq_ops;
  q->settings = s;
  return &q->service;
}

void
storeq_submit (struct service *storeq, struct store_job *job)
{
  store_worker_submit (((struct storeq *)storeq)->worker, job);
}
