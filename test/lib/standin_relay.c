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
  HELD_BYTES_MAX = 1024 * 1024, /* of one direction of a connection */
  FLOWS_MAX = 4096,             /* of one UDP route */
  RETRANSMIT_MS = 200,          /* lateness of a lost TCP block */
  BACKLOG = 1024
};

/* What the relay waits on; the first member of each kind.  */
struct source
{
  void (*ready) (struct source *s, uint32_t events);
  int fd;
};

struct route
{
  struct source source;
  struct standin_relay *relay;
  char *name;
  bool udp;
  struct sockaddr_in target;
  struct standin_faults faults[STANDIN_DIRECTIONS];
  struct standin_traffic passage[STANDIN_DIRECTIONS];
  GPtrArray *pairs;  /* TCP */
  GHashTable *flows; /* UDP, by client address */
  uint64_t links;
};

/* One end of a TCP connection: the source of one direction, the sink of the
   other.  */
struct end
{
  struct source source;
  struct pair *pair;
  enum standin_direction d; /* of which it is the source */
  uint32_t events;          /* registered */
  bool registered;
};

struct pair
{
  struct route *route;
  struct end ends[STANDIN_DIRECTIONS];
  GByteArray *out[STANDIN_DIRECTIONS]; /* to be written to the sink */
  size_t delayed[STANDIN_DIRECTIONS];  /* bytes on their way */
  int64_t last_due_ns[STANDIN_DIRECTIONS];
  bool ended[STANDIN_DIRECTIONS]; /* the source was read to its end */
  bool fin[STANDIN_DIRECTIONS];   /* the sink is to be shut */
  bool shut[STANDIN_DIRECTIONS];
  bool closed;
  int references;
};

struct flow
{
  struct source source; /* the socket towards the target */
  struct route *route;
  struct sockaddr_in client;
};

/* Bytes on their way.  PAIR or FLOW is set; a TCP delivery without bytes ends
   its direction.  */
struct delivery
{
  int64_t due_ns;
  uint64_t number;
  struct pair *pair;
  struct flow *flow;
  enum standin_direction d;
  size_t length;
  char data[];
};

struct standin_relay
{
  pthread_t thread;
  pthread_mutex_t lock;
  GPtrArray *routes;
  GTree *deliveries;
  GPtrArray *dead; /* pairs to free after the present events */
  GRand *random;
  uint64_t number;
  int epoll_fd;
  struct source wake;
  bool started;
  bool stopping;
  char block[BLOCK_BYTES];
};

static int
by_due (const void *a, const void *b)
{
  const struct delivery *x = a;
  const struct delivery *y = b;
  if (x->due_ns != y->due_ns)
    return x->due_ns < y->due_ns ? -1 : 1;
  return x->number < y->number ? -1 : x->number > y->number;
}

static bool
happens (struct standin_relay *r, double per_cent)
{
  return per_cent > 0 && g_rand_double_range (r->random, 0, 100) < per_cent;
}

static void
watch_source (const struct standin_relay *r, struct source *s, uint32_t events)
{
  struct epoll_event ev = { events, { .ptr = s } };
  epoll_ctl (r->epoll_fd, EPOLL_CTL_ADD, s->fd, &ev);
}

static struct delivery *
send_later (struct route *route, enum standin_direction d, const char *data,
            size_t length)
{
  struct standin_relay *r = route->relay;
  const struct standin_faults *f = &route->faults[d];
  struct delivery *v = g_malloc0 (sizeof *v + length);
  v->due_ns = clock_now_ns () + f->delay_ns;
  if (f->jitter_ns > 0)
    v->due_ns
        += (int64_t)g_rand_double_range (r->random, 0, (double)f->jitter_ns);
  v->number = r->number++;
  v->d = d;
  v->length = length;
  if (length > 0)
    memcpy (v->data, data, length);
  return v;
}

static void
unref_pair (struct pair *p)
{
  if (--p->references > 0)
    return;
  g_byte_array_unref (p->out[STANDIN_TO_TARGET]);
  g_byte_array_unref (p->out[STANDIN_FROM_TARGET]);
  g_free (p);
}

/* Close both ends; with a reset unless all was delivered.  */
static void
close_pair (struct pair *p, bool reset)
{
  const struct linger now = { 1, 0 };
  if (p->closed)
    return;
  p->closed = true;
  for (int d = 0; d < STANDIN_DIRECTIONS; d++)
    {
      int fd = p->ends[d].source.fd;
      if (reset)
        setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
      close (fd);
    }
  g_ptr_array_remove_fast (p->route->pairs, p);
  g_ptr_array_add (p->route->relay->dead, p);
}

/* Register what END waits for now.  */
static void
set_interest (struct end *e)
{
  struct pair *p = e->pair;
  const struct standin_relay *r = p->route->relay;
  enum standin_direction in = e->d;
  enum standin_direction out = 1 - e->d;
  uint32_t events = 0;
  if (!p->ended[in] && p->out[in]->len + p->delayed[in] < HELD_BYTES_MAX)
    events |= EPOLLIN;
  if (p->out[out]->len > 0 && !p->route->faults[out].cut)
    events |= EPOLLOUT;
  if (e->registered && events == e->events)
    return;
  struct epoll_event ev = { events, { .ptr = &e->source } };
  /* Without interest it is taken out: a hang-up would be told for ever.  */
  int op = !e->registered ? EPOLL_CTL_ADD
           : events == 0  ? EPOLL_CTL_DEL
                          : EPOLL_CTL_MOD;
  if (events != 0 || e->registered)
    epoll_ctl (r->epoll_fd, op, e->source.fd, &ev);
  e->registered = events != 0;
  e->events = events;
}

static void
set_interests (struct pair *p)
{
  if (p->closed)
    return;
  set_interest (&p->ends[STANDIN_TO_TARGET]);
  set_interest (&p->ends[STANDIN_FROM_TARGET]);
}

/* Write what may be written to the sink of direction D.  */
static void
flush (struct pair *p, enum standin_direction d)
{
  GByteArray *out = p->out[d];
  int sink = p->ends[1 - d].source.fd;
  if (p->closed || p->route->faults[d].cut)
    return;
  if (out->len > 0)
    {
      ssize_t n = send (sink, out->data, out->len, MSG_NOSIGNAL);
      if (n < 0 && errno != EAGAIN && errno != ENOTCONN)
        {
          close_pair (p, true);
          return;
        }
      if (n > 0)
        g_byte_array_remove_range (out, 0, (guint)n);
    }
  if (out->len == 0 && p->fin[d] && !p->shut[d])
    {
      shutdown (sink, SHUT_WR);
      p->shut[d] = true;
    }
  if (p->shut[STANDIN_TO_TARGET] && p->shut[STANDIN_FROM_TARGET])
    close_pair (p, false);
}

static void
send_block (struct pair *p, enum standin_direction d, const char *data,
            size_t length)
{
  struct route *route = p->route;
  struct delivery *v = send_later (route, d, data, length);
  if (length > 0 && happens (route->relay, route->faults[d].loss_percent))
    {
      route->passage[d].lost++;
      v->due_ns += RETRANSMIT_MS * NS_PER_MS;
    }
  if (v->due_ns < p->last_due_ns[d])
    v->due_ns = p->last_due_ns[d];
  p->last_due_ns[d] = v->due_ns;
  p->delayed[d] += length;
  p->references++;
  v->pair = p;
  g_tree_insert (route->relay->deliveries, v, v);
}

static void
read_end (struct end *e)
{
  struct pair *p = e->pair;
  struct standin_relay *r = p->route->relay;
  ssize_t n = read (e->source.fd, r->block, sizeof r->block);
  if (n < 0 && errno == EAGAIN)
    return;
  if (n < 0)
    {
      close_pair (p, true);
      return;
    }
  if (n == 0)
    p->ended[e->d] = true;
  send_block (p, e->d, r->block, (size_t)n);
}

static void
end_ready (struct source *s, uint32_t events)
{
  struct end *e = (struct end *)s;
  struct pair *p = e->pair;
  if (p->closed)
    return;
  if ((events & EPOLLERR) != 0)
    {
      close_pair (p, true);
      return;
    }
  if ((events & (EPOLLIN | EPOLLHUP)) != 0 && !p->ended[e->d])
    read_end (e);
  if ((events & (EPOLLOUT | EPOLLHUP)) != 0)
    flush (p, 1 - e->d);
  set_interests (p);
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
open_pair (struct route *route, int client, int target)
{
  const int fds[] = { client, target };
  const int on = 1;
  struct pair *p = g_new0 (struct pair, 1);
  p->route = route;
  p->references = 1;
  for (int d = 0; d < STANDIN_DIRECTIONS; d++)
    {
      struct end *e = &p->ends[d];
      e->source.ready = end_ready;
      e->source.fd = fds[d];
      e->pair = p;
      e->d = (enum standin_direction)d;
      p->out[d] = g_byte_array_new ();
      setsockopt (fds[d], IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
  g_ptr_array_add (route->pairs, p);
  route->links++;
  set_interests (p);
}

static bool
resets (const struct route *route)
{
  return route->faults[STANDIN_TO_TARGET].reset
         || route->faults[STANDIN_FROM_TARGET].reset;
}

static void
listener_ready (struct source *s, uint32_t events)
{
  struct route *route = (struct route *)s;
  (void)events;
  int client = accept4 (s->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (client < 0)
    return;
  int target = resets (route) ? -1 : connect_target (route, SOCK_STREAM);
  if (target < 0)
    reset_socket (client);
  else
    open_pair (route, client, target);
}

static void
send_datagram (struct flow *f, enum standin_direction d, const char *data,
               size_t length)
{
  struct route *route = f->route;
  const struct standin_faults *faults = &route->faults[d];
  struct standin_relay *r = route->relay;
  if (faults->cut || happens (r, faults->loss_percent))
    {
      route->passage[d].lost++;
      return;
    }
  int copies = 1 + happens (r, faults->duplicate_percent);
  route->passage[d].duplicated += copies > 1;
  while (copies-- > 0)
    {
      struct delivery *v = send_later (route, d, data, length);
      v->flow = f;
      g_tree_insert (r->deliveries, v, v);
    }
}

static void
flow_ready (struct source *s, uint32_t events)
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
  f->source.ready = flow_ready;
  f->source.fd = fd;
  f->route = route;
  f->client = *client;
  g_hash_table_insert (route->flows, g_memdup2 (&key, sizeof key), f);
  route->links++;
  watch_source (route->relay, &f->source, EPOLLIN);
  return f;
}

static void
datagram_ready (struct source *s, uint32_t events)
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
wake_ready (struct source *s, uint32_t events)
{
  uint64_t count;
  (void)events;
  ssize_t ignored = read (s->fd, &count, sizeof count);
  (void)ignored;
}

static void
deliver_block (const struct delivery *v)
{
  struct pair *p = v->pair;
  p->delayed[v->d] -= v->length;
  if (!p->closed && v->length == 0)
    p->fin[v->d] = true;
  if (!p->closed)
    g_byte_array_append (p->out[v->d], (const guint8 *)v->data,
                         (guint)v->length);
  p->route->passage[v->d].passed++;
  p->route->passage[v->d].bytes += v->length;
  flush (p, v->d);
  set_interests (p);
  unref_pair (p);
}

static void
deliver_datagram (const struct delivery *v)
{
  struct route *route = v->flow->route;
  struct standin_traffic *passage = &route->passage[v->d];
  if (route->faults[v->d].cut)
    {
      passage->lost++;
      return;
    }
  if (v->d == STANDIN_TO_TARGET)
    send (v->flow->source.fd, v->data, v->length, MSG_NOSIGNAL);
  else
    sendto (route->source.fd, v->data, v->length, MSG_NOSIGNAL,
            (const struct sockaddr *)&v->flow->client, sizeof v->flow->client);
  passage->passed++;
  passage->bytes += v->length;
}

/* Deliver what is due; returns when the next is.  */
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
      if (v->pair != NULL)
        deliver_block (v);
      else
        deliver_datagram (v);
      g_free (v);
    }
}

static void
free_dead (struct standin_relay *r)
{
  for (unsigned i = 0; i < r->dead->len; i++)
    unref_pair (r->dead->pdata[i]);
  g_ptr_array_set_size (r->dead, 0);
}

static void *
relay_main (void *arg)
{
  struct standin_relay *r = arg;
  struct epoll_event events[EVENTS_MAX];
  pthread_mutex_lock (&r->lock);
  while (!r->stopping)
    {
      int64_t next_ns = deliver_due (r);
      free_dead (r);
      int64_t left_ns = next_ns - clock_now_ns ();
      if (left_ns < 0)
        left_ns = 0;
      struct timespec limit = { left_ns / NS_PER_S, left_ns % NS_PER_S };
      pthread_mutex_unlock (&r->lock);
      int n = epoll_pwait2 (r->epoll_fd, events, EVENTS_MAX,
                            next_ns == INT64_MAX ? NULL : &limit, NULL);
      pthread_mutex_lock (&r->lock);
      for (int i = 0; i < n; i++)
        {
          struct source *s = events[i].data.ptr;
          s->ready (s, events[i].events);
        }
    }
  pthread_mutex_unlock (&r->lock);
  return NULL;
}

static void
ring (struct standin_relay *r)
{
  uint64_t one = 1;
  ssize_t ignored = write (r->wake.fd, &one, sizeof one);
  (void)ignored;
}

struct standin_relay *
standin_relay_new (uint32_t seed)
{
  struct standin_relay *r = g_new0 (struct standin_relay, 1);
  pthread_mutex_init (&r->lock, NULL);
  r->routes = g_ptr_array_new ();
  r->deliveries = g_tree_new (by_due);
  r->dead = g_ptr_array_new ();
  r->random = g_rand_new_with_seed (seed);
  r->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  r->wake.ready = wake_ready;
  r->wake.fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  watch_source (r, &r->wake, EPOLLIN);
  return r;
}

static void
free_flow (void *p)
{
  struct flow *f = p;
  close (f->source.fd);
  g_free (f);
}

static void
free_route (struct route *route)
{
  while (route->pairs->len > 0)
    close_pair (route->pairs->pdata[0], true);
  close (route->source.fd);
  g_ptr_array_unref (route->pairs);
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
  if (v->pair != NULL)
    unref_pair (v->pair);
  g_free (v);
  return FALSE;
}

void
standin_relay_free (struct standin_relay *r)
{
  pthread_mutex_lock (&r->lock);
  r->stopping = true;
  pthread_mutex_unlock (&r->lock);
  ring (r);
  if (r->started)
    pthread_join (r->thread, NULL);
  g_tree_foreach (r->deliveries, free_delivery, NULL);
  g_tree_unref (r->deliveries);
  for (unsigned i = 0; i < r->routes->len; i++)
    free_route (r->routes->pdata[i]);
  free_dead (r);
  g_ptr_array_unref (r->routes);
  g_ptr_array_unref (r->dead);
  g_rand_free (r->random);
  close (r->wake.fd);
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
      && (udp || listen (fd, BACKLOG) == 0))
    return fd;
  close (fd);
  return -1;
}

bool
standin_relay_add (struct standin_relay *r, const char *name, bool udp,
                   const char *listen, const char *target)
{
  struct sockaddr_in own;
  struct sockaddr_in other;
  if (standin_relay_find_route (r, name) >= 0
      || !standin_parse_address (listen, &own)
      || !standin_parse_address (target, &other))
    return false;
  int fd = open_listener (udp, &own);
  if (fd < 0)
    return false;
  struct route *route = g_new0 (struct route, 1);
  route->source.ready = udp ? datagram_ready : listener_ready;
  route->source.fd = fd;
  route->relay = r;
  route->name = g_strdup (name);
  route->udp = udp;
  route->target = other;
  route->pairs = g_ptr_array_new ();
  route->flows
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, free_flow);
  g_ptr_array_add (r->routes, route);
  watch_source (r, &route->source, EPOLLIN);
  return true;
}

bool
standin_relay_start (struct standin_relay *r)
{
  r->started = pthread_create (&r->thread, NULL, relay_main, r) == 0;
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
                      enum standin_direction d)
{
  const struct route *route = r->routes->pdata[index];
  pthread_mutex_lock (&r->lock);
  struct standin_faults faults = route->faults[d];
  pthread_mutex_unlock (&r->lock);
  return faults;
}

void
standin_relay_set_faults (struct standin_relay *r, int index,
                          enum standin_direction d,
                          const struct standin_faults *faults)
{
  struct route *route = r->routes->pdata[index];
  pthread_mutex_lock (&r->lock);
  route->faults[d] = *faults;
  for (unsigned i = route->pairs->len; i-- > 0;)
    {
      struct pair *p = route->pairs->pdata[i];
      if (resets (route))
        close_pair (p, true);
      flush (p, d);
      set_interests (p);
    }
  pthread_mutex_unlock (&r->lock);
  ring (r);
}

struct standin_traffic
standin_relay_traffic (struct standin_relay *r, int index,
                       enum standin_direction d)
{
  const struct route *route = r->routes->pdata[index];
  pthread_mutex_lock (&r->lock);
  struct standin_traffic passage = route->passage[d];
  pthread_mutex_unlock (&r->lock);
  return passage;
}

void
standin_relay_connections (struct standin_relay *r, int index, int *open,
                           uint64_t *total)
{
  const struct route *route = r->routes->pdata[index];
  pthread_mutex_lock (&r->lock);
  *open = (int)(route->udp ? g_hash_table_size (route->flows)
                           : route->pairs->len);
  *total = route->links;
  pthread_mutex_unlock (&r->lock);
}
