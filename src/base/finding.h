/* Findings: problems in what a user wrote, collected with their place and
   reported together.  */

#ifndef BASE_FINDING_H
#define BASE_FINDING_H

#include <stddef.h>

struct findings;

/* One problem.  LINE and COLUMN count from 1.  KEY names what the problem is
   about and may be empty.  The texts are owned by the list.  */
struct finding
{
  const char *path;
  unsigned line;
  unsigned column;
  const char *key;
  const char *problem;
};

/* A new empty list of findings about PATH (a file's name, or what stands for
   one).  Ends the process when memory is short, as all calls here do.  */
struct findings *findings_new (const char *path);

/* Free F and its findings.  F may be NULL.  */
void findings_free (struct findings *f);

/* Name the file that later findings are about.  */
void findings_set_path (struct findings *f, const char *path);

/* Add the problem made from FMT, at LINE and COLUMN, about KEY.  */
void findings_add (struct findings *f, unsigned line, unsigned column,
                   const char *key, const char *fmt, ...)
    __attribute__ ((format (printf, 5, 6)));

/* The number of findings.  */
size_t findings_count (const struct findings *f);

/* The finding number I, from 0, in the order of file, line and column that
   findings_format uses.  */
const struct finding *findings_get (struct findings *f, size_t i);

/* Every finding, one a line as "PATH:LINE:COLUMN: KEY: PROBLEM", and a last
   line "N errors".  Empty for no findings.  The caller frees the result with
   free.  */
char *findings_format (struct findings *f);

#endif
