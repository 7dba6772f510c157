/* Target processes that have stated that they leave.

   A report may arrive seconds after it was sent, also after its sender has
   stated that it leaves.  The processes listed here are not used again,
   whatever their late reports say.

   Does no I/O and reads no clock.  */

#ifndef MESH_DEPARTED_H
#define MESH_DEPARTED_H

#include "mesh/dialect.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Processes that are remembered.  One target at a time runs beside a node,
     so more than a few within the time that a report can be late are rare.  */
  DEPARTED_MAX = 8
};

struct departed_process
{
  char id[TARGET_ID_BYTES];
  int64_t started_ms; /* wall time of its start; 0: not known */
  int64_t left_ms;    /* wall time at which it stated that it leaves */
};

struct departed
{
  struct departed_process items[DEPARTED_MAX]; /* oldest first */
  unsigned count;
};

/* Add the process ID, which started at STARTED_MS and stated at LEFT_MS that
   it leaves; the oldest one gives way.  False if it is listed already.  */
bool departed_add (struct departed *d, const char *id, int64_t started_ms,
                   int64_t left_ms);

/* Whether the process ID that started at STARTED_MS (0: not known) is listed.
   One that started after a process of the same id had left is not.  */
bool departed_has (const struct departed *d, const char *id,
                   int64_t started_ms);

/* The list as text, one process a line; freed by the caller.  */
GString *departed_format (const struct departed *d);

/* Add the processes of TEXT, which are older than those in D.  Lines that
   cannot be read are skipped.  */
void departed_merge (struct departed *d, const char *text);

#endif
