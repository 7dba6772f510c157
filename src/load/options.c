#include "load/options.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  DEFAULT_KEYS = 1000,
  DEFAULT_SECONDS = 10,
  DEFAULT_BODY_BYTES = 64,
  DEFAULT_IN_FLIGHT = 256,
  KEY_BYTES_MAX = 255
};

/* Characters that need no percent-encoding in a key.  */
#define KEY_CHARACTERS                                                        \
  "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.~"

/* Options that are parsed further after GLib.  */
struct raw_options
{
  char *zipf;
  char *hot;
  char *organisations;
  char *key_file;
};

/* Add TEXT to FINDINGS unless VALID.  */
static void
require (GString *findings, bool valid, const char *text)
{
  if (!valid)
    g_string_append_printf (findings, "crocusbend load: %s\n", text);
}

static bool
parse_number (const char *text, double *value)
{
  char *end = NULL;
  if (text == NULL || *text == '\0')
    return false;
  *value = g_ascii_strtod (text, &end);
  return *end == '\0';
}

static void
parse_zipf (struct load_options *o, const char *text, GString *findings)
{
  if (text == NULL || strcmp (text, "uniform") == 0)
    return;
  bool valid = parse_number (text, &o->zipf) && o->zipf > 0 && o->zipf <= 5;
  require (findings, valid,
           "--zipf: must be a number above 0 and up to 5, or uniform");
}

static void
parse_hot (struct load_options *o, const char *text, GString *findings)
{
  if (text == NULL)
    return;
  const char *comma = strrchr (text, ',');
  bool valid = comma != NULL && comma != text
               && strspn (text, KEY_CHARACTERS) == (size_t)(comma - text)
               && parse_number (comma + 1, &o->hot_share_pct)
               && o->hot_share_pct >= 0 && o->hot_share_pct <= 100;
  require (findings, valid,
           "--hot: must be KEY,SHARE with KEY of letters, digits, - _ . ~ and "
           "SHARE from 0 to 100 per cent");
  if (valid)
    o->hot_key = g_strndup (text, (gsize)(comma - text));
}

static bool
parse_organisation (struct load_organisation *org, const char *text)
{
  const char *colon = strrchr (text, ':');
  org->weight = 1;
  if (colon == NULL)
    {
      org->name = g_strdup (text);
      return *text != '\0';
    }
  org->name = g_strndup (text, (gsize)(colon - text));
  return parse_number (colon + 1, &org->weight) && org->weight > 0
         && colon != text;
}

static void
parse_organisations (struct load_options *o, const char *text,
                     GString *findings)
{
  bool valid = true;
  char **items = g_strsplit (text == NULL ? "load" : text, ",", -1);
  for (char **item = items; *item != NULL; item++)
    {
      if (o->organisation_count == LOAD_ORGANISATIONS_MAX)
        {
          valid = false;
          break;
        }
      if (!parse_organisation (&o->organisations[o->organisation_count++],
                               *item))
        valid = false;
    }
  g_strfreev (items);
  require (
      findings, valid && o->organisation_count > 0,
      "--organisations: must be NAME[:WEIGHT],... with weights above 0, at "
      "most 64 names");
}

static bool
is_key (const char *text)
{
  size_t length = strlen (text);
  return length > 0 && length <= KEY_BYTES_MAX
         && strspn (text, KEY_CHARACTERS) == length;
}

static void
read_key_file (struct load_options *o, const char *path, GString *findings)
{
  char *content = NULL;
  bool valid = true;
  if (path == NULL)
    return;
  if (!g_file_get_contents (path, &content, NULL, NULL))
    {
      require (findings, false, "--key-file: cannot be read");
      return;
    }
  o->key_names = g_strsplit (g_strchomp (content), "\n", -1);
  g_free (content);
  o->key_count = (int)g_strv_length (o->key_names);
  for (char **name = o->key_names; *name != NULL; name++)
    valid = valid && is_key (*name);
  require (findings, valid,
           "--key-file: keys must have 1 to 255 letters, digits, - _ . ~");
}

static void
check_options (struct load_options *o, GString *findings)
{
  o->node_count = o->nodes == NULL ? 0 : g_strv_length (o->nodes);
  require (findings, o->node_count > 0, "--node: at least one is required");
  require (findings, o->node_count <= LOAD_NODES_MAX,
           "--node: at most 256 are allowed");
  for (uint32_t i = 0; i < o->node_count; i++)
    require (findings, strchr (o->nodes[i], ':') != NULL,
             "--node: must be HOST:PORT");
  require (findings, o->service != NULL, "--service: is required");
  require (findings, (o->rate_per_s > 0) != (o->workers > 0),
           "--rate or --workers: exactly one must be above 0");
  require (findings, o->duration_s > 0, "--seconds: must be above 0");
  require (findings, o->key_count > 0 && o->key_count <= LOAD_KEYS_MAX,
           "--keys: must be from 1 to 10000000");
  require (findings, o->write_share_pct >= 0 && o->write_share_pct <= 100,
           "--write-share: must be from 0 to 100 per cent");
  require (findings, o->deadline_ms >= 0, "--deadline-ms: must be 0 or more");
  require (findings, o->body_bytes > 0 && o->body_bytes <= LOAD_BODY_BYTES_MAX,
           "--body-bytes: must be from 1 to 16777216");
  require (findings, o->in_flight_max > 0 && o->in_flight_max <= 65536,
           "--in-flight: must be from 1 to 65536");
}

static bool
parse_arguments (struct load_options *o, struct raw_options *raw, int argc,
                 char **argv, GString *findings)
{
  const GOptionEntry entries[] = {
    { "node", 0, 0, G_OPTION_ARG_STRING_ARRAY, &o->nodes,
      "callers address of a node; repeat for several, used in turn",
      "HOST:PORT" },
    { "service", 0, 0, G_OPTION_ARG_STRING, &o->service, "the service",
      "NAME" },
    { "rate", 0, 0, G_OPTION_ARG_DOUBLE, &o->rate_per_s,
      "open loop: requests/s, sent at fixed times", "N" },
    { "workers", 0, 0, G_OPTION_ARG_INT, &o->workers,
      "closed loop: requests in flight", "N" },
    { "seconds", 0, 0, G_OPTION_ARG_DOUBLE, &o->duration_s, "duration", "T" },
    { "keys", 0, 0, G_OPTION_ARG_INT, &o->key_count, "keys k0 to kN-1", "N" },
    { "key-file", 0, 0, G_OPTION_ARG_FILENAME, &raw->key_file,
      "read the keys from FILE instead, one per line", "FILE" },
    { "zipf", 0, 0, G_OPTION_ARG_STRING, &raw->zipf,
      "exponent of the key distribution, or uniform", "A" },
    { "hot", 0, 0, G_OPTION_ARG_STRING, &raw->hot,
      "share of requests for one key, in per cent", "KEY,SHARE" },
    { "write-share", 0, 0, G_OPTION_ARG_DOUBLE, &o->write_share_pct,
      "share of non-idempotent POST requests", "PERCENT" },
    { "organisations", 0, 0, G_OPTION_ARG_STRING, &raw->organisations,
      "organisations of the callers, with weights", "NAME:WEIGHT,..." },
    { "deadline-ms", 0, 0, G_OPTION_ARG_INT, &o->deadline_ms,
      "deadline sent to the node", "MS" },
    { "body-bytes", 0, 0, G_OPTION_ARG_INT, &o->body_bytes,
      "body size of a POST request", "N" },
    { "in-flight", 0, 0, G_OPTION_ARG_INT, &o->in_flight_max,
      "open loop: limit of requests in flight; the rest wait, late", "N" },
    { "seed", 0, 0, G_OPTION_ARG_INT64, &o->seed, "seed of the random choices",
      "N" },
    { "journal", 0, 0, G_OPTION_ARG_FILENAME, &o->journal_path,
      "append a line of JSON for each request and each answer", "FILE" },
    { "direct", 0, 0, G_OPTION_ARG_NONE, &o->direct,
      "the nodes are targets: no router in between", NULL },
    { "json", 0, 0, G_OPTION_ARG_NONE, &o->json, "print one JSON object",
      NULL },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GError *error = NULL;
  GOptionContext *context = g_option_context_new (NULL);
  g_option_context_set_summary (
      context, "Send load to a service and print rates, percentiles and "
               "outcomes.\n"
               "Exit code: 0 on success, 1 when an answer belonged to another "
               "request or no request was answered, 2 for bad arguments.");
  g_option_context_add_main_entries (context, entries, NULL);
  bool valid = g_option_context_parse (context, &argc, &argv, &error);
  g_option_context_free (context);
  if (!valid)
    g_string_append_printf (findings, "crocusbend load: %s\n", error->message);
  g_clear_error (&error);
  if (valid && argc > 1)
    g_string_append_printf (
        findings, "crocusbend load: unexpected argument '%s'\n", argv[1]);
  return valid;
}

enum status
load_options_parse (struct load_options *o, int argc, char **argv,
                    char **findings)
{
  struct raw_options raw = { NULL, NULL, NULL, NULL };
  GString *text = g_string_new (NULL);
  memset (o, 0, sizeof *o);
  o->key_count = DEFAULT_KEYS;
  o->duration_s = DEFAULT_SECONDS;
  o->body_bytes = DEFAULT_BODY_BYTES;
  o->in_flight_max = DEFAULT_IN_FLIGHT;
  o->seed = 1;
  if (parse_arguments (o, &raw, argc, argv, text))
    {
      parse_zipf (o, raw.zipf, text);
      parse_hot (o, raw.hot, text);
      read_key_file (o, raw.key_file, text);
      parse_organisations (o, raw.organisations, text);
      check_options (o, text);
    }
  g_free (raw.zipf);
  g_free (raw.hot);
  g_free (raw.organisations);
  g_free (raw.key_file);
  bool valid = text->len == 0;
  *findings = g_string_free (text, valid);
  return valid ? STATUS_OK : STATUS_INVALID;
}

void
load_options_clear (struct load_options *o)
{
  g_strfreev (o->nodes);
  g_strfreev (o->key_names);
  g_free (o->service);
  g_free (o->hot_key);
  g_free (o->journal_path);
  for (uint32_t i = 0; i < o->organisation_count; i++)
    g_free (o->organisations[i].name);
  memset (o, 0, sizeof *o);
}
