/* Which numeric keys the target holds by grants, and what is due.

   A grant counts at the target from its arrival, on a clock that may run 2%
   slow; one that got no answer may be applied seconds later.  So for each key
   two times are kept: until when the target surely holds it, which bounds what
   is sent to it, and until when it may hold it, which bounds when another
   target may get it.

   Pure: calls of the target are the caller's.  Time is an argument.  */

#ifndef MESH_HOLDINGS_H
#define MESH_HOLDINGS_H

#include <stdbool.h>
#include <stdint.h>

/* A target's clock may run 2% slow, by the platform's pages: a hold lasts that
   much longer there.  */
#define HOLDINGS_SLOW_CLOCK 1.02

struct holdings;

/* A run of neighbouring keys.  */
struct key_run
{
  uint32_t from;
  uint32_t to; /* inclusive */
};

/* Nothing held of COUNT keys.  */
struct holdings *holdings_new (uint32_t count);
void holdings_free (struct holdings *h);

/* KEY is this node's from now on, by a document that gave it at EPOCH; or it
   is not.  */
void holdings_own (struct holdings *h, uint32_t key, uint32_t epoch);
void holdings_disown (struct holdings *h, uint32_t key);

/* The fencing token of all grants: the highest epoch that any own key ever
   had, since a target refuses a lower one than it has seen; 0: none.  */
uint32_t holdings_token (const struct holdings *h);

/* KEY is being handed over: it is not served nor granted.  */
void holdings_close (struct holdings *h, uint32_t key, bool closed);
void holdings_open_all (struct holdings *h);

/* KEY's last holder is about to hand it over: no grant before AT_NS.  */
void holdings_wait (struct holdings *h, uint32_t key, int64_t at_ns);

/* Whether the target surely holds KEY, which is open.  */
bool holdings_serve (const struct holdings *h, uint32_t key, int64_t now_ns);
bool holdings_is_mine (const struct holdings *h, uint32_t key);
bool holdings_is_closed (const struct holdings *h, uint32_t key);

/* The first run at or after FROM of own open keys that no call is under way
   for, if one of them is held for less than LEAST_NS.  False: none.  */
bool holdings_due (const struct holdings *h, uint32_t from, int64_t now_ns,
                   int64_t least_ns, struct key_run *run);

/* The first run at or after FROM of closed keys that the target may hold, and
   no call is under way for.  */
bool holdings_to_release (const struct holdings *h, uint32_t from,
                          int64_t now_ns, struct key_run *run);

/* A grant of RUN is sent.  */
void holdings_sent (struct holdings *h, const struct key_run *run);

/* A release of RUN is sent: the target begins no work on its keys any more,
   also when they are opened again before it answers.  */
void holdings_releasing (struct holdings *h, const struct key_run *run);

/* That grant was answered: it was sent at SENT_NS.  */
void holdings_granted (struct holdings *h, const struct key_run *run,
                       int64_t sent_ns, int64_t hold_ns, int64_t now_ns);

/* The grant got no answer: it may still be applied.  */
void holdings_doubt (struct holdings *h, const struct key_run *run,
                     int64_t hold_ns, int64_t now_ns);

/* The target refused the grant.  */
void holdings_refused (struct holdings *h, const struct key_run *run);

/* The release of RUN was answered, or not.  */
void holdings_released (struct holdings *h, const struct key_run *run,
                        bool answered);

/* Until when the target may hold one of the closed keys; 0: none.  */
int64_t holdings_closed_until (const struct holdings *h);

/* The target says that it does not hold KEY: that may be wrong, but it is to
   be granted anew.  */
void holdings_lost (struct holdings *h, uint32_t key);

/* An earlier run of this node may have granted any key, until UNTIL_NS.  */
void holdings_assume (struct holdings *h, int64_t until_ns);

/* The target started anew: it holds nothing.  */
void holdings_forget (struct holdings *h);

#endif
