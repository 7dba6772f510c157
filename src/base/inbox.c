#include "base/inbox.h"
#include "base/clock.h"
#include "base/counter.h"

#include <ck_pr.h>
#include <ck_ring.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

enum
{
  FULL_RETRY_INTERVAL_NS = 200000
};

struct inbox
{
  ck_ring_t ring;
  ck_ring_buffer_t *buffer;
  int event_fd;
  unsigned wakeup_armed; /* the next producer writes EVENT_FD */
};

unsigned
inbox_capacity_for (unsigned items)
{
  unsigned capacity = 2;
  while (capacity <= items)
    capacity *= 2;
  return capacity;
}

struct inbox *
inbox_new (unsigned capacity)
{
  struct inbox *in = NULL;
  if (posix_memalign ((void **)&in, CK_MD_CACHELINE, sizeof *in) != 0)
    return NULL;
  in->buffer = calloc (capacity, sizeof *in->buffer);
  in->event_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  in->wakeup_armed = 0;
  ck_ring_init (&in->ring, capacity);
  if (in->buffer != NULL && in->event_fd >= 0)
    return in;
  if (in->event_fd >= 0)
    close (in->event_fd);
  free (in->buffer);
  free (in);
  return NULL;
}

void
inbox_free (struct inbox *in)
{
  if (in == NULL)
    return;
  close (in->event_fd);
  free (in->buffer);
  free (in);
}

void
inbox_wake (struct inbox *in)
{
  uint64_t one = 1;
  ssize_t ignored = write (in->event_fd, &one, sizeof one);
  (void)ignored;
}

enum status
inbox_put (struct inbox *in, void *item)
{
  if (!ck_ring_enqueue_mpsc (&in->ring, in->buffer, item))
    {
      counter_add (COUNTER_ring_full_total, 1);
      return status_set (STATUS_FULL, "ring is full");
    }
  ck_pr_fence_memory ();
  if (ck_pr_load_uint (&in->wakeup_armed) != 0
      && ck_pr_fas_uint (&in->wakeup_armed, 0) != 0)
    inbox_wake (in);
  return STATUS_OK;
}

void
inbox_put_blocking (struct inbox *in, void *item)
{
  while (inbox_put (in, item) != STATUS_OK)
    clock_sleep_ns (FULL_RETRY_INTERVAL_NS);
}

void *
inbox_take (struct inbox *in)
{
  void *item = NULL;
  if (!ck_ring_dequeue_mpsc (&in->ring, in->buffer, &item))
    return NULL;
  return item;
}

int
inbox_fd (const struct inbox *in)
{
  return in->event_fd;
}

bool
inbox_arm_wakeup (struct inbox *in)
{
  ck_pr_store_uint (&in->wakeup_armed, 1);
  ck_pr_fence_memory ();
  if (ck_ring_size (&in->ring) == 0)
    return true;
  ck_pr_store_uint (&in->wakeup_armed, 0);
  return false;
}

void
inbox_clear_wakeup (struct inbox *in)
{
  uint64_t count;
  ck_pr_store_uint (&in->wakeup_armed, 0);
  ssize_t ignored = read (in->event_fd, &count, sizeof count);
  (void)ignored;
}
