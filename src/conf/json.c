/* The JSON form of a configuration:

   {"format": 1, "revision": N,
    "services": {NAME: {"trial_share": N, ..., "organisations":
                        {NAME: {"trial_rate": N}}}},
    "organisations": {NAME: "trial" | "paying"},
    "audit": [{"revision": N, "change": "16 hex digits", "wall_ms": N,
               "who": S, "why": S, "command": S, "action": WORD,
               "service": NAME or "", "organisation": NAME or "",
               "kind": WORD or "", "limit": WORD or "", "value": N}]}  */

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
  FORMAT = 1,
  KEY_BYTES = 256
};

static const char *const root_keys[]
    = { "format", "revision", "services", "organisations", "audit", NULL };

static const char *const service_keys[] = {
#define LIMIT(name, word, key, low, high, initial, unit, single, help) key,
#include "conf/limits.def"
#undef LIMIT
  "organisations",
  NULL,
};

/* One reading.  The name that the functions below take is the key with dots,
   for findings.  */
struct reader
{
  struct conf *c;
  struct findings *findings;
  size_t earlier; /* findings of other readings */
};

/* Reads the entry KEY of what WITHIN names.  */
typedef void entry_fn (struct reader *r, const char *within, const char *key,
                       json_t *value);

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
  json_object_set_new (root, "format", json_integer (FORMAT));
  json_object_set_new (root, "revision",
                       json_integer ((json_int_t)c->revision));
  json_object_set_new (root, "services", services_to_json (c));
  json_object_set_new (root, "organisations", organisations_to_json (c));
  json_object_set_new (root, "audit", audit_to_json (c));
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

/* Whether OBJECT maps at most HIGH names to something.  */
static bool
has_names (struct reader *r, const char *name, json_t *object, size_t high)
{
  if (!json_is_object (object) || json_object_size (object) > high)
    {
      findings_add (r->findings, 1, 1, name,
                    "is not an object of at most %zu names", high);
      return false;
    }
  for (void *it = json_object_iter (object); it != NULL;
       it = json_object_iter_next (object, it))
    if (!conf_is_valid_name (json_object_iter_key (it)))
      {
        strict_add_finding (r->findings, name, "holds what is not a name");
        return false;
      }
  return true;
}

/* Read each entry of OBJECT, which belongs to what WITHIN names.  */
static void
read_entries (struct reader *r, const char *within, json_t *object,
              entry_fn *fn)
{
  for (void *it = json_object_iter (object); it != NULL;
       it = json_object_iter_next (object, it))
    fn (r, within, json_object_iter_key (it), json_object_iter_value (it));
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
  char name[KEY_BYTES];
  snprintf (name, sizeof name, "services.%s.organisations.%s", service,
            organisation);
  if (!json_is_object (object) || json_object_size (object) == 0)
    {
      strict_add_finding (r->findings, name, "is not an object of limits");
      return;
    }
  if (r->c->overrides->len >= CONF_OVERRIDES_MAX)
    {
      strict_add_finding (r->findings, name, "is one too many");
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
read_service (struct reader *r, const char *within, const char *service,
              json_t *object)
{
  char name[KEY_BYTES];
  snprintf (name, sizeof name, "%s.%s", within, service);
  struct conf_service *s = conf_ensure_service (r->c, service);
  if (!strict_check_keys (r->findings, name, object, service_keys))
    return;
  for (int i = 0; i < CONF_LIMIT_COUNT; i++)
    read_limit (r, name, i,
                json_object_get (object, conf_limits_schema[i].key),
                &s->limits);
  json_t *organisations = json_object_get (object, "organisations");
  if (!has_names (r, name, organisations, CONF_OVERRIDES_MAX))
    return;
  read_entries (r, service, organisations, read_override);
}

static void
read_services (struct reader *r, json_t *services)
{
  if (!has_names (r, "services", services, CONF_SERVICES_MAX))
    return;
  read_entries (r, "services", services, read_service);
}

static void
read_organisation (struct reader *r, const char *within,
                   const char *organisation, json_t *value)
{
  char name[KEY_BYTES];
  snprintf (name, sizeof name, "%s.%s", within, organisation);
  const char *word = json_string_value (value);
  for (int kind = 0; word != NULL && kind < CONF_KIND_COUNT; kind++)
    if (strcmp (word, conf_kind_name ((enum conf_kind)kind)) == 0)
      {
        conf_ensure_organisation (r->c, organisation)->kind
            = (enum conf_kind)kind;
        return;
      }
  strict_add_finding (r->findings, name, "is not trial or paying");
}

static void
read_organisations (struct reader *r, json_t *organisations)
{
  if (!has_names (r, "organisations", organisations, CONF_ORGANISATIONS_MAX))
    return;
  read_entries (r, "organisations", organisations, read_organisation);
}

static void
read_audit_entry (struct reader *r, const char *name, const json_t *object)
{
  struct conf_audit_entry a;
  if (!conf_audit_from_json (object, name, r->findings, &a))
    return;
  if (a.revision > r->c->revision)
    strict_add_finding (r->findings, name, "is later than the configuration");
  else
    conf_append_audit (r->c, &a);
}

/* Each accepted command makes the next revision, so that the audit ends with
   the present one and has no gaps.  */
static void
check_audit (struct reader *r)
{
  size_t count = r->c->audit->len;
  uint64_t first = r->c->revision - count + 1;
  if (count < CONF_AUDIT_MAX && count != r->c->revision)
    strict_add_finding (r->findings, "audit", "is too short");
  for (size_t i = 0; i < count; i++)
    if (conf_audit_at (r->c, i)->revision != first + i)
      {
        strict_add_finding (r->findings, "audit", "has a gap");
        return;
      }
}

static void
read_audit (struct reader *r, const json_t *audit)
{
  char name[KEY_BYTES];
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
  if (findings_count (r->findings) == r->earlier)
    check_audit (r);
}

static void
read_root (struct reader *r, const json_t *root)
{
  int64_t format = 0;
  int64_t revision = 0;
  if (!strict_check_keys (r->findings, "configuration", root, root_keys))
    return;
  if (!strict_read_integer (r->findings, "format",
                            json_object_get (root, "format"), FORMAT, FORMAT,
                            &format)
      || !strict_read_integer (r->findings, "revision",
                               json_object_get (root, "revision"), 0,
                               INT64_MAX, &revision))
    return;
  r->c->revision = (uint64_t)revision;
  read_services (r, json_object_get (root, "services"));
  read_organisations (r, json_object_get (root, "organisations"));
  read_audit (r, json_object_get (root, "audit"));
}

struct conf *
conf_from_json (const char *text, size_t length, struct findings *findings)
{
  struct reader r = { .findings = findings };
  r.earlier = findings_count (findings);
  json_t *root = strict_parse (findings, text, length);
  if (root == NULL)
    return NULL;
  r.c = conf_new ();
  read_root (&r, root);
  json_decref (root);
  if (findings_count (findings) == r.earlier)
    return r.c;
  conf_unref (r.c);
  return NULL;
}
