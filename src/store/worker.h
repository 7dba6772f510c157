/* Calls of the platform's store on a separate thread.

   Jobs run one at a time, so a node has at most one store call in
   progress.  */

#ifndef STORE_WORKER_H
#define STORE_WORKER_H

#include "base/inbox.h"
#include "base/mail.h"
#include "store/store.h"
#include <glib.h>

struct store_worker;

enum
{
  STORE_JOB_KEY_BYTES = 256
};

enum store_call
{
  STORE_READ,
  STORE_SWAP,
  STORE_LIST, /* read the values of all keys that begin with KEY */
  STORE_LEASE /* renew LEASE; if it is 0 or expired, grant a lease of TTL_S
                  seconds and write DATA to KEY under it */
};

/* A call of the store and its result.  It returns to REPLY_TO, and the
   submitter frees it with store_job_free.  */
struct store_job
{
  struct inbox_header header;
  struct inbox *reply_to;
  enum store_call call;
  char key[STORE_JOB_KEY_BYTES];
  int64_t expected_revision; /* swap: the revision to replace */
  char *data;                /* swap, lease: the value to write; owned */
  size_t length;
  bool stale_ok;  /* read, list: see may_read_stale of struct store */
  uint32_t ttl_s; /* lease */
  int64_t lease;  /* lease: the one to renew or 0; after the call, the current
                     one */
  enum status status;
  int64_t revision;         /* after a swap: the new one */
  struct store_value value; /* after a read */
  GPtrArray *values;        /* after a list: strings */
};

/* Start a thread that makes the calls of ST and owns it.  NULL with a status
   message on failure.  */
struct store_worker *store_worker_start (struct store *st);

/* Stop the thread; jobs that were not started return as STATUS_UNAVAILABLE. */
void store_worker_stop (struct store_worker *w);

/* Free W, which is stopped, and its store.  W may be NULL.  */
void store_worker_free (struct store_worker *w);

/* Queue JOB; it returns to its reply_to, as STATUS_UNAVAILABLE if the queue is
   full.  Callable from any thread.  */
void store_worker_submit (struct store_worker *w, struct store_job *job);

void store_job_free (struct store_job *job);

#endif
