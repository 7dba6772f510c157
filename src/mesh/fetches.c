#include "mesh/fetches.h"

#include "base/clock.h"
#include <glib.h>

/* Pause between two questions for documents of one service: a few round trips
   between nodes, so that a series of changes is fetched once.  */
#define ASK_PAUSE_NS (100 * NS_PER_MS)
/* How long a document is waited for from the own zone: four questions.  */
#define NEAR_WAIT_NS (400 * NS_PER_MS)

struct fetch
{
  int64_t asked_ns;
  int64_t behind_ns; /* since when a newer document is known of; 0: none is */
  uint32_t behind;   /* the document that is known here since then */
};

struct fetches
{
  GHashTable *by_service; /* struct fetch */
};

struct fetches *
fetches_new (void)
{
  struct fetches *f = g_new0 (struct fetches, 1);
  f->by_service
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return f;
}

void
fetches_free (struct fetches *f)
{
  if (f == NULL)
    return;
  g_hash_table_destroy (f->by_service);
  g_free (f);
}

static struct fetch *
find (struct fetches *f, const char *service)
{
  struct fetch *fetch = g_hash_table_lookup (f->by_service, service);
  if (fetch == NULL)
    {
      fetch = g_new0 (struct fetch, 1);
      g_hash_table_insert (f->by_service, g_strdup (service), fetch);
    }
  return fetch;
}

bool
fetches_should_request (struct fetches *f, const struct fetch_announcement *c,
                        int64_t now_ns)
{
  struct fetch *fetch = find (f, c->service);
  if (c->announced_serial <= c->known_serial)
    return false;
  if (fetch->behind_ns == 0 || fetch->behind != c->known_serial)
    {
      fetch->behind_ns = now_ns;
      fetch->behind = c->known_serial;
    }
  if (fetch->asked_ns != 0 && now_ns < fetch->asked_ns + ASK_PAUSE_NS)
    return false;
  if (!c->same_zone && !c->is_zone_fetcher
      && now_ns < fetch->behind_ns + NEAR_WAIT_NS)
    return false;
  fetch->asked_ns = now_ns;
  return true;
}
