#ifndef PROCESS_SERVERS_LATENCY_H_
#define PROCESS_SERVERS_LATENCY_H_

#include <array>
#include <cstdint>
#include <optional>

#include "process/clock.h"

namespace mangodoor {

/** Moving average of the latency of one server. */
struct LatencyAverage {
  Duration mean{};
  TimePoint updated;
  int samples = 0;
};

void Observe(LatencyAverage& average, Duration latency, TimePoint now);

/** Histogram of the latencies of a service; recent ones weigh more. */
struct LatencyHistogram {
  static constexpr int kBuckets = 80;
  std::array<uint32_t, kBuckets> counts{};
  uint32_t total = 0;
  /** Samples since the quantiles were computed. */
  uint32_t samples_since_refresh = 0;
  Duration p50{};
  Duration p95{};
};

void Observe(LatencyHistogram& histogram, Duration latency);

/** True if there are enough samples for p50 and p95 to be meaningful. */
bool HasQuantiles(const LatencyHistogram& histogram);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_LATENCY_H_
