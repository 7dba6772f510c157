/* The cost of a configuration at several sizes: bytes in the store, time to
   apply a command, to write and read JSON, and to look up an organisation.
   One thread, nothing sent.  */

#include "base/clock.h"
#include "conf/conf.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  REPEATS = 200,
  LOOKUPS = 1000000,
  NAME_STRIDE = 7919 /* so that lookups do not come in order */
};

static void
name_organisation (char name[CONF_NAME_BYTES], unsigned i)
{
  snprintf (name, CONF_NAME_BYTES, "organisation-%05u", i);
}

static struct conf *
apply (struct conf *c, unsigned i, enum conf_kind kind)
{
  struct findings *findings = findings_new ("bench");
  struct conf_command command = { .action = CONF_MARK_ORGANISATION };
  struct conf *next = NULL;
  command.kind = kind;
  command.change_id = i;
  name_organisation (command.organisation, i);
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
  int64_t begin_ns = clock_now_ns ();
  for (unsigned i = 0; i < REPEATS; i++)
    c = apply (c, 0, i % 2 == 0 ? CONF_TRIAL : CONF_PAYING);
  int64_t spent_ns = clock_now_ns () - begin_ns;
  print_figure ("apply", size, (double)spent_ns / REPEATS / NS_PER_US, "us");
  return c;
}

static void
measure_json (struct conf *c, unsigned size)
{
  struct findings *findings = findings_new ("bench");
  size_t length = 0;
  int64_t begin_ns = clock_now_ns ();
  for (unsigned i = 0; i < REPEATS; i++)
    {
      char *json = conf_to_json (c);
      length = strlen (json);
      conf_unref (conf_from_json (json, length, findings));
      free (json);
    }
  int64_t spent_ns = clock_now_ns () - begin_ns;
  print_figure ("json", size, (double)length, "bytes");
  print_figure ("write_and_read", size, (double)spent_ns / REPEATS / NS_PER_US,
                "us");
  findings_free (findings);
}

/* What a node spends on one change when it follows the tail instead.  */
static void
measure_tail (struct conf *c, unsigned size)
{
  struct findings *findings = findings_new ("bench");
  struct conf *next = apply (conf_ref (c), 0, CONF_TRIAL);
  char *tail = conf_tail_to_json (next, conf_revision (c));
  int64_t begin_ns = clock_now_ns ();
  for (unsigned i = 0; i < REPEATS; i++)
    {
      struct conf *followed = NULL;
      if (conf_apply_tail (c, tail, strlen (tail), findings, &followed)
          != STATUS_OK)
        abort ();
      conf_unref (followed);
    }
  int64_t spent_ns = clock_now_ns () - begin_ns;
  print_figure ("tail", size, (double)strlen (tail), "bytes");
  print_figure ("follow_tail", size, (double)spent_ns / REPEATS / NS_PER_US,
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
  int64_t begin_ns = clock_now_ns ();
  for (unsigned i = 0; i < LOOKUPS; i++)
    name_organisation (name, i * NAME_STRIDE % size);
  int64_t naming_ns = clock_now_ns () - begin_ns;
  begin_ns = clock_now_ns ();
  for (unsigned i = 0; i < LOOKUPS; i++)
    {
      name_organisation (name, i * NAME_STRIDE % size);
      paying += conf_organisation_kind (c, name) == CONF_PAYING;
    }
  int64_t spent_ns = clock_now_ns () - begin_ns - naming_ns;
  if (paying == 0)
    abort ();
  print_figure ("lookup", size, (double)spent_ns / LOOKUPS, "ns");
}

int
main (void)
{
  static const unsigned sizes[] = { 16, 256, 2048, CONF_ORGANISATIONS_MAX };
  for (unsigned s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    {
      struct conf *c = conf_new ();
      for (unsigned i = 0; i < sizes[s]; i++)
        c = apply (c, i, CONF_PAYING);
      c = measure_apply (c, sizes[s]);
      measure_json (c, sizes[s]);
      measure_tail (c, sizes[s]);
      measure_lookup (c, sizes[s]);
      conf_unref (c);
    }
  return EXIT_SUCCESS;
}
