/* The event loop of the load generator.  */

#ifndef LOAD_DRIVE_H
#define LOAD_DRIVE_H

#include "base/status.h"
#include "load/journal.h"
#include "load/tally.h"
#include "load/workload.h"

/* Generate the load that O describes.  Requests are chosen by W, results are
   counted in T and written to J.  Returns after the duration of the load, when
   no request is in flight.  *ELAPSED_S is the time from the first request to
   the last answer in seconds.  */
enum status drive_load (const struct load_options *o, struct workload *w,
                        struct tally *t, struct journal *j, double *elapsed_s);

#endif
