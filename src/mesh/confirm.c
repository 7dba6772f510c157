#include "mesh/confirm.h"

#include "base/clock.h"
#include <string.h>
#include <xxhash.h>

/* Of the time within which a version must be in force: the wait of a watch,
   and the age of the last confirmation from which the first and the last node
   of a group ask the store.  A call that gets no answer takes up to 0.6 s, and
   a second one still fits into the rest of 2 s.  */
#define WAIT_PCT 40
#define ASK_MIN_PCT 50
#define ASK_MAX_PCT 60
#define PERCENT 100
/* The source of a group reports to this many nodes about once a second.  */
#define GROUP_NODES_MAX 32

static void
keep_newer (struct confirmation *kept, const struct confirmation *n)
{
  if (n->at_ns > kept->at_ns)
    *kept = *n;
}

void
confirm_add (struct confirm *c, const struct confirmation *n, bool own)
{
  if (own)
    keep_newer (&c->own, n);
  keep_newer (n->version <= c->version ? &c->best : &c->next, n);
}

bool
confirm_announce (struct confirm *c, uint64_t version, int64_t now_ns)
{
  if (version <= c->version || version <= c->announced)
    return false;
  c->announced = version;
  c->announced_ns = now_ns;
  return true;
}

struct confirm_delay
confirm_apply (struct confirm *c, uint64_t version, int64_t now_ns)
{
  struct confirm_delay delay = {
    .late_ns = c->best.at_ns == 0 ? 0 : now_ns - c->best.at_ns,
    .announced_ns = c->announced == version ? now_ns - c->announced_ns : 0,
  };
  c->version = version;
  if (c->next.version <= version)
    {
      keep_newer (&c->best, &c->next);
      c->next = (struct confirmation){ 0 };
    }
  return delay;
}

int64_t
confirm_age_ns (const struct confirm *c, int64_t now_ns)
{
  return c->best.at_ns == 0 ? INT64_MAX : now_ns - c->best.at_ns;
}

struct confirm_times
confirm_times (uint32_t apply_ms)
{
  int64_t apply_ns = apply_ms * NS_PER_MS;
  return (struct confirm_times){ apply_ns * WAIT_PCT / PERCENT,
                                 apply_ns * ASK_MIN_PCT / PERCENT,
                                 apply_ns * ASK_MAX_PCT / PERCENT };
}

/* A power of two, so that nodes that count a few nodes more or less mostly
   agree.  */
unsigned
confirm_parts (unsigned zone_nodes)
{
  unsigned parts = 1;
  while (zone_nodes > parts * GROUP_NODES_MAX)
    parts *= 2;
  return parts;
}

static uint64_t
order_of (const char *name)
{
  return XXH64 (name, strlen (name), 0);
}

bool
confirm_same_group (const char *a, const char *b, unsigned parts)
{
  return ((order_of (a) ^ order_of (b)) & (parts - 1)) == 0;
}

void
confirm_group_add (struct confirm_group *g, const char *name,
                   int64_t confirmed_ns, const struct confirm_times *t,
                   int64_t now_ns)
{
  if (!confirm_same_group (g->own_name, name, g->parts))
    return;
  g->nodes++;
  if (order_of (name) >= order_of (g->own_name))
    return;
  g->earlier++;
  if (confirmed_ns != 0 && now_ns - confirmed_ns < t->ask_min_ns)
    g->earlier_source = true;
}

int64_t
confirm_ask_ns (const struct confirm_group *g, const struct confirm_times *t)
{
  return t->ask_min_ns
         + (t->ask_max_ns - t->ask_min_ns) * g->earlier / g->nodes;
}

bool
confirm_should_watch (const struct confirm *c, const struct confirm_group *g,
                      const struct confirm_times *t, bool watches,
                      int64_t now_ns)
{
  if (watches && !g->earlier_source)
    return true;
  return confirm_age_ns (c, now_ns) >= confirm_ask_ns (g, t);
}
