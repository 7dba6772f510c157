/* An append-only journal of JSON lines, each written by one write call.  */

#ifndef STANDIN_JOURNAL_H
#define STANDIN_JOURNAL_H

#include <stdbool.h>
#include <stddef.h>

struct standin_journal;

/* Open PATH for appending; NULL if it cannot be opened.  */
struct standin_journal *standin_journal_open (const char *path);
void standin_journal_close (struct standin_journal *j);

/* Append one line formatted from FMT.  Does nothing if J is NULL; aborts if
   the write fails.  */
void standin_journal_write (struct standin_journal *j, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Write TEXT as a quoted JSON string to TO of SIZE bytes, truncated if it does
   not fit.  Returns TO.  */
const char *standin_json_quote (char *to, size_t size, const char *text);

#endif
