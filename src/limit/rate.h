/* Distributed rate limit of an organisation over all nodes of a cell.

   One node is the holder of an organisation's rate: it has the only token
   bucket and grants tokens to the nodes that report their demand.  A node
   takes one token per request, requests what it expects to need until its next
   report, repays its overdraft and returns what it does not need.  Decisions
   are local: no request waits for a message.

   Over any time T the nodes allow at most

     rate x (T + burst) + tokens held at its start + overdrafts,

   where an overdraft is a node's equal share of the rate for one second and at
   least one request, burst is the larger of 1 s and the report interval (500
   ms to 15 s), and tokens held are at most rate x (burst + report interval).
   A node that fails loses its tokens: less is allowed, never more.  A new
   holder starts with an empty bucket.  A node that receives nothing from the
   holder falls back to rate / nodes: while k of n nodes are partitioned from
   it, at most 1 + k / n times the rate is allowed.  */

#ifndef LIMIT_RATE_H
#define LIMIT_RATE_H

#include "base/status.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  RATE_NAME_BYTES = 64,
  RATE_MILLITOKENS = 1000 /* per token */
};

/* From a node to the holder.  */
struct rate_report
{
  char organisation[RATE_NAME_BYTES];
  uint32_t sequence;
  uint32_t requested;   /* tokens the node asks for, in thousandths */
  uint32_t returned;    /* tokens it gives back, in thousandths */
  uint32_t interval_ms; /* since the previous report, set by the holder */
};

/* From the holder to a node.  */
struct rate_grant
{
  char organisation[RATE_NAME_BYTES];
  uint32_t sequence;    /* of the report that it answers */
  uint32_t granted;     /* thousandths of a token */
  uint32_t interval_ms; /* until the next report */
};

/* The node's side.  */

struct rate_node;

/* Create a table of up to ORGANISATIONS_MAX rate-limited organisations.  NULL
   when out of memory.  Free it with rate_node_free.  */
struct rate_node *rate_node_new (uint32_t organisations_max);
void rate_node_free (struct rate_node *n);

/* Take one token of ORGANISATION, which is limited to RATE requests per second
   over NODES nodes.  STATUS_OK; STATUS_LIMITED when the rate is exceeded;
   STATUS_FULL when the table is full and no entry is idle.  */
enum status rate_take (struct rate_node *n, const char *organisation,
                       double rate, uint32_t nodes, int64_t now_ns);

/* Fill in the next report that is due; false when none is.  The caller sends
   it to the organisation's holder.  A lost report or grant loses its
   tokens.  */
bool rate_next_report (struct rate_node *n, struct rate_report *report,
                       int64_t now_ns);

/* The time at which the next report is due; INT64_MAX when none will be.  */
int64_t rate_next_report_ns (const struct rate_node *n);

/* Apply a grant received from the holder.  False when it does not answer the
   last report: it is dropped.  */
bool rate_apply_grant (struct rate_node *n, const struct rate_grant *grant,
                       int64_t now_ns);

/* The holder's side.  */

struct rate_holder;

/* As rate_node_new.  */
struct rate_holder *rate_holder_new (uint32_t organisations_max);
void rate_holder_free (struct rate_holder *h);

/* Answer REPORT, of an organisation that is limited to RATE requests per
   second, with GRANT.  STATUS_FULL, without a grant, when the table is
   full.  */
enum status rate_handle_report (struct rate_holder *h,
                                const struct rate_report *report, double rate,
                                struct rate_grant *grant, int64_t now_ns);

/* The index of the holder of ORGANISATION's rate among COUNT MEMBERS, by
   rendezvous hashing; COUNT is at least 1.  Each node chooses the same member,
   in whatever order the members are.  When a member leaves, only the
   organisations it held get another holder.  */
size_t rate_pick_holder (const char *organisation, const uint64_t *members,
                         size_t count);

#endif
