/* One HTTP exchange of the load generator: a request, its answer and its
   outcome.

   Exchanges are reused, and so are their connections.  libcurl sends a request
   again when a reused connection is closed before an answer; an exchange
   prevents that for non-idempotent requests.  */

#ifndef LOAD_EXCHANGE_H
#define LOAD_EXCHANGE_H

#include "load/journal.h"
#include "load/tally.h"
#include "load/workload.h"

#include <curl/curl.h>

struct exchange_shared;
struct exchange;

/* Create the state that all exchanges of a load share.  O and W must outlive
   it.  NULL when out of memory.  */
struct exchange_shared *exchange_shared_new (const struct load_options *o,
                                             const struct workload *w);

/* Free S after all its exchanges.  S may be NULL.  */
void exchange_shared_free (struct exchange_shared *s);

/* Create an exchange.  PRIVATE_POINTER becomes the CURLINFO_PRIVATE of its
   libcurl handle.  NULL when out of memory.  */
struct exchange *exchange_new (struct exchange_shared *s,
                               void *private_pointer);

/* Free X, which must not be in a transfer.  X may be NULL.  */
void exchange_free (struct exchange *x);

/* Return the libcurl handle of X.  */
CURL *exchange_handle (struct exchange *x);

/* Prepare request NUMBER with CHOICE.  The request is due at DUE_NS and is
   sent at NOW_NS.  */
void exchange_prepare (struct exchange *x, uint64_t number,
                       const struct workload_choice *choice, int64_t due_ns,
                       int64_t now_ns);

/* Return the journal entry of the request, valid until the next call of
   exchange_prepare.  */
const struct journal_request *exchange_request (const struct exchange *x);

/* Classify the transfer that ended with CODE at NOW_NS.  The texts in RESULT
   and ANSWER are valid until the next call of exchange_prepare.  */
void exchange_finish (struct exchange *x, CURLcode code, int64_t now_ns,
                      struct load_result *result,
                      struct journal_answer *answer);

#endif
