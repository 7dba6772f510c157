#include "report/fetch.h"

#include <curl/curl.h>
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  BODY_BYTES_MAX = 64 * 1024 * 1024,
  HTTP_OK = 200
};

struct body
{
  char *text;
  size_t bytes;
};

/* Append received data to the body.  libcurl aborts the transfer when this
   returns less than TOTAL.  */
static size_t
append_data (char *data, size_t size, size_t count, void *context)
{
  struct body *b = context;
  size_t total = size * count;
  if (b->bytes + total > BODY_BYTES_MAX)
    return 0;
  char *grown = realloc (b->text, b->bytes + total + 1);
  if (grown == NULL)
    return 0;
  b->text = grown;
  memcpy (b->text + b->bytes, data, total);
  b->bytes += total;
  b->text[b->bytes] = '\0';
  return total;
}

enum status
fetch_url (const char *url, long timeout_ms, char **body)
{
  struct body b = { 0 };
  long code = 0;
  *body = NULL;
  CURL *curl = curl_easy_init ();
  if (curl == NULL)
    return status_set (STATUS_NO_MEMORY, "%s: no memory", url);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, timeout_ms);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_data);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &b);
  CURLcode result = curl_easy_perform (curl);
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &code);
  curl_easy_cleanup (curl);
  if (result == CURLE_OK && code == HTTP_OK && b.text != NULL)
    {
      *body = b.text;
      return STATUS_OK;
    }
  free (b.text);
  if (result != CURLE_OK)
    return status_set (STATUS_UNAVAILABLE, "%s: %s", url,
                       curl_easy_strerror (result));
  return status_set (STATUS_UNAVAILABLE, "%s: HTTP status %ld", url, code);
}

enum status
fetch_file (const char *path, char **body)
{
  GError *error = NULL;
  gchar *text = NULL;
  *body = NULL;
  if (!g_file_get_contents (path, &text, NULL, &error))
    {
      enum status s
          = status_set (STATUS_NOT_FOUND, "%s: %s", path, g_strerror (errno));
      g_error_free (error);
      return s;
    }
  *body = strdup (text);
  g_free (text);
  return *body != NULL ? STATUS_OK
                       : status_set (STATUS_NO_MEMORY, "%s: no memory", path);
}
