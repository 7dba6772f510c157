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
  /* Limit for each event: in the worst overload of a node some hundred
     requests fail per second, and writing a line takes about 20 us.  */
  LINES_PER_SECOND_MAX = 50,
  TIMESTAMP_BYTES = 32
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

/* Number of lines of one event in the current second.  */
struct line_count
{
  uint32_t second;
  uint32_t lines;
};

static struct line_count line_counts[sizeof catalogue / sizeof catalogue[0]];
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
format_timestamp (char timestamp[TIMESTAMP_BYTES])
{
  struct timeval tv;
  struct tm tm;
  char seconds[TIMESTAMP_BYTES - 8];
  gettimeofday (&tv, NULL);
  gmtime_r (&tv.tv_sec, &tm);
  strftime (seconds, sizeof seconds, "%Y-%m-%dT%H:%M:%S", &tm);
  snprintf (timestamp, TIMESTAMP_BYTES, "%s.%03dZ", seconds,
            (int)(tv.tv_usec / 1000) % 1000);
}

static size_t
clamp (int written, size_t size)
{
  if (written < 0)
    return 0;
  return (size_t)written < size ? (size_t)written : size - 1;
}

/* Count a line of ENTRY; returns whether it is within the limit.  Concurrent
   threads may exceed the limit by a line or two.  */
static bool
is_within_limit (const struct event_entry *entry)
{
  struct line_count *current = &line_counts[entry - catalogue];
  uint32_t second = (uint32_t)(clock_now_ns () / NS_PER_S);
  if (ck_pr_load_32 (&current->second) != second)
    {
      ck_pr_store_32 (&current->second, second);
      ck_pr_store_32 (&current->lines, 0);
    }
  return ck_pr_faa_32 (&current->lines, 1) < LINES_PER_SECOND_MAX;
}

static void
count_dropped (void)
{
  ck_pr_inc_32 (&dropped);
  counter_add (COUNTER_log_lines_dropped_total, 1);
}

/* Standard output is non-blocking: a line that does not fit into the pipe is
   dropped.  Writes of this size to a pipe are atomic, so no line is cut.  */
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
  char timestamp[TIMESTAMP_BYTES];
  size_t size = sizeof line - 1;
  format_timestamp (timestamp);
  size_t used = clamp (snprintf (line, size, "%s %s %d %s text=\"%s\" ",
                                 timestamp, level_names[entry->level],
                                 (int)entry->number, entry->name, entry->text),
                       size);
  used += clamp (vsnprintf (line + used, size - used, fmt, args), size - used);
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

/* Log the number of dropped lines, at most once per second.  */
static void
report_dropped (void)
{
  static uint32_t last_report_second;
  uint32_t second = (uint32_t)(clock_now_ns () / NS_PER_S);
  if (ck_pr_load_32 (&dropped) == 0
      || ck_pr_fas_32 (&last_report_second, second) == second)
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
  if (output == STDOUT_FILENO && !is_within_limit (entry))
    {
      count_dropped ();
      return;
    }
  if (output == STDOUT_FILENO)
    report_dropped ();
  va_list args;
  va_start (args, fmt);
  write_event (entry, fmt, args);
  va_end (args);
}
