#include "wire/wire.h"

#include <msgpack.h>
#include <string.h>

enum
{
  COMMON_FIELDS = 3, /* version, kind and id */
  FIELDS_MAX = 15,   /* of a MessagePack fixarray */
  FIXARRAY_BYTE = 0x90,
  FIXINT_LAST = 0x7f,
  FIXSTR_FIRST = 0xa0,
  FIXSTR_LAST = 0xbf,
  FALSE_BYTE = 0xc2,
  TRUE_BYTE = 0xc3,
  UINT8_BYTE = 0xcc,
  UINT64_BYTE = 0xcf,
  STR8_BYTE = 0xd9,
  STR16_BYTE = 0xda
};

static const unsigned field_counts[WIRE_KIND_END] = {
  [WIRE_REQUEST] = COMMON_FIELDS + 12, [WIRE_ANSWER] = COMMON_FIELDS + 4,
  [WIRE_CANCEL] = COMMON_FIELDS,       [WIRE_HELLO] = COMMON_FIELDS,
  [WIRE_WELCOME] = COMMON_FIELDS + 2,  [WIRE_FETCH] = COMMON_FIELDS + 2,
  [WIRE_DOCUMENT] = COMMON_FIELDS + 2, [WIRE_NOTICE] = COMMON_FIELDS + 2,
};

/* The frame being encoded, as the output of the packer.  */
struct frame_buffer
{
  char *data;
  size_t length;
  bool overflow;
};

static int
frame_write (void *dest, const char *data, size_t length)
{
  struct frame_buffer *f = dest;
  if (f->overflow || length > WIRE_HEADER_BYTES - f->length)
    {
      f->overflow = true;
      return -1;
    }
  memcpy (f->data + f->length, data, length);
  f->length += length;
  return 0;
}

static void
write_text (msgpack_packer *p, const char *text)
{
  msgpack_pack_str_with_body (p, text, strlen (text));
}

static void
write_bool (msgpack_packer *p, bool value)
{
  if (value)
    msgpack_pack_true (p);
  else
    msgpack_pack_false (p);
}

static void
write_request (msgpack_packer *p, const struct wire_message *m)
{
  msgpack_pack_uint64 (p, m->incarnation);
  msgpack_pack_uint64 (p, m->epoch);
  msgpack_pack_uint32 (p, m->slot);
  msgpack_pack_int64 (p, m->time_ns);
  msgpack_pack_uint64 (p, m->request_id);
  write_bool (p, m->idempotent);
  msgpack_pack_uint32 (p, m->depth);
  write_text (p, m->method);
  write_text (p, m->key);
  write_text (p, m->path);
  write_text (p, m->organisation);
  write_text (p, m->content_type);
}

static void
write_answer (msgpack_packer *p, const struct wire_message *m)
{
  msgpack_pack_uint8 (p, (uint8_t)m->outcome);
  msgpack_pack_uint8 (p, (uint8_t)m->reason);
  msgpack_pack_uint16 (p, (uint16_t)m->http_status);
  write_text (p, m->content_type);
}

static void
write_fields (msgpack_packer *p, const struct wire_message *m)
{
  switch (m->kind)
    {
    case WIRE_REQUEST:
      write_request (p, m);
      break;
    case WIRE_ANSWER:
      write_answer (p, m);
      break;
    case WIRE_WELCOME:
      msgpack_pack_uint64 (p, m->incarnation);
      msgpack_pack_int64 (p, m->time_ns);
      break;
    case WIRE_FETCH:
    case WIRE_DOCUMENT:
    case WIRE_NOTICE:
      msgpack_pack_uint8 (p, (uint8_t)m->topic);
      msgpack_pack_int64 (p, m->revision);
      break;
    default:
      break;
    }
}

enum status
wire_encode (const struct wire_message *m, char buffer[WIRE_HEADER_BYTES],
             size_t *length)
{
  struct frame_buffer f = { buffer, 0, false };
  msgpack_packer p;
  msgpack_packer_init (&p, &f, frame_write);
  msgpack_pack_array (&p, field_counts[m->kind]);
  msgpack_pack_uint8 (&p, WIRE_VERSION);
  msgpack_pack_uint8 (&p, (uint8_t)m->kind);
  msgpack_pack_uint64 (&p, m->id);
  write_fields (&p, m);
  *length = f.length;
  if (f.overflow)
    return status_set (STATUS_INVALID, "message too long for its frame");
  return STATUS_OK;
}

/* A cursor over the fields of a message.  */
struct reader
{
  const msgpack_object *next;
  const msgpack_object *end;
  bool invalid;
};

static const msgpack_object *
next_field (struct reader *r, msgpack_object_type type)
{
  if (r->invalid || r->next == r->end || r->next->type != type)
    {
      r->invalid = true;
      return NULL;
    }
  return r->next++;
}

static uint64_t
read_unsigned (struct reader *r, uint64_t max)
{
  const msgpack_object *object
      = next_field (r, MSGPACK_OBJECT_POSITIVE_INTEGER);
  if (object == NULL)
    return 0;
  if (object->via.u64 > max)
    r->invalid = true;
  return object->via.u64;
}

/* Read an integer that is never negative: a time or a revision.  */
static int64_t
read_nonnegative (struct reader *r)
{
  return (int64_t)read_unsigned (r, INT64_MAX);
}

static bool
read_bool (struct reader *r)
{
  const msgpack_object *object = next_field (r, MSGPACK_OBJECT_BOOLEAN);
  return object != NULL && object->via.boolean;
}

/* Read a string into DEST, a buffer of CAPACITY bytes.  A string that contains
   a zero byte or does not fit is invalid.  */
static void
read_text (struct reader *r, char *dest, size_t capacity)
{
  const msgpack_object *object = next_field (r, MSGPACK_OBJECT_STR);
  if (object == NULL)
    return;
  size_t length = object->via.str.size;
  /* msgpack-c gives a null pointer for an empty string.  */
  if (length == 0)
    {
      dest[0] = '\0';
      return;
    }
  if (length >= capacity || memchr (object->via.str.ptr, '\0', length) != NULL)
    {
      r->invalid = true;
      return;
    }
  memcpy (dest, object->via.str.ptr, length);
  dest[length] = '\0';
}

static void
read_request (struct reader *r, struct wire_message *m)
{
  m->incarnation = read_unsigned (r, UINT64_MAX);
  m->epoch = read_unsigned (r, UINT64_MAX);
  m->slot = (uint32_t)read_unsigned (r, UINT32_MAX);
  m->time_ns = read_nonnegative (r);
  m->request_id = read_unsigned (r, UINT64_MAX);
  m->idempotent = read_bool (r);
  m->depth = (uint32_t)read_unsigned (r, UINT32_MAX);
  read_text (r, m->method, sizeof m->method);
  read_text (r, m->key, sizeof m->key);
  read_text (r, m->path, sizeof m->path);
  read_text (r, m->organisation, sizeof m->organisation);
  read_text (r, m->content_type, sizeof m->content_type);
}

static void
read_answer (struct reader *r, struct wire_message *m)
{
  m->outcome = (enum outcome)read_unsigned (r, OUTCOME_COUNT - 1);
  m->reason = (enum reason)read_unsigned (r, REASON_COUNT - 1);
  m->http_status = (unsigned)read_unsigned (r, UINT16_MAX);
  read_text (r, m->content_type, sizeof m->content_type);
  if (m->outcome == OUTCOME_PENDING)
    r->invalid = true;
}

static void
read_fields (struct reader *r, struct wire_message *m)
{
  switch (m->kind)
    {
    case WIRE_REQUEST:
      read_request (r, m);
      break;
    case WIRE_ANSWER:
      read_answer (r, m);
      break;
    case WIRE_WELCOME:
      m->incarnation = read_unsigned (r, UINT64_MAX);
      m->time_ns = read_nonnegative (r);
      break;
    case WIRE_FETCH:
    case WIRE_DOCUMENT:
    case WIRE_NOTICE:
      m->topic = (enum wire_topic)read_unsigned (r, TOPIC_COUNT - 1);
      m->revision = read_nonnegative (r);
      break;
    default:
      break;
    }
}

static enum status
read_message (const msgpack_object *fields, size_t count,
              struct wire_message *m)
{
  struct reader r = { fields, fields + count, false };
  uint64_t version = read_unsigned (&r, UINT64_MAX);
  if (!r.invalid && version != WIRE_VERSION)
    return status_set (STATUS_STALE, "unsupported message version");
  uint64_t kind = read_unsigned (&r, WIRE_KIND_END - 1);
  m->id = read_unsigned (&r, UINT64_MAX);
  if (r.invalid || kind == 0 || count != field_counts[kind])
    return status_set (STATUS_INVALID,
                       "unknown message kind or wrong number of fields");
  m->kind = (enum wire_kind)kind;
  read_fields (&r, m);
  if (r.invalid)
    return status_set (STATUS_INVALID, "malformed message field");
  return STATUS_OK;
}

/* Whether a field that begins with BYTE is an unsigned integer, a boolean or a
   string.  */
static bool
is_scalar_type (unsigned char byte)
{
  return byte <= FIXINT_LAST || (byte >= FIXSTR_FIRST && byte <= FIXSTR_LAST)
         || byte == FALSE_BYTE || byte == TRUE_BYTE
         || (byte >= UINT8_BYTE && byte <= UINT64_BYTE) || byte == STR8_BYTE
         || byte == STR16_BYTE;
}

/* Decode COUNT fields of DATA, which begin at OFFSET.  Only scalars are
   passed to msgpack-c, because for an array it allocates as many elements as
   the array header says, however short the message is.  The strings of FIELDS
   point into DATA.  */
static bool
unpack_fields (const char *data, size_t length, size_t offset, size_t count,
               msgpack_object fields[FIELDS_MAX])
{
  msgpack_unpacked unpacked;
  bool valid = true;
  msgpack_unpacked_init (&unpacked);
  for (size_t i = 0; i < count && valid; i++)
    {
      valid = offset < length && is_scalar_type ((unsigned char)data[offset])
              && msgpack_unpack_next (&unpacked, data, length, &offset)
                     == MSGPACK_UNPACK_SUCCESS;
      if (valid)
        fields[i] = unpacked.data;
    }
  msgpack_unpacked_destroy (&unpacked);
  return valid && offset == length;
}

enum status
wire_decode (struct wire_message *m, const char *data, size_t length)
{
  msgpack_object fields[FIELDS_MAX];
  memset (m, 0, sizeof *m);
  if (length == 0 || length > WIRE_HEADER_BYTES)
    return status_set (STATUS_INVALID, "message header of %zu bytes", length);
  size_t count = (unsigned char)data[0] - (size_t)FIXARRAY_BYTE;
  if (count > FIELDS_MAX || !unpack_fields (data, length, 1, count, fields))
    return status_set (STATUS_INVALID, "malformed message");
  return read_message (fields, count, m);
}
