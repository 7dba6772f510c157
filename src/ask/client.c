#include "ask/client.h"

#include <curl/curl.h>
#include <glib.h>
#include <string.h>

enum
{
  CONNECT_TIMEOUT_MS = 3000,
  /* The node answers commands within the time limits of the store.  */
  ANSWER_TIMEOUT_MS = 60000,
  ANSWER_BYTES_MAX = 64 * 1024 * 1024
};

struct ask_client
{
  CURL *curl;
  struct curl_slist *headers;
  char *url;
  GString *body;
};

static size_t
receive (char *data, size_t size, size_t count, void *arg)
{
  struct ask_client *client = (struct ask_client *)arg;
  if (client->body->len + size * count > ANSWER_BYTES_MAX)
    return 0;
  g_string_append_len (client->body, data, (gssize)(size * count));
  return size * count;
}

static void
add_header (struct ask_client *client, const char *name, const char *value)
{
  char *header = g_strdup_printf ("%s: %s", name, value);
  client->headers = curl_slist_append (client->headers, header);
  g_free (header);
}

static void
set_options (struct ask_client *client)
{
  CURL *curl = client->curl;
  curl_easy_setopt (curl, CURLOPT_URL, client->url);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, client->headers);
  curl_easy_setopt (curl, CURLOPT_POST, 1L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, receive);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, client);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)ANSWER_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  /* A command must not be sent twice, but libcurl sends a POST again when a
     reused connection is closed.  */
  curl_easy_setopt (curl, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (curl, CURLOPT_FORBID_REUSE, 1L);
}

struct ask_client *
ask_client_new (const struct settings_address *address, const char *who,
                bool json)
{
  bool v6 = strchr (address->host, ':') != NULL;
  struct ask_client *client = g_new0 (struct ask_client, 1);
  client->curl = curl_easy_init ();
  client->body = g_string_new (NULL);
  if (client->curl == NULL)
    {
      ask_client_free (client);
      return NULL;
    }
  client->url
      = g_strdup_printf (v6 ? "http://[%s]:%u/ask" : "http://%s:%u/ask",
                         address->host, address->port);
  add_header (client, "Accept", json ? "application/json" : "text/plain");
  add_header (client, "Content-Type", "text/plain; charset=utf-8");
  add_header (client, "Crocusbend-Operator", who);
  add_header (client, "Expect", "");
  set_options (client);
  return client;
}

void
ask_client_free (struct ask_client *client)
{
  if (client == NULL)
    return;
  curl_easy_cleanup (client->curl);
  curl_slist_free_all (client->headers);
  g_string_free (client->body, TRUE);
  g_free (client->url);
  g_free (client);
}

enum status
ask_client_send (struct ask_client *client, const char *line, size_t length,
                 long *http_status, char **body)
{
  CURL *curl = client->curl;
  long sent_bytes = 0;
  g_string_truncate (client->body, 0);
  curl_easy_setopt (curl, CURLOPT_POSTFIELDS, line);
  curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE, (long)length);
  CURLcode code = curl_easy_perform (curl);
  curl_easy_getinfo (curl, CURLINFO_REQUEST_SIZE, &sent_bytes);
  if (code != CURLE_OK)
    return status_set (sent_bytes > 0 ? STATUS_IN_DOUBT : STATUS_UNAVAILABLE,
                       "%s", curl_easy_strerror (code));
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, http_status);
  *body = g_strdup (client->body->str);
  return STATUS_OK;
}
