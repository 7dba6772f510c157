/* Bounds on the messages of HTTP peers, which may send bytes without end.  */

#ifndef HTTP_BOUNDS_H
#define HTTP_BOUNDS_H

enum
{
  /* Bytes of a message that are not its body: start line, header fields,
     chunk extensions and trailers.  */
  HTTP_HEAD_BYTES_MAX = 64 * 1024,
  /* Header fields and trailers of a message.  */
  HTTP_FIELDS_MAX = 200,
  /* Bytes that frame a chunk without extensions: its length in 16 digits and
     two line ends.  */
  HTTP_CHUNK_FRAME_BYTES = 20
};

#endif
