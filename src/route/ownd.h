/* The ownership service: the thread that drives this node's agent.

   It owns the UDP socket of the lease messages, submits store calls to the
   store service and fetches to the peers service, and installs the agent's
   decisions into the map.  */

#ifndef ROUTE_OWND_H
#define ROUTE_OWND_H

#include "base/kernel.h"
#include "base/mail.h"
#include "route/map.h"
#include "settings/settings.h"

#define OWND_SERVICE "ownership"

enum ownd_action
{
  OWND_MOVE_SLOT,
  OWND_MOVE_KEY,
  OWND_EVICT,
  OWND_LEAVE
};

/* A command of an operator and its result.  */
struct ownd_command
{
  struct inbox_header header;
  enum ownd_action action;
  uint32_t slot;
  char key[REQUEST_KEY_BYTES];
  uint32_t incarnation; /* of the member that receives the slot or key, or that
                           is evicted */
  enum status status;
  char message[REQUEST_CONTENT_TYPE_BYTES];
  uint32_t done; /* set by the ownership thread, which does not access the
                    command afterwards */
};

struct service *ownd_new (struct kernel *k, const struct settings *s,
                          struct map *m);

/* Run COMMAND on the ownership thread and wait until the agent has accepted or
   refused it, at most one second.  The status is the agent's; STATUS_TIMEOUT
   when there was no answer.  Any other thread.  */
enum status ownd_run_command (struct service *ownd,
                              const struct ownd_command *command);

/* Fetch the cell's document from the member at ADDRESS (host:port), which
   refused a request because it does not own the key that this node's map says
   it owns: it has a newer document.  At most one such fetch is under way.  Any
   thread.  */
void ownd_fetch_document (struct service *ownd, const char *address);

/* The state of the agent as text, for operators.  The caller frees it with
   free; NULL when there is none yet.  */
char *ownd_describe (struct service *ownd);

/* Whether this node is a member and holds its lease.  */
bool ownd_is_serving (struct service *ownd);

#endif
