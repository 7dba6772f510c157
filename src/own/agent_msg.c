/* Messages of an agent: lease renewals and their answers, probes between
   guardians, and notices of documents.  */

#include "own/agent_state.h"

#include <string.h>

/* A load that is older counts as not known.  */
#define LOAD_AGE_MAX_NS (20 * NS_PER_S)
#define LOAD_AGE_UNIT_NS (NS_PER_S / 10)
#define NOTICE_RETRY_FIRST_NS (20 * NS_PER_MS)
/* Probes are repeated this often within a promise period: every 20 ms with a
   term of 400 ms.  */
#define PROBES_PER_PROMISE 20
/* A renewal that is unanswered for this time is also sent to the second
   guardian.  */
#define FALLBACK_DELAY_NS (40 * NS_PER_MS)
#define FETCH_RETRY_NS (100 * NS_PER_MS)
#define FETCH_INTERVAL_NS (500 * NS_PER_MS)

enum
{
  NOTICES_MAX = 6,
  STUCK_RENEWALS_MIN = 20
};

/* Gossip of loads: each renewal and grant carries the load of one other
   member, in turn, with its age.  */
static void
add_gossip_load (struct agent *a, struct lease_msg *msg)
{
  for (uint32_t i = 0; i < a->cell->member_count; i++)
    {
      a->gossip_index = (a->gossip_index + 1) % a->cell->member_count;
      const struct agent_peer *p = &a->peers[a->gossip_index];
      int64_t age_ns = a->now_ns - p->load_measured_ns;
      if (p->load == 0 || age_ns >= LOAD_AGE_MAX_NS || age_ns < 0
          || p->incarnation == msg->receiver || p->incarnation == a->self)
        continue;
      msg->subject = p->incarnation;
      msg->subject_load = p->load;
      msg->subject_load_age = (uint8_t)(age_ns / LOAD_AGE_UNIT_NS + 1);
      return;
    }
}

void
agent_send_msg (struct agent *a, const struct settings_address *to,
                struct lease_msg *msg)
{
  char buffer[LEASE_MSG_BYTES];
  msg->cell_hash = a->service_hash;
  msg->sender = a->self;
  msg->serial = a->cell == NULL ? 0 : a->cell->serial;
  msg->load = a->load;
  if (a->cell != NULL
      && (msg->kind == LEASE_RENEW || msg->kind == LEASE_GRANT))
    add_gossip_load (a, msg);
  size_t length = lease_msg_encode (msg, buffer);
  a->stats.datagrams_out++;
  a->stats.bytes_out += length;
  a->env->ops->send (a->env, to, buffer, length);
}

static void
send_answer (struct agent *a, const struct settings_address *to,
             const struct lease_msg *renewal, enum lease_msg_kind kind)
{
  struct lease_msg msg = { .kind = kind,
                           .receiver = renewal->sender,
                           .epoch = renewal->epoch,
                           .sequence = renewal->sequence };
  agent_send_msg (a, to, &msg);
}

/* Guardian.  */

static bool
is_ward (struct agent *a, const struct lease_msg *msg)
{
  const struct lease_promise *p
      = lease_guardian_find (&a->guardian_state, msg->sender);
  return p != NULL && p->epoch == msg->epoch && msg->receiver == a->self
         && a->self != 0;
}

/* Probes between the two guardians of a ward.  */

static void on_proxy_probe (struct agent *a, const struct lease_msg *msg,
                            int64_t now_ns);
static void on_proxy_consent (struct agent *a, const struct lease_msg *msg);

static void
send_probe (struct agent *a, const struct lease_promise *p,
            enum lease_msg_kind kind, uint32_t round)
{
  const struct cell_member *other = cell_member (a->cell, p->other_guardian);
  struct lease_msg msg = { .kind = kind,
                           .receiver = p->other_guardian,
                           .epoch = p->epoch,
                           .sequence = round,
                           .subject = p->ward };
  if (other != NULL)
    agent_send_msg (a, &other->peers, &msg);
}

/* Send KIND to the first guardian of the second guardian of P's ward.  */
static void
send_proxy_probe (struct agent *a, struct lease_promise *p,
                  enum lease_msg_kind kind, uint32_t round, int64_t now_ns)
{
  const struct cell_member *other = cell_member (a->cell, p->other_guardian);
  const struct cell_member *first
      = other == NULL ? NULL : cell_member (a->cell, other->guardian);
  if (first == NULL)
    return;
  struct lease_msg msg = { .kind = kind,
                           .sender = a->self,
                           .receiver = first->incarnation,
                           .epoch = p->epoch,
                           .sequence = round,
                           .subject = p->ward };
  if (first->incarnation == a->self && kind == LEASE_RELEASE)
    lease_guardian_release_proxy (&a->guardian_state, p->ward, p->epoch,
                                  round);
  else if (first->incarnation == a->self)
    on_proxy_probe (a, &msg, now_ns);
  else
    agent_send_msg (a, &first->peers, &msg);
}

/* The ward answers again: allow the second guardian to grant.  */
static void
release_consent (struct agent *a, struct lease_promise *p, int64_t now_ns)
{
  uint32_t round = lease_promise_end_probing (p);
  if (round == 0)
    return;
  send_probe (a, p, LEASE_RELEASE, round);
  send_proxy_probe (a, p, LEASE_RELEASE, round, now_ns);
}

static bool
probe_needed (const struct lease_promise *p, int64_t now_ns)
{
  return !p->is_second && p->other_guardian != 0 && !p->consented
         && lease_promise_lapsed (p, now_ns);
}

static void
send_probes (struct agent *a, int64_t now_ns)
{
  for (uint32_t i = 0; i < a->guardian_state.count && a->self != 0; i++)
    {
      struct lease_promise *p = &a->guardian_state.wards[i];
      if (!probe_needed (p, now_ns)
          || (p->probing && now_ns < p->next_probe_ns))
        continue;
      if (!p->probing)
        {
          p->probe_round++;
          agent_log_event (a, EV_WARD_SILENT,
                           "ward=%u epoch=%u other=%u round=%u", p->ward,
                           p->epoch, p->other_guardian, p->probe_round);
        }
      p->probing = true;
      p->next_probe_ns
          = now_ns + a->guardian_state.promise_ns / PROBES_PER_PROMISE;
      send_probe (a, p, LEASE_PROBE, p->probe_round);
      send_proxy_probe (a, p, LEASE_PROXY_PROBE, p->probe_round, now_ns);
    }
}

static void
on_proxy_probe (struct agent *a, const struct lease_msg *msg, int64_t now_ns)
{
  if (a->cell == NULL || a->self == 0)
    return;
  const struct cell_member *ward = cell_member (a->cell, msg->subject);
  if (ward == NULL || msg->receiver != a->self || ward->guardian != msg->sender
      || ward->guardian_epoch != msg->epoch)
    return;
  struct lease_promise *p
      = lease_guardian_find (&a->guardian_state, ward->second);
  const struct cell_member *to = cell_member (a->cell, msg->sender);
  if (p == NULL || to == NULL
      || !lease_promise_give_proxy_consent (p, a->guardian_state.promise_ns,
                                            msg->subject, msg->epoch,
                                            msg->sequence, now_ns))
    return;
  struct lease_msg answer = { .kind = LEASE_PROXY_CONSENT,
                              .sender = a->self,
                              .receiver = msg->sender,
                              .epoch = p->epoch,
                              .sequence = msg->sequence,
                              .subject = msg->subject };
  if (msg->sender == a->self)
    on_proxy_consent (a, &answer);
  else
    agent_send_msg (a, &to->peers, &answer);
}

static void
on_proxy_consent (struct agent *a, const struct lease_msg *msg)
{
  if (a->cell == NULL || a->self == 0)
    return;
  struct lease_promise *p
      = lease_guardian_find (&a->guardian_state, msg->subject);
  const struct cell_member *other
      = p == NULL ? NULL : cell_member (a->cell, p->other_guardian);
  if (other == NULL || msg->receiver != a->self || p->is_second
      || other->guardian != msg->sender || other->guardian_epoch != msg->epoch)
    return;
  bool had_consent = p->consented;
  lease_promise_on_proxy_consent (p, msg->epoch, msg->sequence);
  if (p->consented && !had_consent)
    agent_log_event (a, EV_CONSENT_STOOD_IN,
                     "ward=%u second=%u by=%u round=%u", p->ward,
                     p->other_guardian, msg->sender, msg->sequence);
}

static void
on_probe (struct agent *a, const struct lease_msg *msg, int64_t now_ns)
{
  if (msg->kind == LEASE_RELEASE && msg->receiver == a->self)
    lease_guardian_release_proxy (&a->guardian_state, msg->subject, msg->epoch,
                                  msg->sequence);
  struct lease_promise *p
      = lease_guardian_find (&a->guardian_state, msg->subject);
  if (p == NULL || msg->receiver != a->self || msg->sender != p->other_guardian
      || msg->epoch != p->epoch)
    return;
  if (msg->kind == LEASE_CONSENT)
    lease_promise_on_consent (p, msg->sequence);
  else if (msg->kind == LEASE_RELEASE)
    lease_promise_release_consent (p, msg->sequence);
  else if (lease_promise_give_consent (p, msg->sequence, now_ns))
    send_probe (a, p, LEASE_CONSENT, msg->sequence);
}

/* Delegation of removals.  */

static uint32_t
choose_writer (const struct agent *a, uint32_t attempt)
{
  uint32_t active = cell_count_state (a->cell, MEMBER_ACTIVE);
  uint32_t skip = active == 0 ? 0 : attempt % active;
  for (uint32_t i = 0; i < a->cell->member_count; i++)
    if (a->cell->members[i].state == MEMBER_ACTIVE && skip-- == 0)
      return a->cell->members[i].incarnation;
  return 0;
}

bool
agent_delegate_removals (struct agent *a)
{
  if (a->self == 0 || a->guardian_state.count == 0 || a->store.conflicts == 0)
    return false;
  bool delegated = false;
  uint32_t writer = choose_writer (a, a->store.conflicts - 1);
  const struct cell_member *m = cell_member (a->cell, writer);
  for (uint32_t i = 0; i < a->guardian_state.count; i++)
    {
      struct lease_promise *p = &a->guardian_state.wards[i];
      /* A removal that is based on a proxy consent is valid only while the
         second guardian keeps its guardians, which only this member
         checks.  */
      if (p->proxy_consent_epoch != 0)
        continue;
      if (!p->removal_submitted || p->ward == writer || writer == a->self
          || m == NULL)
        continue;
      struct lease_msg msg = { .kind = LEASE_REMOVE,
                               .receiver = writer,
                               .epoch = p->epoch,
                               .subject = p->ward };
      p->removal_delegated = true;
      delegated = true;
      agent_send_msg (a, &m->peers, &msg);
    }
  return delegated;
}

bool
agent_removal_is_valid (const struct agent_removal *removal,
                        const struct cell *cell)
{
  const struct cell_member *m = cell_member (cell, removal->ward);
  return m != NULL && m->guardian == removal->guardian
         && m->guardian_epoch == removal->epoch;
}

static void
on_remove (struct agent *a, const struct lease_msg *msg)
{
  struct agent_removal removal = { msg->subject, msg->epoch, msg->sender };
  if (msg->receiver != a->self || a->self == 0
      || a->removal_count == CELL_MEMBERS_MAX
      || !agent_removal_is_valid (&removal, a->cell))
    return;
  for (uint32_t i = 0; i < a->removal_count; i++)
    if (a->removals[i].ward == removal.ward)
      return;
  a->removals[a->removal_count++] = removal;
}

void
agent_drop_settled_removals (struct agent *a)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < a->removal_count; i++)
    if (a->self != 0 && agent_removal_is_valid (&a->removals[i], a->cell))
      a->removals[kept++] = a->removals[i];
  a->removal_count = kept;
}

/* Answer a renewal.  Return false when the answer must wait.  */
static bool
answer_renewal (struct agent *a, const struct agent_pending_renewal *renewal,
                bool read_done, int64_t now_ns)
{
  const struct lease_msg *msg = &renewal->msg;
  uint32_t serial = a->cell == NULL ? 0 : a->cell->serial;
  if (!is_ward (a, msg))
    {
      if (serial < msg->serial)
        return false;
      send_answer (a, &renewal->from, msg, LEASE_REFUSE);
      return true;
    }
  if (a->store.removes_self || a->leave_sent)
    return true;
  if (!agent_has_lease (a, now_ns) && !read_done)
    return false;
  if (lease_guardian_find (&a->guardian_state, msg->sender)->is_second
      && lease_ward_first_until (&a->ward_state) <= now_ns)
    return false;
  if (!lease_guardian_promise (&a->guardian_state, msg->sender, msg->epoch,
                               msg->serial, now_ns))
    return true;
  send_answer (a, &renewal->from, msg, LEASE_GRANT);
  release_consent (a, lease_guardian_find (&a->guardian_state, msg->sender),
                   now_ns);
  return true;
}

static void
queue_renewal (struct agent *a, const struct agent_pending_renewal *renewal)
{
  uint32_t i = 0;
  while (i < a->pending_renewal_count
         && a->pending_renewals[i].msg.sender != renewal->msg.sender)
    i++;
  if (i == CELL_MEMBERS_MAX)
    return;
  if (i == a->pending_renewal_count)
    a->pending_renewal_count++;
  a->pending_renewals[i] = *renewal;
}

void
agent_answer_pending_renewals (struct agent *a, int64_t now_ns)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < a->pending_renewal_count; i++)
    {
      const struct agent_pending_renewal *renewal = &a->pending_renewals[i];
      bool expired = now_ns - renewal->received_ns > a->ward_state.term_ns;
      bool read_done
          = renewal->read_started && a->store.call != AGENT_CALL_READ;
      if (!expired && !answer_renewal (a, renewal, read_done, now_ns))
        a->pending_renewals[kept++] = *renewal;
    }
  a->pending_renewal_count = kept;
}

bool
agent_pending_renewals_need_read (const struct agent *a, int64_t now_ns)
{
  if (agent_has_lease (a, now_ns) || a->self == 0)
    return false;
  for (uint32_t i = 0; i < a->pending_renewal_count; i++)
    if (!a->pending_renewals[i].read_started)
      return true;
  return false;
}

/* Documents.  */

static void
fetch_document (struct agent *a, const struct settings_address *from,
                uint32_t serial, int64_t now_ns)
{
  a->fetch_from = *from;
  a->fetch_serial = serial;
  a->fetch_retry_ns = now_ns + FETCH_RETRY_NS;
  a->deferred_until_ns = now_ns + FETCH_INTERVAL_NS;
  a->stats.fetches++;
  a->env->ops->fetch (a->env, from, serial);
}

/* FROM has the document SERIAL: fetch it.  A document that does not affect
   this member is deferred, so that a series of changes is fetched once.  */
static void
request_document (struct agent *a, const struct settings_address *from,
                  uint32_t serial, bool affected, int64_t now_ns)
{
  if (a->cell != NULL && serial <= a->cell->serial)
    return;
  if (serial <= a->fetch_serial && now_ns < a->fetch_retry_ns)
    return;
  if (affected || now_ns >= a->deferred_until_ns)
    fetch_document (a, from, serial, now_ns);
  else if (serial > a->deferred_serial)
    {
      a->deferred_from = *from;
      a->deferred_serial = serial;
    }
}

void
agent_on_peer_notice (struct agent *a, const struct settings_address *from,
                      uint64_t serial, int64_t now_ns)
{
  if (a->started && serial <= UINT32_MAX)
    request_document (a, from, (uint32_t)serial, true, now_ns);
}

static void
retry_fetch (struct agent *a, int64_t now_ns)
{
  if (a->fetch_serial > a->cell->serial && now_ns >= a->fetch_retry_ns)
    fetch_document (a, &a->fetch_from, a->fetch_serial, now_ns);
  if (a->deferred_serial > a->cell->serial
      && a->deferred_serial > a->fetch_serial
      && now_ns >= a->deferred_until_ns)
    fetch_document (a, &a->deferred_from, a->deferred_serial, now_ns);
}

static struct agent_peer *
find_peer (struct agent *a, uint32_t incarnation)
{
  if (a->cell == NULL || incarnation == 0)
    return NULL;
  member_index index = cell_member_index (a->cell, incarnation);
  return index == MEMBER_NONE ? NULL : &a->peers[index];
}

void
agent_update_peers (struct agent *a, int64_t now_ns)
{
  struct agent_peer old[CELL_MEMBERS_MAX];
  uint32_t k = 0;
  memcpy (old, a->peers, sizeof old);
  for (uint32_t i = 0; i < a->cell->member_count; i++)
    {
      uint32_t incarnation = a->cell->members[i].incarnation;
      struct agent_peer *p = &a->peers[i];
      /* Both lists are in the order of incarnations.  */
      while (k < CELL_MEMBERS_MAX && old[k].incarnation != 0
             && old[k].incarnation < incarnation)
        k++;
      memset (p, 0, sizeof *p);
      if (k < CELL_MEMBERS_MAX && old[k].incarnation == incarnation)
        *p = old[k];
      p->incarnation = incarnation;
      p->notices_sent = 0;
      p->affected = false;
      p->next_notice_ns = now_ns;
    }
  for (uint32_t i = a->cell->member_count; i < CELL_MEMBERS_MAX; i++)
    memset (&a->peers[i], 0, sizeof a->peers[i]);
  a->announcing = false;
  if (a->fetch_ack_due && a->fetch_serial <= a->cell->serial)
    {
      struct lease_msg ack = { .kind = LEASE_NOTICE_ACK };
      agent_send_msg (a, &a->fetch_from, &ack);
      a->fetch_ack_due = false;
    }
}

static void
mark_affected (struct agent *a, uint32_t incarnation)
{
  struct agent_peer *p = find_peer (a, incarnation);
  if (p != NULL)
    p->affected = true;
}

/* Mark the members whose slots, keys, guardians or wards the present document
   changed.  */
static void
mark_affected_members (struct agent *a)
{
  const struct cell *cell = a->cell;
  for (uint32_t s = 0; s < cell->slot_count; s++)
    if (cell->slots[s].epoch == cell->serial)
      mark_affected (a, cell->slots[s].owner);
  for (uint32_t i = 0; i < cell->pin_count; i++)
    if (cell->pins[i].epoch == cell->serial)
      mark_affected (a, cell->pins[i].owner);
  for (uint32_t i = 0; i < cell->member_count; i++)
    {
      const struct cell_member *m = &cell->members[i];
      if (m->guardian_epoch != cell->serial)
        continue;
      mark_affected (a, m->incarnation);
      mark_affected (a, m->guardian);
      mark_affected (a, m->second);
    }
}

void
agent_announce_document (struct agent *a, int64_t now_ns)
{
  for (uint32_t i = 0; i < a->removal_count; i++)
    mark_affected (a, a->removals[i].guardian);
  a->announcing = true;
  for (uint32_t i = 0; i < a->cell->member_count; i++)
    a->peers[i].next_notice_ns = now_ns;
  mark_affected_members (a);
}

static bool
needs_notice (const struct agent *a, uint32_t i)
{
  const struct agent_peer *p = &a->peers[i];
  return p->incarnation != a->self && p->serial < a->cell->serial
         && p->notices_sent < NOTICES_MAX;
}

static void
send_notices (struct agent *a, int64_t now_ns)
{
  bool remaining = false;
  for (uint32_t i = 0; i < a->cell->member_count; i++)
    {
      struct agent_peer *p = &a->peers[i];
      if (!needs_notice (a, i))
        continue;
      remaining = true;
      if (now_ns < p->next_notice_ns)
        continue;
      struct lease_msg notice = { .kind = LEASE_NOTICE,
                                  .receiver = p->incarnation,
                                  .epoch = p->affected };
      agent_send_msg (a, &a->cell->members[i].peers, &notice);
      p->next_notice_ns = now_ns + (NOTICE_RETRY_FIRST_NS << p->notices_sent);
      p->notices_sent++;
    }
  a->announcing = remaining;
}

/* Ward.  */

static void
send_renewal (struct agent *a, uint32_t guardian, int64_t now_ns)
{
  const struct cell_member *m = cell_member (a->cell, guardian);
  if (m == NULL)
    return;
  uint32_t sequence = lease_ward_on_send (&a->ward_state, now_ns);
  struct lease_msg msg = { .kind = LEASE_RENEW,
                           .receiver = guardian,
                           .epoch = a->ward_state.epoch,
                           .sequence = sequence };
  agent_send_msg (a, &m->peers, &msg);
}

/* Report a joining member whose only possible guardian does not answer.  It
   cannot proceed, since that guardian may be disconnected and still
   serving.  */
static void
report_stuck_join (struct agent *a)
{
  bool stuck = a->ward_state.unanswered >= STUCK_RENEWALS_MIN
               && agent_own_member (a)->state == MEMBER_JOINING
               && a->ward_state.until_ns == AGENT_NEVER_NS;
  if (stuck && !a->reported_stuck)
    agent_log_event (a, EV_OWNERSHIP_WAITS,
                     "guardian=%u does not answer, an operator may evict it",
                     a->ward_state.guardian);
  a->reported_stuck = stuck;
}

/* Whether the first guardian has not answered, or its answers do not count
   because a change that drops it is pending.  */
static bool
needs_second_guardian (const struct agent *a)
{
  return a->ward_state.second != 0
         && (a->ward_state.unanswered > 0
             || !lease_ward_counts_grants (&a->ward_state,
                                           a->ward_state.guardian));
}

static void
send_due_renewals (struct agent *a, int64_t now_ns)
{
  if (a->ward_state.guardian == 0 || a->self == 0)
    return;
  if (now_ns >= a->next_renewal_ns)
    {
      a->next_renewal_ns = now_ns + a->renew_interval_ns;
      a->next_fallback_ns = now_ns + FALLBACK_DELAY_NS;
      a->ward_state.unanswered++;
      send_renewal (a, a->ward_state.guardian, now_ns);
      report_stuck_join (a);
    }
  if (needs_second_guardian (a) && now_ns >= a->next_fallback_ns)
    {
      a->next_fallback_ns = AGENT_FOREVER_NS;
      send_renewal (a, a->ward_state.second, now_ns);
    }
}

static void
on_grant (struct agent *a, const struct lease_msg *msg, int64_t now_ns)
{
  if (msg->receiver != a->self || a->self == 0)
    return;
  if (!lease_ward_on_grant (&a->ward_state, msg->sender, msg->epoch,
                            msg->sequence))
    return;
  agent_report_lease (a, now_ns);
  agent_answer_pending_renewals (a, now_ns);
}

static void
on_renew (struct agent *a, const struct settings_address *from,
          const struct lease_msg *msg, int64_t now_ns)
{
  struct agent_pending_renewal renewal
      = { .from = *from, .msg = *msg, .received_ns = now_ns };
  if (!answer_renewal (a, &renewal, false, now_ns))
    queue_renewal (a, &renewal);
}

static void
on_notice (struct agent *a, const struct settings_address *from,
           const struct lease_msg *msg)
{
  if (a->cell != NULL && msg->serial <= a->cell->serial)
    send_answer (a, from, msg, LEASE_NOTICE_ACK);
  else
    a->fetch_ack_due = true;
}

static void
update_peer (struct agent *a, const struct lease_msg *msg)
{
  struct agent_peer *p = find_peer (a, msg->sender);
  if (p == NULL)
    return;
  p->load = msg->load;
  p->load_measured_ns = a->now_ns;
  if (msg->serial > p->serial)
    p->serial = msg->serial;
}

/* Whether MSG is a notice of a change that affects this member.  */
static bool
is_affected (const struct lease_msg *msg)
{
  return msg->kind == LEASE_NOTICE && msg->epoch != 0;
}

static void
update_gossip_load (struct agent *a, const struct lease_msg *msg)
{
  struct agent_peer *p = find_peer (a, msg->subject);
  int64_t measured_ns = a->now_ns - msg->subject_load_age * LOAD_AGE_UNIT_NS;
  if (p == NULL || (msg->kind != LEASE_RENEW && msg->kind != LEASE_GRANT)
      || measured_ns <= p->load_measured_ns)
    return;
  p->load = msg->subject_load;
  p->load_measured_ns = measured_ns;
}

void
agent_collect_loads (const struct agent *a, const struct cell *cell,
                     struct place_loads *loads)
{
  memset (loads, 0, sizeof *loads);
  loads->spares_full = a->spares_full;
  for (uint32_t i = 0; i < cell->member_count; i++)
    {
      uint32_t incarnation = cell->members[i].incarnation;
      member_index index = a->cell == NULL
                               ? MEMBER_NONE
                               : cell_member_index (a->cell, incarnation);
      if (incarnation == a->self)
        loads->load[i] = a->load;
      else if (index != MEMBER_NONE
               && a->now_ns - a->peers[index].load_measured_ns
                      < LOAD_AGE_MAX_NS)
        loads->load[i] = a->peers[index].load;
    }
}

void
agent_on_datagram (struct agent *a, const struct settings_address *from,
                   const void *data, size_t length, int64_t now_ns)
{
  struct lease_msg msg;
  a->stats.datagrams_in++;
  a->stats.bytes_in += length;
  if (a->started && length > 0 && *(const char *)data == '{')
    {
      agent_on_join_request (a, data, length, now_ns);
      return;
    }
  if (!a->started || lease_msg_decode (data, length, &msg) != STATUS_OK
      || msg.cell_hash != a->service_hash)
    return;
  a->now_ns = now_ns;
  update_peer (a, &msg);
  update_gossip_load (a, &msg);
  request_document (a, from, msg.serial, is_affected (&msg), now_ns);
  switch (msg.kind)
    {
    case LEASE_RENEW:
      on_renew (a, from, &msg, now_ns);
      break;
    case LEASE_GRANT:
      on_grant (a, &msg, now_ns);
      break;
    case LEASE_NOTICE:
      on_notice (a, from, &msg);
      break;
    case LEASE_PROXY_PROBE:
      on_proxy_probe (a, &msg, now_ns);
      break;
    case LEASE_PROXY_CONSENT:
      on_proxy_consent (a, &msg);
      break;
    case LEASE_REMOVE:
      on_remove (a, &msg);
      break;
    case LEASE_ACTIVATE:
    case LEASE_LEAVE:
      agent_on_member_request (a, &msg, now_ns);
      break;
    case LEASE_PROBE:
    case LEASE_CONSENT:
    case LEASE_RELEASE:
      on_probe (a, &msg, now_ns);
      break;
    default:
      break;
    }
}

void
agent_msg_tick (struct agent *a, int64_t now_ns)
{
  if (a->cell == NULL)
    return;
  retry_fetch (a, now_ns);
  if (a->announcing)
    send_notices (a, now_ns);
  send_probes (a, now_ns);
  send_due_renewals (a, now_ns);
  agent_request_tick (a, now_ns);
}

int64_t
agent_msg_next (const struct agent *a, int64_t now_ns)
{
  int64_t next_ns = AGENT_FOREVER_NS;
  if (a->cell == NULL)
    return next_ns;
  next_ns = agent_request_next (a, now_ns);
  if (a->fetch_serial > a->cell->serial && a->fetch_retry_ns < next_ns)
    next_ns = a->fetch_retry_ns;
  if (a->deferred_serial > a->cell->serial && a->deferred_until_ns < next_ns)
    next_ns = a->deferred_until_ns;
  if (a->ward_state.guardian != 0 && a->self != 0
      && a->next_renewal_ns < next_ns)
    next_ns = a->next_renewal_ns;
  if (a->self != 0 && needs_second_guardian (a)
      && a->next_fallback_ns < next_ns)
    next_ns = a->next_fallback_ns;
  for (uint32_t i = 0; i < a->guardian_state.count; i++)
    if (probe_needed (&a->guardian_state.wards[i], now_ns)
        && a->guardian_state.wards[i].next_probe_ns < next_ns)
      next_ns = a->guardian_state.wards[i].next_probe_ns;
  for (uint32_t i = 0; a->announcing && i < a->cell->member_count; i++)
    if (needs_notice (a, i) && a->peers[i].next_notice_ns < next_ns)
      next_ns = a->peers[i].next_notice_ns;
  return next_ns < now_ns ? now_ns : next_ns;
}
