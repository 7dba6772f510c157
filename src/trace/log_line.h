/* One line of a node's log, read back.  */

#ifndef TRACE_LOG_LINE_H
#define TRACE_LOG_LINE_H

#include "base/status.h"
#include <stdint.h>

struct log_line
{
  char *node;      /* the word before the time; empty when there is none */
  int64_t time_ms; /* since the epoch, UTC */
  long event;
  char *name;   /* of the event */
  char *level;  /* as written */
  char *text;   /* what the event means */
  char *fields; /* "key=value ..." */
};

/* Read TEXT, a whole line without its end: words before the time, of which the
   last names the node, then time, level, number, name, text="..." and values.
   STATUS_INVALID with a message for what is no such line.  LINE is freed with
   log_line_clear when this succeeds.  */
enum status log_line_parse (const char *text, struct log_line *line);

/* The value of KEY, to be freed, or NULL.  */
char *log_line_field (const struct log_line *line, const char *key);

void log_line_clear (struct log_line *line);

#endif
