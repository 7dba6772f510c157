/* Key owners of every service: the newest ownership documents that this node
   has seen.  */

#ifndef MESH_OWNERS_H
#define MESH_OWNERS_H

#include "base/status.h"
#include "own/cell.h"
#include <glib.h>

struct owners;

struct owners *owners_new (void);

/* Store the document TEXT of SERVICE if it is newer.  STATUS_OK, STATUS_STALE
   if it is not newer, STATUS_INVALID.  */
enum status owners_update_text (struct owners *o, const char *service,
                                const char *text, size_t length);

/* Store a copy of CELL as the document of SERVICE if it is newer.  */
void owners_update_cell (struct owners *o, const char *service,
                         const struct cell *cell);

/* The serial of SERVICE's document; 0: none.  */
uint32_t owners_serial (const struct owners *o, const char *service);

/* The member of SERVICE that owns the key NUMBER, or NULL.  */
const struct cell_member *owners_find (const struct owners *o,
                                       const char *service, uint32_t number);

#endif
