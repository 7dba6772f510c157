/* The history checker: reads the journals and logs of a test run and finds
   violations of the guarantees.

   The input is any number of text files, whose lines may be of any of these
   kinds:
   - journals of targets: JSON objects with the event begin, end or refuse,
     and ns, target, id, method, path, slot, epoch;
   - journals of `crocusbend load`: JSON objects with the event send or answer;
   - records of changes: JSON objects {"event":"acknowledged","what":NAME,
     "serial":N,"ns":T}, and "observed" in the same form for a value that was
     read;
   - logs of nodes: numbered events with key=value; other lines are ignored.
   All times are CLOCK_BOOTTIME of one machine, in nanoseconds.

   Rules:
   - overlap: two targets ran requests of a key at the same time;
   - epoch: a key (or slot) ran under a lower epoch after a higher one;
   - shared-epoch: two targets ran a key under one epoch;
   - twice: a non-idempotent request began twice;
   - foreign: a caller got the answer to another request;
   - no-run: an answer names a run that its target did not record;
   - not-run: a request that was reported to its caller as not run did run;
   - acknowledged: a lower serial was acknowledged or observed after a higher
     one was acknowledged;
   - revision: a node logged a lower revision after a higher one; 0 stands for
     no document, which a process may log before its first one;
   - written-twice: two members logged that they wrote the same revision;
   - incarnation: two members joined with the same incarnation;
   - malformed: a line cannot be parsed.  */

#ifndef TEST_LIB_HISTORY_H
#define TEST_LIB_HISTORY_H

#include "base/status.h"
#include <stdbool.h>
#include <stdio.h>

struct history;

/* A new, empty history.  With BY_SLOT the epoch rules are checked for slots as
   well; use it only for test runs in which no key was pinned.  */
struct history *history_new (bool by_slot);

void history_free (struct history *h);

/* Read the file PATH into H.  STATUS_NOT_FOUND if it cannot be opened.  */
enum status history_read (struct history *h, const char *path);

/* Write each violation to OUT as "FILE:LINE: RULE: text", ordered by rule,
   and return their number.  */
unsigned history_check (struct history *h, FILE *out);

/* The number of runs at targets and of answers to callers in H.  A history
   without any proves nothing.  */
unsigned history_runs (const struct history *h);
unsigned history_answers (const struct history *h);

/* The number of runs without a caller's token, because the query of their path
   was not recorded.  For these the rule not-run cannot be checked, and the
   rule twice only by request id.  */
unsigned history_runs_without_token (const struct history *h);

#endif
