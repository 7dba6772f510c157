/* A stand-in for one upstream of the users' platform, on 127.0.0.1.

   upstream --port P --control P --service NAME --id ID --record FILE
            [--slots N] [--sharded] [--beat-ms N] [--brief]

   It serves one request at a time on a connection and answers a request after
   "ms" milliseconds of its query (default 20).  With --sharded it runs a
   request only while it holds the request's key.  It takes grants and
   releases, and answers a release when the work that was running on its keys
   has ended.  Work that outlasts the hold on its key ends with 500.  It sends
   check-ins to the control port of the node beside it.

   Commands, one a line, on standard input:
     beats on|off         send check-ins regularly, or not
     state ready|draining the state in its check-ins; one is sent at once
     hold-beat            make a check-in now, and keep it on its way
     late-beat            deliver the check-in that was kept
     deregister           announce that it leaves
     shed N               answer the next N requests 503, not executed
     late-copy shed       send a second copy of the next answer that sheds a
                          request, late: at the point where the next answer is
                          expected on its connection
     endless on|off       answer requests whose path has "endless" with a body
                          that has no length and no end, until the caller closes
     late-copy release    the same for the answer that was sent last on the
                          connection on which a release comes, if work runs on
                          the keys of that release

   Every event is one line of FILE: milliseconds of the machine's monotonic
   clock, the id of this upstream, the event and its details.  With --brief
   grants that renew others are left out.  */

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <getopt.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
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
  KEYS = 65536,
  CONNECTIONS_MAX = 200,
  INPUT_BYTES = 65536,
  ANSWER_BYTES = 1024,
  NO_KEY = -1,
  DEFAULT_WORK_MS = 20
};

/* One request or release at work on a connection.  */
struct connection
{
  int fd; /* -1: unused */
  char input[INPUT_BYTES];
  size_t length;
  bool working;
  bool releasing; /* answers when the work on FROM to TO has ended */
  bool kept_at_close; /* it isn't idempotent: the work goes on */
  bool endless;       /* its answer has begun and has no end */
  bool asks_endless;
  int key;
  int from;
  int to;
  int64_t end_ms;
  char id[128];
  char last_answer[ANSWER_BYTES]; /* the answer that was sent last */
  char late_copy[ANSWER_BYTES];   /* goes before the next answer */
};

struct held_key
{
  int64_t until_ms;
  long fence;
};

static struct connection connections[CONNECTIONS_MAX];
static struct held_key keys[KEYS];
static FILE *record_file;
static const char *service = "";
static const char *name = "";
static int port;
static int control_port;
static int slots = 9;
static int beat_ms = 500;
static bool sharded;
static bool brief;
static bool beats = true;
static const char *state = "ready";
static long sequence;
static char kept_beat[ANSWER_BYTES];
static int shed_count;
static bool copy_next_shed;
static bool copy_at_release;
static bool endless;
static int listener;

static int64_t
now_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

__attribute__ ((format (printf, 1, 2))) static void
record (const char *format, ...)
{
  char line[1024];
  va_list args;
  int used = snprintf (line, sizeof line, "%lld %s ", (long long)now_ms (),
                       name);
  va_start (args, format);
  vsnprintf (line + used, sizeof line - (size_t)used, format, args);
  va_end (args);
  fprintf (record_file, "%s\n", line);
  fflush (record_file);
}

/* Check-ins.  */

/* Send MESSAGE to the node's control address; true if it was acknowledged.  */
static bool
call_control (const char *message)
{
  struct sockaddr_in at = { .sin_family = AF_INET,
                            .sin_port = htons ((uint16_t)control_port) };
  struct timeval limit = { .tv_sec = 1 };
  char answer[ANSWER_BYTES] = "";
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  bool acknowledged
      = connect (fd, (struct sockaddr *)&at, sizeof at) == 0
        && send (fd, message, strlen (message), MSG_NOSIGNAL) > 0
        && recv (fd, answer, sizeof answer - 1, 0) > 0
        && strncmp (answer, "HTTP/1.1 2", strlen ("HTTP/1.1 2")) == 0;
  close (fd);
  return acknowledged;
}

static void
write_beat (char *out, size_t size)
{
  char body[512];
  int length = snprintf (
      body, sizeof body,
      "{\"service_name\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"here\","
      "\"version\":\"v1\",\"capacity_slots\":%d,\"state\":\"%s\","
      "\"warmup_left_ms\":0,\"sequence\":%ld}",
      service, port, slots, state, ++sequence);
  snprintf (out, size,
            "POST /-/instances/%s/heartbeat HTTP/1.1\r\nHost: control\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n"
            "Content-Length: %d\r\n\r\n%s",
            name, length, body);
}

static void
send_beat (void)
{
  char message[ANSWER_BYTES];
  bool first = sequence == 0;
  write_beat (message, sizeof message);
  bool acknowledged = call_control (message);
  if (strcmp (state, "ready") != 0 || first)
    record ("check-in %s sequence=%ld acknowledged=%d", state, sequence,
            acknowledged);
}

static void
deregister (void)
{
  char message[ANSWER_BYTES];
  snprintf (message, sizeof message,
            "POST /-/instances/%s/deregister HTTP/1.1\r\nHost: control\r\n"
            "Connection: close\r\nContent-Length: 0\r\n\r\n",
            name);
  record ("deregister acknowledged=%d", call_control (message));
}

/* Answers.  */

static void
send_text (struct connection *c, const char *text)
{
  if (c->fd >= 0)
    send (c->fd, text, strlen (text), MSG_NOSIGNAL);
}

/* Send the copy that is late on C, before the answer to WHAT.  */
static void
send_late_copy (struct connection *c, const char *what)
{
  if (c->late_copy[0] == '\0')
    return;
  record ("a late copy of an answer comes before the answer to %s", what);
  send_text (c, c->late_copy);
  c->late_copy[0] = '\0';
}

static void
answer (struct connection *c, int status, const char *fields,
        const char *body)
{
  char text[ANSWER_BYTES];
  snprintf (text, sizeof text,
            "HTTP/1.1 %d X\r\n%sKeep-Alive: timeout=10\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            status, fields, strlen (body), body);
  send_text (c, text);
}

static void
answer_request (struct connection *c, int status)
{
  char fields[512];
  snprintf (fields, sizeof fields,
            "Crocusbend-Attempt-Id: %s\r\n"
            "Crocusbend-Server-Signature: %s.%s\r\n",
            c->id, name, c->id);
  answer (c, status, fields, c->id);
  snprintf (c->last_answer, sizeof c->last_answer,
            "HTTP/1.1 %d X\r\n%sKeep-Alive: timeout=10\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            status, fields, strlen (c->id), c->id);
}

static void
answer_not_run (struct connection *c, int status)
{
  char fields[512];
  snprintf (fields, sizeof fields,
            "Crocusbend-Attempt-Id: %s\r\nCrocusbend-Not-Executed: 1\r\n"
            "Crocusbend-Instance-Id: %s\r\n",
            c->id, name);
  record ("refuse %s status=%d key=%d", c->id, status, c->key);
  answer (c, status, fields, "");
  snprintf (c->last_answer, sizeof c->last_answer,
            "HTTP/1.1 %d X\r\n%sKeep-Alive: timeout=10\r\n"
            "Content-Length: 0\r\n\r\n",
            status, fields);
}

static void
keep_copy (struct connection *c)
{
  if (c->last_answer[0] == '\0')
    return;
  strcpy (c->late_copy, c->last_answer);
  record ("a second copy of the last answer on a connection will come late");
}

/* Requests.  */

/* Copy the value of the field NAME of HEAD to OUT.  False if there is none. */
static bool
find_field (const char *head, const char *field, char *out, size_t size)
{
  size_t length = strlen (field);
  for (const char *line = strstr (head, "\r\n"); line != NULL;
       line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, field, length) != 0 || line[length] != ':')
        continue;
      const char *value = line + length + 1;
      value += strspn (value, " ");
      snprintf (out, size, "%.*s", (int)strcspn (value, "\r\n"), value);
      return true;
    }
  return false;
}

static long
number_after (const char *text, const char *mark, long fallback)
{
  const char *at = strstr (text, mark);
  return at == NULL ? fallback : strtol (at + strlen (mark), NULL, 10);
}

static bool
works_on (int from, int to)
{
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    if (connections[i].working && !connections[i].releasing
        && connections[i].key >= from && connections[i].key <= to)
      return true;
  return false;
}

static void
take_grant (struct connection *c, const char *body)
{
  int from = (int)number_after (body, "\"from\":", 0);
  int to = (int)number_after (body, "\"to\":", 0);
  long fence = number_after (body, "\"fence\":", 0);
  long hold_ms = number_after (body, "\"hold_ms\":", 0);
  bool is_new = false;
  for (int k = from; k <= to; k++)
    if (keys[k].fence > fence)
      {
        record ("grant-refused from=%d to=%d fence=%ld", from, to, fence);
        answer (c, 409, "", "");
        return;
      }
  for (int k = from; k <= to; k++)
    {
      is_new = is_new || keys[k].until_ms <= now_ms ();
      keys[k] = (struct held_key){ now_ms () + hold_ms, fence };
    }
  if (is_new || !brief)
    record ("%s from=%d to=%d fence=%ld hold_ms=%ld",
            is_new ? "granted" : "renewed", from, to, fence, hold_ms);
  answer (c, 200, "", "");
}

static void
take_release (struct connection *c, const char *body)
{
  c->from = (int)number_after (body, "\"from\":", 0);
  c->to = (int)number_after (body, "\"to\":", 0);
  record ("release-asked from=%d to=%d", c->from, c->to);
  for (int k = c->from; k <= c->to; k++)
    keys[k].until_ms = 0;
  c->working = true;
  c->releasing = true;
  snprintf (c->id, sizeof c->id, "release");
  if (copy_at_release && works_on (c->from, c->to))
    {
      keep_copy (c);
      copy_at_release = false;
    }
  send_late_copy (c, "the release");
}

static void
take_request (struct connection *c, const char *head)
{
  char text[64];
  char expected[128];
  c->key = NO_KEY;
  if (find_field (head, "Crocusbend-Shard-Key", text, sizeof text))
    c->key = (int)strtol (text, NULL, 10);
  bool other_expected
      = find_field (head, "Crocusbend-Expect-Instance", expected,
                    sizeof expected)
        && strcmp (expected, name) != 0;
  if (other_expected
      || (sharded && (c->key < 0 || keys[c->key].until_ms <= now_ms ())))
    {
      answer_not_run (c, 421);
      return;
    }
  if (shed_count > 0)
    {
      shed_count--;
      answer_not_run (c, 503);
      if (copy_next_shed)
        keep_copy (c);
      copy_next_shed = false;
      return;
    }
  c->kept_at_close = strncmp (head, "POST ", strlen ("POST ")) == 0;
  c->working = true;
  c->releasing = false;
  c->asks_endless = strstr (head, "endless") != NULL;
  c->end_ms = now_ms () + number_after (head, "ms=", DEFAULT_WORK_MS);
  record ("run %s key=%d %.*s", c->id, c->key, (int)strcspn (head, "\r"),
          head);
  send_late_copy (c, c->id);
}

static void
take_call (struct connection *c, const char *head, const char *body)
{
  char expected[128];
  bool order = strncmp (head, "POST /-/", strlen ("POST /-/")) == 0;
  if (!find_field (head, "Crocusbend-Attempt-Id", c->id, sizeof c->id))
    c->id[0] = '\0';
  if (order
      && find_field (head, "Crocusbend-Expect-Instance", expected,
                     sizeof expected)
      && strcmp (expected, name) != 0)
    answer (c, 421, "Crocusbend-Not-Executed: 1\r\n", "");
  else if (strncmp (head, "POST /-/grant ", strlen ("POST /-/grant ")) == 0)
    take_grant (c, body);
  else if (order)
    take_release (c, body);
  else
    take_request (c, head);
}

/* Take the next call from the input of C, if it is complete.  */
static void
take_input (struct connection *c)
{
  while (c->fd >= 0 && !c->working)
    {
      c->input[c->length] = '\0';
      char *end = strstr (c->input, "\r\n\r\n");
      char text[32];
      if (end == NULL)
        return;
      char after_head = end[2];
      end[2] = '\0';
      size_t body = 0;
      if (find_field (c->input, "Content-Length", text, sizeof text))
        body = strtoul (text, NULL, 10);
      size_t head = (size_t)(end - c->input) + 4;
      if (c->length < head + body)
        {
          end[2] = after_head;
          return;
        }
      char copy[INPUT_BYTES];
      snprintf (copy, sizeof copy, "%.*s", (int)body, c->input + head);
      take_call (c, c->input, copy);
      memmove (c->input, c->input + head + body, c->length - head - body);
      c->length -= head + body;
    }
}

static void
end_work (struct connection *c)
{
  /* 0: the key was taken back, and its work may end.  */
  int64_t until_ms = sharded && c->key >= 0 ? keys[c->key].until_ms : 0;
  bool lapsed = until_ms != 0 && until_ms <= now_ms ();
  c->working = false;
  if (c->releasing)
    {
      record ("release-answered from=%d to=%d", c->from, c->to);
      answer (c, 200, "Crocusbend-Handover: 5c0e7a21d94b36f8\r\n", "");
    }
  else if (endless && c->asks_endless)
    {
      char head[512];
      record ("end %s: its answer has no end", c->id);
      snprintf (head, sizeof head,
                "HTTP/1.1 200 X\r\nCrocusbend-Attempt-Id: %s\r\n"
                "Crocusbend-Server-Signature: %s.%s\r\n\r\n",
                c->id, name, c->id);
      send_text (c, head);
      c->endless = true;
    }
  else
    {
      record ("end %s key=%d status=%d", c->id, c->key, lapsed ? 500 : 200);
      answer_request (c, lapsed ? 500 : 200);
    }
}

static void
close_connection (struct connection *c)
{
  close (c->fd);
  c->fd = -1;
  c->length = 0;
  c->endless = false;
  c->late_copy[0] = '\0';
  c->last_answer[0] = '\0';
  if (!c->working || c->kept_at_close)
    return;
  if (!c->releasing)
    record ("drop %s: its connection closed", c->id);
  c->working = false;
}

static void
read_input (struct connection *c)
{
  ssize_t got = recv (c->fd, c->input + c->length,
                      sizeof c->input - c->length - 1, MSG_DONTWAIT);
  if (got > 0)
    c->length += (size_t)got;
  else if (got == 0 || (errno != EAGAIN && errno != EINTR))
    close_connection (c);
}

static void
accept_connection (void)
{
  int one = 1;
  int fd = accept (listener, NULL, NULL);
  for (int i = 0; i < CONNECTIONS_MAX && fd >= 0; i++)
    if (connections[i].fd < 0 && !connections[i].working)
      {
        connections[i].fd = fd;
        connections[i].length = 0;
        setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        return;
      }
  close (fd);
}

/* Commands.  */

static void
run_command (const char *command)
{
  if (strcmp (command, "beats on") == 0)
    beats = true;
  else if (strcmp (command, "beats off") == 0)
    beats = false;
  else if (strncmp (command, "state ", strlen ("state ")) == 0)
    {
      state = strcmp (command, "state draining") == 0 ? "draining" : "ready";
      send_beat ();
    }
  else if (strcmp (command, "hold-beat") == 0)
    {
      write_beat (kept_beat, sizeof kept_beat);
      record ("check-in %s sequence=%ld is held up", state, sequence);
    }
  else if (strcmp (command, "late-beat") == 0)
    record ("the check-in that was held up arrives, acknowledged=%d",
            call_control (kept_beat));
  else if (strcmp (command, "deregister") == 0)
    deregister ();
  else if (strncmp (command, "shed ", strlen ("shed ")) == 0)
    shed_count = (int)strtol (command + strlen ("shed "), NULL, 10);
  else if (strcmp (command, "late-copy shed") == 0)
    copy_next_shed = true;
  else if (strcmp (command, "endless on") == 0)
    endless = true;
  else if (strcmp (command, "endless off") == 0)
    endless = false;
  else if (strcmp (command, "late-copy release") == 0)
    copy_at_release = true;
  else
    record ("unknown command: %s", command);
}

/* False at the end of the commands.  */
static bool
read_commands (void)
{
  static char input[1024];
  static size_t length;
  ssize_t got = read (STDIN_FILENO, input + length, sizeof input - length - 1);
  if (got <= 0)
    return false;
  length += (size_t)got;
  input[length] = '\0';
  char *end;
  while ((end = strchr (input, '\n')) != NULL)
    {
      *end = '\0';
      run_command (input);
      length -= (size_t)(end + 1 - input);
      memmove (input, end + 1, length + 1);
    }
  return true;
}

/* Send more of the answer without end on C.  */
static void
send_more (struct connection *c)
{
  static char bytes[256 * 1024];
  ssize_t sent = send (c->fd, bytes, sizeof bytes, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0 && errno != EAGAIN)
    {
      record ("the answer to %s was cut by the caller", c->id);
      close_connection (c);
    }
}

static void
end_due_work (void)
{
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    {
      struct connection *c = &connections[i];
      if (!c->working)
        continue;
      if (c->releasing ? !works_on (c->from, c->to) : now_ms () >= c->end_ms)
        {
          end_work (c);
          take_input (c);
        }
    }
}

static void
run (void)
{
  int64_t next_beat_ms = now_ms ();
  bool commands = true;
  while (true)
    {
      struct pollfd polled[CONNECTIONS_MAX + 2];
      polled[0] = (struct pollfd){ listener, POLLIN, 0 };
      polled[1] = (struct pollfd){ commands ? STDIN_FILENO : -1, POLLIN, 0 };
      for (int i = 0; i < CONNECTIONS_MAX; i++)
        polled[i + 2] = (struct pollfd){
          connections[i].fd, connections[i].endless ? POLLOUT : POLLIN, 0
        };
      poll (polled, CONNECTIONS_MAX + 2, 2);
      if (polled[0].revents != 0)
        accept_connection ();
      if (polled[1].revents != 0)
        commands = read_commands ();
      for (int i = 0; i < CONNECTIONS_MAX; i++)
        if (connections[i].fd >= 0 && polled[i + 2].fd == connections[i].fd
            && polled[i + 2].revents != 0)
          {
            if (connections[i].endless)
              {
                send_more (&connections[i]);
                continue;
              }
            read_input (&connections[i]);
            take_input (&connections[i]);
          }
      end_due_work ();
      if (beats && now_ms () >= next_beat_ms)
        {
          send_beat ();
          next_beat_ms = now_ms () + beat_ms;
        }
    }
}

static bool
open_listener (void)
{
  struct sockaddr_in at = { .sin_family = AF_INET,
                            .sin_port = htons ((uint16_t)port) };
  int one = 1;
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  listener = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  return bind (listener, (struct sockaddr *)&at, sizeof at) == 0
         && listen (listener, 128) == 0;
}

int
main (int argc, char **argv)
{
  static const struct option options[]
      = { { "port", required_argument, NULL, 'p' },
          { "control", required_argument, NULL, 'c' },
          { "service", required_argument, NULL, 's' },
          { "id", required_argument, NULL, 'i' },
          { "record", required_argument, NULL, 'r' },
          { "slots", required_argument, NULL, 'n' },
          { "beat-ms", required_argument, NULL, 'b' },
          { "sharded", no_argument, NULL, 'k' },
          { "brief", no_argument, NULL, 'q' },
          { NULL, 0, NULL, 0 } };
  int option;
  signal (SIGPIPE, SIG_IGN);
  while ((option = getopt_long (argc, argv, "", options, NULL)) != -1)
    switch (option)
      {
      case 'p': port = (int)strtol (optarg, NULL, 10); break;
      case 'c': control_port = (int)strtol (optarg, NULL, 10); break;
      case 's': service = optarg; break;
      case 'i': name = optarg; break;
      case 'r': record_file = fopen (optarg, "a"); break;
      case 'n': slots = (int)strtol (optarg, NULL, 10); break;
      case 'b': beat_ms = (int)strtol (optarg, NULL, 10); break;
      case 'k': sharded = true; break;
      case 'q': brief = true; break;
      default: return 2;
      }
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    connections[i].fd = -1;
  if (record_file == NULL || !open_listener ())
    return 2;
  setvbuf (record_file, NULL, _IOLBF, 0);
  run ();
}
