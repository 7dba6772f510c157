#include "mesh/admissions.h"

#include "base/clock.h"
#include "limit/link.h"
#include <glib.h>

/* A body is admitted while what is outstanding takes less than this.  It keeps
   the link busy for several round trips between nodes, and bounds the delay of
   small requests behind the bodies.  */
#define OUTSTANDING_MAX_NS (250 * NS_PER_MS)
/* A body is sent this long before those admitted earlier are expected to have
   arrived, so that the link is not idle if they arrive early or a sender is
   slow.  */
#define START_LEAD_NS (20 * NS_PER_MS)
/* An admission expires after this many times the expected transfer, and not
   before EXPIRY_MIN_NS: transfers slow down while others start.  */
#define EXPIRY_FACTOR 2
#define EXPIRY_MIN_NS (1 * NS_PER_S)

struct admission
{
  const void *from;
  uint64_t call_id;
  size_t outstanding; /* reserved bytes that have not arrived */
  int64_t expires_ns;
  int64_t deadline_ns;
  bool used;
  bool expired;
};

struct admissions
{
  uint32_t kbps;
  GHashTable *by_call; /* set of struct admission */
  uint64_t outstanding;
  uint32_t pending;
  struct link_meter others;
};

static guint
hash_admission (gconstpointer key)
{
  const struct admission *a = key;
  return g_direct_hash (a->from) ^ g_int64_hash (&a->call_id);
}

static gboolean
equal_admissions (gconstpointer a, gconstpointer b)
{
  const struct admission *x = a;
  const struct admission *y = b;
  return x->from == y->from && x->call_id == y->call_id;
}

struct admissions *
admissions_new (uint32_t kbps)
{
  struct admissions *a = g_new0 (struct admissions, 1);
  a->kbps = kbps;
  a->by_call
      = g_hash_table_new_full (hash_admission, equal_admissions, g_free, NULL);
  return a;
}

void
admissions_free (struct admissions *a)
{
  if (a == NULL)
    return;
  g_hash_table_destroy (a->by_call);
  g_free (a);
}

void
admissions_count_other (struct admissions *a, double bytes, int64_t now_ns)
{
  link_meter_add (&a->others, bytes, now_ns);
}

int64_t
admissions_wait_ns (const struct admissions *a, int64_t now_ns)
{
  return link_time_ns (a->outstanding,
                       link_rate_left_kbps (&a->others, a->kbps, now_ns));
}

int64_t
admissions_room_after_ns (const struct admissions *a, int64_t now_ns)
{
  int64_t excess_ns = admissions_wait_ns (a, now_ns) - OUTSTANDING_MAX_NS;
  return excess_ns < 0 ? 0 : excess_ns + 1;
}

int64_t
admissions_start_ns (const struct admissions *a, int64_t now_ns)
{
  int64_t wait_ns = admissions_wait_ns (a, now_ns);
  return wait_ns <= START_LEAD_NS ? 0 : wait_ns - START_LEAD_NS;
}

uint32_t
admissions_pending (const struct admissions *a)
{
  return a->pending;
}

static struct admission *
find (const struct admissions *a, const void *from, uint64_t call_id)
{
  struct admission key = { .from = from, .call_id = call_id };
  return g_hash_table_lookup (a->by_call, &key);
}

/* Free what ADMISSION has reserved.  */
static void
release (struct admissions *a, struct admission *admission)
{
  a->outstanding -= admission->outstanding;
  admission->outstanding = 0;
  a->pending -= !admission->used && !admission->expired;
}

bool
admissions_add (struct admissions *a, const void *from, uint64_t call_id,
                size_t bytes, int64_t transfer_ns, int64_t deadline_ns,
                int64_t now_ns)
{
  if (find (a, from, call_id) != NULL)
    return false;
  struct admission *admission = g_new0 (struct admission, 1);
  admission->from = from;
  admission->call_id = call_id;
  admission->outstanding = bytes;
  admission->expires_ns
      = now_ns + MAX (EXPIRY_MIN_NS, EXPIRY_FACTOR * transfer_ns);
  admission->deadline_ns = deadline_ns;
  g_hash_table_add (a->by_call, admission);
  a->outstanding += bytes;
  a->pending++;
  return true;
}

bool
admissions_receive (struct admissions *a, const void *from, uint64_t call_id,
                    size_t bytes)
{
  struct admission *admission = find (a, from, call_id);
  if (admission == NULL)
    return false;
  /* Frames are a little longer than the bodies in them.  */
  size_t arrived = MIN (bytes, admission->outstanding);
  admission->outstanding -= arrived;
  a->outstanding -= arrived;
  return true;
}

enum admission_use
admissions_use (struct admissions *a, const void *from, uint64_t call_id,
                int64_t now_ns)
{
  struct admission *admission = find (a, from, call_id);
  if (admission == NULL)
    return ADMISSION_NONE;
  if (admission->used)
    return ADMISSION_USED;
  bool expired = admission->expired || now_ns >= admission->expires_ns;
  release (a, admission);
  admission->used = true;
  return expired ? ADMISSION_EXPIRED : ADMISSION_HELD;
}

void
admissions_cancel (struct admissions *a, const void *from, uint64_t call_id)
{
  struct admission *admission = find (a, from, call_id);
  if (admission == NULL || admission->used)
    return;
  release (a, admission);
  g_hash_table_remove (a->by_call, admission);
}

void
admissions_close (struct admissions *a, const void *from)
{
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, a->by_call);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct admission *admission = key;
      if (admission->from != from)
        continue;
      release (a, admission);
      g_hash_table_iter_remove (&iter);
    }
}

void
admissions_sweep (struct admissions *a, int64_t now_ns,
                  admissions_visitor *each, void *arg)
{
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, a->by_call);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct admission *admission = key;
      if (!admission->expired && now_ns >= admission->expires_ns)
        {
          release (a, admission);
          admission->expired = true;
          if (!admission->used)
            each (arg, (void *)admission->from, admission->call_id,
                  ADMISSION_END_EXPIRED);
        }
      if (!admission->expired || now_ns < admission->deadline_ns)
        continue;
      if (!admission->used)
        each (arg, (void *)admission->from, admission->call_id,
              ADMISSION_END_DEADLINE);
      g_hash_table_iter_remove (&iter);
    }
}
