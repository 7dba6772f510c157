/* The reason phrases of HTTP's status codes.  */

#ifndef HTTP_REASON_PHRASE_H
#define HTTP_REASON_PHRASE_H

/* The phrase of STATUS, "Status" if it is unknown; never NULL.  */
const char *reason_phrase (int status);

#endif
