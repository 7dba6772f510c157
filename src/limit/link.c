#include "limit/link.h"

#include "base/clock.h"

/* One bit at one kbit/s takes a millisecond.  */
#define BYTE_NS (8 * NS_PER_MS)

int64_t
link_time_ns (uint64_t bytes, uint32_t kbps)
{
  return (int64_t)((double)bytes * (double)BYTE_NS / kbps);
}
