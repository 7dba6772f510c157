/* The timeline of one request from the logs of several nodes: the lines of the
   request, and events before and between them that changed the state of the
   nodes involved.  */

#ifndef TRACE_STORY_H
#define TRACE_STORY_H

#include "trace/log_line.h"
#include <glib.h>
#include <stdio.h>

struct timeline;

/* Create a timeline of request ID and of the lookups that its target made for
   it.  State events are included from LOOKBACK_MS before its first line
   to its last line.  */
struct timeline *timeline_new (const char *id, int64_t lookback_ms);
void timeline_free (struct timeline *t);

/* Add LINE of the log of NODE.  The timeline keeps a copy if LINE belongs to
   the request or is a state event, and ignores it otherwise.  */
void timeline_add (struct timeline *t, const struct log_line *line,
                   const char *node);

/* Print the timeline in chronological order.  Return the number of lines that
   belong to the request.  */
unsigned timeline_print (struct timeline *t, FILE *out);

#endif
