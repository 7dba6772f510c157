/* The differences between two configurations as text.  */

#include "conf/data.h"

#include <string.h>

static void
append_limits (GString *text, const struct conf_limits *limits)
{
  for (int i = 0; i < CONF_LIMIT_COUNT; i++)
    g_string_append_printf (text, " %s %u%s", conf_limits_schema[i].word,
                            limits->value[i], conf_limits_schema[i].unit);
}

static void
diff_service (GString *text, const struct conf_service *before,
              const struct conf_service *after)
{
  if (before == NULL)
    {
      g_string_append_printf (text, "service %s: created with", after->name);
      append_limits (text, &after->limits);
      g_string_append_c (text, '\n');
      return;
    }
  for (int i = 0; i < CONF_LIMIT_COUNT; i++)
    if (before->limits.value[i] != after->limits.value[i])
      {
        const struct conf_limit_definition *limit = &conf_limits_schema[i];
        g_string_append_printf (text, "limit %s %s: %u%s -> %u%s\n",
                                after->name, limit->word,
                                before->limits.value[i], limit->unit,
                                after->limits.value[i], limit->unit);
      }
}

static void
diff_services (GString *text, const struct conf *before,
               const struct conf *after)
{
  const struct conf_service *s;
  for (size_t i = 0; (s = conf_service_at (after, i)) != NULL; i++)
    diff_service (text, conf_find_service (before, s->name), s);
  for (size_t i = 0; (s = conf_service_at (before, i)) != NULL; i++)
    if (conf_find_service (after, s->name) == NULL)
      g_string_append_printf (text, "service %s: removed\n", s->name);
}

/* Merge the two sorted lists.  An organisation that is missing from one of
   them is a trial there.  */
static void
diff_organisations (GString *text, const struct conf *before,
                    const struct conf *after)
{
  size_t i = 0;
  size_t j = 0;
  for (;;)
    {
      const struct conf_organisation *old_entry
          = conf_organisation_at (before, i);
      const struct conf_organisation *new_entry
          = conf_organisation_at (after, j);
      if (old_entry == NULL && new_entry == NULL)
        return;
      int order = 0;
      if (old_entry == NULL || new_entry == NULL)
        order = old_entry == NULL ? 1 : -1;
      else
        order = strcmp (old_entry->name, new_entry->name);
      i += order <= 0;
      j += order >= 0;
      if (order == 0 && old_entry->kind == new_entry->kind)
        continue;
      g_string_append_printf (text, "organisation %s: %s -> %s\n",
                              order <= 0 ? old_entry->name : new_entry->name,
                              order <= 0 ? conf_kind_name (old_entry->kind)
                                         : "not listed (trial)",
                              order >= 0 ? conf_kind_name (new_entry->kind)
                                         : "not listed (trial)");
    }
}

static void
append_override (GString *text, const struct conf_override *o, int i)
{
  if (o == NULL || !o->is_set[i])
    g_string_append (text, "as the service");
  else
    g_string_append_printf (text, "%u%s", o->limits.value[i],
                            conf_limits_schema[i].unit);
}

static void
diff_override (GString *text, const struct conf_override *before,
               const struct conf_override *after)
{
  const struct conf_override *subject = after != NULL ? after : before;
  for (int i = 0; i < CONF_LIMIT_COUNT; i++)
    {
      bool was_set = before != NULL && before->is_set[i];
      bool now_set = after != NULL && after->is_set[i];
      if (was_set == now_set
          && (!now_set || before->limits.value[i] == after->limits.value[i]))
        continue;
      g_string_append_printf (text, "limit %s %s for %s: ", subject->service,
                              conf_limits_schema[i].word,
                              subject->organisation);
      append_override (text, before, i);
      g_string_append (text, " -> ");
      append_override (text, after, i);
      g_string_append_c (text, '\n');
    }
}

static void
diff_overrides (GString *text, const struct conf *before,
                const struct conf *after)
{
  const struct conf_override *o;
  for (size_t i = 0; (o = conf_override_at (after, i)) != NULL; i++)
    diff_override (
        text, conf_find_override (before, o->service, o->organisation), o);
  for (size_t i = 0; (o = conf_override_at (before, i)) != NULL; i++)
    if (conf_find_override (after, o->service, o->organisation) == NULL)
      diff_override (text, o, NULL);
}

/* List the zones that are evacuated in C and not in OTHER.  */
static void
diff_zones (GString *text, const struct conf *c, const struct conf *other,
            const char *change)
{
  const struct conf_zone *z;
  for (size_t i = 0; (z = conf_evacuated_zone_at (c, i)) != NULL; i++)
    if (!conf_zone_is_evacuated (other, z->name))
      g_string_append_printf (text, "zone %s: %s\n", z->name, change);
}

char *
conf_diff (const struct conf *before, const struct conf *after)
{
  GString *text = g_string_new (NULL);
  diff_services (text, before, after);
  diff_organisations (text, before, after);
  diff_overrides (text, before, after);
  diff_zones (text, after, before, "in service -> evacuated");
  diff_zones (text, before, after, "evacuated -> in service");
  char *copy = strdup (text->str);
  g_string_free (text, TRUE);
  return copy;
}
