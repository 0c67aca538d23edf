#include "process/duration_histogram.h"

#include <algorithm>

namespace mangodoor {

void Observe(DurationHistogram& counts, Duration time) {
  const auto bound = std::lower_bound(kDurationBucketBounds.begin(),
                                      kDurationBucketBounds.end(), time);
  ++counts.counts[static_cast<size_t>(bound - kDurationBucketBounds.begin())];
  counts.sum_ns += time.count();
}

}  // namespace mangodoor
