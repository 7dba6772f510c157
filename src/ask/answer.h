/* The answer to one line of the operator language: a table, notes and
   findings.  */

#ifndef ASK_ANSWER_H
#define ASK_ANSWER_H

#include "base/finding.h"
#include <stdbool.h>
#include <stdint.h>

enum ask_column_type
{
  ASK_TEXT,
  ASK_INTEGER,
  ASK_DECIMAL, /* shown with three decimals */
  ASK_FLAG     /* yes or no */
};

struct ask_answer;

/* A new empty answer.  Ends the process when memory is short, as all calls
   here do.  */
struct ask_answer *ask_answer_new (void);

/* Free A, which may be NULL.  */
void ask_answer_free (struct ask_answer *a);

/* Add a column; all columns come before the first cell.  */
void ask_answer_column (struct ask_answer *a, const char *name,
                        enum ask_column_type type);

/* Add the next cell, row by row.  Its type is that of its column;
   ask_answer_null leaves the cell without a value in any column.  */
void ask_answer_text (struct ask_answer *a, const char *text);
void ask_answer_integer (struct ask_answer *a, int64_t integer);
void ask_answer_decimal (struct ask_answer *a, double decimal);
void ask_answer_flag (struct ask_answer *a, bool flag);
void ask_answer_null (struct ask_answer *a);

/* Add a line that follows the table.  */
void ask_answer_note (struct ask_answer *a, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

/* The findings of A, to add to.  An answer with findings shows them and the
   notes only.  */
struct findings *ask_answer_findings (struct ask_answer *a);

/* A as an aligned table, a line for each note and each finding.  The caller
   frees the result with free.  */
char *ask_answer_to_text (struct ask_answer *a);

/* A as one line of JSON:
   {"columns": [NAME...], "rows": [[CELL...]...], "notes": [TEXT...]} or
   {"findings": [{"line": N, "column": N, "problem": TEXT}...],
    "notes": [TEXT...]}.  A cell without a value is null.  The caller frees
   the result with free.  */
char *ask_answer_to_json (struct ask_answer *a);

#endif
