/* The messages between ward and guardian: one MessagePack array in a UDP
   datagram of at most LEASE_MSG_BYTES.  */

#ifndef OWN_LEASE_MSG_H
#define OWN_LEASE_MSG_H

#include "base/status.h"
#include <stddef.h>
#include <stdint.h>

enum
{
  LEASE_MSG_BYTES = 42 /* when all numbers are at their most; about 30 */
};

enum lease_msg_kind
{
  LEASE_RENEW,    /* ward to guardian: renew my lease */
  LEASE_GRANT,    /* the answer: renewed */
  LEASE_REFUSE,   /* the answer: not guardian, or not at this epoch */
  LEASE_HINT,     /* the sender has a document of this serial */
  LEASE_HINT_ACK, /* the answer: the receiver of the hint has it too */
  LEASE_PROBE,    /* first to second guardian: may WARD be declared dead? */
  LEASE_CONSENT,  /* the answer: yes, and I grant it nothing from now on */
  LEASE_RELEASE,  /* first to second guardian: the consent is not needed */
  LEASE_REMOVE,   /* guardian to another member: write that its ward ABOUT is
                   dead, and that I answer it no more */
  LEASE_PROXY_PROBE, /* first guardian of a ward to the first one of its silent
                     second: do you consent in its place?  */
  LEASE_PROXY_CONSENT, /* the answer: yes, it gets nothing from me from now on;
                     in EPOCH its guardian epoch */
  LEASE_MSG_KINDS
};

struct lease_msg
{
  uint32_t cell_hash; /* hash of the service's name */
  enum lease_msg_kind kind;
  uint32_t sender;   /* incarnation */
  uint32_t receiver; /* incarnation */
  uint32_t epoch;    /* guardian epoch of the ward */
  uint32_t sequence; /* of the renewal, or of the probe */
  uint32_t subject;  /* the ward of a probe and its answers; of others, the
                      member whose load is passed on, 0: none */
  uint32_t serial;   /* of the sender's document */
  uint8_t load;      /* hundredths of the sender's capacity, 0: unknown */
  uint8_t subject_load;
  uint8_t subject_load_age; /* of subject_load, tenths of a second */
};

/* Write MSG to BUFFER and return its length.  */
size_t lease_msg_encode (const struct lease_msg *msg,
                         char buffer[LEASE_MSG_BYTES]);

/* Read MSG from DATA.  STATUS_INVALID when it is no message of this version;
   MSG is then undefined.  */
enum status lease_msg_decode (const void *data, size_t length,
                              struct lease_msg *msg);

#endif
