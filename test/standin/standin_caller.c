/* A caller that pipelines requests and leaves before it has its answers.

   standin_caller [OPTION...] PORT PATH

   It opens connections to 127.0.0.1:PORT, sends on each the given number of
   requests for PATH at once and reads what is answered.  After --leave-ms it
   closes the connections: orderly, with --reset by a reset, with --half by
   closing its own direction only and the rest a second later.  Request K of
   connection C has the id NAME-C-K in the header Crocusbend-Attempt-Id, and in
   PATH for each "%s".  It prints "left NAME-C AT" for each connection, AT in
   milliseconds of the clock of the stand-in targets: when it left, or when the
   time that its requests state had passed.  */

#include "base/clock.h"
#include <arpa/inet.h>
#include <glib.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  HALF_CLOSED_MS = 1000,
  POLL_MS = 5
};

static int connections = 1;
static int requests = 1;
static int leave_ms = 200;
static int timeout_ms = 2000;
static char *name = "caller";
static char *method = "GET";
static gboolean with_reset;
static gboolean half;

static const GOptionEntry entries[] = {
  { "connections", 'c', 0, G_OPTION_ARG_INT, &connections,
    "number of connections (1)", "N" },
  { "requests", 'n', 0, G_OPTION_ARG_INT, &requests,
    "requests on each connection (1)", "N" },
  { "leave-ms", 'l', 0, G_OPTION_ARG_INT, &leave_ms, "leave after MS ms (200)",
    "MS" },
  { "timeout-ms", 't', 0, G_OPTION_ARG_INT, &timeout_ms,
    "state that it waits for MS ms (2000)", "MS" },
  { "name", 0, 0, G_OPTION_ARG_STRING, &name, "begin of the ids (caller)",
    "NAME" },
  { "method", 0, 0, G_OPTION_ARG_STRING, &method, "method (GET)", "METHOD" },
  { "reset", 0, 0, G_OPTION_ARG_NONE, &with_reset, "leave by a reset", NULL },
  { "half", 0, 0, G_OPTION_ARG_NONE, &half,
    "close the sending direction first", NULL },
  { NULL, 0, 0, 0, NULL, NULL, NULL },
};

static void
fail (const char *what)
{
  perror (what);
  exit (EXIT_FAILURE);
}

static int
open_connection (const char *port)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  at.sin_port = htons ((uint16_t)strtoul (port, NULL, 10));
  if (fd < 0 || connect (fd, (struct sockaddr *)&at, sizeof at) != 0)
    fail ("connect");
  return fd;
}

static void
append_request (GString *out, const char *path, int connection, int number)
{
  char *id = g_strdup_printf ("%s-%d-%d", name, connection, number);
  char **parts = g_strsplit (path, "%s", -1);
  char *own_path = g_strjoinv (id, parts);
  g_string_append_printf (out,
                          "%s %s HTTP/1.1\r\nHost: h\r\n"
                          "Crocusbend-Attempt-Id: %s\r\n"
                          "Crocusbend-Timeout-Ms: %d\r\n"
                          "Crocusbend-Deadline-Ms: %d\r\n"
                          "Content-Length: 0\r\n\r\n",
                          method, own_path, id, timeout_ms, timeout_ms);
  g_free (own_path);
  g_strfreev (parts);
  g_free (id);
}

static void
send_requests (int fd, const char *path, int connection)
{
  GString *out = g_string_new (NULL);
  for (int i = 0; i < requests; i++)
    append_request (out, path, connection, i);
  /* What the other side does not read now is not sent.  */
  if (send (fd, out->str, out->len, MSG_NOSIGNAL | MSG_DONTWAIT)
      != (ssize_t)out->len)
    fail ("send");
  g_string_free (out, TRUE);
}

/* Read what arrives on the COUNT connections until UNTIL_NS.  A close with
   unread bytes would reset the connection.  */
static void
read_answers (struct pollfd *fds, int count, int64_t until_ns)
{
  char bytes[65536];
  while (clock_now_ns () < until_ns)
    {
      poll (fds, (nfds_t)count, POLL_MS);
      for (int i = 0; i < count; i++)
        if (fds[i].revents != 0
            && recv (fds[i].fd, bytes, sizeof bytes, MSG_DONTWAIT) == 0)
          fds[i].events = 0;
    }
}

static void
leave (int fd, int connection, int64_t begin_ns)
{
  struct linger reset_at_close = { 1, 0 };
  int64_t given_up_ns = begin_ns + timeout_ms * NS_PER_MS;
  printf ("left %s-%d %" G_GINT64_FORMAT "\n", name, connection,
          MIN (clock_now_ns (), given_up_ns) / NS_PER_MS);
  if (half)
    {
      shutdown (fd, SHUT_WR);
      return;
    }
  if (with_reset)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset_at_close,
                sizeof reset_at_close);
  close (fd);
}

int
main (int argc, char **argv)
{
  GOptionContext *options = g_option_context_new ("PORT PATH");
  g_option_context_add_main_entries (options, entries, NULL);
  if (!g_option_context_parse (options, &argc, &argv, NULL) || argc != 3)
    {
      fputs ("usage: standin_caller [OPTION...] PORT PATH\n", stderr);
      return EXIT_FAILURE;
    }
  g_option_context_free (options);
  struct pollfd *fds = g_new0 (struct pollfd, connections);
  int64_t begin_ns = clock_now_ns ();
  for (int i = 0; i < connections; i++)
    {
      fds[i].fd = open_connection (argv[1]);
      fds[i].events = POLLIN;
      send_requests (fds[i].fd, argv[2], i);
    }
  read_answers (fds, connections, begin_ns + leave_ms * NS_PER_MS);
  for (int i = 0; i < connections; i++)
    leave (fds[i].fd, i, begin_ns);
  fflush (stdout);
  if (half)
    read_answers (fds, connections,
                  clock_now_ns () + HALF_CLOSED_MS * NS_PER_MS);
  g_free (fds);
  return EXIT_SUCCESS;
}
