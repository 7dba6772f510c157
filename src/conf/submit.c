#include "conf/submit.h"

#include "base/clock.h"
#include "conf/data.h"
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  RETRY_PAUSE_INITIAL_MS = 5, /* mean of the first pause */
  RETRY_DOUBLINGS_MAX = 6     /* the mean grows to 64 times the first */
};

/* The submission of one command.  BASE is the configuration that was read
   first, LATEST the one that was read last, at the store's revision
   STORED_REVISION.  If IN_DOUBT is true, a write of IN_DOUBT_NEXT, made from
   IN_DOUBT_BASE, may have taken effect.  */
struct submission
{
  const struct conf_submit_env *env;
  const struct conf_command *command;
  struct findings *findings;
  struct conf *base;
  struct conf *latest;
  int64_t stored_revision;
  bool in_doubt;
  struct conf *in_doubt_base;
  struct conf *in_doubt_next;
  unsigned attempts;
};

static void
replace_ref (struct conf **ref, struct conf *value)
{
  conf_unref (*ref);
  *ref = value;
}

static int64_t
process_now_ns (void *arg)
{
  (void)arg;
  return clock_now_ns ();
}

static void
process_pause (void *arg, int64_t ns)
{
  (void)arg;
  clock_sleep_ns (ns);
}

void
conf_submit_env_init (struct conf_submit_env *env, struct store *store,
                      const char *key, const struct conf *in_force,
                      int64_t timeout_ns)
{
  env->store = store;
  env->key = key;
  env->in_force = in_force;
  env->deadline_ns = clock_now_ns () + timeout_ns;
  env->now_ns = process_now_ns;
  env->pause = process_pause;
  env->arg = NULL;
}

/* Parse VALUE, the stored configuration.  */
static enum status
parse_value (const struct conf_submit_env *env,
             const struct store_value *value, struct findings *findings,
             struct conf **c)
{
  struct findings *problems = findings_new (env->key);
  *c = conf_from_json (value->data, value->length, problems);
  if (*c == NULL)
    {
      const struct finding *first = findings_get (problems, 0);
      findings_add (
          findings, 1, 1, "", "the stored configuration is malformed: %s%s%s",
          first->key, first->key[0] == '\0' ? "" : ": ", first->problem);
    }
  findings_free (problems);
  return *c == NULL
             ? status_set (STATUS_SYSTEM, "the configuration is malformed")
             : STATUS_OK;
}

/* Reject the configuration *C if it is older than the one in force: the store
   has reverted to an earlier state, and the configuration in force never
   reverts.  */
static enum status
reject_older (const struct conf_submit_env *env, struct findings *findings,
              struct conf **c)
{
  uint64_t in_force_revision
      = env->in_force == NULL ? 0 : conf_revision (env->in_force);
  uint64_t stored_revision = conf_revision (*c);
  if (stored_revision >= in_force_revision)
    return STATUS_OK;
  findings_add (findings, 1, 1, "",
                "the store holds revision %" PRIu64 ", but %" PRIu64
                " is in force here",
                stored_revision, in_force_revision);
  replace_ref (c, NULL);
  return status_set (
      STATUS_STALE, "the store holds an older configuration than is in force");
}

enum status
conf_fetch (const struct conf_submit_env *env, struct findings *findings,
            struct conf **c, int64_t *revision)
{
  struct store_value value = { 0 };
  *c = NULL;
  *revision = 0;
  enum status s = env->store->ops->get (env->store, env->key, &value);
  if (s == STATUS_NOT_FOUND)
    {
      *c = conf_new ();
      return reject_older (env, findings, c);
    }
  if (s != STATUS_OK)
    {
      findings_add (findings, 1, 1, "", "the store cannot be read: %s",
                    status_text (s));
      return s;
    }
  *revision = value.revision;
  s = parse_value (env, &value, findings, c);
  store_value_clear (&value);
  return s == STATUS_OK ? reject_older (env, findings, c) : s;
}

static enum status
fetch_latest (struct submission *s, struct findings *findings)
{
  struct conf *c = NULL;
  enum status result = conf_fetch (s->env, findings, &c, &s->stored_revision);
  if (result != STATUS_OK)
    return result;
  if (s->latest != NULL && conf_revision (c) < conf_revision (s->latest))
    {
      conf_unref (c);
      findings_add (findings, 1, 1, "",
                    "the store returned an older revision than before");
      return status_set (STATUS_STALE, "the store returned an older revision");
    }
  if (s->base == NULL)
    s->base = conf_ref (c);
  replace_ref (&s->latest, c);
  return STATUS_OK;
}

/* Back off exponentially before the next attempt.  Jitter from the change id
   makes the pause half to one and a half times its mean, so that concurrent
   operators do not retry in step.  False if the pause would not end before the
   deadline.  */
static bool
pause_before_retry (struct submission *s)
{
  const struct conf_submit_env *env = s->env;
  unsigned doublings
      = s->attempts < RETRY_DOUBLINGS_MAX ? s->attempts : RETRY_DOUBLINGS_MAX;
  int64_t mean_pause_ns = (RETRY_PAUSE_INITIAL_MS * NS_PER_MS) << doublings;
  uint64_t jitter = XXH3_64bits_withSeed (
      &s->command->change_id, sizeof s->command->change_id, s->attempts);
  int64_t pause_ns
      = mean_pause_ns / 2 + (int64_t)(jitter % (uint64_t)mean_pause_ns);
  s->attempts++;
  if (env->now_ns (env->arg) + pause_ns >= env->deadline_ns)
    return false;
  env->pause (env->arg, pause_ns);
  return true;
}

/* End the submission with a finding: PROBLEM and STATUS, or STATUS_IN_DOUBT if
   a write may have taken effect.  */
static enum status
fail_submission (struct submission *s, enum status status, const char *problem)
{
  if (!s->in_doubt)
    {
      findings_add (s->findings, 1, 1, "", "%s: nothing was changed", problem);
      return status_set (status, "%s", problem);
    }
  findings_add (s->findings, 1, 1, "",
                "it is not known whether the command was accepted: look for "
                "it in history");
  return status_set (STATUS_IN_DOUBT, "the response of the store was lost");
}

/* The audit entry of the command in LATEST, or NULL.  */
static const struct conf_audit_entry *
find_accepted_entry (const struct submission *s)
{
  return conf_find_change (s->latest, s->command->change_id);
}

static void
fill_result (struct conf_submit_result *result, struct conf *before,
             struct conf *after, struct conf *newest, uint64_t revision)
{
  result->before = conf_ref (before);
  result->after = conf_ref (after);
  result->newest = conf_ref (newest);
  result->revision = revision;
}

/* Write NEXT in place of LATEST with a compare-and-swap.  */
static enum status
swap_next (struct submission *s, struct conf *next)
{
  const struct conf_submit_env *env = s->env;
  int64_t revision = 0;
  char *json = conf_to_json (next);
  if (json == NULL || strlen (json) > CONF_JSON_BYTES_MAX)
    {
      free (json);
      return status_set (STATUS_FULL, "the configuration is too large");
    }
  enum status result
      = env->store->ops->swap (env->store, env->key, s->stored_revision, json,
                               strlen (json), 0, &revision);
  free (json);
  return result;
}

/* Apply the command to LATEST and write the result, unless LATEST already
   contains the command.  */
static enum status
submit_once (struct submission *s, struct conf_submit_result *result)
{
  struct conf *next = NULL;
  const struct conf_audit_entry *accepted = find_accepted_entry (s);
  if (accepted != NULL)
    {
      fill_result (result,
                   s->in_doubt_base != NULL ? s->in_doubt_base : s->latest,
                   s->in_doubt_next != NULL ? s->in_doubt_next : s->latest,
                   s->latest, accepted->revision);
      return STATUS_OK;
    }
  if (s->in_doubt
      && !conf_audit_covers (s->latest, conf_revision (s->in_doubt_base)))
    return fail_submission (s, STATUS_IN_DOUBT, "");
  enum status applied
      = conf_reapply (s->base, s->latest, s->command, s->findings, &next);
  if (applied != STATUS_OK)
    return applied;
  enum status swapped = next == s->latest ? STATUS_OK : swap_next (s, next);
  if (swapped == STATUS_OK)
    fill_result (result, s->latest, next, next, conf_revision (next));
  if (swapped == STATUS_IN_DOUBT)
    {
      s->in_doubt = true;
      replace_ref (&s->in_doubt_base, conf_ref (s->latest));
      replace_ref (&s->in_doubt_next, conf_ref (next));
    }
  conf_unref (next);
  return swapped;
}

static enum status
submit_with_retries (struct submission *s, struct conf_submit_result *result)
{
  for (;;)
    {
      struct findings *ignored = findings_new ("store");
      enum status read = fetch_latest (s, s->in_doubt ? ignored : s->findings);
      findings_free (ignored);
      if (read != STATUS_OK && !s->in_doubt)
        return read;
      size_t findings_before = findings_count (s->findings);
      enum status outcome = read == STATUS_OK ? submit_once (s, result) : read;
      bool rejected = findings_count (s->findings) > findings_before;
      if (outcome == STATUS_OK || rejected)
        return outcome;
      if (outcome == STATUS_UNAVAILABLE && !s->in_doubt)
        return fail_submission (s, outcome, "the store is not available");
      if (outcome == STATUS_FULL)
        return fail_submission (s, outcome, "the configuration is too large");
      if (!pause_before_retry (s))
        return fail_submission (s, STATUS_TIMEOUT,
                                "every attempt lost to another command");
    }
}

enum status
conf_submit (const struct conf_submit_env *env,
             const struct conf_command *command, struct findings *findings,
             struct conf_submit_result *result)
{
  struct submission s
      = { .env = env, .command = command, .findings = findings };
  memset (result, 0, sizeof *result);
  enum status status = submit_with_retries (&s, result);
  conf_unref (s.base);
  conf_unref (s.latest);
  conf_unref (s.in_doubt_base);
  conf_unref (s.in_doubt_next);
  return status;
}

void
conf_submit_result_clear (struct conf_submit_result *result)
{
  conf_unref (result->before);
  conf_unref (result->after);
  conf_unref (result->newest);
  memset (result, 0, sizeof *result);
}
