/* When to ask another node for a newer document of owners.

   All nodes hear of a new document within a moment.  In each zone one member
   of the document's service asks a node of another zone; the others wait for
   it, since bytes between zones cost.  */

#ifndef MESH_FETCHES_H
#define MESH_FETCHES_H

#include <stdbool.h>
#include <stdint.h>

struct fetches;

/* A node told of the document SERIAL of SERVICE.  */
struct fetch_case
{
  const char *service;
  uint32_t have; /* serial of the document that is known here, 0: none */
  uint32_t serial;
  bool is_near;  /* the teller is in the own zone */
  bool is_first; /* of those here that could ask, this node shall */
};

struct fetches *fetches_new (void);
void fetches_free (struct fetches *f);

/* Whether to ask the teller now.  True counts as asked.  */
bool fetches_ask (struct fetches *f, const struct fetch_case *c,
                  int64_t now_ns);

#endif
