#include "lib/standin_relay.h"

#include "base/clock.h"
#include "lib/standin_http.h"
#include <errno.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

enum
{
  EVENTS_MAX = 64,
  BLOCK_BYTES = 64 * 1024,
  BUFFERED_BYTES_MAX = 1024 * 1024, /* per direction of a connection */
  FLOWS_MAX = 4096,                 /* per UDP route */
  RETRANSMIT_MS = 200,              /* extra delay of a lost TCP block */
  LISTEN_BACKLOG = 1024
};

/* A descriptor in the epoll set; the first member of each struct that has
   one.  */
struct event_source
{
  void (*on_ready) (struct event_source *s, uint32_t events);
  int fd;
};

struct route
{
  struct event_source event_source;
  struct standin_relay *relay;
  char *name;
  bool udp;
  struct sockaddr_in target;
  struct standin_faults faults[STANDIN_DIRECTIONS];
  struct standin_traffic traffic[STANDIN_DIRECTIONS];
  GPtrArray *connections; /* TCP */
  GHashTable *flows;      /* UDP, by client address */
  uint64_t connection_total;
};

/* One socket of a relayed TCP connection: the source of one direction and the
   sink of the other.  */
struct endpoint
{
  struct event_source event_source;
  struct connection *connection;
  enum standin_direction direction; /* whose source this is */
  uint32_t events;                  /* registered with epoll */
  bool registered;
};

struct connection
{
  struct route *route;
  struct endpoint endpoints[STANDIN_DIRECTIONS];
  GByteArray
      *buffered[STANDIN_DIRECTIONS]; /* due, not yet written to the sink */
  size_t delayed_bytes[STANDIN_DIRECTIONS]; /* bytes in deliveries */
  int64_t last_due_ns[STANDIN_DIRECTIONS];
  bool eof[STANDIN_DIRECTIONS]; /* end of file was read from the source */
  bool fin_pending[STANDIN_DIRECTIONS]; /* shut down the sink once buffered is
                                           empty */
  bool fin_sent[STANDIN_DIRECTIONS];
  bool closed;
  int references;
};

struct flow
{
  struct event_source event_source; /* the socket connected to the target */
  struct route *route;
  struct sockaddr_in client;
};

/* Data to be forwarded at due_ns.  Either CONNECTION or FLOW is set; a TCP
   delivery without data marks the end of the stream.  */
struct delivery
{
  int64_t due_ns;
  uint64_t sequence;
  struct connection *connection;
  struct flow *flow;
  enum standin_direction direction;
  size_t length;
  char data[];
};

struct standin_relay
{
  pthread_t thread;
  pthread_mutex_t lock;
  GPtrArray *routes;
  GTree *deliveries;
  GPtrArray *closed_connections; /* to be freed after the current events */
  GRand *random;
  uint64_t sequence;
  int epoll_fd;
  struct event_source wakeup;
  bool started;
  bool stopping;
  char block[BLOCK_BYTES];
};

static int
compare_due_time (const void *a, const void *b)
{
  const struct delivery *x = a;
  const struct delivery *y = b;
  if (x->due_ns != y->due_ns)
    return x->due_ns < y->due_ns ? -1 : 1;
  return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

static bool
draw_fault (struct standin_relay *r, double per_cent)
{
  return per_cent > 0 && g_rand_double_range (r->random, 0, 100) < per_cent;
}

static void
watch_source (const struct standin_relay *r, struct event_source *s,
              uint32_t events)
{
  struct epoll_event ev = { events, { .ptr = s } };
  epoll_ctl (r->epoll_fd, EPOLL_CTL_ADD, s->fd, &ev);
}

static struct delivery *
new_delivery (struct route *route, enum standin_direction direction,
              const char *data, size_t length)
{
  struct standin_relay *r = route->relay;
  const struct standin_faults *f = &route->faults[direction];
  struct delivery *v = g_malloc0 (sizeof *v + length);
  v->due_ns = clock_now_ns () + f->delay_ns;
  if (f->jitter_ns > 0)
    v->due_ns
        += (int64_t)g_rand_double_range (r->random, 0, (double)f->jitter_ns);
  v->sequence = r->sequence++;
  v->direction = direction;
  v->length = length;
  if (length > 0)
    memcpy (v->data, data, length);
  return v;
}

static void
unref_connection (struct connection *c)
{
  if (--c->references > 0)
    return;
  g_byte_array_unref (c->buffered[STANDIN_TO_TARGET]);
  g_byte_array_unref (c->buffered[STANDIN_FROM_TARGET]);
  g_free (c);
}

/* Close both sockets; RESET sends RST instead of FIN.  */
static void
close_connection (struct connection *c, bool reset)
{
  const struct linger now = { 1, 0 };
  if (c->closed)
    return;
  c->closed = true;
  for (int direction = 0; direction < STANDIN_DIRECTIONS; direction++)
    {
      int fd = c->endpoints[direction].event_source.fd;
      if (reset)
        setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
      close (fd);
    }
  g_ptr_array_remove_fast (c->route->connections, c);
  g_ptr_array_add (c->route->relay->closed_connections, c);
}

/* Register the events that endpoint E waits for.  */
static void
set_interest (struct endpoint *e)
{
  struct connection *c = e->connection;
  const struct standin_relay *r = c->route->relay;
  enum standin_direction source_direction = e->direction;
  enum standin_direction sink_direction = 1 - e->direction;
  uint32_t events = 0;
  if (!c->eof[source_direction]
      && c->buffered[source_direction]->len
                 + c->delayed_bytes[source_direction]
             < BUFFERED_BYTES_MAX)
    events |= EPOLLIN;
  if (c->buffered[sink_direction]->len > 0
      && !c->route->faults[sink_direction].cut)
    events |= EPOLLOUT;
  if (e->registered && events == e->events)
    return;
  struct epoll_event ev = { events, { .ptr = &e->event_source } };
  /* Unregister if no events are wanted: epoll reports EPOLLHUP even then,
     which would cause a busy loop.  */
  int op = !e->registered ? EPOLL_CTL_ADD
           : events == 0  ? EPOLL_CTL_DEL
                          : EPOLL_CTL_MOD;
  if (events != 0 || e->registered)
    epoll_ctl (r->epoll_fd, op, e->event_source.fd, &ev);
  e->registered = events != 0;
  e->events = events;
}

static void
set_interests (struct connection *c)
{
  if (c->closed)
    return;
  set_interest (&c->endpoints[STANDIN_TO_TARGET]);
  set_interest (&c->endpoints[STANDIN_FROM_TARGET]);
}

/* Write as much buffered data as possible to the sink of DIRECTION.  */
static void
flush (struct connection *c, enum standin_direction direction)
{
  GByteArray *buffered = c->buffered[direction];
  int sink = c->endpoints[1 - direction].event_source.fd;
  if (c->closed || c->route->faults[direction].cut)
    return;
  if (buffered->len > 0)
    {
      ssize_t n = send (sink, buffered->data, buffered->len, MSG_NOSIGNAL);
      if (n < 0 && errno != EAGAIN && errno != ENOTCONN)
        {
          close_connection (c, true);
          return;
        }
      if (n > 0)
        g_byte_array_remove_range (buffered, 0, (guint)n);
    }
  if (buffered->len == 0 && c->fin_pending[direction]
      && !c->fin_sent[direction])
    {
      shutdown (sink, SHUT_WR);
      c->fin_sent[direction] = true;
    }
  if (c->fin_sent[STANDIN_TO_TARGET] && c->fin_sent[STANDIN_FROM_TARGET])
    close_connection (c, false);
}

static void
send_block (struct connection *c, enum standin_direction direction,
            const char *data, size_t length)
{
  struct route *route = c->route;
  struct delivery *v = new_delivery (route, direction, data, length);
  if (length > 0
      && draw_fault (route->relay, route->faults[direction].loss_percent))
    {
      route->traffic[direction].lost++;
      v->due_ns += RETRANSMIT_MS * NS_PER_MS;
    }
  if (v->due_ns < c->last_due_ns[direction])
    v->due_ns = c->last_due_ns[direction];
  c->last_due_ns[direction] = v->due_ns;
  c->delayed_bytes[direction] += length;
  c->references++;
  v->connection = c;
  g_tree_insert (route->relay->deliveries, v, v);
}

static void
read_endpoint (struct endpoint *e)
{
  struct connection *c = e->connection;
  struct standin_relay *r = c->route->relay;
  ssize_t n = read (e->event_source.fd, r->block, sizeof r->block);
  if (n < 0 && errno == EAGAIN)
    return;
  if (n < 0)
    {
      close_connection (c, true);
      return;
    }
  if (n == 0)
    c->eof[e->direction] = true;
  send_block (c, e->direction, r->block, (size_t)n);
}

static void
endpoint_ready (struct event_source *s, uint32_t events)
{
  struct endpoint *e = (struct endpoint *)s;
  struct connection *c = e->connection;
  if (c->closed)
    return;
  if ((events & EPOLLERR) != 0)
    {
      close_connection (c, true);
      return;
    }
  if ((events & (EPOLLIN | EPOLLHUP)) != 0 && !c->eof[e->direction])
    read_endpoint (e);
  if ((events & (EPOLLOUT | EPOLLHUP)) != 0)
    flush (c, 1 - e->direction);
  set_interests (c);
}

static int
connect_target (const struct route *route, int type)
{
  int fd = socket (AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  if (connect (fd, (const struct sockaddr *)&route->target,
               sizeof route->target)
          < 0
      && errno != EINPROGRESS)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static void
reset_socket (int fd)
{
  const struct linger now = { 1, 0 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close (fd);
}

static void
open_connection (struct route *route, int client, int target)
{
  const int fds[] = { client, target };
  const int on = 1;
  struct connection *c = g_new0 (struct connection, 1);
  c->route = route;
  c->references = 1;
  for (int direction = 0; direction < STANDIN_DIRECTIONS; direction++)
    {
      struct endpoint *e = &c->endpoints[direction];
      e->event_source.on_ready = endpoint_ready;
      e->event_source.fd = fds[direction];
      e->connection = c;
      e->direction = (enum standin_direction)direction;
      c->buffered[direction] = g_byte_array_new ();
      setsockopt (fds[direction], IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
  g_ptr_array_add (route->connections, c);
  route->connection_total++;
  set_interests (c);
}

static bool
resets_connections (const struct route *route)
{
  return route->faults[STANDIN_TO_TARGET].reset
         || route->faults[STANDIN_FROM_TARGET].reset;
}

static void
listener_ready (struct event_source *s, uint32_t events)
{
  struct route *route = (struct route *)s;
  (void)events;
  int client = accept4 (s->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (client < 0)
    return;
  int target
      = resets_connections (route) ? -1 : connect_target (route, SOCK_STREAM);
  if (target < 0)
    reset_socket (client);
  else
    open_connection (route, client, target);
}

static void
send_datagram (struct flow *f, enum standin_direction direction,
               const char *data, size_t length)
{
  struct route *route = f->route;
  const struct standin_faults *faults = &route->faults[direction];
  struct standin_relay *r = route->relay;
  if (faults->cut || draw_fault (r, faults->loss_percent))
    {
      route->traffic[direction].lost++;
      return;
    }
  int copies = 1 + draw_fault (r, faults->duplicate_percent);
  route->traffic[direction].duplicated += copies > 1;
  while (copies-- > 0)
    {
      struct delivery *v = new_delivery (route, direction, data, length);
      v->flow = f;
      g_tree_insert (r->deliveries, v, v);
    }
}

static void
flow_ready (struct event_source *s, uint32_t events)
{
  struct flow *f = (struct flow *)s;
  struct standin_relay *r = f->route->relay;
  (void)events;
  ssize_t n = recv (s->fd, r->block, sizeof r->block, 0);
  if (n >= 0)
    send_datagram (f, STANDIN_FROM_TARGET, r->block, (size_t)n);
}

static struct flow *
find_flow (struct route *route, const struct sockaddr_in *client)
{
  int64_t key = ((int64_t)client->sin_addr.s_addr << 16) | client->sin_port;
  struct flow *f = g_hash_table_lookup (route->flows, &key);
  if (f != NULL || g_hash_table_size (route->flows) >= FLOWS_MAX)
    return f;
  int fd = connect_target (route, SOCK_DGRAM);
  if (fd < 0)
    return NULL;
  f = g_new0 (struct flow, 1);
  f->event_source.on_ready = flow_ready;
  f->event_source.fd = fd;
  f->route = route;
  f->client = *client;
  g_hash_table_insert (route->flows, g_memdup2 (&key, sizeof key), f);
  route->connection_total++;
  watch_source (route->relay, &f->event_source, EPOLLIN);
  return f;
}

static void
datagram_ready (struct event_source *s, uint32_t events)
{
  struct route *route = (struct route *)s;
  struct standin_relay *r = route->relay;
  struct sockaddr_in client = { 0 };
  socklen_t size = sizeof client;
  (void)events;
  ssize_t n = recvfrom (s->fd, r->block, sizeof r->block, 0,
                        (struct sockaddr *)&client, &size);
  struct flow *f = n < 0 ? NULL : find_flow (route, &client);
  if (f != NULL)
    send_datagram (f, STANDIN_TO_TARGET, r->block, (size_t)n);
}

static void
wakeup_ready (struct event_source *s, uint32_t events)
{
  uint64_t count;
  (void)events;
  ssize_t ignored = read (s->fd, &count, sizeof count);
  (void)ignored;
}

static void
deliver_block (const struct delivery *v)
{
  struct connection *c = v->connection;
  c->delayed_bytes[v->direction] -= v->length;
  if (!c->closed && v->length == 0)
    c->fin_pending[v->direction] = true;
  if (!c->closed)
    g_byte_array_append (c->buffered[v->direction], (const guint8 *)v->data,
                         (guint)v->length);
  c->route->traffic[v->direction].passed++;
  c->route->traffic[v->direction].bytes += v->length;
  flush (c, v->direction);
  set_interests (c);
  unref_connection (c);
}

static void
deliver_datagram (const struct delivery *v)
{
  struct route *route = v->flow->route;
  struct standin_traffic *traffic = &route->traffic[v->direction];
  if (route->faults[v->direction].cut)
    {
      traffic->lost++;
      return;
    }
  if (v->direction == STANDIN_TO_TARGET)
    send (v->flow->event_source.fd, v->data, v->length, MSG_NOSIGNAL);
  else
    sendto (route->event_source.fd, v->data, v->length, MSG_NOSIGNAL,
            (const struct sockaddr *)&v->flow->client, sizeof v->flow->client);
  traffic->passed++;
  traffic->bytes += v->length;
}

/* Forward the deliveries that are due; returns when the next one is.  */
static int64_t
deliver_due (struct standin_relay *r)
{
  for (;;)
    {
      GTreeNode *first = g_tree_node_first (r->deliveries);
      if (first == NULL)
        return INT64_MAX;
      struct delivery *v = g_tree_node_key (first);
      if (v->due_ns > clock_now_ns ())
        return v->due_ns;
      g_tree_remove (r->deliveries, v);
      if (v->connection != NULL)
        deliver_block (v);
      else
        deliver_datagram (v);
      g_free (v);
    }
}

static void
free_closed (struct standin_relay *r)
{
  for (unsigned i = 0; i < r->closed_connections->len; i++)
    unref_connection (r->closed_connections->pdata[i]);
  g_ptr_array_set_size (r->closed_connections, 0);
}

static void *
relay_thread (void *arg)
{
  struct standin_relay *r = arg;
  struct epoll_event events[EVENTS_MAX];
  pthread_mutex_lock (&r->lock);
  while (!r->stopping)
    {
      int64_t next_ns = deliver_due (r);
      free_closed (r);
      int64_t left_ns = next_ns - clock_now_ns ();
      if (left_ns < 0)
        left_ns = 0;
      struct timespec timeout = { left_ns / NS_PER_S, left_ns % NS_PER_S };
      pthread_mutex_unlock (&r->lock);
      int n = epoll_pwait2 (r->epoll_fd, events, EVENTS_MAX,
                            next_ns == INT64_MAX ? NULL : &timeout, NULL);
      pthread_mutex_lock (&r->lock);
      for (int i = 0; i < n; i++)
        {
          struct event_source *s = events[i].data.ptr;
          s->on_ready (s, events[i].events);
        }
    }
  pthread_mutex_unlock (&r->lock);
  return NULL;
}

static void
wake_thread (struct standin_relay *r)
{
  uint64_t one = 1;
  ssize_t ignored = write (r->wakeup.fd, &one, sizeof one);
  (void)ignored;
}

struct standin_relay *
standin_relay_new (uint32_t seed)
{
  struct standin_relay *r = g_new0 (struct standin_relay, 1);
  pthread_mutex_init (&r->lock, NULL);
  r->routes = g_ptr_array_new ();
  r->deliveries = g_tree_new (compare_due_time);
  r->closed_connections = g_ptr_array_new ();
  r->random = g_rand_new_with_seed (seed);
  r->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  r->wakeup.on_ready = wakeup_ready;
  r->wakeup.fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  watch_source (r, &r->wakeup, EPOLLIN);
  return r;
}

static void
free_flow (void *c)
{
  struct flow *f = c;
  close (f->event_source.fd);
  g_free (f);
}

static void
free_route (struct route *route)
{
  while (route->connections->len > 0)
    close_connection (route->connections->pdata[0], true);
  close (route->event_source.fd);
  g_ptr_array_unref (route->connections);
  g_hash_table_unref (route->flows);
  g_free (route->name);
  g_free (route);
}

static int
free_delivery (void *key, void *value, void *unused)
{
  struct delivery *v = key;
  (void)value;
  (void)unused;
  if (v->connection != NULL)
    unref_connection (v->connection);
  g_free (v);
  return FALSE;
}

void
standin_relay_free (struct standin_relay *r)
{
  pthread_mutex_lock (&r->lock);
  r->stopping = true;
  pthread_mutex_unlock (&r->lock);
  wake_thread (r);
  if (r->started)
    pthread_join (r->thread, NULL);
  g_tree_foreach (r->deliveries, free_delivery, NULL);
  g_tree_unref (r->deliveries);
  for (unsigned i = 0; i < r->routes->len; i++)
    free_route (r->routes->pdata[i]);
  free_closed (r);
  g_ptr_array_unref (r->routes);
  g_ptr_array_unref (r->closed_connections);
  g_rand_free (r->random);
  close (r->wakeup.fd);
  close (r->epoll_fd);
  g_free (r);
}

static int
open_listener (bool udp, const struct sockaddr_in *address)
{
  const int on = 1;
  int type = (udp ? SOCK_DGRAM : SOCK_STREAM) | SOCK_NONBLOCK | SOCK_CLOEXEC;
  int fd = socket (AF_INET, type, 0);
  if (!udp)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (const struct sockaddr *)address, sizeof *address) == 0
      && (udp || listen (fd, LISTEN_BACKLOG) == 0))
    return fd;
  close (fd);
  return -1;
}

bool
standin_relay_add (struct standin_relay *r, const char *name, bool udp,
                   const char *listen, const char *target)
{
  struct sockaddr_in listen_address;
  struct sockaddr_in target_address;
  if (standin_relay_find_route (r, name) >= 0
      || !standin_parse_address (listen, &listen_address)
      || !standin_parse_address (target, &target_address))
    return false;
  int fd = open_listener (udp, &listen_address);
  if (fd < 0)
    return false;
  struct route *route = g_new0 (struct route, 1);
  route->event_source.on_ready = udp ? datagram_ready : listener_ready;
  route->event_source.fd = fd;
  route->relay = r;
  route->name = g_strdup (name);
  route->udp = udp;
  route->target = target_address;
  route->connections = g_ptr_array_new ();
  route->flows
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, free_flow);
  g_ptr_array_add (r->routes, route);
  watch_source (r, &route->event_source, EPOLLIN);
  return true;
}

bool
standin_relay_start (struct standin_relay *r)
{
  r->started = pthread_create (&r->thread, NULL, relay_thread, r) == 0;
  return r->started;
}

int
standin_relay_route_count (const struct standin_relay *r)
{
  return (int)r->routes->len;
}

const char *
standin_relay_route_name (const struct standin_relay *r, int index)
{
  return ((const struct route *)r->routes->pdata[index])->name;
}

int
standin_relay_find_route (const struct standin_relay *r, const char *name)
{
  for (int i = 0; i < standin_relay_route_count (r); i++)
    if (strcmp (standin_relay_route_name (r, i), name) == 0)
      return i;
  return -1;
}

struct standin_faults
standin_relay_faults (struct standin_relay *r, int index,
                      enum standin_direction direction)
{
  const struct route *route = r->routes->pdata[index];
  pthread_mutex_lock (&r->lock);
  struct standin_faults faults = route->faults[direction];
  pthread_mutex_unlock (&r->lock);
  return faults;
}

void
standin_relay_set_faults (struct standin_relay *r, int index,
                          enum standin_direction direction,
                          const struct standin_faults *faults)
{
  struct route *route = r->routes->pdata[index];
  pthread_mutex_lock (&r->lock);
  route->faults[direction] = *faults;
  for (unsigned i = route->connections->len; i-- > 0;)
    {
      struct connection *c = route->connections->pdata[i];
      if (resets_connections (route))
        close_connection (c, true);
      flush (c, direction);
      set_interests (c);
    }
  pthread_mutex_unlock (&r->lock);
  wake_thread (r);
}

struct standin_traffic
standin_relay_traffic (struct standin_relay *r, int index,
                       enum standin_direction direction)
{
  const struct route *route = r->routes->pdata[index];
  pthread_mutex_lock (&r->lock);
  struct standin_traffic traffic = route->traffic[direction];
  pthread_mutex_unlock (&r->lock);
  return traffic;
}

void
standin_relay_connections (struct standin_relay *r, int index, int *open,
                           uint64_t *total)
{
  const struct route *route = r->routes->pdata[index];
  pthread_mutex_lock (&r->lock);
  *open = (int)(route->udp ? g_hash_table_size (route->flows)
                           : route->connections->len);
  *total = route->connection_total;
  pthread_mutex_unlock (&r->lock);
}
