#include "process/duration_histogram.h"

#include <algorithm>

namespace mangodoor {

void Observe(DurationHistogram& histogram, Duration duration) {
  const auto bound = std::lower_bound(kDurationBucketBounds.begin(),
                                      kDurationBucketBounds.end(), duration);
  ++histogram
        .counts[static_cast<size_t>(bound - kDurationBucketBounds.begin())];
  histogram.sum_ns += duration.count();
}

}  // namespace mangodoor
