/* What travels in inboxes: the first member of every message tells its
   kind.  */

#ifndef BASE_MAIL_H
#define BASE_MAIL_H

enum mail_kind
{
  MAIL_CALL,    /* struct call */
  MAIL_ATTEMPT, /* struct attempt */
  MAIL_FETCH,   /* struct peers_fetch */
  MAIL_ORDER,   /* struct peers_query */
  MAIL_NOTICE,  /* struct peers_notice */
  MAIL_STORE,   /* struct store_job */
  MAIL_COMMAND  /* struct ownd_command */
};

struct mail
{
  enum mail_kind kind;
};

#endif
