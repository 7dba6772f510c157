/* The representation of a configuration, private to src/conf.  */

#ifndef CONF_DATA_H
#define CONF_DATA_H

#include "conf/conf.h"
#include <glib.h>

/* The arrays are sorted by name, the audit by revision.  */
struct conf
{
  gatomicrefcount refs;
  uint64_t revision;
  GArray *services;      /* struct conf_service */
  GArray *organisations; /* struct conf_organisation */
  GArray *overrides;     /* struct conf_override */
  GArray *zones;         /* struct conf_zone: those that are evacuated */
  GArray *audit;         /* struct conf_audit_entry */
};

/* The entry called NAME, created with the initial limits of the schema if it
   is absent.  */
struct conf_service *conf_ensure_service (struct conf *c, const char *name);

/* The entry called NAME, created as a trial if it is absent.  */
struct conf_organisation *conf_ensure_organisation (struct conf *c,
                                                    const char *name);

/* The override of ORGANISATION in SERVICE, created with no limit set if it is
   absent.  */
struct conf_override *conf_ensure_override (struct conf *c,
                                            const char *service,
                                            const char *organisation);

/* The override of ORGANISATION in SERVICE, or NULL.  */
struct conf_override *conf_find_override (const struct conf *c,
                                          const char *service,
                                          const char *organisation);

/* Remove the override of ORGANISATION in SERVICE if it sets no limit.  */
void conf_prune_override (struct conf *c, const char *service,
                          const char *organisation);

/* Add ZONE to the evacuated zones, or remove it; nothing is done if it is so
   already.  */
void conf_set_evacuated (struct conf *c, const char *zone, bool evacuated);

/* Append ENTRY to the audit, which keeps the last CONF_AUDIT_MAX entries.  */
void conf_append_audit (struct conf *c, const struct conf_audit_entry *entry);

/* Whether the audit of C contains every command accepted after revision
   SINCE.  */
bool conf_audit_covers (const struct conf *c, uint64_t since);

/* A copy of C with one reference.  */
struct conf *conf_copy (const struct conf *c);

#endif
