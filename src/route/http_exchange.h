/* One HTTP exchange with the co-located target: the libcurl request and the
   response.

   The last check before the first byte is sent is made here: nothing is sent
   without the lease, and a non-idempotent request is not sent again when
   libcurl finds that its reused connection was closed.  */

#ifndef ROUTE_HTTP_EXCHANGE_H
#define ROUTE_HTTP_EXCHANGE_H

#include "http/reader.h"
#include "route/map.h"
#include "route/request.h"
#include "settings/settings.h"

#include <curl/curl.h>

struct http_exchange
{
  /* Filled before http_exchange_begin; none is owned.  */
  const struct settings *settings;
  struct map *map;
  const struct request *request;
  const struct owner *owner; /* as returned by map_begin_request */
  void *user;                /* returned as CURLINFO_PRIVATE */

  CURL *easy; /* NULL unless the exchange is under way */
  struct curl_slist *headers;

  /* The response.  */
  struct http_reader *reader;
  char *body; /* owned until the caller takes it */
  size_t body_length;
  size_t body_capacity;
  size_t head_length; /* with those of interim responses */
  bool complete;
  char content_type[REQUEST_CONTENT_TYPE_BYTES];
  unsigned send_count; /* how often a send was allowed to start */
  bool not_run;        /* the target reported that the request did not run */
  bool lease_lapsed;   /* the send was prevented because the lease had expired,
                          or this node had joined again since the begin */
  bool resend_stopped; /* a second send was prevented */
  bool answer_too_large; /* the answer exceeded limits.body_bytes, or its head
                            the bounds of http/bounds.h, and was cut off */
};

/* Prepare E->easy for curl_multi_add_handle; the exchange may take LEFT_MS.
   False when there is no memory.  */
bool http_exchange_begin (struct http_exchange *e, int64_t left_ms);

/* The result of the exchange, for which libcurl returned CODE: an error if the
   response is not complete.  */
CURLcode http_exchange_result (struct http_exchange *e, CURLcode code);

/* What was wrong with the response of the exchange, whose result is CODE, in a
   word; NULL if it was well-formed or missing.  */
const char *http_exchange_fault (const struct http_exchange *e, CURLcode code);

/* Let the connection of E be closed by a reset when its handle is removed from
   its multi handle: what was not delivered yet is not delivered.  */
void http_exchange_reset (struct http_exchange *e);

/* Free the handle; it must have been removed from its multi handle.  */
void http_exchange_end (struct http_exchange *e);

/* Free the response and the headers of E.  */
void http_exchange_clear (struct http_exchange *e);

#endif
