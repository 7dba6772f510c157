#include "mesh/assembly.h"

#include "mesh/frame.h"

struct stream
{
  uint64_t number;
  GString *bytes;
  int64_t received_ns; /* when its last part arrived */
};

struct assembly
{
  GHashTable *streams; /* struct stream by number */
  size_t bytes;
};

static void
stream_free (gpointer data)
{
  struct stream *s = data;
  if (s->bytes != NULL)
    g_string_free (s->bytes, TRUE);
  g_free (s);
}

struct assembly *
assembly_new (void)
{
  struct assembly *a = g_new0 (struct assembly, 1);
  a->streams
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, stream_free);
  return a;
}

void
assembly_free (struct assembly *a)
{
  if (a == NULL)
    return;
  g_hash_table_destroy (a->streams);
  g_free (a);
}

void
assembly_drop (struct assembly *a, uint64_t stream)
{
  const struct stream *s = g_hash_table_lookup (a->streams, &stream);
  if (s == NULL)
    return;
  a->bytes -= s->bytes->len;
  g_hash_table_remove (a->streams, &stream);
}

static struct stream *
begin_stream (struct assembly *a, uint64_t number)
{
  struct stream *s = g_new0 (struct stream, 1);
  s->number = number;
  s->bytes = g_string_new (NULL);
  g_hash_table_insert (a->streams, &s->number, s);
  return s;
}

/* Remove the complete stream S and return its bytes.  */
static GString *
end_stream (struct assembly *a, struct stream *s)
{
  GString *bytes = s->bytes;
  a->bytes -= bytes->len;
  s->bytes = NULL;
  g_hash_table_remove (a->streams, &s->number);
  return bytes;
}

enum assembly_verdict
assembly_add (struct assembly *a, uint64_t stream, uint32_t flags,
              const char *data, size_t length, int64_t now_ns, GString **frame)
{
  struct stream *s = g_hash_table_lookup (a->streams, &stream);
  bool first = (flags & PART_FIRST) != 0;
  if (s != NULL && first)
    return ASSEMBLY_MALFORMED;
  if (s == NULL && !first)
    return ASSEMBLY_UNKNOWN;
  if (s == NULL
      && g_hash_table_size (a->streams) >= (guint)ASSEMBLY_STREAMS_MAX)
    return ASSEMBLY_MALFORMED;
  if (a->bytes + length > (size_t)FRAME_BYTES_MAX + FRAME_HEADER_BYTES)
    return ASSEMBLY_MALFORMED;
  if (s == NULL)
    s = begin_stream (a, stream);
  if ((flags & PART_DROPPED) != 0)
    {
      assembly_drop (a, stream);
      return ASSEMBLY_DROPPED;
    }
  g_string_append_len (s->bytes, data, (gssize)length);
  s->received_ns = now_ns;
  a->bytes += length;
  if ((flags & PART_LAST) == 0)
    return ASSEMBLY_PARTIAL;
  *frame = end_stream (a, s);
  return ASSEMBLY_COMPLETE;
}

unsigned
assembly_expire (struct assembly *a, int64_t since_ns)
{
  GHashTableIter iter;
  gpointer value;
  unsigned count = 0;
  g_hash_table_iter_init (&iter, a->streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct stream *s = value;
      if (s->received_ns >= since_ns)
        continue;
      a->bytes -= s->bytes->len;
      g_hash_table_iter_remove (&iter);
      count++;
    }
  return count;
}

size_t
assembly_bytes (const struct assembly *a)
{
  return a->bytes;
}
