#include "mesh/owners.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  KEY_TEXT_BYTES = 16
};

struct owners
{
  GHashTable *cells; /* struct cell by service name */
};

struct owners *
owners_new (void)
{
  struct owners *o = g_new0 (struct owners, 1);
  o->cells = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free);
  return o;
}

static const struct cell *
find_cell (const struct owners *o, const char *service)
{
  return g_hash_table_lookup (o->cells, service);
}

/* Store CELL as the document of SERVICE.  False unless it is newer.  */
static bool
store_if_newer (struct owners *o, const char *service, struct cell *cell)
{
  if (cell->serial <= owners_serial (o, service))
    return false;
  g_hash_table_replace (o->cells, g_strdup (service), cell);
  return true;
}

enum status
owners_update_text (struct owners *o, const char *service, const char *text,
                    size_t length)
{
  struct cell *cell;
  enum status s = cell_parse (text, length, &cell);
  if (s != STATUS_OK)
    return s;
  if (store_if_newer (o, service, cell))
    return STATUS_OK;
  free (cell);
  return STATUS_STALE;
}

void
owners_update_cell (struct owners *o, const char *service,
                    const struct cell *cell)
{
  if (cell->serial <= owners_serial (o, service))
    return;
  struct cell *copy = cell_copy (cell);
  if (copy == NULL)
    abort ();
  store_if_newer (o, service, copy);
}

uint32_t
owners_serial (const struct owners *o, const char *service)
{
  const struct cell *cell = find_cell (o, service);
  return cell == NULL ? 0 : cell->serial;
}

const struct cell_member *
owners_find (const struct owners *o, const char *service, uint32_t number)
{
  char key[KEY_TEXT_BYTES];
  const struct cell *cell = find_cell (o, service);
  if (cell == NULL || number >= cell->key_space)
    return NULL;
  int length = snprintf (key, sizeof key, "%u", number);
  struct cell_owner owner = cell_owner_of (cell, key, (size_t)length);
  return cell_member (cell, owner.incarnation);
}
