/* Fetching of documents from files or, limited in time and size, over HTTP. */

#ifndef REPORT_FETCH_H
#define REPORT_FETCH_H

#include "base/status.h"

/* Fetch URL and store the body in *BODY, which the caller frees with free.
   STATUS_UNAVAILABLE with a message when no complete answer with status 200
   arrives within TIMEOUT_MS.  */
enum status fetch_url (const char *url, long timeout_ms, char **body);

/* Read the file PATH and store its contents in *BODY, which the caller frees
   with free.  STATUS_NOT_FOUND with a message when it cannot be read.  */
enum status fetch_file (const char *path, char **body);

#endif
