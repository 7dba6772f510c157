/* The journal of the load generator: one line of JSON for each request sent
   and each result.  */

#ifndef LOAD_JOURNAL_H
#define LOAD_JOURNAL_H

#include "base/status.h"
#include "load/tally.h"
#include <stdbool.h>
#include <stdint.h>

struct journal;

/* The request fields of a line.  */
struct journal_request
{
  uint64_t number;
  const char *token; /* unique among all runs */
  const char *key;
  const char *node;
  bool write;
  int64_t send_ns; /* CLOCK_BOOTTIME */
};

/* The answer fields of a line.  */
struct journal_answer
{
  const struct load_result *result;
  const char *request_id; /* echoed by the target; NULL: unknown */
  bool echoed;            /* the answer contains the token of the request */
};

/* Open PATH for appending.  If PATH is NULL, the journal discards its lines.
   NULL with a status message on failure.  */
struct journal *journal_open (const char *path);

/* Flush, close and free J.  J may be NULL.  */
void journal_close (struct journal *j);

/* Append the event "send" of R.  */
void journal_write_send (struct journal *j, const struct journal_request *r);

/* Append the event "answer" of R, which is also written for requests that got
   no answer.  */
void journal_write_answer (struct journal *j, const struct journal_request *r,
                           const struct journal_answer *a);

#endif
