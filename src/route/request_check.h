/* Checks of the requests that libmicrohttpd reads, by the rules of
   http/reader.h.  libmicrohttpd does not deliver lines as they were received:
   it joins folded ones and accepts a line feed alone.  */

#ifndef ROUTE_REQUEST_CHECK_H
#define ROUTE_REQUEST_CHECK_H

#include <microhttpd.h>
#include <stdbool.h>

/* Whether the head of the request with METHOD on CONNECTION is well-formed.
   What is not is counted and logged.  */
bool request_check_head (struct MHD_Connection *connection,
                         const char *method);

/* The same of its trailer, once its body was read.  */
bool request_check_trailer (struct MHD_Connection *connection);

#endif
