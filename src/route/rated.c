#include "route/rated.h"
#include "base/clock.h"
#include "base/counter.h"
#include "route/confd.h"
#include "route/peers_docs.h"

#include <ck_pr.h>
#include <inttypes.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  INBOX_CAPACITY = 1024,
  ACTIVE_TRIALS_MAX = 1024, /* trial organisations active at once */
  IDLE_POLL_MS = 100,
  MESSAGE_BYTES = RATE_NAME_BYTES + 48
};

#define REPORT_TIMEOUT_NS (400 * NS_PER_MS)

struct rated
{
  struct service service;
  struct kernel *kernel;
  const struct settings *settings;
  struct map *map;
  struct service *confd;
  struct service *peers;
  struct inbox *inbox;
  struct rate_holder *holder; /* used by the service's thread only */
  struct map_view *view;      /* used by the service's thread only */
  pthread_mutex_t lock;       /* guards node and member_count */
  struct rate_node *node;
  uint32_t member_count;
  pthread_t thread;
  uint32_t stopping;
};

char *
rate_report_format (const struct rate_report *report)
{
  char text[MESSAGE_BYTES];
  snprintf (text, sizeof text,
            "%" PRIu32 " %" PRIu32 " %" PRIu32 " %" PRIu32 " %s",
            report->sequence, report->requested, report->returned,
            report->interval_ms, report->organisation);
  return strdup (text);
}

char *
rate_grant_format (const struct rate_grant *grant)
{
  char text[MESSAGE_BYTES];
  snprintf (text, sizeof text, "%" PRIu32 " %" PRIu32 " %" PRIu32 " %s",
            grant->sequence, grant->granted, grant->interval_ms,
            grant->organisation);
  return strdup (text);
}

/* Parse COUNT numbers, each followed by one space, and the name after
   them.  */
static bool
parse_message (const char *text, uint32_t *numbers, unsigned count,
               char name[RATE_NAME_BYTES])
{
  for (unsigned i = 0; i < count; i++)
    {
      char *end;
      unsigned long long number = strtoull (text, &end, 10);
      if (end == text || *end != ' ' || number > UINT32_MAX)
        return false;
      numbers[i] = (uint32_t)number;
      text = end + 1;
    }
  if (strlen (text) >= RATE_NAME_BYTES)
    return false;
  snprintf (name, RATE_NAME_BYTES, "%s", text);
  return true;
}

bool
rate_report_parse (struct rate_report *report, const char *text)
{
  uint32_t n[4];
  if (!parse_message (text, n, 4, report->organisation))
    return false;
  report->sequence = n[0];
  report->requested = n[1];
  report->returned = n[2];
  report->interval_ms = n[3];
  return true;
}

bool
rate_grant_parse (struct rate_grant *grant, const char *text)
{
  uint32_t n[3];
  if (!parse_message (text, n, 3, grant->organisation))
    return false;
  grant->sequence = n[0];
  grant->granted = n[1];
  grant->interval_ms = n[2];
  return true;
}

/* Answer REPORT as the holder of the organisation's rate, by the rate in force
   here.  */
static bool
answer_report (struct rated *r, const struct rate_report *report,
               struct rate_grant *grant, int64_t now_ns)
{
  struct conf *conf = confd_get (r->confd);
  struct conf_limits limits = conf_effective_limits (
      conf, r->settings->service, report->organisation);
  conf_unref (conf);
  double rate = limits.value[CONF_TRIAL_RATE];
  return rate_handle_report (r->holder, report, rate, grant, now_ns)
         == STATUS_OK;
}

static void
apply_grant (struct rated *r, const struct rate_grant *grant, int64_t now_ns)
{
  pthread_mutex_lock (&r->lock);
  rate_apply_grant (r->node, grant, now_ns);
  pthread_mutex_unlock (&r->lock);
}

static void
send_report (struct rated *r, const struct map_member *holder,
             const struct rate_report *report, int64_t now_ns)
{
  struct peers_fetch *f = calloc (1, sizeof *f);
  if (f == NULL)
    return;
  memcpy (f->address, holder->peer_address, sizeof f->address);
  f->topic = TOPIC_RATE;
  f->body = rate_report_format (report);
  f->reply_to = r->inbox;
  f->deadline_ns = now_ns + REPORT_TIMEOUT_NS;
  if (f->body != NULL)
    counter_add (COUNTER_rate_bytes_out_total, strlen (f->body));
  if (f->body == NULL || peers_fetch (r->peers, f) != STATUS_OK)
    peers_fetch_free (f);
}

/* Hand REPORT to the holder of the organisation's rate, at this node or
   another.  */
static void
route_report (struct rated *r, const struct rate_report *report,
              int64_t now_ns)
{
  uint64_t members[MAP_MEMBERS_MAX];
  struct rate_grant grant;
  uint32_t count = r->view->member_count;
  for (uint32_t i = 0; i < count; i++)
    members[i] = r->view->members[i].incarnation;
  if (count == 0)
    return;
  size_t holder_index
      = rate_pick_holder (report->organisation, members, count);
  if (members[holder_index] != r->view->self_incarnation)
    send_report (r, &r->view->members[holder_index], report, now_ns);
  else if (answer_report (r, report, &grant, now_ns))
    apply_grant (r, &grant, now_ns);
}

static void
route_due_reports (struct rated *r, int64_t now_ns)
{
  struct rate_report report;
  for (;;)
    {
      pthread_mutex_lock (&r->lock);
      bool due = rate_next_report (r->node, &report, now_ns);
      pthread_mutex_unlock (&r->lock);
      if (!due)
        return;
      route_report (r, &report, now_ns);
    }
}

static void
on_fetch_done (struct rated *r, struct peers_fetch *f, int64_t now_ns)
{
  struct rate_grant grant;
  if (f->status == STATUS_OK && f->data != NULL
      && rate_grant_parse (&grant, f->data))
    apply_grant (r, &grant, now_ns);
  peers_fetch_free (f);
}

/* Answer a report of another node.  */
static void
on_query (struct rated *r, struct peers_query *query, int64_t now_ns)
{
  struct rate_report report;
  struct rate_grant grant;
  if (rate_report_parse (&report, query->body)
      && answer_report (r, &report, &grant, now_ns))
    query->result = rate_grant_format (&grant);
  if (query->result != NULL)
    counter_add (COUNTER_rate_bytes_out_total, strlen (query->result));
  peers_reply (r->peers, query);
}

static void
process_inbox (struct rated *r, int64_t now_ns)
{
  struct inbox_header *message;
  while ((message = inbox_take (r->inbox)) != NULL)
    if (message->kind == INBOX_MESSAGE_FETCH)
      on_fetch_done (r, (struct peers_fetch *)message, now_ns);
    else
      on_query (r, (struct peers_query *)message, now_ns);
}

static void
refresh_view (struct rated *r)
{
  if (r->view != NULL && r->view->revision == map_revision (r->map))
    return;
  struct map_view *view = map_copy_view (r->map);
  if (view == NULL)
    return;
  free (r->view);
  r->view = view;
  pthread_mutex_lock (&r->lock);
  r->member_count = view->member_count > 0 ? view->member_count : 1;
  pthread_mutex_unlock (&r->lock);
}

static void
wait_events (struct rated *r)
{
  struct pollfd fd = { .fd = inbox_fd (r->inbox), .events = POLLIN };
  if (inbox_arm_wakeup (r->inbox))
    poll (&fd, 1, IDLE_POLL_MS);
  inbox_clear_wakeup (r->inbox);
}

static void *
rated_run (void *arg)
{
  struct rated *r = arg;
  while (ck_pr_load_32 (&r->stopping) == 0)
    {
      int64_t now_ns = clock_now_ns ();
      refresh_view (r);
      process_inbox (r, now_ns);
      if (r->view != NULL)
        route_due_reports (r, now_ns);
      wait_events (r);
    }
  return NULL;
}

static enum status
rated_start (struct service *self)
{
  struct rated *r = (struct rated *)self;
  if (pthread_create (&r->thread, NULL, rated_run, r) != 0)
    return status_set (STATUS_SYSTEM, "cannot create the rate thread");
  return STATUS_OK;
}

static void
rated_stop (struct service *self)
{
  struct rated *r = (struct rated *)self;
  ck_pr_store_32 (&r->stopping, 1);
  inbox_wake (r->inbox);
  pthread_join (r->thread, NULL);
}

static void
rated_free (struct service *self)
{
  struct rated *r = (struct rated *)self;
  struct inbox_header *message;
  while (r->inbox != NULL && (message = inbox_take (r->inbox)) != NULL)
    if (message->kind == INBOX_MESSAGE_FETCH)
      peers_fetch_free ((struct peers_fetch *)message);
    else
      peers_query_free ((struct peers_query *)message);
  inbox_free (r->inbox);
  rate_node_free (r->node);
  rate_holder_free (r->holder);
  pthread_mutex_destroy (&r->lock);
  free (r->view);
  free (r);
}

static const struct service_ops rated_ops = {
  RATED_SERVICE, rated_start, NULL, rated_stop, rated_free,
};

struct service *
rated_new (struct kernel *k, const struct settings *s, struct map *m)
{
  struct rated *r = calloc (1, sizeof *r);
  if (r == NULL)
    return NULL;
  r->service.ops = &rated_ops;
  r->kernel = k;
  r->settings = s;
  r->map = m;
  r->member_count = 1;
  r->confd = kernel_find (k, CONFD_SERVICE);
  r->peers = kernel_find (k, PEERS_SERVICE);
  pthread_mutex_init (&r->lock, NULL);
  r->inbox = inbox_new (INBOX_CAPACITY);
  r->node = rate_node_new (ACTIVE_TRIALS_MAX);
  r->holder = rate_holder_new (ACTIVE_TRIALS_MAX);
  if (r->inbox == NULL || r->node == NULL || r->holder == NULL)
    {
      rated_free (&r->service);
      return NULL;
    }
  peers_handle_fetches (r->peers, TOPIC_RATE, r->inbox);
  return &r->service;
}

enum status
rated_take (struct service *rated, const char *organisation, uint32_t rate,
            int64_t now_ns)
{
  struct rated *r = (struct rated *)rated;
  if (rate == 0)
    return status_set (STATUS_LIMITED, "the rate is zero");
  pthread_mutex_lock (&r->lock);
  enum status s
      = rate_take (r->node, organisation, rate, r->member_count, now_ns);
  bool due = rate_next_report_ns (r->node) <= now_ns;
  pthread_mutex_unlock (&r->lock);
  /* Wake the thread, so that the first requests of an organisation do not wait
     for its next round.  */
  if (due)
    inbox_wake (r->inbox);
  return s;
}
