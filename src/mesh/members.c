#include "mesh/members.h"

#include "mesh/operator_reply.h"
#include <string.h>

static bool
is_connected (const struct nodes *nodes, const char *name)
{
  const struct frame_state *state;
  return nodes_find (nodes, name, &state) != NULL;
}

static void
list_members (const struct keys *k, const struct nodes *nodes,
              struct http_server_exchange *exchange)
{
  const struct cell *cell = keys_cell (k);
  GString *lines = g_string_new (NULL);
  for (uint32_t i = 0; cell != NULL && i < cell->member_count; i++)
    {
      const struct cell_member *m = &cell->members[i];
      append_json_line (
          lines,
          json_pack ("{s:s,s:s,s:s,s:I,s:b,s:b}", "member", m->name, "zone",
                     m->zone, "state", member_state_name (m->state), "slots",
                     (json_int_t)cell_count_slots (cell, m->incarnation),
                     "connected", is_connected (nodes, m->name), "self",
                     m->incarnation == keys_incarnation (k)));
    }
  respond_json_lines (exchange, lines);
}

static void
evict (struct keys *k, const struct nodes *nodes,
       struct http_server_exchange *exchange, const char *name)
{
  if (is_connected (nodes, name))
    {
      respond_text (exchange, 409, "it is connected\n");
      return;
    }
  switch (keys_evict (k, name))
    {
    case STATUS_OK:
      respond_text (exchange, 200, "evicted\n");
      break;
    case STATUS_NOT_FOUND:
      respond_text (exchange, 404, "not known\n");
      break;
    default:
      respond_text (exchange, 409, "this node is no other member\n");
    }
}

bool
members_operator_call (struct keys *k, const struct nodes *nodes,
                       struct http_server_exchange *exchange)
{
  static const char evict_path[] = "/members/evict?member=";
  const char *target = exchange->request_target->str;
  if (k == NULL)
    return false;
  if (strcmp (target, "/members") == 0
      && strcmp (exchange->method, "GET") == 0)
    list_members (k, nodes, exchange);
  else if (g_str_has_prefix (target, evict_path)
           && strcmp (exchange->method, "POST") == 0)
    evict (k, nodes, exchange, target + strlen (evict_path));
  else
    return false;
  return true;
}
