/* A node's network link: how long transfers take over it.

   A link carries the same rate in each direction.  A function belongs to no
   thread; none does I/O or reads a clock.  */

#ifndef LIMIT_LINK_H
#define LIMIT_LINK_H

#include <stdint.h>

enum
{
  /* What is no larger than this is sent at once: it takes 13 ms at
     10 Mbit/s.  */
  LINK_SMALL_BYTES = 16 * 1024
};

/* The time that BYTES take at KBPS, which is not 0.  */
int64_t link_time_ns (uint64_t bytes, uint32_t kbps);

#endif
