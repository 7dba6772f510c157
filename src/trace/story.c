#include "trace/story.h"

#include "base/log.h"
#include <inttypes.h>
#include <stdbool.h>
#include <string.h>

enum
{
  MS_PER_S = 1000
};

struct entry
{
  int64_t time_ms;
  size_t order; /* order of input, kept among equal times */
  char *node;
  char *name;
  char *text;
  char *fields;
  bool is_of_request; /* belongs to the request or one of its lookups */
};

struct timeline
{
  char *id;
  int64_t lookback_ms;
  GPtrArray *entries;
};

static void
entry_free (gpointer data)
{
  struct entry *e = data;
  g_free (e->node);
  g_free (e->name);
  g_free (e->text);
  g_free (e->fields);
  g_free (e);
}

struct timeline *
timeline_new (const char *id, int64_t lookback_ms)
{
  struct timeline *t = g_new0 (struct timeline, 1);
  t->id = g_strdup (id);
  t->lookback_ms = lookback_ms;
  t->entries = g_ptr_array_new_with_free_func (entry_free);
  return t;
}

void
timeline_free (struct timeline *t)
{
  if (t == NULL)
    return;
  g_ptr_array_free (t->entries, TRUE);
  g_free (t->id);
  g_free (t);
}

/* Lookups have the request id PARENT.NUMBER.  */
static bool
is_request_line (const struct timeline *t, const struct log_line *line)
{
  char *id = log_line_field (line, "request");
  size_t length = strlen (t->id);
  bool of_request = id != NULL && strncmp (id, t->id, length) == 0
                    && (id[length] == '\0' || id[length] == '.');
  g_free (id);
  return of_request;
}

/* Whether EVENT changes what a node knows about others or what it can do.  */
static bool
is_state_event (long event)
{
  static const enum event state_events[]
      = { EV_STARTED,          EV_STOPPING,      EV_NOT_READY,
          EV_TARGET_DOWN,      EV_TARGET_UP,     EV_TARGET_REPORTED,
          EV_PEER_LOST,        EV_PEER_UP,       EV_LEASE_LOST,
          EV_LEASE_GAINED,     EV_EVICTED,       EV_MEMBER_DECLARED_DEAD,
          EV_SLOTS_MOVED,      EV_MOVE_GIVEN_UP, EV_PAUSED,
          EV_WARD_SILENT,      EV_STORE_DOWN,    EV_STORE_UP,
          EV_ROUTES_IN_FORCE,  EV_LEFT,          EV_JOINED,
          EV_OWNERSHIP_WAITS,  EV_KEY_TOO_HOT,   EV_LINES_DROPPED,
          EV_CONSENT_STOOD_IN, EV_STOPPED,       EV_TERMS_CHANGED,
          EV_TERMS_ADOPTED,    EV_TARGET_LEAVES, EV_LOOP_BEHIND };
  for (size_t i = 0; i < G_N_ELEMENTS (state_events); i++)
    if ((long)state_events[i] == event)
      return true;
  return false;
}

void
timeline_add (struct timeline *t, const struct log_line *line,
              const char *node)
{
  bool of_request = is_request_line (t, line);
  if (!of_request && !is_state_event (line->event))
    return;
  struct entry *e = g_new0 (struct entry, 1);
  e->time_ms = line->time_ms;
  e->order = t->entries->len;
  e->node = g_strdup (node);
  e->name = g_strdup (line->name);
  e->text = g_strdup (line->text);
  e->fields = g_strdup (line->fields);
  e->is_of_request = of_request;
  g_ptr_array_add (t->entries, e);
}

static gint
compare_entries (gconstpointer a, gconstpointer b)
{
  const struct entry *x = *(struct entry *const *)a;
  const struct entry *y = *(struct entry *const *)b;
  if (x->time_ms != y->time_ms)
    return x->time_ms < y->time_ms ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

static const struct entry *
entry_at (const struct timeline *t, guint i)
{
  return g_ptr_array_index (t->entries, i);
}

/* Return the set of nodes that logged lines of the request or are named in
   their field "at".  */
static GHashTable *
involved_nodes (const struct timeline *t)
{
  GHashTable *involved
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < t->entries->len; i++)
    {
      const struct entry *e = entry_at (t, i);
      struct log_line line = { .fields = e->fields };
      if (!e->is_of_request)
        continue;
      g_hash_table_add (involved, g_strdup (e->node));
      char *at = log_line_field (&line, "at");
      if (at != NULL)
        g_hash_table_add (involved, at);
    }
  return involved;
}

/* Whether E was logged by an INVOLVED node, or names one as its peer.  */
static bool
concerns_node (const struct entry *e, GHashTable *involved)
{
  struct log_line line = { .fields = e->fields };
  char *peer = log_line_field (&line, "peer");
  bool concerned = g_hash_table_contains (involved, e->node)
                   || (peer != NULL && g_hash_table_contains (involved, peer));
  g_free (peer);
  return concerned;
}

static void
print_entry (const struct entry *e, int64_t origin_ms, FILE *out)
{
  int64_t ms = e->time_ms - origin_ms;
  fprintf (out, "%c %+9.3f s  %s  %s: %s\n               %s\n",
           e->is_of_request ? '*' : ' ', (double)ms / MS_PER_S, e->node,
           e->name, e->text, e->fields);
}

unsigned
timeline_print (struct timeline *t, FILE *out)
{
  unsigned request_lines = 0;
  int64_t first_ms = 0;
  int64_t last_ms = 0;
  g_ptr_array_sort (t->entries, compare_entries);
  for (guint i = 0; i < t->entries->len; i++)
    if (entry_at (t, i)->is_of_request)
      {
        first_ms = request_lines++ == 0 ? entry_at (t, i)->time_ms : first_ms;
        last_ms = entry_at (t, i)->time_ms;
      }
  if (request_lines == 0)
    return 0;
  GHashTable *involved = involved_nodes (t);
  fprintf (out, "request %s: %u lines (*) within %.3f s\n", t->id,
           request_lines, (double)(last_ms - first_ms) / MS_PER_S);
  for (guint i = 0; i < t->entries->len; i++)
    {
      const struct entry *e = entry_at (t, i);
      bool in_window
          = e->time_ms >= first_ms - t->lookback_ms && e->time_ms <= last_ms;
      if (e->is_of_request || (in_window && concerns_node (e, involved)))
        print_entry (e, first_ms, out);
    }
  g_hash_table_destroy (involved);
  return request_lines;
}
