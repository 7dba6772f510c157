#include "store/transfer.h"

#include "base/counter.h"
#include "http/bounds.h"

static void
count_send (enum transfer_kind kind)
{
  static const enum counter counters[]
      = { COUNTER_store_reads_total, COUNTER_store_writes_total,
          COUNTER_store_watches_total };
  counter_add (counters[kind], 1);
}

/* Called by libcurl when the connection is established, before it sends the
   request.  libcurl sends a request again by itself if a reused connection
   closes before the response.  The second of two swaps would report a conflict
   with the first, so a write is aborted instead of sent again.  */
static int
on_connected (void *arg, char *ip, char *local_ip, int port, int local_port)
{
  struct transfer *t = arg;
  (void)ip;
  (void)local_ip;
  (void)port;
  (void)local_port;
  if (t->sends > 0 && t->kind == TRANSFER_WRITE)
    return CURL_PREREQFUNC_ABORT;
  t->sends++;
  count_send (t->kind);
  return CURL_PREREQFUNC_OK;
}

static size_t
append_response (char *data, size_t size, size_t count, void *arg)
{
  struct transfer *t = arg;
  size_t n = size * count;
  if (t->response->len + n > t->response_max_bytes)
    return 0;
  g_string_append_len (t->response, data, (gssize)n);
  return n;
}

/* Called by libcurl for each line of the head and for trailers.  */
static size_t
count_head (char *data, size_t size, size_t count, void *arg)
{
  struct transfer *t = arg;
  size_t n = size * count;
  (void)data;
  t->head_length += n;
  return t->head_length > HTTP_HEAD_BYTES_MAX ? 0 : n;
}

void
transfer_set_options (CURL *handle)
{
  curl_easy_setopt (handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (handle, CURLOPT_PROXY, "");
  curl_easy_setopt (handle, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (handle, CURLOPT_WRITEFUNCTION, append_response);
  curl_easy_setopt (handle, CURLOPT_HEADERFUNCTION, count_head);
  curl_easy_setopt (handle, CURLOPT_PREREQFUNCTION, on_connected);
}

void
transfer_begin (CURL *handle, struct transfer *t)
{
  curl_easy_setopt (handle, CURLOPT_WRITEDATA, t);
  curl_easy_setopt (handle, CURLOPT_HEADERDATA, t);
  curl_easy_setopt (handle, CURLOPT_PREREQDATA, t);
  t->sends = 0;
  t->head_length = 0;
  g_string_truncate (t->response, 0);
}

enum status
transfer_error_status (const struct transfer *t, const char *url,
                       CURLcode code)
{
  const char *problem = curl_easy_strerror (code);
  if (t->sends == 0)
    return status_set (STATUS_UNAVAILABLE, "%s: %s, nothing was sent", url,
                       problem);
  if (t->kind == TRANSFER_WRITE)
    return status_set (STATUS_IN_DOUBT, "%s: %s after the request was sent",
                       url, problem);
  return status_set (t->kind == TRANSFER_WATCH ? STATUS_UNAVAILABLE
                                               : STATUS_TIMEOUT,
                     "%s: %s, no response", url, problem);
}
