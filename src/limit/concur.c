#include "limit/concur.h"

#include "base/clock.h"

#include <math.h>
#include <stdbool.h>
#include <stdlib.h>

enum
{
  DEFAULT_RAMP_INITIAL_LIMIT = 2,
  DEFAULT_RAMP_STEP_ANSWERS = 8,
  WINDOW_ANSWERS_MIN = 30, /* answers in a window, at least */
  WINDOW_LIMITS_MIN = 3,   /* answers in a window, in multiples of the limit */
  /* Most in flight in a window for which BASELINE_RISE_WEIGHT_LOW applies.  */
  LOW_IN_FLIGHT = 2
};

/* Minimum time of the ramp from a cold start to all slots.  */
#define DEFAULT_RAMP_NS (2 * NS_PER_S)

/* A latency counts as slow above this multiple of the baseline.  */
#define SLOW_RATIO 2.0

#define AIMD_SHED_FACTOR 0.7
#define AIMD_SLOW_FACTOR_MIN 0.5

#define GRADIENT_TOLERANCE 1.5
#define GRADIENT_MIN 0.5
#define GRADIENT_WEIGHT 0.2
#define GRADIENT_SHED_FACTOR 0.9

/* Weights of a window in the baseline latency.  The baseline follows a lower
   latency, and a higher one mainly while few requests are in flight: then the
   limit is not the cause of the latency.  */
#define BASELINE_FALL_WEIGHT 0.05
#define BASELINE_RISE_WEIGHT_LOW 0.2
#define BASELINE_RISE_WEIGHT 0.001

struct window
{
  double sum_ns;
  uint32_t answers;
  uint32_t in_flight_max; /* in the window */
};

struct concur_ops
{
  /* Called at the end of a window with the mean latency MEAN_NS.  */
  void (*on_window) (struct concur *c, double mean_ns);
  /* Called when the target shed a request.  */
  void (*on_shed) (struct concur *c);
};

struct concur
{
  const struct concur_ops *ops;
  struct concur_config config;
  double limit;
  double baseline_ns; /* 0 before the first window */
  struct window window;
  int64_t last_cut_ns; /* time of the last reduction for a shed */
  uint32_t ramp_limit; /* cap during the ramp; then the slots */
  uint32_t ramp_answers;
  int64_t ramp_stepped_ns; /* time of the last step of the ramp */
};

static double
clamp_limit (const struct concur *c, double limit)
{
  return fmin (fmax (limit, 1), c->config.slots);
}

/* A limit that was not reached gives no evidence for a higher one.  */
static bool
limit_was_reached (const struct concur *c)
{
  return c->window.in_flight_max + 1 >= concur_limit (c);
}

static void
update_baseline (struct concur *c, double mean_ns)
{
  if (c->baseline_ns <= 0)
    c->baseline_ns = mean_ns;
  double rise_weight = c->window.in_flight_max <= LOW_IN_FLIGHT
                           ? BASELINE_RISE_WEIGHT_LOW
                           : BASELINE_RISE_WEIGHT;
  double weight
      = mean_ns < c->baseline_ns ? BASELINE_FALL_WEIGHT : rise_weight;
  c->baseline_ns += (mean_ns - c->baseline_ns) * weight;
}

/* Fixed limit.  */

static void
fixed_on_window (struct concur *c, double mean_ns)
{
  (void)c;
  (void)mean_ns;
}

static void
fixed_on_shed (struct concur *c)
{
  (void)c;
}

static const struct concur_ops fixed_ops = { fixed_on_window, fixed_on_shed };

/* Additive increase, multiplicative decrease.  */

static void
aimd_on_window (struct concur *c, double mean_ns)
{
  double slow_ns = SLOW_RATIO * c->baseline_ns;
  if (mean_ns > slow_ns)
    c->limit = clamp_limit (
        c, c->limit * fmax (slow_ns / mean_ns, AIMD_SLOW_FACTOR_MIN));
  else if (limit_was_reached (c))
    c->limit = clamp_limit (c, c->limit + 1);
}

static void
aimd_on_shed (struct concur *c)
{
  c->limit = clamp_limit (c, c->limit * AIMD_SHED_FACTOR);
}

static const struct concur_ops aimd_ops = { aimd_on_window, aimd_on_shed };

/* Gradient: the limit times the ratio of baseline to current latency, plus the
   square root of the limit for growth.  */

static void
gradient_on_window (struct concur *c, double mean_ns)
{
  double gradient = GRADIENT_TOLERANCE * c->baseline_ns / mean_ns;
  gradient = fmin (fmax (gradient, GRADIENT_MIN), 1);
  double next = c->limit * gradient + sqrt (c->limit);
  if (next > c->limit && !limit_was_reached (c))
    return;
  c->limit += (next - c->limit) * GRADIENT_WEIGHT;
  c->limit = clamp_limit (c, c->limit);
}

static void
gradient_on_shed (struct concur *c)
{
  c->limit = clamp_limit (c, c->limit * GRADIENT_SHED_FACTOR);
}

static const struct concur_ops gradient_ops
    = { gradient_on_window, gradient_on_shed };

static const struct concur_ops *const policy_ops[]
    = { [CONCUR_FIXED] = &fixed_ops,
        [CONCUR_AIMD] = &aimd_ops,
        [CONCUR_GRADIENT] = &gradient_ops };

void
concur_config_defaults (struct concur_config *config, uint32_t slots)
{
  uint32_t steps = slots > DEFAULT_RAMP_INITIAL_LIMIT
                       ? slots - DEFAULT_RAMP_INITIAL_LIMIT
                       : 1;
  *config = (struct concur_config){
    .policy = CONCUR_AIMD,
    .slots = slots,
    .ramp_initial_limit = DEFAULT_RAMP_INITIAL_LIMIT,
    .ramp_step_answers = DEFAULT_RAMP_STEP_ANSWERS,
    .ramp_step_min_ns = DEFAULT_RAMP_NS / steps,
  };
}

void
concur_restart (struct concur *c, int64_t now_ns)
{
  bool has_ramp = c->config.ramp_initial_limit > 0
                  && c->config.ramp_initial_limit < c->config.slots;
  c->ramp_limit = has_ramp ? c->config.ramp_initial_limit : c->config.slots;
  c->ramp_answers = 0;
  c->ramp_stepped_ns = now_ns;
  c->limit = c->config.slots;
  c->window = (struct window){ 0 };
}

struct concur *
concur_new (const struct concur_config *config, int64_t now_ns)
{
  struct concur *c = calloc (1, sizeof *c);
  if (c == NULL)
    return NULL;
  c->ops = policy_ops[config->policy];
  c->config = *config;
  if (c->config.slots == 0)
    c->config.slots = 1;
  c->last_cut_ns = now_ns;
  concur_restart (c, now_ns);
  return c;
}

void
concur_free (struct concur *c)
{
  free (c);
}

static void
ramp_up (struct concur *c, int64_t now_ns)
{
  if (c->ramp_limit >= c->config.slots)
    return;
  c->ramp_answers++;
  if (c->ramp_answers < c->config.ramp_step_answers
      || now_ns - c->ramp_stepped_ns < c->config.ramp_step_min_ns)
    return;
  c->ramp_limit++;
  c->ramp_answers = 0;
  c->ramp_stepped_ns = now_ns;
}

static void
add_latency (struct concur *c, int64_t latency_ns, uint32_t in_flight)
{
  struct window *w = &c->window;
  w->sum_ns += (double)latency_ns;
  w->answers++;
  if (in_flight > w->in_flight_max)
    w->in_flight_max = in_flight;
  if (w->answers < WINDOW_ANSWERS_MIN
      || w->answers < WINDOW_LIMITS_MIN * concur_limit (c))
    return;
  double mean_ns = w->sum_ns / w->answers;
  update_baseline (c, mean_ns);
  c->ops->on_window (c, mean_ns);
  *w = (struct window){ 0 };
}

/* Requests in flight at a reduction were admitted under the higher limit, so
   there is at most one reduction per baseline latency.  */
static void
handle_shed (struct concur *c, int64_t now_ns)
{
  if ((double)(now_ns - c->last_cut_ns) < c->baseline_ns)
    return;
  c->last_cut_ns = now_ns;
  c->ops->on_shed (c);
}

void
concur_done (struct concur *c, enum admit_outcome outcome, int64_t latency_ns,
             uint32_t in_flight, int64_t now_ns)
{
  switch (outcome)
    {
    case ADMIT_ANSWERED:
      ramp_up (c, now_ns);
      add_latency (c, latency_ns, in_flight);
      break;
    case ADMIT_SHED:
      handle_shed (c, now_ns);
      break;
    case ADMIT_TIMED_OUT:
      /* A request that started late times out even at a healthy target, so a
         timeout only counts as a latency sample.  */
      add_latency (c, latency_ns, in_flight);
      break;
    case ADMIT_FAILED:
    case ADMIT_CANCELLED:
      break;
    }
}

uint32_t
concur_limit (const struct concur *c)
{
  uint32_t limit = (uint32_t)c->limit;
  return limit < c->ramp_limit ? limit : c->ramp_limit;
}
