#include "ask/config.h"
#include "base/clock.h"
#include "route/asknode_parts.h"
#include "route/confd.h"

#include <glib.h>

/* Answer from the configuration in force.  */
static enum status
answer_from_conf (struct ask_node *node, struct ask_answer *answer,
                  enum status (*fill) (struct ask_answer *a,
                                       const struct conf *c))
{
  struct conf *c = confd_get (
      asknode_find_service ((struct asknode *)node, CONFD_SERVICE));
  enum status s = fill (answer, c);
  conf_unref (c);
  return s;
}

enum status
asknode_config (struct ask_node *node, const struct ask_query *q,
                struct ask_answer *answer)
{
  (void)q;
  return answer_from_conf (node, answer, ask_answer_config);
}

enum status
asknode_organisations (struct ask_node *node, const struct ask_query *q,
                       struct ask_answer *answer)
{
  (void)q;
  return answer_from_conf (node, answer, ask_answer_organisations);
}

enum status
asknode_history (struct ask_node *node, const struct ask_query *q,
                 struct ask_answer *answer)
{
  (void)q;
  return answer_from_conf (node, answer, ask_answer_history);
}

enum status
asknode_limits (struct ask_node *node, const struct ask_query *q,
                struct ask_answer *answer)
{
  struct conf *c = confd_get (
      asknode_find_service ((struct asknode *)node, CONFD_SERVICE));
  enum status s = ask_answer_limits (answer, c, q);
  conf_unref (c);
  return s;
}

enum status
asknode_change_conf (struct ask_node *node, const struct ask_query *q,
                     struct ask_answer *answer)
{
  struct asknode *a = (struct asknode *)node;
  struct conf_command command;
  struct confd_change change;
  uint64_t id = (uint64_t)g_random_int () << 32 | g_random_int ();
  if (!ask_to_command (q, id, clock_wall_ms (), &command))
    return STATUS_INVALID;
  enum status s
      = confd_apply (asknode_find_service (a, CONFD_SERVICE), &command,
                     q->dry_run, ask_answer_findings (answer), &change);
  asknode_log_command (q, s);
  if (s == STATUS_OK)
    s = ask_answer_change (answer, change.before, change.after, q->dry_run);
  else if (findings_count (ask_answer_findings (answer)) == 0)
    ask_answer_note (answer, "nothing was changed: %s", status_message ());
  confd_change_clear (&change);
  return s;
}
