/* The stand-in store: a part of etcd's v3 JSON gateway over HTTP, with faults
   that can be ordered.  */

#ifndef STANDIN_ETCD_H
#define STANDIN_ETCD_H

#include <stdint.h>

struct standin_etcd;

struct standin_etcd_options
{
  const char *listen;   /* "HOST:PORT", numeric */
  unsigned history_max; /* changes kept for watches */
  unsigned progress_ms; /* between progress notifications */
};

/* The faults in force and when they end; POST /control sets the same.  */
struct standin_etcd_faults
{
  int down;              /* close connections, apply nothing */
  int stall_watches;     /* watches stay open and silent */
  unsigned delay_ms;     /* before each call takes effect */
  unsigned lose_answers; /* next writes that take effect unanswered */
  int64_t until_ns;      /* 0: until set again */
};

/* A store that listens, or NULL when the address cannot be used.  */
struct standin_etcd *standin_etcd_new (const struct standin_etcd_options *o);
void standin_etcd_free (struct standin_etcd *e);

/* Put FAULTS in force.  */
void standin_etcd_set_faults (struct standin_etcd *e,
                              const struct standin_etcd_faults *faults);

struct standin_etcd_counts
{
  uint64_t reads;
  uint64_t writes;
  uint64_t leases; /* grants, renewals, revocations */
  uint64_t watches_opened;
  uint64_t watches_open;
  uint64_t delayed;      /* calls that wait out a delay now */
  uint64_t calls_last_s; /* calls in the last whole second */
  uint64_t calls_peak_s; /* the most in one second */
};

void standin_etcd_counts (struct standin_etcd *e,
                          struct standin_etcd_counts *counts);

#endif
