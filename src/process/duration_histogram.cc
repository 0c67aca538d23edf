#include "process/duration_histogram.h"

#include <algorithm>

namespace mangodoor {

void Observe(TimeCounts& counts, Duration time) {
  const auto bound =
      std::lower_bound(kTimeBounds.begin(), kTimeBounds.end(), time);
  ++counts.counts[static_cast<size_t>(bound - kTimeBounds.begin())];
  counts.sum_ns += time.count();
}

}  // namespace mangodoor
