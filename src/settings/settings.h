/* The settings of a node, read from a YAML file.  docs/SETTINGS.md documents
   them.  */

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

/* The primary objective of slot placement.  */
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
  uint32_t link_kbps;               /* 0: not stated */
  uint32_t cpu_share_thousandths;   /* of a core; 0: not stated */
  uint32_t memory_mb;               /* 0: not limited */
  /* listen */
  struct settings_address callers;
  struct settings_address peers; /* TCP for requests, UDP for leases */
  struct settings_address peers_announced; /* port 0: same as PEERS */
  struct settings_address operator_address;
  struct settings_address ready;   /* port 0: disabled */
  struct settings_address targets; /* port 0: disabled */
  /* target */
  struct settings_address target;
  uint32_t target_slots;       /* concurrency limit of the target */
  uint32_t target_connections; /* connection limit of the target */
  bool target_fenced;          /* the target rejects stale fencing tokens */
  /* A cold target gets no requests before the configuration states its
     rate.  */
  bool cold_needs_policy;
  bool target_states_load; /* the load that it states is used */
  /* store */
  struct settings_address stores[SETTINGS_STORES_MAX];
  uint32_t store_count;
  char store_prefix[SETTINGS_NAME_BYTES]; /* of all keys */
  uint32_t store_timeout_ms;
  bool reduce_store_calls;
  /* limits */
  uint32_t requests_max;   /* concurrent requests in the node */
  uint32_t body_bytes_max; /* of a request and of a response */
  uint32_t deadline_ms;    /* default of requests without a deadline */
  uint32_t deadline_max_ms;
  uint32_t drain_ms; /* time limit of a graceful shutdown */
  /* lease */
  uint32_t lease_term_ms;
  uint32_t lease_renew_ms;
  /* ownership */
  uint32_t key_space; /* keys are integers below it; 0: strings */
  uint32_t hold_max_ms;
  /* retry */
  uint32_t retry_ratio_pct;
  uint32_t retry_stored;
  /* evacuation */
  uint32_t evacuation_close_ms; /* 0: zones are never evacuated */
  uint32_t config_apply_ms;     /* within which a configuration is in force */
  /* placement and log */
  enum settings_policy policy;
  enum log_level log_level;
};

/* Set S to the defaults.  Settings without a default are empty.  */
void settings_defaults (struct settings *s);

/* Load the file PATH into S and validate it.  On STATUS_INVALID, *FINDINGS is
   the text of all findings as by findings_format, to be freed with free; on
   STATUS_OK it is NULL.  */
enum status settings_load (struct settings *s, const char *path,
                           char **findings);

#endif
