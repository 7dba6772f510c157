/* Accounting of the memory of bodies and responses, provided by the user of a
   server or a client.  */

#ifndef HTTP_MEMORY_H
#define HTTP_MEMORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct http_memory
{
  void *arg;
  /* How often a request's body is held at the same time.  */
  unsigned body_copies;
  /* Reserve BYTES for a body that was not read yet.  False: no room.  */
  bool (*reserve) (void *arg, size_t bytes);
  /* Count BYTES that are held already, or, if negative, are no longer.  */
  void (*count) (void *arg, int64_t bytes);
  /* After how long a caller may ask again for room for BYTES.  */
  int64_t (*retry_after_ns) (void *arg, size_t bytes);
};

#endif
