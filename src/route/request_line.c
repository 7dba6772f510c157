#include "route/request_line.h"

#include <glib.h>
#include <string.h>

#define PATH_PREFIX "/v1/"

enum
{
  NAME_LENGTH_MAX = 63,
  DEPTH_MAX = 9
};

bool
request_line_is_name (const char *text)
{
  size_t length = strlen (text);
  return length > 0 && length <= NAME_LENGTH_MAX
         && strspn (text, "abcdefghijklmnopqrstuvwxyz0123456789-_.") == length;
}

static bool
decode_key (const char *from, size_t length, char *key, size_t room)
{
  char *decoded = g_uri_unescape_segment (from, from + length, NULL);
  if (decoded == NULL)
    return false;
  size_t decoded_length = strlen (decoded);
  bool fits = decoded_length > 0 && decoded_length < room;
  if (fits)
    memcpy (key, decoded, decoded_length + 1);
  g_free (decoded);
  return fits;
}

bool
request_line_split (const char *uri, char *service, size_t service_room,
                    char *key, size_t key_room)
{
  if (strncmp (uri, PATH_PREFIX, strlen (PATH_PREFIX)) != 0)
    return false;
  const char *name = uri + strlen (PATH_PREFIX);
  size_t name_length = strcspn (name, "/?");
  if (name[name_length] != '/' || name_length >= service_room)
    return false;
  memcpy (service, name, name_length);
  service[name_length] = '\0';
  const char *segment = name + name_length + 1;
  memset (key, 0, key_room);
  return request_line_is_name (service)
         && decode_key (segment, strcspn (segment, "/?"), key, key_room);
}

bool
request_line_parse_idempotent (const char *value, const char *method,
                               bool *idempotent)
{
  if (value == NULL)
    *idempotent = strcmp (method, "GET") == 0 || strcmp (method, "HEAD") == 0;
  else if (strcmp (value, "yes") == 0)
    *idempotent = true;
  else if (strcmp (value, "no") == 0)
    *idempotent = false;
  else
    return false;
  return true;
}

bool
request_line_parse_deadline (const char *value, uint32_t most, uint32_t *ms)
{
  guint64 number;
  if (value == NULL)
    return true;
  if (!g_ascii_string_to_unsigned (value, 10, 1, most, &number, NULL))
    return false;
  *ms = (uint32_t)number;
  return true;
}

bool
request_line_parse_depth (const char *value, uint32_t *depth)
{
  guint64 number = 0;
  if (value != NULL
      && !g_ascii_string_to_unsigned (value, 10, 0, DEPTH_MAX, &number, NULL))
    return false;
  *depth = (uint32_t)number;
  return true;
}
