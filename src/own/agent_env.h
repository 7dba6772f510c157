/* What all environments of an agent do alike: store jobs, and its log.  */

#ifndef OWN_AGENT_ENV_H
#define OWN_AGENT_ENV_H

#include "own/agent.h"
#include "store/worker.h"

/* A store job of an agent.  Freed with store_job_free.  */
struct agent_job
{
  struct store_job job; /* first; its key and reply_to are the submitter's */
  uint32_t generation;  /* for the submitter */
  bool is_fetch;        /* not the answer to the agent's own read */
};

/* A job that reads the document: the answer to read, or with DOCUMENT one for
   agent_on_document.  Ends the process when memory is short.  */
struct agent_job *agent_job_read (bool document);

/* A job that swaps it; JSON is the job's then.  */
struct agent_job *agent_job_swap (int64_t expected, char *json, size_t length);

/* Give AGENT the result of JOB, which came back, and free it.  */
void agent_job_done (struct agent *agent, struct agent_job *job,
                     int64_t now_ns);

/* Log EV of the member NAME with DETAIL, and count what it did.  */
void agent_env_log (const char *name, enum event ev, const char *detail);

#endif
