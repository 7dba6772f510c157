/* The operators' configuration: services, organisations and the limits of
   trials.

   A configuration does not change once it is made: each accepted command
   makes a new one with the next revision.  It is counted by reference and may
   be read by any thread.  The calls take no time and no store; the caller
   swaps the JSON form in the store.  */

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
  CONF_AUDIT_MAX = 50,
  /* The longest value that the store holds.  */
  CONF_JSON_BYTES_MAX = 1000000
};

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

/* What is known of one limit.  */
struct conf_limit_definition
{
  const char *word;
  const char *key;
  uint32_t low;
  uint32_t high;
  uint32_t initial;
  const char *unit;
  bool is_per_organisation; /* an organisation can have a value of its own */
  const char *help;
};

extern const struct conf_limit_definition conf_limits_schema[CONF_LIMIT_COUNT];

/* A value for each limit.  */
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

/* Limits of one organisation in one service that differ from the service's:
   those whose SET is true.  */
struct conf_override
{
  char service[CONF_NAME_BYTES];
  char organisation[CONF_NAME_BYTES];
  struct conf_limits limits;
  bool is_set[CONF_LIMIT_COUNT];
};

enum conf_action
{
  CONF_CREATE_SERVICE,
  CONF_MARK_ORGANISATION,
  CONF_SET_LIMIT,
  CONF_UNSET_LIMIT /* of one organisation */
};

/* One accepted command: the record for operators, and what it did.  */
struct conf_audit_entry
{
  uint64_t revision;  /* that the command made */
  uint64_t change_id; /* the id that its giver chose */
  int64_t wall_ms;    /* milliseconds since 1970 */
  char who[CONF_NAME_BYTES];
  char why[CONF_WHY_BYTES];
  char text[CONF_TEXT_BYTES];
  enum conf_action action;
  char service[CONF_NAME_BYTES];
  char organisation[CONF_NAME_BYTES];
  enum conf_kind kind;
  enum conf_limit limit;
  uint32_t value;
};

/* A command that changes the configuration.  Columns are those of the
   command's line, for findings.  */
struct conf_command
{
  enum conf_action action;
  char service[CONF_NAME_BYTES];
  char organisation[CONF_NAME_BYTES]; /* empty: the service's own limit */
  enum conf_kind kind;
  enum conf_limit limit;
  uint32_t value;
  unsigned service_column;
  unsigned organisation_column;
  unsigned value_column;
  /* for the record */
  uint64_t change_id;
  int64_t wall_ms;
  char who[CONF_NAME_BYTES];
  char why[CONF_WHY_BYTES];
  char text[CONF_TEXT_BYTES];
};

struct conf;

/* An empty configuration of revision 0.  */
struct conf *conf_new (void);

/* Another reference to C, which the caller gives back with conf_unref.  */
struct conf *conf_ref (struct conf *c);

/* Give back a reference to C, which may be NULL.  */
void conf_unref (struct conf *c);

uint64_t conf_revision (const struct conf *c);

/* What ORGANISATION is; one that is not configured is a trial.  */
enum conf_kind conf_organisation_kind (const struct conf *c,
                                       const char *organisation);

/* The limits of the trial ORGANISATION in SERVICE: its own where it has some,
   else the service's, else those of the schema.  ORGANISATION may be NULL.  */
struct conf_limits conf_effective_limits (const struct conf *c,
                                          const char *service,
                                          const char *organisation);

/* The entries in the order of their names, and the audit from the oldest.  A
   position at or past the count gives NULL.  */
const struct conf_service *conf_service_at (const struct conf *c, size_t i);
const struct conf_organisation *conf_organisation_at (const struct conf *c,
                                                      size_t i);
const struct conf_override *conf_override_at (const struct conf *c, size_t i);
const struct conf_audit_entry *conf_audit_at (const struct conf *c, size_t i);

/* The service called NAME, or NULL.  */
const struct conf_service *conf_find_service (const struct conf *c,
                                              const char *name);

/* The organisation called NAME, or NULL when it is not configured.  */
const struct conf_organisation *conf_find_organisation (const struct conf *c,
                                                        const char *name);

/* The accepted command with the id CHANGE, or NULL when it is not among the
   last CONF_AUDIT_MAX.  */
const struct conf_audit_entry *conf_find_change (const struct conf *c,
                                                 uint64_t change);

/* Apply COMMAND to C.  STATUS_OK: *NEXT is the new configuration, or C once
   more when the command changes nothing.  STATUS_INVALID: FINDINGS were added
   and *NEXT is NULL.  The caller owns the reference *NEXT.  */
enum status conf_apply (struct conf *c, const struct conf_command *command,
                        struct findings *findings, struct conf **next);

/* Apply COMMAND, which lost the race for the revision after BASE, to NEWER.
   STATUS_OK and STATUS_INVALID as conf_apply; *NEXT is NEWER when the command
   is in it already, by its change id.  STATUS_CONFLICT: a command accepted
   since BASE changed the same subject (FINDINGS tell which, by whom and
   when), or too many came between to know.  */
enum status conf_reapply (const struct conf *base, struct conf *newer,
                          const struct conf_command *command,
                          struct findings *findings, struct conf **next);

/* Put CANDIDATE in the place of *CURRENT if its revision is higher.  The
   reference to CANDIDATE is consumed in each case.  STATUS_OK, or STATUS_STALE
   when *CURRENT stays.  *CURRENT may be NULL.  */
enum status conf_replace_if_newer (struct conf **current,
                                   struct conf *candidate);

/* What differs between BEFORE and AFTER, one change a line; empty when
   nothing does.  The caller frees the result with free.  */
char *conf_diff (const struct conf *before, const struct conf *after);

/* C as JSON.  The caller frees the result with free.  */
char *conf_to_json (const struct conf *c);

/* Read the JSON form strictly: a key that is missing or unknown, a value out
   of its range, or too many entries are findings.  The new configuration, or
   NULL when FINDINGS were added.  */
struct conf *conf_from_json (const char *text, size_t length,
                             struct findings *findings);

/* The commands that C accepted after revision SINCE as JSON, for who has SINCE
   or a later one: small where the whole configuration is large.  NULL when the
   audit does not reach back so far.  The caller frees the result with free. */
char *conf_tail_to_json (const struct conf *c, uint64_t since);

/* Apply the tail TEXT to C.  STATUS_OK: *NEXT is the configuration that the
   tail was made from, byte for byte in its JSON form.  STATUS_STALE: C is not
   older.  STATUS_CONFLICT: the tail does not begin where C ends, or the result
   differs; the whole configuration is needed.  STATUS_INVALID: malformed, with
   FINDINGS.  *NEXT is NULL in all but the first.  */
enum status conf_apply_tail (struct conf *c, const char *text, size_t length,
                             struct findings *findings, struct conf **next);

/* Whether TEXT is 1 to 63 of a-z 0-9 - _ . ; TEXT may be NULL.  */
bool conf_is_valid_name (const char *text);

/* The word for KIND.  */
const char *conf_kind_name (enum conf_kind kind);

#endif
