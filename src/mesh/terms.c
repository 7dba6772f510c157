#include "mesh/terms.h"

#include <string.h>

bool
target_terms_plain (const struct target_terms *t)
{
  return !t->known || (!t->limited && !t->leaving);
}

bool
target_terms_equal (const struct target_terms *a, const struct target_terms *b)
{
  return a->limited == b->limited && a->leaving == b->leaving
         && (!a->limited || a->rate_max == b->rate_max)
         && strcmp (a->target_id, b->target_id) == 0
         && a->started_ms == b->started_ms;
}

bool
target_terms_concern (const struct target_terms *t, const char *id,
                      int64_t started_ms)
{
  return strcmp (t->target_id, id) == 0 && t->started_ms == started_ms;
}

void
stated_terms_reset (struct stated_terms *s, int64_t now_ns)
{
  memset (s, 0, sizeof *s);
  s->limit_ns = now_ns;
  s->no_limit_ns = now_ns;
}

static void
replace (struct stated_terms *s, const struct target_terms *terms,
         int64_t now_ns)
{
  bool leaving = s->terms.leaving || terms->leaving;
  s->terms = *terms;
  s->terms.known = true;
  s->terms.leaving = leaving;
  if (terms->limited)
    s->limit_ns = now_ns;
  else
    s->no_limit_ns = now_ns;
}

bool
stated_terms_learn (struct stated_terms *s, const struct target_terms *terms,
                    int64_t sent_ns, int64_t now_ns, int64_t *since_ns)
{
  /* Answers overtake each other: only the answer to a request that was sent
     after the limit was stated shows that it has ended.  */
  if (s->terms.limited && !terms->limited && sent_ns <= s->limit_ns)
    return false;
  *since_ns = s->terms.limited ? s->limit_ns : s->no_limit_ns;
  replace (s, terms, now_ns);
  return true;
}

bool
stated_terms_adopt (struct stated_terms *s, const struct target_terms *terms,
                    int64_t now_ns)
{
  if (s->terms.known || target_terms_plain (terms))
    return false;
  replace (s, terms, now_ns);
  return true;
}

bool
target_terms_remember (struct target_terms *memory,
                       const struct target_terms *terms)
{
  if (!terms->known || target_terms_equal (memory, terms))
    return false;
  *memory = *terms;
  return true;
}
