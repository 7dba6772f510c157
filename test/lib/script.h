/* Scripted tests of pure decisions.

   A script holds input lines, which start with "> ", each followed by the
   lines that it must print.  Empty lines and lines that start with # are left
   out.  */

#ifndef TEST_LIB_SCRIPT_H
#define TEST_LIB_SCRIPT_H

#include <stdio.h>

enum
{
  SCRIPT_WORDS_MAX = 24
};

/* Run one input line of COUNT words and print to OUT.  */
typedef void script_command (void *context, int count, char **words,
                             FILE *out);

/* Run the script PATH.  The number of input lines whose output differed,
   each told on standard error as PATH:LINE; -1 when PATH cannot be read or
   holds no input.  */
int script_run (const char *path, script_command *run, void *context);

/* The whole decimal number WORD; 0 when it is none.  */
int script_word_number (const char *word);

/* The number after "NAME=" among WORDS, or FALLBACK.  */
long script_number (int count, char **words, const char *name, long fallback);

/* The text after "NAME=" among WORDS, or FALLBACK.  */
const char *script_text (int count, char **words, const char *name,
                         const char *fallback);

#endif
