/* The command "crocusbend report": burn rates of the error budgets of
   services.  */

#ifndef REPORT_REPORT_H
#define REPORT_REPORT_H

/* Run the command.  Return the exit code: 0 on success, 1 when the counters of
   a node are missing from the report, 2 when an option is wrong or the report
   could not be written.  */
int report_main (int argc, char **argv);

#endif
