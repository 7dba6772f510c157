#include "mesh/sender.h"

#include "base/clock.h"
#include "base/counter.h"
#include "mesh/assembly.h"
#include "mesh/frame.h"
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* Bytes that the kernel holds of a connection before it has sent them.  What
   it holds delays every later frame.  */
#define SOCKET_UNSENT_MAX (32 * 1024)

struct sender
{
  uv_loop_t *loop;
  uint32_t kbps;
  struct link_queue queue;
  uv_timer_t timer;
};

/* Parts that a connection may send at once over an idle link: more would delay
   small frames at a slow receiver.  */
#define LANE_BURST_PARTS 1

/* A frame that is sent in parts.  */
struct stream
{
  struct link_item item;
  struct sender_lane *lane;
  uint64_t number;
  GString *frame;
  GList lane_link;
  bool begun;
};

/* A frame that is sent whole and of which nothing is written yet.  */
struct unsent
{
  uint64_t stream; /* 0: none */
  GString *frame;
};

struct write
{
  uv_write_t request;
  struct sender *sender;
  struct sender_lane *lane;
  GString *data;
};

static void pump (struct sender *s);

struct sender *
sender_new (uv_loop_t *loop, uint32_t kbps)
{
  struct sender *s = g_new0 (struct sender, 1);
  s->loop = loop;
  s->kbps = kbps;
  if (kbps != 0)
    link_queue_init (&s->queue, kbps, clock_now_ns ());
  uv_timer_init (loop, &s->timer);
  s->timer.data = s;
  return s;
}

void
sender_open_lane (struct sender *s, struct sender_lane *lane, uv_tcp_t *tcp)
{
  uv_os_fd_t fd;
  int unsent_max = SOCKET_UNSENT_MAX;
  lane->tcp = tcp;
  g_queue_init (&lane->unsent);
  g_queue_init (&lane->streams);
  if (s->kbps != 0 && uv_fileno ((uv_handle_t *)tcp, &fd) == 0)
    setsockopt (fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsent_max,
                sizeof unsent_max);
}

static void
end_stream (struct stream *stream)
{
  struct sender_lane *lane = stream->lane;
  g_queue_unlink (&lane->streams, &stream->lane_link);
  if (stream->begun)
    {
      lane->begun--;
      lane->begun_bytes -= stream->frame->len;
    }
  g_string_free (stream->frame, TRUE);
  g_free (stream);
}

static void
unsent_free (void *arg)
{
  struct unsent *u = arg;
  g_string_free (u->frame, TRUE);
  g_free (u);
}

void
sender_close_lane (struct sender *s, struct sender_lane *lane)
{
  GList *link;
  while ((link = g_queue_peek_head_link (&lane->streams)) != NULL)
    {
      struct stream *stream = link->data;
      link_queue_remove (&s->queue, &stream->item);
      end_stream (stream);
    }
  g_queue_clear_full (&lane->unsent, unsent_free);
  lane->tcp = NULL;
}

/* Writes.  */

static bool write_frame (struct sender *s, struct sender_lane *lane,
                         GString *frame);

/* Whether the kernel has taken all frames of LANE.  */
static bool
is_clear (const struct sender_lane *lane)
{
  return g_queue_is_empty ((GQueue *)&lane->unsent)
         && uv_stream_get_write_queue_size ((uv_stream_t *)lane->tcp) == 0;
}

static void
write_unsent (struct sender *s, struct sender_lane *lane)
{
  while (!g_queue_is_empty (&lane->unsent)
         && uv_stream_get_write_queue_size ((uv_stream_t *)lane->tcp) == 0)
    {
      struct unsent *u = g_queue_pop_head (&lane->unsent);
      GString *frame = u->frame;
      g_free (u);
      write_frame (s, lane, frame);
    }
}

static void
on_written (uv_write_t *request, int status)
{
  struct write *w = (struct write *)request;
  struct sender *s = w->sender;
  struct sender_lane *lane = w->lane;
  g_string_free (w->data, TRUE);
  g_free (w);
  if (status != 0 || lane->tcp == NULL)
    return;
  write_unsent (s, lane);
  pump (s);
}

/* Write FRAME; what the kernel does not accept at once is written by the
   loop.  */
static bool
write_frame (struct sender *s, struct sender_lane *lane, GString *frame)
{
  uv_stream_t *stream = (uv_stream_t *)lane->tcp;
  uv_buf_t buffer = uv_buf_init (frame->str, (unsigned)frame->len);
  int sent = uv_try_write (stream, &buffer, 1);
  counter_add (COUNTER_peer_messages_out_total, 1);
  counter_add (COUNTER_peer_bytes_out_total, frame->len);
  if (sent == (int)frame->len || (sent < 0 && sent != UV_EAGAIN))
    {
      g_string_free (frame, TRUE);
      return sent >= 0;
    }
  size_t offset = sent > 0 ? (size_t)sent : 0;
  struct write *w = g_new0 (struct write, 1);
  w->sender = s;
  w->lane = lane;
  w->data = frame;
  buffer = uv_buf_init (frame->str + offset, (unsigned)(frame->len - offset));
  if (uv_write (&w->request, stream, &buffer, 1, on_written) == 0)
    return true;
  g_string_free (frame, TRUE);
  g_free (w);
  return false;
}

bool
sender_send_whole (struct sender *s, struct sender_lane *lane, GString *frame,
                   uint64_t stream)
{
  if (s->kbps != 0)
    link_bucket_take (&s->queue.bucket, frame->len, clock_now_ns ());
  if (is_clear (lane))
    return write_frame (s, lane, frame);
  struct unsent *u = g_new0 (struct unsent, 1);
  u->stream = stream;
  u->frame = frame;
  g_queue_push_tail (&lane->unsent, u);
  return true;
}

bool
sender_send (struct sender *s, struct sender_lane *lane, GString *frame)
{
  return sender_send_whole (s, lane, frame, 0);
}

/* When a part of ITEM can be written at once, and its receiver can take it. */
static int64_t
item_wait_ns (const struct link_item *item, int64_t now_ns)
{
  const struct stream *stream = item->user_data;
  const struct sender_lane *lane = stream->lane;
  bool may_begin = lane->begun < ASSEMBLY_STREAMS_MAX
                   && lane->begun_bytes + stream->frame->len
                          <= (size_t)FRAME_BYTES_MAX + FRAME_HEADER_BYTES;
  if (!is_clear (lane) || (!stream->begun && !may_begin))
    return INT64_MAX; /* on_written, or the end of another stream */
  return link_bucket_wait_ns (&lane->bucket, now_ns);
}

static void
send_part (struct sender *s, struct stream *stream, size_t bytes,
           int64_t now_ns)
{
  struct sender_lane *lane = stream->lane;
  size_t offset = stream->frame->len - stream->item.unsent - bytes;
  uint32_t flags = 0;
  if (!stream->begun)
    {
      flags |= PART_FIRST;
      stream->begun = true;
      lane->begun++;
      lane->begun_bytes += stream->frame->len;
    }
  if (stream->item.unsent == 0)
    flags |= PART_LAST;
  counter_add (COUNTER_parts_total, 1);
  link_bucket_take (&lane->bucket, bytes, now_ns);
  write_frame (
      s, lane,
      frame_part (stream->number, flags, stream->frame->str + offset, bytes));
  if (stream->item.unsent == 0)
    end_stream (stream);
}

static void
on_timer (uv_timer_t *timer)
{
  pump (timer->data);
}

/* Send the parts that the link and the connections can take.  */
static void
pump (struct sender *s)
{
  struct link_item *item;
  size_t bytes;
  int64_t wait_ns;
  int64_t now_ns = clock_now_ns ();
  while ((item = link_queue_next (&s->queue, item_wait_ns, &bytes, &wait_ns,
                                  now_ns))
         != NULL)
    send_part (s, item->user_data, bytes, now_ns);
  if (wait_ns != INT64_MAX)
    uv_timer_start (&s->timer, on_timer,
                    (uint64_t)((wait_ns + NS_PER_MS - 1) / NS_PER_MS), 0);
}

bool
sender_send_parts (struct sender *s, struct sender_lane *lane, GString *frame,
                   const struct sender_order *order)
{
  if (s->kbps == 0 || frame->len <= LINK_SMALL_BYTES)
    return sender_send_whole (s, lane, frame, order->stream);
  struct stream *stream = g_new0 (struct stream, 1);
  stream->lane = lane;
  stream->number = order->stream;
  stream->frame = frame;
  stream->item.priority = order->priority;
  stream->item.soft_deadline_ns = order->soft_deadline_ns;
  stream->item.start_ns = order->start_ns;
  stream->item.unsent = frame->len;
  stream->item.user_data = stream;
  stream->lane_link.data = stream;
  g_queue_push_tail_link (&lane->streams, &stream->lane_link);
  if (lane->bucket.kbps != order->peer_kbps)
    link_bucket_init (&lane->bucket, order->peer_kbps, LANE_BURST_PARTS,
                      clock_now_ns ());
  link_queue_add (&s->queue, &stream->item);
  pump (s);
  return true;
}

bool
sender_drop (struct sender *s, struct sender_lane *lane, uint64_t number)
{
  for (GList *l = lane->unsent.head; l != NULL; l = l->next)
    if (((struct unsent *)l->data)->stream == number)
      {
        unsent_free (l->data);
        g_queue_delete_link (&lane->unsent, l);
        return true;
      }
  for (GList *l = lane->streams.head; l != NULL; l = l->next)
    {
      struct stream *stream = l->data;
      if (stream->number != number)
        continue;
      bool begun = stream->begun;
      link_queue_remove (&s->queue, &stream->item);
      end_stream (stream);
      if (begun)
        sender_send (s, lane, frame_part (number, PART_DROPPED, "", 0));
      return true;
    }
  return false;
}

void
sender_charge (struct sender *s, size_t bytes)
{
  if (s->kbps != 0)
    link_bucket_take (&s->queue.bucket, bytes, clock_now_ns ());
}

int64_t
sender_wait_ns (const struct sender *s)
{
  return s->kbps == 0 ? 0 : link_time_ns (s->queue.unsent, s->kbps);
}
