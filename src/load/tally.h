/* Statistics of the load generator: outcome counts, latencies, and gaps
   between the answers for a key.  */

#ifndef LOAD_TALLY_H
#define LOAD_TALLY_H

#include "load/workload.h"
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* The outcome of a request as seen by the caller.  The first three are
   reported by the node.  */
enum load_outcome
{
  OUTCOME_ANSWERED,
  OUTCOME_NOT_RUN,
  OUTCOME_UNKNOWN,
  OUTCOME_UNSENT, /* no connection; certainly not run */
  OUTCOME_LOST,   /* sent, but no complete answer received */
  OUTCOME_COUNT
};

/* Return the name of OUTCOME in the report and the journal.  */
const char *load_outcome_name (enum load_outcome outcome);

/* A completed request.  Times are CLOCK_BOOTTIME in nanoseconds.  */
struct load_result
{
  uint32_t key;
  uint32_t organisation;
  enum load_outcome outcome;
  int status;         /* HTTP status; 0: none */
  const char *reason; /* keyword; "" when none was given */
  const char *target; /* target that answered; NULL: unknown */
  bool foreign;       /* the answer belongs to another request */
  bool unchecked;     /* the answer does not identify its request */
  int64_t due_ns;     /* scheduled time of sending */
  int64_t end_ns;     /* time of the answer or failure */
};

struct tally;

/* Create an empty tally.  O and W must outlive it.  NULL when out of
   memory.  */
struct tally *tally_new (const struct load_options *o,
                         const struct workload *w);

/* Free T.  T may be NULL.  */
void tally_free (struct tally *t);

/* Add R to the statistics.  */
void tally_add (struct tally *t, const struct load_result *r);

/* Set the number of scheduled requests that were never sent.  */
void tally_set_missed (struct tally *t, uint64_t missed);

/* Return the number of results with OUTCOME.  */
uint64_t tally_count (const struct tally *t, enum load_outcome outcome);

/* Return the number of answers that belonged to another request.  */
uint64_t tally_foreign (const struct tally *t);

/* Print the statistics of a load of ELAPSED_S seconds to OUT, as lines of text
   or as one JSON object.  */
void tally_print (struct tally *t, double elapsed_s, bool json, FILE *out);

#endif
