/* Allocation of ports to tests; see ports.sh.  */

#ifndef TEST_PORTS_H
#define TEST_PORTS_H

#include <stdint.h>

/* The port at OFFSET in the block of this test run.  */
uint16_t test_port (unsigned offset);

#endif
