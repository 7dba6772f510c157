/* Discrete-event emulation of request streams, an admission scheme and one
   target, for benchmarks of admission decisions in emulated time.

   A target runs up to `slots` requests at once, at equal speed.  Above `knee`
   concurrent requests they share its capacity and lose part of it to
   `contention`, as on a machine short of memory or processors.  Requests above
   `slots` wait in the target's FIFO backlog.  */

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
  const char *organisation_prefix; /* followed by an index from 0 */
  uint32_t organisation_count;
  double rate; /* requests per second, Poisson arrivals */
  double burst_rate;
  int64_t burst_from_ns;
  int64_t burst_to_ns;
  int64_t deadline_ns;
  int64_t mean_service_ns; /* at an unloaded target */
  enum emulation_distribution distribution;
  uint32_t retries; /* a caller's retries of an unanswered request */
};

struct emulation_target
{
  uint32_t slots;
  double knee;
  double contention;
  double speed; /* 1: nominal; 0: frozen */
};

/* A change of the target at AT_NS.  With RESTART, running requests are lost
   and the gate is notified that the target restarted.  */
struct emulation_change
{
  int64_t at_ns;
  struct emulation_target target;
  bool restart;
};

enum emulation_admission
{
  EMULATION_FIFO,          /* one queue, no deadlines, no priorities */
  EMULATION_FIFO_DEADLINE, /* one queue; drops and cancels at deadlines */
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
  int64_t warmup_ns; /* earlier arrivals are not counted */
  int64_t end_ns;
  uint64_t seed;
};

struct emulation_counts
{
  uint64_t offered;
  uint64_t answered; /* within the deadline */
  uint64_t refused;
  uint64_t unknown; /* sent but not answered within the deadline */
  uint64_t expired; /* still queued for admission at the deadline */
  uint64_t sent;
  double p50_ms; /* latency of answered, unknown and expired */
  double p99_ms;
  uint32_t answered_by_window[EMULATION_WINDOWS_MAX]; /* by answer time */
  uint32_t arrivals_by_window[EMULATION_WINDOWS_MAX]; /* without retries */
};

struct emulation_result
{
  struct emulation_counts streams[EMULATION_STREAMS_MAX];
  uint32_t window_count;
};

/* Run CONFIG until end_ns and set *RESULT.  */
void emulation_run (const struct emulation_config *config,
                    struct emulation_result *result);

#endif
