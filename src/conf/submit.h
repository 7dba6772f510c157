/* Submission of commands to the store.

   A command is applied to the stored configuration, and the result is written
   with a compare-and-swap on the revision that was read.  If another command
   was written first, the command is applied again, unless both change the same
   setting.  If the response to a write is lost, the change id in the stored
   audit shows whether the write took effect.  */

#ifndef CONF_SUBMIT_H
#define CONF_SUBMIT_H

#include "conf/conf.h"
#include "store/store.h"

/* The environment of a submission.  IN_FORCE is the newest configuration known
   to the caller, or NULL; an older one in the store is rejected.  NOW_NS and
   PAUSE are called with ARG; tests replace them.  */
struct conf_submit_env
{
  struct store *store;
  const char *key;
  const struct conf *in_force;
  int64_t deadline_ns; /* no retry starts after it; on the clock of NOW_NS */
  int64_t (*now_ns) (void *arg);
  void (*pause) (void *arg, int64_t ns);
  void *arg;
};

/* The result of an accepted command.  BEFORE and AFTER differ only by the
   command; they are the same if it changed nothing.  REVISION is the revision
   that the command made.  NEWEST is the configuration that was read or written
   last.  */
struct conf_submit_result
{
  struct conf *before;
  struct conf *after;
  struct conf *newest;
  uint64_t revision;
};

/* Initialise ENV with the process clock and a deadline TIMEOUT_NS from now. */
void conf_submit_env_init (struct conf_submit_env *env, struct store *store,
                           const char *key, const struct conf *in_force,
                           int64_t timeout_ns);

/* Read the stored configuration into *C and the revision of its key in the
   store, 0 if the key is absent, into *REVISION.  STATUS_OK; the store's
   status on failure; STATUS_STALE if the configuration is older than ENV's
   IN_FORCE; STATUS_SYSTEM if it is malformed.  FINDINGS were added unless the
   result is STATUS_OK.  */
enum status conf_fetch (const struct conf_submit_env *env,
                        struct findings *findings, struct conf **c,
                        int64_t *revision);

/* Submit COMMAND to the store.  STATUS_OK: RESULT is filled; the caller clears
   it.  STATUS_INVALID: the command does not apply.  STATUS_CONFLICT: another
   command changed the same setting first.  STATUS_IN_DOUBT: the command may
   have been accepted, or may still be; the audit shows it by its change id.
   Any other status: it was not accepted.  FINDINGS were added unless the
   result is STATUS_OK.  */
enum status conf_submit (const struct conf_submit_env *env,
                         const struct conf_command *command,
                         struct findings *findings,
                         struct conf_submit_result *result);

/* Release the references of RESULT.  */
void conf_submit_result_clear (struct conf_submit_result *result);

#endif
