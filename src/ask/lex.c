#include "ask/lex.h"

#include <string.h>

enum
{
  HEX_BASE = 16
};

struct lexer
{
  const char *pos;
  const char *end;
  unsigned column;
  unsigned line_number;
  struct findings *findings;
  GArray *tokens;
};

static void
clear_token (void *token)
{
  g_free (((struct ask_token *)token)->text);
}

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t';
}

static bool
is_control (char c)
{
  return ((unsigned char)c < ' ' && !is_blank (c)) || c == '\x7f';
}

/* Advance by one byte.  UTF-8 continuation bytes do not count as columns.  */
static void
advance (struct lexer *l)
{
  l->pos++;
  if (l->pos >= l->end || ((unsigned char)*l->pos & 0xC0U) != 0x80U)
    l->column++;
}

static bool
report_error (struct lexer *l, unsigned column, const char *problem)
{
  findings_add (l->findings, l->line_number, column, "", "%s", problem);
  return false;
}

static void
add_token (struct lexer *l, bool quoted, GString *text, unsigned column)
{
  struct ask_token token = { quoted, NULL, column };
  token.text = g_string_free (text, FALSE);
  g_array_append_val (l->tokens, token);
}

/* Read an escape: a backslash followed by a quote, a backslash or xHH.  */
static bool
read_escape (struct lexer *l, GString *text)
{
  unsigned column = l->column;
  if (l->end - l->pos >= 2 && (l->pos[1] == '"' || l->pos[1] == '\\'))
    {
      g_string_append_c (text, l->pos[1]);
      advance (l);
      advance (l);
      return true;
    }
  if (l->end - l->pos < 4 || l->pos[1] != 'x' || !g_ascii_isxdigit (l->pos[2])
      || !g_ascii_isxdigit (l->pos[3]))
    return report_error (l, column, "expected \\\", \\\\ or \\xHH");
  int byte = g_ascii_xdigit_value (l->pos[2]) * HEX_BASE
             + g_ascii_xdigit_value (l->pos[3]);
  if (byte == 0)
    return report_error (l, column, "a text cannot hold a zero byte");
  g_string_append_c (text, (char)byte);
  for (int i = 0; i < 4; i++)
    advance (l);
  return true;
}

static bool
read_quoted (struct lexer *l)
{
  unsigned column = l->column;
  GString *text = g_string_new (NULL);
  bool valid = true;
  advance (l);
  while (valid && l->pos < l->end && *l->pos != '"')
    {
      if (*l->pos == '\\')
        valid = read_escape (l, text);
      else
        {
          g_string_append_c (text, *l->pos);
          advance (l);
        }
    }
  if (valid && l->pos >= l->end)
    valid = report_error (l, column, "the quote is not closed");
  if (!valid)
    {
      g_string_free (text, TRUE);
      return false;
    }
  advance (l);
  add_token (l, true, text, column);
  return true;
}

static bool
read_word (struct lexer *l)
{
  unsigned column = l->column;
  GString *text = g_string_new (NULL);
  while (l->pos < l->end && !is_blank (*l->pos) && *l->pos != '"')
    {
      g_string_append_c (text, *l->pos);
      advance (l);
    }
  add_token (l, false, text, column);
  return true;
}

static bool
check_bytes (struct lexer *l)
{
  size_t length = (size_t)(l->end - l->pos);
  const char *invalid = NULL;
  for (const char *p = l->pos; p < l->end; p++)
    if (is_control (*p))
      return report_error (l, (unsigned)g_utf8_strlen (l->pos, p - l->pos) + 1,
                           "control character");
  if (g_utf8_validate_len (l->pos, length, &invalid))
    return true;
  return report_error (
      l, (unsigned)g_utf8_strlen (l->pos, invalid - l->pos) + 1, "not UTF-8");
}

static bool
read_tokens (struct lexer *l)
{
  bool valid = true;
  while (valid && l->pos < l->end && *l->pos != '#')
    {
      if (is_blank (*l->pos))
        advance (l);
      else if (*l->pos == '"')
        valid = read_quoted (l);
      else
        valid = read_word (l);
    }
  return valid;
}

GArray *
ask_lex (const char *line, size_t length, unsigned line_number,
         struct findings *findings)
{
  struct lexer l = { line, line + length, 1, line_number, findings, NULL };
  l.tokens = g_array_new (FALSE, TRUE, sizeof (struct ask_token));
  g_array_set_clear_func (l.tokens, clear_token);
  if (!check_bytes (&l) || !read_tokens (&l))
    {
      g_array_free (l.tokens, TRUE);
      return NULL;
    }
  struct ask_token last = { false, NULL, l.column };
  g_array_append_val (l.tokens, last);
  return l.tokens;
}

char *
ask_escape (const char *text)
{
  GString *escaped = g_string_new (NULL);
  while (*text != '\0')
    {
      gunichar c = g_utf8_get_char_validated (text, -1);
      bool valid = c != (gunichar)-1 && c != (gunichar)-2;
      if (*text == '\\')
        g_string_append (escaped, "\\\\");
      else if (valid && g_unichar_isprint (c))
        g_string_append_unichar (escaped, c);
      else
        {
          g_string_append_printf (escaped, "\\x%02x", (unsigned char)*text++);
          continue;
        }
      text = g_utf8_next_char (text);
    }
  return g_string_free (escaped, FALSE);
}
