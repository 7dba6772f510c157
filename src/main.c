/* The crocusbend program.  The first argument selects the command.  */

#include "ask/ask.h"
#include "load/load.h"
#include "mesh/mesh.h"
#include "platform.h"
#include "report/report.h"
#include "route/node.h"
#include "settings/catalogue.h"
#include "settings/check.h"
#include "trace/trace.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VERSION "0.1.0"

enum
{
  EXIT_USAGE = 2
};

struct command
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *help; /* NULL: not listed in the usage */
};

static int
version_main (int argc, char **argv)
{
  (void)argc;
  (void)argv;
  printf ("crocusbend " VERSION "\n");
  return EXIT_SUCCESS;
}

static int
mesh_main (int argc, char **argv)
{
  struct settings settings;
  char *findings;
  if (argc != 2)
    {
      fprintf (stderr, "Usage: crocusbend mesh SETTINGS.yaml\n");
      return EXIT_USAGE;
    }
  if (settings_load (&settings, argv[1], &findings) != STATUS_OK)
    {
      fputs (findings, stderr);
      free (findings);
      return EXIT_FAILURE;
    }
  return mesh_run (&settings, platform_dialect ());
}

static const struct command commands[] = {
  { "ask", ask_main, "query a node or send it a command" },
  { "catalogue", catalogue_main, NULL },
  { "check", check_main, "check settings files" },
  { "node", node_main, "run a node next to its target" },
  { "load", load_main,
    "generate load on a service and print rates and outcomes" },
  { "mesh", mesh_main, "run a mesh node next to its target" },
  { "report", report_main, "report error budget burn rates" },
  { "trace", trace_main, "reconstruct the path of a request from logs" },
  { "version", version_main, "print the version" },
};

static void
print_usage (FILE *out)
{
  fprintf (out, "Usage: crocusbend COMMAND [OPTION...]\n\nCommands:\n");
  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    if (commands[i].help != NULL)
      fprintf (out, "  %-8s %s\n", commands[i].name, commands[i].help);
  fprintf (out, "\nSee 'crocusbend COMMAND --help' for details.\n");
}

int
main (int argc, char **argv)
{
  if (argc < 2)
    {
      print_usage (stderr);
      return EXIT_USAGE;
    }
  if (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "help") == 0)
    {
      print_usage (stdout);
      return EXIT_SUCCESS;
    }
  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      return commands[i].run (argc - 1, argv + 1);
  fprintf (stderr, "crocusbend: unknown command '%s'\n", argv[1]);
  print_usage (stderr);
  return EXIT_USAGE;
}
