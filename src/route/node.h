/* The command "node": the process that runs beside a target.  */

#ifndef ROUTE_NODE_H
#define ROUTE_NODE_H

/* Run a node from the settings file that ARGV names until SIGTERM or SIGINT.
   The exit status: 0 after a graceful shutdown, 1 when it could not start, 2
   for wrong arguments.  */
int node_main (int argc, char **argv);

#endif
