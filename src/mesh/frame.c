#include "mesh/frame.h"

#include "mesh/assembly.h"

#include <msgpack.h>
#include <string.h>

/* Serialization.  */

struct writer
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
};

static void
writer_begin (struct writer *w, enum frame_kind kind, size_t items)
{
  msgpack_sbuffer_init (&w->buffer);
  msgpack_packer_init (&w->packer, &w->buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&w->packer, items + 1);
  msgpack_pack_uint8 (&w->packer, (uint8_t)kind);
}

static GString *
writer_finish (struct writer *w)
{
  uint32_t length = GUINT32_TO_BE ((uint32_t)w->buffer.size);
  GString *out = g_string_sized_new (w->buffer.size + FRAME_HEADER_BYTES);
  g_string_append_len (out, (const char *)&length, FRAME_HEADER_BYTES);
  g_string_append_len (out, w->buffer.data, (gssize)w->buffer.size);
  msgpack_sbuffer_destroy (&w->buffer);
  return out;
}

static void
put_bytes (struct writer *w, const char *data, size_t length)
{
  msgpack_pack_bin_with_body (&w->packer, data, length);
}

static void
put_text (struct writer *w, const char *text)
{
  put_bytes (w, text, strlen (text));
}

static void
put_int (struct writer *w, int64_t value)
{
  msgpack_pack_int64 (&w->packer, value);
}

static void
put_uint (struct writer *w, uint64_t value)
{
  msgpack_pack_uint64 (&w->packer, value);
}

/* First bytes of MessagePack arrays.  */
enum
{
  MSGPACK_FIXARRAY = 0x90,
  MSGPACK_FIXARRAY_MASK = 0xf0,
  MSGPACK_ARRAY16 = 0xdc
};

enum
{
  NODE_ITEMS = 6,
  STATE_ITEMS = 11,
  STATE_EXTRA_ITEMS = 8,
  REQUEST_ITEMS = 10,
  RESULT_ITEMS = 10,
  HANDOVER_ITEMS = 3
};

static void
put_node (struct writer *w, const struct frame_node *n)
{
  put_text (w, n->name);
  put_text (w, n->service);
  put_text (w, n->zone);
  put_text (w, n->address.host);
  put_uint (w, n->address.port);
  put_uint (w, n->start_id);
}

static void
put_state (struct writer *w, const struct frame_state *s)
{
  put_int (w, s->clock_ns);
  /* 0: it accepts nothing.  A node of an earlier version takes any other
     number for a target without a limit.  */
  put_uint (w,
            s->load.accepting ? 1 + (uint64_t)s->load.start_interval_ms : 0);
  put_uint (w, s->load.slots);
  put_uint (w, s->load.running);
  put_uint (w, s->load.waiting);
  put_uint (w, s->load.queue_wait_ms);
  put_uint (w, s->load.failure_pct);
  put_uint (w, s->load.warmup_remaining_ms);
  put_uint (w, s->watch_healthy);
  put_uint (w, s->routes_version);
  put_uint (w, s->cell_serial);
}

/* Whether S has fields that nodes of earlier versions do not know.  */
static bool
has_extra (const struct frame_state *s)
{
  return s->evacuations.version != 0 || s->load.link_kbps != 0
         || s->load.link_wait_ms != 0 || s->load.pace_pct != 0
         || s->confirmed.clock_ns != 0;
}

/* The last item of a frame, an array, because nodes of earlier versions ignore
   what follows the items that they know.  */
static void
put_extra (struct writer *w, const struct frame_state *s)
{
  if (!has_extra (s))
    return;
  msgpack_pack_array (&w->packer, STATE_EXTRA_ITEMS);
  put_uint (w, s->evacuations.version);
  put_uint (w, s->evacuations.digest);
  put_uint (w, s->load.link_kbps);
  put_uint (w, s->load.link_wait_ms);
  put_uint (w, s->load.pace_pct);
  put_int (w, s->confirmed.clock_ns);
  put_int (w, s->confirmed.revision);
  put_uint (w, s->confirmed.era);
}

/* Bits of the first item of a target's terms, which is the only one unless the
   target is limited or leaving.  */
enum
{
  TERMS_KNOWN = 1,
  TERMS_LIMITED = 2,
  TERMS_LEAVING = 4,
  TERMS_FLAGS_MAX = 7
};

/* Rates travel in thousandths of a request a second.  */
#define RATE_UNIT 1000

static size_t
terms_items (const struct target_terms *t)
{
  return target_terms_plain (t) ? 1 : 4;
}

static void
put_terms (struct writer *w, const struct target_terms *t)
{
  put_uint (w, (t->known ? TERMS_KNOWN : 0)
                   | (t->known && t->limited ? TERMS_LIMITED : 0)
                   | (t->known && t->leaving ? TERMS_LEAVING : 0));
  if (target_terms_plain (t))
    return;
  put_uint (w, (uint64_t)(t->rate_max * RATE_UNIT));
  put_text (w, t->target_id);
  put_int (w, t->started_ms);
}

GString *
frame_hello (const struct frame_node *node)
{
  struct writer w;
  writer_begin (&w, FRAME_HELLO, NODE_ITEMS);
  put_node (&w, node);
  return writer_finish (&w);
}

GString *
frame_state (const struct frame_node *node, bool with_node,
             const struct frame_state *state)
{
  struct writer w;
  bool extra = has_extra (state);
  with_node = with_node || extra;
  writer_begin (&w, FRAME_STATE,
                STATE_ITEMS + (with_node ? NODE_ITEMS : 0) + extra);
  put_state (&w, state);
  if (with_node)
    put_node (&w, node);
  put_extra (&w, state);
  return writer_finish (&w);
}

/* What a REQUEST and an OFFER have in common.  */
static void
put_attempt (struct writer *w, uint64_t call_id,
             const struct attempt_request *r, int64_t clock_offset_ns)
{
  put_uint (w, call_id);
  put_text (w, r->id);
  put_uint (w, r->route_hash);
  put_uint (w, r->idempotent);
  put_uint (w, r->priority);
  put_int (w, r->soft_deadline_ns + clock_offset_ns);
  put_int (w, r->deadline_ns + clock_offset_ns);
  put_int (w, r->key);
}

GString *
frame_request (uint64_t call_id, const struct attempt_request *r,
               const struct target_terms *terms, int64_t clock_offset_ns,
               int64_t sent_ns)
{
  struct writer w;
  writer_begin (&w, FRAME_REQUEST, REQUEST_ITEMS + terms_items (terms) + 1);
  put_attempt (&w, call_id, r, clock_offset_ns);
  put_bytes (&w, r->head->str, r->head->len);
  put_bytes (&w, r->body->str, r->body->len);
  put_terms (&w, terms);
  put_int (&w, sent_ns + clock_offset_ns);
  return writer_finish (&w);
}

GString *
frame_cancel (uint64_t call_id, int64_t left_ns)
{
  struct writer w;
  writer_begin (&w, FRAME_CANCEL, 2);
  put_uint (&w, call_id);
  put_int (&w, left_ns);
  return writer_finish (&w);
}

GString *
frame_result (uint64_t call_id, const struct attempt_result *r,
              const struct frame_state *state)
{
  struct writer w;
  writer_begin (&w, FRAME_RESULT,
                RESULT_ITEMS + STATE_ITEMS + terms_items (&r->terms)
                    + has_extra (state));
  put_state (&w, state);
  put_uint (&w, call_id);
  put_uint (&w, r->outcome);
  put_uint (&w, r->reason);
  put_uint (&w, r->reached_target);
  put_uint (&w, r->target_failed);
  put_int (&w, r->status);
  put_bytes (&w, r->head == NULL ? "" : r->head, r->head_length);
  put_bytes (&w, r->body == NULL ? "" : r->body, r->body_length);
  put_int (&w, r->retry_after_ns);
  put_int (&w, r->service_time_ns);
  put_terms (&w, &r->terms);
  put_extra (&w, state);
  return writer_finish (&w);
}

GString *
frame_fetch (enum frame_document_type document_type)
{
  struct writer w;
  writer_begin (&w, FRAME_FETCH, 1);
  put_uint (&w, document_type);
  return writer_finish (&w);
}

GString *
frame_document (enum frame_document_type document_type, int64_t revision,
                const char *text, size_t length)
{
  struct writer w;
  writer_begin (&w, FRAME_DOCUMENT, 3);
  put_uint (&w, document_type);
  put_int (&w, revision);
  put_bytes (&w, text, length);
  return writer_finish (&w);
}

GString *
frame_handover (const struct frame_handover *h)
{
  struct writer w;
  writer_begin (&w, FRAME_HANDOVER, HANDOVER_ITEMS);
  put_uint (&w, h->from);
  put_uint (&w, h->to);
  put_text (&w, h->payload);
  return writer_finish (&w);
}

GString *
frame_offer (uint64_t call_id, const struct attempt_request *r,
             const struct target_terms *terms, int64_t clock_offset_ns,
             uint32_t wait_ms)
{
  struct writer w;
  writer_begin (&w, FRAME_OFFER, REQUEST_ITEMS + terms_items (terms));
  put_attempt (&w, call_id, r, clock_offset_ns);
  put_uint (&w, r->head->len + r->body->len);
  put_uint (&w, wait_ms);
  put_terms (&w, terms);
  return writer_finish (&w);
}

GString *
frame_admit (uint64_t call_id, uint32_t start_ms,
             const struct frame_state *state)
{
  struct writer w;
  writer_begin (&w, FRAME_ADMIT, STATE_ITEMS + 2 + has_extra (state));
  put_state (&w, state);
  put_uint (&w, call_id);
  put_uint (&w, start_ms);
  put_extra (&w, state);
  return writer_finish (&w);
}

GString *
frame_part (uint64_t stream, uint32_t flags, const char *data, size_t length)
{
  struct writer w;
  writer_begin (&w, FRAME_PART, 3);
  put_uint (&w, stream);
  put_uint (&w, flags);
  put_bytes (&w, data, length);
  return writer_finish (&w);
}

/* Parsing.  */

/* A cursor over the items of a frame.  An item that is missing or has the
   wrong type clears VALID and reads as zero.  */
struct reader
{
  const msgpack_object *next;
  const msgpack_object *end;
  bool valid;
};

static const msgpack_object *
next_item (struct reader *r)
{
  static const msgpack_object nil = { .type = MSGPACK_OBJECT_NIL };
  if (r->next < r->end)
    return r->next++;
  r->valid = false;
  return &nil;
}

static uint64_t
read_uint (struct reader *r)
{
  const msgpack_object *o = next_item (r);
  if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
    return o->via.u64;
  r->valid = false;
  return 0;
}

static uint32_t
read_u32 (struct reader *r)
{
  uint64_t value = read_uint (r);
  if (value > UINT32_MAX)
    r->valid = false;
  return (uint32_t)value;
}

static int64_t
read_int (struct reader *r)
{
  const msgpack_object *o = next_item (r);
  if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER && o->via.u64 <= INT64_MAX)
    return (int64_t)o->via.u64;
  if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return o->via.i64;
  r->valid = false;
  return 0;
}

static const char *
read_bytes (struct reader *r, size_t *length)
{
  const msgpack_object *o = next_item (r);
  *length = 0;
  if (o->type != MSGPACK_OBJECT_BIN)
    {
      r->valid = false;
      return "";
    }
  *length = o->via.bin.size;
  return o->via.bin.ptr;
}

static void
read_text (struct reader *r, char *out, size_t size)
{
  size_t length;
  const char *bytes = read_bytes (r, &length);
  if (length >= size || memchr (bytes, '\0', length) != NULL)
    {
      r->valid = false;
      length = 0;
    }
  memcpy (out, bytes, length);
  out[length] = '\0';
}

static void
read_node (struct reader *r, struct frame_node *n)
{
  read_text (r, n->name, sizeof n->name);
  read_text (r, n->service, sizeof n->service);
  read_text (r, n->zone, sizeof n->zone);
  read_text (r, n->address.host, sizeof n->address.host);
  uint32_t port = read_u32 (r);
  n->start_id = read_uint (r);
  if (port == 0 || port > UINT16_MAX || n->name[0] == '\0')
    r->valid = false;
  n->address.port = (uint16_t)port;
}

static void
read_state (struct reader *r, struct frame_state *s)
{
  s->clock_ns = read_int (r);
  uint64_t accepting = read_uint (r);
  s->load.accepting = accepting != 0;
  s->load.start_interval_ms
      = accepting == 0 ? 0 : (uint32_t)MIN (accepting - 1, UINT32_MAX);
  s->load.slots = read_u32 (r);
  s->load.running = read_u32 (r);
  s->load.waiting = read_u32 (r);
  s->load.queue_wait_ms = read_u32 (r);
  s->load.failure_pct = read_u32 (r);
  s->load.warmup_remaining_ms = read_u32 (r);
  s->watch_healthy = read_uint (r) != 0;
  s->routes_version = read_uint (r);
  s->cell_serial = read_u32 (r);
}

/* Read the fields of S that nodes of earlier versions do not send.  */
static void
read_extra (struct reader *r, struct frame_state *s)
{
  if (r->next == r->end)
    return;
  const msgpack_object *o = next_item (r);
  if (o->type != MSGPACK_OBJECT_ARRAY)
    {
      r->valid = false;
      return;
    }
  struct reader extra = { .next = o->via.array.ptr,
                          .end = o->via.array.ptr + o->via.array.size,
                          .valid = true };
  s->evacuations.version = read_uint (&extra);
  s->evacuations.digest = read_uint (&extra);
  s->load.link_kbps = read_u32 (&extra);
  s->load.link_wait_ms = read_u32 (&extra);
  s->load.pace_pct = read_u32 (&extra);
  if (extra.next < extra.end)
    {
      s->confirmed.clock_ns = read_int (&extra);
      s->confirmed.revision = read_int (&extra);
      s->confirmed.era = read_u32 (&extra);
    }
  r->valid = r->valid && extra.valid;
}

static void
read_terms (struct reader *r, struct target_terms *t)
{
  /* Nodes of earlier versions send none.  */
  uint64_t flags = r->next < r->end ? read_uint (r) : 0;
  if (flags > TERMS_FLAGS_MAX)
    r->valid = false;
  t->known = (flags & TERMS_KNOWN) != 0;
  t->limited = (flags & TERMS_LIMITED) != 0;
  t->leaving = (flags & TERMS_LEAVING) != 0;
  if (target_terms_plain (t))
    return;
  t->rate_max = (double)read_uint (r) / RATE_UNIT;
  read_text (r, t->target_id, sizeof t->target_id);
  t->started_ms = read_int (r);
}

static GString *
read_string (struct reader *r)
{
  size_t length;
  const char *bytes = read_bytes (r, &length);
  return g_string_new_len (bytes, (gssize)length);
}

/* A time that nodes of earlier versions do not send: 0.  */
static int64_t
read_added_time (struct reader *r)
{
  return r->next < r->end ? read_int (r) : 0;
}

static void
read_attempt (struct reader *r, struct frame *f)
{
  struct attempt_request *q = &f->request;
  f->call_id = read_uint (r);
  read_text (r, q->id, sizeof q->id);
  q->route_hash = read_u32 (r);
  q->idempotent = read_uint (r) != 0;
  q->priority = read_u32 (r);
  q->soft_deadline_ns = read_int (r);
  q->deadline_ns = read_int (r);
  q->key = (int32_t)read_int (r);
}

static void
read_request (struct reader *r, struct frame *f)
{
  struct attempt_request *q = &f->request;
  read_attempt (r, f);
  q->head = read_string (r);
  q->body = read_string (r);
  read_terms (r, &q->terms);
  q->sent_on_ns = read_added_time (r);
}

static void
read_result (struct reader *r, struct frame *f)
{
  struct attempt_result *a = &f->result;
  read_state (r, &f->state);
  f->call_id = read_uint (r);
  uint32_t outcome = read_u32 (r);
  uint32_t reason = read_u32 (r);
  if (outcome >= OUTCOME_COUNT || reason >= REASON_COUNT)
    r->valid = false;
  a->outcome = (enum outcome)outcome;
  a->reason = (enum reason)reason;
  a->reached_target = read_uint (r) != 0;
  a->target_failed = read_uint (r) != 0;
  a->status = (int)read_int (r);
  a->head = read_bytes (r, &a->head_length);
  a->body = read_bytes (r, &a->body_length);
  a->retry_after_ns = read_int (r);
  a->service_time_ns = read_int (r);
  read_terms (r, &a->terms);
  read_extra (r, &f->state);
}

static void
read_document_type (struct reader *r, struct frame *f)
{
  uint32_t document_type = read_u32 (r);
  if (document_type > FRAME_DOCUMENT_CRASHES)
    r->valid = false;
  f->document_type = (enum frame_document_type)document_type;
}

static void
read_frame (struct reader *r, struct frame *f)
{
  switch (f->kind)
    {
    case FRAME_HELLO:
      read_node (r, &f->node);
      break;
    case FRAME_STATE:
      read_state (r, &f->state);
      f->has_node = r->next < r->end;
      if (f->has_node)
        read_node (r, &f->node);
      read_extra (r, &f->state);
      break;
    case FRAME_REQUEST:
      read_request (r, f);
      break;
    case FRAME_CANCEL:
      f->call_id = read_uint (r);
      f->left_ns = read_added_time (r);
      break;
    case FRAME_RESULT:
      read_result (r, f);
      break;
    case FRAME_FETCH:
      read_document_type (r, f);
      break;
    case FRAME_DOCUMENT:
      read_document_type (r, f);
      f->revision = read_int (r);
      f->text = read_bytes (r, &f->length);
      break;
    case FRAME_PART:
      f->stream = read_uint (r);
      f->part_flags = read_u32 (r);
      f->text = read_bytes (r, &f->length);
      if (f->part_flags > PART_FLAGS_MAX)
        r->valid = false;
      break;
    case FRAME_OFFER:
      read_attempt (r, f);
      f->offered_bytes = read_uint (r);
      f->offer_wait_ms = read_u32 (r);
      read_terms (r, &f->request.terms);
      if (f->offered_bytes > FRAME_BYTES_MAX)
        r->valid = false;
      break;
    case FRAME_ADMIT:
      read_state (r, &f->state);
      f->call_id = read_uint (r);
      f->start_ms = read_u32 (r);
      read_extra (r, &f->state);
      break;
    default:
      f->handover.from = read_u32 (r);
      f->handover.to = read_u32 (r);
      read_text (r, f->handover.payload, sizeof f->handover.payload);
      break;
    }
}

enum status
frame_parse (const char *data, size_t length, struct frame *f)
{
  msgpack_unpacked unpacked;
  struct reader r = { .valid = true };
  memset (f, 0, sizeof *f);
  msgpack_unpacked_init (&unpacked);
  size_t offset = 0;
  bool valid = msgpack_unpack_next (&unpacked, data, length, &offset)
                   == MSGPACK_UNPACK_SUCCESS
               && unpacked.data.type == MSGPACK_OBJECT_ARRAY;
  if (valid)
    {
      r.next = unpacked.data.via.array.ptr;
      r.end = r.next + unpacked.data.via.array.size;
      uint32_t kind = read_u32 (&r);
      f->kind = (enum frame_kind)kind;
      if (kind < FRAME_KIND_COUNT)
        read_frame (&r, f);
      valid = kind < FRAME_KIND_COUNT && r.valid;
    }
  msgpack_unpacked_destroy (&unpacked);
  if (valid)
    return STATUS_OK;
  attempt_request_clear (&f->request);
  return status_set (STATUS_INVALID, "malformed frame of %zu bytes", length);
}

bool
frame_peek_request (const char *data, size_t length, uint64_t *call_id)
{
  const unsigned char *p = (const unsigned char *)data;
  size_t at = 1;
  if (length < FRAME_PEEK_BYTES)
    return false;
  if (p[0] == MSGPACK_ARRAY16)
    at += 2;
  else if ((p[0] & MSGPACK_FIXARRAY_MASK) != MSGPACK_FIXARRAY)
    return false;
  if (p[at++] != FRAME_REQUEST)
    return false;
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  bool valid = msgpack_unpack_next (&unpacked, data, length, &at)
                   == MSGPACK_UNPACK_SUCCESS
               && unpacked.data.type == MSGPACK_OBJECT_POSITIVE_INTEGER;
  if (valid)
    *call_id = unpacked.data.via.u64;
  msgpack_unpacked_destroy (&unpacked);
  return valid;
}
