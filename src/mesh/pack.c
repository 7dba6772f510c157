#include "mesh/pack.h"

#include <stdint.h>
#include <string.h>
#include <zlib.h>

/* The fastest level: the documents are repetitive, and higher levels save only
   a few per cent.  */
#define COMPRESSION_LEVEL 1

enum
{
  LENGTH_BYTES = 4
};

GString *
pack (const char *text, size_t length)
{
  uLongf packed_length = compressBound (length);
  GString *out = g_string_sized_new (LENGTH_BYTES + packed_length);
  uint32_t declared = GUINT32_TO_BE ((uint32_t)length);
  memcpy (out->str, &declared, LENGTH_BYTES);
  if (compress2 ((Bytef *)out->str + LENGTH_BYTES, &packed_length,
                 (const Bytef *)text, length, COMPRESSION_LEVEL)
      != Z_OK)
    g_error ("zlib: no memory");
  g_string_set_size (out, LENGTH_BYTES + packed_length);
  return out;
}

GString *
unpack (const char *data, size_t length)
{
  uint32_t declared;
  if (length < LENGTH_BYTES)
    {
      status_set (STATUS_INVALID,
                  "document truncated: shorter than its length prefix");
      return NULL;
    }
  memcpy (&declared, data, LENGTH_BYTES);
  declared = GUINT32_FROM_BE (declared);
  if (declared > (uint32_t)PACK_TEXT_MAX_BYTES)
    {
      status_set (STATUS_INVALID, "document too large: %u bytes", declared);
      return NULL;
    }
  uLongf text_length = declared;
  GString *out = g_string_sized_new (declared);
  if (uncompress ((Bytef *)out->str, &text_length,
                  (const Bytef *)data + LENGTH_BYTES, length - LENGTH_BYTES)
          != Z_OK
      || text_length != declared)
    {
      status_set (STATUS_INVALID, "document malformed: decompression failed");
      g_string_free (out, TRUE);
      return NULL;
    }
  g_string_set_size (out, declared);
  return out;
}
