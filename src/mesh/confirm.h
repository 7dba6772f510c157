/* How recently the store confirmed the version of the configuration that is in
   force.

   A confirmation says that at a certain time the store had no newer version
   than a given one.  Nodes that watch the store make them, and report them
   with their state.  One of an older version than that in force holds for the
   newer one too.

   The nodes of a zone, or in a large zone of a part of it, form a group.  One
   of the group watches the store and reports to the others after each wait.  A
   node whose version was not confirmed for the time to ask watches the store
   itself, whatever the reason, and is a source for its group from then on.

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

/* From the time within which a version must be in force.  */
struct confirm_times
{
  int64_t wait_ns; /* longest wait of a watch of the store */
  /* Age of the last confirmation from which a node asks the store: the first
     one of its group, and the last one.  */
  int64_t ask_min_ns;
  int64_t ask_max_ns;
};

/* What a node knows of its group.  */
struct confirm_group
{
  const char *own_name;
  unsigned parts;      /* of its zone */
  unsigned nodes;      /* of the group, with this one */
  unsigned earlier;    /* of these, those before this one */
  bool earlier_source; /* one of those confirmed its version recently */
};

struct confirm_times confirm_times (uint32_t apply_ms);

/* The number of groups of a zone with so many nodes.  */
unsigned confirm_parts (unsigned zone_nodes);

/* Whether two nodes of a zone are in one group.  */
bool confirm_same_group (const char *a, const char *b, unsigned parts);

/* Count the node NAME of the same zone; CONFIRMED_NS: its own last
   confirmation, on this node's clock; 0: it does not watch the store.  */
void confirm_group_add (struct confirm_group *g, const char *name,
                        int64_t confirmed_ns, const struct confirm_times *t,
                        int64_t now_ns);

/* The age of the last confirmation from which this node asks the store.  */
int64_t confirm_ask_ns (const struct confirm_group *g,
                        const struct confirm_times *t);

/* Whether this node is to watch the store; WATCHES: it does now.  */
bool confirm_should_watch (const struct confirm *c,
                           const struct confirm_group *g,
                           const struct confirm_times *t, bool watches,
                           int64_t now_ns);

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
