/* The microkernel: a registry of the services of the process, which find each
   other by name.

   Services are started in the order of their registration and stopped in the
   reverse order.  All are drained before the first is stopped, so that a
   service can still use the others while it completes its work.  */

#ifndef BASE_KERNEL_H
#define BASE_KERNEL_H

#include "base/status.h"

struct kernel;
struct service;

struct service_ops
{
  const char *name;
  /* Start the threads.  The services registered earlier are running.  */
  enum status (*start) (struct service *self);
  /* Accept no new work and return when the accepted work is complete; may be
     NULL.  */
  void (*drain) (struct service *self);
  /* Stop and join the threads.  */
  void (*stop) (struct service *self);
  void (*free) (struct service *self);
};

/* The base type: the first member of every service.  */
struct service
{
  const struct service_ops *ops;
};

/* A new kernel without services, or NULL if out of memory.  */
struct kernel *kernel_new (void);

/* Stop the running services and free K with all services.  K may be NULL.  */
void kernel_free (struct kernel *k);

/* Register SERVICE and take ownership of it; on failure it is freed.
   STATUS_CONFLICT if the name is taken, STATUS_FULL if there are too many
   services, STATUS_NO_MEMORY if SERVICE is NULL, as after a failed
   allocation.  */
enum status kernel_register (struct kernel *k, struct service *service);

/* The service called NAME, or NULL.  */
struct service *kernel_find (struct kernel *k, const char *name);

/* Start all services in the order of registration.  On failure the started
   ones are stopped, and the status and message are those of the service that
   failed.  */
enum status kernel_start (struct kernel *k);

/* Drain all services, then stop them, both in the reverse order of
   registration.  */
void kernel_stop (struct kernel *k);

#endif
