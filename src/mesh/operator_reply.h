/* Responses to operators.  */

#ifndef MESH_OPERATOR_REPLY_H
#define MESH_OPERATOR_REPLY_H

#include "http/server.h"
#include <glib.h>
#include <jansson.h>

void respond_text (struct http_server_exchange *exchange, int status,
                   const char *text);

/* Append JSON, which is consumed, to LINES as a line.  */
void append_json_line (GString *lines, json_t *json);

/* Respond with LINES, which are consumed.  */
void respond_json_lines (struct http_server_exchange *exchange,
                         GString *lines);

#endif
