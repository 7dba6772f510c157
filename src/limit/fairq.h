/* Bounded request queues that are fair between organisations.

   Tickets and organisations are kept in tables of fixed size.  For each class
   of requests the organisations with waiting tickets form a ring and are
   served by deficit round robin.  All requests have the same cost, so an
   organisation starts as many requests per turn as its weight.  */

#ifndef LIMIT_FAIRQ_H
#define LIMIT_FAIRQ_H

#include <stdbool.h>
#include <stdint.h>

struct fairq;

/* Lower classes are served first.  */
enum fairq_class
{
  FAIRQ_PAYING_LOOKUP,
  FAIRQ_PAYING,
  FAIRQ_TRIAL_LOOKUP,
  FAIRQ_TRIAL,
  FAIRQ_CLASSES
};

/* Handle with a generation, so that a handle of a freed ticket is invalid.  */
typedef uint32_t fairq_ticket;
#define FAIRQ_NONE UINT32_C (0)

typedef uint32_t fairq_organisation;

enum fairq_state
{
  FAIRQ_FREE,
  FAIRQ_WAITING,
  FAIRQ_RUNNING
};

/* The data of one ticket.  */
struct fairq_entry
{
  enum fairq_state state;
  enum fairq_class class;
  fairq_organisation organisation;
  int64_t deadline_ns;
  uint64_t user_data;
};

enum
{
  FAIRQ_TICKETS_MAX = 60000
};

/* Create queues for up to TICKETS_MAX tickets (at most FAIRQ_TICKETS_MAX) and
   ORGANISATIONS_MAX organisations, besides two shared entries.  NULL when out
   of memory or TICKETS_MAX is out of range.  */
struct fairq *fairq_new (uint32_t tickets_max, uint32_t organisations_max);
void fairq_free (struct fairq *q);

/* The entry of the organisation NAME, added if missing.  When the table is
   full an idle entry is reused.  When none is idle, organisations without an
   entry share one for paying and one for TRIAL organisations.  */
fairq_organisation fairq_find_or_add (struct fairq *q, const char *name,
                                      bool trial);

void fairq_set_policy (struct fairq *q, fairq_organisation o, uint32_t weight,
                       uint32_t in_flight_max);

/* Waiting tickets of O in all classes.  */
uint32_t fairq_waiting (const struct fairq *q, fairq_organisation o);

/* Whether O has fewer requests in flight than its limit.  */
bool fairq_below_limit (const struct fairq *q, fairq_organisation o);

/* Add a waiting ticket; FAIRQ_NONE when the table is full.  */
fairq_ticket fairq_push (struct fairq *q, const struct fairq_entry *entry);

/* The next ticket of class C by round robin, among organisations below their
   limit; FAIRQ_NONE when there is none.  */
fairq_ticket fairq_pick (struct fairq *q, enum fairq_class c);

/* Mark a waiting ticket as running.  */
void fairq_start (struct fairq *q, fairq_ticket t);

/* Free a ticket, waiting or running.  */
void fairq_remove (struct fairq *q, fairq_ticket t);

/* The waiting ticket with the earliest deadline, or FAIRQ_NONE.  */
fairq_ticket fairq_earliest (const struct fairq *q);

/* The newest ticket of the organisation with the most waiting tickets in class
   C, and their number in *COUNT; FAIRQ_NONE when none waits.  */
fairq_ticket fairq_longest (const struct fairq *q, enum fairq_class c,
                            uint32_t *count);

/* The data of ticket T; NULL when the handle is invalid.  */
const struct fairq_entry *fairq_get (const struct fairq *q, fairq_ticket t);

/* The waiting tickets of class C, the organisations that have any, and the
   running tickets.  */
uint32_t fairq_class_waiting (const struct fairq *q, enum fairq_class c);
uint32_t fairq_class_organisations (const struct fairq *q, enum fairq_class c);
uint32_t fairq_class_running (const struct fairq *q, enum fairq_class c);

/* Waiting tickets of O in class C.  */
uint32_t fairq_waiting_in (const struct fairq *q, fairq_organisation o,
                           enum fairq_class c);

#endif
