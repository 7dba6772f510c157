#include "route/outcome.h"

enum
{
  HTTP_GATEWAY_TIMEOUT = 504
};

static const char *const words[] = {
#define OUTCOME(name, word) word,
#include "route/outcome.def"
#undef OUTCOME
};

const char *
outcome_word (enum outcome o)
{
  return words[o];
}

unsigned
outcome_http_status (enum outcome o, enum reason r)
{
  if (o == OUTCOME_UNKNOWN)
    return HTTP_GATEWAY_TIMEOUT;
  return reason_http_status (r);
}
