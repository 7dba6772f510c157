/* Frames between nodes: a length and a MessagePack array, over TCP.

   The dialling side sends requests; the accepting side answers and tells its
   state.  */

#ifndef MESH_FRAME_H
#define MESH_FRAME_H

#include "base/status.h"
#include "mesh/attempt.h"
#include "mesh/egress.h"
#include "settings/settings.h"
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  FRAME_HEADER_BYTES = 4,
  FRAME_BYTES_MAX = 72 << 20 /* the longest body that callers may send */
};

enum frame_kind
{
  FRAME_HELLO,    /* dialler: who I am */
  FRAME_STATE,    /* acceptor: who I am and what I carry */
  FRAME_REQUEST,  /* dialler */
  FRAME_CANCEL,   /* dialler: nobody waits for it any more */
  FRAME_RESULT,   /* acceptor */
  FRAME_FETCH,    /* dialler: send me that document */
  FRAME_DOCUMENT, /* acceptor */
  FRAME_HANDOVER, /* dialler: what the new holder of keys needs */
  FRAME_KINDS
};

/* Documents that nodes pass on.  */
enum frame_topic
{
  FRAME_ROUTES, /* the operators' configuration */
  FRAME_CELL    /* who owns the keys of the sender's service */
};

/* Who a node is.  */
struct frame_node
{
  char name[SETTINGS_NAME_BYTES];
  char service[SETTINGS_NAME_BYTES];
  char zone[SETTINGS_NAME_BYTES];
  struct settings_address address; /* where it accepts other nodes */
  uint64_t run;                    /* differs for each start */
};

/* What a node carries.  */
struct frame_state
{
  int64_t now_ns; /* the sender's CLOCK_BOOTTIME */
  struct target_load load;
  bool follows_store; /* its last call of the store's watch was answered */
  uint64_t routes_version;
  uint32_t cell_serial; /* 0: it has no document of its service's keys */
};

struct frame_handover
{
  uint32_t from;
  uint32_t to; /* inclusive */
  char token[64];
};

/* One received frame.  Texts and blobs point into the received bytes.  */
struct frame
{
  enum frame_kind kind;
  struct frame_node node; /* HELLO; STATE when HAS_NODE */
  bool has_node;
  struct frame_state state;       /* STATE, RESULT */
  uint64_t number;                /* REQUEST, CANCEL, RESULT */
  struct attempt_request request; /* REQUEST; deadlines are the receiver's */
  struct attempt_result result;   /* RESULT */
  enum frame_topic topic;         /* FETCH, DOCUMENT */
  int64_t revision;               /* DOCUMENT: of the store */
  const char *text;               /* DOCUMENT */
  size_t length;
  struct frame_handover handover; /* HANDOVER */
};

/* Each writes one frame, to be freed by the caller.  */
GString *frame_hello (const struct frame_node *node);
GString *frame_state (const struct frame_node *node,
                      const struct frame_state *state);
GString *frame_request (uint64_t number, const struct attempt_request *r,
                        int64_t clock_ahead_ns);
GString *frame_cancel (uint64_t number);
GString *frame_result (uint64_t number, const struct attempt_result *r,
                       const struct frame_state *state);
GString *frame_fetch (enum frame_topic topic);
GString *frame_document (enum frame_topic topic, int64_t revision,
                         const char *text, size_t length);
GString *frame_handover (const struct frame_handover *h);

/* Read one frame's bytes, without its length.  STATUS_INVALID when it is
   none.  What a REQUEST holds is the caller's then.  */
enum status frame_read (const char *data, size_t length, struct frame *f);

#endif
