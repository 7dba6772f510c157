#include "own/lease_msg.h"

#include <msgpack.h>
#include <string.h>

enum
{
  PROTOCOL_VERSION = 1,
  KIND_BITS = 4, /* the first field is version << KIND_BITS | kind */
  FIELD_COUNT = 9,
  /* MessagePack type bytes.  */
  FIXINT_LAST = 0x7f,
  FIXARRAY_BYTE = 0x90,
  UINT8_BYTE = 0xcc,
  UINT64_BYTE = 0xcf,
  /* Three bytes, from the lowest: load, subject_load, subject_load_age.  */
  LOADS_MAX = 0xffffff
};

/* Largest value of each field, in the order of the message.  */
static const uint64_t field_max[FIELD_COUNT]
    = { UINT8_MAX,  UINT32_MAX, UINT32_MAX, UINT32_MAX, UINT32_MAX,
        UINT32_MAX, UINT32_MAX, UINT32_MAX, LOADS_MAX };

struct msg_writer
{
  char *data;
  size_t length;
};

static int
msg_writer_append (void *to, const char *data, size_t length)
{
  struct msg_writer *writer = to;
  if (length > LEASE_MSG_BYTES - writer->length)
    return -1;
  memcpy (writer->data + writer->length, data, length);
  writer->length += length;
  return 0;
}

static uint32_t
pack_loads (const struct lease_msg *msg)
{
  return msg->load | (uint32_t)msg->subject_load << 8
         | (uint32_t)msg->subject_load_age << 16;
}

size_t
lease_msg_encode (const struct lease_msg *msg, char buffer[LEASE_MSG_BYTES])
{
  const uint64_t fields[FIELD_COUNT]
      = { (PROTOCOL_VERSION << KIND_BITS) | msg->kind,
          msg->cell_hash,
          msg->sender,
          msg->receiver,
          msg->epoch,
          msg->sequence,
          msg->subject,
          msg->serial,
          pack_loads (msg) };
  struct msg_writer writer = { buffer, 0 };
  msgpack_packer packer;
  msgpack_packer_init (&packer, &writer, msg_writer_append);
  msgpack_pack_array (&packer, FIELD_COUNT);
  for (size_t i = 0; i < FIELD_COUNT; i++)
    msgpack_pack_uint64 (&packer, fields[i]);
  return writer.length;
}

/* Whether BYTE is the first byte of an unsigned MessagePack integer.  */
static bool
is_uint_header (char byte)
{
  unsigned char b = (unsigned char)byte;
  return b <= FIXINT_LAST || (b >= UINT8_BYTE && b <= UINT64_BYTE);
}

/* Decode one integer field.  The library allocates the size that the header of
   an array or string states, however short the datagram is, so it is given
   nothing but integers.  */
static bool
read_field (msgpack_unpacked *unpacked, const char *data, size_t length,
            size_t *offset, uint64_t *field)
{
  if (*offset >= length || !is_uint_header (data[*offset])
      || msgpack_unpack_next (unpacked, data, length, offset)
             != MSGPACK_UNPACK_SUCCESS)
    return false;
  *field = unpacked->data.via.u64;
  return true;
}

static bool
read_fields (const char *data, size_t length, uint64_t fields[FIELD_COUNT])
{
  size_t offset = 1;
  bool valid = data[0] == (char)(FIXARRAY_BYTE + FIELD_COUNT);
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  for (size_t i = 0; i < FIELD_COUNT && valid; i++)
    valid = read_field (&unpacked, data, length, &offset, &fields[i])
            && fields[i] <= field_max[i];
  msgpack_unpacked_destroy (&unpacked);
  return valid && offset == length
         && fields[0] >> KIND_BITS == PROTOCOL_VERSION
         && (fields[0] & ((1U << KIND_BITS) - 1)) < LEASE_MSG_KINDS;
}

enum status
lease_msg_decode (const void *data, size_t length, struct lease_msg *msg)
{
  if (length == 0 || length > LEASE_MSG_BYTES)
    return status_set (STATUS_INVALID, "lease message of %zu bytes", length);
  uint64_t f[FIELD_COUNT] = { 0 };
  if (!read_fields (data, length, f))
    return status_set (STATUS_INVALID, "not a lease message of version %d",
                       PROTOCOL_VERSION);
  *msg = (struct lease_msg){ .kind = (enum lease_msg_kind) (
                                 f[0] & ((1U << KIND_BITS) - 1)),
                             .cell_hash = (uint32_t)f[1],
                             .sender = (uint32_t)f[2],
                             .receiver = (uint32_t)f[3],
                             .epoch = (uint32_t)f[4],
                             .sequence = (uint32_t)f[5],
                             .subject = (uint32_t)f[6],
                             .serial = (uint32_t)f[7],
                             .load = (uint8_t)f[8],
                             .subject_load = (uint8_t)(f[8] >> 8),
                             .subject_load_age = (uint8_t)(f[8] >> 16) };
  return STATUS_OK;
}
