/* Measures, in the thread of a target, the requests of each key and the
   target's load, for the agent.

   One thread records and another one reads.  They share a mutex, which is
   hardly ever contended.  */

#ifndef OWN_HOT_METER_H
#define OWN_HOT_METER_H

#include <stddef.h>
#include <stdint.h>

struct hot_meter;

/* Called for each counted key, then once with LENGTH 0 and the number of all
   other requests.  */
typedef void hot_meter_count_fn (void *arg, const char *key, size_t length,
                                 uint32_t requests);

/* Return a new meter for a target that runs CAPACITY requests at once, or NULL
   when memory is short.  */
struct hot_meter *hot_meter_new (uint32_t capacity);
void hot_meter_free (struct hot_meter *m);

/* Count a request for KEY.  */
void hot_meter_count (struct hot_meter *m, const char *key);

/* From NOW_NS on, BUSY requests are running or queued.  */
void hot_meter_set_busy (struct hot_meter *m, uint32_t busy, int64_t now_ns);

/* Pass the requests counted since the last call to REPORT.  Return the load in
   hundredths of the capacity, 1 or more: an exponentially weighted moving
   average, over about 1 s, of the requests that are running or queued.  */
uint16_t hot_meter_collect (struct hot_meter *m, int64_t now_ns,
                            hot_meter_count_fn *report, void *arg);

#endif
