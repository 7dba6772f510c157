/* What a node believes of its target, from the target's reports.

   Reports may be late, forged, or from an earlier run: a run is named by its
   id and the time of its start, and the order within a run by a sequence.
   Where a start's time is not told, a run with another id is believed from its
   first report on, or from its second one in a row: a report that was held up
   comes alone.  */

#ifndef MESH_TARGET_STATE_H
#define MESH_TARGET_STATE_H

#include "mesh/dialect.h"
#include <stdbool.h>
#include <stdint.h>

enum target_phase
{
  TARGET_UNKNOWN, /* no report yet */
  TARGET_SERVING,
  TARGET_LEAVING, /* says that it drains, or that it is gone */
  TARGET_DOWN     /* refuses connections; a later report brings it back */
};

struct target_view
{
  enum target_phase phase;
  char id[TARGET_ID_BYTES];
  int64_t started_ms;
  uint64_t sequence;
  uint32_t slots;
  int64_t cold_until_ns;
  /* Another run that has reported once since this one did last.  */
  char other_id[TARGET_ID_BYTES];
  uint64_t other_sequence;
};

enum target_change
{
  TARGET_IGNORED_FOREIGN, /* of another service or address */
  TARGET_IGNORED_OLD,     /* late, or of an earlier run */
  TARGET_SAME,
  TARGET_NEW_RUN, /* another run: it holds nothing of before */
  TARGET_BACK,    /* the same run accepts again */
  TARGET_DRAINS   /* no new work from now on */
};

/* Take REPORT, which came at NOW_NS, of the target at ADDRESS of SERVICE.  */
enum target_change target_view_report (struct target_view *v,
                                       const struct target_report *report,
                                       const char *service,
                                       const struct settings_address *address,
                                       int64_t now_ns);

/* The run ID (and, unless 0, of the start STARTED_MS) says that it is gone. */
enum target_change target_view_gone (struct target_view *v, const char *id,
                                     int64_t started_ms);

/* The target refuses connections.  True when that is news.  */
bool target_view_refused (struct target_view *v);

/* The word of CHANGE in logs.  */
const char *target_change_word (enum target_change change);

#endif
