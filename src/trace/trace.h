/* The command "crocusbend trace": the timeline of one request from the logs of
   several nodes.  */

#ifndef TRACE_TRACE_H
#define TRACE_TRACE_H

/* Run the command.  Return the exit code: 0 on success, 1 when no line names
   the request, 2 when an option is wrong or a file cannot be read.  */
int trace_main (int argc, char **argv);

#endif
