#include "load/journal.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct journal
{
  FILE *out; /* NULL: lines are discarded */
};

struct journal *
journal_open (const char *path)
{
  struct journal *j = calloc (1, sizeof *j);
  if (j == NULL)
    {
      status_set (STATUS_NO_MEMORY, "journal: no memory");
      return NULL;
    }
  if (path == NULL)
    return j;
  j->out = fopen (path, "ae");
  if (j->out != NULL)
    return j;
  status_set (STATUS_SYSTEM, "%s: %s", path, strerror (errno));
  free (j);
  return NULL;
}

void
journal_close (struct journal *j)
{
  if (j == NULL)
    return;
  if (j->out != NULL)
    fclose (j->out);
  free (j);
}

/* Return TEXT, or "?" if it contains a character that JSON requires to be
   escaped, which only a text that was not validated can.  NULL gives "".  */
static const char *
json_safe (const char *text)
{
  if (text == NULL)
    return "";
  for (const char *c = text; *c != '\0'; c++)
    if (*c == '"' || *c == '\\' || (unsigned char)*c < ' ')
      return "?";
  return text;
}

static void
write_request (struct journal *j, const char *event,
               const struct journal_request *r)
{
  fprintf (j->out,
           "{\"event\":\"%s\",\"number\":%" PRIu64
           ",\"token\":\"%s\",\"key\":\"%s\",\"node\":\"%s\","
           "\"idempotent\":%s,\"send_ns\":%" PRId64,
           event, r->number, r->token, json_safe (r->key), json_safe (r->node),
           r->write ? "false" : "true", r->send_ns);
}

void
journal_write_send (struct journal *j, const struct journal_request *r)
{
  if (j->out == NULL)
    return;
  write_request (j, "send", r);
  fputs ("}\n", j->out);
}

void
journal_write_answer (struct journal *j, const struct journal_request *r,
                      const struct journal_answer *a)
{
  if (j->out == NULL)
    return;
  write_request (j, "answer", r);
  fprintf (j->out,
           ",\"receive_ns\":%" PRId64 ",\"outcome\":\"%s\",\"status\":%d,"
           "\"reason\":\"%s\",\"target\":\"%s\",\"request_id\":\"%s\","
           "\"echoed\":%s}\n",
           a->result->end_ns, load_outcome_name (a->result->outcome),
           a->result->status, json_safe (a->result->reason),
           json_safe (a->result->target), json_safe (a->request_id),
           a->echoed ? "true" : "false");
}
