#include "load/exchange.h"

#include "base/clock.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  URL_BYTES = 512,
  TOKEN_BYTES = 40,
  HEADER_BYTES = 128,
  ANSWER_BYTES_MAX = 16384, /* stored part of an answer */
  DEADLINE_GRACE_MS = 1000, /* time after the deadline for the answer */
  DEFAULT_TIMEOUT_MS = 5000 /* without a deadline */
};

struct exchange_shared
{
  const struct load_options *options;
  const struct workload *workload;
  uint32_t run_id; /* distinguishes the tokens of different runs */
  char *body;
  struct curl_slist *headers[LOAD_ORGANISATIONS_MAX][2]; /* [][is write] */
};

struct exchange
{
  struct exchange_shared *shared;
  CURL *easy;
  struct workload_choice choice;
  struct journal_request request;
  struct curl_slist *direct_headers; /* NULL unless the load is direct */
  int64_t due_ns;
  int send_count; /* how often libcurl started to send the request */
  json_t *parsed_answer;
  size_t answer_bytes;
  char token[TOKEN_BYTES];
  char url[URL_BYTES];
  char answer[ANSWER_BYTES_MAX];
};

static struct curl_slist *
append_header (struct curl_slist *list, const char *name, const char *value)
{
  char line[HEADER_BYTES];
  snprintf (line, sizeof line, "%s: %s", name, value);
  struct curl_slist *longer = curl_slist_append (list, line);
  return longer == NULL ? list : longer;
}

static struct curl_slist *
make_headers (const struct load_options *o, uint32_t organisation, bool write)
{
  char number[16];
  struct curl_slist *list = NULL;
  list = append_header (list, "Crocusbend-Organisation",
                        o->organisations[organisation].name);
  if (o->deadline_ms > 0)
    {
      snprintf (number, sizeof number, "%d", o->deadline_ms);
      list = append_header (list, "Crocusbend-Deadline-Ms", number);
    }
  if (!write)
    return list;
  list = append_header (list, "Crocusbend-Idempotent", "no");
  list = append_header (list, "Content-Type", "text/plain");
  return curl_slist_append (list, "Expect:");
}

struct exchange_shared *
exchange_shared_new (const struct load_options *o, const struct workload *w)
{
  struct exchange_shared *s = calloc (1, sizeof *s);
  if (s == NULL)
    return NULL;
  s->options = o;
  s->workload = w;
  s->run_id
      = (uint32_t)(clock_now_ns () / NS_PER_US) ^ ((uint32_t)getpid () << 20);
  s->body = malloc ((size_t)o->body_bytes);
  if (s->body == NULL)
    {
      free (s);
      return NULL;
    }
  memset (s->body, 'x', (size_t)o->body_bytes);
  for (uint32_t i = 0; i < o->organisation_count; i++)
    for (int write = 0; write < 2; write++)
      s->headers[i][write] = make_headers (o, i, write == 1);
  return s;
}

void
exchange_shared_free (struct exchange_shared *s)
{
  if (s == NULL)
    return;
  for (uint32_t i = 0; i < s->options->organisation_count; i++)
    for (int write = 0; write < 2; write++)
      curl_slist_free_all (s->headers[i][write]);
  free (s->body);
  free (s);
}

static size_t
receive_answer (char *data, size_t size, size_t count, void *arg)
{
  struct exchange *x = arg;
  size_t bytes = size * count;
  size_t space = ANSWER_BYTES_MAX - x->answer_bytes;
  size_t kept = bytes < space ? bytes : space;
  memcpy (x->answer + x->answer_bytes, data, kept);
  x->answer_bytes += kept;
  return bytes;
}

/* Called by libcurl each time it is about to send the request.  Aborts when a
   non-idempotent request would be sent again.  */
static int
before_send (void *arg, char *remote, char *local, int remote_port,
             int local_port)
{
  struct exchange *x = arg;
  (void)remote;
  (void)local;
  (void)remote_port;
  (void)local_port;
  if (x->send_count > 0 && x->request.write)
    return CURL_PREREQFUNC_ABORT;
  x->send_count++;
  return CURL_PREREQFUNC_OK;
}

struct exchange *
exchange_new (struct exchange_shared *s, void *private_pointer)
{
  const struct load_options *o = s->options;
  struct exchange *x = calloc (1, sizeof *x);
  if (x == NULL)
    return NULL;
  x->shared = s;
  x->easy = curl_easy_init ();
  if (x->easy == NULL)
    {
      free (x);
      return NULL;
    }
  long timeout_ms = o->deadline_ms > 0 ? o->deadline_ms + DEADLINE_GRACE_MS
                                       : DEFAULT_TIMEOUT_MS;
  curl_easy_setopt (x->easy, CURLOPT_PRIVATE, private_pointer);
  curl_easy_setopt (x->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (x->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (x->easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (x->easy, CURLOPT_TIMEOUT_MS, timeout_ms);
  curl_easy_setopt (x->easy, CURLOPT_WRITEFUNCTION, receive_answer);
  curl_easy_setopt (x->easy, CURLOPT_WRITEDATA, x);
  curl_easy_setopt (x->easy, CURLOPT_PREREQFUNCTION, before_send);
  curl_easy_setopt (x->easy, CURLOPT_PREREQDATA, x);
  return x;
}

void
exchange_free (struct exchange *x)
{
  if (x == NULL)
    return;
  curl_easy_cleanup (x->easy);
  curl_slist_free_all (x->direct_headers);
  json_decref (x->parsed_answer);
  free (x);
}

CURL *
exchange_handle (struct exchange *x)
{
  return x->easy;
}

static void
reset (struct exchange *x)
{
  curl_slist_free_all (x->direct_headers);
  x->direct_headers = NULL;
  json_decref (x->parsed_answer);
  x->parsed_answer = NULL;
  x->answer_bytes = 0;
  x->send_count = 0;
}

/* Make the headers of a request to a target, including those that a node would
   add.  */
static struct curl_slist *
make_direct_headers (struct exchange *x)
{
  const struct load_options *o = x->shared->options;
  char id[32];
  struct curl_slist *list
      = make_headers (o, x->choice.organisation, x->choice.write);
  snprintf (id, sizeof id, "%08" PRIx32 "%08" PRIx32, x->shared->run_id,
            (uint32_t)x->request.number);
  list = append_header (list, "Crocusbend-Request-Id", id);
  list = append_header (list, "Crocusbend-Slot", "0");
  list = append_header (list, "Crocusbend-Epoch", "1");
  return x->choice.write
             ? list
             : append_header (list, "Crocusbend-Idempotent", "yes");
}

static void
set_method (struct exchange *x)
{
  if (!x->choice.write)
    {
      curl_easy_setopt (x->easy, CURLOPT_HTTPGET, 1L);
      return;
    }
  curl_easy_setopt (x->easy, CURLOPT_POST, 1L);
  curl_easy_setopt (x->easy, CURLOPT_POSTFIELDSIZE,
                    (long)x->shared->options->body_bytes);
  curl_easy_setopt (x->easy, CURLOPT_POSTFIELDS, x->shared->body);
}

void
exchange_prepare (struct exchange *x, uint64_t number,
                  const struct workload_choice *choice, int64_t due_ns,
                  int64_t now_ns)
{
  struct exchange_shared *s = x->shared;
  const struct load_options *o = s->options;
  reset (x);
  x->choice = *choice;
  x->due_ns = due_ns;
  x->request.number = number;
  x->request.token = x->token;
  x->request.key = workload_key_name (s->workload, choice->key);
  x->request.node = o->nodes[number % o->node_count];
  x->request.write = choice->write;
  x->request.send_ns = now_ns;
  snprintf (x->token, sizeof x->token, "%08" PRIx32 "-%" PRIu64, s->run_id,
            number);
  snprintf (x->url, sizeof x->url, "http://%s/v1/%s/%s?token=%s",
            x->request.node, o->service, x->request.key, x->token);
  curl_easy_setopt (x->easy, CURLOPT_URL, x->url);
  if (o->direct)
    x->direct_headers = make_direct_headers (x);
  curl_easy_setopt (
      x->easy, CURLOPT_HTTPHEADER,
      o->direct ? x->direct_headers
                : s->headers[choice->organisation][choice->write ? 1 : 0]);
  set_method (x);
}

const struct journal_request *
exchange_request (const struct exchange *x)
{
  return &x->request;
}

/* Return the value of header NAME of the answer, or NULL.  */
static const char *
answer_header (struct exchange *x, const char *name)
{
  struct curl_header *h;
  if (curl_easy_header (x->easy, name, 0, CURLH_HEADER, -1, &h) != CURLHE_OK)
    return NULL;
  return h->value;
}

static enum load_outcome
classify_answer (struct exchange *x, const char **reason)
{
  const char *outcome = answer_header (x, "Crocusbend-Outcome");
  const char *reason_header = answer_header (x, "Crocusbend-Reason");
  if (reason_header != NULL)
    *reason = reason_header;
  if (outcome == NULL && x->shared->options->direct)
    return answer_header (x, "Crocusbend-Not-Run") == NULL ? OUTCOME_ANSWERED
                                                           : OUTCOME_NOT_RUN;
  for (int i = 0; outcome != NULL && i <= OUTCOME_UNKNOWN; i++)
    if (strcmp (outcome, load_outcome_name ((enum load_outcome)i)) == 0)
      return (enum load_outcome)i;
  *reason = "no-outcome-header";
  return OUTCOME_UNKNOWN;
}

static enum load_outcome
classify_failure (const struct exchange *x, CURLcode code, const char **reason)
{
  *reason = code == CURLE_OPERATION_TIMEDOUT    ? "caller-timeout"
            : code == CURLE_ABORTED_BY_CALLBACK ? "connection-closed"
            : code == CURLE_COULDNT_CONNECT     ? "connect"
            : code == CURLE_PARTIAL_FILE        ? "answer-cut"
            : code == CURLE_TOO_MANY_REDIRECTS  ? "redirect"
            : code == CURLE_GOT_NOTHING         ? "connection-closed"
            : code == CURLE_RECV_ERROR          ? "connection-reset"
            : code == CURLE_SEND_ERROR          ? "connection-reset"
                                                : "transfer";
  return x->send_count == 0 ? OUTCOME_UNSENT : OUTCOME_LOST;
}

/* Check that the body of the answer echoes the token of the request, and read
   the target and request id from it.  */
static void
check_body (struct exchange *x, struct load_result *result,
            struct journal_answer *answer)
{
  x->parsed_answer = json_loadb (x->answer, x->answer_bytes, 0, NULL);
  const char *path
      = json_string_value (json_object_get (x->parsed_answer, "path"));
  result->unchecked = path == NULL;
  answer->echoed = path != NULL && strstr (path, x->token) != NULL;
  result->foreign = path != NULL && !answer->echoed;
  result->target
      = json_string_value (json_object_get (x->parsed_answer, "target"));
  answer->request_id
      = json_string_value (json_object_get (x->parsed_answer, "id"));
}

void
exchange_finish (struct exchange *x, CURLcode code, int64_t now_ns,
                 struct load_result *result, struct journal_answer *answer)
{
  long status = 0;
  memset (result, 0, sizeof *result);
  memset (answer, 0, sizeof *answer);
  answer->result = result;
  result->key = x->choice.key;
  result->organisation = x->choice.organisation;
  result->reason = "";
  result->due_ns = x->due_ns;
  result->end_ns = now_ns;
  if (code != CURLE_OK)
    {
      result->outcome = classify_failure (x, code, &result->reason);
      return;
    }
  curl_easy_getinfo (x->easy, CURLINFO_RESPONSE_CODE, &status);
  result->status = (int)status;
  result->outcome = classify_answer (x, &result->reason);
  if (result->outcome == OUTCOME_ANSWERED)
    check_body (x, result, answer);
}
