#include "settings/settings.h"

#include "base/finding.h"
#include "settings/schema.h"
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <yaml.h>

enum
{
  KEY_BYTES = 160,
  /* The lease must outlive this many renewals, so that one may be lost.  */
  RENEWALS_PER_TERM = 3
};

/* A place in the file; line 0 when there is none.  */
struct place
{
  unsigned line;
  unsigned column;
};

/* One reading of a file.  */
struct reading
{
  struct settings *s;
  struct findings *findings;
  yaml_document_t document;
  struct place seen[SETTING_COUNT]; /* where the value stands */
};

static struct place
place_of (const yaml_mark_t *mark)
{
  struct place p = { (unsigned)mark->line + 1, (unsigned)mark->column + 1 };
  return p;
}

static void
add_at (struct reading *r, struct place at, const char *key,
        const char *problem)
{
  findings_add (r->findings, at.line, at.column, key, "%s", problem);
}

static const char *
scalar_text (const yaml_node_t *node)
{
  return (const char *)node->data.scalar.value;
}

/* Whether NODE is a scalar of text without zero bytes.  */
static bool
is_text (const yaml_node_t *node)
{
  return node->type == YAML_SCALAR_NODE
         && strlen (scalar_text (node)) == node->data.scalar.length;
}

/* Whether NODE can hold a value of TYPE; numbers and switches are plain.  */
static bool
has_style (const yaml_node_t *node, enum setting_type type)
{
  if (!is_text (node))
    return false;
  if (type != SETTING_NUMBER && type != SETTING_SWITCH)
    return true;
  return node->data.scalar.style == YAML_PLAIN_SCALAR_STYLE;
}

static void
read_scalar (struct reading *r, const struct setting *def,
             const yaml_node_t *node, const char *key)
{
  char problem[SETTING_PROBLEM_BYTES];
  struct place at = place_of (&node->start_mark);
  if (!has_style (node, def->type))
    {
      enum setting_type type
          = def->type == SETTING_ADDRESSES ? SETTING_ADDRESS : def->type;
      findings_add (r->findings, at.line, at.column, key, "must be %s",
                    setting_type_description (type));
      return;
    }
  if (!setting_parse (r->s, def, scalar_text (node), problem))
    add_at (r, at, key, problem);
}

static void
read_list (struct reading *r, const struct setting *def,
           const yaml_node_t *node, const char *key)
{
  struct place at = place_of (&node->start_mark);
  if (node->type != YAML_SEQUENCE_NODE)
    {
      findings_add (r->findings, at.line, at.column, key, "must be %s",
                    setting_type_description (def->type));
      return;
    }
  const yaml_node_item_t *item = node->data.sequence.items.start;
  if (item == node->data.sequence.items.top)
    add_at (r, at, key, "is an empty list");
  for (; item < node->data.sequence.items.top; item++)
    read_scalar (r, def, yaml_document_get_node (&r->document, *item), key);
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

/* Whether an earlier pair of the mapping NODE has the key of PAIR.  */
static bool
is_repeated (struct reading *r, const yaml_node_t *node,
             const yaml_node_pair_t *pair)
{
  const yaml_node_t *key = yaml_document_get_node (&r->document, pair->key);
  const yaml_node_pair_t *p = node->data.mapping.pairs.start;
  for (; p < pair; p++)
    {
      const yaml_node_t *earlier
          = yaml_document_get_node (&r->document, p->key);
      if (is_text (earlier)
          && strcmp (scalar_text (earlier), scalar_text (key)) == 0)
        return true;
    }
  return false;
}

/* The key of PAIR in the mapping NODE, or NULL after adding a finding.  */
static const char *
pair_key (struct reading *r, const yaml_node_t *node,
          const yaml_node_pair_t *pair, const char *within)
{
  const yaml_node_t *key = yaml_document_get_node (&r->document, pair->key);
  char name[KEY_BYTES];
  if (!is_text (key))
    {
      add_at (r, place_of (&key->start_mark), within, "a key must be text");
      return NULL;
    }
  if (!is_repeated (r, node, pair))
    return scalar_text (key);
  snprintf (name, sizeof name, "%s%s%.64s", within,
            within[0] == '\0' ? "" : ".", scalar_text (key));
  add_at (r, place_of (&key->start_mark), name, "is given twice");
  return NULL;
}

static void
read_pair (struct reading *r, const yaml_node_t *node,
           const yaml_node_pair_t *pair, const char *section)
{
  const char *key = pair_key (r, node, pair, section);
  char name[KEY_BYTES];
  if (key == NULL)
    return;
  const yaml_node_t *key_node
      = yaml_document_get_node (&r->document, pair->key);
  const yaml_node_t *value
      = yaml_document_get_node (&r->document, pair->value);
  int i = find_setting (section, key);
  snprintf (name, sizeof name, "%s.%.64s", section, key);
  if (i < 0)
    {
      add_at (r, place_of (&key_node->start_mark), name, "unknown key");
      return;
    }
  r->seen[i] = place_of (&value->start_mark);
  if (settings_schema[i].type == SETTING_ADDRESSES)
    read_list (r, &settings_schema[i], value, name);
  else
    read_scalar (r, &settings_schema[i], value, name);
}

/* Add a finding for each required setting of SECTION that was not seen.  */
static void
require_section (struct reading *r, const char *section, struct place at)
{
  char name[KEY_BYTES];
  for (int i = 0; i < SETTING_COUNT; i++)
    {
      const struct setting *def = &settings_schema[i];
      if (strcmp (def->section, section) != 0 || def->default_text != NULL
          || r->seen[i].line != 0)
        continue;
      snprintf (name, sizeof name, "%s.%s", section, def->key);
      add_at (r, at, name, "is missing");
    }
}

static void
read_section (struct reading *r, const yaml_node_t *root,
              const yaml_node_pair_t *pair, bool found[SETTING_COUNT])
{
  const char *section = pair_key (r, root, pair, "");
  if (section == NULL)
    return;
  const yaml_node_t *key = yaml_document_get_node (&r->document, pair->key);
  const yaml_node_t *node = yaml_document_get_node (&r->document, pair->value);
  struct place at = place_of (&key->start_mark);
  int first = find_setting (section, NULL);
  if (first < 0)
    {
      add_at (r, at, section, "unknown section");
      return;
    }
  found[first] = true;
  if (node->type != YAML_MAPPING_NODE)
    {
      add_at (r, place_of (&node->start_mark), section,
              "must be a mapping of keys to values");
      return;
    }
  const yaml_node_pair_t *p = node->data.mapping.pairs.start;
  for (; p < node->data.mapping.pairs.top; p++)
    read_pair (r, node, p, section);
  require_section (r, section, at);
}

static void
read_root (struct reading *r, const yaml_node_t *root)
{
  /* FOUND is indexed by the first setting of each section.  */
  bool found[SETTING_COUNT] = { false };
  struct place start = { 1, 1 };
  if (root == NULL || root->type != YAML_MAPPING_NODE)
    {
      add_at (r, start, "", "the file must be a mapping of sections");
      return;
    }
  const yaml_node_pair_t *p = root->data.mapping.pairs.start;
  for (; p < root->data.mapping.pairs.top; p++)
    read_section (r, root, p, found);
  for (int i = 0; i < SETTING_COUNT; i++)
    {
      const char *section = settings_schema[i].section;
      if (find_setting (section, NULL) == i && !found[i])
        require_section (r, section, start);
    }
}

static void
add_syntax_error (struct reading *r, const yaml_parser_t *parser)
{
  struct place at = place_of (&parser->problem_mark);
  const char *problem = parser->problem;
  if (problem == NULL)
    problem = "cannot be read";
  add_at (r, at, "", problem);
}

static void
refuse_second_document (struct reading *r, yaml_parser_t *parser)
{
  yaml_document_t second;
  if (yaml_parser_load (parser, &second) == 0)
    {
      add_syntax_error (r, parser);
      return;
    }
  const yaml_node_t *root = yaml_document_get_root_node (&second);
  if (root != NULL)
    add_at (r, place_of (&root->start_mark), "",
            "the file holds more than one document");
  yaml_document_delete (&second);
}

static void
read_file (struct reading *r, FILE *file)
{
  yaml_parser_t parser;
  if (yaml_parser_initialize (&parser) == 0)
    {
      findings_add (r->findings, 1, 1, "", "no memory for the parser");
      return;
    }
  yaml_parser_set_input_file (&parser, file);
  if (yaml_parser_load (&parser, &r->document) == 0)
    add_syntax_error (r, &parser);
  else
    {
      const yaml_node_t *root = yaml_document_get_root_node (&r->document);
      read_root (r, root);
      if (root != NULL)
        refuse_second_document (r, &parser);
      yaml_document_delete (&r->document);
    }
  yaml_parser_delete (&parser);
}

/* Add the problem of setting I, which clashes with OTHER.  A setting that has
   its default stands in no place of its own: the other's serves.  */
static void
add_clash (struct reading *r, enum setting_index i, enum setting_index other,
           const char *problem)
{
  const struct setting *def = &settings_schema[i];
  struct place at = r->seen[i].line != 0 ? r->seen[i] : r->seen[other];
  char name[KEY_BYTES];
  if (at.line == 0)
    at = (struct place){ 1, 1 };
  snprintf (name, sizeof name, "%s.%s", def->section, def->key);
  add_at (r, at, name, problem);
}

static bool
is_wildcard (const struct settings_address *a)
{
  return strcmp (a->host, "0.0.0.0") == 0 || strcmp (a->host, "::") == 0;
}

static bool
is_clash (const struct settings_address *a, const struct settings_address *b)
{
  if (a->port == 0 || a->port != b->port)
    return false;
  return strcmp (a->host, b->host) == 0 || is_wildcard (a) || is_wildcard (b);
}

static void
check_addresses (struct reading *r)
{
  static const enum setting_index order[]
      = { SETTING_listen_callers, SETTING_listen_peers,
          SETTING_listen_operator, SETTING_target_address };
  enum
  {
    ORDER_COUNT = sizeof order / sizeof order[0]
  };
  char problem[SETTING_PROBLEM_BYTES];
  for (int i = 0; i < ORDER_COUNT; i++)
    for (int j = 0; j < i; j++)
      {
        const struct setting *a = &settings_schema[order[i]];
        const struct setting *b = &settings_schema[order[j]];
        const char *base = (const char *)r->s;
        if (!is_clash ((const struct settings_address *)(base + a->offset),
                       (const struct settings_address *)(base + b->offset)))
          continue;
        snprintf (problem, sizeof problem, "is the same address as %s.%s",
                  b->section, b->key);
        add_clash (r, order[i], order[j], problem);
      }
}

static void
check_wildcards (struct reading *r)
{
  if (is_wildcard (&r->s->peers))
    add_clash (r, SETTING_listen_peers, SETTING_listen_peers,
               "must be an address that other nodes can reach");
  if (is_wildcard (&r->s->peers_announced))
    add_clash (r, SETTING_listen_peers_announced,
               SETTING_listen_peers_announced,
               "must be an address that other nodes can reach");
  if (is_wildcard (&r->s->target))
    add_clash (r, SETTING_target_address, SETTING_target_address,
               "must be the target's own address");
}

static void
check_numbers (struct reading *r)
{
  const struct settings *s = r->s;
  if (s->lease_renew_ms * RENEWALS_PER_TERM > s->lease_term_ms)
    add_clash (r, SETTING_lease_renew_ms, SETTING_lease_term_ms,
               "three times renew_ms is more than lease.term_ms");
  if (s->deadline_ms > s->deadline_max_ms)
    add_clash (r, SETTING_limits_deadline_ms, SETTING_limits_deadline_max_ms,
               "is more than limits.deadline_max_ms");
  if (s->target_connections < s->target_slots)
    add_clash (r, SETTING_target_connections, SETTING_target_slots,
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
  struct reading r = { .s = s };
  enum status result = STATUS_OK;
  *findings = NULL;
  settings_defaults (s);
  r.findings = findings_new (path);
  FILE *file = fopen (path, "rb");
  if (file == NULL)
    findings_add (r.findings, 1, 1, "", "cannot open: %s", strerror (errno));
  else
    {
      read_file (&r, file);
      fclose (file);
      check_addresses (&r);
      check_wildcards (&r);
      check_numbers (&r);
    }
  if (findings_count (r.findings) > 0)
    {
      *findings = findings_format (r.findings);
      result = status_set (STATUS_INVALID, "%s: %zu errors", path,
                           findings_count (r.findings));
    }
  findings_free (r.findings);
  return result;
}
