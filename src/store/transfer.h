/* One HTTP transfer of a store client with libcurl: collects the response and
   ensures that a write is sent only once.  */

#ifndef STORE_TRANSFER_H
#define STORE_TRANSFER_H

#include "base/status.h"
#include "http/reader.h"
#include <curl/curl.h>
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

enum transfer_kind
{
  TRANSFER_READ,
  TRANSFER_WRITE,
  TRANSFER_WATCH
};

struct transfer
{
  enum transfer_kind kind;
  uint32_t sends; /* times that sending the request was started; each is
                     counted in the process counter of KIND */
  GString *response;
  size_t response_max_bytes;  /* a longer response fails the transfer */
  struct http_reader *reader; /* of the response, until transfer_end */
  bool complete;              /* the response was read completely */
};

/* Set the options that are common to all transfers of HANDLE.  */
void transfer_set_options (CURL *handle);

/* Make T the next transfer of HANDLE, with an empty response.  HANDLE must not
   have been used before: libcurl 7.88 keeps a pointer into the head of its
   last response.  */
void transfer_begin (CURL *handle, struct transfer *t);

/* Make the transfer of HANDLE, with the connections of MULTI.  A response that
   is not well-formed (http/reader.h) or not complete fails it.  */
CURLcode transfer_perform (CURLM *multi, CURL *handle, struct transfer *t);

/* Free what T holds but its response.  */
void transfer_end (struct transfer *t);

/* The status of T, which failed with CODE and has no complete response from
   URL.  It depends on whether the request was sent.  */
enum status transfer_error_status (const struct transfer *t, const char *url,
                                   CURLcode code);

#endif
