#include "settings/check.h"

#include "settings/settings.h"
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  EXIT_USAGE = 2
};

static bool
check_file (const char *path)
{
  struct settings s;
  char *findings = NULL;
  if (settings_load (&s, path, &findings) == STATUS_OK)
    {
      printf ("%s: valid\n", path);
      return true;
    }
  fputs (findings, stdout);
  free (findings);
  return false;
}

static int
check_files (char **paths)
{
  int code = EXIT_SUCCESS;
  for (; *paths != NULL; paths++)
    if (!check_file (*paths))
      code = EXIT_FAILURE;
  return code;
}

int
check_main (int argc, char **argv)
{
  char **paths = NULL;
  GError *error = NULL;
  GOptionEntry entries[]
      = { { G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &paths,
            NULL, "FILE..." },
          { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL } };
  GOptionContext *context = g_option_context_new ("- check settings files");
  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_set_description (
      context, "Exit code: 0 if all files are valid, 1 if any is not, 2 for "
               "invalid arguments.");
  g_set_prgname ("crocusbend check");
  int code = EXIT_USAGE;
  if (!g_option_context_parse (context, &argc, &argv, &error))
    fprintf (stderr, "crocusbend check: %s\n", error->message);
  else if (paths == NULL)
    fprintf (stderr, "crocusbend check: FILE is missing\n");
  else
    code = check_files (paths);
  g_clear_error (&error);
  g_strfreev (paths);
  g_option_context_free (context);
  return code;
}
