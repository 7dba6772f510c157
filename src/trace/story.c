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
  int64_t at_ms;
  size_t order; /* in which lines came: ties of time keep it */
  char *node;
  char *name;
  char *text;
  char *values;
  bool is_own; /* names the request */
};

struct timeline
{
  char *id;
  int64_t before_ms;
  GPtrArray *entries;
};

static void
entry_free (gpointer data)
{
  struct entry *e = data;
  g_free (e->node);
  g_free (e->name);
  g_free (e->text);
  g_free (e->values);
  g_free (e);
}

struct timeline *
timeline_new (const char *id, int64_t before_ms)
{
  struct timeline *s = g_new0 (struct timeline, 1);
  s->id = g_strdup (id);
  s->before_ms = before_ms;
  s->entries = g_ptr_array_new_with_free_func (entry_free);
  return s;
}

void
timeline_free (struct timeline *s)
{
  if (s == NULL)
    return;
  g_ptr_array_free (s->entries, TRUE);
  g_free (s->id);
  g_free (s);
}

/* Lookups are named PARENT.NUMBER.  */
static bool
names_request (const struct timeline *s, const struct log_line *line)
{
  char *id = log_line_field (line, "request");
  size_t length = strlen (s->id);
  bool own = id != NULL && strncmp (id, s->id, length) == 0
             && (id[length] == '\0' || id[length] == '.');
  g_free (id);
  return own;
}

/* Events that change what a node believes or can do.  */
static bool
is_belief (long event)
{
  static const enum event beliefs[]
      = { EV_STARTED,          EV_STOPPING,      EV_NOT_READY,
          EV_TARGET_DOWN,      EV_TARGET_UP,     EV_TARGET_REPORTED,
          EV_PEER_LOST,        EV_PEER_UP,       EV_LEASE_LOST,
          EV_LEASE_GAINED,     EV_EVICTED,       EV_MEMBER_DECLARED_DEAD,
          EV_SLOTS_MOVED,      EV_MOVE_GIVEN_UP, EV_PAUSED,
          EV_WARD_SILENT,      EV_STORE_DOWN,    EV_STORE_UP,
          EV_ROUTES_IN_FORCE,  EV_LEFT,          EV_JOINED,
          EV_OWNERSHIP_WAITS,  EV_KEY_TOO_HOT,   EV_LINES_DROPPED,
          EV_CONSENT_STOOD_IN, EV_STOPPED };
  for (size_t i = 0; i < G_N_ELEMENTS (beliefs); i++)
    if ((long)beliefs[i] == event)
      return true;
  return false;
}

void
timeline_add (struct timeline *s, const struct log_line *line,
              const char *node)
{
  bool own = names_request (s, line);
  if (!own && !is_belief (line->event))
    return;
  struct entry *e = g_new0 (struct entry, 1);
  e->at_ms = line->time_ms;
  e->order = s->entries->len;
  e->node = g_strdup (node);
  e->name = g_strdup (line->name);
  e->text = g_strdup (line->text);
  e->values = g_strdup (line->fields);
  e->is_own = own;
  g_ptr_array_add (s->entries, e);
}

static gint
compare (gconstpointer a, gconstpointer b)
{
  const struct entry *x = *(struct entry *const *)a;
  const struct entry *y = *(struct entry *const *)b;
  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

static const struct entry *
entry_at (const struct timeline *s, guint i)
{
  return g_ptr_array_index (s->entries, i);
}

/* The nodes that the request's lines are of, or name.  */
static GHashTable *
nodes_met (const struct timeline *s)
{
  GHashTable *met
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < s->entries->len; i++)
    {
      const struct entry *e = entry_at (s, i);
      struct log_line line = { .fields = e->values };
      if (!e->is_own)
        continue;
      g_hash_table_add (met, g_strdup (e->node));
      char *at = log_line_field (&line, "at");
      if (at != NULL)
        g_hash_table_add (met, at);
    }
  return met;
}

/* Whether E is of a node in MET, or of any node about one in MET.  */
static bool
concerns (const struct entry *e, GHashTable *met)
{
  struct log_line line = { .fields = e->values };
  char *peer = log_line_field (&line, "peer");
  bool yes = g_hash_table_contains (met, e->node)
             || (peer != NULL && g_hash_table_contains (met, peer));
  g_free (peer);
  return yes;
}

static void
print_entry (const struct entry *e, int64_t from_ms, FILE *out)
{
  int64_t ms = e->at_ms - from_ms;
  fprintf (out, "%c %+9.3f s  %s  %s: %s\n               %s\n",
           e->is_own ? '*' : ' ', (double)ms / MS_PER_S, e->node, e->name,
           e->text, e->values);
}

unsigned
timeline_print (struct timeline *s, FILE *out)
{
  unsigned own = 0;
  int64_t first_ms = 0;
  int64_t last_ms = 0;
  g_ptr_array_sort (s->entries, compare);
  for (guint i = 0; i < s->entries->len; i++)
    if (entry_at (s, i)->is_own)
      {
        first_ms = own++ == 0 ? entry_at (s, i)->at_ms : first_ms;
        last_ms = entry_at (s, i)->at_ms;
      }
  if (own == 0)
    return 0;
  GHashTable *met = nodes_met (s);
  fprintf (out, "request %s: %u lines (*) within %.3f s\n", s->id, own,
           (double)(last_ms - first_ms) / MS_PER_S);
  for (guint i = 0; i < s->entries->len; i++)
    {
      const struct entry *e = entry_at (s, i);
      bool near = e->at_ms >= first_ms - s->before_ms && e->at_ms <= last_ms;
      if (e->is_own || (near && concerns (e, met)))
        print_entry (e, first_ms, out);
    }
  g_hash_table_destroy (met);
  return own;
}
