/* The schema of the settings: one entry for each line of settings.def.  */

#ifndef SETTINGS_SCHEMA_H
#define SETTINGS_SCHEMA_H

#include "settings/settings.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The position of each setting in the schema.  */
enum setting_index
{
#define SETTING(section, key, type, field, low, high, initial, help)          \
  SETTING_##section##_##key,
#include "settings/settings.def"
#undef SETTING
  SETTING_COUNT
};

enum setting_type
{
  SETTING_NAME,
  SETTING_PREFIX,
  SETTING_ADDRESS,
  SETTING_ADDRESSES, /* a sequence; each element is an address */
  SETTING_NUMBER,
  SETTING_SWITCH,
  SETTING_POLICY,
  SETTING_LEVEL,
  SETTING_TEXT,
  SETTING_TYPE_COUNT
};

struct setting
{
  const char *section;
  const char *key;
  enum setting_type type;
  size_t offset; /* of the field in struct settings */
  uint32_t min;
  uint32_t max;
  const char
      *default_text; /* the default; NULL when the setting is required */
  const char *help;
};

enum
{
  SETTING_PROBLEM_BYTES = 160
};

extern const struct setting settings_schema[SETTING_COUNT];

/* What a value of TYPE is, for messages and documentation.  */
const char *setting_type_description (enum setting_type type);

/* Parse TEXT as a value of DEF into S.  For SETTING_ADDRESSES it is the next
   address of the list.  False when TEXT is no such value; PROBLEM then says
   why and S is unchanged.  */
bool setting_parse (struct settings *s, const struct setting *def,
                    const char *text, char problem[SETTING_PROBLEM_BYTES]);

#endif
