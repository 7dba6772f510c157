#include "mesh/attempt.h"

#include "base/clock.h"
#include <string.h>
#include <strings.h>
#include <xxhash.h>

const char *
attempt_find_field (const GString *head, const char *name, size_t *length)
{
  size_t name_length = strlen (name);
  const char *line = strstr (head->str, "\r\n");
  for (; line != NULL; line = strstr (line, "\r\n"))
    {
      line += strlen ("\r\n");
      if (strncasecmp (line, name, name_length) != 0
          || line[name_length] != ':')
        continue;
      const char *value = line + name_length + 1;
      value += strspn (value, " ");
      *length = strcspn (value, "\r\n");
      return value;
    }
  return NULL;
}

uint64_t
attempt_fingerprint (const struct attempt_request *request,
                     const char *caller_field)
{
  const char *const fields[] = { "Host", caller_field };
  const GString *head = request->head;
  uint64_t hash = XXH64 (request->body->str, request->body->len, 0);
  hash = XXH64 (head->str, strcspn (head->str, "\r\n"), hash);
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    {
      size_t length = 0;
      const char *value = attempt_find_field (head, fields[i], &length);
      hash = XXH64 (value == NULL ? "" : value, length, hash);
    }
  return hash;
}

int
attempt_age_ms (int64_t time_ns, int64_t now_ns)
{
  return time_ns == 0 ? -1 : (int)((now_ns - time_ns) / NS_PER_MS);
}

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
