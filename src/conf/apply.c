/* What commands do to a configuration.  */

#include "conf/data.h"
#include "conf/record.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  STAMP_BYTES = 32,
  MS_PER_S = 1000
};

/* One change to the copy C.  False after adding a finding.  */
typedef bool apply_fn (struct conf *c, const struct conf_command *command,
                       struct findings *findings);

static bool
require_service (const struct conf *c, const struct conf_command *command,
                 struct findings *findings)
{
  if (conf_find_service (c, command->service) != NULL)
    return true;
  findings_add (findings, 1, command->service_column, "",
                "there is no service %s: create it first", command->service);
  return false;
}

static bool
require_room (const GArray *array, unsigned high, unsigned column,
              const char *what, struct findings *findings)
{
  if (array->len < high)
    return true;
  findings_add (findings, 1, column, "", "there are %u %s already", high,
                what);
  return false;
}

static bool
create_service (struct conf *c, const struct conf_command *command,
                struct findings *findings)
{
  if (conf_find_service (c, command->service) == NULL
      && !require_room (c->services, CONF_SERVICES_MAX,
                        command->service_column, "services", findings))
    return false;
  conf_ensure_service (c, command->service);
  return true;
}

static bool
mark_organisation (struct conf *c, const struct conf_command *command,
                   struct findings *findings)
{
  if (conf_find_organisation (c, command->organisation) == NULL
      && !require_room (c->organisations, CONF_ORGANISATIONS_MAX,
                        command->organisation_column, "organisations",
                        findings))
    return false;
  conf_ensure_organisation (c, command->organisation)->kind = command->kind;
  return true;
}

static bool
require_single (const struct conf_command *command, struct findings *findings)
{
  const struct conf_limit_definition *limit
      = &conf_limits_schema[command->limit];
  if (command->organisation[0] == '\0' || limit->is_per_organisation)
    return true;
  findings_add (findings, 1, command->organisation_column, "",
                "%s holds for all trials together, not for one organisation",
                limit->word);
  return false;
}

static bool
set_override (struct conf *c, const struct conf_command *command,
              struct findings *findings)
{
  if (conf_find_override (c, command->service, command->organisation) == NULL
      && !require_room (c->overrides, CONF_OVERRIDES_MAX,
                        command->organisation_column,
                        "limits of single organisations", findings))
    return false;
  struct conf_override *o
      = conf_ensure_override (c, command->service, command->organisation);
  o->limits.value[command->limit] = command->value;
  o->is_set[command->limit] = true;
  return true;
}

static bool
require_range (const struct conf_command *command, struct findings *findings)
{
  const struct conf_limit_definition *limit
      = &conf_limits_schema[command->limit];
  if (command->value >= limit->low && command->value <= limit->high)
    return true;
  findings_add (findings, 1, command->value_column, "",
                "%s is from %u%s to %u%s", limit->word, limit->low,
                limit->unit, limit->high, limit->unit);
  return false;
}

static bool
set_limit (struct conf *c, const struct conf_command *command,
           struct findings *findings)
{
  bool fits = require_range (command, findings);
  fits &= require_single (command, findings);
  fits &= require_service (c, command, findings);
  if (!fits)
    return false;
  if (command->organisation[0] != '\0')
    return set_override (c, command, findings);
  conf_ensure_service (c, command->service)->limits.value[command->limit]
      = command->value;
  return true;
}

static bool
unset_limit (struct conf *c, const struct conf_command *command,
             struct findings *findings)
{
  bool fits = require_single (command, findings);
  fits &= require_service (c, command, findings);
  if (!fits)
    return false;
  struct conf_override *o
      = conf_find_override (c, command->service, command->organisation);
  if (o == NULL)
    return true;
  o->is_set[command->limit] = false;
  o->limits.value[command->limit] = 0;
  conf_prune_override (c, command->service, command->organisation);
  return true;
}

static apply_fn *const apply_fns[] = {
  [CONF_CREATE_SERVICE] = create_service,
  [CONF_MARK_ORGANISATION] = mark_organisation,
  [CONF_SET_LIMIT] = set_limit,
  [CONF_UNSET_LIMIT] = unset_limit,
};

/* Count the change in C as the next revision and record it.  */
static void
record (struct conf *c, const struct conf_command *command)
{
  c->revision++;
  struct conf_audit_entry entry
      = conf_audit_from_command (command, c->revision);
  conf_append_audit (c, &entry);
}

static bool
is_same (const struct conf *a, const struct conf *b)
{
  char *diff = conf_diff (a, b);
  bool same = diff[0] == '\0';
  free (diff);
  return same;
}

enum status
conf_apply (struct conf *c, const struct conf_command *command,
            struct findings *findings, struct conf **next)
{
  struct conf *copy = conf_copy (c);
  *next = NULL;
  if (!apply_fns[command->action](copy, command, findings))
    {
      conf_unref (copy);
      return status_set (STATUS_INVALID, "the command does not apply");
    }
  if (is_same (c, copy))
    {
      conf_unref (copy);
      *next = conf_ref (c);
      return STATUS_OK;
    }
  record (copy, command);
  *next = copy;
  return STATUS_OK;
}

/* The last command that NEWER accepted after the revision SINCE and that
   changed what COMMAND changes, or NULL.  */
static const struct conf_audit_entry *
find_rival (const struct conf *newer, uint64_t since,
            const struct conf_command *command)
{
  for (size_t i = newer->audit->len; i > 0; i--)
    {
      const struct conf_audit_entry *entry = conf_audit_at (newer, i - 1);
      if (entry->revision <= since)
        return NULL;
      if (conf_audit_conflicts (entry, command))
        return entry;
    }
  return NULL;
}

bool
conf_audit_covers (const struct conf *c, uint64_t since)
{
  const struct conf_audit_entry *oldest = conf_audit_at (c, 0);
  if (c->revision <= since)
    return true;
  return oldest != NULL && oldest->revision <= since + 1;
}

static void
add_rival (struct findings *findings, const struct conf_audit_entry *rival)
{
  char stamp[STAMP_BYTES];
  struct tm tm;
  time_t seconds = (time_t)(rival->wall_ms / MS_PER_S);
  gmtime_r (&seconds, &tm);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%SZ", &tm);
  findings_add (findings, 1, 1, "",
                "clashes with '%s', accepted as revision %" PRIu64
                " from %s at %s%s%s",
                rival->text, rival->revision, rival->who, stamp,
                rival->why[0] == '\0' ? "" : " because ", rival->why);
}

enum status
conf_reapply (const struct conf *base, struct conf *newer,
              const struct conf_command *command, struct findings *findings,
              struct conf **next)
{
  *next = NULL;
  if (conf_find_change (newer, command->change_id) != NULL)
    {
      *next = conf_ref (newer);
      return STATUS_OK;
    }
  if (!conf_audit_covers (newer, base->revision))
    {
      findings_add (findings, 1, 1, "",
                    "more than %d commands were accepted meanwhile: ask "
                    "again",
                    CONF_AUDIT_MAX);
      return status_set (STATUS_CONFLICT, "the audit is too short");
    }
  enum status result = conf_apply (newer, command, findings, next);
  const struct conf_audit_entry *rival
      = find_rival (newer, base->revision, command);
  if (result != STATUS_OK || *next == newer || rival == NULL)
    return result;
  conf_unref (*next);
  *next = NULL;
  add_rival (findings, rival);
  return status_set (STATUS_CONFLICT, "another command won");
}

enum status
conf_replace_if_newer (struct conf **current, struct conf *candidate)
{
  if (*current != NULL && (*current)->revision >= candidate->revision)
    {
      conf_unref (candidate);
      return status_set (STATUS_STALE, "revision %" PRIu64 " is in force",
                         (*current)->revision);
    }
  conf_unref (*current);
  *current = candidate;
  return STATUS_OK;
}
