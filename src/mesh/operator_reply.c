#include "mesh/operator_reply.h"

#include <stdlib.h>
#include <string.h>

void
respond_text (struct http_server_exchange *exchange, int status,
              const char *text)
{
  http_respond (exchange, status, NULL, text, strlen (text));
}

void
append_json_line (GString *lines, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);
  g_string_append_printf (lines, "%s\n", text);
  free (text);
  json_decref (json);
}

void
respond_json_lines (struct http_server_exchange *exchange, GString *lines)
{
  http_respond (exchange, 200, "Content-Type: application/x-ndjson\r\n",
                lines->str, lines->len);
  g_string_free (lines, TRUE);
}
