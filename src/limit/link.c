#include "limit/link.h"

#include "base/clock.h"
#include <math.h>
#include <string.h>

/* One bit at one kbit/s takes a millisecond.  */
#define BYTE_NS (8 * NS_PER_MS)
/* Share of the link that parts and what is charged may use.  The rest is for
   leases and headers of packets, and keeps the queue on this side of the
   link.  */
#define SHARE_USED 0.9
/* Tokens that an idle link accumulates: a few parts, and two milliseconds of a
   fast link, so that the resolution of timers does not limit its rate.  */
#define QUEUE_BURST_PARTS 2
#define BURST_NS (2 * NS_PER_MS)
/* Limit on the debt, in time of the link.  Small frames beyond that leave
   nothing anyway.  */
#define DEBT_MAX_NS (250 * NS_PER_MS)
#define METER_TIME_CONSTANT_NS (1 * NS_PER_S)
/* Share of the link that is assumed to be left for admitted bodies, whatever
   else was received.  */
#define SHARE_LEFT_MIN 0.25

int64_t
link_time_ns (uint64_t bytes, uint32_t kbps)
{
  return (int64_t)((double)bytes * (double)BYTE_NS / kbps);
}

static double
bytes_in (int64_t ns, uint32_t kbps)
{
  return (double)ns * kbps / (double)BYTE_NS;
}

static double
meter_at (const struct link_meter *m, int64_t now_ns)
{
  return m->bytes
         * exp (-(double)(now_ns - m->at_ns) / (double)METER_TIME_CONSTANT_NS);
}

void
link_meter_add (struct link_meter *m, double bytes, int64_t now_ns)
{
  m->bytes = fmax (0, meter_at (m, now_ns) + bytes);
  m->at_ns = now_ns;
}

uint32_t
link_rate_left_kbps (const struct link_meter *m, uint32_t kbps, int64_t now_ns)
{
  double used = meter_at (m, now_ns) / bytes_in (METER_TIME_CONSTANT_NS, kbps);
  return (uint32_t)ceil (kbps * fmax (SHARE_LEFT_MIN, SHARE_USED - used));
}

void
link_bucket_init (struct link_bucket *b, uint32_t kbps, unsigned parts,
                  int64_t now_ns)
{
  b->kbps = kbps;
  b->burst = (double)parts * LINK_SMALL_BYTES + bytes_in (BURST_NS, kbps);
  b->tokens = b->burst;
  b->tokens_ns = now_ns;
}

static double
tokens_at (const struct link_bucket *b, int64_t now_ns)
{
  double earned = bytes_in (now_ns - b->tokens_ns, b->kbps) * SHARE_USED;
  return fmin (b->burst, b->tokens + earned);
}

void
link_bucket_take (struct link_bucket *b, size_t bytes, int64_t now_ns)
{
  double debt_max = bytes_in (DEBT_MAX_NS, b->kbps);
  b->tokens = fmax (-debt_max, tokens_at (b, now_ns) - (double)bytes);
  b->tokens_ns = now_ns;
}

int64_t
link_bucket_wait_ns (const struct link_bucket *b, int64_t now_ns)
{
  double tokens = tokens_at (b, now_ns);
  if (tokens > 0)
    return 0;
  return 1
         + (int64_t)(-tokens / SHARE_USED / bytes_in (NS_PER_S, b->kbps)
                     * (double)NS_PER_S);
}

void
link_queue_init (struct link_queue *q, uint32_t kbps, int64_t now_ns)
{
  memset (q, 0, sizeof *q);
  link_bucket_init (&q->bucket, kbps, QUEUE_BURST_PARTS, now_ns);
}

static gint
compare_items (gconstpointer a, gconstpointer b)
{
  const struct link_item *x = a;
  const struct link_item *y = b;
  if (x->priority != y->priority)
    return x->priority < y->priority ? -1 : 1;
  if (x->soft_deadline_ns != y->soft_deadline_ns)
    return x->soft_deadline_ns < y->soft_deadline_ns ? -1 : 1;
  return x->sequence < y->sequence ? -1 : 1;
}

void
link_queue_add (struct link_queue *q, struct link_item *item)
{
  GList *at = q->items.tail;
  item->sequence = ++q->last_sequence;
  item->list_link = (GList){ .data = item };
  while (at != NULL && compare_items (item, at->data) < 0)
    at = at->prev;
  if (at == NULL)
    g_queue_push_head_link (&q->items, &item->list_link);
  else
    g_queue_insert_after_link (&q->items, at, &item->list_link);
  q->unsent += item->unsent;
}

void
link_queue_remove (struct link_queue *q, struct link_item *item)
{
  if (item->unsent == 0)
    return;
  g_queue_unlink (&q->items, &item->list_link);
  q->unsent -= item->unsent;
  item->unsent = 0;
}

struct link_item *
link_queue_next (struct link_queue *q, link_item_wait *wait, size_t *bytes,
                 int64_t *wait_ns, int64_t now_ns)
{
  int64_t tokens_wait_ns = link_bucket_wait_ns (&q->bucket, now_ns);
  *wait_ns = INT64_MAX;
  for (GList *l = q->items.head; l != NULL; l = l->next)
    {
      struct link_item *item = l->data;
      int64_t item_wait_ns = MAX (item->start_ns - now_ns,
                                  wait == NULL ? 0 : wait (item, now_ns));
      item_wait_ns = MAX (item_wait_ns, tokens_wait_ns);
      *wait_ns = MIN (*wait_ns, item_wait_ns);
      if (item_wait_ns > 0)
        continue;
      *bytes = MIN (item->unsent, (size_t)LINK_SMALL_BYTES);
      item->unsent -= *bytes;
      q->unsent -= *bytes;
      if (item->unsent == 0)
        g_queue_unlink (&q->items, l);
      link_bucket_take (&q->bucket, *bytes, now_ns);
      return item;
    }
  return NULL;
}
