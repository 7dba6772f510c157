/* One HTTP transfer of a store client over libcurl: its answer, and the
   promise that a write is sent once.  */

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
  uint32_t sends; /* times that its request was sent or begun to be; counted
                     in the process counters of its kind */
  GString *reply;
  size_t reply_max_bytes; /* bytes of reply */
};

/* Set what all transfers of HANDLE need.  */
void transfer_set_options (CURL *handle);

/* The next transfer of HANDLE is T: it begins with an empty reply.  */
void transfer_begin (CURL *handle, struct transfer *t);

/* What it means that T got no answer from WHERE.  */
enum status transfer_error_status (const struct transfer *t, const char *where,
                                   CURLcode code);

#endif
