/* Protocol adapter: how callers, targets, operators and the store of one
   platform communicate.

   A dialect converts between the wire formats and the types below.  It makes
   no decisions and keeps no state.  */

#ifndef MESH_DIALECT_H
#define MESH_DIALECT_H

#include "base/status.h"
#include "http/headers.h"
#include "limit/stated_load.h"
#include "mesh/routes.h"
#include "mesh/terms.h"
#include "settings/settings.h"
#include "store/store.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Header fields by their meaning.  */
enum header_role
{
  HEADER_REQUEST_ID, /* id of one caller's request, echoed by the target */
  HEADER_TIMEOUT_MS, /* how long the sender still waits */
  HEADER_SIGNATURE,  /* marks an answer as the target's own */
  HEADER_TARGET_ID,  /* id of the only target process that may run it */
  HEADER_NOT_RUN,    /* set by a target that did not run the request */
  HEADER_CALLER,     /* name of the service on the caller's instance */
  HEADER_KEY,        /* number of the key */
  HEADER_HANDOVER,   /* warm-up data for the next holder of the keys */
  HEADER_ROLE_COUNT
};

/* The state that a target reports.  */
enum target_state
{
  TARGET_READY,
  TARGET_DRAINING
};

struct target_report
{
  char id[TARGET_ID_BYTES]; /* of the target process */
  int64_t started_ms; /* wall time of the target's start; 0: not reported */
  uint64_t sequence;  /* grows with each report of one process */
  enum target_state state;
  char service[SETTINGS_NAME_BYTES];
  struct settings_address address;
  uint32_t slots; /* requests that it runs at once */
  /* How much longer it stays slow after its start.  */
  uint32_t warmup_remaining_ms;
};

/* What the response to a health check says.  */
struct target_health
{
  char id[TARGET_ID_BYTES];     /* of the target process */
  uint32_t warmup_remaining_ms; /* how much longer it is cold */
};

/* A call to the address for targets.  */
enum target_call
{
  TARGET_CALL_HEARTBEAT,
  TARGET_CALL_WITHDRAW, /* the target leaves; only ID and STARTED_MS count */
  TARGET_CALL_UNKNOWN
};

/* A grant of the keys FROM to TO to the target, or their release.  */
struct key_grant
{
  const char *target_id; /* the target process that it is for */
  uint32_t from;
  uint32_t to; /* inclusive */
  uint64_t fencing_token;
  uint32_t hold_ms;     /* duration of the grant from its arrival */
  const char *handover; /* warm-up data of the last holder; NULL: none */
};

struct dialect
{
  /* Names of header fields, by role.  */
  const char *headers[HEADER_ROLE_COUNT];
  /* The store's key of the operators' configuration.  */
  const char *configuration_key;
  /* Prefix of the store's keys that each name an evacuated zone.  */
  const char *evacuation_prefix;
  /* The path of the readiness check.  */
  const char *ready_path;

  /* Parse the configuration.  STATUS_INVALID with a message.  */
  enum status (*parse_routes) (const char *text, size_t length,
                               struct routes **routes);
  /* Parse a target's call.  STATUS_INVALID with a message if it is
     malformed.  */
  enum status (*parse_target_call) (const char *method, const char *path,
                                    const char *body, size_t length,
                                    enum target_call *call,
                                    struct target_report *report);
  /* Read what an answer with HEADERS says of LIMITED, RATE_MAX and LEAVING in
     TERMS.  STATUS_INVALID with a message if it is malformed; TERMS is
     unchanged then.  */
  enum status (*parse_terms) (const struct headers *headers,
                              struct target_terms *terms);
  /* Read the load that an answer with HEADERS states.  STATUS_NOT_FOUND if it
     states none, STATUS_INVALID with a message if it is malformed.  */
  enum status (*parse_load) (const struct headers *headers,
                             struct load_figures *load);
  /* Read the response to a health check.  STATUS_INVALID with a message.  */
  enum status (*parse_health) (const struct headers *headers,
                               struct target_health *health);
  /* The body of the answer to a valid call of a target; it may hold what the
     target needs for its next heartbeat.  */
  const char *(*heartbeat_answer) (void);
  /* Complete HTTP requests that grant and release keys; freed by the
     caller.  */
  GString *(*write_grant) (const struct key_grant *grant);
  GString *(*write_release) (const struct key_grant *grant);
  /* Apply the platform's bounds (S->bounds) to S.  STATUS_INVALID with a
     message if they cannot be parsed; S is unchanged then.  */
  enum status (*apply_bounds) (struct settings *s);
  /* Open the store that the settings name.  */
  struct store *(*open_store) (const struct settings *s);
  /* Limit each wait of the watches of ST to WAIT_MS, from the next wait on.
     Callable from any thread.  */
  void (*set_watch_timeout) (struct store *st, uint32_t wait_ms);
};

#endif
