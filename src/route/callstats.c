#include "route/callstats.h"
#include "base/clock.h"
#include "limit/refusals.h"
#include "route/confd.h"

#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

enum
{
  REFUSAL_ROWS_MAX = 512, /* organisations times reasons */
  BURN_SERIES_MAX = 4,    /* of this service: paying and trial */
  GROUPS_MAX = 32, /* lines of callstats_list_refusals without "(others)" */
};

#define OTHERS "(others)"

struct callstats
{
  struct service service;
  const struct settings *settings;
  struct service *confd;
  pthread_mutex_t lock; /* guards all members below */
  struct conf *conf;    /* the configuration last used; a reference */
  struct refusals *refusals;
  struct burn *burn;
};

struct group_count
{
  const char *name;
  uint64_t count;
};

static bool
is_unavailable (enum reason reason)
{
  switch (reason)
    {
    case REASON_NO_OWNER:
    case REASON_NOT_OWNER:
    case REASON_LEASE_LAPSED:
    case REASON_MOVING:
    case REASON_OWNER_UNREACHABLE:
    case REASON_OWNER_LOST:
    case REASON_TARGET_UNREACHABLE:
    case REASON_TARGET_DOWN:
    case REASON_DRAINING:
      return true;
    default:
      return false;
    }
}

static bool
is_caused_by_caller (enum reason reason)
{
  switch (reason)
    {
    case REASON_BAD_REQUEST:
    case REASON_NO_SUCH_SERVICE:
    case REASON_BODY_TOO_LARGE:
    case REASON_LOOKUP_DEPTH:
    case REASON_CALLER_GONE:
      return true;
    default:
      return false;
    }
}

bool
callstats_classify_burn (enum outcome outcome, enum reason reason, bool late,
                         enum burn_outcome *category)
{
  if (outcome == OUTCOME_ANSWERED)
    *category = late ? BURN_LATE : BURN_ANSWERED;
  else if (outcome == OUTCOME_UNKNOWN)
    *category = BURN_UNKNOWN;
  else if (reason == REASON_DEADLINE)
    *category = BURN_LATE;
  else
    *category = is_unavailable (reason) ? BURN_UNAVAILABLE : BURN_REFUSED;
  return outcome == OUTCOME_ANSWERED || !is_caused_by_caller (reason);
}

static enum admit_kind
organisation_kind (struct callstats *c, const char *organisation)
{
  if (c->conf == NULL || conf_revision (c->conf) != confd_revision (c->confd))
    {
      conf_unref (c->conf);
      c->conf = confd_get (c->confd);
    }
  return conf_organisation_kind (c->conf, organisation) == CONF_PAYING
             ? ADMIT_PAYING
             : ADMIT_TRIAL;
}

void
callstats_add (struct service *callstats, const struct request *request,
               const struct answer *answer, int64_t now_ns)
{
  struct callstats *c = (struct callstats *)callstats;
  const char *service = c->settings->service;
  enum burn_outcome category;
  bool late = now_ns > request->deadline_ns;
  bool counted = callstats_classify_burn (answer->outcome, answer->reason,
                                          late, &category);
  pthread_mutex_lock (&c->lock);
  if (counted)
    burn_add (c->burn, service, organisation_kind (c, request->organisation),
              category, clock_wall_ms ());
  if (answer->outcome != OUTCOME_ANSWERED)
    refusals_add (c->refusals, request->organisation, service,
                  reason_word (answer->reason), now_ns);
  pthread_mutex_unlock (&c->lock);
}

static const char *
group_name (const struct refusals_row *row, enum ask_group group)
{
  if (group == ASK_BY_ORGANISATION)
    return row->organisation;
  return group == ASK_BY_SERVICE ? row->service : row->reason;
}

static void
add_group_count (GArray *groups, const char *name, uint64_t count)
{
  for (guint i = 0; i < groups->len; i++)
    {
      struct group_count *g = &g_array_index (groups, struct group_count, i);
      if (strcmp (g->name, name) != 0)
        continue;
      g->count += count;
      return;
    }
  struct group_count added = { name, count };
  g_array_append_val (groups, added);
}

static gint
compare_counts (gconstpointer a, gconstpointer b)
{
  const struct group_count *x = a;
  const struct group_count *y = b;
  if (x->count != y->count)
    return x->count > y->count ? -1 : 1;
  return strcmp (x->name, y->name);
}

static char *
format_groups (GArray *groups)
{
  GString *text = g_string_new ("");
  uint64_t others = 0;
  g_array_sort (groups, compare_counts);
  for (guint i = 0; i < groups->len; i++)
    {
      const struct group_count *g
          = &g_array_index (groups, struct group_count, i);
      if (i < GROUPS_MAX)
        g_string_append_printf (text, "%" PRIu64 " %s\n", g->count, g->name);
      else
        others += g->count;
    }
  if (others > 0)
    g_string_append_printf (text, "%" PRIu64 " " OTHERS "\n", others);
  return g_string_free (text, FALSE);
}

char *
callstats_list_refusals (struct service *callstats, enum ask_group group,
                         uint32_t minutes, int64_t now_ns)
{
  struct callstats *c = (struct callstats *)callstats;
  struct refusals_filter filter = { .minutes = minutes };
  size_t count = 0;
  pthread_mutex_lock (&c->lock);
  struct refusals_row *rows
      = refusals_query (c->refusals, &filter, now_ns, &count);
  pthread_mutex_unlock (&c->lock);
  GArray *groups = g_array_new (FALSE, FALSE, sizeof (struct group_count));
  for (size_t i = 0; rows != NULL && i < count; i++)
    add_group_count (groups, group_name (&rows[i], group), rows[i].total);
  char *text = format_groups (groups);
  g_array_free (groups, TRUE);
  free (rows);
  return text;
}

char *
callstats_burn_json (struct service *callstats)
{
  struct callstats *c = (struct callstats *)callstats;
  pthread_mutex_lock (&c->lock);
  char *json = burn_export_json (c->burn, clock_wall_ms ());
  pthread_mutex_unlock (&c->lock);
  return json;
}

static enum status
callstats_start (struct service *self)
{
  (void)self;
  return STATUS_OK;
}

static void
callstats_stop (struct service *self)
{
  (void)self;
}

static void
callstats_free (struct service *self)
{
  struct callstats *c = (struct callstats *)self;
  refusals_free (c->refusals);
  burn_free (c->burn);
  conf_unref (c->conf);
  pthread_mutex_destroy (&c->lock);
  free (c);
}

static const struct service_ops callstats_ops = {
  CALLSTATS_SERVICE, callstats_start, NULL, callstats_stop, callstats_free,
};

struct service *
callstats_new (struct kernel *k, const struct settings *s, struct map *m)
{
  struct callstats *c = calloc (1, sizeof *c);
  (void)m;
  if (c == NULL)
    return NULL;
  c->service.ops = &callstats_ops;
  c->settings = s;
  c->confd = kernel_find (k, CONFD_SERVICE);
  pthread_mutex_init (&c->lock, NULL);
  c->refusals = refusals_new (REFUSAL_ROWS_MAX);
  c->burn = burn_new (BURN_SERIES_MAX);
  if (c->refusals != NULL && c->burn != NULL)
    return &c->service;
  callstats_free (&c->service);
  return NULL;
}
