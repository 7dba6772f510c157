#include "route/refused.h"
#include "base/clock.h"
#include "limit/refusals.h"
#include "route/callstats.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  LINE_BYTES = 64,
  S_PER_MINUTE = 60
};

char *
refused_local (struct service *callstats, const struct ask_query *q,
               int64_t now_ns)
{
  uint32_t minutes = (q->window_s + S_PER_MINUTE - 1) / S_PER_MINUTE;
  return callstats_list_refusals (callstats, q->group, minutes, now_ns);
}

/* Add the lines "COUNT NAME" of TEXT to COUNTS.  TEXT is modified.  */
static void
add_lines (GHashTable *counts, char *text)
{
  char *line;
  while ((line = strsep (&text, "\n")) != NULL)
    {
      char *name;
      uint64_t count = strtoull (line, &name, 10);
      if (name == line || *name != ' ')
        continue;
      uint64_t *sum = g_hash_table_lookup (counts, name + 1);
      if (sum == NULL)
        {
          sum = g_new0 (uint64_t, 1);
          g_hash_table_insert (counts, g_strdup (name + 1), sum);
        }
      *sum += count;
    }
}

/* Add the result of a member: "0 ", which is its status, and lines.  False
   when the member did not answer.  */
static bool
add_member_result (GHashTable *counts, char *result)
{
  bool answered = result != NULL && g_str_has_prefix (result, "0 ");
  if (answered)
    add_lines (counts, result + 2);
  free (result);
  return answered;
}

struct name_count
{
  const char *name;
  uint64_t count;
};

static gint
compare_counts (gconstpointer a, gconstpointer b)
{
  const struct name_count *x = a;
  const struct name_count *y = b;
  if (x->count != y->count)
    return x->count > y->count ? -1 : 1;
  return strcmp (x->name, y->name);
}

static void
fill_table (struct ask_answer *answer, GHashTable *counts,
            enum ask_group group)
{
  GHashTableIter iter;
  gpointer name;
  gpointer sum;
  GArray *totals = g_array_new (FALSE, FALSE, sizeof (struct name_count));
  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &name, &sum))
    {
      struct name_count t = { name, *(uint64_t *)sum };
      g_array_append_val (totals, t);
    }
  g_array_sort (totals, compare_counts);
  ask_answer_column (answer, ask_group_name (group), ASK_TEXT);
  ask_answer_column (answer, "refused", ASK_INTEGER);
  for (guint i = 0; i < totals->len; i++)
    {
      const struct name_count *t
          = &g_array_index (totals, struct name_count, i);
      ask_answer_text (answer, t->name);
      ask_answer_integer (answer, (int64_t)t->count);
    }
  g_array_free (totals, TRUE);
}

static void
add_coverage_notes (struct ask_answer *answer, const struct ask_query *q,
                    uint32_t unanswered, uint32_t members)
{
  uint32_t retention_s = REFUSALS_MINUTES * S_PER_MINUTE;
  if (q->window_s == 0 || q->window_s > retention_s)
    ask_answer_note (answer, "the last %d minutes, which is all that is kept",
                     REFUSALS_MINUTES);
  if (unanswered > 0)
    ask_answer_note (answer, "%u of %u members did not answer", unanswered,
                     members);
}

enum status
refused_answer (struct gather *g, struct service *callstats,
                const struct map_view *view, const struct ask_query *q,
                struct ask_answer *answer)
{
  char line[LINE_BYTES];
  char *results[MAP_MEMBERS_MAX] = { NULL };
  uint32_t unanswered = 0;
  GHashTable *counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  char *local = refused_local (callstats, q, clock_now_ns ());
  int length = snprintf (line, sizeof line, "refused by %s",
                         ask_group_name (q->group));
  if (q->window_s > 0)
    snprintf (line + length, sizeof line - (size_t)length,
              " in last %" PRIu32 "s", q->window_s);
  if (local != NULL)
    add_lines (counts, local);
  free (local);
  gather_send_command_all (g, view, line, results);
  for (uint32_t i = 0; i < view->member_count; i++)
    if (!add_member_result (counts, results[i])
        && view->members[i].incarnation != view->self_incarnation)
      unanswered++;
  fill_table (answer, counts, q->group);
  add_coverage_notes (answer, q, unanswered, view->member_count);
  g_hash_table_destroy (counts);
  return STATUS_OK;
}
