/* The stand-in store: a subset of etcd's v3 JSON gateway over HTTP, with fault
   injection.  */

#ifndef STANDIN_ETCD_H
#define STANDIN_ETCD_H

#include <stdint.h>

struct standin_etcd;

struct standin_etcd_options
{
  const char *listen;   /* "HOST:PORT", numeric */
  unsigned history_max; /* changes kept for watches */
  unsigned progress_ms; /* interval of progress notifications */
};

/* The injected faults and when they end; POST /control sets them as well.  */
struct standin_etcd_faults
{
  int down;              /* close connections without running calls */
  int stall_watches;     /* keep watches open but send nothing */
  unsigned delay_ms;     /* delay before each call takes effect */
  unsigned lose_answers; /* number of next writes to leave unanswered */
  int64_t until_ns;      /* 0: until replaced */
};

/* A new store that listens, or NULL if the address cannot be used.  */
struct standin_etcd *standin_etcd_new (const struct standin_etcd_options *o);
void standin_etcd_free (struct standin_etcd *e);

/* Replace the injected faults by FAULTS.  */
void standin_etcd_set_faults (struct standin_etcd *e,
                              const struct standin_etcd_faults *faults);

struct standin_etcd_counts
{
  uint64_t reads;
  uint64_t writes;
  uint64_t leases; /* grants, renewals, revocations */
  uint64_t watches_opened;
  uint64_t watches_open;
  uint64_t delayed;      /* calls that are being delayed now */
  uint64_t calls_last_s; /* calls in the last whole second */
  uint64_t calls_peak_s; /* highest number of calls in one second */
};

void standin_etcd_counts (struct standin_etcd *e,
                          struct standin_etcd_counts *counts);

#endif
