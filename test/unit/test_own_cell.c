/* Tests of the cell document and the lease messages: round trips, and
   rejection of malformed input.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "own/cell.h"
#include "own/lease_msg.h"

static const char document[]
    = "{\"version\":1,\"service\":\"stock\",\"serial\":7,\"change\":\"c\","
      "\"next_incarnation\":4,\"slot_count\":8,\"members\":["
      "{\"incarnation\":1,\"state\":\"active\",\"guardian\":2,\"second\":3,"
      "\"guardian_epoch\":5,\"weight\":9,\"callers\":[\"10.0.0.1\",80],"
      "\"peers\":[\"10.0.0.1\",81],\"name\":\"n1\",\"zone\":\"a\",\"rack\":"
      "\"\",\"place\":\"p1\"},"
      "{\"incarnation\":2,\"state\":\"leaving\",\"guardian\":0,\"second\":0,"
      "\"guardian_epoch\":2,\"weight\":9,\"callers\":[\"::1\",80],"
      "\"peers\":[\"::1\",81],\"name\":\"n2\",\"zone\":\"b\",\"rack\":\"r\","
      "\"place\":\"p2\"},"
      "{\"incarnation\":3,\"state\":\"joining\",\"guardian\":1,\"second\":0,"
      "\"guardian_epoch\":7,\"weight\":9,\"callers\":[\"10.0.0.3\",80],"
      "\"peers\":[\"10.0.0.3\",81],\"name\":\"n3\",\"zone\":\"c\",\"rack\":"
      "\"\",\"place\":\"p3\"}],"
      "\"slots\":[0,1,3,5,2,7,6,0,4],\"pins\":[[\"aGFsbA==\",2,6],"
      "[\"aG90\",1,6,1]]}";

static enum status
parse (const char *text, struct cell **cell)
{
  *cell = NULL;
  return cell_parse (text, strlen (text), cell);
}

static void
document_is_read_back (void **state)
{
  (void)state;
  struct cell *cell;
  struct cell *again;
  size_t length;
  assert_int_equal (parse (document, &cell), STATUS_OK);
  assert_int_equal (cell->member_count, 3);
  assert_int_equal (cell->slots[4].owner, 1);
  assert_int_equal (cell->slots[5].owner, 2);
  assert_int_equal (cell->slots[7].owner, 0);
  struct cell_owner o = cell_owner_of (cell, "hall", 4);
  assert_int_equal (o.incarnation, 2);
  assert_false (cell_find_pin (cell, "hall", 4)->hot);
  assert_true (cell_find_pin (cell, "hot", 3)->hot);
  /* The epoch of a pin is never below that of its slot.  */
  uint32_t slot_epoch = cell->slots[o.slot].epoch;
  assert_int_equal (o.epoch, slot_epoch > 6 ? slot_epoch : 6);
  char *json = cell_format (cell, &length);
  assert_string_equal (json, document);
  assert_int_equal (cell_parse (json, length, &again), STATUS_OK);
  assert_memory_equal (cell, again, sizeof *cell);
  free (json);
  free (cell);
  free (again);
}

/* Each of these edits makes the document above invalid.  */
static const struct
{
  const char *from;
  const char *to;
} invalid_edits[] = {
  { "\"version\":1", "\"version\":2" },
  { "\"version\":1", "\"version\":1,\"more\":0" },
  { "\"version\":1,", "" },
  { "\"version\":1,", "\"version\":1,\"version\":1," },
  { "\"serial\":7", "\"serial\":0" },
  { "\"serial\":7", "\"serial\":-7" },
  { "\"serial\":7", "\"serial\":4294967296" },
  { "\"serial\":7", "\"serial\":6" },
  { "\"serial\":7", "\"serial\":\"7\"" },
  { "\"next_incarnation\":4", "\"next_incarnation\":3" },
  { "\"slot_count\":8", "\"slot_count\":0" },
  { "\"slot_count\":8", "\"slot_count\":4097" },
  { "\"slot_count\":8", "\"slot_count\":6" },
  { "\"incarnation\":2", "\"incarnation\":1" },
  { "\"incarnation\":1", "\"incarnation\":0" },
  { "\"state\":\"active\"", "\"state\":\"dead\"" },
  { "\"guardian\":2", "\"guardian\":1" },
  { "\"guardian\":2", "\"guardian\":9" },
  { "\"guardian\":2", "\"guardian\":0" },
  { "\"guardian\":2", "\"guardian\":3" },
  { "\"second\":3", "\"second\":1" },
  { "\"second\":3", "\"second\":9" },
  { "\"guardian_epoch\":5", "\"guardian_epoch\":8" },
  { "\"weight\":9", "\"weight\":0" },
  { "\"10.0.0.1\",80", "\"localhost\",80" },
  { "\"10.0.0.1\",80", "\"10.0.0.1\",0" },
  { "\"10.0.0.1\",80", "\"10.0.0.1\",65536" },
  { "\"10.0.0.1\",80", "\"10.0.0.1\",80,1" },
  { "\"place\":\"p1\"", "\"place\":null" },
  { "[0,1,3,5,2,7,6,0,4]", "[]" },
  { "[0,1,3,5,2,7,6,0,4]", "[1,1,3]" },
  { "[0,1,3,5,2,7,6,0,4]", "[0,1,3,5,2]" },
  { "[0,1,3,5,2,7,6,0,4]", "[0,1,3,5,2,7,5,0,4]" },
  { "[0,1,3,5,2,7,6,0,4]", "[0,1,3,8,2,7]" },
  { "[0,1,3,5,2,7,6,0,4]", "[0,9,3]" },
  { "[0,1,3,5,2,7,6,0,4]", "[0,1,8]" },
  { "[0,1,3,5,2,7,6,0,4]", "[0,1,null]" },
  { "[[\"aGFsbA==\",2,6],[\"aG90\",1,6,1]]", "[[\"\",2,6]]" },
  { "[[\"aGFsbA==\",2,6],[\"aG90\",1,6,1]]", "[[\"aGFsbA==\",9,6]]" },
  { "[[\"aGFsbA==\",2,6],[\"aG90\",1,6,1]]", "[[\"aGFsbA==\",2,8]]" },
  { "[[\"aGFsbA==\",2,6],[\"aG90\",1,6,1]]",
    "[[\"aGFsbA==\",2,6],[\"aGFsbA==\",1,6]]" },
  { "[[\"aGFsbA==\",2,6],[\"aG90\",1,6,1]]", "{}" },
  { "[\"aG90\",1,6,1]", "[\"aG90\",1,6,2]" },
  { "[\"aG90\",1,6,1]", "[\"aG90\",1,6,1,1]" },
};

static void
malformed_document_is_refused (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof invalid_edits / sizeof invalid_edits[0]; i++)
    {
      char text[sizeof document + 64];
      const char *found = strstr (document, invalid_edits[i].from);
      assert_non_null (found);
      snprintf (text, sizeof text, "%.*s%s%s", (int)(found - document),
                document, invalid_edits[i].to,
                found + strlen (invalid_edits[i].from));
      struct cell *cell;
      if (parse (text, &cell) != STATUS_INVALID)
        fail_msg ("taken: %s -> %s", invalid_edits[i].from,
                  invalid_edits[i].to);
      assert_null (cell);
    }
}

/* A document with one flipped bit that is still accepted must be consistent
   enough to be formatted and parsed again.  */
static void
damaged_document_is_harmless (void **state)
{
  (void)state;
  uint32_t refused = 0;
  for (size_t at = 0; at + 1 < sizeof document; at++)
    for (int bit = 0; bit < 8; bit++)
      {
        char text[sizeof document];
        struct cell *cell;
        struct cell *again;
        size_t length;
        memcpy (text, document, sizeof document);
        text[at] = (char)(text[at] ^ (1 << bit));
        if (cell_parse (text, sizeof document - 1, &cell) != STATUS_OK)
          {
            refused++;
            continue;
          }
        char *json = cell_format (cell, &length);
        assert_int_equal (cell_parse (json, length, &again), STATUS_OK);
        free (json);
        free (cell);
        free (again);
      }
  assert_true (refused > sizeof document);
  for (size_t length = 0; length + 1 < sizeof document; length++)
    {
      struct cell *cell;
      assert_int_equal (cell_parse (document, length, &cell), STATUS_INVALID);
    }
}

static void
changes_check_their_preconditions (void **state)
{
  (void)state;
  struct cell *cell;
  uint32_t incarnation;
  assert_int_equal (parse (document, &cell), STATUS_OK);
  struct cell_member self = cell->members[0];
  cell_begin_change (cell, "x");
  assert_int_equal (cell->serial, 8);
  assert_int_equal (cell_join (cell, &self, 0, &incarnation), STATUS_INVALID);
  assert_int_equal (cell_join (cell, &self, 9, &incarnation), STATUS_INVALID);
  assert_int_equal (cell_set_guardian (cell, 1, 1), STATUS_INVALID);
  assert_int_equal (cell_set_guardian (cell, 9, 1), STATUS_NOT_FOUND);
  assert_int_equal (cell_set_second_guardian (cell, 1, 2), STATUS_INVALID);
  assert_int_equal (cell_set_second_guardian (cell, 2, 1), STATUS_INVALID);
  assert_int_equal (cell_activate (cell, 2), STATUS_INVALID);
  assert_int_equal (cell_move_slot (cell, 0, 2, 3), STATUS_CONFLICT);
  assert_int_equal (cell_move_slot (cell, 8, 2, 3), STATUS_NOT_FOUND);
  assert_int_equal (cell_move_slot (cell, 0, 1, 9), STATUS_NOT_FOUND);
  assert_int_equal (cell_pin (cell, "hall", 4, 1, 3), STATUS_CONFLICT);
  assert_int_equal (cell_remove (cell, 1, 1), STATUS_INVALID);
  assert_int_equal (cell_replace (cell, 9, &self, &incarnation),
                    STATUS_NOT_FOUND);
  assert_int_equal (cell_replace (cell, 1, &self, &incarnation), STATUS_OK);
  assert_int_equal (incarnation, 4);
  assert_int_equal (cell->slots[0].owner, 4);
  assert_int_equal (cell->slots[0].epoch, 8);
  assert_int_equal (cell_member (cell, 3)->guardian, 4);
  assert_int_equal (cell_member (cell, 3)->guardian_epoch, 8);
  free (cell);
}

static void
message_is_read_back (void **state)
{
  (void)state;
  struct lease_msg most = { UINT32_MAX, LEASE_RELEASE, UINT32_MAX, UINT32_MAX,
                            UINT32_MAX, UINT32_MAX,    UINT32_MAX, UINT32_MAX,
                            UINT8_MAX,  UINT8_MAX,     UINT8_MAX };
  struct lease_msg msg;
  char buffer[LEASE_MSG_BYTES];
  size_t length = lease_msg_encode (&most, buffer);
  assert_in_range (length, 1, LEASE_MSG_BYTES);
  assert_int_equal (lease_msg_decode (buffer, length, &msg), STATUS_OK);
  /* Field by field: the padding of the two structures may differ.  */
  assert_true (msg.cell_hash == most.cell_hash);
  assert_true (msg.kind == most.kind);
  assert_true (msg.sender == most.sender);
  assert_true (msg.receiver == most.receiver);
  assert_true (msg.epoch == most.epoch);
  assert_true (msg.sequence == most.sequence);
  assert_true (msg.subject == most.subject);
  assert_true (msg.serial == most.serial);
  assert_true (msg.load == most.load);
  assert_true (msg.subject_load == most.subject_load);
  assert_true (msg.subject_load_age == most.subject_load_age);
}

static void
other_datagrams_are_refused (void **state)
{
  (void)state;
  struct lease_msg sent
      = { .cell_hash = 5, .kind = LEASE_GRANT, .sender = 300 };
  struct lease_msg msg;
  char buffer[LEASE_MSG_BYTES + 1] = "";
  size_t length = lease_msg_encode (&sent, buffer);
  for (size_t cut = 0; cut < length; cut++)
    assert_int_equal (lease_msg_decode (buffer, cut, &msg), STATUS_INVALID);
  assert_int_equal (lease_msg_decode (buffer, length + 1, &msg),
                    STATUS_INVALID);
  assert_int_equal (lease_msg_decode (buffer, sizeof buffer, &msg),
                    STATUS_INVALID);
  /* Unknown version, then unknown kind.  */
  buffer[1] = (char)(buffer[1] + 16);
  assert_int_equal (lease_msg_decode (buffer, length, &msg), STATUS_INVALID);
  buffer[1] = (char)(16 + LEASE_MSG_KINDS);
  assert_int_equal (lease_msg_decode (buffer, length, &msg), STATUS_INVALID);
  uint32_t random = 1;
  for (int i = 0; i < 100000; i++)
    {
      for (size_t k = 0; k < LEASE_MSG_BYTES; k++)
        {
          random = random * 1664525 + 1013904223;
          buffer[k] = (char)(random >> 24);
        }
      lease_msg_decode (buffer, random % (LEASE_MSG_BYTES + 1), &msg);
    }
}

static void
first_numbers_bound_their_slots (void **state)
{
  static const uint32_t sizes[][2]
      = { { 512, 65536 }, { 7, 100 }, { 8, 8 }, { 1, 3 } };
  (void)state;
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      struct cell *cell = cell_new ("stock", sizes[i][0]);
      cell->key_space = sizes[i][1];
      for (uint32_t s = 0; s < cell->slot_count; s++)
        {
          uint32_t first = cell_first_key_number (cell, s);
          uint32_t end = cell_first_key_number (cell, s + 1);
          assert_true (first < end);
          assert_int_equal (cell_slot_of_number (cell, first), s);
          assert_int_equal (cell_slot_of_number (cell, end - 1), s);
        }
      assert_int_equal (cell_first_key_number (cell, 0), 0);
      assert_int_equal (cell_first_key_number (cell, cell->slot_count),
                        cell->key_space);
      free (cell);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (first_numbers_bound_their_slots),
    cmocka_unit_test (document_is_read_back),
    cmocka_unit_test (malformed_document_is_refused),
    cmocka_unit_test (damaged_document_is_harmless),
    cmocka_unit_test (changes_check_their_preconditions),
    cmocka_unit_test (message_is_read_back),
    cmocka_unit_test (other_datagrams_are_refused),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
