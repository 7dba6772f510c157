/* The terms that a target states in its answers: how many requests it takes,
   and whether it leaves.

   The node beside the target is the only one that sends to it, and keeps the
   terms for all nodes.  It loses them when it restarts.  Each other node
   remembers what the last result of that node said, and sends it along with
   its requests: so none of its requests reaches the target under terms that
   the node itself knows to be outdated.

   Does no I/O and reads no clock.  */

#ifndef MESH_TERMS_H
#define MESH_TERMS_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  TARGET_ID_BYTES = 80
};

struct target_terms
{
  bool known;   /* stated by an answer; otherwise nothing else counts */
  bool limited; /* it takes at most RATE_MAX requests a second from all nodes
                   together */
  double rate_max;
  bool leaving; /* it takes no new requests */
  /* The target process that stated them, if LIMITED or LEAVING.  */
  char target_id[TARGET_ID_BYTES];
  int64_t started_ms; /* wall time of its start; 0: not known */
};

/* What the node beside a target knows.  */
struct stated_terms
{
  struct target_terms terms;
  /* When a limit, and when no limit, was last stated or adopted.  */
  int64_t limit_ns;
  int64_t no_limit_ns;
};

/* Whether a sender of requests has nothing to heed.  */
bool target_terms_plain (const struct target_terms *t);

/* Whether A and B are the same to a sender of requests.  */
bool target_terms_equal (const struct target_terms *a,
                         const struct target_terms *b);

/* Whether T are those of the target process ID that started at STARTED_MS.  */
bool target_terms_concern (const struct target_terms *t, const char *id,
                           int64_t started_ms);

/* The target is another process from NOW_NS on.  */
void stated_terms_reset (struct stated_terms *s, int64_t now_ns);

/* The answer to a request that was sent at SENT_NS states TERMS.  False if it
   tells nothing new, because it may be older than what is known.  *SINCE_NS is
   when the limit that was in force so far was last stated.  */
bool stated_terms_learn (struct stated_terms *s,
                         const struct target_terms *terms, int64_t sent_ns,
                         int64_t now_ns, int64_t *since_ns);

/* Another node remembers TERMS of this target process.  False if they are not
   used, because the target has stated some to this node.  */
bool stated_terms_adopt (struct stated_terms *s,
                         const struct target_terms *terms, int64_t now_ns);

/* A result of the node beside a target carries TERMS; MEMORY is what another
   node remembers.  False if that does not change.  */
bool target_terms_remember (struct target_terms *memory,
                            const struct target_terms *terms);

#endif
