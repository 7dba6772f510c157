#include "mesh/nodes.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/duration.h"
#include "base/log.h"
#include "http/net.h"
#include "http/poll_clock.h"
#include "limit/link.h"
#include "mesh/admissions.h"
#include "mesh/assembly.h"
#include "mesh/sender.h"
#include "settings/address.h"
#include <string.h>

/* Interval of state frames when nothing changes: a third of the silence after
   which a node is considered lost.  Each frame is 26 bytes.  */
#define STATE_INTERVAL_MS 500
/* With more nodes than this the interval grows in proportion to their number,
   so that control traffic takes the same share of a node.  */
#define STATE_INTERVAL_NODES 24
#define LOST_AFTER_INTERVALS 3
/* Back-off before a node that does not answer is dialled again.  */
#define DIAL_BACKOFF_MIN_MS 100
#define DIAL_BACKOFF_MAX_MS 2000
/* Limit on the wait for a connection: ten times a round trip within a
   region.  */
#define CONNECT_TIMEOUT_MS 1000
/* A frame of which no part arrives for this long is dropped.  Its sender sends
   a part as soon as its link is free, and tells when it gives up.  */
#define PART_TIMEOUT_NS (10 * NS_PER_S)
/* A body is offered before it is sent if the transfer over the slower of both
   links takes longer than this: a round trip between nodes takes about as
   long.  */
#define OFFER_MIN_NS (2 * NS_PER_MS)
/* A request that took this long to arrive was held on its way, and so was what
   its node sent after it.  It starts when nothing has arrived on its
   connection for HELD_QUIET_NS, a few round trips, or after HELD_WAIT_MAX_NS.
 */
#define HELD_AGE_NS (200 * NS_PER_MS)
#define HELD_QUIET_NS (50 * NS_PER_MS)
#define HELD_WAIT_MAX_NS (500 * NS_PER_MS)
#define HELD_CHECK_MS 10
#define LINK_FULL_LOG_INTERVAL_NS (1 * NS_PER_S)
/* Set in the numbers of streams other than those of requests and results,
   which have their call's id.  */
#define STREAM_DOCUMENT (UINT64_C (1) << 63)

/* Frames of at least this size are counted in the memory's budget; smaller
   ones are the node's control traffic, and parts, which are counted when their
   frame is complete.  Admissions bound what is incomplete.  */
#define COUNTED_FRAME_BYTES ((size_t)2 * LINK_SMALL_BYTES)

struct link
{
  uv_tcp_t tcp;
  GByteArray *input;
  struct sender_lane lane;
  struct assembly *assembly;
  size_t reserved;   /* for the frame that is being read */
  size_t skip_bytes; /* of a request that did not fit, not yet read */
  struct nodes *nodes;
  struct peer *peer;       /* set if this node dialled */
  struct inbound *inbound; /* set if the other node dialled */
  bool closed;
};

/* A node that this node dials.  */
struct peer
{
  struct nodes *nodes;
  struct settings_address address;
  struct frame_node node;
  struct frame_state state;
  bool connected;          /* it reported its state on this connection */
  int64_t received_ns;     /* when its last frame arrived, or it was dialled */
  int64_t heard_of_ns;     /* when its last frame arrived, or it was
                              announced */
  int64_t clock_offset_ns; /* lower bound of its clock minus this node's */
  uint32_t sent_since_report;
  uint64_t bytes_since_report;
  /* Of its target, by the last result.  They outlast the connection: a node
     that restarts learns them from the requests that it gets.  */
  struct target_terms terms;
  uint32_t dial_backoff_ms;
  struct link *link; /* NULL: not connected */
  uv_connect_t connect_request;
  uv_timer_t timer;
  GHashTable *calls; /* struct node_call by id */
};

struct node_call
{
  struct peer *peer;
  uint64_t call_id;
  attempt_done *done;
  void *arg;
  /* Offered and not yet admitted; NULL: sent, or being sent.  */
  const struct attempt_request *offered;
  bool not_run; /* the connection was lost before all of it was sent */
};

/* A node that dialled this one.  */
struct inbound
{
  struct link *link;
  GList list_link;
  char name[SETTINGS_NAME_BYTES];
  char zone[SETTINGS_NAME_BYTES];
  GHashTable *jobs; /* struct inbound_job by call id */
  int64_t read_ns;  /* when something was read from it */
  bool state_sent;  /* this node's identity and state were sent to it */
};

struct inbound_job
{
  struct inbound *inbound;
  uint64_t call_id;
  struct attempt_request request; /* until it is started */
  GList arrived_link;             /* in the nodes' list until then */
  bool started;
  bool in_parts; /* the age of its frame is that of its transfer */
  uint32_t priority;
  int64_t soft_deadline_ns;
  void *handle;
  size_t reserved; /* in the budget of memory */
};

struct nodes
{
  uv_loop_t *loop;
  struct frame_node self;
  uint32_t link_kbps; /* 0: not stated */
  struct sender *sender;
  struct admissions *admissions; /* NULL: the link's rate is not stated */
  int64_t link_full_logged_ns;
  uint32_t link_full_refusals; /* since then */
  struct nodes_hooks hooks;
  uv_tcp_t listener;
  uv_timer_t state_timer;
  GHashTable *by_address; /* struct peer by the text of its address */
  GQueue inbounds;
  /* Requests of other nodes that are not started yet: they start after all
     input that has arrived with them was read, so that their cancels overtake
     them.  */
  GQueue arrived;          /* struct inbound_job */
  struct after_poll start; /* start_arrived */
  uv_timer_t held_timer;   /* active while some wait for input */
  uint64_t last_call_id;
  uint64_t last_document; /* number of the last stream of a document */
};

static void dial_later (struct peer *peer);
static void on_held_timer (uv_timer_t *timer);

/* Links.  */

static void
on_link_closed (uv_handle_t *handle)
{
  struct link *link = handle->data;
  g_byte_array_free (link->input, TRUE);
  assembly_free (link->assembly);
  g_free (link);
}

static struct link *
link_new (struct nodes *p)
{
  struct link *link = g_new0 (struct link, 1);
  link->nodes = p;
  link->input = g_byte_array_new ();
  link->assembly = assembly_new ();
  uv_tcp_init (p->loop, &link->tcp);
  link->tcp.data = link;
  return link;
}

static void
release_memory (const struct nodes *p, size_t bytes)
{
  if (bytes > 0)
    p->hooks.memory->count (p->hooks.memory->arg, -(int64_t)bytes);
}

static void
link_close (struct link *link)
{
  if (link->closed)
    return;
  link->closed = true;
  sender_close_lane (link->nodes->sender, &link->lane);
  release_memory (link->nodes, link->reserved);
  link->reserved = 0;
  uv_close ((uv_handle_t *)&link->tcp, on_link_closed);
}

static bool
link_send (struct link *link, GString *frame)
{
  return sender_send (link->nodes->sender, &link->lane, frame);
}

static void
fill_state (const struct nodes *p, struct frame_state *state)
{
  memset (state, 0, sizeof *state);
  p->hooks.fill_state (p->hooks.arg, state);
  state->load.link_kbps = p->link_kbps;
  if (p->admissions != NULL)
    state->load.link_wait_ms
        = (uint32_t)(admissions_wait_ns (p->admissions, clock_now_ns ())
                     / NS_PER_MS);
}

static uint32_t
state_interval_ms (const struct nodes *p)
{
  guint nodes = g_hash_table_size (p->by_address);
  return nodes <= STATE_INTERVAL_NODES
             ? STATE_INTERVAL_MS
             : STATE_INTERVAL_MS * nodes / STATE_INTERVAL_NODES;
}

static unsigned
silence_timeout_ms (const struct nodes *p)
{
  return state_interval_ms (p) * LOST_AFTER_INTERVALS;
}

/* Nodes that this one dials.  */

static bool
takes_parts (const struct nodes *p, const struct peer *peer)
{
  return p->link_kbps != 0 && peer->state.load.link_kbps != 0;
}

/* Drop what is unsent of CALL.  Whether the other node can no longer run it.
 */
static bool
withdraw_call (const struct node_call *call)
{
  struct peer *peer = call->peer;
  return call->offered != NULL
         || sender_drop (peer->nodes->sender, &peer->link->lane,
                         call->call_id);
}

/* Drop what is unsent of all calls, before the connection is closed.  */
static void
withdraw_calls (struct peer *peer)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, peer->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct node_call *call = value;
      call->not_run = withdraw_call (call);
    }
}

static void
fail_calls (struct peer *peer)
{
  GList *calls = g_hash_table_get_values (peer->calls);
  g_hash_table_steal_all (peer->calls);
  for (GList *l = calls; l != NULL; l = l->next)
    ((struct node_call *)l->data)->peer = NULL;
  for (GList *l = calls; l != NULL; l = l->next)
    {
      struct node_call *call = l->data;
      struct attempt_result result
          = call->not_run ? attempt_not_run (REASON_OWNER_UNREACHABLE, 0)
                          : attempt_unknown (REASON_OWNER_LOST);
      if (call->done != NULL)
        call->done (call->arg, &result);
      g_free (call);
    }
  g_list_free (calls);
}

static void
lose_peer (struct peer *peer, const char *cause)
{
  if (peer->connected)
    log_event (EV_PEER_LOST, "peer=%s cause=%s calls=%u silent_ms=%d",
               peer->node.name, cause, g_hash_table_size (peer->calls),
               (int)((clock_now_ns () - peer->received_ns) / NS_PER_MS));
  if (peer->link != NULL)
    {
      withdraw_calls (peer);
      peer->link->peer = NULL;
      link_close (peer->link);
    }
  peer->link = NULL;
  peer->connected = false;
  fail_calls (peer);
  dial_later (peer);
}

static void
update_state (struct peer *peer, const struct frame *f, int64_t now_ns)
{
  struct nodes *p = peer->nodes;
  int64_t offset_ns = f->state.clock_ns - now_ns;
  if (f->has_node)
    {
      bool same_process = peer->node.start_id == f->node.start_id;
      peer->node = f->node;
      if (!same_process || !peer->connected)
        peer->clock_offset_ns = offset_ns;
    }
  if (offset_ns > peer->clock_offset_ns)
    peer->clock_offset_ns = offset_ns;
  peer->state = f->state;
  peer->sent_since_report = 0;
  peer->bytes_since_report = 0;
  if (!peer->connected && f->has_node)
    {
      peer->connected = true;
      peer->dial_backoff_ms = DIAL_BACKOFF_MIN_MS;
      log_event (EV_PEER_UP,
                 "peer=%s service=%s zone=%s run=%" G_GUINT64_FORMAT,
                 peer->node.name, peer->node.service, peer->node.zone,
                 peer->node.start_id);
    }
  if (peer->connected)
    p->hooks.on_state (p->hooks.arg, &peer->node, &peer->state);
}

/* Take the terms of the peer's target from the result F.  */
static void
update_terms (struct peer *peer, const struct frame *f)
{
  const struct target_terms *t = &f->result.terms;
  if (!target_terms_remember (&peer->terms, t))
    return;
  log_event (EV_TERMS_LEARNED,
             "peer=%s target=%s started=%" G_GINT64_FORMAT
             " limited=%d limit=%.3f leaving=%d call=%" G_GUINT64_FORMAT,
             peer->node.name, t->target_id, t->started_ms, t->limited,
             t->rate_max, t->leaving, f->call_id);
}

static void
finish_call (struct peer *peer, const struct frame *f)
{
  struct node_call *call = g_hash_table_lookup (peer->calls, &f->call_id);
  if (call == NULL)
    {
      counter_add (COUNTER_peer_late_answers_total, 1);
      return;
    }
  withdraw_call (call);
  g_hash_table_steal (peer->calls, &f->call_id);
  call->peer = NULL;
  struct attempt_result result = f->result;
  result.pace_pct = peer->state.load.pace_pct;
  call->done (call->arg, &result);
  g_free (call);
}

/* The reader detects a broken connection, and ends the call.  */
static void
send_request (const struct node_call *call,
              const struct attempt_request *request, int64_t start_ns)
{
  struct peer *peer = call->peer;
  struct nodes *p = peer->nodes;
  struct sender_order order
      = { call->call_id, request->priority, request->soft_deadline_ns,
          start_ns, peer->state.load.link_kbps };
  GString *frame = frame_request (call->call_id, request, &peer->terms,
                                  peer->clock_offset_ns, clock_now_ns ());
  if (takes_parts (p, peer))
    sender_send_parts (p->sender, &peer->link->lane, frame, &order);
  else
    sender_send_whole (p->sender, &peer->link->lane, frame, call->call_id);
}

/* The other node admits the request of a call.  It may have been cancelled
   meanwhile.  */
static void
on_admit (struct peer *peer, uint64_t call_id, uint32_t start_ms,
          int64_t now_ns)
{
  struct node_call *call = g_hash_table_lookup (peer->calls, &call_id);
  if (call == NULL || call->offered == NULL)
    {
      counter_add (COUNTER_peer_late_answers_total, 1);
      return;
    }
  const struct attempt_request *request = call->offered;
  call->offered = NULL;
  send_request (call, request, now_ns + start_ms * NS_PER_MS);
}

static void
on_peer_frame (struct peer *peer, const struct frame *f, int64_t now_ns)
{
  struct nodes *p = peer->nodes;
  peer->received_ns = now_ns;
  peer->heard_of_ns = now_ns;
  if (f->kind == FRAME_STATE || f->kind == FRAME_RESULT
      || f->kind == FRAME_ADMIT)
    update_state (peer, f, now_ns);
  if (f->kind == FRAME_RESULT)
    {
      update_terms (peer, f);
      finish_call (peer, f);
    }
  else if (f->kind == FRAME_ADMIT)
    on_admit (peer, f->call_id, f->start_ms, now_ns);
  else if (f->kind == FRAME_DOCUMENT)
    p->hooks.on_document (p->hooks.arg, &peer->node, f->document_type,
                          f->revision, f->text, f->length);
}

/* Nodes that dialled this one.  */

static struct peer *find_by_name (const struct nodes *p, const char *name);

/* Send FRAME, in parts if the node at the other end takes them.  */
static void
send_to_dialler (struct inbound *in, GString *frame,
                 struct sender_order *order)
{
  struct nodes *p = in->link->nodes;
  const struct peer *peer
      = frame->len <= LINK_SMALL_BYTES ? NULL : find_by_name (p, in->name);
  if (peer == NULL || !takes_parts (p, peer))
    {
      link_send (in->link, frame);
      return;
    }
  order->peer_kbps = peer->state.load.link_kbps;
  sender_send_parts (p->sender, &in->link->lane, frame, order);
}

static void
on_job_done (void *arg, const struct attempt_result *result)
{
  struct inbound_job *job = arg;
  struct inbound *in = job->inbound;
  const struct nodes *p = in->link->nodes;
  struct frame_state state;
  struct sender_order order = { .stream = job->call_id,
                                .priority = job->priority,
                                .soft_deadline_ns = job->soft_deadline_ns };
  fill_state (p, &state);
  send_to_dialler (in, frame_result (job->call_id, result, &state), &order);
  g_hash_table_remove (in->jobs, &job->call_id);
}

/* A request runs once: whether the call id of F was used before.  */
static bool
is_repeated (struct inbound *in, struct frame *f)
{
  const struct nodes *p = in->link->nodes;
  enum admission_use use = ADMISSION_NONE;
  if (p->admissions != NULL)
    use = admissions_use (p->admissions, in, f->call_id, clock_now_ns ());
  f->request.admitted = use == ADMISSION_HELD;
  return use == ADMISSION_USED
         || g_hash_table_contains (in->jobs, &f->call_id);
}

static void
inbound_job_free (void *arg)
{
  struct inbound_job *job = arg;
  struct nodes *p = job->inbound->link->nodes;
  release_memory (p, job->reserved);
  if (!job->started)
    {
      g_queue_unlink (&p->arrived, &job->arrived_link);
      attempt_request_clear (&job->request);
    }
  g_free (job);
}

/* Start JOB, which is not in the list of arrived ones any more.  */
static void
start_job (struct inbound_job *job)
{
  const struct nodes *p = job->inbound->link->nodes;
  job->started = true;
  job->handle
      = p->hooks.run_request (p->hooks.arg, &job->request, on_job_done, job);
  attempt_request_clear (&job->request);
}

/* Whether JOB was held on its way and more may come that was held behind
   it.  */
static bool
must_wait (const struct inbound_job *job, int64_t now_ns)
{
  const struct attempt_request *r = &job->request;
  return !job->in_parts && r->sent_on_ns != 0
         && r->arrived_ns - r->sent_on_ns >= HELD_AGE_NS
         && now_ns - job->inbound->read_ns < HELD_QUIET_NS
         && now_ns - r->arrived_ns < HELD_WAIT_MAX_NS;
}

static void
start_arrived (void *arg)
{
  struct nodes *p = arg;
  GList *next;
  int64_t now_ns = clock_now_ns ();
  for (GList *l = p->arrived.head; l != NULL; l = next)
    {
      struct inbound_job *job = l->data;
      next = l->next;
      if (must_wait (job, now_ns))
        continue;
      g_queue_unlink (&p->arrived, l);
      start_job (job);
    }
  if (g_queue_is_empty (&p->arrived))
    uv_timer_stop (&p->held_timer);
  else if (!uv_is_active ((uv_handle_t *)&p->held_timer))
    uv_timer_start (&p->held_timer, on_held_timer, HELD_CHECK_MS,
                    HELD_CHECK_MS);
}

static void
on_held_timer (uv_timer_t *timer)
{
  struct nodes *p = timer->data;
  after_poll_schedule (&p->start);
}

static void
add_inbound_job (struct inbound *in, struct frame *f)
{
  struct nodes *p = in->link->nodes;
  struct inbound_job *job = g_new0 (struct inbound_job, 1);
  job->inbound = in;
  job->reserved = in->link->reserved;
  in->link->reserved = 0;
  job->call_id = f->call_id;
  job->priority = f->request.priority;
  job->soft_deadline_ns = f->request.soft_deadline_ns;
  counter_add (COUNTER_requests_from_peers_total, 1);
  f->request.arrived_ns = clock_now_ns ();
  if (f->request.sent_on_ns != 0 && !f->in_parts)
    duration_add (DURATION_peer_request_age,
                  f->request.arrived_ns - f->request.sent_on_ns);
  g_hash_table_replace (in->jobs, &job->call_id, job);
  job->in_parts = f->in_parts;
  job->request = f->request;
  f->request.head = NULL;
  f->request.body = NULL;
  job->arrived_link.data = job;
  g_queue_push_tail_link (&p->arrived, &job->arrived_link);
  after_poll_schedule (&p->start);
}

static void
cancel_inbound_job (struct inbound *in, uint64_t call_id, int64_t left_ns)
{
  struct nodes *p = in->link->nodes;
  struct inbound_job *job = g_hash_table_lookup (in->jobs, &call_id);
  int64_t now_ns = clock_now_ns ();
  sender_drop (p->sender, &in->link->lane, call_id);
  if (p->admissions != NULL)
    admissions_cancel (p->admissions, in, call_id);
  if (job == NULL)
    return;
  if (job->started)
    p->hooks.cancel_request (p->hooks.arg, job->handle, left_ns);
  else
    {
      counter_add (COUNTER_peer_cancelled_unstarted_total, 1);
      log_event (EV_REQUEST_CANCELLED,
                 "request=%s peer=%s sent_on_ms=%d arrived_ms=%d "
                 "started_ms=-1 left_ms=%d",
                 job->request.id, in->name,
                 attempt_age_ms (job->request.sent_on_ns, now_ns),
                 attempt_age_ms (job->request.arrived_ns, now_ns),
                 attempt_age_ms (left_ns, now_ns));
    }
  g_hash_table_remove (in->jobs, &call_id);
}

static void
send_document (struct inbound *in, enum frame_document_type document_type)
{
  struct nodes *p = in->link->nodes;
  size_t length = 0;
  int64_t revision = 0;
  const char *text = p->hooks.get_document == NULL
                         ? NULL
                         : p->hooks.get_document (p->hooks.arg, document_type,
                                                  &length, &revision);
  struct sender_order order = { .stream = STREAM_DOCUMENT | ++p->last_document,
                                .soft_deadline_ns = clock_now_ns () };
  if (text != NULL)
    send_to_dialler (
        in, frame_document (document_type, revision, text, length), &order);
}

static void
on_hello (struct inbound *in, const struct frame_node *node)
{
  struct nodes *p = in->link->nodes;
  struct frame_state state;
  memcpy (in->name, node->name, sizeof in->name);
  memcpy (in->zone, node->zone, sizeof in->zone);
  fill_state (p, &state);
  link_send (in->link, frame_state (&p->self, true, &state));
  in->state_sent = true;
  send_document (in, FRAME_DOCUMENT_CRASHES);
  nodes_add (p, &node->address);
}

/* Offers.  */

static void
on_admission_end (void *arg, void *from, uint64_t call_id,
                  enum admission_end end)
{
  struct inbound *in = from;
  (void)arg;
  if (end == ADMISSION_END_DEADLINE)
    assembly_drop (in->link->assembly, call_id);
  else
    log_event (
        EV_ADMISSION_EXPIRED,
        "peer=%s call=%" G_GUINT64_FORMAT " outstanding_ms=%d", in->name,
        call_id,
        (int)(admissions_wait_ns (in->link->nodes->admissions, clock_now_ns ())
              / NS_PER_MS));
}

/* Log at most once a second that the link is full.  */
static void
record_link_full (struct nodes *p, int64_t now_ns)
{
  p->link_full_refusals++;
  if (now_ns - p->link_full_logged_ns < LINK_FULL_LOG_INTERVAL_NS)
    return;
  log_event (EV_LINK_FULL, "kbps=%u refused=%u pending=%u wait_ms=%d",
             p->link_kbps, p->link_full_refusals,
             admissions_pending (p->admissions),
             (int)(admissions_wait_ns (p->admissions, now_ns) / NS_PER_MS));
  p->link_full_logged_ns = now_ns;
  p->link_full_refusals = 0;
}

/* How the request that IN offers by F will arrive.  */
static struct lineup_arrival
expect_arrival (const struct inbound *in, const struct frame *f,
                int64_t now_ns)
{
  const struct nodes *p = in->link->nodes;
  const struct peer *peer = find_by_name (p, in->name);
  uint32_t kbps = p->link_kbps;
  if (peer != NULL && takes_parts (p, peer))
    kbps = MIN (kbps, peer->state.load.link_kbps);
  return (struct lineup_arrival){
    .transfer_ns = link_time_ns (f->offered_bytes, kbps),
    .backlog_ns = MAX (admissions_wait_ns (p->admissions, now_ns),
                       f->offer_wait_ms * NS_PER_MS),
    .before = admissions_pending (p->admissions),
  };
}

static void
refuse_offer (struct inbound *in, const struct frame *f,
              struct attempt_result *refusal, int64_t now_ns)
{
  struct nodes *p = in->link->nodes;
  struct frame_state state;
  counter_add (COUNTER_admissions_refused_total, 1);
  if (refusal->reason == REASON_LINK_FULL)
    record_link_full (p, now_ns);
  log_event (EV_ADMISSION_REFUSED,
             "request=%s peer=%s call=%" G_GUINT64_FORMAT
             " reason=%s bytes=%" G_GUINT64_FORMAT
             " wait_ms=%d pending=%u retry_ms=%d",
             f->request.id, in->name, f->call_id,
             reason_word (refusal->reason), f->offered_bytes,
             (int)(admissions_wait_ns (p->admissions, now_ns) / NS_PER_MS),
             admissions_pending (p->admissions),
             (int)(refusal->retry_after_ns / NS_PER_MS));
  fill_state (p, &state);
  link_send (in->link, frame_result (f->call_id, refusal, &state));
}

/* Admit the body that F offers, to be sent after START_NS.  */
static void
admit_offer (struct inbound *in, const struct frame *f, int64_t start_ns)
{
  struct nodes *p = in->link->nodes;
  struct frame_state state;
  counter_add (COUNTER_admissions_total, 1);
  fill_state (p, &state);
  link_send (in->link, frame_admit (f->call_id,
                                    (uint32_t)(start_ns / NS_PER_MS), &state));
}

/* Whether a body of BYTES fits the budget now; if not, *REFUSAL says when it
   may.  */
static bool
has_memory (const struct nodes *p, uint64_t bytes,
            struct attempt_result *refusal)
{
  const struct http_memory *m = p->hooks.memory;
  if (m == NULL)
    return true;
  size_t needed = (size_t)bytes * m->body_copies;
  if (m->reserve (m->arg, needed))
    {
      m->count (m->arg, -(int64_t)needed);
      return true;
    }
  *refusal = attempt_not_run (REASON_MEMORY_FULL,
                              m->retry_after_ns (m->arg, needed));
  return false;
}

/* Another node wants to send a request with a large body.  False if the offer
   is malformed.  */
static bool
on_offer (struct inbound *in, struct frame *f)
{
  struct nodes *p = in->link->nodes;
  int64_t now_ns = clock_now_ns ();
  struct attempt_result refusal;
  if (p->admissions == NULL || g_hash_table_contains (in->jobs, &f->call_id))
    return false;
  admissions_sweep (p->admissions, now_ns, on_admission_end, NULL);
  struct lineup_arrival arrival = expect_arrival (in, f, now_ns);
  int64_t start_ns = admissions_start_ns (p->admissions, now_ns);
  int64_t room_after_ns = admissions_room_after_ns (p->admissions, now_ns);
  f->request.from_peer = true;
  if (!has_memory (p, f->offered_bytes, &refusal)
      || !p->hooks.check_offer (p->hooks.arg, &f->request, &arrival, &refusal))
    {
      refuse_offer (in, f, &refusal, now_ns);
      return true;
    }
  if (room_after_ns > 0)
    {
      refusal = attempt_not_run (REASON_LINK_FULL, room_after_ns);
      refuse_offer (in, f, &refusal, now_ns);
      return true;
    }
  if (!admissions_add (p->admissions, in, f->call_id, f->offered_bytes,
                       arrival.backlog_ns + arrival.transfer_ns,
                       f->request.deadline_ns, now_ns))
    return false;
  admit_offer (in, f, start_ns);
  return true;
}

/* False if the frame is not allowed now.  */
static bool
on_inbound_frame (struct inbound *in, struct frame *f)
{
  struct nodes *p = in->link->nodes;
  switch (f->kind)
    {
    case FRAME_OFFER:
      return on_offer (in, f);
    case FRAME_HELLO:
      on_hello (in, &f->node);
      break;
    case FRAME_REQUEST:
      if (is_repeated (in, f))
        return false;
      add_inbound_job (in, f);
      break;
    case FRAME_CANCEL:
      cancel_inbound_job (in, f->call_id, f->left_ns);
      break;
    case FRAME_FETCH:
      send_document (in, f->document_type);
      break;
    case FRAME_HANDOVER:
      p->hooks.on_handover (p->hooks.arg, &f->handover);
      break;
    default:
      break;
    }
  return true;
}

/* The connection of the dialling node is lost, so its requests are
   cancelled.  */
static void
close_inbound (struct inbound *in)
{
  struct nodes *p = in->link->nodes;
  GList *jobs = g_hash_table_get_values (in->jobs);
  for (GList *l = jobs; l != NULL; l = l->next)
    if (((struct inbound_job *)l->data)->started)
      p->hooks.cancel_request (p->hooks.arg,
                               ((struct inbound_job *)l->data)->handle, 0);
  g_list_free (jobs);
  g_hash_table_destroy (in->jobs);
  if (p->admissions != NULL)
    admissions_close (p->admissions, in);
  g_queue_unlink (&p->inbounds, &in->list_link);
  in->link->inbound = NULL;
  link_close (in->link);
  g_free (in);
}

/* Input of all links.  */

static void
on_link_lost (struct link *link, const char *cause)
{
  if (link->peer != NULL)
    lose_peer (link->peer, cause);
  else if (link->inbound != NULL)
    close_inbound (link->inbound);
  else
    link_close (link);
}

static bool
refuse_frame (const char *cause)
{
  counter_add (COUNTER_peer_bad_messages_total, 1);
  log_event (EV_PEER_BAD_MESSAGE, "cause=\"%s\"", cause);
  return false;
}

static bool
process_whole_frame (struct link *link, struct frame *f)
{
  bool valid = true;
  if (link->peer != NULL)
    on_peer_frame (link->peer, f, clock_now_ns ());
  else if (link->inbound != NULL)
    valid = on_inbound_frame (link->inbound, f);
  attempt_request_clear (&f->request);
  return valid || refuse_frame ("frame not allowed now");
}

/* Count a frame of LENGTH bytes that arrived in parts.  */
static void
count_assembled (struct link *link, size_t length)
{
  const struct http_memory *m = link->nodes->hooks.memory;
  if (m == NULL)
    return;
  link->reserved = length * m->body_copies;
  m->count (m->arg, (int64_t)link->reserved);
}

/* Process a frame that arrived in parts: DATA includes its length prefix.  */
static bool
process_assembled (struct link *link, const GString *data)
{
  struct frame f;
  uint32_t length = 0;
  if (data->len >= FRAME_HEADER_BYTES)
    memcpy (&length, data->str, sizeof length);
  if (data->len < FRAME_HEADER_BYTES
      || data->len - FRAME_HEADER_BYTES != GUINT32_FROM_BE (length))
    return refuse_frame ("length of an assembled frame");
  if (frame_parse (data->str + FRAME_HEADER_BYTES,
                   data->len - FRAME_HEADER_BYTES, &f)
      != STATUS_OK)
    return refuse_frame (status_message ());
  if (f.kind == FRAME_PART)
    return refuse_frame ("part within a part");
  f.in_parts = true;
  count_assembled (link, data->len);
  bool valid = process_whole_frame (link, &f);
  release_memory (link->nodes, link->reserved);
  link->reserved = 0;
  return valid;
}

/* A part of an admitted request is no other traffic.  */
static void
count_part (struct inbound *in, const struct frame *f, int64_t now_ns)
{
  const struct nodes *p = in->link->nodes;
  if (p->admissions != NULL
      && admissions_receive (p->admissions, in, f->stream, f->length))
    admissions_count_other (p->admissions, -(double)f->length, now_ns);
}

static bool
process_part (struct link *link, const struct frame *f)
{
  GString *data = NULL;
  int64_t now_ns = clock_now_ns ();
  if (link->peer != NULL)
    link->peer->received_ns = link->peer->heard_of_ns = now_ns;
  else if (link->inbound != NULL)
    count_part (link->inbound, f, now_ns);
  switch (assembly_add (link->assembly, f->stream, f->part_flags, f->text,
                        f->length, now_ns, &data))
    {
    case ASSEMBLY_MALFORMED:
      return refuse_frame ("part of a stream");
    case ASSEMBLY_UNKNOWN:
      counter_add (COUNTER_parts_dropped_total, 1);
      return true;
    case ASSEMBLY_COMPLETE:
      break;
    default:
      return true;
    }
  bool valid = process_assembled (link, data);
  g_string_free (data, TRUE);
  return valid;
}

/* Process one frame, without its length prefix.  False if it is malformed.  */
static bool
process_frame (struct link *link, const char *data, size_t length)
{
  struct frame f;
  if (frame_parse (data, length, &f) != STATUS_OK)
    return refuse_frame (status_message ());
  counter_add (COUNTER_peer_messages_in_total, 1);
  return f.kind == FRAME_PART ? process_part (link, &f)
                              : process_whole_frame (link, &f);
}

/* Reserve memory for the frame of LENGTH bytes that begins with the SIZE bytes
   at DATA.  A request that does not fit is refused before it is read; other
   frames are counted.  False if the frame is to be skipped.  */
static bool
reserve_frame (struct link *link, const char *data, size_t size,
               uint32_t length)
{
  struct nodes *p = link->nodes;
  const struct http_memory *m = p->hooks.memory;
  uint64_t call_id;
  if (m == NULL || length < COUNTED_FRAME_BYTES || link->reserved > 0)
    return true;
  size_t bytes = (size_t)length * m->body_copies;
  /* Results that are ready are always delivered.  */
  bool fits = link->inbound != NULL && m->reserve (m->arg, bytes);
  if (!fits && link->inbound != NULL
      && frame_peek_request (data, size, &call_id))
    {
      struct frame_state state;
      struct attempt_result result = attempt_not_run (
          REASON_MEMORY_FULL, m->retry_after_ns (m->arg, bytes));
      p->hooks.fill_state (p->hooks.arg, &state);
      link_send (link, frame_result (call_id, &result, &state));
      return false;
    }
  if (!fits)
    m->count (m->arg, (int64_t)bytes);
  link->reserved = bytes;
  return true;
}

/* Drop from the input of LINK what belongs to a skipped frame.  */
static void
skip_input (struct link *link)
{
  size_t bytes = MIN (link->skip_bytes, link->input->len);
  if (bytes > 0)
    g_byte_array_remove_range (link->input, 0, (guint)bytes);
  link->skip_bytes -= bytes;
}

/* Remove the USED bytes that were processed.  A large buffer is not kept.  */
static void
consume_input (struct link *link, size_t used)
{
  GByteArray *input = link->input;
  if (used < COUNTED_FRAME_BYTES)
    {
      g_byte_array_remove_range (input, 0, (guint)used);
      return;
    }
  link->input = g_byte_array_new ();
  g_byte_array_append (link->input, input->data + used,
                       input->len - (guint)used);
  g_byte_array_free (input, TRUE);
}

static void
process_input (struct link *link)
{
  size_t used = 0;
  skip_input (link);
  while (!link->closed && link->input->len - used >= FRAME_HEADER_BYTES)
    {
      uint32_t length;
      memcpy (&length, link->input->data + used, sizeof length);
      length = GUINT32_FROM_BE (length);
      if (length > FRAME_BYTES_MAX)
        {
          on_link_lost (link, "malformed");
          return;
        }
      const char *data
          = (const char *)link->input->data + used + FRAME_HEADER_BYTES;
      size_t size = link->input->len - used - FRAME_HEADER_BYTES;
      if (size < MIN (length, FRAME_PEEK_BYTES))
        break;
      if (!reserve_frame (link, data, size, length))
        {
          used += FRAME_HEADER_BYTES + MIN (size, length);
          link->skip_bytes = length - MIN (size, length);
          continue;
        }
      if (size < length)
        break;
      used += FRAME_HEADER_BYTES + length;
      if (!process_frame (link, data, length))
        {
          on_link_lost (link, "malformed");
          return;
        }
      release_memory (link->nodes, link->reserved);
      link->reserved = 0;
    }
  if (!link->closed && used > 0)
    consume_input (link, used);
}

static void
on_read (uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
  struct link *link = stream->data;
  if (link->closed || length == 0)
    return;
  if (length < 0)
    {
      on_link_lost (link, length == UV_EOF ? "closed" : "reset");
      return;
    }
  counter_add (COUNTER_peer_bytes_in_total, (uint64_t)length);
  nodes_count_caller_bytes_in (link->nodes, (size_t)length);
  if (link->inbound != NULL)
    link->inbound->read_ns = clock_now_ns ();
  g_byte_array_append (link->input, (const guint8 *)buffer->base,
                       (guint)length);
  process_input (link);
}

/* Dialling.  */

static void
on_connected (uv_connect_t *request, int status)
{
  struct link *link = request->data;
  struct peer *peer = link->peer;
  if (link->closed || peer == NULL)
    return;
  if (status != 0)
    {
      lose_peer (peer, "refused");
      return;
    }
  net_set_options (&link->tcp, silence_timeout_ms (peer->nodes));
  sender_open_lane (peer->nodes->sender, &link->lane, &link->tcp);
  uv_read_start ((uv_stream_t *)&link->tcp, net_alloc_buffer, on_read);
  peer->received_ns = clock_now_ns ();
  link_send (link, frame_hello (&peer->nodes->self));
}

static void
on_peer_timer (uv_timer_t *timer)
{
  struct peer *peer = timer->data;
  struct nodes *p = peer->nodes;
  int64_t now_ns = clock_now_ns ();
  if (peer->link == NULL)
    {
      struct sockaddr_storage at;
      peer->link = link_new (p);
      peer->link->peer = peer;
      peer->received_ns = now_ns;
      peer->connect_request.data = peer->link;
      settings_address_to_sockaddr (&peer->address, &at);
      if (uv_tcp_connect (&peer->connect_request, &peer->link->tcp,
                          (struct sockaddr *)&at, on_connected)
          != 0)
        lose_peer (peer, "connect");
      else
        uv_timer_start (&peer->timer, on_peer_timer, CONNECT_TIMEOUT_MS, 0);
      return;
    }
  /* Check whether the connection took too long, or the node is silent.  */
  int64_t limit_ns
      = (peer->connected ? silence_timeout_ms (p) : CONNECT_TIMEOUT_MS)
        * NS_PER_MS;
  if (now_ns - peer->received_ns >= limit_ns)
    lose_peer (peer, "silent");
  else
    uv_timer_start (
        &peer->timer, on_peer_timer,
        (uint64_t)((peer->received_ns + limit_ns - now_ns) / NS_PER_MS) + 1,
        0);
}

static void
dial_later (struct peer *peer)
{
  uint32_t delay_ms = peer->dial_backoff_ms;
  peer->dial_backoff_ms *= 2;
  if (peer->dial_backoff_ms > DIAL_BACKOFF_MAX_MS)
    peer->dial_backoff_ms = DIAL_BACKOFF_MAX_MS;
  delay_ms += (uint32_t)g_random_int_range (0, (gint32)delay_ms);
  uv_timer_start (&peer->timer, on_peer_timer, delay_ms, 0);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct nodes *p = listener->data;
  if (status != 0)
    return;
  struct link *link = link_new (p);
  if (uv_accept (listener, (uv_stream_t *)&link->tcp) != 0)
    {
      link_close (link);
      return;
    }
  struct inbound *in = g_new0 (struct inbound, 1);
  in->link = link;
  in->list_link.data = in;
  in->jobs = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                    inbound_job_free);
  link->inbound = in;
  g_queue_push_tail_link (&p->inbounds, &in->list_link);
  net_set_options (&link->tcp, silence_timeout_ms (p));
  sender_open_lane (p->sender, &link->lane, &link->tcp);
  uv_read_start ((uv_stream_t *)&link->tcp, net_alloc_buffer, on_read);
}

/* Drop frames whose sender stopped midway.  */
static void
expire_parts (struct nodes *p, int64_t now_ns)
{
  GHashTableIter iter;
  gpointer value;
  int64_t since_ns = now_ns - PART_TIMEOUT_NS;
  if (p->admissions != NULL)
    admissions_sweep (p->admissions, now_ns, on_admission_end, NULL);
  for (GList *l = p->inbounds.head; l != NULL; l = l->next)
    assembly_expire (((struct inbound *)l->data)->link->assembly, since_ns);
  g_hash_table_iter_init (&iter, p->by_address);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct peer *)value)->link != NULL)
      assembly_expire (((struct peer *)value)->link->assembly, since_ns);
}

static void
on_state_timer (uv_timer_t *timer)
{
  struct nodes *p = timer->data;
  nodes_broadcast_state (p);
  expire_parts (p, clock_now_ns ());
  uv_timer_start (timer, on_state_timer, state_interval_ms (p), 0);
}

struct nodes *
nodes_open (uv_loop_t *loop, const struct frame_node *self, uint32_t link_kbps,
            const struct nodes_hooks *hooks)
{
  struct nodes *p = g_new0 (struct nodes, 1);
  p->loop = loop;
  p->self = *self;
  p->link_kbps = link_kbps;
  p->sender = sender_new (loop, link_kbps);
  p->admissions = link_kbps == 0 ? NULL : admissions_new (link_kbps);
  p->hooks = *hooks;
  p->by_address = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&p->inbounds);
  if (net_listen (loop, &p->listener, &self->address, on_connection)
      != STATUS_OK)
    return NULL;
  p->listener.data = p;
  uv_timer_init (loop, &p->state_timer);
  p->state_timer.data = p;
  after_poll_init (&p->start, loop, start_arrived, p);
  uv_timer_init (loop, &p->held_timer);
  p->held_timer.data = p;
  uv_timer_start (&p->state_timer, on_state_timer, STATE_INTERVAL_MS, 0);
  return p;
}

static struct peer *
find_by_address (const struct nodes *p, const struct settings_address *address)
{
  char text[ADDRESS_TEXT_BYTES];
  settings_address_format (address, text);
  return g_hash_table_lookup (p->by_address, text);
}

void
nodes_add (struct nodes *p, const struct settings_address *address)
{
  char text[ADDRESS_TEXT_BYTES];
  struct sockaddr_storage at;
  struct peer *peer = find_by_address (p, address);
  if (settings_address_to_sockaddr (address, &at) != STATUS_OK)
    {
      log_event (EV_PEER_BAD_MESSAGE, "cause=\"address\" host=%s",
                 address->host);
      return;
    }
  if (peer != NULL)
    {
      peer->heard_of_ns = clock_now_ns ();
      /* The node is alive: dial at once if an earlier attempt failed.  */
      if (peer->link == NULL)
        {
          peer->dial_backoff_ms = DIAL_BACKOFF_MIN_MS;
          uv_timer_start (&peer->timer, on_peer_timer, 0, 0);
        }
      return;
    }
  if (settings_address_equal (address, &p->self.address))
    return;
  settings_address_format (address, text);
  peer = g_new0 (struct peer, 1);
  peer->nodes = p;
  peer->address = *address;
  peer->heard_of_ns = clock_now_ns ();
  peer->dial_backoff_ms = DIAL_BACKOFF_MIN_MS;
  peer->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  uv_timer_init (p->loop, &peer->timer);
  peer->timer.data = peer;
  g_hash_table_insert (p->by_address, g_strdup (text), peer);
  uv_timer_start (&peer->timer, on_peer_timer, 0, 0);
}

static void
fill_view (const struct peer *peer, struct node_view *view)
{
  view->node = &peer->node;
  view->state = &peer->state;
  view->clock_offset_ns = peer->clock_offset_ns;
  view->sent_since_report = peer->sent_since_report;
  view->bytes_since_report = peer->bytes_since_report;
}

int64_t
nodes_transfer_ns (const struct nodes *p, const struct node_view *view,
                   size_t body_bytes)
{
  uint32_t their_kbps = view->state->load.link_kbps;
  if (p->link_kbps == 0 || their_kbps == 0)
    return 0;
  int64_t wait_ns = (int64_t)view->state->load.link_wait_ms * NS_PER_MS
                    + link_time_ns (view->bytes_since_report, their_kbps);
  if (body_bytes <= LINK_SMALL_BYTES)
    return wait_ns;
  /* What both links have to do before the body is done at the same time.  */
  wait_ns = MAX (wait_ns, sender_wait_ns (p->sender));
  return wait_ns + link_time_ns (body_bytes, MIN (p->link_kbps, their_kbps));
}

void
nodes_visit (const struct nodes *p, nodes_visitor *each, void *arg)
{
  GHashTableIter iter;
  gpointer value;
  struct node_view view;
  g_hash_table_iter_init (&iter, p->by_address);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      if (!peer->connected)
        continue;
      fill_view (peer, &view);
      if (!each (arg, &view))
        return;
    }
}

uint32_t
nodes_count_known (const struct nodes *p, int64_t since_ns)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 1;
  g_hash_table_iter_init (&iter, p->by_address);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((const struct peer *)value)->heard_of_ns >= since_ns;
  return count;
}

static struct peer *
find_by_name (const struct nodes *p, const char *name)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, p->by_address);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;
      if (peer->connected && strcmp (peer->node.name, name) == 0)
        return peer;
    }
  return NULL;
}

void
nodes_count_caller_bytes_in (struct nodes *p, size_t bytes)
{
  if (p->admissions != NULL)
    admissions_count_other (p->admissions, (double)bytes, clock_now_ns ());
}

void
nodes_count_caller_bytes_out (struct nodes *p, size_t bytes)
{
  sender_charge (p->sender, bytes);
}

/* Whether to ask the other node before the body is sent.  */
static bool
must_offer (const struct nodes *p, const struct peer *peer,
            const struct attempt_request *request)
{
  return takes_parts (p, peer) && request->body->len > LINK_SMALL_BYTES
         && link_time_ns (request->body->len,
                          MIN (p->link_kbps, peer->state.load.link_kbps))
                > OFFER_MIN_NS;
}

struct node_call *
nodes_send (struct nodes *p, const char *name,
            const struct attempt_request *request, attempt_done *done,
            void *arg)
{
  struct peer *peer = find_by_name (p, name);
  if (peer == NULL)
    return NULL;
  struct node_call *call = g_new0 (struct node_call, 1);
  call->peer = peer;
  call->call_id = ++p->last_call_id;
  call->done = done;
  call->arg = arg;
  g_hash_table_insert (peer->calls, &call->call_id, call);
  peer->sent_since_report++;
  if (request->body->len > LINK_SMALL_BYTES)
    peer->bytes_since_report += request->body->len;
  counter_add (COUNTER_requests_forwarded_total, 1);
  if (must_offer (p, peer, request))
    {
      call->offered = request;
      counter_add (COUNTER_offers_total, 1);
      link_send (peer->link, frame_offer (call->call_id, request, &peer->terms,
                                          peer->clock_offset_ns,
                                          (uint32_t)(sender_wait_ns (p->sender)
                                                     / NS_PER_MS)));
    }
  else
    send_request (call, request, 0);
  return call;
}

bool
nodes_cancel (struct node_call *call, int64_t left_ns)
{
  struct peer *peer = call->peer;
  if (peer == NULL)
    {
      call->done = NULL; /* it is about to be ended and freed */
      return call->not_run;
    }
  bool not_run = withdraw_call (call);
  g_hash_table_remove (peer->calls, &call->call_id);
  link_send (
      peer->link,
      frame_cancel (call->call_id,
                    left_ns == 0 ? 0 : left_ns + peer->clock_offset_ns));
  g_free (call);
  return not_run;
}

bool
nodes_request_document (struct nodes *p,
                        const struct settings_address *address,
                        enum frame_document_type document_type)
{
  struct peer *peer = find_by_address (p, address);
  if (peer == NULL || !peer->connected)
    return false;
  return link_send (peer->link, frame_fetch (document_type));
}

void
nodes_broadcast_document (struct nodes *p,
                          enum frame_document_type document_type,
                          const char *text, size_t length)
{
  for (GList *l = p->inbounds.head; l != NULL; l = l->next)
    {
      struct inbound *in = l->data;
      if (in->state_sent)
        link_send (in->link, frame_document (document_type, 0, text, length));
    }
}

void
nodes_send_handover (struct nodes *p, const char *name,
                     const struct frame_handover *h)
{
  struct peer *peer = find_by_name (p, name);
  if (peer != NULL)
    link_send (peer->link, frame_handover (h));
}

const struct frame_node *
nodes_find (const struct nodes *p, const char *name,
            const struct frame_state **state)
{
  const struct peer *peer = find_by_name (p, name);
  if (peer == NULL)
    return NULL;
  *state = &peer->state;
  return &peer->node;
}

int64_t
nodes_sent_ns (const struct nodes *p, const char *name, int64_t clock_ns)
{
  const struct peer *peer = find_by_name (p, name);
  return peer == NULL ? 0 : clock_ns - peer->clock_offset_ns;
}

/* Send the state to the nodes of ZONE, or of all, for which IS_MEMBER returns
   true.  Either may be NULL.  */
static void
broadcast (struct nodes *p, const char *zone, nodes_filter *is_member,
           void *arg)
{
  struct frame_state state;
  fill_state (p, &state);
  for (GList *l = p->inbounds.head; l != NULL; l = l->next)
    {
      struct inbound *in = l->data;
      if (in->state_sent && (zone == NULL || strcmp (zone, in->zone) == 0)
          && (is_member == NULL || is_member (arg, in->name)))
        link_send (in->link, frame_state (&p->self, false, &state));
    }
}

void
nodes_broadcast_state (struct nodes *p)
{
  broadcast (p, NULL, NULL, NULL);
}

void
nodes_broadcast_zone_state (struct nodes *p)
{
  broadcast (p, p->self.zone, NULL, NULL);
}

void
nodes_broadcast_group_state (struct nodes *p, nodes_filter *is_member,
                             void *arg)
{
  broadcast (p, p->self.zone, is_member, arg);
}

static bool
link_is_idle (const struct link *link)
{
  return g_queue_is_empty ((GQueue *)&link->lane.unsent)
         && g_queue_is_empty ((GQueue *)&link->lane.streams)
         && net_undelivered_bytes ((const uv_stream_t *)&link->tcp) == 0;
}

bool
nodes_is_idle (const struct nodes *p)
{
  GHashTableIter iter;
  gpointer value;
  for (GList *l = p->inbounds.head; l != NULL; l = l->next)
    {
      const struct inbound *in = l->data;
      if (g_hash_table_size (in->jobs) > 0 || !link_is_idle (in->link))
        return false;
    }
  g_hash_table_iter_init (&iter, p->by_address);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      if (peer->connected && !link_is_idle (peer->link))
        return false;
    }
  return true;
}
