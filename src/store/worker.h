/* Calls of the platform's store on a thread of their own.

   Jobs are done one after the other, so that a node has one store call under
   way at most.  */

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
  STORE_LIST, /* the values of all keys that begin with KEY */
  STORE_LEASE /* renew LEASE, or grant one of TTL_S and write DATA under it */
};

/* A call of the store, and its result.  Who submits it frees it with
   store_job_free when it came back.  */
struct store_job
{
  struct mail mail;
  struct inbox *reply_to;
  enum store_call call;
  char key[STORE_JOB_KEY_BYTES];
  int64_t expected_revision; /* swap: the revision that is replaced */
  char *data;                /* swap, lease: what to write; owned */
  size_t length;
  uint32_t ttl_s; /* lease */
  int64_t lease;  /* lease: 0, or that to renew; then the one that holds */
  enum status status;
  int64_t revision;         /* after a swap */
  struct store_value value; /* after a read */
  GPtrArray *values;        /* after a list: texts */
};

/* Start a thread that makes the calls of ST, which it owns from now on.  NULL
   with a message when that fails.  */
struct store_worker *store_worker_start (struct store *st);

/* End the thread; jobs that were not begun come back as not written.  */
void store_worker_stop (struct store_worker *w);

/* Free W, which has ended, with its store.  W may be NULL.  */
void store_worker_free (struct store_worker *w);

/* Have JOB done; it comes back to its reply_to, as not written when there are
   too many.  Any thread.  */
void store_worker_submit (struct store_worker *w, struct store_job *job);

void store_job_free (struct store_job *job);

#endif
