/* Measures a configuration at several sizes: its bytes in the store and the
   time to apply a command, to write and parse JSON, and to look up an
   organisation.  Runs in one thread without network traffic.  */

#include "base/clock.h"
#include "conf/conf.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  REPEATS = 200,
  LOOKUPS = 1000000,
  LOOKUP_STRIDE = 7919 /* avoids lookups in storage order */
};

static void
format_organisation (char name[CONF_NAME_BYTES], unsigned i)
{
  snprintf (name, CONF_NAME_BYTES, "organisation-%05u", i);
}

static struct conf *
apply_mark (struct conf *c, unsigned i, enum conf_kind kind)
{
  struct findings *findings = findings_new ("bench");
  struct conf_command command = { .action = CONF_MARK_ORGANISATION };
  struct conf *next = NULL;
  command.kind = kind;
  command.change_id = i;
  format_organisation (command.organisation, i);
  snprintf (command.who, sizeof command.who, "ann");
  snprintf (command.why, sizeof command.why, "contract from March");
  snprintf (command.text, sizeof command.text,
            "mark organisation %s %s by ann because \"contract from March\"",
            command.organisation, conf_kind_name (kind));
  if (conf_apply (c, &command, findings, &next) != STATUS_OK)
    abort ();
  findings_free (findings);
  conf_unref (c);
  return next;
}

static void
print_figure (const char *name, unsigned size, double value, const char *unit)
{
  printf ("figure conf_%s_%u %.3f %s\n", name, size, value, unit);
}

static struct conf *
measure_apply (struct conf *c, unsigned size)
{
  int64_t start_ns = clock_now_ns ();
  for (unsigned i = 0; i < REPEATS; i++)
    c = apply_mark (c, 0, i % 2 == 0 ? CONF_TRIAL : CONF_PAYING);
  int64_t elapsed_ns = clock_now_ns () - start_ns;
  print_figure ("apply", size, (double)elapsed_ns / REPEATS / NS_PER_US, "us");
  return c;
}

static void
measure_json (struct conf *c, unsigned size)
{
  struct findings *findings = findings_new ("bench");
  size_t length = 0;
  int64_t start_ns = clock_now_ns ();
  for (unsigned i = 0; i < REPEATS; i++)
    {
      char *json = conf_to_json (c);
      length = strlen (json);
      conf_unref (conf_from_json (json, length, findings));
      free (json);
    }
  int64_t elapsed_ns = clock_now_ns () - start_ns;
  print_figure ("json", size, (double)length, "bytes");
  print_figure ("write_and_read", size,
                (double)elapsed_ns / REPEATS / NS_PER_US, "us");
  findings_free (findings);
}

/* The cost of one change at a node that applies the tail, the changes since
   its revision, in place of the whole configuration.  */
static void
measure_tail (struct conf *c, unsigned size)
{
  struct findings *findings = findings_new ("bench");
  struct conf *next = apply_mark (conf_ref (c), 0, CONF_TRIAL);
  char *tail = conf_tail_to_json (next, conf_revision (c));
  int64_t start_ns = clock_now_ns ();
  for (unsigned i = 0; i < REPEATS; i++)
    {
      struct conf *updated = NULL;
      if (conf_apply_tail (c, tail, strlen (tail), findings, &updated)
          != STATUS_OK)
        abort ();
      conf_unref (updated);
    }
  int64_t elapsed_ns = clock_now_ns () - start_ns;
  print_figure ("tail", size, (double)strlen (tail), "bytes");
  print_figure ("follow_tail", size, (double)elapsed_ns / REPEATS / NS_PER_US,
                "us");
  free (tail);
  conf_unref (next);
  findings_free (findings);
}

static void
measure_lookup (struct conf *c, unsigned size)
{
  char name[CONF_NAME_BYTES];
  unsigned paying = 0;
  int64_t start_ns = clock_now_ns ();
  for (unsigned i = 0; i < LOOKUPS; i++)
    format_organisation (name, i * LOOKUP_STRIDE % size);
  int64_t format_ns = clock_now_ns () - start_ns;
  start_ns = clock_now_ns ();
  for (unsigned i = 0; i < LOOKUPS; i++)
    {
      format_organisation (name, i * LOOKUP_STRIDE % size);
      paying += conf_organisation_kind (c, name) == CONF_PAYING;
    }
  int64_t elapsed_ns = clock_now_ns () - start_ns - format_ns;
  if (paying == 0)
    abort ();
  print_figure ("lookup", size, (double)elapsed_ns / LOOKUPS, "ns");
}

int
main (void)
{
  static const unsigned sizes[] = { 16, 256, 2048, CONF_ORGANISATIONS_MAX };
  for (unsigned s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    {
      struct conf *c = conf_new ();
      for (unsigned i = 0; i < sizes[s]; i++)
        c = apply_mark (c, i, CONF_PAYING);
      c = measure_apply (c, sizes[s]);
      measure_json (c, sizes[s]);
      measure_tail (c, sizes[s]);
      measure_lookup (c, sizes[s]);
      conf_unref (c);
    }
  return EXIT_SUCCESS;
}
