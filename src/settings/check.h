/* The command `crocusbend check FILE...`, which validates settings files.  */

#ifndef SETTINGS_CHECK_H
#define SETTINGS_CHECK_H

/* Validate settings files and print the findings.  Returns the exit code: 0 if
   all files are valid, 1 if any is not, 2 for invalid arguments.  */
int check_main (int argc, char **argv);

#endif
