/* The command `crocusbend load`: a load generator for a service.  */

#ifndef LOAD_LOAD_H
#define LOAD_LOAD_H

/* Run the command; ARGV[0] is its name.  Return the exit code: 0 on success, 1
   when an answer belonged to another request, no request was answered or the
   load failed, 2 for bad arguments.  */
int load_main (int argc, char **argv);

#endif
