/* The result of a call that can fail, with a message in thread-local storage
   that describes the last failure.  */

#ifndef BASE_STATUS_H
#define BASE_STATUS_H

enum status
{
#define STATUS(name, text) STATUS_##name,
#include "base/status.def"
#undef STATUS
  STATUS_COUNT
};

/* The constant text of S; never NULL.  */
const char *status_text (enum status s);

/* Format the message of the calling thread and return S.  */
enum status status_set (enum status s, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

/* The message of the calling thread, empty before the first status_set.  It is
   overwritten by the thread's next status_set.  */
const char *status_message (void);

#endif
