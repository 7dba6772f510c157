#include "load/load.h"

#include "load/drive.h"
#include "load/journal.h"
#include "load/options.h"
#include "load/tally.h"
#include "load/workload.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  EXIT_USAGE = 2
};

static int
run (const struct load_options *o)
{
  double elapsed_s = 0;
  int code = EXIT_FAILURE;
  struct workload *w = workload_new (o);
  struct tally *t = w == NULL ? NULL : tally_new (o, w);
  struct journal *j = t == NULL ? NULL : journal_open (o->journal_path);
  if (t == NULL)
    fprintf (stderr, "crocusbend load: no memory\n");
  else if (j == NULL || drive_load (o, w, t, j, &elapsed_s) != STATUS_OK)
    fprintf (stderr, "crocusbend load: %s\n", status_message ());
  else
    {
      tally_print (t, elapsed_s, o->json, stdout);
      if (tally_count (t, OUTCOME_ANSWERED) > 0 && tally_foreign (t) == 0)
        code = EXIT_SUCCESS;
    }
  journal_close (j);
  tally_free (t);
  workload_free (w);
  return code;
}

int
load_main (int argc, char **argv)
{
  struct load_options o;
  char *findings = NULL;
  int code = EXIT_USAGE;
  if (load_options_parse (&o, argc, argv, &findings) == STATUS_OK)
    code = run (&o);
  else
    fputs (findings, stderr);
  g_free (findings);
  load_options_clear (&o);
  return code;
}
