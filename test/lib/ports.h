/* Ports of a test run; see ports.sh.  */

#ifndef TEST_PORTS_H
#define TEST_PORTS_H

#include <stdint.h>

/* The port OFFSET of the run's block.  */
uint16_t test_port (unsigned offset);

#endif
