#include "base/log.h"

#include "base/clock.h"
#include "base/counter.h"
#include <ck_pr.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum
{
  LINE_BYTES = 1024,
  /* Lines of one event in one second: some hundred requests fail a second in
     the worst overload of one node, and a line costs some 20 us.  */
  LINES_A_SECOND = 50,
  STAMP_BYTES = 32
};

struct event_entry
{
  enum event number;
  enum log_level level;
  const char *name;
  const char *text;
};

static const struct event_entry catalogue[] = {
#define EVENT(number, name, level, text)                                      \
  { EV_##name, LOG_##level, #name, text },
#include "base/events.def"
#undef EVENT
};

static const char *const level_names[]
    = { "debug", "info", "warning", "error" };

static enum log_level threshold = LOG_INFO;
static int output = STDERR_FILENO;

/* How often an event was written in the present second.  */
struct rate
{
  uint32_t second;
  uint32_t lines;
};

static struct rate rates[sizeof catalogue / sizeof catalogue[0]];
static uint32_t dropped;

static const struct event_entry *
find_entry (enum event ev)
{
  for (size_t i = 0; i < sizeof catalogue / sizeof catalogue[0]; i++)
    if (catalogue[i].number == ev)
      return &catalogue[i];
  return NULL;
}

static void
format_stamp (char stamp[STAMP_BYTES])
{
  struct timeval tv;
  struct tm tm;
  char seconds[STAMP_BYTES - 8];
  gettimeofday (&tv, NULL);
  gmtime_r (&tv.tv_sec, &tm);
  strftime (seconds, sizeof seconds, "%Y-%m-%dT%H:%M:%S", &tm);
  snprintf (stamp, STAMP_BYTES, "%s.%03dZ", seconds,
            (int)(tv.tv_usec / 1000) % 1000);
}

static size_t
clamp (int written, size_t room)
{
  if (written < 0)
    return 0;
  return (size_t)written < room ? (size_t)written : room - 1;
}

/* Whether one more line of ENTRY may be written.  Threads may race: the bound
   is then passed by a line or two.  */
static bool
within_rate (const struct event_entry *entry)
{
  struct rate *r = &rates[entry - catalogue];
  uint32_t second = (uint32_t)(clock_now_ns () / NS_PER_S);
  if (ck_pr_load_32 (&r->second) != second)
    {
      ck_pr_store_32 (&r->second, second);
      ck_pr_store_32 (&r->lines, 0);
    }
  return ck_pr_faa_32 (&r->lines, 1) < LINES_A_SECOND;
}

static void
count_dropped (void)
{
  ck_pr_inc_32 (&dropped);
  counter_add (COUNTER_log_lines_dropped_total, 1);
}

/* Standard output does not block: a line that its reader does not take is
   dropped.  A pipe takes a line of this size whole or not at all.  */
static void
write_line (const char *line, size_t length)
{
  if (write (output, line, length) != (ssize_t)length
      && output == STDOUT_FILENO)
    count_dropped ();
}

static void
write_event (const struct event_entry *entry, const char *fmt, va_list args)
{
  char line[LINE_BYTES];
  char stamp[STAMP_BYTES];
  size_t room = sizeof line - 1;
  format_stamp (stamp);
  size_t used = clamp (snprintf (line, room, "%s %s %d %s text=\"%s\" ", stamp,
                                 level_names[entry->level], (int)entry->number,
                                 entry->name, entry->text),
                       room);
  used += clamp (vsnprintf (line + used, room - used, fmt, args), room - used);
  line[used++] = '\n';
  write_line (line, used);
}

static void
write_entry (const struct event_entry *entry, const char *fmt, ...)
{
  va_list args;
  va_start (args, fmt);
  write_event (entry, fmt, args);
  va_end (args);
}

/* At most once a second.  */
static void
tell_dropped (void)
{
  static uint32_t told_second;
  uint32_t second = (uint32_t)(clock_now_ns () / NS_PER_S);
  if (ck_pr_load_32 (&dropped) == 0
      || ck_pr_fas_32 (&told_second, second) == second)
    return;
  write_entry (find_entry (EV_LINES_DROPPED), "lines=%u",
               ck_pr_fas_32 (&dropped, 0));
}

void
log_to_stdout (void)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);
  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  output = STDOUT_FILENO;
}

void
log_set_level (enum log_level level)
{
  threshold = level;
}

const char *
log_level_name (enum log_level level)
{
  return level_names[level];
}

void
log_event (enum event ev, const char *fmt, ...)
{
  const struct event_entry *entry = find_entry (ev);
  if (entry == NULL || entry->level < threshold)
    return;
  if (output == STDOUT_FILENO && !within_rate (entry))
    {
      count_dropped ();
      return;
    }
  if (output == STDOUT_FILENO)
    tell_dropped ();
  va_list args;
  va_start (args, fmt);
  write_event (entry, fmt, args);
  va_end (args);
}
