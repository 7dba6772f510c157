/* What to ask next: the same sequence for the same options and seed.  */

#ifndef LOAD_WORKLOAD_H
#define LOAD_WORKLOAD_H

#include "load/options.h"
#include <stdbool.h>
#include <stdint.h>

struct workload;

/* One choice.  KEY is below workload_key_count, ORGANISATION below
   organisation_count.  */
struct workload_choice
{
  uint32_t key;
  uint32_t organisation;
  bool write;
};

/* A workload after O, which must outlive it; NULL when memory is short.  */
struct workload *workload_new (const struct load_options *o);

/* Free W, which may be NULL.  */
void workload_free (struct workload *w);

/* How many keys there are, a hot key of its own name included.  */
uint32_t workload_key_count (const struct workload *w);

/* The name of KEY, valid as long as W.  */
const char *workload_key_name (const struct workload *w, uint32_t key);

/* Choose the next request.  */
void workload_next (struct workload *w, struct workload_choice *choice);

#endif
