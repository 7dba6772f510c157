#include "limit/rate.h"

#include "base/clock.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  CREDIT_MS = 1000, /* of a node's even part, before the holder has granted */
  INTERVAL_MIN_MS = 500,
  INTERVAL_MAX_MS = 15000,
  REPORTS_PER_S = 20, /* that a holder asks for, of all organisations */
  SILENT_INTERVALS = 3
};

/* Requests come by chance: a node wants the mean and so many deviations.  */
#define SPARE_DEVIATIONS 2

/* Smoothing of demand by one report, and of the holder's sums by time.  */
#define DEMAND_WEIGHT 0.5
#define HOLDER_MEMORY_NS (5 * NS_PER_S)

/* What the bucket saves up at least, in seconds of the rate; it saves up what
   comes between two reports of a node.  */
#define BURST_S 1.0

struct table
{
  uint32_t count;
  uint32_t max;
};

/* One organisation at a node.  Tokens are in thousandths.  */
struct share
{
  char name[RATE_NAME_BYTES];
  double balance;
  double demand;     /* tried a second */
  uint32_t tried;    /* since the last report */
  uint32_t sequence; /* of the last report */
  uint32_t interval_ms;
  int64_t reported_ns;
  int64_t due_ns;
  int64_t granted_ns;  /* last grant, or first request */
  int64_t fallback_ns; /* until when the fallback has filled up */
};

struct rate_node
{
  struct share *shares;
  struct table table;
};

/* One organisation at its holder.  */
struct bucket
{
  char name[RATE_NAME_BYTES];
  double tokens;
  double wanted; /* decaying sum over the reports of all nodes */
  uint32_t interval_ms;
  int64_t started_ns;
  int64_t filled_ns;
};

struct rate_holder
{
  struct bucket *buckets;
  struct table table;
  double reporters; /* organisations times nodes that report now */
  int64_t reporters_ns;
};

/* Both tables are arrays searched from the start: they hold the few
   organisations that have a rate and are active.  */

struct rate_node *
rate_node_new (uint32_t organisations_max)
{
  struct rate_node *n = calloc (1, sizeof *n);
  if (n == NULL)
    return NULL;
  n->table.max = organisations_max;
  n->shares = calloc (organisations_max, sizeof *n->shares);
  if (n->shares == NULL)
    {
      free (n);
      return NULL;
    }
  return n;
}

void
rate_node_free (struct rate_node *n)
{
  if (n == NULL)
    return;
  free (n->shares);
  free (n);
}

static int64_t
interval_ns (const struct share *s)
{
  return (int64_t)s->interval_ms * NS_PER_MS;
}

/* Nothing was tried for long and nothing is owed: the entry may go.  */
static bool
is_idle (const struct share *s, int64_t now_ns)
{
  return s->tried == 0 && s->balance >= 0
         && now_ns - s->reported_ns > interval_ns (s)
         && s->demand * RATE_MILLITOKENS < 1;
}

static struct share *
find_share (const struct rate_node *n, const char *organisation)
{
  for (uint32_t i = 0; i < n->table.count; i++)
    if (strncmp (n->shares[i].name, organisation, RATE_NAME_BYTES - 1) == 0)
      return &n->shares[i];
  return NULL;
}

static struct share *
idle_share (const struct rate_node *n, int64_t now_ns)
{
  for (uint32_t i = 0; i < n->table.count; i++)
    if (is_idle (&n->shares[i], now_ns))
      return &n->shares[i];
  return NULL;
}

static struct share *
new_share (struct rate_node *n, const char *organisation, int64_t now_ns)
{
  struct share *s = n->table.count < n->table.max
                        ? &n->shares[n->table.count++]
                        : idle_share (n, now_ns);
  if (s == NULL)
    return NULL;
  *s = (struct share){ .interval_ms = INTERVAL_MIN_MS,
                       .reported_ns = now_ns,
                       .due_ns = now_ns,
                       .granted_ns = now_ns };
  snprintf (s->name, sizeof s->name, "%s", organisation);
  return s;
}

/* Without a word from the holder the node's even part of the rate fills up
   by itself.  */
static void
fall_back (struct share *s, double rate, uint32_t nodes, int64_t now_ns)
{
  int64_t silent_ns = s->granted_ns + SILENT_INTERVALS * interval_ns (s);
  int64_t from_ns = s->fallback_ns > silent_ns ? s->fallback_ns : silent_ns;
  if (now_ns <= from_ns || nodes == 0)
    return;
  double part = rate * RATE_MILLITOKENS / nodes;
  double most = fmax (part * BURST_S, RATE_MILLITOKENS);
  double earned = part * (double)(now_ns - from_ns) / (double)NS_PER_S;
  if (s->balance < most)
    s->balance = fmin (s->balance + earned, most);
  s->fallback_ns = now_ns;
}

/* What a node may serve on credit: its even part, so that an organisation that
   begins within its rate loses nothing, and at least one request.  */
static double
overdraft (double rate, uint32_t nodes)
{
  double part = rate * CREDIT_MS / 1000 / (nodes > 0 ? nodes : 1);
  return part > 1 ? part * RATE_MILLITOKENS : RATE_MILLITOKENS;
}

enum status
rate_take (struct rate_node *n, const char *organisation, double rate,
           uint32_t nodes, int64_t now_ns)
{
  struct share *s = find_share (n, organisation);
  if (s == NULL)
    s = new_share (n, organisation, now_ns);
  if (s == NULL)
    return STATUS_FULL;
  s->tried++;
  fall_back (s, rate, nodes, now_ns);
  if (s->balance + overdraft (rate, nodes) < RATE_MILLITOKENS)
    return STATUS_LIMITED;
  s->balance -= RATE_MILLITOKENS;
  return STATUS_OK;
}

int64_t
rate_next_report_ns (const struct rate_node *n)
{
  int64_t next_ns = INT64_MAX;
  for (uint32_t i = 0; i < n->table.count; i++)
    if (n->shares[i].due_ns < next_ns)
      next_ns = n->shares[i].due_ns;
  return next_ns;
}

static void
follow_demand (struct share *s, int64_t now_ns)
{
  double elapsed_s = (double)(now_ns - s->reported_ns) / (double)NS_PER_S;
  elapsed_s = fmax (elapsed_s, (double)INTERVAL_MIN_MS / 1000);
  double tried = s->tried / elapsed_s;
  s->demand += (tried - s->demand) * DEMAND_WEIGHT;
  s->tried = 0;
  s->reported_ns = now_ns;
}

static void
fill_report (struct share *s, struct rate_report *report, int64_t now_ns)
{
  uint32_t told_ms = s->interval_ms;
  follow_demand (s, now_ns);
  double need = s->demand * (double)s->interval_ms / 1000;
  double target = (need + SPARE_DEVIATIONS * sqrt (need)) * RATE_MILLITOKENS;
  double lack = target - s->balance;
  *report = (struct rate_report){ .sequence = ++s->sequence,
                                  .interval_ms = told_ms };
  memcpy (report->organisation, s->name, RATE_NAME_BYTES);
  if (lack >= 0)
    report->requested = (uint32_t)fmin (ceil (lack), UINT32_MAX);
  else
    report->returned = (uint32_t)fmin (floor (-lack), UINT32_MAX);
  s->balance -= report->returned;
  s->due_ns = now_ns + interval_ns (s);
}

bool
rate_next_report (struct rate_node *n, struct rate_report *report,
                  int64_t now_ns)
{
  for (uint32_t i = 0; i < n->table.count; i++)
    {
      struct share *s = &n->shares[i];
      if (s->due_ns > now_ns)
        continue;
      if (is_idle (s, now_ns) && s->balance < 1)
        {
          s->due_ns = INT64_MAX;
          *s = n->shares[--n->table.count];
          i--;
          continue;
        }
      fill_report (s, report, now_ns);
      return true;
    }
  return false;
}

bool
rate_apply_grant (struct rate_node *n, const struct rate_grant *grant,
                  int64_t now_ns)
{
  struct share *s = find_share (n, grant->organisation);
  if (s == NULL || s->sequence != grant->sequence)
    return false;
  s->sequence++; /* a second copy of the grant finds another number */
  s->balance += grant->granted;
  s->granted_ns = now_ns;
  s->interval_ms = grant->interval_ms;
  s->due_ns = s->reported_ns + interval_ns (s);
  return true;
}

/* The holder.  */

struct rate_holder *
rate_holder_new (uint32_t organisations_max)
{
  struct rate_holder *h = calloc (1, sizeof *h);
  if (h == NULL)
    return NULL;
  h->table.max = organisations_max;
  h->buckets = calloc (organisations_max, sizeof *h->buckets);
  if (h->buckets == NULL)
    {
      free (h);
      return NULL;
    }
  return h;
}

void
rate_holder_free (struct rate_holder *h)
{
  if (h == NULL)
    return;
  free (h->buckets);
  free (h);
}

/* No node has reported on it for longer than any interval.  */
static bool
is_forgotten (const struct bucket *b, int64_t now_ns)
{
  return now_ns - b->filled_ns > 2 * (int64_t)INTERVAL_MAX_MS * NS_PER_MS;
}

static struct bucket *
forgotten_bucket (const struct rate_holder *h, int64_t now_ns)
{
  for (uint32_t i = 0; i < h->table.count; i++)
    if (is_forgotten (&h->buckets[i], now_ns))
      return &h->buckets[i];
  return NULL;
}

static struct bucket *
find_bucket (struct rate_holder *h, const char *name, int64_t now_ns)
{
  for (uint32_t i = 0; i < h->table.count; i++)
    if (strncmp (h->buckets[i].name, name, RATE_NAME_BYTES) == 0)
      return &h->buckets[i];
  struct bucket *b = h->table.count < h->table.max
                         ? &h->buckets[h->table.count++]
                         : forgotten_bucket (h, now_ns);
  if (b == NULL)
    return NULL;
  *b = (struct bucket){ .filled_ns = now_ns, .started_ns = now_ns };
  snprintf (b->name, sizeof b->name, "%s", name);
  return b;
}

static double
decay (int64_t elapsed_ns)
{
  return exp (-(double)elapsed_ns / (double)HOLDER_MEMORY_NS);
}

/* What the bucket can save up.  */
static double
bucket_size (const struct bucket *b, double rate)
{
  double span_s = fmax (BURST_S, (double)b->interval_ms / 1000);
  return fmax (rate * span_s, 1) * RATE_MILLITOKENS;
}

static void
fill_bucket (struct bucket *b, double rate, int64_t now_ns)
{
  int64_t elapsed_ns = now_ns - b->filled_ns;
  if (elapsed_ns <= 0)
    return;
  double earned
      = rate * RATE_MILLITOKENS * (double)elapsed_ns / (double)NS_PER_S;
  b->tokens = fmin (b->tokens + earned, bucket_size (b, rate));
  b->wanted *= decay (elapsed_ns);
  b->filled_ns = now_ns;
}

/* Each reporter adds its interval once an interval: the sum over the memory
   is their number.  */
static uint32_t
next_interval_ms (struct rate_holder *h, uint32_t told_ms, int64_t now_ns)
{
  double memory_ms = (double)HOLDER_MEMORY_NS / (double)NS_PER_MS;
  h->reporters *= decay (now_ns - h->reporters_ns);
  h->reporters += told_ms / memory_ms;
  h->reporters_ns = now_ns;
  double ms = h->reporters * 1000 / REPORTS_PER_S;
  return (uint32_t)fmin (fmax (ms, INTERVAL_MIN_MS), INTERVAL_MAX_MS);
}

/* What all nodes want a second: the decaying sum over the memory, or over the
   age of a younger bucket.  A report counts half, being the middle of the step
   that it makes.  */
static double
wanted_rate (const struct bucket *b, uint32_t wanted, int64_t now_ns)
{
  double memory_s = (double)HOLDER_MEMORY_NS / (double)NS_PER_S;
  int64_t age_ns = now_ns - b->started_ns;
  if (age_ns < INTERVAL_MIN_MS * NS_PER_MS)
    age_ns = INTERVAL_MIN_MS * NS_PER_MS;
  double span_s = memory_s * (1 - decay (age_ns));
  return (b->wanted + (double)wanted / 2) / span_s;
}

/* When more is wanted than the rate gives, each report gets the same part of
   what it wants, and more while the bucket is more than half full.  */
static uint32_t
share_out (struct bucket *b, const struct rate_report *report, double rate,
           int64_t now_ns)
{
  double all = fmax (wanted_rate (b, report->requested, now_ns), 1);
  double part = fmin (1, rate * RATE_MILLITOKENS / all);
  b->wanted += report->requested;
  b->tokens += report->returned;
  double spare = b->tokens - bucket_size (b, rate) / 2;
  double share = fmax (report->requested * part, spare);
  double granted = floor (fmin (fmin (share, report->requested), b->tokens));
  b->tokens -= granted;
  return (uint32_t)granted;
}

enum status
rate_handle_report (struct rate_holder *h, const struct rate_report *report,
                    double rate, struct rate_grant *grant, int64_t now_ns)
{
  struct bucket *b = find_bucket (h, report->organisation, now_ns);
  if (b == NULL)
    return STATUS_FULL;
  fill_bucket (b, rate, now_ns);
  *grant = (struct rate_grant){ .sequence = report->sequence };
  memcpy (grant->organisation, b->name, RATE_NAME_BYTES);
  grant->granted = share_out (b, report, rate, now_ns);
  b->interval_ms = next_interval_ms (h, report->interval_ms, now_ns);
  grant->interval_ms = b->interval_ms;
  return STATUS_OK;
}

size_t
rate_pick_holder (const char *organisation, const uint64_t *members,
                  size_t count)
{
  size_t best = 0;
  uint64_t best_score = 0;
  for (size_t i = 0; i < count; i++)
    {
      uint64_t score = XXH3_64bits_withSeed (
          organisation, strlen (organisation), members[i]);
      if (i > 0 && score <= best_score)
        continue;
      best = i;
      best_score = score;
    }
  return best;
}
