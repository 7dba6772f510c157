/* The answer to one line of the operator language: a table, notes (lines that
   follow the table) and findings (errors with their position).  */

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

/* Create an empty answer.  All functions of this file abort the process when
   memory runs out.  */
struct ask_answer *ask_answer_new (void);

/* Free A.  A may be NULL.  */
void ask_answer_free (struct ask_answer *a);

/* Add a column.  All columns must be added before the first cell.  */
void ask_answer_column (struct ask_answer *a, const char *name,
                        enum ask_column_type type);

/* Add the next cell in row-major order.  The function must match the type of
   the column; ask_answer_null adds a cell without a value to a column of any
   type.  */
void ask_answer_text (struct ask_answer *a, const char *text);
void ask_answer_integer (struct ask_answer *a, int64_t integer);
void ask_answer_decimal (struct ask_answer *a, double decimal);
void ask_answer_flag (struct ask_answer *a, bool flag);
void ask_answer_null (struct ask_answer *a);

/* Add a line of text after the table.  */
void ask_answer_note (struct ask_answer *a, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Return the findings of A, to which the caller may add.  An answer with
   findings is rendered without its table.  */
struct findings *ask_answer_findings (struct ask_answer *a);

/* Render A as an aligned table or its findings, followed by one line per note.
   The caller frees the result with free.  */
char *ask_answer_to_text (struct ask_answer *a);

/* Render A as one line of JSON:
   {"columns": [NAME...], "rows": [[CELL...]...], "notes": [TEXT...]} or
   {"findings": [{"line": N, "column": N, "problem": TEXT}...],
    "notes": [TEXT...]}.  A cell without a value is null.  The caller frees
   the result with free.  */
char *ask_answer_to_json (struct ask_answer *a);

#endif
