/* How recently the store confirmed the version of the configuration that is in
   force.

   A confirmation says that at a certain time the store had no newer version
   than a given one.  Nodes that watch the store make them, and report them
   with their state.  One of an older version than that in force holds for the
   newer one too.

   Does no I/O and reads no clock.  */

#ifndef MESH_CONFIRM_H
#define MESH_CONFIRM_H

#include <stdbool.h>
#include <stdint.h>

struct confirmation
{
  uint64_t version;
  int64_t at_ns; /* on this node's clock; 0: none */
  /* The store, of which VERSION has all changes up to REVISION.  */
  int64_t revision;
  uint32_t era;
};

struct confirm
{
  uint64_t version;         /* in force; 0: none */
  struct confirmation own;  /* the newest that this node made */
  struct confirmation best; /* the newest that holds for VERSION */
  struct confirmation next; /* the newest of those that do not yet */
  uint64_t announced;       /* newest version that was announced; 0: none */
  int64_t announced_ns;     /* when it was first */
};

/* How late a version came into force.  */
struct confirm_delay
{
  /* Since the version before was last confirmed: the store has acknowledged
     the new one for no longer than this.  0: there was none before.  */
  int64_t late_ns;
  int64_t announced_ns; /* since it was announced; 0: it was not */
};

/* Add the confirmation N; OWN: this node made it.  */
void confirm_add (struct confirm *c, const struct confirmation *n, bool own);

/* A node announced VERSION.  Whether it is new here, and so to be fetched.  */
bool confirm_announce (struct confirm *c, uint64_t version, int64_t now_ns);

/* VERSION is in force from now on.  */
struct confirm_delay confirm_apply (struct confirm *c, uint64_t version,
                                    int64_t now_ns);

/* For how long the version in force was not confirmed.  INT64_MAX: it never
   was.  */
int64_t confirm_age_ns (const struct confirm *c, int64_t now_ns);

#endif
