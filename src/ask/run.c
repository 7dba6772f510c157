#include "ask/run.h"

#include <glib.h>
#include <string.h>

enum
{
  HTTP_OK = 200,
  HTTP_BAD_REQUEST = 400,
  HTTP_CONFLICT = 409,
  HTTP_UNAVAILABLE = 503
};

typedef enum status query_fn (struct ask_node *node, const struct ask_query *q,
                              struct ask_answer *answer);

static enum status
answer_help (struct ask_answer *answer)
{
  ask_answer_column (answer, "line", ASK_TEXT);
  ask_answer_column (answer, "meaning", ASK_TEXT);
  for (int i = 0; i < ASK_KIND_COUNT; i++)
    {
      ask_answer_text (answer, ask_entries[i].pattern);
      ask_answer_text (answer, ask_entries[i].help);
    }
  ask_answer_note (answer, "A command may begin with dry-run and end with "
                           "because \"TEXT\" and by WHO.");
  return STATUS_OK;
}

static query_fn *
find_method (const struct ask_node *node, enum ask_kind kind)
{
  switch (kind)
    {
#define QUERY(name, method, role, pattern, help)                              \
  case ASK_##name:                                                            \
    return node->ops->method;
#include "ask/queries.def"
#undef QUERY
    case ASK_KIND_COUNT:
      break;
    }
  return NULL;
}

static enum status
answer_query (struct ask_node *node, const struct ask_query *q,
              struct ask_answer *answer)
{
  query_fn *method = find_method (node, q->kind);
  if (method != NULL)
    return method (node, q, answer);
  if (q->kind == ASK_HELP)
    return answer_help (answer);
  findings_add (ask_answer_findings (answer), 1, 1, "",
                "this node does not answer '%s'",
                ask_entries[q->kind].pattern);
  return STATUS_INVALID;
}

static unsigned
http_status (enum status s)
{
  switch (s)
    {
    case STATUS_OK:
      return HTTP_OK;
    case STATUS_INVALID:
    case STATUS_NOT_FOUND:
      return HTTP_BAD_REQUEST;
    case STATUS_CONFLICT:
      return HTTP_CONFLICT;
    default:
      return HTTP_UNAVAILABLE;
    }
}

static enum status
answer_request (struct ask_node *node, const struct ask_request *request,
                struct ask_answer *answer)
{
  struct ask_query q;
  struct findings *findings = ask_answer_findings (answer);
  enum status s = ask_parse (&q, request->line, request->length, 1, findings);
  if (s == STATUS_EMPTY)
    {
      findings_add (findings, 1, 1, "", "the line is empty (see help)");
      return STATUS_INVALID;
    }
  if (s != STATUS_OK)
    return s;
  if (q.who[0] == '\0')
    g_strlcpy (q.who,
               conf_is_valid_name (request->who) ? request->who : "unknown",
               sizeof q.who);
  s = answer_query (node, &q, answer);
  if (s != STATUS_OK && findings_count (findings) == 0)
    findings_add (findings, 1, 1, "", "%s", status_message ());
  return s;
}

void
ask_run (struct ask_node *node, const struct ask_request *request,
         struct ask_reply *reply)
{
  struct ask_answer *answer = ask_answer_new ();
  reply->status = http_status (answer_request (node, request, answer));
  reply->content_type
      = request->json ? "application/json" : "text/plain; charset=utf-8";
  reply->body = request->json ? ask_answer_to_json (answer)
                              : ask_answer_to_text (answer);
  ask_answer_free (answer);
}

static bool
find_action (enum ask_kind kind, enum conf_action *action)
{
  switch (kind)
    {
    case ASK_CREATE_SERVICE:
      *action = CONF_CREATE_SERVICE;
      return true;
    case ASK_MARK:
      *action = CONF_MARK_ORGANISATION;
      return true;
    case ASK_SET_LIMIT:
      *action = CONF_SET_LIMIT;
      return true;
    case ASK_UNSET_LIMIT:
      *action = CONF_UNSET_LIMIT;
      return true;
    case ASK_EVACUATE:
      *action = CONF_EVACUATE_ZONE;
      return true;
    case ASK_RESTORE:
      *action = CONF_RESTORE_ZONE;
      return true;
    default:
      return false;
    }
}

bool
ask_to_command (const struct ask_query *q, uint64_t change_id, int64_t wall_ms,
                struct conf_command *command)
{
  memset (command, 0, sizeof *command);
  if (!find_action (q->kind, &command->action))
    return false;
  g_strlcpy (command->service, q->service, sizeof command->service);
  g_strlcpy (command->organisation, q->organisation,
             sizeof command->organisation);
  g_strlcpy (command->zone, q->zone, sizeof command->zone);
  command->zone_column = q->column[ASK_ARGUMENT_ZONE];
  command->kind = q->organisation_kind;
  command->limit = q->limit;
  command->value = q->value;
  command->service_column = q->column[ASK_ARGUMENT_SERVICE];
  command->organisation_column = q->column[ASK_ARGUMENT_ORGANISATION];
  command->value_column = q->column[ASK_ARGUMENT_VALUE];
  command->change_id = change_id;
  command->wall_ms = wall_ms;
  g_strlcpy (command->who, q->who, sizeof command->who);
  g_strlcpy (command->why, q->why, sizeof command->why);
  g_strlcpy (command->text, q->text, sizeof command->text);
  return true;
}
