#include "store/transfer.h"

#include "base/counter.h"

enum
{
  POLL_MAX_MS = 1000
};

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

static bool
on_body (void *arg, const char *data, size_t length)
{
  struct transfer *t = arg;
  if (t->response->len + length > t->response_max_bytes)
    return false;
  g_string_append_len (t->response, data, (gssize)length);
  return true;
}

static void
on_complete (void *arg)
{
  struct transfer *t = arg;
  t->complete = !http_reader_is_interim (t->reader);
  if (t->complete)
    http_reader_pause (t->reader);
}

static const struct http_reader_ops reader_ops
    = { .body = on_body, .complete = on_complete };

/* Called by libcurl for each line of a head and for what follows it, as they
   were received.  */
static size_t
read_response (char *data, size_t size, size_t count, void *arg)
{
  struct transfer *t = arg;
  size_t length = size * count;
  if (!t->complete)
    http_reader_feed (t->reader, data, length);
  return http_reader_fault (t->reader) == HTTP_FAULT_NONE ? length : 0;
}

void
transfer_set_options (CURL *handle)
{
  curl_easy_setopt (handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (handle, CURLOPT_PROXY, "");
  curl_easy_setopt (handle, CURLOPT_PROTOCOLS_STR, "http");
  /* The reader decodes the chunks, whose frames libcurl does not check.  */
  curl_easy_setopt (handle, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
  curl_easy_setopt (handle, CURLOPT_WRITEFUNCTION, read_response);
  curl_easy_setopt (handle, CURLOPT_HEADERFUNCTION, read_response);
  curl_easy_setopt (handle, CURLOPT_PREREQFUNCTION, on_connected);
}

void
transfer_begin (CURL *handle, struct transfer *t)
{
  curl_easy_setopt (handle, CURLOPT_WRITEDATA, t);
  curl_easy_setopt (handle, CURLOPT_HEADERDATA, t);
  curl_easy_setopt (handle, CURLOPT_PREREQDATA, t);
  t->sends = 0;
  t->complete = false;
  transfer_end (t);
  t->reader = http_reader_new (HTTP_READ_RESPONSES, &reader_ops, t);
  g_string_truncate (t->response, 0);
}

static CURLcode
run_transfer (CURLM *multi)
{
  CURLMsg *message;
  CURLcode code = CURLE_FAILED_INIT;
  int running = 1;
  int left;
  while (curl_multi_perform (multi, &running) == CURLM_OK && running > 0)
    curl_multi_poll (multi, NULL, 0, POLL_MAX_MS, NULL);
  while ((message = curl_multi_info_read (multi, &left)) != NULL)
    if (message->msg == CURLMSG_DONE)
      code = message->data.result;
  return code;
}

CURLcode
transfer_perform (CURLM *multi, CURL *handle, struct transfer *t)
{
  if (curl_multi_add_handle (multi, handle) != CURLM_OK)
    return CURLE_FAILED_INIT;
  CURLcode code = run_transfer (multi);
  curl_multi_remove_handle (multi, handle);
  if (code == CURLE_OK && !t->complete
      && (!http_reader_end (t->reader) || !t->complete))
    code = CURLE_PARTIAL_FILE;
  return code;
}

void
transfer_end (struct transfer *t)
{
  http_reader_free (t->reader);
  t->reader = NULL;
}

enum status
transfer_error_status (const struct transfer *t, const char *url,
                       CURLcode code)
{
  enum http_fault fault
      = t->reader == NULL ? HTTP_FAULT_NONE : http_reader_fault (t->reader);
  const char *problem = fault == HTTP_FAULT_NONE ? curl_easy_strerror (code)
                                                 : "malformed response";
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
