#include "mesh/keys.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "mesh/grants.h"
#include "mesh/pack.h"
#include "own/agent_env.h"
#include "settings/address.h"
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Slots of a new cell: one slot is 128 of 65,536 keys, few enough to part
   busy neighbours and to keep the document small.  */
#define CELL_SLOTS 512
/* How long a move may wait for what runs.  */
#define MOVE_LIMIT_NS (2 * NS_PER_S)
/* How long new keys wait for what their last holder hands over: some round
   trips between nodes.  */
#define HANDOVER_WAIT_NS (60 * NS_PER_MS)
/* Longest sleep: lets a lease that was renewed extend grants in time.  */
#define ROUND_MS 200
/* Pause between looks at whether what a move waits for has ended: short
   against the work that it waits for.  */
#define MOVE_LOOK_MS 10
/* Weight of a new look in the load that the agent is told: a mean over some
   three seconds.  The number of requests at a target of ten slots varies by a
   quarter of them from look to look, and a tenth moves keys.  */
#define LOAD_WEIGHT 0.1

struct keys
{
  struct keys_deps parts;
  struct agent_env env;
  struct agent *agent; /* NULL: not a member */
  uint32_t generation; /* of the agent, in store jobs */
  struct grants *grants;
  struct holdings *holdings;          /* of the grants */
  uint32_t in_flight[CELL_SLOTS_MAX]; /* requests at the target, by slot */
  uv_udp_t udp;
  uv_timer_t timer;
  struct target_view target;
  int64_t lease_ns;
  uint32_t move; /* the move under way, 0: none */
  int64_t move_until_ns;
  bool move_reported;
  uint32_t serial;
  int64_t revision;
  char *document;
  size_t document_length;
  GString *packed; /* the document, once a node has asked for it */
  double load;
  bool own_change; /* what is published now was written here */
  bool leaving;
  bool left;
};

static void work (struct keys *k);

static struct keys *
from_env (struct agent_env *env)
{
  return (struct keys *)((char *)env - offsetof (struct keys, env));
}

/* Tell the agent when nothing of the closed keys is held or runs.  */
static void
watch_move (struct keys *k, int64_t now_ns)
{
  if (k->move == 0 || k->move_reported)
    return;
  bool idle = holdings_closed_until (k->holdings) <= now_ns;
  if (!idle && now_ns < k->move_until_ns)
    return;
  k->move_reported = true;
  if (idle)
    agent_on_idle (k->agent, k->move, now_ns);
  else
    agent_on_busy (k->agent, k->move, now_ns);
}

static void
on_timer (uv_timer_t *timer)
{
  work (timer->data);
}

static void
end_agent (struct keys *k)
{
  agent_free (k->agent);
  k->agent = NULL;
  k->generation++;
  k->move = 0;
  k->lease_ns = AGENT_NEVER_NS;
  for (uint32_t i = 0; i < k->parts.settings->key_space; i++)
    holdings_disown (k->holdings, i);
  holdings_open_all (k->holdings);
}

static void
work (struct keys *k)
{
  int64_t now_ns = clock_now_ns ();
  int64_t wait_ms = ROUND_MS;
  if (k->agent == NULL)
    return;
  if (k->move != 0)
    grants_release_closed (k->grants, now_ns);
  watch_move (k, now_ns);
  int64_t next_ns = agent_tick (k->agent, now_ns);
  if (k->left && next_ns == AGENT_FOREVER_NS)
    {
      end_agent (k);
      return;
    }
  if (agent_self (k->agent) != 0)
    grants_renew (k->grants, k->lease_ns, now_ns);
  if (next_ns != AGENT_FOREVER_NS && (next_ns - now_ns) / NS_PER_MS < wait_ms)
    wait_ms = (next_ns - now_ns) / NS_PER_MS + 1;
  if (k->move != 0 && !k->move_reported && wait_ms > MOVE_LOOK_MS)
    wait_ms = MOVE_LOOK_MS;
  uv_timer_start (&k->timer, on_timer, wait_ms > 0 ? (uint64_t)wait_ms : 0, 0);
}

/* What the agent asks for.  */

static void
env_send (struct agent_env *env, const struct settings_address *to,
          const void *data, size_t length)
{
  struct keys *k = from_env (env);
  struct sockaddr_storage at;
  uv_buf_t buffer = uv_buf_init ((char *)data, (unsigned)length);
  if (settings_sockaddr (to, &at) != STATUS_OK)
    return;
  counter_add (COUNTER_lease_bytes_out_total, length);
  /* A datagram that is not sent counts as lost.  */
  uv_udp_try_send (&k->udp, &buffer, 1, (struct sockaddr *)&at);
}

static void
submit (struct keys *k, struct agent_job *job)
{
  const struct settings *s = k->parts.settings;
  job->generation = k->generation;
  job->job.reply_to = k->parts.inbox;
  snprintf (job->job.key, sizeof job->job.key, "%s/cell/%s", s->store_prefix,
            s->service);
  store_worker_submit (k->parts.worker, &job->job);
}

static void
env_read (struct agent_env *env)
{
  submit (from_env (env), agent_job_read (false));
}

static void
env_swap (struct agent_env *env, int64_t expected, char *json, size_t length)
{
  submit (from_env (env), agent_job_swap (expected, json, length));
}

static void
env_fetch (struct agent_env *env, const struct settings_address *from,
           uint64_t serial)
{
  struct keys *k = from_env (env);
  if (!k->parts.request_document (k->parts.arg, from, (uint32_t)serial))
    submit (k, agent_job_read (true));
}

/* Pass a handover to the keys' new owner.  */
static bool
pass_handover (void *arg, const struct frame_handover *h)
{
  struct keys *k = arg;
  const struct cell_member *owner
      = owners_find (k->parts.owners, k->parts.settings->service, h->from);
  if (owner == NULL || owner->incarnation == agent_self (k->agent))
    return false;
  nodes_send_handover (k->parts.nodes, owner->name, h);
  return true;
}

static void
take_key (struct keys *k, uint32_t key, bool mine, uint32_t epoch)
{
  if (mine)
    holdings_own (k->holdings, key, epoch);
  else
    holdings_disown (k->holdings, key);
}

/* Take from CELL which keys are SELF's.  */
static void
take_holdings (struct keys *k, const struct cell *cell, uint32_t self,
               int64_t now_ns)
{
  for (uint32_t i = 0; i < cell->key_space; i++)
    {
      const struct cell_slot *slot
          = &cell->slots[cell_slot_of_number (cell, i)];
      bool mine = self != 0 && slot->owner == self;
      if (mine && !holdings_is_owned (k->holdings, i) && cell->member_count > 1
          && !grants_has_handover (k->grants, i))
        holdings_delay_grant (k->holdings, i, now_ns + HANDOVER_WAIT_NS);
      take_key (k, i, mine, slot->epoch);
    }
  for (uint32_t i = 0; i < cell->pin_count; i++)
    {
      const struct cell_pin *pin = &cell->pins[i];
      uint32_t number = (uint32_t)strtoul (pin->key, NULL, 10);
      if (number < cell->key_space)
        take_key (k, number, self != 0 && pin->owner == self, pin->epoch);
    }
  grants_rescan (k->grants);
}

static void
env_publish (struct agent_env *env, const struct agent_view *view,
             const char *json, size_t length)
{
  struct keys *k = from_env (env);
  const struct settings *s = k->parts.settings;
  g_free (k->document);
  if (k->packed != NULL)
    g_string_free (k->packed, TRUE);
  k->packed = NULL;
  k->document = g_strndup (json, length);
  k->document_length = length;
  k->revision = view->revision;
  k->serial = view->cell->serial;
  owners_update_cell (k->parts.owners, s->service, view->cell);
  if (view->cell->key_space == s->key_space)
    take_holdings (k, view->cell, view->self, clock_now_ns ());
  grants_forward_handovers (k->grants, pass_handover, k);
  k->parts.on_published (k->parts.arg, k->own_change);
}

static void
env_lease (struct agent_env *env, int64_t until_ns)
{
  from_env (env)->lease_ns = until_ns;
}

static void
close_keys (struct keys *k, const struct agent_move *move)
{
  const struct cell *cell = agent_cell (k->agent);
  if (move->key != NULL)
    {
      uint32_t number = (uint32_t)strtoul (move->key, NULL, 10);
      if (number < k->parts.settings->key_space)
        holdings_set_closed (k->holdings, number, true);
      return;
    }
  /* Also keys of the slots that are pinned elsewhere: one that comes back
     while its slot moves must not be granted here.  */
  for (uint32_t i = 0; i < move->slot_count; i++)
    {
      uint32_t end = cell_first_number (cell, move->slots[i] + 1U);
      for (uint32_t key = cell_first_number (cell, move->slots[i]); key < end;
           key++)
        holdings_set_closed (k->holdings, key, true);
    }
}

static void
env_close (struct agent_env *env, const struct agent_move *move)
{
  struct keys *k = from_env (env);
  holdings_open_all (k->holdings);
  k->move = move->id;
  k->move_reported = false;
  k->move_until_ns = clock_now_ns () + MOVE_LIMIT_NS;
  close_keys (k, move);
}

static void
env_open (struct agent_env *env, uint32_t id)
{
  struct keys *k = from_env (env);
  if (k->move != id)
    return;
  k->move = 0;
  holdings_open_all (k->holdings);
  grants_rescan (k->grants);
}

static void
env_notify (struct agent_env *env, enum event ev, const char *detail)
{
  struct keys *k = from_env (env);
  agent_env_note (k->parts.settings->name, ev, detail);
  if (ev == EV_LEFT)
    k->left = true;
}

static bool
env_is_idle (struct agent_env *env, uint32_t slot)
{
  return from_env (env)->in_flight[slot] == 0;
}

static const struct agent_env_ops env_ops = {
  .is_idle = env_is_idle,
  .send = env_send,
  .read = env_read,
  .swap = env_swap,
  .fetch = env_fetch,
  .publish = env_publish,
  .lease = env_lease,
  .close = env_close,
  .open = env_open,
  .notify = env_notify,
};

/* Datagrams.  */

static void
on_datagram (uv_udp_t *udp, ssize_t length, const uv_buf_t *buffer,
             const struct sockaddr *from, unsigned flags)
{
  struct keys *k = udp->data;
  struct settings_address sender;
  (void)flags;
  if (length <= 0 || from == NULL || k->agent == NULL)
    return;
  struct sockaddr_storage at = { 0 };
  memcpy (&at, from,
          from->sa_family == AF_INET6 ? sizeof (struct sockaddr_in6)
                                      : sizeof (struct sockaddr_in));
  settings_from_sockaddr (&sender, &at);
  counter_add (COUNTER_lease_bytes_in_total, (uint64_t)length);
  agent_on_datagram (k->agent, &sender, buffer->base, (size_t)length,
                     clock_now_ns ());
  work (k);
}

static void
datagram_buffer (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  static char bytes[2048];
  (void)handle;
  (void)suggested;
  *buffer = uv_buf_init (bytes, sizeof bytes);
}

static void
on_grants_changed (void *arg)
{
  work (arg);
}

struct keys *
keys_open (const struct keys_deps *parts)
{
  struct keys *k = g_new0 (struct keys, 1);
  struct sockaddr_storage at;
  k->parts = *parts;
  k->env.ops = &env_ops;
  k->lease_ns = AGENT_NEVER_NS;
  struct grants_deps grants_deps = {
    .dialect = parts->dialect,
    .settings = parts->settings,
    .target_client = parts->target_client,
    .on_change = on_grants_changed,
    .arg = k,
  };
  k->grants = grants_new (&grants_deps);
  k->holdings = grants_holdings (k->grants);
  /* No grant of an earlier run was longer than the lease.  */
  holdings_assume_held (k->holdings,
                        clock_now_ns ()
                            + parts->settings->lease_term_ms * NS_PER_MS);
  uv_udp_init (parts->loop, &k->udp);
  uv_timer_init (parts->loop, &k->timer);
  k->udp.data = k;
  k->timer.data = k;
  settings_sockaddr (&parts->settings->peers, &at);
  if (uv_udp_bind (&k->udp, (struct sockaddr *)&at, 0) != 0
      || uv_udp_recv_start (&k->udp, datagram_buffer, on_datagram) != 0)
    {
      status_set (STATUS_SYSTEM, "listen.peers over UDP: cannot bind");
      return NULL;
    }
  return k;
}

static void
start_agent (struct keys *k, int64_t now_ns)
{
  const struct settings *s = k->parts.settings;
  /* This process alone has bound the peers' address of the instance: an
     earlier run there has ended.  */
  struct agent_config config = {
    .service = s->service,
    .name = s->name,
    .zone = s->zone,
    .rack = s->rack,
    .callers = s->callers,
    .peers = s->peers,
    .place = "bound-address",
    .weight = k->target.slots,
    .slots = CELL_SLOTS,
    .key_space = s->key_space,
    .term_ms = s->lease_term_ms,
    .renew_ms = s->lease_renew_ms,
    .policy = s->policy,
    .seed = (uint64_t)g_random_int () << 32 | g_random_int (),
  };
  k->agent = agent_new (&config, &k->env);
  if (k->agent == NULL)
    abort ();
  k->left = false;
  k->leaving = false;
  agent_start (k->agent, now_ns);
  work (k);
}

void
keys_join (struct keys *k, const struct target_view *target, bool new_run,
           int64_t now_ns)
{
  k->target = *target;
  grants_set_target (k->grants, target->id);
  grants_rescan (k->grants);
  if (new_run && k->agent != NULL)
    end_agent (k);
  if (new_run)
    holdings_reset (k->holdings);
  if (k->agent != NULL && k->leaving)
    end_agent (k);
  if (k->agent == NULL)
    start_agent (k, now_ns);
}

void
keys_suspend_grants (struct keys *k)
{
  grants_suspend (k->grants);
}

void
keys_leave (struct keys *k, int64_t now_ns)
{
  if (k->agent == NULL || k->leaving)
    return;
  k->leaving = true;
  agent_leave (k->agent, now_ns);
  work (k);
}

bool
keys_has_left (const struct keys *k)
{
  return k->agent == NULL || k->left;
}

enum reason
keys_check_serve (const struct keys *k, uint32_t key, int64_t now_ns)
{
  if (key >= k->parts.settings->key_space || k->agent == NULL
      || !holdings_is_owned (k->holdings, key))
    return REASON_NOT_OWNER;
  if (holdings_is_closed (k->holdings, key))
    return REASON_MOVING;
  return holdings_can_serve (k->holdings, key, now_ns) ? REASON_NONE
                                                       : REASON_LEASE_LAPSED;
}

void
keys_on_target_denied (struct keys *k, uint32_t key)
{
  holdings_key_denied (k->holdings, key);
  grants_rescan (k->grants);
  work (k);
}

/* The slot of KEY; keys without a document count as slot 0.  */
static uint32_t
slot_of (const struct keys *k, uint32_t key)
{
  const struct cell *cell = k->agent == NULL ? NULL : agent_cell (k->agent);
  return cell == NULL || cell->key_space <= key
             ? 0
             : cell_slot_of_number (cell, key);
}

void
keys_request_started (struct keys *k, uint32_t key)
{
  k->in_flight[slot_of (k, key)]++;
}

void
keys_request_ended (struct keys *k, uint32_t key)
{
  uint32_t *count = &k->in_flight[slot_of (k, key)];
  if (*count > 0)
    --*count;
}

void
keys_count_request (struct keys *k, uint32_t key)
{
  char text[16];
  if (k->agent == NULL)
    return;
  int length = snprintf (text, sizeof text, "%u", key);
  agent_count_key (k->agent, text, (size_t)length, 1);
}

void
keys_record_load (struct keys *k, uint32_t load_pct)
{
  k->load += ((double)load_pct - k->load) * LOAD_WEIGHT;
  if (k->agent != NULL)
    agent_set_load (k->agent, (uint16_t)(k->load < 1 ? 1 : k->load));
}

bool
keys_on_store_reply (struct keys *k, struct store_job *job, int64_t now_ns)
{
  struct agent_job *own = (struct agent_job *)job;
  if (job->call != STORE_READ && job->call != STORE_SWAP)
    return false;
  if (k->agent == NULL || own->generation != k->generation)
    {
      store_job_free (job);
      return true;
    }
  k->own_change = job->call == STORE_SWAP;
  agent_job_done (k->agent, own, now_ns);
  k->own_change = false;
  work (k);
  return true;
}

void
keys_on_document (struct keys *k, int64_t revision, const char *text,
                  size_t length, int64_t now_ns)
{
  if (k->agent == NULL)
    return;
  agent_on_document (k->agent, revision, text, length, now_ns);
  work (k);
}

void
keys_on_announcement (struct keys *k, uint32_t serial)
{
  if (k->agent != NULL)
    agent_heard (k->agent, serial);
}

void
keys_on_handover (struct keys *k, const struct frame_handover *h)
{
  if (h->to >= k->parts.settings->key_space || h->from > h->to)
    return;
  grants_add_handover (k->grants, h);
  for (uint32_t i = h->from; i <= h->to; i++)
    holdings_delay_grant (k->holdings, i, 0);
  grants_rescan (k->grants);
  work (k);
}

const char *
keys_document (struct keys *k, size_t *length, int64_t *revision)
{
  if (k->packed == NULL && k->document != NULL)
    k->packed = pack (k->document, k->document_length);
  *length = k->packed == NULL ? 0 : k->packed->len;
  *revision = k->revision;
  return k->packed == NULL ? NULL : k->packed->str;
}

uint32_t
keys_serial (const struct keys *k)
{
  return k->serial;
}
