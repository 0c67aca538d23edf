#include "process/servers/latency.h"

#include <algorithm>
#include <cmath>

namespace mangodoor {
namespace {

// Much longer than one request, but shorter than the several seconds in which
// operators notice a slow server.
constexpr Duration kAverageTimeConstant = std::chrono::seconds(2);

// Each bucket bound is 20% above the one before, so a quantile is off by 10% on
// average.
constexpr Duration kFirstBucket = std::chrono::microseconds(50);
constexpr double kBucketGrowth = 1.2;
constexpr uint32_t kMinSamples = 50;
constexpr uint32_t kMaxSamples = 2000;
constexpr uint32_t kRefreshSamples = 32;

int BucketOf(Duration latency) {
  if (latency <= kFirstBucket)
    return 0;
  const double steps =
      std::log(static_cast<double>(latency.count()) / kFirstBucket.count()) /
      std::log(kBucketGrowth);
  return std::min(static_cast<int>(steps) + 1, LatencyHistogram::kBuckets - 1);
}

Duration UpperBound(int bucket) {
  return Duration(static_cast<int64_t>(kFirstBucket.count() *
                                       std::pow(kBucketGrowth, bucket)));
}

Duration Quantile(const LatencyHistogram& histogram, double fraction) {
  const double wanted = fraction * histogram.total;
  uint32_t seen = 0;
  int bucket = 0;
  for (; bucket < LatencyHistogram::kBuckets - 1; ++bucket) {
    seen += histogram.counts[bucket];
    if (seen >= wanted)
      break;
  }
  return UpperBound(bucket);
}

void HalveCounts(LatencyHistogram& histogram) {
  histogram.total = 0;
  for (uint32_t& count : histogram.counts) {
    count /= 2;
    histogram.total += count;
  }
}

Duration Blend(Duration old_value, Duration latency, double old_weight) {
  return Duration(static_cast<int64_t>(old_value.count() * old_weight +
                                       latency.count() * (1 - old_weight)));
}

}  // namespace

// The average does not follow single peaks: otherwise one long request on a
// healthy server would move work to servers that are busier.
void Observe(LatencyAverage& average, Duration latency, TimePoint now) {
  if (average.samples == 0) {
    average.mean = latency;
  } else {
    const double gap = std::chrono::duration<double>(now - average.updated) /
                       std::chrono::duration<double>(kAverageTimeConstant);
    // On a busy server samples follow each other quickly, and a new one would
    // have almost no weight without this bound.
    constexpr double kMaxOldWeight = 0.95;
    const double old_weight = std::min(std::exp(-gap), kMaxOldWeight);
    average.mean = Blend(average.mean, latency, old_weight);
  }
  average.updated = now;
  ++average.samples;
}

void Observe(LatencyHistogram& histogram, Duration latency) {
  ++histogram.counts[BucketOf(latency)];
  ++histogram.total;
  if (++histogram.samples_since_refresh < kRefreshSamples &&
      histogram.total != kMinSamples)
    return;
  histogram.samples_since_refresh = 0;
  histogram.p50 = Quantile(histogram, 0.50);
  histogram.p95 = Quantile(histogram, 0.95);
  if (histogram.total > kMaxSamples)
    HalveCounts(histogram);
}

bool HasQuantiles(const LatencyHistogram& histogram) {
  return histogram.total >= kMinSamples && histogram.p95 > Duration::zero();
}

}  // namespace mangodoor
