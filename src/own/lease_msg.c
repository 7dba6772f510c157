#include "own/lease_msg.h"

#include <msgpack.h>
#include <string.h>

enum
{
  VERSION = 1,
  KIND_BITS = 4, /* the first field is version and kind */
  FIELDS = 9,
  /* Of MessagePack.  */
  FIXINT_LAST = 0x7f,
  FIXARRAY_BYTE = 0x90,
  UINT8_BYTE = 0xcc,
  UINT64_BYTE = 0xcf,
  /* Three bytes: the age above the two loads.  */
  LOADS_MAX = 0xffffff
};

/* The most that each field may hold, in the order of the message.  */
static const uint64_t field_max[FIELDS]
    = { UINT8_MAX,  UINT32_MAX, UINT32_MAX, UINT32_MAX, UINT32_MAX,
        UINT32_MAX, UINT32_MAX, UINT32_MAX, LOADS_MAX };

struct frame
{
  char *data;
  size_t length;
};

static int
frame_write (void *to, const char *data, size_t length)
{
  struct frame *f = to;
  if (length > LEASE_MSG_BYTES - f->length)
    return -1;
  memcpy (f->data + f->length, data, length);
  f->length += length;
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
  const uint64_t fields[FIELDS] = { (VERSION << KIND_BITS) | msg->kind,
                                    msg->cell_hash,
                                    msg->sender,
                                    msg->receiver,
                                    msg->epoch,
                                    msg->sequence,
                                    msg->subject,
                                    msg->serial,
                                    pack_loads (msg) };
  struct frame frame = { buffer, 0 };
  msgpack_packer packer;
  msgpack_packer_init (&packer, &frame, frame_write);
  msgpack_pack_array (&packer, FIELDS);
  for (size_t i = 0; i < FIELDS; i++)
    msgpack_pack_uint64 (&packer, fields[i]);
  return frame.length;
}

/* The first byte of a MessagePack integer without sign.  */
static bool
begins_integer (char byte)
{
  unsigned char b = (unsigned char)byte;
  return b <= FIXINT_LAST || (b >= UINT8_BYTE && b <= UINT64_BYTE);
}

/* The library allocates what an array's or text's header announces, however
   short the datagram is: it is given nothing but integers.  */
static bool
read_field (msgpack_unpacked *unpacked, const char *data, size_t length,
            size_t *at, uint64_t *field)
{
  if (*at >= length || !begins_integer (data[*at])
      || msgpack_unpack_next (unpacked, data, length, at)
             != MSGPACK_UNPACK_SUCCESS)
    return false;
  *field = unpacked->data.via.u64;
  return true;
}

static bool
read_fields (const char *data, size_t length, uint64_t fields[FIELDS])
{
  size_t at = 1;
  bool valid = data[0] == (char)(FIXARRAY_BYTE + FIELDS);
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  for (size_t i = 0; i < FIELDS && valid; i++)
    valid = read_field (&unpacked, data, length, &at, &fields[i])
            && fields[i] <= field_max[i];
  msgpack_unpacked_destroy (&unpacked);
  return valid && at == length && fields[0] >> KIND_BITS == VERSION
         && (fields[0] & ((1U << KIND_BITS) - 1)) < LEASE_MSG_KINDS;
}

enum status
lease_msg_decode (const void *data, size_t length, struct lease_msg *msg)
{
  if (length == 0 || length > LEASE_MSG_BYTES)
    return status_set (STATUS_INVALID, "lease message of %zu bytes", length);
  uint64_t f[FIELDS] = { 0 };
  if (!read_fields (data, length, f))
    return status_set (STATUS_INVALID, "no lease message of version %d",
                       VERSION);
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
