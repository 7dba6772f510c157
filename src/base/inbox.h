/* A bounded queue of pointers with many producers and one consumer.

   The queue is a Concurrency Kit ring.  An eventfd wakes the consumer; it is
   written only when the consumer has armed it, to save system calls.  */

#ifndef BASE_INBOX_H
#define BASE_INBOX_H

#include "base/status.h"
#include <stdbool.h>

struct inbox;

/* The smallest valid capacity of an inbox that holds ITEMS pointers.  */
unsigned inbox_capacity_for (unsigned items);

/* A new inbox for up to CAPACITY - 1 pointers; CAPACITY is a power of two.
   NULL if out of memory or file descriptors.  */
struct inbox *inbox_new (unsigned capacity);

/* Free IN, which must be empty, as its items are not freed, or NULL.  */
void inbox_free (struct inbox *in);

/* Append ITEM.  On STATUS_FULL the caller keeps the ownership of ITEM.
   Callable from any thread.  */
enum status inbox_put (struct inbox *in, void *item);

/* The same, but retries until there is room.  For replies, whose number is
   bounded by the request table of the service that gets them, so that the
   inbox is rarely full.  */
void inbox_put_blocking (struct inbox *in, void *item);

/* Remove and return the oldest item, or NULL if the inbox is empty.  Only for
   the consumer, like the functions on the wake-up.  */
void *inbox_take (struct inbox *in);

/* The file descriptor that becomes readable when an item is put after
   inbox_arm_wakeup, and after inbox_wake.  */
int inbox_fd (const struct inbox *in);

/* Request a wake-up before polling.  False if the inbox is not empty: the
   consumer must not sleep then.  */
bool inbox_arm_wakeup (struct inbox *in);

/* Disarm the wake-up and reset the descriptor, after polling.  */
void inbox_clear_wakeup (struct inbox *in);

/* Wake the consumer without an item.  Callable from any thread.  */
void inbox_wake (struct inbox *in);

#endif
