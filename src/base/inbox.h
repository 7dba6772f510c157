/* A bounded inbox of one thread, filled by many.

   Pointers travel in a Concurrency Kit ring; an eventfd wakes the consumer,
   and is written only while the consumer sleeps.  */

#ifndef BASE_INBOX_H
#define BASE_INBOX_H

#include "base/status.h"
#include <stdbool.h>

struct inbox;

/* The least capacity of an inbox that holds ITEMS.  */
unsigned inbox_capacity_for (unsigned items);

/* A new inbox for up to CAPACITY - 1 pointers; CAPACITY is a power of two.
   NULL when memory or descriptors are short.  */
struct inbox *inbox_new (unsigned capacity);

/* Free IN, which must be empty: what it holds is not freed.  */
void inbox_free (struct inbox *in);

/* Give ITEM to the consumer.  STATUS_FULL when there is no room: the caller
   keeps ITEM.  Any thread.  */
enum status inbox_put (struct inbox *in, void *item);

/* As inbox_put, but waits for room.  For results whose number is bounded by
   the table of the service that asked, so that waiting is the exception.  */
void inbox_put_blocking (struct inbox *in, void *item);

/* The next item, or NULL when there is none.  The consumer's thread only.  */
void *inbox_take (struct inbox *in);

/* The descriptor that becomes readable when inbox_arm_wakeup has been called
   and an item came.  */
int inbox_fd (const struct inbox *in);

/* Ask to be woken.  False when an item is waiting: do not sleep.  */
bool inbox_arm_wakeup (struct inbox *in);

/* After sleeping: clear the wake-up.  */
void inbox_clear_wakeup (struct inbox *in);

/* Wake the consumer although no item was put.  */
void inbox_wake (struct inbox *in);

#endif
