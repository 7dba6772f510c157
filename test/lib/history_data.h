/* The data of a history; internal to the checker.  */

#ifndef TEST_LIB_HISTORY_DATA_H
#define TEST_LIB_HISTORY_DATA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* File and line of an entry.  All strings of a history are interned and live
   as long as the program.  */
struct history_location
{
  const char *file;
  unsigned line;
};

/* One run of a request at a target.  */
struct history_run
{
  struct history_location location;
  const char *target;
  const char *id;
  const char *token;     /* the caller's; NULL: the path has none */
  const char *key;       /* "SERVICE/KEY" */
  const char *slot_name; /* "SERVICE slot N" */
  int64_t epoch;
  int64_t begin_ns;
  int64_t end_ns;   /* -1: none recorded */
  bool safe_method; /* GET or HEAD */
};

/* One answer to a caller.  */
struct history_answer
{
  struct history_location location;
  const char *token;
  const char *outcome;
  const char *target;     /* "" if unknown */
  const char *request_id; /* as returned by the target; "" if unknown */
  bool echoed;            /* the answer contains the token of its request */
  bool idempotent;
};

/* A serial number that was acknowledged or observed; it must not decrease.  */
struct history_change
{
  struct history_location location;
  const char *name;
  int64_t serial;
  int64_t ns;
  bool acknowledged; /* false: observed */
};

/* A revision or incarnation in a node's log.  */
struct history_log_value
{
  struct history_location location;
  const char *event;
  const char *member;
  int64_t value;
  unsigned process; /* how many processes have started in this log so far */
};

struct history
{
  bool by_slot;
  GArray *runs;             /* struct history_run */
  GArray *answers;          /* struct history_answer */
  GArray *changes;          /* struct history_change */
  GArray *revisions;        /* struct history_log_value */
  GArray *joins;            /* struct history_log_value */
  GArray *malformed;        /* struct history_location */
  GHashTable *unended_runs; /* "target id" -> index + 1 of a run without end */
  GHashTable *last_ns_by_target; /* target -> int64_t, of its last entry */
  GHashTable *answers_by_token;  /* token -> index + 1 of the answer */
  GHashTable *processes_by_log;  /* file -> number of processes started */
};

/* Parse LINE, found at LOCATION, into H.  */
void history_read_line (struct history *h, struct history_location location,
                        const char *line);

#endif
