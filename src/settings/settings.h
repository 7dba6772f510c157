/* The settings of a node, read from a YAML file.  docs/SETTINGS.md is the
   schema.  */

#ifndef SETTINGS_SETTINGS_H
#define SETTINGS_SETTINGS_H

#include "base/log.h"
#include "base/status.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  SETTINGS_NAME_BYTES = 64,
  SETTINGS_HOST_BYTES = 64,
  SETTINGS_TEXT_BYTES = 2048,
  SETTINGS_STORES_MAX = 5
};

/* A numeric IP address and a port.  */
struct settings_address
{
  char host[SETTINGS_HOST_BYTES];
  uint16_t port;
};

/* Which measure the placement of slots puts first.  */
enum settings_policy
{
  POLICY_UNAVAILABLE_TIME_FIRST,
  POLICY_IMBALANCE_FIRST
};

struct settings
{
  /* node */
  char name[SETTINGS_NAME_BYTES];
  char region[SETTINGS_NAME_BYTES];
  char zone[SETTINGS_NAME_BYTES];
  char rack[SETTINGS_NAME_BYTES]; /* may be empty */
  char service[SETTINGS_NAME_BYTES];
  char bounds[SETTINGS_TEXT_BYTES]; /* may be empty */
  /* listen */
  struct settings_address callers;
  struct settings_address peers; /* TCP for requests, UDP for leases */
  struct settings_address peers_announced; /* port 0: PEERS itself */
  struct settings_address operator_address;
  struct settings_address ready;   /* port 0: none */
  struct settings_address targets; /* port 0: none */
  /* target */
  struct settings_address target;
  uint32_t target_slots;       /* requests the target runs at once */
  uint32_t target_connections; /* connections the target accepts */
  bool target_fenced;          /* target refuses an old fencing token */
  /* store */
  struct settings_address stores[SETTINGS_STORES_MAX];
  uint32_t store_count;
  char store_prefix[SETTINGS_NAME_BYTES]; /* "/crocusbend" */
  uint32_t store_timeout_ms;
  /* limits */
  uint32_t requests_max;   /* requests in the node at once */
  uint32_t body_bytes_max; /* of a request and of an answer */
  uint32_t deadline_ms;    /* when the caller states none */
  uint32_t deadline_max_ms;
  uint32_t drain_ms; /* longest graceful shutdown */
  /* lease */
  uint32_t lease_term_ms;
  uint32_t lease_renew_ms;
  /* ownership */
  uint32_t key_space; /* 0: keys are texts */
  uint32_t hold_max_ms;
  /* retry */
  uint32_t retry_ratio_pct;
  uint32_t retry_stored;
  /* placement and log */
  enum settings_policy policy;
  enum log_level log_level;
};

/* Fill S with the defaults; names and addresses are empty.  */
void settings_defaults (struct settings *s);

/* Read and check the file PATH into S.  STATUS_OK, or STATUS_INVALID with
   every finding, one a line as "PATH:LINE:COLUMN: key: problem" and a last
   line "N errors", in *FINDINGS.  The caller frees *FINDINGS, which is NULL
   on success.  */
enum status settings_load (struct settings *s, const char *path,
                           char **findings);

#endif
