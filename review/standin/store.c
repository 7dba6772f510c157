/* A stand-in for the platform's metadata store that can come back from an
   older copy, on 127.0.0.1.

   store --port P --record FILE

   It serves the calls of the pages, and PUT /put?key=K, by which an operator
   writes a value.  Commands, one a line, on standard input:
     copy     keep a copy of all that the store has
     away     answer all calls with 503
     restore  come back from the copy: what was written since is gone, leases
              too, and revisions are given out again; the header Store-Era
              rises by one  */

#include <arpa/inet.h>
#include <errno.h>
#include <getopt.h>
#include <jansson.h>
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
  CONNECTIONS_MAX = 200,
  INPUT_BYTES = 1 << 20,
  ITEMS_MAX = 1000,
  CHANGES_MAX = 20000,
  LEASES_MAX = 1000,
  KEY_BYTES = 256
};

struct item
{
  char key[KEY_BYTES];
  char *value; /* base64; never freed, as copies share it */
  long revision;
  long created;
  long lease;
};

struct change
{
  char key[KEY_BYTES];
  char *value; /* NULL: deleted */
  long revision;
};

struct lease
{
  long id;
  long ttl_ms;
  int64_t end_ms;
};

struct content
{
  struct item items[ITEMS_MAX];
  int item_count;
  struct change changes[CHANGES_MAX];
  int change_count;
  struct lease leases[LEASES_MAX];
  int lease_count;
  long revision;
};

struct connection
{
  int fd; /* -1: unused */
  char *input;
  size_t length;
  bool watches;
  char prefix[KEY_BYTES];
  long after;
  int64_t until_ms;
};

static struct content now_has = { .revision = 10 };
static struct content copy;
static struct connection connections[CONNECTIONS_MAX];
static long last_lease = 100;
static int era = 1;
static bool away;
static int listener;
static FILE *record_file;

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
  char line[512];
  va_list args;
  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  fprintf (record_file, "%lld store %s\n", (long long)now_ms (), line);
  fflush (record_file);
}

/* Answers.  */

static void
close_connection (struct connection *c)
{
  close (c->fd);
  free (c->input);
  *c = (struct connection){ .fd = -1 };
}

static void
answer (struct connection *c, int status, json_t *json)
{
  char *body = json == NULL ? strdup ("") : json_dumps (json, JSON_COMPACT);
  char *text = NULL;
  int length = asprintf (&text,
                         "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                         "Store-Era: %d\r\nContent-Length: %zu\r\n\r\n%s",
                         status, era, strlen (body), body);
  for (int sent = 0; sent < length;)
    {
      ssize_t n = send (c->fd, text + sent, (size_t)(length - sent),
                        MSG_NOSIGNAL);
      if (n <= 0)
        break;
      sent += (int)n;
    }
  c->watches = false;
  free (text);
  free (body);
  json_decref (json);
}

/* Contents.  */

static struct item *
find_item (const char *key)
{
  for (int i = 0; i < now_has.item_count; i++)
    if (strcmp (now_has.items[i].key, key) == 0)
      return &now_has.items[i];
  return NULL;
}

static void
add_change (const char *key, char *value)
{
  if (now_has.change_count == CHANGES_MAX)
    abort ();
  struct change *c = &now_has.changes[now_has.change_count++];
  snprintf (c->key, sizeof c->key, "%s", key);
  c->value = value;
  c->revision = now_has.revision;
}

/* Write VALUE at the revision that has begun.  */
static void
put (const char *key, const char *value, long lease)
{
  struct item *item = find_item (key);
  if (item == NULL)
    {
      if (now_has.item_count == ITEMS_MAX)
        abort ();
      item = &now_has.items[now_has.item_count++];
      snprintf (item->key, sizeof item->key, "%s", key);
      item->created = now_has.revision;
    }
  item->value = strdup (value);
  item->revision = now_has.revision;
  item->lease = lease;
  add_change (key, item->value);
}

static void
delete_item (struct item *item)
{
  add_change (item->key, NULL);
  *item = now_has.items[--now_has.item_count];
}

static json_t *
item_json (const struct item *i)
{
  return json_pack ("{s:s,s:s,s:I,s:I,s:I}", "key", i->key, "value", i->value,
                    "revision", (json_int_t)i->revision, "created_at",
                    (json_int_t)i->created, "lease", (json_int_t)i->lease);
}

static bool
has_prefix (const char *text, const char *prefix)
{
  return strncmp (text, prefix, strlen (prefix)) == 0;
}

/* Answer the watch of C if there is an event, or ALWAYS.  */
static bool
answer_watch (struct connection *c, bool always)
{
  json_t *events = json_array ();
  for (int i = 0; i < now_has.change_count; i++)
    {
      const struct change *h = &now_has.changes[i];
      if (h->revision <= c->after || !has_prefix (h->key, c->prefix))
        continue;
      json_array_append_new (
          events,
          h->value == NULL
              ? json_pack ("{s:s,s:I,s:b}", "key", h->key, "revision",
                           (json_int_t)h->revision, "deleted", 1)
              : json_pack ("{s:s,s:s,s:I,s:I,s:i}", "key", h->key, "value",
                           h->value, "revision", (json_int_t)h->revision,
                           "created_at", (json_int_t)h->revision, "lease", 0));
    }
  if (json_array_size (events) == 0 && !always)
    {
      json_decref (events);
      return false;
    }
  answer (c, 200,
          json_pack ("{s:o,s:I}", "events", events, "at",
                     (json_int_t)now_has.revision));
  return true;
}

static void
tell_watches (void)
{
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    if (connections[i].fd >= 0 && connections[i].watches)
      answer_watch (&connections[i], false);
}

static void
expire (void)
{
  bool changed = false;
  for (int l = now_has.lease_count - 1; l >= 0; l--)
    {
      if (now_ms () < now_has.leases[l].end_ms)
        continue;
      long id = now_has.leases[l].id;
      now_has.leases[l] = now_has.leases[--now_has.lease_count];
      for (int i = now_has.item_count - 1; i >= 0; i--)
        if (now_has.items[i].lease == id)
          {
            now_has.revision++;
            delete_item (&now_has.items[i]);
            changed = true;
          }
    }
  if (changed)
    tell_watches ();
}

/* Calls.  */

/* Copy the value of NAME in the query of TARGET to OUT, unescaped.  */
static bool
query (const char *target, const char *name, char *out, size_t size)
{
  size_t length = strlen (name);
  const char *at = strchr (target, '?');
  for (; at != NULL; at = strchr (at, '&'))
    {
      at++;
      if (strncmp (at, name, length) != 0 || at[length] != '=')
        continue;
      at += length + 1;
      size_t used = 0;
      while (*at != '\0' && *at != '&' && used + 1 < size)
        {
          char hex[3] = "";
          if (*at == '%')
            {
              memcpy (hex, at + 1, 2);
              out[used++] = (char)strtol (hex, NULL, 16);
              at += 3;
            }
          else
            out[used++] = *at++;
        }
      out[used] = '\0';
      return true;
    }
  return false;
}

static void
read_item (struct connection *c, const char *target)
{
  char key[KEY_BYTES] = "";
  query (target, "key", key, sizeof key);
  const struct item *item = find_item (key);
  json_t *json = item == NULL ? json_object () : item_json (item);
  json_object_set_new (json, "at", json_integer (now_has.revision));
  answer (c, item == NULL ? 404 : 200, json);
}

static void
list_items (struct connection *c, const char *target)
{
  char prefix[KEY_BYTES] = "";
  query (target, "prefix", prefix, sizeof prefix);
  json_t *list = json_array ();
  for (int i = 0; i < now_has.item_count; i++)
    if (has_prefix (now_has.items[i].key, prefix))
      json_array_append_new (list, item_json (&now_has.items[i]));
  answer (c, 200,
          json_pack ("{s:o,s:b,s:I}", "items", list, "has_more", 0, "at",
                     (json_int_t)now_has.revision));
}

static void
watch (struct connection *c, const char *target)
{
  char text[32] = "0";
  query (target, "prefix", c->prefix, sizeof c->prefix);
  query (target, "after", text, sizeof text);
  c->after = strtol (text, NULL, 10);
  query (target, "wait_ms", text, sizeof text);
  c->until_ms = now_ms () + strtol (text, NULL, 10);
  c->watches = true;
  if (c->after > now_has.revision)
    answer (c, 410, NULL);
  else
    answer_watch (c, false);
}

static void
transact (struct connection *c, const char *body)
{
  json_t *json = json_loads (body, 0, NULL);
  json_t *rows = json_object_get (json, "precondition");
  json_t *puts = json_object_get (json, "puts");
  json_t *keys = json_object_get (json, "remove");
  json_t *row;
  size_t i;
  bool holds = true;
  json_array_foreach (rows, i, row)
  {
    const struct item *item
        = find_item (json_string_value (json_object_get (row, "key")));
    holds = holds
            && (item == NULL ? 0 : item->revision)
                   == json_integer_value (json_object_get (row, "revision"));
  }
  if (!holds)
    answer (c, 412, json_pack ("{s:[]}", "items"));
  else
    {
      now_has.revision++;
      json_array_foreach (puts, i, row)
      {
        put (json_string_value (json_object_get (row, "key")),
             json_string_value (json_object_get (row, "value")),
             (long)json_integer_value (json_object_get (row, "lease")));
      }
      json_array_foreach (keys, i, row)
      {
        struct item *item = find_item (json_string_value (row));
        if (item != NULL)
          delete_item (item);
      }
      answer (c, 200,
              json_pack ("{s:I}", "revision", (json_int_t)now_has.revision));
      tell_watches ();
    }
  json_decref (json);
}

static void
grant_lease (struct connection *c, const char *body)
{
  json_t *json = json_loads (body, 0, NULL);
  long ttl_ms = (long)json_integer_value (json_object_get (json, "ttl_ms"));
  json_decref (json);
  if (now_has.lease_count == LEASES_MAX)
    abort ();
  now_has.leases[now_has.lease_count++]
      = (struct lease){ ++last_lease, ttl_ms, now_ms () + ttl_ms };
  answer (c, 200,
          json_pack ("{s:I,s:I}", "lease", (json_int_t)last_lease, "ttl_ms",
                     (json_int_t)ttl_ms));
}

static void
renew_lease (struct connection *c, long id)
{
  for (int i = 0; i < now_has.lease_count; i++)
    if (now_has.leases[i].id == id)
      {
        struct lease *l = &now_has.leases[i];
        l->end_ms = now_ms () + l->ttl_ms;
        answer (c, 200,
                json_pack ("{s:I}", "ttl_ms", (json_int_t)l->ttl_ms));
        return;
      }
  answer (c, 404, NULL);
}

static char *
encode (const char *text)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t length = strlen (text);
  char *out = calloc (length / 3 * 4 + 8, 1);
  char *at = out;
  for (size_t i = 0; i < length; i += 3)
    {
      uint32_t group = (uint32_t)(unsigned char)text[i] << 16;
      if (i + 1 < length)
        group |= (uint32_t)(unsigned char)text[i + 1] << 8;
      if (i + 2 < length)
        group |= (unsigned char)text[i + 2];
      *at++ = digits[group >> 18];
      *at++ = digits[group >> 12 & 63];
      *at++ = i + 1 < length ? digits[group >> 6 & 63] : '=';
      *at++ = i + 2 < length ? digits[group & 63] : '=';
    }
  return out;
}

static void
operator_write (struct connection *c, const char *target, const char *body)
{
  char key[KEY_BYTES] = "";
  query (target, "key", key, sizeof key);
  char *value = encode (body);
  now_has.revision++;
  put (key, value, 0);
  free (value);
  answer (c, 200, NULL);
  tell_watches ();
}

static void
take_call (struct connection *c, const char *target, const char *body)
{
  if (away)
    answer (c, 503, NULL);
  else if (has_prefix (target, "/-/kv-key?"))
    read_item (c, target);
  else if (has_prefix (target, "/-/kv-range?"))
    list_items (c, target);
  else if (has_prefix (target, "/-/kv-watch?"))
    watch (c, target);
  else if (has_prefix (target, "/-/kv-txn"))
    transact (c, body);
  else if (strcmp (target, "/-/kv-lease") == 0)
    grant_lease (c, body);
  else if (has_prefix (target, "/-/kv-keep/"))
    renew_lease (c, strtol (target + strlen ("/-/kv-keep/"), NULL, 10));
  else if (has_prefix (target, "/put?"))
    operator_write (c, target, body);
  else
    answer (c, 404, NULL);
}

static void
take_input (struct connection *c)
{
  while (c->fd >= 0 && !c->watches)
    {
      c->input[c->length] = '\0';
      char *end = strstr (c->input, "\r\n\r\n");
      if (end == NULL)
        return;
      size_t head = (size_t)(end - c->input) + 4;
      size_t body = 0;
      for (const char *line = c->input; line < end;
           line = strstr (line, "\r\n") + 2)
        if (strncasecmp (line, "Content-Length:", 15) == 0)
          body = strtoul (line + 15, NULL, 10);
      if (c->length < head + body)
        return;
      char target[1024] = "";
      sscanf (c->input, "%*s %1023s", target);
      char *text = strndup (c->input + head, body);
      take_call (c, target, text);
      free (text);
      memmove (c->input, c->input + head + body, c->length - head - body);
      c->length -= head + body;
    }
}

static void
read_input (struct connection *c)
{
  ssize_t got = recv (c->fd, c->input + c->length,
                      INPUT_BYTES - c->length - 1, MSG_DONTWAIT);
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
    if (connections[i].fd < 0)
      {
        connections[i]
            = (struct connection){ .fd = fd, .input = malloc (INPUT_BYTES) };
        setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        return;
      }
  close (fd);
}

/* Commands.  */

static void
end_watches (void)
{
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    if (connections[i].fd >= 0 && connections[i].watches)
      answer (&connections[i], 503, NULL);
}

static void
run_command (const char *command)
{
  if (strcmp (command, "copy") == 0)
    {
      copy = now_has;
      record ("a copy is kept at revision %ld", copy.revision);
    }
  else if (strcmp (command, "away") == 0)
    {
      away = true;
      end_watches ();
      record ("is away, at revision %ld", now_has.revision);
    }
  else if (strcmp (command, "restore") == 0)
    {
      now_has = copy;
      era++;
      away = false;
      record ("is back from the copy, at revision %ld, era %d",
              now_has.revision, era);
    }
  else if (strcmp (command, "back") == 0)
    {
      away = false;
      record ("is back with all that it had, at revision %ld",
              now_has.revision);
    }
}

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

static void
run (void)
{
  bool commands = true;
  while (true)
    {
      struct pollfd polled[CONNECTIONS_MAX + 2];
      polled[0] = (struct pollfd){ listener, POLLIN, 0 };
      polled[1] = (struct pollfd){ commands ? STDIN_FILENO : -1, POLLIN, 0 };
      for (int i = 0; i < CONNECTIONS_MAX; i++)
        polled[i + 2] = (struct pollfd){ connections[i].fd, POLLIN, 0 };
      poll (polled, CONNECTIONS_MAX + 2, 20);
      if (polled[0].revents != 0)
        accept_connection ();
      if (polled[1].revents != 0)
        commands = read_commands ();
      for (int i = 0; i < CONNECTIONS_MAX; i++)
        {
          struct connection *c = &connections[i];
          if (c->fd >= 0 && polled[i + 2].fd == c->fd
              && polled[i + 2].revents != 0)
            read_input (c);
          if (c->fd >= 0)
            take_input (c);
          if (c->fd >= 0 && c->watches && now_ms () >= c->until_ms)
            answer_watch (c, true);
        }
      if (!away)
        expire ();
    }
}

int
main (int argc, char **argv)
{
  static const struct option options[]
      = { { "port", required_argument, NULL, 'p' },
          { "record", required_argument, NULL, 'r' },
          { NULL, 0, NULL, 0 } };
  struct sockaddr_in at = { .sin_family = AF_INET };
  int option;
  int one = 1;
  signal (SIGPIPE, SIG_IGN);
  while ((option = getopt_long (argc, argv, "", options, NULL)) != -1)
    if (option == 'p')
      at.sin_port = htons ((uint16_t)strtol (optarg, NULL, 10));
    else if (option == 'r')
      record_file = fopen (optarg, "a");
    else
      return 2;
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    connections[i].fd = -1;
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  listener = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (record_file == NULL
      || bind (listener, (struct sockaddr *)&at, sizeof at) != 0
      || listen (listener, 128) != 0)
    return 2;
  printf ("ready\n");
  fflush (stdout);
  run ();
}
