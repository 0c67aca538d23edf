#ifndef PROCESS_DURATION_HISTOGRAM_H_
#define PROCESS_DURATION_HISTOGRAM_H_

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>

#include "process/clock.h"

namespace mangodoor {

/**
 * Inclusive upper bounds of the buckets. One more bucket counts the longer
 * durations.
 */
constexpr std::array<std::chrono::milliseconds, 12> kDurationBucketBounds{
    std::chrono::milliseconds(1),    std::chrono::milliseconds(2),
    std::chrono::milliseconds(5),    std::chrono::milliseconds(10),
    std::chrono::milliseconds(20),   std::chrono::milliseconds(50),
    std::chrono::milliseconds(100),  std::chrono::milliseconds(200),
    std::chrono::milliseconds(500),  std::chrono::milliseconds(1000),
    std::chrono::milliseconds(2000), std::chrono::milliseconds(5000)};

/** A histogram of durations. Its counts and its sum never decrease. */
struct DurationHistogram {
  std::array<std::atomic<uint64_t>, kDurationBucketBounds.size() + 1> counts{};
  std::atomic<int64_t> sum_ns{0};
};

/** Adds one duration to the histogram. */
void Observe(DurationHistogram& histogram, Duration duration);

}  // namespace mangodoor

#endif  // PROCESS_DURATION_HISTOGRAM_H_
