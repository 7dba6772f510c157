#include "own/lease.h"

#include <string.h>

void
lease_ward_init (struct lease_ward *w, int64_t term_ns)
{
  memset (w, 0, sizeof *w);
  w->term_ns = term_ns;
  w->until_ns = LEASE_NEVER_NS;
  w->first_granted_ns = LEASE_NEVER_NS;
}

void
lease_ward_set_guardians (struct lease_ward *w, uint32_t guardian,
                          uint32_t second, uint32_t epoch, bool is_new)
{
  if (!is_new && guardian == w->guardian && second == w->second
      && epoch == w->epoch)
    return;
  if (guardian == 0)
    w->until_ns = LEASE_FOREVER_NS;
  else if (is_new || w->until_ns == LEASE_FOREVER_NS)
    w->until_ns = LEASE_NEVER_NS;
  if (w->until_ns == LEASE_NEVER_NS)
    w->first_granted_ns = LEASE_NEVER_NS;
  w->guardian = guardian;
  w->second = second;
  w->epoch = epoch;
  w->epoch_first_sequence = w->sequence + 1;
  w->unanswered = 0;
}

uint32_t
lease_ward_on_send (struct lease_ward *w, int64_t now_ns)
{
  w->sequence++;
  w->sent_ns[w->sequence % LEASE_SENT_MAX] = now_ns;
  return w->sequence;
}

static bool
is_sequence_valid (const struct lease_ward *w, uint32_t sequence)
{
  return sequence >= w->epoch_first_sequence && sequence <= w->sequence
         && w->sequence - sequence < LEASE_SENT_MAX;
}

bool
lease_ward_counts_grants (const struct lease_ward *w, uint32_t guardian)
{
  return !w->change_pending || guardian == w->kept_guardians[0]
         || guardian == w->kept_guardians[1];
}

bool
lease_ward_on_grant (struct lease_ward *w, uint32_t guardian, uint32_t epoch,
                     uint32_t sequence)
{
  if (guardian == 0 || (guardian != w->guardian && guardian != w->second)
      || epoch != w->epoch || !is_sequence_valid (w, sequence))
    return false;
  if (guardian == w->guardian)
    w->unanswered = 0;
  int64_t sent_ns = w->sent_ns[sequence % LEASE_SENT_MAX];
  if (sent_ns >= w->change_submitted_ns
      && !lease_ward_counts_grants (w, guardian))
    return false;
  int64_t until_ns = sent_ns + w->term_ns;
  if (guardian == w->guardian && sent_ns > w->first_granted_ns)
    w->first_granted_ns = sent_ns;
  if (until_ns <= w->until_ns)
    return false;
  w->until_ns = until_ns;
  return true;
}

void
lease_ward_begin_change (struct lease_ward *w, uint32_t guardian,
                         uint32_t second, int64_t now_ns)
{
  const uint32_t next[2] = { guardian, second };
  if (w->change_pending)
    {
      /* An earlier change may still take effect: keep only guardians that both
         changes keep.  */
      for (int i = 0; i < 2; i++)
        if (w->kept_guardians[i] != next[0] && w->kept_guardians[i] != next[1])
          w->kept_guardians[i] = 0;
      return;
    }
  w->change_pending = true;
  w->change_submitted_ns = now_ns;
  w->kept_guardians[0] = next[0];
  w->kept_guardians[1] = next[1];
  /* Without a guardian the lease had no expiry.  From now on it lasts as long
     as if a renewal sent now were granted.  */
  if (w->until_ns == LEASE_FOREVER_NS)
    w->until_ns = now_ns + w->term_ns;
}

void
lease_ward_end_change (struct lease_ward *w)
{
  w->change_pending = false;
  if (w->guardian == 0 && w->until_ns != LEASE_NEVER_NS)
    w->until_ns = LEASE_FOREVER_NS;
}

void
lease_ward_revoke (struct lease_ward *w)
{
  w->guardian = 0;
  w->second = 0;
  w->epoch = 0;
  w->until_ns = LEASE_NEVER_NS;
  w->change_pending = false;
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
  if (w->guardian == 0 || w->first_granted_ns == LEASE_NEVER_NS)
    return w->guardian == 0 ? w->until_ns : LEASE_NEVER_NS;
  return w->first_granted_ns + w->term_ns;
}

void
lease_guardian_init (struct lease_guardian *g, int64_t term_ns)
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

/* Return P as it stands with the newer document CELL.  A proxy consent that
   this guardian received ends when the second guardian gets other guardians or
   is removed.  One that it gave ends when the member proxy_given_for does.  */
static struct lease_promise
carry_over_promise (const struct lease_promise *p, const struct cell *cell)
{
  struct lease_promise carried = *p;
  if (p->proxy_consent_epoch != 0
      && guardian_epoch (cell, p->other_guardian) != p->proxy_consent_epoch)
    {
      carried.consented = false;
      carried.proxy_consent_epoch = 0;
    }
  if (p->proxy_given_for != 0
      && guardian_epoch (cell, p->proxy_given_for) != p->proxy_given_epoch)
    {
      carried.proxy_given_for = 0;
      carried.min_serial = cell->serial;
    }
  return carried;
}

static struct lease_promise
promise_for_ward (struct lease_guardian *old, const struct cell *cell,
                  const struct cell_member *m, uint32_t self, int64_t now_ns)
{
  const struct lease_promise *p = lease_guardian_find (old, m->incarnation);
  if (p != NULL && p->epoch == m->guardian_epoch)
    return carry_over_promise (p, cell);
  bool is_second = m->second == self;
  return (struct lease_promise){ .ward = m->incarnation,
                                 .epoch = m->guardian_epoch,
                                 .until_ns = now_ns + old->promise_ns,
                                 .is_second = is_second,
                                 .other_guardian
                                 = is_second ? m->guardian : m->second };
}

void
lease_guardian_update (struct lease_guardian *g, const struct cell *cell,
                       uint32_t self, int64_t now_ns)
{
  struct lease_guardian next;
  memset (&next, 0, sizeof next);
  next.promise_ns = g->promise_ns;
  for (uint32_t i = 0; i < cell->member_count && self != 0; i++)
    if (cell->members[i].guardian == self || cell->members[i].second == self)
      next.wards[next.count++]
          = promise_for_ward (g, cell, &cell->members[i], self, now_ns);
  *g = next;
}

struct lease_promise *
lease_guardian_find (struct lease_guardian *g, uint32_t ward)
{
  for (uint32_t i = 0; i < g->count; i++)
    if (g->wards[i].ward == ward)
      return &g->wards[i];
  return NULL;
}

bool
lease_guardian_promise (struct lease_guardian *g, uint32_t ward,
                        uint32_t epoch, uint32_t serial, int64_t now_ns)
{
  struct lease_promise *p = lease_guardian_find (g, ward);
  if (p == NULL || p->epoch != epoch || p->removal_submitted
      || p->consented_round != 0 || p->proxy_given_for != 0
      || serial < p->min_serial)
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
lease_promise_allows_removal (const struct lease_promise *p, int64_t now_ns)
{
  return !p->is_second && lease_promise_lapsed (p, now_ns)
         && (p->other_guardian == 0 || p->consented);
}

bool
lease_promise_give_consent (struct lease_promise *p, uint32_t round,
                            int64_t now_ns)
{
  if (!p->is_second || round == 0 || !lease_promise_lapsed (p, now_ns))
    return false;
  if (round > p->consented_round)
    p->consented_round = round;
  return round == p->consented_round;
}

bool
lease_promise_give_proxy_consent (struct lease_promise *p, int64_t promise_ns,
                                  uint32_t ward, uint32_t epoch,
                                  uint32_t round, int64_t now_ns)
{
  bool other
      = p->proxy_given_for != 0
        && (p->proxy_given_for != ward || p->proxy_given_epoch != epoch);
  if (p->is_second || round == 0 || other
      || !lease_promise_lapsed (p, now_ns - promise_ns))
    return false;
  if (p->proxy_given_for == 0 || round > p->proxy_given_round)
    p->proxy_given_round = round;
  p->proxy_given_for = ward;
  p->proxy_given_epoch = epoch;
  return round == p->proxy_given_round;
}

void
lease_promise_on_proxy_consent (struct lease_promise *p, uint32_t epoch,
                                uint32_t round)
{
  if (!p->probing || round != p->probe_round || p->consented)
    return;
  p->consented = true;
  p->proxy_consent_epoch = epoch;
}

void
lease_promise_on_consent (struct lease_promise *p, uint32_t round)
{
  if (!p->probing || round != p->probe_round)
    return;
  p->consented = true;
  p->proxy_consent_epoch = 0;
}

uint32_t
lease_promise_end_probing (struct lease_promise *p)
{
  if (!p->probing)
    return 0;
  p->probing = false;
  p->consented = false;
  p->proxy_consent_epoch = 0;
  return p->probe_round;
}

void
lease_promise_release_consent (struct lease_promise *p, uint32_t round)
{
  if (p->consented_round == round)
    p->consented_round = 0;
}

void
lease_guardian_release_proxy (struct lease_guardian *g, uint32_t ward,
                              uint32_t epoch, uint32_t round)
{
  for (uint32_t i = 0; i < g->count; i++)
    {
      struct lease_promise *p = &g->wards[i];
      if (p->proxy_given_for == ward && p->proxy_given_epoch == epoch
          && p->proxy_given_round == round)
        p->proxy_given_for = 0;
    }
}

void
lease_guardian_extend_all (struct lease_guardian *g, int64_t now_ns)
{
  for (uint32_t i = 0; i < g->count; i++)
    if (g->wards[i].until_ns < now_ns + g->promise_ns)
      g->wards[i].until_ns = now_ns + g->promise_ns;
}

void
lease_guardian_clear_removals (struct lease_guardian *g)
{
  for (uint32_t i = 0; i < g->count; i++)
    g->wards[i].removal_submitted = g->wards[i].removal_delegated;
}

int64_t
lease_guardian_next_lapse (const struct lease_guardian *g, int64_t now_ns)
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
