/* The stand-in store as a program: POST /v3/kv/range, put, txn, deleterange,
   /v3/lease/grant, keepalive, revoke, and /v3/watch as etcd's JSON gateway.

   GET /control tells counts.  POST /control replaces all faults:
   {"down": bool, "delay_ms": n, "lose_answers": n, "stall_watches": bool,
    "seconds": how long, for ever if absent}  */

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
    "changes kept for watches (10000)", "N" },
  { "progress-ms", 0, 0, G_OPTION_ARG_INT, &progress_ms,
    "time between progress notifications (500)", "MS" },
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
