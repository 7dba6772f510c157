#include "limit/concur.h"

#include "base/clock.h"

#include <math.h>
#include <stdbool.h>
#include <stdlib.h>

enum
{
  DEFAULT_RAMP_START = 2,
  DEFAULT_RAMP_ANSWERS = 8,
  WINDOW_ANSWERS_MIN = 30, /* latencies in one mean */
  WINDOW_ROUNDS = 3,       /* and in limits */
  FEW_IN_FLIGHT = 2
};

/* Least time from a cold start to all slots.  */
#define DEFAULT_RAMP_NS (2 * NS_PER_S)

/* Latency that counts as slow, in usual latencies.  */
#define SLOW 2.0

#define AIMD_CUT_TROUBLE 0.7
#define AIMD_CUT_LEAST 0.5

#define GRADIENT_TOLERANCE 1.5
#define GRADIENT_LEAST 0.5
#define GRADIENT_SMOOTHING 0.2
#define GRADIENT_CUT_TROUBLE 0.9

/* The usual latency follows a lower one, and a higher one mostly while few are
   in flight: that one is not the effect of the limit.  */
#define USUAL_FALL 0.05
#define USUAL_RISE_FEW 0.2
#define USUAL_RISE 0.001

struct window
{
  double sum_ns;
  uint32_t answers;
  uint32_t in_flight; /* highest seen */
};

struct concur_ops
{
  /* A window of answers with the mean MEAN_NS ended.  */
  void (*window) (struct concur *c, double mean_ns);
  /* A request was shed.  */
  void (*trouble) (struct concur *c);
};

struct concur
{
  const struct concur_ops *ops;
  struct concur_config config;
  double limit;
  double usual_ns; /* 0 before the first window */
  struct window window;
  int64_t cut_ns; /* time of the last cut for trouble */
  uint32_t ramp;  /* cap while ramping up; slots when done */
  uint32_t ramp_answers;
  int64_t ramp_ns; /* time of the last step */
};

static double
bounded (const struct concur *c, double limit)
{
  return fmin (fmax (limit, 1), c->config.slots);
}

/* A limit that is not used up tells nothing about a higher one.  */
static bool
was_used (const struct concur *c)
{
  return c->window.in_flight + 1 >= concur_limit (c);
}

static void
follow_usual (struct concur *c, double mean_ns)
{
  if (c->usual_ns <= 0)
    c->usual_ns = mean_ns;
  double rise
      = c->window.in_flight <= FEW_IN_FLIGHT ? USUAL_RISE_FEW : USUAL_RISE;
  double weight = mean_ns < c->usual_ns ? USUAL_FALL : rise;
  c->usual_ns += (mean_ns - c->usual_ns) * weight;
}

/* Fixed.  */

static void
fixed_window (struct concur *c, double mean_ns)
{
  (void)c;
  (void)mean_ns;
}

static void
fixed_trouble (struct concur *c)
{
  (void)c;
}

static const struct concur_ops fixed_ops = { fixed_window, fixed_trouble };

/* Additive increase, multiplicative decrease.  */

static void
aimd_window (struct concur *c, double mean_ns)
{
  double slow_ns = SLOW * c->usual_ns;
  if (mean_ns > slow_ns)
    c->limit
        = bounded (c, c->limit * fmax (slow_ns / mean_ns, AIMD_CUT_LEAST));
  else if (was_used (c))
    c->limit = bounded (c, c->limit + 1);
}

static void
aimd_trouble (struct concur *c)
{
  c->limit = bounded (c, c->limit * AIMD_CUT_TROUBLE);
}

static const struct concur_ops aimd_ops = { aimd_window, aimd_trouble };

/* Gradient: the limit times usual over present latency, and the square root
   of the limit for growth.  */

static void
gradient_window (struct concur *c, double mean_ns)
{
  double gradient = GRADIENT_TOLERANCE * c->usual_ns / mean_ns;
  gradient = fmin (fmax (gradient, GRADIENT_LEAST), 1);
  double next = c->limit * gradient + sqrt (c->limit);
  if (next > c->limit && !was_used (c))
    return;
  c->limit += (next - c->limit) * GRADIENT_SMOOTHING;
  c->limit = bounded (c, c->limit);
}

static void
gradient_trouble (struct concur *c)
{
  c->limit = bounded (c, c->limit * GRADIENT_CUT_TROUBLE);
}

static const struct concur_ops gradient_ops
    = { gradient_window, gradient_trouble };

static const struct concur_ops *const policies[]
    = { [CONCUR_FIXED] = &fixed_ops,
        [CONCUR_AIMD] = &aimd_ops,
        [CONCUR_GRADIENT] = &gradient_ops };

void
concur_config_defaults (struct concur_config *config, uint32_t slots)
{
  uint32_t steps = slots > DEFAULT_RAMP_START ? slots - DEFAULT_RAMP_START : 1;
  *config = (struct concur_config){
    .policy = CONCUR_AIMD,
    .slots = slots,
    .ramp_initial_limit = DEFAULT_RAMP_START,
    .ramp_step_answers = DEFAULT_RAMP_ANSWERS,
    .ramp_step_min_ns = DEFAULT_RAMP_NS / steps,
  };
}

void
concur_restart (struct concur *c, int64_t now_ns)
{
  bool ramps = c->config.ramp_initial_limit > 0
               && c->config.ramp_initial_limit < c->config.slots;
  c->ramp = ramps ? c->config.ramp_initial_limit : c->config.slots;
  c->ramp_answers = 0;
  c->ramp_ns = now_ns;
  c->limit = c->config.slots;
  c->window = (struct window){ 0 };
}

struct concur *
concur_new (const struct concur_config *config, int64_t now_ns)
{
  struct concur *c = calloc (1, sizeof *c);
  if (c == NULL)
    return NULL;
  c->ops = policies[config->policy];
  c->config = *config;
  if (c->config.slots == 0)
    c->config.slots = 1;
  c->cut_ns = now_ns;
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
  if (c->ramp >= c->config.slots)
    return;
  c->ramp_answers++;
  if (c->ramp_answers < c->config.ramp_step_answers
      || now_ns - c->ramp_ns < c->config.ramp_step_min_ns)
    return;
  c->ramp++;
  c->ramp_answers = 0;
  c->ramp_ns = now_ns;
}

static void
take_latency (struct concur *c, int64_t latency_ns, uint32_t in_flight)
{
  struct window *w = &c->window;
  w->sum_ns += (double)latency_ns;
  w->answers++;
  if (in_flight > w->in_flight)
    w->in_flight = in_flight;
  if (w->answers < WINDOW_ANSWERS_MIN
      || w->answers < WINDOW_ROUNDS * concur_limit (c))
    return;
  double mean_ns = w->sum_ns / w->answers;
  follow_usual (c, mean_ns);
  c->ops->window (c, mean_ns);
  *w = (struct window){ 0 };
}

/* What was in flight at a cut tells of the limit before it: one cut in a
   usual latency.  */
static void
take_trouble (struct concur *c, int64_t now_ns)
{
  if ((double)(now_ns - c->cut_ns) < c->usual_ns)
    return;
  c->cut_ns = now_ns;
  c->ops->trouble (c);
}

void
concur_done (struct concur *c, enum admit_outcome outcome, int64_t latency_ns,
             uint32_t in_flight, int64_t now_ns)
{
  switch (outcome)
    {
    case ADMIT_ANSWERED:
      ramp_up (c, now_ns);
      take_latency (c, latency_ns, in_flight);
      break;
    case ADMIT_SHED:
      take_trouble (c, now_ns);
      break;
    case ADMIT_TIMED_OUT:
      /* One that started late times out at a target that is well: it counts
         as a latency like others.  */
      take_latency (c, latency_ns, in_flight);
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
  return limit < c->ramp ? limit : c->ramp;
}
