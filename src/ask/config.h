/* Answers that are built from a configuration alone.  */

#ifndef ASK_CONFIG_H
#define ASK_CONFIG_H

#include "ask/answer.h"
#include "ask/query.h"
#include "conf/conf.h"

/* Fill A with the answer to the query `config`, `limits`, `organisations` or
   `history`.  */
enum status ask_answer_config (struct ask_answer *a, const struct conf *c);
enum status ask_answer_limits (struct ask_answer *a, const struct conf *c,
                               const struct ask_query *q);
enum status ask_answer_organisations (struct ask_answer *a,
                                      const struct conf *c);
enum status ask_answer_history (struct ask_answer *a, const struct conf *c);

/* Fill A with the answer to the query `zones`: ZONES, NULL-terminated and
   sorted, and those that are evacuated.  */
enum status ask_answer_zones (struct ask_answer *a, const struct conf *c,
                              const char *const *zones);

/* Fill A with the answer to a configuration command that changes BEFORE to
   AFTER: the differences and the new revision.  With DRY_RUN the note says
   that the command would make this revision.  */
enum status ask_answer_change (struct ask_answer *a, const struct conf *before,
                               const struct conf *after, bool dry_run);

#endif
