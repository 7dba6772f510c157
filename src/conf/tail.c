/* The last commands of a configuration, for a node that has an older one:

   {"format": 1, "digest": "16 hex digits", "audit": [entry...]}

   The digest is that of the JSON form of the whole configuration, so that a
   node which arrives at another one notices and fetches the whole.  */

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
  FORMAT = 1,
  DIGEST_BYTES = 17,
  KEY_BYTES = 32
};

static const char *const tail_keys[] = { "format", "digest", "audit", NULL };

static void
make_digest (const struct conf *c, char digest[DIGEST_BYTES])
{
  char *json = conf_to_json (c);
  snprintf (digest, DIGEST_BYTES, "%016" PRIx64,
            (uint64_t)XXH3_64bits (json, strlen (json)));
  free (json);
}

char *
conf_tail_to_json (const struct conf *c, uint64_t since)
{
  char digest[DIGEST_BYTES];
  const struct conf_audit_entry *a;
  if (!conf_audit_covers (c, since))
    return NULL;
  json_t *root = json_object ();
  json_t *audit = json_array ();
  make_digest (c, digest);
  for (size_t i = 0; (a = conf_audit_at (c, i)) != NULL; i++)
    if (a->revision > since)
      json_array_append_new (audit, conf_audit_to_json (a));
  json_object_set_new (root, "format", json_integer (FORMAT));
  json_object_set_new (root, "digest", json_string (digest));
  json_object_set_new (root, "audit", audit);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

/* Apply the recorded command A to *C, which is replaced.  */
static enum status
follow_entry (struct conf **c, const struct conf_audit_entry *a)
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
      return status_set (STATUS_CONFLICT, "the tail does not fit");
    }
  conf_unref (*c);
  *c = next;
  return STATUS_OK;
}

static enum status
follow_entries (struct conf **c, const json_t *audit,
                struct findings *findings)
{
  char name[KEY_BYTES];
  struct conf_audit_entry a;
  enum status s = STATUS_OK;
  for (size_t i = 0; s == STATUS_OK && i < json_array_size (audit); i++)
    {
      snprintf (name, sizeof name, "audit.%zu", i);
      if (!conf_audit_from_json (json_array_get (audit, i), name, findings,
                                 &a))
        return status_set (STATUS_INVALID, "the tail is malformed");
      if (a.revision > (*c)->revision)
        s = follow_entry (c, &a);
    }
  return s;
}

/* Whether ROOT is a tail; its digest into DIGEST.  */
static bool
check_root (const json_t *root, struct findings *findings,
            char digest[DIGEST_BYTES])
{
  int64_t format = 0;
  if (!strict_check_keys (findings, "tail", root, tail_keys)
      || !strict_read_integer (findings, "format",
                               json_object_get (root, "format"), FORMAT,
                               FORMAT, &format)
      || !strict_read_string (findings, "digest",
                              json_object_get (root, "digest"), digest,
                              DIGEST_BYTES))
    return false;
  const json_t *audit = json_object_get (root, "audit");
  if (json_is_array (audit) && json_array_size (audit) <= CONF_AUDIT_MAX)
    return true;
  strict_add_finding (findings, "audit", "is not an array or too long");
  return false;
}

static enum status
follow (struct conf **c, const json_t *root, struct findings *findings)
{
  char wanted[DIGEST_BYTES];
  char digest[DIGEST_BYTES];
  uint64_t earlier = (*c)->revision;
  if (!check_root (root, findings, wanted))
    return status_set (STATUS_INVALID, "the tail is malformed");
  enum status s
      = follow_entries (c, json_object_get (root, "audit"), findings);
  if (s != STATUS_OK)
    return s;
  if ((*c)->revision == earlier)
    return status_set (STATUS_STALE, "the tail has nothing new");
  make_digest (*c, digest);
  if (strcmp (wanted, digest) != 0)
    return status_set (STATUS_CONFLICT, "the tail gives another result");
  return STATUS_OK;
}

enum status
conf_apply_tail (struct conf *c, const char *text, size_t length,
                 struct findings *findings, struct conf **next)
{
  struct conf *reached = conf_ref (c);
  *next = NULL;
  json_t *root = strict_parse (findings, text, length);
  enum status s = STATUS_INVALID;
  if (root != NULL)
    s = follow (&reached, root, findings);
  json_decref (root);
  if (s == STATUS_OK)
    *next = reached;
  else
    conf_unref (reached);
  return s;
}
