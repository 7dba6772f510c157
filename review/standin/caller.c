/* A stand-in for a client: it sends requests on one connection to 127.0.0.1,
   all at once, and reads the answers.  With --kept it sends each request when
   the one before it has its answer.

   caller --port P --record FILE [--timeout-ms N] [--wait-ms N] [--kept]
          ID:METHOD:PATH[:KEY]...

   It waits for the answers for --wait-ms (default: --timeout-ms, 2000), and
   closes its end when they are in or the other end has closed.  Lines of FILE: milliseconds of the machine's monotonic clock,
   "client", and "sent ID", "answered ID status=N by=ID close=N" or
   "unanswered ID: CAUSE".  The answers' statuses are printed, too.  */

#include <arpa/inet.h>
#include <getopt.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum
{
  REQUESTS_MAX = 64,
  BYTES = 1 << 20
};

static char input[BYTES];
static size_t length;
static FILE *record_file;

static int64_t
now_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static bool
find_field (const char *head, const char *field, char *out, size_t size)
{
  size_t field_length = strlen (field);
  for (const char *line = strstr (head, "\r\n"); line != NULL;
       line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, field, field_length) != 0
          || line[field_length] != ':')
        continue;
      const char *value = line + field_length + 1;
      value += strspn (value, " ");
      snprintf (out, size, "%.*s", (int)strcspn (value, "\r\n"), value);
      return true;
    }
  return false;
}

/* Take a whole answer to the request ID from the input; *CLOSES: it closes the
   connection.  */
static bool
take_answer (const char *id, bool *closes)
{
  char text[64];
  char by[128] = "-";
  input[length] = '\0';
  char *end = strstr (input, "\r\n\r\n");
  if (end == NULL)
    return false;
  size_t head = (size_t)(end - input) + 4;
  char after_head = end[2];
  end[2] = '\0';
  size_t body = 0;
  if (find_field (input, "Content-Length", text, sizeof text))
    body = strtoul (text, NULL, 10);
  if (length < head + body)
    {
      end[2] = after_head;
      return false;
    }
  find_field (input, "Crocusbend-Server-Signature", by, sizeof by);
  *closes = find_field (input, "Connection", text, sizeof text)
            && strcasecmp (text, "close") == 0;
  int status = (int)strtol (input + strlen ("HTTP/1.1 "), NULL, 10);
  fprintf (record_file, "%lld client answered %s status=%d by=%s close=%d\n",
           (long long)now_ms (), id, status, by, *closes);
  printf ("%d\n", status);
  memmove (input, input + head + body, length - head - body);
  length -= head + body;
  return true;
}

static char out[BYTES];
static size_t used;
static long timeout_ms = 2000;
static bool kept;

/* Add the request that ARGUMENT describes, ID:METHOD:PATH[:KEY], to the
   output, and copy its id.  */
static bool
write_request (char *argument, char *id, size_t size)
{
  char *parts[4] = { 0 };
  for (int k = 0; k < 4 && argument != NULL; k++)
    parts[k] = strsep (&argument, ":");
  if (parts[2] == NULL)
    return false;
  snprintf (id, size, "%s", parts[0]);
  bool has_body = strcmp (parts[1], "POST") == 0;
  used += (size_t)snprintf (
      out + used, sizeof out - used,
      "%s %s HTTP/1.1\r\nHost: h\r\nCrocusbend-Attempt-Id: %s\r\n"
      "Crocusbend-Timeout-Ms: %ld\r\n",
      parts[1], parts[2], parts[0], timeout_ms);
  if (parts[3] != NULL)
    used += (size_t)snprintf (out + used, sizeof out - used,
                              "Crocusbend-Shard-Key: %s\r\n", parts[3]);
  used += (size_t)snprintf (out + used, sizeof out - used, "%s\r\n%s",
                            has_body ? "Content-Length: 2\r\n" : "",
                            has_body ? "ok" : "");
  fprintf (record_file, "%lld client sent %s %s %s key=%s\n",
           (long long)now_ms (), parts[0], parts[1], parts[2],
           parts[3] == NULL ? "-" : parts[3]);
  return true;
}

static void
send_output (int fd)
{
  send (fd, out, used, MSG_NOSIGNAL);
  used = 0;
}

/* Read more of the input until END_MS; NULL, or why there is no more.  */
static const char *
read_more (int fd, int64_t end_ms)
{
  struct pollfd polled = { fd, POLLIN, 0 };
  int64_t left_ms = end_ms - now_ms ();
  if (left_ms <= 0 || poll (&polled, 1, (int)left_ms) <= 0)
    return "time is up";
  ssize_t got = recv (fd, input + length, sizeof input - length - 1, 0);
  if (got <= 0)
    return got == 0 ? "the connection was closed"
                    : "the connection was reset";
  length += (size_t)got;
  return NULL;
}

static int
open_connection (int port)
{
  struct sockaddr_in at = { .sin_family = AF_INET,
                            .sin_port = htons ((uint16_t)port) };
  int one = 1;
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  if (connect (fd, (struct sockaddr *)&at, sizeof at) != 0)
    return -1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

int
main (int argc, char **argv)
{
  static const struct option options[]
      = { { "port", required_argument, NULL, 'p' },
          { "record", required_argument, NULL, 'r' },
          { "timeout-ms", required_argument, NULL, 't' },
          { "wait-ms", required_argument, NULL, 'w' },
          { "kept", no_argument, NULL, 'k' },
          { NULL, 0, NULL, 0 } };
  static char ids[REQUESTS_MAX][128];
  int port = 0;
  long wait_ms = 0;
  int option;
  while ((option = getopt_long (argc, argv, "", options, NULL)) != -1)
    switch (option)
      {
      case 'p': port = (int)strtol (optarg, NULL, 10); break;
      case 'r': record_file = fopen (optarg, "a"); break;
      case 't': timeout_ms = strtol (optarg, NULL, 10); break;
      case 'w': wait_ms = strtol (optarg, NULL, 10); break;
      case 'k': kept = true; break;
      default: return 2;
      }
  int count = argc - optind;
  if (record_file == NULL || count > REQUESTS_MAX)
    return 2;
  setvbuf (record_file, NULL, _IOLBF, 0);
  int fd = open_connection (port);
  if (fd < 0)
    {
      printf ("refused\n");
      return 1;
    }
  int answered = 0;
  int sent = 0;
  bool closes = false;
  const char *cause = NULL;
  int64_t end_ms = now_ms () + (wait_ms > 0 ? wait_ms : timeout_ms);
  while (answered < count && cause == NULL)
    {
      for (; sent < count && (!kept || sent == answered); sent++)
        if (!write_request (argv[optind + sent], ids[sent], sizeof ids[sent]))
          return 2;
      send_output (fd);
      cause = read_more (fd, end_ms);
      while (answered < sent && take_answer (ids[answered], &closes))
        answered++;
    }
  close (fd);
  if (closes && answered < sent)
    cause = "the connection was closed behind an earlier answer";
  for (int i = answered; i < sent; i++)
    fprintf (record_file, "%lld client unanswered %s: %s\n",
             (long long)now_ms (), ids[i], cause);
  if (answered < sent)
    printf ("%d unanswered: %s\n", sent - answered, cause);
  return 0;
}
