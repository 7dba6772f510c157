#include "mesh/evacuations.h"

#include "base/clock.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define AGE_NOT_KNOWN INT64_C (-1)

void
evacuations_init (struct evacuations *e, uint32_t close_ms)
{
  memset (e, 0, sizeof *e);
  e->close_ns = close_ms * NS_PER_MS;
}

bool
evacuations_is_valid_name (const char *name)
{
  size_t length = strlen (name);
  return length > 0 && length < SETTINGS_NAME_BYTES
         && strspn (name, "abcdefghijklmnopqrstuvwxyz"
                          "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-")
                == length;
}

static const struct evacuated_zone *
find_zone (const struct evacuated_zone *zones, unsigned count,
           const char *name)
{
  for (unsigned i = 0; i < count; i++)
    if (strcmp (zones[i].name, name) == 0)
      return &zones[i];
  return NULL;
}

static const struct evacuated_zone *
find_evacuated (const struct evacuations *e, const char *name)
{
  return find_zone (e->zones, e->count, name);
}

bool
evacuations_contains (const struct evacuations *e, const char *zone)
{
  return find_evacuated (e, zone) != NULL;
}

static uint64_t
digest_of (const struct evacuated_zone *zones, unsigned count)
{
  uint64_t digest = 1;
  for (unsigned i = 0; i < count; i++)
    digest = XXH64 (zones[i].name, strlen (zones[i].name) + 1, digest);
  return digest == 0 ? 1 : digest;
}

static bool
is_closed (const struct evacuations *e, const struct evacuated_zone *z,
           int64_t now_ns)
{
  return z->known_ns == 0 || now_ns - z->known_ns >= e->close_ns;
}

static void
remove_ended (struct evacuations *e, const char *name)
{
  for (unsigned i = 0; i < e->ended_count; i++)
    if (strcmp (e->ended[i].name, name) == 0)
      {
        e->ended[i] = e->ended[--e->ended_count];
        return;
      }
}

/* Record that the evacuation of ZONE has ended.  A target that has served all
   the time needs no reopening.  */
static void
record_end (struct evacuations *e, const struct evacuated_zone *zone,
            int64_t now_ns)
{
  if (!is_closed (e, zone, now_ns))
    return;
  remove_ended (e, zone->name);
  if (e->ended_count == EVACUATIONS_ZONES_MAX)
    e->ended[0] = e->ended[--e->ended_count];
  e->ended[e->ended_count] = *zone;
  e->ended[e->ended_count++].known_ns = now_ns;
}

/* Replace the set by the COUNT zones NEXT.  */
static void
replace (struct evacuations *e, struct evacuated_zone *next, unsigned count,
         uint64_t version, int64_t now_ns)
{
  for (unsigned i = 0; i < count; i++)
    {
      const struct evacuated_zone *old = find_evacuated (e, next[i].name);
      remove_ended (e, next[i].name);
      /* A node that does not know since when a zone is evacuated must not make
         those close at once that know it.  */
      if (old != NULL
          && (next[i].known_ns == 0 || old->known_ns < next[i].known_ns))
        next[i].known_ns = old->known_ns;
    }
  for (unsigned i = 0; i < e->count; i++)
    if (find_zone (next, count, e->zones[i].name) == NULL)
      record_end (e, &e->zones[i], now_ns);
  memcpy (e->zones, next, count * sizeof next[0]);
  e->count = count;
  e->stamp.version = version;
  e->stamp.digest = digest_of (e->zones, count);
}

static void
record_heard (struct evacuations *e, int64_t at_ns)
{
  if (at_ns > e->heard_ns)
    e->heard_ns = at_ns;
}

bool
evacuations_update (struct evacuations *e, const char *const *names,
                    unsigned count, uint64_t version, int64_t asked_ns,
                    int64_t now_ns)
{
  struct evacuated_zone next[EVACUATIONS_ZONES_MAX];
  if (version < e->stamp.version)
    return false;
  for (unsigned i = 0; i < count; i++)
    {
      g_strlcpy (next[i].name, names[i], sizeof next[i].name);
      next[i].known_ns = e->heard_ns;
    }
  replace (e, next, count, version, now_ns);
  record_heard (e, asked_ns);
  return true;
}

bool
evacuations_on_stamp (struct evacuations *e,
                      const struct evacuations_stamp *stamp,
                      int64_t confirmed_ns)
{
  bool newer = stamp->version > e->stamp.version;
  /* The set may be outdated, so this confirms nothing.  */
  if (newer && stamp->digest != e->stamp.digest)
    return true;
  if (newer)
    e->stamp.version = stamp->version;
  if (stamp->version != 0)
    record_heard (e, confirmed_ns);
  return false;
}

/* Whatever a node last heard, it was at most as late as others may be.  So
   after this time a zone that was evacuated meanwhile is closed elsewhere.  */
static bool
is_cut_off (const struct evacuations *e, int64_t now_ns)
{
  return e->has_others && now_ns - e->heard_ns >= e->close_ns;
}

struct evacuations_stamp
evacuations_report (const struct evacuations *e, int64_t now_ns)
{
  return is_cut_off (e, now_ns) ? (struct evacuations_stamp){ 0, 0 }
                                : e->stamp;
}

GString *
evacuations_format (const struct evacuations *e, int64_t now_ns)
{
  json_t *zones = json_array ();
  for (unsigned i = 0; i < e->count; i++)
    {
      const struct evacuated_zone *z = &e->zones[i];
      json_int_t age_ns
          = z->known_ns == 0 ? AGE_NOT_KNOWN : now_ns - z->known_ns;
      json_array_append_new (
          zones, json_pack ("{s:s,s:I}", "name", z->name, "age_ns", age_ns));
    }
  json_t *json
      = json_pack ("{s:I,s:I,s:o}", "version", (json_int_t)e->stamp.version,
                   "clock", (json_int_t)now_ns, "zones", zones);
  char *text = json_dumps (json, JSON_COMPACT);
  GString *out = g_string_new (text);
  free (text);
  json_decref (json);
  return out;
}

static bool
parse_zone (const json_t *json, struct evacuated_zone *zone)
{
  const char *name = json_string_value (json_object_get (json, "name"));
  const json_t *age = json_object_get (json, "age_ns");
  if (name == NULL || !evacuations_is_valid_name (name)
      || !json_is_integer (age))
    return false;
  strcpy (zone->name, name);
  zone->known_ns = json_integer_value (age);
  return zone->known_ns >= AGE_NOT_KNOWN;
}

/* Parse the zones, whose names must be in ascending order.  */
static bool
parse_zones (const json_t *zones, struct evacuations_document *d)
{
  if (!json_is_array (zones)
      || json_array_size (zones) > EVACUATIONS_ZONES_MAX)
    return false;
  d->count = (unsigned)json_array_size (zones);
  for (unsigned i = 0; i < d->count; i++)
    if (!parse_zone (json_array_get (zones, i), &d->zones[i])
        || (i > 0 && strcmp (d->zones[i - 1].name, d->zones[i].name) >= 0))
      return false;
  return true;
}

enum status
evacuations_parse (const char *text, size_t length,
                   struct evacuations_document *d)
{
  json_t *json = json_loadb (text, length, JSON_REJECT_DUPLICATES, NULL);
  const json_t *version = json_object_get (json, "version");
  const json_t *clock = json_object_get (json, "clock");
  bool valid = json_is_integer (version) && json_integer_value (version) > 0
               && json_is_integer (clock)
               && parse_zones (json_object_get (json, "zones"), d);
  d->version = (uint64_t)json_integer_value (version);
  d->clock_ns = json_integer_value (clock);
  json_decref (json);
  return valid ? STATUS_OK
               : status_set (STATUS_INVALID, "evacuated zones: malformed");
}

bool
evacuations_merge (struct evacuations *e, const struct evacuations_document *d,
                   int64_t sent_ns, int64_t now_ns)
{
  struct evacuated_zone next[EVACUATIONS_ZONES_MAX];
  if (d->version <= e->stamp.version)
    return false;
  for (unsigned i = 0; i < d->count; i++)
    {
      int64_t age_ns = d->zones[i].known_ns;
      next[i] = d->zones[i];
      next[i].known_ns = age_ns == AGE_NOT_KNOWN || age_ns >= sent_ns
                             ? 0
                             : sent_ns - age_ns;
    }
  replace (e, next, d->count, d->version, now_ns);
  return true;
}

enum evacuations_phase
evacuations_phase (const struct evacuations *e, const char *zone,
                   int64_t now_ns)
{
  if (e->close_ns == 0)
    return EVACUATIONS_OPEN;
  if (e->stamp.version == 0)
    return EVACUATIONS_UNKNOWN;
  const struct evacuated_zone *z = find_evacuated (e, zone);
  if (z != NULL)
    return is_closed (e, z, now_ns) ? EVACUATIONS_CLOSED : EVACUATIONS_CLOSING;
  if (is_cut_off (e, now_ns))
    return EVACUATIONS_UNKNOWN;
  z = find_zone (e->ended, e->ended_count, zone);
  if (z != NULL && now_ns - z->known_ns < EVACUATIONS_REOPENING_MS * NS_PER_MS)
    return EVACUATIONS_REOPENING;
  return EVACUATIONS_OPEN;
}

const char *
evacuations_phase_name (enum evacuations_phase phase)
{
  static const char *const names[]
      = { "open", "closing", "closed", "reopening", "unknown" };
  return names[phase];
}

int64_t
evacuations_next_ns (const struct evacuations *e, const char *zone,
                     int64_t now_ns)
{
  switch (evacuations_phase (e, zone, now_ns))
    {
    case EVACUATIONS_CLOSING:
      return find_evacuated (e, zone)->known_ns + e->close_ns;
    case EVACUATIONS_REOPENING:
      return find_zone (e->ended, e->ended_count, zone)->known_ns
             + EVACUATIONS_REOPENING_MS * NS_PER_MS;
    default:
      return INT64_MAX;
    }
}

void
evacuations_end_reopening (struct evacuations *e, const char *zone)
{
  remove_ended (e, zone);
}
