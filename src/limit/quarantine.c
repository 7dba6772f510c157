#include "limit/quarantine.h"

#include <glib.h>
#include <string.h>

enum
{
  ALONE_ENDS_MIN = 2,
  REFUSED_ENDS_MIN = 3,
  /* Contents at one end that are kept when others need their place: as many as
     one end has.  */
  SINGLE_ENDS_KEPT = 64
};

struct quarantine
{
  GArray *entries; /* struct quarantine_entry */
};

struct quarantine *
quarantine_new (void)
{
  struct quarantine *q = g_new0 (struct quarantine, 1);
  q->entries = g_array_new (FALSE, TRUE, sizeof (struct quarantine_entry));
  return q;
}

void
quarantine_free (struct quarantine *q)
{
  if (q == NULL)
    return;
  g_array_free (q->entries, TRUE);
  g_free (q);
}

static struct quarantine_entry *
entry_at (const struct quarantine *q, size_t i)
{
  return &g_array_index (q->entries, struct quarantine_entry, i);
}

static struct quarantine_entry *
find (const struct quarantine *q, uint64_t content)
{
  for (guint i = 0; i < q->entries->len; i++)
    if (entry_at (q, i)->content == content)
      return entry_at (q, i);
  return NULL;
}

/* The entry that is forgotten for another one: the oldest of those at one end,
   which most harmless contents are, unless they are few.  */
static guint
find_replaceable (const struct quarantine *q)
{
  guint oldest = 0;
  guint oldest_single = 0;
  guint singles = 0;
  for (guint i = 0; i < q->entries->len; i++)
    {
      const struct quarantine_entry *e = entry_at (q, i);
      if (e->last_end_ns < entry_at (q, oldest)->last_end_ns)
        oldest = i;
      if (e->end_count >= ALONE_ENDS_MIN)
        continue;
      if (singles++ == 0
          || e->last_end_ns < entry_at (q, oldest_single)->last_end_ns)
        oldest_single = i;
    }
  return singles > SINGLE_ENDS_KEPT ? oldest_single : oldest;
}

/* Add an entry without ends for the content of FROM.  */
static struct quarantine_entry *
add (struct quarantine *q, const struct quarantine_entry *from)
{
  struct quarantine_entry entry = { .content = from->content };
  g_strlcpy (entry.label, from->label, sizeof entry.label);
  g_strlcpy (entry.caller, from->caller, sizeof entry.caller);
  if (q->entries->len == QUARANTINE_ENTRIES_MAX)
    g_array_remove_index_fast (q->entries, find_replaceable (q));
  g_array_append_val (q->entries, entry);
  return entry_at (q, q->entries->len - 1);
}

static struct quarantine_end *
find_end (const struct quarantine_entry *e, uint32_t process)
{
  for (uint32_t i = 0; i < e->end_count; i++)
    if (e->ends[i].process == process)
      return (struct quarantine_end *)&e->ends[i];
  return NULL;
}

/* The end of E that gives way to another one: a void one, else the oldest.  */
static struct quarantine_end *
find_replaceable_end (struct quarantine_entry *e)
{
  struct quarantine_end *found = &e->ends[0];
  for (uint32_t i = 1; i < e->end_count; i++)
    if (e->ends[i].is_void != found->is_void ? e->ends[i].is_void
                                             : e->ends[i].at_ns < found->at_ns)
      found = &e->ends[i];
  return found;
}

/* Add END to E, or void it there.  All nodes keep the latest ends.  */
static bool
merge_end (struct quarantine_entry *e, const struct quarantine_end *end)
{
  struct quarantine_end *known = find_end (e, end->process);
  if (known != NULL)
    {
      bool is_new = end->is_void && !known->is_void;
      known->is_void |= end->is_void;
      return is_new;
    }
  if (e->end_count < QUARANTINE_ENDS_MAX)
    {
      e->ends[e->end_count++] = *end;
      return true;
    }
  struct quarantine_end *replaced = find_replaceable_end (e);
  if (!replaced->is_void && replaced->at_ns >= end->at_ns)
    return false;
  *replaced = *end;
  return true;
}

bool
quarantine_merge (struct quarantine *q, const struct quarantine_entry *entry,
                  int64_t now_ns)
{
  bool changed = false;
  if (entry->last_end_ns + QUARANTINE_TERM_NS <= now_ns)
    return false;
  struct quarantine_entry *e = find (q, entry->content);
  if (e == NULL)
    e = add (q, entry);
  for (uint32_t i = 0; i < entry->end_count; i++)
    changed |= merge_end (e, &entry->ends[i]);
  if (e->last_end_ns < entry->last_end_ns)
    e->last_end_ns = entry->last_end_ns;
  return changed;
}

static uint32_t
count_ends (const struct quarantine_entry *e)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < e->end_count; i++)
    count += !e->ends[i].is_void;
  return count;
}

static bool
has_end (const struct quarantine_entry *e, uint32_t process)
{
  const struct quarantine_end *end = find_end (e, process);
  return end != NULL && !end->is_void;
}

/* Whether another content than E with at least COUNT ends was at the end of
   PROCESS.  */
static bool
is_explained (const struct quarantine *q, const struct quarantine_entry *e,
              uint32_t process, uint32_t count)
{
  for (guint i = 0; i < q->entries->len; i++)
    if (entry_at (q, i) != e && has_end (entry_at (q, i), process)
        && count_ends (entry_at (q, i)) >= count)
      return true;
  return false;
}

/* Whether other contents, each with at least COUNT ends, explain all ends of
   E.  */
static bool
are_all_explained (const struct quarantine *q,
                   const struct quarantine_entry *e, uint32_t count)
{
  for (uint32_t i = 0; i < e->end_count; i++)
    if (!e->ends[i].is_void && !is_explained (q, e, e->ends[i].process, count))
      return false;
  return true;
}

/* Of contents that were at the same first ends none is known to be the cause;
   one more end, under one of them alone, tells.  */
static bool
is_cause (const struct quarantine *q, const struct quarantine_entry *e,
          uint32_t ends)
{
  uint32_t others = ends == REFUSED_ENDS_MIN ? ends : ends + 1;
  return ends >= REFUSED_ENDS_MIN && !are_all_explained (q, e, others);
}

enum quarantine_verdict
quarantine_check (const struct quarantine *q, uint64_t content, int64_t now_ns)
{
  const struct quarantine_entry *e = find (q, content);
  if (e == NULL || now_ns >= e->last_end_ns + QUARANTINE_TERM_NS)
    return QUARANTINE_FREE;
  uint32_t ends = count_ends (e);
  if (is_cause (q, e, ends))
    return QUARANTINE_REFUSED;
  return ends >= ALONE_ENDS_MIN ? QUARANTINE_ALONE : QUARANTINE_FREE;
}

int64_t
quarantine_until_ns (const struct quarantine *q, uint64_t content)
{
  const struct quarantine_entry *e = find (q, content);
  return e == NULL ? 0 : e->last_end_ns + QUARANTINE_TERM_NS;
}

bool
quarantine_void (struct quarantine *q, uint64_t content)
{
  struct quarantine_entry *e = find (q, content);
  bool any = e != NULL && count_ends (e) > 0;
  for (uint32_t i = 0; any && i < e->end_count; i++)
    e->ends[i].is_void = true;
  return any;
}

const struct quarantine_entry *
quarantine_find (const struct quarantine *q, uint64_t content)
{
  return find (q, content);
}

bool
quarantine_is_told (const struct quarantine_entry *entry)
{
  return entry->end_count >= ALONE_ENDS_MIN;
}

void
quarantine_expire (struct quarantine *q, int64_t now_ns)
{
  for (guint i = q->entries->len; i > 0; i--)
    if (now_ns >= entry_at (q, i - 1)->last_end_ns + QUARANTINE_TERM_NS)
      g_array_remove_index_fast (q->entries, i - 1);
}

size_t
quarantine_count (const struct quarantine *q)
{
  return q->entries->len;
}

const struct quarantine_entry *
quarantine_entry_at (const struct quarantine *q, size_t i)
{
  return entry_at (q, i);
}
