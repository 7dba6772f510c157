#include "route/gather.h"
#include "base/clock.h"
#include "route/peers_docs.h"

#include <glib.h>
#include <jansson.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  RESULT_POLL_MS = 50
};

#define GATHER_TIMEOUT_NS (500 * NS_PER_MS)

struct gather
{
  struct service *peers;
  pthread_mutex_t lock; /* guards idle_inboxes */
  /* Inboxes that no thread waits at.  They are kept for reuse, not freed: a
     result can be taken while the thread that put it is still inside
     inbox_put.  */
  GPtrArray *idle_inboxes;
};

char *
node_state_format (const struct node_state *state)
{
  json_t *json = json_object ();
  json_object_set_new (json, "conf", json_integer (state->conf_revision));
  json_object_set_new (json, "cell", json_integer (state->cell_revision));
  json_object_set_new (json, "sends", json_integer (state->sends_per_s));
  json_object_set_new (json, "in_flight", json_integer (state->in_flight));
  json_object_set_new (json, "not_run", json_integer (state->not_run));
  char *text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  return text;
}

static bool
read_integer (const json_t *json, const char *key, int64_t *number)
{
  const json_t *value = json_object_get (json, key);
  if (!json_is_integer (value))
    return false;
  *number = json_integer_value (value);
  return true;
}

bool
node_state_parse (struct node_state *state, const char *text, size_t length)
{
  json_t *json = json_loadb (text, length, 0, NULL);
  state->known = read_integer (json, "conf", &state->conf_revision)
                 && read_integer (json, "cell", &state->cell_revision)
                 && read_integer (json, "sends", &state->sends_per_s)
                 && read_integer (json, "in_flight", &state->in_flight)
                 && read_integer (json, "not_run", &state->not_run);
  json_decref (json);
  return state->known;
}

/* An inbox of the pool, or a new one; NULL when memory is short.  */
static struct inbox *
acquire_inbox (struct gather *g)
{
  struct inbox *in = NULL;
  pthread_mutex_lock (&g->lock);
  if (g->idle_inboxes->len > 0)
    in = g_ptr_array_steal_index_fast (g->idle_inboxes,
                                       g->idle_inboxes->len - 1);
  pthread_mutex_unlock (&g->lock);
  return in != NULL ? in : inbox_new (inbox_capacity_for (MAP_MEMBERS_MAX));
}

static void
release_inbox (struct gather *g, struct inbox *in)
{
  pthread_mutex_lock (&g->lock);
  g_ptr_array_add (g->idle_inboxes, in);
  pthread_mutex_unlock (&g->lock);
}

static bool
start_fetch (struct service *peers, struct inbox *in, const char *address,
             enum wire_topic topic, const char *line, int64_t limit_ns)
{
  struct peers_fetch *f = calloc (1, sizeof *f);
  if (f == NULL)
    return false;
  snprintf (f->address, sizeof f->address, "%s", address);
  f->topic = topic;
  f->known_revision = -1;
  f->body = line != NULL ? strdup (line) : NULL;
  f->reply_to = in;
  f->deadline_ns = clock_now_ns () + limit_ns;
  if (peers_fetch (peers, f) == STATUS_OK)
    return true;
  peers_fetch_free (f);
  return false;
}

/* Wait for the next result.  Every submitted fetch returns one, at the latest
   when its deadline has passed.  */
static struct peers_fetch *
wait_for_result (struct inbox *in)
{
  struct pollfd fd = { .fd = inbox_fd (in), .events = POLLIN };
  struct peers_fetch *f;
  while ((f = inbox_take (in)) == NULL)
    {
      if (inbox_arm_wakeup (in))
        poll (&fd, 1, RESULT_POLL_MS);
      inbox_clear_wakeup (in);
    }
  return f;
}

static void
store_state (const struct map_view *view, struct peers_fetch *f,
             struct node_state *states)
{
  for (uint32_t i = 0; i < view->member_count; i++)
    if (f->data != NULL
        && strcmp (view->members[i].peer_address, f->address) == 0)
      node_state_parse (&states[i], f->data, f->length);
  peers_fetch_free (f);
}

static void
free_inbox (gpointer in)
{
  inbox_free (in);
}

struct gather *
gather_new (struct service *peers)
{
  struct gather *g = calloc (1, sizeof *g);
  if (g == NULL)
    return NULL;
  g->peers = peers;
  g->idle_inboxes = g_ptr_array_new_with_free_func (free_inbox);
  pthread_mutex_init (&g->lock, NULL);
  return g;
}

void
gather_free (struct gather *g)
{
  if (g == NULL)
    return;
  g_ptr_array_free (g->idle_inboxes, TRUE);
  pthread_mutex_destroy (&g->lock);
  free (g);
}

void
gather_fetch_states (struct gather *g, const struct map_view *view,
                     const struct node_state *self, struct node_state *states)
{
  unsigned waiting = 0;
  struct inbox *in = acquire_inbox (g);
  memset (states, 0, view->member_count * sizeof *states);
  for (uint32_t i = 0; i < view->member_count; i++)
    if (view->members[i].incarnation == view->self_incarnation)
      states[i] = *self;
    else if (in != NULL
             && start_fetch (g->peers, in, view->members[i].peer_address,
                             TOPIC_STATE, NULL, GATHER_TIMEOUT_NS))
      waiting++;
  for (; waiting > 0; waiting--)
    store_state (view, wait_for_result (in), states);
  if (in != NULL)
    release_inbox (g, in);
}

char *
gather_send_command (struct gather *g, const char *address, const char *line,
                     int64_t limit_ns)
{
  char *result = NULL;
  struct inbox *in = acquire_inbox (g);
  if (in == NULL)
    return NULL;
  if (start_fetch (g->peers, in, address, TOPIC_COMMAND, line, limit_ns))
    {
      struct peers_fetch *f = wait_for_result (in);
      result = f->data;
      f->data = NULL;
      peers_fetch_free (f);
    }
  release_inbox (g, in);
  return result;
}

static void
store_result (const struct map_view *view, struct peers_fetch *f,
              char **results)
{
  for (uint32_t i = 0; i < view->member_count; i++)
    if (f->data != NULL
        && strcmp (view->members[i].peer_address, f->address) == 0)
      {
        free (results[i]);
        results[i] = f->data;
        f->data = NULL;
      }
  peers_fetch_free (f);
}

void
gather_send_command_all (struct gather *g, const struct map_view *view,
                         const char *line, char **results)
{
  unsigned waiting = 0;
  struct inbox *in = acquire_inbox (g);
  memset (results, 0, view->member_count * sizeof *results);
  if (in == NULL)
    return;
  for (uint32_t i = 0; i < view->member_count; i++)
    if (view->members[i].incarnation != view->self_incarnation
        && start_fetch (g->peers, in, view->members[i].peer_address,
                        TOPIC_COMMAND, line, GATHER_TIMEOUT_NS))
      waiting++;
  for (; waiting > 0; waiting--)
    store_result (view, wait_for_result (in), results);
  release_inbox (g, in);
}
