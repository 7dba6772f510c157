/* How callers, targets, operators and the store of one platform speak.

   A dialect translates between what stands on the wire and the types below.
   It decides nothing and keeps nothing.  */

#ifndef MESH_DIALECT_H
#define MESH_DIALECT_H

#include "base/status.h"
#include "mesh/routes.h"
#include "settings/settings.h"
#include "store/store.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Header fields by what they mean.  */
enum header_role
{
  HEADER_REQUEST_ID,   /* of one request of a caller, echoed by the target */
  HEADER_TIME_LEFT_MS, /* how long the sender still waits */
  HEADER_SIGNATURE,    /* the target's proof of its answer */
  HEADER_TARGET_ID,    /* the only target that may run the request */
  HEADER_NOT_RUN,      /* the target states that it did not run it */
  HEADER_CALLER,       /* the service at the instance of the caller */
  HEADER_KEY,          /* the number of the key */
  HEADER_HANDOVER,     /* what the next holder of keys needs to be warm */
  HEADER_ROLES
};

/* What a target said of itself.  */
enum target_state
{
  TARGET_READY,
  TARGET_DRAINING
};

enum
{
  TARGET_ID_BYTES = 80
};

struct target_report
{
  char id[TARGET_ID_BYTES];
  int64_t started_ms; /* wall time of the target's start; 0: not said */
  uint64_t sequence;  /* grows with each report of one run */
  enum target_state state;
  char service[SETTINGS_NAME_BYTES];
  struct settings_address address;
  uint32_t slots;
  uint32_t cold_ms; /* how much longer it stays slow after its start */
};

/* A call that arrived at the address for targets.  */
enum target_call
{
  CALL_REPORT, /* a heartbeat */
  CALL_GONE,   /* the target leaves; only ID is set */
  CALL_UNKNOWN
};

/* A grant of the keys FROM ... TO to the target, or their release.  */
struct key_order
{
  const char *target_id; /* the run that the order is for */
  uint32_t from;
  uint32_t to;          /* inclusive */
  uint64_t token;       /* the fencing token */
  uint32_t hold_ms;     /* how long the grant counts from its arrival */
  const char *handover; /* NULL: none */
};

struct dialect
{
  /* Names of header fields, by role.  */
  const char *headers[HEADER_ROLES];
  /* Where the operators' configuration lies in the store.  */
  const char *configuration_key;
  /* The path that asks a node whether it takes callers.  */
  const char *ready_path;

  /* Read the configuration.  STATUS_INVALID with a message.  */
  enum status (*read_routes) (const char *text, size_t length,
                              struct routes **routes);
  /* Read a target's call.  STATUS_INVALID with a message for what cannot be
     read.  */
  enum status (*read_target_call) (const char *method, const char *path,
                                   const char *body, size_t length,
                                   enum target_call *call,
                                   struct target_report *report);
  /* The answer to a heartbeat, for the target's next one.  */
  const char *(*heartbeat_answer) (void);
  /* Whole requests that grant and release keys; the caller frees them.  */
  GString *(*write_grant) (const struct key_order *order);
  GString *(*write_release) (const struct key_order *order);
  /* Put into S what the platform's bounds (S->bounds) say.  STATUS_INVALID
     with a message when they cannot be read; S is unchanged then.  */
  enum status (*apply_bounds) (struct settings *s);
  /* The store, as the settings tell.  */
  struct store *(*open_store) (const struct settings *s);
  /* Let each wait of the watches of ST, from the next one on, end after
     WAIT_MS at the latest.  Any thread.  */
  void (*set_watch_wait) (struct store *st, uint32_t wait_ms);
};

#endif
