#include "mesh/attempt.h"

void
attempt_request_clear (struct attempt_request *request)
{
  if (request->head != NULL)
    g_string_free (request->head, TRUE);
  if (request->body != NULL)
    g_string_free (request->body, TRUE);
  request->head = NULL;
  request->body = NULL;
}

struct attempt_result
attempt_not_run (enum reason reason, int64_t retry_after_ns)
{
  return (struct attempt_result){ .outcome = OUTCOME_NOT_RUN,
                                  .reason = reason,
                                  .retry_after_ns = retry_after_ns };
}

struct attempt_result
attempt_unknown (enum reason reason)
{
  return (struct attempt_result){ .outcome = OUTCOME_UNKNOWN,
                                  .reason = reason,
                                  .reached_target = true };
}
