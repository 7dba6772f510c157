/* Parsing of a caller's request line and headers.  Pure functions.  */

#ifndef ROUTE_REQUEST_LINE_H
#define ROUTE_REQUEST_LINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Split URI, "/v1/SERVICE/KEY[/REST][?QUERY]", into SERVICE and the decoded
   KEY.  False when it has another form, a part is empty or too long, or the
   percent-encoding is wrong.  */
bool request_line_split (const char *uri, char *service, size_t service_room,
                         char *key, size_t key_room);

/* Whether TEXT is a valid name: 1 to 63 characters of a-z 0-9 - _ .  */
bool request_line_is_name (const char *text);

/* Parse the header VALUE "yes" or "no".  When it is absent (NULL), GET and
   HEAD are idempotent.  False for any other value.  */
bool request_line_parse_idempotent (const char *value, const char *method,
                                    bool *idempotent);

/* Parse the header VALUE, a number from 1 to MOST, into *MS, which is kept
   when the header is absent (NULL).  False for any other value.  */
bool request_line_parse_deadline (const char *value, uint32_t most,
                                  uint32_t *ms);

/* Parse the header VALUE, the depth of a lookup: a number from 0 to 9, or 0
   when the header is absent (NULL).  False for any other value.  */
bool request_line_parse_depth (const char *value, uint32_t *depth);

#endif
