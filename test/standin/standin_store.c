/* The stand-in store.  It serves POST /v3/kv/range, put, txn and deleterange,
   /v3/lease/grant, keepalive and revoke, and /v3/watch, like etcd's JSON
   gateway.

   GET /control returns counters.  POST /control replaces all faults:
   {"down": bool, "delay_ms": n, "lose_answers": n, "stall_watches": bool,
    "seconds": duration, unlimited if absent}  */

#include "lib/standin_etcd.h"
#include "lib/standin_http.h"
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  HISTORY = 10000,
  PROGRESS_MS = 500
};

static char *listen_address = "127.0.0.1:2379";
static int history = HISTORY;
static int progress_ms = PROGRESS_MS;

static const GOptionEntry entries[] = {
  { "listen", 'l', 0, G_OPTION_ARG_STRING, &listen_address,
    "listen here (127.0.0.1:2379)", "HOST:PORT" },
  { "history", 0, 0, G_OPTION_ARG_INT, &history,
    "number of changes kept for watches (10000)", "N" },
  { "progress-ms", 0, 0, G_OPTION_ARG_INT, &progress_ms,
    "interval of progress notifications (500)", "MS" },
  G_OPTION_ENTRY_NULL,
};

int
main (int argc, char **argv)
{
  GError *error = NULL;
  GOptionContext *context = g_option_context_new ("- a stand-in store");
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "standin_store: %s\n", error->message);
      return 2;
    }
  g_option_context_free (context);
  standin_block_signals ();
  struct standin_etcd_options options
      = { listen_address, (unsigned)history, (unsigned)progress_ms };
  struct standin_etcd *e = standin_etcd_new (&options);
  if (e == NULL)
    {
      fprintf (stderr, "standin_store: cannot listen on %s\n", listen_address);
      return EXIT_FAILURE;
    }
  standin_wait_for_signal ();
  standin_etcd_free (e);
  return EXIT_SUCCESS;
}
