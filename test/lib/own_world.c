#include "lib/own_world.h"

#include "base/clock.h"
#include "own/agent_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define FETCH_TIMEOUT_NS (50 * NS_PER_MS)
#define STORE_TIMEOUT_NS (300 * NS_PER_MS)
#define LATE_NS (1 * NS_PER_S)
#define LONG_NS (5 * NS_PER_S)
#define IN_FLIGHT_NS (20 * NS_PER_MS)

enum
{
  PER_MILLE = 1000,
  HEADER_BYTES = 28,
  PPM = 1000000,
  FIRST_PORT = 1000,
  TEXT_BYTES = 256
};

enum event_kind
{
  AT_TICK,
  AT_DATAGRAM,
  AT_READ_STORE, /* the store takes the call */
  AT_READ_DONE,
  AT_SWAP_STORE,
  AT_SWAP_DONE,
  AT_FETCH_PEER,
  AT_FETCH_STORE,
  AT_DOCUMENT,
  AT_IDLE,
  AT_BUSY
};

struct occurrence
{
  int64_t at_ns;
  uint64_t order;
  enum event_kind kind;
  uint32_t agent; /* whom it concerns */
  uint32_t run;   /* of that agent; dropped when it has ended */
  uint32_t other;
  enum status status;
  int64_t revision;
  uint64_t number;
  char *data;
  size_t length;
};

struct actor
{
  struct agent_env env;
  struct world *world;
  uint32_t number;
  uint32_t run;
  bool alive;
  bool left;
  bool store_cut;
  struct agent *agent;
  int64_t paused_until_ns;
  int64_t offset_ns;
  int64_t rate; /* clock ticks in PPM true ones */
  int64_t tick_at_ns;
  uint64_t tick_number;
  /* The data path's knowledge.  */
  int64_t until_ns;
  struct cell *view;
  int64_t view_revision;
  uint32_t self;
  bool *closed;
  char closed_key[CELL_KEY_BYTES];
  size_t closed_key_length;
  char *json;
  size_t json_length;
};

struct world
{
  struct world_config config;
  struct world_faults faults;
  uint64_t random;
  int64_t now_ns;
  uint64_t order;
  struct occurrence *heap;
  size_t heap_count;
  size_t heap_room;
  uint32_t count;
  struct actor actors[WORLD_AGENTS_MAX];
  bool cut[WORLD_AGENTS_MAX][WORLD_AGENTS_MAX];
  struct cell *document;
  char *json;
  size_t json_length;
  int64_t revision;
  uint64_t reads;
  uint64_t writes;
  uint64_t bytes;
  uint64_t datagrams;
  uint64_t document_bytes;
  int64_t processor_ns;
  int64_t promise_ns; /* 0: as it should be */
  uint32_t breaches;
  char text[TEXT_BYTES];
};

/* Chance and time.  */

uint64_t
world_random (struct world *w, uint64_t bound)
{
  w->random += UINT64_C (0x9E3779B97F4A7C15);
  uint64_t z = w->random;
  z = (z ^ (z >> 30)) * UINT64_C (0xBF58476D1CE4E5B9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94D049BB133111EB);
  return (z ^ (z >> 31)) % bound;
}

static bool
chance (struct world *w, uint32_t per_mille)
{
  return per_mille > 0 && world_random (w, PER_MILLE) < per_mille;
}

static int64_t
local_time (const struct actor *x, int64_t true_ns)
{
  return x->offset_ns + (int64_t)((__int128)true_ns * x->rate / PPM);
}

static int64_t
true_time (const struct actor *x, int64_t local_ns)
{
  __int128 ticks = (__int128)(local_ns - x->offset_ns) * PPM;
  return (int64_t)((ticks + x->rate - 1) / x->rate);
}

static int64_t
some_delay (struct world *w, int64_t delay_ns)
{
  return delay_ns + (int64_t)world_random (w, (uint64_t)delay_ns / 2 + 1);
}

/* The queue: a binary heap by time, then by order.  */

static bool
is_before (const struct occurrence *a, const struct occurrence *b)
{
  if (a->at_ns != b->at_ns)
    return a->at_ns < b->at_ns;
  return a->order < b->order;
}

static void
sift_up (struct world *w, size_t i)
{
  struct occurrence o = w->heap[i];
  while (i > 0 && is_before (&o, &w->heap[(i - 1) / 2]))
    {
      w->heap[i] = w->heap[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  w->heap[i] = o;
}

static void
sift_down (struct world *w, size_t i)
{
  struct occurrence o = w->heap[i];
  for (;;)
    {
      size_t child = 2 * i + 1;
      if (child >= w->heap_count)
        break;
      if (child + 1 < w->heap_count
          && is_before (&w->heap[child + 1], &w->heap[child]))
        child++;
      if (!is_before (&w->heap[child], &o))
        break;
      w->heap[i] = w->heap[child];
      i = child;
    }
  w->heap[i] = o;
}

static void
push (struct world *w, struct occurrence o)
{
  if (w->heap_count == w->heap_room)
    {
      w->heap_room = w->heap_room * 2 + 64;
      w->heap = realloc (w->heap, w->heap_room * sizeof *w->heap);
      if (w->heap == NULL)
        abort ();
    }
  w->heap[w->heap_count] = o;
  sift_up (w, w->heap_count++);
}

static void
at (struct world *w, int64_t at_ns, struct occurrence o)
{
  o.at_ns = at_ns;
  o.order = ++w->order;
  push (w, o);
}

static struct occurrence
pop (struct world *w)
{
  struct occurrence o = w->heap[0];
  w->heap[0] = w->heap[--w->heap_count];
  if (w->heap_count > 0)
    sift_down (w, 0);
  return o;
}

static char *
duplicate (const char *data, size_t length)
{
  char *copy = malloc (length + 1);
  if (copy == NULL)
    abort ();
  memcpy (copy, data, length);
  copy[length] = '\0';
  return copy;
}

/* The check.  */

static bool
has_lease (const struct actor *x)
{
  const struct world *w = x->world;
  return x->alive && x->self != 0 && x->view != NULL
         && local_time (x, w->now_ns) < x->until_ns;
}

static bool
gives_slot (const struct actor *x, uint32_t slot)
{
  return x->view->slots[slot].owner == x->self && !x->closed[slot];
}

static bool
gives_key (const struct actor *x, const struct cell_pin *pin)
{
  struct cell_owner o = cell_owner_of (x->view, pin->key, pin->length);
  bool closed = x->closed[o.slot]
                || (x->closed_key_length == pin->length
                    && memcmp (x->closed_key, pin->key, pin->length) == 0);
  return o.incarnation == x->self && !closed;
}

static void
breach (struct world *w, const char *what, const struct actor *x,
        const struct actor *y, uint32_t number)
{
  if (w->breaches++ == 0)
    snprintf (w->text, sizeof w->text,
              "%s %u: agents %u (incarnation %u) and %u (%u) at %lld ns", what,
              number, x->number, x->self, y->number, y->self,
              (long long)w->now_ns);
}

static void
compare_pins (struct actor *x, struct actor *y, const struct cell *of)
{
  for (uint32_t i = 0; i < of->pin_count; i++)
    if (gives_key (x, &of->pins[i]) && gives_key (y, &of->pins[i]))
      breach (x->world, "pin", x, y, i);
}

static void
check_against (struct actor *x, struct actor *y)
{
  for (uint32_t s = 0; s < x->view->slot_count; s++)
    if (gives_slot (x, s) && gives_slot (y, s))
      {
        breach (x->world, "slot", x, y, s);
        return;
      }
  compare_pins (x, y, x->view);
  compare_pins (x, y, y->view);
}

/* X may have begun to serve something.  */
static void
check (struct actor *x)
{
  struct world *w = x->world;
  if (!w->config.check_ownership || !has_lease (x))
    return;
  for (uint32_t i = 0; i < w->count; i++)
    if (i != x->number && has_lease (&w->actors[i]))
      check_against (x, &w->actors[i]);
}

/* The environment of an agent.  */

static struct actor *
actor_of (struct agent_env *env)
{
  return (struct actor *)env;
}

static uint32_t
number_of (const struct settings_address *address)
{
  return (uint32_t)address->port - FIRST_PORT;
}

static void
deliver (struct world *w, uint32_t from, uint32_t to, const void *data,
         size_t length)
{
  int64_t delay_ns = some_delay (w, w->config.datagram_delay_ns);
  if (chance (w, w->faults.delayed))
    delay_ns += (int64_t)world_random (w, LATE_NS);
  at (w, w->now_ns + delay_ns,
      (struct occurrence){ .kind = AT_DATAGRAM,
                           .agent = to,
                           .run = w->actors[to].run,
                           .other = from,
                           .data = duplicate (data, length),
                           .length = length });
}

static void
env_send (struct agent_env *env, const struct settings_address *address,
          const void *data, size_t length)
{
  struct actor *x = actor_of (env);
  struct world *w = x->world;
  uint32_t to = number_of (address);
  w->bytes += length + HEADER_BYTES;
  w->datagrams++;
  if (to >= w->count || w->cut[x->number][to] || chance (w, w->faults.loss))
    return;
  deliver (w, x->number, to, data, length);
  if (chance (w, w->faults.duplicate))
    deliver (w, x->number, to, data, length);
}

static struct occurrence
own_event (const struct actor *x, enum event_kind kind)
{
  return (
      struct occurrence){ .kind = kind, .agent = x->number, .run = x->run };
}

static bool
store_reached (const struct actor *x)
{
  return !x->world->faults.store_down && !x->store_cut;
}

static void
env_read (struct agent_env *env)
{
  struct actor *x = actor_of (env);
  struct world *w = x->world;
  at (w, w->now_ns + some_delay (w, w->config.store_delay_ns),
      own_event (x, AT_READ_STORE));
}

static void
env_swap (struct agent_env *env, int64_t expected, char *json, size_t length)
{
  struct actor *x = actor_of (env);
  struct world *w = x->world;
  struct occurrence o = own_event (x, AT_SWAP_STORE);
  o.revision = expected;
  o.data = json;
  o.length = length;
  at (w, w->now_ns + some_delay (w, w->config.store_delay_ns), o);
}

static void
env_fetch (struct agent_env *env, const struct settings_address *from,
           uint64_t serial)
{
  struct actor *x = actor_of (env);
  struct world *w = x->world;
  struct occurrence o = own_event (x, AT_FETCH_PEER);
  o.other = number_of (from);
  o.number = serial;
  at (w, w->now_ns + some_delay (w, w->config.datagram_delay_ns), o);
}

static void
env_publish (struct agent_env *env, const struct agent_view *view,
             const char *json, size_t length)
{
  struct actor *x = actor_of (env);
  struct world *w = x->world;
  if (view->revision <= x->view_revision || view->revision > w->revision)
    breach (w, "revision", x, x, (uint32_t)view->revision);
  free (x->view);
  free (x->json);
  x->view = cell_copy (view->cell);
  x->view_revision = view->revision;
  x->self = view->self;
  x->json = duplicate (json, length);
  x->json_length = length;
  check (x);
}

static void
env_lease (struct agent_env *env, int64_t until_ns)
{
  struct actor *x = actor_of (env);
  bool had = has_lease (x);
  x->until_ns = until_ns;
  if (!had)
    check (x);
}

static void
env_close (struct agent_env *env, const struct agent_move *move)
{
  struct actor *x = actor_of (env);
  struct world *w = x->world;
  for (uint32_t i = 0; i < move->slot_count; i++)
    x->closed[move->slots[i]] = true;
  if (move->key != NULL)
    {
      memcpy (x->closed_key, move->key, move->key_length);
      x->closed_key_length = move->key_length;
    }
  struct occurrence o
      = own_event (x, chance (w, w->faults.moves_aborted) ? AT_BUSY : AT_IDLE);
  o.number = move->id;
  at (w, w->now_ns + (int64_t)world_random (w, IN_FLIGHT_NS), o);
  /* What kept it busy ends as well.  */
  if (o.kind == AT_BUSY)
    {
      o.kind = AT_IDLE;
      at (w, w->now_ns + LONG_NS, o);
    }
}

static void
env_open (struct agent_env *env, uint32_t id)
{
  struct actor *x = actor_of (env);
  (void)id;
  memset (x->closed, 0, x->world->config.slots * sizeof *x->closed);
  x->closed_key_length = 0;
  check (x);
}

static void
env_notify (struct agent_env *env, enum event ev, const char *detail)
{
  struct actor *x = actor_of (env);
  if (ev == EV_LEFT)
    x->left = true;
  if (getenv ("OWN_WORLD_TRACE") != NULL)
    fprintf (stderr, "%10.3f ms agent %u event %d %s\n",
             (double)x->world->now_ns / 1e6, x->number, (int)ev, detail);
}

static const struct agent_env_ops env_ops
    = { env_send,  env_read,  env_swap, env_fetch,  env_publish,
        env_lease, env_close, env_open, env_notify, NULL };

/* The store.  */

static void
read_at_store (struct world *w, struct actor *x)
{
  struct occurrence done = own_event (x, AT_READ_DONE);
  int64_t back_ns = some_delay (w, w->config.store_delay_ns);
  if (!store_reached (x))
    {
      done.status = STATUS_UNAVAILABLE;
      back_ns = STORE_TIMEOUT_NS;
    }
  else
    {
      w->reads++;
      done.status = w->document == NULL ? STATUS_NOT_FOUND : STATUS_OK;
      done.revision = w->revision;
      if (w->document != NULL)
        done.data = duplicate (w->json, w->json_length);
      done.length = w->json_length;
    }
  at (w, w->now_ns + back_ns, done);
}

static enum status
write_document (struct world *w, struct occurrence *o)
{
  w->writes++;
  int64_t present = w->document == NULL ? 0 : w->revision;
  if (o->revision != present)
    return STATUS_CONFLICT;
  struct cell *cell;
  if (cell_parse (o->data, o->length, &cell) != STATUS_OK)
    {
      breach (w, status_message (), &w->actors[o->agent], &w->actors[o->agent],
              0);
      return STATUS_CONFLICT;
    }
  if (w->document != NULL && cell->serial != w->document->serial + 1)
    breach (w, "serial", &w->actors[o->agent], &w->actors[o->agent],
            cell->serial);
  free (w->document);
  free (w->json);
  w->document = cell;
  w->json = o->data;
  w->json_length = o->length;
  o->data = NULL;
  w->revision += 1 + (int64_t)world_random (w, 3);
  return STATUS_OK;
}

/* The answer is lost, or the request takes effect only after its caller gave
   up.  */
static bool
swap_spoiled (struct world *w, struct actor *x, struct occurrence *o)
{
  struct occurrence done = own_event (x, AT_SWAP_DONE);
  done.status = STATUS_IN_DOUBT;
  if (o->number == 0 && chance (w, w->faults.writes_late))
    {
      o->number = 1;
      at (w, w->now_ns + STORE_TIMEOUT_NS + (int64_t)world_random (w, LATE_NS),
          *o);
      o->data = NULL;
      at (w, w->now_ns + STORE_TIMEOUT_NS, done);
      return true;
    }
  if (o->number == 0 && chance (w, w->faults.write_answers_lost))
    {
      write_document (w, o);
      at (w, w->now_ns + STORE_TIMEOUT_NS, done);
      return true;
    }
  return false;
}

static void
swap_at_store (struct world *w, struct actor *x, struct occurrence *o)
{
  struct occurrence done = own_event (x, AT_SWAP_DONE);
  if (o->number == 1)
    {
      /* Late: its caller has had its answer.  */
      write_document (w, o);
      return;
    }
  if (!store_reached (x))
    {
      done.status = STATUS_UNAVAILABLE;
      at (w, w->now_ns + STORE_TIMEOUT_NS, done);
      return;
    }
  if (swap_spoiled (w, x, o))
    return;
  done.status = write_document (w, o);
  done.revision = w->revision;
  at (w, w->now_ns + some_delay (w, w->config.store_delay_ns), done);
}

/* Documents from peers.  */

static void
send_document (struct world *w, struct actor *x, const char *json,
               size_t length, int64_t revision, int64_t after_ns)
{
  struct occurrence o = own_event (x, AT_DOCUMENT);
  o.data = duplicate (json, length);
  o.length = length;
  o.revision = revision;
  w->document_bytes += length;
  at (w, w->now_ns + after_ns, o);
}

static void
fetch_at_peer (struct world *w, struct actor *x, const struct occurrence *o)
{
  const struct actor *y = o->other < w->count ? &w->actors[o->other] : NULL;
  bool reached = y != NULL && y->alive && w->now_ns >= y->paused_until_ns
                 && !w->cut[x->number][o->other]
                 && !w->cut[o->other][x->number] && y->view != NULL
                 && y->view->serial >= o->number;
  if (reached)
    send_document (w, x, y->json, y->json_length, y->view_revision,
                   some_delay (w, w->config.datagram_delay_ns));
  else
    at (w, w->now_ns + FETCH_TIMEOUT_NS, own_event (x, AT_FETCH_STORE));
}

static void
fetch_at_store (struct world *w, struct actor *x)
{
  if (!store_reached (x) || w->document == NULL)
    return;
  w->reads++;
  send_document (w, x, w->json, w->json_length, w->revision,
                 some_delay (w, w->config.store_delay_ns));
}

/* Running.  */

static void
tick (struct world *w, struct actor *x)
{
  if (w->promise_ns != 0)
    x->agent->guardian_state.promise_ns = w->promise_ns;
  int64_t next_ns = agent_tick (x->agent, local_time (x, w->now_ns));
  if (next_ns == AGENT_FOREVER_NS)
    return;
  int64_t at_ns = true_time (x, next_ns);
  struct occurrence o = own_event (x, AT_TICK);
  o.number = ++x->tick_number;
  at (w, at_ns <= w->now_ns ? w->now_ns + NS_PER_US : at_ns, o);
}

static void
to_agent (struct world *w, struct actor *x, const struct occurrence *o)
{
  int64_t now_ns = local_time (x, w->now_ns);
  struct settings_address from
      = { "127.0.0.1", (uint16_t)(FIRST_PORT + o->other) };
  switch (o->kind)
    {
    case AT_DATAGRAM:
      agent_on_datagram (x->agent, &from, o->data, o->length, now_ns);
      break;
    case AT_READ_DONE:
      agent_on_read (x->agent, o->status, o->revision, o->data, o->length,
                     now_ns);
      break;
    case AT_SWAP_DONE:
      agent_on_swap (x->agent, o->status, o->revision, now_ns);
      break;
    case AT_DOCUMENT:
      agent_on_document (x->agent, o->revision, o->data, o->length, now_ns);
      break;
    case AT_IDLE:
      agent_on_idle (x->agent, (uint32_t)o->number, now_ns);
      break;
    case AT_BUSY:
      agent_on_busy (x->agent, (uint32_t)o->number, now_ns);
      break;
    default:
      break;
    }
  tick (w, x);
}

static bool
needs_process (const struct occurrence *o)
{
  return o->kind != AT_READ_STORE && o->kind != AT_SWAP_STORE
         && o->kind != AT_FETCH_PEER && o->kind != AT_FETCH_STORE;
}

static int64_t
thread_time_ns (void)
{
  struct timespec t;
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &t);
  return t.tv_sec * NS_PER_S + t.tv_nsec;
}

static void
happen (struct world *w, struct occurrence *o)
{
  struct actor *x = &w->actors[o->agent];
  bool gone = !x->alive || x->run != o->run;
  switch (o->kind)
    {
    case AT_READ_STORE:
      read_at_store (w, x);
      break;
    case AT_SWAP_STORE:
      swap_at_store (w, x, o);
      break;
    case AT_FETCH_PEER:
      if (!gone)
        fetch_at_peer (w, x, o);
      break;
    case AT_FETCH_STORE:
      if (!gone)
        fetch_at_store (w, x);
      break;
    case AT_TICK:
      if (!gone && o->number == x->tick_number)
        tick (w, x);
      break;
    default:
      if (!gone)
        to_agent (w, x, o);
      break;
    }
}

/* Take the next occurrence, if it comes before UNTIL_NS.  */
static bool
step (struct world *w, int64_t until_ns)
{
  if (w->heap_count == 0 || w->heap[0].at_ns > until_ns)
    return false;
  struct occurrence o = pop (w);
  w->now_ns = o.at_ns;
  const struct actor *x = &w->actors[o.agent];
  if (needs_process (&o) && o.run == x->run && x->alive
      && w->now_ns < x->paused_until_ns)
    {
      o.at_ns = x->paused_until_ns;
      push (w, o);
      return true;
    }
  bool timed = w->config.measure_cpu && needs_process (&o);
  int64_t began_ns = timed ? thread_time_ns () : 0;
  happen (w, &o);
  if (timed)
    w->processor_ns += thread_time_ns () - began_ns;
  free (o.data);
  return true;
}

void
world_run (struct world *w, int64_t until_ns)
{
  while (step (w, until_ns))
    ;
  w->now_ns = until_ns;
}

int64_t
world_run_until_served (struct world *w, int64_t limit_ns)
{
  int64_t start_ns = w->now_ns;
  while (world_count_unserved (w) > 0)
    if (!step (w, start_ns + limit_ns))
      {
        w->now_ns = start_ns + limit_ns;
        return -1;
      }
  return w->now_ns - start_ns;
}

/* Agents.  */

static void
start_agent (struct world *w, struct actor *x)
{
  char name[32];
  char zone[32];
  char rack[32];
  snprintf (name, sizeof name, "node-%u", x->number);
  snprintf (zone, sizeof zone, "zone-%u", x->number % w->config.zones);
  snprintf (rack, sizeof rack, "rack-%u", x->number / w->config.zones % 4);
  struct agent_config config
      = { .service = "stock",
          .name = name,
          .zone = zone,
          .rack = rack,
          .callers = { "127.0.0.1", (uint16_t)(FIRST_PORT * 2 + x->number) },
          .peers = { "127.0.0.1", (uint16_t)(FIRST_PORT + x->number) },
          .place = "boot-1 net-1",
          .weight = 10,
          .slots = w->config.slots,
          .policy = w->config.policy,
          .seed = world_random (w, UINT64_MAX) };
  x->agent = agent_new (&config, &x->env);
  x->alive = true;
  x->left = false;
  x->until_ns = AGENT_NEVER_NS;
  x->view_revision = 0;
  x->self = 0;
  x->paused_until_ns = 0;
  memset (x->closed, 0, w->config.slots * sizeof *x->closed);
  x->closed_key_length = 0;
  agent_start (x->agent, local_time (x, w->now_ns));
  tick (w, x);
}

uint32_t
world_add (struct world *w)
{
  struct actor *x = &w->actors[w->count];
  uint32_t drift = w->config.drift_ppm;
  x->env.ops = &env_ops;
  x->world = w;
  x->number = w->count++;
  x->offset_ns = (int64_t)world_random (w, 1000 * NS_PER_S);
  x->rate = PPM;
  if (drift > 0)
    x->rate += (int64_t)world_random (w, 2 * drift + 1) - drift;
  x->closed = calloc (w->config.slots, sizeof *x->closed);
  start_agent (w, x);
  return x->number;
}

void
world_kill (struct world *w, uint32_t agent)
{
  struct actor *x = &w->actors[agent];
  agent_free (x->agent);
  free (x->view);
  free (x->json);
  x->agent = NULL;
  x->view = NULL;
  x->json = NULL;
  x->alive = false;
  x->self = 0;
  x->run++;
}

void
world_restart (struct world *w, uint32_t agent)
{
  start_agent (w, &w->actors[agent]);
}

void
world_pause (struct world *w, uint32_t agent, int64_t for_ns)
{
  w->actors[agent].paused_until_ns = w->now_ns + for_ns;
}

void
world_cut_link (struct world *w, uint32_t a, uint32_t b, bool cut)
{
  w->cut[a][b] = cut;
}

void
world_isolate (struct world *w, uint32_t a, bool cut)
{
  for (uint32_t i = 0; i < WORLD_AGENTS_MAX; i++)
    w->cut[a][i] = w->cut[i][a] = cut;
}

void
world_cut_store (struct world *w, uint32_t a, bool cut)
{
  w->actors[a].store_cut = cut;
}

struct world *
world_new (const struct world_config *config)
{
  struct world *w = calloc (1, sizeof *w);
  if (w == NULL)
    abort ();
  w->config = *config;
  w->random = config->seed;
  w->revision = 100;
  return w;
}

void
world_free (struct world *w)
{
  for (uint32_t i = 0; i < w->count; i++)
    {
      if (w->actors[i].alive)
        world_kill (w, i);
      free (w->actors[i].closed);
    }
  for (size_t i = 0; i < w->heap_count; i++)
    free (w->heap[i].data);
  free (w->heap);
  free (w->document);
  free (w->json);
  free (w);
}

/* What is there.  */

int64_t
world_now (const struct world *w)
{
  return w->now_ns;
}

int64_t
world_local_now (const struct world *w, uint32_t agent)
{
  return local_time (&w->actors[agent], w->now_ns);
}

struct world_faults *
world_faults (struct world *w)
{
  return &w->faults;
}

uint32_t
world_count (const struct world *w)
{
  return w->count;
}

struct agent *
world_agent (struct world *w, uint32_t agent)
{
  return w->actors[agent].agent;
}

bool
world_is_alive (const struct world *w, uint32_t agent)
{
  return w->actors[agent].alive;
}

bool
world_has_left (const struct world *w, uint32_t agent)
{
  return w->actors[agent].left;
}

bool
world_serves (const struct world *w, uint32_t agent, uint32_t slot)
{
  const struct actor *x = &w->actors[agent];
  return has_lease (x) && w->now_ns >= x->paused_until_ns
         && gives_slot (x, slot);
}

uint32_t
world_count_unserved (const struct world *w)
{
  bool served[CELL_SLOTS_MAX] = { false };
  uint32_t count = 0;
  for (uint32_t i = 0; i < w->count; i++)
    {
      const struct actor *x = &w->actors[i];
      if (!has_lease (x) || w->now_ns < x->paused_until_ns)
        continue;
      for (uint32_t s = 0; s < w->config.slots; s++)
        served[s] |= gives_slot (x, s);
    }
  for (uint32_t s = 0; s < w->config.slots; s++)
    count += !served[s];
  return count;
}

const struct cell *
world_document (const struct world *w)
{
  return w->document;
}

void
world_store_calls (struct world *w, uint64_t *reads, uint64_t *writes)
{
  *reads = w->reads;
  *writes = w->writes;
  w->reads = 0;
  w->writes = 0;
}

void
world_traffic (struct world *w, uint64_t *bytes, uint64_t *datagrams)
{
  *bytes = w->bytes;
  *datagrams = w->datagrams;
  w->bytes = 0;
  w->datagrams = 0;
}

uint64_t
world_document_bytes (struct world *w)
{
  uint64_t bytes = w->document_bytes;
  w->document_bytes = 0;
  return bytes;
}

int64_t
world_cpu_ns (struct world *w)
{
  int64_t spent_ns = w->processor_ns;
  w->processor_ns = 0;
  return spent_ns;
}

uint32_t
world_violations (const struct world *w, const char **text)
{
  if (text != NULL)
    *text = w->text;
  return w->breaches;
}

void
world_set_promise (struct world *w, int64_t promise_ns)
{
  w->promise_ns = promise_ns;
}
