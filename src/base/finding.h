/* Findings: problems in a user's input (settings, queries, options), collected
   with their locations and reported together.  */

#ifndef BASE_FINDING_H
#define BASE_FINDING_H

#include <stddef.h>

struct findings;

/* LINE and COLUMN start at 1.  KEY names the setting or word concerned and may
   be empty.  The strings are owned by the list.  */
struct finding
{
  const char *path;
  unsigned line;
  unsigned column;
  const char *key;
  const char *problem;
};

/* A new empty list of findings about PATH, a file name or another name of the
   input.  Like all functions here it aborts the process if out of memory.  */
struct findings *findings_new (const char *path);

/* F may be NULL.  */
void findings_free (struct findings *f);

/* Set the path of the findings that are added from now on.  */
void findings_set_path (struct findings *f, const char *path);

/* Add a finding about KEY at LINE and COLUMN; FMT formats the problem.  */
void findings_add (struct findings *f, unsigned line, unsigned column,
                   const char *key, const char *fmt, ...)
    __attribute__ ((format (printf, 5, 6)));

size_t findings_count (const struct findings *f);

/* The finding at index I, sorted by file, line and column.  Files are in the
   order in which their paths were set.  */
const struct finding *findings_get (struct findings *f, size_t i);

/* The sorted findings, one per line as "PATH:LINE:COLUMN: KEY: PROBLEM",
   followed by the line "N errors".  Empty if there are no findings.  The
   caller frees the result with free.  */
char *findings_format (struct findings *f);

#endif
