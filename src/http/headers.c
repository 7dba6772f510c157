#include "http/headers.h"

#include <string.h>
#include <strings.h>

struct field
{
  size_t name; /* where it starts in the text, ended by a zero byte */
  size_t value;
};

struct headers
{
  GString *text;
  GArray *fields;
  bool in_value;
};

struct headers *
headers_new (void)
{
  struct headers *h = g_new0 (struct headers, 1);
  h->text = g_string_new (NULL);
  h->fields = g_array_new (FALSE, FALSE, sizeof (struct field));
  h->in_value = true;
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
  h->in_value = true;
}

static struct field *
field_at (const struct headers *h, guint i)
{
  return &g_array_index (h->fields, struct field, i);
}

void
headers_append_name (struct headers *h, const char *text, size_t length)
{
  if (h->in_value)
    {
      g_string_append_c (h->text, '\0');
      struct field f = { .name = h->text->len, .value = 0 };
      g_array_append_val (h->fields, f);
      h->in_value = false;
    }
  g_string_append_len (h->text, text, (gssize)length);
}

void
headers_append_value (struct headers *h, const char *text, size_t length)
{
  if (h->fields->len == 0)
    return;
  if (!h->in_value)
    {
      g_string_append_c (h->text, '\0');
      field_at (h, h->fields->len - 1)->value = h->text->len;
      h->in_value = true;
    }
  g_string_append_len (h->text, text, (gssize)length);
}

static const char *
name_of (const struct headers *h, guint i)
{
  return h->text->str + field_at (h, i)->name;
}

static const char *
value_of (const struct headers *h, guint i)
{
  size_t at = field_at (h, i)->value;
  return at == 0 ? "" : h->text->str + at;
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

static bool
concerns_connection (const char *name)
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

/* Whether a Connection field names NAME as its own.  */
static bool
named_by_connection (const struct headers *h, const char *name)
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
          size_t token = strcspn (at, " \t,");
          if (token == length && strncasecmp (at, name, length) == 0)
            return true;
          at += token;
        }
    }
  return false;
}

void
headers_copy (const struct headers *h, GString *out, headers_filter_fn *keep,
              const void *arg)
{
  for (guint i = 0; i < h->fields->len; i++)
    {
      const char *name = name_of (h, i);
      if (concerns_connection (name) || named_by_connection (h, name)
          || !keep (name, arg))
        continue;
      g_string_append (out, name);
      g_string_append (out, ": ");
      g_string_append (out, value_of (h, i));
      g_string_append (out, "\r\n");
    }
}
