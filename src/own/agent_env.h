/* Code shared by all environments of an agent: store jobs and logging.  */

#ifndef OWN_AGENT_ENV_H
#define OWN_AGENT_ENV_H

#include "own/agent.h"
#include "store/worker.h"

/* A store job of an agent, freed with store_job_free.  */
struct agent_job
{
  struct store_job
      job;             /* must be first; the submitter sets key and reply_to */
  uint32_t generation; /* for the submitter's use */
  bool is_fetch; /* the result goes to agent_on_document, not to agent_on_read
                  */
};

/* Return a job that reads the document.  Its result goes to agent_on_read, or
   with IS_FETCH to agent_on_document.  Aborts when memory is short.  */
struct agent_job *agent_job_read (bool is_fetch);

/* Return a job that compare-and-swaps the document and owns JSON from now on.
   Aborts when memory is short.  */
struct agent_job *agent_job_swap (int64_t expected, char *json, size_t length);

/* Pass the result of the completed JOB to AGENT and free JOB.  */
void agent_job_done (struct agent *agent, struct agent_job *job,
                     int64_t now_ns);

/* Log EV of the member NAME with DETAIL and update the counters for EV.  */
void agent_env_log (const char *name, enum event ev, const char *detail);

#endif
