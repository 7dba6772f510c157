#include "load/tally.h"

#include "base/clock.h"
#include "base/histogram.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>

enum
{
  HTTP_STATUS_LIMIT = 600 /* statuses from this on are not counted */
};

/* The answers for one key.  Times are 0 before the first answer.  */
struct key_state
{
  int64_t last_answer_ns;
  int64_t longest_gap_ns;
  uint32_t target; /* id of the last target; 0: none */
};

struct organisation_tally
{
  uint64_t counts[OUTCOME_COUNT];
  struct histogram *latency;
};

struct tally
{
  const struct load_options *options;
  const struct workload *workload;
  uint64_t counts[OUTCOME_COUNT];
  uint64_t foreign;
  uint64_t unchecked;
  uint64_t missed;
  uint64_t statuses[HTTP_STATUS_LIMIT];
  struct histogram *latency;
  struct histogram *owner_change; /* gaps of keys whose target changed */
  GHashTable *reasons;            /* reason -> uint64_t count */
  GHashTable *targets;      /* name -> id: index into target_counts plus 1 */
  GPtrArray *target_counts; /* uint64_t, by index */
  struct organisation_tally organisations[LOAD_ORGANISATIONS_MAX];
  struct key_state *keys;
};

static const char *const outcome_names[OUTCOME_COUNT]
    = { "answered", "not-run", "unknown", "unsent", "lost" };

static const double percentiles[] = { 50, 90, 99, 99.9 };
static const char *const percentile_names[] = { "p50", "p90", "p99", "p99.9" };

enum
{
  PERCENTILE_COUNT = sizeof percentiles / sizeof percentiles[0]
};

const char *
load_outcome_name (enum load_outcome outcome)
{
  return outcome_names[outcome];
}

static bool
allocate (struct tally *t)
{
  t->latency = histogram_new ();
  t->owner_change = histogram_new ();
  t->keys = calloc (workload_key_count (t->workload), sizeof *t->keys);
  t->reasons = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free);
  t->targets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  t->target_counts = g_ptr_array_new_with_free_func (free);
  for (uint32_t i = 0; i < t->options->organisation_count; i++)
    {
      t->organisations[i].latency = histogram_new ();
      if (t->organisations[i].latency == NULL)
        return false;
    }
  return t->latency != NULL && t->owner_change != NULL && t->keys != NULL;
}

struct tally *
tally_new (const struct load_options *o, const struct workload *w)
{
  struct tally *t = calloc (1, sizeof *t);
  if (t == NULL)
    return NULL;
  t->options = o;
  t->workload = w;
  if (allocate (t))
    return t;
  tally_free (t);
  return NULL;
}

void
tally_free (struct tally *t)
{
  if (t == NULL)
    return;
  for (uint32_t i = 0; i < t->options->organisation_count; i++)
    histogram_free (t->organisations[i].latency);
  histogram_free (t->latency);
  histogram_free (t->owner_change);
  g_hash_table_destroy (t->reasons);
  g_hash_table_destroy (t->targets);
  g_ptr_array_free (t->target_counts, TRUE);
  free (t->keys);
  free (t);
}

static void
count_reason (struct tally *t, const char *reason)
{
  uint64_t *count = g_hash_table_lookup (t->reasons, reason);
  if (count == NULL)
    {
      count = calloc (1, sizeof *count);
      if (count == NULL)
        return;
      g_hash_table_insert (t->reasons, g_strdup (reason), count);
    }
  (*count)++;
}

/* Count an answer of target NAME and return the id of the target.  */
static uint32_t
count_target (struct tally *t, const char *name)
{
  uint32_t id = GPOINTER_TO_UINT (g_hash_table_lookup (t->targets, name));
  if (id == 0)
    {
      g_ptr_array_add (t->target_counts, calloc (1, sizeof (uint64_t)));
      id = t->target_counts->len;
      g_hash_table_insert (t->targets, g_strdup (name), GUINT_TO_POINTER (id));
    }
  uint64_t *count = g_ptr_array_index (t->target_counts, id - 1);
  if (count != NULL)
    (*count)++;
  return id;
}

static void
update_key (struct tally *t, const struct load_result *r)
{
  struct key_state *k = &t->keys[r->key];
  uint32_t target = r->target == NULL ? 0 : count_target (t, r->target);
  int64_t gap = r->end_ns - k->last_answer_ns;
  if (k->last_answer_ns != 0)
    {
      if (gap > k->longest_gap_ns)
        k->longest_gap_ns = gap;
      if (target != 0 && k->target != 0 && target != k->target)
        histogram_add (t->owner_change, gap);
    }
  k->last_answer_ns = r->end_ns;
  if (target != 0)
    k->target = target;
}

void
tally_add (struct tally *t, const struct load_result *r)
{
  struct organisation_tally *organisation = &t->organisations[r->organisation];
  t->counts[r->outcome]++;
  organisation->counts[r->outcome]++;
  t->foreign += r->foreign;
  t->unchecked += r->unchecked;
  if (r->status > 0 && r->status < HTTP_STATUS_LIMIT)
    t->statuses[r->status]++;
  if (r->reason[0] != '\0')
    count_reason (t, r->reason);
  if (r->outcome != OUTCOME_ANSWERED)
    return;
  histogram_add (t->latency, r->end_ns - r->due_ns);
  histogram_add (organisation->latency, r->end_ns - r->due_ns);
  update_key (t, r);
}

void
tally_set_missed (struct tally *t, uint64_t missed)
{
  t->missed = missed;
}

uint64_t
tally_count (const struct tally *t, enum load_outcome outcome)
{
  return t->counts[outcome];
}

uint64_t
tally_foreign (const struct tally *t)
{
  return t->foreign;
}

/* The report is built as JSON; its text form is printed from the JSON.  */

static json_t *
histogram_to_json (const struct histogram *h, int64_t unit_ns)
{
  json_t *times = json_object ();
  double unit = (double)unit_ns;
  json_object_set_new (times, "count",
                       json_integer ((json_int_t)histogram_count (h)));
  json_object_set_new (times, "mean", json_real (histogram_mean (h) / unit));
  for (int i = 0; i < PERCENTILE_COUNT; i++)
    {
      double value = (double)histogram_percentile (h, percentiles[i]) / unit;
      json_object_set_new (times, percentile_names[i], json_real (value));
    }
  json_object_set_new (times, "max",
                       json_real ((double)histogram_max (h) / unit));
  return times;
}

static json_t *
outcomes_to_json (const uint64_t *counts)
{
  json_t *object = json_object ();
  for (int i = 0; i < OUTCOME_COUNT; i++)
    json_object_set_new (object, outcome_names[i],
                         json_integer ((json_int_t)counts[i]));
  return object;
}

static json_t *
counters_to_json (GHashTable *table, const GPtrArray *values)
{
  json_t *object = json_object ();
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const uint64_t *count = value;
      if (values != NULL)
        count = g_ptr_array_index (values, GPOINTER_TO_UINT (value) - 1);
      json_object_set_new (object, name, json_integer ((json_int_t)*count));
    }
  return object;
}

static json_t *
statuses_to_json (const struct tally *t)
{
  json_t *object = json_object ();
  for (int i = 0; i < HTTP_STATUS_LIMIT; i++)
    {
      char name[16];
      if (t->statuses[i] == 0)
        continue;
      snprintf (name, sizeof name, "%d", i);
      json_object_set_new (object, name,
                           json_integer ((json_int_t)t->statuses[i]));
    }
  return object;
}

static json_t *
organisations_to_json (const struct tally *t)
{
  json_t *object = json_object ();
  for (uint32_t i = 0; i < t->options->organisation_count; i++)
    {
      const struct organisation_tally *organisation = &t->organisations[i];
      json_t *entry = outcomes_to_json (organisation->counts);
      json_object_set_new (
          entry, "latency_us",
          histogram_to_json (organisation->latency, NS_PER_US));
      json_object_set_new (object, t->options->organisations[i].name, entry);
    }
  return object;
}

static json_t *
longest_gaps_to_json (const struct tally *t)
{
  struct histogram *gaps = histogram_new ();
  if (gaps == NULL)
    return json_null ();
  uint32_t keys = workload_key_count (t->workload);
  for (uint32_t i = 0; i < keys; i++)
    if (t->keys[i].longest_gap_ns != 0)
      histogram_add (gaps, t->keys[i].longest_gap_ns);
  json_t *report = histogram_to_json (gaps, NS_PER_MS);
  histogram_free (gaps);
  return report;
}

static json_t *
tally_to_json (const struct tally *t, double elapsed_s)
{
  uint64_t requests = 0;
  json_t *object = json_object ();
  for (int i = 0; i < OUTCOME_COUNT; i++)
    requests += t->counts[i];
  double answered = (double)t->counts[OUTCOME_ANSWERED];
  json_object_set_new (object, "requests",
                       json_integer ((json_int_t)requests));
  json_object_set_new (object, "seconds", json_real (elapsed_s));
  json_object_set_new (object, "answered_per_s",
                       json_real (elapsed_s > 0 ? answered / elapsed_s : 0));
  json_object_set_new (object, "outcome", outcomes_to_json (t->counts));
  json_object_set_new (object, "missed", json_integer ((json_int_t)t->missed));
  json_object_set_new (object, "foreign_answers",
                       json_integer ((json_int_t)t->foreign));
  json_object_set_new (object, "unchecked_answers",
                       json_integer ((json_int_t)t->unchecked));
  json_object_set_new (object, "latency_us",
                       histogram_to_json (t->latency, NS_PER_US));
  json_object_set_new (object, "longest_gap_ms", longest_gaps_to_json (t));
  json_object_set_new (object, "owner_change_ms",
                       histogram_to_json (t->owner_change, NS_PER_MS));
  json_object_set_new (object, "reason", counters_to_json (t->reasons, NULL));
  json_object_set_new (object, "status", statuses_to_json (t));
  json_object_set_new (object, "target",
                       counters_to_json (t->targets, t->target_counts));
  json_object_set_new (object, "organisation", organisations_to_json (t));
  return object;
}

static void
print_lines (const json_t *value, const char *name, FILE *out)
{
  const char *key;
  json_t *member;
  if (json_is_integer (value))
    fprintf (out, "%s %" JSON_INTEGER_FORMAT "\n", name,
             json_integer_value (value));
  else if (json_is_real (value))
    fprintf (out, "%s %.1f\n", name, json_real_value (value));
  json_object_foreach ((json_t *)value, key, member)
  {
    char *path
        = g_strdup_printf ("%s%s%s", name, *name == '\0' ? "" : " ", key);
    print_lines (member, path, out);
    g_free (path);
  }
}

void
tally_print (struct tally *t, double elapsed_s, bool json, FILE *out)
{
  json_t *object = tally_to_json (t, elapsed_s);
  if (json)
    {
      json_dumpf (object, out, JSON_COMPACT | JSON_REAL_PRECISION (9));
      fputc ('\n', out);
    }
  else
    print_lines (object, "", out);
  json_decref (object);
}
