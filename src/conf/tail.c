/* The tail of a configuration: its last commands, for a node that has an older
   revision:

   {"format": 1, "digest": "16 hex digits", "audit": [entry...]}

   The digest is that of the JSON form of the whole configuration.  A node
   whose result has another digest fetches the whole configuration.  */

#include "conf/data.h"
#include "conf/record.h"
#include "conf/strict.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  FORMAT_VERSION = 1,
  DIGEST_TEXT_BYTES = 17, /* 16 hexadecimal digits and NUL */
  KEY_PATH_BYTES = 32     /* a key with its parents, separated by dots */
};

static const char *const tail_keys[] = { "format", "digest", "audit", NULL };

static void
compute_digest (const struct conf *c, char digest[DIGEST_TEXT_BYTES])
{
  char *json = conf_to_json (c);
  snprintf (digest, DIGEST_TEXT_BYTES, "%016" PRIx64,
            (uint64_t)XXH3_64bits (json, strlen (json)));
  free (json);
}

char *
conf_tail_to_json (const struct conf *c, uint64_t since)
{
  char digest[DIGEST_TEXT_BYTES];
  const struct conf_audit_entry *a;
  if (!conf_audit_covers (c, since))
    return NULL;
  json_t *root = json_object ();
  json_t *audit = json_array ();
  compute_digest (c, digest);
  for (size_t i = 0; (a = conf_audit_at (c, i)) != NULL; i++)
    if (a->revision > since)
      json_array_append_new (audit, conf_audit_to_json (a));
  json_object_set_new (root, "format", json_integer (FORMAT_VERSION));
  json_object_set_new (root, "digest", json_string (digest));
  json_object_set_new (root, "audit", audit);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

/* Apply the command of the audit entry A to *C and replace *C.  */
static enum status
apply_entry (struct conf **c, const struct conf_audit_entry *a)
{
  struct findings *ignored = findings_new ("tail");
  struct conf_command command = conf_audit_to_command (a);
  struct conf *next = NULL;
  if (a->revision == (*c)->revision + 1)
    conf_apply (*c, &command, ignored, &next);
  findings_free (ignored);
  if (next == NULL || next->revision != a->revision)
    {
      conf_unref (next);
      return status_set (STATUS_CONFLICT,
                         "the tail does not continue the configuration");
    }
  conf_unref (*c);
  *c = next;
  return STATUS_OK;
}

static enum status
apply_entries (struct conf **c, const json_t *audit, struct findings *findings)
{
  char name[KEY_PATH_BYTES];
  struct conf_audit_entry a;
  enum status s = STATUS_OK;
  for (size_t i = 0; s == STATUS_OK && i < json_array_size (audit); i++)
    {
      snprintf (name, sizeof name, "audit.%zu", i);
      if (!conf_audit_from_json (json_array_get (audit, i), name, findings,
                                 &a))
        return status_set (STATUS_INVALID, "the tail is malformed");
      if (a.revision > (*c)->revision)
        s = apply_entry (c, &a);
    }
  return s;
}

/* Check the structure of the tail ROOT and copy its digest to DIGEST.  */
static bool
read_root (const json_t *root, struct findings *findings,
           char digest[DIGEST_TEXT_BYTES])
{
  int64_t format = 0;
  if (!strict_check_keys (findings, "tail", root, tail_keys)
      || !strict_read_integer (findings, "format",
                               json_object_get (root, "format"),
                               FORMAT_VERSION, FORMAT_VERSION, &format)
      || !strict_read_string (findings, "digest",
                              json_object_get (root, "digest"), digest,
                              DIGEST_TEXT_BYTES))
    return false;
  const json_t *audit = json_object_get (root, "audit");
  if (json_is_array (audit) && json_array_size (audit) <= CONF_AUDIT_MAX)
    return true;
  strict_add_finding (findings, "audit",
                      "is not an array or has too many entries");
  return false;
}

static enum status
apply_root (struct conf **c, const json_t *root, struct findings *findings)
{
  char expected[DIGEST_TEXT_BYTES];
  char digest[DIGEST_TEXT_BYTES];
  uint64_t start_revision = (*c)->revision;
  if (!read_root (root, findings, expected))
    return status_set (STATUS_INVALID, "the tail is malformed");
  enum status s = apply_entries (c, json_object_get (root, "audit"), findings);
  if (s != STATUS_OK)
    return s;
  if ((*c)->revision == start_revision)
    return status_set (STATUS_STALE, "the tail contains no later revision");
  compute_digest (*c, digest);
  if (strcmp (expected, digest) != 0)
    return status_set (STATUS_CONFLICT,
                       "the tail gives a configuration with another digest");
  return STATUS_OK;
}

enum status
conf_apply_tail (struct conf *c, const char *text, size_t length,
                 struct findings *findings, struct conf **next)
{
  struct conf *current = conf_ref (c);
  *next = NULL;
  json_t *root = strict_parse (findings, text, length);
  enum status s = STATUS_INVALID;
  if (root != NULL)
    s = apply_root (&current, root, findings);
  json_decref (root);
  if (s == STATUS_OK)
    *next = current;
  else
    conf_unref (current);
  return s;
}
