/* Which numeric keys the target holds by grants, and which grants and releases
   are due.

   A grant counts at the target from its arrival, on a clock that may run 2%
   slow; a grant that was not answered may be applied seconds later.  So two
   times are kept for each key: until when the target certainly holds it, which
   limits what is sent to it, and until when it may hold it, which limits when
   another target may get the key.

   Does no I/O: the caller sends to the target.  Time is an argument.  */

#ifndef MESH_HOLDINGS_H
#define MESH_HOLDINGS_H

#include <stdbool.h>
#include <stdint.h>

/* By the platform's documentation a target's clock may run 2% slow, so that a
   grant lasts this many times longer there.  */
#define HOLDINGS_CLOCK_DRIFT_FACTOR 1.02

struct holdings;

/* A range of adjacent keys.  */
struct key_range
{
  uint32_t from;
  uint32_t to; /* inclusive */
};

/* KEY_COUNT keys, of which none is owned or held.  */
struct holdings *holdings_new (uint32_t key_count);
void holdings_free (struct holdings *h);

/* This node owns KEY, by a document that assigned it at EPOCH; or it no longer
   does.  */
void holdings_own (struct holdings *h, uint32_t key, uint32_t epoch);
void holdings_disown (struct holdings *h, uint32_t key);

/* The fencing token of all grants: the highest epoch that any owned key ever
   had, because a target refuses a token lower than one it has seen; 0:
   none.  */
uint32_t holdings_fencing_token (const struct holdings *h);

/* Close or open KEY.  A closed key is being handed over: it is neither served
   nor granted.  */
void holdings_set_closed (struct holdings *h, uint32_t key, bool closed);
void holdings_open_all (struct holdings *h);

/* Grant KEY no earlier than AT_NS, because its last holder is about to send a
   handover.  */
void holdings_delay_grant (struct holdings *h, uint32_t key, int64_t at_ns);

/* Whether KEY is open and the target certainly holds it.  */
bool holdings_can_serve (const struct holdings *h, uint32_t key,
                         int64_t now_ns);
bool holdings_is_owned (const struct holdings *h, uint32_t key);
bool holdings_is_closed (const struct holdings *h, uint32_t key);

/* The first range at or after FROM of keys that are owned, open and without a
   call in flight, if one of them is held for less than MIN_LEFT_NS.  False:
   none.  */
bool holdings_next_due (const struct holdings *h, uint32_t from,
                        int64_t now_ns, int64_t min_left_ns,
                        struct key_range *range);

/* The first range at or after FROM of closed keys that the target may hold,
   without a call in flight.  Keys that no release would free earlier, because
   of an unanswered grant, are left out.  False: none.  */
bool holdings_next_release (const struct holdings *h, uint32_t from,
                            int64_t now_ns, struct key_range *range);

/* A grant of RANGE was sent.  */
void holdings_grant_sent (struct holdings *h, const struct key_range *range);

/* A release of RANGE was sent: the target starts no more work on its keys,
   even if they are opened again before it answers.  */
void holdings_release_sent (struct holdings *h, const struct key_range *range);

/* The target accepted the grant that was sent at SENT_NS.  */
void holdings_grant_accepted (struct holdings *h,
                              const struct key_range *range, int64_t sent_ns,
                              int64_t hold_ns, int64_t now_ns);

/* The grant was not answered: it may still be applied.  */
void holdings_grant_unanswered (struct holdings *h,
                                const struct key_range *range, int64_t hold_ns,
                                int64_t now_ns);

/* The target refused the grant.  */
void holdings_grant_refused (struct holdings *h,
                             const struct key_range *range);

/* The release of RANGE was answered, or not.  */
void holdings_release_ended (struct holdings *h, const struct key_range *range,
                             bool answered);

/* Until when the target may hold one of the closed keys; 0: none.  */
int64_t holdings_closed_until (const struct holdings *h);

/* The target reports that it does not hold KEY.  The report may be wrong, but
   the key must be granted again.  */
void holdings_key_denied (struct holdings *h, uint32_t key);

/* An earlier process of this node may have granted any key, until UNTIL_NS. */
void holdings_assume_held (struct holdings *h, int64_t until_ns);

/* An answer may have been taken for that of another call: any grant that was
   accepted counts as unanswered.  */
void holdings_distrust (struct holdings *h);

/* The target restarted: it holds no key.  */
void holdings_reset (struct holdings *h);

#endif
