#include "limit/refusals.h"

#include "base/clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define NS_PER_MINUTE (60 * NS_PER_S)
#define OTHERS_NAME "(others)"

struct key
{
  char organisation[REFUSALS_NAME_BYTES];
  char service[REFUSALS_NAME_BYTES];
  char reason[REFUSALS_REASON_BYTES];
};

struct row
{
  struct key key;
  int64_t minute;                    /* of the latest refusal */
  uint32_t counts[REFUSALS_MINUTES]; /* ring indexed by minute modulo 60 */
};

struct refusals
{
  struct row *rows; /* row 0 counts the refusals without a row */
  uint32_t count;
  uint32_t max;
  GHashTable *by_key;
};

static guint
key_hash (gconstpointer key)
{
  const struct key *k = key;
  guint hash = g_str_hash (k->organisation);
  hash = hash * 31 + g_str_hash (k->service);
  return hash * 31 + g_str_hash (k->reason);
}

static gboolean
key_equal (gconstpointer a, gconstpointer b)
{
  const struct key *x = a;
  const struct key *y = b;
  return strcmp (x->organisation, y->organisation) == 0
         && strcmp (x->service, y->service) == 0
         && strcmp (x->reason, y->reason) == 0;
}

static struct key
key_of (const char *organisation, const char *service, const char *reason)
{
  struct key k = { 0 };
  g_strlcpy (k.organisation, organisation, sizeof k.organisation);
  g_strlcpy (k.service, service, sizeof k.service);
  g_strlcpy (k.reason, reason, sizeof k.reason);
  return k;
}

struct refusals *
refusals_new (uint32_t rows_max)
{
  struct refusals *r = calloc (1, sizeof *r);
  if (r == NULL)
    return NULL;
  r->max = rows_max + 1;
  r->rows = calloc (r->max, sizeof *r->rows);
  r->by_key = g_hash_table_new (key_hash, key_equal);
  if (r->rows == NULL)
    {
      refusals_free (r);
      return NULL;
    }
  r->rows[0].key = key_of (OTHERS_NAME, OTHERS_NAME, OTHERS_NAME);
  r->count = 1;
  return r;
}

void
refusals_free (struct refusals *r)
{
  if (r == NULL)
    return;
  g_hash_table_destroy (r->by_key);
  free (r->rows);
  free (r);
}

/* Clear the counts of the minutes since the row's latest refusal.  */
static void
clear_expired_minutes (struct row *row, int64_t minute)
{
  int64_t passed = minute - row->minute;
  if (passed > REFUSALS_MINUTES)
    passed = REFUSALS_MINUTES;
  for (int64_t i = 0; i < passed; i++)
    row->counts[(minute - i) % REFUSALS_MINUTES] = 0;
  if (passed > 0)
    row->minute = minute;
}

static struct row *
reuse_expired_row (struct refusals *r, int64_t minute)
{
  for (uint32_t i = 1; i < r->count; i++)
    if (minute - r->rows[i].minute >= REFUSALS_MINUTES)
      {
        g_hash_table_remove (r->by_key, &r->rows[i].key);
        return &r->rows[i];
      }
  return NULL;
}

static struct row *
find_row (struct refusals *r, const struct key *key, int64_t minute)
{
  struct row *row = g_hash_table_lookup (r->by_key, key);
  if (row != NULL)
    return row;
  row = r->count < r->max ? &r->rows[r->count++]
                          : reuse_expired_row (r, minute);
  if (row == NULL)
    return &r->rows[0];
  memset (row, 0, sizeof *row);
  row->key = *key;
  row->minute = minute;
  g_hash_table_insert (r->by_key, &row->key, row);
  return row;
}

void
refusals_add (struct refusals *r, const char *organisation,
              const char *service, const char *reason, int64_t now_ns)
{
  int64_t minute = now_ns / NS_PER_MINUTE;
  struct key key = key_of (organisation, service, reason);
  struct row *row = find_row (r, &key, minute);
  clear_expired_minutes (row, minute);
  row->counts[row->minute % REFUSALS_MINUTES]++;
}

static bool
text_matches (const char *pattern, const char *text)
{
  return pattern == NULL || strcmp (pattern, text) == 0;
}

static bool
filter_matches (const struct refusals_filter *f, const struct key *k)
{
  return text_matches (f->organisation, k->organisation)
         && text_matches (f->service, k->service)
         && text_matches (f->reason, k->reason);
}

static void
fill_row (const struct row *row, int64_t minute, uint32_t minutes,
          struct refusals_row *out)
{
  *out = (struct refusals_row){ 0 };
  memcpy (out->organisation, row->key.organisation, REFUSALS_NAME_BYTES);
  memcpy (out->service, row->key.service, REFUSALS_NAME_BYTES);
  memcpy (out->reason, row->key.reason, REFUSALS_REASON_BYTES);
  for (uint32_t ago = 0; ago < minutes; ago++)
    {
      int64_t counted_minute = minute - ago;
      bool kept = counted_minute >= 0 && counted_minute <= row->minute
                  && row->minute - counted_minute < REFUSALS_MINUTES;
      out->by_minute[ago]
          = kept ? row->counts[counted_minute % REFUSALS_MINUTES] : 0;
      out->total += out->by_minute[ago];
    }
}

static int
compare_rows (const void *a, const void *b)
{
  const struct refusals_row *x = a;
  const struct refusals_row *y = b;
  if (x->total != y->total)
    return x->total < y->total ? 1 : -1;
  int order = strcmp (x->organisation, y->organisation);
  if (order == 0)
    order = strcmp (x->service, y->service);
  return order != 0 ? order : strcmp (x->reason, y->reason);
}

struct refusals_row *
refusals_query (const struct refusals *r, const struct refusals_filter *filter,
                int64_t now_ns, size_t *count)
{
  int64_t minute = now_ns / NS_PER_MINUTE;
  uint32_t minutes = filter->minutes;
  *count = 0;
  if (minutes == 0 || minutes > REFUSALS_MINUTES)
    minutes = REFUSALS_MINUTES;
  struct refusals_row *rows = calloc (r->count, sizeof *rows);
  if (rows == NULL)
    return NULL;
  for (uint32_t i = 0; i < r->count; i++)
    {
      if (!filter_matches (filter, &r->rows[i].key))
        continue;
      fill_row (&r->rows[i], minute, minutes, &rows[*count]);
      if (rows[*count].total > 0)
        (*count)++;
    }
  if (*count == 0)
    {
      free (rows);
      return NULL;
    }
  qsort (rows, *count, sizeof *rows, compare_rows);
  return rows;
}
