#include "mesh/pack.h"

#include <stdint.h>
#include <string.h>
#include <zlib.h>

/* The fastest: the documents repeat themselves, and higher levels save some
   hundredths.  */
#define LEVEL 1

enum
{
  LENGTH_BYTES = 4
};

GString *
pack (const char *text, size_t length)
{
  uLongf room = compressBound (length);
  GString *out = g_string_sized_new (LENGTH_BYTES + room);
  uint32_t told = GUINT32_TO_BE ((uint32_t)length);
  memcpy (out->str, &told, LENGTH_BYTES);
  if (compress2 ((Bytef *)out->str + LENGTH_BYTES, &room, (const Bytef *)text,
                 length, LEVEL)
      != Z_OK)
    g_error ("zlib: no memory");
  g_string_set_size (out, LENGTH_BYTES + room);
  return out;
}

GString *
unpack (const char *data, size_t length)
{
  uint32_t told;
  if (length < LENGTH_BYTES)
    {
      status_set (STATUS_INVALID, "document: cut short");
      return NULL;
    }
  memcpy (&told, data, LENGTH_BYTES);
  told = GUINT32_FROM_BE (told);
  if (told > (uint32_t)PACK_TEXT_MAX_BYTES)
    {
      status_set (STATUS_INVALID, "document: %u bytes are too many", told);
      return NULL;
    }
  uLongf room = told;
  GString *out = g_string_sized_new (told);
  if (uncompress ((Bytef *)out->str, &room, (const Bytef *)data + LENGTH_BYTES,
                  length - LENGTH_BYTES)
          != Z_OK
      || room != told)
    {
      status_set (STATUS_INVALID, "document: not compressed as it should be");
      g_string_free (out, TRUE);
      return NULL;
    }
  g_string_set_size (out, told);
  return out;
}
