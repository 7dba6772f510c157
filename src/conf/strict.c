#include "conf/strict.h"

#include <inttypes.h>
#include <string.h>

void
strict_add_finding (struct findings *f, const char *name, const char *problem)
{
  findings_add (f, 1, 1, name, "%s", problem);
}

bool
strict_read_integer (struct findings *f, const char *name, const json_t *value,
                     int64_t low, int64_t high, int64_t *integer)
{
  if (!json_is_integer (value) || json_integer_value (value) < low
      || json_integer_value (value) > high)
    {
      findings_add (f, 1, 1, name,
                    "is not a whole number from %" PRId64 " to %" PRId64, low,
                    high);
      return false;
    }
  *integer = json_integer_value (value);
  return true;
}

bool
strict_read_string (struct findings *f, const char *name, const json_t *value,
                    char *text, size_t room)
{
  if (!json_is_string (value) || json_string_length (value) >= room
      || strlen (json_string_value (value)) != json_string_length (value))
    {
      findings_add (f, 1, 1, name, "is not a text of at most %zu bytes",
                    room - 1);
      return false;
    }
  memcpy (text, json_string_value (value), json_string_length (value) + 1);
  return true;
}

bool
strict_check_keys (struct findings *f, const char *name, const json_t *object,
                   const char *const *keys)
{
  size_t wanted = 0;
  size_t present = 0;
  if (!json_is_object (object))
    {
      strict_add_finding (f, name, "is not an object");
      return false;
    }
  for (; keys[wanted] != NULL; wanted++)
    present += json_object_get (object, keys[wanted]) != NULL;
  if (present == wanted && json_object_size (object) == wanted)
    return true;
  strict_add_finding (f, name, "has unknown keys or lacks some");
  return false;
}

static unsigned
count_from_one (int place)
{
  return place < 1 ? 1 : (unsigned)place;
}

json_t *
strict_parse (struct findings *f, const char *text, size_t length)
{
  json_error_t error;
  json_t *root = json_loadb (text, length, JSON_REJECT_DUPLICATES, &error);
  if (root == NULL)
    findings_add (f, count_from_one (error.line),
                  count_from_one (error.column), "", "%s", error.text);
  return root;
}
