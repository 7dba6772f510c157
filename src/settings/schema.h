/* The schema of the settings, generated from settings.def.  */

#ifndef SETTINGS_SCHEMA_H
#define SETTINGS_SCHEMA_H

#include "settings/settings.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Index of each setting in settings_schema.  */
enum setting_index
{
#define SETTING(section, key, type, field, min, max, default_text, help)      \
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
  SETTING_ADDRESSES, /* a sequence of addresses */
  SETTING_NUMBER,
  SETTING_DECIMAL, /* kept in thousandths */
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
  size_t offset; /* of the member in struct settings */
  /* Bounds of a number, of the length of a text, of a port or of the number of
     addresses.  */
  uint32_t min;
  uint32_t max;
  const char *default_text; /* NULL if the setting is required */
  const char *help;
};

enum
{
  SETTING_PROBLEM_BYTES = 160
};

extern const struct setting settings_schema[SETTING_COUNT];

/* A description of the values of TYPE, for messages and documentation.  */
const char *setting_type_description (enum setting_type type);

/* Parse TEXT as a value of DEF into S.  For SETTING_ADDRESSES, TEXT is
   appended to the list.  False if TEXT is invalid; PROBLEM then describes why
   and S is unchanged.  */
bool setting_parse (struct settings *s, const struct setting *def,
                    const char *text, char problem[SETTING_PROBLEM_BYTES]);

#endif
