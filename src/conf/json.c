/* The JSON form of a configuration:

   {"format": 1, "revision": N,
    "services": {NAME: {"trial_share": N, ..., "organisations":
                        {NAME: {"trial_rate": N}}}},
    "organisations": {NAME: "trial" | "paying"},
    "evacuated": [ZONE...],
    "audit": [{"revision": N, "change": "16 hex digits", "wall_ms": N,
               "who": TEXT, "why": TEXT, "command": TEXT, "action": ACTION,
               "service": NAME or "", "organisation": NAME or "",
               "kind": KIND or "", "limit": LIMIT or "", "value": N,
               "zone": ZONE}]}

   "evacuated" is present if a zone is evacuated, "zone" in entries of commands
   on zones: configurations without them have the form of earlier versions.  */

#include "conf/data.h"
#include "conf/record.h"
#include "conf/strict.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  FORMAT_VERSION = 1,
  KEY_PATH_BYTES = 256 /* a key with its parents, separated by dots */
};

static const char *const root_keys[]
    = { "format", "revision", "services", "organisations", "audit", NULL };

static const char *const root_keys_evacuated[]
    = { "format",    "revision", "services", "organisations",
        "evacuated", "audit",    NULL };

static const char *const service_keys[] = {
#define LIMIT(name, word, key, low, high, initial, unit, single, help) key,
#include "conf/limits.def"
#undef LIMIT
  "organisations",
  NULL,
};

/* The state of one parse.  The parameter NAME of the functions below is the
   path of a key with dots, for findings.  */
struct reader
{
  struct conf *c;
  struct findings *findings;
  size_t initial_findings; /* count of findings when the parse began */
};

/* Parse VALUE, the entry KEY of PARENT.  */
typedef void read_entry_fn (struct reader *r, const char *parent,
                            const char *key, json_t *value);

static json_t *
limits_to_json (const struct conf_limits *limits, const bool *set)
{
  json_t *object = json_object ();
  for (int i = 0; i < CONF_LIMIT_COUNT; i++)
    if (set == NULL || set[i])
      json_object_set_new (object, conf_limits_schema[i].key,
                           json_integer (limits->value[i]));
  return object;
}

static json_t *
services_to_json (const struct conf *c)
{
  json_t *services = json_object ();
  const struct conf_service *s;
  const struct conf_override *o;
  for (size_t i = 0; (s = conf_service_at (c, i)) != NULL; i++)
    {
      json_t *object = limits_to_json (&s->limits, NULL);
      json_object_set_new (object, "organisations", json_object ());
      json_object_set_new (services, s->name, object);
    }
  for (size_t i = 0; (o = conf_override_at (c, i)) != NULL; i++)
    {
      json_t *service = json_object_get (services, o->service);
      json_object_set_new (json_object_get (service, "organisations"),
                           o->organisation,
                           limits_to_json (&o->limits, o->is_set));
    }
  return services;
}

static json_t *
organisations_to_json (const struct conf *c)
{
  json_t *organisations = json_object ();
  const struct conf_organisation *o;
  for (size_t i = 0; (o = conf_organisation_at (c, i)) != NULL; i++)
    json_object_set_new (organisations, o->name,
                         json_string (conf_kind_name (o->kind)));
  return organisations;
}

static json_t *
zones_to_json (const struct conf *c)
{
  json_t *zones = json_array ();
  const struct conf_zone *z;
  for (size_t i = 0; (z = conf_evacuated_zone_at (c, i)) != NULL; i++)
    json_array_append_new (zones, json_string (z->name));
  return zones;
}

static json_t *
audit_to_json (const struct conf *c)
{
  json_t *audit = json_array ();
  const struct conf_audit_entry *a;
  for (size_t i = 0; (a = conf_audit_at (c, i)) != NULL; i++)
    json_array_append_new (audit, conf_audit_to_json (a));
  return audit;
}

char *
conf_to_json (const struct conf *c)
{
  json_t *root = json_object ();
  json_object_set_new (root, "format", json_integer (FORMAT_VERSION));
  json_object_set_new (root, "revision",
                       json_integer ((json_int_t)c->revision));
  json_object_set_new (root, "services", services_to_json (c));
  json_object_set_new (root, "organisations", organisations_to_json (c));
  if (c->zones->len > 0)
    json_object_set_new (root, "evacuated", zones_to_json (c));
  json_object_set_new (root, "audit", audit_to_json (c));
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

/* Whether OBJECT has at most MAX keys, all of them valid names.  */
static bool
check_names (struct reader *r, const char *name, json_t *object, size_t max)
{
  if (!json_is_object (object) || json_object_size (object) > max)
    {
      findings_add (r->findings, 1, 1, name,
                    "is not an object of at most %zu names", max);
      return false;
    }
  for (void *it = json_object_iter (object); it != NULL;
       it = json_object_iter_next (object, it))
    if (!conf_is_valid_name (json_object_iter_key (it)))
      {
        strict_add_finding (r->findings, name, "contains an invalid name");
        return false;
      }
  return true;
}

/* Parse each entry of OBJECT, which belongs to PARENT.  */
static void
read_entries (struct reader *r, const char *parent, json_t *object,
              read_entry_fn *fn)
{
  for (void *it = json_object_iter (object); it != NULL;
       it = json_object_iter_next (object, it))
    fn (r, parent, json_object_iter_key (it), json_object_iter_value (it));
}

static int
find_limit (const char *key)
{
  for (int i = 0; i < CONF_LIMIT_COUNT; i++)
    if (strcmp (conf_limits_schema[i].key, key) == 0)
      return i;
  return -1;
}

static void
read_limit (struct reader *r, const char *name, int i, const json_t *value,
            struct conf_limits *limits)
{
  int64_t integer = 0;
  if (strict_read_integer (r->findings, name, value, conf_limits_schema[i].low,
                           conf_limits_schema[i].high, &integer))
    limits->value[i] = (uint32_t)integer;
}

static void
read_override (struct reader *r, const char *service, const char *organisation,
               json_t *object)
{
  char name[KEY_PATH_BYTES];
  snprintf (name, sizeof name, "services.%s.organisations.%s", service,
            organisation);
  if (!json_is_object (object) || json_object_size (object) == 0)
    {
      strict_add_finding (r->findings, name, "is not an object of limits");
      return;
    }
  if (r->c->overrides->len >= CONF_OVERRIDES_MAX)
    {
      strict_add_finding (r->findings, name,
                          "exceeds the maximum number of overrides");
      return;
    }
  struct conf_override *o = conf_ensure_override (r->c, service, organisation);
  for (void *it = json_object_iter (object); it != NULL;
       it = json_object_iter_next (object, it))
    {
      int i = find_limit (json_object_iter_key (it));
      if (i < 0 || !conf_limits_schema[i].is_per_organisation)
        {
          strict_add_finding (r->findings, name, "has unknown keys");
          return;
        }
      read_limit (r, name, i, json_object_iter_value (it), &o->limits);
      o->is_set[i] = true;
    }
}

static void
read_service (struct reader *r, const char *parent, const char *service,
              json_t *object)
{
  char name[KEY_PATH_BYTES];
  snprintf (name, sizeof name, "%s.%s", parent, service);
  struct conf_service *s = conf_ensure_service (r->c, service);
  if (!strict_check_keys (r->findings, name, object, service_keys))
    return;
  for (int i = 0; i < CONF_LIMIT_COUNT; i++)
    read_limit (r, name, i,
                json_object_get (object, conf_limits_schema[i].key),
                &s->limits);
  json_t *organisations = json_object_get (object, "organisations");
  if (!check_names (r, name, organisations, CONF_OVERRIDES_MAX))
    return;
  read_entries (r, service, organisations, read_override);
}

static void
read_services (struct reader *r, json_t *services)
{
  if (!check_names (r, "services", services, CONF_SERVICES_MAX))
    return;
  read_entries (r, "services", services, read_service);
}

static void
read_organisation (struct reader *r, const char *parent,
                   const char *organisation, json_t *value)
{
  char name[KEY_PATH_BYTES];
  snprintf (name, sizeof name, "%s.%s", parent, organisation);
  const char *kind_text = json_string_value (value);
  for (int kind = 0; kind_text != NULL && kind < CONF_KIND_COUNT; kind++)
    if (strcmp (kind_text, conf_kind_name ((enum conf_kind)kind)) == 0)
      {
        conf_ensure_organisation (r->c, organisation)->kind
            = (enum conf_kind)kind;
        return;
      }
  strict_add_finding (r->findings, name, "is neither trial nor paying");
}

static void
read_organisations (struct reader *r, json_t *organisations)
{
  if (!check_names (r, "organisations", organisations, CONF_ORGANISATIONS_MAX))
    return;
  read_entries (r, "organisations", organisations, read_organisation);
}

static void
read_zones (struct reader *r, const json_t *zones)
{
  if (!json_is_array (zones) || json_array_size (zones) == 0
      || json_array_size (zones) > CONF_ZONES_MAX)
    {
      findings_add (r->findings, 1, 1, "evacuated",
                    "is not an array of 1 to %d zones", CONF_ZONES_MAX);
      return;
    }
  for (size_t i = 0; i < json_array_size (zones); i++)
    {
      const char *zone = json_string_value (json_array_get (zones, i));
      if (!conf_is_valid_name (zone) || conf_zone_is_evacuated (r->c, zone))
        {
          strict_add_finding (r->findings, "evacuated",
                              "contains an invalid or repeated zone");
          return;
        }
      conf_set_evacuated (r->c, zone, true);
    }
}

static void
read_audit_entry (struct reader *r, const char *name, const json_t *object)
{
  struct conf_audit_entry a;
  if (!conf_audit_from_json (object, name, r->findings, &a))
    return;
  if (a.revision > r->c->revision)
    strict_add_finding (r->findings, name,
                        "has a later revision than the configuration");
  else
    conf_append_audit (r->c, &a);
}

/* Each accepted command makes the next revision, so the audit must end with
   the current revision and have no gaps.  */
static void
check_audit (struct reader *r)
{
  size_t count = r->c->audit->len;
  uint64_t first = r->c->revision - count + 1;
  if (count < CONF_AUDIT_MAX && count != r->c->revision)
    strict_add_finding (r->findings, "audit", "has too few entries");
  for (size_t i = 0; i < count; i++)
    if (conf_audit_at (r->c, i)->revision != first + i)
      {
        strict_add_finding (r->findings, "audit",
                            "has a gap in its revisions");
        return;
      }
}

static void
read_audit (struct reader *r, const json_t *audit)
{
  char name[KEY_PATH_BYTES];
  if (!json_is_array (audit) || json_array_size (audit) > CONF_AUDIT_MAX)
    {
      findings_add (r->findings, 1, 1, "audit",
                    "is not an array of at most %d entries", CONF_AUDIT_MAX);
      return;
    }
  for (size_t i = 0; i < json_array_size (audit); i++)
    {
      snprintf (name, sizeof name, "audit.%zu", i);
      read_audit_entry (r, name, json_array_get (audit, i));
    }
  if (findings_count (r->findings) == r->initial_findings)
    check_audit (r);
}

static void
read_root (struct reader *r, const json_t *root)
{
  int64_t format = 0;
  int64_t revision = 0;
  const json_t *zones = json_object_get (root, "evacuated");
  if (!strict_check_keys (r->findings, "configuration", root,
                          zones == NULL ? root_keys : root_keys_evacuated))
    return;
  if (!strict_read_integer (r->findings, "format",
                            json_object_get (root, "format"), FORMAT_VERSION,
                            FORMAT_VERSION, &format)
      || !strict_read_integer (r->findings, "revision",
                               json_object_get (root, "revision"), 0,
                               INT64_MAX, &revision))
    return;
  r->c->revision = (uint64_t)revision;
  read_services (r, json_object_get (root, "services"));
  read_organisations (r, json_object_get (root, "organisations"));
  if (zones != NULL)
    read_zones (r, zones);
  read_audit (r, json_object_get (root, "audit"));
}

struct conf *
conf_from_json (const char *text, size_t length, struct findings *findings)
{
  struct reader r = { .findings = findings };
  r.initial_findings = findings_count (findings);
  json_t *root = strict_parse (findings, text, length);
  if (root == NULL)
    return NULL;
  r.c = conf_new ();
  read_root (&r, root);
  json_decref (root);
  if (findings_count (findings) == r.initial_findings)
    return r.c;
  conf_unref (r.c);
  return NULL;
}
