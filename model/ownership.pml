/* Ownership of one slot in a cell: leases, guardians, takeover and the store.

   The rules are those of docs/design/ownership.md; docs/design/model.md
   describes how they are modelled and what is left out.  A swap is a
   compare-and-swap of the document in the store.

   MEMBERS           number of incarnations; those from ACTIVE on may join
   ACTIVE            members at the start
   TERM              ticks of a lease and of a promise
   REVISIONS         number of changes of the document
   SECOND_GUARDIANS  1: each member has a second guardian at the start
   ROUNDS            requests for consent at one guardian epoch
   DECLARE_ONLY      1: the only swap is the declaration of rule 3

   Each MUTATE_ macro removes one rule; the search must then find a
   violation.  */

#ifndef MEMBERS
#define MEMBERS 3
#endif
#ifndef ACTIVE
#define ACTIVE 3
#endif
#ifndef TERM
#define TERM 2
#endif
#ifndef REVISIONS
#define REVISIONS 3
#endif

#ifndef SECOND_GUARDIANS
#define SECOND_GUARDIANS 0
#endif
#ifndef DECLARE_ONLY
#define DECLARE_ONLY 0
#endif
#ifndef ROUNDS
#define ROUNDS 1
#endif

#define NONE 255

/* The kinds of swap that a member has sent without knowing the outcome.  */
#define NO_SWAP 0
#define DECLARE 1       /* remove TARGET, of which it is the first guardian */
#define CHANGE_FIRST 2  /* make TARGET its first guardian */
#define HAND_OVER 3     /* assign the slot to TARGET */
#define JOIN 4          /* become a member with TARGET as first guardian */
#define REPLACE 5       /* take the place of TARGET, which has exited */
#define DECLARE_TO 6    /* as DECLARE, but assign the slot to a third member */
#define CHANGE_SECOND 7 /* make TARGET its second guardian */

/* The stages of a renewal.  */
#define NO_RENEWAL 0
#define RENEWAL_REQUESTED 1
#define RENEWAL_READ 2    /* the store has answered the guardian's read */
#define RENEWAL_GRANTED 3 /* the grant is in transit */

/* The document at each revision.  A member's view is the revision that it has
   seen.  */
typedef document
{
  bool present[MEMBERS];
  byte guardian[MEMBERS];
  byte second[MEMBERS];
  byte guardian_epoch[MEMBERS]; /* revision of the last change of guardians */
  byte owner;
  byte epoch;
  byte writer
};
document doc[REVISIONS + 1];
byte revision;

byte view[MEMBERS];
byte lease[MEMBERS];   /* ticks for which the member may still serve */
bool exited[MEMBERS];  /* the process has exited */
bool stopped[MEMBERS]; /* stopped serving, to hand the slot over */

byte swap_kind[MEMBERS];
byte swap_target[MEMBERS];

byte renewal[MEMBERS];
byte renewal_age[MEMBERS]; /* ticks since the request was sent, up to TERM */
byte renewal_to[MEMBERS];
byte renewal_epoch[MEMBERS];
byte renewal_read[MEMBERS]; /* the revision that the read returned */

/* Ticks for which guardian G has promised not to declare ward W dead.  */
byte promise[MEMBERS * MEMBERS];
#define PROMISE(g, w) promise[(g) * MEMBERS + (w)]

#if SECOND_GUARDIANS
/* The first guardian G of ward W requests the consent of the second guardian
   in numbered rounds.  From the request to the release it grants W no
   renewal.  */
byte consent_round[MEMBERS * MEMBERS];
bool seeking_consent[MEMBERS * MEMBERS];
#define CONSENT_ROUND(g, w) consent_round[(g) * MEMBERS + (w)]
#define SEEKING_CONSENT(g, w) seeking_consent[(g) * MEMBERS + (w)]

/* The consent of second guardian G for ward W: 2R - 1 while it consents in
   round R, 2R once that consent is released.  */
byte consent[MEMBERS * MEMBERS];
#define CONSENT(g, w) consent[(g) * MEMBERS + (w)]
#define consents(g, w) (CONSENT (g, w) % 2 == 1)

/* The messages about ward W at guardian epoch E, with a bit for each round.  A
   message that was sent may arrive at any time and more than once.  */
byte request_sent[MEMBERS * (REVISIONS + 1)];
byte consent_sent[MEMBERS * (REVISIONS + 1)];
byte release_sent[MEMBERS * (REVISIONS + 1)];
#define message_index(g, w)                                                   \
  ((w) * (REVISIONS + 1) + view_of (g).guardian_epoch[w])
#endif

/* The newest slot assignment whose writer knows that it succeeded.  */
byte known_epoch;
byte known_owner;

/* Scratch variables of the steps: a result and a loop index.  */
hidden byte n;
hidden byte w;

#define is_declaring(i)                                                       \
  (swap_kind[i] == DECLARE || swap_kind[i] == DECLARE_TO)
#define view_of(i) doc[view[i]]
#define is_member(i) (!exited[i] && view_of (i).present[i])
#ifdef MUTATE_UNGUARDED_IN_DOUBT
#define is_guarded(i) (view_of (i).guardian[i] != NONE)
#else
#define is_guarded(i)                                                         \
  (view_of (i).guardian[i] != NONE || swap_kind[i] == CHANGE_FIRST)
#endif
#define is_leased(i) (lease[i] > 0 || !is_guarded (i))
#define is_serving(i)                                                         \
  (is_member (i) && view_of (i).owner == i && !stopped[i] && is_leased (i))
#define is_first_guardian(g, w)                                               \
  (view_of (g).present[w] && view_of (g).guardian[w] == g)
#define is_second_guardian(g, w)                                              \
  (view_of (g).present[w] && view_of (g).second[w] == g)
#define is_guardian(g, w)                                                     \
  (is_first_guardian (g, w) || is_second_guardian (g, w))

#ifdef MUTATE_BLIND_WRITE
#define may_write(me) (true)
#define may_send(me) (true)
#else
#define may_write(me) (view[me] == revision)
/* A swap from an older view is not modelled: it fails, and only keeps its
   member from acting until then.  */
#define may_send(me) (view[me] == revision)
#endif
#ifdef MUTATE_RENEW_IN_DOUBT
#define may_renew(me) (true)
#else
#define may_renew(me) (swap_kind[me] != CHANGE_FIRST)
#endif
#if !SECOND_GUARDIANS
#define has_consent(g, w) (true)
#else
#ifdef MUTATE_NO_CONSENT
#define has_consent(g, w) (true)
#else
#ifdef MUTATE_ANY_ROUND
#define has_consent(g, w)                                                     \
  (view_of (g).second[w] == NONE ||                                           \
   (SEEKING_CONSENT (g, w) && consent_sent[message_index (g, w)] != 0))
#else
#define has_consent(g, w)                                                     \
  (view_of (g).second[w] == NONE ||                                           \
   (SEEKING_CONSENT (g, w) &&                                                 \
    (consent_sent[message_index (g, w)] & (1 << CONSENT_ROUND (g, w))) != 0))
#endif
#endif
#endif
#ifdef MUTATE_CONSENT_NO_WAIT
#define may_consent(g, w) (true)
#else
#define may_consent(g, w) (PROMISE (g, w) == 0)
#endif
#if !SECOND_GUARDIANS
#define withholds_grants(g, w) (false)
#else
#ifdef MUTATE_GRANT_AFTER_CONSENT
#define withholds_grants(g, w) (SEEKING_CONSENT (g, w))
#else
#define withholds_grants(g, w) (SEEKING_CONSENT (g, w) || consents (g, w))
#endif
#endif
#ifdef MUTATE_NO_WAIT
#define may_declare(g, w) (true)
#else
#define may_declare(g, w) (PROMISE (g, w) == 0)
#endif
#ifdef MUTATE_GRANT_WITHOUT_LEASE
#define may_grant(g) (true)
#else
#define may_grant(g) (is_leased (g))
#endif
#ifdef MUTATE_GIVE_WHILE_SERVING
#define stop_before_hand_over false
#else
#define stop_before_hand_over true
#endif
#ifdef MUTATE_REPLACE_RUNNING
#define may_replace(w) (true)
#else
#define may_replace(w) (exited[w])
#endif
#ifdef MUTATE_LEASE_FROM_RECEIPT
#define granted_ticks(w) (TERM)
#else
#define granted_ticks(w) (TERM - renewal_age[w])
#endif
#ifdef MUTATE_INHERIT_NO_WAIT
#define initial_promise 0
#else
#define initial_promise TERM
#endif

inline check_owners ()
{
  n = 0;
  w = 0;
  do
  :: w < MEMBERS ->
     if
     :: is_serving (w) -> n++
     :: else
     fi;
     w++
  :: else -> break
  od;
  assert (n <= 1)
}

#if SECOND_GUARDIANS
/* ME resumes granting to WARD and releases the second guardian's consent.  */
inline release_consent (me, ward)
{
  SEEKING_CONSENT (me, ward) = false;
  release_sent[message_index (me, ward)] =
    release_sent[message_index (me, ward)] | (1 << CONSENT_ROUND (me, ward))
}
#endif

/* Member ME learns the next revision.  */
inline advance_view (me)
{
  view[me]++;
  if
  :: swap_kind[me] != NO_SWAP ->
     /* Its swap expected the previous revision: the outcome is known now.  */
     if
     :: view_of (me).writer == me && view_of (me).epoch >= known_epoch ->
        known_epoch = view_of (me).epoch;
        known_owner = view_of (me).owner
     :: else
     fi;
#if SECOND_GUARDIANS
     if
     :: is_declaring (me) && CONSENT_ROUND (me, swap_target[me]) > 0 ->
        release_consent (me, swap_target[me])
     :: else
     fi;
#endif
     swap_kind[me] = NO_SWAP;
     swap_target[me] = 0;
     stopped[me] = false
  :: else
  fi;
  w = 0;
  do
  :: w < MEMBERS ->
#if SECOND_GUARDIANS
     if
     :: view_of (me).guardian_epoch[w] == view[me] ->
        CONSENT_ROUND (me, w) = 0;
        SEEKING_CONSENT (me, w) = false;
        CONSENT (me, w) = 0
     :: else
     fi;
#endif
     if
     :: w == me || !is_guardian (me, w) -> PROMISE (me, w) = 0
     :: else ->
        if
        :: view_of (me).guardian_epoch[w] == view[me] &&
           revision < REVISIONS ->
           PROMISE (me, w) = initial_promise
        :: else
        fi
     fi;
     w++
  :: else -> break
  od;
  check_owners ()
}

inline send_swap (me, kind, other)
{
  swap_kind[me] = kind;
  swap_target[me] = other
}

/* Sets N to the next guardian of member ME when OTHER is removed, or to
   NONE.  */
inline find_guardian (me, other)
{
  n = NONE;
  w = 0;
  do
  :: w < MEMBERS ->
     if
     :: w != me && w != other && doc[revision].present[w] && n == NONE -> n = w
     :: else
     fi;
     w++
  :: else -> break
  od
}

inline end_renewal (i)
{
  renewal[i] = NO_RENEWAL;
  renewal_age[i] = 0;
  renewal_to[i] = 0;
  renewal_epoch[i] = 0;
  renewal_read[i] = 0
}

/* ME grants WARD a renewal.  At the last revision the promise is left out,
   since it matters only while the document can still change.  */
inline grant (me, ward)
{
  renewal[ward] = RENEWAL_GRANTED;
  renewal_read[ward] = 0;
  if
  :: revision < REVISIONS -> PROMISE (me, ward) = TERM
  :: else
  fi
}

inline set_second (ward, to)
{
  doc[revision].second[ward] = to;
  doc[revision].guardian_epoch[ward] = revision
}

inline set_guardian (ward, to)
{
  doc[revision].guardian[ward] = to;
  doc[revision].guardian_epoch[ward] = revision
}

/* Removes OTHER.  Its wards keep their other guardian or get ME as guardian.
   ME itself gets another member as guardian, or none if it is the last
   member.  */
inline remove_member (me, other)
{
  doc[revision].present[other] = false;
  doc[revision].guardian[other] = NONE;
  doc[revision].second[other] = NONE;
  doc[revision].guardian_epoch[other] = revision;
  find_guardian (me, other);
  if
  :: n == NONE -> set_guardian (me, NONE); doc[revision].second[me] = NONE
  :: doc[revision].guardian[me] == other && n != NONE &&
     doc[revision].second[me] == NONE -> set_guardian (me, n)
  :: else
  fi;
  w = 0;
  do
  :: w < MEMBERS ->
     if
     :: doc[revision].present[w] && doc[revision].second[w] == other ->
        set_second (w, NONE)
     :: doc[revision].present[w] && doc[revision].guardian[w] == other ->
        if
        :: doc[revision].second[w] != NONE ->
           set_guardian (w, doc[revision].second[w]);
           set_second (w, NONE)
        :: else -> set_guardian (w, me)
        fi
     :: else
     fi;
     w++
  :: else -> break
  od
}

inline assign (to)
{
  doc[revision].owner = to;
  doc[revision].epoch = doc[revision].epoch + 1
}

inline copy_document (from)
{
  w = 0;
  do
  :: w < MEMBERS ->
     doc[revision].present[w] = doc[from].present[w];
     doc[revision].guardian[w] = doc[from].guardian[w];
     doc[revision].second[w] = doc[from].second[w];
     doc[revision].guardian_epoch[w] = doc[from].guardian_epoch[w];
     w++
  :: else -> break
  od;
  doc[revision].owner = doc[from].owner;
  doc[revision].epoch = doc[from].epoch
}

inline clear_promises ()
{
  w = 0;
  do
  :: w < MEMBERS * MEMBERS -> promise[w] = 0; w++
  :: else -> break
  od
}

/* The store applies the swap of ME, which expected the revision that ME has
   seen.  The response is not modelled: a member learns the outcome when it
   learns the next revision, from a response, a read or another member.  */
inline store_swap (me)
{
  revision++;
  copy_document (view[me]);
  doc[revision].writer = me;
  if
  :: swap_kind[me] == DECLARE || swap_kind[me] == DECLARE_TO ->
     remove_member (me, swap_target[me]);
     find_guardian (me, swap_target[me]);
     if
     :: swap_kind[me] == DECLARE || n == NONE -> n = me
     :: else
     fi;
     if
     :: doc[revision].owner == swap_target[me] -> assign (n)
     :: else
     fi
  :: swap_kind[me] == CHANGE_FIRST ->
     set_guardian (me, swap_target[me]);
     if
     :: doc[revision].second[me] == swap_target[me] -> set_second (me, NONE)
     :: else
     fi
  :: swap_kind[me] == CHANGE_SECOND -> set_second (me, swap_target[me])
  :: swap_kind[me] == HAND_OVER -> assign (swap_target[me])
  :: swap_kind[me] == JOIN ->
     doc[revision].present[me] = true;
     set_guardian (me, swap_target[me])
  :: swap_kind[me] == REPLACE ->
     doc[revision].present[me] = true;
     n = doc[revision].guardian[swap_target[me]];
     set_guardian (me, n);
     remove_member (me, swap_target[me]);
     if
     :: doc[revision].owner == swap_target[me] -> assign (me)
     :: else
     fi
  fi;
  if
  :: revision == REVISIONS -> clear_promises ()
  :: else
  fi;
  assert (doc[revision].epoch >= known_epoch);
  assert (doc[revision].epoch > known_epoch ||
          doc[revision].owner == known_owner || known_epoch == 0)
}

/* Advances every clock by one tick; all run at the same rate.  A renewal that
   is TERM ticks old is useless and ends, so a lost message is modelled as a
   late one.  */
inline tick ()
{
  w = 0;
  do
  :: w < MEMBERS ->
     if
     :: lease[w] > 0 -> lease[w]--
     :: else
     fi;
     if
     :: renewal[w] != NO_RENEWAL && renewal_age[w] < TERM -> renewal_age[w]++
     :: else
     fi;
     if
     :: renewal[w] != NO_RENEWAL && granted_ticks (w) == 0 -> end_renewal (w)
     :: else
     fi;
     w++
  :: else -> break
  od;
  w = 0;
  do
  :: w < MEMBERS * MEMBERS ->
     if
     :: promise[w] > 0 -> promise[w]--
     :: else
     fi;
     w++
  :: else -> break
  od
}

/* The steps of member ME.  A paused member is one that takes no step.  */

/* Rule 1: request a renewal from the first guardian, except while the outcome
   of the member's own change of first guardian is unknown.  */
#define REQUEST_RENEWAL(me)                                                   \
  d_step { is_member (me) && renewal[me] == NO_RENEWAL &&                     \
    view_of (me).guardian[me] != NONE && may_renew (me) ->                    \
    renewal[me] = RENEWAL_REQUESTED;                                          \
    renewal_age[me] = 0;                                                      \
    renewal_to[me] = view_of (me).guardian[me];                               \
    renewal_epoch[me] = view_of (me).guardian_epoch[me]                       \
  }

/* Requests a renewal from the second guardian.  A change of the first guardian
   keeps the second, whose grants stay valid meanwhile.  */
#define REQUEST_SECOND_RENEWAL(me)                                            \
  d_step { is_member (me) && renewal[me] == NO_RENEWAL &&                     \
    view_of (me).second[me] != NONE ->                                        \
    renewal[me] = RENEWAL_REQUESTED;                                          \
    renewal_age[me] = 0;                                                      \
    renewal_to[me] = view_of (me).second[me];                                 \
    renewal_epoch[me] = view_of (me).guardian_epoch[me]                       \
  }

/* The grant arrives.  */
#define RECEIVE_GRANT(me)                                                     \
  d_step { is_member (me) && renewal[me] == RENEWAL_GRANTED ->                \
    if                                                                        \
    :: granted_ticks (me) > lease[me] -> lease[me] = granted_ticks (me)       \
    :: else                                                                   \
    fi;                                                                       \
    end_renewal (me);                                                         \
    check_owners ()                                                           \
  }

#define may_answer(me, k)                                                     \
  (me != k && is_member (me) && renewal_to[k] == me && is_guardian (me, k) && \
   view_of (me).guardian_epoch[k] == renewal_epoch[k] &&                      \
   !(is_declaring (me) && swap_target[me] == k) && !withholds_grants (me, k))

/* Rule 2, first case: ME grants ward K's renewal under its own lease.  */
#define GRANT(me, k)                                                          \
  d_step { renewal[k] == RENEWAL_REQUESTED && may_answer (me, k) &&           \
    may_grant (me) ->                                                         \
    grant (me, k); w = 0                                                      \
  }

/* Rule 2, second case: ME grants it by a store read that began after the
   request arrived.  */
#define READ_FOR_GRANT(me, k)                                                 \
  d_step { renewal[k] == RENEWAL_REQUESTED && may_answer (me, k) ->           \
    renewal[k] = RENEWAL_READ;                                                \
    renewal_read[k] = revision                                                \
  }

#define GRANT_BY_READ(me, k)                                                  \
  d_step { renewal[k] == RENEWAL_READ && may_answer (me, k) &&                \
    doc[renewal_read[k]].present[me] &&                                       \
    (doc[renewal_read[k]].guardian[k] == me ||                                \
     doc[renewal_read[k]].second[k] == me) &&                                 \
    doc[renewal_read[k]].guardian_epoch[k] == renewal_epoch[k] ->             \
    grant (me, k); w = 0                                                      \
  }

#define can_swap(me)                                                          \
  (!exited[me] && swap_kind[me] == NO_SWAP && revision < REVISIONS &&         \
   may_send (me))

#define can_change(me) (!DECLARE_ONLY && can_swap (me))

/* Rule 3: ME declares ward K dead once its promise has lapsed.  The slot goes
   to ME, or to another member if there is one.  */
#define DECLARE_DEAD(me, k)                                                   \
  d_step { me != k && is_member (me) && can_swap (me) &&                      \
    is_first_guardian (me, k) && may_declare (me, k) && has_consent (me, k) ->\
    send_swap (me, DECLARE, k)                                                \
  }

#define DECLARE_DEAD_TO(me, k)                                                \
  d_step { me != k && is_member (me) && can_swap (me) &&                      \
    is_first_guardian (me, k) && may_declare (me, k) &&                       \
    has_consent (me, k) && view_of (me).owner == k ->                         \
    send_swap (me, DECLARE_TO, k)                                             \
  }

/* Rule 3: the first guardian requests the second's consent and grants no
   renewal until it releases that consent.  */
#define REQUEST_CONSENT(me, k)                                                \
  d_step { me != k && is_member (me) && is_first_guardian (me, k) &&          \
    view_of (me).second[k] != NONE && !SEEKING_CONSENT (me, k) &&             \
    CONSENT_ROUND (me, k) < ROUNDS && revision < REVISIONS ->                 \
    CONSENT_ROUND (me, k) = CONSENT_ROUND (me, k) + 1;                        \
    SEEKING_CONSENT (me, k) = true;                                           \
    request_sent[message_index (me, k)] =                                     \
      request_sent[message_index (me, k)] | (1 << CONSENT_ROUND (me, k))      \
  }

#define RELEASE_CONSENT(me, k)                                                \
  d_step { me != k && is_member (me) && SEEKING_CONSENT (me, k) &&            \
    !is_declaring (me) ->                                                     \
    release_consent (me, k)                                                   \
  }

#define GIVE_CONSENT(me, k, round)                                            \
  d_step { me != k && is_member (me) && is_second_guardian (me, k) &&         \
    (request_sent[message_index (me, k)] & (1 << round)) != 0 &&              \
    CONSENT (me, k) < 2 * round - 1 && may_consent (me, k) ->                 \
    CONSENT (me, k) = 2 * round - 1;                                          \
    consent_sent[message_index (me, k)] =                                     \
      consent_sent[message_index (me, k)] | (1 << round)                      \
  }

#define RECEIVE_RELEASE(me, k, round)                                         \
  d_step { me != k && is_member (me) && is_second_guardian (me, k) &&         \
    (release_sent[message_index (me, k)] & (1 << round)) != 0 &&              \
    CONSENT (me, k) < 2 * round ->                                            \
    CONSENT (me, k) = 2 * round                                               \
  }

/* Rule 5: make K the second guardian.  */
#define CHANGE_SECOND_GUARDIAN(me, k)                                         \
  d_step { me != k && is_member (me) && can_change (me) &&                    \
    view_of (me).present[k] && view_of (me).guardian[me] != k &&              \
    view_of (me).guardian[me] != NONE && view_of (me).second[me] == NONE ->   \
    send_swap (me, CHANGE_SECOND, k)                                          \
  }

#if SECOND_GUARDIANS
#if ROUNDS > 1
#define SECOND_ROUND_STEPS(me, k)                                             \
  :: GIVE_CONSENT (me, k, 2)                                                  \
  :: RECEIVE_RELEASE (me, k, 2)
#else
#define SECOND_ROUND_STEPS(me, k)
#endif
#define SECOND_GUARDIAN_STEPS(me, k)                                          \
  :: REQUEST_CONSENT (me, k)                                                  \
  :: RELEASE_CONSENT (me, k)                                                  \
  :: GIVE_CONSENT (me, k, 1)                                                  \
  :: RECEIVE_RELEASE (me, k, 1)                                               \
  :: CHANGE_SECOND_GUARDIAN (me, k)                                           \
  SECOND_ROUND_STEPS (me, k)
#else
#define SECOND_GUARDIAN_STEPS(me, k)
#endif

/* Rule 5: make K the first guardian.  A member without a guardian may serve
   for one more term after it sent the swap.  */
#define CHANGE_GUARDIAN(me, k)                                                \
  d_step { me != k && is_member (me) && can_change (me) &&                    \
    view_of (me).present[k] && view_of (me).guardian[me] != k ->              \
    if                                                                        \
    :: view_of (me).guardian[me] == NONE -> lease[me] = TERM                  \
    :: else                                                                   \
    fi;                                                                       \
    send_swap (me, CHANGE_FIRST, k)                                           \
  }

/* Rule 5: hand the slot over to K after serving has stopped.  */
#define HAND_SLOT_OVER(me, k)                                                 \
  d_step { me != k && is_member (me) && can_change (me) &&                    \
    view_of (me).owner == me && view_of (me).present[k] ->                    \
    stopped[me] = stop_before_hand_over;                                      \
    send_swap (me, HAND_OVER, k)                                              \
  }

#if MEMBERS > ACTIVE
#define JOIN_CELL(me, k)                                                      \
  d_step { me != k && me >= ACTIVE && !view_of (me).present[me] &&            \
    can_swap (me) && view_of (me).present[k] ->                               \
    send_swap (me, JOIN, k)                                                   \
  }

/* Rule 6: take the place of a process that has exited.  */
#define REPLACE_EXITED(me, k)                                                 \
  d_step { me != k && me >= ACTIVE && !view_of (me).present[me] &&            \
    can_swap (me) && view_of (me).present[k] && may_replace (k) ->            \
    send_swap (me, REPLACE, k)                                                \
  }
#define JOIN_STEPS(me, k)                                                     \
  :: JOIN_CELL (me, k)                                                        \
  :: REPLACE_EXITED (me, k)
#else
#define JOIN_STEPS(me, k)
#endif

/* The steps of ME that concern member K.  */
#define STEPS(me, k)                                                          \
  :: GRANT (me, k)                                                            \
  :: READ_FOR_GRANT (me, k)                                                   \
  :: GRANT_BY_READ (me, k)                                                    \
  :: DECLARE_DEAD (me, k)                                                     \
  :: DECLARE_DEAD_TO (me, k)                                                  \
  :: CHANGE_GUARDIAN (me, k)                                                  \
  :: HAND_SLOT_OVER (me, k)                                                   \
  SECOND_GUARDIAN_STEPS (me, k)                                               \
  JOIN_STEPS (me, k)

proctype member (byte me)
{
  do
  :: d_step { view[me] < revision && !exited[me] -> advance_view (me); w = 0 }
  :: d_step {
       swap_kind[me] != NO_SWAP && revision < REVISIONS && may_write (me) ->
       store_swap (me); w = 0
     }
  :: REQUEST_RENEWAL (me)
#if SECOND_GUARDIANS
  :: REQUEST_SECOND_RENEWAL (me)
#endif
  :: RECEIVE_GRANT (me)
  STEPS (me, 0)
  STEPS (me, 1)
#if MEMBERS > 2
  STEPS (me, 2)
#endif
#if MEMBERS > 3
  STEPS (me, 3)
#endif
#if MEMBERS > ACTIVE
  :: d_step { me == 0 && !exited[me] -> exited[me] = true }
#endif
  od
}

/* At the start every lease has lapsed, as after a pause of the whole cell, and
   the next member is each member's first guardian.  */
init
{
  d_step {
    w = 0;
    do
    :: w < MEMBERS ->
       if
       :: w < ACTIVE ->
          doc[0].present[w] = true;
          doc[0].guardian[w] = (ACTIVE == 1 -> NONE : (w + 1) % ACTIVE)
       :: else -> doc[0].guardian[w] = NONE
       fi;
       doc[0].second[w] = (SECOND_GUARDIANS && w < ACTIVE && ACTIVE > 2 ->
         (w + 2) % ACTIVE : NONE);
       w++
    :: else -> break
    od;
    doc[0].writer = NONE;
    w = 0
  }
  atomic {
    run member (0);
    run member (1);
#if MEMBERS > 2
    run member (2);
#endif
#if MEMBERS > 3
    run member (3);
#endif
  }
  do
  :: d_step { tick (); w = 0 }
  od
}
