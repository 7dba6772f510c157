#include "http/headers.h"

#include <string.h>
#include <strings.h>

struct field
{
  /* Offsets of strings in the text of the headers.  */
  size_t name;
  size_t value;
};

struct headers
{
  GString *text;
  GArray *fields;
};

struct headers *
headers_new (void)
{
  struct headers *h = g_new0 (struct headers, 1);
  h->text = g_string_new (NULL);
  h->fields = g_array_new (FALSE, FALSE, sizeof (struct field));
  return h;
}

void
headers_free (struct headers *h)
{
  if (h == NULL)
    return;
  g_string_free (h->text, TRUE);
  g_array_free (h->fields, TRUE);
  g_free (h);
}

void
headers_clear (struct headers *h)
{
  g_string_truncate (h->text, 0);
  g_array_set_size (h->fields, 0);
}

static struct field *
field_at (const struct headers *h, guint i)
{
  return &g_array_index (h->fields, struct field, i);
}

/* Append a string to the text of H and return its offset.  */
static size_t
append_string (struct headers *h, const char *text, size_t length)
{
  size_t at = h->text->len;
  g_string_append_len (h->text, text, (gssize)length);
  g_string_append_c (h->text, '\0');
  return at;
}

void
headers_append (struct headers *h, const char *name, size_t name_length,
                const char *value, size_t value_length)
{
  struct field f = { .name = append_string (h, name, name_length),
                     .value = append_string (h, value, value_length) };
  g_array_append_val (h->fields, f);
}

static const char *
name_of (const struct headers *h, guint i)
{
  return h->text->str + field_at (h, i)->name;
}

static const char *
value_of (const struct headers *h, guint i)
{
  return h->text->str + field_at (h, i)->value;
}

const char *
headers_find (const struct headers *h, const char *name)
{
  for (guint i = 0; i < h->fields->len; i++)
    if (strcasecmp (name_of (h, i), name) == 0)
      return value_of (h, i);
  return NULL;
}

unsigned
headers_count (const struct headers *h, const char *name)
{
  unsigned count = 0;
  for (guint i = 0; i < h->fields->len; i++)
    count += strcasecmp (name_of (h, i), name) == 0;
  return count;
}

/* Whether NAME concerns a single connection or the framing of the body.  */
static bool
is_hop_by_hop (const char *name)
{
  static const char *const names[]
      = { "Connection", "Keep-Alive", "Proxy-Connection",  "TE",
          "Trailer",    "Upgrade",    "Transfer-Encoding", "Content-Length",
          "Expect" };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcasecmp (name, names[i]) == 0)
      return true;
  return false;
}

/* Whether a Connection field lists NAME as a connection option.  */
static bool
is_connection_option (const struct headers *h, const char *name)
{
  size_t length = strlen (name);
  for (guint i = 0; i < h->fields->len; i++)
    {
      if (strcasecmp (name_of (h, i), "Connection") != 0)
        continue;
      const char *at = value_of (h, i);
      while (*at != '\0')
        {
          at += strspn (at, " \t,");
          size_t token_length = strcspn (at, " \t,");
          if (token_length == length && strncasecmp (at, name, length) == 0)
            return true;
          at += token_length;
        }
    }
  return false;
}

void
headers_copy (const struct headers *h, GString *out, headers_filter_fn *filter,
              const void *arg)
{
  for (guint i = 0; i < h->fields->len; i++)
    {
      const char *name = name_of (h, i);
      if (is_hop_by_hop (name) || is_connection_option (h, name)
          || !filter (name, arg))
        continue;
      g_string_append (out, name);
      g_string_append (out, ": ");
      g_string_append (out, value_of (h, i));
      g_string_append (out, "\r\n");
    }
}
