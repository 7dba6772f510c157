/* The node of a mesh: the process beside a target of one of several services,
   on a platform whose wire a dialect translates.  */

#ifndef MESH_MESH_H
#define MESH_MESH_H

#include "mesh/dialect.h"

/* Run the node that SETTINGS describes until SIGTERM.  The exit status of the
   process.  */
int mesh_run (struct settings *settings, const struct dialect *dialect);

#endif
