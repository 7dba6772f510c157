#include "own/agent_env.h"

#include "base/counter.h"
#include <stdlib.h>

static struct agent_job *
new_job (enum store_call call)
{
  struct agent_job *job = calloc (1, sizeof *job);
  if (job == NULL)
    abort ();
  job->job.call = call;
  return job;
}

struct agent_job *
agent_job_read (bool is_fetch)
{
  struct agent_job *job = new_job (STORE_READ);
  job->is_fetch = is_fetch;
  return job;
}

struct agent_job *
agent_job_swap (int64_t expected, char *json, size_t length)
{
  struct agent_job *job = new_job (STORE_SWAP);
  job->job.expected_revision = expected;
  job->job.data = json;
  job->job.length = length;
  return job;
}

void
agent_job_done (struct agent *agent, struct agent_job *job, int64_t now_ns)
{
  const struct store_job *j = &job->job;
  const struct store_value *v = &j->value;
  if (j->call == STORE_SWAP)
    agent_on_swap (agent, j->status, j->revision, now_ns);
  else if (!job->is_fetch)
    agent_on_read (agent, j->status, v->revision, v->data, v->length, now_ns);
  else if (j->status == STATUS_OK)
    agent_on_document (agent, v->revision, v->data, v->length, now_ns);
  store_job_free (&job->job);
}

void
agent_env_log (const char *name, enum event ev, const char *detail)
{
  log_event (ev, "member=%s %s", name, detail);
  if (ev == EV_MEMBER_DECLARED_DEAD)
    counter_add (COUNTER_takeovers_total, 1);
  if (ev == EV_MOVE_GIVEN_UP)
    counter_add (COUNTER_moves_given_up_total, 1);
  if (ev == EV_SLOTS_MOVED)
    counter_add (COUNTER_slots_moved_total, 1);
}
