#include "lib/emulation.h"

#include "base/clock.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  NAME_BYTES = 64,
  RETRY_BACKOFF_MS = 100
};

#define NO_REQUEST UINT32_MAX

enum event_kind
{
  EVENT_ARRIVAL,
  EVENT_RETRY,
  EVENT_DEADLINE,
  EVENT_CHANGE,
  EVENT_WAKE
};

struct event
{
  int64_t at_ns;
  enum event_kind kind;
  uint32_t index; /* stream, request or change */
  uint32_t generation;
};

enum request_state
{
  REQUEST_FREE,
  REQUEST_WAITING,
  REQUEST_SENT,
  REQUEST_ABANDONED /* sent; its caller no longer waits */
};

struct request
{
  enum request_state state;
  uint32_t generation;
  uint32_t stream;
  uint32_t retries_left;
  uint32_t organisation; /* index within the stream */
  int64_t arrived_ns;
  int64_t deadline_ns;
  int64_t sent_ns;
  double service_ns;
  double finish_progress_ns; /* completes when progress_ns reaches this */
  admit_ticket ticket;
  uint32_t next;
};

struct samples
{
  double *ms;
  size_t count;
  size_t capacity;
};

struct emulation
{
  const struct emulation_config *config;
  struct emulation_result *result;
  struct gate *gate;
  int64_t now_ns;
  int64_t wake_ns; /* of the pending wake event; INT64_MAX: none */
  struct event *events;
  size_t event_count;
  size_t event_capacity;
  struct request *requests;
  uint32_t request_count;
  uint32_t request_capacity;
  uint32_t free_head;
  uint64_t random[EMULATION_STREAMS_MAX];
  struct samples samples[EMULATION_STREAMS_MAX];
  /* The queue of the FIFO schemes.  */
  uint32_t fifo_head;
  uint32_t fifo_tail;
  uint32_t fifo_in_flight;
  /* The target: processor sharing, progress is service given to each
     running request since the start.  */
  struct emulation_target target;
  double progress_ns;
  int64_t progress_at_ns; /* when progress_ns was last updated */
  uint32_t *running;
  uint32_t running_count;
  uint32_t backlog_head;
  uint32_t backlog_tail;
};

static void *
grow (void *table, size_t count, size_t size)
{
  void *grown = realloc (table, count * size);
  if (grown == NULL)
    abort ();
  return grown;
}

/* Random numbers (splitmix64).  */

static uint64_t
next_random (struct emulation *e, uint32_t stream)
{
  uint64_t z = e->random[stream] += UINT64_C (0x9e3779b97f4a7c15);
  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

static double
draw_uniform (struct emulation *e, uint32_t stream)
{
  return ((double)(next_random (e, stream) >> 11) + 0.5) / 9007199254740992.0;
}

static double
draw_service_ns (struct emulation *e, uint32_t stream)
{
  const struct emulation_stream *s = &e->config->streams[stream];
  double mean = (double)s->mean_service_ns;
  double u = draw_uniform (e, stream);
  double v = draw_uniform (e, stream);
  switch (s->distribution)
    {
    case EMULATION_EXPONENTIAL:
      return -mean * log (u);
    case EMULATION_LOGNORMAL:
      {
        double variance = log (1 + 0.5 * 0.5);
        double normal = sqrt (-2 * log (u)) * cos (2 * M_PI * v);
        return mean * exp (normal * sqrt (variance) - variance / 2);
      }
    default:
      return mean;
    }
}

/* Events.  */

static bool
event_is_earlier (const struct event *a, const struct event *b)
{
  return a->at_ns < b->at_ns;
}

static void
schedule (struct emulation *e, struct event event)
{
  if (e->event_count == e->event_capacity)
    {
      e->event_capacity
          = e->event_capacity == 0 ? 1024 : 2 * e->event_capacity;
      e->events = grow (e->events, e->event_capacity, sizeof *e->events);
    }
  size_t position = e->event_count++;
  while (position > 0
         && event_is_earlier (&event, &e->events[(position - 1) / 2]))
    {
      e->events[position] = e->events[(position - 1) / 2];
      position = (position - 1) / 2;
    }
  e->events[position] = event;
}

static struct event
pop_event (struct emulation *e)
{
  struct event first = e->events[0];
  struct event last = e->events[--e->event_count];
  size_t position = 0;
  for (;;)
    {
      size_t child = 2 * position + 1;
      if (child >= e->event_count)
        break;
      if (child + 1 < e->event_count
          && event_is_earlier (&e->events[child + 1], &e->events[child]))
        child++;
      if (!event_is_earlier (&e->events[child], &last))
        break;
      e->events[position] = e->events[child];
      position = child;
    }
  e->events[position] = last;
  return first;
}

/* Requests.  */

static uint32_t
new_request (struct emulation *e)
{
  if (e->free_head != NO_REQUEST)
    {
      uint32_t index = e->free_head;
      e->free_head = e->requests[index].next;
      return index;
    }
  if (e->request_count == e->request_capacity)
    {
      e->request_capacity
          = e->request_capacity == 0 ? 1024 : 2 * e->request_capacity;
      e->requests
          = grow (e->requests, e->request_capacity, sizeof *e->requests);
    }
  e->requests[e->request_count].generation = 0;
  return e->request_count++;
}

static void
free_request (struct emulation *e, uint32_t index)
{
  struct request *r = &e->requests[index];
  r->state = REQUEST_FREE;
  r->generation++;
  r->next = e->free_head;
  e->free_head = index;
}

static bool
is_counted (const struct emulation *e, const struct request *r)
{
  return r->arrived_ns >= e->config->warmup_ns;
}

static void
add_sample (struct emulation *e, const struct request *r)
{
  struct samples *s = &e->samples[r->stream];
  if (s->count == s->capacity)
    {
      s->capacity = s->capacity == 0 ? 1024 : 2 * s->capacity;
      s->ms = grow (s->ms, s->capacity, sizeof *s->ms);
    }
  s->ms[s->count++] = (double)(e->now_ns - r->arrived_ns) / (double)NS_PER_MS;
}

/* The target.  */

static double
service_rate (const struct emulation *e)
{
  double n = e->running_count;
  double speed = e->target.speed;
  if (n <= e->target.knee)
    return speed;
  double slowdown = 1 + e->target.contention * (n - e->target.knee);
  return speed * e->target.knee / n / slowdown;
}

static void
advance_progress (struct emulation *e)
{
  e->progress_ns += service_rate (e) * (double)(e->now_ns - e->progress_at_ns);
  e->progress_at_ns = e->now_ns;
}

static void
run_request (struct emulation *e, uint32_t index)
{
  struct request *r = &e->requests[index];
  r->finish_progress_ns = e->progress_ns + r->service_ns;
  e->running[e->running_count++] = index;
}

static void
target_submit (struct emulation *e, uint32_t index)
{
  advance_progress (e);
  if (e->running_count < e->target.slots)
    {
      run_request (e, index);
      return;
    }
  e->requests[index].next = NO_REQUEST;
  if (e->backlog_tail == NO_REQUEST)
    e->backlog_head = index;
  else
    e->requests[e->backlog_tail].next = index;
  e->backlog_tail = index;
}

static void
start_backlog (struct emulation *e)
{
  while (e->backlog_head != NO_REQUEST && e->running_count < e->target.slots)
    {
      uint32_t index = e->backlog_head;
      e->backlog_head = e->requests[index].next;
      if (e->backlog_head == NO_REQUEST)
        e->backlog_tail = NO_REQUEST;
      run_request (e, index);
    }
}

static void
backlog_remove (struct emulation *e, uint32_t index)
{
  uint32_t previous = NO_REQUEST;
  uint32_t i = e->backlog_head;
  while (i != NO_REQUEST && i != index)
    {
      previous = i;
      i = e->requests[i].next;
    }
  if (i == NO_REQUEST)
    return;
  uint32_t next = e->requests[index].next;
  if (previous == NO_REQUEST)
    e->backlog_head = next;
  else
    e->requests[previous].next = next;
  if (e->backlog_tail == index)
    e->backlog_tail = previous;
}

static void
target_cancel (struct emulation *e, uint32_t index)
{
  advance_progress (e);
  for (uint32_t i = 0; i < e->running_count; i++)
    if (e->running[i] == index)
      {
        e->running[i] = e->running[--e->running_count];
        start_backlog (e);
        return;
      }
  backlog_remove (e, index);
}

/* The index in `running` of the next request to complete, and when it
   completes.  */
static uint32_t
next_completion (const struct emulation *e, int64_t *at_ns)
{
  uint32_t next = NO_REQUEST;
  double speed = service_rate (e);
  *at_ns = INT64_MAX;
  if (speed <= 0)
    return NO_REQUEST;
  for (uint32_t i = 0; i < e->running_count; i++)
    if (next == NO_REQUEST
        || e->requests[e->running[i]].finish_progress_ns
               < e->requests[e->running[next]].finish_progress_ns)
      next = i;
  if (next == NO_REQUEST)
    return NO_REQUEST;
  double left
      = e->requests[e->running[next]].finish_progress_ns - e->progress_ns;
  *at_ns = e->progress_at_ns + (int64_t)ceil (fmax (left, 0) / speed);
  return next;
}

/* Admission.  */

static void
send_request (struct emulation *e, uint32_t index)
{
  struct request *r = &e->requests[index];
  if (r->state == REQUEST_WAITING)
    r->state = REQUEST_SENT;
  r->sent_ns = e->now_ns;
  if (is_counted (e, r))
    e->result->streams[r->stream].sent++;
  target_submit (e, index);
}

static void
schedule_retry (struct emulation *e, const struct request *r)
{
  if (r->retries_left == 0)
    return;
  uint32_t index = new_request (e);
  struct request *retry = &e->requests[index];
  uint32_t generation = retry->generation;
  *retry = *r;
  retry->generation = generation;
  retry->state = REQUEST_WAITING;
  retry->retries_left--;
  double backoff_ms = RETRY_BACKOFF_MS * (0.5 + draw_uniform (e, r->stream));
  schedule (e, (struct event){ .at_ns
                               = e->now_ns + (int64_t)(backoff_ms * NS_PER_MS),
                               .kind = EVENT_RETRY,
                               .index = index,
                               .generation = generation });
}

static void
apply_decision (struct emulation *e, const struct admit_decision *d)
{
  uint32_t index = (uint32_t)d->user_data;
  struct request *r = &e->requests[index];
  if (d->verdict == ADMIT_START || d->verdict == ADMIT_QUEUED)
    r->ticket = d->ticket;
  if (d->verdict == ADMIT_START)
    send_request (e, index);
  if (d->verdict != ADMIT_REFUSED)
    return;
  if (is_counted (e, r))
    e->result->streams[r->stream].refused++;
  struct request copy = *r;
  free_request (e, index);
  schedule_retry (e, &copy);
}

static void
dispatch_gate (struct emulation *e)
{
  for (;;)
    {
      struct admit_decision d = gate_next (e->gate, e->now_ns);
      if (d.verdict == ADMIT_NOTHING)
        break;
      apply_decision (e, &d);
    }
  int64_t wake_ns = gate_wake_ns (e->gate);
  if (wake_ns == INT64_MAX)
    return;
  if (wake_ns <= e->now_ns)
    wake_ns = e->now_ns + NS_PER_MS;
  if (wake_ns >= e->wake_ns)
    return;
  e->wake_ns = wake_ns;
  schedule (e, (struct event){ .at_ns = wake_ns, .kind = EVENT_WAKE });
}

static void
dispatch_fifo (struct emulation *e)
{
  while (e->fifo_head != NO_REQUEST
         && e->fifo_in_flight < e->config->target.slots)
    {
      uint32_t index = e->fifo_head;
      e->fifo_head = e->requests[index].next;
      if (e->fifo_head == NO_REQUEST)
        e->fifo_tail = NO_REQUEST;
      if (e->config->admission == EMULATION_FIFO_DEADLINE
          && e->requests[index].state == REQUEST_ABANDONED)
        {
          free_request (e, index);
          continue;
        }
      e->fifo_in_flight++;
      send_request (e, index);
    }
}

static void
dispatch (struct emulation *e)
{
  if (e->config->admission == EMULATION_GATE)
    dispatch_gate (e);
  else
    dispatch_fifo (e);
}

static void
fifo_enqueue (struct emulation *e, uint32_t index)
{
  e->requests[index].next = NO_REQUEST;
  if (e->fifo_tail == NO_REQUEST)
    e->fifo_head = index;
  else
    e->requests[e->fifo_tail].next = index;
  e->fifo_tail = index;
}

static void
gate_submit (struct emulation *e, uint32_t index)
{
  struct request *r = &e->requests[index];
  const struct emulation_stream *s = &e->config->streams[r->stream];
  char name[NAME_BYTES];
  uint32_t number
      = (uint32_t)(next_random (e, r->stream) % s->organisation_count);
  snprintf (name, sizeof name, "%s%u", s->organisation_prefix, number);
  struct admit_request offer = {
    .organisation = name,
    .policy = { .kind = s->kind, .weight = 1 },
    .deadline_ns = r->deadline_ns,
    .user_data = index,
  };
  struct admit_decision d = gate_offer (e->gate, &offer, e->now_ns);
  apply_decision (e, &d);
}

static void
submit_request (struct emulation *e, uint32_t index)
{
  struct request *r = &e->requests[index];
  const struct emulation_stream *s = &e->config->streams[r->stream];
  r->state = REQUEST_WAITING;
  r->arrived_ns = e->now_ns;
  r->deadline_ns = e->now_ns + s->deadline_ns;
  r->service_ns = draw_service_ns (e, r->stream);
  if (is_counted (e, r))
    e->result->streams[r->stream].offered++;
  schedule (e, (struct event){ .at_ns = r->deadline_ns,
                               .kind = EVENT_DEADLINE,
                               .index = index,
                               .generation = r->generation });
  if (e->config->admission == EMULATION_GATE)
    gate_submit (e, index);
  else
    fifo_enqueue (e, index);
  dispatch (e);
}

static void
release_request (struct emulation *e, uint32_t index,
                 enum admit_outcome outcome)
{
  struct request *r = &e->requests[index];
  if (e->config->admission == EMULATION_GATE)
    gate_done (e->gate, r->ticket, outcome, e->now_ns - r->sent_ns, e->now_ns);
  else
    e->fifo_in_flight--;
  free_request (e, index);
}

static void
complete_request (struct emulation *e, uint32_t index)
{
  struct request *r = &e->requests[index];
  struct emulation_counts *c = &e->result->streams[r->stream];
  int64_t window = e->now_ns / EMULATION_WINDOW_NS;
  if (r->state == REQUEST_SENT)
    {
      if (window < EMULATION_WINDOWS_MAX)
        c->answered_by_window[window]++;
      if (is_counted (e, r))
        {
          c->answered++;
          add_sample (e, r);
        }
    }
  release_request (e, index, ADMIT_ANSWERED);
  dispatch (e);
}

static void
expire_request (struct emulation *e, uint32_t index)
{
  struct request *r = &e->requests[index];
  struct emulation_counts *c = &e->result->streams[r->stream];
  struct request copy = *r;
  if (is_counted (e, r))
    {
      add_sample (e, r);
      *(r->state == REQUEST_SENT ? &c->unknown : &c->expired) += 1;
    }
  /* EMULATION_FIFO never cancels: a request runs even if its caller has given
     up.  */
  bool cancels_at_deadline = e->config->admission != EMULATION_FIFO;
  if (cancels_at_deadline && r->state == REQUEST_SENT)
    {
      target_cancel (e, index);
      release_request (e, index, ADMIT_TIMED_OUT);
    }
  else if (e->config->admission != EMULATION_GATE)
    r->state = REQUEST_ABANDONED;
  else if (gate_cancel (e->gate, r->ticket))
    free_request (e, index);
  schedule_retry (e, &copy);
  dispatch (e);
}

/* Event handling.  */

static double
arrival_rate (const struct emulation_stream *s, int64_t now_ns)
{
  bool burst = now_ns >= s->burst_from_ns && now_ns < s->burst_to_ns;
  return burst ? s->burst_rate : s->rate;
}

static void
schedule_arrival (struct emulation *e, uint32_t stream)
{
  const struct emulation_stream *s = &e->config->streams[stream];
  double rate = arrival_rate (s, e->now_ns);
  if (rate <= 0)
    return;
  double gap_s = -log (draw_uniform (e, stream)) / rate;
  schedule (e, (struct event){ .at_ns = e->now_ns
                                        + (int64_t)(gap_s * (double)NS_PER_S),
                               .kind = EVENT_ARRIVAL,
                               .index = stream });
}

static void
handle_arrival (struct emulation *e, uint32_t stream)
{
  uint32_t index = new_request (e);
  struct request *r = &e->requests[index];
  schedule_arrival (e, stream);
  r->stream = stream;
  if (e->now_ns / EMULATION_WINDOW_NS < EMULATION_WINDOWS_MAX)
    e->result->streams[stream]
        .arrivals_by_window[e->now_ns / EMULATION_WINDOW_NS]++;
  r->retries_left = e->config->streams[stream].retries;
  r->organisation
      = (uint32_t)(next_random (e, stream)
                   % e->config->streams[stream].organisation_count);
  submit_request (e, index);
}

static void
fail_request (struct emulation *e, uint32_t index)
{
  struct request *r = &e->requests[index];
  if (is_counted (e, r) && r->state == REQUEST_SENT)
    {
      add_sample (e, r);
      e->result->streams[r->stream].unknown++;
    }
  release_request (e, index, ADMIT_FAILED);
}

/* A target that restarts loses the requests that it was running.  */
static void
change_target (struct emulation *e, const struct emulation_change *change)
{
  advance_progress (e);
  e->target = change->target;
  if (!change->restart)
    return;
  while (e->running_count > 0)
    fail_request (e, e->running[--e->running_count]);
  if (e->gate != NULL)
    gate_target_restarted (e->gate, e->now_ns);
}

static void
handle_event (struct emulation *e, const struct event *event)
{
  const struct request *r = &e->requests[event->index];
  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      handle_arrival (e, event->index);
      break;
    case EVENT_RETRY:
      submit_request (e, event->index);
      break;
    case EVENT_DEADLINE:
      if (r->generation == event->generation
          && (r->state == REQUEST_WAITING || r->state == REQUEST_SENT))
        expire_request (e, event->index);
      break;
    case EVENT_CHANGE:
      change_target (e, &e->config->changes[event->index]);
      dispatch (e);
      break;
    case EVENT_WAKE:
      if (event->at_ns == e->wake_ns)
        e->wake_ns = INT64_MAX;
      dispatch (e);
      break;
    }
}

static void
run_until (struct emulation *e, int64_t end_ns)
{
  for (;;)
    {
      int64_t completion_ns;
      uint32_t position = next_completion (e, &completion_ns);
      int64_t event_ns = e->event_count > 0 ? e->events[0].at_ns : INT64_MAX;
      int64_t next_ns = completion_ns < event_ns ? completion_ns : event_ns;
      if (next_ns >= end_ns)
        return;
      e->now_ns = next_ns;
      if (completion_ns <= event_ns)
        {
          uint32_t index = e->running[position];
          advance_progress (e);
          e->running[position] = e->running[--e->running_count];
          start_backlog (e);
          complete_request (e, index);
          continue;
        }
      struct event event = pop_event (e);
      handle_event (e, &event);
    }
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return (x > y) - (x < y);
}

static void
summarise (struct emulation *e)
{
  for (uint32_t i = 0; i < e->config->stream_count; i++)
    {
      struct samples *s = &e->samples[i];
      if (s->count == 0)
        continue;
      qsort (s->ms, s->count, sizeof *s->ms, compare_doubles);
      e->result->streams[i].p50_ms = s->ms[s->count / 2];
      e->result->streams[i].p99_ms = s->ms[s->count * 99 / 100];
    }
  e->result->window_count
      = (uint32_t)(e->config->end_ns / EMULATION_WINDOW_NS);
}

static void
start_emulation (struct emulation *e)
{
  const struct emulation_config *config = e->config;
  e->wake_ns = INT64_MAX;
  e->free_head = NO_REQUEST;
  e->fifo_head = NO_REQUEST;
  e->fifo_tail = NO_REQUEST;
  e->backlog_head = NO_REQUEST;
  e->backlog_tail = NO_REQUEST;
  e->target = config->target;
  e->running = grow (NULL, config->target.slots + 1, sizeof *e->running);
  if (config->admission == EMULATION_GATE)
    e->gate = gate_new (&config->gate, 0);
  for (uint32_t i = 0; i < config->stream_count; i++)
    {
      e->random[i] = config->seed * 1000 + i;
      schedule_arrival (e, i);
      if (config->streams[i].burst_rate > 0 && config->streams[i].rate <= 0)
        schedule (e, (struct event){ .at_ns = config->streams[i].burst_from_ns,
                                     .kind = EVENT_ARRIVAL,
                                     .index = i });
    }
  for (uint32_t i = 0; i < config->change_count; i++)
    schedule (e, (struct event){ .at_ns = config->changes[i].at_ns,
                                 .kind = EVENT_CHANGE,
                                 .index = i });
}

void
emulation_run (const struct emulation_config *config,
               struct emulation_result *result)
{
  struct emulation e = { .config = config, .result = result };
  memset (result, 0, sizeof *result);
  start_emulation (&e);
  run_until (&e, config->end_ns);
  summarise (&e);
  for (uint32_t i = 0; i < EMULATION_STREAMS_MAX; i++)
    free (e.samples[i].ms);
  gate_free (e.gate);
  free (e.events);
  free (e.requests);
  free (e.running);
}
