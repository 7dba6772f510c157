#include "mesh/fetches.h"

#include "base/clock.h"
#include <glib.h>

/* Minimum time between two requests for documents of one service: a few round
   trips between nodes, so that a series of changes is fetched once.  */
#define REQUEST_INTERVAL_NS (100 * NS_PER_MS)
/* How long a document is awaited from the own zone: four times
   REQUEST_INTERVAL_NS.  */
#define SAME_ZONE_WAIT_NS (400 * NS_PER_MS)

struct fetch
{
  int64_t requested_ns;
  int64_t outdated_since_ns; /* a newer document exists since then; 0: no */
  uint32_t outdated_serial;  /* document known here at that time */
};

struct fetches
{
  GHashTable *by_service; /* struct fetch by service name */
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
find_fetch (struct fetches *f, const char *service)
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
fetches_should_request (struct fetches *f, const struct fetch_notice *notice,
                        int64_t now_ns)
{
  struct fetch *fetch = find_fetch (f, notice->service);
  if (notice->announced_serial <= notice->known_serial)
    return false;
  if (fetch->outdated_since_ns == 0
      || fetch->outdated_serial != notice->known_serial)
    {
      fetch->outdated_since_ns = now_ns;
      fetch->outdated_serial = notice->known_serial;
    }
  if (fetch->requested_ns != 0
      && now_ns < fetch->requested_ns + REQUEST_INTERVAL_NS)
    return false;
  if (!notice->same_zone && !notice->is_zone_fetcher
      && now_ns < fetch->outdated_since_ns + SAME_ZONE_WAIT_NS)
    return false;
  fetch->requested_ns = now_ns;
  return true;
}
