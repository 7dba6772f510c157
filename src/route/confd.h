/* The configuration service: holds the operators' configuration that is in
   force at this node.

   Two members of the cell watch the store; the others are notified of a new
   revision along the tree of route/tree.h and fetch it from their parent.
   They also poll the parent periodically, in case a notice was lost.  A fetch
   carries the revision that the node has; the answer is the commands since
   then, or the whole configuration when the audit log does not reach back that
   far or the commands could not be applied.  A lower revision never replaces a
   higher one.  */

#ifndef ROUTE_CONFD_H
#define ROUTE_CONFD_H

#include "base/kernel.h"
#include "conf/conf.h"
#include "route/map.h"
#include "settings/settings.h"

#define CONFD_SERVICE "config"

struct service *confd_new (struct kernel *k, const struct settings *s,
                           struct map *m);

/* A reference to the configuration in force, never NULL.  Any thread.  */
struct conf *confd_get (struct service *confd);

/* Whether the configuration was read from the store since the start.  Until
   then this node must own nothing: it would treat paying organisations as
   trials.  Any thread.  */
bool confd_is_loaded (struct service *confd);

/* Whether the zone of this node is evacuated in the configuration in force.
   Any thread.  */
bool confd_is_evacuated (struct service *confd);

/* The revision of the configuration in force.  Any thread.  */
uint64_t confd_revision (struct service *confd);

/* The effect of a command.  */
struct confd_change
{
  struct conf *before; /* references that the receiver releases; may be NULL */
  struct conf *after;
};

/* Release the references of CHANGE.  */
void confd_change_clear (struct confd_change *change);

/* Write COMMAND to the store as conf_submit does, over a store connection of
   its own, and put the resulting configuration in force here.  The statuses
   are those of conf_submit; CHANGE is empty unless it is STATUS_OK.  DRY_RUN
   changes nothing.  Any thread that may block for up to ten seconds.  */
enum status confd_apply (struct service *confd,
                         const struct conf_command *command, bool dry_run,
                         struct findings *findings,
                         struct confd_change *change);

#endif
