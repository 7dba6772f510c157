/* The logger: writes numbered events to standard error or standard output, one
   line each.  */

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

/* Suppress events below LEVEL.  The initial level is LOG_INFO.  */
void log_set_level (enum log_level level);

/* Write to standard output from now on, without blocking and with a limit on
   the lines per second of each event.  Lines that the reader does not accept
   in time or that exceed the limit are dropped and counted.  */
void log_to_stdout (void);

/* The name of LEVEL as in the settings, in lower case.  */
const char *log_level_name (enum log_level level);

/* Log the event EV with the key=value pairs formatted by FMT, which may be "".
   The line is written by a single write call, so that lines of different
   threads do not interleave.  */
void log_event (enum event ev, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
