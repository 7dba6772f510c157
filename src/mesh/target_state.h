/* The state of this node's target, as derived from the target's reports.

   Reports may be late, forged, or from an earlier process.  A target process
   is identified by its id and its start time, and the reports of one process
   are ordered by a sequence number.  Where no start time is reported, a
   process with another id is accepted from its first report, or from its
   second one in a row, because a delayed report comes alone.

   A process that stated that it leaves is not used again.  The list of these
   outlasts the node in the store (mesh/departure_record.h).  Until the node
   has read it, a process that did not start just now is accepted from its
   second report only.  */

#ifndef MESH_TARGET_STATE_H
#define MESH_TARGET_STATE_H

#include "mesh/departed.h"
#include "mesh/dialect.h"
#include <stdbool.h>
#include <stdint.h>

enum target_phase
{
  TARGET_UNKNOWN, /* no report yet */
  TARGET_SERVING,
  TARGET_LEAVING, /* reported that it drains, or withdrew */
  TARGET_DOWN     /* refuses connections, until its next report */
};

struct target_view
{
  enum target_phase phase;
  char id[TARGET_ID_BYTES]; /* of the target process */
  int64_t started_ms;       /* wall time of its start; 0: not reported */
  uint64_t sequence;        /* of its last report */
  uint32_t slots;
  int64_t warmup_until_ns; /* it is slow until then */
  /* Another process that has reported once since this one last did.  */
  char candidate_id[TARGET_ID_BYTES];
  uint64_t candidate_sequence;
  struct departed departed;
  bool departed_changed; /* since the caller last cleared this */
  bool record_unread;    /* processes that left before the node started may be
                            missing in DEPARTED */
};

enum target_change
{
  TARGET_IGNORED_FOREIGN, /* of another service or address */
  TARGET_IGNORED_STALE,   /* late, or of an earlier process */
  TARGET_UNCONFIRMED,     /* may be late: kept out until the record is read, or
                             until its next report */
  TARGET_UNCHANGED,
  TARGET_RESTARTED,       /* another process, which holds no keys */
  TARGET_RECOVERED,       /* the same process accepts connections again */
  TARGET_STARTED_DRAINING /* takes no new work from now on */
};

/* A point in time on both clocks.  */
struct target_time
{
  int64_t now_ns;
  int64_t wall_ms;
};

/* Process REPORT, received at NOW, of the target of SERVICE at ADDRESS.  */
enum target_change target_view_report (struct target_view *v,
                                       const struct target_report *report,
                                       const char *service,
                                       const struct settings_address *address,
                                       struct target_time now);

/* The process ID (started at STARTED_MS, unless that is 0) withdrew: it
   reported at WALL_MS that it is leaving.  */
enum target_change target_view_withdraw (struct target_view *v, const char *id,
                                         int64_t started_ms, int64_t wall_ms);

/* The store's record of departed processes was read: TEXT, as formatted by
   departed_format.  */
enum target_change target_view_record_read (struct target_view *v,
                                            const char *text);

/* The target refused a connection.  True if it was serving until now.  */
bool target_view_connection_refused (struct target_view *v);

/* The process, which refused connections, has responded to a health check at
   NOW_NS: it is cold for WARMUP_MS.  If that is not 0 it has started again
   under the same id.  */
enum target_change target_view_responded (struct target_view *v,
                                          uint32_t warmup_ms, int64_t now_ns);

/* The name of CHANGE in log lines.  */
const char *target_change_name (enum target_change change);

#endif
