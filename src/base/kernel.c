#include "base/kernel.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

enum
{
  SERVICES_MAX = 32
};

struct kernel
{
  struct service *services[SERVICES_MAX];
  unsigned service_count;
  unsigned started_count;
};

struct kernel *
kernel_new (void)
{
  return calloc (1, sizeof (struct kernel));
}

static enum status
check_registration (struct kernel *k, struct service *service)
{
  if (k->service_count == SERVICES_MAX)
    return status_set (STATUS_FULL, "more than %d services", SERVICES_MAX);
  if (kernel_find (k, service->ops->name) != NULL)
    return status_set (STATUS_CONFLICT, "two services named %s",
                       service->ops->name);
  return STATUS_OK;
}

static void
stop_started (struct kernel *k)
{
  while (k->started_count > 0)
    {
      struct service *s = k->services[--k->started_count];
      s->ops->stop (s);
    }
}

enum status
kernel_register (struct kernel *k, struct service *service)
{
  if (service == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for a service");
  enum status s = check_registration (k, service);
  if (s != STATUS_OK)
    {
      service->ops->free (service);
      return s;
    }
  k->services[k->service_count++] = service;
  return STATUS_OK;
}

struct service *
kernel_find (struct kernel *k, const char *name)
{
  for (unsigned i = 0; i < k->service_count; i++)
    if (strcmp (k->services[i]->ops->name, name) == 0)
      return k->services[i];
  return NULL;
}

enum status
kernel_start (struct kernel *k)
{
  for (unsigned i = 0; i < k->service_count; i++)
    {
      struct service *service = k->services[i];
      enum status s = service->ops->start (service);
      if (s != STATUS_OK)
        {
          log_event (EV_START_FAILED, "service=%s status=\"%s\" reason=\"%s\"",
                     service->ops->name, status_text (s), status_message ());
          stop_started (k);
          return s;
        }
      k->started_count = i + 1;
    }
  return STATUS_OK;
}

void
kernel_stop (struct kernel *k)
{
  for (unsigned i = k->started_count; i > 0; i--)
    {
      struct service *s = k->services[i - 1];
      if (s->ops->drain != NULL)
        s->ops->drain (s);
    }
  stop_started (k);
}

void
kernel_free (struct kernel *k)
{
  if (k == NULL)
    return;
  stop_started (k);
  while (k->service_count > 0)
    {
      struct service *s = k->services[--k->service_count];
      s->ops->free (s);
    }
  free (k);
}
