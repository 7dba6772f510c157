/* A rate of an organisation over many nodes, in emulated time.

   Requests come by chance, to some nodes more than to others.  Reports and
   grants take a millisecond.  Three ways stand beside each other: each node
   allows the whole rate, each node allows an even part, allowances.  */

#include "base/clock.h"
#include "limit/rate.h"

#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  NODES_MAX = 128,
  MESSAGES_MAX = 8192,
  RUN_S = 120,
  STEP_MS = 1,
  DELAY_MS = 1,
  CHANGE_S = 60, /* when a node is lost, the number changes, ... */
  WARM_S = 10,
  SPAN_S = 10,       /* the worst span of so many seconds is told */
  REPORT_BYTES = 32, /* hash of the name, four numbers, header */
  GRANT_BYTES = 28
};

enum way
{
  WAY_WHOLE, /* each node allows the whole rate */
  WAY_EVEN,  /* each node allows an even part */
  WAY_ALLOWANCE
};

static const char *const way_names[] = { "whole", "even", "allowance" };

struct message
{
  int64_t at_ns;
  uint32_t node;
  bool is_grant;
  struct rate_report report;
  struct rate_grant grant;
};

struct simple_bucket
{
  double tokens;
  int64_t filled_ns;
};

struct scenario
{
  const char *name;
  enum way way;
  double rate;
  double demand; /* of all nodes together, a second */
  double skew;   /* Zipf's exponent over the nodes */
  uint32_t nodes;
  uint32_t nodes_after; /* from CHANGE_S on */
  bool lose_holder;     /* at CHANGE_S */
  uint32_t cut_off;     /* nodes without messages from CHANGE_S on */
};

struct run
{
  const struct scenario *s;
  struct rate_node *nodes[NODES_MAX];
  struct rate_holder *holders[NODES_MAX];
  struct simple_bucket buckets[NODES_MAX];
  uint64_t members[NODES_MAX];
  double weights[NODES_MAX];
  struct message messages[MESSAGES_MAX];
  uint32_t first;
  uint32_t last;
  uint64_t random;
  uint32_t allowed[RUN_S];
  uint32_t offered[RUN_S];
  uint64_t bytes[NODES_MAX];
};

static double
uniform (struct run *r)
{
  uint64_t z = r->random += UINT64_C (0x9e3779b97f4a7c15);
  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return ((double)((z ^ (z >> 31)) >> 11) + 0.5) / 9007199254740992.0;
}

static uint32_t
live_nodes (const struct run *r, int64_t now_ns)
{
  return now_ns < CHANGE_S * NS_PER_S ? r->s->nodes : r->s->nodes_after;
}

/* The holder at NOW_NS: one that is lost is no member any more.  */
static uint32_t
holder_of (const struct run *r, int64_t now_ns)
{
  uint32_t count = live_nodes (r, now_ns);
  size_t holder = rate_pick_holder ("acme", r->members, count);
  if (!r->s->lose_holder || now_ns < CHANGE_S * NS_PER_S)
    return (uint32_t)holder;
  uint64_t left[NODES_MAX];
  uint32_t of[NODES_MAX] = { 0 };
  uint32_t kept = 0;
  for (uint32_t i = 0; i < count; i++)
    if (i != holder)
      {
        of[kept] = i;
        left[kept++] = r->members[i];
      }
  return of[rate_pick_holder ("acme", left, kept)];
}

static bool
is_cut_off (const struct run *r, uint32_t node, int64_t now_ns)
{
  return r->s->cut_off > 0 && now_ns >= CHANGE_S * NS_PER_S
         && node >= r->s->nodes - r->s->cut_off;
}

static void
post (struct run *r, struct message message)
{
  if (r->last - r->first == MESSAGES_MAX)
    abort ();
  r->messages[r->last++ % MESSAGES_MAX] = message;
}

static bool
take_simple (struct run *r, uint32_t node, double rate, int64_t now_ns)
{
  struct simple_bucket *b = &r->buckets[node];
  double elapsed_s = (double)(now_ns - b->filled_ns) / (double)NS_PER_S;
  b->tokens = fmin (b->tokens + rate * elapsed_s, fmax (rate, 1));
  b->filled_ns = now_ns;
  if (b->tokens < 1)
    return false;
  b->tokens -= 1;
  return true;
}

static bool
take (struct run *r, uint32_t node, int64_t now_ns)
{
  uint32_t nodes = live_nodes (r, now_ns);
  switch (r->s->way)
    {
    case WAY_WHOLE:
      return take_simple (r, node, r->s->rate, now_ns);
    case WAY_EVEN:
      return take_simple (r, node, r->s->rate / nodes, now_ns);
    default:
      return rate_take (r->nodes[node], "acme", r->s->rate, nodes, now_ns)
             == STATUS_OK;
    }
}

static void
arrive (struct run *r, uint32_t node, int64_t now_ns)
{
  double chance = r->s->demand * r->weights[node] * STEP_MS / 1000;
  if (uniform (r) >= chance)
    return;
  int64_t second = now_ns / NS_PER_S;
  r->offered[second]++;
  if (take (r, node, now_ns))
    r->allowed[second]++;
}

static void
report (struct run *r, uint32_t node, int64_t now_ns)
{
  struct message m = { .at_ns = now_ns + DELAY_MS * NS_PER_MS, .node = node };
  while (rate_next_report (r->nodes[node], &m.report, now_ns))
    {
      r->bytes[node] += REPORT_BYTES;
      if (!is_cut_off (r, node, now_ns))
        post (r, m);
    }
}

static void
deliver (struct run *r, const struct message *m, int64_t now_ns)
{
  uint32_t holder = holder_of (r, now_ns);
  if (m->node >= live_nodes (r, now_ns) || is_cut_off (r, m->node, now_ns))
    return;
  if (m->is_grant)
    {
      rate_apply_grant (r->nodes[m->node], &m->grant, now_ns);
      return;
    }
  struct message answer = { .at_ns = now_ns + DELAY_MS * NS_PER_MS,
                            .node = m->node,
                            .is_grant = true };
  r->bytes[holder] += GRANT_BYTES;
  if (rate_handle_report (r->holders[holder], &m->report, r->s->rate,
                          &answer.grant, now_ns)
      == STATUS_OK)
    post (r, answer);
}

static void
weigh (struct run *r, uint32_t count)
{
  double sum = 0;
  for (uint32_t i = 0; i < count; i++)
    sum += r->weights[i] = pow (i + 1, -r->s->skew);
  for (uint32_t i = 0; i < count; i++)
    r->weights[i] /= sum;
}

static void
step (struct run *r, int64_t now_ns)
{
  uint32_t count = live_nodes (r, now_ns);
  while (r->first != r->last
         && r->messages[r->first % MESSAGES_MAX].at_ns <= now_ns)
    {
      struct message m = r->messages[r->first++ % MESSAGES_MAX];
      deliver (r, &m, now_ns);
    }
  for (uint32_t i = 0; i < count; i++)
    {
      arrive (r, i, now_ns);
      report (r, i, now_ns);
    }
}

static void
start (struct run *r, const struct scenario *s)
{
  memset (r, 0, sizeof *r);
  r->s = s;
  r->random = 7;
  for (uint32_t i = 0; i < NODES_MAX; i++)
    {
      r->nodes[i] = rate_node_new (4);
      r->holders[i] = rate_holder_new (4);
      r->members[i] = i * UINT64_C (7919) + 13;
    }
  weigh (r, s->nodes);
}

static void
finish (struct run *r)
{
  for (uint32_t i = 0; i < NODES_MAX; i++)
    {
      rate_node_free (r->nodes[i]);
      rate_holder_free (r->holders[i]);
    }
}

static double
sum (const uint32_t *counts, uint32_t from, uint32_t to)
{
  double total = 0;
  for (uint32_t i = from; i < to; i++)
    total += counts[i];
  return total;
}

static void
figure (const struct scenario *s, const char *what, double value,
        const char *unit)
{
  printf ("figure limits_%s_%s_%s %.3f %s\n", s->name, way_names[s->way], what,
          value, unit);
}

/* What was allowed over what the rate and the requests that came allow.  */
static double
allowed_over_set (const struct run *r, uint32_t from, uint32_t to)
{
  double set = fmin (r->s->rate * (to - from), sum (r->offered, from, to));
  return sum (r->allowed, from, to) / set;
}

static void
print_figures (const struct run *r)
{
  const struct scenario *s = r->s;
  double worst = 0;
  double busiest = 0;
  for (uint32_t i = 0; i + SPAN_S <= RUN_S; i++)
    worst = fmax (worst, sum (r->allowed, i, i + SPAN_S) / SPAN_S);
  for (uint32_t i = 0; i < NODES_MAX; i++)
    busiest = fmax (busiest, (double)r->bytes[i] / RUN_S);
  figure (s, "allowed_over_set", allowed_over_set (r, WARM_S, RUN_S), "ratio");
  figure (s, "worst_10s_over_rate", worst / s->rate, "ratio");
  figure (s, "after_change_over_set",
          allowed_over_set (r, CHANGE_S, CHANGE_S + SPAN_S), "ratio");
  if (s->way == WAY_ALLOWANCE)
    figure (s, "busiest_node", busiest, "bytes_per_second");
}

static void
run_scenario (const struct scenario *s)
{
  static struct run r;
  start (&r, s);
  for (int64_t ms = 0; ms < (int64_t)RUN_S * 1000; ms += STEP_MS)
    {
      if (ms == (int64_t)CHANGE_S * 1000)
        weigh (&r, s->nodes_after);
      step (&r, ms * NS_PER_MS);
    }
  print_figures (&r);
  finish (&r);
}

static void
run_ways (struct scenario s)
{
  for (int way = WAY_WHOLE; way <= WAY_ALLOWANCE; way++)
    {
      s.way = (enum way)way;
      run_scenario (&s);
    }
}

int
main (void)
{
  static const struct scenario scenarios[] = {
    /* Three times the rate is asked for.  */
    { "1_node", WAY_WHOLE, 50, 150, 1, 1, 1, false, 0 },
    { "4_nodes", WAY_WHOLE, 50, 150, 1, 4, 4, false, 0 },
    { "16_nodes", WAY_WHOLE, 50, 150, 1, 16, 16, false, 0 },
    { "128_nodes", WAY_WHOLE, 50, 150, 1, 128, 128, false, 0 },
    /* Few requests at each of many nodes.  */
    { "few_16_nodes", WAY_WHOLE, 5, 15, 0, 16, 16, false, 0 },
    { "few_128_nodes", WAY_WHOLE, 5, 15, 0, 128, 128, false, 0 },
    /* Less than the rate is asked for: all should be allowed.  */
    { "under_4_nodes", WAY_WHOLE, 50, 40, 1, 4, 4, false, 0 },
    { "under_16_nodes", WAY_WHOLE, 50, 40, 1, 16, 16, false, 0 },
    { "under_few_16_nodes", WAY_WHOLE, 5, 4, 0, 16, 16, false, 0 },
    { "under_few_128_nodes", WAY_WHOLE, 5, 4, 0, 128, 128, false, 0 },
    /* A node lost, the holder lost, more and fewer nodes, nodes cut off.  */
    { "node_lost", WAY_WHOLE, 50, 150, 1, 16, 15, false, 0 },
    { "holder_lost", WAY_WHOLE, 50, 150, 1, 16, 16, true, 0 },
    { "up_4_to_16", WAY_WHOLE, 50, 150, 1, 4, 16, false, 0 },
    { "down_16_to_4", WAY_WHOLE, 50, 150, 1, 16, 4, false, 0 },
    { "cut_off_4_of_16", WAY_WHOLE, 50, 150, 0, 16, 16, false, 4 },
  };
  for (size_t i = 0; i < sizeof scenarios / sizeof scenarios[0]; i++)
    run_ways (scenarios[i]);
  return EXIT_SUCCESS;
}
