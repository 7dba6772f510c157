/* The logger: numbered events, one line each, on standard error or
   standard output.  */

#ifndef BASE_LOG_H
#define BASE_LOG_H

enum log_level
{
  LOG_DEBUG,
  LOG_INFO,
  LOG_WARNING,
  LOG_ERROR
};

enum event
{
#define EVENT(number, name, level, text) EV_##name = (number),
#include "base/events.def"
#undef EVENT
};

/* Drop events below LEVEL from now on.  The first level is LOG_INFO.  */
void log_set_level (enum log_level level);

/* Write to standard output from now on, as fast as its reader takes lines and
   never more than a number a second of each event: lines beyond that are
   dropped and counted.  */
void log_to_stdout (void);

/* The name of LEVEL in lower case, as settings write it.  */
const char *log_level_name (enum log_level level);

/* Write the event EV with key=value pairs made from FMT (may be "").  The
   line is written by one call, so that lines of threads do not mix.  */
void log_event (enum event ev, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
