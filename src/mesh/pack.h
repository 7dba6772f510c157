/* Compression of documents sent between nodes: their length, then zlib
   data.  */

#ifndef MESH_PACK_H
#define MESH_PACK_H

#include "base/status.h"
#include <glib.h>

enum
{
  /* Limit on an uncompressed document; well above what the store accepts.  */
  PACK_TEXT_MAX_BYTES = 8 << 20
};

/* The caller frees the result.  unpack returns NULL with a message if DATA is
   not the output of pack, or the text exceeds PACK_TEXT_MAX_BYTES.  */
GString *pack (const char *text, size_t length);
GString *unpack (const char *data, size_t length);

#endif
