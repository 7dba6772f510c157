#include "settings/schema.h"

#include "settings/address.h"
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  DECIMAL_DIGITS_MAX = 10,
  FRACTION_DIGITS = 3,
  FRACTION_UNIT = 1000
};

const struct setting settings_schema[SETTING_COUNT] = {
#define SETTING(section, key, type, field, min, max, default_text, help)      \
  { #section, #key, SETTING_##type, offsetof (struct settings, field),        \
    min,      max,  default_text,   help },
#include "settings/settings.def"
#undef SETTING
};

static const char *const type_descriptions[SETTING_TYPE_COUNT] = {
  [SETTING_NAME] = "a name of a-z 0-9 - _ .",
  [SETTING_PREFIX] = "a path of a-z 0-9 - _ . /",
  [SETTING_ADDRESS] = "HOST:PORT or [HOST]:PORT with a numeric host",
  [SETTING_ADDRESSES] = "a list of addresses",
  [SETTING_NUMBER] = "a whole number",
  [SETTING_DECIMAL] = "a decimal number with at most three decimal places",
  [SETTING_SWITCH] = "yes or no",
  [SETTING_POLICY] = "unavailable-time-first or imbalance-first",
  [SETTING_LEVEL] = "debug, info, warning or error",
  [SETTING_TEXT] = "text",
};

/* Parses TEXT as a value of DEF into FIELD, or describes the problem in
   PROBLEM.  */
typedef bool parse_fn (void *field, const struct setting *def,
                       const char *text, char *problem);

static bool
report_mismatch (char *problem, const char *text, const char *expected)
{
  snprintf (problem, SETTING_PROBLEM_BYTES, "'%.64s' is not %s", text,
            expected);
  return false;
}

static bool
has_only_name_chars (const char *text, const char *punctuation)
{
  for (const char *p = text; *p != '\0'; p++)
    if (!islower ((unsigned char)*p) && !isdigit ((unsigned char)*p)
        && strchr (punctuation, *p) == NULL)
      return false;
  return true;
}

static bool
check_length (const struct setting *def, const char *text, char *problem)
{
  size_t length = strlen (text);
  if (length >= def->min && length <= def->max)
    return true;
  snprintf (problem, SETTING_PROBLEM_BYTES,
            "length %zu is not between %u and %u", length, def->min, def->max);
  return false;
}

static bool
parse_name (void *field, const struct setting *def, const char *text,
            char *problem)
{
  if (!check_length (def, text, problem))
    return false;
  if (!has_only_name_chars (text, "-_."))
    return report_mismatch (problem, text, type_descriptions[SETTING_NAME]);
  strcpy ((char *)field, text);
  return true;
}

static bool
parse_prefix (void *field, const struct setting *def, const char *text,
              char *problem)
{
  if (!check_length (def, text, problem))
    return false;
  if (!has_only_name_chars (text, "-_./"))
    return report_mismatch (problem, text, type_descriptions[SETTING_PREFIX]);
  if (text[0] != '/' || text[strlen (text) - 1] == '/')
    return report_mismatch (
        problem, text, "a path that starts with / and does not end with /");
  strcpy ((char *)field, text);
  return true;
}

/* Parse a decimal number without sign, white space or leading zeros.  */
static bool
parse_decimal (const char *text, uint64_t *value)
{
  size_t length = strspn (text, "0123456789");
  if (length == 0 || text[length] != '\0' || length > DECIMAL_DIGITS_MAX)
    return false;
  if (text[0] == '0' && length > 1)
    return false;
  *value = strtoull (text, NULL, 10);
  return true;
}

/* Parse the digits after the decimal point as thousandths.  */
static bool
parse_fraction (const char *text, uint64_t *thousandths)
{
  size_t length = strspn (text, "0123456789");
  if (length == 0 || length > FRACTION_DIGITS || text[length] != '\0')
    return false;
  *thousandths = 0;
  for (size_t i = 0; i < FRACTION_DIGITS; i++)
    *thousandths
        = *thousandths * 10 + (uint64_t)(i < length ? text[i] - '0' : 0);
  return true;
}

static bool
report_out_of_range (const struct setting *def, const char *text, bool low,
                     char *problem)
{
  snprintf (problem, SETTING_PROBLEM_BYTES, "%.64s is %s than %u", text,
            low ? "less" : "more", low ? def->min : def->max);
  return false;
}

static bool
parse_thousandths (void *field, const struct setting *def, const char *text,
                   char *problem)
{
  char whole[DECIMAL_DIGITS_MAX + 1];
  size_t length = strcspn (text, ".");
  uint64_t value = 0;
  uint64_t fraction = 0;
  bool valid = length < sizeof whole;
  if (valid)
    {
      memcpy (whole, text, length);
      whole[length] = '\0';
      valid = parse_decimal (whole, &value)
              && (text[length] == '\0'
                  || parse_fraction (text + length + 1, &fraction));
    }
  if (!valid)
    return report_mismatch (problem, text, type_descriptions[SETTING_DECIMAL]);
  value = value * FRACTION_UNIT + fraction;
  if (value < (uint64_t)def->min * FRACTION_UNIT
      || value > (uint64_t)def->max * FRACTION_UNIT)
    return report_out_of_range (
        def, text, value < (uint64_t)def->min * FRACTION_UNIT, problem);
  *(uint32_t *)field = (uint32_t)value;
  return true;
}

static bool
parse_number (void *field, const struct setting *def, const char *text,
              char *problem)
{
  uint64_t value = 0;
  if (!parse_decimal (text, &value))
    return report_mismatch (problem, text, type_descriptions[SETTING_NUMBER]);
  if (value >= def->min && value <= def->max)
    {
      *(uint32_t *)field = (uint32_t)value;
      return true;
    }
  return report_out_of_range (def, text, value < def->min, problem);
}

static bool
parse_address (void *field, const struct setting *def, const char *text,
               char *problem)
{
  (void)def;
  switch (settings_address_parse (text, (struct settings_address *)field))
    {
    case ADDRESS_VALID:
      return true;
    case ADDRESS_PORT_INVALID:
      snprintf (problem, SETTING_PROBLEM_BYTES,
                "port '%.16s' is not a number from 1 to 65535",
                strrchr (text, ':') + 1);
      return false;
    default:
      return report_mismatch (problem, text,
                              type_descriptions[SETTING_ADDRESS]);
    }
}

static bool
parse_switch (void *field, const struct setting *def, const char *text,
              char *problem)
{
  (void)def;
  bool on = strcmp (text, "yes") == 0 || strcmp (text, "true") == 0;
  if (!on && strcmp (text, "no") != 0 && strcmp (text, "false") != 0)
    return report_mismatch (problem, text, type_descriptions[SETTING_SWITCH]);
  *(bool *)field = on;
  return true;
}

static bool
parse_policy (void *field, const struct setting *def, const char *text,
              char *problem)
{
  enum settings_policy *policy = (enum settings_policy *)field;
  (void)def;
  if (strcmp (text, "unavailable-time-first") == 0)
    *policy = POLICY_UNAVAILABLE_TIME_FIRST;
  else if (strcmp (text, "imbalance-first") == 0)
    *policy = POLICY_IMBALANCE_FIRST;
  else
    return report_mismatch (problem, text, type_descriptions[SETTING_POLICY]);
  return true;
}

static bool
parse_level (void *field, const struct setting *def, const char *text,
             char *problem)
{
  (void)def;
  for (int level = LOG_DEBUG; level <= LOG_ERROR; level++)
    if (strcmp (text, log_level_name ((enum log_level)level)) == 0)
      {
        *(enum log_level *)field = (enum log_level)level;
        return true;
      }
  return report_mismatch (problem, text, type_descriptions[SETTING_LEVEL]);
}

static bool
parse_text (void *field, const struct setting *def, const char *text,
            char *problem)
{
  if (!check_length (def, text, problem))
    return false;
  strcpy ((char *)field, text);
  return true;
}

static parse_fn *const parsers[SETTING_TYPE_COUNT] = {
  [SETTING_NAME] = parse_name,       [SETTING_PREFIX] = parse_prefix,
  [SETTING_ADDRESS] = parse_address, [SETTING_ADDRESSES] = parse_address,
  [SETTING_NUMBER] = parse_number,   [SETTING_SWITCH] = parse_switch,
  [SETTING_POLICY] = parse_policy,   [SETTING_LEVEL] = parse_level,
  [SETTING_TEXT] = parse_text,       [SETTING_DECIMAL] = parse_thousandths,
};

static bool
append_address (struct settings *s, const struct setting *def,
                const char *text, char *problem)
{
  if (s->store_count >= def->max)
    {
      snprintf (problem, SETTING_PROBLEM_BYTES, "more than %u addresses",
                def->max);
      return false;
    }
  if (!parse_address (&s->stores[s->store_count], def, text, problem))
    return false;
  s->store_count++;
  return true;
}

const char *
setting_type_description (enum setting_type type)
{
  return type_descriptions[type];
}

bool
setting_parse (struct settings *s, const struct setting *def, const char *text,
               char problem[SETTING_PROBLEM_BYTES])
{
  if (def->type == SETTING_ADDRESSES)
    return append_address (s, def, text, problem);
  return parsers[def->type]((char *)s + def->offset, def, text, problem);
}
