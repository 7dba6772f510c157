/* A node's network link: what may be sent over it when, how long transfers
   take, and whether a body that another node offers can be received in time.

   A link carries its rate in each direction.  Frames of at most
   LINK_SMALL_BYTES are sent at once.  Larger ones wait in a queue and are sent
   in parts, so that they never delay a small one by more than a part.  Their
   pace is that of a token bucket, from which small frames take tokens too.

   Does no I/O and reads no clock.  */

#ifndef LIMIT_LINK_H
#define LIMIT_LINK_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  /* What is no larger than this is sent at once, and also the size of a part:
     it takes 13 ms at 10 Mbit/s.  */
  LINK_SMALL_BYTES = 16 * 1024
};

/* The time that BYTES take at KBPS, which is not 0.  */
int64_t link_time_ns (uint64_t bytes, uint32_t kbps);

/* Traffic in one direction: bytes, decayed with a time constant of a
   second.  */
struct link_meter
{
  double bytes;
  int64_t at_ns; /* when BYTES was updated */
};

/* Count BYTES; negative ones were counted before and are taken back.  */
void link_meter_add (struct link_meter *m, double bytes, int64_t now_ns);

/* What the traffic M leaves of KBPS for bodies: of nine tenths of it, and at
   least a quarter.  */
uint32_t link_rate_left_kbps (const struct link_meter *m, uint32_t kbps,
                              int64_t now_ns);

/* Token bucket of a direction of a link, or of one connection.  */
struct link_bucket
{
  uint32_t kbps; /* not 0 */
  double burst;  /* bytes */
  double tokens; /* bytes; negative: a debt */
  int64_t tokens_ns;
};

/* A full bucket that holds PARTS parts, and two milliseconds at KBPS.  */
void link_bucket_init (struct link_bucket *b, uint32_t kbps, unsigned parts,
                       int64_t now_ns);

/* Take tokens for BYTES, if need be as a debt.  */
void link_bucket_take (struct link_bucket *b, size_t bytes, int64_t now_ns);

/* The time until a part may be sent; 0: now.  */
int64_t link_bucket_wait_ns (const struct link_bucket *b, int64_t now_ns);

/* A frame that is sent in parts.  */
struct link_item
{
  uint32_t priority; /* 0 is the most urgent */
  int64_t soft_deadline_ns;
  int64_t start_ns; /* not sent before */
  size_t unsent;    /* bytes; above 0 while the item is queued */
  void *user_data;
  /* Set by the queue.  */
  uint64_t sequence;
  GList list_link;
};

struct link_queue
{
  struct link_bucket bucket;
  GQueue items; /* struct link_item, in the order of sending */
  uint64_t unsent;
  uint64_t last_sequence;
};

void link_queue_init (struct link_queue *q, uint32_t kbps, int64_t now_ns);

/* Queue ITEM, which stays the caller's, by priority, then by soft deadline,
   then by arrival.  */
void link_queue_add (struct link_queue *q, struct link_item *item);

/* Remove ITEM if it is queued.  */
void link_queue_remove (struct link_queue *q, struct link_item *item);

/* The time until the connection of ITEM takes a part; INT64_MAX: not known,
   link_queue_next is called again when it does.  */
typedef int64_t link_item_wait (const struct link_item *item, int64_t now_ns);

/* The first item of which a part may be sent now.  *BYTES of it count as sent;
   an item that is sent completely has left the queue.  NULL: none, and
   *WAIT_NS is the time until there may be one, or INT64_MAX.  */
struct link_item *link_queue_next (struct link_queue *q, link_item_wait *wait,
                                   size_t *bytes, int64_t *wait_ns,
                                   int64_t now_ns);

#endif
