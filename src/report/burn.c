#include "report/burn.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

struct series
{
  char service[BURN_NAME_BYTES];
  enum admit_kind kind;
  int64_t newest_bucket;
  uint32_t counts[BURN_BUCKETS][BURN_OUTCOME_COUNT];
};

struct burn
{
  struct series *series;
  uint32_t series_count;
  uint32_t series_max;
};

const char *
burn_outcome_name (enum burn_outcome outcome)
{
  static const char *const words[] = {
#define BURN(name, word) word,
#include "report/burn.def"
#undef BURN
  };
  return (unsigned)outcome < BURN_OUTCOME_COUNT ? words[outcome]
                                                : "unknown-word";
}

const char *
burn_kind_name (enum admit_kind kind)
{
  return kind == ADMIT_PAYING ? "paying" : "trial";
}

struct burn *
burn_new (uint32_t series_max)
{
  struct burn *b = calloc (1, sizeof *b);
  if (b == NULL)
    return NULL;
  b->series_max = series_max;
  b->series = calloc (series_max, sizeof *b->series);
  if (b->series == NULL)
    {
      free (b);
      return NULL;
    }
  return b;
}

void
burn_free (struct burn *b)
{
  if (b == NULL)
    return;
  free (b->series);
  free (b);
}

static int64_t
bucket_at (int64_t wall_ms)
{
  return wall_ms / 1000 / BURN_BUCKET_S;
}

static struct series *
find_or_add_series (struct burn *b, const char *service, enum admit_kind kind,
                    int64_t bucket)
{
  for (uint32_t i = 0; i < b->series_count; i++)
    if (b->series[i].kind == kind
        && strncmp (b->series[i].service, service, BURN_NAME_BYTES - 1) == 0)
      return &b->series[i];
  if (b->series_count == b->series_max)
    return NULL;
  struct series *s = &b->series[b->series_count++];
  strncpy (s->service, service, BURN_NAME_BYTES - 1);
  s->kind = kind;
  s->newest_bucket = bucket;
  return s;
}

/* Advance the ring of buckets to BUCKET and clear the reused buckets.  */
static void
advance (struct series *s, int64_t bucket)
{
  int64_t steps = bucket - s->newest_bucket;
  if (steps <= 0)
    return;
  if (steps > BURN_BUCKETS)
    steps = BURN_BUCKETS;
  for (int64_t i = 0; i < steps; i++)
    memset (s->counts[(bucket - i) % BURN_BUCKETS], 0, sizeof s->counts[0]);
  s->newest_bucket = bucket;
}

void
burn_add (struct burn *b, const char *service, enum admit_kind kind,
          enum burn_outcome outcome, int64_t wall_ms)
{
  int64_t bucket = bucket_at (wall_ms);
  struct series *s = find_or_add_series (b, service, kind, bucket);
  if (s == NULL)
    return;
  advance (s, bucket);
  s->counts[s->newest_bucket % BURN_BUCKETS][outcome]++;
}

static json_t *
bucket_json (const struct series *s, int64_t bucket)
{
  const uint32_t *counts = s->counts[bucket % BURN_BUCKETS];
  uint64_t sum = 0;
  for (int w = 0; w < BURN_OUTCOME_COUNT; w++)
    sum += counts[w];
  if (sum == 0)
    return NULL;
  json_t *row = json_array ();
  json_array_append_new (row, json_integer (bucket));
  for (int w = 0; w < BURN_OUTCOME_COUNT; w++)
    json_array_append_new (row, json_integer (counts[w]));
  return row;
}

static json_t *
series_json (const struct series *s, int64_t now)
{
  json_t *buckets = json_array ();
  for (int64_t i = s->newest_bucket - BURN_BUCKETS + 1; i <= s->newest_bucket;
       i++)
    {
      json_t *row
          = i > now - BURN_BUCKETS && i >= 0 ? bucket_json (s, i) : NULL;
      if (row != NULL)
        json_array_append_new (buckets, row);
    }
  return json_pack ("{s:s, s:s, s:o}", "service", s->service, "kind",
                    burn_kind_name (s->kind), "buckets", buckets);
}

char *
burn_export_json (const struct burn *b, int64_t wall_ms)
{
  json_t *all = json_array ();
  for (uint32_t i = 0; i < b->series_count; i++)
    json_array_append_new (all,
                           series_json (&b->series[i], bucket_at (wall_ms)));
  json_t *root
      = json_pack ("{s:i, s:I, s:o}", "bucket_seconds", BURN_BUCKET_S, "now",
                   (json_int_t)(wall_ms / 1000), "series", all);
  char *text = json_dumps (root, JSON_COMPACT | JSON_PRESERVE_ORDER);
  json_decref (root);
  return text;
}
