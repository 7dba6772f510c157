/* A stand-in target: an HTTP server as described in docs/TARGETS.md, with a
   journal of the requests that it ran and fault injection.

   An answer is a JSON object of target, id, method, path (with the query),
   length and xxh64 of the request's body, followed by N spaces for ?pad=N in
   the query.  GET /health and GET /load are
   probes.  GET /control returns counters; POST /control changes only the
   members that it names:
   {"shed": bool, "drain": bool, "freeze_ms": n, "service_ms": n,
    "close_before": n, "close_after": n, "close_mid": n (close the connection
    of the next n requests before they run, after they ran, or in the middle of
    the answer),
    "health": "ok", "bad" or "true" (the actual state),
    "load": n or -1 (the actual load)}
   While the target is frozen, it answers only /control and the probes whose
   result was set.

   The journal has one JSON line per event: "begin" (before the request takes
   effect), "end" (outcome answered, cancelled, closed or cut) and "refuse"
   (outcome shed, draining, too-old or old-epoch; the request did not run).  */

#include "base/clock.h"
#include "lib/standin_http.h"
#include "lib/standin_journal.h"
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  SLOTS = 12,
  THREADS = 2,
  /* A cold request takes up to 1 + COLD_SLOWDOWN_MAX times as long, plus up to
     COLD_EXTRA_MS.  */
  COLD_SLOWDOWN_MAX = 4,
  COLD_EXTRA_MS = 5,
  QUOTED_BYTES = 600, /* a path or header in JSON */
  ANSWER_BYTES = 1024
};

enum phase
{
  PHASE_NEW,
  PHASE_QUEUED,
  PHASE_RUNNING,
  PHASE_ENDED
};

/* One request; the state of its call.  */
struct run
{
  enum phase phase;
  const char *id;
  const char *organisation;
  int64_t slot;
  int64_t epoch;
  int64_t expires_ns; /* 0: none */
  bool has_slot;
};

/* The settings of POST /control.  */
struct controls
{
  bool shed;
  bool drain;
  int64_t close_before;
  int64_t close_after;
  int64_t close_mid;
  int64_t frozen_until_ns;
  int health;   /* -1: actual; 0: bad; 1: ok */
  int64_t load; /* -1: actual */
  double service_ms;
};

struct counts
{
  uint64_t ran;
  uint64_t answered;
  uint64_t refused;
  uint64_t cancelled;
  uint64_t closed;
  int peak;
};

struct target
{
  struct standin_http *http;
  struct standin_journal *journal;
  pthread_mutex_t lock;
  GQueue *queue; /* calls that wait for a slot */
  GHashTable *highest_epochs;
  int running;
  int64_t started_ns;
  struct controls controls;
  struct counts counts;
};

static char *listen_address = "127.0.0.1:8080";
static char *name = "target";
static int slots = SLOTS;
static int threads = THREADS;
static double service_ms;
static int cold_ms;
static char *journal_path;
static gboolean queueing;
static gboolean fenced;
static gboolean check_deadline;

static const GOptionEntry entries[] = {
  { "listen", 'l', 0, G_OPTION_ARG_STRING, &listen_address,
    "listen here (127.0.0.1:8080)", "HOST:PORT" },
  { "name", 0, 0, G_OPTION_ARG_STRING, &name, "name in answers", "NAME" },
  { "slots", 0, 0, G_OPTION_ARG_INT, &slots,
    "maximum number of concurrent requests (12)", "N" },
  { "queue", 0, 0, G_OPTION_ARG_NONE, &queueing,
    "queue requests that find no free slot instead of shedding them", NULL },
  { "service-ms", 0, 0, G_OPTION_ARG_DOUBLE, &service_ms,
    "service time of a request (0); ?ms=N overrides it", "MS" },
  { "cold-ms", 0, 0, G_OPTION_ARG_INT, &cold_ms,
    "warm-up time after the start with longer service times (0)", "MS" },
  { "fenced", 0, 0, G_OPTION_ARG_NONE, &fenced,
    "refuse an epoch lower than the highest seen for the slot", NULL },
  { "check-deadline", 0, 0, G_OPTION_ARG_NONE, &check_deadline,
    "refuse requests whose deadline has passed", NULL },
  { "journal", 0, 0, G_OPTION_ARG_STRING, &journal_path,
    "append the journal of requests to FILE", "FILE" },
  { "threads", 0, 0, G_OPTION_ARG_INT, &threads, "HTTP threads (2)", "N" },
  G_OPTION_ENTRY_NULL,
};

static const char *
header (const struct standin_call *call, const char *field)
{
  return MHD_lookup_connection_value (call->connection, MHD_HEADER_KIND,
                                      field);
}

static int64_t
header_number (const struct standin_call *call, const char *field)
{
  const char *text = header (call, field);
  return text == NULL ? 0 : strtoll (text, NULL, 10);
}

static struct run *
new_run (const struct standin_call *call)
{
  struct run *r = calloc (1, sizeof *r);
  r->id = header (call, "Crocusbend-Request-Id");
  r->organisation = header (call, "Crocusbend-Organisation");
  r->has_slot = header (call, "Crocusbend-Slot") != NULL;
  r->slot = header_number (call, "Crocusbend-Slot");
  r->epoch = header_number (call, "Crocusbend-Epoch");
  r->expires_ns = header_number (call, "Crocusbend-Expires-Ns");
  if (r->id == NULL)
    r->id = "";
  if (r->organisation == NULL)
    r->organisation = "";
  return r;
}

/* Write EVENT of CALL to the journal.  The lock is held, so that the order of
   lines is the order of decisions.  */
static void
journal_event (const struct target *t, const struct standin_call *call,
               const char *event, const char *outcome)
{
  const struct run *r = call->state;
  char path[QUOTED_BYTES];
  char id[QUOTED_BYTES / 4];
  char organisation[QUOTED_BYTES / 4];
  if (t->journal == NULL)
    return;
  standin_json_quote (path, sizeof path, call->uri);
  standin_json_quote (id, sizeof id, r->id);
  standin_json_quote (organisation, sizeof organisation, r->organisation);
  standin_journal_write (
      t->journal,
      "{\"event\":\"%s\",\"ns\":%" PRId64 ",\"target\":\"%s\",\"id\":%s,"
      "\"method\":\"%s\",\"path\":%s,\"slot\":%" PRId64 ",\"epoch\":%" PRId64
      ",\"organisation\":%s,\"outcome\":\"%s\"}",
      event, clock_now_ns (), name, id, call->method, path, r->slot, r->epoch,
      organisation, outcome);
}

/* Wake the first queued request if a slot is free.  */
static void
wake_next (struct target *t)
{
  struct standin_call *next = g_queue_peek_head (t->queue);
  if (next != NULL && t->running < slots)
    standin_http_wake (next);
}

static void
leave_queue (struct target *t, struct standin_call *call)
{
  if (g_queue_remove (t->queue, call))
    wake_next (t);
}

static enum standin_action
refuse (struct target *t, struct standin_call *call, unsigned status,
        const char *reason)
{
  struct run *r = call->state;
  char *text = NULL;
  journal_event (t, call, "refuse", reason);
  leave_queue (t, call);
  t->counts.refused++;
  r->phase = PHASE_ENDED;
  if (asprintf (&text, "{\"target\":\"%s\",\"refused\":\"%s\"}", name, reason)
      < 0)
    abort ();
  standin_call_answer (call, status, text);
  MHD_add_response_header (call->response, "Crocusbend-Not-Run", "yes");
  return STANDIN_ANSWER;
}

/* Whether the epoch of R is not lower than the highest seen for its slot;
   records it as the highest if so.  */
static bool
check_fence (struct target *t, const struct run *r)
{
  if (!r->has_slot)
    return true;
  int64_t *highest = g_hash_table_lookup (t->highest_epochs, &r->slot);
  if (highest == NULL)
    {
      int64_t *entry = g_new (int64_t, 2);
      entry[0] = r->slot;
      entry[1] = r->epoch;
      g_hash_table_insert (t->highest_epochs, entry, entry);
      return true;
    }
  if (r->epoch < highest[1])
    return false;
  highest[1] = r->epoch;
  return true;
}

/* The service time of CALL in nanoseconds.  */
static int64_t
service_time_ns (const struct target *t, const struct standin_call *call,
                 int64_t now_ns)
{
  const char *requested_ms = MHD_lookup_connection_value (
      call->connection, MHD_GET_ARGUMENT_KIND, "ms");
  double ms = requested_ms == NULL ? t->controls.service_ms
                                   : strtod (requested_ms, NULL);
  int64_t cold_ns = cold_ms * NS_PER_MS;
  int64_t left_ns = t->started_ns + cold_ns - now_ns;
  if (cold_ns > 0 && left_ns > 0)
    {
      double cold = (double)left_ns / (double)cold_ns;
      ms = ms * (1 + COLD_SLOWDOWN_MAX * cold) + COLD_EXTRA_MS * cold;
    }
  return (int64_t)(ms * (double)NS_PER_MS);
}

static ssize_t
read_half (void *arg, uint64_t pos, char *to, size_t max)
{
  const char *text = arg;
  size_t half = strlen (text) / 2;
  if (pos >= half)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  size_t n = half - pos < max ? half - pos : max;
  memcpy (to, text + pos, n);
  return (ssize_t)n;
}

static void
set_answer (struct target *t, struct standin_call *call)
{
  const struct run *r = call->state;
  char path[QUOTED_BYTES];
  char id[QUOTED_BYTES / 4];
  const char *requested_pad = MHD_lookup_connection_value (
      call->connection, MHD_GET_ARGUMENT_KIND, "pad");
  int pad = requested_pad == NULL ? 0 : (int)strtol (requested_pad, NULL, 10);
  char *text = malloc (ANSWER_BYTES + (size_t)pad);
  standin_json_quote (path, sizeof path, call->uri);
  standin_json_quote (id, sizeof id, r->id);
  snprintf (text, ANSWER_BYTES + (size_t)pad,
            "{\"target\":\"%s\",\"id\":%s,\"method\":\"%s\",\"path\":%s,"
            "\"length\":%zu,\"xxh64\":\"%016" PRIx64 "\"}%*s\n",
            name, id, call->method, path, call->body_length,
            XXH64 (call->body, call->body_length, 0), pad, "");
  if (t->controls.close_mid > 0)
    {
      t->controls.close_mid--;
      call->status = MHD_HTTP_OK;
      call->response = MHD_create_response_from_callback (
          strlen (text), ANSWER_BYTES, read_half, text, free);
      return;
    }
  standin_call_answer (call, MHD_HTTP_OK, text);
}

static void
release_slot (struct target *t)
{
  t->running--;
  wake_next (t);
}

static enum standin_action
finish (struct target *t, struct standin_call *call)
{
  struct run *r = call->state;
  r->phase = PHASE_ENDED;
  release_slot (t);
  if (call->disconnected)
    {
      t->counts.cancelled++;
      journal_event (t, call, "end", "cancelled");
      return STANDIN_CLOSE;
    }
  if (t->controls.close_after > 0)
    {
      t->controls.close_after--;
      t->counts.closed++;
      journal_event (t, call, "end", "closed");
      return STANDIN_CLOSE;
    }
  t->counts.answered++;
  journal_event (t, call, "end",
                 t->controls.close_mid > 0 ? "cut" : "answered");
  set_answer (t, call);
  return STANDIN_ANSWER;
}

static enum standin_action
run (struct target *t, struct standin_call *call, int64_t now_ns)
{
  struct run *r = call->state;
  int64_t service_ns = service_time_ns (t, call, now_ns);
  r->phase = PHASE_RUNNING;
  t->running++;
  t->counts.ran++;
  if (t->running > t->counts.peak)
    t->counts.peak = t->running;
  journal_event (t, call, "begin", "running");
  leave_queue (t, call);
  if (service_ns == 0)
    return finish (t, call);
  call->wake_ns = now_ns + service_ns;
  return STANDIN_WAIT;
}

/* Run CALL; if no slot is free, queue or shed it.  */
static enum standin_action
take_slot (struct target *t, struct standin_call *call, int64_t now_ns)
{
  struct run *r = call->state;
  bool is_first
      = g_queue_is_empty (t->queue) || g_queue_peek_head (t->queue) == call;
  if (t->running < slots && (!queueing || is_first))
    {
      if (fenced && !check_fence (t, r))
        return refuse (t, call, MHD_HTTP_CONFLICT, "old-epoch");
      return run (t, call, now_ns);
    }
  if (!queueing)
    return refuse (t, call, MHD_HTTP_SERVICE_UNAVAILABLE, "shed");
  if (r->phase == PHASE_NEW)
    g_queue_push_tail (t->queue, call);
  r->phase = PHASE_QUEUED;
  call->wake_ns = INT64_MAX;
  return STANDIN_WAIT;
}

/* Advance CALL as far as possible at NOW_NS.  */
static enum standin_action
process_call (struct target *t, struct standin_call *call, int64_t now_ns)
{
  const struct run *r = call->state;
  if (now_ns < t->controls.frozen_until_ns && !call->disconnected)
    {
      call->wake_ns = t->controls.frozen_until_ns;
      return STANDIN_WAIT;
    }
  if (r->phase == PHASE_RUNNING)
    return finish (t, call);
  if (call->disconnected)
    {
      leave_queue (t, call);
      return STANDIN_CLOSE;
    }
  if (t->controls.close_before > 0 && r->phase == PHASE_NEW)
    {
      t->controls.close_before--;
      return STANDIN_CLOSE;
    }
  if (t->controls.drain)
    return refuse (t, call, MHD_HTTP_SERVICE_UNAVAILABLE, "draining");
  if (t->controls.shed)
    return refuse (t, call, MHD_HTTP_SERVICE_UNAVAILABLE, "shed");
  if (check_deadline && r->expires_ns != 0 && now_ns >= r->expires_ns)
    return refuse (t, call, MHD_HTTP_SERVICE_UNAVAILABLE, "too-old");
  return take_slot (t, call, now_ns);
}

static enum standin_action
answer_json (struct standin_call *call, unsigned status, json_t *out)
{
  standin_call_answer (call, status, json_dumps (out, JSON_COMPACT));
  json_decref (out);
  return STANDIN_ANSWER;
}

static enum standin_action
answer_health (const struct target *t, struct standin_call *call)
{
  int ok = t->controls.health >= 0 ? t->controls.health : !t->controls.drain;
  return answer_json (
      call, ok ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
      json_pack ("{s:s,s:s}", "target", name, "health", ok ? "ok" : "bad"));
}

static enum standin_action
answer_load (const struct target *t, struct standin_call *call)
{
  int64_t load = t->controls.load >= 0
                     ? t->controls.load
                     : t->running + (int64_t)g_queue_get_length (t->queue);
  return answer_json (call, MHD_HTTP_OK,
                      json_pack ("{s:s,s:I,s:i}", "target", name, "load",
                                 (json_int_t)load, "slots", slots));
}

static void
set_flag (bool *flag, const json_t *in, const char *member)
{
  const json_t *value = json_object_get (in, member);
  if (json_is_boolean (value))
    *flag = json_is_true (value);
}

static void
set_count (int64_t *count, const json_t *in, const char *member)
{
  const json_t *value = json_object_get (in, member);
  if (json_is_integer (value))
    *count = json_integer_value (value);
}

/* Change the settings that IN names and leave the others.  */
static void
set_controls (struct controls *o, const json_t *in, int64_t now_ns)
{
  const char *health = json_string_value (json_object_get (in, "health"));
  int64_t freeze_ms = -1;
  set_flag (&o->shed, in, "shed");
  set_flag (&o->drain, in, "drain");
  set_count (&o->close_before, in, "close_before");
  set_count (&o->close_after, in, "close_after");
  set_count (&o->close_mid, in, "close_mid");
  set_count (&o->load, in, "load");
  set_count (&freeze_ms, in, "freeze_ms");
  if (freeze_ms >= 0)
    o->frozen_until_ns = now_ns + freeze_ms * NS_PER_MS;
  if (health != NULL)
    o->health = strcmp (health, "ok") == 0    ? 1
                : strcmp (health, "bad") == 0 ? 0
                                              : -1;
  if (json_is_number (json_object_get (in, "service_ms")))
    o->service_ms = json_number_value (json_object_get (in, "service_ms"));
}

static enum standin_action
handle_control (struct target *t, struct standin_call *call, int64_t now_ns)
{
  const struct counts *c = &t->counts;
  int open;
  int peak;
  json_t *in = json_loads (call->body, 0, NULL);
  set_controls (&t->controls, in, now_ns);
  json_decref (in);
  standin_http_connections (t->http, &open, &peak);
  return answer_json (
      call, MHD_HTTP_OK,
      json_pack ("{s:s,s:i,s:i,s:i,s:I,s:I,s:I,s:I,s:I,s:i,s:i}", "target",
                 name, "running", t->running, "running_peak", c->peak,
                 "queued", (int)g_queue_get_length (t->queue), "ran",
                 (json_int_t)c->ran, "answered", (json_int_t)c->answered,
                 "refused", (json_int_t)c->refused, "cancelled",
                 (json_int_t)c->cancelled, "closed", (json_int_t)c->closed,
                 "connections", open, "connections_peak", peak));
}

static enum standin_action
handle_locked (struct target *t, struct standin_call *call)
{
  int64_t now_ns = clock_now_ns ();
  if (strcmp (call->path, "/control") == 0)
    return handle_control (t, call, now_ns);
  bool frozen = now_ns < t->controls.frozen_until_ns;
  bool probe = strcmp (call->path, "/health") == 0;
  if (probe && (!frozen || t->controls.health >= 0))
    return answer_health (t, call);
  if (strcmp (call->path, "/load") == 0 && (!frozen || t->controls.load >= 0))
    return answer_load (t, call);
  if (call->state == NULL)
    call->state = new_run (call);
  return process_call (t, call, now_ns);
}

static enum standin_action
handle (void *arg, struct standin_call *call)
{
  struct target *t = arg;
  pthread_mutex_lock (&t->lock);
  enum standin_action action = handle_locked (t, call);
  pthread_mutex_unlock (&t->lock);
  return action;
}

static void
end_call (void *arg, struct standin_call *call, bool answer_sent)
{
  struct target *t = arg;
  struct run *r = call->state;
  (void)answer_sent;
  if (r == NULL)
    return;
  pthread_mutex_lock (&t->lock);
  if (r->phase == PHASE_RUNNING)
    {
      journal_event (t, call, "end", "cancelled");
      release_slot (t);
    }
  leave_queue (t, call);
  pthread_mutex_unlock (&t->lock);
  free (r);
}

static const struct standin_ops ops = { handle, end_call, NULL };

static bool
open_target (struct target *t)
{
  pthread_mutex_init (&t->lock, NULL);
  t->queue = g_queue_new ();
  t->highest_epochs
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  t->started_ns = clock_now_ns ();
  t->controls.health = -1;
  t->controls.load = -1;
  t->controls.service_ms = service_ms;
  if (journal_path != NULL)
    {
      t->journal = standin_journal_open (journal_path);
      if (t->journal == NULL)
        return false;
    }
  t->http = standin_http_new (listen_address, (unsigned)threads, &ops, t);
  return t->http != NULL;
}

static void
close_target (struct target *t)
{
  if (t->http != NULL)
    standin_http_free (t->http);
  standin_journal_close (t->journal);
  g_queue_free (t->queue);
  g_hash_table_unref (t->highest_epochs);
}

int
main (int argc, char **argv)
{
  struct target t = { 0 };
  GError *error = NULL;
  GOptionContext *context = g_option_context_new ("- a stand-in target");
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "standin_target: %s\n", error->message);
      return 2;
    }
  g_option_context_free (context);
  standin_block_signals ();
  bool opened = open_target (&t);
  if (opened)
    standin_wait_for_signal ();
  else
    fprintf (stderr, "standin_target: cannot listen on %s or write %s\n",
             listen_address, journal_path == NULL ? "-" : journal_path);
  close_target (&t);
  return opened ? EXIT_SUCCESS : EXIT_FAILURE;
}
