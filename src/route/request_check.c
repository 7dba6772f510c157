#include "route/request_check.h"
#include "base/counter.h"
#include "base/log.h"
#include "http/reader.h"

#include <stdint.h>
#include <string.h>
#include <strings.h>

struct check
{
  enum http_fault fault;
  unsigned length_count;
  unsigned coding_count;
  unsigned host_count;
};

static void
fail (struct check *c, enum http_fault fault)
{
  if (c->fault == HTTP_FAULT_NONE)
    c->fault = fault;
}

static enum MHD_Result
check_field (void *arg, enum MHD_ValueKind kind, const char *name,
             size_t name_size, const char *value, size_t value_size)
{
  struct check *c = arg;
  uint64_t length;
  (void)kind;
  if (!http_is_token (name, name_size))
    fail (c, HTTP_FAULT_FIELD_NAME);
  else if (!http_is_field_value (value, value_size)
           || (strcasecmp (name, "Host") == 0 && c->host_count++ > 0))
    fail (c, HTTP_FAULT_FIELD_VALUE);
  else if (strcasecmp (name, "Content-Length") == 0
           && (c->length_count++ > 0
               || !http_parse_length (value, value_size, &length)))
    fail (c, HTTP_FAULT_LENGTH);
  else if (strcasecmp (name, "Transfer-Encoding") == 0
           && (c->coding_count++ > 0 || strcasecmp (value, "chunked") != 0))
    fail (c, HTTP_FAULT_CODING);
  return MHD_YES;
}

static bool
report (const struct check *c)
{
  if (c->fault == HTTP_FAULT_NONE)
    return true;
  counter_add (COUNTER_requests_malformed_total, 1);
  log_event (EV_REQUEST_MALFORMED, "fault=%s", http_fault_word (c->fault));
  return false;
}

bool
request_check_head (struct MHD_Connection *connection, const char *method)
{
  struct check c = { 0 };
  if (!http_is_token (method, strlen (method)))
    fail (&c, HTTP_FAULT_START_LINE);
  MHD_get_connection_values_n (connection, MHD_HEADER_KIND, check_field, &c);
  if (c.length_count > 0 && c.coding_count > 0)
    fail (&c, HTTP_FAULT_LENGTH);
  return report (&c);
}

bool
request_check_trailer (struct MHD_Connection *connection)
{
  struct check c = { 0 };
  MHD_get_connection_values_n (connection, MHD_FOOTER_KIND, check_field, &c);
  return report (&c);
}
