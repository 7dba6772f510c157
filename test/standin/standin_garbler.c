/* Stands in front of a target and spoils its answers.

   standin_garbler CONTROL_PORT {PORT:TARGET_PORT}...

   All addresses are on 127.0.0.1.  Connections to PORT are passed on to
   TARGET_PORT; what is read from the target at once is one answer.  On the
   control port, POST /FAULT=N spoils the next N answers, of those to calls
   whose first line has the text T after POST /match=T, in one way:

     late       a copy comes at the point where the next answer is expected
     double     a copy follows at once
     cut        the connection ends within it
     none       the connection ends before it
     junk       bytes that are no answer come instead
     anonymous  it comes without the id of its request
     refuse     the call is not passed on but refused without an id, and a copy
                of that comes when a call that has not T is answered next
     swallow    the call is not passed on, and the copies that are late on any
                connection answer it
     body       it has a body without end
     chunks     it has chunks without end
     head       it has a head without end
     fields     it has header fields without end
     interim    interim answers come without end
     rewrite    it is the body of the command, in which {fields}, {length} and
                {body} stand for the fields of the answer but its length, the
                field of that, and the body; after {reset} the connection is
                reset, after {end} it is closed in an orderly way

   POST /early=N answers the next N such calls here, by their heads, while
   their bodies are still sent; POST /delay=MS is the time from there to a
   reset.

   POST /random=SEED spoils one answer in RANDOM_SHARE at random, until POST
   /calm; POST /count is answered with "spoiled N".  An answer without end is
   sent until the node closes the connection.  */

#include <glib.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "http/net.h"
#include "http/server.h"

enum
{
  ROUTES_MAX = 16,
  RANDOM_SHARE = 12,
  BLOCK_BYTES = 65536,
  LIMIT_BYTES = 1 << 20,
  CONTROL_TIMEOUT_MS = 5000
};

enum fault
{
  LATE,
  DOUBLE,
  CUT,
  NONE,
  JUNK,
  ANONYMOUS,
  REFUSE,
  SWALLOW,
  BODY,
  CHUNKS,
  HEAD,
  FIELDS,
  INTERIM,
  REWRITE,
  EARLY,
  FAULT_COUNT
};

static const char *const fault_names[FAULT_COUNT]
    = { "late",      "double", "cut",     "none",    "junk",
        "anonymous", "refuse", "swallow", "body",    "chunks",
        "head",      "fields", "interim", "rewrite", "early" };
static const char refusal[] = "HTTP/1.1 421 Misdirected\r\n"
                              "Crocusbend-Not-Executed: 1\r\n"
                              "Content-Length: 0\r\n\r\n";

/* What begins an answer without end, and what it goes on with.  */
static const char *const endless_begin[FAULT_COUNT]
    = { [BODY] = "HTTP/1.1 200 OK\r\n\r\n",
        [CHUNKS] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        [HEAD] = "HTTP/1.1 200 OK\r\nX-Long: ",
        [FIELDS] = "HTTP/1.1 200 OK\r\n",
        [INTERIM] = "" };
static const char *const endless_rest[FAULT_COUNT]
    = { [BODY] = "0123456789abcdef",
        [CHUNKS] = "10\r\n0123456789abcdef\r\n",
        [HEAD] = "0123456789abcdef",
        [FIELDS] = "X-Field: 0123456789abcdef\r\n",
        [INTERIM] = "HTTP/1.1 100 Continue\r\n\r\n" };

struct route
{
  uv_tcp_t listener;
  unsigned target_port;
};

/* A connection of the node and the one to the target.  */
struct pair
{
  uv_tcp_t node;
  uv_tcp_t target;
  uv_connect_t connect;
  uv_timer_t reset_timer;
  GString *early;    /* read from the node before the target was connected */
  GString *late;     /* comes before the next answer; NULL: nothing */
  bool late_refusal; /* it is a copy of a refusal */
  bool matches;      /* the last call does */
  bool connected;
  bool closed;
  bool endless;
  bool discards; /* what the node still sends */
  unsigned open_handles;
  enum fault fault; /* of an endless answer */
};

static uv_loop_t loop;
static const struct http_limits limits
    = { LIMIT_BYTES, LIMIT_BYTES, CONTROL_TIMEOUT_MS, CONTROL_TIMEOUT_MS };
static unsigned left[FAULT_COUNT];
static char match[128];
static GString *template; /* of rewritten answers */
static unsigned reset_delay_ms;
static GString *last_late; /* the last answer that is late */
static GRand *generator;   /* NULL: nothing is spoiled at random */
static unsigned spoiled;

static void
on_closed (uv_handle_t *handle)
{
  struct pair *p = handle->data;
  if (--p->open_handles > 0)
    return;
  g_string_free (p->early, TRUE);
  if (p->late != NULL)
    g_string_free (p->late, TRUE);
  g_free (p);
}

static void
close_pair (struct pair *p)
{
  if (p->closed)
    return;
  p->closed = true;
  uv_close ((uv_handle_t *)&p->node, on_closed);
  uv_close ((uv_handle_t *)&p->target, on_closed);
  uv_close ((uv_handle_t *)&p->reset_timer, on_closed);
}

static void
send_text (uv_tcp_t *to, const char *text, size_t length)
{
  net_send ((uv_stream_t *)to, g_string_new_len (text, (gssize)length));
}

/* Rewritten answers.  */

static void
on_reset_timer (uv_timer_t *timer)
{
  struct pair *p = timer->data;
  uv_os_fd_t fd;
  if (uv_fileno ((uv_handle_t *)&p->node, &fd) == 0)
    net_reset_at_close (fd);
  close_pair (p);
}

static void
on_shut_down (uv_shutdown_t *request, int status)
{
  (void)status;
  g_free (request);
}

static void
end_orderly (struct pair *p)
{
  uv_shutdown_t *request = g_new0 (uv_shutdown_t, 1);
  p->discards = true;
  if (uv_shutdown (request, (uv_stream_t *)&p->node, on_shut_down) != 0)
    g_free (request);
}

/* Remove the line that begins with NAME from FIELDS and return it.  */
static char *
take_field (GString *fields, const char *name)
{
  GString *taken = g_string_new (NULL);
  const char *at = strstr (fields->str, name);
  const char *end = at == NULL ? NULL : strstr (at, "\r\n");
  if (end == NULL)
    return g_string_free (taken, FALSE);
  g_string_append_len (taken, at, end + 2 - at);
  g_string_erase (fields, at - fields->str, (gssize)taken->len);
  return g_string_free (taken, FALSE);
}

static void
rewrite_answer (struct pair *p, const char *answer, size_t length)
{
  const char *line_end = g_strstr_len (answer, (gssize)length, "\r\n");
  const char *head_end = g_strstr_len (answer, (gssize)length, "\r\n\r\n");
  if (head_end == NULL)
    return;
  GString *fields
      = g_string_new_len (line_end + 2, head_end + 2 - (line_end + 2));
  char *length_field = take_field (fields, "Content-Length:");
  char *body
      = g_strndup (head_end + 4, (gsize)(answer + length - (head_end + 4)));
  GString *text = g_string_new_len (template->str, (gssize) template->len);
  bool resets = g_string_replace (text, "{reset}", "", 1) > 0;
  bool ends = g_string_replace (text, "{end}", "", 1) > 0;
  g_string_replace (text, "{fields}", fields->str, 1);
  g_string_replace (text, "{length}", length_field, 1);
  g_string_replace (text, "{body}", body, 1);
  net_send ((uv_stream_t *)&p->node, text);
  if (resets && reset_delay_ms == 0)
    on_reset_timer (&p->reset_timer);
  else if (resets)
    uv_timer_start (&p->reset_timer, on_reset_timer, reset_delay_ms, 0);
  else if (ends)
    end_orderly (p);
  g_string_free (fields, TRUE);
  g_free (length_field);
  g_free (body);
}

/* Answers without end.  */

struct block
{
  uv_write_t request;
  GString *bytes;
};

static void send_block (struct pair *p);

static void
on_block_sent (uv_write_t *request, int status)
{
  struct block *b = (struct block *)request;
  struct pair *p = request->handle->data;
  g_string_free (b->bytes, TRUE);
  g_free (b);
  if (status == 0 && !p->closed)
    send_block (p);
}

static void
send_block (struct pair *p)
{
  struct block *b = g_new0 (struct block, 1);
  b->bytes = g_string_new (NULL);
  while (b->bytes->len < BLOCK_BYTES)
    g_string_append (b->bytes, endless_rest[p->fault]);
  uv_buf_t buffer = uv_buf_init (b->bytes->str, (unsigned)b->bytes->len);
  if (uv_write (&b->request, (uv_stream_t *)&p->node, &buffer, 1,
                on_block_sent)
      == 0)
    return;
  g_string_free (b->bytes, TRUE);
  g_free (b);
  close_pair (p);
}

static void
begin_endless (struct pair *p, enum fault fault)
{
  p->fault = fault;
  p->endless = true;
  send_text (&p->node, endless_begin[fault], strlen (endless_begin[fault]));
  send_block (p);
}

/* Faults.  */

static enum fault
pick_fault (const struct pair *p)
{
  if (generator != NULL)
    return g_rand_int_range (generator, 0, RANDOM_SHARE) == 0
               ? (enum fault)g_rand_int_range (generator, 0, REWRITE)
               : FAULT_COUNT;
  for (int f = 0; f < FAULT_COUNT; f++)
    if (p->matches && left[f] > 0 && f != SWALLOW && f != REFUSE && f != EARLY)
      {
        left[f]--;
        return (enum fault)f;
      }
  return FAULT_COUNT;
}

/* Whether the call is answered here, by FAULT.  At random, no copy without an
   id does this: on a connection of its own, nothing tells that it is one.  */
static bool
must_answer (const struct pair *p, enum fault fault)
{
  if (generator != NULL && fault == SWALLOW
      && strstr (last_late->str, "Crocusbend-Attempt-Id") == NULL)
    return false;
  if (generator != NULL)
    return g_rand_int_range (generator, 0, RANDOM_SHARE * REWRITE) == 0;
  if (!p->matches || left[fault] == 0)
    return false;
  left[fault]--;
  return true;
}

static void
send_anonymous (struct pair *p, const char *answer, size_t length)
{
  GString *text = g_string_new_len (answer, (gssize)length);
  g_string_replace (text, "Crocusbend-Attempt-Id", "X-Other", 1);
  net_send ((uv_stream_t *)&p->node, text);
}

static void
answer (struct pair *p, const char *text, size_t length)
{
  enum fault fault = pick_fault (p);
  spoiled += fault != FAULT_COUNT;
  switch (fault)
    {
    case LATE:
      if (p->late != NULL)
        g_string_free (p->late, TRUE);
      p->late = g_string_new_len (text, (gssize)length);
      p->late_refusal = false;
      g_string_assign (last_late, p->late->str);
      send_text (&p->node, text, length);
      break;
    case DOUBLE:
      send_text (&p->node, text, length);
      send_text (&p->node, text, length);
      break;
    case CUT:
      send_text (&p->node, text, length / 2);
      close_pair (p);
      break;
    case NONE:
      close_pair (p);
      break;
    case JUNK:
      send_text (&p->node, "\1\2junk\r\n\r\n", strlen ("\1\2junk\r\n\r\n"));
      break;
    case ANONYMOUS:
      send_anonymous (p, text, length);
      break;
    case REWRITE:
      rewrite_answer (p, text, length);
      break;
    case REFUSE:
    case SWALLOW:
    case EARLY:
    case FAULT_COUNT:
      send_text (&p->node, text, length);
      break;
    default:
      begin_endless (p, fault);
      break;
    }
}

/* Connections.  */

/* Answer the call TEXT by its head, as a target does.  */
static bool
answer_early (struct pair *p, const char *text, size_t length)
{
  const char *end = g_strstr_len (text, (gssize)length, "\r\n\r\n");
  if (!p->matches || left[EARLY] == 0 || end == NULL)
    return false;
  left[EARLY]--;
  GString *head = g_string_new_len (text, end + 2 - text);
  char *id = take_field (head, "Crocusbend-Attempt-Id:");
  g_string_printf (head,
                   "HTTP/1.1 200 OK\r\n%sCrocusbend-Server-Signature: 0\r\n"
                   "Content-Length: 5\r\n\r\nearly",
                   id);
  p->discards = true;
  answer (p, head->str, head->len);
  g_string_free (head, TRUE);
  g_free (id);
  return true;
}

static void
pass_on (struct pair *p, const char *text, size_t length)
{
  if (answer_early (p, text, length))
    return;
  if (must_answer (p, SWALLOW))
    {
      spoiled++;
      send_text (&p->node, last_late->str, last_late->len);
      return;
    }
  if (must_answer (p, REFUSE))
    {
      spoiled++;
      send_text (&p->node, refusal, strlen (refusal));
      if (p->late == NULL)
        p->late = g_string_new (refusal);
      p->late_refusal = true;
      return;
    }
  send_text (&p->target, text, length);
  if (p->late == NULL || (p->late_refusal && p->matches))
    return;
  net_send ((uv_stream_t *)&p->node, p->late);
  p->late = NULL;
  p->late_refusal = false;
}

static void
on_node_read (uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
  struct pair *p = stream->data;
  if (length < 0)
    close_pair (p);
  if (length <= 0 || p->endless || p->discards)
    return;
  const char *line_end = memchr (buffer->base, '\r', (size_t)length);
  p->matches
      = line_end != NULL
        && g_strstr_len (buffer->base, line_end - buffer->base, match) != NULL;
  if (p->connected)
    pass_on (p, buffer->base, (size_t)length);
  else
    g_string_append_len (p->early, buffer->base, length);
}

static void
on_target_read (uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
  struct pair *p = stream->data;
  if (length < 0 && !p->endless && !p->discards)
    close_pair (p);
  if (length > 0 && !p->endless)
    answer (p, buffer->base, (size_t)length);
}

static void
on_connected (uv_connect_t *request, int status)
{
  struct pair *p = request->data;
  if (p->closed)
    return;
  if (status != 0)
    {
      close_pair (p);
      return;
    }
  p->connected = true;
  uv_read_start ((uv_stream_t *)&p->target, net_alloc_buffer, on_target_read);
  if (p->early->len > 0)
    pass_on (p, p->early->str, p->early->len);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  const struct route *r = listener->data;
  struct sockaddr_in at;
  if (status != 0)
    return;
  struct pair *p = g_new0 (struct pair, 1);
  p->early = g_string_new (NULL);
  p->open_handles = 3;
  uv_timer_init (&loop, &p->reset_timer);
  p->reset_timer.data = p;
  uv_tcp_init (&loop, &p->node);
  uv_tcp_init (&loop, &p->target);
  p->node.data = p;
  p->target.data = p;
  p->connect.data = p;
  uv_ip4_addr ("127.0.0.1", (int)r->target_port, &at);
  if (uv_accept (listener, (uv_stream_t *)&p->node) != 0
      || uv_tcp_connect (&p->connect, &p->target, (struct sockaddr *)&at,
                         on_connected)
             != 0)
    {
      close_pair (p);
      return;
    }
  uv_read_start ((uv_stream_t *)&p->node, net_alloc_buffer, on_node_read);
}

static struct route routes[ROUTES_MAX];
static unsigned route_count;

static bool
add_route (const char *text)
{
  if (route_count == ROUTES_MAX)
    return false;
  struct route *r = &routes[route_count++];
  struct settings_address address = { "127.0.0.1", 0 };
  const char *colon = strchr (text, ':');
  if (colon == NULL)
    return false;
  address.port = (uint16_t)strtoul (text, NULL, 10);
  r->target_port = (unsigned)strtoul (colon + 1, NULL, 10);
  if (net_listen (&loop, &r->listener, &address, on_connection) != STATUS_OK)
    return false;
  r->listener.data = r;
  return true;
}

/* Commands.  */

static const char *
value_of (const char *path, const char *name)
{
  size_t length = strlen (name);
  if (strncmp (path + 1, name, length) != 0 || path[1 + length] != '=')
    return NULL;
  return path + length + 2;
}

static void
on_command (void *arg, struct http_server_exchange *x)
{
  const char *path = x->request_target->str;
  const char *value;
  (void)arg;
  for (int f = 0; f < FAULT_COUNT; f++)
    if ((value = value_of (path, fault_names[f])) != NULL)
      left[f] = (unsigned)strtoul (value, NULL, 10);
  if (value_of (path, "rewrite") != NULL)
    g_string_assign (template, x->body->str);
  if ((value = value_of (path, "delay")) != NULL)
    reset_delay_ms = (unsigned)strtoul (value, NULL, 10);
  if ((value = value_of (path, "match")) != NULL)
    g_strlcpy (match, value, sizeof match);
  if ((value = value_of (path, "random")) != NULL)
    generator = g_rand_new_with_seed ((guint32)strtoul (value, NULL, 10));
  if (strcmp (path, "/calm") == 0 && generator != NULL)
    {
      g_rand_free (generator);
      generator = NULL;
    }
  char *text = strcmp (path, "/count") == 0
                   ? g_strdup_printf ("spoiled %u\n", spoiled)
                   : g_strdup ("");
  http_respond (x, 200, NULL, text, strlen (text));
  g_free (text);
}

int
main (int argc, char **argv)
{
  struct settings_address address = { "127.0.0.1", 0 };
  if (argc < 3)
    return EXIT_FAILURE;
  signal (SIGPIPE, SIG_IGN);
  uv_loop_init (&loop);
  last_late = g_string_new (NULL);
  template = g_string_new (NULL);
  address.port = (uint16_t)strtoul (argv[1], NULL, 10);
  if (http_server_new (&loop, &address, &limits, on_command, NULL) == NULL)
    return EXIT_FAILURE;
  for (int i = 2; i < argc; i++)
    if (!add_route (argv[i]))
      return EXIT_FAILURE;
  printf ("ready\n");
  fflush (stdout);
  return uv_run (&loop, UV_RUN_DEFAULT);
}
