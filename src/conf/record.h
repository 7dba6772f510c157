/* Audit entries, private to src/conf.  */

#ifndef CONF_RECORD_H
#define CONF_RECORD_H

#include "conf/conf.h"
#include <jansson.h>

/* The audit entry of COMMAND, which made REVISION.  */
struct conf_audit_entry
conf_audit_from_command (const struct conf_command *command,
                         uint64_t revision);

/* The command that A was made from, without its columns.  */
struct conf_command conf_audit_to_command (const struct conf_audit_entry *a);

/* Whether A and COMMAND change the same setting.  */
bool conf_audit_conflicts (const struct conf_audit_entry *a,
                           const struct conf_command *command);

/* The JSON form of A; the caller owns the reference.  */
json_t *conf_audit_to_json (const struct conf_audit_entry *a);

/* Parse OBJECT, called NAME in findings, into A.  False if FINDINGS were
   added.  */
bool conf_audit_from_json (const json_t *object, const char *name,
                           struct findings *findings,
                           struct conf_audit_entry *a);

#endif
