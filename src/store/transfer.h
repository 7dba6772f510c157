/* One HTTP transfer of a store client with libcurl: collects the response and
   ensures that a write is sent only once.  */

#ifndef STORE_TRANSFER_H
#define STORE_TRANSFER_H

#include "base/status.h"
#include <curl/curl.h>
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

enum call_kind
{
  CALL_READ,
  CALL_WRITE,
  CALL_WATCH
};

struct transfer
{
  enum call_kind kind;
  uint32_t sends; /* times that sending the request was started; each is
                     counted in the process counter of KIND */
  GString *reply;
  size_t reply_max_bytes; /* a longer reply fails the transfer */
};

/* Set the options that are common to all transfers of HANDLE.  */
void transfer_set_options (CURL *handle);

/* Make T the next transfer of HANDLE, with an empty reply.  */
void transfer_begin (CURL *handle, struct transfer *t);

/* The status of T, which failed with CODE and has no complete response from
   URL.  It depends on whether the request was sent.  */
enum status transfer_error_status (const struct transfer *t, const char *url,
                                   CURLcode code);

#endif
