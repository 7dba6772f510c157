/* Tests of the store's clients against answers that are not well-formed.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform.h"
#include "store/etcd.h"

#define BODY                                                                  \
  "{\"value\":\"eA==\",\"revision\":1,\"at\":1,\"header\":{\"revision\":"     \
  "\"1\"},\"kvs\":[{\"key\":\"aw==\",\"value\":\"eA==\","                     \
  "\"mod_revision\":\"1\"}]}"
#define HEAD "HTTP/1.1 200 OK\r\n"
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define CHUNK "77\r\n" BODY "\r\n"

_Static_assert(sizeof BODY - 1 == 0x77, "the size of CHUNK is that of BODY");

enum
{
  TIMEOUT_MS = 500,
  REQUEST_BYTES = 4096
};

/* Answers each request with TEXT; then the connection is closed if CLOSES.  */
struct peer
{
  int listener;
  uint16_t port;
  const char *text;
  bool closes;
  pthread_t thread;
};

static void *
answer_requests (void *arg)
{
  struct peer *p = arg;
  char request[REQUEST_BYTES];
  int fd;
  while ((fd = accept (p->listener, NULL, NULL)) >= 0)
    {
      /* A request of these tests comes as a whole.  */
      while (recv (fd, request, sizeof request, 0) > 0)
        {
          send (fd, p->text, strlen (p->text), MSG_NOSIGNAL);
          if (p->closes)
            break;
        }
      close (fd);
    }
  return NULL;
}

static void
start_peer (struct peer *p)
{
  struct sockaddr_in at
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof at;
  *p = (struct peer){ .listener = socket (AF_INET, SOCK_STREAM, 0) };
  assert_int_equal (bind (p->listener, (struct sockaddr *)&at, length), 0);
  assert_int_equal (listen (p->listener, 8), 0);
  getsockname (p->listener, (struct sockaddr *)&at, &length);
  p->port = ntohs (at.sin_port);
  pthread_create (&p->thread, NULL, answer_requests, p);
}

static void
stop_peer (struct peer *p)
{
  shutdown (p->listener, SHUT_RDWR);
  pthread_join (p->thread, NULL);
  close (p->listener);
}

static enum status
read_key (struct store *store, struct peer *p, const char *text, bool closes)
{
  struct store_value value;
  p->text = text;
  p->closes = closes;
  enum status s = store->ops->get (store, "k", &value);
  store_value_clear (&value);
  return s;
}

static const char *const sound[] = {
  HEAD "Content-Length: 119\r\n\r\n" BODY,
  HEAD
  "A!#$%&'*+-.^_`|~9: a\tb\xc3\xa9\xff\r\nContent-Length: 119\r\n\r\n" BODY,
  CHUNKED "77;a=\"b\"\r\n" BODY "\r\n0\r\nX: y\r\n\r\n",
};

static const char *const broken[] = {
  HEAD " folded: first\r\nContent-Length: 119\r\n\r\n" BODY,
  HEAD "X Y: z\r\nContent-Length: 119\r\n\r\n" BODY,
  HEAD "X : z\r\nContent-Length: 119\r\n\r\n" BODY,
  HEAD "X: a\x01\r\nContent-Length: 119\r\n\r\n" BODY,
  HEAD "X: a\r\n folded\r\nContent-Length: 119\r\n\r\n" BODY,
  HEAD "Content-Length: 119\r\nContent-Length: 119\r\n\r\n" BODY,
  HEAD "Content-Length: 119, 119\r\n\r\n" BODY,
  HEAD "Content-Length: +119\r\n\r\n" BODY,
  HEAD "Content-Length: 119\r\nTransfer-Encoding: chunked\r\n\r\n" CHUNK
       "0\r\n\r\n",
  HEAD "Transfer-Encoding: chunked, identity\r\n\r\n" CHUNK "0\r\n\r\n",
  CHUNKED "77 77\r\n" BODY "\r\n0\r\n\r\n",
  CHUNKED CHUNK "0\r\nX Y: z\r\n\r\n",
  "HTTP/2.0 200 OK\r\nContent-Length: 119\r\n\r\n" BODY,
  "HTTP/1.1 200 O\x01K\r\nContent-Length: 119\r\n\r\n" BODY,
};

/* Each broken answer comes between sound ones, which reuse a connection.  */
static void
check_store (struct store *store, struct peer *p)
{
  for (size_t i = 0; i < sizeof sound / sizeof sound[0]; i++)
    assert_int_equal (read_key (store, p, sound[i], false), STATUS_OK);
  assert_int_equal (read_key (store, p, HEAD "\r\n" BODY, true), STATUS_OK);
  for (size_t i = 0; i < sizeof broken / sizeof broken[0]; i++)
    {
      while (read_key (store, p, sound[0], false) != STATUS_OK)
        ;
      enum status s = read_key (store, p, broken[i], false);
      if (s != STATUS_UNAVAILABLE && s != STATUS_TIMEOUT)
        fail_msg ("answer %zu: %s", i, status_text (s));
    }
}

static void
platform_store_refuses_broken_answers (void **state)
{
  struct peer p;
  static struct settings settings;
  (void)state;
  start_peer (&p);
  strcpy (settings.stores[0].host, "127.0.0.1");
  settings.stores[0].port = p.port;
  settings.store_timeout_ms = TIMEOUT_MS;
  struct store *store = platform_open_store (&settings);
  check_store (store, &p);
  store->ops->free (store);
  stop_peer (&p);
}

static void
etcd_refuses_broken_answers (void **state)
{
  struct peer p;
  struct settings_address address = { .host = "127.0.0.1" };
  (void)state;
  start_peer (&p);
  address.port = p.port;
  struct store *store = etcd_new (&address, 1, TIMEOUT_MS);
  check_store (store, &p);
  store->ops->free (store);
  stop_peer (&p);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (platform_store_refuses_broken_answers),
    cmocka_unit_test (etcd_refuses_broken_answers),
  };
  signal (SIGPIPE, SIG_IGN);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
