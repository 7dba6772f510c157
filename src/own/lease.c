#include "own/lease.h"

#include <string.h>

void
lease_ward_init (struct lease_ward *w, int64_t term_ns)
{
  memset (w, 0, sizeof *w);
  w->term_ns = term_ns;
  w->until_ns = LEASE_NEVER_NS;
  w->first_ns = LEASE_NEVER_NS;
}

void
lease_ward_set (struct lease_ward *w, uint32_t guardian, uint32_t second,
                uint32_t epoch, bool first)
{
  if (!first && guardian == w->guardian && second == w->second
      && epoch == w->epoch)
    return;
  if (guardian == 0)
    w->until_ns = LEASE_FOREVER_NS;
  else if (first || w->until_ns == LEASE_FOREVER_NS)
    w->until_ns = LEASE_NEVER_NS;
  if (w->until_ns == LEASE_NEVER_NS)
    w->first_ns = LEASE_NEVER_NS;
  w->guardian = guardian;
  w->second = second;
  w->epoch = epoch;
  w->first_sequence = w->sequence + 1;
  w->unanswered = 0;
}

uint32_t
lease_ward_send (struct lease_ward *w, int64_t now_ns)
{
  w->sequence++;
  w->sent_ns[w->sequence % LEASE_SENT_MAX] = now_ns;
  return w->sequence;
}

static bool
sequence_known (const struct lease_ward *w, uint32_t sequence)
{
  return sequence >= w->first_sequence && sequence <= w->sequence
         && w->sequence - sequence < LEASE_SENT_MAX;
}

static bool
counts_when_frozen (const struct lease_ward *w, uint32_t guardian)
{
  return guardian == w->kept[0] || guardian == w->kept[1];
}

bool
lease_ward_grant (struct lease_ward *w, uint32_t guardian, uint32_t epoch,
                  uint32_t sequence)
{
  if (guardian == 0 || (guardian != w->guardian && guardian != w->second)
      || epoch != w->epoch || !sequence_known (w, sequence))
    return false;
  if (guardian == w->guardian)
    w->unanswered = 0;
  int64_t sent_ns = w->sent_ns[sequence % LEASE_SENT_MAX];
  if (w->frozen && sent_ns >= w->frozen_ns
      && !counts_when_frozen (w, guardian))
    return false;
  int64_t until_ns = sent_ns + w->term_ns;
  if (guardian == w->guardian && sent_ns > w->first_ns)
    w->first_ns = sent_ns;
  if (until_ns <= w->until_ns)
    return false;
  w->until_ns = until_ns;
  return true;
}

void
lease_ward_freeze (struct lease_ward *w, uint32_t guardian, uint32_t second,
                   int64_t now_ns)
{
  const uint32_t next[2] = { guardian, second };
  if (w->frozen)
    {
      /* An earlier change may be the one that takes effect.  */
      for (int i = 0; i < 2; i++)
        if (w->kept[i] != next[0] && w->kept[i] != next[1])
          w->kept[i] = 0;
      return;
    }
  w->frozen = true;
  w->frozen_ns = now_ns;
  w->kept[0] = next[0];
  w->kept[1] = next[1];
  /* Without a guardian the ward held an endless lease: from here on it is
     worth what a renewal sent now would be.  */
  if (w->until_ns == LEASE_FOREVER_NS)
    w->until_ns = now_ns + w->term_ns;
}

void
lease_ward_thaw (struct lease_ward *w)
{
  w->frozen = false;
  if (w->guardian == 0 && w->until_ns != LEASE_NEVER_NS)
    w->until_ns = LEASE_FOREVER_NS;
}

void
lease_ward_end (struct lease_ward *w)
{
  w->guardian = 0;
  w->second = 0;
  w->epoch = 0;
  w->until_ns = LEASE_NEVER_NS;
  w->frozen = false;
  w->unanswered = 0;
}

int64_t
lease_ward_until (const struct lease_ward *w)
{
  return w->until_ns;
}

int64_t
lease_ward_first_until (const struct lease_ward *w)
{
  if (w->guardian == 0 || w->first_ns == LEASE_NEVER_NS)
    return w->guardian == 0 ? w->until_ns : LEASE_NEVER_NS;
  return w->first_ns + w->term_ns;
}

void
lease_guard_init (struct lease_guard *g, int64_t term_ns)
{
  memset (g, 0, sizeof *g);
  g->promise_ns = term_ns + term_ns * LEASE_DRIFT_PERCENT / 100;
}

static uint32_t
guardian_epoch (const struct cell *cell, uint32_t incarnation)
{
  const struct cell_member *m = cell_member (cell, incarnation);
  return m == NULL ? 0 : m->guardian_epoch;
}

/* What holds of P by a newer document: a consent for the second guardian ends
   when that one has other guardians.  */
static struct lease_promise
promise_kept (const struct lease_promise *p, const struct cell *cell)
{
  struct lease_promise kept = *p;
  if (p->consent_epoch != 0
      && guardian_epoch (cell, p->other) != p->consent_epoch)
    {
      kept.consented = false;
      kept.consent_epoch = 0;
    }
  if (p->stood_for != 0
      && guardian_epoch (cell, p->stood_for) != p->stood_for_epoch)
    {
      kept.stood_for = 0;
      kept.least_serial = cell->serial;
    }
  return kept;
}

static struct lease_promise
promise_from (struct lease_guard *old, const struct cell *cell,
              const struct cell_member *m, uint32_t self, int64_t now_ns)
{
  const struct lease_promise *p = lease_guard_find (old, m->incarnation);
  if (p != NULL && p->epoch == m->guardian_epoch)
    return promise_kept (p, cell);
  bool is_second = m->second == self;
  return (struct lease_promise){ .ward = m->incarnation,
                                 .epoch = m->guardian_epoch,
                                 .until_ns = now_ns + old->promise_ns,
                                 .is_second = is_second,
                                 .other
                                 = is_second ? m->guardian : m->second };
}

void
lease_guard_update (struct lease_guard *g, const struct cell *cell,
                    uint32_t self, int64_t now_ns)
{
  struct lease_guard next;
  memset (&next, 0, sizeof next);
  next.promise_ns = g->promise_ns;
  for (uint32_t i = 0; i < cell->member_count && self != 0; i++)
    if (cell->members[i].guardian == self || cell->members[i].second == self)
      next.wards[next.count++]
          = promise_from (g, cell, &cell->members[i], self, now_ns);
  *g = next;
}

struct lease_promise *
lease_guard_find (struct lease_guard *g, uint32_t ward)
{
  for (uint32_t i = 0; i < g->count; i++)
    if (g->wards[i].ward == ward)
      return &g->wards[i];
  return NULL;
}

bool
lease_guard_promise (struct lease_guard *g, uint32_t ward, uint32_t epoch,
                     uint32_t serial, int64_t now_ns)
{
  struct lease_promise *p = lease_guard_find (g, ward);
  if (p == NULL || p->epoch != epoch || p->decided || p->consent != 0
      || p->stood_for != 0 || serial < p->least_serial)
    return false;
  if (p->until_ns < now_ns + g->promise_ns)
    p->until_ns = now_ns + g->promise_ns;
  return true;
}

bool
lease_promise_lapsed (const struct lease_promise *p, int64_t now_ns)
{
  return now_ns >= p->until_ns;
}

bool
lease_promise_over (const struct lease_promise *p, int64_t now_ns)
{
  return !p->is_second && lease_promise_lapsed (p, now_ns)
         && (p->other == 0 || p->consented);
}

bool
lease_promise_consent (struct lease_promise *p, uint32_t round, int64_t now_ns)
{
  if (!p->is_second || round == 0 || !lease_promise_lapsed (p, now_ns))
    return false;
  if (round > p->consent)
    p->consent = round;
  return round == p->consent;
}

bool
lease_promise_stand_in (struct lease_promise *p, int64_t promise_ns,
                        uint32_t ward, uint32_t epoch, uint32_t round,
                        int64_t now_ns)
{
  bool other = p->stood_for != 0
               && (p->stood_for != ward || p->stood_for_epoch != epoch);
  if (p->is_second || round == 0 || other
      || !lease_promise_lapsed (p, now_ns - promise_ns))
    return false;
  if (p->stood_for == 0 || round > p->stood_for_round)
    p->stood_for_round = round;
  p->stood_for = ward;
  p->stood_for_epoch = epoch;
  return round == p->stood_for_round;
}

void
lease_promise_stood_in (struct lease_promise *p, uint32_t epoch,
                        uint32_t round)
{
  if (!p->probing || round != p->round || p->consented)
    return;
  p->consented = true;
  p->consent_epoch = epoch;
}

void
lease_promise_consented (struct lease_promise *p, uint32_t round)
{
  if (!p->probing || round != p->round)
    return;
  p->consented = true;
  p->consent_epoch = 0;
}

uint32_t
lease_promise_resume (struct lease_promise *p)
{
  if (!p->probing)
    return 0;
  p->probing = false;
  p->consented = false;
  p->consent_epoch = 0;
  return p->round;
}

void
lease_promise_release (struct lease_promise *p, uint32_t round)
{
  if (p->consent == round)
    p->consent = 0;
}

void
lease_guard_release (struct lease_guard *g, uint32_t ward, uint32_t epoch,
                     uint32_t round)
{
  for (uint32_t i = 0; i < g->count; i++)
    {
      struct lease_promise *p = &g->wards[i];
      if (p->stood_for == ward && p->stood_for_epoch == epoch
          && p->stood_for_round == round)
        p->stood_for = 0;
    }
}

void
lease_guard_extend (struct lease_guard *g, int64_t now_ns)
{
  for (uint32_t i = 0; i < g->count; i++)
    if (g->wards[i].until_ns < now_ns + g->promise_ns)
      g->wards[i].until_ns = now_ns + g->promise_ns;
}

void
lease_guard_clear_decided (struct lease_guard *g)
{
  for (uint32_t i = 0; i < g->count; i++)
    g->wards[i].decided = g->wards[i].given;
}

int64_t
lease_guard_next (const struct lease_guard *g, int64_t now_ns)
{
  int64_t next_ns = LEASE_FOREVER_NS;
  for (uint32_t i = 0; i < g->count; i++)
    {
      int64_t until_ns = g->wards[i].until_ns;
      if (until_ns > now_ns && until_ns < next_ns)
        next_ns = until_ns;
    }
  return next_ns;
}
