#include "limit/reason.h"

struct reason_entry
{
  const char *word;
  unsigned http_status;
  unsigned retry_after_s;
  const char *text;
};

static const struct reason_entry catalogue[] = {
#define REASON(name, word, http, retry, text) { word, http, retry, text },
#include "limit/reason.def"
#undef REASON
};

const char *
reason_word (enum reason r)
{
  return catalogue[r].word;
}

const char *
reason_text (enum reason r)
{
  return catalogue[r].text;
}

unsigned
reason_http_status (enum reason r)
{
  return catalogue[r].http_status;
}

unsigned
reason_retry_after_s (enum reason r)
{
  return catalogue[r].retry_after_s;
}
