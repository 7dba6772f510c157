#include "route/confd.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "conf/submit.h"
#include "route/peers_docs.h"
#include "route/tree.h"
#include "store/etcd.h"

#include <ck_pr.h>
#include <glib.h>
#include <inttypes.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  INBOX_CAPACITY = 256,
  KEY_BYTES = 256,
  IDLE_POLL_MS = 1000,
  WATCH_RETRY_MS = 500,
  LOAD_RETRY_MS = 100
};

/* The first byte of a document says what follows: the whole configuration, or
   the commands since a revision.  */
#define BODY_FULL 'W'
#define BODY_COMMANDS 'T'

/* The body of a fetch for the whole configuration, after the commands could
   not be applied.  */
#define QUERY_FULL "whole"

#define POLL_INTERVAL_NS (10 * NS_PER_S)
#define FIRST_BACKOFF_NS (50 * NS_PER_MS)
#define FETCH_TIMEOUT_NS NS_PER_S
#define COMMAND_TIMEOUT_NS (10 * NS_PER_S)

struct confd
{
  struct service service;
  struct kernel *kernel;
  const struct settings *settings;
  struct map *map;
  struct service *peers;
  struct inbox *inbox;
  struct map_view *view; /* copy of the installed view, of the main thread */
  char key[KEY_BYTES];
  pthread_mutex_t lock;
  struct conf *conf;
  uint64_t revision;    /* of conf */
  uint32_t evacuated;   /* this node's zone is evacuated in conf */
  int64_t next_poll_ns; /* time of the next fetch from the parent */
  int64_t backoff_ns;   /* delay of the next fetch when not up to date */
  uint64_t announced_revision; /* highest revision of a notice */
  bool fetching;
  bool full_needed; /* the commands could not be applied */
  char *commands;   /* last result of commands_since, or NULL */
  uint64_t commands_since;
  uint64_t commands_revision;
  uint32_t loaded; /* the configuration was read from the store */
  bool watching;   /* the watch thread is running */
  int watch_stopping;
  pthread_t thread;
  pthread_t watcher;
  uint32_t stopping;
};

/* Put CONF in force if it is newer.  Consumes CONF.  Returns whether it was
   newer.  */
static bool
install_conf (struct confd *c, struct conf *conf)
{
  pthread_mutex_lock (&c->lock);
  bool newer = conf_replace_if_newer (&c->conf, conf) == STATUS_OK;
  uint64_t revision = conf_revision (c->conf);
  ck_pr_store_32 (&c->evacuated,
                  conf_zone_is_evacuated (c->conf, c->settings->zone));
  ck_pr_store_64 (&c->revision, revision);
  pthread_mutex_unlock (&c->lock);
  if (newer)
    log_event (EV_CONFIG_IN_FORCE, "revision=%" PRIu64, revision);
  return newer;
}

static void
notify_children (struct confd *c, int64_t revision)
{
  uint32_t children[TREE_FANOUT];
  struct map_view *view = map_copy_view (c->map);
  if (view == NULL)
    return;
  unsigned count = tree_children (view, children);
  for (unsigned i = 0; i < count; i++)
    peers_notify (c->peers, view->members[children[i]].peer_address,
                  TOPIC_CONF, revision);
  free (view);
}

static struct conf *
get_conf (struct confd *c)
{
  pthread_mutex_lock (&c->lock);
  struct conf *conf = conf_ref (c->conf);
  pthread_mutex_unlock (&c->lock);
  return conf;
}

/* Put CONF in force and notify the children, if it is newer.  Consumes
   CONF.  */
static void
install_and_notify (struct confd *c, struct conf *conf)
{
  int64_t revision = (int64_t)conf_revision (conf);
  if (install_conf (c, conf))
    notify_children (c, revision);
}

/* Parse DATA, the JSON of a configuration from the store or a peer, and put it
   in force.  */
static void
install_json (struct confd *c, const char *data, size_t length)
{
  struct findings *findings = findings_new ("configuration");
  struct conf *conf = conf_from_json (data, length, findings);
  findings_free (findings);
  if (conf != NULL)
    install_and_notify (c, conf);
  else
    log_event (EV_CONFIG_INVALID, "bytes=%zu", length);
}

static bool
on_watched (void *arg, const char *key, const struct store_value *value)
{
  struct confd *c = arg;
  if (value != NULL && strcmp (key, c->key) == 0)
    install_json (c, value->data, value->length);
  return ck_pr_load_int (&c->watch_stopping) == 0;
}

static void
watch_once (struct confd *c, struct store *store)
{
  struct store_value value = { 0 };
  enum status s = store->ops->get (store, c->key, &value);
  if (s == STATUS_OK)
    install_json (c, value.data, value.length);
  int64_t from = value.revision;
  store_value_clear (&value);
  if (s == STATUS_OK || s == STATUS_NOT_FOUND)
    store->ops->watch (store, c->key, from, on_watched, c, &c->watch_stopping);
}

static void *
watch_run (void *arg)
{
  struct confd *c = arg;
  const struct settings *s = c->settings;
  struct store *store
      = etcd_new (s->stores, s->store_count, s->store_timeout_ms);
  while (store != NULL && ck_pr_load_int (&c->watch_stopping) == 0)
    {
      watch_once (c, store);
      if (ck_pr_load_int (&c->watch_stopping) == 0)
        clock_sleep_ms (WATCH_RETRY_MS);
    }
  if (store != NULL)
    store->ops->free (store);
  return NULL;
}

static void
start_watch (struct confd *c)
{
  ck_pr_store_int (&c->watch_stopping, 0);
  c->watching = pthread_create (&c->watcher, NULL, watch_run, c) == 0;
}

static void
stop_watch (struct confd *c)
{
  if (!c->watching)
    return;
  ck_pr_store_int (&c->watch_stopping, 1);
  pthread_join (c->watcher, NULL);
  c->watching = false;
}

static void
poll_parent (struct confd *c, int64_t now_ns)
{
  uint32_t parent;
  c->next_poll_ns = now_ns + POLL_INTERVAL_NS;
  if (c->fetching || !tree_parent (c->view, &parent))
    return;
  struct peers_fetch *f = calloc (1, sizeof *f);
  if (f == NULL)
    return;
  memcpy (f->address, c->view->members[parent].peer_address,
          sizeof f->address);
  f->topic = TOPIC_CONF;
  f->known_revision = (int64_t)ck_pr_load_64 (&c->revision);
  f->body = c->full_needed ? strdup (QUERY_FULL) : NULL;
  f->reply_to = c->inbox;
  f->deadline_ns = now_ns + FETCH_TIMEOUT_NS;
  c->fetching = peers_fetch (c->peers, f) == STATUS_OK;
  if (!c->fetching)
    peers_fetch_free (f);
}

/* Apply the commands that the parent sent to the configuration in force.  */
static void
apply_commands (struct confd *c, const char *data, size_t length)
{
  struct findings *ignored = findings_new ("tail");
  struct conf *base = get_conf (c);
  struct conf *next;
  enum status s = conf_apply_tail (base, data, length, ignored, &next);
  if (s == STATUS_OK)
    install_and_notify (c, next);
  c->full_needed = s != STATUS_OK && s != STATUS_STALE;
  conf_unref (base);
  findings_free (ignored);
}

static void
process_body (struct confd *c, const char *data, size_t length)
{
  counter_add (COUNTER_config_bytes_in_total, length);
  if (data[0] == BODY_COMMANDS)
    {
      counter_add (COUNTER_config_tails_total, 1);
      apply_commands (c, data + 1, length - 1);
      return;
    }
  counter_add (COUNTER_config_wholes_total, 1);
  c->full_needed = false;
  install_json (c, data + 1, length - 1);
}

/* Schedule the next fetch from the parent: after POLL_INTERVAL_NS when this
   node is up to date; otherwise after a back-off that doubles with each
   fetch.  */
static void
schedule_poll (struct confd *c, bool answered, int64_t now_ns)
{
  bool behind = ck_pr_load_64 (&c->revision) < c->announced_revision;
  if (answered && !behind && !c->full_needed)
    {
      c->backoff_ns = FIRST_BACKOFF_NS;
      c->next_poll_ns = now_ns + POLL_INTERVAL_NS;
      return;
    }
  c->next_poll_ns = now_ns + c->backoff_ns;
  c->backoff_ns *= 2;
  if (c->backoff_ns > POLL_INTERVAL_NS)
    c->backoff_ns = POLL_INTERVAL_NS;
}

static void
on_fetch_done (struct confd *c, struct peers_fetch *f, int64_t now_ns)
{
  bool answered = f->status == STATUS_OK;
  c->fetching = false;
  if (answered && f->length > 0)
    process_body (c, f->data, f->length);
  peers_fetch_free (f);
  schedule_poll (c, answered, now_ns);
}

static void
on_notice (struct confd *c, struct peers_notice *n)
{
  /* The children are notified only after the revision was fetched.  */
  uint64_t revision = (uint64_t)n->revision;
  if (revision > c->announced_revision
      && revision > ck_pr_load_64 (&c->revision))
    {
      c->announced_revision = revision;
      c->backoff_ns = FIRST_BACKOFF_NS;
      c->next_poll_ns = 0;
    }
  free (n);
}

/* The commands of CONF after SINCE as JSON, cached for all children that
   ask.  */
static const char *
commands_since (struct confd *c, const struct conf *conf, uint64_t since)
{
  if (c->commands != NULL && c->commands_since == since
      && c->commands_revision == conf_revision (conf))
    return c->commands;
  free (c->commands);
  c->commands = conf_tail_to_json (conf, since);
  c->commands_since = since;
  c->commands_revision = conf_revision (conf);
  return c->commands;
}

static char *
make_body (struct confd *c, const struct conf *conf,
           const struct peers_query *query)
{
  uint64_t known = (uint64_t)query->known_revision;
  if (known >= conf_revision (conf))
    return g_strdup ("");
  bool full_wanted = strcmp (query->body, QUERY_FULL) == 0;
  const char *commands = full_wanted ? NULL : commands_since (c, conf, known);
  if (commands != NULL)
    return g_strdup_printf ("%c%s", BODY_COMMANDS, commands);
  char *full = conf_to_json (conf);
  char *body = g_strdup_printf ("%c%s", BODY_FULL, full);
  free (full);
  return body;
}

/* Answer a fetch of another node.  */
static void
on_query (struct confd *c, struct peers_query *query)
{
  struct conf *conf = get_conf (c);
  query->revision = (int64_t)conf_revision (conf);
  query->result = make_body (c, conf, query);
  conf_unref (conf);
  peers_reply (c->peers, query);
}

static void
process_inbox (struct confd *c, int64_t now_ns)
{
  struct inbox_header *message;
  while ((message = inbox_take (c->inbox)) != NULL)
    if (message->kind == INBOX_MESSAGE_FETCH)
      on_fetch_done (c, (struct peers_fetch *)message, now_ns);
    else if (message->kind == INBOX_MESSAGE_QUERY)
      on_query (c, (struct peers_query *)message);
    else
      on_notice (c, (struct peers_notice *)message);
}

/* Copy the installed view, and start or stop the watch of the store by it.  A
   new member fetches the configuration immediately.  */
static void
refresh_view (struct confd *c, uint64_t *self)
{
  struct map_view *view = map_copy_view (c->map);
  if (view == NULL)
    return;
  free (c->view);
  c->view = view;
  if (view->self_incarnation != *self)
    c->next_poll_ns = 0;
  *self = view->self_incarnation;
  /* A node that left the cell because its zone is evacuated has no parent.  */
  bool watches
      = tree_is_watcher (view)
        || (view->self_incarnation == 0 && ck_pr_load_32 (&c->evacuated) != 0);
  if (watches && !c->watching)
    start_watch (c);
  else if (!watches)
    stop_watch (c);
}

static void
wait_events (struct confd *c)
{
  struct pollfd fd = { .fd = inbox_fd (c->inbox), .events = POLLIN };
  if (inbox_arm_wakeup (c->inbox))
    poll (&fd, 1, IDLE_POLL_MS);
  inbox_clear_wakeup (c->inbox);
}

/* Read the configuration from the store; retry until the store answers.  */
static void
load_from_store (struct confd *c)
{
  const struct settings *s = c->settings;
  struct store *store
      = etcd_new (s->stores, s->store_count, s->store_timeout_ms);
  while (store != NULL && ck_pr_load_32 (&c->stopping) == 0
         && ck_pr_load_32 (&c->loaded) == 0)
    {
      struct store_value value = { 0 };
      enum status status = store->ops->get (store, c->key, &value);
      if (status == STATUS_OK)
        install_json (c, value.data, value.length);
      store_value_clear (&value);
      if (status == STATUS_OK || status == STATUS_NOT_FOUND)
        ck_pr_store_32 (&c->loaded, 1);
      else
        clock_sleep_ms (LOAD_RETRY_MS);
    }
  if (store != NULL)
    store->ops->free (store);
}

static void *
confd_run (void *arg)
{
  struct confd *c = arg;
  uint64_t self = 0;
  load_from_store (c);
  while (ck_pr_load_32 (&c->stopping) == 0)
    {
      int64_t now_ns = clock_now_ns ();
      process_inbox (c, now_ns);
      refresh_view (c, &self);
      if (c->next_poll_ns <= now_ns && c->view != NULL)
        poll_parent (c, now_ns);
      wait_events (c);
    }
  stop_watch (c);
  return NULL;
}

static enum status
confd_start (struct service *self)
{
  struct confd *c = (struct confd *)self;
  if (pthread_create (&c->thread, NULL, confd_run, c) != 0)
    return status_set (STATUS_SYSTEM,
                       "cannot create the configuration thread");
  return STATUS_OK;
}

static void
confd_stop (struct service *self)
{
  struct confd *c = (struct confd *)self;
  ck_pr_store_32 (&c->stopping, 1);
  inbox_wake (c->inbox);
  pthread_join (c->thread, NULL);
}

static void
confd_free (struct service *self)
{
  struct confd *c = (struct confd *)self;
  struct inbox_header *message;
  while (c->inbox != NULL && (message = inbox_take (c->inbox)) != NULL)
    if (message->kind == INBOX_MESSAGE_FETCH)
      peers_fetch_free ((struct peers_fetch *)message);
    else if (message->kind == INBOX_MESSAGE_QUERY)
      peers_query_free ((struct peers_query *)message);
    else
      free (message);
  inbox_free (c->inbox);
  conf_unref (c->conf);
  free (c->commands);
  pthread_mutex_destroy (&c->lock);
  free (c->view);
  free (c);
}

static const struct service_ops confd_ops = {
  CONFD_SERVICE, confd_start, NULL, confd_stop, confd_free,
};

struct service *
confd_new (struct kernel *k, const struct settings *s, struct map *m)
{
  struct confd *c = calloc (1, sizeof *c);
  if (c == NULL)
    return NULL;
  c->service.ops = &confd_ops;
  c->kernel = k;
  c->settings = s;
  c->map = m;
  c->conf = conf_new ();
  c->backoff_ns = FIRST_BACKOFF_NS;
  pthread_mutex_init (&c->lock, NULL);
  snprintf (c->key, sizeof c->key, "%s/config", s->store_prefix);
  c->inbox = inbox_new (INBOX_CAPACITY);
  c->peers = kernel_find (k, PEERS_SERVICE);
  if (c->inbox == NULL)
    {
      confd_free (&c->service);
      return NULL;
    }
  peers_subscribe (c->peers, TOPIC_CONF, c->inbox);
  peers_handle_fetches (c->peers, TOPIC_CONF, c->inbox);
  return &c->service;
}

struct conf *
confd_get (struct service *confd)
{
  return get_conf ((struct confd *)confd);
}

bool
confd_is_loaded (struct service *confd)
{
  return ck_pr_load_32 (&((struct confd *)confd)->loaded) != 0;
}

bool
confd_is_evacuated (struct service *confd)
{
  return ck_pr_load_32 (&((struct confd *)confd)->evacuated) != 0;
}

uint64_t
confd_revision (struct service *confd)
{
  return ck_pr_load_64 (&((struct confd *)confd)->revision);
}

/* Compute the effect of COMMAND on the stored configuration.  */
static enum status
dry_run_command (const struct conf_submit_env *env,
                 const struct conf_command *command, struct findings *findings,
                 struct confd_change *change)
{
  int64_t at;
  enum status s = conf_fetch (env, findings, &change->before, &at);
  if (s != STATUS_OK)
    return s;
  return conf_apply (change->before, command, findings, &change->after);
}

/* Write COMMAND to the store and put the result in force here.  */
static enum status
submit_command (struct confd *c, const struct conf_submit_env *env,
                const struct conf_command *command, struct findings *findings,
                struct confd_change *change)
{
  struct conf_submit_result result;
  enum status s = conf_submit (env, command, findings, &result);
  if (s != STATUS_OK)
    return s;
  change->before = conf_ref (result.before);
  change->after = conf_ref (result.after);
  install_and_notify (c, conf_ref (result.newest));
  conf_submit_result_clear (&result);
  return STATUS_OK;
}

enum status
confd_apply (struct service *confd, const struct conf_command *command,
             bool dry_run, struct findings *findings,
             struct confd_change *change)
{
  struct confd *c = (struct confd *)confd;
  const struct settings *settings = c->settings;
  struct conf_submit_env env;
  memset (change, 0, sizeof *change);
  struct store *store = etcd_new (settings->stores, settings->store_count,
                                  settings->store_timeout_ms);
  if (store == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for a command");
  struct conf *known = get_conf (c);
  conf_submit_env_init (&env, store, c->key, known, COMMAND_TIMEOUT_NS);
  enum status s = dry_run
                      ? dry_run_command (&env, command, findings, change)
                      : submit_command (c, &env, command, findings, change);
  conf_unref (known);
  store->ops->free (store);
  return s;
}

void
confd_change_clear (struct confd_change *change)
{
  conf_unref (change->before);
  conf_unref (change->after);
  memset (change, 0, sizeof *change);
}
