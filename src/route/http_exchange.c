#include "route/http_exchange.h"
#include "base/clock.h"
#include "http/net.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum
{
  URL_BYTES = REQUEST_PATH_BYTES + 128,
  HEADER_BYTES = 256,
  BODY_INITIAL_BYTES = 1024
};

/* The response.  */

static bool
on_start (void *arg, const struct http_start_line *line)
{
  struct http_exchange *e = arg;
  (void)line;
  e->content_type[0] = '\0';
  e->not_run = false;
  return true;
}

static bool
name_is (const char *name, size_t length, const char *expected)
{
  return length == strlen (expected)
         && strncasecmp (name, expected, length) == 0;
}

static bool
on_field (void *arg, const char *name, size_t name_length, const char *value,
          size_t value_length)
{
  struct http_exchange *e = arg;
  if (name_is (name, name_length, "Content-Type")
      && value_length < sizeof e->content_type)
    {
      memcpy (e->content_type, value, value_length);
      e->content_type[value_length] = '\0';
    }
  else if (name_is (name, name_length, "Crocusbend-Not-Run"))
    e->not_run = name_is (value, value_length, "yes");
  return true;
}

static bool
on_head (void *arg)
{
  struct http_exchange *e = arg;
  if (strcmp (e->request->method, "HEAD") == 0)
    http_reader_skip_body (e->reader);
  return true;
}

static bool
on_body (void *arg, const char *data, size_t length)
{
  struct http_exchange *e = arg;
  size_t limit = e->settings->body_bytes_max;
  if (length > limit - e->body_length)
    {
      e->answer_too_large = true;
      return false;
    }
  size_t room = e->body_capacity > 0 ? e->body_capacity : BODY_INITIAL_BYTES;
  while (room < e->body_length + length)
    room *= 2;
  if (room != e->body_capacity)
    {
      char *grown = realloc (e->body, room);
      if (grown == NULL)
        return false;
      e->body = grown;
      e->body_capacity = room;
    }
  memcpy (e->body + e->body_length, data, length);
  e->body_length += length;
  return true;
}

static void
on_complete (void *arg)
{
  struct http_exchange *e = arg;
  if (http_reader_is_interim (e->reader))
    return;
  e->complete = true;
  http_reader_pause (e->reader);
}

static const struct http_reader_ops reader_ops = {
  .start = on_start,
  .field = on_field,
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
};

/* Read LENGTH bytes of the response and return how many libcurl may take for
   accepted.  */
static size_t
read_response (struct http_exchange *e, const char *data, size_t length)
{
  size_t read = e->complete ? 0 : http_reader_feed (e->reader, data, length);
  if (e->complete && read < length)
    {
      /* Bytes after the complete response belong to no request.  */
      curl_easy_setopt (e->easy, CURLOPT_FORBID_REUSE, 1L);
      return length;
    }
  if (http_fault_is_bound (http_reader_fault (e->reader)))
    e->answer_too_large = true;
  return http_reader_fault (e->reader) == HTTP_FAULT_NONE ? length : 0;
}

/* Called by libcurl for the lines of heads, as they were received.  */
static size_t
on_head_line (char *data, size_t size, size_t count, void *arg)
{
  struct http_exchange *e = arg;
  e->head_length += size * count;
  return read_response (e, data, size * count);
}

/* Called by libcurl for what follows the head, as it was received.  */
static size_t
on_rest (char *data, size_t size, size_t count, void *arg)
{
  return read_response (arg, data, size * count);
}

/* Called by libcurl directly before the first byte of a request is sent.  */
static int
on_before_send (void *arg, char *remote_ip, char *local_ip, int remote_port,
                int local_port)
{
  struct http_exchange *e = arg;
  (void)remote_ip;
  (void)local_ip;
  (void)remote_port;
  (void)local_port;
  if (e->send_count > 0 && !e->request->idempotent)
    {
      e->resend_stopped = true;
      return CURL_PREREQFUNC_ABORT;
    }
  if (!map_may_send (e->map, e->owner, clock_now_ns ()))
    {
      e->lease_lapsed = true;
      return CURL_PREREQFUNC_ABORT;
    }
  e->send_count++;
  return CURL_PREREQFUNC_OK;
}

static void add_header (struct http_exchange *e, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
add_header (struct http_exchange *e, const char *fmt, ...)
{
  char line[HEADER_BYTES];
  va_list args;
  va_start (args, fmt);
  vsnprintf (line, sizeof line, fmt, args);
  va_end (args);
  struct curl_slist *grown = curl_slist_append (e->headers, line);
  if (grown != NULL)
    e->headers = grown;
}

static void
add_headers (struct http_exchange *e, int64_t left_ms)
{
  const struct request *r = e->request;
  add_header (e, "Crocusbend-Request-Id: %016" PRIx64, r->id);
  add_header (e, "Crocusbend-Organisation: %s", r->organisation);
  add_header (e, "Crocusbend-Slot: %" PRIu32, e->owner->slot);
  add_header (e, "Crocusbend-Epoch: %" PRIu64, e->owner->epoch);
  add_header (e, "Crocusbend-Deadline-Ms: %" PRId64, left_ms);
  add_header (e, "Crocusbend-Expires-Ns: %" PRId64, r->deadline_ns);
  add_header (e, "Crocusbend-Depth: %u", r->depth);
  add_header (e, "Crocusbend-Idempotent: %s", r->idempotent ? "yes" : "no");
  if (r->content_type[0] != '\0')
    add_header (e, "Content-Type: %s", r->content_type);
  else
    add_header (e, "Content-Type:");
  add_header (e, "Expect:");
  add_header (e, "Accept:");
}

static void
set_method (struct http_exchange *e)
{
  const struct request *r = e->request;
  if (strcmp (r->method, "HEAD") == 0)
    curl_easy_setopt (e->easy, CURLOPT_NOBODY, 1L);
  else if (strcmp (r->method, "GET") != 0)
    curl_easy_setopt (e->easy, CURLOPT_CUSTOMREQUEST, r->method);
  bool has_body = r->body_length > 0 || strcmp (r->method, "POST") == 0
                  || strcmp (r->method, "PUT") == 0;
  if (!has_body)
    return;
  curl_easy_setopt (e->easy, CURLOPT_POSTFIELDS,
                    r->body != NULL ? r->body : "");
  curl_easy_setopt (e->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                    (curl_off_t)r->body_length);
  if (strcmp (r->method, "GET") == 0)
    curl_easy_setopt (e->easy, CURLOPT_CUSTOMREQUEST, "GET");
}

static void
set_options (struct http_exchange *e, int64_t left_ms)
{
  const struct settings_address *to = &e->settings->target;
  char url[URL_BYTES];
  snprintf (url, sizeof url, "http://%s:%u%s", to->host, to->port,
            e->request->path);
  curl_easy_setopt (e->easy, CURLOPT_URL, url);
  curl_easy_setopt (e->easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (e->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (e->easy, CURLOPT_HTTP_VERSION,
                    (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (e->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (e->easy, CURLOPT_TIMEOUT_MS, (long)left_ms);
  curl_easy_setopt (e->easy, CURLOPT_HTTPHEADER, e->headers);
  /* The reader decodes the chunks, whose frames libcurl does not check.  */
  curl_easy_setopt (e->easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
  curl_easy_setopt (e->easy, CURLOPT_WRITEFUNCTION, on_rest);
  curl_easy_setopt (e->easy, CURLOPT_WRITEDATA, e);
  curl_easy_setopt (e->easy, CURLOPT_HEADERFUNCTION, on_head_line);
  curl_easy_setopt (e->easy, CURLOPT_HEADERDATA, e);
  curl_easy_setopt (e->easy, CURLOPT_PREREQFUNCTION, on_before_send);
  curl_easy_setopt (e->easy, CURLOPT_PREREQDATA, e);
  curl_easy_setopt (e->easy, CURLOPT_PRIVATE, e->user);
  set_method (e);
}

bool
http_exchange_begin (struct http_exchange *e, int64_t left_ms)
{
  /* A handle that was used before keeps a pointer into the head of its last
     response, which libcurl 7.88 reads when the first line of the next head
     begins with a blank.  */
  e->easy = curl_easy_init ();
  if (e->easy == NULL)
    return false;
  e->reader = http_reader_new (HTTP_READ_RESPONSES, &reader_ops, e);
  add_headers (e, left_ms);
  set_options (e, left_ms);
  return true;
}

CURLcode
http_exchange_result (struct http_exchange *e, CURLcode code)
{
  if (code != CURLE_OK || e->complete)
    return code;
  return http_reader_end (e->reader) && e->complete ? CURLE_OK
                                                    : CURLE_PARTIAL_FILE;
}

const char *
http_exchange_fault (const struct http_exchange *e, CURLcode code)
{
  enum http_fault fault = http_reader_fault (e->reader);
  if (fault != HTTP_FAULT_NONE && fault != HTTP_FAULT_END
      && fault != HTTP_FAULT_REFUSED && !http_fault_is_bound (fault))
    return http_fault_word (fault);
  /* libcurl refused it before the reader saw it.  */
  return code == CURLE_WEIRD_SERVER_REPLY || code == CURLE_UNSUPPORTED_PROTOCOL
             ? http_fault_word (HTTP_FAULT_START_LINE)
             : NULL;
}

void
http_exchange_reset (struct http_exchange *e)
{
  curl_socket_t fd;
  if (curl_easy_getinfo (e->easy, CURLINFO_ACTIVESOCKET, &fd) == CURLE_OK
      && fd != CURL_SOCKET_BAD)
    net_reset_at_close (fd);
}

void
http_exchange_end (struct http_exchange *e)
{
  curl_easy_cleanup (e->easy);
  e->easy = NULL;
}

void
http_exchange_clear (struct http_exchange *e)
{
  curl_slist_free_all (e->headers);
  free (e->body);
  http_reader_free (e->reader);
  e->reader = NULL;
  e->headers = NULL;
  e->body = NULL;
}
