/* Reassembles the frames that arrive in parts on one connection.

   Parts of several frames, each a stream with a number, may be interleaved.
   What a sender may have here is bounded.  Does no I/O and reads no clock.  */

#ifndef MESH_ASSEMBLY_H
#define MESH_ASSEMBLY_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  /* Streams that a sender may have begun and not ended.  */
  ASSEMBLY_STREAMS_MAX = 64
};

/* Flags of a part.  */
enum
{
  PART_FIRST = 1,
  PART_LAST = 2,
  PART_DROPPED = 4, /* the sender sends no more of this stream; no bytes */
  PART_FLAGS_MAX = 7
};

enum assembly_verdict
{
  ASSEMBLY_PARTIAL,
  ASSEMBLY_COMPLETE,
  ASSEMBLY_DROPPED,
  ASSEMBLY_UNKNOWN,  /* a part of no stream: ignored */
  ASSEMBLY_MALFORMED /* a stream that begins twice, or too much */
};

struct assembly;

struct assembly *assembly_new (void);
void assembly_free (struct assembly *a);

/* Add a part.  If the verdict is COMPLETE, *FRAME is the frame with its length
   prefix, which the caller frees.  */
enum assembly_verdict assembly_add (struct assembly *a, uint64_t stream,
                                    uint32_t flags, const char *data,
                                    size_t length, int64_t now_ns,
                                    GString **frame);

/* Drop STREAM, if it has begun.  */
void assembly_drop (struct assembly *a, uint64_t stream);

/* Drop the streams of which nothing arrived since SINCE_NS.  Returns their
   number.  */
unsigned assembly_expire (struct assembly *a, int64_t since_ns);

/* The bytes that are held.  */
size_t assembly_bytes (const struct assembly *a);

#endif
