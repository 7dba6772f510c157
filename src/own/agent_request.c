/* Changes that one member writes for others.

   In a large cell members that all write their own changes compete for the
   document: each write makes those that were planned meanwhile fail.  There a
   member asks the writer, the first active member, to add it to the document,
   to make it active or to remove it, and the writer writes all that it was
   asked for in one change.  A request may be lost, and is repeated; a member
   that is not served in time writes the change itself.  The process at the
   writer's address serves requests even while it joins again itself, as after
   the loss of all members at once.  */

#include "own/agent_state.h"
#include "settings/address.h"

#include <stdlib.h>
#include <string.h>

#define REPEAT_NS (200 * NS_PER_MS)
/* After this time, and up to half of it more, a member writes its change
   itself.  */
#define DIRECT_NS (1200 * NS_PER_MS)
/* How long a leaving member may take to close its slots before it leaves step
   by step.  */
#define LEAVE_CLOSING_MAX_NS (4 * NS_PER_S)
/* Time between two changes that are written for other members.  */
#define BATCH_INTERVAL_NS (200 * NS_PER_MS)
/* A request that is older was repeated, or is no longer wanted.  */
#define REQUEST_TTL_NS (1 * NS_PER_S)

enum
{
  /* In a smaller cell few swaps conflict, and direct ones are faster.  */
  DELEGATING_MEMBERS_MIN = 16,
  REQUESTS_PER_WRITER = 3 /* before the next member is asked */
};

/* Sending.  */

/* The member that is asked after SENT requests, or NULL: this member writes
   its changes itself.  */
static const struct cell_member *
choose_writer (const struct agent *a, uint32_t sent)
{
  if (a->cell == NULL || a->cell->member_count < DELEGATING_MEMBERS_MIN)
    return NULL;
  bool any = cell_count_state (a->cell, MEMBER_ACTIVE) == 0;
  uint32_t skip = sent / REQUESTS_PER_WRITER;
  for (uint32_t i = 0; i < a->cell->member_count; i++)
    {
      const struct cell_member *m = &a->cell->members[i];
      if ((any || m->state == MEMBER_ACTIVE) && skip-- == 0)
        return cell_is_same_place (m, &a->own_member) ? NULL : m;
    }
  return NULL;
}

static void
send_join_request (struct agent *a, const struct cell_member *writer)
{
  /* Members that this run added to the document have this incarnation or a
     higher one; earlier processes at the address had lower ones.  */
  if (a->join_from == 0)
    a->join_from = a->cell->next_incarnation;
  json_t *json = json_pack ("{s:s,s:I,s:o}", "service", a->service,
                            "next_incarnation", (json_int_t)a->join_from,
                            "join", cell_format_member (&a->own_member));
  char *text = json == NULL ? NULL : json_dumps (json, JSON_COMPACT);
  json_decref (json);
  if (text == NULL)
    return;
  a->stats.datagrams_out++;
  a->stats.bytes_out += strlen (text);
  a->env->ops->send (a->env, &writer->peers, text, strlen (text));
  free (text);
}

static void
send_member_request (struct agent *a, const struct cell_member *writer,
                     enum lease_msg_kind kind)
{
  struct lease_msg msg = { .kind = kind,
                           .receiver = writer->incarnation,
                           .epoch = a->ward_state.epoch };
  agent_send_msg (a, &writer->peers, &msg);
}

/* Whether this member has closed all that it owns.  Slots of the move may have
   gone to others already: the document is applied before the move ends.  */
static bool
is_closed (const struct agent *a)
{
  const struct agent_current_move *m = &a->move;
  uint32_t closed = 0;
  if (a->owned_count == 0)
    return m->state == MOVE_NONE;
  if (m->state != MOVE_READY || m->key_length > 0)
    return false;
  for (uint32_t i = 0; i < m->count; i++)
    closed += a->cell->slots[m->slots[i]].owner == a->self;
  return closed == a->owned_count;
}

/* What this member would ask for.  */
static enum agent_request_kind
wanted_kind (const struct agent *a, int64_t now_ns)
{
  if (a->cell == NULL || (a->self == 0 && (a->leave_requested || a->out)))
    return REQUEST_NONE;
  if (a->self == 0)
    return now_ns >= a->next_join_ns ? REQUEST_JOIN : REQUEST_NONE;
  if (cell_is_forming (a->cell))
    return REQUEST_NONE;
  if (a->leave_requested)
    return a->leave_sent || (is_closed (a) && !a->store.unsettled)
               ? REQUEST_LEAVE
               : REQUEST_NONE;
  const struct cell_member *member = agent_own_member (a);
  return member->state == MEMBER_JOINING && agent_has_lease (a, now_ns)
             ? REQUEST_ACTIVATE
             : REQUEST_NONE;
}

void
agent_request_tick (struct agent *a, int64_t now_ns)
{
  struct agent_request *r = &a->request;
  enum agent_request_kind kind = wanted_kind (a, now_ns);
  if (kind == REQUEST_NONE || choose_writer (a, 0) == NULL)
    {
      *r = (struct agent_request){ .kind = REQUEST_NONE };
      return;
    }
  if (kind != r->kind)
    *r = (struct agent_request){
      .kind = kind,
      .next_ns = now_ns,
      .direct_ns = now_ns + DIRECT_NS
                   + (int64_t)agent_random (a, (uint64_t)DIRECT_NS / 2),
    };
  const struct cell_member *writer = choose_writer (a, r->sent);
  if (writer == NULL || now_ns < r->next_ns || now_ns >= r->direct_ns)
    return;
  r->sent++;
  r->next_ns = now_ns + REPEAT_NS;
  if (kind == REQUEST_JOIN)
    send_join_request (a, writer);
  else if (kind == REQUEST_ACTIVATE)
    send_member_request (a, writer, LEASE_ACTIVATE);
  else
    {
      a->leave_sent = true;
      agent_report_lease (a, now_ns);
      send_member_request (a, writer, LEASE_LEAVE);
    }
}

bool
agent_leave_is_delegated (const struct agent *a, int64_t now_ns)
{
  const struct agent_request *r = &a->request;
  if (!a->leave_requested || a->self == 0 || cell_is_forming (a->cell)
      || choose_writer (a, 0) == NULL
      || (agent_owns_pins (a) && !a->leave_sent))
    return false;
  return r->kind == REQUEST_LEAVE
             ? now_ns < r->direct_ns
             : now_ns < a->leave_requested_ns + LEAVE_CLOSING_MAX_NS;
}

bool
agent_request_pending (const struct agent *a, enum agent_request_kind kind,
                       int64_t now_ns)
{
  const struct agent_request *r = &a->request;
  return wanted_kind (a, now_ns) == kind && choose_writer (a, 0) != NULL
         && (r->kind != kind || now_ns < r->direct_ns);
}

int64_t
agent_request_next (const struct agent *a, int64_t now_ns)
{
  const struct agent_request *r = &a->request;
  int64_t next_ns = AGENT_FOREVER_NS;
  if (r->kind != REQUEST_NONE && now_ns < r->direct_ns)
    next_ns
        = r->next_ns < r->direct_ns && r->sent > 0 ? r->next_ns : r->direct_ns;
  if (a->asked_count > 0 && a->asked_due_ns < next_ns)
    next_ns = a->asked_due_ns;
  return next_ns;
}

/* Receiving.  */

/* The member that the join REQUEST asks for, if CELL has it.  */
static const struct cell_member *
find_joined (const struct cell *cell, const struct agent_asked *request)
{
  const struct cell_member *m = cell_find_place (cell, &request->member);
  return m != NULL && m->incarnation >= request->join_from ? m : NULL;
}

static bool
is_served (const struct cell *cell, const struct agent_asked *request)
{
  const struct cell_member *m
      = cell_member (cell, request->member.incarnation);
  switch (request->kind)
    {
    case REQUEST_JOIN:
      return find_joined (cell, request) != NULL;
    case REQUEST_ACTIVATE:
      return m == NULL || m->state != MEMBER_JOINING;
    default:
      return m == NULL;
    }
}

static bool
is_same (const struct agent_asked *a, const struct agent_asked *b)
{
  return a->kind == b->kind && a->member.incarnation == b->member.incarnation
         && settings_address_equal (&a->member.peers, &b->member.peers);
}

static void
add_asked (struct agent *a, const struct agent_asked *request, int64_t now_ns)
{
  uint32_t i = 0;
  while (i < a->asked_count && !is_same (&a->asked[i], request))
    i++;
  if (i == AGENT_ASKED_MAX)
    return; /* it is repeated */
  if (a->asked_count == 0)
    a->asked_due_ns = now_ns > a->last_batch_ns + BATCH_INTERVAL_NS
                          ? now_ns
                          : a->last_batch_ns + BATCH_INTERVAL_NS;
  if (i == a->asked_count)
    a->asked_count++;
  a->asked[i] = *request;
  a->asked[i].received_ns = now_ns;
}

/* Tell the process at TO, whose request is served, of the document.  */
static void
send_served_notice (struct agent *a, const struct settings_address *to)
{
  struct lease_msg notice = { .kind = LEASE_NOTICE, .epoch = 1 };
  agent_send_msg (a, to, &notice);
}

void
agent_on_join_request (struct agent *a, const char *data, size_t length,
                       int64_t now_ns)
{
  struct agent_asked request = { 0 };
  json_int_t from;
  const char *service;
  json_t *member;
  json_t *json = json_loadb (data, length, JSON_REJECT_DUPLICATES, NULL);
  if (json != NULL
      && json_unpack_ex (json, NULL, JSON_STRICT, "{s:s,s:I,s:o}", "service",
                         &service, "next_incarnation", &from, "join", &member)
             == 0
      && strcmp (service, a->service) == 0 && from > 0 && from <= UINT32_MAX
      && cell_parse_member (member, &request.member) == STATUS_OK
      && a->cell != NULL)
    {
      request.kind = REQUEST_JOIN;
      request.member.incarnation = 0;
      request.join_from = (uint32_t)from;
      if (find_joined (a->cell, &request) != NULL)
        send_served_notice (a, &request.member.peers);
      else
        add_asked (a, &request, now_ns);
    }
  json_decref (json);
}

void
agent_on_member_request (struct agent *a, const struct lease_msg *msg,
                         int64_t now_ns)
{
  const struct cell_member *m
      = a->cell == NULL ? NULL : cell_member (a->cell, msg->sender);
  if (m == NULL || a->self == 0 || msg->receiver != a->self)
    return;
  struct agent_asked request
      = { .kind = msg->kind == LEASE_LEAVE ? REQUEST_LEAVE : REQUEST_ACTIVATE,
          .member = *m };
  if (!is_served (a->cell, &request))
    add_asked (a, &request, now_ns);
}

void
agent_drop_served_requests (struct agent *a, int64_t now_ns)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < a->asked_count; i++)
    {
      const struct agent_asked *request = &a->asked[i];
      bool served = is_served (a->cell, request);
      if (served && request->kind == REQUEST_LEAVE)
        send_served_notice (a, &request->member.peers);
      else if (!served && now_ns - request->received_ns < REQUEST_TTL_NS)
        a->asked[kept++] = *request;
    }
  a->asked_count = kept;
}

/* Writing.  */

bool
agent_asked_due (const struct agent *a, int64_t now_ns)
{
  return a->asked_count > 0 && now_ns >= a->asked_due_ns;
}

bool
agent_plan_asked (struct agent *a, struct cell *next, int64_t now_ns)
{
  bool changed = false;
  if (!agent_asked_due (a, now_ns))
    return false;
  for (uint32_t i = 0; i < a->asked_count; i++)
    {
      const struct agent_asked *request = &a->asked[i];
      uint32_t incarnation = request->member.incarnation;
      uint32_t joined;
      if (is_served (next, request))
        continue;
      if (request->kind == REQUEST_JOIN)
        changed |= agent_plan_joiner (next, &request->member, &joined)
                   == STATUS_OK;
      else if (request->kind == REQUEST_ACTIVATE)
        changed |= agent_plan_activation (next, incarnation);
      else
        changed |= agent_plan_leaver (next, incarnation);
    }
  a->last_batch_ns = now_ns;
  return changed;
}
