/* Data-driven tests.  A test file holds input lines, each "> INPUT", followed
   by the expected output.  Lines that begin with # are comments.  */

#ifndef LIB_BLOCKS_H
#define LIB_BLOCKS_H

#include <glib.h>

/* Run INPUT and append its output to OUTPUT, in whole lines.  */
typedef void blocks_fn (void *arg, const char *input, GString *output);

/* Run FN on each input of the file PATH and compare its output with the
   expected one.  Prints every difference with its line.  Sets *DIFFERENCES to
   the number of inputs whose output differs, and *INPUTS to the number of
   inputs, so that the caller can reject an empty file.  */
void blocks_run (const char *path, blocks_fn *fn, void *arg,
                 unsigned *differences, unsigned *inputs);

#endif
