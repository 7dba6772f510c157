/* Application of commands to configurations.  */

#include "conf/data.h"
#include "conf/record.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  TIMESTAMP_BYTES = 32,
  MS_PER_S = 1000
};

/* Make one kind of change to the copy C.  False after adding a finding.  */
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
require_capacity (const GArray *array, unsigned max, unsigned column,
                  const char *entries, struct findings *findings)
{
  if (array->len < max)
    return true;
  findings_add (findings, 1, column, "", "the maximum of %u %s is reached",
                max, entries);
  return false;
}

static bool
create_service (struct conf *c, const struct conf_command *command,
                struct findings *findings)
{
  if (conf_find_service (c, command->service) == NULL
      && !require_capacity (c->services, CONF_SERVICES_MAX,
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
      && !require_capacity (c->organisations, CONF_ORGANISATIONS_MAX,
                            command->organisation_column, "organisations",
                            findings))
    return false;
  conf_ensure_organisation (c, command->organisation)->kind = command->kind;
  return true;
}

static bool
require_organisation_limit (const struct conf_command *command,
                            struct findings *findings)
{
  const struct conf_limit_definition *limit
      = &conf_limits_schema[command->limit];
  if (command->organisation[0] == '\0' || limit->is_per_organisation)
    return true;
  findings_add (findings, 1, command->organisation_column, "",
                "%s applies to all trials together, not to one organisation",
                limit->word);
  return false;
}

static bool
set_override (struct conf *c, const struct conf_command *command,
              struct findings *findings)
{
  if (conf_find_override (c, command->service, command->organisation) == NULL
      && !require_capacity (c->overrides, CONF_OVERRIDES_MAX,
                            command->organisation_column,
                            "overrides for organisations", findings))
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
                "%s must be from %u%s to %u%s", limit->word, limit->low,
                limit->unit, limit->high, limit->unit);
  return false;
}

static bool
set_limit (struct conf *c, const struct conf_command *command,
           struct findings *findings)
{
  bool valid = require_range (command, findings);
  valid &= require_organisation_limit (command, findings);
  valid &= require_service (c, command, findings);
  if (!valid)
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
  bool valid = require_organisation_limit (command, findings);
  valid &= require_service (c, command, findings);
  if (!valid)
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

static bool
evacuate_zone (struct conf *c, const struct conf_command *command,
               struct findings *findings)
{
  if (!conf_zone_is_evacuated (c, command->zone)
      && !require_capacity (c->zones, CONF_ZONES_MAX, command->zone_column,
                            "evacuated zones", findings))
    return false;
  conf_set_evacuated (c, command->zone, true);
  return true;
}

static bool
restore_zone (struct conf *c, const struct conf_command *command,
              struct findings *findings)
{
  (void)findings;
  conf_set_evacuated (c, command->zone, false);
  return true;
}

static apply_fn *const apply_fns[] = {
  [CONF_CREATE_SERVICE] = create_service,
  [CONF_MARK_ORGANISATION] = mark_organisation,
  [CONF_SET_LIMIT] = set_limit,
  [CONF_UNSET_LIMIT] = unset_limit,
  [CONF_EVACUATE_ZONE] = evacuate_zone,
  [CONF_RESTORE_ZONE] = restore_zone,
};

/* Give C the next revision and add COMMAND to its audit.  */
static void
record_command (struct conf *c, const struct conf_command *command)
{
  c->revision++;
  struct conf_audit_entry entry
      = conf_audit_from_command (command, c->revision);
  conf_append_audit (c, &entry);
}

static bool
is_equal (const struct conf *a, const struct conf *b)
{
  char *diff = conf_diff (a, b);
  bool equal = diff[0] == '\0';
  free (diff);
  return equal;
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
  if (is_equal (c, copy))
    {
      conf_unref (copy);
      *next = conf_ref (c);
      return STATUS_OK;
    }
  if (command->check != NULL
      && !command->check (command->check_arg, copy, command, findings))
    {
      conf_unref (copy);
      return status_set (STATUS_INVALID, "the command does not apply");
    }
  record_command (copy, command);
  *next = copy;
  return STATUS_OK;
}

/* The last command accepted in NEWER after revision SINCE that changed the
   same setting as COMMAND, or NULL.  */
static const struct conf_audit_entry *
find_conflicting_entry (const struct conf *newer, uint64_t since,
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
add_conflict_finding (struct findings *findings,
                      const struct conf_audit_entry *conflicting)
{
  char timestamp[TIMESTAMP_BYTES];
  struct tm tm;
  time_t seconds = (time_t)(conflicting->wall_ms / MS_PER_S);
  gmtime_r (&seconds, &tm);
  strftime (timestamp, sizeof timestamp, "%Y-%m-%dT%H:%M:%SZ", &tm);
  findings_add (findings, 1, 1, "",
                "conflicts with '%s', accepted as revision %" PRIu64
                " from %s at %s%s%s",
                conflicting->text, conflicting->revision, conflicting->who,
                timestamp, conflicting->why[0] == '\0' ? "" : " because ",
                conflicting->why);
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
                    "more than %d commands were accepted in the meantime: "
                    "try again",
                    CONF_AUDIT_MAX);
      return status_set (STATUS_CONFLICT,
                         "the audit does not reach back to the base revision");
    }
  enum status result = conf_apply (newer, command, findings, next);
  const struct conf_audit_entry *conflicting
      = find_conflicting_entry (newer, base->revision, command);
  if (result != STATUS_OK || *next == newer || conflicting == NULL)
    return result;
  conf_unref (*next);
  *next = NULL;
  add_conflict_finding (findings, conflicting);
  return status_set (STATUS_CONFLICT,
                     "a conflicting command was accepted first");
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
