/* The options of `crocusbend load`.  */

#ifndef LOAD_OPTIONS_H
#define LOAD_OPTIONS_H

#include "base/status.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  LOAD_NODES_MAX = 256,
  LOAD_ORGANISATIONS_MAX = 64,
  LOAD_KEYS_MAX = 10 * 1000 * 1000,
  LOAD_BODY_BYTES_MAX = 16 * 1024 * 1024
};

struct load_organisation
{
  char *name;
  double weight;
};

struct load_options
{
  char **nodes; /* "HOST:PORT", NULL-terminated */
  uint32_t node_count;
  char *service;
  double rate_per_s; /* of an open loop; 0: closed loop */
  int workers;       /* requests in flight of a closed loop */
  double duration_s;
  int key_count;
  char **key_names;       /* NULL-terminated; NULL: k0 to kN-1 */
  double zipf;            /* exponent of the key distribution; 0: uniform */
  char *hot_key;          /* may be NULL */
  double hot_share_pct;   /* per cent of the requests */
  double write_share_pct; /* per cent of the requests */
  struct load_organisation organisations[LOAD_ORGANISATIONS_MAX];
  uint32_t organisation_count;
  int deadline_ms; /* sent to the node; 0: none */
  int body_bytes;
  int in_flight_max;
  int64_t seed;
  char *journal_path; /* may be NULL */
  bool direct;
  bool json;
};

/* Parse ARGV into O.  On STATUS_INVALID *FINDINGS has one line for each error;
   the caller frees it with g_free.  Clear O with load_options_clear in both
   cases.  --help prints the usage and exits.  */
enum status load_options_parse (struct load_options *o, int argc, char **argv,
                                char **findings);

/* Free the members of O.  */
void load_options_clear (struct load_options *o);

#endif
