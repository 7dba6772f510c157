#include "conf/data.h"

#include <ctype.h>
#include <string.h>

const struct conf_limit_definition conf_limits_schema[CONF_LIMIT_COUNT] = {
#define LIMIT(name, word, key, low, high, initial, unit, single, help)        \
  { word, key, low, high, initial, unit, single, help },
#include "conf/limits.def"
#undef LIMIT
};

static const char *const kind_names[CONF_KIND_COUNT] = { "trial", "paying" };

typedef int compare_fn (const void *key, const void *entry);

/* The search key of an override.  */
struct override_key
{
  const char *service;
  const char *organisation;
};

static int
compare_service (const void *key, const void *entry)
{
  return strcmp ((const char *)key,
                 ((const struct conf_service *)entry)->name);
}

static int
compare_organisation (const void *key, const void *entry)
{
  return strcmp ((const char *)key,
                 ((const struct conf_organisation *)entry)->name);
}

static int
compare_override (const void *key, const void *entry)
{
  const struct override_key *k = (const struct override_key *)key;
  const struct conf_override *o = (const struct conf_override *)entry;
  int order = strcmp (k->service, o->service);
  return order != 0 ? order : strcmp (k->organisation, o->organisation);
}

static int
compare_zone (const void *key, const void *entry)
{
  return strcmp ((const char *)key, ((const struct conf_zone *)entry)->name);
}

static char *
element_at (const GArray *array, guint i)
{
  return array->data + (size_t)i * g_array_get_element_size ((GArray *)array);
}

/* The first position in the sorted ARRAY whose entry is not less than KEY.  */
static guint
lower_bound (const GArray *array, const void *key, compare_fn *compare)
{
  guint low = 0;
  guint high = array->len;
  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      if (compare (key, element_at (array, middle)) > 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static void *
find_entry (const GArray *array, const void *key, compare_fn *compare)
{
  guint i = lower_bound (array, key, compare);
  if (i >= array->len || compare (key, element_at (array, i)) != 0)
    return NULL;
  return element_at (array, i);
}

/* Insert ENTRY at the sorted position of KEY and return its copy in ARRAY.  */
static void *
insert_entry (GArray *array, const void *key, compare_fn *compare,
              const void *entry)
{
  guint i = lower_bound (array, key, compare);
  g_array_insert_vals (array, i, entry, 1);
  return element_at (array, i);
}

static GArray *
copy_array (const GArray *array)
{
  return g_array_copy ((GArray *)array);
}

static void
set_initial_limits (struct conf_limits *limits)
{
  for (int i = 0; i < CONF_LIMIT_COUNT; i++)
    limits->value[i] = conf_limits_schema[i].initial;
}

struct conf *
conf_new (void)
{
  struct conf *c = g_new0 (struct conf, 1);
  g_atomic_ref_count_init (&c->refs);
  c->services = g_array_new (FALSE, TRUE, sizeof (struct conf_service));
  c->organisations
      = g_array_new (FALSE, TRUE, sizeof (struct conf_organisation));
  c->overrides = g_array_new (FALSE, TRUE, sizeof (struct conf_override));
  c->zones = g_array_new (FALSE, TRUE, sizeof (struct conf_zone));
  c->audit = g_array_new (FALSE, TRUE, sizeof (struct conf_audit_entry));
  return c;
}

struct conf *
conf_copy (const struct conf *c)
{
  struct conf *copy = g_new0 (struct conf, 1);
  g_atomic_ref_count_init (&copy->refs);
  copy->revision = c->revision;
  copy->services = copy_array (c->services);
  copy->organisations = copy_array (c->organisations);
  copy->overrides = copy_array (c->overrides);
  copy->zones = copy_array (c->zones);
  copy->audit = copy_array (c->audit);
  return copy;
}

struct conf *
conf_ref (struct conf *c)
{
  g_atomic_ref_count_inc (&c->refs);
  return c;
}

void
conf_unref (struct conf *c)
{
  if (c == NULL || !g_atomic_ref_count_dec (&c->refs))
    return;
  g_array_free (c->services, TRUE);
  g_array_free (c->organisations, TRUE);
  g_array_free (c->overrides, TRUE);
  g_array_free (c->zones, TRUE);
  g_array_free (c->audit, TRUE);
  g_free (c);
}

struct conf_service *
conf_ensure_service (struct conf *c, const char *name)
{
  void *found = find_entry (c->services, name, compare_service);
  if (found != NULL)
    return (struct conf_service *)found;
  struct conf_service entry = { 0 };
  g_strlcpy (entry.name, name, sizeof entry.name);
  set_initial_limits (&entry.limits);
  return (struct conf_service *)insert_entry (c->services, name,
                                              compare_service, &entry);
}

struct conf_organisation *
conf_ensure_organisation (struct conf *c, const char *name)
{
  void *found = find_entry (c->organisations, name, compare_organisation);
  if (found != NULL)
    return (struct conf_organisation *)found;
  struct conf_organisation entry = { .kind = CONF_TRIAL };
  g_strlcpy (entry.name, name, sizeof entry.name);
  return (struct conf_organisation *)insert_entry (
      c->organisations, name, compare_organisation, &entry);
}

struct conf_override *
conf_find_override (const struct conf *c, const char *service,
                    const char *organisation)
{
  struct override_key key = { service, organisation };
  return (struct conf_override *)find_entry (c->overrides, &key,
                                             compare_override);
}

struct conf_override *
conf_ensure_override (struct conf *c, const char *service,
                      const char *organisation)
{
  struct conf_override *found = conf_find_override (c, service, organisation);
  if (found != NULL)
    return found;
  struct override_key key = { service, organisation };
  struct conf_override entry = { 0 };
  g_strlcpy (entry.service, service, sizeof entry.service);
  g_strlcpy (entry.organisation, organisation, sizeof entry.organisation);
  return (struct conf_override *)insert_entry (c->overrides, &key,
                                               compare_override, &entry);
}

void
conf_prune_override (struct conf *c, const char *service,
                     const char *organisation)
{
  struct override_key key = { service, organisation };
  struct conf_override *o = conf_find_override (c, service, organisation);
  if (o == NULL)
    return;
  for (int i = 0; i < CONF_LIMIT_COUNT; i++)
    if (o->is_set[i])
      return;
  g_array_remove_index (c->overrides,
                        lower_bound (c->overrides, &key, compare_override));
}

void
conf_set_evacuated (struct conf *c, const char *zone, bool evacuated)
{
  struct conf_zone entry = { 0 };
  if (conf_zone_is_evacuated (c, zone) == evacuated)
    return;
  if (!evacuated)
    {
      g_array_remove_index (c->zones,
                            lower_bound (c->zones, zone, compare_zone));
      return;
    }
  g_strlcpy (entry.name, zone, sizeof entry.name);
  insert_entry (c->zones, zone, compare_zone, &entry);
}

bool
conf_zone_is_evacuated (const struct conf *c, const char *zone)
{
  return find_entry (c->zones, zone, compare_zone) != NULL;
}

void
conf_append_audit (struct conf *c, const struct conf_audit_entry *entry)
{
  g_array_append_vals (c->audit, entry, 1);
  if (c->audit->len > CONF_AUDIT_MAX)
    g_array_remove_range (c->audit, 0, c->audit->len - CONF_AUDIT_MAX);
}

uint64_t
conf_revision (const struct conf *c)
{
  return c->revision;
}

const struct conf_organisation *
conf_find_organisation (const struct conf *c, const char *name)
{
  return (const struct conf_organisation *)find_entry (c->organisations, name,
                                                       compare_organisation);
}

enum conf_kind
conf_organisation_kind (const struct conf *c, const char *organisation)
{
  const struct conf_organisation *o = conf_find_organisation (c, organisation);
  return o == NULL ? CONF_TRIAL : o->kind;
}

const struct conf_service *
conf_find_service (const struct conf *c, const char *name)
{
  return (const struct conf_service *)find_entry (c->services, name,
                                                  compare_service);
}

struct conf_limits
conf_effective_limits (const struct conf *c, const char *service,
                       const char *organisation)
{
  const struct conf_service *s = conf_find_service (c, service);
  struct conf_limits limits;
  set_initial_limits (&limits);
  if (s != NULL)
    limits = s->limits;
  if (organisation == NULL)
    return limits;
  const struct conf_override *o
      = conf_find_override (c, service, organisation);
  for (int i = 0; o != NULL && i < CONF_LIMIT_COUNT; i++)
    if (o->is_set[i])
      limits.value[i] = o->limits.value[i];
  return limits;
}

static const void *
entry_at (const GArray *array, size_t i)
{
  return i < array->len ? element_at (array, (guint)i) : NULL;
}

const struct conf_service *
conf_service_at (const struct conf *c, size_t i)
{
  return (const struct conf_service *)entry_at (c->services, i);
}

const struct conf_organisation *
conf_organisation_at (const struct conf *c, size_t i)
{
  return (const struct conf_organisation *)entry_at (c->organisations, i);
}

const struct conf_override *
conf_override_at (const struct conf *c, size_t i)
{
  return (const struct conf_override *)entry_at (c->overrides, i);
}

const struct conf_audit_entry *
conf_audit_at (const struct conf *c, size_t i)
{
  return (const struct conf_audit_entry *)entry_at (c->audit, i);
}

const struct conf_zone *
conf_evacuated_zone_at (const struct conf *c, size_t i)
{
  return (const struct conf_zone *)entry_at (c->zones, i);
}

const struct conf_audit_entry *
conf_find_change (const struct conf *c, uint64_t change_id)
{
  for (size_t i = 0; i < c->audit->len; i++)
    if (conf_audit_at (c, i)->change_id == change_id)
      return conf_audit_at (c, i);
  return NULL;
}

bool
conf_is_valid_name (const char *text)
{
  if (text == NULL)
    return false;
  size_t length = strlen (text);
  if (length == 0 || length >= CONF_NAME_BYTES)
    return false;
  for (const char *p = text; *p != '\0'; p++)
    if (!islower ((unsigned char)*p) && !isdigit ((unsigned char)*p)
        && strchr ("-_.", *p) == NULL)
      return false;
  return true;
}

const char *
conf_kind_name (enum conf_kind kind)
{
  return kind_names[kind];
}
