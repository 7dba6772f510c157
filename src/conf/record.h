/* The record of one accepted command, for the modules of this folder.  */

#ifndef CONF_RECORD_H
#define CONF_RECORD_H

#include "conf/conf.h"
#include <jansson.h>

/* The record of COMMAND, which made REVISION.  */
struct conf_audit_entry
conf_audit_from_command (const struct conf_command *command,
                         uint64_t revision);

/* The command that A records.  */
struct conf_command conf_audit_to_command (const struct conf_audit_entry *a);

/* Whether A changed what COMMAND changes.  */
bool conf_audit_conflicts (const struct conf_audit_entry *a,
                           const struct conf_command *command);

/* A as JSON; the caller owns the reference.  */
json_t *conf_audit_to_json (const struct conf_audit_entry *a);

/* Read OBJECT, called NAME in findings, into A.  False after findings.  */
bool conf_audit_from_json (const json_t *object, const char *name,
                           struct findings *findings,
                           struct conf_audit_entry *a);

#endif
