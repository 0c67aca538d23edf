#ifndef PROCESS_DURATION_HISTOGRAM_H_
#define PROCESS_DURATION_HISTOGRAM_H_

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>

#include "process/clock.h"

namespace mangodoor {

/** Upper bounds of the buckets; a last one holds what is longer. */
constexpr std::array<std::chrono::milliseconds, 12> kDurationBucketBounds{
    std::chrono::milliseconds(1),    std::chrono::milliseconds(2),
    std::chrono::milliseconds(5),    std::chrono::milliseconds(10),
    std::chrono::milliseconds(20),   std::chrono::milliseconds(50),
    std::chrono::milliseconds(100),  std::chrono::milliseconds(200),
    std::chrono::milliseconds(500),  std::chrono::milliseconds(1000),
    std::chrono::milliseconds(2000), std::chrono::milliseconds(5000)};

/** Counts of times by length; they only grow. */
struct DurationHistogram {
  std::array<std::atomic<uint64_t>, kDurationBucketBounds.size() + 1> counts{};
  std::atomic<int64_t> sum_ns{0};
};

/** Counts one time. */
void Observe(DurationHistogram& counts, Duration time);

}  // namespace mangodoor

#endif  // PROCESS_DURATION_HISTOGRAM_H_
