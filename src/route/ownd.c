#include "route/ownd.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "own/agent_env.h"
#include "route/confd.h"
#include "route/peers_docs.h"
#include "route/storeq.h"
#include "route/target.h"
#include "settings/address.h"

#include <ck_pr.h>
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

enum
{
  INBOX_CAPACITY = 256,
  DATAGRAM_BYTES = 1024,
  DATAGRAMS_PER_ROUND = 256,
  HANDOVER_POLL_MS = 1,
  IDLE_POLL_MS = 1000,
  HOST_IDENTITY_BYTES = CELL_PLACE_BYTES,
  NETNS_BYTES = 48,
  BOOT_ID_BYTES = 40,
  CONF_POLL_MS = 20
};

#define FETCH_TIMEOUT_NS (50 * NS_PER_MS)
#define HANDOVER_TIMEOUT_NS (2 * NS_PER_S)
#define COMMAND_TIMEOUT_NS NS_PER_S
#define METER_INTERVAL_NS (250 * NS_PER_MS)
/* Interval of reads of the cell's document by a node that is out of the cell:
   how long its map may be outdated for the callers that it forwards.  */
#define OUT_READ_INTERVAL_NS (5 * NS_PER_S)

/* The handover under way: its slots, or the slot of its key, are closed at
   this node.  */
struct handover
{
  uint32_t id; /* 0: no handover */
  uint32_t slot_count;
  uint16_t slots[MAP_SLOTS_MAX];
  int64_t deadline_ns;
  bool reported;
};

struct ownd
{
  struct service service;
  struct agent_env env;
  struct kernel *kernel;
  const struct settings *settings;
  struct map *map;
  struct service *storeq;
  struct service *peers;
  struct hot_meter *meter;
  int64_t meter_read_ns;
  struct inbox *inbox;
  struct agent *agent;
  struct map_view *view; /* buffer of env_publish */
  struct handover handover;
  char document_key[STORE_JOB_KEY_BYTES];
  int udp;
  uint32_t fetching;        /* set during the fetch of ownd_fetch_document */
  uint32_t leave_announced; /* set when the others were notified */
  uint32_t leave_requested; /* set by ownd_drain */
  bool leave_begun;
  bool out;             /* the agent left because its zone is evacuated */
  int64_t next_read_ns; /* of the document while OUT */
  pthread_mutex_t description_lock;
  char *description; /* state of the agent as text, or NULL */
  int64_t described_ns;
  pthread_t thread;
  uint32_t stopping;
};

static struct ownd *
ownd_from_env (struct agent_env *env)
{
  return (struct ownd *)((char *)env - offsetof (struct ownd, env));
}

static void
env_send (struct agent_env *env, const struct settings_address *to,
          const void *data, size_t length)
{
  struct ownd *o = ownd_from_env (env);
  struct sockaddr_storage address;
  if (settings_address_to_sockaddr (to, &address) != STATUS_OK)
    return;
  counter_add (COUNTER_lease_bytes_out_total, length);
  sendto (o->udp, data, length, MSG_DONTWAIT, (struct sockaddr *)&address,
          sizeof address);
}

static void
submit_job (struct ownd *o, struct agent_job *job)
{
  job->job.reply_to = o->inbox;
  snprintf (job->job.key, sizeof job->job.key, "%s", o->document_key);
  storeq_submit (o->storeq, &job->job);
}

static void
env_read (struct agent_env *env)
{
  submit_job (ownd_from_env (env), agent_job_read (false));
}

static void
env_swap (struct agent_env *env, int64_t expected, char *json, size_t length)
{
  submit_job (ownd_from_env (env), agent_job_swap (expected, json, length));
}

/* Fetch the cell's document from the member at ADDRESS.  False when the fetch
   could not be submitted.  */
static bool
start_fetch (struct ownd *o, const char *address, bool optional)
{
  struct peers_fetch *f = calloc (1, sizeof *f);
  if (f == NULL)
    return false;
  snprintf (f->address, sizeof f->address, "%s", address);
  f->reply_to = o->inbox;
  f->topic = TOPIC_CELL;
  f->known_revision = map_revision (o->map);
  f->no_fallback = optional;
  f->deadline_ns = clock_now_ns () + FETCH_TIMEOUT_NS;
  if (peers_fetch (kernel_find (o->kernel, PEERS_SERVICE), f) == STATUS_OK)
    return true;
  peers_fetch_free (f);
  return false;
}

static void
env_fetch (struct agent_env *env, const struct settings_address *from,
           uint64_t serial)
{
  char address[ADDRESS_TEXT_BYTES];
  (void)serial;
  settings_address_format (from, address);
  start_fetch (ownd_from_env (env), address, false);
}

static void
fill_members (struct map_view *view, const struct cell *cell)
{
  view->member_count = cell->member_count;
  for (uint32_t i = 0; i < cell->member_count; i++)
    {
      struct map_member *to = &view->members[i];
      const struct cell_member *from = &cell->members[i];
      to->incarnation = from->incarnation;
      memcpy (to->name, from->name, sizeof to->name);
      memcpy (to->zone, from->zone, sizeof to->zone);
      settings_address_format (&from->peers, to->peer_address);
      snprintf (to->state, sizeof to->state, "%s",
                member_state_name (from->state));
      to->guardian = from->guardian;
      to->weight = from->weight;
    }
}

static void
fill_ownership (struct map_view *view, const struct cell *cell)
{
  view->slot_count = cell->slot_count;
  for (uint32_t i = 0; i < cell->slot_count; i++)
    {
      view->slots[i].owner = cell->slots[i].owner;
      view->slots[i].epoch = cell->slots[i].epoch;
    }
  view->pin_count = cell->pin_count;
  for (uint32_t i = 0; i < cell->pin_count; i++)
    {
      struct map_pin *to = &view->pins[i];
      memcpy (to->key, cell->pins[i].key, sizeof to->key);
      to->ownership.owner = cell->pins[i].owner;
      to->ownership.epoch = cell->pins[i].epoch;
    }
}

static void
env_publish (struct agent_env *env, const struct agent_view *view,
             const char *json, size_t length)
{
  struct ownd *o = ownd_from_env (env);
  struct map_view *to = o->view;
  to->revision = view->revision;
  to->self_incarnation = view->self;
  fill_members (to, view->cell);
  fill_ownership (to, view->cell);
  map_install_view (o->map, to, clock_wall_ms ());
  peers_set_document (o->peers, TOPIC_CELL, view->revision, json, length);
}

static void
env_lease (struct agent_env *env, int64_t until_ns)
{
  map_set_lease_until (ownd_from_env (env)->map, until_ns);
}

static void
env_close (struct agent_env *env, const struct agent_move *move)
{
  struct ownd *o = ownd_from_env (env);
  struct handover *h = &o->handover;
  h->id = move->id;
  h->reported = false;
  h->deadline_ns = clock_now_ns () + HANDOVER_TIMEOUT_NS;
  h->slot_count = move->slot_count;
  if (move->key != NULL)
    {
      /* A key is closed by closing its slot: requests in flight are counted
         per slot.  */
      h->slots[0] = (uint16_t)request_slot (move->key, o->view->slot_count);
      h->slot_count = 1;
    }
  else
    memcpy (h->slots, move->slots, move->slot_count * sizeof h->slots[0]);
  for (uint32_t i = 0; i < h->slot_count; i++)
    map_close_slots (o->map, h->slots[i], 1);
}

static void
env_open (struct agent_env *env, uint32_t id)
{
  struct ownd *o = ownd_from_env (env);
  struct handover *h = &o->handover;
  if (h->id != id)
    return;
  for (uint32_t i = 0; i < h->slot_count; i++)
    map_open_slots (o->map, h->slots[i], 1);
  h->id = 0;
}

static void
env_notify (struct agent_env *env, enum event ev, const char *detail)
{
  agent_env_log (ownd_from_env (env)->settings->name, ev, detail);
}

static const struct agent_env_ops env_ops = {
  .send = env_send,
  .read = env_read,
  .swap = env_swap,
  .fetch = env_fetch,
  .publish = env_publish,
  .set_lease = env_lease,
  .close = env_close,
  .reopen = env_open,
  .notify = env_notify,
};

static void
receive_datagrams (struct ownd *o)
{
  for (unsigned i = 0; i < DATAGRAMS_PER_ROUND; i++)
    {
      char data[DATAGRAM_BYTES];
      struct sockaddr_storage address;
      socklen_t address_length = sizeof address;
      ssize_t length = recvfrom (o->udp, data, sizeof data, MSG_DONTWAIT,
                                 (struct sockaddr *)&address, &address_length);
      if (length < 0)
        return;
      struct settings_address from;
      settings_address_from_sockaddr (&from, &address);
      counter_add (COUNTER_lease_bytes_in_total, (uint64_t)length);
      agent_on_datagram (o->agent, &from, data, (size_t)length,
                         clock_now_ns ());
    }
}

static void
on_fetch_done (struct ownd *o, struct peers_fetch *f, int64_t now_ns)
{
  if (f->no_fallback)
    ck_pr_store_32 (&o->fetching, 0);
  if (f->status == STATUS_OK && f->data != NULL)
    agent_on_document (o->agent, f->revision, f->data, f->length, now_ns);
  else if (!f->no_fallback
           && (f->status != STATUS_OK || f->revision < f->known_revision))
    submit_job (o, agent_job_read (true)); /* the peer did not have it */
  peers_fetch_free (f);
}

static void
on_command (struct ownd *o, struct ownd_command *c, int64_t now_ns)
{
  switch (c->action)
    {
    case OWND_MOVE_SLOT:
      c->status = agent_move_slot (o->agent, c->slot, c->incarnation, now_ns);
      break;
    case OWND_MOVE_KEY:
      c->status = agent_move_key (o->agent, c->key, strlen (c->key),
                                  c->incarnation, now_ns);
      break;
    case OWND_EVICT:
      c->status = agent_evict (o->agent, c->incarnation, now_ns);
      break;
    default:
      agent_leave (o->agent, now_ns);
      c->status = STATUS_OK;
      break;
    }
  if (c->status != STATUS_OK)
    snprintf (c->message, sizeof c->message, "%s", status_message ());
  ck_pr_fence_store ();
  ck_pr_store_32 (&c->done, 1);
}

static void
process_inbox (struct ownd *o)
{
  struct inbox_header *message;
  while ((message = inbox_take (o->inbox)) != NULL)
    {
      int64_t now_ns = clock_now_ns ();
      if (message->kind == INBOX_MESSAGE_STORE_JOB)
        agent_job_done (o->agent, (struct agent_job *)message, now_ns);
      else if (message->kind == INBOX_MESSAGE_FETCH)
        on_fetch_done (o, (struct peers_fetch *)message, now_ns);
      else
        on_command (o, (struct ownd_command *)message, now_ns);
    }
}

static uint32_t
handover_in_flight (struct ownd *o)
{
  uint32_t sum = 0;
  for (uint32_t i = 0; i < o->handover.slot_count; i++)
    sum += map_in_flight (o->map, o->handover.slots[i], 1);
  return sum;
}

static void
check_handover (struct ownd *o, int64_t now_ns)
{
  struct handover *h = &o->handover;
  if (h->id == 0 || h->reported)
    return;
  uint32_t in_flight = handover_in_flight (o);
  if (in_flight > 0 && now_ns < h->deadline_ns)
    return;
  h->reported = true;
  if (in_flight == 0)
    agent_on_idle (o->agent, h->id, now_ns);
  else
    agent_on_busy (o->agent, h->id, now_ns);
}

static void
describe (struct ownd *o, int64_t now_ns)
{
  char *text = NULL;
  size_t length = 0;
  if (now_ns < o->described_ns + NS_PER_S)
    return;
  o->described_ns = now_ns;
  FILE *out = open_memstream (&text, &length);
  if (out == NULL)
    return;
  agent_describe (o->agent, now_ns, out);
  fclose (out);
  pthread_mutex_lock (&o->description_lock);
  free (o->description);
  o->description = text;
  pthread_mutex_unlock (&o->description_lock);
}

static void
report_key_requests (void *arg, const char *key, size_t length,
                     uint32_t requests)
{
  agent_count_key (arg, key, length, requests);
}

/* Report to the agent what the target's thread measured.  */
static void
report_load (struct ownd *o, int64_t now_ns)
{
  if (now_ns < o->meter_read_ns + METER_INTERVAL_NS)
    return;
  o->meter_read_ns = now_ns;
  agent_set_load (o->agent, hot_meter_collect (o->meter, now_ns,
                                               report_key_requests, o->agent));
}

static int
poll_timeout_ms (struct ownd *o, int64_t next_ns, int64_t now_ns)
{
  if (o->handover.id != 0 && !o->handover.reported)
    return HANDOVER_POLL_MS;
  if (next_ns <= now_ns)
    return 0;
  int64_t ms = (next_ns - now_ns + NS_PER_MS - 1) / NS_PER_MS;
  return ms < IDLE_POLL_MS ? (int)ms : IDLE_POLL_MS;
}

static void
wait_events (struct ownd *o, int64_t next_ns)
{
  struct pollfd fds[] = { { .fd = o->udp, .events = POLLIN },
                          { .fd = inbox_fd (o->inbox), .events = POLLIN } };
  int timeout_ms = poll_timeout_ms (o, next_ns, clock_now_ns ());
  if (!inbox_arm_wakeup (o->inbox))
    timeout_ms = 0;
  poll (fds, 2, timeout_ms);
  inbox_clear_wakeup (o->inbox);
}

/* Whether the cell has an active member, other than this one, in a zone that
   is not evacuated in CONF.  */
static bool
has_other_target (const struct ownd *o, const struct conf *conf)
{
  const struct cell *cell = agent_cell (o->agent);
  for (uint32_t i = 0; cell != NULL && i < cell->member_count; i++)
    if (cell->members[i].incarnation != agent_self (o->agent)
        && cell->members[i].state == MEMBER_ACTIVE
        && !conf_zone_is_evacuated (conf, cell->members[i].zone))
      return true;
  return false;
}

/* Leave the cell when the zone of this node is evacuated, and join it again
   when the zone is restored.  Without a member to hand over to, this one keeps
   what it owns, which is not served.  */
static void
follow_evacuation (struct ownd *o, struct service *confd, int64_t now_ns)
{
  bool evacuated = confd_is_evacuated (confd);
  if (evacuated && !o->out)
    {
      struct conf *conf = confd_get (confd);
      o->out = agent_self (o->agent) == 0 || has_other_target (o, conf);
      if (o->out)
        agent_set_out (o->agent, true, now_ns);
      conf_unref (conf);
    }
  else if (!evacuated && o->out)
    {
      o->out = false;
      agent_set_out (o->agent, false, now_ns);
    }
  /* A member hears of new documents by leases; this node is none.  */
  if (o->out && now_ns >= o->next_read_ns)
    {
      o->next_read_ns = now_ns + OUT_READ_INTERVAL_NS;
      submit_job (o, agent_job_read (true));
    }
}

static void *
ownd_run (void *arg)
{
  struct ownd *o = arg;
  struct service *confd = kernel_find (o->kernel, CONFD_SERVICE);
  while (!confd_is_loaded (confd) && ck_pr_load_32 (&o->stopping) == 0)
    clock_sleep_ms (CONF_POLL_MS);
  agent_start (o->agent, clock_now_ns ());
  while (ck_pr_load_32 (&o->stopping) == 0)
    {
      receive_datagrams (o);
      process_inbox (o);
      if (ck_pr_load_32 (&o->leave_requested) != 0 && !o->leave_begun)
        {
          o->leave_begun = true;
          agent_leave (o->agent, clock_now_ns ());
        }
      follow_evacuation (o, confd, clock_now_ns ());
      check_handover (o, clock_now_ns ());
      report_load (o, clock_now_ns ());
      int64_t next_ns = agent_tick (o->agent, clock_now_ns ());
      if (next_ns == AGENT_FOREVER_NS && agent_has_left (o->agent))
        ck_pr_store_32 (&o->leave_announced, 1);
      describe (o, clock_now_ns ());
      wait_events (o, next_ns);
    }
  map_set_lease_until (o->map, AGENT_NEVER_NS);
  return NULL;
}

static enum status
bind_udp (struct ownd *o)
{
  struct sockaddr_storage address;
  const struct settings_address *a = &o->settings->peers;
  enum status s = settings_address_to_sockaddr (a, &address);
  if (s != STATUS_OK)
    return s;
  o->udp = socket (address.ss_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (o->udp < 0
      || bind (o->udp, (struct sockaddr *)&address, sizeof address) != 0)
    return status_set (STATUS_SYSTEM, "listen.peers %s:%u over UDP: %s",
                       a->host, a->port, strerror (errno));
  return STATUS_OK;
}

/* Write the boot id and network namespace to IDENTITY: two processes with the
   same ones that bind the same address cannot run at the same time.  The
   address that S binds is included when S announces another one; it is hashed
   so that it is never truncated.  */
static void
read_host_identity (const struct settings *s,
                    char identity[HOST_IDENTITY_BYTES])
{
  char bound[ADDRESS_TEXT_BYTES];
  char boot[BOOT_ID_BYTES] = "";
  char netns[NETNS_BYTES] = "";
  FILE *in = fopen ("/proc/sys/kernel/random/boot_id", "re");
  if (in != NULL)
    {
      if (fgets (boot, sizeof boot, in) != NULL)
        boot[strcspn (boot, "\n")] = '\0';
      fclose (in);
    }
  ssize_t used = readlink ("/proc/self/ns/net", netns, sizeof netns - 1);
  if (used > 0)
    netns[used] = '\0';
  int length = snprintf (identity, HOST_IDENTITY_BYTES, "%s/%s", boot, netns);
  if (s->peers_announced.port == 0 || length >= HOST_IDENTITY_BYTES)
    return;
  settings_address_format (&s->peers, bound);
  snprintf (identity + length, (size_t)(HOST_IDENTITY_BYTES - length),
            "/%016" PRIx64, (uint64_t)XXH3_64bits (bound, strlen (bound)));
}

static enum status
create_agent (struct ownd *o)
{
  char identity[HOST_IDENTITY_BYTES];
  const struct settings *s = o->settings;
  bool announces_other = s->peers_announced.port != 0;
  read_host_identity (s, identity);
  struct agent_config config = {
    .service = s->service,
    .name = s->name,
    .zone = s->zone,
    .rack = s->rack,
    .callers = s->callers,
    .peers = announces_other ? s->peers_announced : s->peers,
    .place = identity,
    .weight = s->target_slots,
    .term_ms = s->lease_term_ms,
    .renew_ms = s->lease_renew_ms,
    .policy = s->policy,
    .seed = (uint64_t)g_random_int () << 32 | g_random_int (),
  };
  o->env.ops = &env_ops;
  o->agent = agent_new (&config, &o->env);
  if (o->agent == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for the agent");
  return STATUS_OK;
}

static enum status
ownd_start (struct service *self)
{
  struct ownd *o = (struct ownd *)self;
  o->storeq = kernel_find (o->kernel, STOREQ_SERVICE);
  o->peers = kernel_find (o->kernel, PEERS_SERVICE);
  o->meter = target_meter (kernel_find (o->kernel, TARGET_SERVICE));
  enum status s = bind_udp (o);
  if (s == STATUS_OK)
    s = create_agent (o);
  if (s != STATUS_OK)
    return s;
  if (pthread_create (&o->thread, NULL, ownd_run, o) != 0)
    return status_set (STATUS_SYSTEM, "cannot create the ownership thread");
  return STATUS_OK;
}

/* Whether draining is complete: the agent has left and the other members were
   notified, or deadline_max_ms has passed.  The store can keep the agent from
   leaving; draining then also ends when drain_ms has passed and no request is
   in flight.  */
static bool
is_drained (struct ownd *o, int64_t began_ns)
{
  int64_t elapsed_ns = clock_now_ns () - began_ns;
  if (ck_pr_load_32 (&o->leave_announced) != 0)
    return true;
  if (elapsed_ns > o->settings->deadline_max_ms * NS_PER_MS)
    return true;
  return elapsed_ns > o->settings->drain_ms * NS_PER_MS
         && map_total_in_flight (o->map) == 0;
}

static void
ownd_drain (struct service *self)
{
  struct ownd *o = (struct ownd *)self;
  int64_t began_ns = clock_now_ns ();
  ck_pr_store_32 (&o->leave_requested, 1);
  inbox_wake (o->inbox);
  while (!is_drained (o, began_ns))
    clock_sleep_ms (1);
}

static void
ownd_stop (struct service *self)
{
  struct ownd *o = (struct ownd *)self;
  ck_pr_store_32 (&o->stopping, 1);
  inbox_wake (o->inbox);
  pthread_join (o->thread, NULL);
}

static void
free_inbox_items (struct ownd *o)
{
  struct inbox_header *message;
  while ((message = inbox_take (o->inbox)) != NULL)
    if (message->kind == INBOX_MESSAGE_STORE_JOB)
      store_job_free ((struct store_job *)message);
    else if (message->kind == INBOX_MESSAGE_FETCH)
      peers_fetch_free ((struct peers_fetch *)message);
}

static void
ownd_free (struct service *self)
{
  struct ownd *o = (struct ownd *)self;
  if (o->inbox != NULL)
    free_inbox_items (o);
  if (o->agent != NULL)
    agent_free (o->agent);
  if (o->udp >= 0)
    close (o->udp);
  inbox_free (o->inbox);
  pthread_mutex_destroy (&o->description_lock);
  free (o->description);
  free (o->view);
  free (o);
}

static const struct service_ops ownd_ops = {
  OWND_SERVICE, ownd_start, ownd_drain, ownd_stop, ownd_free,
};

struct service *
ownd_new (struct kernel *k, const struct settings *s, struct map *m)
{
  struct ownd *o = calloc (1, sizeof *o);
  if (o == NULL)
    return NULL;
  o->service.ops = &ownd_ops;
  o->kernel = k;
  o->settings = s;
  o->map = m;
  o->udp = -1;
  pthread_mutex_init (&o->description_lock, NULL);
  snprintf (o->document_key, sizeof o->document_key, "%s/cell/%s",
            s->store_prefix, s->service);
  o->inbox = inbox_new (INBOX_CAPACITY);
  o->view = calloc (1, sizeof *o->view);
  if (o->inbox != NULL && o->view != NULL)
    return &o->service;
  ownd_free (&o->service);
  return NULL;
}

enum status
ownd_run_command (struct service *ownd, const struct ownd_command *command)
{
  struct ownd *o = (struct ownd *)ownd;
  int64_t until_ns = clock_now_ns () + COMMAND_TIMEOUT_NS;
  struct ownd_command *c = malloc (sizeof *c);
  if (c == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for the command");
  *c = *command;
  c->header.kind = INBOX_MESSAGE_COMMAND;
  c->done = 0;
  if (inbox_put (o->inbox, c) != STATUS_OK)
    {
      free (c);
      return STATUS_FULL;
    }
  while (ck_pr_load_32 (&c->done) == 0)
    {
      /* The ownership thread may access the command until it has set DONE, so
         the command is not freed when the wait times out.  */
      if (clock_now_ns () > until_ns)
        return status_set (STATUS_TIMEOUT,
                           "the ownership thread did not answer within 1 s");
      clock_sleep_ms (1);
    }
  ck_pr_fence_load ();
  enum status s = c->status;
  if (s != STATUS_OK)
    status_set (s, "%s", c->message);
  free (c);
  return s;
}

void
ownd_fetch_document (struct service *ownd, const char *address)
{
  struct ownd *o = (struct ownd *)ownd;
  if (ck_pr_fas_32 (&o->fetching, 1) == 0 && !start_fetch (o, address, true))
    ck_pr_store_32 (&o->fetching, 0);
}

char *
ownd_describe (struct service *ownd)
{
  struct ownd *o = (struct ownd *)ownd;
  pthread_mutex_lock (&o->description_lock);
  char *text = o->description != NULL ? strdup (o->description) : NULL;
  pthread_mutex_unlock (&o->description_lock);
  return text;
}

bool
ownd_is_serving (struct service *ownd)
{
  struct ownd *o = (struct ownd *)ownd;
  return map_self_incarnation (o->map) != 0
         && map_lease_until (o->map) > clock_now_ns ();
}
