#include "limit/rate.h"

#include "base/clock.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  OVERDRAFT_MS = 1000, /* overdraft of a node, as time of its equal share */
  INTERVAL_MIN_MS = 500,
  INTERVAL_MAX_MS = 15000,
  /* Reports that a holder aims to receive, over all organisations.  */
  HOLDER_REPORTS_PER_S = 20,
  /* Report intervals without a grant after which a node falls back.  */
  FALLBACK_INTERVALS = 3
};

/* Arrivals vary, so a node requests the mean demand plus this many standard
   deviations of a Poisson process.  */
#define DEMAND_DEVIATIONS 2

/* Weight of one report interval in the moving average of a node's demand, and
   time constant of the decaying sums of the holder.  */
#define DEMAND_WEIGHT 0.5
#define HOLDER_TIME_CONSTANT_NS (5 * NS_PER_S)

/* Minimum capacity of the bucket, in seconds of the rate.  The bucket holds at
   least the tokens of one report interval.  */
#define BURST_MIN_S 1.0

/* Entries in use and capacity.  */
struct table
{
  uint32_t count;
  uint32_t max;
};

/* The state of one organisation at a node.  Tokens are in thousandths.  */
struct allowance
{
  char name[RATE_NAME_BYTES];
  double balance;
  double demand_per_s; /* moving average, requests per second */
  uint32_t attempts;   /* requests since the last report */
  uint32_t sequence;   /* of the last report */
  uint32_t interval_ms;
  int64_t last_report_ns;
  int64_t next_report_ns;
  int64_t last_grant_ns;      /* time of the last grant or first request */
  int64_t fallback_filled_ns; /* last refill by the fallback */
};

struct rate_node
{
  struct allowance *allowances;
  struct table table;
};

/* The token bucket of one organisation at its holder.  */
struct bucket
{
  char name[RATE_NAME_BYTES];
  double tokens;
  double requested_sum; /* decaying sum over the reports of all nodes */
  uint32_t interval_ms;
  int64_t created_ns;
  int64_t refilled_ns;
};

struct rate_holder
{
  struct bucket *buckets;
  struct table table;
  double reporters; /* organisations times reporting nodes, estimated */
  int64_t reporters_updated_ns;
};

/* Both tables are searched linearly: they hold only the few active
   organisations with a rate limit.  */

struct rate_node *
rate_node_new (uint32_t organisations_max)
{
  struct rate_node *n = calloc (1, sizeof *n);
  if (n == NULL)
    return NULL;
  n->table.max = organisations_max;
  n->allowances = calloc (organisations_max, sizeof *n->allowances);
  if (n->allowances == NULL)
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
  free (n->allowances);
  free (n);
}

static int64_t
interval_ns (const struct allowance *s)
{
  return (int64_t)s->interval_ms * NS_PER_MS;
}

/* Whether the entry may be reused: no requests since the last report, which is
   more than an interval ago, an average demand near zero, and no
   overdraft.  */
static bool
is_idle (const struct allowance *s, int64_t now_ns)
{
  return s->attempts == 0 && s->balance >= 0
         && now_ns - s->last_report_ns > interval_ns (s)
         && s->demand_per_s * RATE_MILLITOKENS < 1;
}

static struct allowance *
find_allowance (const struct rate_node *n, const char *organisation)
{
  for (uint32_t i = 0; i < n->table.count; i++)
    if (strncmp (n->allowances[i].name, organisation, RATE_NAME_BYTES - 1)
        == 0)
      return &n->allowances[i];
  return NULL;
}

static struct allowance *
idle_allowance (const struct rate_node *n, int64_t now_ns)
{
  for (uint32_t i = 0; i < n->table.count; i++)
    if (is_idle (&n->allowances[i], now_ns))
      return &n->allowances[i];
  return NULL;
}

static struct allowance *
add_allowance (struct rate_node *n, const char *organisation, int64_t now_ns)
{
  struct allowance *s = n->table.count < n->table.max
                            ? &n->allowances[n->table.count++]
                            : idle_allowance (n, now_ns);
  if (s == NULL)
    return NULL;
  *s = (struct allowance){ .interval_ms = INTERVAL_MIN_MS,
                           .last_report_ns = now_ns,
                           .next_report_ns = now_ns,
                           .last_grant_ns = now_ns };
  snprintf (s->name, sizeof s->name, "%s", organisation);
  return s;
}

/* Refill the balance at the node's equal share of the rate, when the holder
   has not sent a grant for several intervals.  */
static void
apply_fallback (struct allowance *s, double rate, uint32_t nodes,
                int64_t now_ns)
{
  int64_t fallback_start_ns
      = s->last_grant_ns + FALLBACK_INTERVALS * interval_ns (s);
  int64_t from_ns = s->fallback_filled_ns > fallback_start_ns
                        ? s->fallback_filled_ns
                        : fallback_start_ns;
  if (now_ns <= from_ns || nodes == 0)
    return;
  double share = rate * RATE_MILLITOKENS / nodes;
  double cap = fmax (share * BURST_MIN_S, RATE_MILLITOKENS);
  double refill = share * (double)(now_ns - from_ns) / (double)NS_PER_S;
  if (s->balance < cap)
    s->balance = fmin (s->balance + refill, cap);
  s->fallback_filled_ns = now_ns;
}

/* The overdraft of a node: its equal share for OVERDRAFT_MS, so that an
   organisation that starts within its rate is not refused, and at least one
   request.  */
static double
overdraft (double rate, uint32_t nodes)
{
  double share = rate * OVERDRAFT_MS / 1000 / (nodes > 0 ? nodes : 1);
  return share > 1 ? share * RATE_MILLITOKENS : RATE_MILLITOKENS;
}

enum status
rate_take (struct rate_node *n, const char *organisation, double rate,
           uint32_t nodes, int64_t now_ns)
{
  struct allowance *s = find_allowance (n, organisation);
  if (s == NULL)
    s = add_allowance (n, organisation, now_ns);
  if (s == NULL)
    return STATUS_FULL;
  s->attempts++;
  apply_fallback (s, rate, nodes, now_ns);
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
    if (n->allowances[i].next_report_ns < next_ns)
      next_ns = n->allowances[i].next_report_ns;
  return next_ns;
}

static void
update_demand (struct allowance *s, int64_t now_ns)
{
  double elapsed_s = (double)(now_ns - s->last_report_ns) / (double)NS_PER_S;
  elapsed_s = fmax (elapsed_s, (double)INTERVAL_MIN_MS / 1000);
  double per_s = s->attempts / elapsed_s;
  s->demand_per_s += (per_s - s->demand_per_s) * DEMAND_WEIGHT;
  s->attempts = 0;
  s->last_report_ns = now_ns;
}

static void
fill_report (struct allowance *s, struct rate_report *report, int64_t now_ns)
{
  uint32_t previous_interval_ms = s->interval_ms;
  update_demand (s, now_ns);
  double need = s->demand_per_s * (double)s->interval_ms / 1000;
  double level = (need + DEMAND_DEVIATIONS * sqrt (need)) * RATE_MILLITOKENS;
  double shortfall = level - s->balance;
  *report = (struct rate_report){ .sequence = ++s->sequence,
                                  .interval_ms = previous_interval_ms };
  memcpy (report->organisation, s->name, RATE_NAME_BYTES);
  if (shortfall >= 0)
    report->requested = (uint32_t)fmin (ceil (shortfall), UINT32_MAX);
  else
    report->returned = (uint32_t)fmin (floor (-shortfall), UINT32_MAX);
  s->balance -= report->returned;
  s->next_report_ns = now_ns + interval_ns (s);
}

bool
rate_next_report (struct rate_node *n, struct rate_report *report,
                  int64_t now_ns)
{
  for (uint32_t i = 0; i < n->table.count; i++)
    {
      struct allowance *s = &n->allowances[i];
      if (s->next_report_ns > now_ns)
        continue;
      if (is_idle (s, now_ns) && s->balance < 1)
        {
          s->next_report_ns = INT64_MAX;
          *s = n->allowances[--n->table.count];
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
  struct allowance *s = find_allowance (n, grant->organisation);
  if (s == NULL || s->sequence != grant->sequence)
    return false;
  s->sequence++; /* so that a duplicate of the grant is dropped */
  s->balance += grant->granted;
  s->last_grant_ns = now_ns;
  s->interval_ms = grant->interval_ms;
  s->next_report_ns = s->last_report_ns + interval_ns (s);
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

/* Whether no node has reported for longer than any interval.  */
static bool
is_expired (const struct bucket *b, int64_t now_ns)
{
  return now_ns - b->refilled_ns > 2 * (int64_t)INTERVAL_MAX_MS * NS_PER_MS;
}

static struct bucket *
expired_bucket (const struct rate_holder *h, int64_t now_ns)
{
  for (uint32_t i = 0; i < h->table.count; i++)
    if (is_expired (&h->buckets[i], now_ns))
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
                         : expired_bucket (h, now_ns);
  if (b == NULL)
    return NULL;
  *b = (struct bucket){ .refilled_ns = now_ns, .created_ns = now_ns };
  snprintf (b->name, sizeof b->name, "%s", name);
  return b;
}

static double
decay (int64_t elapsed_ns)
{
  return exp (-(double)elapsed_ns / (double)HOLDER_TIME_CONSTANT_NS);
}

/* The capacity of the bucket.  */
static double
bucket_capacity (const struct bucket *b, double rate)
{
  double span_s = fmax (BURST_MIN_S, (double)b->interval_ms / 1000);
  return fmax (rate * span_s, 1) * RATE_MILLITOKENS;
}

static void
fill_bucket (struct bucket *b, double rate, int64_t now_ns)
{
  int64_t elapsed_ns = now_ns - b->refilled_ns;
  if (elapsed_ns <= 0)
    return;
  double refill
      = rate * RATE_MILLITOKENS * (double)elapsed_ns / (double)NS_PER_S;
  b->tokens = fmin (b->tokens + refill, bucket_capacity (b, rate));
  b->requested_sum *= decay (elapsed_ns);
  b->refilled_ns = now_ns;
}

/* The next report interval, such that the holder receives HOLDER_REPORTS_PER_S
   in total.  Each reporter adds its interval once per interval, so the
   decaying sum divided by the time constant is the number of reporters.  */
static uint32_t
next_interval_ms (struct rate_holder *h, uint32_t reported_ms, int64_t now_ns)
{
  double time_constant_ms
      = (double)HOLDER_TIME_CONSTANT_NS / (double)NS_PER_MS;
  h->reporters *= decay (now_ns - h->reporters_updated_ns);
  h->reporters += reported_ms / time_constant_ms;
  h->reporters_updated_ns = now_ns;
  double ms = h->reporters * 1000 / HOLDER_REPORTS_PER_S;
  return (uint32_t)fmin (fmax (ms, INTERVAL_MIN_MS), INTERVAL_MAX_MS);
}

/* Tokens per second that all nodes request: the decaying sum over the time
   constant, or over the age of a younger bucket.  The new report counts half,
   which is the middle of the step it causes in the sum.  */
static double
requested_rate (const struct bucket *b, uint32_t requested, int64_t now_ns)
{
  double time_constant_s = (double)HOLDER_TIME_CONSTANT_NS / (double)NS_PER_S;
  int64_t age_ns = now_ns - b->created_ns;
  if (age_ns < INTERVAL_MIN_MS * NS_PER_MS)
    age_ns = INTERVAL_MIN_MS * NS_PER_MS;
  double span_s = time_constant_s * (1 - decay (age_ns));
  return (b->requested_sum + (double)requested / 2) / span_s;
}

/* When more tokens are requested than the rate allows, each report is granted
   the same fraction of its request, and more while the bucket is more than
   half full.  */
static uint32_t
grant_tokens (struct bucket *b, const struct rate_report *report, double rate,
              int64_t now_ns)
{
  double total = fmax (requested_rate (b, report->requested, now_ns), 1);
  double fraction = fmin (1, rate * RATE_MILLITOKENS / total);
  b->requested_sum += report->requested;
  b->tokens += report->returned;
  double surplus = b->tokens - bucket_capacity (b, rate) / 2;
  double amount = fmax (report->requested * fraction, surplus);
  double granted = floor (fmin (fmin (amount, report->requested), b->tokens));
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
  grant->granted = grant_tokens (b, report, rate, now_ns);
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
