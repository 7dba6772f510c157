#include "base/counter.h"

#include <ck_pr.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

struct counter_entry
{
  const char *name;
  const char *help;
};

static const struct counter_entry catalogue[] = {
#define COUNTER(name, help) { #name, help },
#include "base/counters.def"
#undef COUNTER
};

static uint64_t values[COUNTER_COUNT];

void
counter_add (enum counter c, uint64_t n)
{
  ck_pr_add_64 (&values[c], n);
}

uint64_t
counter_get (enum counter c)
{
  return ck_pr_load_64 (&values[c]);
}

char *
counter_export (void)
{
  char *text = NULL;
  size_t length = 0;
  FILE *out = open_memstream (&text, &length);
  if (out == NULL)
    return NULL;
  for (int c = 0; c < COUNTER_COUNT; c++)
    {
      const struct counter_entry *e = &catalogue[c];
      fprintf (out, "# HELP crocusbend_%s %s\n", e->name, e->help);
      fprintf (out, "# TYPE crocusbend_%s counter\n", e->name);
      fprintf (out, "crocusbend_%s %" PRIu64 "\n", e->name,
               counter_get ((enum counter)c));
    }
  fclose (out);
  return text;
}

void
counter_format_deltas (char *text, size_t size)
{
  static uint64_t reported[COUNTER_COUNT];
  size_t used = 0;
  text[0] = '\0';
  for (int c = 0; c < COUNTER_COUNT; c++)
    {
      uint64_t value = counter_get ((enum counter)c);
      if (value == reported[c])
        continue;
      int length = snprintf (text + used, size - used, " %s=%" PRIu64,
                             catalogue[c].name, value - reported[c]);
      if (length < 0 || (size_t)length >= size - used)
        {
          text[used] = '\0';
          return;
        }
      used += (size_t)length;
      reported[c] = value;
    }
}
