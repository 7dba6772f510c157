#include "lib/history.h"

#include "lib/history_data.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/* The output of one check and the number of violations.  */
struct report
{
  FILE *out;
  unsigned count;
};

static void report_violation (struct report *r,
                              struct history_location location,
                              const char *rule, const char *fmt, ...)
    __attribute__ ((format (printf, 4, 5)));

static void
report_violation (struct report *r, struct history_location location,
                  const char *rule, const char *fmt, ...)
{
  va_list args;
  fprintf (r->out, "%s:%u: %s: ", location.file, location.line, rule);
  va_start (args, fmt);
  vfprintf (r->out, fmt, args);
  va_end (args);
  fputc ('\n', r->out);
  r->count++;
}

struct history *
history_new (bool by_slot)
{
  struct history *h = g_new0 (struct history, 1);
  h->by_slot = by_slot;
  h->runs = g_array_new (FALSE, FALSE, sizeof (struct history_run));
  h->answers = g_array_new (FALSE, FALSE, sizeof (struct history_answer));
  h->changes = g_array_new (FALSE, FALSE, sizeof (struct history_change));
  h->revisions = g_array_new (FALSE, FALSE, sizeof (struct history_log_value));
  h->joins = g_array_new (FALSE, FALSE, sizeof (struct history_log_value));
  h->malformed = g_array_new (FALSE, FALSE, sizeof (struct history_location));
  h->unended_runs = g_hash_table_new (g_str_hash, g_str_equal);
  h->last_ns_by_target
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  h->answers_by_token = g_hash_table_new (g_str_hash, g_str_equal);
  h->processes_by_log = g_hash_table_new (NULL, NULL);
  return h;
}

void
history_free (struct history *h)
{
  g_array_free (h->runs, TRUE);
  g_array_free (h->answers, TRUE);
  g_array_free (h->changes, TRUE);
  g_array_free (h->revisions, TRUE);
  g_array_free (h->joins, TRUE);
  g_array_free (h->malformed, TRUE);
  g_hash_table_destroy (h->unended_runs);
  g_hash_table_destroy (h->last_ns_by_target);
  g_hash_table_destroy (h->answers_by_token);
  g_hash_table_destroy (h->processes_by_log);
  g_free (h);
}

enum status
history_read (struct history *h, const char *path)
{
  char *line = NULL;
  size_t capacity = 0;
  struct history_location location = { g_intern_string (path), 0 };
  FILE *in = fopen (path, "re");
  if (in == NULL)
    return status_set (STATUS_NOT_FOUND, "%s: cannot be opened", path);
  while (getline (&line, &capacity, in) >= 0)
    {
      location.line++;
      history_read_line (h, location, line);
    }
  free (line);
  fclose (in);
  return STATUS_OK;
}

unsigned
history_runs (const struct history *h)
{
  return h->runs->len;
}

unsigned
history_answers (const struct history *h)
{
  return h->answers->len;
}

unsigned
history_runs_without_token (const struct history *h)
{
  unsigned count = 0;
  for (guint i = 0; i < h->runs->len; i++)
    count += g_array_index (h->runs, struct history_run, i).token == NULL;
  return count;
}

/* Rules on the runs of a key.  */

static int
compare_runs (gconstpointer a, gconstpointer b)
{
  const struct history_run *x = a;
  const struct history_run *y = b;
  return (x->begin_ns > y->begin_ns) - (x->begin_ns < y->begin_ns);
}

/* A run without a recorded end lasted at least until the last journal entry of
   its target.  */
static int64_t
run_end_ns (const struct history *h, const struct history_run *run)
{
  if (run->end_ns >= 0)
    return run->end_ns;
  const int64_t *last
      = g_hash_table_lookup (h->last_ns_by_target, run->target);
  return last == NULL ? run->begin_ns : *last;
}

/* Among the runs of a key checked so far: the one with the latest end, and the
   one with the latest end at any other target.  */
struct last_ends
{
  const struct history_run *latest;
  const struct history_run *latest_elsewhere;
};

static void
check_overlap (struct report *r, const struct history *h, struct last_ends *l,
               const struct history_run *run)
{
  const struct history_run *other = l->latest;
  if (other != NULL && other->target == run->target)
    other = l->latest_elsewhere;
  if (other != NULL && run_end_ns (h, other) > run->begin_ns)
    report_violation (r, run->location, "overlap",
                      "%s began key %s while %s ran it (%s:%u)", run->target,
                      run->key, other->target, other->location.file,
                      other->location.line);
  if (l->latest == NULL || run_end_ns (h, run) > run_end_ns (h, l->latest))
    {
      if (l->latest != NULL && l->latest->target != run->target)
        l->latest_elsewhere = l->latest;
      l->latest = run;
    }
  else if (l->latest->target != run->target
           && (l->latest_elsewhere == NULL
               || run_end_ns (h, run) > run_end_ns (h, l->latest_elsewhere)))
    l->latest_elsewhere = run;
}

static void
check_overlaps (struct report *r, const struct history *h)
{
  GHashTable *keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  for (guint i = 0; i < h->runs->len; i++)
    {
      const struct history_run *run
          = &g_array_index (h->runs, struct history_run, i);
      struct last_ends *l = g_hash_table_lookup (keys, run->key);
      if (l == NULL)
        {
          l = g_new0 (struct last_ends, 1);
          g_hash_table_insert (keys, (gpointer)run->key, l);
        }
      check_overlap (r, h, l, run);
    }
  g_hash_table_destroy (keys);
}

static void
check_epoch (struct report *r, GHashTable *highest, const char *group,
             const struct history_run *run)
{
  const struct history_run *maximum = g_hash_table_lookup (highest, group);
  if (maximum == NULL || run->epoch > maximum->epoch)
    g_hash_table_insert (highest, (gpointer)group, (gpointer)run);
  else if (run->epoch < maximum->epoch)
    report_violation (
        r, run->location, "epoch",
        "%s ran %s under epoch %" PRId64 " after %s under %" PRId64 " (%s:%u)",
        run->target, group, run->epoch, maximum->target, maximum->epoch,
        maximum->location.file, maximum->location.line);
  else if (run->target != maximum->target)
    report_violation (r, run->location, "shared-epoch",
                      "%s and %s (%s:%u) ran %s under epoch %" PRId64,
                      run->target, maximum->target, maximum->location.file,
                      maximum->location.line, group, run->epoch);
}

static void
check_epochs (struct report *r, const struct history *h)
{
  GHashTable *highest = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < h->runs->len; i++)
    {
      const struct history_run *run
          = &g_array_index (h->runs, struct history_run, i);
      check_epoch (r, highest, run->key, run);
      if (h->by_slot)
        check_epoch (r, highest, run->slot_name, run);
    }
  g_hash_table_destroy (highest);
}

/* Rules on requests.  */

static const struct history_answer *
find_answer (const struct history *h, const char *token)
{
  if (token == NULL)
    return NULL;
  guint index
      = GPOINTER_TO_UINT (g_hash_table_lookup (h->answers_by_token, token));
  if (index == 0)
    return NULL;
  return &g_array_index (h->answers, struct history_answer, index - 1);
}

static bool
is_idempotent (const struct history *h, const struct history_run *run)
{
  const struct history_answer *a = find_answer (h, run->token);
  return a == NULL ? run->safe_method : a->idempotent;
}

static void
check_duplicate (struct report *r, GHashTable *seen, const char *name,
                 const struct history_run *run)
{
  const struct history_run *first = g_hash_table_lookup (seen, name);
  if (first == NULL)
    g_hash_table_insert (seen, (gpointer)name, (gpointer)run);
  else
    report_violation (r, run->location, "twice",
                      "%s began request %s, which %s had begun (%s:%u)",
                      run->target, name, first->target, first->location.file,
                      first->location.line);
}

/* The caller's token identifies a request even if two nodes sent it; without a
   token, the request id identifies one that a node sent twice.  */
static void
check_runs_once (struct report *r, const struct history *h)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < h->runs->len; i++)
    {
      const struct history_run *run
          = &g_array_index (h->runs, struct history_run, i);
      if (!is_idempotent (h, run))
        check_duplicate (r, seen, run->token == NULL ? run->id : run->token,
                         run);
    }
  g_hash_table_destroy (seen);
}

static void
check_not_run (struct report *r, const struct history *h)
{
  for (guint i = 0; i < h->runs->len; i++)
    {
      const struct history_run *run
          = &g_array_index (h->runs, struct history_run, i);
      const struct history_answer *a = find_answer (h, run->token);
      if (a == NULL
          || (strcmp (a->outcome, "not-run") != 0
              && strcmp (a->outcome, "unsent") != 0))
        continue;
      report_violation (r, a->location, "not-run",
                        "request %s was reported as %s but ran at %s (%s:%u)",
                        a->token, a->outcome, run->target, run->location.file,
                        run->location.line);
    }
}

static void
check_answer (struct report *r, GHashTable *by_id,
              const struct history_answer *a, bool recorded)
{
  const struct history_run *run = g_hash_table_lookup (by_id, a->request_id);
  if (!a->echoed)
    report_violation (r, a->location, "foreign",
                      "request %s got an answer without its token", a->token);
  else if (run != NULL && run->token != NULL && run->token != a->token)
    report_violation (r, a->location, "foreign",
                      "request %s got the answer of run %s, of request %s "
                      "(%s:%u)",
                      a->token, a->request_id, run->token, run->location.file,
                      run->location.line);
  else if (run == NULL && recorded)
    report_violation (r, a->location, "no-run",
                      "request %s got an answer of run %s, which %s did not "
                      "record",
                      a->token, a->request_id, a->target);
}

static void
check_answers (struct report *r, const struct history *h)
{
  GHashTable *by_id = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < h->runs->len; i++)
    {
      struct history_run *run
          = &g_array_index (h->runs, struct history_run, i);
      g_hash_table_insert (by_id, (gpointer)run->id, run);
    }
  for (guint i = 0; i < h->answers->len; i++)
    {
      const struct history_answer *a
          = &g_array_index (h->answers, struct history_answer, i);
      bool recorded = g_hash_table_contains (h->last_ns_by_target, a->target);
      if (strcmp (a->outcome, "answered") == 0 && *a->request_id != '\0')
        check_answer (r, by_id, a, recorded);
    }
  g_hash_table_destroy (by_id);
}

/* Rules on numbers that must not decrease.  */

static int
compare_changes (gconstpointer a, gconstpointer b)
{
  const struct history_change *x = a;
  const struct history_change *y = b;
  return (x->ns > y->ns) - (x->ns < y->ns);
}

static void
check_changes (struct report *r, const struct history *h)
{
  GHashTable *highest = g_hash_table_new (g_str_hash, g_str_equal);
  g_array_sort (h->changes, compare_changes);
  for (guint i = 0; i < h->changes->len; i++)
    {
      struct history_change *s
          = &g_array_index (h->changes, struct history_change, i);
      const struct history_change *maximum
          = g_hash_table_lookup (highest, s->name);
      if (maximum != NULL && s->serial < maximum->serial)
        report_violation (r, s->location, "acknowledged",
                          "%s: %" PRId64 " after %" PRId64
                          " was acknowledged (%s:%u)",
                          s->name, s->serial, maximum->serial,
                          maximum->location.file, maximum->location.line);
      else if (s->acknowledged)
        g_hash_table_insert (highest, (gpointer)s->name, s);
    }
  g_hash_table_destroy (highest);
}

/* Whether M has the revision 0, "no document", and its process has logged no
   other before.  A process that starts while the store is down has none.  */
static bool
is_before_first_document (const struct history *h, guint index)
{
  const struct history_log_value *m
      = &g_array_index (h->revisions, struct history_log_value, index);
  if (m->value != 0)
    return false;
  for (guint i = 0; i < index; i++)
    {
      const struct history_log_value *other
          = &g_array_index (h->revisions, struct history_log_value, i);
      if (other->location.file == m->location.file
          && other->process == m->process && other->value > 0)
        return false;
    }
  return true;
}

/* Revisions must not decrease per event type and log file, also when the node
   was restarted.  */
static void
check_revisions (struct report *r, const struct history *h)
{
  GHashTable *highest = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < h->revisions->len; i++)
    {
      if (is_before_first_document (h, i))
        continue;
      struct history_log_value *m
          = &g_array_index (h->revisions, struct history_log_value, i);
      char *name = g_strdup_printf ("%s %s", m->location.file, m->event);
      const char *series = g_intern_string (name);
      const struct history_log_value *maximum
          = g_hash_table_lookup (highest, series);
      g_free (name);
      if (maximum != NULL && m->value < maximum->value)
        report_violation (r, m->location, "revision",
                          "%s with revision %" PRId64 " after %" PRId64
                          " (%s:%u)",
                          m->event, m->value, maximum->value,
                          maximum->location.file, maximum->location.line);
      else
        g_hash_table_insert (highest, (gpointer)series, m);
    }
  g_hash_table_destroy (highest);
}

/* All values logged with EVENT must be distinct.  */
static void
check_unique (struct report *r, const GArray *marks, const char *event,
              const char *rule)
{
  GHashTable *seen = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (guint i = 0; i < marks->len; i++)
    {
      struct history_log_value *m
          = &g_array_index (marks, struct history_log_value, i);
      if (strcmp (m->event, event) != 0)
        continue;
      const struct history_log_value *first
          = g_hash_table_lookup (seen, &m->value);
      if (first == NULL)
        g_hash_table_insert (seen, &m->value, m);
      else
        report_violation (r, m->location, rule,
                          "%s of %s with %" PRId64
                          ", also logged by %s (%s:%u)",
                          event, m->member, m->value, first->member,
                          first->location.file, first->location.line);
    }
  g_hash_table_destroy (seen);
}

unsigned
history_check (struct history *h, FILE *out)
{
  struct report r = { out, 0 };
  g_array_sort (h->runs, compare_runs);
  check_overlaps (&r, h);
  check_epochs (&r, h);
  check_runs_once (&r, h);
  check_answers (&r, h);
  check_not_run (&r, h);
  check_changes (&r, h);
  check_revisions (&r, h);
  check_unique (&r, h->revisions, "OWNERSHIP_WRITTEN", "written-twice");
  check_unique (&r, h->joins, "JOINED", "incarnation");
  for (guint i = 0; i < h->malformed->len; i++)
    report_violation (&r,
                      g_array_index (h->malformed, struct history_location, i),
                      "malformed", "the line is not a known journal event");
  return r.count;
}
