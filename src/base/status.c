#include "base/status.h"

#include <stdarg.h>
#include <stdio.h>

enum
{
  MESSAGE_BYTES = 512
};

static const char *const texts[] = {
#define STATUS(name, text) text,
#include "base/status.def"
#undef STATUS
};

static _Thread_local char last_message[MESSAGE_BYTES];

const char *
status_text (enum status s)
{
  if ((unsigned)s >= STATUS_COUNT)
    return "unknown status";
  return texts[s];
}

enum status
status_set (enum status s, const char *fmt, ...)
{
  va_list args;
  va_start (args, fmt);
  vsnprintf (last_message, sizeof last_message, fmt, args);
  va_end (args);
  return s;
}

const char *
status_message (void)
{
  return last_message;
}
