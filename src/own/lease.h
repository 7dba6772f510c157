/* The lease between a ward and its guardians: what each side may do when.

   A ward has up to two guardians.  Either may grant its lease; it is declared
   dead by the first alone, which needs the consent of the second.

   The second may be lost as well, and the one that could declare that dead
   wait for a third, in a circle.  So the second grants only while its own
   lease comes from its first guardian; and when that one has promised it
   nothing for a term, it may consent in its place.

   The ward counts its lease from the time it sent the renewal that was
   granted; the guardian counts its promise from the time it granted.  The two
   clocks may differ in rate by up to LEASE_DRIFT_PERCENT.  */

#ifndef OWN_LEASE_H
#define OWN_LEASE_H

#include "own/cell.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  LEASE_DRIFT_PERCENT = 1,
  LEASE_SENT_MAX = 8 /* renewals whose answer is still of use */
};

#define LEASE_NEVER_NS INT64_MIN
#define LEASE_FOREVER_NS INT64_MAX

/* The ward's side.  */
struct lease_ward
{
  int64_t term_ns;
  uint32_t guardian; /* incarnation, 0: needs none */
  uint32_t second;   /* 0: none */
  uint32_t epoch;
  uint32_t sequence;             /* of the last renewal sent */
  uint32_t epoch_first_sequence; /* of this guardian epoch */
  int64_t sent_ns[LEASE_SENT_MAX];
  int64_t until_ns;         /* may serve while the clock is below */
  int64_t first_granted_ns; /* sending of the last renewal that a first
                       guardian granted */
  uint32_t unanswered;
  bool change_pending;
  int64_t change_submitted_ns;
  uint32_t
      kept_guardians[2]; /* guardians whose grants count although frozen */
};

/* A ward without a lease.  */
void lease_ward_init (struct lease_ward *w, int64_t term_ns);

/* The newest document names GUARDIAN and SECOND (0: none) at EPOCH.  FIRST is
   true for a new incarnation.  */
void lease_ward_set_guardians (struct lease_ward *w, uint32_t guardian,
                               uint32_t second, uint32_t epoch, bool first);

/* A renewal is being sent at NOW_NS: return its sequence number.  */
uint32_t lease_ward_on_send (struct lease_ward *w, int64_t now_ns);

/* GUARDIAN granted the renewal SEQUENCE of EPOCH.  False when the grant
   does not count.  */
bool lease_ward_on_grant (struct lease_ward *w, uint32_t guardian,
                          uint32_t epoch, uint32_t sequence);

/* The ward submits a change of its own guardians to GUARDIAN and SECOND: from
   now on grants of a guardian that it drops do not count, since the next one
   may be counting already.  */
void lease_ward_begin_change (struct lease_ward *w, uint32_t guardian,
                              uint32_t second, int64_t now_ns);

/* The change is known to have failed, or the document that follows it is in
   force and lease_ward_set_guardians was called.  */
void lease_ward_end_change (struct lease_ward *w);

/* The ward is no member any more.  */
void lease_ward_revoke (struct lease_ward *w);

/* The time below which the ward may serve.  */
int64_t lease_ward_until (const struct lease_ward *w);

/* The time below which the ward holds a lease of its first guardian.  */
int64_t lease_ward_first_until (const struct lease_ward *w);

/* A promise of the guardian's side.  */
struct lease_promise
{
  uint32_t ward; /* incarnation */
  uint32_t epoch;
  int64_t until_ns;       /* not declared dead before */
  bool removal_submitted; /* a swap that removes it is under way or in doubt */
  bool removal_delegated; /* another may write its removal: decided for good */
  uint32_t other_guardian; /* its other guardian, 0: none */
  bool is_second;          /* this guardian is the second */
  /* Of a first guardian.  */
  uint32_t probe_round; /* of probes */
  bool probing;
  bool consented;
  int64_t next_probe_ns;        /* the next probe */
  uint32_t proxy_consent_epoch; /* the guardian epoch of the second guardian,
                             when its own first one consented for it; else 0 */
  /* Of a first guardian that consented for this ward, as the second one of
     STOOD_FOR (0: has not): it promises this ward nothing.  */
  uint32_t proxy_given_for;
  uint32_t proxy_given_epoch;
  uint32_t proxy_given_round;
  /* The document that removed STOOD_FOR: this ward must know it before it
     gets a promise, or it might still grant to that one.  */
  uint32_t min_serial;
  /* Of a second guardian: the round that it consented to, 0: none.  */
  uint32_t consented_round;
};

struct lease_guardian
{
  int64_t promise_ns;
  uint32_t count;
  struct lease_promise wards[CELL_MEMBERS_MAX];
};

/* A guardian without wards.  */
void lease_guardian_init (struct lease_guardian *g, int64_t term_ns);

/* The document CELL, in force from NOW_NS, names the wards of SELF.  A ward
   that is new, or at a new guardian epoch, gets a full promise.  */
void lease_guardian_update (struct lease_guardian *g, const struct cell *cell,
                            uint32_t self, int64_t now_ns);

/* The promise to WARD, or NULL when it is no ward.  */
struct lease_promise *lease_guardian_find (struct lease_guardian *g,
                                           uint32_t ward);

/* Promise WARD at EPOCH, which knows the document SERIAL, a full term from
   NOW_NS.  False when it is not a ward at this epoch, is being declared dead,
   or must learn of a newer document first: then no grant may be sent.  */
bool lease_guardian_promise (struct lease_guardian *g, uint32_t ward,
                             uint32_t epoch, uint32_t serial, int64_t now_ns);

/* Whether the promise P has lapsed at NOW_NS.  */
bool lease_promise_lapsed (const struct lease_promise *p, int64_t now_ns);

/* Whether the promise P has lapsed and the ward's other guardian, if any, has
   consented: then the ward may be declared dead.  */
bool lease_promise_allows_removal (const struct lease_promise *p,
                                   int64_t now_ns);

/* The second guardian is asked for its consent in ROUND.  True when it
   consents: from now on it makes P's ward no promise at this epoch.  */
bool lease_promise_give_consent (struct lease_promise *p, uint32_t round,
                                 int64_t now_ns);

/* The second guardian consented in ROUND.  */
void lease_promise_on_consent (struct lease_promise *p, uint32_t round);

/* The consent for P, the promise of a first guardian, as the second one of
   WARD at EPOCH is asked for in ROUND.  True when it is given: from now on P's
   ward gets no promise.  */
bool lease_promise_give_proxy_consent (struct lease_promise *p,
                                       int64_t promise_ns, uint32_t ward,
                                       uint32_t epoch, uint32_t round,
                                       int64_t now_ns);

/* The first guardian of the second one, which has the guardian epoch EPOCH,
   consented in ROUND.  */
void lease_promise_on_proxy_consent (struct lease_promise *p, uint32_t epoch,
                                     uint32_t round);

/* The first guardian grants again: no consent of an earlier round counts any
   more.  Return the round to release, 0: none.  */
uint32_t lease_promise_end_probing (struct lease_promise *p);

/* The first guardian does not need the consent of ROUND.  */
void lease_promise_release_consent (struct lease_promise *p, uint32_t round);

/* Nor the consent that G's member gave for the second one of WARD at
   EPOCH.  */
void lease_guardian_release_proxy (struct lease_guardian *g, uint32_t ward,
                                   uint32_t epoch, uint32_t round);

/* This guardian was itself paused until NOW_NS and may not have heard its
   wards: give each a full promise.  */
void lease_guardian_extend_all (struct lease_guardian *g, int64_t now_ns);

/* All swaps of this guardian that declared wards dead have certainly failed or
   are in force.  Wards whose removal another may write stay decided.  */
void lease_guardian_clear_removals (struct lease_guardian *g);

/* The next time at which a promise lapses, or LEASE_FOREVER_NS.  */
int64_t lease_guardian_next_lapse (const struct lease_guardian *g,
                                   int64_t now_ns);

#endif
