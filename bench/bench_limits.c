/* Measures how well a rate limit of one organisation is kept across many
   nodes, in simulated time.

   Requests arrive at random, at some nodes more than at others.  Reports and
   grants take a millisecond.  Compares three ways to divide the rate: each
   node admits the whole rate, each node admits an equal share, and the rate's
   holder grants allowances.  */

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
  CHANGE_S = 60, /* when nodes are lost, added or cut off */
  WARM_UP_S = 10,
  WINDOW_S = 10,     /* length of the windows whose highest rate is printed */
  REPORT_BYTES = 32, /* hash of the name, four numbers, header */
  GRANT_BYTES = 28
};

enum division
{
  DIVISION_NONE, /* each node admits the whole rate */
  DIVISION_EVEN, /* each node admits an equal share */
  DIVISION_ALLOWANCE
};

static const char *const division_names[] = { "whole", "even", "allowance" };

struct message
{
  int64_t at_ns;
  uint32_t node;
  bool is_grant;
  struct rate_report report;
  struct rate_grant grant;
};

struct token_bucket
{
  double tokens;
  int64_t filled_ns;
};

struct scenario
{
  const char *name;
  enum division division;
  double rate;
  double demand; /* requests a second at all nodes together */
  double skew;   /* Zipf exponent of the demand over the nodes */
  uint32_t nodes;
  uint32_t nodes_after; /* from CHANGE_S on */
  bool lose_holder;     /* the organisation's holder is lost at CHANGE_S */
  uint32_t partitioned_nodes; /* cut off from messages from CHANGE_S on */
};

struct run
{
  const struct scenario *s;
  struct rate_node *nodes[NODES_MAX];
  struct rate_holder *holders[NODES_MAX];
  struct token_bucket buckets[NODES_MAX];
  uint64_t members[NODES_MAX];
  double weights[NODES_MAX];
  struct message messages[MESSAGES_MAX];
  uint32_t message_head;
  uint32_t message_tail;
  uint64_t random;
  uint32_t allowed[RUN_S];
  uint32_t offered[RUN_S];
  uint64_t bytes_sent[NODES_MAX];
};

static double
random_uniform (struct run *r)
{
  uint64_t z = r->random += UINT64_C (0x9e3779b97f4a7c15);
  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return ((double)((z ^ (z >> 31)) >> 11) + 0.5) / 9007199254740992.0;
}

static uint32_t
node_count_at (const struct run *r, int64_t now_ns)
{
  return now_ns < CHANGE_S * NS_PER_S ? r->s->nodes : r->s->nodes_after;
}

/* Returns the holder at NOW_NS, chosen without a holder that was lost.  */
static uint32_t
holder_of (const struct run *r, int64_t now_ns)
{
  uint32_t count = node_count_at (r, now_ns);
  size_t holder = rate_pick_holder ("acme", r->members, count);
  if (!r->s->lose_holder || now_ns < CHANGE_S * NS_PER_S)
    return (uint32_t)holder;
  uint64_t survivors[NODES_MAX];
  uint32_t survivor_index[NODES_MAX] = { 0 };
  uint32_t survivor_count = 0;
  for (uint32_t i = 0; i < count; i++)
    if (i != holder)
      {
        survivor_index[survivor_count] = i;
        survivors[survivor_count++] = r->members[i];
      }
  return survivor_index[rate_pick_holder ("acme", survivors, survivor_count)];
}

static bool
is_partitioned (const struct run *r, uint32_t node, int64_t now_ns)
{
  return r->s->partitioned_nodes > 0 && now_ns >= CHANGE_S * NS_PER_S
         && node >= r->s->nodes - r->s->partitioned_nodes;
}

static void
enqueue_message (struct run *r, struct message message)
{
  if (r->message_tail - r->message_head == MESSAGES_MAX)
    abort ();
  r->messages[r->message_tail++ % MESSAGES_MAX] = message;
}

static bool
take_token (struct run *r, uint32_t node, double rate, int64_t now_ns)
{
  struct token_bucket *b = &r->buckets[node];
  double elapsed_s = (double)(now_ns - b->filled_ns) / (double)NS_PER_S;
  b->tokens = fmin (b->tokens + rate * elapsed_s, fmax (rate, 1));
  b->filled_ns = now_ns;
  if (b->tokens < 1)
    return false;
  b->tokens -= 1;
  return true;
}

static bool
admit (struct run *r, uint32_t node, int64_t now_ns)
{
  uint32_t nodes = node_count_at (r, now_ns);
  switch (r->s->division)
    {
    case DIVISION_NONE:
      return take_token (r, node, r->s->rate, now_ns);
    case DIVISION_EVEN:
      return take_token (r, node, r->s->rate / nodes, now_ns);
    default:
      return rate_take (r->nodes[node], "acme", r->s->rate, nodes, now_ns)
             == STATUS_OK;
    }
}

static void
handle_arrival (struct run *r, uint32_t node, int64_t now_ns)
{
  double probability = r->s->demand * r->weights[node] * STEP_MS / 1000;
  if (random_uniform (r) >= probability)
    return;
  int64_t second = now_ns / NS_PER_S;
  r->offered[second]++;
  if (admit (r, node, now_ns))
    r->allowed[second]++;
}

static void
send_reports (struct run *r, uint32_t node, int64_t now_ns)
{
  struct message m = { .at_ns = now_ns + DELAY_MS * NS_PER_MS, .node = node };
  while (rate_next_report (r->nodes[node], &m.report, now_ns))
    {
      r->bytes_sent[node] += REPORT_BYTES;
      if (!is_partitioned (r, node, now_ns))
        enqueue_message (r, m);
    }
}

static void
deliver_message (struct run *r, const struct message *m, int64_t now_ns)
{
  uint32_t holder = holder_of (r, now_ns);
  if (m->node >= node_count_at (r, now_ns)
      || is_partitioned (r, m->node, now_ns))
    return;
  if (m->is_grant)
    {
      rate_apply_grant (r->nodes[m->node], &m->grant, now_ns);
      return;
    }
  struct message answer = { .at_ns = now_ns + DELAY_MS * NS_PER_MS,
                            .node = m->node,
                            .is_grant = true };
  r->bytes_sent[holder] += GRANT_BYTES;
  if (rate_handle_report (r->holders[holder], &m->report, r->s->rate,
                          &answer.grant, now_ns)
      == STATUS_OK)
    enqueue_message (r, answer);
}

static void
set_weights (struct run *r, uint32_t count)
{
  double sum = 0;
  for (uint32_t i = 0; i < count; i++)
    sum += r->weights[i] = pow (i + 1, -r->s->skew);
  for (uint32_t i = 0; i < count; i++)
    r->weights[i] /= sum;
}

static void
run_step (struct run *r, int64_t now_ns)
{
  uint32_t count = node_count_at (r, now_ns);
  while (r->message_head != r->message_tail
         && r->messages[r->message_head % MESSAGES_MAX].at_ns <= now_ns)
    {
      struct message m = r->messages[r->message_head++ % MESSAGES_MAX];
      deliver_message (r, &m, now_ns);
    }
  for (uint32_t i = 0; i < count; i++)
    {
      handle_arrival (r, i, now_ns);
      send_reports (r, i, now_ns);
    }
}

static void
run_start (struct run *r, const struct scenario *s)
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
  set_weights (r, s->nodes);
}

static void
run_free (struct run *r)
{
  for (uint32_t i = 0; i < NODES_MAX; i++)
    {
      rate_node_free (r->nodes[i]);
      rate_holder_free (r->holders[i]);
    }
}

static double
sum_counts (const uint32_t *counts, uint32_t from, uint32_t to)
{
  double total = 0;
  for (uint32_t i = from; i < to; i++)
    total += counts[i];
  return total;
}

static void
print_figure (const struct scenario *s, const char *measure, double value,
              const char *unit)
{
  printf ("figure limits_%s_%s_%s %.3f %s\n", s->name,
          division_names[s->division], measure, value, unit);
}

/* Returns the admitted requests divided by the smaller of the rate and the
   demand, from second FROM to second TO.  */
static double
allowed_ratio (const struct run *r, uint32_t from, uint32_t to)
{
  double expected
      = fmin (r->s->rate * (to - from), sum_counts (r->offered, from, to));
  return sum_counts (r->allowed, from, to) / expected;
}

static void
print_figures (const struct run *r)
{
  const struct scenario *s = r->s;
  double worst_rate = 0;
  double busiest_bytes_per_s = 0;
  for (uint32_t i = 0; i + WINDOW_S <= RUN_S; i++)
    worst_rate = fmax (worst_rate,
                       sum_counts (r->allowed, i, i + WINDOW_S) / WINDOW_S);
  for (uint32_t i = 0; i < NODES_MAX; i++)
    busiest_bytes_per_s
        = fmax (busiest_bytes_per_s, (double)r->bytes_sent[i] / RUN_S);
  print_figure (s, "allowed_over_set", allowed_ratio (r, WARM_UP_S, RUN_S),
                "ratio");
  print_figure (s, "worst_10s_over_rate", worst_rate / s->rate, "ratio");
  print_figure (s, "after_change_over_set",
                allowed_ratio (r, CHANGE_S, CHANGE_S + WINDOW_S), "ratio");
  if (s->division == DIVISION_ALLOWANCE)
    print_figure (s, "busiest_node", busiest_bytes_per_s, "bytes_per_second");
}

static void
run_scenario (const struct scenario *s)
{
  static struct run r;
  run_start (&r, s);
  for (int64_t ms = 0; ms < (int64_t)RUN_S * 1000; ms += STEP_MS)
    {
      if (ms == (int64_t)CHANGE_S * 1000)
        set_weights (&r, s->nodes_after);
      run_step (&r, ms * NS_PER_MS);
    }
  print_figures (&r);
  run_free (&r);
}

static void
run_divisions (struct scenario s)
{
  for (int division = DIVISION_NONE; division <= DIVISION_ALLOWANCE;
       division++)
    {
      s.division = (enum division)division;
      run_scenario (&s);
    }
}

int
main (void)
{
  static const struct scenario scenarios[] = {
    /* Demand of three times the rate.  */
    { "1_node", DIVISION_NONE, 50, 150, 1, 1, 1, false, 0 },
    { "4_nodes", DIVISION_NONE, 50, 150, 1, 4, 4, false, 0 },
    { "16_nodes", DIVISION_NONE, 50, 150, 1, 16, 16, false, 0 },
    { "128_nodes", DIVISION_NONE, 50, 150, 1, 128, 128, false, 0 },
    /* A low rate, so that each node gets few requests.  */
    { "few_16_nodes", DIVISION_NONE, 5, 15, 0, 16, 16, false, 0 },
    { "few_128_nodes", DIVISION_NONE, 5, 15, 0, 128, 128, false, 0 },
    /* Demand below the rate: all requests should be admitted.  */
    { "under_4_nodes", DIVISION_NONE, 50, 40, 1, 4, 4, false, 0 },
    { "under_16_nodes", DIVISION_NONE, 50, 40, 1, 16, 16, false, 0 },
    { "under_few_16_nodes", DIVISION_NONE, 5, 4, 0, 16, 16, false, 0 },
    { "under_few_128_nodes", DIVISION_NONE, 5, 4, 0, 128, 128, false, 0 },
    /* A node or the holder lost, nodes added, removed or cut off.  */
    { "node_lost", DIVISION_NONE, 50, 150, 1, 16, 15, false, 0 },
    { "holder_lost", DIVISION_NONE, 50, 150, 1, 16, 16, true, 0 },
    { "up_4_to_16", DIVISION_NONE, 50, 150, 1, 4, 16, false, 0 },
    { "down_16_to_4", DIVISION_NONE, 50, 150, 1, 16, 4, false, 0 },
    { "cut_off_4_of_16", DIVISION_NONE, 50, 150, 0, 16, 16, false, 4 },
  };
  for (size_t i = 0; i < sizeof scenarios / sizeof scenarios[0]; i++)
    run_divisions (scenarios[i]);
  return EXIT_SUCCESS;
}
