#include "http/poll_clock.h"

#include "base/clock.h"

static void
on_check (uv_check_t *check)
{
  struct poll_clock *c = (struct poll_clock *)check;
  /* The loop's own time is that of the end of its poll.  */
  int64_t since_poll_ns
      = (int64_t)uv_hrtime () - (int64_t)uv_now (check->loop) * NS_PER_MS;
  c->previous_ns = c->polled_ns;
  c->polled_ns = clock_now_ns () - since_poll_ns;
}

void
poll_clock_init (struct poll_clock *c, uv_loop_t *loop)
{
  uv_check_init (loop, &c->check);
  uv_check_start (&c->check, on_check);
  uv_unref ((uv_handle_t *)&c->check);
  c->polled_ns = clock_now_ns ();
  c->previous_ns = c->polled_ns;
}

void
poll_clock_close (struct poll_clock *c, uv_close_cb closed)
{
  uv_close ((uv_handle_t *)&c->check, closed);
}

int64_t
poll_clock_unread_ns (const struct poll_clock *c, int64_t now_ns)
{
  return now_ns - c->previous_ns;
}

int64_t
poll_clock_busy_ns (const struct poll_clock *c, int64_t now_ns)
{
  return now_ns - c->polled_ns;
}

static void
on_idle (uv_idle_t *idle)
{
  (void)idle;
}

static void
on_after_poll (uv_check_t *check)
{
  struct after_poll *a = check->data;
  uv_check_stop (check);
  uv_idle_stop (&a->idle);
  a->run (a->arg);
}

void
after_poll_init (struct after_poll *a, uv_loop_t *loop, after_poll_fn *run,
                 void *arg)
{
  uv_check_init (loop, &a->check);
  uv_idle_init (loop, &a->idle);
  a->check.data = a;
  a->run = run;
  a->arg = arg;
}

void
after_poll_schedule (struct after_poll *a)
{
  uv_check_start (&a->check, on_after_poll);
  uv_idle_start (&a->idle, on_idle);
}
