/* Rules of the lease between a ward and its guardians.

   A ward has up to two guardians.  Either may grant its lease.  Only the first
   one may declare it dead, and it needs the consent of the second one.

   The second guardian may be lost as well, while the guardian that could
   declare it dead waits for a third member, and so on in a cycle.  Therefore a
   second guardian grants only while it holds a lease from its own first
   guardian.  When that guardian has made it no promise for a full period since
   the last promise lapsed, that guardian may consent in its place: a proxy
   consent.

   The ward counts its lease from the time it sent the renewal that was
   granted; the guardian counts its promise from the time it granted.  The
   rates of the two clocks may differ by up to LEASE_DRIFT_PERCENT.  */

#ifndef OWN_LEASE_H
#define OWN_LEASE_H

#include "own/cell.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  LEASE_DRIFT_PERCENT = 1,
  LEASE_SENT_MAX = 8 /* last renewals whose grants are accepted */
};

#define LEASE_NEVER_NS INT64_MIN
#define LEASE_FOREVER_NS INT64_MAX

/* State of a ward.  */
struct lease_ward
{
  int64_t term_ns;
  uint32_t guardian;             /* incarnation, 0: none, and needs no lease */
  uint32_t second;               /* second guardian, 0: none */
  uint32_t epoch;                /* guardian epoch */
  uint32_t sequence;             /* of the last renewal sent */
  uint32_t epoch_first_sequence; /* the first one at this epoch */
  int64_t sent_ns[LEASE_SENT_MAX];
  int64_t until_ns; /* may serve while the clock is below */
  /* When the last renewal that a first guardian granted was sent.  */
  int64_t first_granted_ns;
  uint32_t unanswered; /* renewals since the last grant of the guardian */
  bool change_pending;
  int64_t change_submitted_ns;
  /* Guardians whose grants count while a change is pending.  */
  uint32_t kept_guardians[2];
};

/* Initialise W as a ward without a lease.  */
void lease_ward_init (struct lease_ward *w, int64_t term_ns);

/* The newest document gives the ward GUARDIAN and SECOND (0: none) at EPOCH.
   IS_NEW is true for a new incarnation.  */
void lease_ward_set_guardians (struct lease_ward *w, uint32_t guardian,
                               uint32_t second, uint32_t epoch, bool is_new);

/* Record that a renewal is sent at NOW_NS and return its sequence number.  */
uint32_t lease_ward_on_send (struct lease_ward *w, int64_t now_ns);

/* GUARDIAN granted the renewal SEQUENCE at EPOCH.  Return whether the grant
   extended the lease.  */
bool lease_ward_on_grant (struct lease_ward *w, uint32_t guardian,
                          uint32_t epoch, uint32_t sequence);

/* The ward submits a change of its guardians to GUARDIAN and SECOND.  From now
   on grants of a guardian that the change drops do not count, since a new
   guardian may already be counting its own promise, which does not cover
   them.  */
void lease_ward_begin_change (struct lease_ward *w, uint32_t guardian,
                              uint32_t second, int64_t now_ns);

/* Whether grants of GUARDIAN count for renewals sent from now on.  They do not
   while a change that drops it is pending.  */
bool lease_ward_counts_grants (const struct lease_ward *w, uint32_t guardian);

/* The change is known to have failed, or the document that contains it is in
   force and lease_ward_set_guardians was called.  */
void lease_ward_end_change (struct lease_ward *w);

/* End the lease: the ward is no longer a member.  */
void lease_ward_revoke (struct lease_ward *w);

/* Return the time until which the ward may serve.  */
int64_t lease_ward_until (const struct lease_ward *w);

/* Return the time until which the ward holds a lease granted by a first
   guardian.  */
int64_t lease_ward_first_until (const struct lease_ward *w);

/* The promise of a guardian not to declare a ward dead before a given
   time.  */
struct lease_promise
{
  uint32_t ward;    /* incarnation of the ward */
  uint32_t epoch;   /* guardian epoch of the ward */
  int64_t until_ns; /* the ward is not declared dead before */
  /* A swap that removes the ward is outstanding or in doubt.  */
  bool removal_submitted;
  /* The removal was delegated to another member and cannot be withdrawn.  */
  bool removal_delegated;
  uint32_t other_guardian; /* the ward's other guardian, 0: none */
  bool is_second;          /* this guardian is the second one */
  /* Used by a first guardian, which asks the second one for consent.  */
  uint32_t probe_round; /* number of the last round of probes */
  bool probing;
  bool consented; /* the second guardian, or a proxy, has consented */
  int64_t next_probe_ns;
  /* Guardian epoch of the second guardian if CONSENTED is a proxy consent by
     that one's first guardian, else 0.  */
  uint32_t proxy_consent_epoch;
  /* Used by a first guardian that gave a proxy consent for this ward, which is
     the second guardian of the member proxy_given_for (0: none given).  Until
     that is released, this ward gets no promise.  */
  uint32_t proxy_given_for;
  uint32_t proxy_given_epoch;
  uint32_t proxy_given_round;
  /* Serial of the document that ended the proxy consent.  This ward gets no
     promise before it knows that document, since it might still grant to
     proxy_given_for, which may have been removed.  */
  uint32_t min_serial;
  /* Used by a second guardian: the round it consented to, 0: none.  */
  uint32_t consented_round;
};

/* State of a guardian.  */
struct lease_guardian
{
  int64_t promise_ns; /* the term plus the allowance for clock drift */
  uint32_t count;
  struct lease_promise wards[CELL_MEMBERS_MAX];
};

/* Initialise G as a guardian without wards.  */
void lease_guardian_init (struct lease_guardian *g, int64_t term_ns);

/* Take the wards of SELF from the document CELL, which is in force from
   NOW_NS.  A ward that is new, or has a new guardian epoch, gets a full
   promise.  */
void lease_guardian_update (struct lease_guardian *g, const struct cell *cell,
                            uint32_t self, int64_t now_ns);

/* Return the promise to WARD, or NULL when it is not a ward.  */
struct lease_promise *lease_guardian_find (struct lease_guardian *g,
                                           uint32_t ward);

/* Extend the promise to WARD at EPOCH, which knows the document SERIAL, to a
   full period from NOW_NS.  Return false when no grant may be sent: WARD is
   not a ward at this epoch, is being declared dead, must get a newer document
   first, or this guardian has given a consent or proxy consent for it.  */
bool lease_guardian_promise (struct lease_guardian *g, uint32_t ward,
                             uint32_t epoch, uint32_t serial, int64_t now_ns);

bool lease_promise_lapsed (const struct lease_promise *p, int64_t now_ns);

/* Whether the ward may be declared dead: P is the promise of a first guardian,
   has lapsed, and the ward's other guardian, if any, has consented.  */
bool lease_promise_allows_removal (const struct lease_promise *p,
                                   int64_t now_ns);

/* The second guardian, which holds P, was asked for its consent in ROUND.
   Return whether it consents; from then on it makes no promise to the ward at
   this epoch.  */
bool lease_promise_give_consent (struct lease_promise *p, uint32_t round,
                                 int64_t now_ns);

/* Record that the second guardian consented in ROUND.  */
void lease_promise_on_consent (struct lease_promise *p, uint32_t round);

/* The first guardian, which holds P, was asked for its proxy consent in ROUND.
   P's ward is the second guardian of WARD at EPOCH.  Return whether it
   consents; from then on P's ward gets no promise.  */
bool lease_promise_give_proxy_consent (struct lease_promise *p,
                                       int64_t promise_ns, uint32_t ward,
                                       uint32_t epoch, uint32_t round,
                                       int64_t now_ns);

/* Record that the first guardian of the second one, whose guardian epoch is
   EPOCH, gave its proxy consent in ROUND.  */
void lease_promise_on_proxy_consent (struct lease_promise *p, uint32_t epoch,
                                     uint32_t round);

/* The first guardian grants again, so that consents given so far no longer
   count.  Return the round to release, 0: none.  */
uint32_t lease_promise_end_probing (struct lease_promise *p);

/* Withdraw the consent of ROUND, which the first guardian no longer needs.  */
void lease_promise_release_consent (struct lease_promise *p, uint32_t round);

/* Withdraw the proxy consent that G gave in ROUND for the second guardian of
   WARD at EPOCH.  */
void lease_guardian_release_proxy (struct lease_guardian *g, uint32_t ward,
                                   uint32_t epoch, uint32_t round);

/* Give each ward a full promise, because this guardian was paused until NOW_NS
   and may have missed renewals.  */
void lease_guardian_extend_all (struct lease_guardian *g, int64_t now_ns);

/* Clear removal_submitted: all swaps of this guardian that remove wards have
   certainly failed or are in force.  Delegated removals stay submitted.  */
void lease_guardian_clear_removals (struct lease_guardian *g);

/* Return the next time at which a promise lapses, or LEASE_FOREVER_NS.  */
int64_t lease_guardian_next_lapse (const struct lease_guardian *g,
                                   int64_t now_ns);

#endif
