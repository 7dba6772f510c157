#include "route/http_exchange.h"
#include "base/clock.h"
#include "http/bounds.h"
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
  BODY_INITIAL_BYTES = 1024,
  HEAD_LINES = 2 /* of a head that are no fields: the first and the last */
};

static size_t
on_body (char *data, size_t size, size_t count, void *arg)
{
  struct http_exchange *e = arg;
  size_t length = size * count;
  size_t limit = e->settings->body_bytes_max;
  if (length > limit - e->body_length)
    {
      e->answer_too_large = true;
      return 0;
    }
  size_t room = e->body_capacity > 0 ? e->body_capacity : BODY_INITIAL_BYTES;
  while (room < e->body_length + length)
    room *= 2;
  if (room != e->body_capacity)
    {
      char *grown = realloc (e->body, room);
      if (grown == NULL)
        return 0;
      e->body = grown;
      e->body_capacity = room;
    }
  memcpy (e->body + e->body_length, data, length);
  e->body_length += length;
  return length;
}

/* Copy the value of header NAME in LINE of LENGTH bytes to VALUE.  False when
   LINE is another header or the value does not fit.  */
static bool
read_header (const char *line, size_t length, const char *name, char *value,
             size_t room)
{
  size_t name_length = strlen (name);
  if (length <= name_length || strncasecmp (line, name, name_length) != 0
      || line[name_length] != ':')
    return false;
  const char *start = line + name_length + 1;
  const char *end = line + length;
  while (start < end && (*start == ' ' || *start == '\t'))
    start++;
  while (end > start && (end[-1] == '\r' || end[-1] == '\n' || end[-1] == ' '))
    end--;
  if ((size_t)(end - start) >= room)
    return false;
  memcpy (value, start, (size_t)(end - start));
  value[end - start] = '\0';
  return true;
}

static size_t
on_header (char *data, size_t size, size_t count, void *arg)
{
  struct http_exchange *e = arg;
  size_t length = size * count;
  char not_run_value[8];
  /* Trailers and the heads of interim responses count as well.  */
  e->head_length += length;
  e->line_count++;
  if (data[0] == '\r' || data[0] == '\n')
    e->head_complete = true;
  else if (length > 5 && strncmp (data, "HTTP/", 5) == 0)
    e->head_complete = false; /* after an interim response */
  if (e->head_length > HTTP_HEAD_BYTES_MAX
      || e->line_count > HTTP_FIELDS_MAX + HEAD_LINES)
    {
      e->answer_too_large = true;
      return 0;
    }
  read_header (data, length, "Content-Type", e->content_type,
               sizeof e->content_type);
  if (read_header (data, length, "Crocusbend-Not-Run", not_run_value,
                   sizeof not_run_value))
    e->not_run = strcasecmp (not_run_value, "yes") == 0;
  return length;
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
  curl_easy_setopt (e->easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (e->easy, CURLOPT_WRITEDATA, e);
  curl_easy_setopt (e->easy, CURLOPT_HEADERFUNCTION, on_header);
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
  add_headers (e, left_ms);
  set_options (e, left_ms);
  return true;
}

CURLcode
http_exchange_result (const struct http_exchange *e, CURLcode code)
{
  return code == CURLE_OK && !e->head_complete ? CURLE_PARTIAL_FILE : code;
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
  e->headers = NULL;
  e->body = NULL;
}
