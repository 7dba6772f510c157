/* Strict parsing of JSON: every problem adds a finding about a key.  */

#ifndef CONF_STRICT_H
#define CONF_STRICT_H

#include "base/finding.h"
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Add the finding PROBLEM about the key NAME.  */
void strict_add_finding (struct findings *f, const char *name,
                         const char *problem);

/* Copy VALUE to *INTEGER if it is an integer from LOW to HIGH; otherwise add a
   finding and return false.  */
bool strict_read_integer (struct findings *f, const char *name,
                          const json_t *value, int64_t low, int64_t high,
                          int64_t *integer);

/* Copy VALUE to TEXT if it is a string that fits SIZE bytes with its
   terminator and contains no NUL; otherwise add a finding and return
   false.  */
bool strict_read_string (struct findings *f, const char *name,
                         const json_t *value, char *text, size_t size);

/* Whether OBJECT has exactly the keys of KEYS, which ends with NULL; adds a
   finding if not.  */
bool strict_check_keys (struct findings *f, const char *name,
                        const json_t *object, const char *const *keys);

/* Parse LENGTH bytes of TEXT, in which no object may repeat a key.  Returns
   NULL after adding a finding; the caller releases the value with
   json_decref.  */
json_t *strict_parse (struct findings *f, const char *text, size_t length);

#endif
