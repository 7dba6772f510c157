#include "report/merge.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum
{
  DOCUMENTS_MAX = 8192 /* one per node */
};

struct merge
{
  json_t *documents[DOCUMENTS_MAX];
  size_t count;
  int64_t now_s;
};

struct merge *
merge_new (void)
{
  return calloc (1, sizeof (struct merge));
}

void
merge_free (struct merge *m)
{
  if (m == NULL)
    return;
  for (size_t i = 0; i < m->count; i++)
    json_decref (m->documents[i]);
  free (m);
}

static enum status
check_bucket (const json_t *row, const char *source)
{
  if (json_array_size (row) != BURN_OUTCOME_COUNT + 1)
    return status_set (STATUS_INVALID, "%s: a bucket must have %d numbers",
                       source, BURN_OUTCOME_COUNT + 1);
  for (size_t i = 0; i <= BURN_OUTCOME_COUNT; i++)
    {
      const json_t *number = json_array_get (row, i);
      if (!json_is_integer (number) || json_integer_value (number) < 0)
        return status_set (STATUS_INVALID,
                           "%s: a count must be a number of 0 or more",
                           source);
    }
  return STATUS_OK;
}

static enum status
check_series (const json_t *series, const char *source)
{
  const char *kind = json_string_value (json_object_get (series, "kind"));
  const json_t *buckets = json_object_get (series, "buckets");
  size_t i;
  json_t *row;
  if (!json_is_string (json_object_get (series, "service")))
    return status_set (STATUS_INVALID, "%s: a series has no service", source);
  if (kind == NULL
      || (strcmp (kind, "paying") != 0 && strcmp (kind, "trial") != 0))
    return status_set (STATUS_INVALID, "%s: kind is not paying or trial",
                       source);
  if (!json_is_array (buckets))
    return status_set (STATUS_INVALID, "%s: a series has no buckets", source);
  json_array_foreach (buckets, i, row)
  {
    if (check_bucket (row, source) != STATUS_OK)
      return STATUS_INVALID;
  }
  return STATUS_OK;
}

static enum status
check_document (const json_t *root, const char *source)
{
  const json_t *all = json_object_get (root, "series");
  size_t i;
  json_t *series;
  if (json_integer_value (json_object_get (root, "bucket_seconds"))
      != BURN_BUCKET_S)
    return status_set (STATUS_INVALID, "%s: bucket_seconds is not %d", source,
                       BURN_BUCKET_S);
  if (!json_is_integer (json_object_get (root, "now")) || !json_is_array (all))
    return status_set (STATUS_INVALID, "%s: now or series is missing", source);
  json_array_foreach (all, i, series)
  {
    if (check_series (series, source) != STATUS_OK)
      return STATUS_INVALID;
  }
  return STATUS_OK;
}

enum status
merge_add (struct merge *m, const char *text, const char *source)
{
  json_error_t error;
  if (m->count == DOCUMENTS_MAX)
    return status_set (STATUS_FULL, "%s: too many nodes", source);
  json_t *root = json_loads (text, 0, &error);
  if (root == NULL)
    return status_set (STATUS_INVALID, "%s:%d:%d: %s", source, error.line,
                       error.column, error.text);
  if (check_document (root, source) != STATUS_OK)
    {
      json_decref (root);
      return STATUS_INVALID;
    }
  int64_t now_s = json_integer_value (json_object_get (root, "now"));
  if (now_s > m->now_s)
    m->now_s = now_s;
  m->documents[m->count++] = root;
  return STATUS_OK;
}

int64_t
merge_now_s (const struct merge *m)
{
  return m->now_s;
}

struct series_list
{
  struct merge_series *items;
  size_t count;
  size_t capacity;
};

static struct merge_series *
find_or_add_series (struct series_list *list, const char *service,
                    enum admit_kind kind)
{
  for (size_t i = 0; i < list->count; i++)
    if (list->items[i].kind == kind
        && strncmp (list->items[i].service, service, BURN_NAME_BYTES - 1) == 0)
      return &list->items[i];
  if (list->count == list->capacity)
    {
      size_t capacity = list->capacity == 0 ? 8 : 2 * list->capacity;
      void *resized = realloc (list->items, capacity * sizeof *list->items);
      if (resized == NULL)
        return NULL;
      list->items = resized;
      list->capacity = capacity;
    }
  struct merge_series *s = &list->items[list->count++];
  memset (s, 0, sizeof *s);
  strncpy (s->service, service, BURN_NAME_BYTES - 1);
  s->kind = kind;
  return s;
}

/* Add SERIES to LIST.  Buckets outside the six hours that end at NOW_S are
   ignored.  */
static void
add_series (struct series_list *list, const json_t *series, int64_t now_s)
{
  const char *service
      = json_string_value (json_object_get (series, "service"));
  const char *kind = json_string_value (json_object_get (series, "kind"));
  struct merge_series *s = find_or_add_series (
      list, service, strcmp (kind, "trial") == 0 ? ADMIT_TRIAL : ADMIT_PAYING);
  size_t i;
  json_t *row;
  if (s == NULL)
    return;
  json_array_foreach (json_object_get (series, "buckets"), i, row)
  {
    int64_t bucket = json_integer_value (json_array_get (row, 0));
    int64_t index = bucket - now_s / BURN_BUCKET_S + BURN_BUCKETS - 1;
    if (index < 0 || index >= BURN_BUCKETS)
      continue;
    for (size_t w = 0; w < BURN_OUTCOME_COUNT; w++)
      s->buckets[index][w]
          += (uint64_t)json_integer_value (json_array_get (row, w + 1));
  }
}

static int
compare_series (const void *a, const void *b)
{
  const struct merge_series *x = a;
  const struct merge_series *y = b;
  int order = strcmp (x->service, y->service);
  return order != 0 ? order : (int)x->kind - (int)y->kind;
}

struct merge_series *
merge_sum (const struct merge *m, size_t *count)
{
  struct series_list list = { 0 };
  for (size_t d = 0; d < m->count; d++)
    {
      size_t i;
      json_t *series;
      json_array_foreach (json_object_get (m->documents[d], "series"), i,
                          series)
      {
        add_series (&list, series, m->now_s);
      }
    }
  *count = list.count;
  if (list.count > 0)
    qsort (list.items, list.count, sizeof *list.items, compare_series);
  return list.items;
}
