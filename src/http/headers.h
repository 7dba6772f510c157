/* The header fields of one HTTP message, in their original order.  */

#ifndef HTTP_HEADERS_H
#define HTTP_HEADERS_H

#include <glib.h>
#include <stdbool.h>

struct headers;

struct headers *headers_new (void);

/* Free H, which may be NULL.  */
void headers_free (struct headers *h);

/* Remove all fields.  */
void headers_clear (struct headers *h);

/* Append a field; neither NAME nor VALUE has zero bytes.  */
void headers_append (struct headers *h, const char *name, size_t name_length,
                     const char *value, size_t value_length);

/* The value of the first field NAME (case-insensitive), or NULL.  */
const char *headers_find (const struct headers *h, const char *name);

/* The number of fields NAME (case-insensitive).  */
unsigned headers_count (const struct headers *h, const char *name);

/* Whether headers_copy copies the field NAME.  */
typedef bool headers_filter_fn (const char *name, const void *arg);

/* Append to OUT, as lines, the fields for which FILTER returns true.  Never
   copied: hop-by-hop fields, which include those that the Connection field
   names, Content-Length and Expect.  */
void headers_copy (const struct headers *h, GString *out,
                   headers_filter_fn *filter, const void *arg);

#endif
