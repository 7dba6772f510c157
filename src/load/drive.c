#include "load/drive.h"

#include "base/clock.h"
#include "load/exchange.h"

#include <curl/curl.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

enum
{
  EVENTS_MAX = 256,
  /* Small, because libcurl searches a pool linearly for a connection.  */
  POOL_EXCHANGES_MAX = 32,
  /* Closed loop: delay of the next request after one could not be sent.  */
  CONNECT_RETRY_DELAY_MS = 10
};

struct driver;

/* A libcurl multi handle: the connections that a number of channels share.  */
struct pool
{
  struct driver *driver;
  CURLM *multi;
  int64_t timer_due_ns; /* when the timer of libcurl expires; -1: not set */
};

/* An exchange and the pool whose connections it uses.  */
struct channel
{
  struct exchange *exchange;
  struct pool *pool;
};

struct driver
{
  const struct load_options *options;
  struct workload *workload;
  struct tally *tally;
  struct journal *journal;
  struct exchange_shared *shared;
  struct channel *channels;
  int *idle_channels; /* stack of indices into CHANNELS */
  int channel_count;
  int idle_channel_count;
  struct pool *pools;
  int pool_count;
  int epoll_fd;
  int64_t start_ns;
  int64_t stop_ns;
  int64_t retry_at_ns; /* closed loop: no request is sent earlier */
  uint64_t next_request_number;
};

/* The data of an epoll event: the index of the pool in the upper 32 bits and
   the socket in the lower 32 bits.  */
static uint64_t
event_data (const struct pool *p, curl_socket_t fd)
{
  uint64_t index = (uint64_t)(p - p->driver->pools);
  return index << 32 | (uint32_t)fd;
}

static int
watch_socket (CURL *easy, curl_socket_t fd, int action, void *arg,
              void *socket_data)
{
  struct pool *p = arg;
  int epoll_fd = p->driver->epoll_fd;
  struct epoll_event event = { .data.u64 = event_data (p, fd) };
  (void)easy;
  if (action == CURL_POLL_REMOVE)
    {
      epoll_ctl (epoll_fd, EPOLL_CTL_DEL, fd, &event);
      curl_multi_assign (p->multi, fd, NULL);
      return 0;
    }
  if (action & CURL_POLL_IN)
    event.events |= EPOLLIN;
  if (action & CURL_POLL_OUT)
    event.events |= EPOLLOUT;
  epoll_ctl (epoll_fd, socket_data == NULL ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd,
             &event);
  curl_multi_assign (p->multi, fd, p);
  return 0;
}

static int
set_timer (CURLM *multi, long timeout_ms, void *arg)
{
  struct pool *p = arg;
  (void)multi;
  p->timer_due_ns
      = timeout_ms < 0 ? -1 : clock_now_ns () + timeout_ms * NS_PER_MS;
  return 0;
}

static bool
open_pool (struct driver *d, struct pool *p)
{
  p->driver = d;
  p->timer_due_ns = -1;
  p->multi = curl_multi_init ();
  if (p->multi == NULL)
    return false;
  curl_multi_setopt (p->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
  curl_multi_setopt (p->multi, CURLMOPT_SOCKETDATA, p);
  curl_multi_setopt (p->multi, CURLMOPT_TIMERFUNCTION, set_timer);
  curl_multi_setopt (p->multi, CURLMOPT_TIMERDATA, p);
  long connections = (long)POOL_EXCHANGES_MAX * d->options->node_count;
  curl_multi_setopt (p->multi, CURLMOPT_MAXCONNECTS, connections);
  return true;
}

/* The idle channels are a stack with the first pool on top, so that a low load
   uses few connections.  */
static bool
open_channels (struct driver *d, int count)
{
  for (int i = 0; i < count; i++)
    {
      struct channel *channel = &d->channels[i];
      channel->pool = &d->pools[i / POOL_EXCHANGES_MAX];
      channel->exchange = exchange_new (d->shared, channel);
      if (channel->exchange == NULL)
        return false;
      d->channel_count++;
    }
  while (d->idle_channel_count < count)
    {
      d->idle_channels[d->idle_channel_count]
          = count - 1 - d->idle_channel_count;
      d->idle_channel_count++;
    }
  return true;
}

static bool
open_driver (struct driver *d)
{
  const struct load_options *o = d->options;
  int count = o->workers > 0 ? o->workers : o->in_flight_max;
  int pools_needed = (count + POOL_EXCHANGES_MAX - 1) / POOL_EXCHANGES_MAX;
  d->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  d->shared = exchange_shared_new (o, d->workload);
  d->pools = calloc ((size_t)pools_needed, sizeof *d->pools);
  d->channels = calloc ((size_t)count, sizeof *d->channels);
  d->idle_channels = calloc ((size_t)count, sizeof *d->idle_channels);
  if (d->epoll_fd < 0 || d->shared == NULL || d->pools == NULL
      || d->channels == NULL || d->idle_channels == NULL)
    return false;
  for (; d->pool_count < pools_needed; d->pool_count++)
    if (!open_pool (d, &d->pools[d->pool_count]))
      return false;
  return open_channels (d, count);
}

static void
close_driver (struct driver *d)
{
  for (int i = 0; i < d->channel_count; i++)
    {
      struct channel *channel = &d->channels[i];
      curl_multi_remove_handle (channel->pool->multi,
                                exchange_handle (channel->exchange));
      exchange_free (channel->exchange);
    }
  for (int i = 0; i < d->pool_count; i++)
    curl_multi_cleanup (d->pools[i].multi);
  exchange_shared_free (d->shared);
  free (d->pools);
  free (d->channels);
  free (d->idle_channels);
  if (d->epoll_fd >= 0)
    close (d->epoll_fd);
}

static void
send_one (struct driver *d, int64_t due_ns, int64_t now_ns)
{
  struct workload_choice choice;
  struct channel *channel
      = &d->channels[d->idle_channels[--d->idle_channel_count]];
  struct exchange *x = channel->exchange;
  workload_next (d->workload, &choice);
  exchange_prepare (x, d->next_request_number, &choice, due_ns, now_ns);
  d->next_request_number++;
  journal_write_send (d->journal, exchange_request (x));
  curl_multi_add_handle (channel->pool->multi, exchange_handle (x));
}

/* Return the time at which the next request is due.  */
static int64_t
next_due (const struct driver *d)
{
  if (d->options->workers > 0)
    return d->retry_at_ns;
  double offset_ns
      = (double)d->next_request_number / d->options->rate_per_s * NS_PER_S;
  return d->start_ns + (int64_t)offset_ns;
}

/* Send the requests that are due.  Requests that became due while all channels
   were in use are sent late; their latency is measured from the time they were
   due.  */
static void
send_due (struct driver *d)
{
  bool open_loop = d->options->workers == 0;
  int64_t now_ns = clock_now_ns ();
  while (d->idle_channel_count > 0)
    {
      int64_t due_ns = next_due (d);
      if (due_ns > now_ns || due_ns >= d->stop_ns || now_ns >= d->stop_ns)
        return;
      send_one (d, open_loop ? due_ns : now_ns, now_ns);
    }
}

static bool
is_finished (const struct driver *d)
{
  if (d->idle_channel_count < d->channel_count)
    return false;
  int64_t due_ns = next_due (d);
  return due_ns >= d->stop_ns || clock_now_ns () >= d->stop_ns;
}

static void
finish_one (struct driver *d, struct channel *channel, CURLcode code)
{
  struct exchange *x = channel->exchange;
  struct load_result result;
  struct journal_answer answer;
  int64_t now_ns = clock_now_ns ();
  exchange_finish (x, code, now_ns, &result, &answer);
  tally_add (d->tally, &result);
  journal_write_answer (d->journal, exchange_request (x), &answer);
  if (result.outcome == OUTCOME_UNSENT)
    d->retry_at_ns = now_ns + CONNECT_RETRY_DELAY_MS * NS_PER_MS;
  curl_multi_remove_handle (channel->pool->multi, exchange_handle (x));
  d->idle_channels[d->idle_channel_count++] = (int)(channel - d->channels);
}

static void
finish_completed (struct driver *d, struct pool *p)
{
  int remaining;
  struct channel *channel = NULL;
  CURLMsg *message;
  while ((message = curl_multi_info_read (p->multi, &remaining)) != NULL)
    {
      CURLcode code = message->data.result;
      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE,
                         (char **)&channel);
      finish_one (d, channel, code);
    }
}

/* Return how long to wait for socket events: until the next request is due or
   a timer of libcurl expires, at most a second.  */
static int64_t
time_to_wait_ns (const struct driver *d)
{
  int64_t now_ns = clock_now_ns ();
  int64_t until_ns = now_ns + NS_PER_S;
  for (int i = 0; i < d->pool_count; i++)
    if (d->pools[i].timer_due_ns >= 0 && d->pools[i].timer_due_ns < until_ns)
      until_ns = d->pools[i].timer_due_ns;
  if (d->idle_channel_count > 0 && now_ns < d->stop_ns
      && next_due (d) < until_ns)
    until_ns = next_due (d);
  return until_ns > now_ns ? until_ns - now_ns : 0;
}

static void
run_timers (struct driver *d)
{
  int running;
  int64_t now_ns = clock_now_ns ();
  for (int i = 0; i < d->pool_count; i++)
    {
      struct pool *p = &d->pools[i];
      if (p->timer_due_ns < 0 || now_ns < p->timer_due_ns)
        continue;
      p->timer_due_ns = -1;
      curl_multi_socket_action (p->multi, CURL_SOCKET_TIMEOUT, 0, &running);
      finish_completed (d, p);
    }
}

static void
run_socket (struct driver *d, const struct epoll_event *event)
{
  struct pool *p = &d->pools[event->data.u64 >> 32];
  curl_socket_t fd = (curl_socket_t)(event->data.u64 & UINT32_MAX);
  int running;
  int action = 0;
  if (event->events & EPOLLIN)
    action |= CURL_CSELECT_IN;
  if (event->events & EPOLLOUT)
    action |= CURL_CSELECT_OUT;
  if (event->events & (EPOLLERR | EPOLLHUP))
    action |= CURL_CSELECT_ERR;
  curl_multi_socket_action (p->multi, fd, action, &running);
  finish_completed (d, p);
}

static enum status
run_sockets (struct driver *d)
{
  struct epoll_event events[EVENTS_MAX];
  int64_t ns = time_to_wait_ns (d);
  struct timespec wait = { ns / NS_PER_S, ns % NS_PER_S };
  int count = epoll_pwait2 (d->epoll_fd, events, EVENTS_MAX, &wait, NULL);
  if (count < 0 && errno != EINTR)
    return status_set (STATUS_SYSTEM, "epoll: %s", strerror (errno));
  for (int i = 0; i < count; i++)
    run_socket (d, &events[i]);
  return STATUS_OK;
}

static enum status
run (struct driver *d)
{
  d->start_ns = clock_now_ns ();
  d->stop_ns
      = d->start_ns + (int64_t)(d->options->duration_s * (double)NS_PER_S);
  while (!is_finished (d))
    {
      send_due (d);
      run_timers (d);
      enum status s = run_sockets (d);
      if (s != STATUS_OK)
        return s;
    }
  return STATUS_OK;
}

/* Return the number of scheduled requests that were never sent.  */
static uint64_t
count_missed (const struct driver *d)
{
  double scheduled = d->options->rate_per_s * d->options->duration_s;
  if (d->options->workers > 0 || scheduled <= (double)d->next_request_number)
    return 0;
  return (uint64_t)scheduled - d->next_request_number;
}

enum status
drive_load (const struct load_options *o, struct workload *w, struct tally *t,
            struct journal *j, double *elapsed_s)
{
  struct driver d = { .options = o, .workload = w, .tally = t, .journal = j };
  enum status s = status_set (STATUS_NO_MEMORY, "no memory");
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (open_driver (&d))
    s = run (&d);
  tally_set_missed (t, count_missed (&d));
  *elapsed_s = (double)(clock_now_ns () - d.start_ns) / (double)NS_PER_S;
  close_driver (&d);
  curl_global_cleanup ();
  return s;
}
