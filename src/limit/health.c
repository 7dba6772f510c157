#include "limit/health.h"

#include "base/clock.h"

enum
{
  DEFAULT_ISOLATE_AFTER = 6,
  DEFAULT_TRIAL_IN_FLIGHT_MAX = 2,
  DEFAULT_TRIAL_ANSWERS = 4
};

#define DEFAULT_UNRESPONSIVE_NS (200 * NS_PER_MS)
#define DEFAULT_ISOLATION_FIRST_NS (250 * NS_PER_MS)
#define DEFAULT_ISOLATION_MAX_NS (2 * NS_PER_S)

void
health_config_defaults (struct health_config *config)
{
  *config = (struct health_config){
    .isolate_after = DEFAULT_ISOLATE_AFTER,
    .unresponsive_ns = DEFAULT_UNRESPONSIVE_NS,
    .trial_in_flight_max = DEFAULT_TRIAL_IN_FLIGHT_MAX,
    .trial_answers = DEFAULT_TRIAL_ANSWERS,
    .isolation_first_ns = DEFAULT_ISOLATION_FIRST_NS,
    .isolation_max_ns = DEFAULT_ISOLATION_MAX_NS,
  };
}

void
health_init (struct health *h, const struct health_config *config,
             int64_t now_ns)
{
  *h = (struct health){ .config = *config,
                        .state = HEALTH_ELIGIBLE,
                        .last_answer_ns = now_ns };
  h->next_isolation_ns = config->isolation_first_ns;
}

uint32_t
health_generation (const struct health *h)
{
  return h->generation;
}

static void
isolate (struct health *h, int64_t now_ns)
{
  h->state = HEALTH_ISOLATED;
  h->generation++;
  h->isolated_until_ns = now_ns + h->next_isolation_ns;
  h->next_isolation_ns *= 2;
  if (h->next_isolation_ns > h->config.isolation_max_ns)
    h->next_isolation_ns = h->config.isolation_max_ns;
}

static void
make_eligible (struct health *h)
{
  h->state = HEALTH_ELIGIBLE;
  h->generation++;
  h->consecutive_failures = 0;
  h->next_isolation_ns = h->config.isolation_first_ns;
}

/* A shed request shows that the target answers; a cancelled one shows
   nothing.  */
static bool
is_failure (enum admit_outcome outcome)
{
  return outcome == ADMIT_TIMED_OUT || outcome == ADMIT_FAILED;
}

/* Under overload several requests that started late may time out in succession
   while others are answered, so timeouts isolate a target only when it has not
   answered at all for some time.  */
static void
record_failure (struct health *h, enum admit_outcome outcome, int64_t now_ns)
{
  bool unresponsive = now_ns - h->last_answer_ns >= h->config.unresponsive_ns;
  h->consecutive_failures++;
  bool threshold_reached = h->consecutive_failures >= h->config.isolate_after
                           && (outcome == ADMIT_FAILED || unresponsive);
  if (h->state == HEALTH_TRIAL || threshold_reached)
    isolate (h, now_ns);
}

static bool
record_answer (struct health *h, int64_t now_ns)
{
  h->consecutive_failures = 0;
  h->last_answer_ns = now_ns;
  if (h->state != HEALTH_TRIAL || ++h->trial_answers < h->config.trial_answers)
    return false;
  make_eligible (h);
  return true;
}

bool
health_done (struct health *h, uint32_t generation, enum admit_outcome outcome,
             int64_t now_ns)
{
  if (generation != h->generation || h->state == HEALTH_ISOLATED)
    return false;
  if (is_failure (outcome))
    record_failure (h, outcome, now_ns);
  else if (outcome != ADMIT_CANCELLED)
    return record_answer (h, now_ns);
  return false;
}

enum health_state
health_state (struct health *h, int64_t now_ns)
{
  if (h->state == HEALTH_ISOLATED && now_ns >= h->isolated_until_ns)
    {
      h->state = HEALTH_TRIAL;
      h->generation++;
      h->trial_answers = 0;
    }
  return h->state;
}

int64_t
health_wake_ns (const struct health *h)
{
  return h->state == HEALTH_ISOLATED ? h->isolated_until_ns : INT64_MAX;
}

uint32_t
health_in_flight_max (const struct health *h)
{
  switch (h->state)
    {
    case HEALTH_ISOLATED:
      return 0;
    case HEALTH_TRIAL:
      return h->config.trial_in_flight_max;
    default:
      return UINT32_MAX;
    }
}

const char *
health_state_name (enum health_state state)
{
  static const char *const names[] = { "eligible", "isolated", "trial" };
  return (unsigned)state < sizeof names / sizeof names[0] ? names[state]
                                                          : "unknown";
}
