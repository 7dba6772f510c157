/* What logs of several nodes tell of one request: its own lines, and before
   them what the nodes it met had come to believe.  */

#ifndef TRACE_STORY_H
#define TRACE_STORY_H

#include "trace/log_line.h"
#include <glib.h>
#include <stdio.h>

struct timeline;

/* A story of the request ID, and of the lookups that its target made for it;
   beliefs count when they are at most BEFORE_MS older than its first line.  */
struct timeline *timeline_new (const char *id, int64_t before_ms);
void timeline_free (struct timeline *s);

/* Take LINE, which stays the caller's, of the log of NODE.  */
void timeline_add (struct timeline *s, const struct log_line *line,
                   const char *node);

/* Print the lines in order of time.  Return how many are the request's.  */
unsigned timeline_print (struct timeline *s, FILE *out);

#endif
