#include "settings/catalogue.h"

#include "base/log.h"
#include "settings/schema.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  EXIT_USAGE = 2
};

struct event_row
{
  int number;
  const char *name;
  enum log_level level;
  const char *text;
};

struct counter_row
{
  const char *name;
  const char *help;
};

static const struct event_row events[] = {
#define EVENT(number, name, level, text)                                      \
  { (number), #name, LOG_##level, text },
#include "base/events.def"
#undef EVENT
};

static const struct counter_row counters[] = {
#define COUNTER(name, help) { #name, help },
#include "base/counters.def"
#undef COUNTER
};

static const struct counter_row durations[] = {
#define DURATION(name, help) { #name, help },
#include "base/durations.def"
#undef DURATION
};

static void
print_events (void)
{
  printf ("| number | name | level | text |\n| --- | --- | --- | --- |\n");
  for (size_t i = 0; i < sizeof events / sizeof events[0]; i++)
    printf ("| %d | %s | %s | %s |\n", events[i].number, events[i].name,
            log_level_name (events[i].level), events[i].text);
}

static void
print_counters (void)
{
  printf ("| counter | meaning |\n| --- | --- |\n");
  for (size_t i = 0; i < sizeof counters / sizeof counters[0]; i++)
    printf ("| crocusbend_%s | %s |\n", counters[i].name, counters[i].help);
  for (size_t i = 0; i < sizeof durations / sizeof durations[0]; i++)
    printf ("| crocusbend_%s_us | summary: %s, microseconds |\n",
            durations[i].name, durations[i].help);
}

static void
print_range (const struct setting *def)
{
  switch (def->type)
    {
    case SETTING_NUMBER:
      printf ("%" PRIu32 " to %" PRIu32, def->min, def->max);
      break;
    case SETTING_NAME:
    case SETTING_PREFIX:
    case SETTING_TEXT:
      printf ("length %" PRIu32 " to %" PRIu32, def->min, def->max);
      break;
    case SETTING_ADDRESS:
      printf ("port %" PRIu32 " to %" PRIu32, def->min, def->max);
      break;
    case SETTING_ADDRESSES:
      printf ("%" PRIu32 " to %" PRIu32 " addresses", def->min, def->max);
      break;
    default:
      break;
    }
}

static const char *
default_description (const struct setting *def)
{
  if (def->default_text == NULL)
    return "required";
  return def->default_text[0] == '\0' ? "none" : def->default_text;
}

static void
print_settings (void)
{
  printf ("| setting | value | range | default | meaning |\n"
          "| --- | --- | --- | --- | --- |\n");
  for (int i = 0; i < SETTING_COUNT; i++)
    {
      const struct setting *def = &settings_schema[i];
      printf ("| %s.%s | %s | ", def->section, def->key,
              setting_type_description (def->type));
      print_range (def);
      printf (" | %s | %s |\n", default_description (def), def->help);
    }
}

int
catalogue_main (int argc, char **argv)
{
  const char *table = argc == 2 ? argv[1] : "";
  if (strcmp (table, "events") == 0)
    print_events ();
  else if (strcmp (table, "counters") == 0)
    print_counters ();
  else if (strcmp (table, "settings") == 0)
    print_settings ();
  else
    {
      fprintf (stderr,
               "Usage: crocusbend catalogue events|counters|settings\n");
      return EXIT_USAGE;
    }
  return EXIT_SUCCESS;
}
