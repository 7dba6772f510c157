/* The list of nodes in the store, by which nodes meet.

   Each node writes its own entry first and lists after, so that of any two the
   later one finds the earlier.  Nothing but the first meeting hangs on it.  */

#ifndef MESH_DIRECTORY_H
#define MESH_DIRECTORY_H

#include "base/inbox.h"
#include "mesh/nodes.h"
#include "settings/settings.h"
#include "store/worker.h"
#include <uv.h>

struct directory;

struct directory_parts
{
  uv_loop_t *loop;
  const struct settings *settings;
  struct store_worker *worker;
  struct inbox *inbox; /* of the loop's thread, for the store's answers */
  struct nodes *nodes;
};

/* Begin to list this node, and to learn the others.  */
struct directory *directory_open (const struct directory_parts *parts);

/* Take the store's answer to JOB, a STORE_LEASE or STORE_LIST.  */
void directory_on_store (struct directory *d, const struct store_job *job);

#endif
