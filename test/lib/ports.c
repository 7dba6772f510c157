#include "lib/ports.h"

#include <stdlib.h>

uint16_t
test_port (unsigned offset)
{
  const char *base = getenv ("CB_PORT_BASE");
  return (uint16_t)(strtoul (base == NULL ? "20000" : base, NULL, 10)
                    + offset);
}
