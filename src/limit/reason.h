/* Catalogue of the reasons for which a request was not answered.  */

#ifndef LIMIT_REASON_H
#define LIMIT_REASON_H

enum reason
{
#define REASON(name, word, http, retry, text) REASON_##name,
#include "limit/reason.def"
#undef REASON
  REASON_COUNT
};

/* The identifier of R shown to callers and operators; never NULL.  */
const char *reason_word (enum reason r);

/* A one-line description of R; never NULL.  */
const char *reason_text (enum reason r);

/* The HTTP status of a request that did not run because of R.  */
unsigned reason_http_status (enum reason r);

/* Seconds after which a retry may succeed; 0 when a retry does not help.  */
unsigned reason_retry_after_s (enum reason r);

#endif
