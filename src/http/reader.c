#include "http/reader.h"

#include "http/bounds.h"
#include <glib.h>
#include <string.h>
#include <strings.h>

enum
{
  STATUS_MIN = 100,
  STATUS_MAX = 599,
  STATUS_SWITCHING = 101,
  STATUS_FINAL_MIN = 200,
  STATUS_NO_CONTENT = 204,
  STATUS_NOT_MODIFIED = 304,
  LINE_END_BYTES = 2,
  HEX_DIGITS_MAX = 16
};

#define VERSION_PREFIX "HTTP/1."
#define VERSION_PREFIX_LENGTH (sizeof VERSION_PREFIX - 1)
#define VERSION_LENGTH (VERSION_PREFIX_LENGTH + 1)

enum state
{
  AT_START,
  IN_HEAD,
  IN_BODY,
  IN_BODY_TO_END, /* of the connection */
  AT_CHUNK,
  IN_CHUNK,
  AT_CHUNK_END,
  IN_TRAILERS
};

/* What the fields of a head say of the message and its connection.  */
struct framing
{
  unsigned length_count;
  uint64_t length;
  unsigned coding_count;
  bool closes;
  bool keeps_alive;
  bool has_upgrade;
  bool connection_upgrade;
};

struct http_reader
{
  const struct http_reader_ops *ops;
  void *arg;
  enum http_reader_kind kind;
  enum state state;
  enum http_fault fault;
  bool paused;
  GString *line;      /* what was read of a line that has not ended */
  size_t head_max;    /* bound of FRAME_BYTES */
  size_t frame_bytes; /* of the message that are no body */
  unsigned field_count;
  int status;
  unsigned minor_version;
  struct framing framing;
  bool skips_body;
  uint64_t remaining; /* of the body or the chunk */
};

const char *
http_fault_word (enum http_fault fault)
{
  static const char *const words[] = {
    "none",
#define FAULT(name, word) word,
#include "http/faults.def"
#undef FAULT
  };
  return words[fault];
}

bool
http_fault_is_bound (enum http_fault fault)
{
  return fault == HTTP_FAULT_HEAD_BOUND || fault == HTTP_FAULT_FIELDS_BOUND;
}

/* Rules of characters.  */

static bool
is_token_char (unsigned char c)
{
  return g_ascii_isalnum ((gchar)c)
         || (c != '\0' && strchr ("!#$%&'*+-.^_`|~", c) != NULL);
}

bool
http_is_token (const char *text, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (!is_token_char ((unsigned char)text[i]))
      return false;
  return length > 0;
}

static bool
is_control (unsigned char c)
{
  return c < ' ' || c == 0x7f;
}

bool
http_is_field_value (const char *text, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (is_control ((unsigned char)text[i]) && text[i] != '\t')
      return false;
  return true;
}

bool
http_parse_length (const char *text, size_t length, uint64_t *value)
{
  *value = 0;
  for (size_t i = 0; i < length; i++)
    {
      if (!g_ascii_isdigit (text[i]))
        return false;
      uint64_t digit = (uint64_t)(text[i] - '0');
      if (*value > (INT64_MAX - digit) / 10)
        return false;
      *value = *value * 10 + digit;
    }
  return length > 0;
}

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t';
}

static const char *
skip_blanks (const char *at, const char *end)
{
  while (at < end && is_blank (*at))
    at++;
  return at;
}

static const char *
skip_token (const char *at, const char *end)
{
  while (at < end && is_token_char ((unsigned char)*at))
    at++;
  return at;
}

/* Start lines.  */

static void
fail (struct http_reader *r, enum http_fault fault)
{
  if (r->fault == HTTP_FAULT_NONE)
    r->fault = fault;
}

/* Read the version at AT, before END, into R.  */
static bool
read_version (struct http_reader *r, const char *at, const char *end)
{
  if (end - at < (ptrdiff_t)VERSION_LENGTH
      || memcmp (at, VERSION_PREFIX, VERSION_PREFIX_LENGTH) != 0
      || !g_ascii_isdigit (at[VERSION_PREFIX_LENGTH]))
    return false;
  r->minor_version = (unsigned)(at[VERSION_PREFIX_LENGTH] - '0');
  return true;
}

static bool
is_request_target (const char *text, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (is_control ((unsigned char)text[i]) || text[i] == ' ')
      return false;
  return length > 0
         && (*text == '/' || *text == '*' || g_ascii_isalpha (*text));
}

static bool
read_request_line (struct http_reader *r, const char *text, size_t length,
                   struct http_start_line *line)
{
  const char *end = text + length;
  const char *target = memchr (text, ' ', length);
  if (target == NULL)
    return false;
  target++;
  const char *version = memchr (target, ' ', (size_t)(end - target));
  if (version == NULL)
    return false;
  version++;
  line->method = text;
  line->method_length = (size_t)(target - 1 - text);
  line->target = target;
  line->target_length = (size_t)(version - 1 - target);
  return http_is_token (line->method, line->method_length)
         && is_request_target (line->target, line->target_length)
         && end - version == (ptrdiff_t)VERSION_LENGTH
         && read_version (r, version, end);
}

/* The blank before an empty reason phrase may be missing.  */
static bool
read_status_line (struct http_reader *r, const char *text, size_t length)
{
  const char *end = text + length;
  const char *at = text + VERSION_LENGTH;
  if (!read_version (r, text, end) || end - at < 4 || *at++ != ' ')
    return false;
  r->status = 0;
  for (int i = 0; i < 3; i++, at++)
    {
      if (!g_ascii_isdigit (*at))
        return false;
      r->status = r->status * 10 + (*at - '0');
    }
  return at == end
         || (*at == ' ' && http_is_field_value (at, (size_t)(end - at)));
}

static void
begin_message (struct http_reader *r)
{
  r->field_count = 0;
  r->framing = (struct framing){ 0 };
  r->skips_body = false;
}

static void
read_start_line (struct http_reader *r, const char *text, size_t length)
{
  struct http_start_line line = { 0 };
  /* Empty lines may precede a request.  */
  if (length == 0 && r->kind == HTTP_READ_REQUESTS)
    return;
  begin_message (r);
  r->state = IN_HEAD;
  if (r->kind == HTTP_READ_REQUESTS
          ? !read_request_line (r, text, length, &line)
          : !read_status_line (r, text, length))
    fail (r, HTTP_FAULT_START_LINE);
  /* No request asks for another protocol.  */
  else if (r->kind == HTTP_READ_RESPONSES
           && (r->status < STATUS_MIN || r->status > STATUS_MAX
               || r->status == STATUS_SWITCHING))
    fail (r, HTTP_FAULT_STATUS);
  line.status = r->status;
  if (r->fault == HTTP_FAULT_NONE && r->ops->start != NULL
      && !r->ops->start (r->arg, &line))
    fail (r, HTTP_FAULT_REFUSED);
}

/* Fields.  */

static bool
name_is (const char *name, size_t length, const char *expected)
{
  return length == strlen (expected)
         && g_ascii_strncasecmp (name, expected, length) == 0;
}

static void
read_connection (struct framing *f, const char *value, size_t length)
{
  const char *at = value;
  const char *end = value + length;
  while (at < end)
    {
      const char *option = skip_blanks (at, end);
      const char *option_end = skip_token (option, end);
      size_t option_length = (size_t)(option_end - option);
      f->closes |= name_is (option, option_length, "close");
      f->keeps_alive |= name_is (option, option_length, "keep-alive");
      f->connection_upgrade |= name_is (option, option_length, "upgrade");
      const char *comma = memchr (option_end, ',', (size_t)(end - option_end));
      at = comma == NULL ? end : comma + 1;
    }
}

static void
read_framing (struct http_reader *r, const char *name, size_t name_length,
              const char *value, size_t length)
{
  struct framing *f = &r->framing;
  if (name_is (name, name_length, "Content-Length"))
    {
      if (f->length_count++ > 0
          || !http_parse_length (value, length, &f->length))
        fail (r, HTTP_FAULT_LENGTH);
    }
  else if (name_is (name, name_length, "Transfer-Encoding"))
    {
      if (f->coding_count++ > 0 || !name_is (value, length, "chunked"))
        fail (r, HTTP_FAULT_CODING);
    }
  else if (name_is (name, name_length, "Connection"))
    read_connection (f, value, length);
  else if (name_is (name, name_length, "Upgrade"))
    f->has_upgrade = true;
}

static void
read_field (struct http_reader *r, const char *text, size_t length)
{
  const char *end = text + length;
  const char *colon = memchr (text, ':', length);
  if (++r->field_count > HTTP_FIELDS_MAX)
    {
      fail (r, HTTP_FAULT_FIELDS_BOUND);
      return;
    }
  size_t name_length = colon == NULL ? 0 : (size_t)(colon - text);
  if (!http_is_token (text, name_length))
    {
      fail (r, HTTP_FAULT_FIELD_NAME);
      return;
    }
  const char *value = skip_blanks (colon + 1, end);
  while (end > value && is_blank (end[-1]))
    end--;
  size_t value_length = (size_t)(end - value);
  if (!http_is_field_value (value, value_length))
    fail (r, HTTP_FAULT_FIELD_VALUE);
  if (r->state == IN_TRAILERS)
    return;
  read_framing (r, text, name_length, value, value_length);
  if (r->fault == HTTP_FAULT_NONE && r->ops->field != NULL
      && !r->ops->field (r->arg, text, name_length, value, value_length))
    fail (r, HTTP_FAULT_REFUSED);
}

/* Bodies.  */

static void
complete (struct http_reader *r)
{
  r->state = AT_START;
  if (r->kind == HTTP_READ_REQUESTS)
    r->frame_bytes = 0;
  r->ops->complete (r->arg);
}

bool
http_reader_is_interim (const struct http_reader *r)
{
  return r->kind == HTTP_READ_RESPONSES && r->status < STATUS_FINAL_MIN;
}

static bool
has_body (const struct http_reader *r)
{
  const struct framing *f = &r->framing;
  if (r->kind == HTTP_READ_REQUESTS)
    return f->coding_count > 0 || f->length_count > 0;
  return !r->skips_body && !http_reader_is_interim (r)
         && r->status != STATUS_NO_CONTENT && r->status != STATUS_NOT_MODIFIED;
}

static void
end_head (struct http_reader *r)
{
  const struct framing *f = &r->framing;
  if (f->coding_count > 0 && (f->length_count > 0 || r->minor_version == 0))
    fail (r, HTTP_FAULT_LENGTH);
  else if (r->ops->head != NULL && !r->ops->head (r->arg))
    fail (r, HTTP_FAULT_REFUSED);
  if (r->fault != HTTP_FAULT_NONE)
    return;
  r->remaining = f->length;
  if (!has_body (r) || (f->length_count > 0 && f->length == 0))
    complete (r);
  else if (f->coding_count > 0)
    r->state = AT_CHUNK;
  else
    r->state = f->length_count > 0 ? IN_BODY : IN_BODY_TO_END;
}

/* Skip a quoted string at AT, before END; NULL if it has no end.  */
static const char *
skip_quoted (const char *at, const char *end)
{
  for (at++; at < end && *at != '"'; at++)
    if (*at == '\\' && ++at == end)
      return NULL;
  return at < end ? at + 1 : NULL;
}

/* Whether TEXT, after the size of a chunk, is a list of extensions.  */
static bool
are_chunk_extensions (const char *text, const char *end)
{
  const char *at = text;
  if (!http_is_field_value (text, (size_t)(end - text)))
    return false;
  while (at < end)
    {
      at = skip_blanks (at, end);
      if (at == end || *at != ';')
        return false;
      const char *name = skip_blanks (at + 1, end);
      at = skip_token (name, end);
      if (at == name)
        return false;
      const char *equals = skip_blanks (at, end);
      if (equals == end || *equals != '=')
        continue;
      const char *value = skip_blanks (equals + 1, end);
      at = value < end && *value == '"' ? skip_quoted (value, end)
                                        : skip_token (value, end);
      if (at == NULL || at == value)
        return false;
    }
  return true;
}

static void
read_chunk_line (struct http_reader *r, const char *text, size_t length)
{
  size_t digits = 0;
  uint64_t size = 0;
  while (digits < length && digits <= HEX_DIGITS_MAX
         && g_ascii_isxdigit (text[digits]))
    size = size * 16 + (uint64_t)g_ascii_xdigit_value (text[digits++]);
  if (digits == 0 || digits > HEX_DIGITS_MAX || size > INT64_MAX
      || !are_chunk_extensions (text + digits, text + length))
    {
      fail (r, HTTP_FAULT_CHUNK);
      return;
    }
  /* The bytes that each chunk needs are not counted.  */
  r->frame_bytes -= MIN (r->frame_bytes, HTTP_CHUNK_FRAME_BYTES);
  r->remaining = size;
  r->state = size == 0 ? IN_TRAILERS : IN_CHUNK;
}

/* Lines.  */

static void
read_line (struct http_reader *r, const char *text, size_t length)
{
  if (r->state == AT_START)
    read_start_line (r, text, length);
  else if (r->state == AT_CHUNK)
    read_chunk_line (r, text, length);
  else if (r->state == AT_CHUNK_END)
    {
      if (length > 0)
        fail (r, HTTP_FAULT_CHUNK);
      r->state = AT_CHUNK;
    }
  else if (length > 0)
    read_field (r, text, length);
  else if (r->state == IN_HEAD)
    end_head (r);
  else
    complete (r);
}

/* The fault of a line whose last bytes are no part of any such line.  */
static enum http_fault
partial_line_fault (const struct http_reader *r)
{
  if (r->state == AT_START)
    return HTTP_FAULT_START_LINE;
  if (r->state == AT_CHUNK || r->state == AT_CHUNK_END)
    return HTTP_FAULT_CHUNK;
  return memchr (r->line->str, ':', r->line->len) == NULL
             ? HTTP_FAULT_FIELD_NAME
             : HTTP_FAULT_FIELD_VALUE;
}

/* Check the last LENGTH bytes that were read of a line, which has not ended. A
   peer that sends no line end is noticed at once.  */
static void
check_partial_line (struct http_reader *r, size_t length)
{
  const GString *line = r->line;
  const char *text = line->str + line->len - length;
  size_t checked = length - (text[length - 1] == '\r');
  size_t prefix = MIN (line->len, VERSION_PREFIX_LENGTH);
  if (!http_is_field_value (text, checked)
      || (r->state == AT_CHUNK_END && checked > 0)
      || (r->state == AT_START && r->kind == HTTP_READ_RESPONSES
          && memcmp (line->str, VERSION_PREFIX, prefix) != 0))
    fail (r, partial_line_fault (r));
}

static void
read_whole_line (struct http_reader *r, const char *text, size_t length)
{
  if (length < LINE_END_BYTES || text[length - LINE_END_BYTES] != '\r')
    fail (r, HTTP_FAULT_LINE_END);
  else
    read_line (r, text, length - LINE_END_BYTES);
}

/* Read at most LENGTH bytes of a line and return their number.  */
static size_t
feed_line (struct http_reader *r, const char *data, size_t length)
{
  const char *end = memchr (data, '\n', length);
  size_t taken = end == NULL ? length : (size_t)(end - data) + 1;
  r->frame_bytes += taken;
  if (r->frame_bytes > r->head_max)
    fail (r, HTTP_FAULT_HEAD_BOUND);
  else if (r->line->len == 0 && end != NULL)
    read_whole_line (r, data, taken);
  else
    {
      g_string_append_len (r->line, data, (gssize)taken);
      if (end == NULL)
        check_partial_line (r, taken);
      else
        {
          read_whole_line (r, r->line->str, r->line->len);
          g_string_truncate (r->line, 0);
        }
    }
  return taken;
}

/* Read at most LENGTH bytes of the body and return their number.  */
static size_t
feed_body (struct http_reader *r, const char *data, size_t length)
{
  size_t taken = length;
  if (r->state != IN_BODY_TO_END)
    {
      taken = (size_t)MIN ((uint64_t)length, r->remaining);
      r->remaining -= taken;
    }
  if (r->ops->body != NULL && !r->ops->body (r->arg, data, taken))
    fail (r, HTTP_FAULT_REFUSED);
  else if (r->remaining == 0 && r->state == IN_CHUNK)
    r->state = AT_CHUNK_END;
  else if (r->remaining == 0 && r->state == IN_BODY)
    complete (r);
  return taken;
}

size_t
http_reader_feed (struct http_reader *r, const char *data, size_t length)
{
  size_t at = 0;
  r->paused = false;
  while (at < length && r->fault == HTTP_FAULT_NONE && !r->paused)
    {
      bool in_body = r->state == IN_BODY || r->state == IN_BODY_TO_END
                     || r->state == IN_CHUNK;
      at += in_body ? feed_body (r, data + at, length - at)
                    : feed_line (r, data + at, length - at);
    }
  return at;
}

bool
http_reader_end (struct http_reader *r)
{
  if (r->fault == HTTP_FAULT_NONE && r->state == IN_BODY_TO_END)
    complete (r);
  else if (r->state != AT_START || r->line->len > 0)
    fail (r, HTTP_FAULT_END);
  return r->fault == HTTP_FAULT_NONE;
}

/* Handles.  */

struct http_reader *
http_reader_new (enum http_reader_kind kind, const struct http_reader_ops *ops,
                 void *arg)
{
  struct http_reader *r = g_new0 (struct http_reader, 1);
  r->ops = ops;
  r->arg = arg;
  r->kind = kind;
  r->line = g_string_new (NULL);
  r->head_max = HTTP_HEAD_BYTES_MAX;
  return r;
}

void
http_reader_free (struct http_reader *r)
{
  if (r == NULL)
    return;
  g_string_free (r->line, TRUE);
  g_free (r);
}

void
http_reader_reset (struct http_reader *r)
{
  r->state = AT_START;
  r->fault = HTTP_FAULT_NONE;
  r->paused = false;
  r->frame_bytes = 0;
  g_string_truncate (r->line, 0);
}

void
http_reader_set_head_max (struct http_reader *r, uint32_t bytes)
{
  r->head_max = bytes;
}

void
http_reader_pause (struct http_reader *r)
{
  r->paused = true;
}

void
http_reader_skip_body (struct http_reader *r)
{
  r->skips_body = true;
}

bool
http_reader_is_within (const struct http_reader *r)
{
  return r->state != AT_START || (r->line->len > 0 && *r->line->str != '\r');
}

enum http_fault
http_reader_fault (const struct http_reader *r)
{
  return r->fault;
}

int
http_reader_status (const struct http_reader *r)
{
  return r->status;
}

bool
http_reader_has_length (const struct http_reader *r, uint64_t *length)
{
  *length = r->framing.length;
  return r->framing.length_count > 0;
}

bool
http_reader_is_chunked (const struct http_reader *r)
{
  return r->framing.coding_count > 0;
}

bool
http_reader_keeps_alive (const struct http_reader *r)
{
  const struct framing *f = &r->framing;
  bool has_end = r->kind == HTTP_READ_REQUESTS || !has_body (r)
                 || f->length_count > 0 || f->coding_count > 0;
  return has_end && !f->closes && (r->minor_version > 0 || f->keeps_alive);
}

bool
http_reader_asks_upgrade (const struct http_reader *r)
{
  return r->framing.has_upgrade && r->framing.connection_upgrade;
}
