/* The loop that sends the requests of a load and collects their answers.  */

#ifndef LOAD_DRIVE_H
#define LOAD_DRIVE_H

#include "base/status.h"
#include "load/journal.h"
#include "load/tally.h"
#include "load/workload.h"

/* Run the load that O describes: take choices from W, count results in T,
   write to J.  Return when the time is over and no request is in flight, with
   the seconds from the first request to the last answer in *ELAPSED_S.  */
enum status drive_load (const struct load_options *o, struct workload *w,
                        struct tally *t, struct journal *j, double *elapsed_s);

#endif
