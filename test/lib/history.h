/* The history checker: reads what a run left behind and finds what must never
   happen.

   Input are text files of lines, in any mix:
   - journals of targets: JSON objects with the event begin, end or refuse,
     and ns, target, id, method, path, slot, epoch;
   - journals of `crocusbend load`: JSON objects with the event send or answer;
   - records of changes: JSON objects {"event":"acknowledged","what":NAME,
     "serial":N,"ns":T}, and "observed" in the same form for a value that was
     read;
   - logs of nodes: numbered events with key=value; other lines are left out.
   All times are of one machine's CLOCK_BOOTTIME, in nanoseconds.

   Rules:
   - overlap: two targets ran a key in overlapping periods;
   - epoch: a key (or slot) ran under a lower epoch after a higher one;
   - shared-epoch: two targets ran a key under one epoch;
   - twice: a non-idempotent request began twice;
   - foreign: an answer is another request's;
   - no-run: an answer names a run that its target did not record;
   - not-run: a request that was refused as not run, ran;
   - acknowledged: a lower serial was acknowledged or observed after a higher
     one was acknowledged;
   - revision: a node went back to a lower revision;
   - written-twice: two members were told that they wrote one revision;
   - incarnation: two members joined under one incarnation;
   - malformed: a line cannot be read.  */

#ifndef TEST_LIB_HISTORY_H
#define TEST_LIB_HISTORY_H

#include "base/status.h"
#include <stdbool.h>
#include <stdio.h>

struct history;

/* An empty history.  With BY_SLOT the epoch rules hold for slots as well: for
   runs in which no key was pinned.  */
struct history *history_new (bool by_slot);

/* Free H.  */
void history_free (struct history *h);

/* Read the file PATH into H.  STATUS_NOT_FOUND when it cannot be opened.  */
enum status history_read (struct history *h, const char *path);

/* Write each violation to OUT as "FILE:LINE: RULE: text", ordered by rule,
   and return their number.  */
unsigned history_check (struct history *h, FILE *out);

/* How many runs of targets and answers to callers H holds: a history without
   them proves nothing.  */
unsigned history_runs (const struct history *h);
unsigned history_answers (const struct history *h);

/* How many runs name no caller's token (the query of their path was not
   recorded): for them the rule not-run cannot be checked, and the rule twice
   only by request id.  */
unsigned history_runs_without_token (const struct history *h);

#endif
