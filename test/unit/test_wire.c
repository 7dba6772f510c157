/* Tests of the messages between nodes.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "wire/wire.h"

static const struct wire_message request = {
  .kind = WIRE_REQUEST,
  .id = 7,
  .incarnation = 3,
  .epoch = 12,
  .slot = 99,
  .time_ns = 123456789012,
  .request_id = UINT64_MAX,
  .idempotent = true,
  .depth = 1,
  .method = "POST",
  .key = "cell-7",
  .path = "/v1/telemetry/cell-7?x=1",
  .organisation = "sinar",
  .content_type = "application/json",
};

static const struct wire_message answer = {
  .kind = WIRE_ANSWER,
  .id = 7,
  .outcome = OUTCOME_NOT_RUN,
  .reason = REASON_MOVING,
  .http_status = 503,
  .content_type = "text/plain",
};

static void
assert_round_trip (const struct wire_message *m)
{
  char buffer[WIRE_HEADER_BYTES];
  struct wire_message decoded;
  size_t length;
  assert_int_equal (wire_encode (m, buffer, &length), STATUS_OK);
  assert_int_equal (wire_decode (&decoded, buffer, length), STATUS_OK);
  assert_memory_equal (&decoded, m, sizeof decoded);
}

static void
messages_round_trip (void **state)
{
  (void)state;
  assert_round_trip (&request);
  assert_round_trip (&answer);
}

static void
empty_strings_round_trip (void **state)
{
  struct wire_message empty = answer;
  (void)state;
  memset (empty.content_type, 0, sizeof empty.content_type);
  assert_round_trip (&empty);
}

static void
truncated_messages_are_rejected (void **state)
{
  char buffer[WIRE_HEADER_BYTES];
  struct wire_message decoded;
  size_t length;
  (void)state;
  assert_int_equal (wire_encode (&request, buffer, &length), STATUS_OK);
  for (size_t truncated_length = 0; truncated_length < length;
       truncated_length++)
    assert_int_equal (wire_decode (&decoded, buffer, truncated_length),
                      STATUS_INVALID);
  assert_int_equal (wire_decode (&decoded, buffer, length + 1),
                    STATUS_INVALID);
}

static void
other_versions_are_rejected (void **state)
{
  char buffer[WIRE_HEADER_BYTES];
  struct wire_message decoded;
  size_t length;
  (void)state;
  assert_int_equal (wire_encode (&answer, buffer, &length), STATUS_OK);
  buffer[1] = WIRE_VERSION + 1;
  assert_int_equal (wire_decode (&decoded, buffer, length), STATUS_STALE);
}

/* Each change of a single byte is decoded as some message or rejected.  The
   sanitizers check that no read goes past the end of the data.  */
static void
corrupted_messages_are_handled_safely (void **state)
{
  char encoded[WIRE_HEADER_BYTES];
  struct wire_message decoded;
  size_t length;
  unsigned rejected = 0;
  (void)state;
  assert_int_equal (wire_encode (&request, encoded, &length), STATUS_OK);
  for (size_t offset = 0; offset < length; offset++)
    for (unsigned value = 0; value < 256; value++)
      {
        char *corrupted = malloc (length);
        memcpy (corrupted, encoded, length);
        corrupted[offset] = (char)value;
        if (wire_decode (&decoded, corrupted, length) != STATUS_OK)
          rejected++;
        free (corrupted);
      }
  assert_true (rejected > length);
}

static void
message_length_is_limited (void **state)
{
  struct wire_message m = request;
  char buffer[WIRE_HEADER_BYTES];
  size_t length;
  (void)state;
  memset (m.path, 'p', sizeof m.path - 1);
  assert_int_equal (wire_encode (&m, buffer, &length), STATUS_OK);
  assert_int_equal (wire_decode (&m, buffer, length), STATUS_OK);
  assert_int_equal (wire_decode (&m, buffer, WIRE_HEADER_BYTES + 1),
                    STATUS_INVALID);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (messages_round_trip),
    cmocka_unit_test (empty_strings_round_trip),
    cmocka_unit_test (truncated_messages_are_rejected),
    cmocka_unit_test (other_versions_are_rejected),
    cmocka_unit_test (corrupted_messages_are_handled_safely),
    cmocka_unit_test (message_length_is_limited),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
