#include "mesh/confirm.h"

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
