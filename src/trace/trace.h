/* The command "crocusbend trace": one request's way through the logs of
   several nodes.  */

#ifndef TRACE_TRACE_H
#define TRACE_TRACE_H

/* Run the command.  0; 1 when no line names the request; 2 when an option is
   wrong or a file cannot be read.  */
int trace_main (int argc, char **argv);

#endif
