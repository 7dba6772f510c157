/* Which availability zones the operators have evacuated, and what that means
   for the targets of a zone.

   The set is known as of a revision of the store, its version.  Nodes read it
   from the store and pass it on to each other.  Each zone has the time since
   which it is known, which is kept when the set is passed on, so that all
   nodes stop at the same time.

   Does no I/O and reads no clock.  */

#ifndef MESH_EVACUATIONS_H
#define MESH_EVACUATIONS_H

#include "base/status.h"
#include "mesh/evacuation_phase.h"
#include "mesh/frame.h"
#include "settings/settings.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  EVACUATIONS_ZONES_MAX = 64,
  /* How long a reopened zone waits for the state of its targets.  */
  EVACUATIONS_REOPENING_MS = 1000
};

struct evacuated_zone
{
  char name[SETTINGS_NAME_BYTES];
  int64_t known_ns; /* since when; 0: not known, treated as long ago */
};

struct evacuations
{
  int64_t close_ns; /* from when a zone is known until it is closed; 0: zones
                       are never evacuated */
  struct evacuations_stamp stamp;
  unsigned count;
  struct evacuated_zone zones[EVACUATIONS_ZONES_MAX]; /* by name */
  /* Zones whose evacuation ended after they were closed; KNOWN_NS is the time
     of the end.  */
  unsigned ended_count;
  struct evacuated_zone ended[EVACUATIONS_ZONES_MAX];
  bool has_others; /* other nodes are known */
  /* Up to when the store confirmed the set, to this node or to one that
     reported so; 0: never.  What other nodes only heard of confirms nothing:
     nodes that are cut off from the store together would confirm it to each
     other.  */
  int64_t heard_ns;
};

/* A set as another node sent it.  Here KNOWN_NS is the age of a zone at
   CLOCK_NS; -1: not known.  */
struct evacuations_document
{
  uint64_t version;
  int64_t clock_ns; /* of the sender */
  unsigned count;
  struct evacuated_zone zones[EVACUATIONS_ZONES_MAX];
};

/* The set is not known.  CLOSE_MS: see close_ns.  */
void evacuations_init (struct evacuations *e, uint32_t close_ms);

/* Whether NAME is valid as the name of a zone.  */
bool evacuations_is_valid_name (const char *name);

/* The store, asked at ASKED_NS, has exactly the zones NAMES (valid, sorted, at
   most EVACUATIONS_ZONES_MAX) as of VERSION.  Those that are new count as
   known since this node last heard anything, as it may have been cut off or
   paused.  False if a newer set is known.  */
bool evacuations_update (struct evacuations *e, const char *const *names,
                         unsigned count, uint64_t version, int64_t asked_ns,
                         int64_t now_ns);

/* Another node reported STAMP.  CONFIRMED_NS: up to when the store told that
   node itself that it knows all, on this node's clock; 0: it did not.  Return
   whether its set must be fetched.  A newer version of an equal set is
   adopted.  */
bool evacuations_on_stamp (struct evacuations *e,
                           const struct evacuations_stamp *stamp,
                           int64_t confirmed_ns);

/* What to report to other nodes: nothing while this node is cut off, so that
   it does not confirm an outdated set to them.  */
struct evacuations_stamp evacuations_report (const struct evacuations *e,
                                             int64_t now_ns);

/* The set as text for other nodes.  */
GString *evacuations_format (const struct evacuations *e, int64_t now_ns);

/* Parse the text of another node.  STATUS_INVALID with a message.  */
enum status evacuations_parse (const char *text, size_t length,
                               struct evacuations_document *d);

/* Adopt D, which was sent at SENT_NS on this node's clock, if it is newer.
   False if it is not.  */
bool evacuations_merge (struct evacuations *e,
                        const struct evacuations_document *d, int64_t sent_ns,
                        int64_t now_ns);

bool evacuations_contains (const struct evacuations *e, const char *zone);

enum evacuations_phase evacuations_phase (const struct evacuations *e,
                                          const char *zone, int64_t now_ns);

/* The name of PHASE in log lines.  */
const char *evacuations_phase_name (enum evacuations_phase phase);

/* When the phase of ZONE changes by time from CLOSING or REOPENING; INT64_MAX:
   it does not.  */
int64_t evacuations_next_ns (const struct evacuations *e, const char *zone,
                             int64_t now_ns);

/* The state of the target is known: ZONE is open, if it was reopening.  */
void evacuations_end_reopening (struct evacuations *e, const char *zone);

#endif
