/* The command `crocusbend ask`.  */

#ifndef ASK_ASK_H
#define ASK_ASK_H

/* Send lines of the operator language to a node and print its answers.  Return
   the exit code: 0 when all lines were answered, 1 when a line is invalid or
   was refused, 2 for wrong arguments, 3 when the node could not be reached or
   its answer was lost.  */
int ask_main (int argc, char **argv);

#endif
