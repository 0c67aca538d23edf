#ifndef BENCH_LIB_LIMITS_FLEET_H_
#define BENCH_LIB_LIMITS_FLEET_H_

#include <cstdint>
#include <string>
#include <vector>

#include "process/clock.h"

namespace mangodoor {

/** Rate and burst of one client account over the fleet. */
struct BenchAccount {
  std::string name;
  int64_t rate_per_s = 0;
  int64_t burst = 0;
  /** Requests offered, as a multiple of the rate. */
  double load = 1;
};

/** The fleet, load and faults of one simulation. */
struct LimitsCase {
  std::string name;
  size_t instances = 17;
  Duration message_delay = std::chrono::milliseconds(1);
  std::vector<BenchAccount> accounts;
  /** Share of requests sent to one instance; the rest go to a random one. */
  double share_on_one_instance = 0;
  /** Interval after which the next instance gets `share_on_one_instance`. */
  Duration shift_interval = Duration::max();
  /** The last instance never starts. Callers use only the others. */
  bool one_instance_dead = false;
  Duration warm_up = std::chrono::seconds(10);
  Duration measured_time = std::chrono::seconds(60);
  uint64_t seed = 1;
};

/** Requests of one client account in the measured time. */
struct AccountOutcome {
  uint64_t offered = 0;
  uint64_t admitted = 0;
  /** Refused, although a single bucket for the whole fleet would admit them. */
  uint64_t wrongly_refused = 0;
  /** Admitted above rate and burst, warm-up included; must be 0. */
  uint64_t over_limit = 0;
  /**
   * For comparison: what would be admitted or wrongly refused if each instance
   * had an equal part of the rate and the burst, but a burst of at least 1.
   */
  uint64_t split_admitted = 0;
  uint64_t split_wrongly_refused = 0;
  /** What a single bucket for the whole fleet would admit. */
  uint64_t single_bucket_admitted = 0;
};

struct LimitsResult {
  std::vector<AccountOutcome> accounts;
  /** Lease messages that an instance sends per second, on average. */
  double messages_per_s_mean = 0;
  /** The same for the instance that sends the most. */
  double messages_per_s_max = 0;
  /** Quantiles of the time that admitted requests wait for a token. */
  Duration wait_p50{};
  Duration wait_p99{};
  /** Share of the admitted requests that waited. */
  double waited_share = 0;
};

/** Runs a case as a discrete-event simulation. */
LimitsResult MeasureLimits(const LimitsCase& limits_case);

}  // namespace mangodoor

#endif  // BENCH_LIB_LIMITS_FLEET_H_
