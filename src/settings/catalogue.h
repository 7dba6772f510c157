/* The command `crocusbend catalogue`: prints reference tables for the
   documentation from the .def files that the code is generated from.  */

#ifndef SETTINGS_CATALOGUE_H
#define SETTINGS_CATALOGUE_H

/* Print the table of events, counters or settings as Markdown.  Returns the
   exit code: 0, or 2 for invalid arguments.  */
int catalogue_main (int argc, char **argv);

#endif
