/* How long input may have waited for a loop.

   While callbacks run, bytes that arrive wait in the kernel until the loop
   polls again.  What a callback reads has therefore arrived since an earlier
   poll, unless its socket was not watched.  A poll that a signal interrupts,
   as when a stopped process goes on, reports nothing, so the one before it
   counts.  */

#ifndef HTTP_POLL_CLOCK_H
#define HTTP_POLL_CLOCK_H

#include <stdint.h>
#include <uv.h>

struct poll_clock
{
  uv_check_t check;
  int64_t polled_ns;   /* end of the last poll whose callbacks have all run */
  int64_t previous_ns; /* end of the poll before that */
};

/* Does not keep LOOP alive.  */
void poll_clock_init (struct poll_clock *c, uv_loop_t *loop);

/* CLOSED may be NULL; its handle is &C->check.  */
void poll_clock_close (struct poll_clock *c, uv_close_cb closed);

/* How long input may have waited, at most, that was not read before this
   callback.  */
int64_t poll_clock_unread_ns (const struct poll_clock *c, int64_t now_ns);

/* How long the loop has not polled.  */
int64_t poll_clock_busy_ns (const struct poll_clock *c, int64_t now_ns);

/* Work that runs once the loop has read all input that there is.  */
typedef void after_poll_fn (void *arg);
struct after_poll
{
  uv_check_t check; /* active while the work is due */
  uv_idle_t idle;   /* the same: the loop does not sleep meanwhile */
  after_poll_fn *run;
  void *arg;
};

void after_poll_init (struct after_poll *a, uv_loop_t *loop,
                      after_poll_fn *run, void *arg);

/* Run it once after the next poll.  Within a callback for input that is this
   poll.  */
void after_poll_schedule (struct after_poll *a);

#endif
