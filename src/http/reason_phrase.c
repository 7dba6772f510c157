#include "http/reason_phrase.h"

#include <http_parser.h>

const char *
reason_phrase (int status)
{
  switch (status)
    {
#define PHRASE(number, name, text)                                            \
  case number:                                                                \
    return #text;
      HTTP_STATUS_MAP (PHRASE)
#undef PHRASE
    default:
      return "Status";
    }
}
