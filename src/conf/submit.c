#include "conf/submit.h"

#include "base/clock.h"
#include "conf/data.h"
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  PAUSE_MIN_MS = 5,
  PAUSE_DOUBLINGS = 6 /* the longest pause is 64 times the shortest */
};

/* One command on its way.  BASE is what was read first and SEEN what was read
   last, at the store's revision STORED.  While IN_DOUBT a write that made
   TRIED from TRIED_ON may have taken effect.  */
struct submission
{
  const struct conf_submit_env *env;
  const struct conf_command *command;
  struct findings *findings;
  struct conf *base;
  struct conf *seen;
  int64_t stored;
  bool in_doubt;
  struct conf *tried_on;
  struct conf *tried;
  unsigned attempts;
};

static void
replace (struct conf **held, struct conf *with)
{
  conf_unref (*held);
  *held = with;
}

static int64_t
real_now_ns (void *arg)
{
  (void)arg;
  return clock_now_ns ();
}

static void
real_pause (void *arg, int64_t ns)
{
  (void)arg;
  clock_pause_ns (ns);
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
  env->now_ns = real_now_ns;
  env->pause = real_pause;
  env->arg = NULL;
}

/* Parse VALUE; a store that went back is refused, since a configuration never
   reverts.  */
static enum status
read_value (const struct conf_submit_env *env, const struct store_value *value,
            struct findings *findings, struct conf **c)
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

static enum status
refuse_older (const struct conf_submit_env *env, struct findings *findings,
              struct conf **c)
{
  uint64_t known = env->in_force == NULL ? 0 : conf_revision (env->in_force);
  uint64_t stored = conf_revision (*c);
  if (stored >= known)
    return STATUS_OK;
  findings_add (findings, 1, 1, "",
                "the store holds revision %" PRIu64 ", but %" PRIu64
                " is in force here",
                stored, known);
  replace (c, NULL);
  return status_set (STATUS_STALE, "the store holds an older configuration");
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
      return refuse_older (env, findings, c);
    }
  if (s != STATUS_OK)
    {
      findings_add (findings, 1, 1, "", "the store cannot be read: %s",
                    status_text (s));
      return s;
    }
  *revision = value.revision;
  s = read_value (env, &value, findings, c);
  store_value_clear (&value);
  return s == STATUS_OK ? refuse_older (env, findings, c) : s;
}

static enum status
fetch (struct submission *s, struct findings *findings)
{
  struct conf *c = NULL;
  enum status result = conf_fetch (s->env, findings, &c, &s->stored);
  if (result != STATUS_OK)
    return result;
  if (s->seen != NULL && conf_revision (c) < conf_revision (s->seen))
    {
      conf_unref (c);
      findings_add (findings, 1, 1, "", "the store went back");
      return status_set (STATUS_STALE, "the store went back");
    }
  if (s->base == NULL)
    s->base = conf_ref (c);
  replace (&s->seen, c);
  return STATUS_OK;
}

/* Wait before the next attempt, longer after each and not in step with other
   operators.  False when the time is up.  */
static bool
may_retry (struct submission *s)
{
  const struct conf_submit_env *env = s->env;
  unsigned doublings
      = s->attempts < PAUSE_DOUBLINGS ? s->attempts : PAUSE_DOUBLINGS;
  int64_t longest_ns = (PAUSE_MIN_MS * NS_PER_MS) << doublings;
  uint64_t spread = XXH3_64bits_withSeed (
      &s->command->change_id, sizeof s->command->change_id, s->attempts);
  int64_t pause_ns = longest_ns / 2 + (int64_t)(spread % (uint64_t)longest_ns);
  s->attempts++;
  if (env->now_ns (env->arg) + pause_ns >= env->deadline_ns)
    return false;
  env->pause (env->arg, pause_ns);
  return true;
}

static enum status
give_up (struct submission *s, enum status otherwise, const char *problem)
{
  if (!s->in_doubt)
    {
      findings_add (s->findings, 1, 1, "", "%s: nothing was changed", problem);
      return status_set (otherwise, "%s", problem);
    }
  findings_add (s->findings, 1, 1, "",
                "it is not known whether the command was accepted: look for "
                "it in history");
  return status_set (STATUS_IN_DOUBT, "the answer of the store was lost");
}

/* Whether the command is in what was read last.  */
static const struct conf_audit_entry *
find_accepted (const struct submission *s)
{
  return conf_find_change (s->seen, s->command->change_id);
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

/* Swap NEXT in for what was read last.  */
static enum status
swap (struct submission *s, struct conf *next)
{
  const struct conf_submit_env *env = s->env;
  int64_t revision = 0;
  char *json = conf_to_json (next);
  if (json == NULL || strlen (json) > CONF_JSON_BYTES_MAX)
    {
      free (json);
      return status_set (STATUS_FULL, "the configuration is too long");
    }
  enum status result = env->store->ops->swap (
      env->store, env->key, s->stored, json, strlen (json), 0, &revision);
  free (json);
  return result;
}

/* Make the next configuration from what was read last and swap it in.  */
static enum status
try_once (struct submission *s, struct conf_submit_result *result)
{
  struct conf *next = NULL;
  const struct conf_audit_entry *accepted = find_accepted (s);
  if (accepted != NULL)
    {
      fill_result (result, s->tried_on != NULL ? s->tried_on : s->seen,
                   s->tried != NULL ? s->tried : s->seen, s->seen,
                   accepted->revision);
      return STATUS_OK;
    }
  if (s->in_doubt && !conf_audit_covers (s->seen, conf_revision (s->tried_on)))
    return give_up (s, STATUS_IN_DOUBT, "");
  enum status applied
      = conf_reapply (s->base, s->seen, s->command, s->findings, &next);
  if (applied != STATUS_OK)
    return applied;
  enum status swapped = next == s->seen ? STATUS_OK : swap (s, next);
  if (swapped == STATUS_OK)
    fill_result (result, s->seen, next, next, conf_revision (next));
  if (swapped == STATUS_IN_DOUBT)
    {
      s->in_doubt = true;
      replace (&s->tried_on, conf_ref (s->seen));
      replace (&s->tried, conf_ref (next));
    }
  conf_unref (next);
  return swapped;
}

static enum status
submit (struct submission *s, struct conf_submit_result *result)
{
  for (;;)
    {
      struct findings *ignored = findings_new ("store");
      enum status read = fetch (s, s->in_doubt ? ignored : s->findings);
      findings_free (ignored);
      if (read != STATUS_OK && !s->in_doubt)
        return read;
      size_t earlier = findings_count (s->findings);
      enum status tried = read == STATUS_OK ? try_once (s, result) : read;
      bool refused = findings_count (s->findings) > earlier;
      if (tried == STATUS_OK || refused)
        return tried;
      if (tried == STATUS_UNAVAILABLE && !s->in_doubt)
        return give_up (s, tried, "the store is not available");
      if (tried == STATUS_FULL)
        return give_up (s, tried, "the configuration is too long");
      if (!may_retry (s))
        return give_up (s, STATUS_TIMEOUT, "other commands kept winning");
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
  enum status status = submit (&s, result);
  conf_unref (s.base);
  conf_unref (s.seen);
  conf_unref (s.tried_on);
  conf_unref (s.tried);
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
