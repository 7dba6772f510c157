/* HTTP client that sends lines of the operator language to a node.  */

#ifndef ASK_CLIENT_H
#define ASK_CLIENT_H

#include "base/status.h"
#include "settings/settings.h"
#include <stdbool.h>
#include <stddef.h>

struct ask_client;

/* Create a client of the node at ADDRESS.  WHO is the operator that the node
   records with commands.  JSON selects JSON answers instead of text.  NULL
   when libcurl cannot be initialised.  */
struct ask_client *ask_client_new (const struct settings_address *address,
                                   const char *who, bool json);

/* Free CLIENT.  CLIENT may be NULL.  */
void ask_client_free (struct ask_client *client);

/* Send LENGTH bytes of LINE, without retrying.  On STATUS_OK *HTTP_STATUS and
   *BODY are set from the answer; the caller frees *BODY with g_free.
   STATUS_UNAVAILABLE: the line was not sent.  STATUS_IN_DOUBT: it was sent,
   but no complete answer was received.  */
enum status ask_client_send (struct ask_client *client, const char *line,
                             size_t length, long *http_status, char **body);

#endif
