/* The history checker.  Usage: standin_history [--slots] FILE...

   Prints each violation and their number.  Exit status: 0 no violations, 1
   violations, 2 a file cannot be read or the files hold neither runs nor
   answers.  */

#include "lib/history.h"

#include <stdlib.h>
#include <string.h>

enum
{
  EXIT_USAGE = 2
};

int
main (int argc, char **argv)
{
  bool by_slot = argc > 1 && strcmp (argv[1], "--slots") == 0;
  int code = EXIT_SUCCESS;
  struct history *h = history_new (by_slot);
  for (int i = by_slot ? 2 : 1; i < argc && code == EXIT_SUCCESS; i++)
    if (history_read (h, argv[i]) != STATUS_OK)
      {
        fprintf (stderr, "standin_history: %s\n", status_message ());
        code = EXIT_USAGE;
      }
  if (code == EXIT_SUCCESS)
    {
      unsigned count = history_check (h, stdout);
      printf ("%u runs, %u answers\n", history_runs (h), history_answers (h));
      if (history_answers (h) > 0 && history_runs_without_token (h) > 0)
        printf ("%u runs without a token\n", history_runs_without_token (h));
      printf ("%u violations\n", count);
      code = count > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
      if (count == 0 && history_runs (h) + history_answers (h) == 0)
        code = EXIT_USAGE;
    }
  history_free (h);
  return code;
}
