#include "route/node.h"
#include "base/clock.h"
#include "base/kernel.h"
#include "base/log.h"
#include "route/callers.h"
#include "route/callstats.h"
#include "route/confd.h"
#include "route/map.h"
#include "route/operator.h"
#include "route/ownd.h"
#include "route/peers.h"
#include "route/rated.h"
#include "route/router.h"
#include "route/storeq.h"
#include "route/target.h"
#include "settings/settings.h"

#include <curl/curl.h>
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

enum
{
  EXIT_USAGE = 2,
  READY_POLL_MS = 20
};

typedef struct service *service_constructor (struct kernel *k,
                                             const struct settings *s,
                                             struct map *m);

/* In the order of their start.  They are drained in the reverse order:
   ownership is handed over first, while everything else still serves.  */
static service_constructor *const constructors[] = {
  storeq_new, peers_new,  confd_new,   callstats_new, rated_new,
  target_new, router_new, callers_new, operator_new,  ownd_new,
};

static enum status
register_services (struct kernel *k, const struct settings *s, struct map *m)
{
  enum status status = STATUS_OK;
  for (size_t i = 0; i < sizeof constructors / sizeof constructors[0]; i++)
    if (status == STATUS_OK)
      status = kernel_register (k, constructors[i](k, s, m));
  return status;
}

/* Print "ready" once the node serves, then wait for a signal to stop.  */
static void
wait_for_stop (struct kernel *k, const sigset_t *signals)
{
  struct service *ownd = kernel_find (k, OWND_SERVICE);
  struct timespec poll = { 0, READY_POLL_MS * NS_PER_MS };
  int number = -1;
  while (number < 0 && !ownd_is_serving (ownd))
    number = sigtimedwait (signals, NULL, &poll);
  if (number >= 0)
    return;
  printf ("ready\n");
  fflush (stdout);
  while (sigwaitinfo (signals, NULL) < 0)
    continue;
}

static enum status
run_kernel (struct kernel *k, const struct settings *s, struct map *m,
            const sigset_t *signals)
{
  enum status status = register_services (k, s, m);
  log_event (EV_STARTED, "node=%s service=%s zone=%s", s->name, s->service,
             s->zone);
  if (status == STATUS_OK)
    status = kernel_start (k);
  if (status != STATUS_OK)
    return status;
  wait_for_stop (k, signals);
  log_event (EV_STOPPING, "node=%s", s->name);
  kernel_stop (k);
  log_event (EV_STOPPED, "node=%s", s->name);
  return STATUS_OK;
}

static int
run_node (const struct settings *s)
{
  sigset_t signals;
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  /* Blocked in all threads, so that further signals do not interrupt a
     shutdown.  */
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
  log_set_level (s->log_level);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  struct kernel *k = kernel_new ();
  struct map *m = map_new ();
  enum status status = STATUS_NO_MEMORY;
  if (k != NULL && m != NULL)
    status = run_kernel (k, s, m, &signals);
  if (status != STATUS_OK)
    fprintf (stderr, "crocusbend node: %s: %s\n", status_text (status),
             status_message ());
  kernel_free (k);
  map_free (m);
  curl_global_cleanup ();
  return status == STATUS_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}

static bool
parse_options (int *argc, char ***argv)
{
  GError *error = NULL;
  GOptionContext *context = g_option_context_new ("SETTINGS.yaml");
  g_option_context_set_summary (
      context,
      "Run the node that the settings file describes, until SIGTERM.\n"
      "Prints \"ready\" when it serves.  Exit status: 0 after a "
      "graceful\nshutdown, 1 when it cannot start, 2 for wrong "
      "arguments.");
  bool parsed = g_option_context_parse (context, argc, argv, &error);
  if (!parsed)
    {
      fprintf (stderr, "crocusbend node: %s\n", error->message);
      g_error_free (error);
    }
  g_option_context_free (context);
  return parsed;
}

int
node_main (int argc, char **argv)
{
  static struct settings settings;
  char *findings = NULL;
  if (!parse_options (&argc, &argv))
    return EXIT_USAGE;
  if (argc != 2)
    {
      fprintf (stderr, "crocusbend node: one settings file is needed\n");
      return EXIT_USAGE;
    }
  if (settings_load (&settings, argv[1], &findings) != STATUS_OK)
    {
      fputs (findings, stderr);
      free (findings);
      return EXIT_FAILURE;
    }
  return run_node (&settings);
}
