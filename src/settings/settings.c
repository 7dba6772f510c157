#include "settings/settings.h"

#include "base/finding.h"
#include "settings/schema.h"
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <yaml.h>

enum
{
  QUALIFIED_NAME_BYTES = 160, /* of "SECTION.KEY" */
  /* Renewal intervals that a lease must last, so that the loss of a single
     renewal does not expire it.  */
  RENEWALS_PER_TERM = 3
};

/* A location in the file; line 0 means none.  */
struct location
{
  unsigned line;
  unsigned column;
};

/* The state of loading a file.  */
struct loader
{
  struct settings *s;
  struct findings *findings;
  yaml_document_t document;
  /* Locations of the values that are set.  */
  struct location value_locations[SETTING_COUNT];
};

static struct location
get_location (const yaml_mark_t *mark)
{
  struct location at
      = { (unsigned)mark->line + 1, (unsigned)mark->column + 1 };
  return at;
}

static void
add_finding (struct loader *l, struct location at, const char *key,
             const char *problem)
{
  findings_add (l->findings, at.line, at.column, key, "%s", problem);
}

static const char *
scalar_text (const yaml_node_t *node)
{
  return (const char *)node->data.scalar.value;
}

/* Whether NODE is a scalar without embedded null bytes.  */
static bool
is_string (const yaml_node_t *node)
{
  return node->type == YAML_SCALAR_NODE
         && strlen (scalar_text (node)) == node->data.scalar.length;
}

/* Whether NODE is a scalar in a style that TYPE allows; numbers and booleans
   must not be quoted.  */
static bool
has_valid_style (const yaml_node_t *node, enum setting_type type)
{
  if (!is_string (node))
    return false;
  if (type != SETTING_NUMBER && type != SETTING_DECIMAL
      && type != SETTING_SWITCH)
    return true;
  return node->data.scalar.style == YAML_PLAIN_SCALAR_STYLE;
}

static void
read_scalar (struct loader *l, const struct setting *def,
             const yaml_node_t *node, const char *key)
{
  char problem[SETTING_PROBLEM_BYTES];
  struct location at = get_location (&node->start_mark);
  if (!has_valid_style (node, def->type))
    {
      enum setting_type type
          = def->type == SETTING_ADDRESSES ? SETTING_ADDRESS : def->type;
      findings_add (l->findings, at.line, at.column, key, "must be %s",
                    setting_type_description (type));
      return;
    }
  if (!setting_parse (l->s, def, scalar_text (node), problem))
    add_finding (l, at, key, problem);
}

static void
read_list (struct loader *l, const struct setting *def,
           const yaml_node_t *node, const char *key)
{
  struct location at = get_location (&node->start_mark);
  if (node->type != YAML_SEQUENCE_NODE)
    {
      findings_add (l->findings, at.line, at.column, key, "must be %s",
                    setting_type_description (def->type));
      return;
    }
  const yaml_node_item_t *item = node->data.sequence.items.start;
  if (item == node->data.sequence.items.top)
    add_finding (l, at, key, "is an empty list");
  for (; item < node->data.sequence.items.top; item++)
    read_scalar (l, def, yaml_document_get_node (&l->document, *item), key);
}

static int
find_setting (const char *section, const char *key)
{
  for (int i = 0; i < SETTING_COUNT; i++)
    if (strcmp (settings_schema[i].section, section) == 0
        && (key == NULL || strcmp (settings_schema[i].key, key) == 0))
      return i;
  return -1;
}

/* Whether an earlier pair of the mapping NODE has the same key as PAIR.  */
static bool
is_duplicate (struct loader *l, const yaml_node_t *node,
              const yaml_node_pair_t *pair)
{
  const yaml_node_t *key = yaml_document_get_node (&l->document, pair->key);
  const yaml_node_pair_t *p = node->data.mapping.pairs.start;
  for (; p < pair; p++)
    {
      const yaml_node_t *earlier
          = yaml_document_get_node (&l->document, p->key);
      if (is_string (earlier)
          && strcmp (scalar_text (earlier), scalar_text (key)) == 0)
        return true;
    }
  return false;
}

/* The key of PAIR in the mapping NODE of SECTION.  NULL, with a finding added,
   if the key is invalid.  */
static const char *
get_key (struct loader *l, const yaml_node_t *node,
         const yaml_node_pair_t *pair, const char *section)
{
  const yaml_node_t *key = yaml_document_get_node (&l->document, pair->key);
  char name[QUALIFIED_NAME_BYTES];
  if (!is_string (key))
    {
      add_finding (l, get_location (&key->start_mark), section,
                   "a key must be a string");
      return NULL;
    }
  if (!is_duplicate (l, node, pair))
    return scalar_text (key);
  snprintf (name, sizeof name, "%s%s%.64s", section,
            section[0] == '\0' ? "" : ".", scalar_text (key));
  add_finding (l, get_location (&key->start_mark), name, "is a duplicate key");
  return NULL;
}

static void
read_pair (struct loader *l, const yaml_node_t *node,
           const yaml_node_pair_t *pair, const char *section)
{
  const char *key = get_key (l, node, pair, section);
  char name[QUALIFIED_NAME_BYTES];
  if (key == NULL)
    return;
  const yaml_node_t *key_node
      = yaml_document_get_node (&l->document, pair->key);
  const yaml_node_t *value
      = yaml_document_get_node (&l->document, pair->value);
  int i = find_setting (section, key);
  snprintf (name, sizeof name, "%s.%.64s", section, key);
  if (i < 0)
    {
      add_finding (l, get_location (&key_node->start_mark), name,
                   "unknown key");
      return;
    }
  l->value_locations[i] = get_location (&value->start_mark);
  if (settings_schema[i].type == SETTING_ADDRESSES)
    read_list (l, &settings_schema[i], value, name);
  else
    read_scalar (l, &settings_schema[i], value, name);
}

/* Add a finding for each required setting of SECTION that is not set.  */
static void
check_required (struct loader *l, const char *section, struct location at)
{
  char name[QUALIFIED_NAME_BYTES];
  for (int i = 0; i < SETTING_COUNT; i++)
    {
      const struct setting *def = &settings_schema[i];
      if (strcmp (def->section, section) != 0 || def->default_text != NULL
          || l->value_locations[i].line != 0)
        continue;
      snprintf (name, sizeof name, "%s.%s", section, def->key);
      add_finding (l, at, name, "is missing");
    }
}

static void
read_section (struct loader *l, const yaml_node_t *root,
              const yaml_node_pair_t *pair, bool found[SETTING_COUNT])
{
  const char *section = get_key (l, root, pair, "");
  if (section == NULL)
    return;
  const yaml_node_t *key = yaml_document_get_node (&l->document, pair->key);
  const yaml_node_t *node = yaml_document_get_node (&l->document, pair->value);
  struct location at = get_location (&key->start_mark);
  int first = find_setting (section, NULL);
  if (first < 0)
    {
      add_finding (l, at, section, "unknown section");
      return;
    }
  found[first] = true;
  if (node->type != YAML_MAPPING_NODE)
    {
      add_finding (l, get_location (&node->start_mark), section,
                   "must be a mapping of keys to values");
      return;
    }
  const yaml_node_pair_t *p = node->data.mapping.pairs.start;
  for (; p < node->data.mapping.pairs.top; p++)
    read_pair (l, node, p, section);
  check_required (l, section, at);
}

static void
read_root (struct loader *l, const yaml_node_t *root)
{
  /* Indexed by the first setting of each section.  */
  bool found[SETTING_COUNT] = { false };
  struct location start = { 1, 1 };
  if (root == NULL || root->type != YAML_MAPPING_NODE)
    {
      add_finding (l, start, "", "the file must be a mapping of sections");
      return;
    }
  const yaml_node_pair_t *p = root->data.mapping.pairs.start;
  for (; p < root->data.mapping.pairs.top; p++)
    read_section (l, root, p, found);
  for (int i = 0; i < SETTING_COUNT; i++)
    {
      const char *section = settings_schema[i].section;
      if (find_setting (section, NULL) == i && !found[i])
        check_required (l, section, start);
    }
}

static void
add_syntax_error (struct loader *l, const yaml_parser_t *parser)
{
  struct location at = get_location (&parser->problem_mark);
  const char *problem = parser->problem;
  if (problem == NULL)
    problem = "cannot be read";
  add_finding (l, at, "", problem);
}

static void
reject_second_document (struct loader *l, yaml_parser_t *parser)
{
  yaml_document_t second;
  if (yaml_parser_load (parser, &second) == 0)
    {
      add_syntax_error (l, parser);
      return;
    }
  const yaml_node_t *root = yaml_document_get_root_node (&second);
  if (root != NULL)
    add_finding (l, get_location (&root->start_mark), "",
                 "the file contains more than one document");
  yaml_document_delete (&second);
}

static void
read_file (struct loader *l, FILE *file)
{
  yaml_parser_t parser;
  if (yaml_parser_initialize (&parser) == 0)
    {
      findings_add (l->findings, 1, 1, "", "out of memory");
      return;
    }
  yaml_parser_set_input_file (&parser, file);
  if (yaml_parser_load (&parser, &l->document) == 0)
    add_syntax_error (l, &parser);
  else
    {
      const yaml_node_t *root = yaml_document_get_root_node (&l->document);
      read_root (l, root);
      if (root != NULL)
        reject_second_document (l, &parser);
      yaml_document_delete (&l->document);
    }
  yaml_parser_delete (&parser);
}

/* Add a finding about setting I, which conflicts with OTHER.  If I is not in
   the file, the finding gets the location of OTHER.  */
static void
add_conflict (struct loader *l, enum setting_index i, enum setting_index other,
              const char *problem)
{
  const struct setting *def = &settings_schema[i];
  struct location at = l->value_locations[i].line != 0
                           ? l->value_locations[i]
                           : l->value_locations[other];
  char name[QUALIFIED_NAME_BYTES];
  if (at.line == 0)
    at = (struct location){ 1, 1 };
  snprintf (name, sizeof name, "%s.%s", def->section, def->key);
  add_finding (l, at, name, problem);
}

static bool
is_wildcard (const struct settings_address *a)
{
  return strcmp (a->host, "0.0.0.0") == 0 || strcmp (a->host, "::") == 0;
}

static bool
addresses_conflict (const struct settings_address *a,
                    const struct settings_address *b)
{
  if (a->port == 0 || a->port != b->port)
    return false;
  return strcmp (a->host, b->host) == 0 || is_wildcard (a) || is_wildcard (b);
}

static void
check_addresses (struct loader *l)
{
  static const enum setting_index addresses[]
      = { SETTING_listen_callers, SETTING_listen_peers,
          SETTING_listen_operator, SETTING_target_address };
  enum
  {
    ADDRESS_COUNT = sizeof addresses / sizeof addresses[0]
  };
  char problem[SETTING_PROBLEM_BYTES];
  for (int i = 0; i < ADDRESS_COUNT; i++)
    for (int j = 0; j < i; j++)
      {
        const struct setting *a = &settings_schema[addresses[i]];
        const struct setting *b = &settings_schema[addresses[j]];
        const char *base = (const char *)l->s;
        if (!addresses_conflict (
                (const struct settings_address *)(base + a->offset),
                (const struct settings_address *)(base + b->offset)))
          continue;
        snprintf (problem, sizeof problem, "is the same address as %s.%s",
                  b->section, b->key);
        add_conflict (l, addresses[i], addresses[j], problem);
      }
}

static void
check_wildcards (struct loader *l)
{
  if (is_wildcard (&l->s->peers))
    add_conflict (l, SETTING_listen_peers, SETTING_listen_peers,
                  "must be an address that other nodes can reach");
  if (is_wildcard (&l->s->peers_announced))
    add_conflict (l, SETTING_listen_peers_announced,
                  SETTING_listen_peers_announced,
                  "must be an address that other nodes can reach");
  if (is_wildcard (&l->s->target))
    add_conflict (l, SETTING_target_address, SETTING_target_address,
                  "must be the target's own address");
}

static void
check_numbers (struct loader *l)
{
  const struct settings *s = l->s;
  if (s->lease_renew_ms * RENEWALS_PER_TERM > s->lease_term_ms)
    add_conflict (l, SETTING_lease_renew_ms, SETTING_lease_term_ms,
                  "three times renew_ms is more than lease.term_ms");
  if (s->deadline_ms > s->deadline_max_ms)
    add_conflict (l, SETTING_limits_deadline_ms,
                  SETTING_limits_deadline_max_ms,
                  "is more than limits.deadline_max_ms");
  if (s->target_connections < s->target_slots)
    add_conflict (l, SETTING_target_connections, SETTING_target_slots,
                  "is less than target.slots");
}

void
settings_defaults (struct settings *s)
{
  char problem[SETTING_PROBLEM_BYTES];
  memset (s, 0, sizeof *s);
  for (int i = 0; i < SETTING_COUNT; i++)
    {
      const struct setting *def = &settings_schema[i];
      if (def->default_text != NULL && def->default_text[0] != '\0')
        setting_parse (s, def, def->default_text, problem);
    }
}

enum status
settings_load (struct settings *s, const char *path, char **findings)
{
  struct loader l = { .s = s };
  enum status result = STATUS_OK;
  *findings = NULL;
  settings_defaults (s);
  l.findings = findings_new (path);
  FILE *file = fopen (path, "rb");
  if (file == NULL)
    findings_add (l.findings, 1, 1, "", "cannot open: %s", strerror (errno));
  else
    {
      read_file (&l, file);
      fclose (file);
      check_addresses (&l);
      check_wildcards (&l);
      check_numbers (&l);
    }
  if (findings_count (l.findings) > 0)
    {
      *findings = findings_format (l.findings);
      result = status_set (STATUS_INVALID, "%s: %zu errors", path,
                           findings_count (l.findings));
    }
  findings_free (l.findings);
  return result;
}
