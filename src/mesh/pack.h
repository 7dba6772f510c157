/* Documents between nodes: compressed, behind their length.  */

#ifndef MESH_PACK_H
#define MESH_PACK_H

#include "base/status.h"
#include <glib.h>

enum
{
  /* Most that a document may hold; well above what the store takes.  */
  PACK_TEXT_MAX = 8 << 20
};

/* Each returns what is the caller's.  unpack returns NULL with a message for
   what pack did not make, or too long a text.  */
GString *pack (const char *text, size_t length);
GString *unpack (const char *data, size_t length);

#endif
