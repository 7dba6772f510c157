/* Scripted tests of functions without side effects.

   A script holds input lines, which start with "> ", each followed by its
   expected output.  Empty lines and lines that start with # are ignored.  */

#ifndef TEST_LIB_SCRIPT_H
#define TEST_LIB_SCRIPT_H

#include <stdio.h>

enum
{
  SCRIPT_WORDS_MAX = 24
};

/* Run one input line of COUNT words and print its output to OUT.  */
typedef void script_command (void *context, int count, char **words,
                             FILE *out);

/* Run the script PATH.  Returns the number of input lines whose output
   differs, each reported on standard error as PATH:LINE; -1 if PATH cannot be
   read or holds no input.  */
int script_run (const char *path, script_command *run, void *context);

/* The decimal integer WORD, or 0 if it does not start with a number.  */
int script_word_number (const char *word);

/* The number after "NAME=" in WORDS, or FALLBACK if there is none.  */
long script_number (int count, char **words, const char *name, long fallback);

/* The text after "NAME=" in WORDS, or FALLBACK if there is none.  */
const char *script_text (int count, char **words, const char *name,
                         const char *fallback);

#endif
