/* The journal of a load: one JSON line for each send and each answer.  */

#ifndef LOAD_JOURNAL_H
#define LOAD_JOURNAL_H

#include "base/status.h"
#include "load/tally.h"
#include <stdbool.h>
#include <stdint.h>

struct journal;

/* What a line tells of a request.  */
struct journal_request
{
  uint64_t number;
  const char *token; /* unique among all runs */
  const char *key;
  const char *node;
  bool write;
  int64_t send_ns; /* CLOCK_BOOTTIME */
};

/* What a line tells of an answer.  */
struct journal_answer
{
  const struct load_result *result;
  const char *request_id; /* that the target says it got; NULL: unknown */
  bool echoed;            /* the answer holds the request's token */
};

/* Open PATH for appending.  NULL PATH: a journal that drops its lines.  NULL
   with a status message on failure.  */
struct journal *journal_open (const char *path);

/* Write what is buffered, close and free J, which may be NULL.  */
void journal_close (struct journal *j);

/* Append the sending of R.  */
void journal_write_send (struct journal *j, const struct journal_request *r);

/* Append the end of R.  */
void journal_write_answer (struct journal *j, const struct journal_request *r,
                           const struct journal_answer *a);

#endif
