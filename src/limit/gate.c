#include "limit/gate.h"

#include <stdlib.h>

enum
{
  TICKET_INDEXES = 1 << 16 /* the low 16 bits of a ticket are its index */
};

struct gate
{
  struct admit *admit;
  struct concur *concur;
  struct health health;
  bool draining;
  uint32_t *generations; /* health generation at the start, by ticket index */
};

void
gate_config_defaults (struct gate_config *config, uint32_t slots)
{
  admit_config_defaults (&config->admit, slots);
  concur_config_defaults (&config->concur, slots);
  health_config_defaults (&config->health);
}

static uint32_t *
generation_of (struct gate *g, admit_ticket ticket)
{
  return &g->generations[ticket % TICKET_INDEXES];
}

/* Set the limit and the state of the admission by those of the target.  */
static void
update_admission (struct gate *g, int64_t now_ns)
{
  enum health_state health = health_state (&g->health, now_ns);
  uint32_t limit = concur_limit (g->concur);
  uint32_t health_limit = health_in_flight_max (&g->health);
  enum admit_state state = g->draining ? ADMIT_DRAINING : ADMIT_OPEN;
  if (health == HEALTH_ISOLATED)
    state = ADMIT_DOWN;
  admit_set_state (g->admit, state);
  admit_set_limit (g->admit, limit < health_limit ? limit : health_limit);
}

struct gate *
gate_new (const struct gate_config *config, int64_t now_ns)
{
  struct gate *g = calloc (1, sizeof *g);
  if (g == NULL)
    return NULL;
  g->admit = admit_new (&config->admit);
  g->concur = concur_new (&config->concur, now_ns);
  g->generations = calloc (TICKET_INDEXES, sizeof *g->generations);
  if (g->admit == NULL || g->concur == NULL || g->generations == NULL)
    {
      gate_free (g);
      return NULL;
    }
  health_init (&g->health, &config->health, now_ns);
  update_admission (g, now_ns);
  return g;
}

void
gate_free (struct gate *g)
{
  if (g == NULL)
    return;
  admit_free (g->admit);
  concur_free (g->concur);
  free (g->generations);
  free (g);
}

static struct admit_decision
record_generation (struct gate *g, struct admit_decision d)
{
  if (d.verdict == ADMIT_START)
    *generation_of (g, d.ticket) = health_generation (&g->health);
  return d;
}

struct admit_decision
gate_offer (struct gate *g, const struct admit_request *request,
            int64_t now_ns)
{
  update_admission (g, now_ns);
  return record_generation (g, admit_offer (g->admit, request, now_ns));
}

struct admit_decision
gate_next (struct gate *g, int64_t now_ns)
{
  update_admission (g, now_ns);
  return record_generation (g, admit_next (g->admit, now_ns));
}

bool
gate_done (struct gate *g, admit_ticket ticket, enum admit_outcome outcome,
           int64_t latency_ns, int64_t now_ns)
{
  uint32_t in_flight = admit_in_flight (g->admit);
  if (!admit_done (g->admit, ticket, outcome, latency_ns, now_ns))
    return false;
  concur_done (g->concur, outcome, latency_ns, in_flight, now_ns);
  if (health_done (&g->health, *generation_of (g, ticket), outcome, now_ns))
    concur_restart (g->concur, now_ns);
  update_admission (g, now_ns);
  return true;
}

bool
gate_cancel (struct gate *g, admit_ticket ticket)
{
  return admit_cancel (g->admit, ticket);
}

int64_t
gate_wake_ns (const struct gate *g)
{
  int64_t queue_ns = admit_wake_ns (g->admit);
  int64_t health_ns = health_wake_ns (&g->health);
  return queue_ns < health_ns ? queue_ns : health_ns;
}

void
gate_drain (struct gate *g)
{
  g->draining = true;
}

void
gate_target_restarted (struct gate *g, int64_t now_ns)
{
  concur_restart (g->concur, now_ns);
}

void
gate_set_trial_share (struct gate *g, uint32_t share_pct, bool lending)
{
  admit_set_trial_share (g->admit, share_pct, lending);
}

enum health_state
gate_health (struct gate *g, int64_t now_ns)
{
  update_admission (g, now_ns);
  return health_state (&g->health, now_ns);
}

void
gate_read_stats (const struct gate *g, struct gate_stats *stats)
{
  admit_read_stats (g->admit, &stats->admit);
  stats->concur_limit = concur_limit (g->concur);
  stats->health = g->health.state;
}
