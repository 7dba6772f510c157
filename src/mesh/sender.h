/* Sends frames to other nodes over this node's link: small ones at once, large
   ones in parts and in the order of limit/link.h.

   A node has one sender, and a lane of it for each connection.  Without a
   stated rate every frame is sent at once and whole.  */

#ifndef MESH_SENDER_H
#define MESH_SENDER_H

#include "limit/link.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

struct sender;

/* One connection.  */
struct sender_lane
{
  uv_tcp_t *tcp;
  GQueue unsent;             /* frames that wait until the kernel has taken
                                those before them */
  GQueue streams;            /* frames that are not sent completely */
  uint32_t begun;            /* of these, those of which a part was sent */
  size_t begun_bytes;        /* total length of those */
  struct link_bucket bucket; /* of the link at the other end */
};

/* How urgent a frame is that is sent in parts.  */
struct sender_order
{
  uint64_t stream;   /* its number, unique among those of its lane */
  uint32_t priority; /* 0 is the most urgent */
  int64_t soft_deadline_ns;
  int64_t start_ns;   /* no part is sent earlier */
  uint32_t peer_kbps; /* rate of the receiver's link, not 0: a faster sender
                         would fill the queue in front of that link */
};

/* KBPS: the rate of the link; 0: not stated.  */
struct sender *sender_new (uv_loop_t *loop, uint32_t kbps);

/* Use LANE for the open connection TCP.  */
void sender_open_lane (struct sender *s, struct sender_lane *lane,
                       uv_tcp_t *tcp);

/* Drop all frames of LANE.  No function is called for it any more.  */
void sender_close_lane (struct sender *s, struct sender_lane *lane);

/* Send FRAME at once; takes ownership of it.  False if that fails; the read
   callback then sees the end of the connection as well.  */
bool sender_send (struct sender *s, struct sender_lane *lane, GString *frame);

/* The same, as STREAM, which is not 0.  */
bool sender_send_whole (struct sender *s, struct sender_lane *lane,
                        GString *frame, uint64_t stream);

/* Send FRAME in parts if it is large, else at once; takes ownership of it.  */
bool sender_send_parts (struct sender *s, struct sender_lane *lane,
                        GString *frame, const struct sender_order *order);

/* Drop what is unsent of STREAM, and tell the receiver.  True if something was
   unsent: the receiver then never gets the whole frame.  */
bool sender_drop (struct sender *s, struct sender_lane *lane, uint64_t stream);

/* Take BYTES into account that others have sent over the link.  */
void sender_charge (struct sender *s, size_t bytes);

/* The time until the frames that wait now are sent.  */
int64_t sender_wait_ns (const struct sender *s);

#endif
