/* The choice of requests: a pseudo-random sequence that is the same for the
   same options and seed.  */

#ifndef LOAD_WORKLOAD_H
#define LOAD_WORKLOAD_H

#include "load/options.h"
#include <stdbool.h>
#include <stdint.h>

struct workload;

/* The parameters of one request.  KEY is an index below workload_key_count,
   ORGANISATION an index below organisation_count of the options.  */
struct workload_choice
{
  uint32_t key;
  uint32_t organisation;
  bool write;
};

/* Create a workload with the options O, which must outlive it.  NULL when out
   of memory.  */
struct workload *workload_new (const struct load_options *o);

/* Free W.  W may be NULL.  */
void workload_free (struct workload *w);

/* Return the size of a table indexed by key: the number of keys, and one more
   unless the hot key is among them.  */
uint32_t workload_key_count (const struct workload *w);

/* Return the name of KEY, valid as long as W.  */
const char *workload_key_name (const struct workload *w, uint32_t key);

/* Choose the next request.  */
void workload_next (struct workload *w, struct workload_choice *choice);

#endif
