/* The members of the own service's cell, for operators.

     GET /members                        a line of JSON for each member
     POST /members/evict?member=NAME     removes NAME, whose machine is gone */

#ifndef MESH_MEMBERS_H
#define MESH_MEMBERS_H

#include "http/server.h"
#include "mesh/keys.h"
#include "mesh/nodes.h"
#include <stdbool.h>

/* Answer the call if it is one of these.  */
bool members_operator_call (struct keys *k, const struct nodes *nodes,
                            struct http_server_exchange *exchange);

#endif
