/* Emulated time: streams of requests, a front that decides on them and one
   target, for benches of the decisions.

   A target runs up to `slots` requests at once, at equal speed; past `knee`
   requests they share its speed and lose some of it (`contention`), as on a
   machine short of memory or processors.  What comes past the slots waits in
   the target, in order.  */

#ifndef TEST_LIB_EMULATION_H
#define TEST_LIB_EMULATION_H

#include "limit/gate.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  EMULATION_STREAMS_MAX = 8,
  EMULATION_WINDOWS_MAX = 1024
};

#define EMULATION_WINDOW_NS INT64_C (250000000)

enum emulation_distribution
{
  EMULATION_EXPONENTIAL,
  EMULATION_LOGNORMAL, /* coefficient of variation 0.5 */
  EMULATION_CONSTANT
};

struct emulation_stream
{
  enum admit_kind kind;
  const char *organisation_prefix; /* a number from 0 is put behind it */
  uint32_t organisation_count;
  double rate; /* requests a second, arriving by chance */
  double burst_rate;
  int64_t burst_from_ns;
  int64_t burst_to_ns;
  int64_t deadline_ns;
  int64_t mean_service_ns; /* mean time at an unloaded target */
  enum emulation_distribution distribution;
  uint32_t retries; /* a caller repeats what it got no answer to */
};

struct emulation_target
{
  uint32_t slots;
  double knee;
  double contention;
  double speed; /* 1: works as stated; 0: frozen */
};

/* A change of the target at AT_NS; RESTART: it comes back cold, what it ran
   is lost.  */
struct emulation_change
{
  int64_t at_ns;
  struct emulation_target target;
  bool restart;
};

enum emulation_admission
{
  EMULATION_FIFO,          /* one queue, no deadlines, no classes */
  EMULATION_FIFO_DEADLINE, /* one queue; drops and cancels at the deadline */
  EMULATION_GATE
};

struct emulation_config
{
  enum emulation_admission admission;
  struct gate_config gate;
  struct emulation_target target;
  const struct emulation_change *changes;
  uint32_t change_count;
  struct emulation_stream streams[EMULATION_STREAMS_MAX];
  uint32_t stream_count;
  int64_t warmup_ns; /* requests that arrive sooner are not counted */
  int64_t end_ns;
  uint64_t seed;
};

struct emulation_counts
{
  uint64_t offered;
  uint64_t answered; /* within the deadline */
  uint64_t refused;
  uint64_t unknown; /* sent, and no answer within the deadline */
  uint64_t expired; /* waited in the front until the deadline */
  uint64_t sent;
  double p50_ms; /* of answered, unknown and expired */
  double p99_ms;
  uint32_t answered_by_window[EMULATION_WINDOWS_MAX]; /* answered, by time of
                                                         answer */
  uint32_t arrivals_by_window[EMULATION_WINDOWS_MAX]; /* without repeats */
};

struct emulation_result
{
  struct emulation_counts streams[EMULATION_STREAMS_MAX];
  uint32_t window_count;
};

/* Run CONFIG to its end.  */
void emulation_run (const struct emulation_config *config,
                    struct emulation_result *result);

#endif
