/* Node discovery: the list of nodes in the store.

   Each node writes its own entry first and lists the others afterwards, so
   that of any two nodes the later one finds the earlier.  Only the first
   contact between two nodes depends on the list.  */

#ifndef MESH_DIRECTORY_H
#define MESH_DIRECTORY_H

#include "base/inbox.h"
#include "mesh/nodes.h"
#include "settings/settings.h"
#include "store/worker.h"
#include <uv.h>

struct directory;

struct directory_deps
{
  uv_loop_t *loop;
  const struct settings *settings;
  struct store_worker *worker;
  struct inbox *inbox; /* receives the store's replies on the loop's thread */
  struct nodes *nodes;
};

/* Register this node, and look up the others.  */
struct directory *directory_open (const struct directory_deps *deps);

/* Process the store's reply to JOB, a STORE_LEASE or STORE_LIST.  */
void directory_on_store_reply (struct directory *d,
                               const struct store_job *job);

#endif
