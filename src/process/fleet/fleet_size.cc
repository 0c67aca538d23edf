#include "process/fleet/fleet_size.h"

namespace mangodoor {

void UpdateFleetSize(FleetSize& size, int live, uint64_t left, TimePoint now) {
  size.count -= static_cast<int>(left - size.left);
  size.left = left;
  if (live < size.count && now - size.seen_at < kLostInstancesCount)
    return;
  size.count = live;
  size.seen_at = now;
}

}  // namespace mangodoor
