/* Frames between nodes: a length and a MessagePack array, over TCP.

   The dialling side sends requests; the accepting side answers them and
   reports its state.  */

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
  /* A longer frame is rejected as malformed.  Must hold the longest body that
     callers may send.  */
  FRAME_BYTES_MAX = 72 << 20,
  /* The first bytes of a frame, which tell whether it is a request.  */
  FRAME_PEEK_BYTES = 16
};

enum frame_kind
{
  FRAME_HELLO,    /* from the dialler: its identity */
  FRAME_STATE,    /* from the acceptor: its state, and at first its identity */
  FRAME_REQUEST,  /* from the dialler */
  FRAME_CANCEL,   /* from the dialler: the result is no longer needed */
  FRAME_RESULT,   /* from the acceptor */
  FRAME_FETCH,    /* from the dialler: asks for a document */
  FRAME_DOCUMENT, /* from the acceptor */
  FRAME_HANDOVER, /* from the dialler: warm-up data for keys */
  FRAME_PART,     /* from both: a part of a frame, see mesh/assembly.h.  Only
                     to nodes that report the rate of their link.  */
  FRAME_OFFER,    /* from the dialler: a request without its head and body, to
                     such nodes; answered by ADMIT, or a RESULT if refused */
  FRAME_ADMIT,    /* from the acceptor: the request may be sent */
  FRAME_KIND_COUNT
};

/* Documents that nodes exchange.  */
enum frame_document_type
{
  FRAME_DOCUMENT_ROUTES,      /* the operators' configuration */
  FRAME_DOCUMENT_CELL,        /* the key owners of the sender's service */
  FRAME_DOCUMENT_EVACUATIONS, /* the evacuated zones */
  FRAME_DOCUMENT_CRASHES /* requests under which targets ended; pushed by the
                            acceptor, not fetched */
};

/* The identity of a node.  */
struct frame_node
{
  char name[SETTINGS_NAME_BYTES];
  char service[SETTINGS_NAME_BYTES];
  char zone[SETTINGS_NAME_BYTES];
  struct settings_address address; /* where it accepts other nodes */
  uint64_t start_id;               /* differs for each start of the process */
};

/* Which set of evacuated availability zones a node knows.  */
struct evacuations_stamp
{
  uint64_t version; /* 0: none */
  uint64_t digest;  /* equal for equal sets */
};

/* What the store told the sender of a state itself: at CLOCK_NS, on the
   sender's clock, it had no version of the configuration that is newer than
   the sender's.  That one has all changes up to REVISION of the store.  */
struct frame_confirmation
{
  int64_t clock_ns; /* 0: nothing, the sender does not watch the store */
  int64_t revision;
  uint32_t era; /* of the store, see store/store.h */
};

/* The state that a node reports.  */
struct frame_state
{
  int64_t clock_ns; /* the sender's CLOCK_BOOTTIME */
  struct target_load load;
  bool watch_healthy; /* the store answered its last watch call */
  uint64_t routes_version;
  uint32_t cell_serial; /* of its service's ownership document; 0: none */
  struct evacuations_stamp evacuations;
  struct frame_confirmation confirmed;
};

struct frame_handover
{
  uint32_t from;
  uint32_t to;      /* inclusive */
  char payload[64]; /* warm-up data of the last holder, not interpreted */
};

/* One received frame.  Strings and blobs point into the received bytes.  */
struct frame
{
  enum frame_kind kind;
  struct frame_node node; /* HELLO; STATE when HAS_NODE */
  bool has_node;
  struct frame_state state;       /* STATE, RESULT */
  uint64_t call_id;               /* REQUEST, CANCEL, RESULT */
  bool in_parts;                  /* REQUEST: it arrived in parts */
  struct attempt_request request; /* REQUEST; times on the receiver's clock */
  int64_t left_ns;                /* CANCEL: when the caller left; 0: it did
                                     not, or not known */
  struct attempt_result result;   /* RESULT */
  enum frame_document_type document_type; /* FETCH, DOCUMENT */
  int64_t revision;                       /* DOCUMENT: of the store */
  const char *text;                       /* DOCUMENT, PART */
  size_t length;
  struct frame_handover handover; /* HANDOVER */
  uint64_t stream;                /* PART: distinguishes frames */
  uint32_t part_flags;            /* PART */
  uint64_t offered_bytes;         /* OFFER: of the head and body */
  uint32_t offer_wait_ms; /* OFFER: until the sender's link is free for them */
  uint32_t start_ms;      /* ADMIT: to wait before the body is sent */
};

/* Each function serializes one frame, which the caller frees.  */
GString *frame_hello (const struct frame_node *node);
/* The identity NODE goes along if WITH_NODE, or if STATE has fields that nodes
   of earlier versions would otherwise take for it.  */
GString *frame_state (const struct frame_node *node, bool with_node,
                      const struct frame_state *state);
GString *frame_request (uint64_t call_id, const struct attempt_request *r,
                        const struct target_terms *terms,
                        int64_t clock_offset_ns, int64_t sent_ns);
/* LEFT_NS: when the caller left, on the receiver's clock; 0: it did not.  */
GString *frame_cancel (uint64_t call_id, int64_t left_ns);
GString *frame_result (uint64_t call_id, const struct attempt_result *r,
                       const struct frame_state *state);
GString *frame_fetch (enum frame_document_type document_type);
GString *frame_document (enum frame_document_type document_type,
                         int64_t revision, const char *text, size_t length);
GString *frame_handover (const struct frame_handover *h);
GString *frame_offer (uint64_t call_id, const struct attempt_request *r,
                      const struct target_terms *terms,
                      int64_t clock_offset_ns, uint32_t wait_ms);
GString *frame_admit (uint64_t call_id, uint32_t start_ms,
                      const struct frame_state *state);
GString *frame_part (uint64_t stream, uint32_t flags, const char *data,
                     size_t length);

/* Parse one frame, without its length prefix.  STATUS_INVALID if it is
   malformed.  The caller then owns the head and body of a REQUEST.  */
enum status frame_parse (const char *data, size_t length, struct frame *f);

/* Whether the frame whose first LENGTH bytes are DATA is a request; *CALL_ID
   is its id.  */
bool frame_peek_request (const char *data, size_t length, uint64_t *call_id);

#endif
