/* The operator language.  Each line is one query or command.  The grammar is
   in docs/OPERATORS.md.  */

#ifndef ASK_QUERY_H
#define ASK_QUERY_H

#include "base/finding.h"
#include "base/status.h"
#include "conf/conf.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  ASK_LINE_BYTES_MAX = 2000,
  ASK_KEY_BYTES = 256
};

enum ask_kind
{
#define QUERY(name, method, role, pattern, help) ASK_##name,
#include "ask/queries.def"
#undef QUERY
  ASK_KIND_COUNT
};

enum ask_argument
{
#define ARGUMENT(name, reader, text) ASK_ARGUMENT_##name,
#include "ask/arguments.def"
#undef ARGUMENT
  ASK_ARGUMENT_COUNT
};

/* The grouping of the answer to `refused`.  */
enum ask_group
{
  ASK_BY_REASON,
  ASK_BY_SERVICE,
  ASK_BY_ORGANISATION,
  ASK_GROUP_COUNT
};

/* A parsed line.  Texts that are absent from the line are empty, numbers are
   zero.  COLUMN is the position of each argument in the line, 0 if absent.  */
struct ask_query
{
  enum ask_kind kind;
  bool dry_run;
  char key[ASK_KEY_BYTES]; /* zero-terminated, has no zero byte inside */
  char service[CONF_NAME_BYTES];
  char organisation[CONF_NAME_BYTES];
  char node[CONF_NAME_BYTES];
  char zone[CONF_NAME_BYTES];
  bool forced; /* `even without targets` */
  enum conf_kind organisation_kind;
  enum conf_limit limit;
  uint32_t value;
  uint32_t slot_first;
  uint32_t slot_last;
  enum ask_group group;
  uint32_t window_s;          /* 0: since the process started */
  char why[CONF_WHY_BYTES];   /* reason of a command, from `because "TEXT"` */
  char who[CONF_NAME_BYTES];  /* operator of a command, from `by WHO` */
  char text[CONF_TEXT_BYTES]; /* whole line of a command; empty for queries */
  unsigned column[ASK_ARGUMENT_COUNT];
};

/* The definition of one query or command in queries.def.  */
struct ask_entry
{
  const char *name; /* of the method in struct ask_node_ops */
  bool is_command;
  const char *pattern;
  const char *help;
};

extern const struct ask_entry ask_entries[ASK_KIND_COUNT];

/* Parse LENGTH bytes of LINE, which is line LINE_NUMBER of its file.  Return
   STATUS_OK, STATUS_EMPTY for a blank line or a comment, or STATUS_INVALID
   after adding a finding to FINDINGS.  */
enum status ask_parse (struct ask_query *q, const char *line, size_t length,
                       unsigned line_number, struct findings *findings);

/* Return the keyword for GROUP in the operator language.  */
const char *ask_group_name (enum ask_group group);

#endif
