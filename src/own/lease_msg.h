/* Messages between members: one MessagePack array in a UDP datagram of at most
   LEASE_MSG_BYTES.  */

#ifndef OWN_LEASE_MSG_H
#define OWN_LEASE_MSG_H

#include "base/status.h"
#include <stddef.h>
#include <stdint.h>

enum
{
  LEASE_MSG_BYTES = 42 /* with the largest numbers; usually about 30 */
};

enum lease_msg_kind
{
  LEASE_RENEW,      /* ward to guardian: requests a lease renewal */
  LEASE_GRANT,      /* answer: renewed */
  LEASE_REFUSE,     /* answer: not the guardian, or not at this epoch */
  LEASE_NOTICE,     /* the sender has the document SERIAL */
  LEASE_NOTICE_ACK, /* answer: the sender has it too */
  /* First to second guardian: requests consent to declare the ward dead.  */
  LEASE_PROBE,
  /* Answer: consents, and grants the ward nothing from now on.  */
  LEASE_CONSENT,
  /* First to second guardian: the consent is no longer needed.  */
  LEASE_RELEASE,
  /* Guardian to another member: requests that it writes the removal of the
     ward SUBJECT, which the guardian no longer answers.  */
  LEASE_REMOVE,
  /* First guardian of a ward to the first guardian of its unresponsive second
     guardian: requests consent in the place of that one.  */
  LEASE_PROXY_PROBE,
  /* Answer: consents, and makes the second guardian no promise from now on.
     EPOCH is the second guardian's guardian epoch.  */
  LEASE_PROXY_CONSENT,
  /* Joining member, at EPOCH, to the writer: requests that it is made
     active.  */
  LEASE_ACTIVATE,
  /* Leaving member, at EPOCH, to the writer: requests that it is removed.  */
  LEASE_LEAVE,
  LEASE_MSG_KINDS
};

struct lease_msg
{
  uint32_t cell_hash; /* hash of the service name */
  enum lease_msg_kind kind;
  uint32_t sender;   /* incarnation */
  uint32_t receiver; /* incarnation */
  /* Guardian epoch of the ward.  In a notice: 1 if the change affects the
     receiver, else 0.  */
  uint32_t epoch;
  uint32_t sequence; /* of the renewal, or the round of the probe */
  /* The ward, in probes and their answers and in LEASE_REMOVE.  In renewals
     and grants: the member that subject_load belongs to, 0: none.  */
  uint32_t subject;
  uint32_t serial; /* of the sender's document */
  uint8_t load;    /* hundredths of the sender's capacity, 0: not known */
  uint8_t subject_load;
  uint8_t subject_load_age; /* age of subject_load in tenths of a second */
};

/* Encode MSG into BUFFER and return its length.  */
size_t lease_msg_encode (const struct lease_msg *msg,
                         char buffer[LEASE_MSG_BYTES]);

/* Decode DATA into MSG.  Return STATUS_INVALID when it is not a message of
   this version; MSG is then undefined.  */
enum status lease_msg_decode (const void *data, size_t length,
                              struct lease_msg *msg);

#endif
