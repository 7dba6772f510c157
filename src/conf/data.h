/* The inside of a configuration, for the modules of this folder.  */

#ifndef CONF_DATA_H
#define CONF_DATA_H

#include "conf/conf.h"
#include <glib.h>

/* The arrays are sorted by name; the audit is in the order of revisions.  */
struct conf
{
  gatomicrefcount refs;
  uint64_t revision;
  GArray *services;      /* struct conf_service */
  GArray *organisations; /* struct conf_organisation */
  GArray *overrides;     /* struct conf_override */
  GArray *audit;         /* struct conf_audit_entry */
};

/* The entry called NAME, made with the schema's limits if it is absent.  */
struct conf_service *conf_ensure_service (struct conf *c, const char *name);

/* The entry called NAME, made as a trial if it is absent.  */
struct conf_organisation *conf_ensure_organisation (struct conf *c,
                                                    const char *name);

/* The entry of ORGANISATION in SERVICE, made with nothing set if it is
   absent.  */
struct conf_override *conf_ensure_override (struct conf *c,
                                            const char *service,
                                            const char *organisation);

/* The entry of ORGANISATION in SERVICE, or NULL.  */
struct conf_override *conf_find_override (const struct conf *c,
                                          const char *service,
                                          const char *organisation);

/* Drop the entry of ORGANISATION in SERVICE if nothing is set in it.  */
void conf_prune_override (struct conf *c, const char *service,
                          const char *organisation);

/* Append ENTRY to the audit; the oldest goes when there are too many.  */
void conf_append_audit (struct conf *c, const struct conf_audit_entry *entry);

/* Whether the audit of C reaches back to the change after revision SINCE.  */
bool conf_audit_covers (const struct conf *c, uint64_t since);

/* A copy of C with one reference.  */
struct conf *conf_copy (const struct conf *c);

#endif
