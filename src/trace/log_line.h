/* The parser of lines of a node's log.  */

#ifndef TRACE_LOG_LINE_H
#define TRACE_LOG_LINE_H

#include "base/status.h"
#include <stdint.h>

struct log_line
{
  char *node;      /* word before the timestamp; empty if there is none */
  int64_t time_ms; /* since 1970, UTC */
  long event;      /* number of the event */
  char *name;      /* name of the event */
  char *level;     /* log level as written */
  char *text;      /* description of the event */
  char *fields;    /* "key=value ..." */
};

/* Parse TEXT, a line without its newline: optional words of which the last
   names the node, then timestamp, level, event number, event name, text="..."
   and fields.  STATUS_INVALID with a message for any other line.  On STATUS_OK
   the caller frees LINE with log_line_clear.  */
enum status log_line_parse (const char *text, struct log_line *line);

/* Return a copy of the value of field KEY, which the caller frees with g_free,
   or NULL if there is none.  */
char *log_line_field (const struct log_line *line, const char *key);

void log_line_clear (struct log_line *line);

#endif
