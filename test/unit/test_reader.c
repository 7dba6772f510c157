/* Scripted test of the reader of HTTP messages: test/http/reader.txt.

   In scripts '|' stands for a line end, '_' for a space and '%XX' for a byte.
   Each message is read as a whole and byte by byte, with the same result.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "http/reader.h"
#include "lib/script.h"

/* What was read of the messages of one command.  */
struct reading
{
  struct http_reader *reader;
  GString *text;   /* a line for each message, repeated ones once */
  gsize last_line; /* offset in TEXT */
  gsize line;      /* of the message being read */
  GString *body;
  bool head_only;
};

static bool
on_start (void *arg, const struct http_start_line *line)
{
  struct reading *reading = arg;
  reading->line = reading->text->len;
  if (line->method != NULL)
    g_string_append_printf (reading->text, "%.*s %.*s",
                            (int)line->method_length, line->method,
                            (int)line->target_length, line->target);
  else
    g_string_append_printf (reading->text, "%d", line->status);
  g_string_truncate (reading->body, 0);
  return true;
}

static bool
on_field (void *arg, const char *name, size_t name_length, const char *value,
          size_t value_length)
{
  struct reading *reading = arg;
  g_string_append_printf (reading->text, " %.*s=%.*s", (int)name_length, name,
                          (int)value_length, value);
  return true;
}

static bool
on_head (void *arg)
{
  struct reading *reading = arg;
  if (reading->head_only)
    http_reader_skip_body (reading->reader);
  return true;
}

static bool
on_body (void *arg, const char *data, size_t length)
{
  struct reading *reading = arg;
  g_string_append_len (reading->body, data, (gssize)length);
  return true;
}

static void
on_complete (void *arg)
{
  struct reading *reading = arg;
  g_string_append_printf (
      reading->text, " body=%s %s\n", reading->body->str,
      http_reader_keeps_alive (reading->reader) ? "keeps" : "closes");
  const char *message = reading->text->str + reading->line;
  const char *last = reading->text->str + reading->last_line;
  if (reading->line > 0 && strncmp (message, last, strlen (message)) == 0)
    g_string_truncate (reading->text, reading->line);
  else
    reading->last_line = reading->line;
}

static const struct http_reader_ops ops
    = { on_start, on_field, on_head, on_body, on_complete };

static void
unescape (const char *text, GString *out)
{
  for (; *text != '\0'; text++)
    if (*text == '|')
      g_string_append (out, "\r\n");
    else if (*text == '%')
      {
        g_string_append_c (out, (gchar)(g_ascii_xdigit_value (text[1]) * 16
                                        + g_ascii_xdigit_value (text[2])));
        text += 2;
      }
    else
      g_string_append_c (out, *text == '_' ? ' ' : *text);
}

/* Read INPUT in pieces of PIECE bytes, and with ENDS the end of its
   connection, and return what was read.  */
static GString *
read_messages (enum http_reader_kind kind, bool head_only,
               const GString *input, size_t piece, bool ends)
{
  struct reading reading = { .text = g_string_new (NULL),
                             .body = g_string_new (NULL),
                             .head_only = head_only };
  reading.reader = http_reader_new (kind, &ops, &reading);
  for (size_t at = 0;
       at < input->len && http_reader_fault (reading.reader) == 0; at += piece)
    http_reader_feed (reading.reader, input->str + at,
                      MIN (piece, input->len - at));
  if (ends && http_reader_fault (reading.reader) == 0)
    http_reader_end (reading.reader);
  enum http_fault fault = http_reader_fault (reading.reader);
  /* Nothing of a message at fault but the fault: pieces may differ.  */
  if (fault != HTTP_FAULT_NONE)
    {
      const char *last = strrchr (reading.text->str, '\n');
      g_string_truncate (reading.text,
                         last == NULL ? 0
                                      : (gsize)(last + 1 - reading.text->str));
      g_string_append_printf (reading.text, "fault %s\n",
                              http_fault_word (fault));
    }
  http_reader_free (reading.reader);
  g_string_free (reading.body, TRUE);
  return reading.text;
}

static void
run_command (void *context, int count, char **words, FILE *out)
{
  (void)context;
  bool is_request = strcmp (words[0], "request") == 0;
  bool ends = count > 2 && strcmp (words[2], "end") == 0;
  GString *input = g_string_new (NULL);
  unescape (words[1], input);
  if (count > 3)
    for (int i = script_word_number (words[2]); i > 0; i--)
      unescape (words[3], input);
  enum http_reader_kind kind
      = is_request ? HTTP_READ_REQUESTS : HTTP_READ_RESPONSES;
  bool head_only = strcmp (words[0], "response-to-head") == 0;
  GString *whole = read_messages (kind, head_only, input, input->len, ends);
  GString *bytewise = read_messages (kind, head_only, input, 1, ends);
  fputs (whole->str, out);
  if (strcmp (whole->str, bytewise->str) != 0)
    fprintf (out, "byte by byte: %s", bytewise->str);
  g_string_free (whole, TRUE);
  g_string_free (bytewise, TRUE);
  g_string_free (input, TRUE);
}

static void
reader_follows_script (void **state)
{
  (void)state;
  assert_int_equal (script_run ("test/http/reader.txt", run_command, NULL), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (reader_follows_script) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
