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
  GROUP_SIZE = 32, /* libcurl's search for a connection is linear */
  PAUSE_MS = 10    /* of a worker whose request could not be sent */
};

struct driver;

/* Some exchanges with their own connections.  */
struct group
{
  struct driver *driver;
  CURLM *multi;
  int64_t timer_ns; /* when libcurl wants to be called; -1: never */
};

/* An exchange and where it belongs.  */
struct lane
{
  struct exchange *exchange;
  struct group *group;
};

struct driver
{
  const struct load_options *options;
  struct workload *workload;
  struct tally *tally;
  struct journal *journal;
  struct exchange_shared *shared;
  struct lane *lanes;
  int *idle; /* a stack of indices into LANES */
  int lane_count;
  int idle_count;
  struct group *groups;
  int group_count;
  int epoll;
  int64_t start_ns;
  int64_t stop_ns;
  int64_t paused_until_ns; /* closed loop: nothing is sent before */
  uint64_t next_number;
};

/* An epoll event names its group in the high half and its socket below.  */
static uint64_t
event_data (const struct group *g, curl_socket_t fd)
{
  uint64_t index = (uint64_t)(g - g->driver->groups);
  return index << 32 | (uint32_t)fd;
}

static int
watch_socket (CURL *easy, curl_socket_t fd, int what, void *arg, void *known)
{
  struct group *g = arg;
  int epoll = g->driver->epoll;
  struct epoll_event event = { .data.u64 = event_data (g, fd) };
  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      epoll_ctl (epoll, EPOLL_CTL_DEL, fd, &event);
      curl_multi_assign (g->multi, fd, NULL);
      return 0;
    }
  if (what & CURL_POLL_IN)
    event.events |= EPOLLIN;
  if (what & CURL_POLL_OUT)
    event.events |= EPOLLOUT;
  epoll_ctl (epoll, known == NULL ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd, &event);
  curl_multi_assign (g->multi, fd, g);
  return 0;
}

static int
set_timer (CURLM *multi, long timeout_ms, void *arg)
{
  struct group *g = arg;
  (void)multi;
  g->timer_ns = timeout_ms < 0 ? -1 : clock_now_ns () + timeout_ms * NS_PER_MS;
  return 0;
}

static bool
open_group (struct driver *d, struct group *g)
{
  g->driver = d;
  g->timer_ns = -1;
  g->multi = curl_multi_init ();
  if (g->multi == NULL)
    return false;
  curl_multi_setopt (g->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
  curl_multi_setopt (g->multi, CURLMOPT_SOCKETDATA, g);
  curl_multi_setopt (g->multi, CURLMOPT_TIMERFUNCTION, set_timer);
  curl_multi_setopt (g->multi, CURLMOPT_TIMERDATA, g);
  long connections = (long)GROUP_SIZE * d->options->node_count;
  curl_multi_setopt (g->multi, CURLMOPT_MAXCONNECTS, connections);
  return true;
}

/* The idle lanes are a stack, the first group on top: few connections carry a
   load that few can carry.  */
static bool
open_lanes (struct driver *d, int wanted)
{
  for (int i = 0; i < wanted; i++)
    {
      struct lane *lane = &d->lanes[i];
      lane->group = &d->groups[i / GROUP_SIZE];
      lane->exchange = exchange_new (d->shared, lane);
      if (lane->exchange == NULL)
        return false;
      d->lane_count++;
    }
  while (d->idle_count < wanted)
    {
      d->idle[d->idle_count] = wanted - 1 - d->idle_count;
      d->idle_count++;
    }
  return true;
}

static bool
open_driver (struct driver *d)
{
  const struct load_options *o = d->options;
  int wanted = o->workers > 0 ? o->workers : o->in_flight_max;
  int groups = (wanted + GROUP_SIZE - 1) / GROUP_SIZE;
  d->epoll = epoll_create1 (EPOLL_CLOEXEC);
  d->shared = exchange_shared_new (o, d->workload);
  d->groups = calloc ((size_t)groups, sizeof *d->groups);
  d->lanes = calloc ((size_t)wanted, sizeof *d->lanes);
  d->idle = calloc ((size_t)wanted, sizeof *d->idle);
  if (d->epoll < 0 || d->shared == NULL || d->groups == NULL
      || d->lanes == NULL || d->idle == NULL)
    return false;
  for (; d->group_count < groups; d->group_count++)
    if (!open_group (d, &d->groups[d->group_count]))
      return false;
  return open_lanes (d, wanted);
}

static void
close_driver (struct driver *d)
{
  for (int i = 0; i < d->lane_count; i++)
    {
      struct lane *lane = &d->lanes[i];
      curl_multi_remove_handle (lane->group->multi,
                                exchange_handle (lane->exchange));
      exchange_free (lane->exchange);
    }
  for (int i = 0; i < d->group_count; i++)
    curl_multi_cleanup (d->groups[i].multi);
  exchange_shared_free (d->shared);
  free (d->groups);
  free (d->lanes);
  free (d->idle);
  if (d->epoll >= 0)
    close (d->epoll);
}

static void
send_one (struct driver *d, int64_t due_ns, int64_t now_ns)
{
  struct workload_choice choice;
  struct lane *lane = &d->lanes[d->idle[--d->idle_count]];
  struct exchange *x = lane->exchange;
  workload_next (d->workload, &choice);
  exchange_prepare (x, d->next_number, &choice, due_ns, now_ns);
  d->next_number++;
  journal_write_send (d->journal, exchange_request (x));
  curl_multi_add_handle (lane->group->multi, exchange_handle (x));
}

/* When the next request is due.  */
static int64_t
next_due (const struct driver *d)
{
  if (d->options->workers > 0)
    return d->paused_until_ns;
  double offset_ns
      = (double)d->next_number / d->options->rate_per_s * NS_PER_S;
  return d->start_ns + (int64_t)offset_ns;
}

/* Send what is due.  Requests whose time has come while all exchanges were in
   use are sent late, with their latency counted from the time they were
   due.  */
static void
send_due (struct driver *d)
{
  bool open_loop = d->options->workers == 0;
  int64_t now_ns = clock_now_ns ();
  while (d->idle_count > 0)
    {
      int64_t due_ns = next_due (d);
      if (due_ns > now_ns || due_ns >= d->stop_ns || now_ns >= d->stop_ns)
        return;
      send_one (d, open_loop ? due_ns : now_ns, now_ns);
    }
}

static bool
is_over (const struct driver *d)
{
  if (d->idle_count < d->lane_count)
    return false;
  int64_t due_ns = next_due (d);
  return due_ns >= d->stop_ns || clock_now_ns () >= d->stop_ns;
}

static void
end_one (struct driver *d, struct lane *lane, CURLcode code)
{
  struct exchange *x = lane->exchange;
  struct load_result result;
  struct journal_answer answer;
  int64_t now_ns = clock_now_ns ();
  exchange_finish (x, code, now_ns, &result, &answer);
  tally_add (d->tally, &result);
  journal_write_answer (d->journal, exchange_request (x), &answer);
  if (result.outcome == OUTCOME_UNSENT)
    d->paused_until_ns = now_ns + PAUSE_MS * NS_PER_MS;
  curl_multi_remove_handle (lane->group->multi, exchange_handle (x));
  d->idle[d->idle_count++] = (int)(lane - d->lanes);
}

static void
end_finished (struct driver *d, struct group *g)
{
  int left;
  struct lane *lane = NULL;
  CURLMsg *message;
  while ((message = curl_multi_info_read (g->multi, &left)) != NULL)
    {
      CURLcode code = message->data.result;
      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE,
                         (char **)&lane);
      end_one (d, lane, code);
    }
}

/* How long to wait for sockets: until the next request is due or libcurl's
   timer ends.  */
static int64_t
wait_ns (const struct driver *d)
{
  int64_t now_ns = clock_now_ns ();
  int64_t until_ns = now_ns + NS_PER_S;
  for (int i = 0; i < d->group_count; i++)
    if (d->groups[i].timer_ns >= 0 && d->groups[i].timer_ns < until_ns)
      until_ns = d->groups[i].timer_ns;
  if (d->idle_count > 0 && now_ns < d->stop_ns && next_due (d) < until_ns)
    until_ns = next_due (d);
  return until_ns > now_ns ? until_ns - now_ns : 0;
}

static void
run_timers (struct driver *d)
{
  int running;
  int64_t now_ns = clock_now_ns ();
  for (int i = 0; i < d->group_count; i++)
    {
      struct group *g = &d->groups[i];
      if (g->timer_ns < 0 || now_ns < g->timer_ns)
        continue;
      g->timer_ns = -1;
      curl_multi_socket_action (g->multi, CURL_SOCKET_TIMEOUT, 0, &running);
      end_finished (d, g);
    }
}

static void
run_socket (struct driver *d, const struct epoll_event *event)
{
  struct group *g = &d->groups[event->data.u64 >> 32];
  curl_socket_t fd = (curl_socket_t)(event->data.u64 & UINT32_MAX);
  int running;
  int what = 0;
  if (event->events & EPOLLIN)
    what |= CURL_CSELECT_IN;
  if (event->events & EPOLLOUT)
    what |= CURL_CSELECT_OUT;
  if (event->events & (EPOLLERR | EPOLLHUP))
    what |= CURL_CSELECT_ERR;
  curl_multi_socket_action (g->multi, fd, what, &running);
  end_finished (d, g);
}

static enum status
run_sockets (struct driver *d)
{
  struct epoll_event events[EVENTS_MAX];
  int64_t ns = wait_ns (d);
  struct timespec wait = { ns / NS_PER_S, ns % NS_PER_S };
  int count = epoll_pwait2 (d->epoll, events, EVENTS_MAX, &wait, NULL);
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
  while (!is_over (d))
    {
      send_due (d);
      run_timers (d);
      enum status s = run_sockets (d);
      if (s != STATUS_OK)
        return s;
    }
  return STATUS_OK;
}

/* How many requests of the schedule were never sent.  */
static uint64_t
missed (const struct driver *d)
{
  double scheduled = d->options->rate_per_s * d->options->duration_s;
  if (d->options->workers > 0 || scheduled <= (double)d->next_number)
    return 0;
  return (uint64_t)scheduled - d->next_number;
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
  tally_set_missed (t, missed (&d));
  *elapsed_s = (double)(clock_now_ns () - d.start_ns) / (double)NS_PER_S;
  close_driver (&d);
  curl_global_cleanup ();
  return s;
}
