/* Execution of a line of the operator language at a node.  */

#ifndef ASK_RUN_H
#define ASK_RUN_H

#include "ask/answer.h"
#include "ask/query.h"
#include "base/status.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ask_node;

/* One method for each query and command, named as in queries.def.  A method
   fills ANSWER and returns STATUS_OK.  On failure it adds to the findings or
   notes of ANSWER and returns STATUS_INVALID or STATUS_NOT_FOUND (the line
   names something that does not exist), STATUS_CONFLICT (a concurrent command
   was accepted first) or another status (the node cannot answer now).  A
   command with DRY_RUN reports what it would change and changes nothing.  Any
   line whose method is NULL is refused, except help.  */
struct ask_node_ops
{
#define QUERY(name, method, role, pattern, help)                              \
  enum status (*method) (struct ask_node * node, const struct ask_query *q,   \
                         struct ask_answer *answer);
#include "ask/queries.def"
#undef QUERY
};

/* Base of an object that answers lines; must be its first member.  */
struct ask_node
{
  const struct ask_node_ops *ops;
};

/* A received line, its sender and the format of the answer.  WHO is the
   operator if the line has no `by WHO`; a NULL or invalid name counts as
   "unknown".  */
struct ask_request
{
  const char *line;
  size_t length;
  const char *who;
  bool json;
};

/* The HTTP response.  The receiver frees BODY with free.  */
struct ask_reply
{
  unsigned status; /* 200, 400, 409 or 503 */
  const char *content_type;
  char *body;
};

/* Parse REQUEST, execute it at NODE and render the answer into REPLY.  */
void ask_run (struct ask_node *node, const struct ask_request *request,
              struct ask_reply *reply);

/* Convert Q to a configuration command with CHANGE_ID and the time WALL_MS for
   the audit record.  False if Q is not a configuration command.  */
bool ask_to_command (const struct ask_query *q, uint64_t change_id,
                     int64_t wall_ms, struct conf_command *command);

#endif
