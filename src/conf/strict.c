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
                    char *text, size_t size)
{
  if (!json_is_string (value) || json_string_length (value) >= size
      || strlen (json_string_value (value)) != json_string_length (value))
    {
      findings_add (f, 1, 1, name, "is not a string of at most %zu bytes",
                    size - 1);
      return false;
    }
  memcpy (text, json_string_value (value), json_string_length (value) + 1);
  return true;
}

bool
strict_check_keys (struct findings *f, const char *name, const json_t *object,
                   const char *const *keys)
{
  size_t expected = 0;
  size_t present = 0;
  if (!json_is_object (object))
    {
      strict_add_finding (f, name, "is not an object");
      return false;
    }
  for (; keys[expected] != NULL; expected++)
    present += json_object_get (object, keys[expected]) != NULL;
  if (present == expected && json_object_size (object) == expected)
    return true;
  strict_add_finding (f, name, "has unknown or missing keys");
  return false;
}

static unsigned
to_position (int value)
{
  return value < 1 ? 1 : (unsigned)value;
}

json_t *
strict_parse (struct findings *f, const char *text, size_t length)
{
  json_error_t error;
  json_t *root = json_loadb (text, length, JSON_REJECT_DUPLICATES, &error);
  if (root == NULL)
    findings_add (f, to_position (error.line), to_position (error.column), "",
                  "%s", error.text);
  return root;
}
