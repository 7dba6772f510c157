/* The lexer of the operator language: splits a line into words and quoted
   texts.  */

#ifndef ASK_LEX_H
#define ASK_LEX_H

#include "base/finding.h"
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

struct ask_token
{
  bool quoted;
  char *text;      /* quotes removed, escapes resolved; has no zero byte */
  unsigned column; /* of the first character, counted from 1 */
};

/* Split LENGTH bytes of LINE into an array of struct ask_token.  The array
   ends with a token whose text is NULL and whose column is past the end of the
   line.  On error add a finding for line LINE_NUMBER to FINDINGS and return
   NULL.  The caller frees the array with g_array_free (tokens, TRUE).  */
GArray *ask_lex (const char *line, size_t length, unsigned line_number,
                 struct findings *findings);

/* Copy TEXT with each byte that is not part of a printable character replaced
   by \xHH and each backslash doubled.  To be freed with g_free.  */
char *ask_escape (const char *text);

#endif
