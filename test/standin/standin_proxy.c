/* The fault-injecting proxy.

   GET /control returns the faults and the traffic of each route.  POST
   /control changes only the faults that it names:
   {"route": NAME or "*", "direction": "to", "from" or "both" (if absent),
    "clear": bool, "cut": bool, "reset": bool, "delay_ms": n, "jitter_ms": n,
    "loss": percent, "duplicate": percent}  */

#include "base/clock.h"
#include "lib/standin_http.h"
#include "lib/standin_relay.h"
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ROUTE_PARTS = 3
};

static char *control_address = "127.0.0.1:8474";
static char **tcp_routes;
static char **udp_routes;
static int seed;

static const GOptionEntry entries[] = {
  { "control", 'c', 0, G_OPTION_ARG_STRING, &control_address,
    "address of the control endpoint (127.0.0.1:8474)", "HOST:PORT" },
  { "tcp", 0, 0, G_OPTION_ARG_STRING_ARRAY, &tcp_routes, "forward connections",
    "NAME=LISTEN=TARGET" },
  { "udp", 0, 0, G_OPTION_ARG_STRING_ARRAY, &udp_routes, "forward datagrams",
    "NAME=LISTEN=TARGET" },
  { "seed", 0, 0, G_OPTION_ARG_INT, &seed,
    "seed of all random faults (from the clock if absent)", "N" },
  G_OPTION_ENTRY_NULL,
};

static void
set_time (int64_t *ns, const json_t *in, const char *member)
{
  const json_t *value = json_object_get (in, member);
  if (json_is_number (value))
    *ns = (int64_t)(json_number_value (value) * (double)NS_PER_MS);
}

static void
set_percent (double *percent, const json_t *in, const char *member)
{
  const json_t *value = json_object_get (in, member);
  if (json_is_number (value))
    *percent = json_number_value (value);
}

static void
set_flag (bool *flag, const json_t *in, const char *member)
{
  const json_t *value = json_object_get (in, member);
  if (json_is_boolean (value))
    *flag = json_is_true (value);
}

static void
change_faults (struct standin_relay *r, int index, enum standin_direction d,
               const json_t *in)
{
  struct standin_faults f = standin_relay_faults (r, index, d);
  if (json_is_true (json_object_get (in, "clear")))
    f = (struct standin_faults){ 0 };
  set_flag (&f.cut, in, "cut");
  set_flag (&f.reset, in, "reset");
  set_time (&f.delay_ns, in, "delay_ms");
  set_time (&f.jitter_ns, in, "jitter_ms");
  set_percent (&f.loss_percent, in, "loss");
  set_percent (&f.duplicate_percent, in, "duplicate");
  standin_relay_set_faults (r, index, d, &f);
}

/* Apply the faults of IN; false if it names no known route or direction.  */
static bool
apply_control (struct standin_relay *r, const json_t *in)
{
  const char *route = json_string_value (json_object_get (in, "route"));
  const char *direction
      = json_string_value (json_object_get (in, "direction"));
  bool both = direction == NULL || strcmp (direction, "both") == 0;
  bool to = both || strcmp (direction, "to") == 0;
  bool from = both || strcmp (direction, "from") == 0;
  bool found = false;
  if (route == NULL || !(to || from))
    return false;
  for (int i = 0; i < standin_relay_route_count (r); i++)
    {
      if (strcmp (route, "*") != 0
          && strcmp (route, standin_relay_route_name (r, i)) != 0)
        continue;
      found = true;
      if (to)
        change_faults (r, i, STANDIN_TO_TARGET, in);
      if (from)
        change_faults (r, i, STANDIN_FROM_TARGET, in);
    }
  return found;
}

static json_t *
direction_json (struct standin_relay *r, int index, enum standin_direction d)
{
  struct standin_faults f = standin_relay_faults (r, index, d);
  struct standin_traffic p = standin_relay_traffic (r, index, d);
  return json_pack (
      "{s:b,s:b,s:f,s:f,s:f,s:f,s:I,s:I,s:I,s:I}", "cut", f.cut, "reset",
      f.reset, "delay_ms", (double)f.delay_ns / (double)NS_PER_MS, "jitter_ms",
      (double)f.jitter_ns / (double)NS_PER_MS, "loss", f.loss_percent,
      "duplicate", f.duplicate_percent, "passed", (json_int_t)p.passed,
      "bytes", (json_int_t)p.bytes, "lost", (json_int_t)p.lost, "duplicated",
      (json_int_t)p.duplicated);
}

static char *
status_json (struct standin_relay *r)
{
  json_t *out = json_object ();
  for (int i = 0; i < standin_relay_route_count (r); i++)
    {
      int open;
      uint64_t total;
      standin_relay_connections (r, i, &open, &total);
      json_object_set_new (
          out, standin_relay_route_name (r, i),
          json_pack ("{s:i,s:I,s:o,s:o}", "open", open, "opened",
                     (json_int_t)total, "to",
                     direction_json (r, i, STANDIN_TO_TARGET), "from",
                     direction_json (r, i, STANDIN_FROM_TARGET)));
    }
  char *text = json_dumps (out, JSON_COMPACT);
  json_decref (out);
  return text;
}

static enum standin_action
handle (void *arg, struct standin_call *call)
{
  struct standin_relay *r = arg;
  unsigned status = MHD_HTTP_OK;
  if (strcmp (call->path, "/control") != 0)
    status = MHD_HTTP_NOT_FOUND;
  else if (strcmp (call->method, "POST") == 0)
    {
      json_t *in = json_loads (call->body, 0, NULL);
      if (!apply_control (r, in))
        status = MHD_HTTP_BAD_REQUEST;
      json_decref (in);
    }
  standin_call_answer (
      call, status, status == MHD_HTTP_OK ? status_json (r) : strdup ("{}"));
  return STANDIN_ANSWER;
}

static const struct standin_ops ops = { handle, NULL, NULL };

static bool
add_routes (struct standin_relay *r, char **routes, bool udp)
{
  for (; routes != NULL && *routes != NULL; routes++)
    {
      char **parts = g_strsplit (*routes, "=", ROUTE_PARTS);
      bool added = g_strv_length (parts) == ROUTE_PARTS
                   && standin_relay_add (r, parts[0], udp, parts[1], parts[2]);
      g_strfreev (parts);
      if (!added)
        {
          fprintf (stderr,
                   "standin_proxy: %s: invalid route or address in use\n",
                   *routes);
          return false;
        }
    }
  return true;
}

int
main (int argc, char **argv)
{
  GError *error = NULL;
  GOptionContext *context = g_option_context_new ("- inject faults");
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "standin_proxy: %s\n", error->message);
      return 2;
    }
  g_option_context_free (context);
  standin_block_signals ();
  if (seed == 0)
    seed = (int)(clock_wall_ms () % INT32_MAX);
  struct standin_relay *r = standin_relay_new ((uint32_t)seed);
  struct standin_http *control = NULL;
  if (add_routes (r, tcp_routes, false) && add_routes (r, udp_routes, true)
      && standin_relay_start (r))
    control = standin_http_new (control_address, 0, &ops, r);
  if (control != NULL)
    {
      printf ("seed %d\n", seed);
      standin_wait_for_signal ();
      standin_http_free (control);
    }
  standin_relay_free (r);
  return control != NULL ? EXIT_SUCCESS : EXIT_FAILURE;
}
