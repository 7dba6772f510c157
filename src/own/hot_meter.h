/* What a target's thread measures for the agent: the requests of each key and
   how busy the target is.

   One thread counts and one takes; a lock that is nearly always free joins
   them.  */

#ifndef OWN_HOT_METER_H
#define OWN_HOT_METER_H

#include <stddef.h>
#include <stdint.h>

struct hot_meter;

/* Called for each key that was counted, then once with LENGTH 0 for the
   requests of all keys that the sketch dropped.  */
typedef void hot_meter_take_fn (void *arg, const char *key, size_t length,
                                uint32_t requests);

/* A new meter for a target that runs CAPACITY requests at once, or NULL when
   memory is short.  */
struct hot_meter *hot_meter_new (uint32_t capacity);
void hot_meter_free (struct hot_meter *m);

/* A request for KEY starts.  */
void hot_meter_count (struct hot_meter *m, const char *key);

/* From NOW_NS on BUSY requests run or wait.  */
void hot_meter_set_busy (struct hot_meter *m, uint32_t busy, int64_t now_ns);

/* Give the requests counted since the last call to TAKE, and return the load
   until NOW_NS in hundredths of the capacity, 1 or more: requests that run or
   wait, averaged over about a second.  */
uint16_t hot_meter_take (struct hot_meter *m, int64_t now_ns,
                         hot_meter_take_fn *take, void *arg);

#endif
