/* Strict reading of JSON: every problem is a finding about a key.  */

#ifndef CONF_STRICT_H
#define CONF_STRICT_H

#include "base/finding.h"
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Add PROBLEM about the key NAME.  */
void strict_add_finding (struct findings *f, const char *name,
                         const char *problem);

/* Whether VALUE is an integer from LOW to HIGH, copied to *INTEGER; a finding
   otherwise.  */
bool strict_read_integer (struct findings *f, const char *name,
                          const json_t *value, int64_t low, int64_t high,
                          int64_t *integer);

/* Whether VALUE is a string of fewer than ROOM bytes, copied to TEXT; a
   finding otherwise.  */
bool strict_read_string (struct findings *f, const char *name,
                         const json_t *value, char *text, size_t room);

/* Whether OBJECT has exactly the KEYS, of which NULL is the last; a finding
   otherwise.  */
bool strict_check_keys (struct findings *f, const char *name,
                        const json_t *object, const char *const *keys);

/* Parse LENGTH bytes of TEXT, in which no key may be repeated.  NULL after a
   finding; the caller gives the value back with json_decref.  */
json_t *strict_parse (struct findings *f, const char *text, size_t length);

#endif
