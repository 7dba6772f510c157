/* The header of messages that services exchange through inboxes.  It is the
   first member of every message, so that a receiver of several kinds can tell
   them apart.  */

#ifndef BASE_MAIL_H
#define BASE_MAIL_H

enum inbox_message_kind
{
  INBOX_MESSAGE_CALL,      /* struct call */
  INBOX_MESSAGE_ATTEMPT,   /* struct attempt */
  INBOX_MESSAGE_FETCH,     /* struct peers_fetch */
  INBOX_MESSAGE_QUERY,     /* struct peers_query */
  INBOX_MESSAGE_NOTICE,    /* struct peers_notice */
  INBOX_MESSAGE_STORE_JOB, /* struct store_job */
  INBOX_MESSAGE_COMMAND    /* struct ownd_command */
};

struct inbox_header
{
  enum inbox_message_kind kind;
};

#endif
