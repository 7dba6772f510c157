/* The header fields of one HTTP message, in their order.  */

#ifndef HTTP_HEADERS_H
#define HTTP_HEADERS_H

#include <glib.h>
#include <stdbool.h>

struct headers;

struct headers *headers_new (void);

/* Free H, which may be NULL.  */
void headers_free (struct headers *h);

/* Forget all fields.  */
void headers_clear (struct headers *h);

/* Feed a piece of a field's name or value, as a parser finds them.  */
void headers_append_name (struct headers *h, const char *text, size_t length);
void headers_append_value (struct headers *h, const char *text, size_t length);

/* The value of the first field NAME, in any case of letters, or NULL.  */
const char *headers_find (const struct headers *h, const char *name);

/* The fields named NAME.  */
unsigned headers_count (const struct headers *h, const char *name);

/* Decides whether a field is copied.  */
typedef bool headers_filter_fn (const char *name, const void *arg);

/* Add to OUT, as lines, the fields that KEEP returns true for.  Fields that
   concern one connection only, those that Connection names among them, and
   Content-Length are never copied.  */
void headers_copy (const struct headers *h, GString *out,
                   headers_filter_fn *keep, const void *arg);

#endif
