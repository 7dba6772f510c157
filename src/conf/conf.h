/* The operators' configuration: services, organisations and the limits on
   trial organisations.

   A configuration is immutable: each accepted command makes a new one with
   the next revision.  It is reference-counted and any thread may read it.
   These calls neither block nor use the store; the caller writes the JSON form
   to the store with a compare-and-swap.  */

#ifndef CONF_CONF_H
#define CONF_CONF_H

#include "base/finding.h"
#include "base/status.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  CONF_NAME_BYTES = 64,
  CONF_WHY_BYTES = 201,
  CONF_TEXT_BYTES = 401,
  CONF_SERVICES_MAX = 128,
  CONF_ORGANISATIONS_MAX = 8192,
  CONF_OVERRIDES_MAX = 1024,
  CONF_ZONES_MAX = 64, /* evacuated zones */
  CONF_AUDIT_MAX = 50,
  /* The largest value that the store accepts.  */
  CONF_JSON_BYTES_MAX = 1000000
};

/* The kind of an organisation.  */
enum conf_kind
{
  CONF_TRIAL,
  CONF_PAYING,
  CONF_KIND_COUNT
};

enum conf_limit
{
#define LIMIT(name, word, key, low, high, initial, unit, single, help)        \
  CONF_##name,
#include "conf/limits.def"
#undef LIMIT
  CONF_LIMIT_COUNT
};

/* The definition of one limit: an entry of conf/limits.def.  */
struct conf_limit_definition
{
  const char *word; /* name in operators' commands */
  const char *key;  /* name in JSON */
  uint32_t low;
  uint32_t high;
  uint32_t initial;
  const char *unit;
  bool is_per_organisation; /* may be overridden for one organisation */
  const char *help;
};

extern const struct conf_limit_definition conf_limits_schema[CONF_LIMIT_COUNT];

/* The values of all limits, by enum conf_limit.  */
struct conf_limits
{
  uint32_t value[CONF_LIMIT_COUNT];
};

struct conf_service
{
  char name[CONF_NAME_BYTES];
  struct conf_limits limits;
};

struct conf_organisation
{
  char name[CONF_NAME_BYTES];
  enum conf_kind kind;
};

/* The limits of one service that are overridden for one organisation: those
   whose IS_SET is true.  */
struct conf_override
{
  char service[CONF_NAME_BYTES];
  char organisation[CONF_NAME_BYTES];
  struct conf_limits limits;
  bool is_set[CONF_LIMIT_COUNT];
};

/* A zone that is out of service.  */
struct conf_zone
{
  char name[CONF_NAME_BYTES];
};

enum conf_action
{
  CONF_CREATE_SERVICE,
  CONF_MARK_ORGANISATION,
  CONF_SET_LIMIT,
  CONF_UNSET_LIMIT, /* remove the override of one organisation */
  CONF_EVACUATE_ZONE,
  CONF_RESTORE_ZONE
};

/* The audit record of one accepted command: who gave it and when, and the
   change that it made.  */
struct conf_audit_entry
{
  uint64_t revision;  /* of the configuration that the command made */
  uint64_t change_id; /* unique id of the command, chosen by the client */
  int64_t wall_ms;    /* wall clock, milliseconds since 1970 */
  char who[CONF_NAME_BYTES];
  char why[CONF_WHY_BYTES];
  char text[CONF_TEXT_BYTES];
  enum conf_action action;
  char service[CONF_NAME_BYTES];
  char organisation[CONF_NAME_BYTES];
  enum conf_kind kind;
  enum conf_limit limit;
  uint32_t value;
  char zone[CONF_NAME_BYTES];
};

struct conf;
struct conf_command;

/* A condition on NEXT, the configuration that COMMAND would make.  False after
   adding a finding.  */
typedef bool conf_check_fn (void *arg, const struct conf *next,
                            const struct conf_command *command,
                            struct findings *findings);

/* A command that changes the configuration.  The columns are positions in the
   command's text, for findings.  */
struct conf_command
{
  enum conf_action action;
  char service[CONF_NAME_BYTES];
  char organisation[CONF_NAME_BYTES]; /* empty: the limit of the service */
  enum conf_kind kind;
  enum conf_limit limit;
  uint32_t value;
  char zone[CONF_NAME_BYTES];
  unsigned service_column;
  unsigned organisation_column;
  unsigned value_column;
  unsigned zone_column;
  /* Called each time the command is applied to what the store holds, thus
     also after a lost race.  NULL: no condition.  */
  conf_check_fn *check;
  void *check_arg;
  /* For the audit.  */
  uint64_t change_id;
  int64_t wall_ms;
  char who[CONF_NAME_BYTES];
  char why[CONF_WHY_BYTES];
  char text[CONF_TEXT_BYTES];
};

/* Create an empty configuration with revision 0.  */
struct conf *conf_new (void);

/* Add a reference to C, to be released with conf_unref.  Returns C.  */
struct conf *conf_ref (struct conf *c);

/* Release a reference to C, which may be NULL.  */
void conf_unref (struct conf *c);

uint64_t conf_revision (const struct conf *c);

/* The kind of ORGANISATION; one that is not configured is a trial.  */
enum conf_kind conf_organisation_kind (const struct conf *c,
                                       const char *organisation);

/* The limits in effect for the trial ORGANISATION in SERVICE: each is the
   organisation's override if it has one, else the value of the service, else
   the initial value of the schema.  ORGANISATION may be NULL.  */
struct conf_limits conf_effective_limits (const struct conf *c,
                                          const char *service,
                                          const char *organisation);

/* The entry at position I, or NULL if I is out of range.  Entries are sorted
   by name; the audit is sorted by revision, the oldest first.  */
const struct conf_service *conf_service_at (const struct conf *c, size_t i);
const struct conf_organisation *conf_organisation_at (const struct conf *c,
                                                      size_t i);
const struct conf_override *conf_override_at (const struct conf *c, size_t i);
const struct conf_audit_entry *conf_audit_at (const struct conf *c, size_t i);
const struct conf_zone *conf_evacuated_zone_at (const struct conf *c,
                                                size_t i);

/* Whether ZONE is evacuated.  */
bool conf_zone_is_evacuated (const struct conf *c, const char *zone);

/* The service called NAME, or NULL.  */
const struct conf_service *conf_find_service (const struct conf *c,
                                              const char *name);

/* The organisation called NAME, or NULL when it is not configured.  */
const struct conf_organisation *conf_find_organisation (const struct conf *c,
                                                        const char *name);

/* The audit entry of the command with the id CHANGE_ID, or NULL if it is not
   among the last CONF_AUDIT_MAX.  */
const struct conf_audit_entry *conf_find_change (const struct conf *c,
                                                 uint64_t change_id);

/* Apply COMMAND to C.  STATUS_OK: *NEXT is the new configuration, or another
   reference to C if the command changes nothing.  STATUS_INVALID: FINDINGS
   were added and *NEXT is NULL.  The caller owns the reference *NEXT.  */
enum status conf_apply (struct conf *c, const struct conf_command *command,
                        struct findings *findings, struct conf **next);

/* Apply COMMAND, which was made for BASE, to the later configuration NEWER.
   STATUS_OK and STATUS_INVALID are as for conf_apply; *NEXT is NEWER if its
   audit already contains the change id of COMMAND.  STATUS_CONFLICT: a command
   accepted after BASE changed the same setting (FINDINGS name it, its author
   and its time), or the audit no longer reaches back to BASE.  */
enum status conf_reapply (const struct conf *base, struct conf *newer,
                          const struct conf_command *command,
                          struct findings *findings, struct conf **next);

/* Replace *CURRENT, which may be NULL, by CANDIDATE if the revision of
   CANDIDATE is higher.  Consumes the reference to CANDIDATE in either case.
   STATUS_OK, or STATUS_STALE if *CURRENT was kept.  */
enum status conf_replace_if_newer (struct conf **current,
                                   struct conf *candidate);

/* The differences between BEFORE and AFTER as text, one line each; empty if
   there are none.  The caller frees the result with free.  */
char *conf_diff (const struct conf *before, const struct conf *after);

/* The JSON form of C.  The caller frees the result with free.  */
char *conf_to_json (const struct conf *c);

/* Parse the JSON form strictly: a key that is missing or unknown, a value out
   of range, or too many entries are findings.  Returns the configuration, or
   NULL if FINDINGS were added.  */
struct conf *conf_from_json (const char *text, size_t length,
                             struct findings *findings);

/* The tail of C: the commands accepted after revision SINCE, as JSON.  It
   updates a node that has revision SINCE or a later one, and is much smaller
   than the whole configuration.  NULL if the audit does not reach back to
   SINCE.  The caller frees the result with free.  */
char *conf_tail_to_json (const struct conf *c, uint64_t since);

/* Apply the tail TEXT to C.  STATUS_OK: *NEXT is the configuration that the
   tail was made from, with an identical JSON form.  STATUS_STALE: the tail
   contains no revision later than that of C.  STATUS_CONFLICT: the tail does
   not continue the revisions of C, or the result differs from the original;
   the caller needs the whole configuration.  STATUS_INVALID: the tail is
   malformed; FINDINGS were added.  *NEXT is NULL except on STATUS_OK.  */
enum status conf_apply_tail (struct conf *c, const char *text, size_t length,
                             struct findings *findings, struct conf **next);

/* Whether TEXT consists of 1 to 63 characters, each one of a-z, 0-9, '-', '_'
   and '.'.  TEXT may be NULL.  */
bool conf_is_valid_name (const char *text);

/* The name of KIND in commands and JSON.  */
const char *conf_kind_name (enum conf_kind kind);

#endif
