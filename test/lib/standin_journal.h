/* An append-only journal of JSON lines, each written by one call.  */

#ifndef STANDIN_JOURNAL_H
#define STANDIN_JOURNAL_H

#include <stdbool.h>
#include <stddef.h>

struct standin_journal;

/* Open PATH for appending; NULL when it cannot be.  */
struct standin_journal *standin_journal_open (const char *path);
void standin_journal_close (struct standin_journal *j);

/* Append one line made from FMT.  J may be NULL: nothing is written.  */
void standin_journal_write (struct standin_journal *j, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Write TEXT as a JSON string with its quotes to TO of SIZE bytes, cut short
   where it does not fit.  Returns TO.  */
const char *standin_json_quote (char *to, size_t size, const char *text);

#endif
