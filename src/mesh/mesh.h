/* A mesh node: the process beside one target, among the targets of several
   services, on a platform whose protocols a dialect adapts.  */

#ifndef MESH_MESH_H
#define MESH_MESH_H

#include "mesh/dialect.h"

/* Run the node that SETTINGS describes until SIGTERM.  Returns the exit status
   of the process.  */
int mesh_run (struct settings *settings, const struct dialect *dialect);

#endif
