#include "lib/standin_http.h"

#include "base/clock.h"
#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

enum
{
  EVENTS_MAX = 64,
  BODY_MIN_BYTES = 1024,
  CONNECTION_MEMORY_BYTES = 32 * 1024,
  CONNECTIONS_MAX = 20000
};

struct standin_http
{
  const struct standin_ops *ops;
  void *arg;
  struct MHD_Daemon *daemon;
  pthread_t timer;
  pthread_mutex_t lock;
  GTree *suspended_calls; /* calls by wake_ns */
  int epoll_fd; /* sockets of suspended calls, to detect disconnects */
  int wake_fd;
  bool stopping;
  int open; /* connections */
  int peak;
};

static int
compare_wake_time (const void *a, const void *b)
{
  const struct standin_call *x = a;
  const struct standin_call *y = b;
  if (x->wake_ns != y->wake_ns)
    return x->wake_ns < y->wake_ns ? -1 : 1;
  return x < y ? -1 : x > y;
}

static int
call_socket (const struct standin_call *call)
{
  return MHD_get_connection_info (call->connection,
                                  MHD_CONNECTION_INFO_CONNECTION_FD)
      ->connect_fd;
}

static void
wake_timer (struct standin_http *h)
{
  uint64_t one = 1;
  ssize_t ignored = write (h->wake_fd, &one, sizeof one);
  (void)ignored;
}

/* Suspend CALL.  False if the server is stopping.  */
static bool
suspend_call (struct standin_call *call)
{
  struct standin_http *h = call->http;
  pthread_mutex_lock (&h->lock);
  bool stopping = h->stopping;
  if (!stopping)
    {
      struct epoll_event ev = { EPOLLRDHUP | EPOLLHUP, { .ptr = call } };
      if (call->wake_pending)
        call->wake_ns = 0;
      call->wake_pending = false;
      call->suspended = true;
      MHD_suspend_connection (call->connection);
      if (!call->ignore_disconnect)
        epoll_ctl (h->epoll_fd, EPOLL_CTL_ADD, call_socket (call), &ev);
      g_tree_insert (h->suspended_calls, call, call);
      if (g_tree_node_key (g_tree_node_first (h->suspended_calls)) == call)
        wake_timer (h);
    }
  pthread_mutex_unlock (&h->lock);
  return !stopping;
}

/* Resume CALL; the lock is held.  */
static void
resume_call (struct standin_http *h, struct standin_call *call)
{
  if (!call->suspended)
    return;
  call->suspended = false;
  g_tree_remove (h->suspended_calls, call);
  if (!call->ignore_disconnect)
    epoll_ctl (h->epoll_fd, EPOLL_CTL_DEL, call_socket (call), NULL);
  MHD_resume_connection (call->connection);
}

/* Resume the calls that are due and return when the next one is.  */
static int64_t
resume_due (struct standin_http *h, int64_t now_ns)
{
  for (;;)
    {
      GTreeNode *first = g_tree_node_first (h->suspended_calls);
      if (first == NULL)
        return INT64_MAX;
      struct standin_call *call = g_tree_node_key (first);
      if (call->wake_ns > now_ns && !h->stopping)
        return call->wake_ns;
      if (h->stopping)
        call->disconnected = true;
      resume_call (h, call);
    }
}

static void
wait_events (struct standin_http *h, int64_t until_ns)
{
  struct epoll_event events[EVENTS_MAX];
  int64_t left_ns = until_ns - clock_now_ns ();
  if (left_ns < 0)
    left_ns = 0;
  struct timespec timeout = { left_ns / NS_PER_S, left_ns % NS_PER_S };
  int n = epoll_pwait2 (h->epoll_fd, events, EVENTS_MAX,
                        until_ns == INT64_MAX ? NULL : &timeout, NULL);
  pthread_mutex_lock (&h->lock);
  for (int i = 0; i < n; i++)
    {
      struct standin_call *call = events[i].data.ptr;
      uint64_t count;
      if (call == NULL && read (h->wake_fd, &count, sizeof count) < 0)
        continue;
      if (call == NULL || !call->suspended)
        continue;
      call->disconnected = true;
      resume_call (h, call);
    }
  pthread_mutex_unlock (&h->lock);
}

static void *
timer_main (void *arg)
{
  struct standin_http *h = arg;
  int64_t tick_ns = h->ops->tick == NULL ? INT64_MAX : 0;
  for (;;)
    {
      int64_t now_ns = clock_now_ns ();
      if (h->ops->tick != NULL && now_ns >= tick_ns)
        tick_ns = h->ops->tick (h->arg, now_ns);
      pthread_mutex_lock (&h->lock);
      int64_t next_ns = resume_due (h, now_ns);
      bool stopping = h->stopping;
      pthread_mutex_unlock (&h->lock);
      if (stopping)
        return NULL;
      wait_events (h, next_ns < tick_ns ? next_ns : tick_ns);
    }
}

static bool
append_body (struct standin_call *call, const char *data, size_t length)
{
  if (call->body_length + length >= call->body_capacity)
    {
      size_t capacity = 2 * (call->body_length + length) + BODY_MIN_BYTES;
      char *body = realloc (call->body, capacity);
      if (body == NULL)
        return false;
      call->body = body;
      call->body_capacity = capacity;
    }
  memcpy (call->body + call->body_length, data, length);
  call->body_length += length;
  call->body[call->body_length] = 0;
  return true;
}

static enum MHD_Result
run_handler (struct standin_http *h, struct standin_call *call)
{
  enum standin_action action = h->ops->handle (h->arg, call);
  call->handled = action != STANDIN_WAIT;
  switch (action)
    {
    case STANDIN_ANSWER:
      if (call->disconnected)
        return MHD_NO;
      return MHD_queue_response (call->connection, call->status,
                                 call->response);
    case STANDIN_WAIT:
      return suspend_call (call) ? MHD_YES : MHD_NO;
    default:
      return MHD_NO;
    }
}

/* Called first for each request; the result becomes its state.  */
static void *
on_uri (void *arg, const char *uri, struct MHD_Connection *connection)
{
  struct standin_call *call = calloc (1, sizeof *call);
  (void)arg;
  (void)connection;
  if (call != NULL)
    call->uri = strdup (uri);
  return call;
}

/* Leave percent-escapes in paths unchanged.  */
static size_t
keep_escaped (void *arg, struct MHD_Connection *connection, char *text)
{
  (void)arg;
  (void)connection;
  return strlen (text);
}

static void
on_connection (void *arg, struct MHD_Connection *connection, void **state,
               enum MHD_ConnectionNotificationCode code)
{
  struct standin_http *h = arg;
  (void)connection;
  (void)state;
  pthread_mutex_lock (&h->lock);
  h->open += code == MHD_CONNECTION_NOTIFY_STARTED ? 1 : -1;
  if (h->open > h->peak)
    h->peak = h->open;
  pthread_mutex_unlock (&h->lock);
}

static enum MHD_Result
on_request (void *arg, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *length, void **state)
{
  struct standin_http *h = arg;
  struct standin_call *call = *state;
  (void)version;
  if (call == NULL)
    return MHD_NO;
  if (!call->started)
    {
      call->started = true;
      call->http = h;
      call->connection = connection;
      call->method = method;
      call->path = url;
      return append_body (call, "", 0) ? MHD_YES : MHD_NO;
    }
  if (*length > 0)
    {
      bool appended = append_body (call, data, *length);
      *length = 0;
      return appended ? MHD_YES : MHD_NO;
    }
  return run_handler (h, call);
}

static void
on_completed (void *arg, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  struct standin_http *h = arg;
  struct standin_call *call = *state;
  (void)connection;
  if (call == NULL)
    return;
  *state = NULL;
  if (call->ignore_disconnect && !call->handled)
    {
      call->disconnected = true;
      h->ops->handle (h->arg, call);
    }
  if (h->ops->completed != NULL && call->started)
    h->ops->completed (h->arg, call,
                       code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
  if (call->response != NULL)
    MHD_destroy_response (call->response);
  free (call->uri);
  free (call->body);
  free (call);
}

bool
standin_parse_address (const char *text, struct sockaddr_in *address)
{
  char host[INET_ADDRSTRLEN];
  const char *colon = strrchr (text, ':');
  if (colon == NULL || (size_t)(colon - text) >= sizeof host)
    return false;
  memcpy (host, text, (size_t)(colon - text));
  host[colon - text] = 0;
  *address = (struct sockaddr_in){ .sin_family = AF_INET };
  address->sin_port = htons ((uint16_t)strtoul (colon + 1, NULL, 10));
  return inet_pton (AF_INET, host, &address->sin_addr) == 1;
}

static bool
start_server (struct standin_http *h, const char *listen, unsigned threads)
{
  struct sockaddr_in address;
  struct epoll_event ev = { EPOLLIN, { .ptr = NULL } };
  if (!standin_parse_address (listen, &address))
    return false;
  h->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  h->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  epoll_ctl (h->epoll_fd, EPOLL_CTL_ADD, h->wake_fd, &ev);
  h->daemon = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
      on_request, h, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
      MHD_OPTION_THREAD_POOL_SIZE, threads, MHD_OPTION_NOTIFY_COMPLETED,
      on_completed, h, MHD_OPTION_NOTIFY_CONNECTION, on_connection, h,
      MHD_OPTION_URI_LOG_CALLBACK, on_uri, h, MHD_OPTION_UNESCAPE_CALLBACK,
      keep_escaped, h, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)CONNECTIONS_MAX, MHD_OPTION_END);
  if (h->daemon == NULL)
    return false;
  return pthread_create (&h->timer, NULL, timer_main, h) == 0;
}

struct standin_http *
standin_http_new (const char *listen, unsigned threads,
                  const struct standin_ops *ops, void *arg)
{
  struct standin_http *h = calloc (1, sizeof *h);
  if (h == NULL)
    return NULL;
  h->ops = ops;
  h->arg = arg;
  pthread_mutex_init (&h->lock, NULL);
  h->suspended_calls = g_tree_new (compare_wake_time);
  if (start_server (h, listen, threads))
    return h;
  g_tree_unref (h->suspended_calls);
  free (h);
  return NULL;
}

void
standin_http_free (struct standin_http *h)
{
  pthread_mutex_lock (&h->lock);
  h->stopping = true;
  pthread_mutex_unlock (&h->lock);
  wake_timer (h);
  pthread_join (h->timer, NULL);
  MHD_stop_daemon (h->daemon);
  g_tree_unref (h->suspended_calls);
  close (h->epoll_fd);
  close (h->wake_fd);
  free (h);
}

void
standin_http_wake (struct standin_call *call)
{
  struct standin_http *h = call->http;
  pthread_mutex_lock (&h->lock);
  if (call->suspended)
    {
      g_tree_remove (h->suspended_calls, call);
      call->wake_ns = 0;
      g_tree_insert (h->suspended_calls, call, call);
      wake_timer (h);
    }
  else
    call->wake_pending = true;
  pthread_mutex_unlock (&h->lock);
}

ssize_t
standin_http_suspend_stream (struct standin_call *call, int64_t wake_ns)
{
  call->wake_ns = wake_ns;
  return suspend_call (call) ? 0 : MHD_CONTENT_READER_END_WITH_ERROR;
}

void
standin_http_connections (const struct standin_http *h, int *open, int *peak)
{
  *open = h->open;
  *peak = h->peak;
}

void
standin_call_answer (struct standin_call *call, unsigned status, char *text)
{
  call->status = status;
  call->response = MHD_create_response_from_buffer (strlen (text), text,
                                                    MHD_RESPMEM_MUST_FREE);
  MHD_add_response_header (call->response, "Content-Type", "application/json");
}

void
standin_block_signals (void)
{
  sigset_t set;
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
}

void
standin_wait_for_signal (void)
{
  sigset_t set;
  int number;
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  puts ("ready");
  fflush (stdout);
  sigwait (&set, &number);
}
