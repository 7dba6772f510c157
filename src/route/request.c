#include "route/request.h"

#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

struct request *
request_new (const char *path)
{
  struct request *r = calloc (1, sizeof *r);
  if (r == NULL)
    return NULL;
  r->ref_count = 1;
  r->path = strdup (path);
  if (r->path != NULL)
    return r;
  free (r);
  return NULL;
}

struct request *
request_ref (struct request *r)
{
  ck_pr_inc_32 (&r->ref_count);
  return r;
}

void
request_unref (struct request *r)
{
  bool last;
  ck_pr_fence_release ();
  last = ck_pr_dec_32_is_zero (&r->ref_count);
  if (!last)
    return;
  ck_pr_fence_acquire ();
  free (r->path);
  free (r->body);
  free (r);
}

uint32_t
request_slot (const char *key, uint32_t count)
{
  return (uint32_t)(XXH3_64bits (key, strlen (key)) % count);
}

struct attempt *
attempt_new (struct request *r, const struct owner *owner,
             struct inbox *reply_to)
{
  struct attempt *a = calloc (1, sizeof *a);
  if (a == NULL)
    return NULL;
  a->header.kind = INBOX_MESSAGE_ATTEMPT;
  a->request = request_ref (r);
  a->owner = *owner;
  a->reply_to = reply_to;
  return a;
}

void
attempt_free (struct attempt *a)
{
  answer_clear (&a->answer);
  request_unref (a->request);
  free (a);
}

void
attempt_fail (struct attempt *a, enum outcome outcome, enum reason reason)
{
  answer_clear (&a->answer);
  a->answer.outcome = outcome;
  a->answer.reason = reason;
  a->answer.http_status = outcome_http_status (outcome, reason);
  attempt_complete (a);
}

void
attempt_complete (struct attempt *a)
{
  inbox_put_blocking (a->reply_to, a);
}

void
attempt_cancel (struct attempt *a)
{
  ck_pr_store_32 (&a->cancelled, 1);
}

bool
attempt_is_cancelled (const struct attempt *a)
{
  return ck_pr_load_32 (&a->cancelled) != 0;
}

void
answer_clear (struct answer *answer)
{
  free (answer->body);
  memset (answer, 0, sizeof *answer);
}

void
answer_move (struct answer *to, struct answer *from)
{
  answer_clear (to);
  *to = *from;
  memset (from, 0, sizeof *from);
}
