#include "mesh/keys.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "mesh/grants.h"
#include "mesh/pack.h"
#include "own/agent_env.h"
#include "own/place.h"
#include "settings/address.h"
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Slots of a new cell, or more if it is large: one slot is 128 of 65,536 keys,
   few enough to separate busy neighbouring keys and to keep the document
   small.  */
#define CELL_SLOTS 512
/* Limit on the time that a move waits for running requests.  */
#define MOVE_TIMEOUT_NS (2 * NS_PER_S)
/* How long newly owned keys wait for the handover of their last holder: some
   round trips between nodes.  */
#define HANDOVER_WAIT_NS (60 * NS_PER_MS)
/* Longest time between updates, so that grants are extended in time after a
   lease renewal.  */
#define UPDATE_INTERVAL_MS 200
/* Interval of checks whether the requests that a move waits for have ended:
   short compared with their duration.  */
#define MOVE_POLL_MS 10
/* Weight of a new sample in the load reported to the agent, a mean over about
   three seconds.  The number of requests at a target of ten slots varies by a
   quarter of the slots between samples, and a difference of a tenth moves
   keys.  */
#define LOAD_EWMA_WEIGHT 0.1

struct keys
{
  struct keys_deps deps;
  struct agent_env env;
  struct agent *agent; /* NULL: this node is not a member of the cell */
  uint32_t generation; /* incremented when an agent ends; the results of older
                          store jobs are discarded */
  struct grants *grants;
  struct holdings *holdings;          /* owned by GRANTS */
  uint32_t in_flight[CELL_SLOTS_MAX]; /* requests at the target, by slot */
  uv_udp_t udp;
  uv_timer_t timer;
  struct target_view target; /* as last reported */
  int64_t lease_ns;          /* end of this node's lease */
  uint32_t move_id;          /* id of the move in progress, 0: none */
  int64_t move_deadline_ns;
  bool move_reported;
  uint32_t serial; /* of the document in force */
  int64_t revision;
  uint32_t lost_races;   /* swaps in a row that conflicted */
  int64_t lost_revision; /* a swap lost a race there, and the document was not
                            read since; 0: none */
  char *document;
  size_t document_length;
  GString *packed_document; /* compressed; NULL until requested */
  double load;              /* moving average, percent of the slots */
  bool spare_cold;          /* cold targets get no new keys */
  bool cold;                /* the own target is cold */
  bool own_change; /* the document being published was written by this node */
  bool leaving;    /* the agent hands its keys over */
  bool left;       /* the agent has left the cell */
};

static void update (struct keys *k);

static struct keys *
from_env (struct agent_env *env)
{
  return (struct keys *)((char *)env - offsetof (struct keys, env));
}

/* Report to the agent when the target holds none of the closed keys any more,
   or when the move has timed out.  */
static void
check_move (struct keys *k, int64_t now_ns)
{
  if (k->move_id == 0 || k->move_reported)
    return;
  bool idle = holdings_closed_until (k->holdings) <= now_ns;
  if (!idle && now_ns < k->move_deadline_ns)
    return;
  k->move_reported = true;
  if (idle)
    agent_on_idle (k->agent, k->move_id, now_ns);
  else
    agent_on_busy (k->agent, k->move_id, now_ns);
}

static void
on_timer (uv_timer_t *timer)
{
  update (timer->data);
}

static void
end_agent (struct keys *k)
{
  agent_free (k->agent);
  k->agent = NULL;
  k->generation++;
  k->move_id = 0;
  k->lease_ns = AGENT_NEVER_NS;
  for (uint32_t i = 0; i < k->deps.settings->key_space; i++)
    holdings_disown (k->holdings, i);
  holdings_open_all (k->holdings);
}

/* Check the move, run the agent's timers, renew grants, and schedule the next
   update.  */
static void
update (struct keys *k)
{
  int64_t now_ns = clock_now_ns ();
  int64_t wait_ms = UPDATE_INTERVAL_MS;
  if (k->agent == NULL)
    return;
  if (k->move_id != 0)
    grants_release_closed (k->grants, now_ns);
  check_move (k, now_ns);
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
  if (k->move_id != 0 && !k->move_reported && wait_ms > MOVE_POLL_MS)
    wait_ms = MOVE_POLL_MS;
  uv_timer_start (&k->timer, on_timer, wait_ms > 0 ? (uint64_t)wait_ms : 0, 0);
}

/* Callbacks of the agent.  */

static void
env_send (struct agent_env *env, const struct settings_address *to,
          const void *data, size_t length)
{
  struct keys *k = from_env (env);
  struct sockaddr_storage address;
  uv_buf_t buffer = uv_buf_init ((char *)data, (unsigned)length);
  if (settings_address_to_sockaddr (to, &address) != STATUS_OK)
    return;
  counter_add (COUNTER_lease_bytes_out_total, length);
  /* A datagram that cannot be sent counts as lost.  */
  uv_udp_try_send (&k->udp, &buffer, 1, (struct sockaddr *)&address);
}

static void
submit (struct keys *k, struct agent_job *job)
{
  const struct settings *s = k->deps.settings;
  job->generation = k->generation;
  job->job.reply_to = k->deps.inbox;
  snprintf (job->job.key, sizeof job->job.key, "%s/cell/%s", s->store_prefix,
            s->service);
  store_worker_submit (k->deps.worker, &job->job);
}

/* After a lost race a read that may be stale is enough, if it finds a newer
   document than the one that the swap was to replace.  After two in a row
   many members write, and a stale document would lose the next race too.  */
static void
env_read (struct agent_env *env)
{
  struct keys *k = from_env (env);
  struct agent_job *job = agent_job_read (false);
  job->job.stale_ok = k->lost_races == 1 && k->lost_revision != 0
                      && k->deps.settings->reduce_store_calls;
  submit (k, job);
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
  if (!k->deps.request_document (k->deps.arg, from, (uint32_t)serial))
    submit (k, agent_job_read (true));
}

/* Send a handover to the new owner of its keys.  */
static bool
forward_handover (void *arg, const struct frame_handover *h)
{
  struct keys *k = arg;
  const struct cell_member *owner
      = owners_find (k->deps.owners, k->deps.settings->service, h->from);
  if (owner == NULL || owner->incarnation == agent_self (k->agent))
    return false;
  nodes_send_handover (k->deps.nodes, owner->name, h);
  return true;
}

static void
set_owned (struct keys *k, uint32_t key, bool owned, uint32_t epoch)
{
  if (owned)
    holdings_own (k->holdings, key, epoch);
  else
    holdings_disown (k->holdings, key);
}

/* Record which keys SELF owns by CELL.  */
static void
apply_cell (struct keys *k, const struct cell *cell, uint32_t self,
            int64_t now_ns)
{
  for (uint32_t i = 0; i < cell->key_space; i++)
    {
      const struct cell_slot *slot
          = &cell->slots[cell_slot_of_number (cell, i)];
      bool owned = self != 0 && slot->owner == self;
      if (owned && !holdings_is_owned (k->holdings, i)
          && cell->member_count > 1 && !grants_has_handover (k->grants, i))
        holdings_delay_grant (k->holdings, i, now_ns + HANDOVER_WAIT_NS);
      set_owned (k, i, owned, slot->epoch);
    }
  for (uint32_t i = 0; i < cell->pin_count; i++)
    {
      const struct cell_pin *pin = &cell->pins[i];
      uint32_t number = (uint32_t)strtoul (pin->key, NULL, 10);
      if (number < cell->key_space)
        set_owned (k, number, self != 0 && pin->owner == self, pin->epoch);
    }
  grants_rescan (k->grants);
}

static void
env_publish (struct agent_env *env, const struct agent_view *view,
             const char *json, size_t length)
{
  struct keys *k = from_env (env);
  const struct settings *s = k->deps.settings;
  g_free (k->document);
  if (k->packed_document != NULL)
    g_string_free (k->packed_document, TRUE);
  k->packed_document = NULL;
  k->document = g_strndup (json, length);
  k->document_length = length;
  k->revision = view->revision;
  k->serial = view->cell->serial;
  owners_update_cell (k->deps.owners, s->service, view->cell);
  if (view->cell->key_space == s->key_space)
    apply_cell (k, view->cell, view->self, clock_now_ns ());
  grants_forward_handovers (k->grants, forward_handover, k);
  k->deps.on_published (k->deps.arg, k->own_change);
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
      if (number < k->deps.settings->key_space)
        holdings_set_closed (k->holdings, number, true);
      return;
    }
  /* This includes keys of the slots that are pinned elsewhere: one that is
     unpinned while its slot moves must not be granted here.  */
  for (uint32_t i = 0; i < move->slot_count; i++)
    {
      uint32_t end = cell_first_key_number (cell, move->slots[i] + 1U);
      for (uint32_t key = cell_first_key_number (cell, move->slots[i]);
           key < end; key++)
        holdings_set_closed (k->holdings, key, true);
    }
}

static void
env_close (struct agent_env *env, const struct agent_move *move)
{
  struct keys *k = from_env (env);
  holdings_open_all (k->holdings);
  k->move_id = move->id;
  k->move_reported = false;
  k->move_deadline_ns = clock_now_ns () + MOVE_TIMEOUT_NS;
  close_keys (k, move);
}

static void
env_open (struct agent_env *env, uint32_t id)
{
  struct keys *k = from_env (env);
  if (k->move_id != id)
    return;
  k->move_id = 0;
  holdings_open_all (k->holdings);
  grants_rescan (k->grants);
}

static void
env_notify (struct agent_env *env, enum event ev, const char *detail)
{
  struct keys *k = from_env (env);
  agent_env_log (k->deps.settings->name, ev, detail);
  if (ev == EV_LEFT)
    k->left = true;
}

static bool
env_is_idle (struct agent_env *env, uint32_t slot)
{
  return from_env (env)->in_flight[slot] == 0;
}

static bool
env_is_zone_excluded (struct agent_env *env, const char *zone)
{
  const struct keys *k = from_env (env);
  return k->deps.is_evacuated (k->deps.zones_arg, zone);
}

static const struct agent_env_ops env_ops = {
  .is_idle = env_is_idle,
  .is_zone_excluded = env_is_zone_excluded,
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

/* Lease messages.  */

static void
on_datagram (uv_udp_t *udp, ssize_t length, const uv_buf_t *buffer,
             const struct sockaddr *from, unsigned flags)
{
  struct keys *k = udp->data;
  struct settings_address sender;
  (void)flags;
  if (length <= 0 || from == NULL || k->agent == NULL)
    return;
  struct sockaddr_storage address = { 0 };
  memcpy (&address, from,
          from->sa_family == AF_INET6 ? sizeof (struct sockaddr_in6)
                                      : sizeof (struct sockaddr_in));
  settings_address_from_sockaddr (&sender, &address);
  counter_add (COUNTER_lease_bytes_in_total, (uint64_t)length);
  agent_on_datagram (k->agent, &sender, buffer->base, (size_t)length,
                     clock_now_ns ());
  update (k);
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
  update (arg);
}

struct keys *
keys_open (const struct keys_deps *deps)
{
  struct keys *k = g_new0 (struct keys, 1);
  struct sockaddr_storage address;
  k->deps = *deps;
  k->env.ops = &env_ops;
  k->lease_ns = AGENT_NEVER_NS;
  struct grants_deps grants_deps = {
    .dialect = deps->dialect,
    .settings = deps->settings,
    .target_client = deps->target_client,
    .on_change = on_grants_changed,
    .arg = k,
  };
  k->grants = grants_new (&grants_deps);
  k->holdings = grants_holdings (k->grants);
  /* No grant of an earlier process was longer than the lease.  */
  holdings_assume_held (k->holdings,
                        clock_now_ns ()
                            + deps->settings->lease_term_ms * NS_PER_MS);
  uv_udp_init (deps->loop, &k->udp);
  uv_timer_init (deps->loop, &k->timer);
  k->udp.data = k;
  k->timer.data = k;
  settings_address_to_sockaddr (&deps->settings->peers, &address);
  if (uv_udp_bind (&k->udp, (struct sockaddr *)&address, 0) != 0
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
  const struct settings *s = k->deps.settings;
  /* Only this process has bound the instance's address for peers, so an
     earlier process there has ended.  */
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
    .forms = true,
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
  agent_spare_full (k->agent, k->spare_cold);
  if (k->cold)
    agent_set_load (k->agent, PLACE_LOAD_FULL);
  agent_start (k->agent, now_ns);
  update (k);
}

void
keys_join (struct keys *k, const struct target_view *target, bool restarted,
           int64_t now_ns)
{
  k->target = *target;
  grants_set_target (k->grants, target->id);
  grants_rescan (k->grants);
  if (restarted && k->agent != NULL)
    end_agent (k);
  if (restarted)
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
  update (k);
}

void
keys_zones_changed (struct keys *k)
{
  if (k->agent == NULL)
    return;
  agent_on_zones_changed (k->agent);
  update (k);
}

const struct cell *
keys_cell (const struct keys *k)
{
  return k->agent == NULL ? NULL : agent_cell (k->agent);
}

uint32_t
keys_incarnation (const struct keys *k)
{
  return k->agent == NULL ? 0 : agent_self (k->agent);
}

enum status
keys_evict (struct keys *k, const char *name)
{
  const struct cell *cell = keys_cell (k);
  uint32_t incarnation = 0;
  for (uint32_t i = 0; cell != NULL && i < cell->member_count; i++)
    if (strcmp (cell->members[i].name, name) == 0)
      incarnation = cell->members[i].incarnation;
  if (incarnation == 0)
    return STATUS_NOT_FOUND;
  enum status s = agent_evict (k->agent, incarnation, clock_now_ns ());
  if (s != STATUS_OK)
    return s;
  log_event (EV_EVICTION_REQUESTED, "member=%s incarnation=%u", name,
             incarnation);
  update (k);
  return STATUS_OK;
}

bool
keys_can_hand_over (const struct keys *k)
{
  const struct cell *cell = keys_cell (k);
  for (uint32_t i = 0; cell != NULL && i < cell->member_count; i++)
    {
      const struct cell_member *m = &cell->members[i];
      if (m->state == MEMBER_ACTIVE && !m->excluded)
        return true;
    }
  /* A member that is not in the document yet, or not any more, has no keys. */
  return cell == NULL || agent_self (k->agent) == 0;
}

uint32_t
keys_count_owned (const struct keys *k)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < k->deps.settings->key_space; i++)
    count += holdings_is_owned (k->holdings, i);
  return count;
}

bool
keys_has_left (const struct keys *k)
{
  return k->agent == NULL || k->left;
}

enum reason
keys_check_serve (const struct keys *k, uint32_t key, int64_t now_ns)
{
  if (key >= k->deps.settings->key_space || k->agent == NULL
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
  update (k);
}

/* The slot of KEY; 0 while there is no document.  */
static uint32_t
slot_of (const struct keys *k, uint32_t key)
{
  const struct cell *cell = keys_cell (k);
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

/* The load for the placement of keys.  */
static uint16_t
reported_load (const struct keys *k)
{
  if (k->cold)
    return PLACE_LOAD_FULL;
  double max = k->spare_cold ? PLACE_LOAD_FULL - 1 : UINT16_MAX;
  return (uint16_t)(k->load < 1 ? 1 : k->load < max ? k->load : max);
}

void
keys_record_load (struct keys *k, uint32_t load_pct)
{
  k->load += ((double)load_pct - k->load) * LOAD_EWMA_WEIGHT;
  if (k->agent != NULL)
    agent_set_load (k->agent, reported_load (k));
}

void
keys_spare_cold (struct keys *k, bool spare)
{
  k->spare_cold = spare;
  if (k->agent != NULL)
    agent_spare_full (k->agent, spare);
}

void
keys_set_cold (struct keys *k, bool cold)
{
  k->cold = cold && k->spare_cold;
  if (k->agent != NULL)
    agent_set_load (k->agent, reported_load (k));
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
  if (job->call == STORE_SWAP)
    k->lost_races = job->status == STATUS_CONFLICT ? k->lost_races + 1 : 0;
  if (job->call == STORE_SWAP && job->status == STATUS_CONFLICT)
    k->lost_revision = job->expected_revision;
  if (job->call == STORE_READ && job->stale_ok
      && (job->status != STATUS_OK || job->value.revision <= k->lost_revision))
    {
      store_job_free (job);
      submit (k, agent_job_read (false));
      return true;
    }
  if (job->call == STORE_READ)
    k->lost_revision = 0;
  k->own_change = job->call == STORE_SWAP;
  agent_job_done (k->agent, own, now_ns);
  k->own_change = false;
  update (k);
  return true;
}

void
keys_on_document (struct keys *k, int64_t revision, const char *text,
                  size_t length, int64_t now_ns)
{
  if (k->agent == NULL)
    return;
  agent_on_document (k->agent, revision, text, length, now_ns);
  update (k);
}

void
keys_on_notice (struct keys *k, uint32_t serial)
{
  if (k->agent != NULL)
    agent_on_serial (k->agent, serial);
}

void
keys_on_handover (struct keys *k, const struct frame_handover *h)
{
  if (h->to >= k->deps.settings->key_space || h->from > h->to)
    return;
  grants_add_handover (k->grants, h);
  for (uint32_t i = h->from; i <= h->to; i++)
    holdings_delay_grant (k->holdings, i, 0);
  grants_rescan (k->grants);
  update (k);
}

const char *
keys_document (struct keys *k, size_t *length, int64_t *revision)
{
  if (k->packed_document == NULL && k->document != NULL)
    k->packed_document = pack (k->document, k->document_length);
  *length = k->packed_document == NULL ? 0 : k->packed_document->len;
  *revision = k->revision;
  return k->packed_document == NULL ? NULL : k->packed_document->str;
}

uint32_t
keys_serial (const struct keys *k)
{
  return k->serial;
}
