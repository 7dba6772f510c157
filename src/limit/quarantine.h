/* Which requests are kept from targets because targets end under them.

   A request is known by its content (see attempt_fingerprint).  When a target
   ends, each request that ran there may be the cause.  One that ran on three
   targets that ended, and that no target has answered, is refused for
   QUARANTINE_TERM_NS from the last end on, unless others that were on more
   targets that ended were on all of these; at three ends, unless others were
   on the same ones, until a fourth end tells them apart.  An answer to it,
   from any target, shows that it is harmless and voids the ends that are known
   by then.

   Requests that were on two targets that ended run one content at a time at a
   target, so that a harmless one which came along twice is told apart from the
   cause.

   All nodes merge what they know: the latest ends of a content, and which of
   them are void, so that the order of messages does not matter.

   Does no I/O and reads no clock.  */

#ifndef LIMIT_QUARANTINE_H
#define LIMIT_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define QUARANTINE_TERM_NS (INT64_C (600) * 1000000000)

enum
{
  QUARANTINE_ENTRIES_MAX = 512, /* contents that are remembered */
  QUARANTINE_ENDS_MAX = 8,      /* ends of a content that are remembered */
  QUARANTINE_LABEL_BYTES = 96
};

enum quarantine_verdict
{
  QUARANTINE_FREE,
  QUARANTINE_ALONE,  /* runs beside no other content with this verdict */
  QUARANTINE_REFUSED /* is not sent to targets */
};

/* The end of a target process under a request.  */
struct quarantine_end
{
  uint32_t process; /* hash of the target process's id */
  bool is_void;
  int64_t at_ns;
};

struct quarantine_entry
{
  uint64_t content;
  char label[QUARANTINE_LABEL_BYTES];  /* method and target of the request */
  char caller[QUARANTINE_LABEL_BYTES]; /* its caller's service */
  int64_t last_end_ns;
  uint32_t end_count;
  struct quarantine_end ends[QUARANTINE_ENDS_MAX];
};

struct quarantine;

struct quarantine *quarantine_new (void);
void quarantine_free (struct quarantine *q);

/* Merge ENTRY into what is known.  When there is no room, the entry whose last
   end is the oldest is forgotten.  Return whether anything was new.  */
bool quarantine_merge (struct quarantine *q,
                       const struct quarantine_entry *entry, int64_t now_ns);

enum quarantine_verdict quarantine_check (const struct quarantine *q,
                                          uint64_t content, int64_t now_ns);

/* When the refusal of CONTENT ends.  */
int64_t quarantine_until_ns (const struct quarantine *q, uint64_t content);

/* CONTENT is harmless: a target answered it, or an operator lifts the refusal.
   Void its ends.  Return whether there were any.  */
bool quarantine_void (struct quarantine *q, uint64_t content);

/* The entry of CONTENT, or NULL.  */
const struct quarantine_entry *quarantine_find (const struct quarantine *q,
                                                uint64_t content);

/* Whether nodes that connect are told of ENTRY, and all are told that it is
   void: it is at two ends or more.  Contents at one end are many, as each end
   has as many as ran there, and most get an answer at once.  */
bool quarantine_is_told (const struct quarantine_entry *entry);

/* Forget entries whose term has passed.  */
void quarantine_expire (struct quarantine *q, int64_t now_ns);

/* The number of entries, and entry I.  */
size_t quarantine_count (const struct quarantine *q);
const struct quarantine_entry *quarantine_entry_at (const struct quarantine *q,
                                                    size_t i);

#endif
