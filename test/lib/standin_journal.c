#include "lib/standin_journal.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

enum
{
  LINE_BYTES = 2048,
  ESCAPE_BYTES = 6 /* of the longest escape, \u0000 */
};

struct standin_journal
{
  int fd;
};

struct standin_journal *
standin_journal_open (const char *path)
{
  int fd = open (path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
  if (fd < 0)
    return NULL;
  struct standin_journal *j = malloc (sizeof *j);
  j->fd = fd;
  return j;
}

void
standin_journal_close (struct standin_journal *j)
{
  if (j == NULL)
    return;
  close (j->fd);
  free (j);
}

void
standin_journal_write (struct standin_journal *j, const char *fmt, ...)
{
  char line[LINE_BYTES];
  va_list args;
  if (j == NULL)
    return;
  va_start (args, fmt);
  int n = vsnprintf (line, sizeof line - 1, fmt, args);
  va_end (args);
  if (n < 0)
    return;
  if (n > LINE_BYTES - 2)
    n = LINE_BYTES - 2;
  line[n] = '\n';
  if (write (j->fd, line, (size_t)n + 1) != n + 1)
    abort (); /* A journal with missing lines proves nothing.  */
}

const char *
standin_json_quote (char *to, size_t size, const char *text)
{
  size_t n = 0;
  to[n++] = '"';
  for (; *text != 0 && n + ESCAPE_BYTES + 2 < size; text++)
    {
      unsigned char c = (unsigned char)*text;
      if (c == '"' || c == '\\')
        to[n++] = '\\';
      if (c >= ' ')
        to[n++] = (char)c;
      else
        n += (size_t)snprintf (to + n, size - n, "\\u%04x", c);
    }
  to[n++] = '"';
  to[n] = 0;
  return to;
}
