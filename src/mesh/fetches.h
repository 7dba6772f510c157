/* When to request a newer ownership document from another node.

   All nodes learn of a new document within a moment.  In each zone one member
   of the document's service requests it from a node of another zone; the
   others wait 400 ms for that member, because traffic between zones costs
   money.  */

#ifndef MESH_FETCHES_H
#define MESH_FETCHES_H

#include <stdbool.h>
#include <stdint.h>

struct fetches;

/* A notice: a node announced that it has a document of SERVICE.  */
struct fetch_notice
{
  const char *service;
  uint32_t known_serial; /* serial of the document known here, 0: none */
  uint32_t announced_serial;
  bool same_zone;       /* the announcing node is in this node's zone */
  bool is_zone_fetcher; /* this node fetches for its zone */
};

struct fetches *fetches_new (void);
void fetches_free (struct fetches *f);

/* Whether to request the document from the announcing node now.  A request is
   assumed to be sent if this returns true.  */
bool fetches_should_request (struct fetches *f,
                             const struct fetch_notice *notice,
                             int64_t now_ns);

#endif
